#ifndef CALLER_H
#define CALLER_H

/*
 * caller - callers' requests for load and experiments
 *
 * Each request is a connection of its own with one request of app_model.h.
 * The caller checks every byte of the answer and notes how the request ended.
 * It opens no socket and reads no clock. It owns its requests; one is freed
 * when its `ended` callback has returned.
 */

#include "app_model.h"
#include "list.h"
#include "mini_tcp.h"
#include "refusal.h"

typedef struct caller caller_t;

/* How a request ended. */
typedef enum outcome {
	OUTCOME_DONE = 0,
	OUTCOME_NOT_RUN, /* refused, and so told */
	OUTCOME_UNKNOWN, /* refused: outcome unknown */
	OUTCOME_SHED,	 /* the backend server said BUSY */
	OUTCOME_RESET,	 /* reset without a word */
	OUTCOME_TIMEOUT, /* nobody answered */
	OUTCOME_CORRUPT, /* wrong bytes, or too few of them */
	OUTCOMES,	 /* number of outcomes, not one */
} outcome_t;

typedef struct caller_request {
	list_t link; /* requests of the caller */
	app_request_t app;
	flow_key_t key;
	void *data; /* the user's */
	uint64_t started_ms;
	uint64_t answered_ms; /* first byte of the answer, 0 for none */
	uint64_t ended_ms;
	uint64_t got;	       /* bytes of the answer */
	uint64_t greatest_gap; /* ms between two parts of the answer */
	uint64_t last_data_ms;
	bool outcome_set; /* outcome is final */
	bool duplicate;	  /* the server had recorded this log before */
	outcome_t outcome;
	unsigned retry_after_s; /* with a refusal */
	mini_conn_t *conn;
	char log_reply[64]; /* answer to a log */
} caller_request_t;

typedef struct caller_ops {
	/* A packet to the fabric. */
	void (*output)(void *ctx, const uint8_t *packet, size_t len);
	/* A request is over; valid during the call only. */
	void (*ended)(void *ctx, const caller_request_t *r);
} caller_ops_t;

/* Requests come from this address. NULL: no memory. */
caller_t *caller_new(const caller_ops_t *ops, void *ctx, uint32_t source,
		     uint64_t seed);
void caller_free(caller_t *c);

/* Begins a request. NULL: no memory or no port is free. */
caller_request_t *caller_begin(caller_t *c, uint64_t now, uint32_t address,
			       uint16_t port, const app_request_t *app,
			       void *data);

/* Gives a request up: the connection is reset. */
void caller_abort(caller_request_t *r);

void caller_input(caller_t *c, uint64_t now, const uint8_t *packet, size_t len);

/* To be called about every 10 ms. */
void caller_tick(caller_t *c, uint64_t now);

/* Requests that are not over. */
size_t caller_open_count(const caller_t *c);

const char *outcome_name(outcome_t outcome);

#endif
