#ifndef APP_SERVER_H
#define APP_SERVER_H

/*
 * app_server - model of a backend server, without sockets or clock
 *
 * Serves the requests of app_model.h over mini_tcp, first come first served.
 * A request of weight w takes w * service_ms / speed in one of the slots, each
 * further chunk of a feed chunk_ms / speed: chunks of an overloaded server
 * come late. When more than `queue` wait, a request is shed. Each log is
 * recorded with how often it came. Completion times are exact in the mean,
 * though the clock shows whole milliseconds.
 */

#include "../src/app_model.h"
#include "../src/mini_tcp.h"
#include <glib.h>

typedef struct app_server app_server_t;

typedef struct app_server_options {
	unsigned slots;
	double speed;	   /* 1 is the declared one */
	double service_ms; /* of weight 1 at speed 1 */
	unsigned queue;
	uint64_t seed;
	double chunk_service_ms;     /* of a feed's chunk; 0: no work */
	double kind_cost[APP_KINDS]; /* factor of a kind; 0 is 1 */
	double service_jitter;	     /* of a work's time, 0.3 is 30 % */
	uint64_t warmup_ms;	     /* slower for so long after its start */
	double warmup_speed;	     /* factor while cold */
	uint64_t report_lag_ms;	     /* age of the load it reports */
	double report_factor;	     /* how it lies about it; 0 is 1 */
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

/* Finishes the work that is due; a part of app_server_tick(). */
void app_server_run(app_server_t *s, uint64_t now);

/* When app_server_run() has work to finish, UINT64_MAX for never. */
uint64_t app_server_due(const app_server_t *s);

void app_server_set_speed(app_server_t *s, double speed);

/* True speed now, the cold start included. */
double app_server_speed(const app_server_t *s, uint64_t now);

/* What its health and load endpoints say. */
void app_server_report(app_server_t *s, uint64_t now, bool *healthy,
		       double *load);

/* Logs recorded: id to count, owned by the server. */
GHashTable *app_server_records(app_server_t *s);

/* A line of numbers; the caller frees it. */
char *app_server_state(const app_server_t *s);

/* Connections open. */
size_t app_server_connections(const app_server_t *s);

#endif
