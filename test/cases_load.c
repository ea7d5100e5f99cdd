#include "cases.h"

#define SPOTS	       4
#define FLOODED	       120 /* feeds where about 40 are held */
#define AT_ONCE_MS     1000
#define RATE_EVERY_MS  40 /* a request each: 25 a second */
#define LOAD_MS	       25000
#define COUNTED_MS     10000 /* the end of the load is what counts */
#define SLOW_MS	       500   /* 5 slots: 10 requests a second and target */
#define ALIVE_RATE     20    /* requests a second that two targets serve */
#define GOOD_PERCENT   80
#define RETRIES	       3
#define RETRY_PERCENT  10 /* what the balancers may retry */
#define SAVED_RETRIES  50 /* and at most saved up, a balancer */
#define BALANCERS      3
#define FIRST_PORT     50000
#define RAW_OPENS      12
#define BALANCED_FLOWS 200
#define BALANCED_OVER  108 /* percent of the mean, over all runs */
#define BALANCED_RUNS  5

static char *small_targets(case_run_t *run, const char *connections)
{
	cell_document_t d = { .version = 1, .spots = SPOTS };
	char *plain = cell_text(&d);
	GString *text = g_string_new(plain);

	(void)run;
	g_string_replace(text, "connections = 2000", connections, 0);
	g_free(plain);
	return g_string_free(text, FALSE);
}

/* Refused at once, truly, with a time to come back; what is held goes on. */
static void overload_is_refused_at_once(case_run_t *run)
{
	cell_t *c = &run->cell;
	char *text = small_targets(run, "connections = 10");
	uint64_t refused = 0, slow = 0, timeless = 0;

	case_begin(run, &(csim_options_t){ .config_text = text });
	for (unsigned i = 0; i < FLOODED; i++) {
		case_feeds(run, 1, 60);
		cell_run(c, 20);
	}
	cell_run(c, AT_ONCE_MS);
	for (size_t i = 0; i < csim_request_count(c->sim); i++) {
		const csim_result_t *r = csim_result(c->sim, i);

		if (!r->ended) {
			slow += !r->request || !r->request->answered_ms;
			continue;
		}
		refused += r->outcome == OUTCOME_NOT_RUN;
		timeless += r->retry_after_s == 0;
		slow += r->ended_ms - r->started_ms > AT_ONCE_MS;
	}
	expect(run, refused >= FLOODED / 2, "refused", refused);
	expect(run, slow == 0, "neither served nor refused at once", slow);
	expect(run, timeless == 0, "without a time to come back", timeless);
	case_end(run);
	g_free(text);
}

typedef struct load {
	bool retries;
	unsigned tries[CELL_REQUESTS]; /* made for the request before */
	uint64_t again_ms[CELL_REQUESTS];
} load_t;

/* Callers come back when they were told to, a few times. */
static void come_back(cell_t *c, load_t *load)
{
	size_t n = csim_request_count(c->sim);

	for (size_t i = 0; i < n && n < CELL_REQUESTS; i++) {
		const csim_result_t *r = csim_result(c->sim, i);
		size_t again;

		if (!r->ended || r->outcome != OUTCOME_NOT_RUN ||
		    load->tries[i] >= RETRIES ||
		    r->ended_ms + r->retry_after_s * 1000ULL > csim_now(c->sim))
			continue;
		again = cell_request(c, APP_GET);
		load->tries[again] = load->tries[i] + 1;
		load->tries[i] = RETRIES;
	}
}

static uint64_t opens_of(cell_t *c, counter_t counter)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < BALANCERS; i++)
		sum += balancer_counters(csim_balancer(c->sim, i))
			       ->values[counter];
	return sum;
}

/* Half of the targets go; the others must go on serving what they can. */
static void lose_zone(case_run_t *run, bool retries)
{
	cell_t *c = &run->cell;
	char *text = small_targets(run, "connections = 15");
	load_t *load = g_new0(load_t, 1);
	uint64_t served = 0, bound, retried;

	case_begin(run, &(csim_options_t){ .config_text = text,
					   .service_ms = SLOW_MS });
	for (unsigned t = 0; t < LOAD_MS; t += RATE_EVERY_MS) {
		if (t == LOAD_MS / 5 / RATE_EVERY_MS * RATE_EVERY_MS)
			for (unsigned i = 0; i < 2; i++) {
				c->victim = i;
				c->lost |= 1ULL << i;
				c->lost_ms = csim_now(c->sim);
				matrix_fault("host_lost")->begin(c);
			}
		cell_request(c, APP_GET);
		cell_run(c, RATE_EVERY_MS);
		if (retries)
			come_back(c, load);
	}
	for (size_t i = 0; i < csim_request_count(c->sim); i++) {
		const csim_result_t *r = csim_result(c->sim, i);

		served += r->ended && r->outcome == OUTCOME_DONE &&
			  r->ended_ms + COUNTED_MS > csim_now(c->sim);
	}
	expect(run,
	       served >= ALIVE_RATE * (COUNTED_MS / 1000) * GOOD_PERCENT / 100,
	       "served at the end", served);
	retried = opens_of(c, COUNTER_OPENS_RETRIED);
	bound = opens_of(c, COUNTER_OPENS) * RETRY_PERCENT / 100 +
		SAVED_RETRIES * BALANCERS;
	expect(run, retried <= bound, "opens retried", retried);
	case_end(run);
	g_free(load);
	g_free(text);
}

