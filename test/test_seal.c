/*
 * test_seal - forged, foreign, stale and repeated messages; restarts
 */

#include "../src/seal.h"
#include "runner.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define NOW	1800000000000ULL /* ms, wall clock */
#define BODY	"body of a message"
#define SENDERS 40000

typedef struct letter {
	uint8_t bytes[SEAL_HEADER + sizeof(BODY)];
	size_t len;
} letter_t;

static const uint8_t key[SEAL_KEY_BYTES] = { 1, 2, 3 };
static const uint8_t other_key[SEAL_KEY_BYTES] = { 9 };
static seal_t *receiver;

static void setup(void)
{
	receiver = seal_new(key, 1);
	seal_started(receiver, NOW);
}

static void teardown(void)
{
	seal_free(receiver);
}

static letter_t write_letter(seal_t *sender, uint64_t wall_ms)
{
	letter_t l;

	memcpy(l.bytes + SEAL_HEADER, BODY, sizeof(BODY));
	l.len = seal_close(sender, 7, wall_ms, l.bytes, sizeof(BODY));
	return l;
}

static seal_status_t take(uint64_t wall_ms, const letter_t *l)
{
	const uint8_t *body;
	size_t body_len;
	uint8_t kind;
	seal_status_t status = seal_open(receiver, wall_ms, l->bytes, l->len,
					 &kind, &body, &body_len);

	if (status == SEAL_OK) {
		ck_assert_uint_eq(kind, 7);
		ck_assert_uint_eq(body_len, sizeof(BODY));
		ck_assert_str_eq((const char *)body, BODY);
	}
	return status;
}

/* A message of a sender that was never heard before. */
static seal_status_t take_new(uint64_t session, uint64_t sent, uint64_t now)
{
	seal_t *sender = seal_new(key, session);
	letter_t l = write_letter(sender, sent);

	seal_free(sender);
	return take(now, &l);
}

START_TEST(good_message_is_taken_once)
{
	seal_t *sender = seal_new(key, 2);
	letter_t l = write_letter(sender, NOW);

	ck_assert_int_eq(take(NOW, &l), SEAL_OK);
	ck_assert_int_eq(take(NOW, &l), SEAL_REPLAYED);
	ck_assert_int_eq(take(NOW + SEAL_SKEW_MS, &l), SEAL_REPLAYED);
	ck_assert_int_eq(take(NOW + SEAL_SKEW_MS + 1, &l), SEAL_STALE);
	seal_free(sender);
}
END_TEST

START_TEST(every_changed_bit_is_noticed)
{
	seal_t *sender = seal_new(key, 2);
	letter_t good = write_letter(sender, NOW);

	for (size_t bit = 0; bit < good.len * 8; bit++) {
		letter_t l = good;
		bool foreign = bit / 16 == 8; /* magic and version */
		seal_status_t want = foreign ? SEAL_FOREIGN : SEAL_FORGED;

		l.bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
		ck_assert_int_eq(take(NOW, &l), want);
	}
	for (size_t len = 0; len < good.len; len++) {
		letter_t l = good;

		l.len = len;
		ck_assert_int_eq(take(NOW, &l),
				 len < SEAL_HEADER ? SEAL_SHORT : SEAL_FORGED);
	}
	ck_assert_int_eq(take(NOW, &good), SEAL_OK);
	seal_free(sender);
}
END_TEST

START_TEST(another_key_is_forged)
{
	seal_t *sender = seal_new(other_key, 2);
	letter_t l = write_letter(sender, NOW);

	ck_assert_int_eq(take(NOW, &l), SEAL_FORGED);
	ck_assert_uint_ne(seal_rank_seed(key), seal_rank_seed(other_key));
	seal_free(sender);
}
END_TEST

/* While keys are changed both are taken, and no third one. */
START_TEST(accepted_key_is_taken)
{
	static const uint8_t third_key[SEAL_KEY_BYTES] = { 7 };
	seal_t *sender = seal_new(other_key, 3);
	seal_t *third = seal_new(third_key, 4);
	letter_t l = write_letter(sender, NOW);

	ck_assert_int_eq(take(NOW, &l), SEAL_FORGED);
	seal_accept(receiver, other_key);
	ck_assert_int_eq(take(NOW, &l), SEAL_OK);
	ck_assert_int_eq(take(NOW, &l), SEAL_REPLAYED);
	l = write_letter(third, NOW);
	ck_assert_int_eq(take(NOW, &l), SEAL_FORGED);
	ck_assert_int_eq(take_new(5, NOW, NOW), SEAL_OK);
	seal_free(sender);
	seal_free(third);
}
END_TEST

