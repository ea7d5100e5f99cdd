#include "store_stand_in.h"
#include <arpa/inet.h>
#include "list.h"
#include <glib.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_SIZE_DEFAULT 50
#define READ_BUF_SIZE	  4096
/* Time after which a response is sent again, in ms. */
#define REPEAT_MS 5
/* Interval between the parts of a response that is sent at a pace, in ms. */
#define PART_MS 20

typedef struct item {
	char *key;
	char *value; /* NULL: deleted */
	uint64_t revision;
} item_t;

struct fake_store {
	uv_tcp_t tcp;
	uv_loop_t *loop;
	GPtrArray *items; /* item_t, sorted by key, deleted ones included */
	GPtrArray *copy;  /* item_t; NULL: none */
	uint64_t copy_revision;
	uint64_t era;
	char *era_text; /* value of the header; NULL: no header */
	uint64_t revision;
	uint64_t compacted_revision; /* older watches get 410 */
	store_fault_t fault;
	unsigned page_size;
	unsigned pace; /* bytes per second; 0: unlimited */
	unsigned nrequests;
	unsigned hook_request;	 /* before this request, 0: none, */
	void (*hook)(void *ctx); /* the hook is called */
	void *hook_ctx;
	list_t connections;
};

typedef struct connection {
	uv_tcp_t tcp;
	uv_timer_t watch_timer; /* ends a watch without changes */
	uv_timer_t repeat_timer;
	char *repeat; /* response to send again; NULL: none */
	uv_timer_t part_timer;
	char *parts;	  /* response that is sent at a pace; NULL: none */
	size_t part_next; /* its first byte that is not sent */
	int open_handles;
	fake_store_t *store;
	http_parser parser;
	char path[512];
	size_t path_len;
	uint64_t watch_revision; /* of the watch: report changes after it */
	bool watching;
	bool stalled;
	char buffer[READ_BUF_SIZE];
	list_t node;
} connection_t;

typedef struct response {
	uv_write_t write;
	char *text;
	connection_t *close_after; /* close after the response; NULL: none */
} response_t;

static void free_item(gpointer data)
{
	item_t *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void on_closed(uv_handle_t *handle)
{
	connection_t *c = handle->data;

	if (--c->open_handles)
		return;
	g_free(c->repeat);
	g_free(c->parts);
	free(c);
}

static void close_connection(connection_t *c, bool reset)
{
	if (!c->store)
		return;
	c->store = NULL;
	list_remove(&c->node);
	if (reset)
		uv_tcp_close_reset(&c->tcp, on_closed);
	else
		uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->watch_timer, on_closed);
	uv_close((uv_handle_t *)&c->repeat_timer, on_closed);
	uv_close((uv_handle_t *)&c->part_timer, on_closed);
}

static void on_written(uv_write_t *write, int status)
{
	response_t *a = write->data;

	(void)status;
	if (a->close_after)
		close_connection(a->close_after, false);
	g_free(a->text);
	free(a);
}

