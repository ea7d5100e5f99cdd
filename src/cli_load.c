#include "caller.h"
#include "cli.h"
#include "config.h"
#include "udp_socket.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS	     10
#define JOBS_MAX     16
#define FEED_CHUNK   200 /* bytes */
#define LOG_BYTES    3000
#define GET_BYTES    100000
#define DRAIN_MS     20000
#define OPENS_A_TICK 64

/* One kind of request at a rate: KIND,SERVICE,CLASS,RATE[,BYTES]. */
typedef struct job {
	app_kind_t kind;
	uint32_t address;
	uint16_t port;
	uint32_t weight;
	double rate; /* opens a second */
	uint64_t bytes;
	double due; /* opens owed */
	uint64_t outcomes[OUTCOMES];
	uint64_t opened;
	GArray *latency; /* ms to the first byte of the answer */
} job_t;

typedef struct load {
	uv_loop_t loop;
	uv_timer_t timer;
	udp_socket_t *socket;
	caller_t *caller;
	endpoint_t fabric;
	uint64_t next_id;
	job_t jobs[JOBS_MAX];
	size_t njobs;
	uint32_t feed_s;
	uint32_t interval_ms;
	uint64_t begun_ms;
	uint64_t open_until_ms;
	uint64_t give_up_ms;
	uint64_t progress_ms;
	bool quiet;
} load_t;

static uint64_t now_of(load_t *l)
{
	return uv_now(&l->loop);
}

static void output(void *ctx, const uint8_t *packet, size_t len)
{
	load_t *l = ctx;

	udp_socket_send(l->socket, &l->fabric, packet, len);
}

static void on_ended(void *ctx, const caller_request_t *r)
{
	job_t *j = r->data;

	(void)ctx;
	j->outcomes[r->outcome]++;
	if (r->answered_ms) {
		uint32_t took = (uint32_t)(r->answered_ms - r->begun_ms);

		g_array_append_val(j->latency, took);
	}
}

static void open_one(load_t *l, job_t *j)
{
	app_request_t app = { .kind = j->kind,
			      .id = l->next_id++,
			      .bytes = j->bytes,
			      .weight = j->weight,
			      .interval_ms = l->interval_ms,
			      .chunks = l->feed_s * 1000 / l->interval_ms };

	if (caller_begin(l->caller, now_of(l), j->address, j->port, &app, j))
		j->opened++;
}

static void progress(load_t *l, uint64_t now)
{
	uint64_t opened = 0, ended = 0;

	if (l->quiet || now < l->progress_ms)
		return;
	l->progress_ms = now + 1000;
	for (size_t i = 0; i < l->njobs; i++) {
		opened += l->jobs[i].opened;
		for (int o = 0; o < OUTCOMES; o++)
			ended += l->jobs[i].outcomes[o];
	}
	fprintf(stderr, "%5.1f s: %llu opened, %llu ended, %zu open\n",
		(double)(now - l->begun_ms) / 1000, (unsigned long long)opened,
		(unsigned long long)ended, caller_open(l->caller));
}

static void on_tick(uv_timer_t *timer)
{
	load_t *l = timer->data;
	uint64_t now = now_of(l);

	for (size_t i = 0; i < l->njobs && now < l->open_until_ms; i++) {
		job_t *j = &l->jobs[i];

		j->due += j->rate * TICK_MS / 1000;
		for (int n = 0; j->due >= 1 && n < OPENS_A_TICK; n++) {
			open_one(l, j);
			j->due -= 1;
		}
	}
	caller_tick(l->caller, now);
	progress(l, now);
	if (now >= l->open_until_ms &&
	    (caller_open(l->caller) == 0 || now >= l->give_up_ms))
		uv_stop(&l->loop);
}

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len)
{
	load_t *l = ctx;

	(void)from;
	caller_input(l->caller, now_of(l), buf, len);
}

static int parse_job(load_t *l, const config_t *config, const char *text,
		     err_t *err)
{
	char **f = g_strsplit(text, ",", 5);
	job_t *j = &l->jobs[l->njobs];
	const service_t *s = NULL;
	int ret = -1;

	if (l->njobs == JOBS_MAX || g_strv_length(f) < 4) {
		err_set(err, ERR_USAGE, NULL, 0,
			"write it as KIND,SERVICE,CLASS,RATE[,BYTES]",
			"bad job \"%s\"", text);
		goto out;
	}
	for (j->kind = APP_FEED; j->kind < APP_KINDS; j->kind++)
		if (!strcmp(app_kind_name(j->kind), f[0]))
			break;
	s = config_service_by_name(config, f[1]);
	for (size_t i = 0; s && i < s->nclasses; i++) {
		if (strcmp(s->classes[i].name, f[2]) != 0)
			continue;
		j->address = s->address;
		j->port = s->classes[i].port;
		j->weight = s->classes[i].weight;
	}
	j->rate = g_ascii_strtod(f[3], NULL);
	j->bytes = j->kind == APP_FEED	? FEED_CHUNK
		   : j->kind == APP_LOG ? LOG_BYTES
					: GET_BYTES;
	if (f[4])
		j->bytes = g_ascii_strtoull(f[4], NULL, 10);
	if (j->kind == APP_KINDS || !j->port || j->rate <= 0 || !j->bytes) {
		err_set(err, ERR_USAGE, NULL, 0,
			"use feed, log or get, a service and class of the "
			"configuration, and a rate",
			"bad job \"%s\"", text);
		goto out;
	}
	j->latency = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	l->njobs++;
	ret = 0;
out:
	g_strfreev(f);
	return ret;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static uint32_t percentile(const GArray *sorted, unsigned p)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, uint32_t,
			     (guint)((uint64_t)(sorted->len - 1) * p / 100));
}

