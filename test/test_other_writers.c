/*
 * test_other_writers - entries of other writers at the address of a live target
 */

#include "fleet_store.h"
#include "relay_rig.h"
#include "runner.h"
#include <glib.h>
#include <string.h>

#define AGENT	 RIG_HOST_A
#define OWN_KEY	 "servers/a"
#define ODD_KEY	 "servers/import-1"
#define ZONE	 "here"
#define START_MS "1700000000000"
/* Time after which a live target has written its entry again; that of the rig.
 */
#define EXPIRY_MS 3000

static relay_rig_t *r;
static uint64_t revision;

static void sink_routes(void *ctx, route_table_t *routes)
{
	(void)ctx;
	relay_balancer_set_routes(r->balancer, routes);
}

static void sink_refused(void *ctx, const char *key, const err_t *err)
{
	(void)ctx;
	(void)key;
	(void)err;
}

static directory_t *sink_directory(void *ctx)
{
	(void)ctx;
	return relay_balancer_directory(r->balancer);
}

static evacuations_t *sink_evacuations(void *ctx)
{
	(void)ctx;
	return relay_balancer_evacuations(r->balancer);
}

static uint64_t sink_now(void *ctx)
{
	(void)ctx;
	return r->now;
}

/* Reads an item as a change, or in a listing. NULL: it was deleted. */
static void read_item(const char *key, const char *value, size_t len,
		      bool watch)
{
	static const relay_sink_t sink = { .routes = sink_routes,
					   .refused = sink_refused,
					   .directory = sink_directory,
					   .evacuations = sink_evacuations,
					   .now = sink_now };
	relay_watcher_ctx_t ctx = { .sink = &sink };
	uint64_t number = ++revision;
	g_autofree char *base64 =
		value ? g_base64_encode((const guchar *)value, len) : NULL;
	g_autofree char *body = g_strdup_printf(
		"{\"%s\":[{\"key\":\"%s\",\"revision\":%llu,%s%s%s}],"
		"\"store_revision\":%llu}",
		watch ? "events" : "items", key, (unsigned long long)number,
		value ? "\"value\":\"" : "\"deleted\":true",
		value ? base64 : "", value ? "\"" : "",
		(unsigned long long)number);
	http_response_t answer = { .status = 200,
				   .body = body,
				   .len = strlen(body) };
	watcher_page_t page = { 0 };
	err_t err;

	ck_assert_int_eq(
		fleet_watcher_ops.apply(&ctx, &answer, watch, &page, &err),
		WATCHER_OK);
}

static void write_text(const char *key, const char *text)
{
	read_item(key, text, text ? strlen(text) : 0, true);
}

/* The target's own entry. */
static void write_own(const char *state)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"feeds\",\"address\":\"10.1.0.9:8080\","
		"\"zone\":\"" ZONE "\",\"version\":\"v1\",\"slots\":2,"
		"\"state\":\"%s\",\"warmup_left_ms\":0,\"seq\":3,"
		"\"born\":" START_MS "}",
		state);

	write_text(OWN_KEY, text);
}

static const char *const fields[][2] = {
	{ "service", "\"feeds\"" },
	{ "address", "\"10.1.0.9:8080\"" },
	{ "zone", "\"" ZONE "\"" },
	{ "version", "\"v1\"" },
	{ "slots", "2" },
	{ "state", "\"ready\"" },
	{ "warmup_left_ms", "0" },
	{ "seq", "7" },
	{ "born", "1700000009000" },
};
/* Values of each type; NULL: the field is missing. */
static const char *const values[] = { NULL,	  "null",  "true",
				      "-1",	  "1.5",   "\"1700000009000\"",
				      "\"\"",	  "[]",	   "{}",
				      "[2]",	  "1e400", "\"un\\u0000named\"",
				      "\"ready\"" };
#define FIELDS (int)(sizeof(fields) / sizeof(fields[0]))
#define VALUES (int)(sizeof(values) / sizeof(values[0]))
#define BROKEN (FIELDS * VALUES)

