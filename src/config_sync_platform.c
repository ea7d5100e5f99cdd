#include "config_sync_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A line of the live list. */
typedef struct live_entry {
	endpoint_t addr;
	char zone[NAME_BYTES];
	char state[16]; /* "live" or "leaving" */
} live_entry_t;

static uint64_t jitter_window_ms(const config_sync_t *s);
static void merge_age(uint64_t *when, uint64_t now, uint32_t age);
static void note_watch(config_sync_t *s, uint64_t now);
static bool is_stale(uint64_t when, uint64_t now);
static bool may_read(config_sync_t *s, uint64_t now);
static void read_failed(config_sync_t *s, uint64_t now);
static bool parse_live_entry(const char *line, live_entry_t *out);
static bool parse_live_list(const platform_result_t *result, GArray *out);
static void update_zone_reader(config_sync_t *s, const GArray *lines);

/*
 * Range of random delays for a call that every process makes, so that all
 * processes together make at most FLEET_CALLS_PER_S calls per second.
 */
static uint64_t jitter_window_ms(const config_sync_t *s)
{
	uint64_t fleet_size = MAX(s->nlive_peers, s->nagents);
	uint64_t ms = fleet_size * 1000 / FLEET_CALLS_PER_S;

	if (!fleet_size)
		return JITTER_UNKNOWN_FLEET_MS;
	return MAX(ms, JITTER_MIN_MS);
}

/* Raises *when to the time that is age milliseconds ago, unless age is 0, which
 * means never. */
static void merge_age(uint64_t *when, uint64_t now, uint32_t age)
{
	if (age && age <= now && now - age > *when)
		*when = now - age;
}

void config_sync_merge_ages(config_sync_t *s, uint64_t now,
			    const hello_msg_t *msg)
{
	merge_age(&s->last_watch_ms, now, msg->platform_age_ms);
	merge_age(&s->last_reader_watch_ms, now, msg->reader_age_ms);
}

static void note_watch(config_sync_t *s, uint64_t now)
{
	s->last_watch_ms = now;
	if (s->is_zone_reader)
		s->last_reader_watch_ms = now;
}

static bool is_stale(uint64_t when, uint64_t now)
{
	return !when || now - when > WATCH_STALE_MS;
}

bool config_sync_is_reader(const config_sync_t *s, uint64_t now)
{
	return s->is_zone_reader ||
	       (s->fallback && is_stale(s->last_reader_watch_ms, now));
}

/*
 * Readers may read at any time. Other processes may, after a random delay, when
 * they have no configuration or when no process watched the platform within
 * WATCH_STALE_MS.
 */
static bool may_read(config_sync_t *s, uint64_t now)
{
	if (config_sync_is_reader(s, now))
		return true;
	s->fallback = false;
	if (s->config && !is_stale(s->last_watch_ms, now)) {
		s->fallback_read_ms = NEVER;
		return false;
	}
	if (s->fallback_read_ms == NEVER)
		s->fallback_read_ms =
			now + config_sync_random(s, jitter_window_ms(s));
	return now >= s->fallback_read_ms;
}

void config_sync_platform_tick(config_sync_t *s, uint64_t now)
{
	uint64_t after;

	if (!s->options.platform)
		return;
	if (!s->live_list_pending && now >= s->next_live_list_ms) {
		s->live_list_pending = true;
		s->ops->read_live_list(s->ctx);
	}
	if (s->read_pending && s->last_read_ok)
		note_watch(s, now);
	if (s->read_pending || s->asking || now < s->next_read_ms ||
	    !may_read(s, now))
		return;
	/* The first read asks for the document whatever its version. */
	after = s->first_read_done && s->config ? s->config->version : 0;
	s->read_pending = true;
	s->ops->read_document(s->ctx, after);
}

static void read_failed(config_sync_t *s, uint64_t now)
{
	uint64_t wait =
		s->read_retry_ms / 2 + config_sync_random(s, s->read_retry_ms);

	s->last_read_ok = false;
	s->read_retry_ms = MIN(s->read_retry_ms * 2, READ_RETRY_MAX_MS);
	if (!config_sync_is_reader(s, now))
		wait += config_sync_random(s, jitter_window_ms(s)) *
			s->read_retry_ms / READ_RETRY_MIN_MS;
	s->next_read_ms = now + wait;
}

