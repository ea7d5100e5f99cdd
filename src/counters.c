#include "counters.h"
#include <glib.h>

static const char *const names[NCOUNTERS] = {
#define COUNTER_NAME(id, name) [COUNTER_##id] = name,
	COUNTER_TABLE(COUNTER_NAME)
#undef COUNTER_NAME
};

const char *counter_name(counter_t id)
{
	return id < NCOUNTERS ? names[id] : "unknown";
}

char *counters_json(const counters_t *c)
{
	GString *s = g_string_new("{");

	for (int i = 0; i < NCOUNTERS; i++) {
		if (!c->values[i])
			continue;
		g_string_append_printf(s, "%s\"%s\":%llu",
				       s->len > 1 ? "," : "", names[i],
				       (unsigned long long)c->values[i]);
	}
	g_string_append_c(s, '}');
	return g_string_free(s, FALSE);
}