/* True when the value is one that the field may have. */
static bool is_valid(int field, int value)
{
	const char *name = fields[field][0], *text = values[value];
	bool is_text = !strcmp(name, "service") || !strcmp(name, "zone") ||
		       !strcmp(name, "version");

	if (!text || !text[1] || text[0] != '"')
		return false;
	return (is_text && text[1] != '"' && !strchr(text, '\\')) ||
	       (!strcmp(name, "state") && !strcmp(text, "\"ready\""));
}

/* The i-th entry with one field that is missing, or of a wrong type or value;
 * NULL: its field is valid. */
static char *broken_entry(int i)
{
	GString *s = g_string_new("{");

	if (is_valid(i / VALUES, i % VALUES)) {
		g_string_free(s, TRUE);
		return NULL;
	}
	for (int f = 0; f < FIELDS; f++) {
		const char *value =
			f == i / VALUES ? values[i % VALUES] : fields[f][1];

		if (value)
			g_string_append_printf(s, "%s\"%s\":%s",
					       s->len > 1 ? "," : "",
					       fields[f][0], value);
	}
	g_string_append_c(s, '}');
	return g_string_free(s, FALSE);
}

#define WHOLE                                                                  \
	"\"service\":\"feeds\",\"address\":\"10.1.0.9:8080\","                 \
	"\"zone\":\"" ZONE "\",\"version\":\"v1\",\"slots\":2,"                \
	"\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":7,"                  \
	"\"born\":1700000009000"
/* The length is that of the literal, with NULs inside. */
#define BYTES(text)                                                            \
	{                                                                      \
		text, sizeof(text) - 1                                         \
	}

/* An entry that is whole, apart from bytes that are not JSON. */
static const struct {
	const char *text;
	size_t len;
} not_json[] = {
	BYTES("{" WHOLE "}\"\xff\xfe\0,\"state\":"),
	BYTES("{" WHOLE "}\0"),
	BYTES("{" WHOLE "}}"),
	BYTES("{" WHOLE "} x"),
	BYTES("{" WHOLE "}{" WHOLE "}"),
	BYTES("{" WHOLE "}//"),
	BYTES("{" WHOLE ",}"),
	BYTES("{" WHOLE),
	BYTES("[{" WHOLE "}]"),
	BYTES("\xef\xbb\xbf{" WHOLE "}"),
	BYTES("{/**/" WHOLE "}"),
	BYTES("{" WHOLE ",'x':1}"),
	BYTES("{" WHOLE ",x:1}"),
	BYTES("{" WHOLE ",\"x\":01}"),
	BYTES("{" WHOLE ",\"x\":-01}"),
	BYTES("{" WHOLE ",\"x\":1.}"),
	BYTES("{" WHOLE ",\"x\":.5}"),
	BYTES("{" WHOLE ",\"x\":1e}"),
	BYTES("{" WHOLE ",\"x\":NaN}"),
	BYTES("{" WHOLE ",\"x\":-Infinity}"),
	BYTES("{" WHOLE ",\"x\":True}"),
	BYTES("{" WHOLE ",\"x\":\"\t\"}"),
	BYTES("{" WHOLE ",\"x\":\"\\x\"}"),
	BYTES("{" WHOLE ",\"x\":\"\xff\"}"),
	BYTES("{" WHOLE ",\"x\":\"\xc0\x80\"}"),
	BYTES("{" WHOLE ",\"x\":\"\xed\xa0\x80\"}"),
	BYTES("{" WHOLE ",\"\xe9\":1}"),
	BYTES("{" WHOLE "\f}"),
	BYTES(""),
	BYTES("\0"),
};
#define NOT_JSON (int)(sizeof(not_json) / sizeof(not_json[0]))

#define UNNAMED(state, started)                                                \
	"{\"service\":\"stocktaking\",\"address\":\"10.1.0.9:8080\","          \
	"\"zone\":\"" ZONE "\",\"version\":\"v1\",\"slots\":9,"                \
	"\"state\":\"" state "\",\"warmup_left_ms\":0,\"seq\":900,"            \
	"\"born\":" started "}"

/* Whole entries of a service that no configuration names. */
static const char *const unnamed[] = {
	UNNAMED("ready", START_MS),	   UNNAMED("ready", "1"),
	UNNAMED("ready", "1700000001000"), UNNAMED("ready", "4000000000000"),
	UNNAMED("draining", START_MS),	   UNNAMED("draining", "1700000001000"),
};
#define NOT_NAMED (int)(sizeof(unnamed) / sizeof(unnamed[0]))
#define ODD	  (BROKEN + NOT_JSON + NOT_NAMED)

