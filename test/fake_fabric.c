/*
 * fake_fabric - simulates the network fabric of the platform
 *
 * fake_fabric LISTEN SEED [BALANCER...]
 *
 * Callers send tunnelled packets to LISTEN. The fabric records the sender's
 * address for the inner source address, so that packets to that inner address
 * are forwarded to the caller. All other packets go to random balancers.
 *
 * A datagram that begins with '#' is a command and is answered with "ok" or
 * "error":
 *
 *	#add IP:PORT	adds a balancer
 *	#del IP:PORT	removes a balancer
 *	#loss P		drops packets with probability P
 *	#dup P		duplicates callers' packets with probability P
 *	#delay MS	delays packets
 *	#jitter MS	delays packets further, by a random time up to MS
 *	#cut IP:PORT	drops packets to an address
 *	#heal		ends all cuts
 */

#include "../src/endpoint.h"
#include "../src/packet.h"
#include "../src/udp_socket.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BALANCERS_MAX 256
#define CALLERS_MAX   4096

typedef struct caller {
	uint32_t ip;	 /* inner address */
	endpoint_t addr; /* outer address */
} caller_t;

typedef struct fabric {
	uv_loop_t loop;
	udp_socket_t *socket;
	endpoint_t balancers[BALANCERS_MAX];
	size_t nbalancers;
	endpoint_t cut_endpoints[BALANCERS_MAX];
	size_t ncut_endpoints;
	caller_t callers[CALLERS_MAX];
	double loss_ratio;
	double dup_ratio;
	unsigned delay_ms;
	unsigned jitter_ms;
	uint64_t rng_state;
} fabric_t;

typedef struct delayed_packet {
	uv_timer_t timer;
	fabric_t *fabric;
	endpoint_t to;
	size_t len;
	uint8_t bytes[];
} delayed_packet_t;

static double random_fraction(fabric_t *f);
static void command(fabric_t *f, const endpoint_t *from, char *text);
static void forward(fabric_t *f, const endpoint_t *to, const uint8_t *buf,
		    size_t len);

