/* keys: generates a CURVE key pair, with which the daemons of a fleet secure
 * the links between them. */
#include "client.h"

#include <stdio.h>
#include <zmq.h>

/* Size of a CURVE key as Z85 text, including the NUL. */
#define KEY_SIZE 41

enum client_exit client_keys(const struct client *client)
{
	char public_key[KEY_SIZE];
	char secret_key[KEY_SIZE];
	json_t *pair;

	if (zmq_curve_keypair(public_key, secret_key) != 0) {
		fputs("ZeroMQ was built without CURVE support\n", stderr);
		return CLIENT_FAILED;
	}
	pair = json_pack("{s:s,s:s}", "public_key", public_key, "secret_key",
			 secret_key);
	client_print_json(pair);
	json_decref(pair);
	return CLIENT_OK;
}
