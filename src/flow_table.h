#ifndef FLOW_TABLE_H
#define FLOW_TABLE_H

/*
 * flow_table - the flows that one agent holds
 *
 * The table owns its flows. A flow is found by its key. Flows of one protocol
 * are also kept in the order of their last packet, so that silent ones can be
 * found, and those in a state that lasts a short time in a list of their own,
 * so that quiet flows cost nothing at a tick.
 */

#include "list.h"
#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum flow_state {
	FLOW_VERIFYING = 0, /* unknown: the backend server is being asked */
	FLOW_DENIED,	  /* the backend server said that it has no such flow */
	FLOW_OPENING,	  /* SYN delivered */
	FLOW_HALF_OPEN,	  /* SYN-ACK seen, not acknowledged yet */
	FLOW_ESTABLISHED, /* both sides have spoken; UDP starts here */
	FLOW_CLOSING,	  /* finished or reset: kept for late packets */
	FLOW_LOST,	  /* the caller took another answer to its SYN */
	FLOW_STATES,	  /* number of states, not one */
} flow_state_t;

/* A packed message with a packet, kept until the backend server answers. */
typedef struct buffered_packet {
	list_t node;
	size_t len;
	uint8_t body[];
} buffered_packet_t;

typedef struct flow {
	list_t chain;	     /* same bucket */
	list_t recent;	     /* in order of the last packet */
	list_t transient;    /* in a state that does not last, or alone */
	list_t witness_node; /* to be told to the witnesses, or alone */
	flow_key_t key;
	uint64_t hash;
	flow_state_t state;
	uint64_t last_ms;
	uint64_t state_ms; /* when the state was entered */
	uint32_t caller_isn;
	uint32_t server_isn;
	uint32_t caller_next;	 /* next sequence number of the caller */
	uint32_t server_next;	 /* next sequence number of the server */
	uint32_t caller_ack;	 /* last one of the caller */
	uint64_t caller_last_ms; /* last packet of the caller */
	uint32_t class_index;	 /* in the service */
	uint32_t weight;	 /* class weight, counted as work */
	bool counted;		 /* its weight is part of the work held */
	bool caller_fin;
	bool server_fin;
	bool delivered;	     /* payload has reached the backend server */
	bool request_open;   /* payload without an answer */
	uint64_t request_ms; /* last byte of it delivered */
	bool in_slot;	     /* believed to be served, not waiting */
	uint64_t slot_ms;    /* since when */
	list_t slot_wait;    /* in the agent's list of waiting requests */
	bool announced;	     /* its witnesses were told */
	bool caller_reset;   /* the caller was told that it is lost */
	bool probe_pending;  /* an acknowledgement to us is expected */
	uint8_t resets_sent; /* how often the caller was told */
	uint8_t keepalives;  /* sent to the caller without an answer */
	uint32_t attempts;   /* probes sent in FLOW_VERIFYING */
	bool silent;	     /* in FLOW_DENIED: the server did not answer */
	list_t buffered;     /* buffered_packet_t, owned */
	size_t nbuffered;
} flow_t;

typedef struct flow_table flow_table_t;

flow_table_t *flow_table_new(size_t limit);
void flow_table_free(flow_table_t *t);

flow_t *flow_table_find(flow_table_t *t, const flow_key_t *key, uint64_t hash);

/* Adds a flow; NULL when the table is full or memory is short. */
flow_t *flow_table_add(flow_table_t *t, const flow_key_t *key, uint64_t hash,
		       uint64_t now);

void flow_table_remove(flow_table_t *t, flow_t *f);

/* Notes a packet of the flow. */
void flow_table_touch(flow_table_t *t, flow_t *f, uint64_t now);

size_t flow_table_count(const flow_table_t *t);

/* Flows of a protocol in order of their last packet, by `recent`. */
list_t *flow_table_recent(flow_table_t *t, uint8_t proto);

/* Flows in a state that does not last, by `brief`. */
list_t *flow_table_transient(flow_table_t *t);

/* Puts a flow on that list or takes it off. */
void flow_table_set_transient(flow_table_t *t, flow_t *f, bool transient);

/* Frees the packets kept for a flow. */
void flow_drop_buffered(flow_t *f);

const char *flow_state_name(flow_state_t state);

#endif
