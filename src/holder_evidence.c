#include "holder_evidence.h"

/* Difference between the clocks of two hosts that is allowed for. */
#define CLOCK_ERROR_MS 250
/* Hash seed of the lists of flows, the same at all processes. */
#define LIST_SEED 3

bool holder_started_later(uint64_t held_ms, uint64_t now_ms,
			  uint64_t now_unix_ms, uint64_t started_unix_ms)
{
	uint64_t age_ms = now_ms > held_ms ? now_ms - held_ms : 0;

	if (!started_unix_ms || !now_unix_ms)
		return true;
	if (started_unix_ms > now_unix_ms)
		return false;
	return age_ms > now_unix_ms - started_unix_ms + CLOCK_ERROR_MS;
}

uint32_t holder_list_hash(const flow_key_t *key)
{
	return (uint32_t)flow_key_hash(key, LIST_SEED);
}

bool holder_listed(const uint32_t *hashes, size_t n, const flow_key_t *key)
{
	uint32_t hash = holder_list_hash(key);

	for (size_t i = 0; i < n; i++)
		if (hashes[i] == hash)
			return true;
	return false;
}
