#include "group.h"
#include <stdlib.h>
#include <string.h>

#define THOUSAND 1000.0

/* Context of the functions that accept members for the ranking. */
typedef struct rank_filter {
	const group_t *group;
	uint64_t now;
} rank_filter_t;

static member_t *member_add(group_t *group, uint32_t id);
static void invalidate_ranking(group_t *group);
static int refresh_ranking(group_t *group);
static int accept_if_takes_opens(const void *ctx, uint32_t position);
static int accept_any(const void *ctx, uint32_t position);
static void apply_service_times(member_t *m, const load_msg_t *load);
static void apply_load_values(group_t *group, member_t *m, uint64_t now,
			      const load_msg_t *load);
static member_state_t reported_state(const load_msg_t *load);
static void raise_incarnation(member_t *m, uint64_t incarnation);
static bool state_suspect_or_dead(member_state_t state);
static void enter_state(member_t *m, uint64_t now, member_state_t state);
static bool same_incarnation_changes(const member_t *m, uint64_t now,
				     member_state_t state, uint64_t sequence,
				     uint64_t recent_ms);
static bool has_service_times(const member_t *m);
static double mean_learned_per_weight(const group_t *group);
static double estimated_work(const member_t *m, uint64_t now);
static bool load_is_fresh(const member_t *m, uint64_t now);
static double rank_weight(const member_t *m, double per_weight);

void group_clear(group_t *group)
{
	free(group->members);
	free(group->ranked);
	memset(group, 0, sizeof(*group));
}

static member_t *member_add(group_t *group, uint32_t id)
{
	member_t *m;

	/* The allocation doubles at each power of two. */
	if ((group->n & (group->n - 1)) == 0) {
		size_t allocated = group->n ? 2 * group->n : 1;
		member_t *grown =
			realloc(group->members, allocated * sizeof(member_t));

		if (!grown)
			return NULL;
		group->members = grown;
	}
	invalidate_ranking(group);
	m = &group->members[group->n++];
	memset(m, 0, sizeof(*m));
	m->id = id;
	return m;
}

member_t *group_member(group_t *group, uint32_t id)
{
	for (size_t i = 0; i < group->n; i++)
		if (group->members[i].id == id)
			return &group->members[i];
	return NULL;
}

member_t *group_member_at(group_t *group, const endpoint_t *agent)
{
	for (size_t i = 0; i < group->n; i++)
		if (endpoint_equal(&group->members[i].agent, agent))
			return &group->members[i];
	return NULL;
}

int group_configure(group_t *group, const service_t *service, uint64_t now)
{
	group->service = service->id;
	invalidate_ranking(group);
	for (size_t i = 0; i < group->n; i++) {
		if (group->members[i].configured)
			group->members[i].last_heard_ms = now;
		group->members[i].configured = false;
	}
	for (size_t i = 0; i < service->ntargets; i++) {
		const target_t *t = &service->targets[i];
		member_t *m = group_member(group, t->id);

		if (!m)
			m = member_add(group, t->id);
		if (!m)
			return -1;
		m->agent = t->agent;
		m->declared_weight = t->weight;
		m->slots = t->slots;
		m->connections = t->connections;
		m->draining = t->state == TARGET_DRAINING;
		m->configured = true;
	}
	return 0;
}

/* Sets the service times; only reports in digests contain them. */
static void apply_service_times(member_t *m, const load_msg_t *load)
{
	if (!load->n_class_time_us ||
	    load->n_class_samples != load->n_class_time_us)
		return;
	memset(m->times, 0, sizeof(m->times));
	for (size_t c = 0; c < load->n_class_time_us && c < CAPACITY_CLASSES;
	     c++) {
		m->times[c].ms = load->class_time_us[c] / THOUSAND;
		m->times[c].samples = load->class_samples[c] < CAPACITY_SAMPLES
					      ? load->class_samples[c]
					      : CAPACITY_SAMPLES;
	}
	m->sample_age_ms = load->sample_age_ms;
}

/* Sets the values of a load report unless it is older than the known one. */
static void apply_load_values(group_t *group, member_t *m, uint64_t now,
			      const load_msg_t *load)
{
	if (load->sequence < m->sequence)
		return;
	m->sequence = load->sequence;
	m->load_received_ms = now;
	m->full = load->full;
	group_set_capacity(group, m, load->capacity / THOUSAND);
	m->speed = load->speed / THOUSAND;
	m->work = load->work;
	m->unreported_work = 0;
	m->in_flight = load->in_flight;
	m->held = load->held;
	apply_service_times(m, load);
}

