#ifndef WARMUP_LIMIT_H
#define WARMUP_LIMIT_H

/*
 * warmup_limit - bound on the opens that a cold backend server gets
 *
 * Load pattern: servers start, or a zone is taken back, while callers go on at
 * full rate; all balancers find them idle at the same time, and each sends what
 * one server could take.
 *
 * The agent beside the server is the only one that sees all opens, so the bound
 * lies there. It holds in each span of WARMUP_WINDOW_MS, not only in whole
 * seconds: the times of the last opens are kept. An agent that has restarted
 * doesn't know the opens before; it takes the window for full when it started.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* A second, and the time by which packets may be closer to each other at the
 * server than at the agent. */
#define WARMUP_WINDOW_MS 1040
/* Greatest bound; a greater one counts as this. */
#define WARMUP_OPENS_MAX 256

typedef struct warmup_limit {
	uint32_t max;	   /* opens in any window; 0: no bound */
	uint64_t until_ms; /* end of the warm-up */
	/* Until then the window holds opens that are not known; 0: it doesn't.
	 */
	uint64_t unknown_until_ms;
	uint64_t opens[WARMUP_OPENS_MAX]; /* ring of times; 0: none */
	unsigned next;			  /* oldest of opens */
} warmup_limit_t;

/* knows_all: no open has been delivered before now. */
void warmup_limit_init(warmup_limit_t *w, uint64_t now, bool knows_all);

/*
 * Notes that the server stays cold for left_ms and bears max opens a second
 * meanwhile (0: no bound). Of several words on the end the latest end counts.
 */
void warmup_limit_set(warmup_limit_t *w, uint64_t now, uint32_t max,
		      uint32_t left_ms);

/* Notes an open that is delivered. To be called while the server is warm, too:
 * the window reaches back. */
void warmup_limit_add(warmup_limit_t *w, uint64_t now);

/* True while the server is cold and a bound holds. */
bool warmup_limit_is_cold(const warmup_limit_t *w, uint64_t now);

/* True when one more open may be delivered. */
bool warmup_limit_has_room(const warmup_limit_t *w, uint64_t now);

#endif
