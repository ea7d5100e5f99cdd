#ifndef HOLDER_EVIDENCE_H
#define HOLDER_EVIDENCE_H

/*
 * holder_evidence - what shows that a backend server has lost a flow
 *
 * Load pattern: hosts lose power while the platform's store can't be read, and
 * all callers come back at once. Servers run again long before the store
 * publishes them, so flows that were opened since belong to the server that is
 * published later. Callers of lost flows wait for their deadlines unless they
 * are told; a flow that a running server holds must not be reset.
 *
 * No I/O and no clock.
 */

#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * True when a server that started at started_unix_ms can't hold a flow that a
 * server of its address held at held_ms, because it started later. now_ms and
 * held_ms are of a monotonic clock, now_unix_ms is the current Unix time (0:
 * unknown). Without a start time or a clock an earlier server held the flow. A
 * start that lies in the future shows nothing, since one of the clocks is
 * wrong.
 */
bool holder_started_later(uint64_t held_ms, uint64_t now_ms,
			  uint64_t now_unix_ms, uint64_t started_unix_ms);

/* Hash of a flow in the list that an agent sends when it stops. Two flows may
 * have the same. */
uint32_t holder_list_hash(const flow_key_t *key);

/* False when a server that held only the n listed flows can't hold the flow. */
bool holder_listed(const uint32_t *hashes, size_t n, const flow_key_t *key);

#endif
