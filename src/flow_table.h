#ifndef FLOW_TABLE_H
#define FLOW_TABLE_H

/*
 * flow_table - the flows that one agent holds
 *
 * The table owns its flows, which are found by their key. The flows of each
 * protocol are also in a list in the order of their last packet, so that idle
 * flows are found without a scan. Flows in a transient state are in a second
 * list, so that a tick does not visit idle established flows. Times are
 * milliseconds of the caller's monotonic clock.
 */

#include "list.h"
#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* In states up to FLOW_DENIED the backend server is not known to have the flow.
 */
typedef enum flow_state {
	FLOW_VERIFYING = 0, /* the backend server is asked if it has the flow */
	FLOW_DENIED,	    /* the backend server denied it or was silent */
	FLOW_OPENING,	    /* SYN delivered */
	FLOW_HALF_OPEN,	    /* SYN-ACK seen, not acknowledged by the caller */
	FLOW_ESTABLISHED,   /* handshake done; initial state of UDP flows */
	FLOW_CLOSING,	    /* finished or reset; kept for late packets */
	FLOW_LOST,	    /* another member serves the caller's SYN */
	FLOW_STATES,	    /* number of states */
} flow_state_t;

/* A packed MSG_PACKET, kept until the backend server answers. */
typedef struct buffered_packet {
	list_t node;
	size_t len;
	uint8_t body[];
} buffered_packet_t;

typedef struct flow {
	list_t chain;	     /* node of the hash bucket */
	list_t recent;	     /* node of flow_table_recent() */
	list_t transient;    /* node of flow_table_transient() */
	list_t witness_node; /* node of a list in agent_witness.c */
	flow_key_t key;
	uint64_t hash;
	flow_state_t state;
	uint64_t last_ms;  /* last packet of either side, or keepalive */
	uint64_t state_ms; /* time of the last state change */
	uint32_t caller_isn;
	uint32_t server_isn;
	uint32_t caller_next; /* next sequence number that the caller sends */
	uint32_t server_next; /* next sequence number that the server sends */
	uint32_t caller_ack;  /* last acknowledgement number of the caller */
	uint64_t caller_last_ms; /* time of the last packet of the caller */
	uint32_t class_index;	 /* index in service->classes */
	uint32_t weight;	 /* class weight, counted as work */
	bool counted; /* included in the agent's held flows and work */
	bool caller_fin;
	bool server_fin;
	bool delivered;	     /* payload was sent to the backend server */
	bool request_open;   /* a request has no answer yet */
	uint64_t request_ms; /* time its last byte was delivered */
	bool in_slot;	     /* estimated to be in service, not queued */
	uint64_t slot_ms;    /* time the request got its slot */
	list_t slot_wait;    /* node of the agent's queue for a slot */
	bool announced;	     /* the flow was sent to the witnesses */
	bool caller_reset;   /* a reset was sent to the caller */
	bool probe_pending;  /* the server's next pure ACK answers a probe */
	uint8_t resets_sent; /* resets sent to the caller */
	uint8_t keepalives;  /* sent since the last packet of the caller */
	uint32_t attempts;   /* probes sent; half open: SYN copies received */
	bool silent;	     /* FLOW_DENIED because the server did not answer */
	list_t buffered;     /* buffered_packet_t entries, owned */
	size_t nbuffered;
} flow_t;

typedef struct flow_table flow_table_t;

/* Allocates a table for `limit` flows. Returns NULL without memory. */
flow_table_t *flow_table_new(size_t limit);
void flow_table_free(flow_table_t *t);

/* Returns the flow, or NULL. */
flow_t *flow_table_find(flow_table_t *t, const flow_key_t *key, uint64_t hash);

/* Adds a flow. Returns NULL when the table is full or without memory. */
flow_t *flow_table_add(flow_table_t *t, const flow_key_t *key, uint64_t hash,
		       uint64_t now);

/* Removes and frees a flow with its buffered packets. */
void flow_table_remove(flow_table_t *t, flow_t *f);

/* Records a packet or keepalive: the flow becomes the most recent one. */
void flow_table_touch(flow_table_t *t, flow_t *f, uint64_t now);

size_t flow_table_count(const flow_table_t *t);

/* Flows of a protocol linked by `recent`, the longest idle first. */
list_t *flow_table_recent(flow_table_t *t, uint8_t proto);

/* Flows in a transient state, linked by `transient`. */
list_t *flow_table_transient(flow_table_t *t);

/* Adds a flow to flow_table_transient() or removes it. */
void flow_table_set_transient(flow_table_t *t, flow_t *f, bool transient);

/* Frees the packets buffered for a flow. */
void flow_drop_buffered(flow_t *f);

/* Name of a state as `explain` reports it, "unknown" for other values. */
const char *flow_state_name(flow_state_t state);

#endif
