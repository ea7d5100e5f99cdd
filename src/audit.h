#ifndef AUDIT_H
#define AUDIT_H

/*
 * audit - the changes that this process made, newest last
 *
 * Each event is a log line and an entry of a bounded ring that `cherviltray
 * audit` reads. Owned by the caller, freed by audit_free().
 */

#include <stddef.h>
#include <stdint.h>

#define AUDIT_EVENTS 1024

typedef struct audit audit_t;

audit_t *audit_new(void);
void audit_free(audit_t *audit);

void audit_add(audit_t *audit, uint64_t wall_ms, const char *event,
	       const char *subject, const char *detail);

/* The ring as JSON lines, oldest first; the caller frees it. */
char *audit_json(const audit_t *audit);

uint64_t audit_count(const audit_t *audit);

#endif
