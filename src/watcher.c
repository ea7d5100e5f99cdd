#include "watcher.h"
#include "event_log.h"
#include "http_client.h"
#include "relay_mechanism.h"
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
	bool synced;	/* see watcher_synced() */
	bool must_list; /* a watch from `revision` would miss changes */
	bool watching;	/* the current request is a watch */
	bool listing;	/* pages are being read */
	bool reachable;
	char why[80]; /* last logged reason of `reachable` */
	bool at_once; /* the next watch does not wait for changes */
	uint64_t era; /* highest that the store has published */
	store_revision_t revision;	/* the watch reports changes after it */
	store_revision_t list_revision; /* revision of the first page */
	char last_key[256];
	unsigned wait_ms; /* time that the store may hold a watch */
	uint64_t batch_ms;
	uint64_t backoff_ms;
	uint64_t sent_ms;	 /* last request */
	uint64_t listed_ms;	 /* begin of the last listing */
	uint64_t sent_wait_ms;	 /* time that the store may hold it */
	uint64_t last_answer_ms; /* last valid answer */
};

static void send_request(watcher_t *w);
static void on_answer(void *ctx, const http_response_t *answer);

static void set_reachable(watcher_t *w, bool yes, const char *reason)
{
	if (w->reachable == yes && !strcmp(w->why, reason))
		return;
	w->reachable = yes;
	g_strlcpy(w->why, reason, sizeof(w->why));
	event_log(EVENT_STORE,
		  "\"state\":\"%s\",\"why\":\"%s\",\"era\":%llu,"
		  "\"revision\":%llu,\"age_ms\":%llu",
		  yes ? "reachable" : "unreachable", reason,
		  (unsigned long long)w->era,
		  (unsigned long long)w->revision.number,
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
	if (store_revision_none(w->revision))
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
	w->sent_wait_ms = 0;
	w->watching = !w->must_list;
	if (w->watching) {
		/* After an interruption the answer is wanted at once: the store
		 * may have been restored meanwhile. */
		unsigned wait_ms = w->reachable && !w->at_once ? w->wait_ms : 0;

		w->at_once = false;

		path = w->ops.watch_path(w->ctx, w->revision.number, wait_ms);
		timeout = wait_ms + WATCHER_ANSWER_MARGIN_MS;
		w->sent_wait_ms = wait_ms;
	} else {
		if (!w->listing) {
			w->listing = true;
			w->list_revision = (store_revision_t){ 0 };
			w->last_key[0] = '\0';
			w->listed_ms = uv_now(w->loop);
			w->ops.resync_begin(w->ctx);
		}
		path = w->ops.page_path(w->ctx,
					w->last_key[0] ? w->last_key : NULL);
	}
	w->sent_ms = uv_now(w->loop);
	counter_add(w->counters, COUNTER_PLATFORM_CALLS, 1);
	http_client_get(w->http, path, timeout, on_answer, w);
	g_free(path);
}

/* Continues with the next page, or ends the listing. The watch then starts
 * at the revision of the first page, so that changes made during the listing
 * are seen. */
static void page_received(watcher_t *w, const watcher_page_t *page)
{
	if (store_revision_none(w->list_revision))
		w->list_revision = page->revision;
	if (page->has_more && page->nitems) {
		g_strlcpy(w->last_key, page->last_key, sizeof(w->last_key));
		return;
	}
	w->listing = w->must_list = false;
	w->synced = true;
	w->revision = w->list_revision;
	w->ops.resync_end(w->ctx, w->list_revision);
	w->ops.read(w->ctx, w->listed_ms);
	event_log(EVENT_STORE,
		  "\"state\":\"resync complete\",\"era\":%llu,"
		  "\"revision\":%llu",
		  (unsigned long long)w->revision.era,
		  (unsigned long long)w->revision.number);
}

static void request_failed(watcher_t *w, const char *reason)
{
	counter_add(w->counters, COUNTER_PLATFORM_FAILURES, 1);
	set_reachable(w, false, reason);
	w->ops.reachable(w->ctx, false);
	schedule_retry(w);
}

/*
 * True when the answer to a watch was not received and the next one would be no
 * smaller: everything is then listed, since pages are bounded, and those read
 * are not read again when a later one is broken off.
 */
static bool changes_too_large(const watcher_t *w, const http_response_t *answer)
{
	return w->watching &&
	       (answer->too_large ||
		(!answer->status && (answer->announced > WATCHER_PAGE_BYTES ||
				     answer->len > WATCHER_PAGE_BYTES)));
}

static void list_changes(watcher_t *w, const http_response_t *answer)
{
	event_log(EVENT_STORE,
		  "\"state\":\"changes too large\",\"bytes\":%llu,"
		  "\"received\":%zu,\"max_bytes\":%d,\"revision\":%llu",
		  (unsigned long long)answer->announced, answer->len,
		  HTTP_BODY_MAX, (unsigned long long)w->revision.number);
	w->must_list = true;
}

/* Begins a listing in place of what was requested last. */
static void list_again(watcher_t *w)
{
	w->listing = false;
	w->must_list = true;
	send_request(w);
}

/* Checks the era of an answer. Returns false when the answer must not be
 * applied; the next request has then been sent or scheduled. */
static bool check_era(watcher_t *w, const http_response_t *answer)
{
	bool first = store_revision_none(w->revision) && !w->era &&
		     store_revision_none(w->list_revision);
	char reason[80];
	uint64_t era;
	err_t err;

	if (w->ops.read_era(w->ctx, answer, &era, &err) < 0) {
		request_failed(w, err.what);
		return false;
	}
	if (era == w->era)
		return true;
	if (era < w->era) {
		snprintf(reason, sizeof(reason),
			 "store answers from era %llu, known is %llu",
			 (unsigned long long)era, (unsigned long long)w->era);
		request_failed(w, reason);
		return false;
	}
	w->era = era;
	if (first)
		return true;
	counter_add(w->counters, COUNTER_STORE_RESTORED, 1);
	event_log(EVENT_STORE,
		  "\"state\":\"restored from a copy\",\"era\":%llu,"
		  "\"before\":%llu,\"revision\":%llu",
		  (unsigned long long)era, (unsigned long long)w->revision.era,
		  (unsigned long long)w->revision.number);
	list_again(w);
	return false;
}

/*
 * True for an answer to a watch that cannot be that of the last request: the
 * store sent an earlier answer twice. It is behind what is known, or has no
 * changes although the store was to wait for some.
 */
static bool is_stale(const watcher_t *w, const watcher_page_t *page)
{
	return w->watching &&
	       (store_revision_compare(page->revision, w->revision) < 0 ||
		(!page->nitems &&
		 uv_now(w->loop) < w->sent_ms + w->sent_wait_ms / 2));
}

static void watch_answered(watcher_t *w, const watcher_page_t *page)
{
	if (store_revision_compare(page->revision, w->revision) > 0)
		w->revision = page->revision;
	w->ops.read(w->ctx, w->sent_ms);
}

static void on_answer(void *ctx, const http_response_t *answer)
{
	watcher_t *w = ctx;
	watcher_page_t page = { 0 };
	watcher_result_t result;
	char reason[64];
	err_t err = { 0 };

	if (changes_too_large(w, answer))
		list_changes(w, answer);
	if (answer->too_large && w->watching) {
		counter_add(w->counters, COUNTER_PLATFORM_FAILURES, 1);
		schedule_retry(w);
		return;
	}
	if (!answer->status) {
		request_failed(w, answer->error);
		return;
	}
	if (relay_mechanism_on(RELAY_ERA_ORDER) && answer->status == 200 &&
	    !check_era(w, answer))
		return;
	page.revision.era = w->era;
	if (w->listing)
		g_strlcpy(page.last_key, w->last_key, sizeof(page.last_key));
	result = w->ops.apply(w->ctx, answer, w->watching, &page, &err);
	switch (result) {
	case WATCHER_OK:
		break;
	case WATCHER_COMPACTED:
		if (!relay_mechanism_on(RELAY_HISTORY_RESYNC)) {
			request_failed(w, "history compacted");
			return;
		}
		event_log(EVENT_STORE,
			  "\"state\":\"history compacted\",\"revision\":%llu",
			  (unsigned long long)w->revision.number);
		list_again(w);
		return;
	case WATCHER_RETRY:
		snprintf(reason, sizeof(reason), "status %d", answer->status);
		request_failed(w, reason);
		return;
	case WATCHER_MALFORMED:
		http_client_disconnect(w->http);
		request_failed(w, err.what);
		return;
	}
	if (is_stale(w, &page)) {
		http_client_disconnect(w->http);
		request_failed(w, "answer belongs to an earlier request");
		return;
	}
	w->backoff_ms = 0;
	set_reachable(w, true, "answered");
	w->last_answer_ms = uv_now(w->loop);
	w->ops.reachable(w->ctx, true);
	if (!w->watching)
		page_received(w, &page);
	else
		watch_answered(w, &page);
	if (w->watching && page.nitems)
		uv_timer_start(&w->timer, on_timer, w->batch_ms, 0);
	else
		send_request(w);
}

watcher_t *watcher_new(uv_loop_t *loop, const endpoint_t *store,
		       uint32_t silence_ms, uint32_t apply_ms,
		       store_revision_t known, const watcher_ops_t *ops,
		       void *ctx, counters_t *counters)
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
	w->era = known.era;
	w->revision = known;
	w->must_list = store_revision_none(known);
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

store_revision_t watcher_revision(const watcher_t *w)
{
	return w->revision;
}

bool watcher_waits(const watcher_t *w)
{
	return http_client_busy(w->http) && w->watching && w->sent_wait_ms &&
	       !http_client_receiving(w->http);
}

void watcher_read(watcher_t *w)
{
	if (!w->reachable || (http_client_busy(w->http) && !watcher_waits(w)))
		return;
	http_client_cancel(w->http);
	uv_timer_stop(&w->timer);
	w->at_once = true;
	send_request(w);
}

void watcher_resume(watcher_t *w)
{
	if (http_client_receiving(w->http))
		return;
	uv_timer_stop(&w->timer);
	w->backoff_ms = 0;
	http_client_abort(w->http,
			  "host resumed from suspension; request repeated");
	uv_timer_stop(&w->timer);
	send_request(w);
}
