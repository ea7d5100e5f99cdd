#ifndef MINI_TCP_H
#define MINI_TCP_H

/*
 * mini_tcp - small user-space TCP for callers and simulated backend servers
 *
 * The load tool and the simulated backend servers exchange raw IPv4 packets
 * with the system, so they cannot use the kernel's TCP. This stack has the
 * handshake, sequence numbers, retransmission, reordering, FIN and reset, with
 * a fixed receive window and without congestion control. It opens no socket
 * and reads no clock: packets and the time, `now` in milliseconds, are passed
 * in. Source: RFC 793; RFC 5961 for resets.
 *
 * The stack owns its connections. It frees a connection after the `closed`
 * callback of the connection has returned.
 */

#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum payload of a segment, in bytes. */
#define MINI_TCP_MSS 1400

typedef struct mini_tcp mini_tcp_t;
typedef struct mini_conn mini_conn_t;

typedef enum mini_close {
	MINI_FINISHED = 0, /* both sides sent FIN */
	MINI_RESET,   /* the peer sent a reset; its payload is the reason */
	MINI_TIMEOUT, /* no acknowledgement after all retransmissions */
	MINI_ABORTED, /* closed by mini_conn_abort() */
} mini_close_t;

typedef struct mini_tcp_ops {
	/* Sends an IPv4 packet; it is valid during the call only. */
	void (*output)(void *ctx, const uint8_t *packet, size_t len);
	/*
	 * Accepts a connection from a peer; false refuses it with a reset.
	 * If NULL, every connection is refused.
	 */
	bool (*accept)(void *ctx, mini_conn_t *conn);
	/* The handshake is complete. */
	void (*established)(void *ctx, mini_conn_t *conn);
	/* Received data, in order. */
	void (*data)(void *ctx, mini_conn_t *conn, const uint8_t *bytes,
		     size_t len);
	/* The peer has sent FIN. */
	void (*peer_finished)(void *ctx, mini_conn_t *conn);
	/*
	 * The connection is closed. `reason` is the payload of the peer's
	 * reset, not NUL-terminated; its length is 0 for other causes.
	 */
	void (*closed)(void *ctx, mini_conn_t *conn, mini_close_t cause,
		       const char *reason, size_t reason_len);
} mini_tcp_ops_t;

/*
 * Copies the operations. `seed` determines the initial sequence numbers.
 * Returns NULL if out of memory.
 */
mini_tcp_t *mini_tcp_new(const mini_tcp_ops_t *ops, void *ctx, uint64_t seed);

/* Frees the stack and all connections, without callbacks or packets. */
void mini_tcp_free(mini_tcp_t *t);

/*
 * Opens a connection from key->src to key->dst. Returns NULL if out of memory
 * or if a connection with this key exists.
 */
mini_conn_t *mini_tcp_connect(mini_tcp_t *t, uint64_t now,
			      const flow_key_t *key);

/* Processes a received IPv4 packet; drops one that is not valid TCP. */
void mini_tcp_input(mini_tcp_t *t, uint64_t now, const uint8_t *packet,
		    size_t len);

/*
 * Retransmits, sends queued data and frees connections that are closed; call it
 * about every 10 to 50 ms.
 */
void mini_tcp_tick(mini_tcp_t *t, uint64_t now);

size_t mini_tcp_conn_count(const mini_tcp_t *t);

/*
 * Queues data to send. Returns 0, or -1 if out of memory, or after
 * mini_conn_shutdown() or mini_conn_abort().
 */
int mini_conn_send(mini_conn_t *c, uint64_t now, const void *bytes, size_t len);

/* Sends FIN after the queued data; no more data can be queued. */
void mini_conn_shutdown(mini_conn_t *c, uint64_t now);

/* Sends a reset; the next tick calls `closed` with MINI_ABORTED. */
void mini_conn_abort(mini_conn_t *c);

/* Sends a keepalive probe, which the peer acknowledges. */
void mini_conn_keepalive(mini_conn_t *c);

/* Key of the connection; src is the side that opened it. */
const flow_key_t *mini_conn_key(const mini_conn_t *c);

/* Bytes queued or sent, and not yet acknowledged. */
size_t mini_conn_unacknowledged(const mini_conn_t *c);

void mini_conn_set_data(mini_conn_t *c, void *data);
void *mini_conn_data(const mini_conn_t *c);

const char *mini_close_name(mini_close_t cause);

#endif
