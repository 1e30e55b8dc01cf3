/* Division of a rate limit over daemons that share no state, without a network:
 * the sum of what they send, whatever each of them knows of the others. */
#include "unit.h"
#include "view.h"

#include "cuminsail/route.h"

#include <string.h>

/* ---- fractions ---- */

static const double limits_per_s[] = {0.1, 0.9, 1,   2.5,  9,
				      16,  36,	100, 1000, 1e9};

/* The sum of the fractions is the limit, and the buckets of 1.5 requests that
 * are full at the same moment stay within the tolerance of 4 s: half of the
 * limit and 5 requests. */
START_TEST(fractions_of_all_places_add_up_to_the_limit)
{
	for (guint n_near = 0; n_near <= 60; n_near += 3) {
		for (guint n_far = n_near ? 0 : 1; n_far <= 60; n_far += 4) {
			for (gsize i = 0; i < G_N_ELEMENTS(limits_per_s); i++) {
				double sum = 0;
				guint holders = 0;

				for (guint k = 0; k < n_near + n_far; k++) {
					struct route_place place = {
						k < n_near,
						k < n_near ? k : k - n_near,
						n_near, n_far};
					double fraction = route_place_fraction(
						&place, limits_per_s[i]);

					sum += fraction;
					holders += fraction > 0;
				}
				ck_assert_double_eq_tol(sum, 1, 1e-9);
				ck_assert(1.5 * holders <=
					  2 * limits_per_s[i] + 5);
			}
		}
	}
}
END_TEST

START_TEST(daemons_near_the_replica_get_most_of_its_limit)
{
	struct route_place near = {true, 0, 3, 4};
	struct route_place far = {false, 0, 3, 4};

	ck_assert_double_eq_tol(route_place_fraction(&near, 30), 0.3, 1e-9);
	ck_assert_double_eq_tol(route_place_fraction(&far, 30), 0.1 / 3, 1e-9);
	/* No more daemons than the limit has requests a second. */
	near = (struct route_place){true, 8, 40, 40};
	ck_assert(route_place_fraction(&near, 10) > 0);
	near.position = 9;
	ck_assert(route_place_fraction(&near, 10) <= 0);
}
END_TEST

/* Neither a time nor a level of a bucket overflows. */
START_TEST(extreme_rate_limits_are_handled)
{
	static const double limits[] = {5e-324, 1e-300, 1e-9,
					1e9,	1e300,	1.7e308};

	for (gsize i = 0; i < G_N_ELEMENTS(limits); i++) {
		struct view view = view_create();
		struct route_place place = {true, 0, 1, 1};
		struct route_pool *pool;
		struct route_replica *replica;

		view_put(&view, "u", "a");
		replica = view_choose(&view, NULL);
		pool = route_fleet_pool(view.fleet, "s");
		route_fleet_set_place(view.fleet, "east", &place, view.now);
		route_replica_observe_limit(replica, limits[i], view.now,
					    view.now);
		for (int k = 0; k < 5; k++) {
			bool allowed = view_choose(&view, NULL) != NULL;

			ck_assert_msg(allowed == (limits[i] > 1 && k > 0),
				      "case %zu", i);
			ck_assert_int_ge(route_pool_wait_us(pool, view.now), 0);
			if (allowed)
				view_run_attempt(&view, replica, ROUTE_ANSWERED,
						 0);
			view.now += CS_US_PER_S;
		}
		view_destroy(&view);
	}
}
END_TEST

START_TEST(another_incarnation_has_no_rate_limit)
{
	struct view view = view_create();
	struct route_entry entry = view_entry("u", "a");
	struct route_limit limit = {.per_s = 5, .observed_us = view.now};
	enum route_limit_change change;
	struct route_replica *replica;

	view_put(&view, "u", "a");
	replica = route_fleet_learn_limit(view.fleet, "u", 0, &limit, &change,
					  view.now);
	ck_assert_ptr_nonnull(replica);
	ck_assert_int_eq(change, ROUTE_LIMIT_NAMED);
	ck_assert_double_eq(replica->limit.per_s, 5);
	/* What is known of the former incarnation does not apply. */
	entry.incarnation = 1;
	route_fleet_put(view.fleet, &entry, view.now);
	limit.observed_us++;
	ck_assert_ptr_null(route_fleet_learn_limit(view.fleet, "u", 0, &limit,
						   &change, view.now));
	ck_assert_double_eq(view_choose(&view, NULL)->limit.per_s, 0);
	view_destroy(&view);
}
END_TEST

