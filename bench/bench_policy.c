/*
 * bench_policy - imbalance by balancing policy
 *
 * bench_policy SCENARIO POLICY [SEED]
 *
 * Simulates a service of seven hosts and prints one JSON object: greatest and
 * smallest utilisation relative to the mean of all hosts, for each second and
 * averaged over the steady window. The utilisation of a host is the weight of
 * the work it holds divided by its capacity, which is slots times actual speed.
 * Policies that run with the same seed get the same arrivals.
 */

#include "cluster_sim.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS		  7
#define SLOTS		  5
#define MEAN_FLOWS	  1400 /* mean number of open feeds */
#define FEED_DURATION_S	  60   /* mean, exponentially distributed */
#define FILL_S		  30  /* the first MEAN_FLOWS feeds open in this time */
#define FILL_SAMPLES	  15  /* seconds, the last ones of FILL_S */
#define STEADY_START_S	  150 /* start of the steady window */
#define END_S		  240
#define EVENT_S		  120 /* a host slows down or is added */
#define CHUNK_INTERVAL_MS 1000
#define LOAD_RATIO	  0.7 /* of the capacity of all hosts */
#define OPEN_SERVICE_MS	  20  /* service time of an open at speed 1 */
#define SLOW_HOST	  5
#define ADDED_HOST	  6
#define LOGS_PER_S	  40
#define LOG_COST	  3 /* actual cost relative to its weight */
#define MS_PER_S	  1000
#define STEP_MS		  100
#define WARMUP_MS	  20000
#define WARMUP_SPEED	  0.25
#define CONFIG_SIZE	  8192

/* Ends of the windows for the share of new work, in s after EVENT_S. */
static const unsigned window_ends_s[] = { 0, 10, 30, 60, 120 };
#define WINDOWS (sizeof(window_ends_s) / sizeof(window_ends_s[0]))

/* Actual speeds of the hosts; the fastest is four times the slowest. */
static const double speeds[HOSTS] = { 0.5, 0.7, 1, 1, 1.4, 1.7, 2 };
/* Declared weight of each host relative to its actual speed. */
static const double weight_error[HOSTS] = { 2, 0.5, 1.4, 2, 0.5, 0.7, 0.5 };

typedef struct scenario {
	const char *name;
	bool wrong_weights;  /* weights declared with weight_error */
	bool slow_host;	     /* SLOW_HOST falls to a quarter at EVENT_S */
	bool add_host;	     /* ADDED_HOST starts at EVENT_S */
	bool warmup;	     /* and at WARMUP_SPEED for WARMUP_MS */
	bool mixed_requests; /* uploads of logs beside the feeds */
	bool false_load;     /* servers report a tenth of their load */
} scenario_t;

static const scenario_t scenarios[] = {
	{ .name = "right" },
	{ .name = "wrong", .wrong_weights = true },
	{ .name = "mixed", .wrong_weights = true, .mixed_requests = true },
	{ .name = "slows", .wrong_weights = true, .slow_host = true },
	{ .name = "added", .wrong_weights = true, .add_host = true },
	{ .name = "cold",
	  .wrong_weights = true,
	  .add_host = true,
	  .warmup = true },
	{ .name = "lies", .wrong_weights = true, .false_load = true },
};

/* A policy, with or without learning of capacities. */
typedef struct variant {
	const char *name;
	const policy_t *policy;
	mechanisms_t off;
} variant_t;

#define NO_LEARNING (1U << MECHANISM_LEARNING)

static const variant_t variants[] = {
	{ "round-robin", &policy_round_robin, NO_LEARNING },
	{ "rendezvous", &policy_rendezvous, NO_LEARNING },
	{ "two-choices", &policy_two_choices, NO_LEARNING },
	{ "hunt-declared", &policy_hunt, NO_LEARNING },
	{ "hunt-learned", &policy_hunt, 0 },
	{ "ranked-hunt-learned", &policy_ranked_hunt, 0 },
};

/* A feed that is running. */
typedef struct feed {
	size_t number; /* of the request, see csim_result() */
	uint64_t end_ms;
} feed_t;

