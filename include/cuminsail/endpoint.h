/**
 * endpoint.h - "IP:port" texts
 */
#ifndef CUMINSAIL_ENDPOINT_H
#define CUMINSAIL_ENDPOINT_H

#include <netinet/in.h>

/**
 * cs_endpoint_parse - read an IPv4 address and port
 * @text: "IP:port", port 1 to 65535
 * @at: where to put it
 *
 * Return: 0 or CS_E_RANGE.
 */
int cs_endpoint_parse(const char *text, struct sockaddr_in *at);

/** Longest text of an endpoint with its NUL, in bytes. */
#define CS_ENDPOINT_TEXT 24

/**
 * cs_endpoint_print - write an address and port as text
 * @at: the address
 * @text: at least CS_ENDPOINT_TEXT bytes
 */
void cs_endpoint_print(const struct sockaddr_in *at, char *text);

#endif
