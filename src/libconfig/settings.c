/* Parses and validates the settings of one daemon. */
#include "cuminsail/config.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/error.h"

#include <gio/gio.h>
#include <string.h>

#define OFFSET(type, member) offsetof(struct type, member)

#define PORT_MAX 65535

/* Characters of a CURVE key of 32 bytes in Z85. */
#define KEY_LENGTH 40

/* Upper bound of timeouts in milliseconds: 10 minutes. */
#define MS_MAX 600000

/* Upper bound of the lifetimes of tickets and records: 24 hours. */
#define LIFETIME_MS_MAX 86400000

/* The top level of the settings, before its sections are read into base. */
struct raw_settings {
	struct settings base;
	json_t *caller;
	json_t *operators;
	json_t *platform;
	json_t *peer;
	json_t *limits;
};

#define SETTINGS_OFFSET(member) offsetof(struct raw_settings, base.member)

static const struct cs_field settings_fields[] = {
	{"instance", CS_FIELD_STRING, SETTINGS_OFFSET(instance), true, 1,
	 CS_NAME_MAX},
	{"zone", CS_FIELD_STRING, SETTINGS_OFFSET(zone), true, 1, CS_NAME_MAX},
	{"caller", CS_FIELD_OBJECT, OFFSET(raw_settings, caller), true, 0, 0},
	{"operators", CS_FIELD_OBJECT, OFFSET(raw_settings, operators), true, 0,
	 0},
	{"platform", CS_FIELD_OBJECT, OFFSET(raw_settings, platform), false, 0,
	 0},
	{"directory", CS_FIELD_STRING, SETTINGS_OFFSET(directory), false, 1,
	 4096},
	{"peer", CS_FIELD_OBJECT, OFFSET(raw_settings, peer), true, 0, 0},
	{"limits", CS_FIELD_OBJECT, OFFSET(raw_settings, limits), false, 0, 0},
};

static const struct cs_field limit_fields[] = {
	{"body_max", CS_FIELD_INT, OFFSET(settings, body_max), false, 64,
	 16777216},
	{"answer_max", CS_FIELD_INT, OFFSET(settings, answer_max), false, 1024,
	 67108864},
	{"receive_ms", CS_FIELD_INT, OFFSET(settings, receive_ms), false, 1,
	 MS_MAX},
	{"idle_ms", CS_FIELD_INT, OFFSET(settings, idle_ms), false, 1, MS_MAX},
	{"tickets_max", CS_FIELD_INT, OFFSET(settings, tickets_max), false, 1,
	 1000000},
	{"ticket_ms", CS_FIELD_INT, OFFSET(settings, ticket_ms), false, 100,
	 LIFETIME_MS_MAX},
	{"record_ms", CS_FIELD_INT, OFFSET(settings, record_ms), false, 100,
	 LIFETIME_MS_MAX},
	{"drain_ms", CS_FIELD_INT, OFFSET(settings, drain_ms), false, 0,
	 MS_MAX},
	{"stop_ms", CS_FIELD_INT, OFFSET(settings, stop_ms), false, 1, MS_MAX},
	{"history", CS_FIELD_INT, OFFSET(settings, history), false, 0, 100000},
	{"ready_peers", CS_FIELD_INT, OFFSET(settings, ready_peers), false, 0,
	 10000},
};

static const struct settings settings_defaults = {
	.body_max = 65536,
	.answer_max = 1048576,
	.receive_ms = 5000,
	.idle_ms = 75000,
	.tickets_max = 10000,
	.ticket_ms = 60000,
	.record_ms = 600000,
	.drain_ms = 3000,
	.stop_ms = 30000,
	.history = 256,
	.ready_peers = 0,
};

static const struct cs_field address_fields[] = {
	{"address", CS_FIELD_STRING, OFFSET(settings_address, address), true, 2,
	 64},
	{"port", CS_FIELD_INT, OFFSET(settings_address, port), true, 1,
	 PORT_MAX},
};

int settings_address_to_sockaddr(const struct settings_address *address,
				 struct sockaddr_in *sockaddr)
{
	g_autofree char *text = g_strdup_printf(
		"%s:%" G_GINT64_FORMAT, address->address, address->port);

	return cs_endpoint_parse(text, sockaddr);
}

static int check_address(const struct settings_address *address,
			 const char *path, char **why)
{
	struct sockaddr_in sockaddr;

	if (!settings_address_to_sockaddr(address, &sockaddr))
		return 0;
	cs_set_cause(why, "%s.address: %s is not an IPv4 number", path,
		     address->address);
	return CS_E_RANGE;
}

static int read_address(json_t *value, const char *path,
			struct settings_address *out, char **why)
{
	int error = cs_json_read(value, path, address_fields,
				 G_N_ELEMENTS(address_fields),
				 CS_UNKNOWN_KEYS_REFUSE, out, why);

	if (error)
		return error;
	return check_address(out, path, why);
}

/* An entry of peer.peers as read from JSON. */
struct raw_peer_entry {
	char *id;
	struct settings_address endpoint;
	char *public_key;
};

static const struct cs_field peer_entry_fields[] = {
	{"id", CS_FIELD_STRING, OFFSET(raw_peer_entry, id), true, 1,
	 CS_NAME_MAX},
	{"address", CS_FIELD_STRING, OFFSET(raw_peer_entry, endpoint.address),
	 true, 2, 64},
	{"port", CS_FIELD_INT, OFFSET(raw_peer_entry, endpoint.port), true, 1,
	 PORT_MAX},
	{"public_key", CS_FIELD_STRING, OFFSET(raw_peer_entry, public_key),
	 false, KEY_LENGTH, KEY_LENGTH},
};

