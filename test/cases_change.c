#include "cases.h"

#define FEEDS	      12
#define PARTS	      60 /* of a feed, 200 ms apart */
#define LONG_PARTS    250
#define SPOTS	      4
#define MID_UPLOAD_MS 16   /* after the SYN */
#define LEAVING_MS    5000 /* no open at a leaving target after this */
#define FROZEN_MS     60000
#define DELETED_MS    20000 /* longer than a silent member is remembered */
#define LATE_REQUESTS 40

static void replaced_in_turn(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, PARTS);
	cell_run(&run->cell, 1000);
	for (unsigned i = 0; i < 3; i++)
		cell_request(&run->cell, APP_LOG);
	case_replace_balancers(run);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

/* Balancers that hold no hint meet flows that other documents placed. */
static void late_joiner_finds_flows(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, PARTS);
	cell_run(c, 1000);
	c->document.spots++;
	case_configure(run);
	cell_run(c, 500);
	c->document.reweighted = 5;
	case_configure(run);
	cell_run(c, 500);
	c->document.draining = 2;
	case_configure(run);
	case_replace_balancers(run);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

/* A change of one target that holds feeds, then balancers without hints. */
static void change_holder(case_run_t *run, unsigned *field, unsigned value)
{
	case_feeds(run, FEEDS, PARTS);
	cell_run(&run->cell, 1000);
	*field = value;
	case_configure(run);
	case_replace_balancers(run);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

static void target_added(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	change_holder(run, &run->cell.document.spots, SPOTS + 1);
}

static void target_reweighted(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	change_holder(run, &run->cell.document.reweighted, 3);
}

static void target_drained(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	change_holder(run, &run->cell.document.draining, 3);
}

/* Deleted outright, and flows met by new balancers long afterwards. */
static void target_deleted(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, 2 * FEEDS, LONG_PARTS);
	cell_run(c, 1000);
	c->document.deleted = 3;
	case_configure(run);
	cell_run(c, DELETED_MS);
	case_replace_balancers(run);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

/* A balancer frozen with the old view wakes up and is the only one used. */
static void frozen_balancer(case_run_t *run, bool deleted)
{
	cell_t *c = &run->cell;
	uint64_t changed;

	case_begin(run, &(csim_options_t){ 0 });
	csim_freeze(c->sim, NODE_BALANCER, 0);
	csim_set_in_fabric(c->sim, 0, false);
	c->document.draining = deleted ? 0 : 1;
	c->document.deleted = deleted ? 1 : 0;
	c->document.version++;
	for (unsigned i = 1; i < 3; i++) {
		char *text = cell_text(&c->document);

		csim_configure(c->sim, NODE_BALANCER, i, text);
		for (unsigned j = 0; j < csim_agent_count(c->sim); j++)
			csim_configure(c->sim, NODE_AGENT, j, text);
		g_free(text);
	}
	changed = csim_now(c->sim);
	cell_run(c, FROZEN_MS);
	for (unsigned i = 0; i < 3; i++)
		csim_set_in_fabric(c->sim, i, i == 0);
	csim_thaw(c->sim, NODE_BALANCER, 0);
	for (unsigned i = 0; i < LATE_REQUESTS; i++) {
		cell_request(c, APP_LOG);
		cell_run(c, 50);
	}
	expect(run, c->last_open_ms[0] <= changed + LEAVING_MS,
	       "opens at the leaving target", c->opens_at[0]);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

static void nothing_new_at_drained(case_run_t *run)
{
	frozen_balancer(run, false);
}

static void nothing_new_at_deleted(case_run_t *run)
{
	frozen_balancer(run, true);
}

static void agent_restarted(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, PARTS);
	cell_run(c, 500);
	for (unsigned i = 0; i < SPOTS; i++) {
		for (unsigned j = 0; j < SPOTS; j++)
			cell_request(c, APP_LOG);
		csim_run(c->sim, MID_UPLOAD_MS);
		csim_kill(c->sim, NODE_AGENT, i);
		cell_run(c, 300);
		csim_restart(c->sim, NODE_AGENT, i);
		cell_run(c, 300);
	}
	case_end(run);
}

/* The successor knows each flow, half-open ones too, and learns none anew. */
static void agent_stopped_as_planned(case_run_t *run)
{
	cell_t *c = &run->cell;
	uint64_t adopted = 0;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, PARTS);
	cell_run(c, 500);
	for (unsigned i = 0; i < SPOTS; i++) {
		cell_request(c, APP_LOG);
		csim_run(c->sim, 10);
		csim_hand_over(c->sim, i);
		cell_run(c, 300);
		adopted += agent_counters(csim_agent(c->sim, i))
				   ->values[COUNTER_FLOWS_ADOPTED];
	}
	expect(run, adopted == 0, "flows learned anew", adopted);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

/* Each SYN goes through two balancers that rank differently. */
static void one_syn_two_ways(case_run_t *run)
{
	cell_t *c = &run->cell;
	unsigned twice = 0;
	char *text;

	case_begin(run, &(csim_options_t){ 0 });
	c->document.version++;
	c->document.reweighted = 3;
	text = cell_text(&c->document);
	csim_configure(c->sim, NODE_BALANCER, 1, text);
	g_free(text);
	c->copy_opens = true;
	for (unsigned i = 0; i < LATE_REQUESTS; i++) {
		cell_request(c, i % 2 ? APP_LOG : APP_GET);
		cell_run(c, 20);
	}
	cell_run(c, 2000);
	for (size_t i = 0; i < csim_request_count(c->sim); i++) {
		uint64_t at = cell_seen(c, i)->servers;

		twice += (at & (at - 1)) != 0;
	}
	expect(run, twice > 0, "flows that were half open twice", twice);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

/* Late, doubled and crossed answers of many callers at once. */
static void crossed_answers(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	c->doubling = true;
	csim_set_network(c->sim, 0, 0.3, 3, 80);
	for (unsigned i = 0; i < LATE_REQUESTS; i++)
		cell_request(c, i % 2 ? APP_LOG : APP_GET);
	case_end(run);
	expect(run, run->counts.refused == 0, "refused", run->counts.refused);
}

/* clang-format off */
const named_case_t cases_change[] = {
	{ "balancers_replaced_in_turn", replaced_in_turn, MECHANISMS },
	{ "late_joiner_finds_flows", late_joiner_finds_flows,
	  MECHANISM_CHAIN },
	{ "target_added_under_feeds", target_added, MECHANISMS },
	{ "target_reweighted_under_feeds", target_reweighted, MECHANISMS },
	{ "target_drained_under_feeds", target_drained, MECHANISMS },
	{ "target_deleted_under_feeds", target_deleted, MECHANISM_LINGER },
	{ "nothing_new_at_drained_target", nothing_new_at_drained,
	  MECHANISMS },
	{ "nothing_new_at_deleted_target", nothing_new_at_deleted,
	  MECHANISMS },
	{ "agents_killed_and_restarted", agent_restarted, MECHANISM_TRIAL },
	{ "agents_stopped_as_planned", agent_stopped_as_planned,
	  MECHANISM_HANDOVER },
	{ "one_syn_two_ways", one_syn_two_ways, MECHANISM_SEQ_MATCH },
	{ "crossed_answers", crossed_answers, MECHANISMS },
};
/* clang-format on */
const size_t ncases_change = G_N_ELEMENTS(cases_change);
