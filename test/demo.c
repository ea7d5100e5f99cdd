/*
 * demo - runs the whole system on loopback with examples/agency.toml
 *
 * Feeds, check-ins and maps run while one balancer is killed, one is added,
 * one backend server is drained and two configurations are applied. Prints
 * each event. Exits with 0 only if no request broke, no check-in was recorded
 * twice, the drained backend server got no new flow, and all processes applied
 * both configurations in time.
 */

#include "../bench/harness.h"
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BALANCERS	 3
#define KILLED_BALANCER	 0
#define ADDED_BALANCER	 3
#define DRAINED_AGENT	 2     /* agent of the target spot-3 */
#define DRAIN_GRACE_MS	 5000  /* until a draining target gets no more opens */
#define APPLY_TIMEOUT_MS 17000 /* until all processes apply a configuration */
#define LOAD_TIMEOUT_MS	 90000 /* until `cherviltray load` ends */
#define STEP_PAUSE_MS	 5000  /* between the events */
#define POLL_MS		 100   /* between status requests */

typedef struct demo {
	harness_t *h;
	char *text; /* configuration, version 1 */
	uint64_t start_ms;
	unsigned failures; /* number of failed checks */
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

/* Returns the configuration with the target's state set to draining. */
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

	for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
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

	for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
		n += h->balancers[i].pid > 0;
	return n;
}

/* Publishes a configuration and waits until all processes apply it. */
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
	report(d, "killed balancer removed from the fabric");
	harness_sleep_ms(STEP_PAUSE_MS);
	if (harness_start_balancer(d->h, ADDED_BALANCER) < 0)
		d->failures++;
	harness_fabric_add(d->h, ADDED_BALANCER);
	report(d, "balancer %u added", ADDED_BALANCER);
}

/* Drains the target; returns the number of flows that it has opened by then. */
static int64_t drain_target(demo_t *d)
{
	char *text = with_drained(d->text, "spot-3");
	int64_t n;

	publish_and_wait(d, text, 2);
	g_free(text);
	harness_sleep_ms(DRAIN_GRACE_MS);
	n = flows_opened(d, DRAINED_AGENT);
	report(d, "spot-3 draining: %lld flows held, %lld opened",
	       (long long)harness_status(d->h, &d->h->agents[DRAINED_AGENT],
					 "held"),
	       (long long)n);
	return n;
}

/* Publishes version 3: spot-3 still drains, the weight of maps-1 changes. */
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
	harness_count_records(d->h, &records, &duplicates);
	snprintf(path, sizeof(path), "%s/load.out", d->h->dir);
	if (g_file_get_contents(path, &table, NULL, NULL))
		printf("\n%s\n", table);
	g_free(table);
	printf("check-ins recorded %llu, more than once %llu; "
	       "new flows at the drained backend server %lld\n",
	       (unsigned long long)records, (unsigned long long)duplicates,
	       (long long)(opened_at_end - opened_at_drain));
	if (code != 0 || duplicates || !records ||
	    opened_at_end != opened_at_drain)
		d->failures++;
	printf("%s\n",
	       d->failures
		       ? "FAILED"
		       : "no request broke, no check-in was recorded twice");
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
	report(&d, "%u processes ready: %u balancers, %u agents",
	       count_processes(d.h), BALANCERS, d.h->nagents);
	load = harness_start_load(d.h, "load.out", args);
	report(&d, "load of feeds, check-ins and maps started");
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
