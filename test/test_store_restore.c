/*
 * test_store_restore - a store that comes back from an older copy of itself
 *
 * The copy is taken, changes follow, and the store is restored: its revision
 * goes back, numbers are given out again and the era rises by one. The copy in
 * these tests is that of the time before the changes.
 */

#include "runner.h"
#include "watcher_rig.h"
#include "relay_state.h"
#include <string.h>

/* Well under a second of real time; enough for anything that happens at
 * once. */
#define SETTLE_MS 400
/* Time within which a dead connection is replaced, and a change in force. */
#define SILENCE_MS 2000
#define APPLY_MS   500
/* Time after which the store drops the entry of a silent target, as set by the
 * rig, with a margin for a tick. */
#define EXPIRY_MS 3200

/* Limit of a listing of 40 pages on a busy host; else it takes 20 ms. */
#define LISTING_MAX_MS 20000

#define BORN 1700000000000ULL

static watcher_rig_t *open_settled(void)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_put_target(r, "a", "10.1.0.1", "ready", BORN, 1);
	wr_put_target(r, "b", "10.1.0.2", "ready", BORN, 1);
	wr_start(r);
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_ready_targets(r), 2);
	fake_store_copy(r->store);
	return r;
}

/* Restores the copy and lets the watcher read it. */
static void restore(watcher_rig_t *r, bool cut)
{
	fake_store_restore(r->store, cut);
	wr_run(r, SETTLE_MS + APPLY_MS / 2);
}

static unsigned resets_to_callers(const watcher_rig_t *r)
{
	return (unsigned)rr_count(r->balancer, RIG_CALLER, 0, 0);
}

/* The era rises while a watch waits: the answer to the watch isn't applied, and
 * everything is listed. Changes after that are applied, although their
 * revisions were given out before. */
START_TEST(era_rises_during_watch)
{
	watcher_rig_t *r = open_settled();

	for (unsigned i = 0; i < 20; i++)
		wr_put_target(r, "a", "10.1.0.1", "ready", BORN, 2 + i);
	wr_run(r, SETTLE_MS);
	restore(r, _i);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 2);
	ck_assert_uint_eq(r->counters.values[COUNTER_STORE_RESTORED], 1);
	wr_put_target(r, "b", "10.1.0.2", "draining", BORN, 30);
	wr_put_target(r, "c", "10.1.0.3", "ready", BORN + 9, 1);
	wr_run(r, SETTLE_MS);
	ck_assert_int_eq(wr_state(r, "a"), ENTRY_READY);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_DRAINING);
	ck_assert_int_eq(wr_state(r, "c"), ENTRY_READY);
	ck_assert_uint_eq(resets_to_callers(r), 0);
	wr_close(r);
}
END_TEST

/* The store passes the old revision before the watch is repeated: that revision
 * exists again, with other content. */
START_TEST(old_revision_exists_again)
{
	watcher_rig_t *r = open_settled();

	wr_put_target(r, "c", "10.1.0.3", "ready", BORN, 1);
	wr_run(r, SETTLE_MS);
	fake_store_restore(r->store, true);
	wr_put_target(r, "b", "10.1.0.2", "draining", BORN, 30);
	for (unsigned i = 0; i < 5; i++)
		wr_put_target(r, "a", "10.1.0.1", "ready", BORN, 40 + i);
	wr_run(r, SETTLE_MS + APPLY_MS);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_DRAINING);
	wr_close(r);
}
END_TEST

/* Restores the copy, after which one more target drains. */
static void restore_and_drain(void *ctx)
{
	watcher_rig_t *r = ctx;

	fake_store_restore(r->store, false);
	wr_put_target(r, "t01", "10.1.0.2", "draining", BORN, 2);
}

/* The era rises between two pages: the listing begins again. Each page takes a
 * request, and the restore comes before the tenth, however slow the host is. */
START_TEST(era_rises_between_pages)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	char id[8];

	for (unsigned i = 0; i < 40; i++) {
		snprintf(id, sizeof(id), "t%02u", i);
		wr_put_target(r, id, "10.1.0.2", "ready", BORN, 1);
	}
	fake_store_copy(r->store);
	wr_put_target(r, "t00", "10.1.0.2", "draining", BORN, 2);
	fake_store_set_page_size(r->store, 1);
	fake_store_before_request(r->store, 10, restore_and_drain, r);
	wr_start(r);
	for (unsigned ms = 0; ms < LISTING_MAX_MS; ms += 10) {
		if (watcher_synced(r->watcher))
			break;
		wr_run(r, 10);
	}
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 2);
	ck_assert_int_eq(wr_state(r, "t01"), ENTRY_DRAINING);
	/* The copy has this entry as ready. Its target was seen to drain. */
	ck_assert_int_eq(wr_state(r, "t00"), ENTRY_DRAINING);
	wr_close(r);
}
END_TEST

