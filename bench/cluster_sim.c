#include "cluster_sim_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void on_caller_output(void *ctx, const uint8_t *packet, size_t len)
{
	csim_send_to_balancer(ctx, UINT32_MAX, packet, len);
}

static void on_ended(void *ctx, const caller_request_t *r)
{
	csim_result_t *result = r->data;

	(void)ctx;
	result->ended = true;
	result->outcome = r->outcome;
	result->first_byte_ms = r->first_byte_ms;
	result->ended_ms = r->ended_ms;
	result->received = r->received;
	result->max_gap_ms = r->max_gap_ms;
	result->retry_after_s = r->retry_after_s;
	result->request = NULL;
}

void csim_merge_records(GHashTable *all, GHashTable *from)
{
	GHashTableIter iter;
	gpointer id, count;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &id, &count)) {
		gpointer old = g_hash_table_lookup(all, id);

		g_hash_table_insert(all, id,
				    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(old) +
						     GPOINTER_TO_SIZE(count)));
	}
}

csim_t *csim_new(const csim_options_t *options)
{
	static const caller_ops_t ops = { on_caller_output, on_ended };
	csim_t *sim = g_new0(csim_t, 1);
	node_t caller = { NODE_CALLER, 0 };
	char text[900];
	err_t err;

	sim->options = *options;
	sim->now = START_MS;
	sim->rng_state = options->seed;
	if (config_parse("cluster_sim", options->config_text,
			 strlen(options->config_text), &sim->declared_config,
			 &err) < 0) {
		fprintf(stderr, "cluster_sim: %s\n",
			err_format(&err, text, sizeof(text)));
		g_free(sim);
		return NULL;
	}
	sim->events = g_ptr_array_new();
	sim->results = g_ptr_array_new_with_free_func(g_free);
	sim->records = g_hash_table_new(NULL, NULL);
	sim->caller = caller_new(&ops, sim, CALLER_IP, options->seed);
	csim_add_agents(sim, sim->declared_config);
	for (unsigned i = 0; i < options->balancers; i++)
		csim_add_balancer(sim);
	csim_schedule(sim, sim->now + 1, EVENT_TICK, caller, caller, MSG_NONE,
		      NULL, 0);
	return sim;
}

void csim_free(csim_t *sim)
{
	for (unsigned i = 0; i < sim->nbalancers; i++) {
		csim_stop_process(&sim->balancers[i]);
		config_unref(sim->balancers[i].config);
	}
	for (unsigned i = 0; i < sim->nagents; i++) {
		csim_stop_process(&sim->agents[i]);
		csim_stop_process(&sim->servers[i]);
		config_unref(sim->agents[i].config);
		config_unref(sim->servers[i].config);
	}
	caller_free(sim->caller);
	g_ptr_array_set_free_func(sim->events, g_free);
	g_ptr_array_free(sim->events, TRUE);
	g_ptr_array_free(sim->results, TRUE);
	g_hash_table_destroy(sim->records);
	wire_arena_clear(&sim->arena);
	config_unref(sim->declared_config);
	g_free(sim);
}

size_t csim_begin_request(csim_t *sim, const char *service, const char *cls,
			  const app_request_t *app)
{
	const service_t *s =
		config_service_by_name(sim->declared_config, service);
	csim_result_t *r = g_new0(csim_result_t, 1);

	r->app = *app;
	r->started_ms = sim->now;
	g_ptr_array_add(sim->results, r);
	for (size_t i = 0; i < s->nclasses; i++) {
		if (strcmp(s->classes[i].name, cls) != 0)
			continue;
		r->request = caller_begin(sim->caller, sim->now, s->address,
					  s->classes[i].port, app, r);
		r->key = r->request->key;
	}
	return sim->results->len - 1;
}

const csim_result_t *csim_result(const csim_t *sim, size_t number)
{
	return g_ptr_array_index(sim->results, number);
}

size_t csim_request_count(const csim_t *sim)
{
	return sim->results->len;
}

uint64_t csim_last_open_ms(const csim_t *sim, unsigned agent)
{
	return sim->last_open_ms[agent];
}

uint64_t csim_control_bytes(const csim_t *sim)
{
	return sim->control_bytes;
}

uint64_t csim_control_messages(const csim_t *sim)
{
	return sim->control_messages;
}

balancer_t *csim_balancer(csim_t *sim, unsigned index)
{
	return sim->balancers[index].balancer;
}

agent_t *csim_agent(csim_t *sim, unsigned index)
{
	return sim->agents[index].agent;
}

app_server_t *csim_server(csim_t *sim, unsigned index)
{
	return sim->servers[index].server;
}

unsigned csim_agent_count(const csim_t *sim)
{
	return sim->nagents;
}

unsigned csim_find_agent(const csim_t *sim, const char *target)
{
	for (unsigned i = 0; i < sim->nagents; i++)
		if (!strcmp(sim->agents[i].target, target))
			return i;
	return UINT32_MAX;
}

unsigned csim_find_holder(csim_t *sim, size_t number)
{
	const csim_result_t *r = csim_result(sim, number);

	for (unsigned i = 0; i < sim->nagents; i++) {
		char *text;
		bool held;

		if (!sim->agents[i].agent)
			continue;
		text = agent_explain(sim->agents[i].agent, sim->now, &r->key);
		held = strstr(text, "\"established\"") != NULL;
		g_free(text);
		if (held)
			return i;
	}
	return UINT32_MAX;
}

size_t csim_count_broken(const csim_t *sim)
{
	size_t broken = 0;

	for (size_t i = 0; i < sim->results->len; i++) {
		const csim_result_t *r = csim_result(sim, i);

		if (!r->ended ||
		    (r->outcome != OUTCOME_DONE && r->outcome != OUTCOME_SHED &&
		     r->outcome != OUTCOME_NOT_RUN))
			broken++;
	}
	return broken;
}

static GHashTable *all_records(const csim_t *sim)
{
	GHashTable *all = g_hash_table_new(NULL, NULL);

	csim_merge_records(all, sim->records);
	for (unsigned i = 0; i < sim->nagents; i++)
		if (sim->servers[i].server)
			csim_merge_records(
				all,
				app_server_records(sim->servers[i].server));
	return all;
}

void csim_count_records(const csim_t *sim, uint64_t *records,
			uint64_t *duplicates)
{
	GHashTable *all = all_records(sim);
	GHashTableIter iter;
	gpointer id, count;

	*records = 0;
	*duplicates = 0;
	g_hash_table_iter_init(&iter, all);
	while (g_hash_table_iter_next(&iter, &id, &count)) {
		*records += GPOINTER_TO_SIZE(count);
		*duplicates += GPOINTER_TO_SIZE(count) > 1;
	}
	g_hash_table_destroy(all);
}

size_t csim_count_log(const csim_t *sim, uint64_t id)
{
	GHashTable *all = all_records(sim);
	gpointer count = g_hash_table_lookup(all, GSIZE_TO_POINTER(id));

	g_hash_table_destroy(all);
	return GPOINTER_TO_SIZE(count);
}