/* Prints the table; returns how many flows did not end as wanted. */
static uint64_t report(load_t *l)
{
	uint64_t broken = 0;

	printf("%-6s %8s", "kind", "opened");
	for (int o = 0; o < OUTCOMES; o++)
		printf(" %15s", outcome_name((outcome_t)o));
	printf(" %8s %6s %6s %6s\n", "open", "p50ms", "p90ms", "p99ms");
	for (size_t i = 0; i < l->njobs; i++) {
		job_t *j = &l->jobs[i];
		uint64_t ended = 0;

		g_array_sort(j->latency, compare_u32);
		printf("%-6s %8llu", app_kind_name(j->kind),
		       (unsigned long long)j->opened);
		for (int o = 0; o < OUTCOMES; o++) {
			printf(" %15llu", (unsigned long long)j->outcomes[o]);
			ended += j->outcomes[o];
		}
		printf(" %8llu %6u %6u %6u\n",
		       (unsigned long long)(j->opened - ended),
		       percentile(j->latency, 50), percentile(j->latency, 90),
		       percentile(j->latency, 99));
		broken += j->opened - j->outcomes[OUTCOME_DONE];
	}
	return broken;
}

int cli_load(int argc, char **argv)
{
	static const udp_socket_ops_t socket_ops = { .receive = on_datagram };
	static const caller_ops_t caller_ops = { output, on_ended };
	char *file = NULL, *fabric = NULL, *local = NULL, *source = NULL;
	char **jobs = NULL;
	int seconds = 10, feed_s = 10, interval = 100, seed = 1;
	gboolean quiet = FALSE;
	GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &file,
		  "Configuration that names services and classes", "FILE" },
		{ "fabric", 'f', 0, G_OPTION_ARG_STRING, &fabric,
		  "Where packets go", "IP:PORT" },
		{ "local", 'l', 0, G_OPTION_ARG_STRING, &local,
		  "Where answers come in", "IP:PORT" },
		{ "source", 'a', 0, G_OPTION_ARG_STRING, &source,
		  "Callers' address", "IP" },
		{ "job", 'j', 0, G_OPTION_ARG_STRING_ARRAY, &jobs,
		  "Requests: feed, log or get, at a rate a second",
		  "KIND,SERVICE,CLASS,RATE[,BYTES]" },
		{ "seconds", 't', 0, G_OPTION_ARG_INT, &seconds,
		  "Time to open flows", "S" },
		{ "feed-seconds", 'F', 0, G_OPTION_ARG_INT, &feed_s,
		  "Length of a feed", "S" },
		{ "interval", 'i', 0, G_OPTION_ARG_INT, &interval,
		  "Time between chunks of a feed", "MS" },
		{ "seed", 'S', 0, G_OPTION_ARG_INT, &seed,
		  "Seed of ids and sequence numbers", "N" },
		{ "quiet", 'q', 0, G_OPTION_ARG_NONE, &quiet,
		  "No progress lines", NULL },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	config_t *config = NULL;
	load_t *l = NULL;
	endpoint_t at;
	uint32_t address;
	err_t err;
	int ret;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		ret = cli_usage("load", error->message);
		g_error_free(error);
		goto out;
	}
	l = calloc(1, sizeof(*l));
	if (!l || !file || !fabric || !local || !source || !jobs ||
	    endpoint_parse(fabric, &l->fabric) < 0 ||
	    endpoint_parse(local, &at) < 0 ||
	    ipv4_parse(source, &address) < 0 || seconds < 1 || feed_s < 1 ||
	    interval < 1) {
		ret = cli_usage("load", "--config, --fabric, --local, "
					"--source and --job are needed");
		goto out;
	}
	if (config_load(file, &config, &err) < 0) {
		ret = cli_fail("load", &err);
		goto out;
	}
	for (char **j = jobs; *j; j++)
		if (parse_job(l, config, *j, &err) < 0) {
			ret = cli_fail("load", &err);
			goto out;
		}
	l->quiet = quiet;
	l->feed_s = (uint32_t)feed_s;
	l->interval_ms = (uint32_t)interval;
	l->next_id = (uint64_t)seed << 32;
	uv_loop_init(&l->loop);
	l->caller = caller_new(&caller_ops, l, address, (uint64_t)seed);
	l->socket = udp_socket_open(&l->loop, &at, NULL, &socket_ops, l, &err);
	if (!l->caller || !l->socket) {
		ret = cli_fail("load", &err);
		goto out;
	}
	l->begun_ms = now_of(l);
	l->open_until_ms = l->begun_ms + (uint64_t)seconds * 1000;
	l->give_up_ms = l->open_until_ms + (uint64_t)feed_s * 1000 + DRAIN_MS;
	uv_timer_init(&l->loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_tick, TICK_MS, TICK_MS);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	ret = report(l) ? CLI_FAILED : CLI_OK;
	uv_close((uv_handle_t *)&l->timer, NULL);
	udp_socket_close(l->socket);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	uv_loop_close(&l->loop);
out:
	if (l) {
		for (size_t i = 0; i < l->njobs; i++)
			g_array_free(l->jobs[i].latency, TRUE);
		caller_free(l->caller);
	}
	free(l);
	config_unref(config);
	g_option_context_free(context);
	g_strfreev(jobs);
	g_free(file);
	g_free(fabric);
	g_free(local);
	g_free(source);
	return ret;
}
