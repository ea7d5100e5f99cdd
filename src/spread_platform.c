#include "spread_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct live_line {
	endpoint_t at;
	char zone[NAME_BYTES];
	char state[16];
} live_line_t;

static uint64_t window_ms(const spread_t *s);
static void heard_age(uint64_t *when, uint64_t now, uint32_t age);
static void watched(spread_t *s, uint64_t now);
static bool silent(uint64_t when, uint64_t now);
static bool may_read(spread_t *s, uint64_t now);
static void read_failed(spread_t *s, uint64_t now);
static bool parse_line(const char *line, live_line_t *out);
static bool parse_list(const platform_result_t *result, GArray *out);
static void rank_self(spread_t *s, const GArray *lines);

/* Over which all processes spread a call that each of them makes. */
static uint64_t window_ms(const spread_t *s)
{
	uint64_t known = MAX(s->nlive, s->nagents);
	uint64_t ms = known * 1000 / CALLS_A_SECOND;

	if (!known)
		return START_WINDOW_MS;
	return MAX(ms, WINDOW_MIN_MS);
}

static void heard_age(uint64_t *when, uint64_t now, uint32_t age)
{
	if (age && age <= now && now - age > *when)
		*when = now - age;
}

void spread_heard_ages(spread_t *s, uint64_t now, const hello_msg_t *msg)
{
	heard_age(&s->fresh, now, msg->platform_age_ms);
	heard_age(&s->reader_fresh, now, msg->reader_age_ms);
}

static void watched(spread_t *s, uint64_t now)
{
	s->fresh = now;
	if (s->ranked)
		s->reader_fresh = now;
}

static bool silent(uint64_t when, uint64_t now)
{
	return !when || now - when > SILENCE_MS;
}

bool spread_is_reader(const spread_t *s, uint64_t now)
{
	return s->ranked || (s->fallback && silent(s->reader_fresh, now));
}

/* Readers do; others when they have nothing, and after silence. */
static bool may_read(spread_t *s, uint64_t now)
{
	if (spread_is_reader(s, now))
		return true;
	s->fallback = false;
	if (s->config && !silent(s->fresh, now)) {
		s->silent_due = NEVER;
		return false;
	}
	if (s->silent_due == NEVER)
		s->silent_due = now + spread_random(s, window_ms(s));
	return now >= s->silent_due;
}

void spread_platform_tick(spread_t *s, uint64_t now)
{
	uint64_t after;

	if (!s->options.platform)
		return;
	if (!s->live_reading && now >= s->live_due) {
		s->live_reading = true;
		s->ops->live(s->ctx);
	}
	if (s->reading && s->read_ok)
		watched(s, now);
	if (s->reading || s->asking || now < s->read_due || !may_read(s, now))
		return;
	/* The first read takes the document whatever its version. */
	after = s->first_read_done && s->config ? s->config->version : 0;
	s->reading = true;
	s->ops->read(s->ctx, after);
}

static void read_failed(spread_t *s, uint64_t now)
{
	uint64_t wait = s->retry_ms / 2 + spread_random(s, s->retry_ms);

	s->read_ok = false;
	s->retry_ms = MIN(s->retry_ms * 2, RETRY_MAX_MS);
	if (!spread_is_reader(s, now))
		wait += spread_random(s, window_ms(s)) * s->retry_ms /
			RETRY_MIN_MS;
	s->read_due = now + wait;
}

void spread_read(spread_t *s, uint64_t now, const platform_result_t *result)
{
	uint64_t digest;
	config_t *config;
	err_t err;

	s->reading = false;
	if (result->status == PLATFORM_FAILED) {
		read_failed(s, now);
		return;
	}
	if (result->status == PLATFORM_DOCUMENT &&
	    config_parse("platform", result->text, result->len, &config, &err) <
		    0) {
		digest = g_str_hash(err.what) ^ (uint64_t)err.line << 32;
		if (s->refused.version || s->refused.digest != digest)
			s->ops->refuse(s->ctx, &err, "platform");
		s->refused.version = 0;
		s->refused.digest = digest;
		read_failed(s, now);
		return;
	}
	s->retry_ms = RETRY_MIN_MS;
	s->read_ok = true;
	s->first_read_done = true;
	s->read_due = now;
	/* A start without a configuration reads it once and goes on later. */
	s->fallback = s->config && silent(s->reader_fresh, now);
	watched(s, now);
	if (result->status != PLATFORM_DOCUMENT)
		return;
	if (s->config && config->version <= s->config->version)
		s->read_due = now + PAUSE_MS + spread_random(s, PAUSE_MS);
	spread_consider(s, now, config, "platform");
	config_unref(config);
}

static bool parse_line(const char *line, live_line_t *out)
{
	char at[ENDPOINT_TEXT_SIZE];

	return sscanf(line, "%23s %63s %15s", at, out->zone, out->state) == 3 &&
	       endpoint_parse(at, &out->at) == 0 &&
	       (!strcmp(out->state, "live") || !strcmp(out->state, "leaving"));
}

static bool parse_list(const platform_result_t *result, GArray *out)
{
	char *text = g_strndup(result->text, result->len);
	char **lines = g_strsplit(text, "\n", LIVE_MAX + 2);
	bool ok = g_strv_length(lines) <= LIVE_MAX;

	for (char **l = lines; ok && *l; l++) {
		live_line_t line;

		if (!**l)
			continue;
		ok = parse_line(*l, &line);
		if (ok)
			g_array_append_val(out, line);
	}
	g_strfreev(lines);
	g_free(text);
	return ok && out->len > 0;
}

/* Is this process among the first of its zone's live ones? */
static void rank_self(spread_t *s, const GArray *lines)
{
	rank_member_t *members = calloc(lines->len + 1, sizeof(*members));
	uint32_t order[SPREAD_READERS];
	uint32_t self = UINT32_MAX;
	size_t n = 0;
	size_t best;

	s->ranked = false;
	for (guint i = 0; members && i < lines->len; i++) {
		const live_line_t *l = &g_array_index(lines, live_line_t, i);

		if (strcmp(l->zone, s->zone) != 0 ||
		    strcmp(l->state, "live") != 0)
			continue;
		if (endpoint_equal(&l->at, &s->options.self))
			self = (uint32_t)n;
		members[n].id = l->at.ip * 31 + l->at.port;
		members[n++].weight = 1.0;
	}
	best = n ? rank_best(config_name_hash(s->zone), members, n, order,
			     SPREAD_READERS)
		 : 0;
	for (size_t i = 0; i < best; i++)
		s->ranked = s->ranked || order[i] == self;
	free(members);
}

void spread_live(spread_t *s, uint64_t now, const platform_result_t *result)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(live_line_t));

	s->live_reading = false;
	if (result->status != PLATFORM_DOCUMENT || !parse_list(result, lines)) {
		s->live_due = now + s->live_retry_ms / 2 +
			      spread_random(s, s->live_retry_ms);
		s->live_retry_ms = MIN(s->live_retry_ms * 2, LIVE_RETRY_MAX_MS);
		g_array_free(lines, TRUE);
		return;
	}
	s->live_retry_ms = WINDOW_MIN_MS;
	s->live_due = now + LIVE_MS / 2 + spread_random(s, LIVE_MS);
	free(s->live);
	s->live = calloc(lines->len, sizeof(*s->live));
	s->nlive = 0;
	for (guint i = 0; s->live && i < lines->len; i++)
		s->live[s->nlive++] = g_array_index(lines, live_line_t, i).at;
	rank_self(s, lines);
	g_array_free(lines, TRUE);
}
