#ifndef UDP_SOCKET_H
#define UDP_SOCKET_H

/*
 * udp_socket - UDP socket on a libuv loop with batched reads and writes
 *
 * Datagrams to send are queued. The queue is sent with one system call when it
 * is full or before the loop waits for events. Datagrams of equal length to one
 * address are passed to the kernel as one message that the kernel splits
 * (generic segmentation offload, UDP_SEGMENT); the order of datagrams to an
 * address is kept. The caller owns the socket and frees it with
 * udp_socket_close(); the memory is released when the loop has run its close
 * callbacks.
 */

#include "endpoint.h"
#include "err.h"
#include <stdbool.h>
#include <uv.h>

/* Maximum length of a datagram in bytes: a jumbo frame and message headers. */
#define UDP_DATAGRAM_MAX 9600

typedef struct udp_socket udp_socket_t;

typedef struct udp_socket_ops {
	/* Receives a datagram; buf is valid during the call only. */
	void (*receive)(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len);
	/*
	 * Sees a datagram a few calls of `receive` in advance, to prefetch data
	 * into the CPU cache; may be NULL.
	 */
	void (*prefetch)(void *ctx, const uint8_t *buf, size_t len);
	/*
	 * The host of the peer reported that the port is unreachable
	 * (ECONNREFUSED, connected sockets only); may be NULL.
	 */
	void (*refused)(void *ctx);
	/* All datagrams of one read were passed to `receive`; may be NULL. */
	void (*batch_end)(void *ctx);
} udp_socket_ops_t;

/*
 * Opens a socket bound to an address. If `peer` is not NULL, the socket is
 * connected: it receives from and sends to that peer only. Copies the
 * operations. Returns NULL and sets err on failure.
 */
udp_socket_t *udp_socket_open(uv_loop_t *loop, const endpoint_t *bind_to,
			      const endpoint_t *peer,
			      const udp_socket_ops_t *ops, void *ctx,
			      err_t *err);

/* Time in ms that the datagram which is being received waited in the socket, at
 * most; short waits are 0. Valid in `receive`. */
uint32_t udp_socket_wait_ms(const udp_socket_t *s);

/* Sends the queue, closes the socket and frees it. */
void udp_socket_close(udp_socket_t *s);

/* Returns a buffer of UDP_DATAGRAM_MAX bytes for the next datagram to send. */
uint8_t *udp_socket_reserve(udp_socket_t *s);

/* Queues the first len bytes of the reserved buffer. */
void udp_socket_commit(udp_socket_t *s, const endpoint_t *to, size_t len);

/* Queues a copy of buf; drops it if longer than UDP_DATAGRAM_MAX. */
void udp_socket_send(udp_socket_t *s, const endpoint_t *to, const uint8_t *buf,
		     size_t len);

/* Sends the queue. */
void udp_socket_flush(udp_socket_t *s);

/* Sends each datagram separately, for hosts without UDP_SEGMENT. */
void udp_socket_disable_gso(udp_socket_t *s);

/* Number of datagrams that could not be sent. */
uint64_t udp_socket_send_failures(const udp_socket_t *s);

#endif
