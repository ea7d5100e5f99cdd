#include "cases.h"

#define FEEDS		 12
#define FEED_CHUNKS	 60 /* one every 200 ms */
#define LONG_FEED_CHUNKS 250
#define SPOT_TARGETS	 4
#define MID_UPLOAD_MS	 16    /* from the SYN of a log to mid-upload */
#define DRAIN_GRACE_MS	 5000  /* from a change to the last permitted open */
#define FROZEN_MS	 60000 /* pause of the stale balancer */
#define DELETED_MS	 20000 /* longer than LINGER_MS of group.h */
#define REQUESTS	 40    /* started by a case */

static void replaced_in_turn(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, FEED_CHUNKS);
	cell_run(&run->cell, 1000);
	for (unsigned i = 0; i < 3; i++)
		cell_request(&run->cell, APP_LOG);
	case_replace_balancers(run);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

/*
 * New balancers hold no hints and must look up flows that were placed under
 * earlier configurations.
 */
static void late_joiner_finds_flows(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, FEED_CHUNKS);
	cell_run(c, 1000);
	c->config.spot_targets++;
	case_apply_config(run);
	cell_run(c, 500);
	c->config.reweighted = 5;
	case_apply_config(run);
	cell_run(c, 500);
	c->config.draining = 2;
	case_apply_config(run);
	case_replace_balancers(run);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

/*
 * Changes targets that hold feeds, then replaces the balancers, so that the
 * flows are looked up under the new configuration.
 */
