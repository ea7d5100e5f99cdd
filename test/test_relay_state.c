/*
 * test_relay_state - routes and targets sent from balancer to balancer
 */

#include "relay_rig.h"
#include "relay_state.h"
#include "runner.h"
#include <stdio.h>

#define AGENT_A 0x0a010009u
#define AGENT_B 0x0a02000au

static GString *pack_state(relay_rig_t *r, uint64_t revision)
{
	GString *out = g_string_new(NULL);

	relay_state_pack(r->balancer, r->now,
			 (store_revision_t){ .number = revision }, out);
	return out;
}

static uint64_t apply_state(const GString *state, relay_rig_t *to)
{
	return relay_state_apply(to->balancer, to->now, state->str, state->len)
		.number;
}

static bool is_offered_to(relay_rig_t *r, unsigned flow, uint32_t agent)
{
	rr_clear(r);
	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	return rr_last(r, RIG_MESSAGE, agent, RELAY_OFFER) >= 0;
}

/* A balancer without routes and targets serves with the state of a peer. */
START_TEST(state_of_peer_is_applied)
{
	relay_rig_t *source = rr_balancer(), *fresh = rr_balancer();
	GString *state;

	rr_routes(source, 7);
	rr_entry(source, "a", AGENT_A, 20, ENTRY_READY);
	rr_entry(source, "b", AGENT_B, 21, ENTRY_DRAINING);
	state = pack_state(source, 30);
	ck_assert_uint_eq(apply_state(state, fresh), 30);
	ck_assert_uint_eq(relay_balancer_route_version(fresh->balancer), 7);
	ck_assert(is_offered_to(fresh, 1, AGENT_A));
	ck_assert(!is_offered_to(fresh, 2, AGENT_B));
	g_string_free(state, TRUE);
	rr_free(source);
	rr_free(fresh);
}
END_TEST

/* Guards against a state that no peer reads, since the lists of very many
 * agents that have stopped make it too large: those beyond a bound are left
 * out. */
START_TEST(lists_of_flows_are_bounded)
{
	relay_rig_t *source = rr_balancer();
	uint32_t hashes[256] = { 0 };
	GString *without, *with;
	char id[16];

	rr_routes(source, 7);
	for (unsigned i = 0; i < 300; i++) {
		snprintf(id, sizeof(id), "t%u", i);
		rr_entry(source, id, AGENT_A + i, 20 + i, ENTRY_READY);
	}
	without = pack_state(source, 900);
	for (unsigned i = 0; i < 300; i++)
		relay_balancer_set_listed(source->balancer, AGENT_A + i, hashes,
					  G_N_ELEMENTS(hashes), 1);
	with = pack_state(source, 900);
	ck_assert_uint_gt(with->len, without->len + 100000);
	ck_assert_uint_lt(with->len, without->len + 150000);
	g_string_free(without, TRUE);
	g_string_free(with, TRUE);
	rr_free(source);
}
END_TEST

/* The state of a peer that is behind replaces no newer routes or entries. */
START_TEST(older_state_changes_nothing)
{
	relay_rig_t *old = rr_balancer(), *newer = rr_balancer();
	GString *state;

	rr_routes(old, 7);
	rr_entry(old, "a", AGENT_A, 20, ENTRY_READY);
	state = pack_state(old, 25);
	rr_routes(newer, 9);
	rr_entry(newer, "a", AGENT_A, 40, ENTRY_DRAINING);
	rr_entry(newer, "b", AGENT_B, 41, ENTRY_READY);
	apply_state(state, newer);
	ck_assert_uint_eq(relay_balancer_route_version(newer->balancer), 9);
	ck_assert(!is_offered_to(newer, 1, AGENT_A));
	ck_assert(is_offered_to(newer, 2, AGENT_B));
	g_string_free(state, TRUE);
	rr_free(old);
	rr_free(newer);
}
END_TEST

/* Guards against a reset of a flow whose target runs while its entry is gone: a
 * balancer that has just started asks its agent, which a peer remembers. */
