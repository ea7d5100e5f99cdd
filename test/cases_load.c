#include "cases.h"

#define SPOT_TARGETS	    4
#define OVERLOAD_FEEDS	    120	 /* three times what the targets hold */
#define PROMPT_MS	    1000 /* limit for an answer or a refusal */
#define REQUEST_INTERVAL_MS 40	 /* 25 requests per second */
#define LOAD_DURATION_MS    25000
#define MEASURED_MS	    10000 /* last part of the load */
#define SLOW_SERVICE_MS	    500 /* 10 requests/s for the 5 slots of a target */
#define REMAINING_RATE	    20	/* requests/s that two targets serve */
#define MIN_SERVED_PERCENT  80	/* of REMAINING_RATE */
#define MAX_RETRIES	    3	/* of a caller, per request */
#define RETRY_PERCENT	    10	/* of a balancer's opens */
#define RETRY_BURST	    50	/* saved up by a balancer at most */
#define BALANCERS	    3
#define RAW_FIRST_PORT	    50000 /* source port of the first raw open */
#define RAW_OPENS	    12	  /* SYNs injected without a caller */
#define BALANCE_FLOWS	    200
#define BALANCE_MAX_PERCENT 108 /* of the mean, averaged over all runs */
#define BALANCE_RUNS	    5

static char *config_with_limit(case_run_t *run, const char *connections)
{
	cell_config_t cfg = { .version = 1, .spot_targets = SPOT_TARGETS };
	char *original = cell_config_text(&cfg);
	GString *text = g_string_new(original);

	(void)run;
	g_string_replace(text, "connections = 2000", connections, 0);
	g_free(original);
	return g_string_free(text, FALSE);
}

/*
 * Opens beyond the capacity are refused at once, with a time after which to
 * retry. Flows that were accepted go on.
 */
static void overload_is_refused_at_once(case_run_t *run)
{
	cell_t *c = &run->cell;
	char *text = config_with_limit(run, "connections = 10");
	uint64_t refused = 0, slow = 0, no_retry_after = 0;

	case_begin(run, &(csim_options_t){ .config_text = text });
	for (unsigned i = 0; i < OVERLOAD_FEEDS; i++) {
		case_begin_feeds(run, 1, 60);
		cell_run(c, 20);
	}
	cell_run(c, PROMPT_MS);
	for (size_t i = 0; i < csim_request_count(c->sim); i++) {
		const csim_result_t *r = csim_result(c->sim, i);

		if (!r->ended) {
			slow += !r->request || !r->request->first_byte_ms;
			continue;
		}
		refused += r->outcome == OUTCOME_NOT_RUN;
		no_retry_after += r->retry_after_s == 0;
		slow += r->ended_ms - r->started_ms > PROMPT_MS;
	}
	case_expect(run, refused >= OVERLOAD_FEEDS / 2, "requests refused",
		    refused);
	case_expect(run, slow == 0,
		    "requests neither answered nor refused in time", slow);
	case_expect(run, no_retry_after == 0, "refusals without retry-after",
		    no_retry_after);
	case_end(run);
	g_free(text);
}

/* Attempts that came before each request, by the number of the request. */
typedef struct caller_retries {
	bool retries;
	unsigned attempts[CELL_REQUESTS_MAX];
	uint64_t again_ms[CELL_REQUESTS_MAX];
} caller_retries_t;

/*
 * Repeats each refused request once its retry-after is over, MAX_RETRIES times
 * at most.
 */
static void retry_refused(cell_t *c, caller_retries_t *caller_retries)
{
	size_t n = csim_request_count(c->sim);

	for (size_t i = 0; i < n && n < CELL_REQUESTS_MAX; i++) {
		const csim_result_t *r = csim_result(c->sim, i);
		size_t again;

		if (!r->ended || r->outcome != OUTCOME_NOT_RUN ||
		    caller_retries->attempts[i] >= MAX_RETRIES ||
		    r->ended_ms + r->retry_after_s * 1000ULL > csim_now(c->sim))
			continue;
		again = cell_request(c, APP_GET);
		caller_retries->attempts[again] =
			caller_retries->attempts[i] + 1;
		caller_retries->attempts[i] = MAX_RETRIES;
	}
}

static uint64_t sum_balancer_counter(cell_t *c, counter_t counter)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < BALANCERS; i++)
		sum += balancer_counters(csim_balancer(c->sim, i))
			       ->values[counter];
	return sum;
}

/*
 * Half of the targets fail under load. The others must keep serving close to
 * their capacity, although callers may repeat what was refused.
 */
static void run_zone_loss(case_run_t *run, bool retries)
{
	cell_t *c = &run->cell;
	char *text = config_with_limit(run, "connections = 15");
	caller_retries_t *caller_retries = g_new0(caller_retries_t, 1);
	uint64_t served = 0, max_retried, retried;

	case_begin(run, &(csim_options_t){ .config_text = text,
					   .service_ms = SLOW_SERVICE_MS });
	for (unsigned t = 0; t < LOAD_DURATION_MS; t += REQUEST_INTERVAL_MS) {
		if (t == LOAD_DURATION_MS / 5 / REQUEST_INTERVAL_MS *
				 REQUEST_INTERVAL_MS)
			for (unsigned i = 0; i < 2; i++) {
				c->victim = i;
				c->lost_agents |= 1ULL << i;
				c->lost_at_ms = csim_now(c->sim);
				matrix_find_fault("host_lost")->begin(c);
			}
		cell_request(c, APP_GET);
		cell_run(c, REQUEST_INTERVAL_MS);
		if (retries)
			retry_refused(c, caller_retries);
	}
	for (size_t i = 0; i < csim_request_count(c->sim); i++) {
		const csim_result_t *r = csim_result(c->sim, i);

		served += r->ended && r->outcome == OUTCOME_DONE &&
			  r->ended_ms + MEASURED_MS > csim_now(c->sim);
	}
	case_expect(run,
		    served >= REMAINING_RATE * (MEASURED_MS / 1000) *
				      MIN_SERVED_PERCENT / 100,
		    "requests served in the last 10 s", served);
	retried = sum_balancer_counter(c, COUNTER_OPENS_RETRIED);
	max_retried =
		sum_balancer_counter(c, COUNTER_OPENS) * RETRY_PERCENT / 100 +
		RETRY_BURST * BALANCERS;
	case_expect(run, retried <= max_retried,
		    "opens retried by the balancers", retried);
	case_end(run);
	g_free(caller_retries);
	g_free(text);
}

