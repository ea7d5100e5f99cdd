/*
 * test_feed - the store watcher with the fleet adapter, against a faulty store
 */

#include "runner.h"
#include "watcher_rig.h"
#include <stdio.h>
#include <string.h>

/* Well under a second of real time; enough for anything that happens at
 * once. */
#define SETTLE_MS 800
/* Time within which a dead connection must be replaced. */
#define SILENCE_MS 2000
/* Time within which a change must be in force: that of the first sites. */
#define APPLY_MS 3000
/* Time after which a target has written its entry again; that of the rig. */
#define EXPIRY_MS 3000

/* Pages are listed, then changes arrive; without changes few calls are made. */
START_TEST(pages_then_changes)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	char key[32];
	unsigned calls;

	for (int i = 0; i < 11; i++) {
		snprintf(key, sizeof(key), "servers/t%d", i);
		fake_store_put(r->store, key, TARGET("10.1.0.2"));
	}
	fake_store_set_page_size(r->store, 5);
	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(wr_version(r), 3);
	ck_assert_uint_eq(wr_ready_targets(r), 12);
	fake_store_put(r->store, "op/config", ROUTES_V(4));
	fake_store_delete(r->store, "servers/t3");
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_version(r), 4);
	ck_assert_uint_eq(wr_ready_targets(r), 11);
	calls = fake_store_request_count(r->store);
	wr_run(r, 2000);
	ck_assert_uint_le(fake_store_request_count(r->store) - calls, 3);
	wr_close(r);
}
END_TEST

/* During a release, entries change all the time: the rate of calls stays
 * bounded, and each change is known within APPLY_MS. */
START_TEST(changes_are_batched)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	unsigned calls, changes = 0;
	char key[32];

	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	calls = fake_store_request_count(r->store);
	for (; changes < 60; changes++) {
		snprintf(key, sizeof(key), "servers/t%u", changes);
		fake_store_put(r->store, key, TARGET("10.1.0.2"));
		wr_run(r, 50);
	}
	/* 3 s of changes, one call every 600 ms. */
	ck_assert_uint_le(fake_store_request_count(r->store) - calls, 6);
	wr_run(r, APPLY_MS / 3);
	ck_assert_uint_eq(wr_ready_targets(r), changes + 1);
	wr_close(r);
}
END_TEST

/* Guards against resets by routes that are out of date: what a balancer must
 * know is read at once, whether the watcher waits for a batch or for changes.
 */
START_TEST(read_at_once_waits_for_nothing)
{
	watcher_rig_t *r = wr_open(10000, 10000);
	uint64_t before;

	wr_start(r);
	wr_run(r, 50);
	fake_store_put(r->store, "op/config", ROUTES_V(4));
	wr_run(r, 50);
	ck_assert_uint_eq(wr_version(r), 4);
	/* The next request is due in 2 s. */
	fake_store_put(r->store, "op/config", ROUTES_V(5));
	before = uv_now(&r->loop);
	watcher_read(r->watcher);
	wr_run(r, 50);
	ck_assert_uint_eq(wr_version(r), 5);
	ck_assert_uint_ge(r->read_ms, before);
	wr_run(r, 2500);
	/* A watch waits at the store. */
	before = uv_now(&r->loop);
	watcher_read(r->watcher);
	wr_run(r, 50);
	ck_assert_uint_ge(r->read_ms, before);
	fake_store_put(r->store, "op/config", ROUTES_V(6));
	wr_run(r, 50);
	ck_assert_uint_eq(wr_version(r), 6);
	ck_assert_uint_eq(r->counters.values[COUNTER_PLATFORM_FAILURES], 0);
	wr_close(r);
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
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	fake_store_set_fault(r->store, faults[_i]);
	fake_store_put(r->store, "servers/b", TARGET("10.1.0.2"));
	wr_run(r, 1500);
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	ck_assert_uint_eq(wr_version(r), 3);
	fake_store_set_fault(r->store, STORE_OK);
	wr_run(r, 3000);
	ck_assert_uint_eq(wr_ready_targets(r), 2);
	wr_close(r);
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
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	fake_store_set_fault(r->store, faults[_i]);
	wr_start(r);
	wr_run(r, SETTLE_MS);
	ck_assert(!watcher_synced(r->watcher));
	fake_store_set_fault(r->store, STORE_OK);
	wr_run(r, 2500);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	wr_close(r);
}
END_TEST

/* Each response is sent twice, the second while the next request is under way:
 * it must not be taken for the answer to that, neither of a page nor of a
 * watch. */
