/*
 * test_spread - tests of config_sync: configurations reach all processes and
 * no process returns to an older one, on a simulated network
 */

#include "runner.h"
#include "config_sync_sim.h"
#include <stdio.h>
#include <string.h>

/* Time from publishing until all processes have the version in force. */
#define IN_FORCE_MS 17000
#define IDLE_S	    30 /* time over which idle traffic is counted */

/*
 * Suspends one process in twenty and cuts another one in twenty off from peers
 * and platform, or ends both.
 */
static void isolate_tenth(sim_t *sim, bool isolated)
{
	for (unsigned i = 0; i < sim->n; i += 10) {
		node_t *n = &sim->nodes[i];

		if (i % 20)
			n->partition = isolated ? 2 : 0;
		else
			n->frozen = isolated;
	}
}

static const unsigned sizes[] = { 200, 1700 };

/*
 * A new version must be in force everywhere within IN_FORCE_MS, also when one
 * process in ten is suspended or cut off for the first 10 s. Also limits calls
 * of the platform (2000 per second) and idle traffic (3000 bytes per second and
 * process).
 */
START_TEST(in_force_everywhere_in_17_s)
{
	sim_t *sim = sim_new(sizes[_i], 11, 0);
	uint64_t bytes = 0, read = 0, published_ms, elapsed_ms;

	ck_assert_uint_eq(sim_count_without(sim, 5), 0);
	printf("%u processes: start: peak %llu platform calls per second\n",
	       sim->n, (unsigned long long)sim->peak_calls_per_second);
	ck_assert_uint_lt(sim->peak_calls_per_second, 2000);
	sim_run(sim, 15000);
	for (unsigned i = 0; i < sim->n; i++)
		sim->nodes[i].sent_bytes = sim->nodes[i].read_bytes = 0;
	sim->calls = sim->peak_calls_per_second = 0;
	sim_run(sim, IDLE_S * 1000);
	for (unsigned i = 0; i < sim->n; i++) {
		bytes += sim->nodes[i].sent_bytes;
		read += sim->nodes[i].read_bytes;
	}
	bytes /= IDLE_S * sizes[_i];
	read /= IDLE_S * sizes[_i];
	printf("%u processes: idle: per process, %llu bytes per second sent to "
	       "peers and %llu read from the platform; peak %llu platform "
	       "calls per second, %llu in %d s\n",
	       sim->n, (unsigned long long)bytes, (unsigned long long)read,
	       (unsigned long long)sim->peak_calls_per_second,
	       (unsigned long long)sim->calls, IDLE_S);
	ck_assert_uint_lt(bytes + read, 3000);
	ck_assert_uint_lt(sim->peak_calls_per_second, 2000);
	isolate_tenth(sim, true);
	sim_run(sim, 1000);
	sim_publish_version(sim, 6);
	published_ms = sim->now;
	sim_run(sim, 10000);
	isolate_tenth(sim, false);
	elapsed_ms = sim_run_until_in_force(sim, 6, IN_FORCE_MS) + 10000;
	printf("%u processes: in force after %llu ms, %llu ms after the "
	       "isolated tenth returned\n",
	       sim->n, (unsigned long long)(sim->now - published_ms),
	       (unsigned long long)(elapsed_ms - 10000));
	ck_assert_uint_lt(elapsed_ms, IN_FORCE_MS);
	sim_publish_version(sim, 7);
	elapsed_ms = sim_run_until_in_force(sim, 7, IN_FORCE_MS);
	printf("%u processes: none isolated: in force after %llu ms\n", sim->n,
	       (unsigned long long)elapsed_ms);
	ck_assert_uint_lt(elapsed_ms, IN_FORCE_MS);
	ck_assert_uint_eq(sim_count_reverts(sim), 0);
	sim_free(sim);
}
END_TEST

/*
 * Restarts a quarter of the processes while the platform serves an older
 * version (fault 0), is down (1) or serves documents that do not parse (2).
 * Returns the number of reverts to a lower version; *missing is the number of
 * processes without the newest version at the end.
 */
static unsigned restart_quarter(int fault, uint32_t seed, mechanisms_t off,
				unsigned *missing)
{
	sim_t *sim = sim_new(200, seed, off);
	unsigned n;

	sim_publish_version(sim, 6);
	sim_run_until_in_force(sim, 6, IN_FORCE_MS);
	sim_run(sim, 2000);
	sim->platform_mode = fault == 0 ? UP : fault == 1 ? DOWN : INVALID;
	/* A lower version, as from a stale platform or after a rollback. */
	sim_publish_version(sim, 4);
	for (unsigned i = 0; i < sim->n; i += 4) {
		sim_stop(&sim->nodes[i]);
		sim_start(sim, i);
	}
	sim_run(sim, IN_FORCE_MS);
	*missing = sim_count_without(sim, 6);
	n = sim_count_reverts(sim);
	sim_free(sim);
	return n;
}

