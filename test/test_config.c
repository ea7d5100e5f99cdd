/*
 * test_config - parsing, checks, digests and merging of configuration documents
 */

#include "../src/config_delta.h"
#include "runner.h"
#include <glib.h>
#include <string.h>

#define SERVICE(name, address)                                                 \
	"[[service]]\nname = \"" name "\"\naddress = \"" address "\"\n"
#define CLASS "[[service.class]]\nname = \"c\"\nport = 1\nidempotent = true\n"
#define TARGET(name, agent)                                                    \
	"[[service.target]]\nname = \"" name "\"\nagent = \"" agent "\"\n"     \
	"zone = \"z\"\nslots = 2\nconnections = 10\n"
#define S1 SERVICE("s", "192.0.2.1") CLASS /* lines 2 to 8, after V */
#define T1 TARGET("t", "127.0.0.1:1")	   /* lines 9 to 14, after V S1 */
#define V  "version = 1\n"

typedef struct invalid_document {
	const char *text;
	err_kind_t kind;
	int line;
	const char *what; /* expected in the message */
} invalid_document_t;

static const invalid_document_t invalid_documents[] = {
	{ V S1 T1 "wieght = 2\n", ERR_UNKNOWN_KEY, 15, "wieght" },
	{ "verison = 1\n" S1 T1, ERR_UNKNOWN_KEY, 1, "verison" },
	{ V "[extra]\na = 1\n" S1 T1, ERR_UNKNOWN_KEY, 2, "extra" },
	{ S1 T1, ERR_MISSING, 1, "version" },
	{ "\n\n" S1 T1, ERR_MISSING, 1, "version" },
	{ "version = \"1\"\n" S1 T1, ERR_TYPE, 1, "version" },
	{ "version = 0\n" S1 T1, ERR_RANGE, 1, "version" },
	{ "version = 1.5\n" S1 T1, ERR_TYPE, 1, "version" },
	{ V, ERR_EMPTY, 1, "no service" },
	{ V "service = 3\n", ERR_TYPE, 2, "service" },
	{ V S1, ERR_EMPTY, 2, "no target" },
	{ V SERVICE("s", "192.0.2.1") T1, ERR_EMPTY, 2, "classes" },
	{ V SERVICE("s", "192.0.2") CLASS T1, ERR_RANGE, 4, "address" },
	{ V "[[service]]\nname = \"s\"\n" CLASS T1, ERR_MISSING, 2, "address" },
	{ V S1 T1 SERVICE("r", "192.0.2.1") CLASS TARGET("u", "127.0.0.2:1"),
	  ERR_DUPLICATE, 15, "address" },
	{ V S1 T1 SERVICE("s", "192.0.2.2") CLASS TARGET("u", "127.0.0.2:1"),
	  ERR_DUPLICATE, 15, "declared twice" },
	{ V S1 T1 SERVICE("r", "192.0.2.2") CLASS TARGET("t", "127.0.0.2:1"),
	  ERR_DUPLICATE, 22, "in services \"s\" and \"r\"" },
	{ V S1 T1 T1, ERR_DUPLICATE, 15, "declared twice" },
	{ V S1 T1 TARGET("u", "127.0.0.1:1"), ERR_DUPLICATE, 15, "agent" },
	{ V S1 T1 "weight = 0.001\n", ERR_RANGE, 15, "weight" },
	{ V S1 T1 "weight = 101\n", ERR_RANGE, 15, "weight" },
	{ V S1 T1 "weight = nan\n", ERR_RANGE, 15, "weight" },
	{ V S1 T1 "weight = \"1\"\n", ERR_TYPE, 15, "weight" },
	{ V S1 T1 "state = \"gone\"\n", ERR_RANGE, 15, "state" },
	{ V S1 "weight = 0\n" T1, ERR_RANGE, 9, "weight" },
	{ V S1 "protocol = \"icmp\"\n" T1, ERR_RANGE, 9, "protocol" },
	{ V S1 CLASS T1, ERR_DUPLICATE, 9, "class" },
	{ V S1
	  "[[service.class]]\nname = \"d\"\nport = 1\nidempotent = true\n" T1,
	  ERR_DUPLICATE, 9, "port" },
	{ V S1 "[[service.target]]\nname = \"t\"\nzone = \"z\"\n", ERR_MISSING,
	  9, "agent" },
	{ V S1 "[[service.target]]\nname = \"t\"\nagent = \"127.0.0.1:1\"\n",
	  ERR_MISSING, 9, "zone" },
	{ V S1 "[[service.target]]\nname = \"t\"\nagent = \"127.0.0.1\"\n"
	       "zone = \"z\"\n",
	  ERR_RANGE, 11, "agent" },
	{ V S1 "[service.defaults]\nslots = 0\n" T1, ERR_RANGE, 10, "slots" },
	{ V S1 "[service.defaults]\nagent = \"a\"\n" T1, ERR_UNKNOWN_KEY, 10,
	  "agent" },
	{ V S1 "target = 1\n", ERR_UNKNOWN_KEY, 9, "target" },
	{ V "a = [\n", ERR_SYNTAX, 2, "" },
	{ "\xff\xfe", ERR_SYNTAX, 1, "" },
};