static void zone_lost_with_retries(case_run_t *run)
{
	lose_zone(run, true);
}

static void zone_lost_without_retries(case_run_t *run)
{
	lose_zone(run, false);
}

/* No agent's word reaches a balancer: each open looks unanswered. */
static void retries_are_bounded(case_run_t *run)
{
	cell_t *c = &run->cell;
	uint64_t retried, bound;

	case_begin(run, &(csim_options_t){ .service_ms = 10 });
	for (c->victim = 0; c->victim < SPOTS; c->victim++)
		matrix_fault("way_from_agent_cut")->begin(c);
	for (unsigned i = 0; i < 600; i++) {
		case_feeds(run, 1, 1);
		cell_run(c, 20);
	}
	retried = opens_of(c, COUNTER_OPENS_RETRIED);
	bound = opens_of(c, COUNTER_OPENS) * RETRY_PERCENT / 100;
	expect(run, retried <= bound + SAVED_RETRIES, "opens retried", retried);
	csim_heal_cuts(c->sim);
	case_end(run);
}

static void see_syn_ack(void *ctx, const packet_t *p)
{
	uint64_t *seen = ctx;
	uint8_t both = TCP_SYN | TCP_ACK;

	if (p->key.dport >= FIRST_PORT && (p->flags & both) == both)
		*seen |= 1ULL << (p->key.dport - FIRST_PORT);
}

/* Single SYNs, not repeated by a caller, while a host has just been lost. */
static void unanswered_open_goes_elsewhere(case_run_t *run)
{
	cell_t *c = &run->cell;
	uint64_t seen = 0;

	case_begin(run, &(csim_options_t){ .service_ms = 5 });
	for (unsigned i = 0; i < 200; i++) {
		case_feeds(run, 1, 1);
		cell_run(c, 10);
	}
	cell_run(c, 1000);
	csim_kill(c->sim, NODE_SERVER, 0);
	csim_kill(c->sim, NODE_AGENT, 0);
	csim_set_caller_tap(c->sim, see_syn_ack, &seen);
	for (unsigned i = 0; i < RAW_OPENS; i++) {
		packet_t p = { .key = csim_result(c->sim, 0)->key,
			       .seq = 1000 + i,
			       .flags = TCP_SYN,
			       .window = 1000 };
		uint8_t buf[PACKET_MAX];

		p.key.sport = (uint16_t)(FIRST_PORT + i);
		csim_inject_packet(c->sim, i % BALANCERS, buf,
				   packet_build(&p, buf));
	}
	cell_run(c, 1500);
	expect(run, seen == (1ULL << RAW_OPENS) - 1, "opens answered, as bits",
	       seen);
	case_end(run);
}

/* Work of the fullest target in percent of the mean. */
static size_t fill_targets(case_run_t *run)
{
	cell_t *c = &run->cell;
	size_t greatest = 0, held = 0;

	case_begin(run, &(csim_options_t){ 0 });
	for (unsigned i = 0; i < BALANCED_FLOWS; i++) {
		case_feeds(run, 1, 40);
		cell_run(c, 20);
	}
	for (unsigned i = 0; i < SPOTS; i++) {
		size_t n = agent_work(csim_agent(c->sim, i));

		held += n;
		greatest = n > greatest ? n : greatest;
	}
	case_end(run);
	return greatest * SPOTS * 100 / held;
}

static void opens_are_hunted(case_run_t *run)
{
	size_t sum = 0;

	for (unsigned i = 0; i < BALANCED_RUNS; i++, run->seed++)
		sum += fill_targets(run);
	expect(run, sum <= BALANCED_RUNS * BALANCED_OVER,
	       "percent of the mean, over all runs", sum);
}

/* clang-format off */
const named_case_t cases_load[] = {
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
