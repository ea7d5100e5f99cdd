#include "watcher.h"
#include "event_log.h"
#include "http_client.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct watcher {
	uv_loop_t *loop;
	uv_timer_t timer; /* back-off and batching delay */
	http_client_t *http;
	watcher_ops_t ops;
	void *ctx;
	counters_t *counters;
	bool synced;   /* see watcher_synced() */
	bool watching; /* the current request is a watch */
	bool listing;  /* pages are being read */
	bool reachable;
	uint64_t revision;	/* the watch reports changes after it */
	uint64_t list_revision; /* revision of the first page */
	char last_key[256];
	unsigned wait_ms; /* time that the store may hold a watch */
	uint64_t batch_ms;
	uint64_t backoff_ms;
	uint64_t last_sent_ms;
	uint64_t last_answer_ms; /* last valid answer */
};

static void send_request(watcher_t *w);
static void on_answer(void *ctx, const http_response_t *answer);

static void set_reachable(watcher_t *w, bool yes, const char *reason)
{
	if (w->reachable == yes)
		return;
	w->reachable = yes;
	event_log(EVENT_STORE,
		  "\"state\":\"%s\",\"why\":\"%s\",\"revision\":%llu,"
		  "\"age_ms\":%llu",
		  yes ? "reachable" : "unreachable", reason,
		  (unsigned long long)w->revision,
		  (unsigned long long)(uv_now(w->loop) - w->last_answer_ms));
}

static void on_timer(uv_timer_t *timer)
{
	send_request(timer->data);
}

static void schedule_retry(watcher_t *w)
{
	w->backoff_ms = w->backoff_ms ? w->backoff_ms * 2 : WATCHER_BACKOFF_MS;
	if (w->backoff_ms > WATCHER_BACKOFF_MAX_MS)
		w->backoff_ms = WATCHER_BACKOFF_MAX_MS;
	if (!w->revision)
		w->backoff_ms = WATCHER_BACKOFF_MS;
	uv_timer_start(&w->timer, on_timer,
		       w->backoff_ms / 2 + (uint64_t)g_random_int_range(
						   0, (gint32)w->backoff_ms),
		       0);
}

static void send_request(watcher_t *w)
{
	uint64_t timeout = WATCHER_PAGE_TIMEOUT_MS;
	char *path;

	if (http_client_busy(w->http))
		return;
	w->watching = w->synced && !w->listing;
	if (w->watching) {
		path = w->ops.watch_path(w->ctx, w->revision, w->wait_ms);
		timeout = w->wait_ms + WATCHER_ANSWER_MARGIN_MS;
	} else {
		if (!w->listing) {
			w->listing = true;
			w->list_revision = 0;
			w->last_key[0] = '\0';
			w->ops.resync_begin(w->ctx);
		}
		path = w->ops.page_path(w->ctx,
					w->last_key[0] ? w->last_key : NULL);
	}
	w->last_sent_ms = uv_now(w->loop);
	counter_add(w->counters, COUNTER_PLATFORM_CALLS, 1);
	http_client_get(w->http, path, timeout, on_answer, w);
	g_free(path);
}

/* Continues with the next page, or ends the listing. The watch then starts
 * at the revision of the first page, so that changes made during the listing
 * are seen. */
static void page_received(watcher_t *w, const watcher_page_t *page)
{
	if (!w->list_revision)
		w->list_revision = page->revision;
	if (page->has_more && page->nitems) {
		g_strlcpy(w->last_key, page->last_key, sizeof(w->last_key));
		return;
	}
	w->listing = false;
	w->synced = true;
	w->revision = w->list_revision;
	w->ops.resync_end(w->ctx, w->list_revision);
	event_log(EVENT_STORE,
		  "\"state\":\"resync complete\",\"revision\":%llu",
		  (unsigned long long)w->revision);
}

static void request_failed(watcher_t *w, const char *reason)
{
	counter_add(w->counters, COUNTER_PLATFORM_FAILURES, 1);
	set_reachable(w, false, reason);
	w->ops.reachable(w->ctx, false);
	schedule_retry(w);
}

static void on_answer(void *ctx, const http_response_t *answer)
{
	watcher_t *w = ctx;
	watcher_page_t page = { 0 };
	watcher_result_t result;
	char reason[64];
	err_t err = { 0 };

	if (!answer->status) {
		request_failed(w, answer->error);
		return;
	}
	result = w->ops.apply(w->ctx, answer->status, answer->body, answer->len,
			      w->watching, &page, &err);
	switch (result) {
	case WATCHER_OK:
		break;
	case WATCHER_COMPACTED:
		event_log(EVENT_STORE,
			  "\"state\":\"history compacted\",\"revision\":%llu",
			  (unsigned long long)w->revision);
		w->synced = w->listing = false;
		send_request(w);
		return;
	case WATCHER_RETRY:
		snprintf(reason, sizeof(reason), "status %d", answer->status);
		request_failed(w, reason);
		return;
	case WATCHER_MALFORMED:
		request_failed(w, err.what);
		return;
	}
	w->backoff_ms = 0;
	set_reachable(w, true, "answered");
	w->last_answer_ms = uv_now(w->loop);
	w->ops.reachable(w->ctx, true);
	if (w->watching)
		w->revision = page.revision > w->revision ? page.revision
							  : w->revision;
	else
		page_received(w, &page);
	if (w->watching && page.nitems)
		uv_timer_start(&w->timer, on_timer, w->batch_ms, 0);
	else
		send_request(w);
}

watcher_t *watcher_new(uv_loop_t *loop, const endpoint_t *store,
		       uint32_t silence_ms, uint32_t apply_ms,
		       const watcher_ops_t *ops, void *ctx,
		       counters_t *counters)
{
	watcher_t *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->http = http_client_new(loop, store);
	if (!w->http) {
		free(w);
		return NULL;
	}
	w->loop = loop;
	w->ops = *ops;
	w->ctx = ctx;
	w->counters = counters;
	w->batch_ms = apply_ms / WATCHER_BATCH_DIVISOR;
	w->wait_ms = WATCHER_WAIT_MIN_MS;
	if (silence_ms > WATCHER_WAIT_MIN_MS + WATCHER_ANSWER_MARGIN_MS +
				 WATCHER_RECONNECT_MS)
		w->wait_ms = silence_ms - WATCHER_ANSWER_MARGIN_MS -
			     WATCHER_RECONNECT_MS;
	uv_timer_init(loop, &w->timer);
	w->timer.data = w;
	send_request(w);
	return w;
}

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void watcher_free(watcher_t *w)
{
	if (!w)
		return;
	http_client_free(w->http);
	uv_timer_stop(&w->timer);
	uv_close((uv_handle_t *)&w->timer, on_closed);
}

bool watcher_synced(const watcher_t *w)
{
	return w->synced;
}

bool watcher_reachable(const watcher_t *w)
{
	return w->reachable;
}

uint64_t watcher_revision(const watcher_t *w)
{
	return w->revision;
}

void watcher_resume(watcher_t *w)
{
	uv_timer_stop(&w->timer);
	w->backoff_ms = 0;
	http_client_abort(w->http,
			  "host resumed from suspension; request repeated");
	uv_timer_stop(&w->timer);
	send_request(w);
}