void member_fill_load(const member_t *m, load_msg_t *load)
{
	ct__load__init(load);
	load->target = m->id;
	load->incarnation = m->incarnation;
	load->state = m->state;
	load->sequence = m->sequence;
	load->full = m->full;
	load->capacity = (uint32_t)(m->capacity * THOUSAND);
	load->speed = (uint32_t)(m->speed * THOUSAND);
	load->work = (uint32_t)m->work;
	load->in_flight = m->in_flight;
	load->held = m->held;
}

static member_state_t reported_state(const load_msg_t *load)
{
	return load->state < MEMBER_STATES ? (member_state_t)load->state
					   : MEMBER_ALIVE;
}

/* A new incarnation restarts the sequence numbers of load reports. */
static void raise_incarnation(member_t *m, uint64_t incarnation)
{
	if (incarnation > m->incarnation)
		m->sequence = 0;
	m->incarnation = incarnation;
}

static void invalidate_ranking(group_t *group)
{
	group->ranked_valid = false;
}

/*
 * When all capacities are known, a change affects one weight of the ranking
 * only. Otherwise the weights of members without a known capacity change too.
 */
void group_set_capacity(group_t *group, member_t *m, double capacity)
{
	bool in_place =
		m->capacity > 0 && capacity > 0 && !group->capacity_missing;

	m->capacity = capacity;
	if (group->ranked_valid && in_place)
		group->ranked[m - group->members].weight = capacity;
	else
		invalidate_ranking(group);
}

static void enter_state(member_t *m, uint64_t now, member_state_t state)
{
	if (state_suspect_or_dead(state) && !state_suspect_or_dead(m->state))
		m->suspected_since_ms = now;
	if (!state_suspect_or_dead(state) && state_suspect_or_dead(m->state))
		m->recovered_ms = now;
	m->state = state;
}

member_t *group_apply_load(group_t *group, uint64_t now, const load_msg_t *load,
			   const endpoint_t *agent)
{
	member_t *m = group_member(group, load->target);
	member_state_t state = reported_state(load);

	if (!m && agent) {
		m = member_add(group, load->target);
		if (m)
			m->agent = *agent;
	}
	if (!m || load->incarnation < m->incarnation)
		return NULL;
	if ((m->incarnation && m->incarnation != load->incarnation) ||
	    (m->state != state && state != MEMBER_ALIVE))
		m->gossip_sends_left = GOSSIP_SENDS;
	raise_incarnation(m, load->incarnation);
	enter_state(m, now, state);
	m->last_heard_ms = now;
	m->avoid_until_ms = 0;
	m->no_opens_until_ms = 0;
	m->unanswered = 0;
	apply_load_values(group, m, now, load);
	return m;
}

bool member_suspect_or_dead(const member_t *m)
{
	return state_suspect_or_dead(m->state);
}

static bool state_suspect_or_dead(member_state_t state)
{
	return state == MEMBER_SUSPECT || state == MEMBER_DEAD;
}

/*
 * True when gossip of the known incarnation changes the member's state. It
 * cannot clear a suspicion: only the member itself can, with a higher
 * incarnation or an answer.
 */
static bool same_incarnation_changes(const member_t *m, uint64_t now,
				     member_state_t state, uint64_t sequence,
				     uint64_t recent_ms)
{
	if (!state_suspect_or_dead(state))
		return !state_suspect_or_dead(m->state) && m->state != state &&
		       sequence > m->sequence;
	if (m->last_heard_ms && m->last_heard_ms + recent_ms > now)
		return false;
	if (m->state == MEMBER_SUSPECT)
		return state == MEMBER_DEAD;
	return m->state != MEMBER_DEAD && m->state != MEMBER_LEFT;
}

