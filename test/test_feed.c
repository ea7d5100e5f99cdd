/*
 * test_feed - the store watcher with the fleet adapter, against a faulty store
 */

#include "fleet_store.h"
#include "relay_balancer.h"
#include "relay_rig.h"
#include "runner.h"
#include "store_stand_in.h"
#include <stdio.h>
#include <string.h>

#define ROUTES_V(n)                                                            \
	"{\"version\":" #n ",\"routes\":[{\"name\":\"r\",\"host\":"            \
	"\"198.18.0.1\",\"prefix\":\"/443/\",\"route_type\":\"safe\","         \
	"\"service\":\"feeds\"}],\"services\":[]}"
#define TARGET(ip)                                                             \
	"{\"service\":\"feeds\",\"address\":\"" ip ":80\",\"zone\":\"z\","     \
	"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","                  \
	"\"warmup_left_ms\":0,\"seq\":1}"
/* Well under a second of real time; enough for anything that happens at
 * once. */
#define SETTLE_MS 800
/* Time within which a dead connection must be replaced. */
#define SILENCE_MS 2000
/* Time within which a change must be in force: that of the first sites. */
#define APPLY_MS 3000

typedef struct watcher_rig {
	uv_loop_t loop;
	uv_timer_t timer;
	endpoint_t store_address;
	fake_store_t *store;
	relay_rig_t *balancer;
	counters_t counters;
	relay_watcher_ctx_t ctx;
	watcher_t *watcher;
	unsigned refused;
} watcher_rig_t;

static void sink_routes(void *ctx, route_table_t *routes)
{
	watcher_rig_t *r = ctx;

	relay_balancer_set_routes(r->balancer->balancer, routes);
}

static void sink_refused(void *ctx, const char *key, const err_t *err)
{
	watcher_rig_t *r = ctx;

	(void)key;
	(void)err;
	r->refused++;
}

static directory_t *sink_directory(void *ctx)
{
	watcher_rig_t *r = ctx;

	return relay_balancer_directory(r->balancer->balancer);
}

static uint64_t sink_now(void *ctx)
{
	watcher_rig_t *r = ctx;

	return uv_now(&r->loop);
}

static void sink_reachable(void *ctx, bool yes)
{
	watcher_rig_t *r = ctx;

	if (yes)
		directory_store_reachable(sink_directory(r), uv_now(&r->loop));
	else
		directory_store_unreachable(sink_directory(r),
					    uv_now(&r->loop));
}