static void write_not_json(const char *key, int i)
{
	read_item(key, not_json[i].text, not_json[i].len, true);
}

/* A balancer that has seen all versions of the routes, with an open flow at the
 * target. */
static void setup(void)
{
	r = rr_balancer();
	revision = 10;
	route_history_set_seen_ms(relay_balancer_route_history(r->balancer),
				  r->now, UINT64_MAX);
	rr_routes(r, 3);
	write_own("ready");
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, RIG_SERVER_ISN + 1, 100);
	rr_advance(r, 100);
	rr_clear(r);
}

static void teardown(void)
{
	rr_free(r);
}

/* Checks that the open flow is where it was, and whether its target takes
 * opens. */
static void check_target(unsigned flow, bool takes_opens)
{
	rr_load(r, AGENT, 0, 0, 10, 0);
	rr_advance(r, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + 1, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT, 0), 1);
	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT, RELAY_OFFER),
			  takes_opens);
	if (takes_opens)
		rr_flow_message(r, AGENT, RELAY_TAKEN, flow, "feeds");
	rr_clear(r);
}

/* Guards against a reset of the flows of a live target, since an entry with a
 * broken field, under an id of its own, names its address. */
START_TEST(broken_entry_resets_nothing)
{
	g_autofree char *text = broken_entry(_i);

	if (!text)
		return;
	write_text(ODD_KEY, text);
	check_target(2, true);
	write_text(ODD_KEY, NULL);
	check_target(3, true);
}
END_TEST

/* Guards against opens at a target that drains, since such an entry names its
 * address as that of a ready one. */
START_TEST(broken_entry_ends_no_drain)
{
	g_autofree char *text = broken_entry(_i);

	if (!text)
		return;
	write_own("draining");
	write_text(ODD_KEY, text);
	check_target(2, false);
}
END_TEST

/* Guards against opens at a target that drains, or resets of its flows, since
 * bytes that are not JSON name its address as that of a ready one. */
START_TEST(bytes_name_no_target)
{
	write_not_json(ODD_KEY, _i);
	check_target(2, true);
	write_own("draining");
	check_target(3, false);
	write_text(ODD_KEY, NULL);
	write_not_json(ODD_KEY, _i);
	check_target(4, false);
}
END_TEST

/* The same entry is that of a target when it is JSON, with white space around.
 */
START_TEST(whole_entry_names_a_target)
{
	write_own("draining");
	write_text(ODD_KEY, " {" WHOLE ",\"x\":\"\xc3\xa9\"}\r\n");
	ck_assert_int_eq(
		directory_find(sink_directory(NULL), "import-1")->state,
		ENTRY_READY);
}
END_TEST

/* Puts the i-th odd entry: broken, not JSON or of a service that is not named.
 * Returns false when there is none. */
static bool write_odd(const char *key, int i)
{
	g_autofree char *text = i < BROKEN ? broken_entry(i) : NULL;

	if (i >= BROKEN + NOT_JSON)
		write_text(key, unnamed[i - BROKEN - NOT_JSON]);
	else if (i >= BROKEN)
		write_not_json(key, i - BROKEN);
	else if (text)
		write_text(key, text);
	return i >= BROKEN || text;
}

/* Guards against a live target that is taken out of use, or its flows reset,
 * since another writer put an odd entry over its own. */
START_TEST(overwritten_target_stays_in_use)
{
	if (!write_odd(OWN_KEY, _i))
		return;
	check_target(2, true);
	write_own("ready");
	check_target(3, true);
	rr_advance(r, EXPIRY_MS);
	check_target(4, true);
}
END_TEST

/* Guards against opens at a target that drains, as its entry is overwritten. */
START_TEST(overwritten_target_drains_on)
{
	write_own("draining");
	if (!write_odd(OWN_KEY, _i))
		return;
	check_target(2, false);
	write_own("draining");
	check_target(3, false);
}
END_TEST

static entry_state_t own_state(void)
{
	return directory_find(sink_directory(NULL), "a")->state;
}

