/*
 * test_fleet - platform adapter: packet format, items, settings, invalid input
 */

#include "fleet_items.h"
#include "fleet_packet.h"
#include "relay_msg.h"
#include "relay_rig.h"
#include "relay_settings.h"
#include "runner.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

static const uint8_t syn[] = {
	0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1,
	0xb2, 0xc3, 0xd5, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0xc6, 0x12,
	0x00, 0x01, 0x01, 0xbb, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00,
};
static const uint8_t reset[] = {
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x64, 0x40,
	0x00, 0x07, 0x9c, 0x41, 0x04, 0x00, 0x00, 0x00, 0x00, 0x00,
};

static uint32_t random_state = 1;

static uint8_t random_byte(void)
{
	random_state = random_state * 1664525 + 1013904223;
	return (uint8_t)(random_state >> 24);
}

/* Documented example packet: parse it, annotate it, build a reset for it. */
START_TEST(example_packet)
{
	uint8_t buf[RELAY_PACKET_MAX], out[RELAY_PACKET_MAX];
	relay_packet_t p;

	memcpy(buf, syn, sizeof(syn));
	ck_assert_int_eq(fleet_packet_format.read(buf, sizeof(syn), &p), 0);
	ck_assert(relay_packet_opens(&p));
	ck_assert_uint_eq(p.seq, 0x11223344);
	ck_assert_uint_eq(p.key.src, 0x64400007);
	ck_assert_uint_eq(p.key.sport, 40001);
	ck_assert_uint_eq(p.key.dst, 0xc6120001);
	ck_assert_uint_eq(p.key.dport, 443);
	fleet_packet_format.annotate(&p, 7, 0x01020304);
	ck_assert_mem_eq(buf, syn, 27);
	ck_assert_int_eq(fleet_packet_format.read(buf, sizeof(syn), &p), 0);
	ck_assert_uint_eq(p.mark, 7);
	ck_assert_uint_eq(p.annotation, 0x01020304);
	ck_assert_uint_eq(fleet_packet_format.build_reset(&p.key, 0, out),
			  sizeof(reset));
	ck_assert_mem_eq(out, reset, sizeof(reset));
}
END_TEST

/* Inconsistent lengths are rejected; the flag of returned packets is read. */
START_TEST(packet_length_and_returned_flag)
{
	uint8_t buf[RELAY_PACKET_MAX] = { 0 };
	relay_packet_t p;

	memcpy(buf, syn, sizeof(syn));
	ck_assert_int_lt(fleet_packet_format.read(buf, 31, &p), 0);
	ck_assert_int_lt(fleet_packet_format.read(buf, 33, &p), 0);
	buf[1] = 1;
	ck_assert_int_eq(fleet_packet_format.read(buf, 33, &p), 0);
	buf[0] = 0x04;
	buf[1] = 0xb1;
	ck_assert_int_lt(fleet_packet_format.read(buf, 32 + 0x4b1, &p), 0);
	buf[0] = buf[1] = 0;
	buf[26] |= 1;
	ck_assert_int_eq(fleet_packet_format.read(buf, 32, &p), 0);
	ck_assert_uint_eq(p.flags, RELAY_SYN | RELAY_RETURNED);
	fleet_packet_format.annotate(&p, 0, 0);
	ck_assert_mem_eq(buf, syn, sizeof(syn));
}
END_TEST

/* Random packets and messages crash neither daemon. */
START_TEST(random_packets)
{
	relay_rig_t *balancer = rr_balancer(), *agent = rr_agent(false);
	uint8_t buf[RELAY_PACKET_MAX];

	rr_routes(balancer, 1);
	rr_entry(balancer, "a", 0x0a010009u, 2, ENTRY_READY);
	for (unsigned i = 0; i < 20000; i++) {
		size_t len = random_byte() % 80;
		relay_msg_t *msg;

		for (size_t j = 0; j < len; j++)
			buf[j] = random_byte();
		if (len >= 32) {
			buf[0] = 0;
			buf[1] = (uint8_t)(len - 32);
			if (i % 2)
				memcpy(buf + 20, syn + 20, 6);
		}
		relay_balancer_handle_packet(balancer->balancer, balancer->now,
					     buf, len);
		relay_agent_handle_packet(agent->agent, agent->now, 1, buf,
					  len);
		relay_agent_handle_server_packet(agent->agent, agent->now, buf,
						 len);
		msg = relay_msg_unpack(buf, len);
		if (msg) {
			relay_balancer_handle_message(balancer->balancer,
						      balancer->now,
						      0x0a010009u, msg);
			relay_agent_handle_message(agent->agent, agent->now, 1,
						   msg);
			relay_msg_free(msg);
		}
		rr_clear(balancer);
		rr_clear(agent);
		if (i % 50 == 0) {
			rr_advance(balancer, 50);
			rr_advance(agent, 50);
		}
	}
	rr_free(balancer);
	rr_free(agent);
}
END_TEST

