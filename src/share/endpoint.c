/* Parses and prints IPv4 endpoints. */
#include "cuminsail/endpoint.h"

#include "cuminsail/error.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define PORT_MAX 65535

int cs_endpoint_parse(const char *text, struct sockaddr_in *endpoint)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *address = NULL;
	guint64 port = 0;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX,
						  &port, NULL))
		return CS_E_RANGE;
	memset(endpoint, 0, sizeof(*endpoint));
	endpoint->sin_family = AF_INET;
	endpoint->sin_port = htons((guint16)port);
	address = g_strndup(text, (gsize)(colon - text));
	return inet_pton(AF_INET, address, &endpoint->sin_addr) == 1
		       ? 0
		       : CS_E_RANGE;
}

void cs_endpoint_print(const struct sockaddr_in *endpoint, char *text)
{
	char address[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &endpoint->sin_addr, address, sizeof(address));
	g_snprintf(text, CS_ENDPOINT_TEXT_SIZE, "%s:%u", address,
		   ntohs(endpoint->sin_port));
}
