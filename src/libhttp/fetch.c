/* One GET on a connection of its own. */
#include "cuminsail/http1.h"

struct http1_fetch {
	struct http1_loop *loop;
	struct http1_call *call;
	struct cs_timer timer;
	void (*done)(const struct http1_message *answer, void *user);
	void *user;
};

/* Largest answer of a peer: a whole picture. */
static const struct http1_limits limits = {65536, 16 * 1024 * 1024};

static void end(struct http1_fetch *fetch, const struct http1_message *answer)
{
	cs_timer_disarm(http1_loop_clock(fetch->loop), &fetch->timer);
	fetch->done(answer, fetch->user);
	g_free(fetch);
}

static void on_connected(struct http1_call *call, void *user)
{
}

static bool on_answer(struct http1_call *call,
		      const struct http1_message *answer, void *user)
{
	http1_call_close(call);
	end(user, answer);
	return true;
}

static void on_ended(struct http1_call *call, enum http1_failure why,
		     void *user)
{
	end(user, NULL);
}

static void on_timer(struct cs_timer *timer)
{
	struct http1_fetch *fetch =
		(struct http1_fetch *)((char *)timer -
				       offsetof(struct http1_fetch, timer));

	http1_call_close(fetch->call);
	end(fetch, NULL);
}

struct http1_fetch *http1_fetch_begin(
	struct http1_loop *loop, const struct sockaddr_in *to,
	const char *target, gint64 timeout_us,
	void (*done)(const struct http1_message *answer, void *user),
	void *user)
{
	struct http1_fetch *fetch = g_new0(struct http1_fetch, 1);
	struct http1_call_hooks hooks = {on_connected, on_answer, on_ended,
					 fetch};
	struct cs_clock *clock = http1_loop_clock(loop);
	GString *head;

	fetch->loop = loop;
	fetch->done = done;
	fetch->user = user;
	fetch->timer.fire = on_timer;
	fetch->call = http1_call_open(loop, to, &limits, &hooks);
	if (!fetch->call) {
		g_free(fetch);
		return NULL;
	}
	head = g_string_new(NULL);
	g_string_printf(head,
			"GET %s HTTP/1.1\r\nHost: peer\r\n"
			"Connection: close\r\n\r\n",
			target);
	http1_call_send(fetch->call, head, NULL, 0, false);
	g_string_free(head, TRUE);
	cs_timer_arm(clock, &fetch->timer, cs_clock_now(clock) + timeout_us);
	return fetch;
}

void http1_fetch_cancel(struct http1_fetch *fetch)
{
	if (!fetch)
		return;
	cs_timer_disarm(http1_loop_clock(fetch->loop), &fetch->timer);
	http1_call_close(fetch->call);
	g_free(fetch);
}
