#ifndef RELAY_MECHANISM_H
#define RELAY_MECHANISM_H

/*
 * relay_mechanism - mechanisms of the relay daemons that test builds can
 * disable
 *
 * A build with TEST_BUILD has a switch for each: tests show that a promise
 * breaks without it, and the soak runs processes without it. In other builds
 * all mechanisms are enabled and the switches cost nothing.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum relay_mechanism {
	RELAY_ERA_ORDER,      /* a restored store is listed anew */
	RELAY_REVISION_ORDER, /* an older entry replaces no newer one */
	RELAY_SERVICE_TAG,    /* agents return packets of other services */
	RELAY_OUTAGE_GRACE,   /* entries lapsed in an outage stay a while */
	RELAY_STOP_REFUSAL,   /* a stopping agent takes no opens */
	RELAY_PEER_RESYNC,    /* entries that a peer does not list are gone */
	RELAY_HISTORY_RESYNC, /* lost history is followed by a listing */
	RELAY_TRUE_REFUSAL,   /* no reset for an open that may have run */
	RELAY_HOLDER_PRECEDENCE, /* the first server that took an open counts */
	RELAY_TOO_FAST,		 /* answers that come too fast are failures */
	RELAY_ZONE_PREFERENCE,	 /* opens stay in the availability zone */
	RELAY_PRIORITY,		 /* routes of low priority are refused first */
	RELAY_PEERS_FIRST,	 /* a start asks peers before the store */
	RELAY_PACE,		 /* a pace after starts and faults */
	RELAY_OPEN_QUEUE,	 /* opens wait at agents */
	RELAY_LATE_LIMIT,	 /* vain waits lower the limit of late opens */
	RELAY_QUEUE_ORDER,	 /* in time first, by priority, newest first */
	RELAY_TYPICAL_TIME,	 /* offers tell the typical service time */
	RELAY_RETURNED_LOAD,	 /* returned requests are no load */
	RELAY_RANK_PENALTY,	 /* a better rank makes up for some load */
	RELAY_EARLY_OPENS,	 /* opens wait for the first routes */
	RELAY_STOP_LISTS,	 /* stopping agents list their flows */
	RELAY_START_TIMES,   /* a server started before its flows keeps them */
	RELAY_ROUTE_HISTORY, /* look-ups ask former services, too */
	RELAY_DETOURS,	     /* detours and resets for zones that are cut off */
	RELAY_LEARNING,	     /* agents name other balancers after a start */
	RELAY_SOCKET_WAITS,  /* what waited in a socket is as old as that */
	RELAY_MECHANISMS,    /* number of mechanisms */
} relay_mechanism_t;

#ifdef TEST_BUILD

/* Bit mask of disabled mechanisms, 1 << RELAY_*. */
extern uint32_t relay_mechanisms_off;

/* Sets the mask from the environment variable RELAY_MECHANISMS_OFF, a decimal
 * number, if it is set. */
void relay_mechanisms_read_environment(void);

static inline bool relay_mechanism_on(relay_mechanism_t m)
{
	return !(relay_mechanisms_off >> m & 1);
}

#else

static inline void relay_mechanisms_read_environment(void)
{
}

static inline bool relay_mechanism_on(relay_mechanism_t m)
{
	(void)m;
	return true;
}

#endif

#endif
