#ifndef APP_SERVER_H
#define APP_SERVER_H

/*
 * app_server - model of a backend server, without sockets or clock
 *
 * Serves the requests of app_model.h over mini_tcp, first come first served.
 * A request of weight w occupies a slot for w * service_ms / speed, each
 * further chunk of a feed for chunk_service_ms / speed, so that chunks of an
 * overloaded server come late. A request that finds all slots busy and `queue`
 * others waiting is shed: it is answered with BUSY. The model counts how often
 * each log id was recorded. Completion times are rounded to whole milliseconds
 * at random, so that their mean is exact.
 */

#include "../src/app_model.h"
#include "../src/mini_tcp.h"
#include <glib.h>

typedef struct app_server app_server_t;

typedef struct app_server_options {
	unsigned slots;
	double speed;	   /* relative to the declared speed, which is 1 */
	double service_ms; /* service time of weight 1 at speed 1 */
	unsigned queue;	   /* greatest number of waiting requests */
	uint64_t seed;
	/* Service time of a feed's chunk at speed 1; 0: chunks need no slot. */
	double chunk_service_ms;
	/* Factor on the service time, by kind of request; 0 stands for 1. */
	double kind_cost[APP_KINDS];
	double service_jitter;	/* relative, uniform: 0.3 is at most 30 % */
	uint64_t warmup_ms;	/* time at warmup_speed after the start */
	double warmup_speed;	/* factor on the speed during warmup_ms */
	uint64_t report_lag_ms; /* update interval of the reported load */
	/* Factor that falsifies the reported load; 0 stands for 1. */
	double report_factor;
} app_server_options_t;

typedef struct app_server_ops {
	/* Sends an IPv4 packet to the agent. */
	void (*output)(void *ctx, const uint8_t *packet, size_t len);
} app_server_ops_t;

/* Returns NULL when memory is exhausted. `ctx` is passed to `ops`. */
app_server_t *app_server_new(const app_server_options_t *options,
			     const app_server_ops_t *ops, void *ctx);
void app_server_free(app_server_t *s);

/* Processes an IPv4 packet from the agent. `now` is a time in ms, here and
 * below. */
void app_server_input(app_server_t *s, uint64_t now, const uint8_t *packet,
		      size_t len);

/* Advances work, feeds and TCP timers. To be called about every 10 ms. */
void app_server_tick(app_server_t *s, uint64_t now);

/* Finishes the work that is due by `now`; app_server_tick() includes this. */
void app_server_run(app_server_t *s, uint64_t now);

/* Returns the time in ms at which the next work is due to finish, UINT64_MAX
 * when none is in a slot. */
uint64_t app_server_due(const app_server_t *s);

void app_server_set_speed(app_server_t *s, double speed);

/* Returns the speed at `now`, including the reduction after the start. */
double app_server_speed(const app_server_t *s, uint64_t now);

/* Reports health and load as the health and load endpoints of a backend server
 * would; the load is requests in slots and waiting, divided by slots. */
void app_server_report(app_server_t *s, uint64_t now, bool *healthy,
		       double *load);

/* Returns the logs recorded, a map from id to count, owned by the server. */
GHashTable *app_server_records(app_server_t *s);

/* Returns a line with the server's counts; the caller frees it. */
char *app_server_state(const app_server_t *s);

/* Returns the number of TCP connections. */
size_t app_server_connections(const app_server_t *s);

#endif
