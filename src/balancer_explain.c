#include "balancer_int.h"
#include <glib.h>

char *balancer_explain(balancer_t *b, uint64_t now, const flow_key_t *key)
{
	GString *s = g_string_new("{");
	uint64_t hash = flow_key_hash(key, b->options.rank_seed);
	const class_t *cls = NULL;
	const service_t *service;
	uint32_t order[BALANCER_CANDIDATES_MAX];
	endpoint_t hint;
	char text[ENDPOINT_TEXT_SIZE];
	group_t *g;
	size_t n;

	service = b->config ? config_classify(b->config, key->dst, key->dport,
					      key->proto, &cls)
			    : NULL;
	if (!service) {
		g_string_append(s, "\"service\":null,\"why\":\"no service has "
				   "this address, port and protocol\"}");
		return g_string_free(s, FALSE);
	}
	g = (group_t *)balancer_group(b, service->id);
	g_string_append_printf(s, "\"service\":\"%s\",\"class\":\"%s\"",
			       service->name, cls->name);
	if (hint_cache_get(b->hints, hash, &hint))
		g_string_append_printf(s, ",\"hint\":\"%s\"",
				       endpoint_format(&hint, text));
	n = group_rank(g, now, hash, true, order, BALANCER_CANDIDATES_MAX);
	g_string_append(s, ",\"candidates\":[");
	for (size_t i = 0; i < n; i++) {
		const member_t *m = &g->members[order[i]];
		const target_t *t = service_target_by_id(service, m->id);

		g_string_append_printf(s,
				       "%s{\"target\":\"%s\",\"agent\":\"%s\","
				       "\"weight\":%.3f,\"utilisation\":%.4f}",
				       i ? "," : "", t ? t->name : "?",
				       endpoint_format(&m->agent, text),
				       member_rank_weight(g, m),
				       member_utilisation(g, m, now));
	}
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}