START_TEST(second_copy_of_answer_is_not_used)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	char key[32];

	for (int i = 0; i < 11; i++) {
		snprintf(key, sizeof(key), "servers/t%d", i);
		fake_store_put(r->store, key, TARGET("10.1.0.2"));
	}
	fake_store_set_page_size(r->store, 5);
	fake_store_set_fault(r->store, STORE_TWICE);
	wr_start(r);
	wr_run(r, 2 * SETTLE_MS);
	ck_assert_uint_eq(wr_ready_targets(r), 12);
	for (unsigned i = 4; i < 9; i++) {
		g_autofree char *routes = g_strdup_printf(
			"{\"version\":%u,\"routes\":[],\"services\":[]}", i);

		fake_store_put(r->store, "op/config", routes);
		wr_run(r, APPLY_MS / 2);
		ck_assert_uint_eq(wr_version(r), i);
	}
	ck_assert_uint_le(fake_store_request_count(r->store), 60);
	wr_close(r);
}
END_TEST

/* A dead connection is replaced within SILENCE_MS. */
START_TEST(silent_connection_is_replaced)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	fake_store_stall_connections(r->store);
	fake_store_put(r->store, "op/config", ROUTES_V(5));
	wr_run(r, SILENCE_MS + 200);
	ck_assert_uint_eq(wr_version(r), 5);
	wr_close(r);
}
END_TEST

/* The store compacted the revision of the watch: all is listed again, and
 * entries that are missing then are removed. */
START_TEST(compacted_history_forces_resync)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	fake_store_set_fault(r->store, STORE_RESET);
	fake_store_delete(r->store, "servers/a");
	fake_store_put(r->store, "servers/c", TARGET("10.1.0.3"));
	fake_store_compact(r->store);
	fake_store_set_fault(r->store, STORE_OK);
	wr_run(r, 1500);
	ck_assert_uint_eq(wr_ready_targets(r),
			  2); /* "a" is in its grace period */
	for (int i = 0; i < 30; i++) {
		wr_run(r, 100);
		directory_tick(wr_directory(r), uv_now(&r->loop));
	}
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	wr_close(r);
}
END_TEST

/* Bytes of a large value, and how many of them no answer can hold. */
#define LARGE_VALUE  (1024 * 1024)
#define LARGE_VALUES 4

/* Guards against a balancer that requests the same changes for ever, since the
 * answer is larger than it reads: it lists the store instead, and follows it.
 */
START_TEST(changes_that_are_too_large_are_listed)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	g_autofree char *value = g_strnfill(LARGE_VALUE, 'x');
	char key[32];
	unsigned calls;

	fake_store_set_page_size(r->store, 2);
	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	calls = fake_store_request_count(r->store);
	for (int i = 0; i < LARGE_VALUES; i++) {
		snprintf(key, sizeof(key), "zz/%d", i);
		fake_store_put(r->store, key, value);
	}
	fake_store_put(r->store, "op/config", ROUTES_V(4));
	fake_store_put(r->store, "servers/b", TARGET("10.1.0.2"));
	wr_run(r, 2 * SETTLE_MS);
	ck_assert_uint_eq(wr_version(r), 4);
	ck_assert_uint_eq(wr_ready_targets(r), 2);
	ck_assert_uint_le(fake_store_request_count(r->store) - calls, 10);
	fake_store_put(r->store, "op/config", ROUTES_V(5));
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_version(r), 5);
	wr_close(r);
}
END_TEST

/* Bytes of an item that does not name a target, and the pace of a link on which
 * a response with it takes longer than any limit of the watcher. */
#define SLOW_VALUE (600 * 1024)
#define SLOW_PACE  (400 * 1000)
#define SLOW_MS	   2200

/* Puts a large item, and changes that come after it in every response. */
static void put_slow_changes(watcher_rig_t *r)
{
	g_autofree char *value = g_strnfill(SLOW_VALUE, 'x');

	fake_store_set_pace(r->store, SLOW_PACE);
	fake_store_put(r->store, "aa/large", value);
	fake_store_put(r->store, "op/config", ROUTES_V(4));
}

/* Guards against a balancer on a small link that takes an answer for lost while
 * it arrives, and asks for the same and more: at the start, after the store has
 * turned it away, and for changes that end a wait. */
