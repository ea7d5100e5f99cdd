/*
 * bench_policy - imbalance by policy, on the same arrivals and seeds
 *
 * bench_policy SCENARIO POLICY [SEED]
 *
 * Runs a service of seven hosts in the world and prints one JSON object:
 * greatest and smallest utilisation over the mean, each second and over the
 * steady window. Utilisation is the weighted work held over true capacity,
 * slots times true speed.
 */

#include "world.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS	     7
#define SLOTS	     5
#define FLOWS	     1400 /* held in the mean */
#define LIFE_S	     60	  /* mean of a feed */
#define FILL_S	     30	  /* the first FLOWS open in this time */
#define FILL_SAMPLES 15	  /* seconds at the end of it */
#define STEADY_S     150  /* the window begins */
#define END_S	     240
#define EVENT_S	     120 /* a host slows or is added */
#define INTERVAL_MS  1000
#define LOAD	     0.7
#define OPEN_MS	     20 /* work of an open at speed 1 */
#define SLOW_HOST    5
#define ADDED_HOST   6
#define LOGS_A_S     40
#define LOG_COST     3 /* times what its weight says */
#define MS	     1000
#define TENTH_MS     100
#define COLD_MS	     20000
#define COLD_SPEED   0.25
#define CONFIG_BYTES 8192

/* Windows of new work after the event end at these seconds. */
static const unsigned windows[] = { 0, 10, 30, 60, 120 };
#define WINDOWS (sizeof(windows) / sizeof(windows[0]))

/* Four times apart. */
static const double speeds[HOSTS] = { 0.5, 0.7, 1, 1, 1.4, 1.7, 2 };
/* How wrong the declared weights are. */
static const double wrong[HOSTS] = { 2, 0.5, 1.4, 2, 0.5, 0.7, 0.5 };

typedef struct scenario {
	const char *name;
	bool wrong; /* declared weights */
	bool slows; /* a host to a quarter, mid-run */
	bool added; /* a host, mid-run */
	bool cold;  /* and it starts cold */
	bool mixed; /* uploads beside the feeds */
	bool lies;  /* load endpoints */

} scenario_t;

static const scenario_t scenarios[] = {
	{ .name = "right" },
	{ .name = "wrong", .wrong = true },
	{ .name = "mixed", .wrong = true, .mixed = true },
	{ .name = "slows", .wrong = true, .slows = true },
	{ .name = "added", .wrong = true, .added = true },
	{ .name = "cold", .wrong = true, .added = true, .cold = true },
	{ .name = "lies", .wrong = true, .lies = true },
};

/* A step of the policy that is compared. */
typedef struct step {
	const char *name;
	const policy_t *policy;
	mechanisms_t off;
} step_t;

#define NO_LEARNING (1U << MECHANISM_LEARNING)

static const step_t steps[] = {
	{ "round-robin", &policy_round_robin, NO_LEARNING },
	{ "rendezvous", &policy_rendezvous, NO_LEARNING },
	{ "two-choices", &policy_two_choices, NO_LEARNING },
	{ "hunt-declared", &policy_hunt, NO_LEARNING },
	{ "hunt-learned", &policy_hunt, 0 },
	{ "ranked-hunt-learned", &policy_ranked_hunt, 0 },
};

/* A feed that is running. */
typedef struct feed {
	size_t number;
	uint64_t end_ms;
} feed_t;

typedef struct run {
	const scenario_t *scenario;
	const step_t *step;
	world_t *world;
	uint64_t random;
	uint64_t next_id;
	double feeds_due;
	double logs_due;
	unsigned hosts;
	uint64_t placed[HOSTS];	   /* opens accepted, when last looked */
	double new_share[WINDOWS]; /* of the host that slows */
	unsigned fair_s;	   /* the added host reached nine tenths */
	double greatest_sum, smallest_sum, greatest_worst;
	double fill_sum;
	unsigned samples;
	GArray *feeds; /* feed_t */
	GString *series;
} run_t;

static double chance(run_t *r)
{
	uint64_t x = r->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return ((double)((x ^ (x >> 31)) >> 11) + 0.5) * 0x1.0p-53;
}

static char *config_of(const scenario_t *s, unsigned hosts, unsigned version)
{
	GString *text = g_string_sized_new(CONFIG_BYTES);

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
			i + 1, i + 1, speeds[i] * (s->wrong ? wrong[i] : 1),
			SLOTS);
	return g_string_free(text, FALSE);
}

/* Work of one chunk, so that FLOWS feeds make LOAD. */
static double chunk_ms(void)
{
	double capacity = 0;

	for (unsigned i = 0; i < HOSTS; i++)
		capacity += SLOTS * speeds[i];
	return LOAD * capacity * INTERVAL_MS / FLOWS;
}