START_TEST(clock_far_away_is_stale)
{
	static const struct {
		int64_t ahead;
		seal_status_t status;
	} cases[] = {
		{ -SEAL_SKEW_MS - 1, SEAL_STALE },
		{ -SEAL_SKEW_MS, SEAL_OK },
		{ SEAL_SKEW_MS, SEAL_OK },
		{ SEAL_SKEW_MS + 1, SEAL_STALE },
		{ INT64_MAX - (int64_t)NOW, SEAL_STALE },
	};
	uint64_t later = NOW + 10 * SEAL_SKEW_MS;

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		ck_assert_int_eq(take_new(100 + i,
					  later + (uint64_t)cases[i].ahead,
					  later),
				 cases[i].status);
}
END_TEST

/* Reordered within the window: each once; behind it: none. */
START_TEST(reordering_within_the_window)
{
	enum { N = 5000 };
	static letter_t letters[N];
	seal_t *sender = seal_new(key, 2);

	for (int i = 0; i < N; i++)
		letters[i] = write_letter(sender, NOW);
	for (int i = 0; i < 2000; i += 2)
		ck_assert_int_eq(take(NOW, &letters[i]), SEAL_OK);
	for (int i = 1999; i > 0; i -= 2)
		ck_assert_int_eq(take(NOW, &letters[i]), SEAL_OK);
	for (int i = 0; i < 2000; i++)
		ck_assert_int_eq(take(NOW, &letters[i]), SEAL_REPLAYED);
	ck_assert_int_eq(take(NOW, &letters[N - 1]), SEAL_OK);
	for (int i = 2000; i < N - 1; i++)
		ck_assert_int_eq(take(NOW, &letters[i]), SEAL_OK);
	for (int i = 0; i < N; i++)
		ck_assert_int_eq(take(NOW, &letters[i]), SEAL_REPLAYED);
	seal_free(sender);
}
END_TEST

START_TEST(too_far_behind_is_refused)
{
	enum { WINDOW = 4096 };
	seal_t *sender = seal_new(key, 2);
	letter_t early[2], l;

	early[0] = write_letter(sender, NOW);
	early[1] = write_letter(sender, NOW);
	for (int i = 2; i <= WINDOW; i++)
		l = write_letter(sender, NOW);
	ck_assert_int_eq(take(NOW, &l), SEAL_OK);
	ck_assert_int_eq(take(NOW, &early[0]), SEAL_REPLAYED);
	ck_assert_int_eq(take(NOW, &early[1]), SEAL_OK);
	seal_free(sender);
}
END_TEST

START_TEST(restarted_sender_is_heard_at_once)
{
	seal_t *before = seal_new(key, 2);
	seal_t *after = seal_new(key, 3);
	letter_t old = write_letter(before, NOW);
	letter_t l = write_letter(after, NOW);

	ck_assert_int_eq(take(NOW, &old), SEAL_OK);
	ck_assert_int_eq(take(NOW, &l), SEAL_OK);
	ck_assert_int_eq(take(NOW, &old), SEAL_REPLAYED);
	seal_free(before);
	seal_free(after);
}
END_TEST

/* More senders than there is room for, all within the time kept. */
START_TEST(full_table_locks_no_new_sender_out)
{
	for (uint64_t i = 0; i < SENDERS; i++)
		ck_assert_int_eq(take_new(i + 10, NOW + i, NOW + i), SEAL_OK);
}
END_TEST

/* A forgotten session's messages stay refused until they are stale. */
START_TEST(full_table_lets_no_replay_in)
{
	enum { KEPT = 3000 };
	static letter_t letters[KEPT];
	uint64_t now = NOW;

	for (uint64_t i = 0; i < KEPT; i++) {
		seal_t *sender = seal_new(key, i + 10);

		letters[i] = write_letter(sender, now);
		seal_free(sender);
		ck_assert_int_eq(take(now, &letters[i]), SEAL_OK);
	}
	for (uint64_t i = 0; i < SENDERS / 4; i++)
		ck_assert_int_eq(
			take_new(i + 10 + SENDERS, now + 1 + i, now + 1 + i),
			SEAL_OK);
	for (int i = 0; i < KEPT; i++)
		ck_assert_int_eq(take(now + SENDERS / 4, &letters[i]),
				 SEAL_REPLAYED);
}
END_TEST

