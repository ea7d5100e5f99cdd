/*
 * bench_membership - cost and speed of membership by group size
 *
 * bench_membership MEMBERS [SEED]
 *
 * Simulates a group of MEMBERS agents and prints one JSON object: control
 * bytes, control messages and processor time per second and member without
 * load; suspicions and false deaths with 1 in 20 packets lost and an agent
 * paused for 2 s every 5 s; and, after a host dies, the time until it gets no
 * more opens, the time until all members consider it unreachable, and the opens
 * lost.
 */

#include "cluster_sim.h"
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define WARMUP_MS	   10000
#define IDLE_MS		   30000
#define LOSSY_MS	   60000
#define PAUSE_MS	   2000
#define PAUSE_INTERVAL_MS  5000
#define OPEN_INTERVAL_MS   20
#define LOSS_RATIO	   0.05
#define BALANCERS	   3
#define DEATH_WINDOW_MS	   30000 /* time with opens after the host dies */
#define STEP_MS		   50
#define VICTIM		   1 /* index of the agent whose host dies */
#define MS_PER_S	   1000.0
#define MEMBERS_MAX	   CSIM_AGENTS_MAX
#define TARGETS_PER_SUBNET 200 /* agents per 127.0.N.0/24 */

static char *config_text(unsigned members)
{
	GString *text = g_string_new(
		"version = 1\n[[service]]\nname = \"spot\"\n"
		"address = \"198.51.100.10\"\n[[service.class]]\n"
		"name = \"feed\"\nport = 6001\nprotocol = \"tcp\"\n"
		"weight = 1\nidempotent = true\n");

	for (unsigned i = 0; i < members; i++)
		g_string_append_printf(
			text,
			"[[service.target]]\nname = \"spot-%u\"\n"
			"agent = \"127.0.%u.%u:7400\"\nzone = \"martin\"\n"
			"weight = 1.0\nslots = 5\nconnections = 2000\n",
			i + 1, 21 + i / TARGETS_PER_SUBNET,
			1 + i % TARGETS_PER_SUBNET);
	return g_string_free(text, FALSE);
}

static void run_with_opens(csim_t *sim, unsigned ms)
{
	app_request_t get = { .kind = APP_GET, .bytes = 100, .weight = 1 };

	for (unsigned t = 0; t < ms; t += OPEN_INTERVAL_MS) {
		get.id = csim_request_count(sim);
		csim_begin_request(sim, "spot", "feed", &get);
		csim_run(sim, OPEN_INTERVAL_MS);
	}
}

static uint64_t sum_counter(csim_t *sim, counter_t counter)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < csim_agent_count(sim); i++)
		if (csim_agent(sim, i))
			n += agent_counters(csim_agent(sim, i))
				     ->values[counter];
	return n;
}

static void measure_idle(csim_t *sim, unsigned members)
{
	uint64_t bytes = csim_control_bytes(sim);
	uint64_t messages = csim_control_messages(sim);
	double member_seconds = members * IDLE_MS / MS_PER_S;
	clock_t start = clock();

	csim_run(sim, IDLE_MS);
	printf("\"bytes_s\":%.1f,\"messages_s\":%.2f,\"cpu_us_s\":%.1f,",
	       (double)(csim_control_bytes(sim) - bytes) / member_seconds,
	       (double)(csim_control_messages(sim) - messages) / member_seconds,
	       (double)(clock() - start) * 1e6 / CLOCKS_PER_SEC /
		       member_seconds);
}

static void measure_lossy(csim_t *sim, unsigned members)
{
	uint64_t suspicions = sum_counter(sim, COUNTER_SUSPICIONS);
	uint64_t refutations = sum_counter(sim, COUNTER_REFUTATIONS);
	uint64_t deaths = sum_counter(sim, COUNTER_MEMBERS_DEAD);
	unsigned pauses = 0;

	csim_set_network(sim, LOSS_RATIO, 0, 1, 2);
	for (unsigned t = 0; t < LOSSY_MS; t += PAUSE_INTERVAL_MS) {
		unsigned member = pauses++ % members;

		csim_freeze(sim, NODE_AGENT, member);
		run_with_opens(sim, PAUSE_MS);
		csim_thaw(sim, NODE_AGENT, member);
		run_with_opens(sim, PAUSE_INTERVAL_MS - PAUSE_MS);
	}
	printf("\"pauses\":%u,\"suspicions\":%llu,\"refutations\":%llu,"
	       "\"false_deaths\":%llu,",
	       pauses,
	       (unsigned long long)(sum_counter(sim, COUNTER_SUSPICIONS) -
				    suspicions),
	       (unsigned long long)(sum_counter(sim, COUNTER_REFUTATIONS) -
				    refutations),
	       (unsigned long long)(sum_counter(sim, COUNTER_MEMBERS_DEAD) -
				    deaths));
	csim_set_network(sim, 0, 0, 1, 0);
	run_with_opens(sim, WARMUP_MS);
}

/* Returns the number of members that consider the victim reachable. */
static unsigned count_unaware(csim_t *sim)
{
	unsigned n = 0;

	for (unsigned i = 0; i < csim_agent_count(sim); i++) {
		const group_t *g;

		if (i == VICTIM)
			continue;
		g = agent_group(csim_agent(sim, i));
		n += !member_suspect_or_dead(&g->members[VICTIM]);
	}
	return n;
}

static void measure_death(csim_t *sim)
{
	uint64_t killed = csim_now(sim), last_open_ms, all_know_ms = 0;
	size_t first = csim_request_count(sim), lost = 0;

	csim_kill(sim, NODE_AGENT, VICTIM);
	csim_kill(sim, NODE_SERVER, VICTIM);
	for (unsigned t = 0; t < DEATH_WINDOW_MS; t += 2 * STEP_MS) {
		run_with_opens(sim, 2 * STEP_MS);
		if (!all_know_ms && !count_unaware(sim))
			all_know_ms = csim_now(sim) - killed;
	}
	csim_run_until_idle(sim, DEATH_WINDOW_MS);
	for (size_t i = first; i < csim_request_count(sim); i++)
		lost += csim_result(sim, i)->outcome != OUTCOME_DONE;
	last_open_ms = csim_last_open_ms(sim, VICTIM);
	printf("\"opens_stopped_ms\":%llu,\"all_know_ms\":%llu,"
	       "\"opens\":%zu,\"opens_lost\":%zu}\n",
	       (unsigned long long)(last_open_ms > killed
					    ? last_open_ms - killed
					    : 0),
	       (unsigned long long)all_know_ms, csim_request_count(sim) - first,
	       lost);
}

int main(int argc, char **argv)
{
	unsigned members = argc > 1 ? (unsigned)atoi(argv[1]) : 0;
	csim_options_t options = { .balancers = BALANCERS,
				   .delay_ms = 1,
				   .seed = argc > 2
						   ? strtoull(argv[2], NULL, 10)
						   : 1 };
	char *text;
	csim_t *sim;

	if (members <= VICTIM || members > MEMBERS_MAX) {
		fprintf(stderr, "usage: bench_membership MEMBERS [SEED]\n");
		return 2;
	}
	text = config_text(members);
	options.config_text = text;
	sim = csim_new(&options);
	g_free(text);
	if (!sim)
		return 1;
	csim_run(sim, WARMUP_MS);
	printf("{\"bench\":\"membership\",\"members\":%u,", members);
	measure_idle(sim, members);
	measure_lossy(sim, members);
	measure_death(sim);
	csim_free(sim);
	return 0;
}
