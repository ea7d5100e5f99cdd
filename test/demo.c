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

#define BALANCERS   3
#define KILLED	    0	  /* balancer */
#define ADDED	    3	  /* balancer */
#define DRAINED	    2	  /* agent of spot-3 */
#define SETTLE_MS   5000  /* after which a leaving target takes nothing */
#define IN_FORCE_MS 17000 /* bound of a configuration */
#define LOAD_MS	    90000 /* bound of the whole load */
#define STEP_MS	    5000
#define POLL_MS	    100

typedef struct demo {
	harness_t *h;
	char *text; /* document, version 1 */
	uint64_t began;
	unsigned wrong; /* what was not as it must be */
} demo_t;

static void say(const demo_t *d, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
static char *with_version(const char *text, unsigned version);
static char *with_drained(const char *text, const char *target);
static unsigned in_force(const harness_t *h, unsigned version);
static unsigned processes(const harness_t *h);
static void apply(demo_t *d, const char *text, unsigned version);
static int64_t opened(const demo_t *d, unsigned agent);
static void replace_balancer(demo_t *d);
static int64_t drain(demo_t *d);
static void reweight(demo_t *d);
static int print_results(demo_t *d, pid_t load, int64_t before_drain);

static void say(const demo_t *d, const char *format, ...)
{
	va_list ap;

	printf("%5.1f s  ", (double)(harness_now_ms() - d->began) / 1000);
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

static unsigned in_force(const harness_t *h, unsigned version)
{
	unsigned n = 0;

	for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
		if (h->balancers[i].pid > 0 &&
		    harness_status(h, &h->balancers[i], "version") == version)
			n++;
	for (unsigned i = 0; i < h->nagents; i++)
		if (harness_status(h, &h->agents[i], "version") == version)
			n++;
	return n;
}

static unsigned processes(const harness_t *h)
{
	unsigned n = h->nagents;

	for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
		n += h->balancers[i].pid > 0;
	return n;
}

/* Publishes a document and waits until it is in force everywhere. */
static void apply(demo_t *d, const char *text, unsigned version)
{
	char *document = with_version(text, version);
	uint64_t from = harness_now_ms();
	unsigned all = processes(d->h);

	harness_publish(d->h, document, version);
	g_free(document);
	while (in_force(d->h, version) < all &&
	       harness_now_ms() < from + IN_FORCE_MS)
		harness_sleep_ms(POLL_MS);
	if (in_force(d->h, version) < all)
		d->wrong++;
	say(d, "configuration %u in force on %u of %u processes after %.1f s",
	    version, in_force(d->h, version), all,
	    (double)(harness_now_ms() - from) / 1000);
}

static int64_t opened(const demo_t *d, unsigned agent)
{
	return harness_counter(d->h, &d->h->agents[agent], "flows_opened");
}

static void replace_balancer(demo_t *d)
{
	harness_signal(&d->h->balancers[KILLED], SIGKILL);
	say(d, "balancer %u killed", KILLED);
	harness_sleep_ms(1000);
	harness_fabric_del(d->h, KILLED);
	say(d, "the fabric has noticed");
	harness_sleep_ms(STEP_MS);
	if (harness_start_balancer(d->h, ADDED) < 0)
		d->wrong++;
	harness_fabric_add(d->h, ADDED);
	say(d, "balancer %u added", ADDED);
}

/* Returns the flows that the drained target had opened when it had settled. */
static int64_t drain(demo_t *d)
{
	char *text = with_drained(d->text, "spot-3");
	int64_t n;

	apply(d, text, 2);
	g_free(text);
	harness_sleep_ms(SETTLE_MS);
	n = opened(d, DRAINED);
	say(d, "spot-3 drains: it holds %lld flows, has opened %lld",
	    (long long)harness_status(d->h, &d->h->agents[DRAINED], "held"),
	    (long long)n);
	return n;
}

/* A third document: spot-3 still drains, the weights of maps change. */
static void reweight(demo_t *d)
{
	char *drained = with_drained(d->text, "spot-3");
	char *at = strstr(drained, "name = \"maps-1\"");
	char *weight = strstr(at, "weight = 1.0") + strlen("weight = ");

	*weight = '2';
	apply(d, drained, 3);
	g_free(drained);
}

static int print_results(demo_t *d, pid_t load, int64_t before_drain)
{
	uint64_t records, doubled;
	char path[128];
	char *table = NULL;
	int64_t after;
	int code = harness_wait_pid(load, LOAD_MS);

	after = opened(d, DRAINED);
	harness_count_records(d->h, &records, &doubled);
	snprintf(path, sizeof(path), "%s/load.out", d->h->dir);
	if (g_file_get_contents(path, &table, NULL, NULL))
		printf("\n%s\n", table);
	g_free(table);
	printf("check-ins recorded %llu, doubled %llu; new flows at the "
	       "drained backend server %lld\n",
	       (unsigned long long)records, (unsigned long long)doubled,
	       (long long)(after - before_drain));
	if (code != 0 || doubled || !records || after != before_drain)
		d->wrong++;
	printf("%s\n", d->wrong ? "FAILED" : "nothing broke, nothing doubled");
	return d->wrong ? 1 : 0;
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
	demo_t d = { .began = harness_now_ms() };
	int64_t before_drain;
	pid_t load;
	int ret = 1;

	if (!g_file_get_contents(options.config_file, &d.text, NULL, NULL))
		return 1;
	d.h = harness_start(&options);
	if (!d.h)
		goto out;
	say(&d, "%u processes answer: %u balancers, %u agents", processes(d.h),
	    BALANCERS, d.h->nagents);
	load = harness_start_load(d.h, "load.out", args);
	say(&d, "feeds, check-ins and maps begin");
	harness_sleep_ms(STEP_MS);
	replace_balancer(&d);
	harness_sleep_ms(STEP_MS);
	before_drain = drain(&d);
	reweight(&d);
	ret = print_results(&d, load, before_drain);
	harness_stop(d.h);
out:
	g_free(d.text);
	return ret;
}
