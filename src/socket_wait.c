#include "socket_wait.h"

void socket_wait_init(socket_wait_t *w, uint64_t now)
{
	*w = (socket_wait_t){ .polled_ms = now, .empty_ms = now };
}

void socket_wait_poll(socket_wait_t *w, uint64_t now)
{
	/* The last poll did not report the socket as readable. */
	if (!w->read)
		w->empty_ms = w->polled_ms;
	w->polled_ms = now;
	w->read = false;
}

void socket_wait_read(socket_wait_t *w, bool all)
{
	w->read = true;
	if (all)
		w->empty_ms = w->polled_ms;
}

uint64_t socket_wait_bound(const socket_wait_t *w, uint64_t now)
{
	return now > w->empty_ms ? now - w->empty_ms : 0;
}

uint32_t socket_wait_ms(uint64_t bound_ms, const int64_t *stamp_age_ms)
{
	uint64_t ms = bound_ms;

	if (stamp_age_ms && *stamp_age_ms < (int64_t)bound_ms)
		ms = *stamp_age_ms > 0 ? (uint64_t)*stamp_age_ms : 0;
	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}