/* A session that was forgotten while it lived is heard again. */
START_TEST(forgotten_sender_comes_back)
{
	seal_t *sender = seal_new(key, 2);
	letter_t l = write_letter(sender, NOW);
	uint64_t now = NOW;

	ck_assert_int_eq(take(now, &l), SEAL_OK);
	for (uint64_t i = 1; i <= 1000; i++) {
		now++;
		ck_assert_int_eq(take_new(2 + i * 256, now, now), SEAL_OK);
	}
	l = write_letter(sender, ++now);
	ck_assert_int_eq(take(now, &l), SEAL_OK);
	ck_assert_int_eq(take(now, &l), SEAL_REPLAYED);
	seal_free(sender);
}
END_TEST

/*
 * After a restart the receiver remembers nothing: what was sent more than
 * SEAL_START_SKEW_MS before is refused, and what is younger is taken once.
 */
START_TEST(restarted_receiver_bounds_a_replay)
{
	seal_t *sender = seal_new(key, 2);
	letter_t old = write_letter(sender, NOW + 5000 - SEAL_START_SKEW_MS);
	letter_t young = write_letter(sender, NOW + 5001 - SEAL_START_SKEW_MS);

	ck_assert_int_eq(take(NOW + 4000, &old), SEAL_OK);
	ck_assert_int_eq(take(NOW + 4001, &young), SEAL_OK);
	seal_free(receiver);
	receiver = seal_new(key, 99);
	seal_started(receiver, NOW + 5000);
	ck_assert_int_eq(take(NOW + 5000, &old), SEAL_REPLAYED);
	ck_assert_int_eq(take(NOW + 5000, &young), SEAL_OK);
	ck_assert_int_eq(take(NOW + 5000, &young), SEAL_REPLAYED);
	ck_assert_int_eq(take(NOW + 5000 + SEAL_SKEW_MS, &old), SEAL_STALE);
	seal_free(sender);
}
END_TEST

START_TEST(key_file_is_checked_and_never_shown)
{
	static const struct {
		const char *text;
		int ret;
	} cases[] = {
		{ "00112233445566778899aabbccddeeff"
		  "00112233445566778899AABBCCDDEEFF\n",
		  0 },
		{ "00112233", -1 },
		{ "", -1 },
		{ "zz112233445566778899aabbccddeeff", -1 },
		{ "00112233445566778899aabbccddeeff"
		  "00112233445566778899aabbccddeeff0",
		  -1 },
	};
	char file[] = "/tmp/test_seal_XXXXXX";
	uint8_t out[SEAL_KEY_BYTES];
	int fd = mkstemp(file);
	err_t err;

	ck_assert_int_ge(fd, 0);
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		FILE *f = fopen(file, "w");

		fputs(cases[i].text, f);
		fclose(f);
		ck_assert_int_eq(seal_read_key(file, out, &err), cases[i].ret);
		if (cases[i].ret == 0)
			ck_assert_int_eq(out[31], 0xff);
		else
			ck_assert_ptr_null(strstr(err.what, "0011"));
	}
	remove(file);
	ck_assert_int_eq(seal_read_key(file, out, &err), -1);
	ck_assert_int_eq(err.kind, ERR_IO);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("seal");
	TCase *tc = tcase_create("messages");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, good_message_is_taken_once);
	tcase_add_test(tc, every_changed_bit_is_noticed);
	tcase_add_test(tc, another_key_is_forged);
	tcase_add_test(tc, accepted_key_is_taken);
	tcase_add_test(tc, clock_far_away_is_stale);
	tcase_add_test(tc, reordering_within_the_window);
	tcase_add_test(tc, too_far_behind_is_refused);
	tcase_add_test(tc, restarted_sender_is_heard_at_once);
	tcase_add_test(tc, full_table_locks_no_new_sender_out);
	tcase_add_test(tc, full_table_lets_no_replay_in);
	tcase_add_test(tc, forgotten_sender_comes_back);
	tcase_add_test(tc, restarted_receiver_bounds_a_replay);
	tcase_add_test(tc, key_file_is_checked_and_never_shown);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
