/*
 * test_directory - entries of targets that are removed, or missing after the
 * store was restored from a copy
 */

#include "../src/directory.h"
#include "runner.h"
#include <glib.h>

#define EXPIRY_MS 1000
#define ADDRESS                                                                \
	{                                                                      \
		0x0a010001, 80                                                 \
	}

static directory_t *d;

static void changed(void *ctx, const target_entry_t *entry)
{
	(void)ctx;
	(void)entry;
}

static bool names_service(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
	return true;
}

static void setup(void)
{
	static const directory_ops_t ops = { changed, names_service };

	d = directory_new(EXPIRY_MS, &ops, NULL);
}

static void teardown(void)
{
	directory_free(d);
}

static void put(uint64_t now, const char *id, uint64_t era, uint64_t number)
{
	target_entry_t e = { .address = ADDRESS,
			     .slots = 2,
			     .started_ms = 1,
			     .write_number = number,
			     .revision = { era, number } };

	g_strlcpy(e.id, id, sizeof(e.id));
	e.service = "s";
	e.zone = "z";
	directory_put(d, now, &e);
}

static entry_state_t state_of(const char *id)
{
	const target_entry_t *e = directory_find(d, id);

	return e ? e->state : ENTRY_GONE;
}

/* A removal that a slow answer or a peer reports late does not take out an
 * entry that was written after it. */
START_TEST(older_removal_changes_nothing)
{
	put(0, "a", 1, 7);
	directory_remove(d, 10, "a", (store_revision_t){ 1, 5 });
	directory_remove(d, 10, "a", (store_revision_t){ 1, 7 });
	ck_assert_int_eq(state_of("a"), ENTRY_READY);
	directory_remove(d, 10, "a", (store_revision_t){ 1, 8 });
	ck_assert_int_eq(state_of("a"), ENTRY_GONE);
}
END_TEST

/* Reads a listing of a restored store, in which the entry "a" is missing. */
static void list_without_a(uint64_t now)
{
	directory_resync_begin(d, LISTING_STORE);
	put(now, "b", 2, 4);
	directory_resync_end(d, LISTING_STORE, now, (store_revision_t){ 2, 5 });
}

/* The copy that the store was restored from may be older than the entry of a
 * live target: it keeps its opens until it has had time to register again. */
START_TEST(entry_missing_from_a_copy_stays)
{
	put(0, "a", 1, 7);
	put(0, "b", 1, 3);
	list_without_a(100);
	ck_assert_int_eq(state_of("a"), ENTRY_READY);
	directory_tick(d, 100 + DIRECTORY_GRACE_MS - 1);
	ck_assert_int_eq(state_of("a"), ENTRY_READY);
	directory_tick(d, 100 + DIRECTORY_GRACE_MS);
	ck_assert_int_eq(state_of("a"), ENTRY_GONE);
}
END_TEST

/* The same when the target writes again within that time. */
START_TEST(entry_missing_from_a_copy_returns)
{
	put(0, "a", 1, 7);
	put(0, "b", 1, 3);
	list_without_a(100);
	put(600, "a", 2, 8);
	directory_tick(d, 100 + DIRECTORY_GRACE_MS);
	ck_assert_int_eq(state_of("a"), ENTRY_READY);
}
END_TEST

/* Guards against opens at a target that has left: a request failed shortly
 * before its entry was removed. The grace period ends with the time in which
 * live targets register again, and does not begin with the removal. */
START_TEST(grace_period_begins_with_the_recovery)
{
	uint64_t recovered_ms = 1000;

	put(0, "a", 1, 7);
	directory_store_unreachable(d, 900);
	directory_store_reachable(d, recovered_ms);
	directory_remove(d, recovered_ms + 1900, "a",
			 (store_revision_t){ 1, 8 });
	directory_tick(d, recovered_ms + DIRECTORY_GRACE_MS - 1);
	ck_assert_int_eq(state_of("a"), ENTRY_READY);
	directory_tick(d, recovered_ms + DIRECTORY_GRACE_MS);
	ck_assert_int_eq(state_of("a"), ENTRY_GONE);
}
END_TEST

/* While the store is away, the grace period begins with the removal, which a
 * peer has told. */
START_TEST(grace_period_in_an_outage)
{
	put(0, "a", 1, 7);
	directory_store_unreachable(d, 900);
	directory_remove(d, 1500, "a", (store_revision_t){ 1, 8 });
	directory_tick(d, 1500 + DIRECTORY_GRACE_MS - 1);
	ck_assert_int_eq(state_of("a"), ENTRY_READY);
	directory_tick(d, 1500 + DIRECTORY_GRACE_MS);
	ck_assert_int_eq(state_of("a"), ENTRY_GONE);
}
END_TEST

/* Without an outage or a restore, an entry that is not listed is gone. */
START_TEST(entry_missing_from_a_listing_is_gone)
{
	put(0, "a", 1, 7);
	directory_resync_begin(d, LISTING_STORE);
	directory_resync_end(d, LISTING_STORE, 100, (store_revision_t){ 1, 9 });
	ck_assert_int_eq(state_of("a"), ENTRY_GONE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("directory");
	TCase *tc = tcase_create("removals");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, older_removal_changes_nothing);
	tcase_add_test(tc, entry_missing_from_a_copy_stays);
	tcase_add_test(tc, entry_missing_from_a_copy_returns);
	tcase_add_test(tc, grace_period_begins_with_the_recovery);
	tcase_add_test(tc, grace_period_in_an_outage);
	tcase_add_test(tc, entry_missing_from_a_listing_is_gone);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
