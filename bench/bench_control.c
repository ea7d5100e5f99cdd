/*
 * bench_control - cost of control traffic per process
 *
 * bench_control [FILE]
 *
 * Starts small systems as real processes and measures, over WINDOW_MS, the
 * control bytes and messages, the processor time and the memory of each
 * process. Writes a line of JSON for each case to FILE, by default standard
 * output. bench/capacity.py extrapolates from these figures.
 */

#include "harness.h"
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WINDOW_MS	10000
#define WARMUP_MS	3000
#define FEED_DURATION_S 30
#define READINGS_MAX	(HARNESS_BALANCERS_MAX + HARNESS_AGENTS_MAX)

typedef struct bench_case {
	const char *name;
	unsigned targets;  /* of the service that runs */
	unsigned services; /* further services, declared but not running */
	unsigned balancers;
	unsigned opens_per_s; /* one-shot requests */
	unsigned feeds_per_s; /* long requests, which stay open */
} bench_case_t;

/* Counters and usage of one process at one time. */
typedef struct reading {
	double bytes;	 /* of control messages sent */
	double messages; /* control messages sent */
	double cpu_s;
	double rss_kb;
	double held; /* flows */
} reading_t;

typedef struct mean {
	reading_t sum;
	unsigned n;
} mean_t;

static const bench_case_t cases[] = {
	{ "group-4", 4, 0, 1, 0, 0 },
	{ "group-11", 11, 0, 1, 0, 0 },
	{ "group-30", 30, 0, 1, 0, 0 },
	{ "services-100", 4, 100, 1, 0, 0 },
	{ "services-1000", 4, 990, 1, 0, 0 },
	{ "opens-100", 11, 0, 2, 100, 0 },
	{ "opens-400", 11, 0, 2, 400, 0 },
	{ "feeds-100", 11, 0, 2, 0, 100 },
	{ "balancers-8", 11, 0, 8, 100, 0 },
};

static char *config_text(const bench_case_t *c);
static void append_target(GString *s, unsigned service, unsigned target,
			  unsigned c, unsigned d);
static reading_t read_process(const harness_t *h, const harness_proc_t *p);
static void read_all(const harness_t *h, const bench_case_t *c, reading_t *r);
static void mean_add(mean_t *m, const reading_t *from, const reading_t *to);
static void print_mean(FILE *out, const char *role, const mean_t *m);
static int run_case(const bench_case_t *c, FILE *out);

static void append_target(GString *s, unsigned service, unsigned target,
			  unsigned c, unsigned d)
{
	g_string_append_printf(s,
			       "[[service.target]]\nname = \"t%u-%u\"\n"
			       "agent = \"127.0.%u.%u:%u\"\nzone = \"a\"\n"
			       "slots = 5\nconnections = 8000\n",
			       service, target, c, d,
			       service ? 8000 + service : 7400);
}

/* Returns the configuration of a case. Only the processes of service 0 run. */
static char *config_text(const bench_case_t *c)
{
	GString *s = g_string_new("version = 1\n");

	for (unsigned i = 0; i <= c->services; i++) {
		unsigned n = i ? 4 : c->targets;

		g_string_append_printf(s,
				       "[[service]]\nname = \"s%u\"\n"
				       "address = \"198.51.%u.%u\"\n"
				       "[[service.class]]\nname = \"c\"\n"
				       "port = 6000\nidempotent = true\n",
				       i, 100 + i / 250, 1 + i % 250);
		for (unsigned t = 0; t < n; t++)
			append_target(s, i, t, 21, t + 1);
	}
	return g_string_free(s, FALSE);
}

static reading_t read_process(const harness_t *h, const harness_proc_t *p)
{
	reading_t r = { 0 };
	char path[64];
	char *text = NULL;
	char *field;
	unsigned long user = 0, system = 0;

	r.bytes = (double)harness_counter(h, p, "control_bytes_out");
	r.messages = (double)harness_counter(h, p, "control_messages_out");
	r.held = (double)harness_status(h, p, "held");
	snprintf(path, sizeof(path), "/proc/%d/stat", p->pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		field = strrchr(text, ')');
		for (int i = 0; field && i < 12; i++)
			field = strchr(field + 1, ' ');
		if (field)
			sscanf(field, " %lu %lu", &user, &system);
		g_free(text);
	}
	r.cpu_s = (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
	snprintf(path, sizeof(path), "/proc/%d/status", p->pid);
	text = NULL;
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		field = strstr(text, "VmRSS:");
		if (field)
			r.rss_kb = strtod(field + 6, NULL);
		g_free(text);
	}
	return r;
}

