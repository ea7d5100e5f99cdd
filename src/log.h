#ifndef LOG_H
#define LOG_H

/*
 * log - one JSON object a line on standard error, through GLib's logging
 *
 * Levels and messages come from g_message(), g_warning() and the like. No key
 * and no caller's payload is ever logged.
 */

#include <glib.h>

/* Sets the name that each line carries; the text must stay valid. */
void log_init(const char *process);

/* Appends a text as a JSON string with its quotes. */
void json_append_string(GString *out, const char *text);

#endif