/* Guards against a target that has left and is used for ever, since an odd
 * entry stands in place of its own: it has not written that again. */
START_TEST(overwritten_target_that_is_silent_is_gone)
{
	write_own(_i % 2 ? "draining" : "ready");
	write_text(OWN_KEY, _i / 2 ? unnamed[0] : "{}");
	rr_advance(r, EXPIRY_MS / 2);
	write_text(OWN_KEY, _i / 2 ? unnamed[4] : "[]");
	rr_advance(r, EXPIRY_MS / 2 - 200);
	ck_assert_int_ne(own_state(), ENTRY_GONE);
	rr_advance(r, 400);
	ck_assert_int_eq(own_state(), ENTRY_GONE);
}
END_TEST

/* The same in an outage of the store, in which the target can't write: it has
 * time to after the outage. */
START_TEST(overwritten_target_outlives_an_outage)
{
	write_text(OWN_KEY, "{}");
	directory_store_unreachable(sink_directory(NULL), r->now);
	rr_advance(r, 2 * EXPIRY_MS);
	ck_assert_int_eq(own_state(), ENTRY_READY);
	directory_store_reachable(sink_directory(NULL), r->now);
	rr_advance(r, DIRECTORY_GRACE_MS - 200);
	ck_assert_int_eq(own_state(), ENTRY_READY);
	rr_advance(r, 400);
	ck_assert_int_eq(own_state(), ENTRY_GONE);
}
END_TEST

/* Replaces the balancer by one that has just started and lists another writer's
 * item in place of the target's entry, and another target. */
static void restart_balancer(const char *item)
{
	directory_t *d;

	rr_free(r);
	r = rr_balancer();
	rr_routes(r, 3);
	d = sink_directory(NULL);
	directory_resync_begin(d, LISTING_STORE);
	read_item(OWN_KEY, item, strlen(item), false);
	rr_entry(r, "b", RIG_HOST_B, ++revision, ENTRY_READY);
	directory_resync_end(d, LISTING_STORE, r->now,
			     (store_revision_t){ .number = revision });
	rr_load(r, RIG_HOST_B, 0, 0, 10, 0);
	rr_clear(r);
}

/* Sends a packet of the open flow, of which the other target knows nothing. */
static void send_flow_packet(void)
{
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + 1, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, RIG_HOST_B, RELAY_LOOKUP),
			  1);
	rr_chain_not_held(r, RIG_HOST_B, 1, rr_last_chain(r, RIG_HOST_B));
}

/* Guards against a reset of an open flow by a balancer that has just started:
 * an odd entry stands in place of that of the flow's target. */
START_TEST(hidden_target_keeps_its_flows)
{
	restart_balancer("[");
	send_flow_packet();
	rr_advance(r, EXPIRY_MS - 500);
	send_flow_packet();
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	write_own("ready");
	rr_load(r, AGENT, 0, 0, 10, 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 206, RIG_SERVER_ISN + 1, 100);
	rr_flow_message(r, AGENT, RELAY_HELD, 1, "feeds");
	check_target(2, true);
}
END_TEST

/* Guards against the same when the entry is of a service that is not named: the
 * agent at its address is asked, and its word counts. */
START_TEST(address_of_unnamed_entry_is_asked)
{
	restart_balancer(unnamed[_i]);
	send_flow_packet();
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT, RELAY_LOOKUP), 1);
	rr_flow_message(r, AGENT, RELAY_HELD, 1, "feeds");
	write_own("ready");
	check_target(2, true);
}
END_TEST

/* Guards against callers of lost flows that wait for ever, since an odd entry
 * stands there, or is written again and again: no target is hidden by it. */
START_TEST(standing_item_hides_nothing)
{
	restart_balancer("[");
	for (int i = 0; i < 4; i++) {
		rr_advance(r, EXPIRY_MS / 4);
		write_text(OWN_KEY, i % 2 ? "[" : "{");
	}
	rr_load(r, RIG_HOST_B, 0, 0, 10, 0);
	send_flow_packet();
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
}
END_TEST

/* Guards against a refusal of opens of the service whose only target is hidden.
 */
