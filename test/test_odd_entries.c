/*
 * test_odd_entries - entries of other writers among those of the targets
 */

#include "event_log.h"
#include "fleet_items.h"
#include "runner.h"
#include "watcher_rig.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Nesting of an entry; a parser that recurses without a bound overflows the
 * stack on it. */
#define DEEP_LEVELS 100000
/* Time for what happens at once, and for a batch of changes. */
#define SETTLE_MS  400
#define APPLY_MS   1000
#define SILENCE_MS 2000

#define ENTRY(address, zone, slots, left_ms, number, started)                  \
	"{\"service\":\"feeds\",\"address\":\"" address "\",\"zone\":\"" zone  \
	"\",\"version\":\"v1\",\"slots\":" slots                               \
	",\"state\":\"ready\",\"warmup_left_ms\":" left_ms ",\"seq\":" number  \
	",\"born\":" started "}"
#define HUGE_NUMBER "9999999999999999999999999999999999999999"
#define HOST	    "10.1.0.9:80"

/* Values that name no target; NULL: nested values, see odd_value(). */
static const char *const odd_values[] = {
	ENTRY(HOST, "z", HUGE_NUMBER, "0", "1", "1"),
	ENTRY(HOST, "z", "1e400", "0", "1", "1"),
	ENTRY(HOST, "z", "2147483647", "0", "1", "1"),
	ENTRY(HOST, "z", "18446744073709551615", "0", "1", "1"),
	ENTRY(HOST, "z", "-1", "0", "1", "1"),
	ENTRY(HOST, "z", "2.5", "0", "1", "1"),
	ENTRY(HOST, "z", "NaN", "0", "1", "1"),
	ENTRY(HOST, "z", "2", HUGE_NUMBER, "1", "1"),
	ENTRY(HOST, "z", "2", "0", HUGE_NUMBER, "1"),
	ENTRY(HOST, "z", "2", "0", "1", HUGE_NUMBER),
	ENTRY(HOST, "z", "2", "0", "1", "-Infinity"),
	ENTRY("10.1.0.9:65536", "z", "2", "0", "1", "1"),
	ENTRY("10.1.0.9:" HUGE_NUMBER, "z", "2", "0", "1", "1"),
	ENTRY("10.1.0.9:-1", "z", "2", "0", "1", "1"),
	ENTRY("10.1.0.9:0", "z", "2", "0", "1", "1"),
	ENTRY("10.1.0.9", "z", "2", "0", "1", "1"),
	ENTRY("300.1.0.9:80", "z", "2", "0", "1", "1"),
	ENTRY("0.0.0.0:80", "z", "2", "0", "1", "1"),
	ENTRY("255.255.255.255:80", "z", "2", "0", "1", "1"),
	ENTRY("224.0.0.1:80", "z", "2", "0", "1", "1"),
	ENTRY(HOST, "\xff\xfe", "2", "0", "1", "1"),
	ENTRY(HOST, "\\u0000z", "2", "0", "1", "1"),
	ENTRY(HOST, "", "2", "0", "1", "1"),
	"{\"service\":\"feeds\"",
	"\x80\x01",
	"[",
	NULL, /* arrays */
	NULL, /* objects */
	NULL, /* a field */
	NULL, /* objects that are not closed */
};
#define ODD_VALUES (int)(sizeof(odd_values) / sizeof(odd_values[0]))

/* A value of the table, to be freed with g_free(). */
static char *odd_value(int i)
{
	GString *s;

	if (odd_values[i])
		return g_strdup(odd_values[i]);
	s = g_string_new(NULL);
	if (i == ODD_VALUES - 2)
		g_string_append(s, "{\"service\":\"feeds\",\"zone\":");
	for (int n = 0; n < DEEP_LEVELS; n++)
		g_string_append(s, i == ODD_VALUES - 4 || i == ODD_VALUES - 2
					   ? "["
					   : "{\"a\":");
	if (i == ODD_VALUES - 1)
		return g_string_free(s, FALSE);
	if (i == ODD_VALUES - 3)
		g_string_append_c(s, '1');
	for (int n = 0; n < DEEP_LEVELS; n++)
		g_string_append_c(s, i == ODD_VALUES - 3 ? '}' : ']');
	if (i == ODD_VALUES - 2)
		g_string_append_c(s, '}');
	return g_string_free(s, FALSE);
}

/* Guards against targets made of entries that name none: a number too large, a
 * port out of range, an address of no host. */
START_TEST(odd_entry_names_no_target)
{
	store_revision_t revision = { 0, 7 };
	char *value = odd_value(_i);
	target_entry_t entry;
	err_t err = { 0 };

	ck_assert_int_lt(fleet_read_target("x", value, strlen(value), revision,
					   &entry, &err),
			 0);
	ck_assert(err.what[0]);
	g_free(value);
}
END_TEST

/* Guards against a balancer that ends, or no longer follows the list, since
 * another writer left an odd entry in it: in a listing, and in a change. */
START_TEST(list_is_followed_beside_odd_entry)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	char *value = odd_value(_i);

	fake_store_put(r->store, "servers/0", value);
	wr_start(r);
	wr_run(r, SETTLE_MS);
	ck_assert(watcher_synced(r->watcher));
	ck_assert_uint_eq(wr_ready_targets(r), 1);
	ck_assert_uint_eq(r->refused, 1);
	fake_store_put(r->store, "servers/1", value);
	fake_store_put(r->store, "servers/b", TARGET("10.1.0.2"));
	fake_store_put(r->store, "op/config", ROUTES_V(4));
	wr_run(r, SETTLE_MS);
	ck_assert_uint_eq(wr_ready_targets(r), 2);
	ck_assert_uint_eq(wr_version(r), 4);
	ck_assert_uint_eq(r->counters.values[COUNTER_PLATFORM_FAILURES], 0);
	wr_close(r);
	g_free(value);
}
END_TEST

/* Guards against log lines that are no JSON, since they quote a key or an error
 * as it is. */
START_TEST(quoted_text_fits_a_line)
{
	char buf[16];

	ck_assert_str_eq(event_log_quote("\"slots\" is\n\\", buf, sizeof(buf)),
			 "'slots' is??");
	ck_assert_str_eq(event_log_quote("\xc3\xa9\x7f", buf, sizeof(buf)),
			 "???");
	ck_assert_str_eq(event_log_quote("abcdef", buf, 4), "abc");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("odd_entries");
	TCase *tc = tcase_create("store");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, odd_entry_names_no_target, 0, ODD_VALUES);
	tcase_add_loop_test(tc, list_is_followed_beside_odd_entry, 0,
			    ODD_VALUES);
	tcase_add_test(tc, quoted_text_fits_a_line);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