void config_sync_read_done(config_sync_t *s, uint64_t now,
			   const platform_result_t *result)
{
	uint64_t digest;
	config_t *config;
	err_t err;

	s->read_pending = false;
	if (result->status == PLATFORM_FAILED) {
		read_failed(s, now);
		return;
	}
	if (result->status == PLATFORM_DOCUMENT &&
	    config_parse("platform", result->text, result->len, &config, &err) <
		    0) {
		digest = g_str_hash(err.what) ^ (uint64_t)err.line << 32;
		if (s->logged_refusal.version ||
		    s->logged_refusal.digest != digest)
			s->ops->refuse(s->ctx, &err, "platform");
		s->logged_refusal.version = 0;
		s->logged_refusal.digest = digest;
		read_failed(s, now);
		return;
	}
	s->read_retry_ms = READ_RETRY_MIN_MS;
	s->last_read_ok = true;
	s->first_read_done = true;
	s->next_read_ms = now;
	/* Keeps watching while no zone reader does. The first read of a process
	 * without a configuration does not count: it needs the document whether
	 * or not readers watch. */
	s->fallback = s->config && is_stale(s->last_reader_watch_ms, now);
	note_watch(s, now);
	if (result->status != PLATFORM_DOCUMENT)
		return;
	if (s->config && config->version <= s->config->version)
		s->next_read_ms = now + REREAD_DELAY_MS +
				  config_sync_random(s, REREAD_DELAY_MS);
	config_sync_apply_if_newer(s, now, config, "platform");
	config_unref(config);
}

static bool parse_live_entry(const char *line, live_entry_t *out)
{
	char addr[ENDPOINT_TEXT_SIZE];

	return sscanf(line, "%23s %63s %15s", addr, out->zone, out->state) ==
		       3 &&
	       endpoint_parse(addr, &out->addr) == 0 &&
	       (!strcmp(out->state, "live") || !strcmp(out->state, "leaving"));
}

static bool parse_live_list(const platform_result_t *result, GArray *out)
{
	char *text = g_strndup(result->text, result->len);
	char **lines = g_strsplit(text, "\n", LIVE_LIST_MAX + 2);
	bool ok = g_strv_length(lines) <= LIVE_LIST_MAX;

	for (char **l = lines; ok && *l; l++) {
		live_entry_t line;

		if (!**l)
			continue;
		ok = parse_live_entry(*l, &line);
		if (ok)
			g_array_append_val(out, line);
	}
	g_strfreev(lines);
	g_free(text);
	return ok && out->len > 0;
}

/*
 * Sets is_zone_reader when this process ranks among the first
 * CONFIG_SYNC_READERS live processes of its zone.
 */
static void update_zone_reader(config_sync_t *s, const GArray *lines)
{
	rank_member_t *members = calloc(lines->len + 1, sizeof(*members));
	uint32_t order[CONFIG_SYNC_READERS];
	uint32_t self = UINT32_MAX;
	size_t n = 0;
	size_t best;

	s->is_zone_reader = false;
	for (guint i = 0; members && i < lines->len; i++) {
		const live_entry_t *l = &g_array_index(lines, live_entry_t, i);

		if (strcmp(l->zone, s->zone) != 0 ||
		    strcmp(l->state, "live") != 0)
			continue;
		if (endpoint_equal(&l->addr, &s->options.self))
			self = (uint32_t)n;
		members[n].id = l->addr.ip * 31 + l->addr.port;
		members[n++].weight = 1.0;
	}
	best = n ? rank_best(config_name_hash(s->zone), members, n, order,
			     CONFIG_SYNC_READERS)
		 : 0;
	for (size_t i = 0; i < best; i++)
		s->is_zone_reader = s->is_zone_reader || order[i] == self;
	free(members);
}

void config_sync_live_list_done(config_sync_t *s, uint64_t now,
				const platform_result_t *result)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(live_entry_t));

	s->live_list_pending = false;
	if (result->status != PLATFORM_DOCUMENT ||
	    !parse_live_list(result, lines)) {
		s->next_live_list_ms =
			now + s->live_list_retry_ms / 2 +
			config_sync_random(s, s->live_list_retry_ms);
		s->live_list_retry_ms =
			MIN(s->live_list_retry_ms * 2, LIVE_LIST_RETRY_MAX_MS);
		g_array_free(lines, TRUE);
		return;
	}
	s->live_list_retry_ms = JITTER_MIN_MS;
	s->next_live_list_ms = now + LIVE_LIST_INTERVAL_MS / 2 +
			       config_sync_random(s, LIVE_LIST_INTERVAL_MS);
	free(s->live_peers);
	s->live_peers = calloc(lines->len, sizeof(*s->live_peers));
	s->nlive_peers = 0;
	for (guint i = 0; s->live_peers && i < lines->len; i++)
		s->live_peers[s->nlive_peers++] =
			g_array_index(lines, live_entry_t, i).addr;
	update_zone_reader(s, lines);
	g_array_free(lines, TRUE);
}
