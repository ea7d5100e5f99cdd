#include "world_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void caller_output(void *ctx, const uint8_t *packet, size_t len)
{
	world_to_fabric(ctx, UINT32_MAX, packet, len);
}

static void on_ended(void *ctx, const caller_request_t *r)
{
	world_result_t *result = r->data;

	(void)ctx;
	result->ended = true;
	result->outcome = r->outcome;
	result->answered_ms = r->first_byte_ms;
	result->ended_ms = r->ended_ms;
	result->got = r->received;
	result->greatest_gap = r->max_gap_ms;
	result->retry_after_s = r->retry_after_s;
	result->request = NULL;
}

void world_add_records(GHashTable *all, GHashTable *from)
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

world_t *world_new(const world_options_t *options)
{
	static const caller_ops_t ops = { caller_output, on_ended };
	world_t *w = g_new0(world_t, 1);
	place_t caller = { PLACE_CALLER, 0 };
	char text[900];
	err_t err;

	w->options = *options;
	w->now = START_MS;
	w->random = options->seed;
	if (config_parse("world", options->config_text,
			 strlen(options->config_text), &w->first, &err) < 0) {
		fprintf(stderr, "%s\n", err_format(&err, text, sizeof(text)));
		g_free(w);
		return NULL;
	}
	w->events = g_ptr_array_new();
	w->results = g_ptr_array_new_with_free_func(g_free);
	w->records = g_hash_table_new(NULL, NULL);
	w->caller = caller_new(&ops, w, CALLER_IP, options->seed);
	world_add_agents(w, w->first);
	for (unsigned i = 0; i < options->balancers; i++)
		world_add_balancer(w);
	world_post(w, w->now + 1, EVENT_TICK, caller, caller, MSG_NONE, NULL,
		   0);
	return w;
}

void world_free(world_t *w)
{
	for (unsigned i = 0; i < w->nbalancers; i++) {
		world_stop(&w->balancers[i]);
		config_unref(w->balancers[i].config);
	}
	for (unsigned i = 0; i < w->nagents; i++) {
		world_stop(&w->agents[i]);
		world_stop(&w->servers[i]);
		config_unref(w->agents[i].config);
		config_unref(w->servers[i].config);
	}
	caller_free(w->caller);
	g_ptr_array_set_free_func(w->events, g_free);
	g_ptr_array_free(w->events, TRUE);
	g_ptr_array_free(w->results, TRUE);
	g_hash_table_destroy(w->records);
	wire_arena_clear(&w->arena);
	config_unref(w->first);
	g_free(w);
}

size_t world_request(world_t *w, const char *service, const char *cls,
		     const app_request_t *app)
{
	const service_t *s = config_service_by_name(w->first, service);
	world_result_t *r = g_new0(world_result_t, 1);

	r->app = *app;
	r->begun_ms = w->now;
	g_ptr_array_add(w->results, r);
	for (size_t i = 0; i < s->nclasses; i++) {
		if (strcmp(s->classes[i].name, cls) != 0)
			continue;
		r->request = caller_begin(w->caller, w->now, s->address,
					  s->classes[i].port, app, r);
		r->key = r->request->key;
	}
	return w->results->len - 1;
}

const world_result_t *world_result(const world_t *w, size_t number)
{
	return g_ptr_array_index(w->results, number);
}

size_t world_requests(const world_t *w)
{
	return w->results->len;
}

uint64_t world_last_open(const world_t *w, unsigned agent)
{
	return w->last_open[agent];
}

uint64_t world_control_bytes(const world_t *w)
{
	return w->control_bytes;
}

uint64_t world_control_messages(const world_t *w)
{
	return w->control_messages;
}

balancer_t *world_balancer(world_t *w, unsigned index)
{
	return w->balancers[index].balancer;
}

agent_t *world_agent(world_t *w, unsigned index)
{
	return w->agents[index].agent;
}

app_server_t *world_server(world_t *w, unsigned index)
{
	return w->servers[index].server;
}

unsigned world_agents(const world_t *w)
{
	return w->nagents;
}

unsigned world_agent_of(const world_t *w, const char *target)
{
	for (unsigned i = 0; i < w->nagents; i++)
		if (!strcmp(w->agents[i].target, target))
			return i;
	return UINT32_MAX;
}

unsigned world_holder(world_t *w, size_t number)
{
	const world_result_t *r = world_result(w, number);

	for (unsigned i = 0; i < w->nagents; i++) {
		char *text;
		bool held;

		if (!w->agents[i].agent)
			continue;
		text = agent_explain(w->agents[i].agent, w->now, &r->key);
		held = strstr(text, "\"established\"") != NULL;
		g_free(text);
		if (held)
			return i;
	}
	return UINT32_MAX;
}

size_t world_broken(const world_t *w)
{
	size_t broken = 0;

	for (size_t i = 0; i < w->results->len; i++) {
		const world_result_t *r = world_result(w, i);

		if (!r->ended ||
		    (r->outcome != OUTCOME_DONE && r->outcome != OUTCOME_SHED &&
		     r->outcome != OUTCOME_NOT_RUN))
			broken++;
	}
	return broken;
}

static GHashTable *all_records(const world_t *w)
{
	GHashTable *all = g_hash_table_new(NULL, NULL);

	world_add_records(all, w->records);
	for (unsigned i = 0; i < w->nagents; i++)
		if (w->servers[i].server)
			world_add_records(
				all, app_server_records(w->servers[i].server));
	return all;
}

void world_records(const world_t *w, uint64_t *records, uint64_t *doubled)
{
	GHashTable *all = all_records(w);
	GHashTableIter iter;
	gpointer id, count;

	*records = 0;
	*doubled = 0;
	g_hash_table_iter_init(&iter, all);
	while (g_hash_table_iter_next(&iter, &id, &count)) {
		*records += GPOINTER_TO_SIZE(count);
		*doubled += GPOINTER_TO_SIZE(count) > 1;
	}
	g_hash_table_destroy(all);
}

size_t world_recorded(const world_t *w, uint64_t id)
{
	GHashTable *all = all_records(w);
	gpointer count = g_hash_table_lookup(all, GSIZE_TO_POINTER(id));

	g_hash_table_destroy(all);
	return GPOINTER_TO_SIZE(count);
}
