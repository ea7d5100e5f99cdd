#include "config_sync_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t current_version(const config_sync_t *s);
static uint64_t current_digest(const config_sync_t *s);
static bool is_newer(const config_sync_t *s, uint64_t version, uint64_t digest);
static void audit_conflict(config_sync_t *s, uint64_t version, uint64_t digest,
			   const char *source);
static void refuse_older(config_sync_t *s, const config_t *config,
			 const char *source);
static void apply(config_sync_t *s, uint64_t now, config_t *config,
		  const char *source);
static void keep_candidate(config_sync_t *s, config_t *config,
			   const char *source);
static void ask_begin(config_sync_t *s, uint64_t now);
static void ask_peers(config_sync_t *s, uint64_t now);
static void ask_end(config_sync_t *s, uint64_t now);
static void ask_tick(config_sync_t *s, uint64_t now);
static void add_claim(config_sync_t *s, uint64_t now, const endpoint_t *from,
		      uint64_t version, uint64_t digest);
static claim_t *best_claim(config_sync_t *s, uint64_t now);
static void pull_best(config_sync_t *s, uint64_t now);
static void refuse_reply(config_sync_t *s, uint64_t now, const endpoint_t *from,
			 const err_t *err);

config_sync_t *config_sync_new(const config_sync_options_t *options,
			       const config_sync_ops_t *ops, void *ctx,
			       uint64_t now)
{
	config_sync_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->options = *options;
	g_strlcpy(s->zone, options->zone, sizeof(s->zone));
	s->ops = ops;
	s->ctx = ctx;
	s->rng = g_rand_new_with_seed((guint32)options->seed);
	s->history = config_history_new();
	s->peers = calloc(options->npeers + 1, sizeof(*s->peers));
	if (!s->history || !s->peers) {
		config_sync_free(s);
		return NULL;
	}
	if (options->npeers)
		memcpy(s->peers, options->peers,
		       options->npeers * sizeof(*s->peers));
	s->read_retry_ms = READ_RETRY_MIN_MS;
	s->live_list_retry_ms = JITTER_MIN_MS;
	s->fallback_read_ms = NEVER;
	s->last_tick_ms = now;
	s->next_hello_ms = now + config_sync_random(s, HELLO_INTERVAL_MS);
	s->next_live_list_ms = now;
	/* Random delay, so that processes started together do not read the
	 * live list at once. A process without peers needs the list now. */
	if (options->npeers)
		s->next_live_list_ms +=
			config_sync_random(s, JITTER_UNKNOWN_FLEET_MS);
	ask_begin(s, now);
	return s;
}

void config_sync_free(config_sync_t *s)
{
	if (!s)
		return;
	config_unref(s->config);
	config_unref(s->candidate);
	config_history_free(s->history);
	g_rand_free(s->rng);
	free(s->peers);
	free(s->agents);
	free(s->live_peers);
	free(s);
}

config_t *config_sync_current(const config_sync_t *s)
{
	return s->config;
}

static uint64_t current_version(const config_sync_t *s)
{
	return s->config ? s->config->version : 0;
}

static uint64_t current_digest(const config_sync_t *s)
{
	return s->config ? s->config->digest : 0;
}

static bool is_newer(const config_sync_t *s, uint64_t version, uint64_t digest)
{
	return config_is_newer(version, digest, current_version(s),
			       current_digest(s));
}

/* Audits, once, that a document and the one in force share one version. */
static void audit_conflict(config_sync_t *s, uint64_t version, uint64_t digest,
			   const char *source)
{
	uint64_t own = current_digest(s);
	char detail[160];

	if (version != current_version(s) || digest == own || !s->config)
		return;
	if (s->logged_conflict.version == version &&
	    s->logged_conflict.digest == digest)
		return;
	s->logged_conflict.version = version;
	s->logged_conflict.digest = digest;
	snprintf(detail, sizeof(detail),
		 "version %llu was published with digests %016llx and %016llx; "
		 "%016llx is used; publish a higher version",
		 (unsigned long long)version, (unsigned long long)own,
		 (unsigned long long)digest,
		 (unsigned long long)MAX(own, digest));
	s->ops->audit(s->ctx, "configuration-conflict", source, detail);
}

/* Reports an older document as refused once, not after each read. */
static void refuse_older(config_sync_t *s, const config_t *config,
			 const char *source)
{
	err_t err;

	if (s->logged_refusal.version == config->version &&
	    s->logged_refusal.digest == config->digest)
		return;
	s->logged_refusal.version = config->version;
	s->logged_refusal.digest = config->digest;
	config_check_newer(s->config, config, source, &err);
	s->ops->refuse(s->ctx, &err, source);
}

static void apply(config_sync_t *s, uint64_t now, config_t *config,
		  const char *source)
{
	if (s->ops->apply(s->ctx, config, source) < 0)
		return;
	config_ref(config);
	config_unref(s->config);
	s->config = config;
	config_history_add(s->history, config);
	config_sync_set_agents(s, config);
	memset(&s->logged_refusal, 0, sizeof(s->logged_refusal));
	s->gossip_sends_left = GOSSIP_FANOUT;
	s->next_gossip_ms = now + config_sync_random(s, GOSSIP_DELAY_MAX_MS);
}