static void run_target_change(case_run_t *run, unsigned *config_field,
			      unsigned value)
{
	case_begin_feeds(run, FEEDS, FEED_CHUNKS);
	cell_run(&run->cell, 1000);
	*config_field = value;
	case_apply_config(run);
	case_replace_balancers(run);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

static void target_added(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	run_target_change(run, &run->cell.config.spot_targets,
			  SPOT_TARGETS + 1);
}

static void target_reweighted(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	run_target_change(run, &run->cell.config.reweighted, 3);
}

static void target_drained(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	run_target_change(run, &run->cell.config.draining, 3);
}

/*
 * Deletes targets that hold feeds, without draining them. Balancers that start
 * longer than LINGER_MS afterwards must still find the flows.
 */
static void target_deleted(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, 2 * FEEDS, LONG_FEED_CHUNKS);
	cell_run(c, 1000);
	c->config.deleted = 3;
	case_apply_config(run);
	cell_run(c, DELETED_MS);
	case_replace_balancers(run);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

/*
 * A balancer that was frozen during a change resumes with the old
 * configuration and gets all packets. It must not cause opens at a target that
 * the change drains or deletes.
 */
static void stale_balancer(case_run_t *run, bool deleted)
{
	cell_t *c = &run->cell;
	uint64_t changed_ms;

	case_begin(run, &(csim_options_t){ 0 });
	csim_freeze(c->sim, NODE_BALANCER, 0);
	csim_set_in_fabric(c->sim, 0, false);
	c->config.draining = deleted ? 0 : 1;
	c->config.deleted = deleted ? 1 : 0;
	c->config.version++;
	for (unsigned i = 1; i < 3; i++) {
		char *text = cell_config_text(&c->config);

		csim_configure(c->sim, NODE_BALANCER, i, text);
		for (unsigned j = 0; j < csim_agent_count(c->sim); j++)
			csim_configure(c->sim, NODE_AGENT, j, text);
		g_free(text);
	}
	changed_ms = csim_now(c->sim);
	cell_run(c, FROZEN_MS);
	for (unsigned i = 0; i < 3; i++)
		csim_set_in_fabric(c->sim, i, i == 0);
	csim_thaw(c->sim, NODE_BALANCER, 0);
	for (unsigned i = 0; i < REQUESTS; i++) {
		cell_request(c, APP_LOG);
		cell_run(c, 50);
	}
	case_expect(run, c->last_open_ms[0] <= changed_ms + DRAIN_GRACE_MS,
		    "opens at the drained or deleted target",
		    c->server_opens[0]);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

static void no_opens_at_drained(case_run_t *run)
{
	stale_balancer(run, false);
}

static void no_opens_at_deleted(case_run_t *run)
{
	stale_balancer(run, true);
}

static void agents_restarted(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, FEED_CHUNKS);
	cell_run(c, 500);
	for (unsigned i = 0; i < SPOT_TARGETS; i++) {
		for (unsigned j = 0; j < SPOT_TARGETS; j++)
			cell_request(c, APP_LOG);
		csim_run(c->sim, MID_UPLOAD_MS);
		csim_kill(c->sim, NODE_AGENT, i);
		cell_run(c, 300);
		csim_restart(c->sim, NODE_AGENT, i);
		cell_run(c, 300);
	}
	case_end(run);
}

/*
 * The handover gives the successor all flows, also half-open ones, so that it
 * adopts no flow from its packets.
 */
static void agents_handed_over(case_run_t *run)
{
	cell_t *c = &run->cell;
	uint64_t adopted = 0;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, FEED_CHUNKS);
	cell_run(c, 500);
	for (unsigned i = 0; i < SPOT_TARGETS; i++) {
		cell_request(c, APP_LOG);
		csim_run(c->sim, 10);
		csim_hand_over(c->sim, i);
		cell_run(c, 300);
		adopted += agent_counters(csim_agent(c->sim, i))
				   ->values[COUNTER_FLOWS_ADOPTED];
	}
	case_expect(run, adopted == 0, "flows adopted from their packets",
		    adopted);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

/*
 * Each SYN and its copy go through two balancers that rank the targets
 * differently, so that two backend servers answer. Only one of the two servers
 * may get the payload of the flow.
 */
static void one_syn_two_ways(case_run_t *run)
{
	cell_t *c = &run->cell;
	unsigned ntwice = 0;
	char *text;

	case_begin(run, &(csim_options_t){ 0 });
	c->config.version++;
	c->config.reweighted = 3;
	text = cell_config_text(&c->config);
	csim_configure(c->sim, NODE_BALANCER, 1, text);
	g_free(text);
	c->copy_opens = true;
	for (unsigned i = 0; i < REQUESTS; i++) {
		cell_request(c, i % 2 ? APP_LOG : APP_GET);
		cell_run(c, 20);
	}
	cell_run(c, 2000);
	for (size_t i = 0; i < csim_request_count(c->sim); i++) {
		uint64_t mask = cell_trace(c, i)->server_mask;

		ntwice += (mask & (mask - 1)) != 0;
	}
	case_expect(run, ntwice > 0, "flows half open at two servers", ntwice);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

/* Answers to many requests arrive late, duplicated and out of order. */
static void crossed_answers(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	c->network_duplicates = true;
	csim_set_network(c->sim, 0, 0.3, 3, 80);
	for (unsigned i = 0; i < REQUESTS; i++)
		cell_request(c, i % 2 ? APP_LOG : APP_GET);
	case_end(run);
	case_expect(run, run->counts.refused == 0, "requests refused",
		    run->counts.refused);
}

/* clang-format off */
const case_def_t cases_change[] = {
	{ "balancers_replaced_in_turn", replaced_in_turn, MECHANISMS },
	{ "late_joiner_finds_flows", late_joiner_finds_flows,
	  MECHANISM_CHAIN },
	{ "target_added_under_feeds", target_added, MECHANISMS },
	{ "target_reweighted_under_feeds", target_reweighted, MECHANISMS },
	{ "target_drained_under_feeds", target_drained, MECHANISMS },
	{ "target_deleted_under_feeds", target_deleted, MECHANISM_LINGER },
	{ "nothing_new_at_drained_target", no_opens_at_drained,
	  MECHANISMS },
	{ "nothing_new_at_deleted_target", no_opens_at_deleted,
	  MECHANISMS },
	{ "agents_killed_and_restarted", agents_restarted, MECHANISM_TRIAL },
	{ "agents_stopped_as_planned", agents_handed_over,
	  MECHANISM_HANDOVER },
	{ "one_syn_two_ways", one_syn_two_ways, MECHANISM_SEQ_MATCH },
	{ "crossed_answers", crossed_answers, MECHANISMS },
};
/* clang-format on */
const size_t ncases_change = G_N_ELEMENTS(cases_change);