static void destroy_peer(struct settings_peer *peer)
{
	g_free(peer->id);
	g_free(peer->endpoint.address);
	g_free(peer->public_key);
	g_free(peer);
}

static int read_peer_entry(struct settings *settings, json_t *value,
			   size_t index, char **why)
{
	g_autofree char *path = g_strdup_printf("peer.peers[%zu]", index);
	struct settings_peer *peer = g_new0(struct settings_peer, 1);
	struct raw_peer_entry raw = {0};
	int error;

	error = cs_json_read(value, path, peer_entry_fields,
			     G_N_ELEMENTS(peer_entry_fields),
			     CS_UNKNOWN_KEYS_REFUSE, &raw, why);
	peer->id = raw.id;
	peer->endpoint = raw.endpoint;
	peer->public_key = raw.public_key;
	g_ptr_array_add(settings->peers, peer);
	if (error)
		return error;
	return check_address(&peer->endpoint, path, why);
}

/* The section "peer" as read from JSON. */
struct raw_peer_section {
	struct settings_address endpoint;
	bool plain;
	char *public_key;
	char *secret_key;
	json_t *peers;
};

static const struct cs_field peer_section_fields[] = {
	{"address", CS_FIELD_STRING, OFFSET(raw_peer_section, endpoint.address),
	 true, 2, 64},
	{"port", CS_FIELD_INT, OFFSET(raw_peer_section, endpoint.port), true, 1,
	 PORT_MAX},
	{"plain", CS_FIELD_BOOL, OFFSET(raw_peer_section, plain), false, 0, 0},
	{"public_key", CS_FIELD_STRING, OFFSET(raw_peer_section, public_key),
	 false, KEY_LENGTH, KEY_LENGTH},
	{"secret_key", CS_FIELD_STRING, OFFSET(raw_peer_section, secret_key),
	 false, KEY_LENGTH, KEY_LENGTH},
	{"peers", CS_FIELD_ARRAY, OFFSET(raw_peer_section, peers), false, 0, 0},
};

/* Encrypted links between daemons need both keys of this daemon. */
static int check_peer_keys(const struct settings *settings, char **why)
{
	bool both = settings->peer_public_key && settings->peer_secret_key;

	if (settings->peer_plain || both)
		return 0;
	cs_set_cause(why,
		     "peer: public_key and secret_key are needed unless plain "
		     "is true");
	return CS_E_MISSING;
}

static int read_peer_section(struct settings *settings, json_t *value,
			     char **why)
{
	struct raw_peer_section raw = {0};
	size_t index;
	json_t *peer;
	int error;

	error = cs_json_read(value, "peer", peer_section_fields,
			     G_N_ELEMENTS(peer_section_fields),
			     CS_UNKNOWN_KEYS_REFUSE, &raw, why);
	settings->peer = raw.endpoint;
	settings->peer_plain = raw.plain;
	settings->peer_public_key = raw.public_key;
	settings->peer_secret_key = raw.secret_key;
	if (!error)
		error = check_address(&settings->peer, "peer", why);
	if (!error)
		error = check_peer_keys(settings, why);
	if (error)
		return error;
	json_array_foreach (raw.peers, index, peer) {
		error = read_peer_entry(settings, peer, index, why);
		if (error)
			return error;
	}
	return 0;
}

/* The configuration and the instance list come from exactly one source. */
static int read_source(struct raw_settings *raw, char **why)
{
	if (!raw->platform == !raw->base.directory) {
		cs_set_cause(why, "settings: one of platform and directory is "
				  "needed, not both");
		return CS_E_MISSING;
	}
	if (!raw->platform)
		return 0;
	return read_address(raw->platform, "platform", &raw->base.platform,
			    why);
}

static int read_settings(struct raw_settings *raw, json_t *document, char **why)
{
	struct settings *base = &raw->base;
	int error;

	error = cs_json_read(document, "settings", settings_fields,
			     G_N_ELEMENTS(settings_fields),
			     CS_UNKNOWN_KEYS_REFUSE, raw, why);
	if (!error)
		error = config_check_name("instance", base->instance, why);
	if (!error)
		error = read_address(raw->caller, "caller", &base->caller, why);
	if (!error)
		error = read_address(raw->operators, "operators",
				     &base->operators, why);
	if (!error)
		error = read_source(raw, why);
	if (!error)
		error = read_peer_section(base, raw->peer, why);
	if (!error && raw->limits)
		error = cs_json_read(raw->limits, "limits", limit_fields,
				     G_N_ELEMENTS(limit_fields),
				     CS_UNKNOWN_KEYS_REFUSE, base, why);
	return error;
}

struct settings *settings_create(const char *text, int *error, char **why)
{
	struct raw_settings raw = {.base = settings_defaults};
	size_t length = strlen(text);
	json_t *document = cs_json_parse(text, length, why);
	struct settings *settings;

	if (!document) {
		*error = cs_json_error(text, length);
		return NULL;
	}
	raw.base.peers =
		g_ptr_array_new_with_free_func((GDestroyNotify)destroy_peer);
	*error = read_settings(&raw, document, why);
	json_decref(document);
	settings = g_memdup2(&raw.base, sizeof(raw.base));
	if (!*error)
		return settings;
	settings_destroy(settings);
	return NULL;
}

void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	g_free(settings->instance);
	g_free(settings->zone);
	g_free(settings->caller.address);
	g_free(settings->operators.address);
	g_free(settings->platform.address);
	g_free(settings->directory);
	g_free(settings->peer.address);
	g_free(settings->peer_public_key);
	g_free(settings->peer_secret_key);
	g_ptr_array_unref(settings->peers);
	g_free(settings);
}