/* Passes the message or packet in buf to both daemons. */
static void deliver_anything(relay_rig_t *balancer, relay_rig_t *agent,
			     uint8_t *buf, size_t len)
{
	relay_msg_t *msg = relay_msg_unpack(buf, len);

	if (msg) {
		relay_balancer_handle_message(balancer->balancer, balancer->now,
					      0x0a010009u, msg);
		relay_agent_handle_message(agent->agent, agent->now, 1, msg);
		relay_msg_free(msg);
	}
	relay_balancer_handle_packet(balancer->balancer, balancer->now, buf,
				     len);
	relay_agent_handle_packet(agent->agent, agent->now, 1, buf, len);
	relay_agent_handle_server_packet(agent->agent, agent->now, buf, len);
}

/* Messages and packets that the daemons sent themselves, with some bytes
 * changed, cut off or repeated, crash neither of them. */
START_TEST(mutated_traffic)
{
	relay_rig_t *balancer = rr_balancer(), *agent = rr_agent(false);
	static rig_sent_t samples[64];
	uint8_t buf[RELAY_MSG_MAX];
	size_t n = 0;

	rr_routes(balancer, 1);
	rr_entry(balancer, "a", 0x0a010009u, 2, ENTRY_READY);
	rr_entry(balancer, "b", 0x0a01000au, 3, ENTRY_READY);
	rr_hello(agent, RIG_BALANCER_ADDRESS, 2);
	for (unsigned i = 0; i < 8; i++) {
		rr_from_caller(balancer, i, RELAY_SYN, 5, 0, 0);
		rr_from_caller(balancer, 100 + i, RELAY_ACK, 6, 9, 30);
		rr_offer_queue(agent, RIG_BALANCER_ADDRESS, i, 5, 1300);
		rr_from_server(agent, i, RELAY_SYN | RELAY_ACK, 7000, 6, 0);
		rr_lookup(agent, RIG_BALANCER_ADDRESS, 200 + i, 7, NULL, 0);
	}
	for (size_t i = 0; i < balancer->nsent && n < 32; i++)
		samples[n++] = balancer->sent[i];
	for (size_t i = 0; i < agent->nsent && n < 64; i++)
		samples[n++] = agent->sent[i];
	ck_assert_uint_ge(n, 40);
	for (unsigned i = 0; i < 40000; i++) {
		const rig_sent_t *s = &samples[i % n];
		size_t len = s->len;

		memcpy(buf, s->buf, len);
		for (unsigned j = 0; j < i % 4 && len; j++)
			buf[(random_byte() * 256u + random_byte()) % len] =
				random_byte();
		if (i % 7 == 0)
			len = len * random_byte() / 256;
		deliver_anything(balancer, agent, buf, len);
		rr_clear(balancer);
		rr_clear(agent);
		if (i % 50 == 0) {
			rr_advance(balancer, 50);
			rr_advance(agent, 50);
		}
	}
	rr_free(balancer);
	rr_free(agent);
}
END_TEST

