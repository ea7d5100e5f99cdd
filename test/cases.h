#ifndef CASES_H
#define CASES_H

/*
 * cases - named failures, each played in a world of its own
 *
 * A case holds when it noted no failure. One that proves a mechanism must
 * fail without it: test_cases plays all with every mechanism, test_mechanisms
 * plays them with theirs switched off.
 */

#include "matrix.h"

#define CASE_WHY 160

typedef struct case_run {
	mechanisms_t off;
	uint64_t seed;
	cell_t cell;
	cell_counts_t counts;
	char why[CASE_WHY]; /* first failure, empty for none */
} case_run_t;

typedef struct named_case {
	const char *name;
	void (*play)(case_run_t *run);
	mechanism_t proves; /* MECHANISMS: none of its own */
} named_case_t;

/* cases_change.c: planned changes. cases_loss.c: losses and partitions.
 * cases_load.c: overload, refusals, retries. */
extern const named_case_t cases_change[], cases_loss[], cases_load[];
extern const size_t ncases_change, ncases_loss, ncases_load;

/* Plays a case with its seed; returns true when it holds. */
bool case_play(const named_case_t *c, mechanisms_t off, case_run_t *run);

/* Calls `visit` with each case of all tables. */
void cases_each(void (*visit)(const named_case_t *c, void *ctx), void *ctx);

/* Notes a failure unless the condition holds. */
void expect(case_run_t *run, bool holds, const char *what, uint64_t got);

/* Begins the cell of a run with these options (seed and off are filled in). */
void case_begin(case_run_t *run, const csim_options_t *options);

/* Ends the cell and expects that no request broke, doubled, went astray,
 * hung, or was refused untruly; refusals and lost flows are left to the case.
 */
void case_end(case_run_t *run);

/* Begins so many feeds of so many parts, 200 ms apart. */
void case_feeds(case_run_t *run, unsigned n, unsigned parts);

/* Puts the changed document in force everywhere. */
void case_configure(case_run_t *run);

/* Replaces each balancer that runs by a new one, one after another. */
void case_replace_balancers(case_run_t *run);

#endif