START_TEST(error_has_kind_line_and_remedy)
{
	const invalid_document_t *b = &invalid_documents[_i];
	config_t *config = NULL;
	err_t err;

	ck_assert_int_eq(
		config_parse("f.toml", b->text, strlen(b->text), &config, &err),
		-1);
	ck_assert_msg(err.kind == b->kind, "%s: %s", err_kind_name(err.kind),
		      err.what);
	ck_assert_msg(err.line == b->line, "line %d: %s", err.line, err.what);
	ck_assert_str_eq(err.file, "f.toml");
	ck_assert_msg(strstr(err.what, b->what) != NULL, "%s", err.what);
	ck_assert_str_ne(err.remedy, "");
}
END_TEST

START_TEST(oversized_document_is_rejected)
{
	char *text = g_strnfill(CONFIG_MAX_BYTES + 1, '#');
	config_t *config;
	err_t err;

	ck_assert_int_eq(
		config_parse("f", text, CONFIG_MAX_BYTES + 1, &config, &err),
		-1);
	ck_assert_int_eq(err.kind, ERR_SIZE);
	g_free(text);
}
END_TEST

static config_t *parse(const char *text)
{
	config_t *config = NULL;
	char buf[900];
	err_t err;

	if (config_parse("f", text, strlen(text), &config, &err) < 0)
		ck_abort_msg("%s", err_format(&err, buf, sizeof(buf)));
	return config;
}

START_TEST(version_must_be_higher)
{
	config_t *old = parse("version = 2\n" S1 T1);
	config_t *low = parse("# later\n\nversion = 2\n" S1 T1 "weight = 2\n");
	config_t *high = parse("version = 3\n" S1 T1);
	err_t err;

	ck_assert_int_eq(config_check_newer(old, low, "g", &err), -1);
	ck_assert_int_eq(err.kind, ERR_VERSION);
	ck_assert_int_eq(err.line, 3);
	ck_assert_str_eq(err.file, "g");
	ck_assert_int_eq(config_check_newer(old, high, "g", &err), 0);
	ck_assert_int_eq(config_check_newer(NULL, low, "g", &err), 0);
	config_unref(old);
	config_unref(low);
	config_unref(high);
}
END_TEST

/* Inline tables and defaults give the same digest as the long form. */
START_TEST(compact_form_is_equivalent)
{
	config_t *a = parse(V S1 T1 "weight = 0.333333\n");
	config_t *b = parse(
		V SERVICE("s", "192.0.2.1") "class = [ { name = \"c\", "
					    "port = 1, idempotent = true } ]\n"
					    "defaults = { zone = \"z\", slots "
					    "= 2, connections = 10, weight = "
					    "0.3333333333 }\ntarget = [\n { "
					    "name = \"t\", agent = "
					    "\"127.0.0.1:1\" },\n]\n");
	char *text = config_to_toml(a);
	config_t *c = parse(text);

	ck_assert_uint_eq(a->digest, b->digest);
	ck_assert_uint_eq(a->digest, c->digest);
	/* Weights are rounded as in the canonical text when they are read. */
	ck_assert(a->services[0].targets[0].weight ==
		  b->services[0].targets[0].weight);
	ck_assert(a->services[0].targets[0].weight ==
		  c->services[0].targets[0].weight);
	g_free(text);
	config_unref(a);
	config_unref(b);
	config_unref(c);
}
END_TEST

/* Random bytes in a valid document are parsed or rejected without a crash. */
START_TEST(corrupted_document_does_not_crash)
{
	static const char good[] = V S1 T1 "weight = 2.5\n";
	GRand *rand = g_rand_new_with_seed(7);

	for (int i = 0; i < 3000; i++) {
		char text[sizeof(good)];
		config_t *config = NULL;
		err_t err;

		memcpy(text, good, sizeof(good));
		for (int n = g_rand_int_range(rand, 1, 6); n > 0; n--)
			text[g_rand_int_range(rand, 0, sizeof(good) - 1)] =
				(char)g_rand_int_range(rand, 0, 256);
		if (config_parse("f", text, strlen(text), &config, &err) == 0)
			config_unref(config);
		else
			ck_assert_int_ne(err.kind, ERR_NONE);
	}
	g_rand_free(rand);
}
END_TEST

#define SERVICE_A SERVICE("a", "192.0.2.1") CLASS TARGET("a1", "127.0.0.1:1")
#define SERVICE_B SERVICE("b", "192.0.2.2") CLASS TARGET("b1", "127.0.0.2:1")
#define SERVICE_C SERVICE("c", "192.0.2.3") CLASS TARGET("c1", "127.0.0.3:1")

