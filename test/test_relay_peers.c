/*
 * test_relay_peers - a start asks peers before the store is read
 */

#define _GNU_SOURCE /* accept4() */
#include "http_server.h"
#include "relay_mechanism.h"
#include "relay_peers.h"
#include "runner.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* How a stand-in for a peer behaves. */
typedef enum peer_kind {
	PEER_HAS_STATE,
	PEER_HAS_NONE,	/* status 204 */
	PEER_IS_SILENT, /* accepts connections, answers nothing */
	PEER_REFUSES,	/* no listener */
	PEER_IS_SLOW,	/* its state arrives in parts */
	PEER_BREAKS,	/* as PEER_IS_SLOW, but the last part never comes */
} peer_kind_t;

#define PEERS 3
/* Interval between the parts of a slow peer's state. In all it takes longer
 * than any limit on the beginning of an answer. */
#define PART_MS 150
/* Parts of an answer: its header and the bytes of its body. */
#define PARTS 6

typedef struct peers_rig {
	uv_loop_t loop;
	uv_timer_t timer;
	http_server_t *servers[PEERS];
	int sockets[PEERS]; /* of silent and slow peers; -1: none */
	int slow[PEERS];    /* connections to slow peers; -1: none */
	unsigned parts[PEERS];
	unsigned parts_max[PEERS];
	uv_timer_t part_timer;
	bool needed;
	relay_peers_t *peers;
	unsigned applied, started;
	endpoint_t extra; /* of a balancer that the settings do not name */
	http_server_t *extra_server;
	unsigned extra_requests;
	unsigned
		applied_at_start; /* states applied when started() was called */
} peers_rig_t;

static int answer_state(void *ctx, const char *path, GString *body)
{
	(void)ctx;
	ck_assert(g_str_has_prefix(path, RELAY_STATE_PREFIX));
	g_string_append(body, "state");
	return 200;
}

static int answer_none(void *ctx, const char *path, GString *body)
{
	(void)ctx;
	(void)path;
	(void)body;
	return 204;
}

static bool apply_state(void *ctx, const char *bytes, size_t len)
{
	peers_rig_t *r = ctx;

	r->applied += len == 5 && !memcmp(bytes, "state", 5);
	return true;
}

static bool needed(void *ctx)
{
	peers_rig_t *r = ctx;

	return r->needed;
}

static store_revision_t revision(void *ctx)
{
	(void)ctx;
	return (store_revision_t){ 0 };
}

static void started(void *ctx)
{
	peers_rig_t *r = ctx;

	r->started++;
	r->applied_at_start = r->applied;
}

/* Listens on a port of the kernel's choice and returns the socket. */
static int listen_anywhere(endpoint_t *at)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	sa.sin_addr.s_addr = htonl(at->ip);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, len), 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sa, &len), 0);
	at->port = ntohs(sa.sin_port);
	return fd;
}

static void open_peer(peers_rig_t *r, size_t i, peer_kind_t kind,
		      endpoint_t *at)
{
	err_t err;

	at->ip = 0x7f000001;
	r->sockets[i] = listen_anywhere(at);
	r->slow[i] = -1;
	if (kind == PEER_IS_SLOW)
		r->parts_max[i] = PARTS;
	else if (kind == PEER_BREAKS)
		r->parts_max[i] = PARTS - 1;
	if (kind == PEER_IS_SILENT || r->parts_max[i])
		return;
	close(r->sockets[i]);
	r->sockets[i] = -1;
	if (kind == PEER_REFUSES)
		return;
	r->servers[i] = http_server_open(
		&r->loop, at,
		kind == PEER_HAS_STATE ? answer_state : answer_none, r, &err);
	ck_assert_ptr_nonnull(r->servers[i]);
}

/* Sends the next part of the answer of each slow peer that was asked. */
static void on_part(uv_timer_t *timer)
{
	static const char *const parts[PARTS] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"s",
		"t",
		"a",
		"t",
		"e",
	};
	peers_rig_t *r = timer->data;

	for (size_t i = 0; i < PEERS; i++) {
		if (!r->parts_max[i])
			continue;
		if (r->slow[i] < 0)
			r->slow[i] = accept4(r->sockets[i], NULL, NULL,
					     SOCK_NONBLOCK);
		if (r->slow[i] >= 0 && r->parts[i] < r->parts_max[i])
			(void)!send(r->slow[i], parts[r->parts[i]],
				    strlen(parts[r->parts[i]]), MSG_NOSIGNAL);
		r->parts[i] += r->slow[i] >= 0;
	}
}

static peers_rig_t *open_rig(const peer_kind_t *kinds)
{
	static const relay_peers_ops_t ops = { apply_state, needed, revision,
					       started };
	peers_rig_t *r = calloc(1, sizeof(*r));
	relay_settings_t s = { .address = 0x0a000001, .npeers = PEERS };

	ck_assert_ptr_nonnull(r);
	uv_loop_init(&r->loop);
	uv_timer_init(&r->loop, &r->timer);
	for (size_t i = 0; i < PEERS; i++)
		open_peer(r, i, kinds[i], &s.peers[i]);
	uv_timer_init(&r->loop, &r->part_timer);
	r->part_timer.data = r;
	uv_timer_start(&r->part_timer, on_part, 1, PART_MS);
	r->peers = relay_peers_new(&r->loop, &s, &ops, r);
	relay_peers_start(r->peers);
	return r;
}

