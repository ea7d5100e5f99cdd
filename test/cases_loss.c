#include "cases.h"
#include "../src/refusal.h"

#define FEEDS	       16
#define PARTS	       60
#define LONG_PARTS     200
#define TOLD_MS	       10000 /* callers of a lost host know by then */
#define MOMENT_MS      4000  /* a holder out of reach for so long is kept */
#define PARTITION_MS   20000
#define SILENCE_MS     30000 /* bound of a lookup that cannot be finished */
#define NOBODY_PORT    60000
#define NOBODY_AGAIN   500 /* ms between a caller's repeats */
#define STRANGER_FLAGS (TCP_ACK | TCP_PSH)
#define RETRIES	       3
#define RETRIED_STEPS  5 /* those of a log */

/* What a caller was told of a flow that it did not open here. */
typedef struct stranger {
	uint16_t port;
	bool reset;
	bool worded; /* with "outcome unknown" and a time to come back */
} stranger_t;

static unsigned holder_of_first(case_run_t *run)
{
	return cell_seen(&run->cell, 0)->holder;
}

static void lose_holder(case_run_t *run, const char *fault)
{
	run->cell.subject = 0;
	cell_cause(&run->cell, matrix_fault(fault));
}

static void host_lost_is_told(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, LONG_PARTS);
	for (unsigned i = 0; i < 6; i++)
		cell_request(c, APP_LOG);
	cell_run(c, 400);
	lose_holder(run, "host_lost");
	case_end(run);
	expect(run, run->counts.lost > 0, "flows lost", run->counts.lost);
	expect(run, run->counts.told_ms <= TOLD_MS, "told after ms",
	       run->counts.told_ms);
}

/* Feeds whose backend server has lost track of them, silent both ways. */
static void lost_track_is_told(case_run_t *run)
{
	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, LONG_PARTS);
	cell_run(&run->cell, 1000);
	lose_holder(run, "server_restarted");
	case_end(run);
	expect(run, run->counts.lost > 0, "flows lost", run->counts.lost);
}

static void unreachable_is_kept(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, PARTS);
	for (unsigned i = 0; i < 4; i++)
		cell_request(c, APP_LOG);
	cell_run(c, 50);
	c->victim = holder_of_first(run);
	matrix_fault("host_cut")->begin(c);
	cell_run(c, MOMENT_MS);
	csim_heal_cuts(c->sim);
	case_end(run);
}

static void see_stranger(void *ctx, const packet_t *p)
{
	stranger_t *s = ctx;
	refusal_t word;
	unsigned after;

	if (p->key.dport != s->port || !(p->flags & TCP_RST))
		return;
	s->reset = true;
	s->worded = refusal_parse((const char *)p->payload, p->payload_len,
				  &word, &after) == 0 &&
		    word == REFUSAL_OUTCOME_UNKNOWN && after > 0;
}

static void send_stranger(cell_t *c, const stranger_t *s)
{
	const flow_key_t *known = &csim_result(c->sim, 0)->key;
	static const uint8_t data[] = "late";
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = *known,
		       .seq = 7000,
		       .ack = 9000,
		       .flags = STRANGER_FLAGS,
		       .window = 1000,
		       .payload = data,
		       .payload_len = sizeof(data) };

	p.key.sport = s->port;
	csim_inject_packet(c->sim, UINT32_MAX, buf, packet_build(&p, buf));
}

/* A flow that nobody holds, first with all members there, then without one. */
static void flow_of_nobody_is_reset(case_run_t *run)
{
	cell_t *c = &run->cell;
	stranger_t all = { .port = NOBODY_PORT };
	stranger_t few = { .port = NOBODY_PORT + 1 };

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, 1, PARTS);
	cell_run(c, 500);
	csim_set_caller_tap(c->sim, see_stranger, &all);
	send_stranger(c, &all);
	cell_run(c, 2000);
	expect(run, all.reset, "no reset by nobody", 0);
	expect(run, all.worded, "no word in the reset", 0);
	csim_kill(c->sim, NODE_AGENT, (holder_of_first(run) + 1) % 4);
	cell_run(c, 1000);
	csim_set_caller_tap(c->sim, see_stranger, &few);
	for (unsigned t = 0; t < SILENCE_MS && !few.reset; t += NOBODY_AGAIN) {
		send_stranger(c, &few);
		cell_run(c, NOBODY_AGAIN);
	}
	expect(run, few.reset, "silence without bound", SILENCE_MS);
	case_end(run);
}

/* Runs until the subject is over, and lets faults end meanwhile. */
static void settle(cell_t *c)
{
	for (unsigned t = 0; t < SILENCE_MS; t += 50) {
		if (csim_result(c->sim, c->subject)->ended)
			return;
		cell_run(c, 50);
	}
}

