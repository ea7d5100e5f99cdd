/*
 * bench_membership - cost and speed of membership by size of the group
 *
 * bench_membership MEMBERS [SEED]
 *
 * Prints one JSON object: bytes, messages and processor time a second and
 * member without load; suspicions and deaths with 1 in 20 packets lost and
 * processes paused for 2 s; the time until a dead host gets no opens.
 */

#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define WARM_MS	     10000
#define QUIET_MS     30000
#define ROUGH_MS     60000
#define PAUSE_MS     2000
#define PAUSE_EVERY  5000
#define OPENS_MS     20
#define LOSS	     0.05
#define BALANCERS    3
#define DEAD_MS	     30000
#define STEP_MS	     50
#define VICTIM	     1
#define SECOND	     1000.0
#define MEMBERS_MAX  WORLD_AGENTS
#define TARGETS_A_IP 200

static char *config_of(unsigned members)
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
			i + 1, 21 + i / TARGETS_A_IP, 1 + i % TARGETS_A_IP);
	return g_string_free(text, FALSE);
}

static void drive(world_t *w, unsigned ms)
{
	app_request_t get = { .kind = APP_GET, .bytes = 100, .weight = 1 };

	for (unsigned t = 0; t < ms; t += OPENS_MS) {
		get.id = world_requests(w);
		world_request(w, "spot", "feed", &get);
		world_run(w, OPENS_MS);
	}
}

static uint64_t sum(world_t *w, counter_t counter)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < world_agents(w); i++)
		if (world_agent(w, i))
			n += agent_counters(world_agent(w, i))->values[counter];
	return n;
}

static void quiet(world_t *w, unsigned members)
{
	uint64_t bytes = world_control_bytes(w);
	uint64_t messages = world_control_messages(w);
	double each = members * QUIET_MS / SECOND;
	clock_t begun = clock();

	world_run(w, QUIET_MS);
	printf("\"bytes_s\":%.1f,\"messages_s\":%.2f,\"cpu_us_s\":%.1f,",
	       (double)(world_control_bytes(w) - bytes) / each,
	       (double)(world_control_messages(w) - messages) / each,
	       (double)(clock() - begun) * 1e6 / CLOCKS_PER_SEC / each);
}

static void rough(world_t *w, unsigned members)
{
	uint64_t suspicions = sum(w, COUNTER_SUSPICIONS);
	uint64_t refutations = sum(w, COUNTER_REFUTATIONS);
	uint64_t deaths = sum(w, COUNTER_MEMBERS_DEAD);
	unsigned pauses = 0;

	world_network(w, LOSS, 0, 1, 2);
	for (unsigned t = 0; t < ROUGH_MS; t += PAUSE_EVERY) {
		unsigned at = pauses++ % members;

		world_freeze(w, PLACE_AGENT, at);
		drive(w, PAUSE_MS);
		world_thaw(w, PLACE_AGENT, at);
		drive(w, PAUSE_EVERY - PAUSE_MS);
	}
	printf("\"pauses\":%u,\"suspicions\":%llu,\"refutations\":%llu,"
	       "\"false_deaths\":%llu,",
	       pauses,
	       (unsigned long long)(sum(w, COUNTER_SUSPICIONS) - suspicions),
	       (unsigned long long)(sum(w, COUNTER_REFUTATIONS) - refutations),
	       (unsigned long long)(sum(w, COUNTER_MEMBERS_DEAD) - deaths));
	world_network(w, 0, 0, 1, 0);
	drive(w, WARM_MS);
}

/* Members that still believe the dead one alive. */
static unsigned believers(world_t *w)
{
	unsigned n = 0;

	for (unsigned i = 0; i < world_agents(w); i++) {
		const group_t *g;

		if (i == VICTIM)
			continue;
		g = agent_group(world_agent(w, i));
		n += !member_suspect_or_dead(&g->members[VICTIM]);
	}
	return n;
}

static void death(world_t *w)
{
	uint64_t killed = world_now(w), last, all = 0;
	size_t first = world_requests(w), lost = 0;

	world_kill(w, PLACE_AGENT, VICTIM);
	world_kill(w, PLACE_SERVER, VICTIM);
	for (unsigned t = 0; t < DEAD_MS; t += 2 * STEP_MS) {
		drive(w, 2 * STEP_MS);
		if (!all && !believers(w))
			all = world_now(w) - killed;
	}
	world_settle(w, DEAD_MS);
	for (size_t i = first; i < world_requests(w); i++)
		lost += world_result(w, i)->outcome != OUTCOME_DONE;
	last = world_last_open(w, VICTIM);
	printf("\"opens_stopped_ms\":%llu,\"all_know_ms\":%llu,"
	       "\"opens\":%zu,\"opens_lost\":%zu}\n",
	       (unsigned long long)(last > killed ? last - killed : 0),
	       (unsigned long long)all, world_requests(w) - first, lost);
}

int main(int argc, char **argv)
{
	unsigned members = argc > 1 ? (unsigned)atoi(argv[1]) : 0;
	world_options_t options = {
		.balancers = BALANCERS,
		.delay_ms = 1,
		.seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1
	};
	char *text;
	world_t *w;

	if (members <= VICTIM || members > MEMBERS_MAX) {
		fprintf(stderr, "usage: bench_membership MEMBERS [SEED]\n");
		return 2;
	}
	text = config_of(members);
	options.config_text = text;
	w = world_new(&options);
	g_free(text);
	if (!w)
		return 1;
	world_run(w, WARM_MS);
	printf("{\"bench\":\"membership\",\"members\":%u,", members);
	quiet(w, members);
	rough(w, members);
	death(w);
	world_free(w);
	return 0;
}
