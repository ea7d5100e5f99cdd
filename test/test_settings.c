/*
 * test_settings - checks of settings files and key files; errors do not reveal
 * the key
 */

#include "../src/settings.h"
#include "runner.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define BALANCER                                                               \
	"name = \"b\"\nzone = \"z\"\npackets = \"127.0.0.1:1\"\n"              \
	"listen = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\n"
#define AGENT                                                                  \
	"name = \"a\"\nzone = \"z\"\ntarget = \"t\"\n"                         \
	"listen = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\n"              \
	"fabric = \"127.0.0.1:4\"\nserver = \"127.0.0.1:5\"\n"                 \
	"delivery = \"127.0.0.1:6\"\n"

static char dir[] = "/tmp/test_settings-XXXXXX";
static char *key_path, *file_path;

static void setup(void)
{
	ck_assert_ptr_nonnull(g_mkdtemp(dir));
	key_path = g_build_filename(dir, "key", NULL);
	file_path = g_build_filename(dir, "s.toml", NULL);
	g_file_set_contents(key_path, KEY "\n", -1, NULL);
	g_chmod(key_path, 0600);
}

static void teardown(void)
{
	g_unlink(key_path);
	g_unlink(file_path);
	g_rmdir(dir);
	g_free(key_path);
	g_free(file_path);
}

static int load(const char *text, process_role_t role, settings_t *out,
		err_t *err)
{
	char *with_key =
		g_strdup_printf("key_file = \"%s\"\n%s", key_path, text);

	g_file_set_contents(file_path, with_key, -1, NULL);
	g_free(with_key);
	return settings_load(file_path, role, out, err);
}

typedef struct invalid_settings {
	process_role_t role;
	const char *text; /* the file from line 2 on */
	err_kind_t kind;
	int line;
	const char *what; /* expected in the message */
} invalid_settings_t;

static const invalid_settings_t invalid_settings_cases[] = {
	{ ROLE_BALANCER, BALANCER "nmae = 1\n", ERR_UNKNOWN_KEY, 7, "nmae" },
	{ ROLE_BALANCER, BALANCER "target = \"t\"\n", ERR_UNKNOWN_KEY, 7,
	  "target" },
	{ ROLE_BALANCER, BALANCER "key = \"00\"\n", ERR_UNKNOWN_KEY, 7, "key" },
	{ ROLE_BALANCER, BALANCER "peers = \"127.0.0.1:1\"\n", ERR_TYPE, 7,
	  "peers" },
	{ ROLE_BALANCER, BALANCER "peers = [\n\"127.0.0.1:1\",\n\"x\" ]\n",
	  ERR_RANGE, 9, "peer" },
	{ ROLE_BALANCER, BALANCER "stop_ms = -1\n", ERR_RANGE, 7, "stop_ms" },
	{ ROLE_BALANCER, BALANCER "cache_flows = 1.5\n", ERR_TYPE, 7,
	  "cache_flows" },
	{ ROLE_BALANCER, BALANCER "flows = 5\n", ERR_UNKNOWN_KEY, 7, "flows" },
	{ ROLE_BALANCER, BALANCER "platform = \"file:///x\"\n", ERR_RANGE, 7,
	  "platform" },
	{ ROLE_BALANCER, "name = \"b\"\n", ERR_MISSING, 1, "zone" },
	{ ROLE_AGENT, AGENT "packets = \"127.0.0.1:1\"\n", ERR_UNKNOWN_KEY, 10,
	  "packets" },
	{ ROLE_AGENT, AGENT "queue = 0\n", ERR_RANGE, 10, "queue" },
	{ ROLE_AGENT, BALANCER, ERR_UNKNOWN_KEY, 4, "packets" },
	{ ROLE_OPERATOR, "name = \"x\"\n", ERR_UNKNOWN_KEY, 2, "name" },
	{ ROLE_OPERATOR, "peers = [\n", ERR_SYNTAX, 2, "" },
};

START_TEST(error_has_kind_line_and_remedy)
{
	const invalid_settings_t *b = &invalid_settings_cases[_i];
	settings_t settings;
	err_t err;

	ck_assert_int_eq(load(b->text, b->role, &settings, &err), -1);
	ck_assert_msg(err.kind == b->kind, "%s: %s", err_kind_name(err.kind),
		      err.what);
	ck_assert_msg(err.line == b->line, "line %d: %s", err.line, err.what);
	ck_assert_str_eq(err.file, file_path);
	ck_assert_msg(strstr(err.what, b->what) != NULL, "%s", err.what);
	ck_assert_str_ne(err.remedy, "");
}
END_TEST