/* The store is down, comes back from the copy, and does so again at once. */
START_TEST(era_rises_twice_while_down)
{
	watcher_rig_t *r = open_settled();

	wr_put_target(r, "b", "10.1.0.2", "draining", BORN, 2);
	wr_run(r, SETTLE_MS);
	fake_store_set_fault(r->store, STORE_RESET);
	wr_run(r, SETTLE_MS);
	fake_store_restore(r->store, true);
	fake_store_set_fault(r->store, STORE_OK);
	wr_run(r, 60);
	fake_store_restore(r->store, true);
	wr_run(r, 3 * SETTLE_MS);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 3);
	ck_assert_int_eq(wr_state(r, "a"), ENTRY_READY);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_DRAINING);
	wr_close(r);
}
END_TEST

/* The era rises while the host is suspended: its connections are dead. */
START_TEST(era_rises_while_suspended)
{
	watcher_rig_t *r = open_settled();

	wr_put_target(r, "b", "10.1.0.2", "draining", BORN, 2);
	wr_run(r, SETTLE_MS);
	fake_store_stall_connections(r->store);
	fake_store_restore(r->store, false);
	watcher_resume(r->watcher);
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 2);
	ck_assert_int_eq(wr_state(r, "a"), ENTRY_READY);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_DRAINING);
	wr_close(r);
}
END_TEST

/* A process that starts after the restore has no memory: the copy counts, and
 * what is written again replaces it. */
START_TEST(start_after_restore)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_put_target(r, "a", "10.1.0.1", "ready", BORN, 1);
	fake_store_copy(r->store);
	fake_store_restore(r->store, true);
	wr_start(r);
	wr_run(r, SETTLE_MS);
	ck_assert_int_eq(wr_state(r, "a"), ENTRY_READY);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 2);
	ck_assert_uint_eq(r->counters.values[COUNTER_STORE_RESTORED], 0);
	wr_put_target(r, "a", "10.1.0.1", "draining", BORN, 2);
	wr_run(r, SETTLE_MS);
	ck_assert_int_eq(wr_state(r, "a"), ENTRY_DRAINING);
	wr_close(r);
}
END_TEST

/* A target left after the copy was taken and is in it as ready: it takes no
 * opens until the store drops its entry. */
START_TEST(left_target_stays_gone)
{
	watcher_rig_t *r = open_settled();

	fake_store_delete(r->store, "servers/b");
	wr_run(r, SETTLE_MS + APPLY_MS);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_GONE);
	restore(r, true);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_GONE);
	wr_run(r, 1500);
	fake_store_delete(r->store, "servers/b");
	wr_run(r, EXPIRY_MS);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_GONE);
	ck_assert_int_eq(wr_state(r, "a"), ENTRY_READY);
	wr_close(r);
}
END_TEST

/* The same target lives: it takes opens again once it writes, or once its entry
 * has outlived the expiry of a silent target's entry. */
START_TEST(returned_target_is_used_again)
{
	watcher_rig_t *r = open_settled();

	fake_store_delete(r->store, "servers/b");
	wr_run(r, SETTLE_MS + APPLY_MS);
	restore(r, true);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_GONE);
	if (_i)
		wr_put_target(r, "b", "10.1.0.2", "ready", BORN, 9);
	wr_run(r, _i ? SETTLE_MS : EXPIRY_MS);
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_READY);
	wr_close(r);
}
END_TEST

/* A target that registered after the copy was taken isn't in it. It lives, and
 * stays ready until it has written again; one that doesn't is gone then. */
START_TEST(newer_target_stays_ready)
{
	watcher_rig_t *r = open_settled();

	wr_put_target(r, "c", "10.1.0.3", "ready", BORN + 9, 1);
	wr_run(r, SETTLE_MS + APPLY_MS);
	ck_assert_int_eq(wr_state(r, "c"), ENTRY_READY);
	restore(r, true);
	ck_assert_int_eq(wr_state(r, "c"), ENTRY_READY);
	if (_i)
		wr_put_target(r, "c", "10.1.0.3", "ready", BORN + 9, 9);
	wr_run(r, DIRECTORY_GRACE_MS + SETTLE_MS);
	ck_assert_int_eq(wr_state(r, "c"), _i ? ENTRY_READY : ENTRY_GONE);
	ck_assert_uint_eq(resets_to_callers(r), 0);
	wr_close(r);
}
END_TEST