/* The answer without a limit may be the older one. */
START_TEST(a_limit_ends_only_with_an_answer_to_a_later_request)
{
	struct view view = view_create();
	struct route_replica *replica;

	view_put(&view, "u", "a");
	replica = view_choose(&view, NULL);
	ck_assert_int_eq(route_replica_observe_limit(replica, 5, view.now,
						     view.now + 30 * MS),
			 ROUTE_LIMIT_NAMED);
	ck_assert_int_eq(route_replica_observe_limit(replica, 0,
						     view.now + 29 * MS,
						     view.now + 50 * MS),
			 ROUTE_LIMIT_SAME);
	ck_assert_int_eq(route_replica_observe_limit(replica, 0,
						     view.now + 30 * MS,
						     view.now + 50 * MS),
			 ROUTE_LIMIT_ENDED);
	view_destroy(&view);
}
END_TEST

/* Return: requests that a daemon may send to the replica in 10 s. */
static guint sent_in_10_s(struct view *view, struct route_replica *replica)
{
	guint sent = 0;

	for (int i = 0; i < 10000; i++) {
		view->now += MS;
		if (!view_choose(view, NULL))
			continue;
		view_run_attempt(view, replica, ROUTE_ANSWERED, 0);
		route_replica_observe_limit(replica, 40, view->now, view->now);
		sent++;
	}
	return sent;
}

/* A seed may have given its place to others. */
START_TEST(a_daemon_that_is_not_told_any_more_uses_half_of_its_part)
{
	struct view view = view_create();
	struct route_place place = {true, 0, 2, 0};
	struct route_replica *replica;
	guint sent;

	view_put(&view, "u", "a");
	replica = view_choose(&view, NULL);
	route_replica_observe_limit(replica, 40, view.now, view.now);
	/* Never told: half of 40 / 10 daemons. */
	sent = sent_in_10_s(&view, replica);
	ck_assert(sent >= 19 && sent <= 22);
	/* Half of 40 for 3 s, then a quarter. */
	route_fleet_set_place(view.fleet, "east", &place, view.now);
	sent = sent_in_10_s(&view, replica);
	ck_assert(sent >= 128 && sent <= 136);
	sent = sent_in_10_s(&view, replica);
	ck_assert(sent >= 98 && sent <= 103);
	view_destroy(&view);
}
END_TEST

/* A limit leaves no room for repeats as long as another replica takes them. */
START_TEST(a_repeat_goes_to_a_replica_without_a_rate_limit)
{
	struct view view = view_create();
	struct route_place place = {true, 0, 1, 0};
	struct route_replica *first;
	struct route_replica *limited;

	view_put(&view, "first", "a");
	first = view_choose(&view, NULL);
	view_put(&view, "limited", "a");
	view_put(&view, "far", "b");
	limited = view_choose(&view, first);
	ck_assert_str_eq(limited->id, "limited");
	route_fleet_set_place(view.fleet, "east", &place, view.now);
	route_replica_observe_limit(limited, 100, view.now, view.now);
	view.now += 500 * MS;
	ck_assert_str_eq(view_choose(&view, first)->id, "far");
	/* First attempts use it, and repeats that no other replica takes. */
	route_fleet_remove(view.fleet, "far", false, view.now);
	ck_assert_str_eq(view_choose(&view, first)->id, "limited");
	route_fleet_remove(view.fleet, "first", false, view.now);
	ck_assert_str_eq(view_chosen_id(&view), "limited");
	view_destroy(&view);
}
END_TEST

/* ---- members ---- */

#define S ((gint64)CS_US_PER_S)

static bool has_place(struct route_members *members, guint32 hash, gint64 now,
		      guint *position, guint *n_near)
{
	struct route_place place;
	bool known = route_members_place(members, hash, "east", now, &place);

	*position = known ? place.position : 0;
	*n_near = known ? place.n_near : 0;
	return known;
}

