/* keys: a fresh key pair for the links between the daemons of a fleet. */
#include "client.h"

#include <stdio.h>
#include <zmq.h>

/* Z85 text of a CURVE key, with its NUL. */
#define KEY_SIZE 41

enum client_exit client_keys(const struct client *client)
{
	char public_key[KEY_SIZE];
	char secret_key[KEY_SIZE];
	json_t *pair;

	if (zmq_curve_keypair(public_key, secret_key) != 0) {
		fputs("this build of ZeroMQ has no CURVE\n", stderr);
		return CLIENT_FAILED;
	}
	pair = json_pack("{s:s,s:s}", "public_key", public_key, "secret_key",
			 secret_key);
	client_print_json(pair);
	json_decref(pair);
	return CLIENT_OK;
}