/* A restarted process must get the newest version from its peers. */
START_TEST(restart_never_reverts)
{
	/* Four seeds with each fault, then four more with fault 0. */
	int fault = _i < 12 ? _i % 3 : 0;
	uint32_t seed = (uint32_t)(_i < 12 ? 12 + _i / 3 : 4 + _i);
	unsigned missing;

	ck_assert_uint_eq(restart_quarter(fault, seed, 0, &missing), 0);
	ck_assert_uint_eq(missing, 0);
}
END_TEST

/* Number of reverts with a mechanism disabled, over eight seeds. */
static unsigned reverts_without(mechanism_t m)
{
	unsigned n = 0, missing;

	for (uint32_t seed = 12; seed < 20; seed++)
		n += restart_quarter(0, seed, 1U << m, &missing);
	printf("reverts without mechanism %d: %u of 400 restarts\n", (int)m, n);
	return n;
}

/*
 * Processes revert when a start does not ask peers first, or when lower
 * versions are accepted. Shows that restart_never_reverts would notice.
 */
START_TEST(mechanisms_are_needed)
{
	ck_assert_uint_gt(reverts_without(MECHANISM_ASK_PEERS), 0);
	ck_assert_uint_gt(reverts_without(MECHANISM_NO_REVERT), 0);
}
END_TEST

/*
 * After a partition with different versions ends, the higher version reaches
 * all processes from peers, while the platform is down.
 */
START_TEST(partition_heals)
{
	sim_t *sim = sim_new(200, 13, 0);

	for (unsigned i = 0; i < 80; i++)
		sim->nodes[i].partition = 1;
	sim_publish(sim, 0, 8,
		    config_example(SERVICES, TARGETS_PER_SERVICE, 8));
	sim_publish(sim, 1, 7,
		    config_example(SERVICES, TARGETS_PER_SERVICE, 7));
	sim_run(sim, IN_FORCE_MS);
	for (unsigned i = 0; i < sim->n; i++)
		ck_assert_uint_eq(config_sync_current(sim->nodes[i].s)->version,
				  i < 80 ? 7 : 8);
	sim->platform_mode = DOWN;
	for (unsigned i = 0; i < 80; i++)
		sim->nodes[i].partition = 0;
	ck_assert_uint_lt(sim_run_until_in_force(sim, 8, IN_FORCE_MS),
			  IN_FORCE_MS);
	ck_assert_uint_eq(sim_count_reverts(sim), 0);
	sim_free(sim);
}
END_TEST

/*
 * Two documents are published with the same version in two partitions. When the
 * partitions join, all processes must choose the one with the higher digest and
 * audit the conflict.
 */
START_TEST(equal_versions_converge)
{
	sim_t *sim = sim_new(200, 14, 0);
	uint64_t digest = 0;
	unsigned conflicts = 0;

	for (unsigned i = 0; i < 100; i++)
		sim->nodes[i].partition = 1;
	sim_publish(sim, 0, 6,
		    config_example(SERVICES, TARGETS_PER_SERVICE, 6));
	sim_publish(sim, 1, 6,
		    config_example(SERVICES + 1, TARGETS_PER_SERVICE, 6));
	sim_run(sim, IN_FORCE_MS);
	for (unsigned i = 0; i < sim->n; i++)
		digest = MAX(digest,
			     config_sync_current(sim->nodes[i].s)->digest);
	for (unsigned i = 0; i < 100; i++)
		sim->nodes[i].partition = 0;
	sim_run(sim, IN_FORCE_MS);
	for (unsigned i = 0; i < sim->n; i++) {
		ck_assert_uint_eq(config_sync_current(sim->nodes[i].s)->digest,
				  digest);
		conflicts += sim->nodes[i].conflicts;
	}
	ck_assert_uint_ge(conflicts, 100);
	sim_free(sim);
}
END_TEST

/* When all readers are suspended, other processes must read the platform. */
START_TEST(frozen_readers_are_replaced)
{
	sim_t *sim = sim_new(200, 15, 0);
	unsigned readers = 0;

	/* Processes that read in place of readers at the start have stopped. */
	sim_run(sim, 60000);
	for (unsigned i = 0; i < sim->n; i++) {
		sim->nodes[i].frozen =
			config_sync_is_reader(sim->nodes[i].s, sim->now);
		readers += sim->nodes[i].frozen;
	}
	printf("%u of %u processes watch the platform\n", readers, sim->n);
	ck_assert_uint_ge(readers, 1);
	ck_assert_uint_le(readers, ZONES * CONFIG_SYNC_READERS);
	sim_publish_version(sim, 6);
	ck_assert_uint_lt(sim_run_until_in_force(sim, 6, IN_FORCE_MS),
			  IN_FORCE_MS);
	sim_free(sim);
}
END_TEST