static double random_fraction(fabric_t *f)
{
	uint64_t x = f->rng_state += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (double)((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

static void free_delayed(uv_handle_t *handle)
{
	free(handle->data);
}

static void send_delayed(uv_timer_t *timer)
{
	delayed_packet_t *d = timer->data;

	udp_socket_send(d->fabric->socket, &d->to, d->bytes, d->len);
	uv_close((uv_handle_t *)timer, free_delayed);
}

static void forward(fabric_t *f, const endpoint_t *to, const uint8_t *buf,
		    size_t len)
{
	unsigned delay_ms = f->delay_ms;
	delayed_packet_t *d;

	for (size_t i = 0; i < f->ncut_endpoints; i++)
		if (endpoint_equal(&f->cut_endpoints[i], to))
			return;
	if (f->loss_ratio > 0 && random_fraction(f) < f->loss_ratio)
		return;
	if (f->jitter_ms)
		delay_ms += (unsigned)(random_fraction(f) * (f->jitter_ms + 1));
	if (!delay_ms) {
		udp_socket_send(f->socket, to, buf, len);
		return;
	}
	d = malloc(sizeof(*d) + len);
	if (!d)
		return;
	d->fabric = f;
	d->to = *to;
	d->len = len;
	memcpy(d->bytes, buf, len);
	uv_timer_init(&f->loop, &d->timer);
	d->timer.data = d;
	uv_timer_start(&d->timer, send_delayed, delay_ms, 0);
}

static void endpoint_list_remove(endpoint_t *list, size_t *n,
				 const endpoint_t *ep)
{
	for (size_t i = 0; i < *n; i++)
		if (endpoint_equal(&list[i], ep)) {
			list[i] = list[--*n];
			return;
		}
}

static int command_endpoint(fabric_t *f, const char *verb, const endpoint_t *ep)
{
	if (!strcmp(verb, "#del")) {
		endpoint_list_remove(f->balancers, &f->nbalancers, ep);
		return 0;
	}
	if (!strcmp(verb, "#add") && f->nbalancers < BALANCERS_MAX) {
		f->balancers[f->nbalancers++] = *ep;
		return 0;
	}
	if (!strcmp(verb, "#cut") && f->ncut_endpoints < BALANCERS_MAX) {
		f->cut_endpoints[f->ncut_endpoints++] = *ep;
		return 0;
	}
	return -1;
}

static int command_number(fabric_t *f, const char *verb, const char *argument)
{
	if (!strcmp(verb, "#loss"))
		f->loss_ratio = atof(argument);
	else if (!strcmp(verb, "#dup"))
		f->dup_ratio = atof(argument);
	else if (!strcmp(verb, "#delay"))
		f->delay_ms = (unsigned)atoi(argument);
	else if (!strcmp(verb, "#jitter"))
		f->jitter_ms = (unsigned)atoi(argument);
	else if (!strcmp(verb, "#heal"))
		f->ncut_endpoints = 0;
	else
		return -1;
	return 0;
}

static void command(fabric_t *f, const endpoint_t *from, char *text)
{
	char verb[16] = "", argument[64] = "";
	endpoint_t ep;
	int ret = -1;

	if (sscanf(text, "%15s %63s", verb, argument) >= 1) {
		if (endpoint_parse(argument, &ep) == 0)
			ret = command_endpoint(f, verb, &ep);
		else
			ret = command_number(f, verb, argument);
	}
	udp_socket_send(f->socket, from,
			(const uint8_t *)(ret ? "error" : "ok"), ret ? 5 : 2);
}

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len)
{
	fabric_t *f = ctx;
	caller_t *to, *caller;
	uint32_t src, dst;

	if (len && buf[0] == '#') {
		char text[128] = "";

		memcpy(text, buf, len < 127 ? len : 127);
		command(f, from, text);
		return;
	}
	if (len < IPV4_HEADER_LEN)
		return;
	src = (uint32_t)buf[12] << 24 | (uint32_t)buf[13] << 16 |
	      (uint32_t)buf[14] << 8 | buf[15];
	dst = (uint32_t)buf[16] << 24 | (uint32_t)buf[17] << 16 |
	      (uint32_t)buf[18] << 8 | buf[19];
	to = &f->callers[dst % CALLERS_MAX];
	if (to->ip == dst) {
		forward(f, &to->addr, buf, len);
		return;
	}
	caller = &f->callers[src % CALLERS_MAX];
	caller->ip = src;
	caller->addr = *from;
	for (int copies = random_fraction(f) < f->dup_ratio ? 2 : 1; copies;
	     copies--)
		if (f->nbalancers) {
			size_t pick = (size_t)(random_fraction(f) *
					       (double)f->nbalancers);

			forward(f, &f->balancers[pick], buf, len);
		}
}

int main(int argc, char **argv)
{
	static const udp_socket_ops_t ops = { .receive = on_datagram };
	static fabric_t f;
	endpoint_t listen;
	err_t err;

	if (argc < 3 || endpoint_parse(argv[1], &listen) < 0) {
		fprintf(stderr, "usage: fake_fabric LISTEN SEED "
				"[BALANCER...]\n");
		return 2;
	}
	f.rng_state = strtoull(argv[2], NULL, 10);
	for (int i = 3; i < argc && f.nbalancers < BALANCERS_MAX; i++)
		if (endpoint_parse(argv[i], &f.balancers[f.nbalancers]) == 0)
			f.nbalancers++;
	uv_loop_init(&f.loop);
	f.socket = udp_socket_open(&f.loop, &listen, NULL, &ops, &f, &err);
	if (!f.socket) {
		fprintf(stderr, "fake_fabric: %s\n", err.what);
		return 1;
	}
	return uv_run(&f.loop, UV_RUN_DEFAULT);
}