typedef struct run {
	const scenario_t *scenario;
	const variant_t *variant;
	csim_t *sim;
	uint64_t rng_state;
	uint64_t next_id;
	double feeds_due;
	double logs_due;
	unsigned hosts;
	uint64_t accepted_before[HOSTS]; /* opens, at last new_share() */
	double new_share[WINDOWS];	 /* of SLOW_HOST, by window */
	/* Seconds from EVENT_S until ADDED_HOST has 0.9 of the mean
	 * utilisation. */
	unsigned fair_share_s;
	/* Greatest and smallest utilisation relative to the mean, in the steady
	 * window. */
	double max_ratio_sum, min_ratio_sum, max_ratio;
	double fill_sum; /* sum of the greatest ratios of FILL_SAMPLES */
	unsigned samples;
	GArray *feeds;	 /* feed_t */
	GString *series; /* JSON: second, greatest and smallest ratio */
} run_t;

static double random_fraction(run_t *r)
{
	uint64_t x = r->rng_state += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return ((double)((x ^ (x >> 31)) >> 11) + 0.5) * 0x1.0p-53;
}

static char *config_text(const scenario_t *s, unsigned hosts, unsigned version)
{
	GString *text = g_string_sized_new(CONFIG_SIZE);

	g_string_append_printf(
		text,
		"version = %u\n[[service]]\nname = \"spot\"\n"
		"address = \"198.51.100.10\"\n[[service.class]]\n"
		"name = \"feed\"\nport = 6001\nprotocol = \"tcp\"\nweight = 1\n"
		"idempotent = true\n[[service.class]]\nname = \"check-in\"\n"
		"port = 6002\nprotocol = \"tcp\"\nweight = 2\n"
		"idempotent = false\n",
		version);
	for (unsigned i = 0; i < hosts; i++)
		g_string_append_printf(
			text,
			"[[service.target]]\nname = \"spot-%u\"\n"
			"agent = \"127.0.21.%u:7400\"\nzone = \"martin\"\n"
			"weight = %.3f\nslots = %d\nconnections = 2000\n",
			i + 1, i + 1,
			speeds[i] * (s->wrong_weights ? weight_error[i] : 1),
			SLOTS);
	return g_string_free(text, FALSE);
}

/* Returns the service time of a chunk at which MEAN_FLOWS feeds take
 * LOAD_RATIO of the capacity. */
static double chunk_service_ms(void)
{
	double capacity = 0;

	for (unsigned i = 0; i < HOSTS; i++)
		capacity += SLOTS * speeds[i];
	return LOAD_RATIO * capacity * CHUNK_INTERVAL_MS / MEAN_FLOWS;
}

static void open_feed(run_t *r)
{
	double duration_ms =
		-log(random_fraction(r)) * FEED_DURATION_S * MS_PER_S;
	app_request_t app = { .kind = APP_FEED,
			      .id = r->next_id++,
			      .bytes = 100,
			      .interval_ms = CHUNK_INTERVAL_MS,
			      .chunks = UINT32_MAX,
			      .weight = 1 };
	feed_t feed = { csim_begin_request(r->sim, "spot", "feed", &app),
			csim_now(r->sim) + (uint64_t)duration_ms };

	g_array_append_val(r->feeds, feed);
}

static void open_log(run_t *r)
{
	app_request_t app = {
		.kind = APP_LOG, .id = r->next_id++, .bytes = 500, .weight = 2
	};

	csim_begin_request(r->sim, "spot", "check-in", &app);
}

/* Aborts the feeds whose time has come, as callers that go away do. */
static void abort_ended_feeds(run_t *r)
{
	for (guint i = 0; i < r->feeds->len;) {
		feed_t *f = &g_array_index(r->feeds, feed_t, i);
		const csim_result_t *result = csim_result(r->sim, f->number);

		if (f->end_ms > csim_now(r->sim)) {
			i++;
			continue;
		}
		if (result->request)
			caller_abort(result->request);
		g_array_remove_index_fast(r->feeds, i);
	}
}

