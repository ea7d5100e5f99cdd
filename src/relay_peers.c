#include "relay_peers.h"
#include "event_log.h"
#include <glib.h>
#include <stdlib.h>

struct relay_peers {
	uv_loop_t *loop;
	uv_timer_t timer;
	endpoint_t peers[RELAY_PEERS_MAX];
	size_t n;
	size_t next; /* position of the peer for the current or next request */
	http_client_t *http;
	relay_peers_ops_t ops;
	void *ctx;
};

static void on_answer(void *ctx, const http_response_t *answer)
{
	relay_peers_t *p = ctx;
	char text[ENDPOINT_TEXT_SIZE];
	bool used = answer->status == 200 &&
		    p->ops.apply_state(p->ctx, answer->body, answer->len);

	if (used)
		event_log(EVENT_STORE,
			  "\"state\":\"read from peer\",\"peer\":\"%s\","
			  "\"revision\":%llu",
			  endpoint_format(&p->peers[p->next], text),
			  (unsigned long long)p->ops.revision(p->ctx));
	/* Without a newer state here, another peer may still have one. */
	if (!used)
		p->next = (p->next + 1) % p->n;
}

static void on_timer(uv_timer_t *timer)
{
	relay_peers_t *p = timer->data;
	char path[64];

	if (!p->ops.needed(p->ctx) || (p->http && http_client_busy(p->http)))
		return;
	http_client_free(p->http);
	p->http = http_client_new(p->loop, &p->peers[p->next]);
	if (!p->http)
		return;
	g_snprintf(path, sizeof(path), RELAY_STATE_PATH "%llu",
		   (unsigned long long)p->ops.revision(p->ctx));
	http_client_get(p->http, path, PEERS_TIMEOUT_MS, on_answer, p);
}

relay_peers_t *relay_peers_new(uv_loop_t *loop, const relay_settings_t *s,
			       const relay_peers_ops_t *ops, void *ctx)
{
	relay_peers_t *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	for (size_t i = 0; i < s->npeers; i++)
		if (s->peers[i].ip != s->address)
			p->peers[p->n++] = s->peers[i];
	if (p->n == 0) {
		free(p);
		return NULL;
	}
	p->loop = loop;
	p->ops = *ops;
	p->ctx = ctx;
	p->next = (size_t)g_random_int_range(0, (gint32)p->n);
	uv_timer_init(loop, &p->timer);
	p->timer.data = p;
	uv_timer_start(&p->timer, on_timer, PEERS_INTERVAL_MS / 2,
		       PEERS_INTERVAL_MS);
	return p;
}

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void relay_peers_free(relay_peers_t *p)
{
	if (!p)
		return;
	http_client_free(p->http);
	uv_timer_stop(&p->timer);
	uv_close((uv_handle_t *)&p->timer, on_closed);
}
