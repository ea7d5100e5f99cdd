/*
 * demo - the whole system on loopback, with the Agency's configuration
 *
 * Feeds, check-ins and maps run while one balancer is killed, one is added,
 * one backend server is drained and two configurations are applied. Prints
 * what happened; ends with 0 only if nothing broke or was doubled, the
 * drained backend server got no new flow, and each configuration came in
 * force on every process.
 */

#include "../bench/harness.h"
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BALANCERS	 3
#define KILLED_BALANCER	 0     /* balancer */
#define ADDED_BALANCER	 3     /* balancer */
#define DRAINED_AGENT	 2     /* agent of spot-3 */
#define DRAIN_GRACE_MS	 5000  /* after which a leaving target takes nothing */
#define APPLY_TIMEOUT_MS 17000 /* bound of a configuration */
#define LOAD_TIMEOUT_MS	 90000 /* bound of the whole load */
#define STEP_PAUSE_MS	 5000
#define POLL_MS		 100

typedef struct demo {
	harness_t *h;
	char *text; /* document, version 1 */
	uint64_t start_ms;
	unsigned failures; /* what was not as it must be */
} demo_t;

static void report(const demo_t *d, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
static char *with_version(const char *text, unsigned version);
static char *with_drained(const char *text, const char *target);
static unsigned count_in_force(const harness_t *h, unsigned version);
static unsigned count_processes(const harness_t *h);
static void publish_and_wait(demo_t *d, const char *text, unsigned version);
static int64_t flows_opened(const demo_t *d, unsigned agent);
static void replace_balancer(demo_t *d);
static int64_t drain_target(demo_t *d);
static void change_weight(demo_t *d);
static int print_results(demo_t *d, pid_t load, int64_t opened_at_drain);

static void report(const demo_t *d, const char *format, ...)
{
	va_list ap;

	printf("%5.1f s  ", (double)(harness_now_ms() - d->start_ms) / 1000);
	va_start(ap, format);
	vprintf(format, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

static char *with_version(const char *text, unsigned version)
{
	char *at = strstr(text, "version = 1\n");

	return g_strdup_printf("%.*sversion = %u\n%s", (int)(at - text), text,
			       version, at + strlen("version = 1\n"));
}

/* The target's declaration with a line more. */
static char *with_drained(const char *text, const char *target)
{
	char *line = g_strdup_printf("name = \"%s\"\n", target);
	char *at = strstr(text, line);
	size_t head = (size_t)(at - text) + strlen(line);
	char *out = g_strdup_printf("%.*sstate = \"draining\"\n%s", (int)head,
				    text, text + head);

	g_free(line);
	return out;
}

static unsigned count_in_force(const harness_t *h, unsigned version)
{
	unsigned n = 0;

	for (unsigned i = 0; i < HARNESS_BALANCERS; i++)
		if (h->balancers[i].pid > 0 &&
		    harness_status(h, &h->balancers[i], "version") == version)
			n++;
	for (unsigned i = 0; i < h->nagents; i++)
		if (harness_status(h, &h->agents[i], "version") == version)
			n++;
	return n;
}

static unsigned count_processes(const harness_t *h)
{
	unsigned n = h->nagents;

	for (unsigned i = 0; i < HARNESS_BALANCERS; i++)
		n += h->balancers[i].pid > 0;
	return n;
}

/* Publishes a document and waits until it is in force everywhere. */
static void publish_and_wait(demo_t *d, const char *text, unsigned version)
{
	char *document = with_version(text, version);
	uint64_t from_ms = harness_now_ms();
	unsigned total = count_processes(d->h);

	harness_publish(d->h, document, version);
	g_free(document);
	while (count_in_force(d->h, version) < total &&
	       harness_now_ms() < from_ms + APPLY_TIMEOUT_MS)
		harness_sleep_ms(POLL_MS);
	if (count_in_force(d->h, version) < total)
		d->failures++;
	report(d,
	       "configuration %u in force on %u of %u processes after %.1f s",
	       version, count_in_force(d->h, version), total,
	       (double)(harness_now_ms() - from_ms) / 1000);
}

static int64_t flows_opened(const demo_t *d, unsigned agent)
{
	return harness_counter(d->h, &d->h->agents[agent], "flows_opened");
}

static void replace_balancer(demo_t *d)
{
	harness_signal(&d->h->balancers[KILLED_BALANCER], SIGKILL);
	report(d, "balancer %u killed", KILLED_BALANCER);
	harness_sleep_ms(1000);
	harness_fabric_del(d->h, KILLED_BALANCER);
	report(d, "the fabric has noticed");
	harness_sleep_ms(STEP_PAUSE_MS);
	if (harness_start_balancer(d->h, ADDED_BALANCER) < 0)
		d->failures++;
	harness_fabric_add(d->h, ADDED_BALANCER);
	report(d, "balancer %u added", ADDED_BALANCER);
}

/* Returns the flows that the drained target had opened when it had settled. */
static int64_t drain_target(demo_t *d)
{
	char *text = with_drained(d->text, "spot-3");
	int64_t n;

	publish_and_wait(d, text, 2);
	g_free(text);
	harness_sleep_ms(DRAIN_GRACE_MS);
	n = flows_opened(d, DRAINED_AGENT);
	report(d, "spot-3 drains: it holds %lld flows, has opened %lld",
	       (long long)harness_status(d->h, &d->h->agents[DRAINED_AGENT],
					 "held"),
	       (long long)n);
	return n;
}

/* A third document: spot-3 still drains, the weights of maps change. */
static void change_weight(demo_t *d)
{
	char *drained = with_drained(d->text, "spot-3");
	char *at = strstr(drained, "name = \"maps-1\"");
	char *weight = strstr(at, "weight = 1.0") + strlen("weight = ");

	*weight = '2';
	publish_and_wait(d, drained, 3);
	g_free(drained);
}

static int print_results(demo_t *d, pid_t load, int64_t opened_at_drain)
{
	uint64_t records, duplicates;
	char path[128];
	char *table = NULL;
	int64_t opened_at_end;
	int code = harness_wait_pid(load, LOAD_TIMEOUT_MS);

	opened_at_end = flows_opened(d, DRAINED_AGENT);
	harness_records(d->h, &records, &duplicates);
	snprintf(path, sizeof(path), "%s/load.out", d->h->dir);
	if (g_file_get_contents(path, &table, NULL, NULL))
		printf("\n%s\n", table);
	g_free(table);
	printf("check-ins recorded %llu, doubled %llu; new flows at the "
	       "drained backend server %lld\n",
	       (unsigned long long)records, (unsigned long long)duplicates,
	       (long long)(opened_at_end - opened_at_drain));
	if (code != 0 || duplicates || !records ||
	    opened_at_end != opened_at_drain)
		d->failures++;
	printf("%s\n",
	       d->failures ? "FAILED" : "nothing broke, nothing doubled");
	return d->failures ? 1 : 0;
}

int main(void)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = BALANCERS,
				      .platform = true,
				      .seed = 1 };
	const char *args[] = { "--job",
			       "feed,spot,feed,8",
			       "--job",
			       "log,spot,check-in,10",
			       "--job",
			       "get,maps,map,1,300000",
			       "--seconds",
			       "32",
			       "--feed-seconds",
			       "12",
			       NULL };
	demo_t d = { .start_ms = harness_now_ms() };
	int64_t opened_at_drain;
	pid_t load;
	int ret = 1;

	if (!g_file_get_contents(options.config_file, &d.text, NULL, NULL))
		return 1;
	d.h = harness_start(&options);
	if (!d.h)
		goto out;
	report(&d, "%u processes answer: %u balancers, %u agents",
	       count_processes(d.h), BALANCERS, d.h->nagents);
	load = harness_load(d.h, "load.out", args);
	report(&d, "feeds, check-ins and maps begin");
	harness_sleep_ms(STEP_PAUSE_MS);
	replace_balancer(&d);
	harness_sleep_ms(STEP_PAUSE_MS);
	opened_at_drain = drain_target(&d);
	change_weight(&d);
	ret = print_results(&d, load, opened_at_drain);
	harness_stop(d.h);
out:
	g_free(d.text);
	return ret;
}