/* Opens the arrivals of STEP_MS and lets the simulation run that long. */
static void run_step(run_t *r, double second)
{
	double rate = (double)MEAN_FLOWS / FEED_DURATION_S;

	if (second < FILL_S)
		rate += (double)MEAN_FLOWS / FILL_S *
			(1 - (double)FILL_S / FEED_DURATION_S);
	r->feeds_due += rate * STEP_MS / MS_PER_S;
	if (r->scenario->mixed_requests)
		r->logs_due += (double)LOGS_PER_S * STEP_MS / MS_PER_S;
	for (; r->feeds_due >= 1; r->feeds_due -= 1)
		open_feed(r);
	for (; r->logs_due >= 1; r->logs_due -= 1)
		open_log(r);
	abort_ended_feeds(r);
	csim_run(r->sim, STEP_MS);
}

static double host_capacity(run_t *r, unsigned host)
{
	return SLOTS *
	       app_server_speed(csim_server(r->sim, host), csim_now(r->sim));
}

/* Returns a host's share of the opens accepted since the last call, relative to
 * its share of the capacity. */
static double new_share(run_t *r, unsigned host)
{
	double total = 0, host_rate = 0, capacity = 0;

	for (unsigned i = 0; i < r->hosts; i++) {
		const counters_t *c = agent_counters(csim_agent(r->sim, i));
		uint64_t n = c->values[COUNTER_OPENS_ACCEPTED] -
			     r->accepted_before[i];

		r->accepted_before[i] += n;
		total += (double)n;
		capacity += host_capacity(r, i);
		if (i == host)
			host_rate = (double)n / host_capacity(r, i);
	}
	return total > 0 ? host_rate / (total / capacity) : 0;
}

static void after_event(run_t *r, unsigned second, const double *utilisation,
			double mean)
{
	for (size_t i = 0; i < WINDOWS; i++)
		if (second == EVENT_S + window_ends_s[i])
			r->new_share[i] = new_share(r, SLOW_HOST);
	if (r->scenario->add_host && r->hosts == HOSTS && !r->fair_share_s &&
	    utilisation[ADDED_HOST] >= 0.9 * mean)
		r->fair_share_s = second - EVENT_S;
}

static void sample_utilisation(run_t *r, unsigned second)
{
	double utilisation[HOSTS], total_work = 0, capacity = 0, max = 0,
				   min = HUGE_VAL;
	double mean;

	for (unsigned i = 0; i < r->hosts; i++) {
		double host_work = agent_work(csim_agent(r->sim, i));

		utilisation[i] = host_work / host_capacity(r, i);
		total_work += host_work;
		capacity += host_capacity(r, i);
		max = utilisation[i] > max ? utilisation[i] : max;
		min = utilisation[i] < min ? utilisation[i] : min;
	}
	mean = total_work > 0 ? total_work / capacity : 1;
	if (second > FILL_S - FILL_SAMPLES && second <= FILL_S)
		r->fill_sum += max / mean;
	g_string_append_printf(r->series, "%s[%u,%.4f,%.4f]",
			       r->series->len ? "," : "", second, max / mean,
			       min / mean);
	after_event(r, second, utilisation, mean);
	if (second <= STEADY_START_S)
		return;
	r->samples++;
	r->max_ratio_sum += max / mean;
	r->min_ratio_sum += min / mean;
	if (max / mean > r->max_ratio)
		r->max_ratio = max / mean;
}

static void cause_event(run_t *r)
{
	char *text;

	if (r->scenario->slow_host)
		app_server_set_speed(csim_server(r->sim, SLOW_HOST),
				     speeds[SLOW_HOST] / 4);
	if (!r->scenario->add_host)
		return;
	r->hosts = HOSTS;
	text = config_text(r->scenario, HOSTS, 2);
	csim_configure_all(r->sim, text);
	g_free(text);
}

static int compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the given percentile of the time to the first byte, over the requests
 * begun since EVENT_S. */
static uint64_t first_byte_percentile_ms(run_t *r, unsigned percent)
{
	GArray *latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t result = 0;

	for (size_t i = 0; i < csim_request_count(r->sim); i++) {
		const csim_result_t *x = csim_result(r->sim, i);
		uint64_t ms = x->first_byte_ms - x->started_ms;

		if (x->first_byte_ms &&
		    x->started_ms >= (uint64_t)EVENT_S * MS_PER_S)
			g_array_append_val(latencies, ms);
	}
	g_array_sort(latencies, compare_u64);
	if (latencies->len)
		result = g_array_index(latencies, uint64_t,
				       (latencies->len - 1) * percent / 100);
	g_array_free(latencies, TRUE);
	return result;
}