/* Sends the next part of a response that is sent at a pace. */
static void on_part(uv_timer_t *timer)
{
	connection_t *c = timer->data;
	size_t left = strlen(c->parts) - c->part_next;
	size_t len = MIN(left, MAX(1, c->store->pace / (1000 / PART_MS)));
	response_t *a;
	uv_buf_t buf;

	if (c->stalled)
		return;
	a = calloc(1, sizeof(*a));
	if (!a)
		abort();
	a->write.data = a;
	a->text = g_strndup(c->parts + c->part_next, len);
	buf = uv_buf_init(a->text, (unsigned)len);
	uv_write(&a->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
	c->part_next += len;
	if (len < left)
		uv_timer_start(timer, on_part, PART_MS, 0);
}

static void on_repeat(uv_timer_t *timer)
{
	connection_t *c = timer->data;
	response_t *a = calloc(1, sizeof(*a));
	uv_buf_t buf;

	if (!a)
		abort();
	a->write.data = a;
	a->text = c->repeat;
	c->repeat = NULL;
	buf = uv_buf_init(a->text, (unsigned)strlen(a->text));
	uv_write(&a->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

static void repeat_later(connection_t *c, const char *text)
{
	c->repeat = g_strdup(text);
	uv_timer_start(&c->repeat_timer, on_repeat, REPEAT_MS, 0);
}

static void send_response(connection_t *c, int status, const char *body)
{
	response_t *a = calloc(1, sizeof(*a));
	g_autofree char *era = NULL;
	uv_buf_t buf;

	if (!a)
		abort();
	a->write.data = a;
	if (c->store->era_text)
		era = g_strdup_printf("STORE-Era: %s\r\n", c->store->era_text);
	a->text = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s"
				  "Content-Type: application/json\r\n\r\n%s",
				  status, strlen(body), era ? era : "", body);
	if (c->store->pace) {
		g_free(c->parts);
		c->parts = a->text;
		c->part_next = 0;
		free(a);
		uv_timer_start(&c->part_timer, on_part, 0, 0);
		return;
	}
	if (c->store->fault == STORE_TWICE && !c->repeat)
		repeat_later(c, a->text);
	buf = uv_buf_init(a->text, (unsigned)strlen(a->text));
	if (c->store->fault == STORE_TRUNCATED) {
		buf.len /= 2;
		a->close_after = c;
	}
	uv_write(&a->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

static void add_item(GString *out, const item_t *item)
{
	g_autofree char *value = NULL;

	if (out->str[out->len - 1] == '}')
		g_string_append_c(out, ',');
	if (!item->value) {
		g_string_append_printf(
			out,
			"{\"key\":\"%s\",\"revision\":%llu,\"deleted\":true}",
			item->key, (unsigned long long)item->revision);
		return;
	}
	value = g_base64_encode((const guchar *)item->value,
				strlen(item->value));
	g_string_append_printf(out,
			       "{\"key\":\"%s\",\"value\":\"%s\","
			       "\"revision\":%llu,\"created\":1,\"lease\":0}",
			       item->key, value,
			       (unsigned long long)item->revision);
}

/* Responds to a watch when there are changes, or when it has timed out. */
static void send_watch_response(connection_t *c, bool timed_out)
{
	g_autoptr(GString) out = g_string_new("{\"events\":[");
	unsigned n = 0;

	if (c->watch_revision < c->store->compacted_revision ||
	    c->watch_revision > c->store->revision) {
		c->watching = false;
		send_response(c, 410, "{\"error\":\"gone\"}");
		return;
	}
	for (guint i = 0; i < c->store->items->len; i++) {
		const item_t *item = g_ptr_array_index(c->store->items, i);

		if (item->revision <= c->watch_revision)
			continue;
		add_item(out, item);
		n++;
	}
	if (n == 0 && !timed_out)
		return;
	c->watching = false;
	uv_timer_stop(&c->watch_timer);
	g_string_append_printf(out, "],\"store_revision\":%llu}",
			       (unsigned long long)c->store->revision);
	send_response(c, 200, out->str);
}

/*
 * Responds, or does not, as the fault requires. Returns false when the request
 * has to be handled as usual.
 */
static bool apply_fault(connection_t *c)
{
	switch (c->store->fault) {
	case STORE_UNAVAILABLE:
		send_response(c, 503, "{}");
		return true;
	case STORE_RATE_LIMITED:
		send_response(c, 429, "{}");
		return true;
	case STORE_RESET:
		close_connection(c, true);
		return true;
	case STORE_NO_RESPONSE:
		return true;
	case STORE_BAD_JSON:
		send_response(c, 200, "[not json");
		return true;
	default:
		return c->stalled;
	}
}

static void on_watch_timeout(uv_timer_t *timer)
{
	connection_t *c = timer->data;

	if (!apply_fault(c))
		send_watch_response(c, true);
}

static void send_range_response(connection_t *c, const char *after)
{
	g_autoptr(GString) out = g_string_new("{\"items\":[");
	const fake_store_t *s = c->store;
	unsigned n = 0;
	bool has_more = false;

	for (guint i = 0; i < s->items->len; i++) {
		const item_t *item = g_ptr_array_index(s->items, i);

		if (!item->value || (after && strcmp(item->key, after) <= 0))
			continue;
		has_more = n == s->page_size;
		if (has_more)
			break;
		add_item(out, item);
		n++;
	}
	g_string_append_printf(
		out, "],\"has_more\":%s,\"store_revision\":%llu}",
		has_more ? "true" : "false", (unsigned long long)s->revision);
	send_response(c, 200, out->str);
}

/* Value of a query parameter, or NULL; freed by the caller with g_free(). */
static char *query_param(const char *path, const char *name)
{
	g_autofree char *prefix = g_strdup_printf("%s=", name);
	const char *at = strstr(path, prefix);
	const char *end;

	if (!at)
		return NULL;
	at += strlen(prefix);
	end = strchr(at, '&');
	return end ? g_strndup(at, (gsize)(end - at)) : g_strdup(at);
}

static void handle_request(connection_t *c)
{
	g_autofree char *after = query_param(c->path, "after");
	g_autofree char *wait_ms = query_param(c->path, "wait_ms");

	if (apply_fault(c))
		return;
	if (g_str_has_prefix(c->path, "/v1/kv-range")) {
		send_range_response(c, after);
	} else if (g_str_has_prefix(c->path, "/v1/kv-watch")) {
		c->watch_revision =
			g_ascii_strtoull(after ? after : "0", NULL, 10);
		c->watching = true;
		uv_timer_start(
			&c->watch_timer, on_watch_timeout,
			g_ascii_strtoull(wait_ms ? wait_ms : "0", NULL, 10), 0);
		send_watch_response(c, false);
	} else {
		send_response(c, 404, "{}");
	}
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	connection_t *c = parser->data;

	if (c->path_len + len >= sizeof(c->path))
		return -1;
	memcpy(c->path + c->path_len, at, len);
	c->path_len += len;
	c->path[c->path_len] = '\0';
	return 0;
}

static int on_complete(http_parser *parser)
{
	connection_t *c = parser->data;

	c->path_len = 0;
	if (++c->store->nrequests == c->store->hook_request)
		c->store->hook(c->store->hook_ctx);
	handle_request(c);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_message_complete = on_complete,
};

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	connection_t *c = handle->data;

	(void)size;
	*buf = uv_buf_init(c->buffer, sizeof(c->buffer));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	connection_t *c = stream->data;

	if (len < 0)
		close_connection(c, false);
	else if (len > 0)
		http_parser_execute(&c->parser, &parser_settings, buf->base,
				    (size_t)len);
}

static void on_connection(uv_stream_t *stream, int status)
{
	fake_store_t *s = stream->data;
	connection_t *c = calloc(1, sizeof(*c));

	if (!c || status < 0)
		abort();
	uv_tcp_init(s->loop, &c->tcp);
	uv_timer_init(s->loop, &c->watch_timer);
	c->tcp.data = c;
	c->watch_timer.data = c;
	uv_timer_init(s->loop, &c->repeat_timer);
	c->repeat_timer.data = c;
	uv_timer_init(s->loop, &c->part_timer);
	c->part_timer.data = c;
	c->open_handles = 4;
	c->store = s;
	list_append(&s->connections, &c->node);
	uv_accept(stream, (uv_stream_t *)&c->tcp);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

fake_store_t *fake_store_open(uv_loop_t *loop, endpoint_t *at)
{
	struct sockaddr_in sa = endpoint_sockaddr(at);
	int len = sizeof(sa);
	fake_store_t *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->loop = loop;
	s->items = g_ptr_array_new_with_free_func(free_item);
	s->page_size = PAGE_SIZE_DEFAULT;
	s->revision = 1;
	s->era = 1;
	s->era_text = g_strdup("1");
	list_init(&s->connections);
	uv_tcp_init(loop, &s->tcp);
	s->tcp.data = s;
	if (uv_tcp_bind(&s->tcp, (struct sockaddr *)&sa, 0) < 0 ||
	    uv_listen((uv_stream_t *)&s->tcp, 8, on_connection) < 0 ||
	    uv_tcp_getsockname(&s->tcp, (struct sockaddr *)&sa, &len) < 0)
		abort();
	at->port = ntohs(sa.sin_port);
	return s;
}

static void on_store_closed(uv_handle_t *handle)
{
	fake_store_t *s = handle->data;

	g_ptr_array_free(s->items, TRUE);
	if (s->copy)
		g_ptr_array_free(s->copy, TRUE);
	g_free(s->era_text);
	free(s);
}

void fake_store_close(fake_store_t *s)
{
	list_each_safe(node, after, &s->connections)
		close_connection(list_entry(node, connection_t, node), false);
	uv_close((uv_handle_t *)&s->tcp, on_store_closed);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const item_t *const *x = a;
	const item_t *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static void set_item(fake_store_t *s, const char *key, const char *value)
{
	item_t *item = NULL;

	for (guint i = 0; i < s->items->len && !item; i++) {
		item_t *other = g_ptr_array_index(s->items, i);

		if (!strcmp(other->key, key))
			item = other;
	}
	if (!item) {
		item = g_new0(item_t, 1);
		item->key = g_strdup(key);
		g_ptr_array_add(s->items, item);
	}
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = ++s->revision;
	g_ptr_array_sort(s->items, compare_keys);
	list_each_safe(node, after, &s->connections)
	{
		connection_t *c = list_entry(node, connection_t, node);

		if (c->watching && !c->stalled &&
		    (s->fault == STORE_OK || s->fault == STORE_TWICE))
			send_watch_response(c, false);
	}
}

void fake_store_put(fake_store_t *s, const char *key, const char *value)
{
	set_item(s, key, value);
}

void fake_store_delete(fake_store_t *s, const char *key)
{
	set_item(s, key, NULL);
}

static gpointer copy_item(gconstpointer data, gpointer ctx)
{
	const item_t *item = data;
	item_t *copy = g_new0(item_t, 1);

	(void)ctx;
	copy->key = g_strdup(item->key);
	copy->value = g_strdup(item->value);
	copy->revision = item->revision;
	return copy;
}

static GPtrArray *copy_items(GPtrArray *items)
{
	GPtrArray *copy = g_ptr_array_copy(items, copy_item, NULL);

	g_ptr_array_set_free_func(copy, free_item);
	return copy;
}

void fake_store_copy(fake_store_t *s)
{
	if (s->copy)
		g_ptr_array_free(s->copy, TRUE);
	s->copy = copy_items(s->items);
	s->copy_revision = s->revision;
}

void fake_store_restore(fake_store_t *s, bool cut)
{
	g_ptr_array_free(s->items, TRUE);
	s->items = copy_items(s->copy);
	s->revision = s->copy_revision;
	s->era++;
	g_free(s->era_text);
	s->era_text = g_strdup_printf("%llu", (unsigned long long)s->era);
	list_each_safe(node, after, &s->connections)
	{
		connection_t *c = list_entry(node, connection_t, node);

		if (cut)
			close_connection(c, true);
		else if (c->watching && !c->stalled && s->fault == STORE_OK)
			send_watch_response(c, true);
	}
}

void fake_store_set_era_text(fake_store_t *s, const char *text)
{
	g_free(s->era_text);
	s->era_text = g_strdup(text);
}

void fake_store_compact(fake_store_t *s)
{
	s->compacted_revision = s->revision + 1;
	s->revision++;
}

void fake_store_set_fault(fake_store_t *s, store_fault_t fault)
{
	s->fault = fault;
	if (fault == STORE_RESET)
		fake_store_cut(s);
}

void fake_store_set_pace(fake_store_t *s, unsigned bytes_per_s)
{
	s->pace = bytes_per_s;
}

void fake_store_cut(fake_store_t *s)
{
	list_each_safe(node, after, &s->connections)
		close_connection(list_entry(node, connection_t, node), true);
}

void fake_store_stall_connections(fake_store_t *s)
{
	list_each(node, &s->connections) list_entry(node, connection_t, node)
		->stalled = true;
}

void fake_store_set_page_size(fake_store_t *s, unsigned items)
{
	s->page_size = items;
}

void fake_store_before_request(fake_store_t *s, unsigned number,
			       void (*hook)(void *ctx), void *ctx)
{
	s->hook_request = number;
	s->hook = hook;
	s->hook_ctx = ctx;
}

unsigned fake_store_request_count(const fake_store_t *s)
{
	return s->nrequests;
}