static void keep_candidate(config_sync_t *s, config_t *config,
			   const char *source)
{
	if (s->candidate &&
	    !config_is_newer(config->version, config->digest,
			     s->candidate->version, s->candidate->digest))
		return;
	config_ref(config);
	config_unref(s->candidate);
	s->candidate = config;
	g_strlcpy(s->candidate_source, source, sizeof(s->candidate_source));
}

void config_sync_apply_if_newer(config_sync_t *s, uint64_t now,
				config_t *config, const char *source)
{
	bool no_revert =
		!mechanism_disabled(s->options.off, MECHANISM_NO_REVERT);

	audit_conflict(s, config->version, config->digest, source);
	if (is_newer(s, config->version, config->digest) ||
	    (!no_revert && config->digest != current_digest(s)))
		apply(s, now, config, source);
	else if (config->digest != current_digest(s))
		refuse_older(s, config, source);
}

void config_sync_add_candidate(config_sync_t *s, uint64_t now, config_t *config,
			       const char *source)
{
	if (s->asking)
		keep_candidate(s, config, source);
	else
		config_sync_apply_if_newer(s, now, config, source);
}

static void ask_begin(config_sync_t *s, uint64_t now)
{
	s->asking = !mechanism_disabled(s->options.off, MECHANISM_ASK_PEERS) &&
		    (s->options.npeers > 0 || s->config || s->options.platform);
	s->next_ask_ms = now;
	s->ask_deadline_ms = now + ASK_TIMEOUT_MS;
	s->asked = 0;
	s->answers = 0;
}

static void ask_peers(config_sync_t *s, uint64_t now)
{
	if (config_sync_peer_count(s) == 0)
		return;
	s->next_ask_ms = now + ASK_INTERVAL_MS;
	for (int i = 0; i < ASK_FANOUT; i++) {
		endpoint_t to;

		if (!config_sync_pick_peer(s, now, &to))
			continue;
		config_sync_send_hello(s, now, &to, true);
		s->asked++;
	}
}

static void ask_end(config_sync_t *s, uint64_t now)
{
	config_t *candidate = s->candidate;

	s->asking = false;
	s->candidate = NULL;
	if (!candidate)
		return;
	config_sync_apply_if_newer(s, now, candidate, s->candidate_source);
	config_unref(candidate);
}

static void ask_tick(config_sync_t *s, uint64_t now)
{
	bool expecting_config = s->pull_pending || best_claim(s, now);
	bool enough = s->answers >= ASK_ANSWERS_ENOUGH;

	if (now < s->ask_deadline_ms && now >= s->next_ask_ms && !enough)
		ask_peers(s, now);
	if (expecting_config && now < s->ask_deadline_ms + PULL_TIMEOUT_MS)
		return;
	/* No peer is known, and no read of the live list is about to name
	 * one. */
	if (config_sync_peer_count(s) == 0 && !s->live_list_pending &&
	    (!s->options.platform || now >= s->next_live_list_ms))
		enough = true;
	if (enough || now >= s->ask_deadline_ms)
		ask_end(s, now);
}

/* Remembers the CLAIMS_MAX highest claims, at most one per peer. */
static void add_claim(config_sync_t *s, uint64_t now, const endpoint_t *from,
		      uint64_t version, uint64_t digest)
{
	claim_t *slot = &s->claims[0];

	if (config_sync_peer_banned(s, now, from))
		return;
	for (size_t i = 0; i < CLAIMS_MAX; i++) {
		claim_t *c = &s->claims[i];

		if (c->version && endpoint_equal(&c->addr, from)) {
			slot = c;
			break;
		}
		if (config_is_newer(slot->version, slot->digest, c->version,
				    c->digest))
			slot = c;
	}
	if (!config_is_newer(version, digest, slot->version, slot->digest))
		return;
	slot->addr = *from;
	slot->version = version;
	slot->digest = digest;
}

/*
 * Returns the highest claim above the configuration in force, or NULL. Drops
 * claims that are not above it and those of banned peers.
 */
static claim_t *best_claim(config_sync_t *s, uint64_t now)
{
	claim_t *best = NULL;

	for (size_t i = 0; i < CLAIMS_MAX; i++) {
		claim_t *c = &s->claims[i];

		if (!c->version)
			continue;
		if (!is_newer(s, c->version, c->digest) ||
		    config_sync_peer_banned(s, now, &c->addr))
			c->version = 0;
		else if (!best || config_is_newer(c->version, c->digest,
						  best->version, best->digest))
			best = c;
	}
	return best;
}

