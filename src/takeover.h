#ifndef TAKEOVER_H
#define TAKEOVER_H

/*
 * takeover - an agent takes the flows of its predecessor on the same host
 *
 * The successor asks the predecessor at `listen` for its flows. From its
 * answer on the predecessor handles no packet; told that all has arrived, it
 * ends and its addresses become free. Both messages are sealed. When no
 * predecessor answers, the successor starts as after a crash.
 */

#include "process.h"

/* A handover as it came, owned by the caller. */
typedef struct takeover {
	uint8_t *body; /* packed MSG_HANDOVER, NULL for none */
	size_t len;
} takeover_t;

/*
 * Runs the loop until the predecessor has answered or a bound has passed, and
 * then until its addresses are free. Returns 0 also without a predecessor,
 * -1 when the addresses stay taken.
 */
int takeover_run(process_t *p, takeover_t *out, err_t *err);

#endif
