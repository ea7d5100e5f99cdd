#ifndef ENDPOINT_H
#define ENDPOINT_H

/*
 * endpoint - an IPv4 address and a port, both in host byte order
 */

#include <stddef.h>
#include <stdint.h>
#include <netinet/in.h>

/* Buffer size for endpoint_format() and ipv4_format(), in bytes. */
#define ENDPOINT_TEXT_SIZE 24

typedef struct endpoint {
	uint32_t ip;
	uint16_t port;
} endpoint_t;

/* Parses "1.2.3.4:80". Returns 0, or -1 when text is not an endpoint. */
int endpoint_parse(const char *text, endpoint_t *out);

/* Parses "1.2.3.4". Returns 0, or -1 when text is not an IPv4 address. */
int ipv4_parse(const char *text, uint32_t *out);

/* Formats an endpoint as "1.2.3.4:80". Returns buf. */
char *endpoint_format(const endpoint_t *ep, char buf[ENDPOINT_TEXT_SIZE]);

/* Formats an address as "1.2.3.4". Returns buf. */
char *ipv4_format(uint32_t ip, char buf[ENDPOINT_TEXT_SIZE]);

int endpoint_equal(const endpoint_t *a, const endpoint_t *b);

struct sockaddr_in endpoint_sockaddr(const endpoint_t *ep);

endpoint_t endpoint_from_sockaddr(const struct sockaddr_in *sa);

#endif