START_TEST(good_settings_have_defaults)
{
	settings_t settings;
	err_t err;

	ck_assert_int_eq(load(BALANCER, ROLE_BALANCER, &settings, &err), 0);
	ck_assert_str_eq(settings.zone, "z");
	ck_assert_uint_gt(settings.stop_ms, 0);
	ck_assert_uint_eq(settings.key[1], 0x11);
	settings_clear(&settings);
	ck_assert_int_eq(load(AGENT, ROLE_AGENT, &settings, &err), 0);
	settings_clear(&settings);
	ck_assert_int_eq(load("peers = [\"127.0.0.1:1\"]\n", ROLE_OPERATOR,
			      &settings, &err),
			 0);
	ck_assert_uint_eq(settings.npeers, 1);
	settings_clear(&settings);
}
END_TEST

typedef struct key_case {
	const char *text;
	int mode;
	err_kind_t kind; /* ERR_NONE: accepted */
	const char *remedy;
} key_case_t;

static const key_case_t key_cases[] = {
	{ KEY, 0600, ERR_NONE, "" },
	{ KEY, 0400, ERR_NONE, "" },
	{ KEY, 0640, ERR_NONE, "" },
	{ KEY, 0644, ERR_AUTH, "chmod" },
	{ KEY, 0602, ERR_AUTH, "chmod" },
	{ KEY, 0620, ERR_AUTH, "chmod" },
	{ "5ecre7", 0600, ERR_AUTH, "64 hexadecimal" },
	{ KEY "00", 0600, ERR_AUTH, "64 hexadecimal" },
	{ "zz", 0600, ERR_AUTH, "64 hexadecimal" },
};

/*
 * A key file is rejected when others can read it, when group or others can
 * write it, or when it is malformed. The error does not contain the key.
 */
START_TEST(key_file_mode_and_content_are_checked)
{
	const key_case_t *k = &key_cases[_i];
	settings_t settings;
	char text[900];
	err_t err;
	int ret;

	g_file_set_contents(key_path, k->text, -1, NULL);
	g_chmod(key_path, k->mode);
	ret = load(BALANCER, ROLE_BALANCER, &settings, &err);
	ck_assert_int_eq(ret, k->kind == ERR_NONE ? 0 : -1);
	if (ret == 0) {
		settings_clear(&settings);
		return;
	}
	ck_assert_int_eq(err.kind, k->kind);
	err_format(&err, text, sizeof(text));
	ck_assert_ptr_nonnull(strstr(err.remedy, k->remedy));
	ck_assert_ptr_null(strstr(text, k->text));
}
END_TEST

/* key_file_old is checked like key_file. */
START_TEST(old_key_file_is_checked)
{
	char *old_path = g_build_filename(dir, "old", NULL);
	char *text =
		g_strdup_printf(BALANCER "key_file_old = \"%s\"\n", old_path);
	settings_t settings;
	err_t err;

	ck_assert_int_eq(load(text, ROLE_BALANCER, &settings, &err), -1);
	ck_assert_int_eq(err.kind, ERR_IO);
	g_file_set_contents(old_path, KEY, -1, NULL);
	g_chmod(old_path, 0644);
	ck_assert_int_eq(load(text, ROLE_BALANCER, &settings, &err), -1);
	ck_assert_str_eq(err.file, old_path);
	g_chmod(old_path, 0600);
	ck_assert_int_eq(load(text, ROLE_BALANCER, &settings, &err), 0);
	ck_assert_uint_eq(settings.key_old[1], 0x11);
	settings_clear(&settings);
	g_unlink(old_path);
	g_free(old_path);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("settings");
	TCase *tc = tcase_create("file");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, error_has_kind_line_and_remedy, 0,
			    G_N_ELEMENTS(invalid_settings_cases));
	tcase_add_test(tc, good_settings_have_defaults);
	tcase_add_loop_test(tc, key_file_mode_and_content_are_checked, 0,
			    G_N_ELEMENTS(key_cases));
	tcase_add_test(tc, old_key_file_is_checked);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
