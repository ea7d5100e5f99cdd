#include "cases.h"
#include "../src/refusal.h"

#define FEEDS		       16
#define FEED_CHUNKS	       60
#define LONG_FEED_CHUNKS       200
#define NOTIFY_MS	       10000 /* limit for the reset after a loss */
#define OUTAGE_MS	       4000  /* outage of a holder that flows survive */
#define PARTITION_MS	       20000
#define LOOKUP_TIMEOUT_MS      30000 /* limit of an unresolved lookup */
#define UNKNOWN_FLOW_PORT      60000
#define UNKNOWN_FLOW_REPEAT_MS 500 /* between repeats of a packet */
#define UNKNOWN_FLOW_FLAGS     (TCP_ACK | TCP_PSH)
#define MAX_RETRIES	       3
#define LOG_STEPS	       5 /* first steps of the matrix, all of a log */

/* Reset received for a flow that no agent holds. */
typedef struct unknown_flow {
	uint16_t port; /* of the caller */
	bool reset;
	bool has_reason; /* "outcome unknown" with a retry-after */
} unknown_flow_t;

static unsigned first_flow_holder(case_run_t *run)
{
	return cell_trace(&run->cell, 0)->holder;
}

static void inject_at_holder(case_run_t *run, const char *fault)
{
	run->cell.subject = 0;
	cell_inject_fault(&run->cell, matrix_find_fault(fault));
}

static void host_lost_is_told(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, LONG_FEED_CHUNKS);
	for (unsigned i = 0; i < 6; i++)
		cell_request(c, APP_LOG);
	cell_run(c, 400);
	inject_at_holder(run, "host_lost");
	case_end(run);
	case_expect(run, run->counts.lost > 0, "flows lost", run->counts.lost);
	case_expect(run, run->counts.max_notify_ms <= NOTIFY_MS,
		    "ms from the loss to the reset", run->counts.max_notify_ms);
}

/*
 * A restarted backend server has lost its feeds and sends no further chunk.
 * The callers of feeds send nothing either, so that no packet shows the loss.
 */
static void lost_track_is_told(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, LONG_FEED_CHUNKS);
	cell_run(&run->cell, 1000);
	inject_at_holder(run, "server_restarted");
	case_end(run);
	case_expect(run, run->counts.lost > 0, "flows lost", run->counts.lost);
}

static void unreachable_holder_is_kept(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, FEED_CHUNKS);
	for (unsigned i = 0; i < 4; i++)
		cell_request(c, APP_LOG);
	cell_run(c, 50);
	c->victim = first_flow_holder(run);
	matrix_find_fault("host_cut")->begin(c);
	cell_run(c, OUTAGE_MS);
	csim_heal_cuts(c->sim);
	case_end(run);
}

static void on_packet(void *ctx, const packet_t *p)
{
	unknown_flow_t *s = ctx;
	refusal_t reason;
	unsigned retry_after_s;

	if (p->key.dport != s->port || !(p->flags & TCP_RST))
		return;
	s->reset = true;
	s->has_reason = refusal_parse((const char *)p->payload, p->payload_len,
				      &reason, &retry_after_s) == 0 &&
			reason == REFUSAL_OUTCOME_UNKNOWN && retry_after_s > 0;
}

static void send_unknown_flow(cell_t *c, const unknown_flow_t *s)
{
	const flow_key_t *first_key = &csim_result(c->sim, 0)->key;
	static const uint8_t data[] = "late";
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = *first_key,
		       .seq = 7000,
		       .ack = 9000,
		       .flags = UNKNOWN_FLOW_FLAGS,
		       .window = 1000,
		       .payload = data,
		       .payload_len = sizeof(data) };

	p.key.sport = s->port;
	csim_inject_packet(c->sim, UINT32_MAX, buf, packet_build(&p, buf));
}

/*
 * A flow that no agent holds is reset, first with all members reachable, then
 * with one member down, whose answer to the lookup is missing.
 */
static void flow_of_nobody_is_reset(case_run_t *run)
{
	cell_t *c = &run->cell;
	unknown_flow_t all_reachable = { .port = UNKNOWN_FLOW_PORT };
	unknown_flow_t one_down = { .port = UNKNOWN_FLOW_PORT + 1 };

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, 1, FEED_CHUNKS);
	cell_run(c, 500);
	csim_set_caller_tap(c->sim, on_packet, &all_reachable);
	send_unknown_flow(c, &all_reachable);
	cell_run(c, 2000);
	case_expect(run, all_reachable.reset, "no reset of an unknown flow", 0);
	case_expect(run, all_reachable.has_reason, "no reason in the reset", 0);
	csim_kill(c->sim, NODE_AGENT, (first_flow_holder(run) + 1) % 4);
	cell_run(c, 1000);
	csim_set_caller_tap(c->sim, on_packet, &one_down);
	for (unsigned t = 0; t < LOOKUP_TIMEOUT_MS && !one_down.reset;
	     t += UNKNOWN_FLOW_REPEAT_MS) {
		send_unknown_flow(c, &one_down);
		cell_run(c, UNKNOWN_FLOW_REPEAT_MS);
	}
	case_expect(run, one_down.reset,
		    "no reset within ms with a member down", LOOKUP_TIMEOUT_MS);
	case_end(run);
}

/* Runs until the subject ends or LOOKUP_TIMEOUT_MS is over. */
static void wait_for_subject(cell_t *c)
{
	for (unsigned t = 0; t < LOOKUP_TIMEOUT_MS; t += 50) {
		if (csim_result(c->sim, c->subject)->ended)
			return;
		cell_run(c, 50);
	}
}

