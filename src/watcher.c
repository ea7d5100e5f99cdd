#include "watcher.h"
#include "event_log.h"
#include "http_client.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct feed {
	uv_loop_t *loop;
	uv_timer_t timer; /* pauses */
	http_client_t *http;
	feed_ops_t ops;
	void *ctx;
	counters_t *counters;
	bool loaded;   /* pages were read once */
	bool watching; /* the request under way is a watch */
	bool reading;  /* pages are being read */
	bool reachable;
	uint64_t revision; /* watch from there */
	uint64_t begun_at; /* revision of the first page */
	char last_key[256];
	unsigned wait_ms; /* of a watch, in the store */
	uint64_t gather_ms;
	uint64_t pause_ms;
	uint64_t asked_ms;
	uint64_t answered_ms; /* last good answer */
};

static void ask(feed_t *f);
static void on_answer(void *ctx, const http_answer_t *answer);

static void set_reachable(feed_t *f, bool yes, const char *why)
{
	if (f->reachable == yes)
		return;
	f->reachable = yes;
	event_log(EVENT_STORE,
		  "\"state\":\"%s\",\"why\":\"%s\",\"revision\":%llu,"
		  "\"age_ms\":%llu",
		  yes ? "regained" : "lost", why,
		  (unsigned long long)f->revision,
		  (unsigned long long)(uv_now(f->loop) - f->answered_ms));
}

static void on_pause_over(uv_timer_t *timer)
{
	ask(timer->data);
}

static void pause_and_ask(feed_t *f)
{
	f->pause_ms = f->pause_ms ? f->pause_ms * 2 : FEED_PAUSE_MS;
	if (f->pause_ms > FEED_PAUSE_MAX_MS)
		f->pause_ms = FEED_PAUSE_MAX_MS;
	if (!f->revision)
		f->pause_ms = FEED_PAUSE_MS;
	uv_timer_start(&f->timer, on_pause_over,
		       f->pause_ms / 2 + (uint64_t)g_random_int_range(
						 0, (gint32)f->pause_ms),
		       0);
}

static void ask(feed_t *f)
{
	uint64_t timeout = FEED_READ_MS;
	char *path;

	if (http_client_busy(f->http))
		return;
	f->watching = f->loaded && !f->reading;
	if (f->watching) {
		path = f->ops.watch_path(f->ctx, f->revision, f->wait_ms);
		timeout = f->wait_ms + FEED_SPARE_MS;
	} else {
		if (!f->reading) {
			f->reading = true;
			f->begun_at = 0;
			f->last_key[0] = '\0';
			f->ops.begin(f->ctx);
		}
		path = f->ops.read_path(f->ctx,
					f->last_key[0] ? f->last_key : NULL);
	}
	f->asked_ms = uv_now(f->loop);
	counter_add(f->counters, COUNTER_PLATFORM_CALLS, 1);
	http_client_get(f->http, path, timeout, on_answer, f);
	g_free(path);
}

/* Goes on behind a page, or watches from where the reading began. */
static void page_read(feed_t *f, const feed_page_t *page)
{
	if (!f->begun_at)
		f->begun_at = page->revision;
	if (page->more && page->items) {
		g_strlcpy(f->last_key, page->last_key, sizeof(f->last_key));
		return;
	}
	f->reading = false;
	f->loaded = true;
	f->revision = f->begun_at;
	f->ops.end(f->ctx, f->begun_at);
	event_log(EVENT_STORE, "\"state\":\"read\",\"revision\":%llu",
		  (unsigned long long)f->revision);
}

static void failed(feed_t *f, const char *why)
{
	counter_add(f->counters, COUNTER_PLATFORM_FAILURES, 1);
	set_reachable(f, false, why);
	f->ops.reachable(f->ctx, false);
	pause_and_ask(f);
}

static void on_answer(void *ctx, const http_answer_t *answer)
{
	feed_t *f = ctx;
	feed_page_t page = { 0 };
	feed_verdict_t verdict;
	char why[64];
	err_t err = { 0 };

	if (!answer->status) {
		failed(f, answer->error);
		return;
	}
	verdict = f->ops.apply(f->ctx, answer->status, answer->body,
			       answer->len, f->watching, &page, &err);
	switch (verdict) {
	case FEED_OK:
		break;
	case FEED_HISTORY_GONE:
		event_log(EVENT_STORE,
			  "\"state\":\"history gone\",\"revision\":%llu",
			  (unsigned long long)f->revision);
		f->loaded = f->reading = false;
		ask(f);
		return;
	case FEED_BUSY:
		snprintf(why, sizeof(why), "status %d", answer->status);
		failed(f, why);
		return;
	case FEED_BAD:
		failed(f, err.what);
		return;
	}
	f->pause_ms = 0;
	set_reachable(f, true, "answered");
	f->answered_ms = uv_now(f->loop);
	f->ops.reachable(f->ctx, true);
	if (f->watching)
		f->revision = page.revision > f->revision ? page.revision
							  : f->revision;
	else
		page_read(f, &page);
	if (f->watching && page.items)
		uv_timer_start(&f->timer, on_pause_over, f->gather_ms, 0);
	else
		ask(f);
}

feed_t *feed_new(uv_loop_t *loop, const endpoint_t *store, uint32_t silence_ms,
		 uint32_t apply_ms, const feed_ops_t *ops, void *ctx,
		 counters_t *counters)
{
	feed_t *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->http = http_client_new(loop, store);
	if (!f->http) {
		free(f);
		return NULL;
	}
	f->loop = loop;
	f->ops = *ops;
	f->ctx = ctx;
	f->counters = counters;
	f->gather_ms = apply_ms / FEED_GATHER_PART;
	f->wait_ms = FEED_WAIT_MIN_MS;
	if (silence_ms > FEED_WAIT_MIN_MS + FEED_SPARE_MS + FEED_AGAIN_MS)
		f->wait_ms = silence_ms - FEED_SPARE_MS - FEED_AGAIN_MS;
	uv_timer_init(loop, &f->timer);
	f->timer.data = f;
	ask(f);
	return f;
}

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void feed_free(feed_t *f)
{
	if (!f)
		return;
	http_client_free(f->http);
	uv_timer_stop(&f->timer);
	uv_close((uv_handle_t *)&f->timer, on_closed);
}

bool feed_loaded(const feed_t *f)
{
	return f->loaded;
}

bool feed_reachable(const feed_t *f)
{
	return f->reachable;
}

uint64_t feed_revision(const feed_t *f)
{
	return f->revision;
}

void feed_wake(feed_t *f)
{
	uv_timer_stop(&f->timer);
	f->pause_ms = 0;
	http_client_abort(f->http, "asked again after a pause of the host");
	uv_timer_stop(&f->timer);
	ask(f);
}