/* Items with randomly changed bytes are parsed or rejected without a crash. */
START_TEST(corrupted_items)
{
	static const char routes[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		"\"198.18.0.1\",\"prefix\":\"/8443/\",\"route_type\":\"safe\","
		"\"timeout_ms\":1500,\"slo_latency_ms\":100,\"priority\":2,"
		"\"weighted_backends\":[{\"service\":\"a\",\"weight\":90},"
		"{\"service\":\"b\",\"weight\":10}]}],\"limits\":"
		"{\"idle_timeout_ms\":15000}}";
	static const char target[] =
		"{\"service\":\"a\",\"address\":\"10.1.0.9:8080\",\"zone\":"
		"\"z\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"seq\":4,\"born\":1700000000000}";
	char text[512];

	for (unsigned i = 0; i < 20000; i++) {
		const char *sample = i % 2 ? routes : target;
		size_t len = strlen(sample);
		target_entry_t entry;
		route_table_t *table;
		err_t err;

		memcpy(text, sample, len + 1);
		for (unsigned j = 0; j < 1 + i % 4; j++)
			text[(random_byte() * 256 + random_byte()) % len] =
				(char)random_byte();
		table = fleet_read_routes(text, len, &err);
		route_table_unref(table);
		fleet_read_target("id", text, len,
				  (store_revision_t){ .number = 1 }, &entry,
				  &err);
	}
}
END_TEST

/* Checks that only the route "s" of a document is left out, for a reason. */
static void check_route_left_out(const char *text, const char *reason)
{
	err_t err = { 0 };
	route_table_t *t = fleet_read_routes(text, strlen(text), &err);

	ck_assert_ptr_nonnull(t);
	ck_assert_uint_eq(route_table_count(t), 1);
	ck_assert_str_eq(route_find(t, 0xc6120001, 443)->name, "r");
	ck_assert_uint_eq(route_table_skipped(t), 1);
	ck_assert_ptr_nonnull(strstr(err.what, reason));
	route_table_unref(t);
}

/* A valid document is parsed; a route that can't be read costs no other one,
 * and the error names it. */
START_TEST(parse_routes)
{
	static const char format[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		"\"198.18.0.1\",\"prefix\":\"/443/\",\"route_type\":\"unsafe\","
		"\"slo_latency_ms\":120,\"priority\":1,\"service\":\"a\"},"
		"{\"name\":\"s\",\"host\":\"198.18.0.1\",\"prefix\":\"/%s/\","
		"\"route_type\":\"safe\",\"service\":\"b\"}],\"new\":1}";
	g_autofree char *good = g_strdup_printf(format, "80");
	g_autofree char *duplicate = g_strdup_printf(format, "443");
	g_autofree char *bad_prefix = g_strdup_printf(format, "x");
	route_table_t *t;
	const route_t *r;
	err_t err;

	t = fleet_read_routes(good, strlen(good), &err);
	ck_assert_ptr_nonnull(t);
	ck_assert_uint_eq(route_table_version(t), 7);
	ck_assert_uint_eq(route_table_count(t), 2);
	r = route_find(t, 0xc6120001, 443);
	ck_assert_ptr_nonnull(r);
	ck_assert(!r->idempotent);
	ck_assert_uint_eq(r->objective_ms, 120);
	ck_assert_str_eq(route_select_service(r, 5), "a");
	ck_assert_ptr_null(route_find(t, 0xc6120001, 81));
	route_table_unref(t);
	check_route_left_out(duplicate, "\"s\" repeats");
	check_route_left_out(bad_prefix, "\"prefix\" of route \"s\"");
}
END_TEST

/* Bytes of a long name; a key of the store has 200. */
#define LONG_NAME 192

/* Guards against a long name that makes a balancer refuse the configuration and
 * each later one, or never use a target. */
START_TEST(long_names_are_served)
{
	g_autofree char *name = g_strnfill(LONG_NAME, 'n');
	g_autofree char *routes = g_strdup_printf(
		"{\"version\":7,\"routes\":[{\"name\":\"%s\",\"host\":"
		"\"198.18.0.1\",\"prefix\":\"/443/\",\"route_type\":\"safe\","
		"\"service\":\"%s\"}],\"services\":[{\"name\":\"%s\","
		"\"max_conns\":9}]}",
		name, name, name);
	g_autofree char *target = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"10.1.0.9:8080\",\"zone\":"
		"\"%s\",\"version\":\"%s\",\"slots\":2,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"seq\":4,\"born\":1}",
		name, name, name);
	target_entry_t entry;
	route_table_t *t;
	const route_t *r;
	err_t err;

	t = fleet_read_routes(routes, strlen(routes), &err);
	ck_assert_ptr_nonnull(t);
	r = route_find(t, 0xc6120001, 443);
	ck_assert_ptr_nonnull(r);
	ck_assert_str_eq(r->name, name);
	ck_assert_str_eq(route_select_service(r, 5), name);
	ck_assert_uint_eq(route_table_service(t, name)->max_flows, 9);
	route_table_unref(t);
	ck_assert_int_eq(fleet_read_target(name, target, strlen(target),
					   (store_revision_t){ .number = 1 },
					   &entry, &err),
			 0);
	ck_assert_str_eq(entry.id, name);
	ck_assert_str_eq(entry.service, name);
	ck_assert_str_eq(entry.zone, name);
}
END_TEST

typedef int (*settings_reader_t)(const char *file, relay_role_t role,
				 relay_settings_t *s, err_t *err);

static int read_settings(settings_reader_t read, const char *text,
			 relay_role_t role, relay_settings_t *s, err_t *err)
{
	g_autofree char *file = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &file, NULL), ret;

	ck_assert_int_ge(fd, 0);
	g_close(fd, NULL);
	g_file_set_contents(file, text, -1, NULL);
	ret = read(file, role, s, err);
	remove(file);
	return ret;
}

