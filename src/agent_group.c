#include "agent_int.h"
#include <math.h>
#include <string.h>

/* Members tell each other their load this often. */
#define DIGEST_MS 1000
/* On a change of work by this part, but not more often. */
#define DIGEST_CHANGE 0.05
#define DIGEST_MIN_MS 250
#define US_A_MS	      1000
/* Our samples are old when most members' are newer by this factor. */
#define STALE_RATIO 4
/* Silent for longer: suspected, then dead. */
#define SUSPECT_MS 2500
#define DEAD_MS	   4500
/* Peers told each time. */
#define DIGEST_PEERS 12

static void send_digest(agent_t *a, uint64_t now, const endpoint_t *to);
static size_t classes_told(const agent_t *a);
static void learn(agent_t *a, uint64_t now);
static void send_digests(agent_t *a, uint64_t now);
static bool worth_telling(const agent_t *a, uint64_t now);
static void watch_members(agent_t *a, uint64_t now);

member_t *membership_self(agent_t *a)
{
	member_t *self = group_member(&a->group, a->target->id);

	if (!self)
		return NULL;
	self->state = MEMBER_ALIVE;
	self->work = a->work;
	self->unseen = 0;
	self->in_flight = a->in_flight;
	group_learned(&a->group, self, agent_capacity(a));
	self->speed = a->capacity.speed;
	self->full = admit_full(a);
	return self;
}

static void send_digest(agent_t *a, uint64_t now, const endpoint_t *to)
{
	const member_t *self = group_member(&a->group, a->target->id);
	uint32_t times[CAPACITY_CLASSES];
	uint32_t samples[CAPACITY_CLASSES];
	digest_msg_t msg;
	load_msg_t load;

	ct__digest__init(&msg);
	agent_fill_load(a, now, &load);
	if (self) {
		load.n_class_time_us = classes_told(a);
		load.n_class_samples = load.n_class_time_us;
		load.class_time_us = times;
		load.class_samples = samples;
		load.sample_age_ms = self->sample_age_ms;
	}
	for (size_t c = 0; c < load.n_class_time_us; c++) {
		times[c] = (uint32_t)(self->times[c].ms * US_A_MS + 0.5);
		samples[c] = self->times[c].samples;
	}
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.load = &load;
	msg.agent_ip = a->options.self.ip;
	msg.agent_port = a->options.self.port;
	a->ops.send(a->ctx, to, MSG_DIGEST, &msg);
}

static size_t classes_told(const agent_t *a)
{
	return a->service->nclasses < CAPACITY_CLASSES ? a->service->nclasses
						       : CAPACITY_CLASSES;
}

/* Compares our service times with the group's. */
static void learn(agent_t *a, uint64_t now)
{
	member_t *self = membership_self(a);
	uint64_t age = now - a->capacity.sampled_ms;

	if (!self || !a->capacity.sampled_ms ||
	    without(a->options.off, MECHANISM_LEARNING))
		return;
	for (uint32_t c = 0; c < classes_told(a); c++)
		self->times[c] = capacity_time(&a->capacity, c);
	self->sample_age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
	a->capacity.speed = group_speed(&a->group, self->id);
	if (group_samples_newer(&a->group, self->sample_age_ms / STALE_RATIO))
		capacity_untaught(&a->capacity, now, DIGEST_MS);
	group_learned(&a->group, self, agent_capacity(a));
}

static void send_digests(agent_t *a, uint64_t now)
{
	size_t n = a->group.n;
	size_t first = n ? agent_random(a) % n : 0;
	size_t sent = 0;

	for (size_t i = 0; i < n && sent < DIGEST_PEERS; i++) {
		const member_t *m = &a->group.members[(first + i) % n];

		if (m->id == a->target->id)
			continue;
		send_digest(a, now, &m->agent);
		sent++;
	}
}

/* A change that others should know of before the second is over. */
static bool worth_telling(const agent_t *a, uint64_t now)
{
	double moved = fabs(a->work - a->told_work);

	if (now < a->told_ms + DIGEST_MIN_MS)
		return false;
	return a->told_full != admit_full(a) ||
	       moved > a->told_work * DIGEST_CHANGE + 1;
}

static void watch_members(agent_t *a, uint64_t now)
{
	for (size_t i = 0; i < a->group.n; i++) {
		member_t *m = &a->group.members[i];

		if (m->id == a->target->id)
			continue;
		if (!m->heard_ms)
			m->heard_ms = now;
		if (m->state == MEMBER_ALIVE &&
		    m->heard_ms + SUSPECT_MS < now) {
			m->state = MEMBER_SUSPECT;
			counter_add(&a->counters, COUNTER_SUSPICIONS, 1);
		}
		if (m->state != MEMBER_DEAD && m->heard_ms + DEAD_MS < now) {
			m->state = MEMBER_DEAD;
			counter_add(&a->counters, COUNTER_MEMBERS_DEAD, 1);
		}
	}
	group_expire(&a->group, now);
}

void membership_tick(agent_t *a, uint64_t now)
{
	membership_self(a);
	watch_members(a, now);
	if (now < a->digest_ms && now < a->learn_ms && !worth_telling(a, now))
		return;
	if (now >= a->learn_ms) {
		a->learn_ms = now + DIGEST_MS;
		learn(a, now);
	}
	if (!a->configured && without(a->options.off, MECHANISM_LINGER))
		return;
	a->digest_ms = now + DIGEST_MS;
	a->told_ms = now;
	a->told_work = a->work;
	a->told_full = admit_full(a);
	send_digests(a, now);
}

void membership_digest(agent_t *a, uint64_t now, const endpoint_t *from,
		       const digest_msg_t *digest)
{
	endpoint_t agent = { digest->agent_ip, (uint16_t)digest->agent_port };

	if (!a->service || digest->service != a->service->id || !digest->load)
		return;
	if (digest->version > a->config->version)
		a->ops.behind(a->ctx, from, digest->version);
	if (digest->load->target == a->target->id)
		return;
	group_load(&a->group, now, digest->load, &agent);
}

void membership_probe(agent_t *a, uint64_t now, const endpoint_t *from,
		      const probe_msg_t *probe)
{
	(void)now;
	(void)from;
	(void)probe;
	counter_add(&a->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
}

void membership_leave(agent_t *a, uint64_t now)
{
	send_digests(a, now);
}
