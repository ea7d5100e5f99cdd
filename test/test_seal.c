/*
 * test_seal - forged, foreign, stale and replayed messages; restarts; key file
 */

#include "../src/seal.h"
#include "runner.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define NOW	1800000000000ULL /* wall clock, ms */
#define BODY	"body of a message"
#define SENDERS 40000 /* the session table holds 4096 */

typedef struct sealed_msg {
	uint8_t bytes[SEAL_HEADER_LEN + sizeof(BODY)];
	size_t len;
} sealed_msg_t;

static const uint8_t key[SEAL_KEY_BYTES] = { 1, 2, 3 };
static const uint8_t other_key[SEAL_KEY_BYTES] = { 9 };
static seal_t *receiver;

static void setup(void)
{
	receiver = seal_new(key, 1);
	seal_set_start(receiver, NOW);
}

static void teardown(void)
{
	seal_free(receiver);
}

static sealed_msg_t make_msg(seal_t *sender, uint64_t wall_ms)
{
	sealed_msg_t msg;

	memcpy(msg.bytes + SEAL_HEADER_LEN, BODY, sizeof(BODY));
	msg.len = seal_message(sender, 7, wall_ms, msg.bytes, sizeof(BODY));
	return msg;
}

static seal_status_t receive(uint64_t wall_ms, const sealed_msg_t *msg)
{
	const uint8_t *body;
	size_t body_len;
	uint8_t kind;
	seal_status_t status = seal_open(receiver, wall_ms, msg->bytes,
					 msg->len, &kind, &body, &body_len);

	if (status == SEAL_OK) {
		ck_assert_uint_eq(kind, 7);
		ck_assert_uint_eq(body_len, sizeof(BODY));
		ck_assert_str_eq((const char *)body, BODY);
	}
	return status;
}

/* Receives the first message of a new session. */
static seal_status_t receive_new_session(uint64_t session, uint64_t sent,
					 uint64_t now)
{
	seal_t *sender = seal_new(key, session);
	sealed_msg_t msg = make_msg(sender, sent);

	seal_free(sender);
	return receive(now, &msg);
}

START_TEST(valid_message_is_accepted_once)
{
	seal_t *sender = seal_new(key, 2);
	sealed_msg_t msg = make_msg(sender, NOW);

	ck_assert_int_eq(receive(NOW, &msg), SEAL_OK);
	ck_assert_int_eq(receive(NOW, &msg), SEAL_REPLAYED);
	ck_assert_int_eq(receive(NOW + SEAL_SKEW_MS, &msg), SEAL_REPLAYED);
	ck_assert_int_eq(receive(NOW + SEAL_SKEW_MS + 1, &msg), SEAL_STALE);
	seal_free(sender);
}
END_TEST

START_TEST(every_changed_bit_is_rejected)
{
	seal_t *sender = seal_new(key, 2);
	sealed_msg_t good = make_msg(sender, NOW);

	for (size_t bit = 0; bit < good.len * 8; bit++) {
		sealed_msg_t msg = good;
		bool foreign = bit / 16 == 8; /* magic and version */
		seal_status_t want = foreign ? SEAL_FOREIGN : SEAL_FORGED;

		msg.bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
		ck_assert_int_eq(receive(NOW, &msg), want);
	}
	for (size_t len = 0; len < good.len; len++) {
		sealed_msg_t msg = good;

		msg.len = len;
		ck_assert_int_eq(receive(NOW, &msg), len < SEAL_HEADER_LEN
							     ? SEAL_SHORT
							     : SEAL_FORGED);
	}
	ck_assert_int_eq(receive(NOW, &good), SEAL_OK);
	seal_free(sender);
}
END_TEST

START_TEST(message_under_other_key_is_forged)
{
	seal_t *sender = seal_new(other_key, 2);
	sealed_msg_t msg = make_msg(sender, NOW);

	ck_assert_int_eq(receive(NOW, &msg), SEAL_FORGED);
	ck_assert_uint_ne(seal_rank_seed(key), seal_rank_seed(other_key));
	seal_free(sender);
}
END_TEST