static int load_settings(const char *text, relay_role_t role,
			 relay_settings_t *s, err_t *err)
{
	return read_settings(relay_settings_load, text, role, s, err);
}

#define COMMON                                                                 \
	"name = \"n\"\nzone = \"z\"\naddress = \"10.1.0.1\"\n"                 \
	"packets = \"10.1.0.1:1\"\nready = \"10.1.0.1:2\"\n"                   \
	"internal_port = 3\n"

/* Invalid settings are rejected with the kind and the line of the error. */
START_TEST(validate_settings)
{
	relay_settings_t s;
	err_t err;

	ck_assert_int_eq(load_settings(COMMON
				       "platform = \"10.0.0.1:9\"\npeers = "
				       "[\"10.1.0.2:4\"]\ncontrol = "
				       "\"10.1.0.1:4\"\n",
				       RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_uint_eq(s.npeers, 1);
	ck_assert_uint_eq(s.silence_ms, 4000);
	ck_assert_uint_eq(s.apply_ms, 3000);
	ck_assert_int_lt(load_settings(COMMON, RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_int_eq(err.kind, ERR_MISSING);
	ck_assert_int_lt(load_settings(COMMON, RELAY_ROLE_AGENT, &s, &err), 0);
	ck_assert_int_eq(load_settings(COMMON "service = \"a\"\nserver = "
					      "\"10.1.0.1:5\"\nserver_out = "
					      "\"10.1.0.1:6\"\n",
				       RELAY_ROLE_AGENT, &s, &err),
			 0);
	ck_assert_int_lt(load_settings(COMMON
				       "platform = \"10.0.0.1:9\"\npeers = "
				       "[\"here\"]\n",
				       RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_int_eq(err.kind, ERR_RANGE);
}
END_TEST

#define NEWER COMMON "platform = \"10.0.0.1:9\"\nspeed = 1\n"

/* A file for a newer build does not stop a process, which names the keys that
 * it passes over; `check` refuses it with the key and its line. */
START_TEST(unknown_keys_are_passed_over)
{
	g_autoptr(GString) many = g_string_new(NEWER);
	relay_settings_t s;
	err_t err;

	ck_assert_int_eq(load_settings(NEWER, RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_str_eq(s.unknown_keys, "speed");
	ck_assert_int_lt(read_settings(relay_settings_check, NEWER,
				       RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_int_eq(err.kind, ERR_UNKNOWN_KEY);
	ck_assert_int_eq(err.line, 8);
	ck_assert_ptr_nonnull(strstr(err.what, "\"speed\""));

	ck_assert_int_eq(load_settings(NEWER "\"a\\\"b\" = 1\n[zones]\nx = 1\n",
				       RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_str_eq(s.unknown_keys, "a?b speed zones");
	for (int i = 0; i < 40; i++)
		g_string_append_printf(many, "key-%d = 1\n", i);
	ck_assert_int_eq(
		load_settings(many->str, RELAY_ROLE_BALANCER, &s, &err), 0);
	ck_assert_uint_eq(strlen(s.unknown_keys), RELAY_UNKNOWN_KEYS_SIZE - 1);
	/* Known keys are checked beside unknown ones. */
	ck_assert_int_lt(load_settings(NEWER "memory_mb = \"much\"\n",
				       RELAY_ROLE_BALANCER, &s, &err),
			 0);
	ck_assert_int_eq(err.kind, ERR_TYPE);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet");
	TCase *tc = tcase_create("formats");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, example_packet);
	tcase_add_test(tc, packet_length_and_returned_flag);
	tcase_add_test(tc, random_packets);
	tcase_add_test(tc, mutated_traffic);
	tcase_add_test(tc, corrupted_items);
	tcase_add_test(tc, parse_routes);
	tcase_add_test(tc, long_names_are_served);
	tcase_add_test(tc, validate_settings);
	tcase_add_test(tc, unknown_keys_are_passed_over);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