static void on_timer(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void run(watcher_rig_t *r, uint64_t ms)
{
	uv_timer_start(&r->timer, on_timer, ms, 0);
	uv_run(&r->loop, UV_RUN_DEFAULT);
}

static watcher_rig_t *open_rig(uint16_t port)
{
	static const relay_sink_t sink = { sink_routes, sink_refused,
					   sink_directory, sink_now,
					   sink_reachable };
	watcher_rig_t *r = calloc(1, sizeof(*r));

	ck_assert_ptr_nonnull(r);
	uv_loop_init(&r->loop);
	uv_timer_init(&r->loop, &r->timer);
	r->store_address.ip = 0x7f000001;
	r->store_address.port = port;
	r->store = fake_store_open(&r->loop, &r->store_address);
	r->balancer = rr_balancer();
	r->ctx.sink = &sink;
	r->ctx.ctx = r;
	fake_store_put(r->store, "op/config", ROUTES_V(3));
	fake_store_put(r->store, "servers/a", TARGET("10.1.0.1"));
	return r;
}

static void start_watcher(watcher_rig_t *r)
{
	r->watcher =
		watcher_new(&r->loop, &r->store_address, SILENCE_MS, APPLY_MS,
			    &fleet_watcher_ops, &r->ctx, &r->counters);
}

static void close_rig(watcher_rig_t *r)
{
	watcher_free(r->watcher);
	fake_store_close(r->store);
	uv_close((uv_handle_t *)&r->timer, NULL);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_loop_close(&r->loop);
	rr_free(r->balancer);
	free(r);
}

static unsigned ready_targets(watcher_rig_t *r)
{
	unsigned n = 0;

	list_each(node, directory_entries(sink_directory(r))) n +=
		list_entry(node, target_entry_t, node)->state == ENTRY_READY;
	return n;
}

static uint64_t version(watcher_rig_t *r)
{
	return relay_balancer_route_version(r->balancer->balancer);
}

/* Pages are listed, then changes arrive; without changes few calls are made. */
START_TEST(pages_then_changes)
{
	watcher_rig_t *r = open_rig(17401);
	char key[32];
	unsigned calls;

	for (int i = 0; i < 11; i++) {
		snprintf(key, sizeof(key), "servers/t%d", i);
		fake_store_put(r->store, key, TARGET("10.1.0.2"));
	}
	fake_store_set_page_size(r->store, 5);
	start_watcher(r);
	run(r, SETTLE_MS / 2);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(version(r), 3);
	ck_assert_uint_eq(ready_targets(r), 12);
	fake_store_put(r->store, "op/config", ROUTES_V(4));
	fake_store_delete(r->store, "servers/t3");
	run(r, SETTLE_MS);
	ck_assert_uint_eq(version(r), 4);
	ck_assert_uint_eq(ready_targets(r), 11);
	calls = fake_store_request_count(r->store);
	run(r, 2000);
	ck_assert_uint_le(fake_store_request_count(r->store) - calls, 3);
	close_rig(r);
}
END_TEST

/* During a release, entries change all the time: the rate of calls stays
 * bounded, and each change is known within APPLY_MS. */
START_TEST(changes_are_batched)
{
	watcher_rig_t *r = open_rig(17402);
	unsigned calls, changes = 0;
	char key[32];

	start_watcher(r);
	run(r, SETTLE_MS / 2);
	calls = fake_store_request_count(r->store);
	for (; changes < 60; changes++) {
		snprintf(key, sizeof(key), "servers/t%u", changes);
		fake_store_put(r->store, key, TARGET("10.1.0.2"));
		run(r, 50);
	}
	/* 3 s of changes, one call every 600 ms. */
	ck_assert_uint_le(fake_store_request_count(r->store) - calls, 6);
	run(r, APPLY_MS / 3);
	ck_assert_uint_eq(ready_targets(r), changes + 1);
	close_rig(r);
}
END_TEST

/* The watcher recovers from each fault and then learns what changed
 * meanwhile. */
START_TEST(recovers_from_fault)
{
	static const store_fault_t faults[] = {
		STORE_UNAVAILABLE, STORE_RATE_LIMITED, STORE_RESET,
		STORE_NO_RESPONSE, STORE_BAD_JSON,     STORE_TRUNCATED,
	};
	watcher_rig_t *r = open_rig((uint16_t)(17410 + _i));

	start_watcher(r);
	run(r, SETTLE_MS / 2);
	fake_store_set_fault(r->store, faults[_i]);
	fake_store_put(r->store, "servers/b", TARGET("10.1.0.2"));
	run(r, 1500);
	ck_assert_uint_eq(ready_targets(r), 1);
	ck_assert_uint_eq(version(r), 3);
	fake_store_set_fault(r->store, STORE_OK);
	run(r, 3000);
	ck_assert_uint_eq(ready_targets(r), 2);
	close_rig(r);
}
END_TEST

/* The same faults from the start: nothing is applied until the store
 * recovers. */
START_TEST(recovers_from_fault_at_start)
{
	static const store_fault_t faults[] = {
		STORE_UNAVAILABLE, STORE_RATE_LIMITED, STORE_RESET,
		STORE_NO_RESPONSE, STORE_BAD_JSON,     STORE_TRUNCATED,
	};
	watcher_rig_t *r = open_rig((uint16_t)(17420 + _i));

	fake_store_set_fault(r->store, faults[_i]);
	start_watcher(r);
	run(r, SETTLE_MS);
	ck_assert(!watcher_synced(r->watcher));
	fake_store_set_fault(r->store, STORE_OK);
	run(r, 2500);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(ready_targets(r), 1);
	close_rig(r);
}
END_TEST

/* A dead connection is replaced within SILENCE_MS. */
START_TEST(silent_connection_is_replaced)
{
	watcher_rig_t *r = open_rig(17430);

	start_watcher(r);
	run(r, SETTLE_MS / 2);
	fake_store_stall_connections(r->store);
	fake_store_put(r->store, "op/config", ROUTES_V(5));
	run(r, SILENCE_MS + 200);
	ck_assert_uint_eq(version(r), 5);
	close_rig(r);
}
END_TEST

/* The store compacted the revision of the watch: all is listed again, and
 * entries that are missing then are removed. */
START_TEST(compacted_history_forces_resync)
{
	watcher_rig_t *r = open_rig(17431);

	start_watcher(r);
	run(r, SETTLE_MS / 2);
	fake_store_set_fault(r->store, STORE_RESET);
	fake_store_delete(r->store, "servers/a");
	fake_store_put(r->store, "servers/c", TARGET("10.1.0.3"));
	fake_store_compact(r->store);
	fake_store_set_fault(r->store, STORE_OK);
	run(r, 1500);
	ck_assert_uint_eq(ready_targets(r), 2); /* "a" is in its grace period */
	for (int i = 0; i < 30; i++) {
		run(r, 100);
		directory_tick(sink_directory(r), uv_now(&r->loop));
	}
	ck_assert_uint_eq(ready_targets(r), 1);
	close_rig(r);
}
END_TEST

/* Items that can't be parsed are counted as refused and change nothing else. */
START_TEST(unreadable_items_are_refused)
{
	static const char *const values[] = {
		"",
		"null",
		"[]",
		"{\"service\":\"feeds\"}",
		"{\"service\":7,\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
		"\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0}",
		"{\"service\":\"feeds\",\"address\":\"nowhere\",\"zone\":\"z\","
		"\"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0}",
		"{\"service\":\"feeds\",\"address\":\"10.1.0.9:80\",\"zone\":"
		"\"z\",\"slots\":2,\"state\":\"asleep\",\"warmup_left_ms\":0}",
		"{\"service\":\"feeds\",\"address\":\"10.1.0.9:80\",\"zone\":"
		"\"z\",\"slots\":\"2\",\"state\":\"ready\","
		"\"warmup_left_ms\":0}",
	};
	watcher_rig_t *r = open_rig((uint16_t)(17440 + _i));

	fake_store_put(r->store, "servers/x", values[_i]);
	start_watcher(r);
	run(r, SETTLE_MS / 2);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(ready_targets(r), 1);
	ck_assert_uint_ge(r->refused, 1);
	/* A valid entry that becomes unreadable is removed; routes stay in
	 * force. */
	fake_store_put(r->store, "servers/a", values[_i]);
	fake_store_put(r->store, "op/config", values[_i]);
	run(r, SETTLE_MS);
	ck_assert_uint_eq(ready_targets(r), 0);
	ck_assert_uint_eq(version(r), 3);
	close_rig(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("feed");
	TCase *tc = tcase_create("store");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, pages_then_changes);
	tcase_add_test(tc, changes_are_batched);
	tcase_add_loop_test(tc, recovers_from_fault, 0, 6);
	tcase_add_loop_test(tc, recovers_from_fault_at_start, 0, 6);
	tcase_add_test(tc, silent_connection_is_replaced);
	tcase_add_test(tc, compacted_history_forces_resync);
	tcase_add_loop_test(tc, unreadable_items_are_refused, 0, 8);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
