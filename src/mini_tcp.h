#ifndef MINI_TCP_H
#define MINI_TCP_H

/*
 * mini_tcp - a small TCP for callers and backend servers made of packets
 *
 * The load tool and the stand-ins speak to the system in raw IPv4 packets, so
 * they need their own end of a connection: handshake, sequence numbers,
 * retransmission, reordering, FIN and reset, with a fixed window and without
 * congestion control. It opens no socket and reads no clock. Source: RFC 793,
 * RFC 5961 for resets.
 *
 * The stack owns its connections. A connection is freed when its `closed`
 * callback has returned.
 */

#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Payload bytes in one segment. */
#define MINI_TCP_MSS 1400

typedef struct mini_tcp mini_tcp_t;
typedef struct mini_conn mini_conn_t;

typedef enum mini_close {
	MINI_FINISHED = 0, /* both sides finished */
	MINI_RESET,	   /* the peer reset; the reason is its payload */
	MINI_TIMEOUT,	   /* the peer did not acknowledge */
	MINI_ABORTED,	   /* mini_conn_abort() */
} mini_close_t;

typedef struct mini_tcp_ops {
	/* A packet to send. */
	void (*output)(void *ctx, const uint8_t *packet, size_t len);
	/* A peer opens a connection; false refuses it with a reset. */
	bool (*accept)(void *ctx, mini_conn_t *conn);
	/* The handshake is done. */
	void (*established)(void *ctx, mini_conn_t *conn);
	/* Bytes in order. */
	void (*data)(void *ctx, mini_conn_t *conn, const uint8_t *bytes,
		     size_t len);
	/* The peer sends no more. */
	void (*peer_finished)(void *ctx, mini_conn_t *conn);
	/* The connection is over; reason is the payload of a reset. */
	void (*closed)(void *ctx, mini_conn_t *conn, mini_close_t cause,
		       const char *reason, size_t reason_len);
} mini_tcp_ops_t;

/* The operations are copied. NULL: no memory. */
mini_tcp_t *mini_tcp_new(const mini_tcp_ops_t *ops, void *ctx, uint64_t seed);

/* Frees all connections without a callback or packet. */
void mini_tcp_free(mini_tcp_t *t);

/* Opens a connection from key.src to key.dst. NULL: no memory or in use. */
mini_conn_t *mini_tcp_connect(mini_tcp_t *t, uint64_t now,
			      const flow_key_t *key);

void mini_tcp_input(mini_tcp_t *t, uint64_t now, const uint8_t *packet,
		    size_t len);

/* Retransmits; to be called about every 10 to 50 ms. */
void mini_tcp_tick(mini_tcp_t *t, uint64_t now);

size_t mini_tcp_conn_count(const mini_tcp_t *t);

/* Queues bytes. Returns 0, or -1 without memory or after finishing. */
int mini_conn_send(mini_conn_t *c, uint64_t now, const void *bytes, size_t len);

/* Sends no more after what is queued. */
void mini_conn_shutdown(mini_conn_t *c, uint64_t now);

/* Resets the connection; `closed` is called with MINI_ABORTED. */
void mini_conn_abort(mini_conn_t *c);

/* Sends a segment that asks the peer for an acknowledgement. */
void mini_conn_keepalive(mini_conn_t *c);

/* The key as the opening side sees it: src is the caller. */
const flow_key_t *mini_conn_key(const mini_conn_t *c);

/* Bytes queued and not yet acknowledged. */
size_t mini_conn_unacknowledged(const mini_conn_t *c);

void mini_conn_set_data(mini_conn_t *c, void *data);
void *mini_conn_data(const mini_conn_t *c);

const char *mini_close_name(mini_close_t cause);

#endif
