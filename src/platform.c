#include "platform.h"
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define CONNECT_TIMEOUT_MS 2000
#define READ_TIMEOUT_MS	   5000 /* time limit of a request without a wait */
#define WATCH_MARGIN_MS	   5000 /* added to PLATFORM_WATCH_MS for a long poll */
/* Idle time before the first TCP keepalive probe, and between probes. */
#define KEEPALIVE_INTERVAL_S 3
#define KEEPALIVE_PROBES     2
#define URL_BYTES	     512
#define HTTP_OK		     200
#define HTTP_NOT_MODIFIED    304

/* At most one request of each kind runs at a time. */
typedef enum call_kind { CALL_CONFIG, CALL_LIVE, CALL_KINDS } call_kind_t;

typedef struct call {
	CURL *easy; /* NULL: idle */
	char *body; /* owned */
	size_t len;
	platform_done_fn done;
	void *ctx;
} call_t;

typedef struct http {
	platform_t base; /* must be first */
	uv_loop_t *loop;
	uv_timer_t timer;
	CURLM *multi;
	counters_t *counters;
	char url[URL_BYTES];
	call_t calls[CALL_KINDS];
	bool closing;
} http_t;

typedef struct poll_handle {
	uv_poll_t poll;
	http_t *http;
	curl_socket_t fd;
} poll_handle_t;

static size_t on_body(char *data, size_t size, size_t n, void *ctx);
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose);
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *socket_ctx);
static int set_timer(CURLM *multi, long ms, void *ctx);
static void on_timer(uv_timer_t *timer);
static void on_poll(uv_poll_t *poll, int status, int events);
static void on_poll_closed(uv_handle_t *handle);
static void on_timer_closed(uv_handle_t *handle);
static void http_free(http_t *h);
static void collect_finished(http_t *h);
static void finish_call(http_t *h, call_t *call, CURLcode code);
static void start_call(http_t *h, call_kind_t kind, const char *path, long ms,
		       platform_done_fn done, void *ctx);
static void http_read(platform_t *p, uint64_t after, platform_done_fn done,
		      void *ctx);
static void http_live(platform_t *p, platform_done_fn done, void *ctx);
static void http_close(platform_t *p);

static const platform_ops_t http_ops = { http_read, http_live, http_close };

/*
 * Collects the body up to one byte above CONFIG_MAX_BYTES. config_parse()
 * rejects a document of that size.
 */
static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	call_t *call = ctx;
	size_t len = size * n;
	size_t room = CONFIG_MAX_BYTES + 1 - call->len;
	size_t ncopy = len < room ? len : room;
	char *buf = realloc(call->body, call->len + ncopy + 1);

	if (!buf)
		return 0;
	memcpy(buf + call->len, data, ncopy);
	call->body = buf;
	call->len += ncopy;
	return ncopy == len ? len : 0;
}

static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	int probes = KEEPALIVE_PROBES;

	(void)ctx;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	return CURL_SOCKOPT_OK;
}

static void on_poll_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *socket_ctx)
{
	http_t *h = ctx;
	poll_handle_t *p = socket_ctx;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (p) {
			uv_poll_stop(&p->poll);
			uv_close((uv_handle_t *)&p->poll, on_poll_closed);
			curl_multi_assign(h->multi, fd, NULL);
		}
		return 0;
	}
	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			return -1;
		p->http = h;
		p->fd = fd;
		uv_poll_init_socket(h->loop, &p->poll, fd);
		p->poll.data = p;
		curl_multi_assign(h->multi, fd, p);
	}
	if (what != CURL_POLL_IN)
		events |= UV_WRITABLE;
	if (what != CURL_POLL_OUT)
		events |= UV_READABLE;
	uv_poll_start(&p->poll, events, on_poll);
	return 0;
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	poll_handle_t *p = poll->data;
	http_t *h = p->http;
	int flags = 0;
	int running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(h->multi, p->fd, flags, &running);
	collect_finished(h);
}

static void on_timer(uv_timer_t *timer)
{
	http_t *h = timer->data;
	int running;

	curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect_finished(h);
}

static int set_timer(CURLM *multi, long ms, void *ctx)
{
	http_t *h = ctx;

	(void)multi;
	if (h->closing)
		return 0;
	if (ms < 0)
		uv_timer_stop(&h->timer);
	else
		uv_timer_start(&h->timer, on_timer, (uint64_t)ms, 0);
	return 0;
}

