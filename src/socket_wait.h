#ifndef SOCKET_WAIT_H
#define SOCKET_WAIT_H

/*
 * socket_wait - how long a datagram waited in a socket before it was read
 *
 * Load pattern: a process doesn't run for seconds (stopped, suspended, or out
 * of processor time) while callers go on sending. Their packets wait in its
 * sockets and are read all at once, when most callers have sent copies through
 * other processes or have given up.
 *
 * The kernel stamps each datagram with the Unix time of its arrival. That clock
 * may be set, so the time since the socket was last known to be empty bounds
 * the wait; without a stamp this bound is the wait.
 *
 * No I/O and no clock; now is in ms of a clock that counts suspended time, too.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct socket_wait {
	uint64_t polled_ms; /* before the last poll */
	uint64_t empty_ms;  /* all that is unread has arrived since then */
	bool read;	    /* the socket was read since the last poll */
} socket_wait_t;

void socket_wait_init(socket_wait_t *w, uint64_t now);

/* Notes that the socket is about to be polled. */
void socket_wait_poll(socket_wait_t *w, uint64_t now);

/* Notes that the datagrams of a read have been handled; all: it left nothing in
 * the socket. */
void socket_wait_read(socket_wait_t *w, bool all);

/* Longest time in ms that a datagram has waited that is handled at now. */
uint64_t socket_wait_bound(const socket_wait_t *w, uint64_t now);

/*
 * Time in ms that a datagram has waited, at most bound_ms. stamp_age_ms is the
 * time since its stamp; NULL: it has none. A stamp in the future was taken by a
 * clock that has been set since.
 */
uint32_t socket_wait_ms(uint64_t bound_ms, const int64_t *stamp_age_ms);

#endif
