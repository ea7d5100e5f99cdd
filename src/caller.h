#ifndef CALLER_H
#define CALLER_H

/*
 * caller - traffic generator: requests of callers over mini_tcp
 *
 * Each request opens a TCP connection and sends one request of app_model.h on
 * it. The caller checks every byte of the response and records the outcome. It
 * uses no socket and no clock: the user passes packets and the time in ms. It
 * owns its requests and frees each after its `ended` callback has returned.
 */

#include "app_model.h"
#include "list.h"
#include "mini_tcp.h"
#include "refusal.h"

typedef struct caller caller_t;

/* Outcome of a request. */
typedef enum outcome {
	OUTCOME_DONE = 0, /* complete and correct response */
	OUTCOME_NOT_RUN,  /* refused as "not run" */
	OUTCOME_UNKNOWN,  /* refused as "outcome unknown" */
	OUTCOME_SHED,	  /* the backend server answered BUSY */
	OUTCOME_RESET,	  /* reset without a refusal text */
	OUTCOME_TIMEOUT,  /* no acknowledgement after all retransmissions */
	OUTCOME_CORRUPT,  /* wrong, missing or surplus response bytes */
	OUTCOMES,	  /* number of outcomes */
} outcome_t;

typedef struct caller_request {
	list_t link; /* in the list of the caller's requests */
	app_request_t app;
	flow_key_t key;
	void *data; /* argument of caller_begin() */
	uint64_t started_ms;
	uint64_t first_byte_ms; /* first byte of the response, 0: none yet */
	uint64_t ended_ms;
	uint64_t received;     /* bytes of the response received */
	uint64_t max_gap_ms;   /* longest time between two received segments */
	uint64_t last_data_ms; /* latest received segment */
	bool outcome_set;      /* outcome is valid */
	bool duplicate;	       /* log only: the server had recorded it before */
	outcome_t outcome;
	unsigned retry_after_s; /* from the refusal text, s */
	mini_conn_t *conn;
	char log_reply[64]; /* response line, log only */
} caller_request_t;

typedef struct caller_ops {
	/* Sends a packet to the fabric. */
	void (*output)(void *ctx, const uint8_t *packet, size_t len);
	/* A request has ended; r is valid during the call only. */
	void (*ended)(void *ctx, const caller_request_t *r);
} caller_ops_t;

/*
 * Requests are sent from the IPv4 address source; seed determines the initial
 * sequence numbers. Copies ops. Returns NULL if out of memory.
 */
caller_t *caller_new(const caller_ops_t *ops, void *ctx, uint32_t source,
		     uint64_t seed);
void caller_free(caller_t *c);

/*
 * Opens a connection and sends the request once it is established. Returns NULL
 * when there is no memory or no free port.
 */
caller_request_t *caller_begin(caller_t *c, uint64_t now, uint32_t address,
			       uint16_t port, const app_request_t *app,
			       void *data);

/*
 * Resets the connection of a request. The next caller_tick() calls `ended`,
 * with OUTCOME_CORRUPT unless an outcome is set already.
 */
void caller_abort(caller_request_t *r);

/* Handles a packet addressed to the caller. */
void caller_input(caller_t *c, uint64_t now, const uint8_t *packet, size_t len);

/* Retransmits and times out; to be called about every 10 ms. */
void caller_tick(caller_t *c, uint64_t now);

/* Number of requests that have not ended. */
size_t caller_open_count(const caller_t *c);

const char *outcome_name(outcome_t outcome);

#endif