static void open_feed(run_t *r)
{
	double life = -log(chance(r)) * LIFE_S * MS;
	app_request_t app = { .kind = APP_FEED,
			      .id = r->next_id++,
			      .bytes = 100,
			      .interval_ms = INTERVAL_MS,
			      .chunks = UINT32_MAX,
			      .weight = 1 };
	feed_t feed = { world_request(r->world, "spot", "feed", &app),
			world_now(r->world) + (uint64_t)life };

	g_array_append_val(r->feeds, feed);
}

static void open_log(run_t *r)
{
	app_request_t app = {
		.kind = APP_LOG, .id = r->next_id++, .bytes = 500, .weight = 2
	};

	world_request(r->world, "spot", "check-in", &app);
}

/* Callers go away at the end of their feed, however far it came. */
static void end_feeds(run_t *r)
{
	for (guint i = 0; i < r->feeds->len;) {
		feed_t *f = &g_array_index(r->feeds, feed_t, i);
		const world_result_t *result =
			world_result(r->world, f->number);

		if (f->end_ms > world_now(r->world)) {
			i++;
			continue;
		}
		if (result->request)
			caller_abort(result->request);
		g_array_remove_index_fast(r->feeds, i);
	}
}

/* One tenth of a second of arrivals. */
static void arrive(run_t *r, double second)
{
	double rate = (double)FLOWS / LIFE_S;

	if (second < FILL_S)
		rate += (double)FLOWS / FILL_S * (1 - (double)FILL_S / LIFE_S);
	r->feeds_due += rate * TENTH_MS / MS;
	if (r->scenario->mixed)
		r->logs_due += (double)LOGS_A_S * TENTH_MS / MS;
	for (; r->feeds_due >= 1; r->feeds_due -= 1)
		open_feed(r);
	for (; r->logs_due >= 1; r->logs_due -= 1)
		open_log(r);
	end_feeds(r);
	world_run(r->world, TENTH_MS);
}

static double capacity_of(run_t *r, unsigned host)
{
	return SLOTS * app_server_speed(world_server(r->world, host),
					world_now(r->world));
}

/* New work of the last seconds over its fair part, of one host. */
static double new_share(run_t *r, unsigned host)
{
	double all = 0, own = 0, capacity = 0;

	for (unsigned i = 0; i < r->hosts; i++) {
		const counters_t *c = agent_counters(world_agent(r->world, i));
		uint64_t n = c->values[COUNTER_OPENS_ACCEPTED] - r->placed[i];

		r->placed[i] += n;
		all += (double)n;
		capacity += capacity_of(r, i);
		if (i == host)
			own = (double)n / capacity_of(r, i);
	}
	return all > 0 ? own / (all / capacity) : 0;
}

static void after_event(run_t *r, unsigned second, const double *u, double mean)
{
	for (size_t i = 0; i < WINDOWS; i++)
		if (second == EVENT_S + windows[i])
			r->new_share[i] = new_share(r, SLOW_HOST);
	if (r->scenario->added && r->hosts == HOSTS && !r->fair_s &&
	    u[ADDED_HOST] >= 0.9 * mean)
		r->fair_s = second - EVENT_S;
}

static void sample(run_t *r, unsigned second)
{
	double u[HOSTS], work = 0, capacity = 0, most = 0, least = HUGE_VAL;
	double mean;

	for (unsigned i = 0; i < r->hosts; i++) {
		double held = agent_work(world_agent(r->world, i));

		u[i] = held / capacity_of(r, i);
		work += held;
		capacity += capacity_of(r, i);
		most = u[i] > most ? u[i] : most;
		least = u[i] < least ? u[i] : least;
	}
	mean = work > 0 ? work / capacity : 1;
	if (second > FILL_S - FILL_SAMPLES && second <= FILL_S)
		r->fill_sum += most / mean;
	g_string_append_printf(r->series, "%s[%u,%.4f,%.4f]",
			       r->series->len ? "," : "", second, most / mean,
			       least / mean);
	after_event(r, second, u, mean);
	if (second <= STEADY_S)
		return;
	r->samples++;
	r->greatest_sum += most / mean;
	r->smallest_sum += least / mean;
	if (most / mean > r->greatest_worst)
		r->greatest_worst = most / mean;
}

static void event(run_t *r)
{
	char *text;

	if (r->scenario->slows)
		app_server_set_speed(world_server(r->world, SLOW_HOST),
				     speeds[SLOW_HOST] / 4);
	if (!r->scenario->added)
		return;
	r->hosts = HOSTS;
	text = config_of(r->scenario, HOSTS, 2);
	world_configure_all(r->world, text);
	g_free(text);
}

