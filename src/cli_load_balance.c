#include "cli_load.h"
#include "stream.h"
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_INTERVAL_MS 1000
#define QUERY_TIMEOUT_MS   900
#define CAPACITY_UNIT	   1000.0 /* a status gives "capacity" times 1000 */
#define SERVICES_MAX	   16	  /* further services are not sampled */
#define NO_SAMPLE	   (-1)	  /* work of an agent that did not answer */

/* An agent whose status is queried. */
typedef struct sampled_agent {
	balance_sampler_t *sampler;
	endpoint_t addr;
	const service_t *service;
	const target_t *target;
	double work; /* in the current sample, or NO_SAMPLE */
	double capacity;
} sampled_agent_t;

struct balance_sampler {
	load_t *load;
	seal_t *seal;
	counters_t counters;
	sampled_agent_t *agents;
	size_t nagents;
	size_t pending;	  /* queries without an answer yet */
	uint64_t next_ms; /* time of the next sample */
	load_balance_t results[SERVICES_MAX];
	size_t nresults;
};

static void add_agent(balance_sampler_t *b, const cli_answer_t *answer);
static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err);
static load_balance_t *get_result(balance_sampler_t *b, const service_t *s);
static void add_sample(balance_sampler_t *b, const service_t *s);
static void finish_sample(balance_sampler_t *b);

/* Adds an agent if its target is in the configuration of --config. */
static void add_agent(balance_sampler_t *b, const cli_answer_t *answer)
{
	sampled_agent_t *a = &b->agents[b->nagents];
	char *name = answer->status ? json_get_string(answer->status, "target")
				    : NULL;

	if (!name)
		return;
	a->service = config_target_by_name(b->load->config, name, &a->target);
	g_free(name);
	if (!a->service)
		return;
	a->sampler = b;
	a->addr = answer->addr;
	b->nagents++;
}

balance_sampler_t *balance_sampler_new(load_t *l, const settings_t *settings,
				       err_t *err)
{
	GArray *answers = cli_query_all(settings, "status", "");
	balance_sampler_t *b = g_new0(balance_sampler_t, 1);
	uint64_t session;

	b->load = l;
	b->agents = g_new0(sampled_agent_t, answers->len + 1);
	for (guint i = 0; i < answers->len; i++)
		add_agent(b, &g_array_index(answers, cli_answer_t, i));
	cli_answers_free(answers);
	if (!b->nagents) {
		err_set(err, ERR_TIMEOUT, NULL, 0,
			"list a running process of this configuration under "
			"peers in the settings, or omit --settings",
			"no agent of the configuration answered");
		balance_sampler_free(b);
		return NULL;
	}
	randombytes_buf(&session, sizeof(session));
	b->seal = settings_seal_new(settings, session);
	return b;
}

void balance_sampler_free(balance_sampler_t *b)
{
	if (!b)
		return;
	seal_free(b->seal);
	g_free(b->agents);
	g_free(b);
}

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err)
{
	sampled_agent_t *a = ctx;
	const answer_msg_t *answer = msg;

	(void)err;
	if (kind == MSG_ANSWER && answer->ok) {
		int64_t estimate = json_get_int(answer->text, "capacity", 0);

		a->work = (double)json_get_int(answer->text, "work", 0);
		a->capacity = estimate > 0
				      ? (double)estimate / CAPACITY_UNIT
				      : a->target->weight * a->target->slots;
	}
	if (--a->sampler->pending == 0)
		finish_sample(a->sampler);
}

static load_balance_t *get_result(balance_sampler_t *b, const service_t *s)
{
	for (size_t i = 0; i < b->nresults; i++)
		if (b->results[i].service == s)
			return &b->results[i];
	if (b->nresults == SERVICES_MAX)
		return NULL;
	b->results[b->nresults].service = s;
	return &b->results[b->nresults++];
}

/*
 * Adds a sample over the agents of one service that answered, unless they hold
 * no work: the ratios to the mean are then undefined.
 */
static void add_sample(balance_sampler_t *b, const service_t *s)
{
	double work = 0, capacity = 0, mean;
	double max = 0, min = -1;
	load_balance_t *r;

	for (size_t i = 0; i < b->nagents; i++) {
		const sampled_agent_t *a = &b->agents[i];
		double utilisation;

		if (a->service != s || a->work < 0 || a->capacity <= 0)
			continue;
		utilisation = a->work / a->capacity;
		work += a->work;
		capacity += a->capacity;
		max = utilisation > max ? utilisation : max;
		min = min < 0 || utilisation < min ? utilisation : min;
	}
	if (work <= 0)
		return;
	r = get_result(b, s);
	if (!r)
		return;
	mean = work / capacity;
	r->samples++;
	r->max_ratio_sum += max / mean;
	r->min_ratio_sum += min / mean;
	if (max / mean > r->max_ratio)
		r->max_ratio = max / mean;
}

static void finish_sample(balance_sampler_t *b)
{
	const config_t *config = b->load->config;

	for (size_t i = 0; i < config->nservices; i++)
		add_sample(b, &config->services[i]);
}

void balance_sampler_tick(balance_sampler_t *b, uint64_t now)
{
	query_msg_t query = CT__QUERY__INIT;

	if (!b || b->pending || now < b->next_ms)
		return;
	b->next_ms = now + SAMPLE_INTERVAL_MS;
	b->pending = b->nagents;
	query.command = "status";
	query.argument = "";
	for (size_t i = 0; i < b->nagents; i++) {
		b->agents[i].work = NO_SAMPLE;
		stream_call(&b->load->loop, b->seal, &b->counters,
			    &b->agents[i].addr, MSG_QUERY, &query,
			    QUERY_TIMEOUT_MS, on_answer, &b->agents[i]);
	}
}

const load_balance_t *balance_sampler_results(const balance_sampler_t *b,
					      size_t *n)
{
	*n = b ? b->nresults : 0;
	return b ? b->results : NULL;
}