START_TEST(a_new_daemon_gets_no_place_before_the_others_were_told)
{
	struct route_members *members = route_members_create(100 * S);
	guint position;
	guint n_near;

	route_members_set_contact(members, 1, 1, 100 * S);
	for (gint64 t = 100; t <= 120; t++) {
		route_members_seen(members, 20, "east", t * S);
		if (t >= 112)
			route_members_seen(members, 10, "east", t * S);
		route_members_expire(members, t * S);
		ck_assert(has_place(members, 20, t * S, &position, &n_near) ==
			  (t >= 107));
		/* The place of the other one moves at once. */
		if (t >= 112)
			ck_assert_uint_eq(position, 1);
		ck_assert(has_place(members, 10, t * S, &position, &n_near) ==
			  (t >= 119));
	}
	route_members_destroy(members);
}
END_TEST

/* A silent daemon may be cut off and still send. */
START_TEST(a_silent_daemon_keeps_its_place_unless_most_are_up)
{
	static const struct {
		guint n_up; /* of 5 in the region; the others fall silent */
		gint64 silent_s;
		guint n_near;
	} cases[] = {
		{3, 59, 5}, {3, 61, 3}, {2, 61, 5}, {2, 599, 5}, {2, 601, 2},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct route_members *members = route_members_create(0);
		guint position;
		guint n_near;

		route_members_set_contact(members, 1, 1, 0);
		for (guint k = 1; k <= 5; k++)
			route_members_seen(members, k, "east", 10 * S);
		for (gint64 t = 11; t <= 10 + cases[i].silent_s; t++) {
			for (guint k = 1; k <= cases[i].n_up; k++)
				route_members_seen(members, k, "east", t * S);
			/* Another region has no say in it. */
			for (guint k = 6; k <= 20; k++)
				route_members_seen(members, k, "west", t * S);
			route_members_expire(members, t * S);
		}
		ck_assert(has_place(members, 1, (10 + cases[i].silent_s) * S,
				    &position, &n_near));
		ck_assert_msg(n_near == cases[i].n_near, "case %zu: %u", i,
			      n_near);
		route_members_destroy(members);
	}
}
END_TEST

/* Guards against a whole limit assigned on each side of a cut. */
START_TEST(a_seed_without_contact_with_most_seeds_assigns_no_place)
{
	static const struct {
		guint n_up; /* of 3 seeds, at that time */
		bool assigns;
	} cases[] = {
		[0] = {1, false},  [5] = {2, false},  [11] = {2, false},
		[12] = {2, true},  [20] = {3, true},  [30] = {1, false},
		[31] = {2, false}, [37] = {2, false}, [38] = {2, true},
	};
	struct route_members *members = route_members_create(0);
	guint position;
	guint n_near;

	for (guint t = 0; t < G_N_ELEMENTS(cases); t++) {
		route_members_seen(members, 1, "east", t * S);
		if (!cases[t].n_up)
			continue;
		route_members_set_contact(members, cases[t].n_up, 3, t * S);
		ck_assert_msg(has_place(members, 1, t * S, &position,
					&n_near) == cases[t].assigns,
			      "second %u", t);
	}
	/* All seeds are the only one. */
	route_members_set_contact(members, 1, 1, 40 * S);
	ck_assert(has_place(members, 1, 50 * S, &position, &n_near));
	route_members_destroy(members);
}
END_TEST

/* ---- many daemons ---- */

enum { DAEMONS = 24, SEEDS = 3, REGIONS = 3, RUNS = 40 };

#define STEP_US	     (50 * MS)
#define STEPS	     (300 * 20)
#define WINDOW	     (4 * 20)
#define NAMED_STEP   (10 * 20)
#define CONTACT	     (5 * 20)
#define SEED_PEERS_S 3 /* followers of a seed that called this recently */

static const char *const regions[REGIONS] = {"east", "west", "south"};
static const char *const zones[REGIONS] = {"a", "b", "c"};

