#include "agent_int.h"
#include <math.h>
#include <string.h>

/* Interval between two digests to the other members, ms. */
#define DIGEST_INTERVAL_MS 1000
/*
 * Relative change of the work held that causes an earlier digest, and the least
 * time between two digests, ms.
 */
#define DIGEST_WORK_CHANGE     0.05
#define DIGEST_MIN_INTERVAL_MS 250
#define US_PER_MS	       1000
/* Samples are stale if this many times older than those of most members. */
#define STALE_SAMPLES_RATIO 4
/* Groups up to this size send each digest to all members. */
#define SMALL_GROUP_MAX 13
/* Members that get each digest in a larger group. */
#define DIGEST_RECEIVERS 6
/* Loads of other members in such a digest. */
#define FORWARDED_LOADS_MAX 4
/* Room in a digest's rumours for gossip and forwarded loads. */
#define DIGEST_LOADS_MAX 16

static void send_digest(agent_t *a, uint64_t now, const endpoint_t *to);
static size_t reported_classes(const agent_t *a);
static void learn_speed(agent_t *a, uint64_t now);
static void send_digests(agent_t *a, uint64_t now);
static size_t fill_forwarded_loads(agent_t *a, load_msg_t *loads,
				   load_msg_t **list);
static bool load_changed(const agent_t *a, uint64_t now);

member_t *membership_update_self(agent_t *a, uint64_t now)
{
	member_t *self = group_member(&a->group, a->target->id);

	if (!self)
		return NULL;
	self->state = MEMBER_ALIVE;
	self->work = a->work;
	self->unreported_work = 0;
	self->load_received_ms = now;
	self->in_flight = a->in_flight;
	group_set_capacity(&a->group, self, agent_capacity(a));
	self->speed = a->capacity.speed;
	self->full = admit_full(a);
	return self;
}

static void send_digest(agent_t *a, uint64_t now, const endpoint_t *to)
{
	const member_t *self = group_member(&a->group, a->target->id);
	uint32_t times[CAPACITY_CLASSES];
	uint32_t samples[CAPACITY_CLASSES];
	load_msg_t others[DIGEST_LOADS_MAX];
	load_msg_t *list[DIGEST_LOADS_MAX];
	digest_msg_t msg;
	load_msg_t load;

	ct__digest__init(&msg);
	agent_fill_load(a, now, &load);
	if (self) {
		load.n_class_time_us = reported_classes(a);
		load.n_class_samples = load.n_class_time_us;
		load.class_time_us = times;
		load.class_samples = samples;
		load.sample_age_ms = self->sample_age_ms;
		for (size_t c = 0; c < load.n_class_time_us; c++) {
			times[c] =
				(uint32_t)(self->times[c].ms * US_PER_MS + 0.5);
			samples[c] = self->times[c].samples;
		}
	}
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.load = &load;
	msg.agent_ip = a->options.self.ip;
	msg.agent_port = a->options.self.port;
	msg.n_rumours = gossip_fill(a, others, list);
	msg.n_rumours += fill_forwarded_loads(a, others + msg.n_rumours,
					      list + msg.n_rumours);
	msg.rumours = list;
	a->ops.send(a->ctx, to, MSG_DIGEST, &msg);
}

static size_t reported_classes(const agent_t *a)
{
	return a->service->nclasses < CAPACITY_CLASSES ? a->service->nclasses
						       : CAPACITY_CLASSES;
}

/* Derives this member's speed from its service times and the group's. */
static void learn_speed(agent_t *a, uint64_t now)
{
	member_t *self = membership_update_self(a, now);
	uint64_t age = now - a->capacity.last_sample_ms;

	if (!self || !a->capacity.last_sample_ms ||
	    mechanism_disabled(a->options.off, MECHANISM_LEARNING))
		return;
	for (uint32_t c = 0; c < reported_classes(a); c++)
		self->times[c] = capacity_time(&a->capacity, c);
	self->sample_age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
	a->capacity.speed = group_speed(&a->group, self->id);
	if (group_has_newer_samples(&a->group,
				    self->sample_age_ms / STALE_SAMPLES_RATIO))
		capacity_add_unsampled(&a->capacity, now, DIGEST_INTERVAL_MS);
	group_set_capacity(&a->group, self, agent_capacity(a));
}

