#include "spread_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t version_of(const spread_t *s);
static uint64_t digest_of(const spread_t *s);
static bool follows(const spread_t *s, uint64_t version, uint64_t digest);
static void note_conflict(spread_t *s, uint64_t version, uint64_t digest,
			  const char *source);
static void note_older(spread_t *s, const config_t *config, const char *source);
static void adopt(spread_t *s, uint64_t now, config_t *config,
		  const char *source);
static void hold_back(spread_t *s, config_t *config, const char *source);
static void begin_asking(spread_t *s, uint64_t now);
static void ask(spread_t *s, uint64_t now);
static void end_asking(spread_t *s, uint64_t now);
static void asking_tick(spread_t *s, uint64_t now);
static void add_claim(spread_t *s, uint64_t now, const endpoint_t *from,
		      uint64_t version, uint64_t digest);
static claim_t *best_claim(spread_t *s, uint64_t now);
static void pull_best(spread_t *s, uint64_t now);
static void refuse_peer(spread_t *s, uint64_t now, const endpoint_t *from,
			const err_t *err);

spread_t *spread_new(const spread_options_t *options, const spread_ops_t *ops,
		     void *ctx, uint64_t now)
{
	spread_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->options = *options;
	g_strlcpy(s->zone, options->zone, sizeof(s->zone));
	s->ops = ops;
	s->ctx = ctx;
	s->random = g_rand_new_with_seed((guint32)options->seed);
	s->history = config_history_new();
	s->peers = calloc(options->npeers + 1, sizeof(*s->peers));
	if (!s->history || !s->peers) {
		spread_free(s);
		return NULL;
	}
	if (options->npeers)
		memcpy(s->peers, options->peers,
		       options->npeers * sizeof(*s->peers));
	s->retry_ms = RETRY_MIN_MS;
	s->live_retry_ms = WINDOW_MIN_MS;
	s->silent_due = NEVER;
	s->last_tick = now;
	s->hello_due = now + spread_random(s, HELLO_MS);
	s->live_due = now;
	/* With peers to ask, a fleet that starts at once spreads its calls. */
	if (options->npeers)
		s->live_due += spread_random(s, START_WINDOW_MS);
	begin_asking(s, now);
	return s;
}

void spread_free(spread_t *s)
{
	if (!s)
		return;
	config_unref(s->config);
	config_unref(s->candidate);
	config_history_free(s->history);
	g_rand_free(s->random);
	free(s->peers);
	free(s->agents);
	free(s->live);
	free(s);
}

config_t *spread_config(const spread_t *s)
{
	return s->config;
}

static uint64_t version_of(const spread_t *s)
{
	return s->config ? s->config->version : 0;
}

static uint64_t digest_of(const spread_t *s)
{
	return s->config ? s->config->digest : 0;
}

static bool follows(const spread_t *s, uint64_t version, uint64_t digest)
{
	return config_is_newer(version, digest, version_of(s), digest_of(s));
}

/* Two documents were published with one version: say so once. */
static void note_conflict(spread_t *s, uint64_t version, uint64_t digest,
			  const char *source)
{
	uint64_t own = digest_of(s);
	char detail[160];

	if (version != version_of(s) || digest == own || !s->config)
		return;
	if (s->conflict.version == version && s->conflict.digest == digest)
		return;
	s->conflict.version = version;
	s->conflict.digest = digest;
	snprintf(detail, sizeof(detail),
		 "version %llu has digests %016llx and %016llx; %016llx wins; "
		 "publish one with a higher version",
		 (unsigned long long)version, (unsigned long long)own,
		 (unsigned long long)digest,
		 (unsigned long long)MAX(own, digest));
	s->ops->audit(s->ctx, "configuration-conflict", source, detail);
}

/* An older document is refused aloud once, not with each read. */
static void note_older(spread_t *s, const config_t *config, const char *source)
{
	err_t err;

	if (s->refused.version == config->version &&
	    s->refused.digest == config->digest)
		return;
	s->refused.version = config->version;
	s->refused.digest = config->digest;
	config_check_newer(s->config, config, source, &err);
	s->ops->refuse(s->ctx, &err, source);
}