/* Daemon i is in zone i % REGIONS; the first SEEDS daemons are the seeds. */
struct simulation {
	GRand *random;
	gint64 now;
	guint step;
	double limit_per_s;
	GHashTable *region_of_zone;
	struct route_table *table;
	struct route *route;
	struct route_fleet *fleets[DAEMONS];
	struct route_members *members[SEEDS];
	gint64 called_us[SEEDS][DAEMONS]; /* last call of a daemon to a seed */
	guint side[DAEMONS]; /* only daemons of one side reach each other */
	guint cut_until;
	bool unreachable[SEEDS]; /* a seed that nobody reaches */
	guint restarted[DAEMONS]; /* step of the last restart */
	gint64 heard_us[SEEDS][SEEDS]; /* last call of a seed to another one */
	gint64 observed_us[SEEDS]; /* newest answer of which a seed knows */
	guint sent[STEPS];
};

static struct route_replica *replica_of(struct simulation *sim, guint daemon)
{
	struct route_criteria criteria = {
		sim->route, route_fleet_work(sim->fleets[daemon], sim->route),
		NULL, 0};
	enum route_unavailable unavailable;

	return route_pool_choose(route_fleet_pool(sim->fleets[daemon], "s"),
				 &criteria, sim->now, &unavailable);
}

static void start(struct simulation *sim, guint daemon)
{
	struct route_bounds bounds = {.daemons = DAEMONS, .daemons_in_zone = 8};
	struct route_entry entry = {
		.id = "u", .service = "s", .zone = "a", .slots = 100};

	route_fleet_destroy(sim->fleets[daemon]);
	sim->fleets[daemon] = route_fleet_create(zones[daemon % REGIONS],
						 sim->region_of_zone);
	route_fleet_set_bounds(sim->fleets[daemon], &bounds);
	route_fleet_set_table(sim->fleets[daemon], sim->table);
	route_fleet_put(sim->fleets[daemon], &entry, sim->now);
	sim->restarted[daemon] = sim->step;
}

static void create(struct simulation *sim, guint32 seed)
{
	memset(sim, 0, sizeof(*sim));
	sim->random = g_rand_new_with_seed(seed);
	g_random_set_seed(seed); /* of the buckets' first levels */
	sim->now = 1000 * S;
	sim->limit_per_s = g_rand_double_range(sim->random, 0.5, 40);
	sim->region_of_zone = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < REGIONS; i++)
		g_hash_table_insert(sim->region_of_zone, (char *)zones[i],
				    (char *)regions[i]);
	sim->table = route_table_create(1);
	sim->route = route_create(ROUTE_SERVICE);
	sim->route->name = g_strdup("r");
	sim->route->host = g_strdup("h");
	sim->route->prefix = g_strdup("/");
	sim->route->service = g_strdup("s");
	route_table_add(sim->table, sim->route);
	route_table_add_service(sim->table, "s", 100000, 0);
	route_table_seal(sim->table);
	for (guint i = 0; i < DAEMONS; i++)
		start(sim, i);
	for (guint i = 0; i < SEEDS; i++)
		sim->members[i] = route_members_create(sim->now);
}

static void destroy(struct simulation *sim)
{
	for (guint i = 0; i < DAEMONS; i++)
		route_fleet_destroy(sim->fleets[i]);
	for (guint i = 0; i < SEEDS; i++)
		route_members_destroy(sim->members[i]);
	route_table_unref(sim->table);
	g_hash_table_unref(sim->region_of_zone);
	g_rand_free(sim->random);
}

static bool reaches(const struct simulation *sim, guint daemon, guint seed)
{
	return daemon == seed || (sim->side[daemon] == sim->side[seed] &&
				  !sim->unreachable[seed]);
}

static void see(struct simulation *sim, guint seed, guint daemon)
{
	route_members_seen(sim->members[seed], 1 + daemon * 2654435761U,
			   regions[daemon % REGIONS], sim->now);
}

static void read_limit(struct route_replica *replica, void *user)
{
	*(struct route_limit *)user = replica->limit;
}

static void update_contact(struct simulation *sim, guint seed)
{
	guint n_up = 1;

	for (guint i = 0; i < SEEDS; i++)
		n_up += sim->heard_us[seed][i] &&
			sim->now - sim->heard_us[seed][i] <= 7 * S;
	route_members_set_contact(sim->members[seed], n_up, SEEDS, sim->now);
}

