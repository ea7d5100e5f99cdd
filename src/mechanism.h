#ifndef MECHANISM_H
#define MECHANISM_H

/*
 * mechanism - optional mechanisms, which tests and experiments can disable
 *
 * A test of a mechanism also runs with the mechanism disabled and must fail
 * then. The daemons run with all mechanisms enabled.
 */

#include <stdint.h>

typedef enum mechanism {
	MECHANISM_CHAIN = 0, /* agents forward packets of unknown flows */
	MECHANISM_TRIAL, /* the backend server is asked about unknown flows */
	MECHANISM_SEQ_MATCH, /* sequence numbers tell reused flow keys apart */
	MECHANISM_SERVICE_CHECK, /* agents reject packets of other services */
	MECHANISM_RETRY_BUDGET,	 /* retries of opens are limited */
	MECHANISM_OPEN_RETRY,	 /* balancers offer unanswered opens again */
	MECHANISM_HUNT,	    /* agents forward opens to less loaded members */
	MECHANISM_LEARNING, /* capacity is learned from service times */
	MECHANISM_LINGER,   /* removed members serve and report their flows */
	MECHANISM_WITNESS, /* peers make callers of a failed host get a reset */
	MECHANISM_HANDOVER, /* a stopping agent passes its flow table on */
	MECHANISM_REFUSAL,  /* refused callers get a reset with the reason */
	MECHANISM_REPLAY_CHECK, /* replayed messages are dropped */
	MECHANISM_NO_REVERT,	/* configuration versions only increase */
	MECHANISM_ASK_PEERS,	/* a start or resume asks peers first */
	MECHANISMS,		/* number of mechanisms */
} mechanism_t;

/* Bit mask of disabled mechanisms, 1 << MECHANISM_*. */
typedef uint32_t mechanisms_t;

static inline int mechanism_disabled(mechanisms_t off, mechanism_t m)
{
	return (off >> m) & 1;
}

#endif