/* Repeats a log with the same id while it is refused with "not run". */
static void retry_log(case_run_t *run, const app_request_t *app)
{
	cell_t *c = &run->cell;
	const csim_result_t *r = csim_result(c->sim, c->subject);

	for (int i = 0; i < MAX_RETRIES && r->ended; i++) {
		if (r->outcome != OUTCOME_NOT_RUN)
			return;
		cell_run(c, r->retry_after_s * 1000ULL);
		c->subject =
			csim_begin_request(c->sim, "spot", "check-in", app);
		wait_for_subject(c);
		r = csim_result(c->sim, c->subject);
	}
}

static void retry_after_fault(case_run_t *run, const fault_t *fault,
			      const step_t *step)
{
	cell_t *c = &run->cell;
	app_request_t app;

	case_begin(run, &(csim_options_t){ 0 });
	if (!step->reached)
		cell_inject_fault(c, fault);
	c->subject = cell_request(c, APP_LOG);
	app = csim_result(c->sim, c->subject)->app;
	for (unsigned t = 0; step->reached && !step->reached(c) && t < 5000;
	     t++)
		csim_run(c->sim, 1);
	if (step->reached)
		cell_inject_fault(c, fault);
	wait_for_subject(c);
	retry_log(run, &app);
	case_expect(run, csim_count_log(c->sim, app.id) <= 1,
		    "times that the log was recorded",
		    csim_count_log(c->sim, app.id));
	case_end(run);
}

/* Appends the fault and the step to the failure. */
static void append_cell_name(case_run_t *run, const fault_t *f, const step_t *s)
{
	g_strlcat(run->failure, ", ", CASE_FAILURE_SIZE);
	g_strlcat(run->failure, f->name, CASE_FAILURE_SIZE);
	g_strlcat(run->failure, " at ", CASE_FAILURE_SIZE);
	g_strlcat(run->failure, s->name, CASE_FAILURE_SIZE);
}

static void log_retried_after_each_loss(case_run_t *run)
{
	static const char *const losses[] = {
		"host_lost",	   "server_lost",     "server_restarted",
		"agent_restarted", "balancer_killed", "answers_cut"
	};

	for (size_t n = 0; n < G_N_ELEMENTS(losses) * LOG_STEPS; n++) {
		const fault_t *f = matrix_find_fault(losses[n / LOG_STEPS]);
		const step_t *s = &matrix_steps[n % LOG_STEPS];

		retry_after_fault(run, f, s);
		if (!run->failure[0])
			continue;
		append_cell_name(run, f, s);
		return;
	}
}

/*
 * Packets arrive on both sides of a partition. No flow may be reset as unknown
 * as long as some members cannot be asked.
 */
static void partition_on_all_sides(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_begin_feeds(run, FEEDS, LONG_FEED_CHUNKS);
	for (unsigned i = 0; i < 4; i++)
		cell_request(c, APP_LOG);
	cell_run(c, 50);
	c->victim = 0;
	matrix_find_fault("partition")->begin(c);
	cell_run(c, 1000);
	for (unsigned i = 0; i < 6; i++)
		cell_request(c, APP_LOG);
	cell_run(c, PARTITION_MS);
	csim_heal_cuts(c->sim);
	case_end(run);
}

/*
 * The balancers' configuration has agents of the service "maps" in place of
 * two targets of "spot". These agents must drop the packets.
 */
static void wrong_service_is_dropped(case_run_t *run)
{
	cell_t *c = &run->cell;
	GString *text;
	uint64_t dropped = 0;
	char *original;

	case_begin(run, &(csim_options_t){ 0 });
	c->config.version++;
	original = cell_config_text(&c->config);
	text = g_string_new(original);
	g_string_replace(text, "127.0.22.", "127.0.23.", 0);
	g_string_replace(text, "127.0.21.1:", "127.0.22.1:", 0);
	g_string_replace(text, "127.0.21.2:", "127.0.22.2:", 0);
	for (unsigned i = 0; i < 3; i++)
		csim_configure(c->sim, NODE_BALANCER, i, text->str);
	for (unsigned i = 0; i < 24; i++) {
		cell_request(c, i % 2 ? APP_LOG : APP_GET);
		cell_run(c, 50);
	}
	for (unsigned i = 4; i < 6; i++)
		dropped += agent_counters(csim_agent(c->sim, i))
				   ->values[COUNTER_DROP_WRONG_SERVICE];
	case_expect(run, dropped > 0, "packets dropped for a wrong service",
		    dropped);
	case_end(run);
	g_string_free(text, TRUE);
	g_free(original);
}

/* clang-format off */
const case_def_t cases_loss[] = {
	{ "host_lost_is_told", host_lost_is_told, MECHANISM_WITNESS },
	{ "lost_track_is_told", lost_track_is_told, MECHANISMS },
	{ "unreachable_holder_is_kept", unreachable_holder_is_kept, MECHANISMS },
	{ "flow_of_nobody_is_reset", flow_of_nobody_is_reset, MECHANISMS },
	{ "log_retried_after_each_loss", log_retried_after_each_loss,
	  MECHANISMS },
	{ "partition_on_all_sides", partition_on_all_sides, MECHANISMS },
	{ "wrong_service_is_dropped", wrong_service_is_dropped,
	  MECHANISM_SERVICE_CHECK },
};
/* clang-format on */
const size_t ncases_loss = G_N_ELEMENTS(cases_loss);