bool group_apply_gossip(group_t *group, uint64_t now, const load_msg_t *load,
			uint64_t recent_ms)
{
	member_t *m = group_member(group, load->target);
	member_state_t state = reported_state(load);
	bool changes, known;

	if (!m || load->incarnation < m->incarnation)
		return false;
	known = m->incarnation || state_suspect_or_dead(state);
	changes = load->incarnation > m->incarnation ||
		  same_incarnation_changes(m, now, state, load->sequence,
					   recent_ms);
	raise_incarnation(m, load->incarnation);
	if (load->sequence)
		apply_load_values(group, m, now, load);
	if (!changes)
		return false;
	enter_state(m, now, state);
	/* A first report is gossiped on only for a suspect or dead member. */
	if (known)
		m->gossip_sends_left = GOSSIP_SENDS;
	return true;
}

void group_probe_answered(group_t *group, uint64_t now, member_t *m,
			  uint64_t incarnation)
{
	(void)group;
	if (incarnation < m->incarnation)
		return;
	raise_incarnation(m, incarnation);
	m->last_heard_ms = now;
	if (state_suspect_or_dead(m->state))
		enter_state(m, now, MEMBER_ALIVE);
}

void group_suspect(group_t *group, uint64_t now, member_t *m)
{
	(void)group;
	m->state = MEMBER_SUSPECT;
	m->suspected_since_ms = now;
	m->gossip_sends_left = GOSSIP_SENDS;
}

void group_restart_suspicions(group_t *group, uint64_t now)
{
	for (size_t i = 0; i < group->n; i++)
		if (group->members[i].state == MEMBER_SUSPECT)
			group->members[i].suspected_since_ms = now;
}

bool group_has_agent(const group_t *group, const endpoint_t *agent)
{
	for (size_t i = 0; i < group->n; i++)
		if (endpoint_equal(&group->members[i].agent, agent))
			return true;
	return false;
}

void group_expire(group_t *group, uint64_t now)
{
	for (size_t i = 0; i < group->n;) {
		member_t *m = &group->members[i];

		if (m->configured || (m->state != MEMBER_LEFT &&
				      m->last_heard_ms + LINGER_MS > now)) {
			i++;
			continue;
		}
		*m = group->members[--group->n];
		invalidate_ranking(group);
	}
}

bool member_reachable(const member_t *m)
{
	return m->state != MEMBER_DEAD && m->state != MEMBER_LEFT;
}

bool member_takes_opens(const member_t *m, uint64_t now)
{
	if (!m->configured || m->draining || member_full(m, now))
		return false;
	if (m->state != MEMBER_ALIVE)
		return false;
	return m->avoid_until_ms <= now && m->no_opens_until_ms <= now;
}

bool member_full(const member_t *m, uint64_t now)
{
	return m->full && m->last_heard_ms + FULL_MAX_AGE_MS > now;
}

/*
 * Learned capacity divided by declared capacity, over the members with a
 * learned one; 1 when there are none.
 */
static double mean_learned_per_weight(const group_t *group)
{
	double learned = 0, declared = 0;

	for (size_t i = 0; i < group->n; i++) {
		const member_t *m = &group->members[i];

		if (!m->configured || m->capacity <= 0)
			continue;
		learned += m->capacity;
		declared += m->declared_weight * m->slots;
	}
	return declared > 0 ? learned / declared : 1.0;
}

static double rank_weight(const member_t *m, double per_weight)
{
	return m->capacity > 0 ? m->capacity
			       : m->declared_weight * m->slots * per_weight;
}

static bool has_service_times(const member_t *m)
{
	for (size_t c = 0; c < CAPACITY_CLASSES; c++)
		if (m->times[c].samples)
			return true;
	return false;
}

double group_speed(const group_t *group, uint32_t id)
{
	capacity_peer_t *peers = calloc(group->n + 1, sizeof(*peers));
	const member_t *self = NULL;
	double speed = 0;
	size_t n = 0, at = 0;

	if (!peers)
		return 0;
	for (size_t i = 0; i < group->n; i++) {
		const member_t *m = &group->members[i];

		if (!m->configured)
			continue;
		if (m->id == id) {
			self = m;
			at = n;
		}
		peers[n].declared_weight = m->declared_weight;
		peers[n].slots = m->slots;
		memcpy(peers[n++].times, m->times, sizeof(m->times));
	}
	if (self && has_service_times(self)) {
		capacity_fit_speeds(peers, n);
		speed = peers[at].speed;
	}
	free(peers);
	return speed;
}