static void zone_lost_with_retries(case_run_t *run)
{
	run_zone_loss(run, true);
}

static void zone_lost_without_retries(case_run_t *run)
{
	run_zone_loss(run, false);
}

/*
 * Messages of agents do not reach the balancers, so that every open seems
 * unanswered. The retry budget limits how many are offered again.
 */
static void retries_are_bounded(case_run_t *run)
{
	cell_t *c = &run->cell;
	uint64_t retried, max_retried;

	case_begin(run, &(csim_options_t){ .service_ms = 10 });
	for (c->victim = 0; c->victim < SPOT_TARGETS; c->victim++)
		matrix_find_fault("way_from_agent_cut")->begin(c);
	for (unsigned i = 0; i < 600; i++) {
		case_begin_feeds(run, 1, 1);
		cell_run(c, 20);
	}
	retried = sum_balancer_counter(c, COUNTER_OPENS_RETRIED);
	max_retried =
		sum_balancer_counter(c, COUNTER_OPENS) * RETRY_PERCENT / 100;
	case_expect(run, retried <= max_retried + RETRY_BURST,
		    "opens retried by the balancers", retried);
	csim_heal_cuts(c->sim);
	case_end(run);
}

static void on_syn_ack(void *ctx, const packet_t *p)
{
	uint64_t *seen = ctx;
	uint8_t syn_ack = TCP_SYN | TCP_ACK;

	if (p->key.dport >= RAW_FIRST_PORT && (p->flags & syn_ack) == syn_ack)
		*seen |= 1ULL << (p->key.dport - RAW_FIRST_PORT);
}

/*
 * Injects SYNs that no caller repeats right after the loss of a host. The
 * balancers must offer the unanswered ones to another target.
 */
static void unanswered_open_goes_elsewhere(case_run_t *run)
{
	cell_t *c = &run->cell;
	uint64_t seen = 0;

	case_begin(run, &(csim_options_t){ .service_ms = 5 });
	for (unsigned i = 0; i < 200; i++) {
		case_begin_feeds(run, 1, 1);
		cell_run(c, 10);
	}
	cell_run(c, 1000);
	csim_kill(c->sim, NODE_SERVER, 0);
	csim_kill(c->sim, NODE_AGENT, 0);
	csim_set_caller_tap(c->sim, on_syn_ack, &seen);
	for (unsigned i = 0; i < RAW_OPENS; i++) {
		packet_t p = { .key = csim_result(c->sim, 0)->key,
			       .seq = 1000 + i,
			       .flags = TCP_SYN,
			       .window = 1000 };
		uint8_t buf[PACKET_MAX];

		p.key.sport = (uint16_t)(RAW_FIRST_PORT + i);
		csim_inject_packet(c->sim, i % BALANCERS, buf,
				   packet_build(&p, buf));
	}
	cell_run(c, 1500);
	case_expect(run, seen == (1ULL << RAW_OPENS) - 1,
		    "bit mask of the opens answered", seen);
	case_end(run);
}

/* Returns the work of the most loaded target in percent of the mean. */
static size_t measure_imbalance(case_run_t *run)
{
	cell_t *c = &run->cell;
	size_t max_work = 0, total_work = 0;

	case_begin(run, &(csim_options_t){ 0 });
	for (unsigned i = 0; i < BALANCE_FLOWS; i++) {
		case_begin_feeds(run, 1, 40);
		cell_run(c, 20);
	}
	for (unsigned i = 0; i < SPOT_TARGETS; i++) {
		size_t n = agent_work(csim_agent(c->sim, i));

		total_work += n;
		max_work = n > max_work ? n : max_work;
	}
	case_end(run);
	return max_work * SPOT_TARGETS * 100 / total_work;
}

static void opens_are_hunted(case_run_t *run)
{
	size_t sum = 0;

	for (unsigned i = 0; i < BALANCE_RUNS; i++, run->seed++)
		sum += measure_imbalance(run);
	case_expect(run, sum <= BALANCE_RUNS * BALANCE_MAX_PERCENT,
		    "sum of the runs' work in percent of the mean", sum);
}

/* clang-format off */
const case_def_t cases_load[] = {
	{ "overload_is_refused_at_once", overload_is_refused_at_once,
	  MECHANISM_REFUSAL },
	{ "zone_lost_with_retries", zone_lost_with_retries, MECHANISMS },
	{ "zone_lost_without_retries", zone_lost_without_retries,
	  MECHANISMS },
	{ "retries_are_bounded", retries_are_bounded,
	  MECHANISM_RETRY_BUDGET },
	{ "unanswered_open_goes_elsewhere", unanswered_open_goes_elsewhere,
	  MECHANISM_OPEN_RETRY },
	{ "opens_are_hunted", opens_are_hunted, MECHANISM_HUNT },
};
/* clang-format on */
const size_t ncases_load = G_N_ELEMENTS(cases_load);