/* While keys are replaced, both keys are accepted, but no other. */
START_TEST(alternate_key_is_accepted)
{
	static const uint8_t third_key[SEAL_KEY_BYTES] = { 7 };
	seal_t *sender = seal_new(other_key, 3);
	seal_t *third = seal_new(third_key, 4);
	sealed_msg_t msg = make_msg(sender, NOW);

	ck_assert_int_eq(receive(NOW, &msg), SEAL_FORGED);
	seal_set_alt_key(receiver, other_key);
	ck_assert_int_eq(receive(NOW, &msg), SEAL_OK);
	ck_assert_int_eq(receive(NOW, &msg), SEAL_REPLAYED);
	msg = make_msg(third, NOW);
	ck_assert_int_eq(receive(NOW, &msg), SEAL_FORGED);
	ck_assert_int_eq(receive_new_session(5, NOW, NOW), SEAL_OK);
	seal_free(sender);
	seal_free(third);
}
END_TEST

START_TEST(timestamp_beyond_skew_is_stale)
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
		ck_assert_int_eq(
			receive_new_session(100 + i,
					    later + (uint64_t)cases[i].ahead,
					    later),
			cases[i].status);
}
END_TEST

/*
 * Messages reordered within the replay window are accepted, each once. Messages
 * behind the window are rejected.
 */
START_TEST(reordered_messages_are_accepted_once)
{
	enum { N = 5000 };
	static sealed_msg_t msgs[N];
	seal_t *sender = seal_new(key, 2);

	for (int i = 0; i < N; i++)
		msgs[i] = make_msg(sender, NOW);
	for (int i = 0; i < 2000; i += 2)
		ck_assert_int_eq(receive(NOW, &msgs[i]), SEAL_OK);
	for (int i = 1999; i > 0; i -= 2)
		ck_assert_int_eq(receive(NOW, &msgs[i]), SEAL_OK);
	for (int i = 0; i < 2000; i++)
		ck_assert_int_eq(receive(NOW, &msgs[i]), SEAL_REPLAYED);
	ck_assert_int_eq(receive(NOW, &msgs[N - 1]), SEAL_OK);
	for (int i = 2000; i < N - 1; i++)
		ck_assert_int_eq(receive(NOW, &msgs[i]), SEAL_OK);
	for (int i = 0; i < N; i++)
		ck_assert_int_eq(receive(NOW, &msgs[i]), SEAL_REPLAYED);
	seal_free(sender);
}
END_TEST

START_TEST(message_behind_window_is_rejected)
{
	enum { WINDOW = 4096 };
	seal_t *sender = seal_new(key, 2);
	sealed_msg_t oldest[2], msg;

	oldest[0] = make_msg(sender, NOW);
	oldest[1] = make_msg(sender, NOW);
	for (int i = 2; i <= WINDOW; i++)
		msg = make_msg(sender, NOW);
	ck_assert_int_eq(receive(NOW, &msg), SEAL_OK);
	ck_assert_int_eq(receive(NOW, &oldest[0]), SEAL_REPLAYED);
	ck_assert_int_eq(receive(NOW, &oldest[1]), SEAL_OK);
	seal_free(sender);
}
END_TEST

START_TEST(restarted_sender_is_accepted_at_once)
{
	seal_t *old_sender = seal_new(key, 2);
	seal_t *new_sender = seal_new(key, 3);
	sealed_msg_t old = make_msg(old_sender, NOW);
	sealed_msg_t msg = make_msg(new_sender, NOW);

	ck_assert_int_eq(receive(NOW, &old), SEAL_OK);
	ck_assert_int_eq(receive(NOW, &msg), SEAL_OK);
	ck_assert_int_eq(receive(NOW, &old), SEAL_REPLAYED);
	seal_free(old_sender);
	seal_free(new_sender);
}
END_TEST

/* More live sessions than the table holds. */
START_TEST(full_session_table_accepts_new_senders)
{
	for (uint64_t i = 0; i < SENDERS; i++)
		ck_assert_int_eq(receive_new_session(i + 10, NOW + i, NOW + i),
				 SEAL_OK);
}
END_TEST