START_TEST(open_waits_for_hidden_target)
{
	rr_free(r);
	r = rr_balancer();
	rr_routes(r, 3);
	rr_advance(r, 2 * EXPIRY_MS);
	write_text(OWN_KEY, "[");
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 600);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	write_own("ready");
	rr_advance(r, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT, RELAY_OFFER), 1);
}
END_TEST

/* Sends a packet of a flow that another balancer has opened at the target, and
 * checks that its agent is asked. */
static void check_asked(unsigned flow)
{
	rr_load(r, AGENT, 0, 0, 10, 0);
	rr_clear(r);
	rr_from_caller(r, flow, RELAY_ACK, 6, RIG_SERVER_ISN + 1, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT, RELAY_LOOKUP), 1);
	rr_flow_message(r, AGENT, RELAY_HELD, flow, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
}

/* Guards against look-ups that do not ask a target's agent, since an odd entry
 * replaces the target's own or stands beside it, also while that is gone. */
START_TEST(agent_of_odd_entry_is_asked)
{
	if (!write_odd(OWN_KEY, _i))
		return;
	check_asked(2);
	write_own("ready");
	write_odd(ODD_KEY, _i);
	check_asked(3);
	write_text(OWN_KEY, NULL);
	check_asked(4);
	write_text(ODD_KEY, NULL);
	check_asked(5);
	check_target(6, false);
	write_own("ready");
	check_target(7, true);
}
END_TEST

/* Guards against an entry of a service that is not named, and that takes the
 * place of a target whose entry is gone while it still holds flows. */
START_TEST(unnamed_entry_takes_no_place)
{
	write_text(ODD_KEY, unnamed[_i]);
	write_text(OWN_KEY, NULL);
	check_asked(2);
	write_text(ODD_KEY, unnamed[(_i + 1) % NOT_NAMED]);
	check_asked(3);
	check_target(4, false);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
}
END_TEST

/* Guards against a target whose service a later configuration names, and that
 * is not used then, since its entry was read before. */
START_TEST(service_named_later_is_used)
{
	route_share_t shares[] = { { .service = "stocktaking", .weight = 1 } };

	write_text("servers/s", unnamed[0]);
	check_target(2, true);
	write_text(OWN_KEY, NULL);
	rr_route_to(r, 4, shares, 1);
	rr_clear(r);
	rr_from_caller(r, 3, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT, RELAY_OFFER), 1);
}
END_TEST

/* Guards against a target that drains, is restarted or takes opens again after
 * the configuration has dropped its service, and whose entry is passed over:
 * open flows are still there. */
START_TEST(service_named_before_is_followed)
{
	route_share_t shares[] = { { .service = "maps", .weight = 1 } };

	rr_route_to(r, 4, shares, 1);
	rr_advance(r, 100000);
	write_own("draining");
	ck_assert_int_eq(own_state(), ENTRY_DRAINING);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("other_writers");
	TCase *tc = tcase_create("entries");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, broken_entry_resets_nothing, 0, BROKEN);
	tcase_add_loop_test(tc, broken_entry_ends_no_drain, 0, BROKEN);
	tcase_add_loop_test(tc, bytes_name_no_target, 0, NOT_JSON);
	tcase_add_test(tc, whole_entry_names_a_target);
	tcase_add_loop_test(tc, overwritten_target_stays_in_use, 0, ODD);
	tcase_add_loop_test(tc, overwritten_target_drains_on, 0, ODD);
	tcase_add_loop_test(tc, overwritten_target_that_is_silent_is_gone, 0,
			    4);
	tcase_add_test(tc, overwritten_target_outlives_an_outage);
	tcase_add_test(tc, hidden_target_keeps_its_flows);
	tcase_add_loop_test(tc, address_of_unnamed_entry_is_asked, 0,
			    NOT_NAMED);
	tcase_add_test(tc, standing_item_hides_nothing);
	tcase_add_test(tc, open_waits_for_hidden_target);
	tcase_add_loop_test(tc, agent_of_odd_entry_is_asked, 0, ODD);
	tcase_add_loop_test(tc, unnamed_entry_takes_no_place, 0, NOT_NAMED);
	tcase_add_test(tc, service_named_later_is_used);
	tcase_add_test(tc, service_named_before_is_followed);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
