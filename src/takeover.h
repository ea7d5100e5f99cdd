#ifndef TAKEOVER_H
#define TAKEOVER_H

/*
 * takeover - a new agent takes over the flows of its predecessor on the host
 *
 * The successor sends a handover request to the predecessor at
 * settings.listen. After its reply the predecessor handles no packets. When
 * the successor confirms that it has the flows, the predecessor exits, which
 * frees its addresses. All messages are sealed, see seal.h. If no predecessor
 * answers, the successor starts without flows, as after a crash.
 */

#include "process.h"

/* Reply of the predecessor; the caller frees the body. */
typedef struct takeover {
	uint8_t *body; /* packed MSG_HANDOVER, NULL for none */
	size_t len;
} takeover_t;

/*
 * Requests the flows, runs the loop until the predecessor has replied or the
 * request has timed out (2 s), then waits up to 5 s until the addresses of the
 * settings are free. Blocks meanwhile. Returns 0, also without a predecessor,
 * or -1 and sets err when an address is still in use.
 */
int takeover_run(process_t *p, takeover_t *out, err_t *err);

#endif