/* Repeats a log under its id while it is told "not run". */
static void retry_log(case_run_t *run, const app_request_t *app)
{
	cell_t *c = &run->cell;
	const csim_result_t *r = csim_result(c->sim, c->subject);

	for (int i = 0; i < RETRIES && r->ended; i++) {
		if (r->outcome != OUTCOME_NOT_RUN)
			return;
		cell_run(c, r->retry_after_s * 1000ULL);
		c->subject =
			csim_begin_request(c->sim, "spot", "check-in", app);
		settle(c);
		r = csim_result(c->sim, c->subject);
	}
}

static void lose_and_retry(case_run_t *run, const fault_t *fault,
			   const step_t *step)
{
	cell_t *c = &run->cell;
	app_request_t app;

	case_begin(run, &(csim_options_t){ 0 });
	if (!step->reached)
		cell_cause(c, fault);
	c->subject = cell_request(c, APP_LOG);
	app = csim_result(c->sim, c->subject)->app;
	for (unsigned t = 0; step->reached && !step->reached(c) && t < 5000;
	     t++)
		csim_run(c->sim, 1);
	if (step->reached)
		cell_cause(c, fault);
	settle(c);
	retry_log(run, &app);
	expect(run, csim_count_log(c->sim, app.id) <= 1, "recorded",
	       csim_count_log(c->sim, app.id));
	case_end(run);
}

/* Says which loss and step the failure was seen at. */
static void name_cell(case_run_t *run, const fault_t *f, const step_t *s)
{
	g_strlcat(run->why, ", ", CASE_WHY);
	g_strlcat(run->why, f->name, CASE_WHY);
	g_strlcat(run->why, " at ", CASE_WHY);
	g_strlcat(run->why, s->name, CASE_WHY);
}

static void log_retried_after_each_loss(case_run_t *run)
{
	static const char *const losses[] = {
		"host_lost",	   "server_lost",     "server_restarted",
		"agent_restarted", "balancer_killed", "answers_cut"
	};

	for (size_t n = 0; n < G_N_ELEMENTS(losses) * RETRIED_STEPS; n++) {
		const fault_t *f = matrix_fault(losses[n / RETRIED_STEPS]);
		const step_t *s = &matrix_steps[n % RETRIED_STEPS];

		lose_and_retry(run, f, s);
		if (!run->why[0])
			continue;
		name_cell(run, f, s);
		return;
	}
}

/* Packets arrive on both sides; nobody is told that its flow is unknown. */
static void partition_on_all_sides(case_run_t *run)
{
	cell_t *c = &run->cell;

	case_begin(run, &(csim_options_t){ 0 });
	case_feeds(run, FEEDS, LONG_PARTS);
	for (unsigned i = 0; i < 4; i++)
		cell_request(c, APP_LOG);
	cell_run(c, 50);
	c->victim = 0;
	matrix_fault("partition")->begin(c);
	cell_run(c, 1000);
	for (unsigned i = 0; i < 6; i++)
		cell_request(c, APP_LOG);
	cell_run(c, PARTITION_MS);
	csim_heal_cuts(c->sim);
	case_end(run);
}

/* A balancer's document has the other service's agent in a target's place. */
static void wrong_service_is_dropped(case_run_t *run)
{
	cell_t *c = &run->cell;
	GString *text;
	uint64_t dropped = 0;
	char *plain;

	case_begin(run, &(csim_options_t){ 0 });
	c->document.version++;
	plain = cell_text(&c->document);
	text = g_string_new(plain);
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
	expect(run, dropped > 0, "packets dropped and counted", dropped);
	case_end(run);
	g_string_free(text, TRUE);
	g_free(plain);
}

/* clang-format off */
const named_case_t cases_loss[] = {
	{ "host_lost_is_told", host_lost_is_told, MECHANISM_WITNESS },
	{ "lost_track_is_told", lost_track_is_told, MECHANISMS },
	{ "unreachable_holder_is_kept", unreachable_is_kept, MECHANISMS },
	{ "flow_of_nobody_is_reset", flow_of_nobody_is_reset, MECHANISMS },
	{ "log_retried_after_each_loss", log_retried_after_each_loss,
	  MECHANISMS },
	{ "partition_on_all_sides", partition_on_all_sides, MECHANISMS },
	{ "wrong_service_is_dropped", wrong_service_is_dropped,
	  MECHANISM_SERVICE_CHECK },
};
/* clang-format on */
const size_t ncases_loss = G_N_ELEMENTS(cases_loss);