static void tell(struct simulation *sim, guint seed, guint daemon)
{
	struct route_limit limit = {0};
	enum route_limit_change change;
	struct route_place place;

	route_fleet_each_limit(sim->fleets[daemon], read_limit, &limit);
	sim->observed_us[seed] = MAX(sim->observed_us[seed], limit.observed_us);
	limit = (struct route_limit){.per_s = sim->limit_per_s,
				     .observed_us = sim->observed_us[seed]};
	if (limit.observed_us)
		route_fleet_learn_limit(sim->fleets[daemon], "u", 0, &limit,
					&change, sim->now);
	update_contact(sim, seed);
	if (route_members_place(sim->members[seed], 1 + daemon * 2654435761U,
				"east", sim->now, &place))
		route_fleet_set_place(sim->fleets[daemon], "east", &place,
				      sim->now);
}

static void tell_sizes(const char *region, const struct route_place *place,
		       void *user)
{
	route_members_told_sizes(user, region, place->n_near, place->n_far);
}

/* A daemon calls the first seed that it reaches. */
static void call_seed(struct simulation *sim, guint daemon)
{
	for (guint k = 0; k < SEEDS; k++) {
		guint seed = daemon < SEEDS ? daemon : (daemon + k) % SEEDS;

		if (!reaches(sim, daemon, seed))
			continue;
		sim->called_us[seed][daemon] = sim->now;
		see(sim, seed, daemon);
		route_members_expire(sim->members[seed], sim->now);
		route_fleet_each_place(sim->fleets[daemon], tell_sizes,
				       sim->members[seed]);
		tell(sim, seed, daemon);
		return;
	}
}

struct telling {
	struct simulation *sim;
	guint other;
};

static void tell_silent(const struct route_silent *silent, const char *region,
			void *user)
{
	struct telling *telling = user;

	route_members_told_silent(telling->sim->members[telling->other], silent,
				  region, telling->sim->now);
}

/* A seed passes its followers, and the daemons that are silent, to another one.
 */
static void call_other_seed(struct simulation *sim, guint seed)
{
	guint other = (seed + 1 + sim->step / 30 % (SEEDS - 1)) % SEEDS;

	if (!reaches(sim, seed, other) || !reaches(sim, other, seed))
		return;
	sim->heard_us[other][seed] = sim->now;
	sim->observed_us[other] =
		MAX(sim->observed_us[other], sim->observed_us[seed]);
	for (guint i = 0; i < DAEMONS; i++) {
		if (sim->called_us[seed][i] &&
		    sim->now - sim->called_us[seed][i] <= SEED_PEERS_S * S)
			see(sim, other, i);
	}
	route_members_each_silent(sim->members[seed], sim->now, tell_silent,
				  &(struct telling){sim, other});
}

static void restart_seed(struct simulation *sim, guint seed)
{
	start(sim, seed);
	route_members_destroy(sim->members[seed]);
	sim->members[seed] = route_members_create(sim->now);
	memset(sim->heard_us[seed], 0, sizeof(sim->heard_us[seed]));
	memset(sim->called_us[seed], 0, sizeof(sim->called_us[seed]));
	sim->observed_us[seed] = 0;
}

/* Starts or ends a cut, or restarts a daemon or a seed. */
static void disturb(struct simulation *sim)
{
	guint daemon = g_rand_int_range(sim->random, SEEDS, DAEMONS);

	if (sim->step >= sim->cut_until) {
		memset(sim->side, 0, sizeof(sim->side));
		memset(sim->unreachable, 0, sizeof(sim->unreachable));
	}
	if (g_rand_int_range(sim->random, 0, 100) == 0)
		start(sim, daemon);
	if (g_rand_int_range(sim->random, 0, 600) == 0)
		restart_seed(sim, sim->step % SEEDS);
	if (sim->step < sim->cut_until || g_rand_int_range(sim->random, 0, 400))
		return;
	sim->cut_until = sim->step + 20 * g_rand_int_range(sim->random, 1, 150);
	switch (g_rand_int_range(sim->random, 0, 3)) {
	case 0: /* a region is cut off from the others */
		for (guint i = 0; i < DAEMONS; i++)
			sim->side[i] = i % REGIONS == sim->step % REGIONS;
		break;
	case 1: /* any daemons */
		for (guint i = 0; i < DAEMONS; i++)
			sim->side[i] = g_rand_int_range(sim->random, 0, 3) == 0;
		break;
	case 2: /* no daemon reaches some or all of the seeds */
		for (guint i = 0; i < SEEDS; i++)
			sim->unreachable[i] =
				g_rand_int_range(sim->random, 0, 4) > 0;
		break;
	}
}

