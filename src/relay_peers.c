#include "relay_peers.h"
#include "event_log.h"
#include "relay_mechanism.h"
#include <glib.h>
#include <stdlib.h>

/* One of several requests at a time. */
typedef struct peer_request {
	struct relay_peers *peers;
	http_client_t *http; /* NULL: answered, or not in use */
	endpoint_t peer;
} peer_request_t;

/* Most balancers besides the peers that are asked at a time. */
#define ASKED_MAX 8

struct relay_peers {
	uv_loop_t *loop;
	uv_timer_t timer;
	endpoint_t peers[RELAY_PEERS_MAX];
	size_t n;
	size_t next; /* position of the peer for the current or next request */
	http_client_t *http;
	peer_request_t start[RELAY_PEERS_MAX]; /* to all peers at the start */
	bool starting;			       /* see relay_peers_ops.started */
	peer_request_t asked[ASKED_MAX];       /* see relay_peers_ask() */
	relay_peers_ops_t ops;
	void *ctx;
};

static void end_start(relay_peers_t *p)
{
	if (!p->starting)
		return;
	p->starting = false;
	for (size_t i = 0; i < p->n; i++) {
		http_client_free(p->start[i].http);
		p->start[i].http = NULL;
	}
	p->ops.started(p->ctx);
}

/* Applies the state in an answer. Returns false when there is none. */
static bool apply_answer(relay_peers_t *p, const endpoint_t *peer,
			 const http_response_t *answer)
{
	char text[ENDPOINT_TEXT_SIZE];
	store_revision_t revision;

	if (answer->status != 200 ||
	    !p->ops.apply_state(p->ctx, answer->body, answer->len))
		return false;
	revision = p->ops.revision(p->ctx);
	event_log(EVENT_STORE,
		  "\"state\":\"read from peer\",\"peer\":\"%s\","
		  "\"era\":%llu,\"revision\":%llu",
		  endpoint_format(peer, text), (unsigned long long)revision.era,
		  (unsigned long long)revision.number);
	return true;
}

static http_client_t *send_request(relay_peers_t *p, const endpoint_t *peer,
				   uint64_t connect_ms, uint64_t timeout_ms,
				   http_done_fn done, void *ctx)
{
	http_client_t *http = http_client_new(p->loop, peer);
	store_revision_t known = p->ops.revision(p->ctx);
	char path[96];

	if (!http)
		return NULL;
	g_snprintf(path, sizeof(path), RELAY_STATE_FORMAT,
		   (unsigned long long)known.number,
		   (unsigned long long)known.era);
	http_client_set_connect_timeout(http, connect_ms);
	http_client_get(http, path, timeout_ms, done, ctx);
	return http;
}

static void on_answer(void *ctx, const http_response_t *answer)
{
	relay_peers_t *p = ctx;

	/* Without a newer state here, another peer may still have one. */
	if (!apply_answer(p, &p->peers[p->next], answer))
		p->next = (p->next + 1) % p->n;
}

/* True while a request of the start is not answered. */
static bool start_pending(const relay_peers_t *p)
{
	for (size_t i = 0; i < p->n; i++)
		if (p->start[i].http)
			return true;
	return false;
}

/* True while a state arrives that ends the start. */
static bool start_receiving(const relay_peers_t *p)
{
	for (size_t i = 0; i < p->n; i++)
		if (p->start[i].http && http_client_receiving(p->start[i].http))
			return true;
	for (size_t i = 0; i < ASKED_MAX; i++)
		if (p->asked[i].http && http_client_receiving(p->asked[i].http))
			return true;
	return false;
}

/* Ends a request whose answer may end the start. */
static void request_answered(peer_request_t *r, bool used)
{
	relay_peers_t *p = r->peers;

	http_client_free(r->http);
	r->http = NULL;
	if (used || (!start_pending(p) && !start_receiving(p)))
		end_start(p);
}

static void on_start_answer(void *ctx, const http_response_t *answer)
{
	peer_request_t *r = ctx;

	request_answered(r, r->peers->starting &&
				    apply_answer(r->peers, &r->peer, answer));
}

static void on_timer(uv_timer_t *timer)
{
	relay_peers_t *p = timer->data;

	if (p->starting && start_receiving(p))
		return;
	end_start(p);
	if (!p->ops.needed(p->ctx) || (p->http && http_client_busy(p->http)))
		return;
	http_client_free(p->http);
	p->http = send_request(p, &p->peers[p->next], PEERS_TIMEOUT_MS,
			       PEERS_TIMEOUT_MS, on_answer, p);
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
	if (!relay_mechanism_on(RELAY_PEERS_FIRST)) {
		p->ops.started(p->ctx);
		return;
	}
	p->starting = true;
	for (size_t i = 0; i < p->n; i++) {
		p->start[i] =
			(peer_request_t){ .peers = p, .peer = p->peers[i] };
		p->start[i].http = send_request(
			p, &p->peers[i], PEERS_START_CONNECT_MS,
			PEERS_START_TIMEOUT_MS, on_start_answer, &p->start[i]);
	}
}

static void on_asked_answer(void *ctx, const http_response_t *answer)
{
	peer_request_t *r = ctx;

	request_answered(r, apply_answer(r->peers, &r->peer, answer));
}

void relay_peers_ask(relay_peers_t *p, const endpoint_t *peer)
{
	peer_request_t *idle = NULL;

	for (size_t i = 0; i < ASKED_MAX; i++) {
		if (!p->asked[i].http)
			idle = &p->asked[i];
		else if (endpoint_equal(&p->asked[i].peer, peer))
			return;
	}
	if (!idle)
		return;
	*idle = (peer_request_t){ .peers = p, .peer = *peer };
	idle->http =
		send_request(p, &idle->peer, PEERS_START_CONNECT_MS,
			     PEERS_START_TIMEOUT_MS, on_asked_answer, idle);
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
	for (size_t i = 0; i < p->n; i++)
		http_client_free(p->start[i].http);
	for (size_t i = 0; i < ASKED_MAX; i++)
		http_client_free(p->asked[i].http);
	uv_timer_stop(&p->timer);
	uv_close((uv_handle_t *)&p->timer, on_closed);
}