/* Messages of evicted sessions are rejected until they are stale. */
START_TEST(full_session_table_rejects_replays)
{
	enum { KEPT = 3000 };
	static sealed_msg_t msgs[KEPT];
	uint64_t now = NOW;

	for (uint64_t i = 0; i < KEPT; i++) {
		seal_t *sender = seal_new(key, i + 10);

		msgs[i] = make_msg(sender, now);
		seal_free(sender);
		ck_assert_int_eq(receive(now, &msgs[i]), SEAL_OK);
	}
	for (uint64_t i = 0; i < SENDERS / 4; i++)
		ck_assert_int_eq(receive_new_session(i + 10 + SENDERS,
						     now + 1 + i, now + 1 + i),
				 SEAL_OK);
	for (int i = 0; i < KEPT; i++)
		ck_assert_int_eq(receive(now + SENDERS / 4, &msgs[i]),
				 SEAL_REPLAYED);
}
END_TEST

/* A session evicted while its sender runs is accepted again. */
START_TEST(evicted_sender_is_accepted_again)
{
	seal_t *sender = seal_new(key, 2);
	sealed_msg_t msg = make_msg(sender, NOW);
	uint64_t now = NOW;

	ck_assert_int_eq(receive(now, &msg), SEAL_OK);
	for (uint64_t i = 1; i <= 1000; i++) {
		now++;
		ck_assert_int_eq(receive_new_session(2 + i * 256, now, now),
				 SEAL_OK);
	}
	msg = make_msg(sender, ++now);
	ck_assert_int_eq(receive(now, &msg), SEAL_OK);
	ck_assert_int_eq(receive(now, &msg), SEAL_REPLAYED);
	seal_free(sender);
}
END_TEST

/*
 * After a restart the receiver knows no sessions: it rejects messages sent
 * SEAL_START_SKEW_MS or more before its start, and accepts later ones once.
 */
START_TEST(restarted_receiver_rejects_older_messages)
{
	seal_t *sender = seal_new(key, 2);
	sealed_msg_t old = make_msg(sender, NOW + 5000 - SEAL_START_SKEW_MS);
	sealed_msg_t recent = make_msg(sender, NOW + 5001 - SEAL_START_SKEW_MS);

	ck_assert_int_eq(receive(NOW + 4000, &old), SEAL_OK);
	ck_assert_int_eq(receive(NOW + 4001, &recent), SEAL_OK);
	seal_free(receiver);
	receiver = seal_new(key, 99);
	seal_set_start(receiver, NOW + 5000);
	ck_assert_int_eq(receive(NOW + 5000, &old), SEAL_REPLAYED);
	ck_assert_int_eq(receive(NOW + 5000, &recent), SEAL_OK);
	ck_assert_int_eq(receive(NOW + 5000, &recent), SEAL_REPLAYED);
	ck_assert_int_eq(receive(NOW + 5000 + SEAL_SKEW_MS, &old), SEAL_STALE);
	seal_free(sender);
}
END_TEST

START_TEST(key_file_is_checked_and_key_not_shown)
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
	tcase_add_test(tc, valid_message_is_accepted_once);
	tcase_add_test(tc, every_changed_bit_is_rejected);
	tcase_add_test(tc, message_under_other_key_is_forged);
	tcase_add_test(tc, alternate_key_is_accepted);
	tcase_add_test(tc, timestamp_beyond_skew_is_stale);
	tcase_add_test(tc, reordered_messages_are_accepted_once);
	tcase_add_test(tc, message_behind_window_is_rejected);
	tcase_add_test(tc, restarted_sender_is_accepted_at_once);
	tcase_add_test(tc, full_session_table_accepts_new_senders);
	tcase_add_test(tc, full_session_table_rejects_replays);
	tcase_add_test(tc, evicted_sender_is_accepted_again);
	tcase_add_test(tc, restarted_receiver_rejects_older_messages);
	tcase_add_test(tc, key_file_is_checked_and_key_not_shown);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