static void adopt(spread_t *s, uint64_t now, config_t *config,
		  const char *source)
{
	if (s->ops->adopt(s->ctx, config, source) < 0)
		return;
	config_ref(config);
	config_unref(s->config);
	s->config = config;
	config_history_add(s->history, config);
	spread_agents(s, config);
	memset(&s->refused, 0, sizeof(s->refused));
	s->rumours = RUMOURS;
	s->rumour_due = now + spread_random(s, RUMOUR_MS);
}

static void hold_back(spread_t *s, config_t *config, const char *source)
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

void spread_consider(spread_t *s, uint64_t now, config_t *config,
		     const char *source)
{
	bool no_revert =
		!mechanism_disabled(s->options.off, MECHANISM_NO_REVERT);

	note_conflict(s, config->version, config->digest, source);
	if (follows(s, config->version, config->digest) ||
	    (!no_revert && config->digest != digest_of(s)))
		adopt(s, now, config, source);
	else if (config->digest != digest_of(s))
		note_older(s, config, source);
}

void spread_offer(spread_t *s, uint64_t now, config_t *config,
		  const char *source)
{
	if (s->asking)
		hold_back(s, config, source);
	else
		spread_consider(s, now, config, source);
}

static void begin_asking(spread_t *s, uint64_t now)
{
	s->asking = !mechanism_disabled(s->options.off, MECHANISM_ASK_PEERS) &&
		    (s->options.npeers > 0 || s->config || s->options.platform);
	s->ask_due = now;
	s->ask_until = now + ASK_MS;
	s->asked = 0;
	s->answered = 0;
}

static void ask(spread_t *s, uint64_t now)
{
	if (spread_peers(s) == 0)
		return;
	s->ask_due = now + ASK_AGAIN_MS;
	for (int i = 0; i < ASK_PEERS; i++) {
		endpoint_t to;

		if (!spread_pick(s, now, &to))
			continue;
		spread_say_hello(s, now, &to, true);
		s->asked++;
	}
}

static void end_asking(spread_t *s, uint64_t now)
{
	config_t *candidate = s->candidate;

	s->asking = false;
	s->candidate = NULL;
	if (!candidate)
		return;
	spread_consider(s, now, candidate, s->candidate_source);
	config_unref(candidate);
}

static void asking_tick(spread_t *s, uint64_t now)
{
	bool waiting = s->pulling || best_claim(s, now);
	bool enough = s->answered >= ASK_ANSWERS;

	if (now < s->ask_until && now >= s->ask_due && !enough)
		ask(s, now);
	if (waiting && now < s->ask_until + PULL_MS)
		return;
	/* Nobody to ask, and no list that could still name someone. */
	if (spread_peers(s) == 0 && !s->live_reading &&
	    (!s->options.platform || now >= s->live_due))
		enough = true;
	if (enough || now >= s->ask_until)
		end_asking(s, now);
}

/* Keeps the highest claims; a peer has one. */
static void add_claim(spread_t *s, uint64_t now, const endpoint_t *from,
		      uint64_t version, uint64_t digest)
{
	claim_t *place = &s->claims[0];

	if (spread_banned(s, now, from))
		return;
	for (size_t i = 0; i < CLAIMS; i++) {
		claim_t *c = &s->claims[i];

		if (c->version && endpoint_equal(&c->at, from)) {
			place = c;
			break;
		}
		if (config_is_newer(place->version, place->digest, c->version,
				    c->digest))
			place = c;
	}
	if (!config_is_newer(version, digest, place->version, place->digest))
		return;
	place->at = *from;
	place->version = version;
	place->digest = digest;
}

/* The highest claim above what is in force; drops the others. */
static claim_t *best_claim(spread_t *s, uint64_t now)
{
	claim_t *best = NULL;

	for (size_t i = 0; i < CLAIMS; i++) {
		claim_t *c = &s->claims[i];

		if (!c->version)
			continue;
		if (!follows(s, c->version, c->digest) ||
		    spread_banned(s, now, &c->at))
			c->version = 0;
		else if (!best || config_is_newer(c->version, c->digest,
						  best->version, best->digest))
			best = c;
	}
	return best;
}

