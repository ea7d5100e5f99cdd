#include "endpoint.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int ipv4_parse(const char *text, uint32_t *out)
{
	struct in_addr in;

	if (inet_pton(AF_INET, text, &in) != 1)
		return -1;
	*out = ntohl(in.s_addr);
	return 0;
}

int endpoint_parse(const char *text, endpoint_t *out)
{
	char host[ENDPOINT_TEXT_SIZE];
	const char *colon = strchr(text, ':');
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (colon[1] < '0' || colon[1] > '9')
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end || port == 0 || port > UINT16_MAX)
		return -1;
	out->port = (uint16_t)port;
	return ipv4_parse(host, &out->ip);
}

char *ipv4_format(uint32_t ip, char buf[ENDPOINT_TEXT_SIZE])
{
	snprintf(buf, ENDPOINT_TEXT_SIZE, "%u.%u.%u.%u", ip >> 24,
		 (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
	return buf;
}

char *endpoint_format(const endpoint_t *ep, char buf[ENDPOINT_TEXT_SIZE])
{
	char host[ENDPOINT_TEXT_SIZE];

	snprintf(buf, ENDPOINT_TEXT_SIZE, "%.15s:%u", ipv4_format(ep->ip, host),
		 ep->port);
	return buf;
}

int endpoint_equal(const endpoint_t *a, const endpoint_t *b)
{
	return a->ip == b->ip && a->port == b->port;
}

struct sockaddr_in endpoint_sockaddr(const endpoint_t *ep)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };

	sa.sin_addr.s_addr = htonl(ep->ip);
	sa.sin_port = htons(ep->port);
	return sa;
}

endpoint_t endpoint_from_sockaddr(const struct sockaddr_in *sa)
{
	endpoint_t ep = { ntohl(sa->sin_addr.s_addr), ntohs(sa->sin_port) };

	return ep;
}
