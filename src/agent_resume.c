#include "agent_int.h"

/* A longer interval without a tick means that the process was paused, ms. */
#define PAUSE_MS 2000
/* Longest time that opens are passed on while no peer answers, ms. */
#define PEER_ANSWER_MS 3000
/* The same once a peer has reported a newer configuration version, ms. */
#define CONFIG_WAIT_MS 30000
/* Peers that are asked for their configuration version. */
#define PEERS_ASKED_MAX 3

static void send_digest(agent_t *a, uint64_t now, const endpoint_t *to,
			bool want_answer);
static void ask_peers(agent_t *a, uint64_t now);
static void discount_pause(agent_t *a, uint64_t now);
static void assume_peers_alive(agent_t *a, uint64_t now);

bool resume_pending(const agent_t *a)
{
	return a->resume_until_ms != 0;
}

static void send_digest(agent_t *a, uint64_t now, const endpoint_t *to,
			bool want_answer)
{
	digest_msg_t msg;
	load_msg_t load;

	ct__digest__init(&msg);
	agent_fill_load(a, now, &load);
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.load = &load;
	msg.agent_ip = a->options.self.ip;
	msg.agent_port = a->options.self.port;
	msg.want_answer = want_answer;
	a->ops.send(a->ctx, to, MSG_DIGEST, &msg);
}

static void ask_peers(agent_t *a, uint64_t now)
{
	size_t n = a->group.n;
	size_t first = n ? agent_random(a) % n : 0;
	unsigned asked = 0;

	for (size_t i = 0; i < n && asked < PEERS_ASKED_MAX; i++) {
		const member_t *m = &a->group.members[(first + i) % n];

		if (m->id == a->target->id)
			continue;
		send_digest(a, now, &m->agent, true);
		asked++;
	}
}

/*
 * Leaves the pause out of the time since each member was last heard, and
 * restarts the wait for the server's answer: a paused agent receives nothing.
 */
static void discount_pause(agent_t *a, uint64_t now)
{
	uint64_t pause = now - a->last_tick_ms;

	for (size_t i = 0; i < a->group.n; i++)
		if (a->group.members[i].last_heard_ms)
			a->group.members[i].last_heard_ms += pause;
	if (a->unanswered_since_ms)
		a->unanswered_since_ms = now;
}

void resume_check(agent_t *a, uint64_t now)
{
	if (!a->service || !a->last_tick_ms ||
	    now - a->last_tick_ms <= PAUSE_MS)
		return;
	discount_pause(a, now);
	a->last_tick_ms = now;
	if (a->group.n < 2 ||
	    mechanism_disabled(a->options.off, MECHANISM_ASK_PEERS))
		return;
	a->resumed_ms = now;
	a->resume_until_ms = now + PEER_ANSWER_MS;
	a->peers_version = 0;
	ask_peers(a, now);
	agent_audit(a, "woke",
		    "resumed after a pause; asks peers for their "
		    "configuration version");
}

/*
 * Once this agent has left the group no member reports to it any more, and all
 * would count as dead. It still forwards packets, so it assumes that they are
 * alive. While another member is alive, the dead ones stay dead: otherwise the
 * last lookup of a flow could end at one of them.
 */
static void assume_peers_alive(agent_t *a, uint64_t now)
{
	bool any_alive = false;

	for (size_t i = 0; i < a->group.n; i++)
		any_alive |= a->group.members[i].id != a->target->id &&
			     a->group.members[i].state == MEMBER_ALIVE;
	for (size_t i = 0; i < a->group.n; i++) {
		member_t *m = &a->group.members[i];

		if (m->state == MEMBER_DEAD && any_alive)
			continue;
		m->last_heard_ms = now;
		if (m->state == MEMBER_SUSPECT || m->state == MEMBER_DEAD)
			m->state = MEMBER_ALIVE;
	}
}

void resume_tick(agent_t *a, uint64_t now)
{
	resume_check(a, now);
	if (!a->configured && a->held == 0)
		assume_peers_alive(a, now);
	if (!a->resume_until_ms)
		return;
	if (now >= a->resume_until_ms ||
	    (a->peers_version && a->config->version >= a->peers_version))
		a->resume_until_ms = 0;
}

void resume_digest(agent_t *a, uint64_t now, const digest_msg_t *digest)
{
	endpoint_t from = { digest->agent_ip, (uint16_t)digest->agent_port };

	if (!a->service || digest->service != a->service->id)
		return;
	if (digest->want_answer)
		send_digest(a, now, &from, false);
	else if (digest->version > a->peers_version)
		a->peers_version = digest->version;
	if (a->resume_until_ms && a->peers_version > a->config->version)
		a->resume_until_ms = a->resumed_ms + CONFIG_WAIT_MS;
}
