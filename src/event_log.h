#ifndef EVENT_LOG_H
#define EVENT_LOG_H

/*
 * event_log - log of decisions as JSON lines on standard output
 *
 * Each line has the time, the process, the event and the members given. At most
 * EVENT_LINES_PER_SECOND lines per second are written for each kind of event;
 * a "left-out" line reports once a second how many more there were. Lines are
 * buffered, and written without blocking by event_log_flush(). Lines that a
 * full pipe does not accept are dropped; each flush that drops lines adds one
 * to the count of dropped lines, which a "left-out" line of "any" reports.
 */

#include "packet.h"
#include <stdint.h>

/*
 * Maximum lines per second for each kind of event. Logging then takes less than
 * 1 % of the CPU time of a host with 0.03 of a core.
 */
#define EVENT_LINES_PER_SECOND 10

/* Buffer size for flow_key_format(), in bytes. */
#define FLOW_TEXT_SIZE 64

typedef enum event {
	EVENT_START,
	EVENT_STOP,
	EVENT_RELOAD,
	EVENT_READY,
	EVENT_STORE,
	EVENT_ROUTES,
	EVENT_TARGET,
	EVENT_MEMBER,
	EVENT_OPEN,
	EVENT_TAKEN,
	EVENT_PASSED,
	EVENT_REFUSED,
	EVENT_QUEUED,
	EVENT_UNANSWERED,
	EVENT_LOOKUP,
	EVENT_HELD,
	EVENT_GIVEN_BACK,
	EVENT_RESET,
	EVENT_MESSAGE,
	EVENT_SERVER,
	EVENT_WAKE,
	EVENT_ZONE,
	NEVENTS, /* number of kinds */
} event_t;

/*
 * Sets the process name that each line carries; the string is not copied. Makes
 * standard output non-blocking.
 */
void event_log_init(const char *process);

/*
 * Appends a line to the buffer. members is a printf format of the members of
 * the JSON object, without braces; strings in it are not escaped.
 */
void event_log(event_t event, const char *members, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Copies text to buf, which has size bytes, as far as it fits, so that it can
 * stand in a string of a line: characters that would have to be escaped, and
 * bytes that are not ASCII, become '?', quotes become apostrophes. Returns buf.
 */
char *event_log_quote(const char *text, char *buf, size_t size);

/* Writes the buffered lines; to be called periodically. */
void event_log_flush(void);

/* Formats a flow as "1.2.3.4:5-6.7.8.9:10", its id in the log. Returns buf. */
char *flow_key_format(const flow_key_t *key, char buf[FLOW_TEXT_SIZE]);

#endif
