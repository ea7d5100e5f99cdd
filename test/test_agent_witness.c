/*
 * test_agent_witness - witnesses reset the callers of a host that has failed
 */

#include "agent_rig.h"
#include "runner.h"
#include "../bench/cluster_sim.h"
#include <stdio.h>

#define ISN   70000
#define FEEDS 60
/* Less than it takes to declare a member dead and to end lookups for it, ms. */
#define PAUSE_MS 8000

static char *agency_config(void)
{
	char *text;

	ck_assert(
		g_file_get_contents("examples/agency.toml", &text, NULL, NULL));
	return text;
}

static csim_t *start_feeds(const char *text, mechanisms_t off, uint64_t seed)
{
	csim_options_t options = { .config_text = text,
				   .balancers = 3,
				   .seed = seed,
				   .delay_ms = 1,
				   .off = off };
	app_request_t feed = { .kind = APP_FEED,
			       .bytes = 100,
			       .chunks = 120,
			       .interval_ms = 500 };
	csim_t *sim = csim_new(&options);

	for (uint64_t i = 0; i < FEEDS; i++) {
		feed.id = i;
		csim_begin_request(sim, "spot", "feed", &feed);
	}
	csim_run(sim, 8000);
	return sim;
}

/*
 * Counts the feeds of an agent, by holder[], that ended with an outcome. Raises
 * *latest to the time from `since` to the last such end, in ms.
 */
static unsigned count_ended(csim_t *sim, const unsigned *holder, unsigned agent,
			    outcome_t outcome, uint64_t since, uint64_t *latest)
{
	unsigned n = 0;

	for (size_t i = 0; i < FEEDS; i++) {
		const csim_result_t *r = csim_result(sim, i);

		if (holder[i] != agent || !r->ended || r->outcome != outcome)
			continue;
		n++;
		if (r->ended_ms - since > *latest)
			*latest = r->ended_ms - since;
	}
	return n;
}

static void find_holders(csim_t *sim, unsigned *holder)
{
	for (size_t i = 0; i < FEEDS; i++)
		holder[i] = csim_find_holder(sim, i);
}

static unsigned count_held(const unsigned *holder, unsigned agent)
{
	unsigned n = 0;

	for (size_t i = 0; i < FEEDS; i++)
		n += holder[i] == agent;
	return n;
}

/*
 * Agent and backend server of a host fail for good. Callers that only receive
 * send no packets whose lookup would end in a reset, so without witnesses
 * their connections hang. With witnesses each is reset within 20 s.
 */
START_TEST(callers_of_a_lost_host_are_reset)
{
	static const mechanisms_t off[] = { 0, 1U << MECHANISM_WITNESS };
	char *text = agency_config();

	for (size_t i = 0; i < G_N_ELEMENTS(off); i++) {
		csim_t *sim = start_feeds(text, off[i], 5);
		unsigned holder[FEEDS];
		uint64_t latest = 0, begun = csim_now(sim);
		unsigned agent, nreset;

		find_holders(sim, holder);
		agent = holder[0];
		ck_assert_uint_ne(agent, UINT32_MAX);
		csim_kill(sim, NODE_AGENT, agent);
		csim_kill(sim, NODE_SERVER, agent);
		csim_run(sim, 30000);
		nreset = count_ended(sim, holder, agent, OUTCOME_UNKNOWN, begun,
				     &latest);
		printf("witness %s: %u of %u callers reset, the last after "
		       "%llu ms\n",
		       i ? "off" : "on", nreset, count_held(holder, agent),
		       (unsigned long long)latest);
		if (i == 0) {
			ck_assert_uint_eq(nreset, count_held(holder, agent));
			ck_assert_uint_le(latest, 20000);
		} else {
			ck_assert_uint_eq(nreset, 0);
		}
		csim_free(sim);
	}
	g_free(text);
}
END_TEST

