#include "audit.h"
#include "log.h"
#include <stdlib.h>

typedef struct event {
	uint64_t number;
	char *line; /* owned */
} event_t;

struct audit {
	event_t events[AUDIT_EVENTS];
	uint64_t count;
};

audit_t *audit_new(void)
{
	return calloc(1, sizeof(audit_t));
}

void audit_free(audit_t *audit)
{
	if (!audit)
		return;
	for (size_t i = 0; i < AUDIT_EVENTS; i++)
		g_free(audit->events[i].line);
	free(audit);
}

void audit_add(audit_t *audit, uint64_t wall_ms, const char *event,
	       const char *subject, const char *detail)
{
	event_t *e = &audit->events[audit->count % AUDIT_EVENTS];
	GString *line = g_string_new(NULL);

	g_string_append_printf(line, "{\"number\":%llu,\"time_ms\":%llu,",
			       (unsigned long long)audit->count,
			       (unsigned long long)wall_ms);
	g_string_append(line, "\"event\":");
	json_append_string(line, event);
	g_string_append(line, ",\"subject\":");
	json_append_string(line, subject);
	g_string_append(line, ",\"detail\":");
	json_append_string(line, detail);
	g_string_append_c(line, '}');
	g_free(e->line);
	e->number = audit->count++;
	e->line = g_string_free(line, FALSE);
	g_message("audit: %s %s: %s", event, subject, detail);
}

char *audit_json(const audit_t *audit)
{
	GString *out = g_string_new(NULL);
	uint64_t first =
		audit->count > AUDIT_EVENTS ? audit->count - AUDIT_EVENTS : 0;

	for (uint64_t i = first; i < audit->count; i++) {
		g_string_append(out, audit->events[i % AUDIT_EVENTS].line);
		g_string_append_c(out, '\n');
	}
	return g_string_free(out, FALSE);
}

uint64_t audit_count(const audit_t *audit)
{
	return audit->count;
}
