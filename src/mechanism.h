#ifndef MECHANISM_H
#define MECHANISM_H

/*
 * mechanism - parts of the decisions that an experiment can switch off
 *
 * A test that proves a mechanism is run once without it and must fail. The
 * daemons never switch one off.
 */

#include <stdint.h>

typedef enum mechanism {
	MECHANISM_CHAIN = 0,	 /* agents pass on packets of unknown flows */
	MECHANISM_TRIAL,	 /* an agent asks its server before disowning */
	MECHANISM_SEQ_MATCH,	 /* packets are matched on sequence numbers */
	MECHANISM_SERVICE_CHECK, /* the agent checks the service again */
	MECHANISM_RETRY_BUDGET,	 /* retried opens are bounded */
	MECHANISM_OPEN_RETRY,	 /* unanswered opens are offered elsewhere */
	MECHANISM_HUNT,		 /* agents pass opens to less loaded members */
	MECHANISM_LEARNING,	 /* capacity is learned */
	MECHANISM_LINGER,	 /* removed members announce their flows */
	MECHANISM_WITNESS,	 /* a peer tells callers of a lost host */
	MECHANISM_HANDOVER,	 /* a stopping agent hands its flows over */
	MECHANISM_REFUSAL,	 /* refusals are immediate and carry a word */
	MECHANISM_REPLAY_CHECK,	 /* replayed messages are dropped */
	MECHANISM_NO_REVERT,	 /* versions only rise */
	MECHANISM_ASK_PEERS,	 /* a start or late wake-up asks peers first */
	MECHANISMS,		 /* number of mechanisms, not one */
} mechanism_t;

/* Bits of the mechanisms that are switched off. */
typedef uint32_t mechanisms_t;

static inline int mechanism_disabled(mechanisms_t off, mechanism_t m)
{
	return (off >> m) & 1;
}

#endif