static uint64_t count_passed(run_t *r)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < r->hosts; i++)
		n += agent_counters(csim_agent(r->sim, i))
			     ->values[COUNTER_OPENS_PASSED];
	return n;
}

static void print_result(run_t *r)
{
	size_t n = csim_request_count(r->sim);

	printf("{\"bench\":\"policy\",\"scenario\":\"%s\",\"policy\":\"%s\","
	       "\"greatest_mean\":%.4f,\"greatest_worst\":%.4f,"
	       "\"smallest_mean\":%.4f,\"fill_greatest\":%.4f,"
	       "\"new_work_share\":[%.3f,%.3f,%.3f,%.3f]"
	       ","
	       "\"added_fair_s\":%u,\"control_bytes\":%llu,\"requests\":%zu,"
	       "\"passed\":%llu,"
	       "\"first_byte_p50_ms\":%llu,\"first_byte_p99_ms\":%llu,"
	       "\"learned\":[",
	       r->scenario->name, r->variant->name,
	       r->max_ratio_sum / r->samples, r->max_ratio,
	       r->min_ratio_sum / r->samples, r->fill_sum / FILL_SAMPLES,
	       r->new_share[1], r->new_share[2], r->new_share[3],
	       r->new_share[4], r->fair_share_s,
	       (unsigned long long)csim_control_bytes(r->sim), n,
	       (unsigned long long)count_passed(r),
	       (unsigned long long)first_byte_percentile_ms(r, 50),
	       (unsigned long long)first_byte_percentile_ms(r, 99));
	for (unsigned i = 0; i < r->hosts; i++) {
		const group_t *g = agent_group(csim_agent(r->sim, 0));

		printf("%s%.4f", i ? "," : "",
		       member_rank_weight(g, &g->members[i]) /
			       host_capacity(r, i));
	}
	printf("],\"series\":[%s]}\n", r->series->str);
}

static int run(const scenario_t *s, const variant_t *variant, uint64_t seed)
{
	run_t r = { .scenario = s,
		    .variant = variant,
		    .rng_state = seed,
		    .hosts = s->add_host ? HOSTS - 1 : HOSTS,
		    .feeds = g_array_new(FALSE, FALSE, sizeof(feed_t)),
		    .series = g_string_new(NULL) };
	csim_options_t options = { .balancers = 3,
				   .seed = seed,
				   .delay_ms = 1,
				   .service_ms = OPEN_SERVICE_MS,
				   .speeds = speeds,
				   .chunk_service_ms = chunk_service_ms(),
				   .service_jitter = 0.3,
				   .off = variant->off,
				   .policy = variant->policy };
	char *text = config_text(s, r.hosts, 1);

	options.config_text = text;
	options.report_factor = s->false_load ? 0.1 : 1;
	if (s->warmup) {
		options.warmup_ms = WARMUP_MS;
		options.warmup_speed = WARMUP_SPEED;
	}
	if (s->mixed_requests)
		options.kind_cost[APP_LOG] = LOG_COST;
	r.sim = csim_new(&options);
	g_free(text);
	if (!r.sim)
		return 1;
	for (unsigned second = 0; second < END_S; second++) {
		if (second == EVENT_S)
			cause_event(&r);
		for (unsigned i = 0; i < MS_PER_S / STEP_MS; i++)
			run_step(&r, second);
		sample_utilisation(&r, second + 1);
	}
	print_result(&r);
	csim_free(r.sim);
	g_array_free(r.feeds, TRUE);
	g_string_free(r.series, TRUE);
	return 0;
}

int main(int argc, char **argv)
{
	const scenario_t *s = NULL;
	const variant_t *variant = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(scenarios) && argc > 2; i++)
		if (!strcmp(scenarios[i].name, argv[1]))
			s = &scenarios[i];
	for (size_t i = 0; i < G_N_ELEMENTS(variants) && argc > 2; i++)
		if (!strcmp(variants[i].name, argv[2]))
			variant = &variants[i];
	if (!s || !variant) {
		fprintf(stderr, "usage: bench_policy SCENARIO POLICY [SEED]\n");
		return 2;
	}
	return run(s, variant, argc > 3 ? strtoull(argv[3], NULL, 10) : 1);
}
