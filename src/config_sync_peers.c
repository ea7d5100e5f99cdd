#include "config_sync_int.h"
#include <stdlib.h>
#include <string.h>

#define PICK_ATTEMPTS 8 /* random draws until a usable peer is found */

static void expire_heard_peers(config_sync_t *s, uint64_t now);
static const endpoint_t *peer_at(const config_sync_t *s, size_t i);
static uint32_t age_ms(uint64_t when, uint64_t now);

uint64_t config_sync_random(config_sync_t *s, uint64_t below)
{
	return below ? g_rand_int(s->rng) % below : 0;
}

void config_sync_note_peer(config_sync_t *s, uint64_t now,
			   const endpoint_t *from)
{
	size_t oldest = 0;

	for (size_t i = 0; i < s->nheard_peers; i++) {
		if (endpoint_equal(&s->heard_peers[i].addr, from)) {
			s->heard_peers[i].last_heard_ms = now;
			return;
		}
		if (s->heard_peers[i].last_heard_ms <
		    s->heard_peers[oldest].last_heard_ms)
			oldest = i;
	}
	if (s->nheard_peers < HEARD_PEERS_MAX)
		oldest = s->nheard_peers++;
	s->heard_peers[oldest].addr = *from;
	s->heard_peers[oldest].last_heard_ms = now;
}

static void expire_heard_peers(config_sync_t *s, uint64_t now)
{
	for (size_t i = 0; i < s->nheard_peers;)
		if (now - s->heard_peers[i].last_heard_ms > HEARD_PEER_TTL_MS)
			s->heard_peers[i] = s->heard_peers[--s->nheard_peers];
		else
			i++;
}

size_t config_sync_peer_count(const config_sync_t *s)
{
	return s->options.npeers + s->nlive_peers + s->nagents +
	       s->nheard_peers;
}

size_t config_sync_heard_peers(const config_sync_t *s, endpoint_t *out,
			       size_t n)
{
	size_t i = 0;

	for (; i < s->nheard_peers && i < n; i++)
		out[i] = s->heard_peers[i].addr;
	return i;
}

static const endpoint_t *peer_at(const config_sync_t *s, size_t i)
{
	if (i < s->options.npeers)
		return &s->peers[i];
	i -= s->options.npeers;
	if (i < s->nlive_peers)
		return &s->live_peers[i];
	i -= s->nlive_peers;
	if (i < s->nagents)
		return &s->agents[i];
	return &s->heard_peers[i - s->nagents].addr;
}

/*
 * Picks a random known peer that is neither this process nor banned. Returns
 * false when PICK_ATTEMPTS draws found none.
 */
bool config_sync_pick_peer(config_sync_t *s, uint64_t now, endpoint_t *out)
{
	size_t total;

	expire_heard_peers(s, now);
	total = config_sync_peer_count(s);
	for (int i = 0; total > 0 && i < PICK_ATTEMPTS; i++) {
		*out = *peer_at(s, config_sync_random(s, total));
		if (!endpoint_equal(out, &s->options.self) &&
		    !config_sync_peer_banned(s, now, out))
			return true;
	}
	return false;
}

void config_sync_ban_peer(config_sync_t *s, uint64_t until,
			  const endpoint_t *peer)
{
	ban_t *slot = &s->bans[0];

	for (size_t i = 0; i < BANS_MAX; i++) {
		if (endpoint_equal(&s->bans[i].addr, peer)) {
			slot = &s->bans[i];
			break;
		}
		if (s->bans[i].until_ms < slot->until_ms)
			slot = &s->bans[i];
	}
	slot->addr = *peer;
	slot->until_ms = until;
}

bool config_sync_peer_banned(const config_sync_t *s, uint64_t now,
			     const endpoint_t *peer)
{
	for (size_t i = 0; i < BANS_MAX; i++)
		if (s->bans[i].until_ms > now &&
		    endpoint_equal(&s->bans[i].addr, peer))
			return true;
	return false;
}

/* Replaces the list of agents by those of the configuration. */
void config_sync_set_agents(config_sync_t *s, const config_t *config)
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

/* Returns an age in ms for a hello: at least 1, because 0 means never. */
static uint32_t age_ms(uint64_t when, uint64_t now)
{
	return when ? (uint32_t)MIN(now - when + 1, UINT32_MAX) : 0;
}

void config_sync_send_hello(config_sync_t *s, uint64_t now,
			    const endpoint_t *to, bool want_answer)
{
	hello_msg_t msg = CT__HELLO__INIT;

	msg.version = s->config ? s->config->version : 0;
	msg.digest = s->config ? s->config->digest : 0;
	msg.want_answer = want_answer;
	msg.role = (uint32_t)s->options.role;
	msg.platform_age_ms = age_ms(s->last_watch_ms, now);
	msg.reader_age_ms = age_ms(s->last_reader_watch_ms, now);
	s->ops->send_hello(s->ctx, to, &msg);
}

void config_sync_hello_random_peer(config_sync_t *s, uint64_t now)
{
	endpoint_t to;

	if (config_sync_pick_peer(s, now, &to))
		config_sync_send_hello(s, now, &to, true);
}
