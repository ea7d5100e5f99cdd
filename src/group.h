#ifndef GROUP_H
#define GROUP_H

/*
 * group - the members of one service as seen by one process
 *
 * A member is a target with its agent. A balancer has one group per service,
 * an agent has the group of its own service. Members come from the
 * configuration; their load, state and learned capacity survive a change of
 * configuration. A member that left the configuration stays in the group
 * until its agent leaves or is silent for LINGER_MS.
 *
 * A group owns its members. Pointers to members are valid until a member is
 * added or removed. Times are milliseconds of the caller's monotonic clock.
 */

#include "capacity.h"
#include "config.h"
#include "endpoint.h"
#include "rank.h"
#include "wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Load reports older than this are ignored. */
#define LOAD_MAX_AGE_MS 5000
/* Unreported work counts as 0 if no open was placed within this time. */
#define UNREPORTED_MAX_AGE_MS 2000
/* Messages in which a change of a member's state is gossiped. */
#define GOSSIP_SENDS 24
/*
 * A member that reported itself full is offered opens again after this time:
 * without opens it sends no new report.
 */
#define FULL_MAX_AGE_MS 500
/* A member that left the configuration is removed after this silence. */
#define LINGER_MS 15000

typedef enum member_state {
	MEMBER_ALIVE = 0,
	MEMBER_SUSPECT, /* probes unanswered; the member may refute it */
	MEMBER_DEAD,	/* suspicion not refuted in time */
	MEMBER_LEAVING, /* alive, but takes no opens */
	MEMBER_LEFT,	/* reported that it holds no flows any more */
	MEMBER_STATES,	/* number of states */
} member_state_t;

typedef struct member {
	uint32_t id; /* target id */
	endpoint_t agent;
	double declared_weight; /* per slot */
	uint32_t slots;		/* declared concurrent requests */
	uint32_t connections;	/* declared greatest number of flows */
	bool configured;	/* listed in the configuration in force */
	bool draining;		/* draining by configuration */
	member_state_t state;
	uint64_t incarnation;	 /* greatest known; rises on each refutation */
	uint64_t last_heard_ms;	 /* last load report or answer, 0: never */
	uint64_t poll_sent_ms;	 /* a balancer's unanswered poll, 0: none */
	uint64_t avoid_until_ms; /* gets no opens and look-ups before */
	uint64_t no_opens_until_ms; /* suspected by peers: no opens before */
	uint32_t unanswered;	    /* consecutive unanswered opens */
	bool full;		    /* reported that it takes no opens */
	double capacity;	    /* learned weight times slots; 0: unknown */
	double speed;		    /* learned, of one slot; 0: unknown */
	capacity_time_t times[CAPACITY_CLASSES]; /* typical, reported */
	uint32_t sample_age_ms;	     /* of its newest sample, when reported */
	double work;		     /* reported: class weights of its flows */
	double total_placed;	     /* class weights of all opens sent to it */
	double unreported_work;	     /* of opens sent since its last report */
	uint64_t last_placed_ms;     /* last open sent to it */
	uint32_t in_flight;	     /* reported requests without an answer */
	uint32_t held;		     /* reported flows */
	uint64_t load_received_ms;   /* time of the last load report */
	uint64_t sequence;	     /* sequence of that report, 0: none */
	uint64_t recovered_ms;	     /* change from suspect or dead to alive */
	uint64_t suspected_since_ms; /* change to suspect or dead */
	unsigned gossip_sends_left;  /* messages that still gossip its state */
} member_t;

typedef struct group {
	uint64_t service;	 /* service id */
	member_t *members;	 /* owned, unordered */
	size_t n;		 /* number of members */
	uint64_t last_sent_ms;	 /* a balancer's last packet, opens excluded */
	uint64_t last_poll_ms;	 /* last poll of a silent service */
	size_t round_robin_next; /* position where round robin continues */
	rank_member_t *ranked;	 /* id and weight of each member, owned */
	bool ranked_valid;	 /* `ranked` is up to date */
	bool capacity_missing;	 /* some member's capacity is unknown */
} group_t;

/* Frees the members and zeroes the group. */
void group_clear(group_t *group);

/*
 * Sets the members from the configuration of the service. Members that are no
 * longer configured stay. Returns 0, or -1 without memory.
 */