START_TEST(agent_of_a_gone_target_is_asked)
{
	relay_rig_t *old = rr_balancer(), *fresh = rr_balancer();
	GString *state;

	rr_routes(old, 7);
	rr_entry(old, "a", AGENT_A, 20, ENTRY_READY);
	rr_entry(old, "b", AGENT_B, 21, ENTRY_READY);
	rr_entry_gone(old, "a", 22);
	state = pack_state(old, 25);
	fresh->now += 100000; /* its first tick comes after the state */
	apply_state(state, fresh);
	rr_load(fresh, AGENT_B, 0, 0, 10, 0);
	if (_i)
		rr_load(fresh, AGENT_A, 0, 0, 10, 0);
	rr_clear(fresh);
	rr_from_caller(fresh, 1, RELAY_ACK, 6, 900, 100);
	rr_flow_message(fresh, AGENT_B, RELAY_NOT_HELD, 1, "feeds");
	rr_advance(fresh, 300);
	rr_flow_message(fresh, AGENT_B, RELAY_NOT_HELD, 1, "feeds");
	ck_assert_uint_ge(rr_count(fresh, RIG_MESSAGE, AGENT_A, RELAY_QUERY),
			  1);
	ck_assert_uint_eq(rr_count(fresh, RIG_CALLER, 0, 0), 0);
	ck_assert(!is_offered_to(fresh, 2, AGENT_A));
	/* Its host has been removed. */
	rr_advance(fresh, 1000);
	ck_assert_uint_eq(rr_count(fresh, RIG_CALLER, 0, 0), 1);
	g_string_free(state, TRUE);
	rr_free(old);
	rr_free(fresh);
}
END_TEST

/* Bytes of a long name. */
#define LONG_NAME 192

/* Guards against names that a peer's state cuts short, and against a balancer
 * that takes a route for dropped which its peer could not read. */
START_TEST(state_keeps_long_names_and_unread_routes)
{
	relay_rig_t *old = rr_balancer(), *fresh = rr_balancer();
	g_autofree char *name = g_strnfill(LONG_NAME, 'n');
	route_share_t share = { name, 1 };
	route_t route = { .name = name,
			  .address = RIG_SERVICE_ADDRESS,
			  .port = RIG_SERVICE_PORT,
			  .shares = &share,
			  .nshares = 1 };
	route_table_t *t = route_table_new(7, 15000);
	GString *state;
	const route_t *r;

	ck_assert_int_eq(route_table_add(t, &route, NULL), 0);
	route_table_skip(t, 2);
	relay_balancer_set_routes(old->balancer, t);
	rr_entry_of(old, name, name, AGENT_A, 20, ENTRY_READY);
	state = pack_state(old, 25);
	apply_state(state, fresh);
	t = (route_table_t *)relay_balancer_route_table(fresh->balancer);
	ck_assert_uint_eq(route_table_skipped(t), 2);
	r = route_find(t, RIG_SERVICE_ADDRESS, RIG_SERVICE_PORT);
	ck_assert_str_eq(r->name, name);
	ck_assert_str_eq(r->shares[0].service, name);
	ck_assert_ptr_nonnull(directory_find(
		relay_balancer_directory(fresh->balancer), name));
	g_string_free(state, TRUE);
	rr_free(old);
	rr_free(fresh);
}
END_TEST

/* Guards against a live target that counts as gone, and an evacuation that is
 * forgotten: the state of a peer that is behind comes between two pages of the
 * store's listing, after the page that has them. */
START_TEST(state_between_two_pages)
{
	relay_rig_t *old = rr_balancer(), *fresh = rr_balancer();
	directory_t *d = relay_balancer_directory(fresh->balancer);
	evacuations_t *s = relay_balancer_evacuations(fresh->balancer);
	store_revision_t listed = { .number = 50 };
	GString *state;

	rr_routes(old, 7);
	rr_entry(old, "b", AGENT_B, 20, ENTRY_READY);
	state = pack_state(old, 25);
	rr_routes(fresh, 7);
	directory_resync_begin(d, LISTING_STORE);
	evacuations_resync_begin(s, LISTING_STORE);
	evacuations_put(s, fresh->now, "z", (store_revision_t){ .number = 42 });
	rr_entry(fresh, "a", AGENT_A, 40, ENTRY_READY);
	apply_state(state, fresh);
	directory_resync_end(d, LISTING_STORE, fresh->now, listed);
	evacuations_resync_end(s, LISTING_STORE, fresh->now, listed);
	ck_assert_int_eq(directory_find(d, "a")->state, ENTRY_READY);
	/* The store does not list the target that only the peer knows. */
	ck_assert_int_eq(directory_find(d, "b")->state, ENTRY_GONE);
	ck_assert(evacuations_active(s, "z"));
	g_string_free(state, TRUE);
	rr_free(old);
	rr_free(fresh);
}
END_TEST