static void on_timer(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void run(peers_rig_t *r, uint64_t ms)
{
	uv_timer_start(&r->timer, on_timer, ms, 0);
	uv_run(&r->loop, UV_RUN_DEFAULT);
}

static void close_rig(peers_rig_t *r)
{
	relay_peers_free(r->peers);
	for (size_t i = 0; i < PEERS; i++) {
		http_server_close(r->servers[i]);
		if (r->sockets[i] >= 0)
			close(r->sockets[i]);
		if (r->slow[i] >= 0)
			close(r->slow[i]);
	}
	uv_close((uv_handle_t *)&r->part_timer, NULL);
	uv_close((uv_handle_t *)&r->timer, NULL);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_loop_close(&r->loop);
	free(r);
}

/* The state of the only peer that has one is applied before the start goes on;
 * without RELAY_PEERS_FIRST the store would be read before. */
START_TEST(state_is_applied_before_the_store_is_read)
{
	static const peer_kind_t kinds[] = { PEER_REFUSES, PEER_HAS_NONE,
					     PEER_HAS_STATE };
	peers_rig_t *r;

	relay_mechanisms_off = _i ? 1U << RELAY_PEERS_FIRST : 0;
	r = open_rig(kinds);
	run(r, 2 * PEERS_START_MS);
	ck_assert_uint_eq(r->started, 1);
	ck_assert_uint_eq(r->applied_at_start, _i ? 0 : 1);
	close_rig(r);
}
END_TEST

/* Without a peer that has a state the start goes on at once, and with one that
 * is silent within PEERS_START_MS. */
START_TEST(start_does_not_wait_for_peers_without_state)
{
	static const peer_kind_t kinds[][PEERS] = {
		{ PEER_REFUSES, PEER_REFUSES, PEER_REFUSES },
		{ PEER_HAS_NONE, PEER_REFUSES, PEER_HAS_NONE },
		{ PEER_HAS_NONE, PEER_IS_SILENT, PEER_REFUSES },
	};
	peers_rig_t *r = open_rig(kinds[_i]);

	run(r, _i == 2 ? PEERS_START_MS + 50 : PEERS_START_TIMEOUT_MS - 20);
	ck_assert_uint_eq(r->started, 1);
	ck_assert_uint_eq(r->applied, 0);
	close_rig(r);
}
END_TEST

/* Guards against a state that counts as lost while it arrives over a small
 * link: the start would go on without it. A peer that breaks off ends the wait.
 */
START_TEST(start_waits_for_a_state_that_arrives)
{
	static const peer_kind_t kinds[][PEERS] = {
		{ PEER_REFUSES, PEER_IS_SLOW, PEER_HAS_NONE },
		{ PEER_REFUSES, PEER_BREAKS, PEER_HAS_NONE },
	};
	peers_rig_t *r = open_rig(kinds[_i]);

	run(r, PEERS_START_MS + PART_MS);
	ck_assert_uint_eq(r->started, 0);
	run(r, PARTS * PART_MS + HTTP_GAP_MS);
	ck_assert_uint_eq(r->started, 1);
	ck_assert_uint_eq(r->applied_at_start, _i ? 0 : 1);
	close_rig(r);
}
END_TEST

/* Guards against a balancer without the store that never gets a state over a
 * small link, since each answer counts as lost while it arrives. */
START_TEST(state_that_arrives_is_applied_later)
{
	static const peer_kind_t kinds[] = { PEER_IS_SLOW, PEER_IS_SLOW,
					     PEER_IS_SLOW };
	peers_rig_t *r;

	relay_mechanisms_off = 1U << RELAY_PEERS_FIRST;
	r = open_rig(kinds);
	r->needed = true;
	run(r, PEERS_START_MS + (PARTS + 2) * PART_MS);
	ck_assert_uint_eq(r->applied, 1);
	close_rig(r);
}
END_TEST

static int answer_extra(void *ctx, const char *path, GString *body)
{
	peers_rig_t *r = ctx;

	r->extra_requests++;
	return answer_state(ctx, path, body);
}

/* Another balancer that an agent has named is asked when no peer of the
 * settings knows anything; the start goes on with its state. */
START_TEST(named_balancer_is_asked)
{
	static const peer_kind_t kinds[] = { PEER_REFUSES, PEER_HAS_NONE,
					     PEER_IS_SILENT };
	peers_rig_t *r = open_rig(kinds);
	err_t err;

	r->extra.ip = 0x7f000001;
	close(listen_anywhere(&r->extra));
	r->extra_server =
		http_server_open(&r->loop, &r->extra, answer_extra, r, &err);
	ck_assert_ptr_nonnull(r->extra_server);
	relay_peers_ask(r->peers, &r->extra);
	relay_peers_ask(r->peers, &r->extra);
	run(r, PEERS_START_MS / 2);
	ck_assert_uint_eq(r->extra_requests, 1);
	ck_assert_uint_eq(r->started, 1);
	ck_assert_uint_eq(r->applied_at_start, 1);
	http_server_close(r->extra_server);
	close_rig(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_peers");
	TCase *tc = tcase_create("start");

	tcase_add_loop_test(tc, state_is_applied_before_the_store_is_read, 0,
			    2);
	tcase_add_loop_test(tc, start_does_not_wait_for_peers_without_state, 0,
			    3);
	tcase_add_loop_test(tc, start_waits_for_a_state_that_arrives, 0, 2);
	tcase_add_test(tc, state_that_arrives_is_applied_later);
	tcase_add_test(tc, named_balancer_is_asked);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
