#ifndef CASES_H
#define CASES_H

/*
 * cases - failure scenarios, each run in its own simulation
 *
 * A case passes when it records no failure. test_cases runs all cases with all
 * mechanisms enabled. A case that tests a mechanism must fail without it:
 * test_mechanisms runs these cases with their mechanism disabled.
 */

#include "matrix.h"

#define CASE_FAILURE_SIZE 160

typedef struct case_run {
	mechanisms_t off;
	uint64_t seed;
	cell_t cell;
	cell_counts_t counts;
	char failure[CASE_FAILURE_SIZE]; /* first failure, "" for none */
} case_run_t;

typedef struct case_def {
	const char *name;
	void (*fn)(case_run_t *run);
	mechanism_t mechanism; /* one that it tests, MECHANISMS: none */
} case_def_t;

/*
 * Planned changes (cases_change.c), losses and partitions (cases_loss.c), and
 * overload, refusals and retries (cases_load.c).
 */
extern const case_def_t cases_change[], cases_loss[], cases_load[];
extern const size_t ncases_change, ncases_loss, ncases_load;

/* Runs a case with a fixed seed and returns true when it passes. */
bool case_execute(const case_def_t *c, mechanisms_t off, case_run_t *run);

/* Calls visit with each case of all tables. */
void cases_for_each(void (*visit)(const case_def_t *c, void *ctx), void *ctx);

/* Unless the check passed, records "WHAT: GOT" if it is the first failure. */
void case_expect(case_run_t *run, bool passed, const char *what, uint64_t got);

/* Starts the cell of a run. The options' seed and off come from the run. */
void case_begin(case_run_t *run, const csim_options_t *options);

/*
 * Ends the cell and checks that no request broke, was misrouted or hung, that
 * each answered log was recorded and no log more than once, that no payload was
 * delivered twice, that no request was refused after payload was delivered, and
 * that lost requests ended with a reason. The case itself checks how many other
 * requests were refused and how many flows were lost.
 */
void case_end(case_run_t *run);

/* Starts n feeds with a chunk every 200 ms. */
void case_begin_feeds(case_run_t *run, unsigned n, unsigned chunks);

/* Increments the version of run->cell.config and applies that configuration to
 * all processes. */
void case_apply_config(case_run_t *run);

/* Replaces all running balancers by new ones, one after another. */
void case_replace_balancers(case_run_t *run);

#endif