int group_configure(group_t *group, const service_t *service, uint64_t now);

/* Returns the member with this target id, or NULL. */
member_t *group_member(group_t *group, uint32_t id);

/* Returns the member whose agent listens at this address, or NULL. */
member_t *group_member_at(group_t *group, const endpoint_t *agent);

/*
 * Applies a load report sent by the member itself. An unknown member is added
 * when `agent` is not NULL: it left the configuration but still holds flows.
 * Reports of older incarnations are ignored. Returns the member, or NULL.
 */
member_t *group_apply_load(group_t *group, uint64_t now, const load_msg_t *load,
			   const endpoint_t *agent);

/*
 * Applies gossip: a report by one member about another. The reported state is
 * applied if its incarnation is higher than the known one. At the same
 * incarnation, suspect and dead are applied if the state gets worse and the
 * member itself was not heard in the last `recent_ms` milliseconds; other
 * states never clear a suspicion and are applied if their load report is newer
 * than the known one. Returns true when the state changed; the change is then
 * gossiped on, except a first report that the member is neither suspect nor
 * dead.
 */
bool group_apply_gossip(group_t *group, uint64_t now, const load_msg_t *load,
			uint64_t recent_ms);

/*
 * Records a member's answer to a probe: a suspect or dead member becomes alive.
 * Answers of older incarnations are ignored.
 */
void group_probe_answered(group_t *group, uint64_t now, member_t *m,
			  uint64_t incarnation);

/* Marks a member suspect after unanswered probes. */
void group_suspect(group_t *group, uint64_t now, member_t *m);

/*
 * Restarts the time-out of all suspicions. For use after this process was
 * paused and could not receive refutations.
 */
void group_restart_suspicions(group_t *group, uint64_t now);

/* True when some member's agent listens at this address. */
bool group_has_agent(const group_t *group, const endpoint_t *agent);

/* Initialises a load message with the known load of a member. */
void member_fill_load(const member_t *m, load_msg_t *load);

/* Sets the learned capacity of a member; 0: unknown. */
void group_set_capacity(group_t *group, member_t *m, double capacity);

/*
 * Removes the members that are not configured and either have left or were not
 * heard for LINGER_MS.
 */
void group_expire(group_t *group, uint64_t now);

/*
 * True when the member reported that it takes no opens and was heard in the
 * last FULL_MAX_AGE_MS.
 */
bool member_full(const member_t *m, uint64_t now);

/* True when opens may be offered to the member. */
bool member_takes_opens(const member_t *m, uint64_t now);

/* True in the states MEMBER_SUSPECT and MEMBER_DEAD. */
bool member_suspect_or_dead(const member_t *m);

/* True unless the member is dead or has left. */
bool member_reachable(const member_t *m);

/*
 * Weight of the member in the ranking: its learned capacity, or its declared
 * capacity scaled like those of the members with a learned one.
 */
double member_rank_weight(const group_t *group, const member_t *m);

/* Records that an open of this class weight was sent to the member. */
void member_note_placed(member_t *m, uint64_t now, double weight);

/*
 * Fits the members' service times and returns the speed of member `id` in
 * declared weight, or 0 when it has reported no service times.
 */
double group_speed(const group_t *group, uint32_t id);

/* True when most members with samples have one younger than age_ms. */
bool group_has_newer_samples(const group_t *group, uint32_t age_ms);

/*
 * Reported work plus unreported work, divided by capacity. Without a fresh
 * load report the group's mean stands in for the reported work.
 */
double member_utilisation(const group_t *group, const member_t *m,
			  uint64_t now);

/*
 * Utilisation of the members that take opens and have a fresh load report:
 * their work divided by their capacity.
 */
double group_utilisation(const group_t *group, uint64_t now);

/* Requests in flight per slot, over the members that take opens. */
double group_in_flight_per_slot(const group_t *group, uint64_t now);

/*
 * Ranks the members for a flow by weighted rendezvous hashing. Writes the
 * positions in group->members of up to `want` members to `order`, best first,
 * and returns their number. With `opens` only members that take opens are
 * ranked; otherwise all members, in the order of the look-up.
 */
size_t group_rank(group_t *group, uint64_t now, uint64_t hash, bool opens,
		  uint32_t *order, size_t want);

const char *member_state_name(member_state_t state);

#endif