/* The target at an address was replaced after the copy was taken, by one with
 * another id (0) or by a new start under the same id (1). The copy brings the
 * old one back as ready; the new one stays, and its flows with it. */
START_TEST(replaced_target_stays_replaced)
{
	watcher_rig_t *r = open_settled();
	const char *id = _i ? "b" : "n";

	fake_store_delete(r->store, "servers/b");
	wr_put_target(r, id, "10.1.0.2", "ready", BORN + 500, 1);
	wr_run(r, SETTLE_MS + APPLY_MS);
	ck_assert_int_eq(wr_state(r, id), ENTRY_READY);
	restore(r, true);
	ck_assert_int_eq(wr_state(r, id), ENTRY_READY);
	ck_assert_uint_eq(directory_find(wr_directory(r), id)->started_ms,
			  BORN + 500);
	if (!_i)
		ck_assert_int_eq(wr_state(r, "b"), ENTRY_GONE);
	wr_put_target(r, id, "10.1.0.2", "ready", BORN + 500, 9);
	wr_run(r, EXPIRY_MS);
	ck_assert_int_eq(wr_state(r, id), ENTRY_READY);
	ck_assert_uint_eq(directory_find(wr_directory(r), id)->started_ms,
			  BORN + 500);
	ck_assert_uint_eq(resets_to_callers(r), 0);
	wr_close(r);
}
END_TEST

/* The routes in the copy are older: they don't come back in force, neither in
 * this process nor in one that starts meanwhile and asks it. */
START_TEST(older_routes_stay_refused)
{
	watcher_rig_t *r = open_settled(), *fresh;
	GString *state = g_string_new(NULL);
	uint64_t now;

	fake_store_put(r->store, "op/config", ROUTES_V(8));
	wr_run(r, SETTLE_MS + APPLY_MS);
	restore(r, true);
	ck_assert_uint_eq(wr_version(r), 8);
	fresh = wr_open(SILENCE_MS, APPLY_MS);
	now = uv_now(&fresh->loop);
	relay_state_pack(r->balancer->balancer, now,
			 watcher_revision(r->watcher), state);
	fresh->known = relay_state_apply(fresh->balancer->balancer, now,
					 state->str, state->len);
	g_string_free(state, TRUE);
	ck_assert_uint_eq(fresh->known.era, 2);
	fake_store_copy(fresh->store); /* the routes there are of version 3 */
	fake_store_restore(fresh->store, true);
	wr_start(fresh);
	wr_run(fresh, SETTLE_MS);
	ck_assert_uint_eq(wr_version(fresh), 8);
	fake_store_put(r->store, "op/config", ROUTES_V(11));
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_version(r), 11);
	wr_close(fresh);
	wr_close(r);
}
END_TEST

/* A process that got a peer's state reads no listing: watches continue after
 * it. When the era has risen since, it lists. */
START_TEST(watch_continues_after_state_of_peer)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	r->known = (store_revision_t){ 1, 3 };
	if (_i) {
		fake_store_copy(r->store);
		fake_store_restore(r->store, true);
	}
	wr_start(r);
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(fake_store_request_count(r->store), 2 + _i);
	fake_store_put(r->store, "op/config", ROUTES_V(5));
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_version(r), 5);
	ck_assert_int_eq(watcher_synced(r->watcher), _i);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 1 + _i);
	wr_close(r);
}
END_TEST

/* A malformed era, a lower one, or none after one was known: the answer is not
 * used, and the store counts as unreachable until it answers as before. */
START_TEST(invalid_era_is_refused)
{
	static const char *const texts[] = {
		"x", "-1", "", "1.5", "18446744073709551616", "0", NULL,
	};
	watcher_rig_t *r = open_settled();

	fake_store_set_era_text(r->store, texts[_i]);
	wr_put_target(r, "b", "10.1.0.2", "draining", BORN, 2);
	wr_run(r, SETTLE_MS + APPLY_MS);
	ck_assert(!watcher_reachable(r->watcher));
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_READY);
	fake_store_set_era_text(r->store, "1");
	wr_run(r, 3 * SETTLE_MS);
	ck_assert(watcher_reachable(r->watcher));
	ck_assert_int_eq(wr_state(r, "b"), ENTRY_DRAINING);
	wr_close(r);
}
END_TEST

