#ifndef GROUP_H
#define GROUP_H

/*
 * group - the members of one service as one process sees them
 *
 * A balancer keeps one group a service, an agent the group of its own. The
 * members come from the configuration; what is known of each (load, state,
 * learned capacity) survives a change of configuration. A member that left
 * the configuration stays as long as it announces flows.
 *
 * A group owns its members. Times are milliseconds of the caller's monotonic
 * clock.
 */

#include "capacity.h"
#include "config.h"
#include "endpoint.h"
#include "rank.h"
#include "wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Flows are ranked on this clock: a load older than this says nothing. */
#define LOAD_MAX_AGE_MS 5000
/* Opens placed longer ago than this are no longer counted as unseen. */
#define UNREPORTED_MAX_AGE_MS 2000
/* Messages that carry a change of a member's state on. */
#define GOSSIP_SENDS 24
/* A full member that gets no opens says nothing: it is asked again then. */
#define FULL_MAX_AGE_MS 500
/* A member that left the configuration is forgotten after this silence. */
#define LINGER_MS 15000

typedef enum member_state {
	MEMBER_ALIVE = 0,
	MEMBER_SUSPECT, /* did not answer; may refute */
	MEMBER_DEAD,	/* suspicion not refuted in time */
	MEMBER_LEAVING, /* alive, takes no opens */
	MEMBER_LEFT,	/* said that it holds nothing any more */
	MEMBER_STATES,	/* number of states, not one */
} member_state_t;

typedef struct member {
	uint32_t id; /* target id */
	endpoint_t agent;
	double declared_weight; /* declared weight */
	uint32_t slots;		/* declared */
	uint32_t connections;	/* declared */
	bool configured;	/* in the configuration in force */
	bool draining;		/* by configuration */
	member_state_t state;
	uint64_t incarnation;	    /* greatest seen */
	uint64_t last_heard_ms;	    /* last load or answer, 0 for never */
	uint64_t poll_sent_ms;	    /* by a balancer, without an answer yet */
	uint64_t avoid_until_ms;    /* nothing before, after unanswered opens */
	uint64_t no_opens_until_ms; /* suspected by other members */
	uint32_t unanswered;	    /* opens in a row without an answer */
	bool full;		    /* said that it takes no opens */
	double capacity;	    /* learned, in class weights; 0 unknown */
	double speed; /* learned, weight a slot and second; 0 unknown */
	capacity_time_t times[CAPACITY_CLASSES]; /* told in digests */
	uint32_t sample_age_ms;			 /* when they were told */
	double work;				 /* weighted work held */
	double total_placed;	 /* weighted opens that we placed, ever */
	double unreported_work;	 /* those placed since the load was heard */
	uint64_t last_placed_ms; /* when the last of them was */
	uint32_t in_flight;
	uint32_t held;
	uint64_t load_received_ms;   /* when a load was told last */
	uint64_t sequence;	     /* of the load known, 0 for none */
	uint64_t recovered_ms;	     /* when a doubt was last dispelled */
	uint64_t suspected_since_ms; /* since when suspected */
	unsigned gossip_sends_left;  /* messages that still carry its state */
} member_t;

typedef struct group {
	uint64_t service; /* service id */
	member_t *members;
	size_t n;
	uint64_t last_sent_ms;	 /* a balancer sent to it last */
	uint64_t last_poll_ms;	 /* a balancer asked how it is */
	size_t round_robin_next; /* of round robin */
	rank_member_t *ranked;	 /* id and weight of each member, owned */
	bool ranked_valid;
	bool capacity_missing; /* a member's capacity is not known */
} group_t;

void group_clear(group_t *group);

/* Takes the members of the service as configured now. Returns 0 or -1. */
int group_configure(group_t *group, const service_t *service, uint64_t now);

member_t *group_member(group_t *group, uint32_t id);

/* The member whose agent listens there, or NULL. */
member_t *group_member_at(group_t *group, const endpoint_t *agent);

/*
 * Takes a load that a member told. An unknown member is added when `agent`
 * is given: it left the configuration but still holds flows. Older
 * incarnations are ignored. Returns the member or NULL.
 */
member_t *group_apply_load(group_t *group, uint64_t now, const load_msg_t *load,
			   const endpoint_t *agent);

/*
 * Takes what another member told of a third one. A state counts when its
 * incarnation is higher, or when it is worse at the same one and the member
 * was not heard in the last `lately` milliseconds. Returns true when the
 * state changed; the change is passed on.
 */
bool group_apply_gossip(group_t *group, uint64_t now, const load_msg_t *load,
			uint64_t recent_ms);

/* A member answered a probe. */
void group_probe_answered(group_t *group, uint64_t now, member_t *m,
			  uint64_t incarnation);

/* A member did not answer. */
void group_suspect(group_t *group, uint64_t now, member_t *m);

/* We were paused: suspicions begin anew. */
void group_restart_suspicions(group_t *group, uint64_t now);

/* True when a member's agent listens there. */
bool group_has_agent(const group_t *group, const endpoint_t *agent);

/* Writes what is known of a member's load. */
void member_fill_load(const member_t *m, load_msg_t *load);

/* Sets the capacity that a member has learned, 0 when it has none. */
void group_set_capacity(group_t *group, member_t *m, double capacity);

/* Forgets members that left the configuration and fell silent. */
void group_expire(group_t *group, uint64_t now);

/* True when the member said lately that it takes no opens. */
bool member_full(const member_t *m, uint64_t now);

/* True when opens may be offered to the member. */
bool member_takes_opens(const member_t *m, uint64_t now);

/* True when the member is suspected or dead. */
bool member_suspect_or_dead(const member_t *m);

/* True when the member is believed to answer. */
bool member_reachable(const member_t *m);

/* Weight used to rank opens: learned capacity, or what stands in for it. */
double member_rank_weight(const group_t *group, const member_t *m);

/* Notes that an open of this weight was placed with the member. */
void member_note_placed(member_t *m, uint64_t now, double weight);

/*
 * Compares the members' service times. Returns the speed of a member that
 * has told any, relative to the declared weights, else 0.
 */
double group_speed(const group_t *group, uint32_t id);

/* True when most members told of newer samples than age_ms. */
bool group_has_newer_samples(const group_t *group, uint32_t age_ms);

/* Work held, and placed since it was told, over capacity. */
double member_utilisation(const group_t *group, const member_t *m,
			  uint64_t now);

/* Mean utilisation of the members that take opens, weighted by capacity. */
double group_utilisation(const group_t *group, uint64_t now);

/* Requests without an answer, a slot of the members that take opens. */
double group_in_flight_per_slot(const group_t *group, uint64_t now);

/*
 * Positions of the best members for a flow, best first. With opens, only
 * members that take opens; otherwise all, in the order to look them up.
 */
size_t group_rank(group_t *group, uint64_t now, uint64_t hash, bool opens,
		  uint32_t *order, size_t want);

const char *member_state_name(member_state_t state);

#endif