static GString *pack_state_of(relay_rig_t *r, store_revision_t revision)
{
	GString *out = g_string_new(NULL);

	relay_state_pack(r->balancer, r->now, revision, out);
	return out;
}

static void put_in_era(relay_rig_t *r, const char *id, uint32_t host,
		       store_revision_t revision, uint64_t write_number,
		       entry_state_t state)
{
	target_entry_t e = { .service = "feeds",
			     .zone = "here",
			     .address = { host, 8080 },
			     .slots = 2,
			     .write_number = write_number,
			     .state = state,
			     .revision = revision };

	g_strlcpy(e.id, id, sizeof(e.id));
	directory_put(relay_balancer_directory(r->balancer), r->now, &e);
}

/* The store was restored, and one of two balancers has read it since. The state
 * of the later era is applied by the other, although its revisions are lower;
 * that of the earlier era changes nothing. */
START_TEST(peers_in_different_eras)
{
	relay_rig_t *earlier = rr_balancer(), *later = rr_balancer();
	GString *old_state, *new_state;

	rr_routes(earlier, 7);
	put_in_era(earlier, "a", AGENT_A, (store_revision_t){ 1, 80 }, 3,
		   ENTRY_READY);
	put_in_era(earlier, "b", AGENT_B, (store_revision_t){ 1, 81 }, 3,
		   ENTRY_READY);
	rr_routes(later, 6);
	put_in_era(later, "a", AGENT_A, (store_revision_t){ 2, 20 }, 9,
		   ENTRY_DRAINING);
	put_in_era(later, "b", AGENT_B, (store_revision_t){ 2, 21 }, 3,
		   ENTRY_READY);
	old_state = pack_state_of(earlier, (store_revision_t){ 1, 90 });
	new_state = pack_state_of(later, (store_revision_t){ 2, 22 });
	relay_state_apply(later->balancer, later->now, old_state->str,
			  old_state->len);
	relay_state_apply(earlier->balancer, earlier->now, new_state->str,
			  new_state->len);
	for (unsigned flow = 1; flow < 5; flow++) {
		ck_assert(is_offered_to(earlier, flow, AGENT_B));
		ck_assert(is_offered_to(later, flow, AGENT_B));
	}
	/* Routes are ordered by their own versions. */
	ck_assert_uint_eq(relay_balancer_route_version(earlier->balancer), 7);
	ck_assert_uint_eq(relay_balancer_route_version(later->balancer), 7);
	g_string_free(old_state, TRUE);
	g_string_free(new_state, TRUE);
	rr_free(earlier);
	rr_free(later);
}
END_TEST

/* A balancer that starts gets the targets that have left, too: a copy of the
 * store that lists them as ready doesn't bring them back. An entry that the
 * store has dropped keeps its grace period. */
START_TEST(state_has_missing_and_gone_targets)
{
	relay_rig_t *source = rr_balancer(), *fresh = rr_balancer();
	directory_t *d;
	GString *state;

	rr_routes(source, 7);
	rr_entry(source, "a", AGENT_A, 20, ENTRY_READY);
	rr_entry(source, "b", AGENT_B, 21, ENTRY_READY);
	rr_entry_gone(source, "a", 22);
	directory_store_unreachable(relay_balancer_directory(source->balancer),
				    source->now);
	rr_entry_gone(source, "b", 23);
	state = pack_state(source, 30);
	apply_state(state, fresh);
	d = relay_balancer_directory(fresh->balancer);
	ck_assert_int_eq(directory_find(d, "a")->state, ENTRY_GONE);
	ck_assert(is_offered_to(fresh, 1, AGENT_B));
	put_in_era(fresh, "a", AGENT_A, (store_revision_t){ 1, 20 }, 20,
		   ENTRY_READY);
	ck_assert(!is_offered_to(fresh, 2, AGENT_A));
	directory_tick(d, fresh->now + DIRECTORY_GRACE_MS);
	ck_assert_int_eq(directory_find(d, "b")->state, ENTRY_GONE);
	g_string_free(state, TRUE);
	rr_free(source);
	rr_free(fresh);
}
END_TEST

/* Guards against a balancer that starts and uses a target for ever whose entry
 * another writer has replaced, or resets flows of one that was not read. */