/* The number of platform calls must grow little with that of processes. */
START_TEST(platform_calls_grow_slowly)
{
	static const unsigned counts[] = { 10, 50, 100, 200 };
	uint64_t calls[G_N_ELEMENTS(counts)];

	for (size_t c = 0; c < G_N_ELEMENTS(counts); c++) {
		sim_t *sim = sim_new(counts[c], 16, 0);

		sim_run(sim, 60000);
		sim->calls = sim->peak_calls_per_second = 0;
		for (uint64_t v = 6; v < 12; v++) {
			sim_publish_version(sim, v);
			sim_run(sim, 20000);
		}
		calls[c] = sim->calls;
		printf("%u processes, 6 changes in 120 s: %llu platform calls, "
		       "peak %llu per second\n",
		       counts[c], (unsigned long long)calls[c],
		       (unsigned long long)sim->peak_calls_per_second);
		ck_assert_uint_eq(sim_count_without(sim, 11), 0);
		sim_free(sim);
	}
	/* At most two calls per minute for each of the 190 processes added. */
	ck_assert_uint_le(calls[3], calls[0] + 190 * 2 * 2);
}
END_TEST

/*
 * A peer whose reply does not parse is refused once and not asked again until
 * its ban of 60 s ends; other peers are still asked.
 */
START_TEST(peer_with_bad_reply_is_banned)
{
	static sim_t sim;
	node_t *n = &sim.nodes[0];
	endpoint_t bad_peer = { 0x0a090005, 7200 },
		   good_peer = { 0x0a090006, 7200 };
	config_sync_options_t options = { .zone = "z",
					  .role = ROLE_AGENT,
					  .self = { 1, 1 } };
	hello_msg_t hello = CT__HELLO__INIT;
	config_reply_msg_t bad_reply = CT__CONFIG_REPLY__INIT, *good_reply;
	service_part_msg_t part = CT__SERVICE_PART__INIT, *parts = &part;
	char *text = config_example(2, 2, 6);
	config_t *config;
	err_t err;

	sim_init(&sim, 10, 1);
	n->sim = &sim;
	n->s = config_sync_new(&options, &sim_ops, n, 1000);
	part.text = "[[service]]\nname = 3\n";
	bad_reply.version = 9;
	bad_reply.n_parts = 1;
	bad_reply.parts = &parts;
	hello.version = 9;
	hello.digest = 4;
	config_sync_receive_hello(n->s, 1000, &bad_peer, &hello);
	config_sync_pull_done(n->s, 1010, &bad_peer, &bad_reply);
	ck_assert_uint_eq(n->refusals, 1);
	ck_assert_ptr_null(config_sync_current(n->s));
	/* The peer is banned: no pull was sent, so the reply is ignored. */
	config_sync_receive_hello(n->s, 2000, &bad_peer, &hello);
	config_sync_pull_done(n->s, 2010, &bad_peer, &bad_reply);
	ck_assert_uint_eq(n->refusals, 1);
	ck_assert_int_eq(config_parse("f", text, strlen(text), &config, &err),
			 0);
	good_reply = config_reply_new(config, NULL);
	hello.version = 6;
	hello.digest = config->digest;
	config_sync_receive_hello(n->s, 2020, &good_peer, &hello);
	config_sync_pull_done(n->s, 2030, &good_peer, good_reply);
	ck_assert_uint_eq(config_sync_current(n->s)->digest, config->digest);
	/* After the ban, the peer is asked again. */
	config_sync_receive_hello(n->s, 70000, &bad_peer, &hello);
	hello.version = 9;
	config_sync_receive_hello(n->s, 70000, &bad_peer, &hello);
	config_sync_pull_done(n->s, 70010, &bad_peer, &bad_reply);
	ck_assert_uint_eq(n->refusals, 2);
	config_reply_free(good_reply);
	config_unref(config);
	g_free(text);
	sim_clear(&sim);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("spread");
	TCase *tc = tcase_create("fleet");

	tcase_set_timeout(tc, 300);
	tcase_add_loop_test(tc, in_force_everywhere_in_17_s, 0,
			    G_N_ELEMENTS(sizes));
	tcase_add_loop_test(tc, restart_never_reverts, 0, 16);
	tcase_add_test(tc, mechanisms_are_needed);
	tcase_add_test(tc, partition_heals);
	tcase_add_test(tc, equal_versions_converge);
	tcase_add_test(tc, frozen_readers_are_replaced);
	tcase_add_test(tc, platform_calls_grow_slowly);
	tcase_add_test(tc, peer_with_bad_reply_is_banned);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
