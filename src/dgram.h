#ifndef DGRAM_H
#define DGRAM_H

/*
 * dgram - sealed messages between cherviltray processes in UDP datagrams
 *
 * A datagram holds one sealed message (seal.h). It is checked and decoded
 * before the receive callback is called; a message that fails a check is
 * dropped and counted by reason.
 */

#include "counters.h"
#include "endpoint.h"
#include "err.h"
#include "seal.h"
#include "wire.h"
#include <uv.h>

typedef struct dgram dgram_t;

/* Receives a checked message; msg is valid during the call only. */
typedef void (*dgram_receive_fn)(void *ctx, const endpoint_t *from,
				 msg_kind_t kind, const void *msg);

/*
 * Opens a socket bound to `listen`. The seal and the counters remain owned by
 * the caller. Returns NULL and sets err on failure.
 */
dgram_t *dgram_open(uv_loop_t *loop, const endpoint_t *listen, seal_t *seal,
		    counters_t *counters, dgram_receive_fn receive, void *ctx,
		    err_t *err);
void dgram_close(dgram_t *d);

/*
 * Queues a message. One that does not fit into a datagram is dropped and
 * counted as a failed send.
 */
void dgram_send(dgram_t *d, const endpoint_t *to, msg_kind_t kind,
		const void *msg);

/* Wall clock in milliseconds since the epoch, for seal.h. */
uint64_t wall_clock_ms(void);

#endif
