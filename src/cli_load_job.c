#include "cli_load.h"
#include <stdlib.h>
#include <string.h>

#define FEED_CHUNK_BYTES   200
#define LOG_BYTES	   3000
#define GET_BYTES	   100000
#define BYTES_MAX	   (64 * 1024 * 1024)
#define RATE_MAX	   10000.0 /* opens per second */
#define OPENS_PER_TICK_MAX 64	   /* of one job */
#define FIELDS_MIN	   4	   /* of --job, without BYTES */
#define FIELDS_MAX	   5

/* KIND of --job. */
typedef struct job_kind {
	const char *name;
	app_kind_t kind;
	uint64_t bytes; /* default of BYTES */
} job_kind_t;

static const job_kind_t job_kinds[] = {
	{ "feed", APP_FEED, FEED_CHUNK_BYTES }, { "log", APP_LOG, LOG_BYTES },
	{ "check-in", APP_LOG, LOG_BYTES },	{ "get", APP_GET, GET_BYTES },
	{ "download", APP_GET, GET_BYTES },
};

static int set_usage_error(err_t *err, const char *remedy, const char *what,
			   const char *text);
static int parse_kind(load_job_t *j, const char *text, err_t *err);
static int parse_class(const load_t *l, load_job_t *j, const char *service,
		       const char *cls, err_t *err);
static int parse_numbers(load_job_t *j, const char *rate, const char *bytes,
			 err_t *err);
static void open_flow(load_t *l, load_job_t *j, uint64_t now);

static int set_usage_error(err_t *err, const char *remedy, const char *what,
			   const char *text)
{
	return err_set(err, ERR_USAGE, NULL, 0, remedy, "%s \"%s\"", what,
		       text);
}

static int parse_kind(load_job_t *j, const char *text, err_t *err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(job_kinds); i++) {
		if (strcmp(job_kinds[i].name, text) != 0)
			continue;
		j->kind = job_kinds[i].kind;
		j->bytes = job_kinds[i].bytes;
		g_strlcpy(j->name, text, sizeof(j->name));
		return 0;
	}
	return set_usage_error(err, "use feed, log, check-in, get or download",
			       "unknown kind of job", text);
}

static int parse_class(const load_t *l, load_job_t *j, const char *service,
		       const char *cls, err_t *err)
{
	const service_t *s = config_service_by_name(l->config, service);

	if (!s)
		return set_usage_error(
			err, "name a service of the --config document",
			"unknown service", service);
	for (size_t i = 0; i < s->nclasses; i++) {
		if (strcmp(s->classes[i].name, cls) != 0)
			continue;
		if (s->classes[i].proto != PROTO_TCP)
			return set_usage_error(err, "choose a class over TCP",
					       "load cannot send UDP: class",
					       cls);
		g_strlcpy(j->service, service, sizeof(j->service));
		j->address = s->address;
		j->port = s->classes[i].port;
		j->weight = s->classes[i].weight;
		return 0;
	}
	return set_usage_error(err, "name a class of the service",
			       "unknown class", cls);
}

static int parse_numbers(load_job_t *j, const char *rate, const char *bytes,
			 err_t *err)
{
	char *end;

	j->rate = g_ascii_strtod(rate, &end);
	if (end == rate || *end || !(j->rate > 0 && j->rate <= RATE_MAX))
		return set_usage_error(
			err, "give opens per second, above 0 and up to 10000",
			"invalid rate", rate);
	if (!bytes)
		return 0;
	j->bytes = g_ascii_strtoull(bytes, &end, 10);
	if (end == bytes || *end || *bytes == '-' || !j->bytes ||
	    j->bytes > BYTES_MAX)
		return set_usage_error(err, "give bytes from 1 to 67108864",
				       "invalid size", bytes);
	return 0;
}

int load_job_parse(load_t *l, const char *text, err_t *err)
{
	char **f = g_strsplit(text, ",", -1);
	guint n = g_strv_length(f);
	load_job_t *j = &l->jobs[l->njobs];
	int ret = -1;

	if (l->njobs == LOAD_JOBS_MAX) {
		set_usage_error(err, "give at most 16 jobs",
				"too many jobs, at", text);
		goto out;
	}
	if (n < FIELDS_MIN || n > FIELDS_MAX) {
		set_usage_error(
			err, "write --job as KIND,SERVICE,CLASS,RATE[,BYTES]",
			"invalid job", text);
		goto out;
	}
	if (parse_kind(j, f[0], err) < 0 ||
	    parse_class(l, j, f[1], f[2], err) < 0 ||
	    parse_numbers(j, f[3], f[4], err) < 0)
		goto out;
	j->latency = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	l->njobs++;
	ret = 0;
out:
	g_strfreev(f);
	return ret;
}

static void open_flow(load_t *l, load_job_t *j, uint64_t now)
{
	app_request_t app = { .kind = j->kind,
			      .id = l->next_id++,
			      .bytes = j->bytes,
			      .weight = j->weight,
			      .interval_ms = l->interval_ms,
			      .chunks = l->feed_s * LOAD_MS_PER_SECOND /
					l->interval_ms };

	if (app.chunks == 0)
		app.chunks = 1;
	if (caller_begin(l->caller, now, j->address, j->port, &app, j))
		j->opened++;
	else
		j->unopened++;
}

void load_jobs_open(load_t *l, uint64_t now)
{
	uint64_t until = now < l->open_until_ms ? now : l->open_until_ms;
	uint64_t elapsed_ms = until - l->opened_until_ms;

	l->opened_until_ms = until;
	for (size_t i = 0; i < l->njobs; i++) {
		load_job_t *j = &l->jobs[i];

		j->opens_due +=
			j->rate * (double)elapsed_ms / LOAD_MS_PER_SECOND;
		for (int n = 0; j->opens_due >= 1 && n < OPENS_PER_TICK_MAX;
		     n++) {
			open_flow(l, j, now);
			j->opens_due -= 1;
		}
	}
}

void load_job_add_result(load_job_t *j, const caller_request_t *r)
{
	j->outcomes[r->outcome]++;
	j->duplicates += r->duplicate;
	if (r->app.kind == APP_FEED && r->max_gap_ms > j->greatest_gap_ms)
		j->greatest_gap_ms = r->max_gap_ms;
	if (r->first_byte_ms) {
		uint32_t latency_ms =
			(uint32_t)(r->first_byte_ms - r->started_ms);

		g_array_append_val(j->latency, latency_ms);
	}
}

void load_jobs_clear(load_t *l)
{
	for (size_t i = 0; i < l->njobs; i++)
		g_array_free(l->jobs[i].latency, TRUE);
}
