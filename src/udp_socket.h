#ifndef UDP_SOCKET_H
#define UDP_SOCKET_H

/*
 * udp_socket - a UDP socket on the loop that reads and writes in batches
 *
 * Datagrams to send are queued and go out in one system call when the batch
 * is full or the loop is about to wait; those of one length to one address go
 * to the kernel as one message that it cuts apart (UDP_SEGMENT), in their
 * order. Owned by the caller, closed by
 * udp_socket_close(), whose memory goes back when the loop has run.
 */

#include "endpoint.h"
#include "err.h"
#include <uv.h>

/* Longest datagram read or written: a jumbo frame and our headers. */
#define UDP_DATAGRAM_MAX 9600

typedef struct udp_socket udp_socket_t;

typedef struct udp_socket_ops {
	/* A datagram; buf is valid during the call only. */
	void (*receive)(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len);
	/* A datagram that will be received soon; may be NULL. */
	void (*prefetch)(void *ctx, const uint8_t *buf, size_t len);
	/* The peer's host refuses datagrams; may be NULL. */
	void (*refused)(void *ctx);
	/* A batch of datagrams has been read; may be NULL. */
	void (*batch_end)(void *ctx);
} udp_socket_ops_t;

/*
 * Binds to an address, and when `peer` is not NULL takes datagrams from that
 * peer only. NULL and the error when it fails.
 */
udp_socket_t *udp_socket_open(uv_loop_t *loop, const endpoint_t *bind_to,
			      const endpoint_t *peer,
			      const udp_socket_ops_t *ops, void *ctx,
			      err_t *err);
void udp_socket_close(udp_socket_t *s);

/* A buffer of UDP_DATAGRAM_MAX bytes for the next datagram. */
uint8_t *udp_socket_reserve(udp_socket_t *s);

/* Queues what was written into the reserved buffer. */
void udp_socket_commit(udp_socket_t *s, const endpoint_t *to, size_t len);

void udp_socket_send(udp_socket_t *s, const endpoint_t *to, const uint8_t *buf,
		     size_t len);

void udp_socket_flush(udp_socket_t *s);

/* Hands each datagram to the kernel by itself, for hosts without UDP_SEGMENT.
 */
void udp_socket_disable_gso(udp_socket_t *s);

/* Datagrams that the kernel did not take. */
uint64_t udp_socket_send_failures(const udp_socket_t *s);

#endif