static void finish_call(http_t *h, call_t *call, CURLcode code)
{
	platform_result_t result = { .status = PLATFORM_FAILED };
	char *body = call->body;
	long status = 0;
	err_t err;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(h->multi, call->easy);
	curl_easy_cleanup(call->easy);
	result.text = body ? body : "";
	result.len = call->len;
	/* A body cut off at the limit is passed on: config_parse() rejects a
	 * document of that size with the reason. */
	if (status == HTTP_OK &&
	    (code == CURLE_OK || call->len > CONFIG_MAX_BYTES))
		result.status = PLATFORM_DOCUMENT;
	else if (code == CURLE_OK && status == HTTP_NOT_MODIFIED)
		result.status = PLATFORM_UNCHANGED;
	if (result.status == PLATFORM_FAILED) {
		counter_add(h->counters, COUNTER_PLATFORM_FAILURES, 1);
		err_set(&err, ERR_IO, h->url, 0,
			"check the platform; the active configuration stays "
			"in use",
			"request failed: %s, HTTP status %ld",
			curl_easy_strerror(code), status);
		result.err = &err;
	}
	call->easy = NULL;
	call->body = NULL;
	call->len = 0;
	call->done(call->ctx, &result);
	free(body);
}

static void collect_finished(http_t *h)
{
	CURLMsg *msg;
	int left;

	while (!h->closing && (msg = curl_multi_info_read(h->multi, &left))) {
		CURLcode code = msg->data.result;
		CURL *easy = msg->easy_handle;

		if (msg->msg != CURLMSG_DONE)
			continue;
		for (int i = 0; i < CALL_KINDS; i++)
			if (h->calls[i].easy == easy) {
				finish_call(h, &h->calls[i], code);
				break;
			}
	}
}

static void start_call(http_t *h, call_kind_t kind, const char *path, long ms,
		       platform_done_fn done, void *ctx)
{
	platform_result_t failed = { .status = PLATFORM_FAILED };
	call_t *call = &h->calls[kind];
	char url[URL_BYTES + 64];
	CURL *easy = call->easy ? NULL : curl_easy_init();
	err_t err;

	if (!easy) {
		err_set(&err, ERR_MEMORY, h->url, 0, "free memory",
			"out of memory, or a request of this kind is still "
			"running");
		failed.err = &err;
		done(ctx, &failed);
		return;
	}
	counter_add(h->counters, COUNTER_PLATFORM_CALLS, 1);
	snprintf(url, sizeof(url), "%s%s", h->url, path);
	call->easy = easy;
	call->done = done;
	call->ctx = ctx;
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ms);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE,
			 (long)KEEPALIVE_INTERVAL_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL,
			 (long)KEEPALIVE_INTERVAL_S);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_multi_add_handle(h->multi, easy);
}

static void http_read(platform_t *p, uint64_t after, platform_done_fn done,
		      void *ctx)
{
	char path[64] = "/config";

	if (after)
		snprintf(path, sizeof(path), "/config?after=%llu",
			 (unsigned long long)after);
	start_call((http_t *)p, CALL_CONFIG, path,
		   after ? PLATFORM_WATCH_MS + WATCH_MARGIN_MS
			 : READ_TIMEOUT_MS,
		   done, ctx);
}

static void http_live(platform_t *p, platform_done_fn done, void *ctx)
{
	start_call((http_t *)p, CALL_LIVE, "/live", READ_TIMEOUT_MS, done, ctx);
}

static void http_free(http_t *h)
{
	for (int i = 0; i < CALL_KINDS; i++)
		free(h->calls[i].body);
	free(h);
}

static void on_timer_closed(uv_handle_t *handle)
{
	http_free(handle->data);
}

static void http_close(platform_t *p)
{
	http_t *h = (http_t *)p;

	h->closing = true;
	for (int i = 0; i < CALL_KINDS; i++) {
		if (!h->calls[i].easy)
			continue;
		curl_multi_remove_handle(h->multi, h->calls[i].easy);
		curl_easy_cleanup(h->calls[i].easy);
	}
	curl_multi_cleanup(h->multi);
	uv_close((uv_handle_t *)&h->timer, on_timer_closed);
}

platform_t *platform_http_open(uv_loop_t *loop, const char *base,
			       counters_t *counters, err_t *err)
{
	http_t *h = calloc(1, sizeof(*h));

	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (h)
		h->multi = curl_multi_init();
	if (!h || !h->multi) {
		free(h);
		err_set(err, ERR_MEMORY, base, 0, "free memory",
			"out of memory for the HTTP client");
		return NULL;
	}
	h->base.ops = &http_ops;
	h->loop = loop;
	h->counters = counters;
	snprintf(h->url, sizeof(h->url), "%s", base);
	uv_timer_init(loop, &h->timer);
	h->timer.data = h;
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	return &h->base;
}
