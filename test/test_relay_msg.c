/*
 * test_relay_msg - messages of builds that know more kinds or fields
 */

#include "../src/relay_msg.h"
#include "runner.h"
#include <string.h>

/* Field 90, a string of two bytes, as a newer build might send it. */
static const uint8_t newer_field[] = { 0xd2, 0x05, 2, 'x', 'y' };

/* A field that this build does not know changes none that it knows. */
START_TEST(unknown_field_is_passed_over)
{
	uint8_t buf[RELAY_MSG_MAX];
	relay_msg_t msg, *read;
	size_t len;

	relay_msg_init(&msg, RELAY_OFFER);
	msg.slots = 3;
	msg.queue_ms = 40;
	len = relay_msg_pack(&msg, buf);
	memcpy(buf + len, newer_field, sizeof(newer_field));
	read = relay_msg_unpack(buf, len + sizeof(newer_field));
	ck_assert_ptr_nonnull(read);
	ck_assert_uint_eq(read->kind, RELAY_OFFER);
	ck_assert_uint_eq(read->slots, 3);
	ck_assert_uint_eq(read->queue_ms, 40);
	relay_msg_free(read);
}
END_TEST

/* A message of an unknown kind is none for this build, whatever it holds. */
START_TEST(unknown_kind_is_passed_over)
{
	uint8_t buf[RELAY_MSG_MAX];
	relay_msg_t msg;
	size_t len;

	relay_msg_init(&msg, RELAY_KINDS);
	len = relay_msg_pack(&msg, buf);
	ck_assert_uint_gt(len, 0);
	ck_assert_ptr_null(relay_msg_unpack(buf, len));
	ck_assert_str_eq(relay_kind_name(RELAY_KINDS), "unknown");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_msg");
	TCase *tc = tcase_create("newer builds");

	tcase_add_test(tc, unknown_field_is_passed_over);
	tcase_add_test(tc, unknown_kind_is_passed_over);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