static void pull_best(spread_t *s, uint64_t now)
{
	config_pull_msg_t msg = CT__CONFIG_PULL__INIT;
	claim_t *c;

	if (s->pulling)
		return;
	c = best_claim(s, now);
	if (!c)
		return;
	c->version = 0;
	s->pulling = true;
	s->pull_from = c->at;
	s->pull_until = now + PULL_MS;
	s->pull_version = version_of(s);
	s->pull_digest = digest_of(s);
	msg.version = s->pull_version;
	msg.digest = s->pull_digest;
	s->ops->pull(s->ctx, &s->pull_from, &msg);
}

void spread_behind(spread_t *s, uint64_t now, const endpoint_t *from,
		   uint64_t version)
{
	if (version <= version_of(s))
		return;
	/* Its digest is not known: 0 is behind any other. */
	add_claim(s, now, from, version, 0);
	pull_best(s, now);
}

void spread_hello(spread_t *s, uint64_t now, const endpoint_t *from,
		  const hello_msg_t *msg)
{
	char text[ENDPOINT_TEXT_SIZE];

	if (endpoint_equal(from, &s->options.self))
		return;
	spread_learn(s, now, from);
	spread_heard_ages(s, now, msg);
	/* Those that have nothing themselves know nothing. */
	if (s->asking && !msg->want_answer && msg->version)
		s->answered++;
	note_conflict(s, msg->version, msg->digest,
		      endpoint_format(from, text));
	if (msg->version && follows(s, msg->version, msg->digest))
		add_claim(s, now, from, msg->version, msg->digest);
	if (msg->want_answer)
		spread_say_hello(s, now, from, false);
	pull_best(s, now);
}

static void refuse_peer(spread_t *s, uint64_t now, const endpoint_t *from,
			const err_t *err)
{
	char text[ENDPOINT_TEXT_SIZE];

	spread_ban(s, now + BAN_LIAR_MS, from);
	s->ops->refuse(s->ctx, err, endpoint_format(from, text));
}

void spread_pulled(spread_t *s, uint64_t now, const endpoint_t *from,
		   const config_reply_msg_t *reply)
{
	char text[ENDPOINT_TEXT_SIZE];
	config_t *config;
	err_t err;

	/* An answer that comes after it was given up is of no use. */
	if (!s->pulling || !endpoint_equal(from, &s->pull_from))
		return;
	s->pulling = false;
	endpoint_format(from, text);
	if (!reply) {
		spread_ban(s, now + BAN_SILENT_MS, from);
	} else if (s->pull_version != version_of(s) ||
		   s->pull_digest != digest_of(s)) {
		add_claim(s, now, from, reply->version, reply->digest);
	} else if (!follows(s, reply->version, reply->digest)) {
		err_set(&err, ERR_PROTOCOL, text, 0, "look at this peer",
			"peer does not have the version that it told of");
		refuse_peer(s, now, from, &err);
	} else if (reply->base_version &&
		   reply->base_version != s->pull_version) {
		err_set(&err, ERR_PROTOCOL, text, 0, "look at this peer",
			"peer's answer is for another version");
		refuse_peer(s, now, from, &err);
	} else if (config_merge(text, reply->base_version ? s->config : NULL,
				reply, &config, &err) < 0) {
		refuse_peer(s, now, from, &err);
	} else {
		spread_consider(s, now, config, text);
		config_unref(config);
	}
	pull_best(s, now);
}

config_reply_msg_t *spread_reply(const spread_t *s,
				 const config_pull_msg_t *pull)
{
	if (!s->config)
		return NULL;
	return config_reply_new(
		s->config,
		config_history_find(s->history, pull->version, pull->digest));
}

void spread_tick(spread_t *s, uint64_t now)
{
	/* Frozen until now: what is in force may be old. */
	if (now - s->last_tick > LATE_MS && !s->asking)
		begin_asking(s, now);
	s->last_tick = now;
	if (s->pulling && now >= s->pull_until)
		spread_pulled(s, now, &s->pull_from, NULL);
	if (s->asking)
		asking_tick(s, now);
	if (now >= s->hello_due) {
		s->hello_due = now + HELLO_MS - HELLO_JITTER_MS +
			       spread_random(s, 2 * (uint64_t)HELLO_JITTER_MS);
		spread_hello_random(s, now);
	}
	if (s->rumours > 0 && now >= s->rumour_due) {
		s->rumours--;
		s->rumour_due = now + spread_random(s, RUMOUR_MS);
		spread_hello_random(s, now);
	}
	pull_best(s, now);
	spread_platform_tick(s, now);
}