/* All daemons have more requests than the replica takes. */
static void send_all(struct simulation *sim)
{
	for (guint i = 0; i < DAEMONS; i++) {
		struct route_replica *replica;

		while ((replica = replica_of(sim, i))) {
			struct route_attempt attempt = {0};
			bool limited = sim->step >= NAMED_STEP;

			route_attempt_begin(
				&attempt, replica,
				route_fleet_work(sim->fleets[i], sim->route),
				sim->now);
			route_attempt_end(&attempt, ROUTE_ANSWERED, sim->now);
			route_replica_observe_limit(
				replica, limited ? sim->limit_per_s : 0,
				sim->now, sim->now);
			/* The rule leaves out a daemon that was restarted. */
			if (sim->step - sim->restarted[i] >= CONTACT)
				sim->sent[sim->step]++;
			if (!limited)
				break;
		}
	}
}

static guint most_in_window(const struct simulation *sim)
{
	guint most = 0;
	guint sum = 0;

	for (guint i = NAMED_STEP + CONTACT; i < STEPS; i++) {
		sum += sim->sent[i];
		if (i >= NAMED_STEP + CONTACT + WINDOW)
			sum -= sim->sent[i - WINDOW];
		most = MAX(most, sum);
	}
	return most;
}

/* Plays one run and requires that the replica gets no more than allowed. */
static void check_run(guint32 seed)
{
	struct simulation sim;
	double limit_per_s;
	guint most;

	create(&sim, seed);
	for (sim.step = 0; sim.step < STEPS; sim.step++) {
		disturb(&sim);
		for (guint i = 0; i < DAEMONS; i++) {
			if ((sim.step + i) % 20 == 0)
				call_seed(&sim, i);
		}
		for (guint i = 0; i < SEEDS; i++) {
			if ((sim.step + 10 * i) % 30 == 0)
				call_other_seed(&sim, i);
		}
		send_all(&sim);
		sim.now += STEP_US;
	}
	most = most_in_window(&sim);
	limit_per_s = sim.limit_per_s;
	destroy(&sim);
	ck_assert_msg(most <= 1.5 * 4 * limit_per_s + 5,
		      "seed %u: %u requests in 4 s, limit %.2f", seed, most,
		      limit_per_s);
}

START_TEST(the_sum_stays_below_the_limit_whatever_daemons_know_of_each_other)
{
	for (guint32 seed = 1; seed <= RUNS; seed++)
		check_run(seed);
}
END_TEST

/* Seeds of 3,000 in which most seeds of one side restart during a cut. */
START_TEST(two_sides_of_a_cut_together_exceed_the_rate_limit)
{
	static const guint32 seeds[] = {277, 413, 702, 714, 2497};

	for (gsize i = 0; i < G_N_ELEMENTS(seeds); i++)
		check_run(seeds[i]);
}
END_TEST

UNIT_MAIN("division", fractions_of_all_places_add_up_to_the_limit,
	  daemons_near_the_replica_get_most_of_its_limit,
	  extreme_rate_limits_are_handled,
	  a_daemon_that_is_not_told_any_more_uses_half_of_its_part,
	  another_incarnation_has_no_rate_limit,
	  a_repeat_goes_to_a_replica_without_a_rate_limit,
	  a_limit_ends_only_with_an_answer_to_a_later_request,
	  a_new_daemon_gets_no_place_before_the_others_were_told,
	  a_silent_daemon_keeps_its_place_unless_most_are_up,
	  a_seed_without_contact_with_most_seeds_assigns_no_place,
	  the_sum_stays_below_the_limit_whatever_daemons_know_of_each_other,
	  two_sides_of_a_cut_together_exceed_the_rate_limit)
