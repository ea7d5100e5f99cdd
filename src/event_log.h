#ifndef EVENT_LOG_H
#define EVENT_LOG_H

/*
 * event_log - decisions as JSON lines on standard output
 *
 * Each line has the time, the process, the event and the members given. A
 * kind of event writes EVENT_LINES_PER_SECOND lines a second at most; what was
 * left out is counted and told once a second. Lines are collected and written
 * by event_log_flush(), never blocking: what a full pipe does not take is
 * dropped and counted.
 */

#include "packet.h"
#include <stdint.h>

/* Lines a second and kind: a core of 0.03 spends under a hundredth on them. */
#define EVENT_LINES_PER_SECOND 10

/* Bytes that hold any flow as text. */
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
	EVENT_UNANSWERED,
	EVENT_LOOKUP,
	EVENT_GIVEN_BACK,
	EVENT_RESET,
	EVENT_MESSAGE,
	EVENT_SERVER,
	EVENT_WAKE,
	NEVENTS, /* number of kinds, not one */
} event_t;

/* The name is written to each line; it must stay valid. */
void event_log_init(const char *process);

/* The members of the JSON object, without braces, as a printf format. */
void event_log(event_t event, const char *members, ...)
	__attribute__((format(printf, 2, 3)));

/* Writes what was collected; to be called when the loop is about to wait. */
void event_log_flush(void);

/* A flow as "1.2.3.4:5-6.7.8.9:10", its id in the logs; returns buf. */
char *flow_key_format(const flow_key_t *key, char buf[FLOW_TEXT_SIZE]);

#endif
