#include "open_queue.h"
#include "placement.h"
#include "relay_mechanism.h"
#include <stddef.h>

/* Least late opens allowed: one shows when the overload has ended. */
#define LIMIT_MIN 1.0
/* Factor on the limit when opens waited in vain, and the shortest time between
 * two reductions, in ms. */
#define GIVEN_UP_FACTOR	      0.92
#define REDUCTION_INTERVAL_MS 100
/* Added to the limit for each open that was served. */
#define SERVED_STEP 1.0

void open_queue_init(open_queue_t *q)
{
	list_init(&q->waiting);
	q->n = 0;
	q->reduced_ms = 0;
	open_queue_set_rate(q, 0, 0);
	q->late_limit = q->max;
}

void open_queue_set_rate(open_queue_t *q, uint32_t slots, double service_ms)
{
	double before = q->max;

	q->max = OPEN_QUEUE_MS / placement_response_ms(0, slots, service_ms) *
		 (slots ? slots : 1);
	if (q->max < LIMIT_MIN)
		q->max = LIMIT_MIN;
	/* A limit that was never reduced stays at the maximum. */
	if (q->late_limit >= before || q->late_limit > q->max)
		q->late_limit = q->max;
}

bool open_queue_add(open_queue_t *q, open_wait_t *w)
{
	if (q->n >= (unsigned)q->max)
		return false;
	list_append(&q->waiting, &w->node);
	w->queue = q;
	q->n++;
	return true;
}

void open_wait_cancel(open_wait_t *w)
{
	if (!w->queue)
		return;
	list_remove(&w->node);
	w->queue->n--;
	w->queue = NULL;
}

/* True for an open that may be delivered to a server without a free slot. */
static bool fits(const open_wait_t *w, uint64_t now, double response_ms)
{
	return !w->max_wait_ms ||
	       (double)(now - w->since_ms) + response_ms <= w->max_wait_ms;
}

open_wait_t *open_queue_next(open_queue_t *q, uint64_t now, double response_ms,
			     bool slot_free)
{
	open_wait_t *best = NULL;
	bool best_in_time = false;

	list_each(node, &q->waiting)
	{
		open_wait_t *w = list_entry(node, open_wait_t, node);
		bool in_time = now < w->late_ms;

		if (now >= w->give_up_ms ||
		    (in_time ? !slot_free && !fits(w, now, response_ms)
			     : !slot_free || best_in_time))
			continue;
		if (best && !relay_mechanism_on(RELAY_QUEUE_ORDER))
			break;
		if (!best || (in_time && !best_in_time) ||
		    w->priority > best->priority ||
		    (in_time && w->priority == best->priority)) {
			best = w;
			best_in_time = in_time;
		}
	}
	if (!best)
		return NULL;
	open_wait_cancel(best);
	if (!best_in_time)
		q->late_limit += SERVED_STEP;
	if (q->late_limit > q->max)
		q->late_limit = q->max;
	return best;
}

static void reduce_late_limit(open_queue_t *q, uint64_t now)
{
	if (now < q->reduced_ms + REDUCTION_INTERVAL_MS ||
	    !relay_mechanism_on(RELAY_LATE_LIMIT))
		return;
	q->reduced_ms = now;
	q->late_limit *= GIVEN_UP_FACTOR;
	if (q->late_limit < LIMIT_MIN)
		q->late_limit = LIMIT_MIN;
}

open_wait_t *open_queue_expired(open_queue_t *q, uint64_t now)
{
	open_wait_t *worst = NULL;
	unsigned late = 0;

	list_each(node, &q->waiting)
	{
		open_wait_t *w = list_entry(node, open_wait_t, node);

		if (now >= w->give_up_ms) {
			open_wait_cancel(w);
			reduce_late_limit(q, now);
			return w;
		}
		if (now < w->late_ms)
			continue;
		late++;
		if (!worst || w->priority < worst->priority)
			worst = w;
	}
	if (!worst || late <= (unsigned)q->late_limit)
		return NULL;
	open_wait_cancel(worst);
	reduce_late_limit(q, now);
	return worst;
}

open_wait_t *open_queue_pop(open_queue_t *q)
{
	open_wait_t *w;

	if (list_empty(&q->waiting))
		return NULL;
	w = list_entry(q->waiting.next, open_wait_t, node);
	open_wait_cancel(w);
	return w;
}