START_TEST(state_has_overwritten_targets)
{
	relay_rig_t *source = rr_balancer(), *fresh = rr_balancer();
	directory_t *d = relay_balancer_directory(source->balancer);
	GString *state;

	rr_routes(source, 7);
	rr_entry(source, "a", AGENT_A, 20, ENTRY_READY);
	directory_overwrite(d, source->now, "a",
			    (store_revision_t){ .number = 21 });
	directory_overwrite(d, source->now, "x",
			    (store_revision_t){ .number = 22 });
	rr_advance(source, 1000);
	state = pack_state(source, 30);
	apply_state(state, fresh);
	d = relay_balancer_directory(fresh->balancer);
	ck_assert(is_offered_to(fresh, 1, AGENT_A));
	ck_assert_uint_eq(directory_hiding_ms(d, fresh->now), 2000);
	directory_tick(d, fresh->now + 1900);
	ck_assert_int_eq(directory_find(d, "a")->state, ENTRY_READY);
	directory_tick(d, fresh->now + 2100);
	ck_assert_int_eq(directory_find(d, "a")->state, ENTRY_GONE);
	g_string_free(state, TRUE);
	rr_free(source);
	rr_free(fresh);
}
END_TEST

/*
 * A balancer that asks several others applies an older state after a newer one:
 * an entry that was missing then and has been written again stays.
 */
START_TEST(entry_missing_in_an_older_state_stays)
{
	relay_rig_t *behind = rr_balancer(), *ahead = rr_balancer();
	relay_rig_t *fresh = rr_balancer();
	directory_t *d = relay_balancer_directory(behind->balancer);
	GString *older, *newer;

	rr_routes(behind, 7);
	rr_entry(behind, "a", AGENT_A, 20, ENTRY_READY);
	directory_store_unreachable(d, behind->now);
	rr_entry_gone(behind, "a", 23);
	older = pack_state(behind, 25);
	rr_routes(ahead, 7);
	rr_entry(ahead, "a", AGENT_A, 27, ENTRY_READY);
	newer = pack_state(ahead, 30);

	apply_state(newer, fresh);
	apply_state(older, fresh);
	d = relay_balancer_directory(fresh->balancer);
	directory_tick(d, fresh->now + DIRECTORY_GRACE_MS);
	ck_assert_int_eq(directory_find(d, "a")->state, ENTRY_READY);
	g_string_free(older, TRUE);
	g_string_free(newer, TRUE);
	rr_free(behind);
	rr_free(ahead);
	rr_free(fresh);
}
END_TEST

/* The state of a peer without routes has no effect; random bytes are refused.
 */
START_TEST(empty_or_invalid_state_is_refused)
{
	relay_rig_t *empty = rr_balancer(), *fresh = rr_balancer();
	GString *state = pack_state(empty, 0);
	uint32_t lcg = 1;
	char bytes[200];

	ck_assert_uint_eq(apply_state(state, fresh), 0);
	for (unsigned i = 0; i < 2000; i++) {
		for (unsigned j = 0; j < sizeof(bytes); j++) {
			lcg = lcg * 1664525 + 1013904223;
			bytes[j] = (char)(lcg >> 24);
		}
		relay_state_apply(fresh->balancer, fresh->now, bytes,
				  lcg % sizeof(bytes));
	}
	ck_assert_uint_eq(relay_balancer_route_version(fresh->balancer), 0);
	g_string_free(state, TRUE);
	rr_free(empty);
	rr_free(fresh);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_state");
	TCase *tc = tcase_create("peers");

	tcase_add_test(tc, state_of_peer_is_applied);
	tcase_add_test(tc, lists_of_flows_are_bounded);
	tcase_add_test(tc, older_state_changes_nothing);
	tcase_add_test(tc, peers_in_different_eras);
	tcase_add_test(tc, state_keeps_long_names_and_unread_routes);
	tcase_add_test(tc, state_between_two_pages);
	tcase_add_loop_test(tc, agent_of_a_gone_target_is_asked, 0, 2);
	tcase_add_test(tc, state_has_missing_and_gone_targets);
	tcase_add_test(tc, state_has_overwritten_targets);
	tcase_add_test(tc, entry_missing_in_an_older_state_stays);
	tcase_add_test(tc, empty_or_invalid_state_is_refused);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
