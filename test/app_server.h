#ifndef APP_SERVER_H
#define APP_SERVER_H

/*
 * app_server - model of a backend server, without sockets or clock
 *
 * Serves the requests of app_model.h over mini_tcp. A request of weight w
 * takes w * service_ms / speed in one of the slots; when more than `queue`
 * wait it is shed. Each log is recorded with how often it came.
 */

#include "../src/mini_tcp.h"
#include <glib.h>

typedef struct app_server app_server_t;

typedef struct app_server_options {
	unsigned slots;
	double speed;	   /* 1 is the declared one */
	double service_ms; /* of weight 1 at speed 1 */
	unsigned queue;
	uint64_t seed;
} app_server_options_t;

typedef struct app_server_ops {
	/* A packet to the agent. */
	void (*output)(void *ctx, const uint8_t *packet, size_t len);
} app_server_ops_t;

app_server_t *app_server_new(const app_server_options_t *options,
			     const app_server_ops_t *ops, void *ctx);
void app_server_free(app_server_t *s);

void app_server_input(app_server_t *s, uint64_t now, const uint8_t *packet,
		      size_t len);

/* To be called about every 10 ms. */
void app_server_tick(app_server_t *s, uint64_t now);

void app_server_set_speed(app_server_t *s, double speed);

/* Logs recorded: id to count, owned by the server. */
GHashTable *app_server_records(app_server_t *s);

/* A line of numbers; the caller frees it. */
char *app_server_state(const app_server_t *s);

/* Connections open. */
size_t app_server_connections(const app_server_t *s);

#endif
