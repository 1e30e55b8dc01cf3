/**
 * endpoint.h - IPv4 endpoints as text, "IP:port"
 */
#ifndef CUMINSAIL_ENDPOINT_H
#define CUMINSAIL_ENDPOINT_H

#include <netinet/in.h>

/**
 * cs_endpoint_parse - parse an IPv4 address and port
 * @text: "IP:port", port 1 to 65535
 * @endpoint: where to store the result
 *
 * Return: 0, or CS_E_RANGE if @text is not a valid endpoint.
 */
int cs_endpoint_parse(const char *text, struct sockaddr_in *endpoint);

/** Buffer size for an endpoint as text, with its NUL, in bytes. */
#define CS_ENDPOINT_TEXT_SIZE 24

/**
 * cs_endpoint_print - write an address and port as "IP:port"
 * @endpoint: the endpoint
 * @text: buffer of at least CS_ENDPOINT_TEXT_SIZE bytes
 */
void cs_endpoint_print(const struct sockaddr_in *endpoint, char *text);

#endif
