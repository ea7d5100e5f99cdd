/*
 * test_evacuation - the set of availability zones that get no new flows, and
 * what the platform's store says of them
 */

#include "evacuation.h"
#include "relay_mechanism.h"
#include "relay_state.h"
#include "runner.h"
#include "watcher_rig.h"
#include <stdio.h>
#include <string.h>

#define SETTLE_MS    400
#define SILENCE_MS   2000
#define APPLY_MS     500
#define ZONE_A	     "z-a"
#define ZONE_B	     "z-b"
#define AT(era, rev) ((store_revision_t){ era, rev })

/* the set */

typedef struct log {
	unsigned evacuated, taken_back;
} log_t;

static void on_change(void *ctx, const evacuation_t *e)
{
	log_t *log = ctx;

	if (e->active)
		log->evacuated++;
	else
		log->taken_back++;
}

/* Two zones, in series and overlapping; each change is reported once. */
START_TEST(zones_in_series_and_overlapping)
{
	log_t log = { 0 };
	evacuations_t *s = evacuations_new(on_change, &log);

	ck_assert(!evacuations_active(s, ZONE_A));
	evacuations_put(s, 10, ZONE_A, AT(1, 5));
	evacuations_put(s, 11, ZONE_B, AT(1, 6));
	ck_assert_uint_eq(evacuations_count(s), 2);
	evacuations_remove(s, 12, ZONE_A, AT(1, 7));
	ck_assert(!evacuations_active(s, ZONE_A));
	ck_assert(evacuations_active(s, ZONE_B));
	evacuations_put(s, 13, ZONE_A, AT(1, 8));
	evacuations_remove(s, 14, ZONE_B, AT(1, 9));
	ck_assert(evacuations_active(s, ZONE_A));
	ck_assert_uint_eq(evacuations_count(s), 1);
	ck_assert_uint_eq(log.evacuated, 3);
	ck_assert_uint_eq(log.taken_back, 2);
	evacuations_free(s);
}
END_TEST

/* Words of peers come in any order: the higher revision counts. */
START_TEST(older_word_changes_nothing)
{
	log_t log = { 0 };
	evacuations_t *s = evacuations_new(on_change, &log);

	evacuations_put(s, 10, ZONE_A, AT(1, 20));
	evacuations_remove(s, 11, ZONE_A, AT(1, 15));
	ck_assert(evacuations_active(s, ZONE_A));
	evacuations_remove(s, 12, ZONE_A, AT(1, 30));
	evacuations_put(s, 13, ZONE_A, AT(1, 20));
	ck_assert(!evacuations_active(s, ZONE_A));
	/* A zone that the last listing lacked is not evacuated by an item that
	 * is older than the listing. */
	evacuations_resync_begin(s, LISTING_STORE);
	evacuations_resync_end(s, LISTING_STORE, 14, AT(1, 40));
	evacuations_put(s, 15, ZONE_B, AT(1, 35));
	ck_assert(!evacuations_active(s, ZONE_B));
	evacuations_put(s, 16, ZONE_B, AT(1, 41));
	ck_assert(evacuations_active(s, ZONE_B));
	evacuations_free(s);
}
END_TEST

/* A complete listing without the zone takes it back; one that began before the
 * evacuation does not. */
START_TEST(listing_takes_back)
{
	log_t log = { 0 };
	evacuations_t *s = evacuations_new(on_change, &log);

	evacuations_put(s, 10, ZONE_A, AT(1, 20));
	evacuations_put(s, 10, ZONE_B, AT(1, 21));
	evacuations_resync_begin(s, LISTING_STORE);
	evacuations_resync_end(s, LISTING_STORE, 11, AT(1, 19));
	ck_assert_uint_eq(evacuations_count(s), 2);
	evacuations_resync_begin(s, LISTING_STORE);
	evacuations_put(s, 12, ZONE_B, AT(1, 21));
	evacuations_resync_end(s, LISTING_STORE, 12, AT(1, 30));
	ck_assert(!evacuations_active(s, ZONE_A));
	ck_assert(evacuations_active(s, ZONE_B));
	evacuations_free(s);
}
END_TEST

/* The store is restored from a copy without the evacuation: it holds for a
 * bounded time, unless the new store deletes it. */
START_TEST(restored_store_lacks_evacuation)
{
	log_t log = { 0 };
	evacuations_t *s = evacuations_new(on_change, &log);

	evacuations_put(s, 10, ZONE_A, AT(1, 20));
	evacuations_put(s, 10, ZONE_B, AT(1, 21));
	evacuations_resync_begin(s, LISTING_STORE);
	evacuations_resync_end(s, LISTING_STORE, 1000, AT(2, 5));
	evacuations_tick(s, 999 + EVACUATION_UNCONFIRMED_MS);
	ck_assert_uint_eq(evacuations_count(s), 2);
	/* A word of the earlier era changes nothing any more. */
	evacuations_remove(s, 1001, ZONE_B, AT(1, 25));
	ck_assert(evacuations_active(s, ZONE_B));
	evacuations_remove(s, 1002, ZONE_B, AT(2, 6));
	ck_assert(!evacuations_active(s, ZONE_B));
	evacuations_tick(s, 1000 + EVACUATION_UNCONFIRMED_MS);
	ck_assert(!evacuations_active(s, ZONE_A));
	evacuations_free(s);
}
END_TEST