bool group_has_newer_samples(const group_t *group, uint32_t age_ms)
{
	size_t newer = 0, n = 0;

	for (size_t i = 0; i < group->n; i++) {
		const member_t *m = &group->members[i];

		if (!m->configured || !has_service_times(m))
			continue;
		n++;
		newer += m->sample_age_ms < age_ms;
	}
	return newer * 2 > n;
}

double member_rank_weight(const group_t *group, const member_t *m)
{
	if (m->capacity > 0)
		return m->capacity;
	return rank_weight(m, mean_learned_per_weight(group));
}

/*
 * Reported work plus unreported work. An outdated load report is ignored, and
 * so is unreported work when no open was placed recently.
 */
static double estimated_work(const member_t *m, uint64_t now)
{
	double unreported_work = m->last_placed_ms + UNREPORTED_MAX_AGE_MS > now
					 ? m->unreported_work
					 : 0;

	return load_is_fresh(m, now) ? m->work + unreported_work
				     : unreported_work;
}

static bool load_is_fresh(const member_t *m, uint64_t now)
{
	return m->load_received_ms &&
	       m->load_received_ms + LOAD_MAX_AGE_MS > now;
}

double member_utilisation(const group_t *group, const member_t *m, uint64_t now)
{
	double capacity = member_rank_weight(group, m);
	double own = capacity > 0 ? estimated_work(m, now) / capacity : 0;

	/* A member without a fresh load report gets the group's mean. */
	return load_is_fresh(m, now) ? own
				     : own + group_utilisation(group, now);
}

void member_note_placed(member_t *m, uint64_t now, double weight)
{
	if (m->last_placed_ms + UNREPORTED_MAX_AGE_MS <= now)
		m->unreported_work = 0;
	m->last_placed_ms = now;
	m->total_placed += weight;
	m->unreported_work += weight;
}

double group_utilisation(const group_t *group, uint64_t now)
{
	double per_weight = mean_learned_per_weight(group);
	double work = 0, capacity = 0;

	for (size_t i = 0; i < group->n; i++) {
		const member_t *m = &group->members[i];

		if (!member_takes_opens(m, now) || !load_is_fresh(m, now))
			continue;
		work += estimated_work(m, now);
		capacity += rank_weight(m, per_weight);
	}
	return capacity > 0 ? work / capacity : 0;
}

double group_in_flight_per_slot(const group_t *group, uint64_t now)
{
	double waiting = 0, slots = 0;

	for (size_t i = 0; i < group->n; i++) {
		const member_t *m = &group->members[i];

		if (!member_takes_opens(m, now))
			continue;
		waiting += m->in_flight;
		slots += m->slots;
	}
	return slots > 0 ? waiting / slots : 0;
}

/* Updates the ids and weights to rank after a change. Returns 0 or -1. */
static int refresh_ranking(group_t *group)
{
	rank_member_t *grown;
	double per_weight;

	if (group->ranked_valid)
		return 0;
	grown = realloc(group->ranked, group->n * sizeof(*grown));
	if (!grown)
		return -1;
	group->ranked = grown;
	per_weight = mean_learned_per_weight(group);
	group->capacity_missing = false;
	for (size_t i = 0; i < group->n; i++) {
		const member_t *m = &group->members[i];

		grown[i].id = m->id;
		grown[i].weight = rank_weight(m, per_weight);
		group->capacity_missing |= m->capacity <= 0;
	}
	group->ranked_valid = true;
	return 0;
}

static int accept_if_takes_opens(const void *ctx, uint32_t position)
{
	const rank_filter_t *r = ctx;

	return member_takes_opens(&r->group->members[position], r->now);
}

static int accept_any(const void *ctx, uint32_t position)
{
	(void)ctx;
	(void)position;
	return 1;
}

size_t group_rank(group_t *group, uint64_t now, uint64_t hash, bool opens,
		  uint32_t *order, size_t want)
{
	rank_filter_t r = { group, now };

	if (!group->n || refresh_ranking(group) < 0)
		return 0;
	return rank_best_filtered(hash, group->ranked, group->n, order, want,
				  opens ? accept_if_takes_opens : accept_any,
				  &r);
}

const char *member_state_name(member_state_t state)
{
	static const char *const names[MEMBER_STATES] = {
		"alive", "suspect", "dead", "leaving", "left",
	};

	return state < MEMBER_STATES ? names[state] : "unknown";
}
