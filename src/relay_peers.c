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
	bool starting; /* see relay_peers_ops.started */
	size_t asked;  /* requests since the start */
	relay_peers_ops_t ops;
	void *ctx;
};

static void send_request(relay_peers_t *p);

static void end_start(relay_peers_t *p)
{
	if (!p->starting)
		return;
	p->starting = false;
	p->ops.started(p->ctx);
}

static void on_answer(void *ctx, const http_response_t *answer)
{
	relay_peers_t *p = ctx;
	char text[ENDPOINT_TEXT_SIZE];
	bool used = answer->status == 200 &&
		    p->ops.apply_state(p->ctx, answer->body, answer->len);
	store_revision_t revision = p->ops.revision(p->ctx);

	if (used) {
		event_log(EVENT_STORE,
			  "\"state\":\"read from peer\",\"peer\":\"%s\","
			  "\"era\":%llu,\"revision\":%llu",
			  endpoint_format(&p->peers[p->next], text),
			  (unsigned long long)revision.era,
			  (unsigned long long)revision.number);
		end_start(p);
		return;
	}
	/* Without a newer state here, another peer may still have one. */
	p->next = (p->next + 1) % p->n;
	if (p->starting && p->asked < p->n)
		send_request(p);
	else
		end_start(p);
}

static void send_request(relay_peers_t *p)
{
	store_revision_t known = p->ops.revision(p->ctx);
	char path[96];

	http_client_free(p->http);
	p->http = http_client_new(p->loop, &p->peers[p->next]);
	if (!p->http)
		return;
	p->asked++;
	g_snprintf(path, sizeof(path), RELAY_STATE_FORMAT,
		   (unsigned long long)known.number,
		   (unsigned long long)known.era);
	http_client_get(p->http, path,
			p->starting ? PEERS_START_TIMEOUT_MS : PEERS_TIMEOUT_MS,
			on_answer, p);
}

static void on_timer(uv_timer_t *timer)
{
	relay_peers_t *p = timer->data;

	end_start(p);
	if (!p->ops.needed(p->ctx) || (p->http && http_client_busy(p->http)))
		return;
	send_request(p);
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
	uv_timer_start(&p->timer, on_timer, PEERS_START_MS, PEERS_INTERVAL_MS);
	return p;
}

void relay_peers_start(relay_peers_t *p)
{
	p->starting = true;
	send_request(p);
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
