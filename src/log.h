#ifndef LOG_H
#define LOG_H

/*
 * log - writer for GLib's logging: one JSON object per line on standard error
 *
 * Messages and levels are those of g_message(), g_warning() and the like.
 * Neither secret keys nor payload of flows may be logged.
 */

#include <glib.h>

/* Sets the process name that each line carries; the string is not copied. */
void log_init(const char *process);

/* Appends text as an escaped JSON string, with quotes. */
void json_append_string(GString *out, const char *text);

#endif