static void mean_add(mean_t *m, const reading_t *from, const reading_t *to)
{
	m->sum.bytes += to->bytes - from->bytes;
	m->sum.messages += to->messages - from->messages;
	m->sum.cpu_s += to->cpu_s - from->cpu_s;
	m->sum.rss_kb += to->rss_kb;
	m->sum.held += to->held;
	m->n++;
}

static void print_mean(FILE *out, const char *role, const mean_t *m)
{
	double n = m->n ? m->n : 1;
	double s = WINDOW_MS / 1000.0;

	fprintf(out,
		",\"%s\":{\"processes\":%u,\"bytes_s\":%.1f,"
		"\"messages_s\":%.2f,\"cpu_percent\":%.3f,"
		"\"rss_kb\":%.0f,\"held\":%.0f}",
		role, m->n, m->sum.bytes / n / s, m->sum.messages / n / s,
		m->sum.cpu_s / n / s * 100, m->sum.rss_kb / n, m->sum.held / n);
}

/* Fills r with the readings of the balancers, then those of the agents. */
static void read_all(const harness_t *h, const bench_case_t *c, reading_t *r)
{
	for (unsigned i = 0; i < c->balancers; i++)
		r[i] = read_process(h, &h->balancers[i]);
	for (unsigned i = 0; i < c->targets; i++)
		r[c->balancers + i] = read_process(h, &h->agents[i]);
}

static int run_case(const bench_case_t *c, FILE *out)
{
	char *text = config_text(c);
	harness_options_t options = { .config_text = text,
				      .balancers = c->balancers,
				      .seed = 1,
				      .agents = c->targets,
				      .service_ms = 1 };
	char job[48], seconds[16];
	const char *args[] = { "--job",
			       job,
			       "--seconds",
			       seconds,
			       "--feed-seconds",
			       G_STRINGIFY(FEED_DURATION_S),
			       "--interval",
			       "2000",
			       NULL };
	harness_t *h = harness_start(&options);
	reading_t before[READINGS_MAX] = { 0 }, after[READINGS_MAX] = { 0 };
	mean_t balancers = { 0 }, agents = { 0 };
	pid_t load_pid = 0;

	g_free(text);
	if (!h)
		return -1;
	snprintf(job, sizeof(job), "%s,s0,c,%u,%s",
		 c->feeds_per_s ? "feed" : "get",
		 c->feeds_per_s ? c->feeds_per_s : c->opens_per_s,
		 c->feeds_per_s ? "100" : "200");
	snprintf(seconds, sizeof(seconds), "%u",
		 (WINDOW_MS + WARMUP_MS) / 1000 + 2);
	if (c->opens_per_s || c->feeds_per_s)
		load_pid = harness_start_load(h, "load.out", args);
	harness_sleep_ms(WARMUP_MS);
	read_all(h, c, before);
	harness_sleep_ms(WINDOW_MS);
	read_all(h, c, after);
	for (unsigned i = 0; i < c->balancers; i++)
		mean_add(&balancers, &before[i], &after[i]);
	for (unsigned i = c->balancers; i < c->balancers + c->targets; i++)
		mean_add(&agents, &before[i], &after[i]);
	fprintf(out,
		"{\"case\":\"%s\",\"targets\":%u,\"services\":%u,"
		"\"balancers\":%u,\"opens_s\":%u,\"feeds_s\":%u",
		c->name, c->targets, c->services + 1, c->balancers,
		c->opens_per_s, c->feeds_per_s);
	print_mean(out, "balancer", &balancers);
	print_mean(out, "agent", &agents);
	fprintf(out, "}\n");
	fflush(out);
	if (load_pid > 0) {
		kill(load_pid, SIGKILL);
		harness_wait_pid(load_pid, 5000);
	}
	harness_stop(h);
	return 0;
}

int main(int argc, char **argv)
{
	const char *path = argc > 1 ? argv[1] : "/dev/stdout";
	FILE *out = fopen(path, "w");
	int ret = 0;

	if (!out) {
		fprintf(stderr, "bench_control: cannot open %s for writing\n",
			path);
		return 1;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fprintf(stderr, "bench_control: measuring %s\n", cases[i].name);
		if (run_case(&cases[i], out) < 0)
			ret = 1;
	}
	fclose(out);
	return ret;
}