static int compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Time to the first byte at a percentile of the requests of the window. */
static uint64_t first_byte_ms(run_t *r, unsigned percent)
{
	GArray *took = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t result = 0;

	for (size_t i = 0; i < world_requests(r->world); i++) {
		const world_result_t *x = world_result(r->world, i);
		uint64_t ms = x->answered_ms - x->begun_ms;

		if (x->answered_ms && x->begun_ms >= (uint64_t)EVENT_S * MS)
			g_array_append_val(took, ms);
	}
	g_array_sort(took, compare_u64);
	if (took->len)
		result = g_array_index(took, uint64_t,
				       (took->len - 1) * percent / 100);
	g_array_free(took, TRUE);
	return result;
}

static uint64_t passed(run_t *r)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < r->hosts; i++)
		n += agent_counters(world_agent(r->world, i))
			     ->values[COUNTER_OPENS_PASSED];
	return n;
}

static void print(run_t *r)
{
	size_t n = world_requests(r->world);

	printf("{\"bench\":\"policy\",\"scenario\":\"%s\",\"policy\":\"%s\","
	       "\"greatest_mean\":%.4f,\"greatest_worst\":%.4f,"
	       "\"smallest_mean\":%.4f,\"fill_greatest\":%.4f,"
	       "\"new_work_share\":[%.3f,%.3f,%.3f,%.3f]"
	       ","
	       "\"added_fair_s\":%u,\"control_bytes\":%llu,\"requests\":%zu,"
	       "\"passed\":%llu,"
	       "\"first_byte_p50_ms\":%llu,\"first_byte_p99_ms\":%llu,"
	       "\"learned\":[",
	       r->scenario->name, r->step->name, r->greatest_sum / r->samples,
	       r->greatest_worst, r->smallest_sum / r->samples,
	       r->fill_sum / FILL_SAMPLES, r->new_share[1], r->new_share[2],
	       r->new_share[3], r->new_share[4], r->fair_s,
	       (unsigned long long)world_control_bytes(r->world), n,
	       (unsigned long long)passed(r),
	       (unsigned long long)first_byte_ms(r, 50),
	       (unsigned long long)first_byte_ms(r, 99));
	for (unsigned i = 0; i < r->hosts; i++) {
		const group_t *g = agent_group(world_agent(r->world, 0));

		printf("%s%.4f", i ? "," : "",
		       member_rank_weight(g, &g->members[i]) /
			       capacity_of(r, i));
	}
	printf("],\"series\":[%s]}\n", r->series->str);
}

static int run(const scenario_t *s, const step_t *step, uint64_t seed)
{
	run_t r = { .scenario = s,
		    .step = step,
		    .random = seed,
		    .hosts = s->added ? HOSTS - 1 : HOSTS,
		    .feeds = g_array_new(FALSE, FALSE, sizeof(feed_t)),
		    .series = g_string_new(NULL) };
	world_options_t options = { .balancers = 3,
				    .seed = seed,
				    .delay_ms = 1,
				    .service_ms = OPEN_MS,
				    .speeds = speeds,
				    .chunk_ms = chunk_ms(),
				    .spread = 0.3,
				    .off = step->off,
				    .policy = step->policy };
	char *text = config_of(s, r.hosts, 1);

	options.config_text = text;
	options.report_factor = s->lies ? 0.1 : 1;
	if (s->cold) {
		options.cold_ms = COLD_MS;
		options.cold_speed = COLD_SPEED;
	}
	if (s->mixed)
		options.class_cost[APP_LOG] = LOG_COST;
	r.world = world_new(&options);
	g_free(text);
	if (!r.world)
		return 1;
	for (unsigned second = 0; second < END_S; second++) {
		if (second == EVENT_S)
			event(&r);
		for (unsigned i = 0; i < MS / TENTH_MS; i++)
			arrive(&r, second);
		sample(&r, second + 1);
	}
	print(&r);
	world_free(r.world);
	g_array_free(r.feeds, TRUE);
	g_string_free(r.series, TRUE);
	return 0;
}

int main(int argc, char **argv)
{
	const scenario_t *s = NULL;
	const step_t *step = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(scenarios) && argc > 2; i++)
		if (!strcmp(scenarios[i].name, argv[1]))
			s = &scenarios[i];
	for (size_t i = 0; i < G_N_ELEMENTS(steps) && argc > 2; i++)
		if (!strcmp(steps[i].name, argv[2]))
			step = &steps[i];
	if (!s || !step) {
		fprintf(stderr, "usage: bench_policy SCENARIO POLICY [SEED]\n");
		return 2;
	}
	return run(s, step, argc > 3 ? strtoull(argv[3], NULL, 10) : 1);
}