typedef struct change {
	const char *from; /* NULL: the receiver has no configuration */
	const char *to;
	size_t parts; /* number of services in the reply */
	bool order;   /* the reply names the order of all services */
} change_t;

static const change_t changes[] = {
	{ NULL, V SERVICE_A SERVICE_B, 2, true },
	{ V SERVICE_A, "version = 2\n" SERVICE_A, 0, false },
	{ V SERVICE_A SERVICE_B,
	  "version = 2\n" SERVICE_A SERVICE_B "weight = 2\n", 1, false },
	{ V SERVICE_A, "version = 2\n" SERVICE_A SERVICE_C, 1, true },
	{ V SERVICE_A SERVICE_B, "version = 2\n" SERVICE_B, 0, true },
	{ V SERVICE_A SERVICE_B, "version = 2\n" SERVICE_B SERVICE_A, 0, true },
	{ V SERVICE_A, "version = 2\n" SERVICE_C, 1, true },
};

/* A reply, packed and unpacked, merges into the sender's configuration. */
START_TEST(changed_services_are_merged)
{
	const change_t *c = &changes[_i];
	config_t *from = c->from ? parse(c->from) : NULL;
	config_t *to = parse(c->to);
	config_history_t *history = config_history_new();
	config_reply_msg_t *sent, *received;
	wire_arena_t arena = { 0 };
	config_t *merged = NULL;
	uint8_t buf[4096];
	err_t err;

	if (from)
		config_history_add(history, from);
	sent = config_reply_new(
		to,
		from ? config_history_find(history, from->version, from->digest)
		     : NULL);
	ck_assert_uint_eq(sent->n_parts, c->parts);
	ck_assert_int_eq(sent->n_order > 0, c->order);
	ck_assert_uint_le(wire_size(sent), sizeof(buf));
	received = wire_unpack(&arena, MSG_CONFIG_REPLY, buf,
			       wire_pack(sent, buf));
	ck_assert_ptr_nonnull(received);
	ck_assert_int_eq(config_merge("peer", from, received, &merged, &err),
			 0);
	ck_assert_uint_eq(merged->digest, to->digest);
	config_unref(merged);
	/* A wrong digest or an unknown service in the reply is an error. */
	received->digest ^= 1;
	ck_assert_int_eq(config_merge("peer", from, received, &merged, &err),
			 -1);
	ck_assert_int_eq(err.kind, ERR_PROTOCOL);
	if (received->n_order) {
		received->digest ^= 1;
		received->order[0] ^= 1;
		ck_assert_int_eq(
			config_merge("peer", from, received, &merged, &err),
			-1);
		ck_assert_int_eq(err.kind, ERR_PROTOCOL);
	}
	config_reply_free(sent);
	wire_arena_clear(&arena);
	config_history_free(history);
	config_unref(from);
	config_unref(to);
}
END_TEST

/* Beyond CONFIG_HISTORY entries, only the oldest one is dropped. */
START_TEST(history_is_bounded)
{
	config_history_t *history = config_history_new();
	uint64_t digest[CONFIG_HISTORY + 1];

	for (unsigned i = 0; i <= CONFIG_HISTORY; i++) {
		char *text = config_example(1, 1, i + 1);
		config_t *config = parse(text);

		config_history_add(history, config);
		digest[i] = config->digest;
		config_unref(config);
		g_free(text);
	}
	ck_assert_ptr_null(config_history_find(history, 1, digest[0]));
	for (unsigned i = 1; i <= CONFIG_HISTORY; i++)
		ck_assert_ptr_nonnull(
			config_history_find(history, i + 1, digest[i]));
	ck_assert_ptr_null(config_history_find(history, 2, digest[2]));
	config_history_free(history);
}
END_TEST

/* 1,000 services with 11 targets each fit into CONFIG_MAX_BYTES. */
START_TEST(thousand_services_fit_size_limit)
{
	char *text = config_example(1000, 11, 1);
	config_t *config;

	ck_assert_uint_lt(strlen(text), CONFIG_MAX_BYTES);
	config = parse(text);
	ck_assert_uint_eq(config->nservices, 1000);
	ck_assert_uint_eq(config->services[999].ntargets, 11);
	config_unref(config);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *tc = tcase_create("document");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, error_has_kind_line_and_remedy, 0,
			    G_N_ELEMENTS(invalid_documents));
	tcase_add_test(tc, oversized_document_is_rejected);
	tcase_add_test(tc, version_must_be_higher);
	tcase_add_test(tc, compact_form_is_equivalent);
	tcase_add_test(tc, corrupted_document_does_not_crash);
	tcase_add_loop_test(tc, changed_services_are_merged, 0,
			    G_N_ELEMENTS(changes));
	tcase_add_test(tc, history_is_bounded);
	tcase_add_test(tc, thousand_services_fit_size_limit);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
