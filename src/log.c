#define G_LOG_USE_STRUCTURED
#include "log.h"
#include <stdio.h>

static const char *process_name = "cherviltray";

static const char *level_name(GLogLevelFlags level);
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data);

void json_append_string(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (const char *p = text; *p; p++) {
		unsigned char c = (unsigned char)*p;

		if (c == '"' || c == '\\')
			g_string_append_printf(out, "\\%c", c);
		else if (c < 0x20)
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_c(out, (char)c);
	}
	g_string_append_c(out, '"');
}

static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	GString *line = g_string_new("{\"time\":\"");

	(void)data;
	g_string_append_printf(line, "%s.%03dZ\",\"level\":\"%s\",", time,
			       g_date_time_get_microsecond(now) / 1000,
			       level_name(level));
	g_string_append(line, "\"process\":");
	json_append_string(line, process_name);
	for (gsize i = 0; i < n; i++) {
		if (g_strcmp0(fields[i].key, "MESSAGE") != 0)
			continue;
		g_string_append(line, ",\"message\":");
		json_append_string(line, fields[i].value);
	}
	g_string_append(line, "}\n");
	fputs(line->str, stderr);
	g_string_free(line, TRUE);
	g_free(time);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *process)
{
	process_name = process;
	g_log_set_writer_func(write_line, NULL, NULL);
}
