#include "cli_load.h"
#include "stream.h"
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_MS    1000
#define ASK_MS	     900
#define THOUSAND     1000.0
#define SERVICES_MAX 16
#define NOTHING_TOLD (-1)

/* An agent that is asked. */
typedef struct asked {
	balance_watch_t *watch;
	endpoint_t at;
	const service_t *service;
	const target_t *target;
	double work; /* of the sample under way, NOTHING_TOLD for none */
	double capacity;
} asked_t;

struct balance_watch {
	load_t *load;
	seal_t *seal;
	counters_t counters;
	asked_t *agents;
	size_t nagents;
	size_t waiting; /* answers outstanding */
	uint64_t next_ms;
	load_balance_t results[SERVICES_MAX];
	size_t nresults;
};

static void add_agent(balance_watch_t *b, const cli_answer_t *answer);
static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err);
static load_balance_t *result_of(balance_watch_t *b, const service_t *s);
static void add_sample(balance_watch_t *b, const service_t *s);
static void finish_sample(balance_watch_t *b);

/* Only agents whose target is in the document. */
static void add_agent(balance_watch_t *b, const cli_answer_t *answer)
{
	asked_t *a = &b->agents[b->nagents];
	char *name =
		answer->status ? json_text_of(answer->status, "target") : NULL;

	if (!name)
		return;
	a->service = config_target_by_name(b->load->config, name, &a->target);
	g_free(name);
	if (!a->service)
		return;
	a->watch = b;
	a->at = answer->at;
	b->nagents++;
}

balance_watch_t *balance_watch_new(load_t *l, const settings_t *settings,
				   err_t *err)
{
	GArray *answers = cli_ask_all(settings, "status", "");
	balance_watch_t *b = g_new0(balance_watch_t, 1);
	uint64_t session;

	b->load = l;
	b->agents = g_new0(asked_t, answers->len + 1);
	for (guint i = 0; i < answers->len; i++)
		add_agent(b, &g_array_index(answers, cli_answer_t, i));
	cli_answers_free(answers);
	if (!b->nagents) {
		err_set(err, ERR_TIMEOUT, NULL, 0,
			"name a running process of this configuration under "
			"peers in the settings, or leave --settings out",
			"no agent answers");
		balance_watch_free(b);
		return NULL;
	}
	randombytes_buf(&session, sizeof(session));
	b->seal = settings_seal_new(settings, session);
	return b;
}

void balance_watch_free(balance_watch_t *b)
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
	asked_t *a = ctx;
	const answer_msg_t *answer = msg;

	(void)err;
	if (kind == MSG_ANSWER && answer->ok) {
		int64_t learned = json_number_of(answer->text, "capacity", 0);

		a->work = (double)json_number_of(answer->text, "work", 0);
		a->capacity = learned > 0
				      ? (double)learned / THOUSAND
				      : a->target->weight * a->target->slots;
	}
	if (--a->watch->waiting == 0)
		finish_sample(a->watch);
}

static load_balance_t *result_of(balance_watch_t *b, const service_t *s)
{
	for (size_t i = 0; i < b->nresults; i++)
		if (b->results[i].service == s)
			return &b->results[i];
	if (b->nresults == SERVICES_MAX)
		return NULL;
	b->results[b->nresults].service = s;
	return &b->results[b->nresults++];
}

/* Of the hosts of one service that answered, when they hold any work. */
static void add_sample(balance_watch_t *b, const service_t *s)
{
	double work = 0, capacity = 0, mean;
	double greatest = 0, smallest = -1;
	load_balance_t *r;

	for (size_t i = 0; i < b->nagents; i++) {
		const asked_t *a = &b->agents[i];
		double u;

		if (a->service != s || a->work < 0 || a->capacity <= 0)
			continue;
		u = a->work / a->capacity;
		work += a->work;
		capacity += a->capacity;
		greatest = u > greatest ? u : greatest;
		smallest = smallest < 0 || u < smallest ? u : smallest;
	}
	if (work <= 0)
		return;
	r = result_of(b, s);
	if (!r)
		return;
	mean = work / capacity;
	r->samples++;
	r->greatest += greatest / mean;
	r->smallest += smallest / mean;
	if (greatest / mean > r->worst)
		r->worst = greatest / mean;
}

static void finish_sample(balance_watch_t *b)
{
	const config_t *config = b->load->config;

	for (size_t i = 0; i < config->nservices; i++)
		add_sample(b, &config->services[i]);
}

void balance_watch_tick(balance_watch_t *b, uint64_t now)
{
	query_msg_t query = CT__QUERY__INIT;

	if (!b || b->waiting || now < b->next_ms)
		return;
	b->next_ms = now + SAMPLE_MS;
	b->waiting = b->nagents;
	query.command = "status";
	query.argument = "";
	for (size_t i = 0; i < b->nagents; i++) {
		b->agents[i].work = NOTHING_TOLD;
		stream_call(&b->load->loop, b->seal, &b->counters,
			    &b->agents[i].at, MSG_QUERY, &query, ASK_MS,
			    on_answer, &b->agents[i]);
	}
}

const load_balance_t *balance_watch_results(const balance_watch_t *b, size_t *n)
{
	*n = b ? b->nresults : 0;
	return b ? b->results : NULL;
}