static void pull_best(config_sync_t *s, uint64_t now)
{
	config_pull_msg_t msg = CT__CONFIG_PULL__INIT;
	claim_t *c;

	if (s->pull_pending)
		return;
	c = best_claim(s, now);
	if (!c)
		return;
	c->version = 0;
	s->pull_pending = true;
	s->pull_from = c->addr;
	s->pull_deadline_ms = now + PULL_TIMEOUT_MS;
	s->pull_base_version = current_version(s);
	s->pull_base_digest = current_digest(s);
	msg.version = s->pull_base_version;
	msg.digest = s->pull_base_digest;
	s->ops->send_pull(s->ctx, &s->pull_from, &msg);
}

void config_sync_newer_version(config_sync_t *s, uint64_t now,
			       const endpoint_t *from, uint64_t version)
{
	if (version <= current_version(s))
		return;
	/* The digest is unknown; 0 orders the claim below all others of the
	 * same version. */
	add_claim(s, now, from, version, 0);
	pull_best(s, now);
}

void config_sync_receive_hello(config_sync_t *s, uint64_t now,
			       const endpoint_t *from, const hello_msg_t *msg)
{
	char text[ENDPOINT_TEXT_SIZE];

	if (endpoint_equal(from, &s->options.self))
		return;
	config_sync_note_peer(s, now, from);
	config_sync_merge_ages(s, now, msg);
	/* An answer without a configuration does not count, because its
	 * sender cannot tell whether a newer version exists. */
	if (s->asking && !msg->want_answer && msg->version)
		s->answers++;
	audit_conflict(s, msg->version, msg->digest,
		       endpoint_format(from, text));
	if (msg->version && is_newer(s, msg->version, msg->digest))
		add_claim(s, now, from, msg->version, msg->digest);
	if (msg->want_answer)
		config_sync_send_hello(s, now, from, false);
	pull_best(s, now);
}

static void refuse_reply(config_sync_t *s, uint64_t now, const endpoint_t *from,
			 const err_t *err)
{
	char text[ENDPOINT_TEXT_SIZE];

	config_sync_ban_peer(s, now + BAN_BAD_REPLY_MS, from);
	s->ops->refuse(s->ctx, err, endpoint_format(from, text));
}

void config_sync_pull_done(config_sync_t *s, uint64_t now,
			   const endpoint_t *from,
			   const config_reply_msg_t *reply)
{
	char text[ENDPOINT_TEXT_SIZE];
	config_t *config;
	err_t err;

	/* Ignores replies that come after the pull has timed out. */
	if (!s->pull_pending || !endpoint_equal(from, &s->pull_from))
		return;
	s->pull_pending = false;
	endpoint_format(from, text);
	if (!reply) {
		config_sync_ban_peer(s, now + BAN_NO_REPLY_MS, from);
	} else if (s->pull_base_version != current_version(s) ||
		   s->pull_base_digest != current_digest(s)) {
		add_claim(s, now, from, reply->version, reply->digest);
	} else if (!is_newer(s, reply->version, reply->digest)) {
		err_set(&err, ERR_PROTOCOL, text, 0, "check this peer",
			"peer announced a newer configuration, but replied "
			"with version %llu",
			(unsigned long long)reply->version);
		refuse_reply(s, now, from, &err);
	} else if (reply->base_version &&
		   reply->base_version != s->pull_base_version) {
		err_set(&err, ERR_PROTOCOL, text, 0, "check this peer",
			"peer's reply is based on version %llu, but the pull "
			"named version %llu",
			(unsigned long long)reply->base_version,
			(unsigned long long)s->pull_base_version);
		refuse_reply(s, now, from, &err);
	} else if (config_merge(text, reply->base_version ? s->config : NULL,
				reply, &config, &err) < 0) {
		refuse_reply(s, now, from, &err);
	} else {
		config_sync_apply_if_newer(s, now, config, text);
		config_unref(config);
	}
	pull_best(s, now);
}

config_reply_msg_t *config_sync_pull_reply(const config_sync_t *s,
					   const config_pull_msg_t *pull)
{
	if (!s->config)
		return NULL;
	return config_reply_new(
		s->config,
		config_history_find(s->history, pull->version, pull->digest));
}

void config_sync_tick(config_sync_t *s, uint64_t now)
{
	/* The process was suspended, so its configuration may be outdated. */
	if (now - s->last_tick_ms > RESUME_GAP_MS && !s->asking)
		ask_begin(s, now);
	s->last_tick_ms = now;
	if (s->pull_pending && now >= s->pull_deadline_ms)
		config_sync_pull_done(s, now, &s->pull_from, NULL);
	if (s->asking)
		ask_tick(s, now);
	if (now >= s->next_hello_ms) {
		s->next_hello_ms =
			now + HELLO_INTERVAL_MS - HELLO_JITTER_MS +
			config_sync_random(s, 2 * (uint64_t)HELLO_JITTER_MS);
		config_sync_hello_random_peer(s, now);
	}
	if (s->gossip_sends_left > 0 && now >= s->next_gossip_ms) {
		s->gossip_sends_left--;
		s->next_gossip_ms =
			now + config_sync_random(s, GOSSIP_DELAY_MAX_MS);
		config_sync_hello_random_peer(s, now);
	}
	pull_best(s, now);
	config_sync_platform_tick(s, now);
}