/* A holder that is partitioned or paused for 8 s keeps all its feeds. */
START_TEST(holder_that_comes_back_keeps_its_flows)
{
	char *text = agency_config();

	for (int frozen = 0; frozen < 2; frozen++) {
		csim_t *sim = start_feeds(text, 0, 6);
		unsigned holder[FEEDS];
		uint64_t latest = 0;
		unsigned agent;
		node_t self;

		find_holders(sim, holder);
		agent = holder[0];
		self.kind = NODE_AGENT;
		self.index = agent;
		for (unsigned i = 0; i < csim_agent_count(sim) && !frozen;
		     i++) {
			node_t peer = { NODE_AGENT, i };

			csim_cut(sim, self, peer);
			csim_cut(sim, peer, self);
		}
		if (frozen)
			csim_freeze(sim, NODE_AGENT, agent);
		csim_run(sim, PAUSE_MS);
		if (frozen)
			csim_thaw(sim, NODE_AGENT, agent);
		csim_heal_cuts(sim);
		ck_assert(csim_run_until_idle(sim, 120000));
		ck_assert_uint_eq(count_ended(sim, holder, agent, OUTCOME_DONE,
					      0, &latest),
				  count_held(holder, agent));
		ck_assert_uint_eq(csim_count_broken(sim), 0);
		csim_free(sim);
	}
	g_free(text);
}
END_TEST

/*
 * Each flow has two witnesses. Those that do not fail with the holder send 6
 * probes to each caller; if both fail, no caller is probed.
 */
START_TEST(one_witness_is_enough)
{
	for (unsigned lost = 0; lost <= 2; lost++) {
		unsigned nwitnesses = 0;
		unsigned probes = 0;

		rig_t *rig = rig_new(7, 0);

		rig_advance(rig, 1500);
		for (uint16_t port = 1; port <= 200; port++)
			rig_open(rig, 0, port, ISN);
		rig_advance(rig, 6000);
		rig->agents[0].unreachable = true;
		rig->replies = 0;
		/* The two that know all flows are the witnesses. */
		for (unsigned i = 1; i < 7; i++)
			if (agent_witnessed_flows(rig->agents[i].agent) ==
				    200 &&
			    ++nwitnesses <= lost)
				rig->agents[i].unreachable = true;
		ck_assert_uint_eq(nwitnesses, 2);
		rig_advance(rig, 20000);
		for (unsigned i = 1; i < 7; i++)
			probes += rig_counter(rig, i, COUNTER_WITNESS_PROBES);
		printf("%u of 2 witnesses lost: %u probes to 200 callers\n",
		       lost, probes);
		ck_assert_uint_eq(probes, (2 - lost) * 6 * 200);
		rig_free(rig);
	}
}
END_TEST

/*
 * The witness messages of all agents, unsealed, do not exceed 1500 bytes per
 * second at 50 opens and 50 closes per second, and witnesses forget closed
 * flows.
 */
START_TEST(witness_traffic_is_bounded)
{
	rig_t *rig = rig_new(7, 0);
	uint64_t bytes_before = 0;
	double rate;
	uint16_t port = 1;

	rig_advance(rig, 1500);
	for (int s = 0; s < 40; s++) {
		if (s == 10)
			bytes_before = rig->witness_bytes;
		for (int i = 0; i < 50; i++, port++) {
			rig_open(rig, 0, port, ISN);
			if (port > 200)
				rig_send(rig, 0, STEP_LOOKUP, port - 200,
					 TCP_RST, ISN + 1, 0, NULL);
		}
		rig_advance(rig, 1000);
	}
	rate = (double)(rig->witness_bytes - bytes_before) / 30;
	printf("witness: %.0f bytes/s at 50 opens/s\n", rate);
	ck_assert_double_le(rate, 1500);
	for (unsigned i = 1; i < 7; i++)
		ck_assert_uint_le(agent_witnessed_flows(rig->agents[i].agent),
				  400);
	rig_free(rig);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("agent_witness");
	TCase *tc = tcase_create("witness");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, callers_of_a_lost_host_are_reset);
	tcase_add_test(tc, holder_that_comes_back_keeps_its_flows);
	tcase_add_test(tc, one_witness_is_enough);
	tcase_add_test(tc, witness_traffic_is_bounded);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
