#include "spread_int.h"
#include <stdlib.h>
#include <string.h>

#define PICK_TRIES 8

static void forget_silent(spread_t *s, uint64_t now);
static const endpoint_t *peer_at(const spread_t *s, size_t i);
static uint32_t age_of(uint64_t when, uint64_t now);

uint64_t spread_random(spread_t *s, uint64_t below)
{
	return below ? g_rand_int(s->random) % below : 0;
}

void spread_learn(spread_t *s, uint64_t now, const endpoint_t *from)
{
	size_t oldest = 0;

	for (size_t i = 0; i < s->nlearned; i++) {
		if (endpoint_equal(&s->learned[i].at, from)) {
			s->learned[i].heard = now;
			return;
		}
		if (s->learned[i].heard < s->learned[oldest].heard)
			oldest = i;
	}
	if (s->nlearned < LEARNED)
		oldest = s->nlearned++;
	s->learned[oldest].at = *from;
	s->learned[oldest].heard = now;
}

static void forget_silent(spread_t *s, uint64_t now)
{
	for (size_t i = 0; i < s->nlearned;)
		if (now - s->learned[i].heard > LEARNED_MS)
			s->learned[i] = s->learned[--s->nlearned];
		else
			i++;
}

size_t spread_peers(const spread_t *s)
{
	return s->options.npeers + s->nlive + s->nagents + s->nlearned;
}

size_t spread_heard(const spread_t *s, endpoint_t *out, size_t n)
{
	size_t i = 0;

	for (; i < s->nlearned && i < n; i++)
		out[i] = s->learned[i].at;
	return i;
}

static const endpoint_t *peer_at(const spread_t *s, size_t i)
{
	if (i < s->options.npeers)
		return &s->peers[i];
	i -= s->options.npeers;
	if (i < s->nlive)
		return &s->live[i];
	i -= s->nlive;
	if (i < s->nagents)
		return &s->agents[i];
	return &s->learned[i - s->nagents].at;
}

/* A random peer, not oneself and not one that is banned. */
bool spread_pick(spread_t *s, uint64_t now, endpoint_t *out)
{
	size_t total;

	forget_silent(s, now);
	total = spread_peers(s);
	for (int i = 0; total > 0 && i < PICK_TRIES; i++) {
		*out = *peer_at(s, spread_random(s, total));
		if (!endpoint_equal(out, &s->options.self) &&
		    !spread_banned(s, now, out))
			return true;
	}
	return false;
}

void spread_ban(spread_t *s, uint64_t until, const endpoint_t *peer)
{
	ban_t *place = &s->bans[0];

	for (size_t i = 0; i < BANS; i++) {
		if (endpoint_equal(&s->bans[i].at, peer)) {
			place = &s->bans[i];
			break;
		}
		if (s->bans[i].until < place->until)
			place = &s->bans[i];
	}
	place->at = *peer;
	place->until = until;
}

bool spread_banned(const spread_t *s, uint64_t now, const endpoint_t *peer)
{
	for (size_t i = 0; i < BANS; i++)
		if (s->bans[i].until > now &&
		    endpoint_equal(&s->bans[i].at, peer))
			return true;
	return false;
}

/* Takes the agents of a configuration as peers. */
void spread_agents(spread_t *s, const config_t *config)
{
	size_t n = 0;

	for (size_t i = 0; i < config->nservices; i++)
		n += config->services[i].ntargets;
	free(s->agents);
	s->agents = calloc(n + 1, sizeof(*s->agents));
	s->nagents = 0;
	for (size_t i = 0; s->agents && i < config->nservices; i++)
		for (size_t j = 0; j < config->services[i].ntargets; j++)
			s->agents[s->nagents++] =
				config->services[i].targets[j].agent;
}

static uint32_t age_of(uint64_t when, uint64_t now)
{
	return when ? (uint32_t)MIN(now - when + 1, UINT32_MAX) : 0;
}

void spread_say_hello(spread_t *s, uint64_t now, const endpoint_t *to,
		      bool want_answer)
{
	hello_msg_t msg = CT__HELLO__INIT;

	msg.version = s->config ? s->config->version : 0;
	msg.digest = s->config ? s->config->digest : 0;
	msg.want_answer = want_answer;
	msg.role = (uint32_t)s->options.role;
	msg.platform_age_ms = age_of(s->fresh, now);
	msg.reader_age_ms = age_of(s->reader_fresh, now);
	s->ops->hello(s->ctx, to, &msg);
}

void spread_hello_random(spread_t *s, uint64_t now)
{
	endpoint_t to;

	if (spread_pick(s, now, &to))
		spread_say_hello(s, now, &to, true);
}
