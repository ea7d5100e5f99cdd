#ifndef DGRAM_H
#define DGRAM_H

/*
 * dgram - sealed messages between our processes in UDP datagrams
 *
 * Messages are opened, checked and unpacked before they reach the receiver;
 * what fails a check is counted by reason and dropped.
 */

#include "counters.h"
#include "endpoint.h"
#include "err.h"
#include "seal.h"
#include "wire.h"
#include <uv.h>

typedef struct dgram dgram_t;

/* A checked message, valid during the call only. */
typedef void (*dgram_receive_fn)(void *ctx, const endpoint_t *from,
				 msg_kind_t kind, const void *msg);

/* The seal and the counters stay the caller's. */
dgram_t *dgram_open(uv_loop_t *loop, const endpoint_t *listen, seal_t *seal,
		    counters_t *counters, dgram_receive_fn receive, void *ctx,
		    err_t *err);
void dgram_close(dgram_t *d);

/* Queues a message; too long ones are counted and dropped. */
void dgram_send(dgram_t *d, const endpoint_t *to, msg_kind_t kind,
		const void *msg);

/* Wall clock in milliseconds, as the seals carry it. */
uint64_t wall_clock_ms(void);

#endif
