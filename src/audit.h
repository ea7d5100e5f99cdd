#ifndef AUDIT_H
#define AUDIT_H

/*
 * audit - audit log of the changes that a process made
 *
 * Each event is written to the log and kept in a ring buffer, which
 * `cherviltray audit` prints.
 */

#include <stddef.h>
#include <stdint.h>

/* Capacity of the ring buffer; newer events overwrite the oldest ones. */
#define AUDIT_EVENTS 1024

typedef struct audit audit_t;

/* Returns NULL when out of memory; freed by audit_free(). */
audit_t *audit_new(void);
void audit_free(audit_t *audit);

/* Adds an event; wall_ms is Unix time in ms. The strings are copied. */
void audit_add(audit_t *audit, uint64_t wall_ms, const char *event,
	       const char *subject, const char *detail);

/* Events in the ring as JSON lines, oldest first; freed with g_free(). */
char *audit_json(const audit_t *audit);

/* Number of events since the start, overwritten ones included. */
uint64_t audit_count(const audit_t *audit);

#endif