/* A platform without eras, which publishes one after an upgrade. */
START_TEST(store_without_era)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	fake_store_set_era_text(r->store, NULL);
	wr_start(r);
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 0);
	fake_store_set_era_text(r->store, "7");
	fake_store_put(r->store, "op/config", ROUTES_V(5));
	wr_run(r, SETTLE_MS + APPLY_MS);
	ck_assert_uint_eq(watcher_revision(r->watcher).era, 7);
	ck_assert_uint_eq(wr_version(r), 5);
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	wr_close(r);
}
END_TEST

static void ignore_change(void *ctx, const target_entry_t *entry)
{
	(void)ctx;
	(void)entry;
}

static bool any_service(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
	return true;
}

static void list_entry_at(directory_t *d, uint64_t now, const char *id,
			  store_revision_t revision)
{
	target_entry_t e = { .service = "s",
			     .zone = "z",
			     .state = ENTRY_READY,
			     .revision = revision };

	snprintf(e.id, sizeof(e.id), "%s", id);
	directory_put(d, now, &e);
}

/* An unknown entry in the first listing of an era: a directory that is younger
 * than the copy may be doubts it, an older one knows that it is new. */
START_TEST(unknown_entry_after_restore)
{
	static const directory_ops_t ops = { ignore_change, any_service };
	static const uint64_t ages_ms[] = { 3000, 60000 };
	directory_t *d = directory_new(3000, &ops, NULL);
	uint64_t now = 1000;

	list_entry_at(d, now, "a", (store_revision_t){ 1, 5 });
	now += ages_ms[_i];
	directory_resync_begin(d, LISTING_STORE);
	list_entry_at(d, now, "a", (store_revision_t){ 2, 5 });
	list_entry_at(d, now, "x", (store_revision_t){ 2, 6 });
	directory_resync_end(d, LISTING_STORE, now, (store_revision_t){ 2, 6 });
	ck_assert_int_eq(directory_find(d, "x")->state,
			 _i ? ENTRY_READY : ENTRY_GONE);
	list_entry_at(d, now, "y", (store_revision_t){ 2, 7 });
	ck_assert_int_eq(directory_find(d, "y")->state, ENTRY_READY);
	directory_tick(d, now + 3000);
	ck_assert_int_eq(directory_find(d, "x")->state, ENTRY_READY);
	directory_free(d);
}
END_TEST

/* Entries of an earlier era change nothing. */
START_TEST(earlier_era_changes_nothing)
{
	static const directory_ops_t ops = { ignore_change, any_service };
	directory_t *d = directory_new(3000, &ops, NULL);

	list_entry_at(d, 1000, "a", (store_revision_t){ 2, 5 });
	directory_remove(d, 1000, "a", (store_revision_t){ 1, 900 });
	directory_resync_begin(d, LISTING_STORE);
	list_entry_at(d, 1000, "b", (store_revision_t){ 1, 901 });
	directory_resync_end(d, LISTING_STORE, 1000,
			     (store_revision_t){ 1, 902 });
	ck_assert_int_eq(directory_find(d, "a")->state, ENTRY_READY);
	ck_assert_ptr_null(directory_find(d, "b"));
	directory_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("store_restore");
	TCase *tc = tcase_create("eras");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, era_rises_during_watch, 0, 2);
	tcase_add_test(tc, old_revision_exists_again);
	tcase_add_test(tc, era_rises_between_pages);
	tcase_add_test(tc, era_rises_twice_while_down);
	tcase_add_test(tc, era_rises_while_suspended);
	tcase_add_test(tc, start_after_restore);
	tcase_add_test(tc, left_target_stays_gone);
	tcase_add_loop_test(tc, returned_target_is_used_again, 0, 2);
	tcase_add_loop_test(tc, newer_target_stays_ready, 0, 2);
	tcase_add_loop_test(tc, replaced_target_stays_replaced, 0, 2);
	tcase_add_test(tc, older_routes_stay_refused);
	tcase_add_loop_test(tc, watch_continues_after_state_of_peer, 0, 2);
	tcase_add_loop_test(tc, invalid_era_is_refused, 0, 7);
	tcase_add_test(tc, store_without_era);
	tcase_add_loop_test(tc, unknown_entry_after_restore, 0, 2);
	tcase_add_test(tc, earlier_era_changes_nothing);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
