#include "cli_query.h"
#include "log.h"
#include <stdio.h>
#include <string.h>

/* An audit event and the name of the process that recorded it. */
typedef struct event {
	int64_t time_ms;
	const char *process;
	const char *line; /* JSON object */
} event_t;

static void parse_events(GArray *events, const char *process, char *text);
static gint compare_events(gconstpointer a, gconstpointer b);
static void print_event(const event_t *event, bool json);

/* Splits text into lines in place; the events keep pointers into it. */
static void parse_events(GArray *events, const char *process, char *text)
{
	char *next;

	for (char *line = text; line && *line; line = next) {
		event_t event = { .process = process, .line = line };

		next = strchr(line, '\n');
		if (next)
			*next++ = '\0';
		event.time_ms = json_get_int(line, "time_ms", 0);
		g_array_append_val(events, event);
	}
}

static gint compare_events(gconstpointer a, gconstpointer b)
{
	const event_t *x = a, *y = b;

	if (x->time_ms != y->time_ms)
		return x->time_ms < y->time_ms ? -1 : 1;
	/* Events of one process in the same ms keep their order. */
	return x->line < y->line ? -1 : 1;
}

static void print_event(const event_t *event, bool json)
{
	GString *name = g_string_new("{\"process\":");
	char *time, *kind, *subject, *detail;

	if (json) {
		json_append_string(name, event->process);
		printf("%s,%s\n", name->str, event->line + 1);
		g_string_free(name, TRUE);
		return;
	}
	g_string_free(name, TRUE);
	time = cli_format_time(event->time_ms);
	kind = json_get_string(event->line, "event");
	subject = json_get_string(event->line, "subject");
	detail = json_get_string(event->line, "detail");
	printf("%s %-16s %-24s %s: %s\n", time, event->process, kind, subject,
	       detail);
	g_free(time);
	g_free(kind);
	g_free(subject);
	g_free(detail);
}

int cli_audit(int argc, char **argv)
{
	gboolean json = FALSE;
	GOptionEntry entries[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json,
		  "Print one JSON object per event", NULL },
		{ 0 },
	};
	GPtrArray *names;
	settings_t settings;
	GArray *answers, *events;
	unsigned nfailed;
	int code;

	if (cli_parse_options_settings(
		    "audit", NULL,
		    "Prints the audit events of all processes, "
		    "oldest first.",
		    entries, &argc, &argv, &settings, &code) < 0)
		return code;
	if (argc > 1) {
		settings_clear(&settings);
		return cli_usage_error("audit", "it takes no argument");
	}
	names = g_ptr_array_new_with_free_func(g_free);
	events = g_array_new(FALSE, FALSE, sizeof(event_t));
	answers = cli_query_all(&settings, "audit", "");
	for (guint i = 0; i < answers->len; i++) {
		cli_answer_t *a = &g_array_index(answers, cli_answer_t, i);
		char *name = cli_answer_name(a);

		g_ptr_array_add(names, name);
		if (a->ok)
			parse_events(events, name, a->text);
	}
	g_array_sort(events, compare_events);
	for (guint i = 0; i < events->len; i++)
		print_event(&g_array_index(events, event_t, i), json);
	nfailed = cli_print_failed("audit", answers);
	cli_answers_free(answers);
	g_array_free(events, TRUE);
	g_ptr_array_free(names, TRUE);
	settings_clear(&settings);
	return nfailed ? CLI_FAILED : CLI_OK;
}