START_TEST(answer_on_a_small_link_is_read)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	unsigned calls = 0;

	if (_i > 0) {
		wr_start(r);
		wr_run(r, SETTLE_MS / 2);
	}
	if (_i == 1) {
		fake_store_set_fault(r->store, STORE_UNAVAILABLE);
		put_slow_changes(r);
		wr_run(r, 3 * SETTLE_MS);
		fake_store_set_fault(r->store, STORE_OK);
	} else {
		put_slow_changes(r);
	}
	if (_i == 0)
		wr_start(r);
	calls = fake_store_request_count(r->store);
	wr_run(r, SLOW_MS + 2 * WATCHER_BACKOFF_MAX_MS);
	ck_assert_uint_eq(wr_version(r), 4);
	ck_assert(watcher_reachable(r->watcher));
	ck_assert_uint_le(fake_store_request_count(r->store) - calls, 3);
	wr_close(r);
}
END_TEST

/* Guards against an answer that is thrown away while it arrives because the
 * balancer wants to read at once (0), or because its host has resumed (1). */
START_TEST(arriving_answer_is_not_interrupted)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	unsigned calls;

	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	calls = fake_store_request_count(r->store);
	put_slow_changes(r);
	for (unsigned ms = 0; ms < SLOW_MS + 300; ms += 100) {
		wr_run(r, 100);
		if (wr_version(r) == 4)
			break;
		ck_assert(!watcher_waits(r->watcher));
		if (_i)
			watcher_resume(r->watcher);
		else
			watcher_read(r->watcher);
	}
	ck_assert_uint_eq(wr_version(r), 4);
	ck_assert_uint_le(fake_store_request_count(r->store), calls + 1);
	wr_close(r);
}
END_TEST

/* Guards against a connection that dies in the middle of an answer and is
 * waited for: it is replaced within SILENCE_MS, also after a resume (1). */
START_TEST(answer_that_stops_arriving_is_requested_again)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	put_slow_changes(r);
	wr_run(r, SLOW_MS / 4);
	fake_store_stall_connections(r->store);
	fake_store_set_pace(r->store, 0);
	if (_i)
		watcher_resume(r->watcher);
	wr_run(r, SILENCE_MS);
	ck_assert_uint_eq(wr_version(r), 4);
	wr_close(r);
}
END_TEST

/* Guards against an answer that is broken off again and again and grows from
 * one request to the next: the pages of a listing are each read once. */
START_TEST(broken_off_changes_are_listed)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	g_autofree char *value = g_strnfill(SLOW_VALUE, 'x');
	char key[32];

	fake_store_set_page_size(r->store, 1);
	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	fake_store_set_pace(r->store, 4 * SLOW_PACE);
	for (int i = 0; i < 4; i++) {
		snprintf(key, sizeof(key), "aa/%d", i);
		fake_store_put(r->store, key, value);
	}
	fake_store_put(r->store, "op/config", ROUTES_V(4));
	for (int i = 0; i < 6 && wr_version(r) < 4; i++) {
		wr_run(r, SLOW_MS / 2);
		fake_store_cut(r->store);
	}
	wr_run(r, SLOW_MS / 2);
	ck_assert_uint_eq(wr_version(r), 4);
	wr_close(r);
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
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	fake_store_put(r->store, "servers/x", values[_i]);
	wr_start(r);
	wr_run(r, SETTLE_MS / 2);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	ck_assert_uint_ge(r->refused, 1);
	/* A target whose entry becomes unreadable is kept until it should have
	 * written it again; routes stay in force. */
	fake_store_put(r->store, "servers/a", values[_i]);
	fake_store_put(r->store, "op/config", values[_i]);
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	ck_assert_uint_eq(wr_version(r), 3);
	directory_tick(wr_directory(r), uv_now(&r->loop) + EXPIRY_MS);
	ck_assert_uint_eq(wr_ready_targets(r), 0);
	wr_close(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("feed");
	TCase *tc = tcase_create("store");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, pages_then_changes);
	tcase_add_test(tc, changes_are_batched);
	tcase_add_test(tc, read_at_once_waits_for_nothing);
	tcase_add_loop_test(tc, recovers_from_fault, 0, 6);
	tcase_add_loop_test(tc, recovers_from_fault_at_start, 0, 6);
	tcase_add_test(tc, second_copy_of_answer_is_not_used);
	tcase_add_test(tc, silent_connection_is_replaced);
	tcase_add_test(tc, compacted_history_forces_resync);
	tcase_add_loop_test(tc, unreadable_items_are_refused, 0, 8);
	tcase_add_test(tc, changes_that_are_too_large_are_listed);
	tcase_add_loop_test(tc, answer_on_a_small_link_is_read, 0, 3);
	tcase_add_loop_test(tc, arriving_answer_is_not_interrupted, 0, 2);
	tcase_add_loop_test(tc, answer_that_stops_arriving_is_requested_again,
			    0, 2);
	tcase_add_test(tc, broken_off_changes_are_listed);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