void membership_announce(agent_t *a, uint64_t now)
{
	if (!a->configured &&
	    mechanism_disabled(a->options.off, MECHANISM_LINGER))
		return;
	a->next_digest_ms = now + DIGEST_INTERVAL_MS;
	a->last_digest_ms = now;
	a->last_digest_work = a->work;
	a->last_digest_full = admit_full(a);
	send_digests(a, now);
}

/*
 * In a small group all members get the digest. In a larger one a few members,
 * chosen at random, get it, with some loads of other members, so that the
 * bytes that a member sends do not grow with the size of the group.
 */
static void send_digests(agent_t *a, uint64_t now)
{
	bool small_group = a->group.n <= SMALL_GROUP_MAX;
	size_t receivers = small_group ? SMALL_GROUP_MAX : DIGEST_RECEIVERS;
	size_t n = a->group.n;
	size_t first = n ? agent_random(a) % n : 0;
	size_t step = small_group ? 1 : 1 + agent_random(a) % n;
	size_t sent = 0;

	for (size_t i = 0; i < n && sent < receivers; i++) {
		const member_t *m = &a->group.members[(first + i * step) % n];

		if (m->id == a->target->id || m->state == MEMBER_LEFT)
			continue;
		send_digest(a, now, &m->agent);
		sent++;
	}
}

/*
 * Writes the loads of some reachable members, in turn through the group.
 * Returns their number, 0 in a small group.
 */
static size_t fill_forwarded_loads(agent_t *a, load_msg_t *loads,
				   load_msg_t **list)
{
	size_t n = 0;

	if (a->group.n <= SMALL_GROUP_MAX)
		return 0;
	for (size_t i = 0; i < a->group.n && n < FORWARDED_LOADS_MAX; i++) {
		member_t *m = &a->group.members[a->next_passed++ % a->group.n];

		if (m->id == a->target->id || !m->sequence ||
		    !member_reachable(m))
			continue;
		member_fill_load(m, &loads[n]);
		list[n] = &loads[n];
		n++;
	}
	return n;
}

/* True if the load has changed enough for a digest before the next is due. */
static bool load_changed(const agent_t *a, uint64_t now)
{
	double change = fabs(a->work - a->last_digest_work);

	if (now < a->last_digest_ms + DIGEST_MIN_INTERVAL_MS)
		return false;
	return a->last_digest_full != admit_full(a) ||
	       change > a->last_digest_work * DIGEST_WORK_CHANGE + 1;
}

void membership_tick(agent_t *a, uint64_t now)
{
	membership_update_self(a, now);
	probes_tick(a, now);
	group_expire(&a->group, now);
	if (now < a->next_digest_ms && now < a->next_learn_ms &&
	    !load_changed(a, now))
		return;
	if (now >= a->next_learn_ms) {
		a->next_learn_ms = now + DIGEST_INTERVAL_MS;
		learn_speed(a, now);
	}
	membership_announce(a, now);
}

void membership_receive_digest(agent_t *a, uint64_t now, const endpoint_t *from,
			       const digest_msg_t *digest)
{
	endpoint_t agent = { digest->agent_ip, (uint16_t)digest->agent_port };

	if (!a->service || digest->service != a->service->id || !digest->load)
		return;
	if (digest->version > a->config->version)
		a->ops.newer_version(a->ctx, from, digest->version);
	if (digest->load->target == a->target->id)
		return;
	gossip_receive(a, now, digest->rumours, digest->n_rumours);
	group_apply_load(&a->group, now, digest->load, &agent);
}

void membership_leave(agent_t *a, uint64_t now)
{
	membership_announce(a, now);
}