/* A copy that lists an evacuation that was taken back: the store counts. */
START_TEST(restored_store_lists_old_evacuation)
{
	log_t log = { 0 };
	evacuations_t *s = evacuations_new(on_change, &log);

	evacuations_put(s, 10, ZONE_A, AT(1, 20));
	evacuations_remove(s, 11, ZONE_A, AT(1, 30));
	evacuations_resync_begin(s, LISTING_STORE);
	evacuations_put(s, 12, ZONE_A, AT(2, 20));
	evacuations_resync_end(s, LISTING_STORE, 12, AT(2, 25));
	ck_assert(evacuations_active(s, ZONE_A));
	evacuations_tick(s, 12 + 2 * EVACUATION_UNCONFIRMED_MS);
	ck_assert(evacuations_active(s, ZONE_A));
	evacuations_free(s);
}
END_TEST

START_TEST(names_that_do_not_fit)
{
	log_t log = { 0 };
	evacuations_t *s = evacuations_new(on_change, &log);
	char name[EVACUATION_ZONE_SIZE + 1];

	memset(name, 'x', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	evacuations_put(s, 1, name, AT(1, 1));
	evacuations_put(s, 1, "", AT(1, 2));
	ck_assert_uint_eq(evacuations_count(s), 0);
	evacuations_free(s);
}
END_TEST

/* the platform's store */

static bool store_evacuated(watcher_rig_t *r, const char *zone)
{
	return evacuations_active(
		relay_balancer_evacuations(r->balancer->balancer), zone);
}

static watcher_rig_t *open_store(void)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	fake_store_put(r->store, "op/evacuate/" ZONE_A, "{}");
	wr_start(r);
	wr_run(r, SETTLE_MS);
	return r;
}

/* Keys of the store: listed at the start, written and deleted later. */
START_TEST(store_lists_and_watches)
{
	watcher_rig_t *r = open_store();

	ck_assert(store_evacuated(r, ZONE_A));
	fake_store_put(r->store, "op/evacuate/" ZONE_B, "{}");
	wr_run(r, SETTLE_MS);
	ck_assert(store_evacuated(r, ZONE_B));
	fake_store_delete(r->store, "op/evacuate/" ZONE_A);
	wr_run(r, SETTLE_MS);
	ck_assert(!store_evacuated(r, ZONE_A));
	ck_assert(store_evacuated(r, ZONE_B));
	wr_close(r);
}
END_TEST

/* The deletion is lost with the history: the listing lacks the key. */
START_TEST(deletion_in_lost_history)
{
	watcher_rig_t *r = open_store();

	fake_store_set_fault(r->store, STORE_UNAVAILABLE);
	fake_store_delete(r->store, "op/evacuate/" ZONE_A);
	fake_store_put(r->store, "op/evacuate/" ZONE_B, "{}");
	fake_store_compact(r->store);
	wr_run(r, SETTLE_MS);
	ck_assert(store_evacuated(r, ZONE_A));
	fake_store_set_fault(r->store, STORE_OK);
	wr_run(r, 3 * SETTLE_MS);
	ck_assert(!store_evacuated(r, ZONE_A));
	ck_assert(store_evacuated(r, ZONE_B));
	wr_close(r);
}
END_TEST

/* A store restored from a copy without the key. */
START_TEST(key_missing_in_restored_store)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);

	wr_start(r);
	wr_run(r, SETTLE_MS);
	fake_store_copy(r->store);
	fake_store_put(r->store, "op/evacuate/" ZONE_A, "{}");
	wr_run(r, SETTLE_MS);
	ck_assert(store_evacuated(r, ZONE_A));
	fake_store_restore(r->store, true);
	wr_run(r, SETTLE_MS + APPLY_MS / 2);
	ck_assert(store_evacuated(r, ZONE_A));
	evacuations_tick(relay_balancer_evacuations(r->balancer->balancer),
			 uv_now(&r->loop) + EVACUATION_UNCONFIRMED_MS);
	ck_assert(!store_evacuated(r, ZONE_A));
	wr_close(r);
}
END_TEST

/* Whatever the value holds, the key counts; a name that can't be one of a zone
 * is refused. */
START_TEST(values_and_names)
{
	watcher_rig_t *r = open_store();
	unsigned refused = r->refused;

	fake_store_put(r->store, "op/evacuate/" ZONE_B, "no JSON");
	fake_store_put(r->store, "op/evacuate/", "{}");
	wr_run(r, SETTLE_MS);
	ck_assert(store_evacuated(r, ZONE_B));
	ck_assert_uint_eq(r->refused, refused + 1);
	wr_close(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("evacuation");
	TCase *set = tcase_create("set"), *store = tcase_create("store");

	tcase_add_test(set, zones_in_series_and_overlapping);
	tcase_add_test(set, older_word_changes_nothing);
	tcase_add_test(set, listing_takes_back);
	tcase_add_test(set, restored_store_lacks_evacuation);
	tcase_add_test(set, restored_store_lists_old_evacuation);
	tcase_add_test(set, names_that_do_not_fit);
	suite_add_tcase(s, set);
	tcase_set_timeout(store, 30);
	tcase_add_test(store, store_lists_and_watches);
	tcase_add_test(store, deletion_in_lost_history);
	tcase_add_test(store, key_missing_in_restored_store);
	tcase_add_test(store, values_and_names);
	suite_add_tcase(s, store);
	return run_suite(s);
}
