/*
 * test_packet - parsing and building of packets and resets, hashes of flow
 * keys, and differences of sequence numbers
 *
 * Each malformed packet must be rejected with its own status and counted under
 * its own reason by the balancer; no read may go beyond the packet.
 */

#include "../src/balancer.h"
#include "../src/packet.h"
#include "runner.h"
#include <string.h>

#define SRC	 0xcb007101 /* 203.0.113.1 */
#define DST	 0xc633640a /* 198.51.100.10 */
#define BUF_SIZE 10000

static uint8_t buf[BUF_SIZE];

static size_t build(uint8_t proto, uint8_t flags, const char *payload)
{
	packet_t p = { .key = { SRC, DST, 40000, 6001, proto },
		       .flags = flags,
		       .seq = 100,
		       .ack = 200,
		       .window = 300,
		       .payload = (const uint8_t *)payload,
		       .payload_len = strlen(payload) };

	return packet_build(&p, buf);
}

static void fix_checksum(void)
{
	uint32_t sum = 0;

	buf[10] = buf[11] = 0;
	for (int i = 0; i < (buf[0] & 15) * 4; i += 2)
		sum += (uint32_t)buf[i] << 8 | buf[i + 1];
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	buf[10] = (uint8_t)(~sum >> 8);
	buf[11] = (uint8_t)~sum;
}

/* A change to a valid packet with 5 bytes of payload, and its parse status. */
static const struct defect {
	const char *name;
	uint8_t proto;
	int at;	      /* offset of the byte changed, -1 for none */
	int value;    /* new value of the byte */
	int len;      /* bytes parsed, 0 for all */
	int checksum; /* correct the IPv4 checksum after the change */
	packet_status_t status;
} defects[] = {
	{ "good TCP", PROTO_TCP, -1, 0, 0, 1, PACKET_OK },
	{ "good UDP", PROTO_UDP, -1, 0, 0, 1, PACKET_OK },
	{ "1 byte", PROTO_TCP, -1, 0, 1, 0, PACKET_TRUNCATED },
	{ "19 bytes", PROTO_TCP, -1, 0, 19, 0, PACKET_TRUNCATED },
	{ "1 byte short", PROTO_TCP, -1, 0, 44, 0, PACKET_TRUNCATED },
	{ "no ports", PROTO_TCP, 3, 23, 0, 1, PACKET_TRUNCATED },
	{ "half a TCP header", PROTO_TCP, 3, 30, 0, 1, PACKET_TRUNCATED },
	{ "half a UDP header", PROTO_UDP, 3, 25, 0, 1, PACKET_TRUNCATED },
	{ "oversized", PROTO_TCP, -1, 0, PACKET_MAX + 1, 0, PACKET_OVERSIZED },
	{ "IPv6", PROTO_TCP, 0, 0x65, 0, 1, PACKET_NOT_IPV4 },
	{ "header of 16 bytes", PROTO_TCP, 0, 0x44, 0, 0, PACKET_BAD_HEADER },
	{ "total length below header length", PROTO_TCP, 3, 10, 0, 1,
	  PACKET_BAD_HEADER },
	{ "wrong checksum", PROTO_TCP, 8, 63, 0, 0, PACKET_BAD_CHECKSUM },
	{ "first fragment", PROTO_TCP, 6, 0x20, 0, 1, PACKET_FRAGMENT },
	{ "later fragment", PROTO_TCP, 7, 5, 0, 1, PACKET_FRAGMENT },
	{ "ICMP", PROTO_TCP, 9, PROTO_ICMP, 0, 1, PACKET_PROTOCOL },
	{ "data offset of 16 bytes", PROTO_TCP, 32, 0x40, 0, 1,
	  PACKET_BAD_TCP },
	{ "data offset of 60 bytes", PROTO_TCP, 32, 0xf0, 0, 1,
	  PACKET_BAD_TCP },
	{ "SYN and FIN", PROTO_TCP, 33, TCP_SYN | TCP_FIN, 0, 1,
	  PACKET_BAD_TCP },
	{ "SYN and RST", PROTO_TCP, 33, TCP_SYN | TCP_RST, 0, 1,
	  PACKET_BAD_TCP },
	{ "no flags", PROTO_TCP, 33, 0, 0, 1, PACKET_BAD_TCP },
	{ "UDP length 7", PROTO_UDP, 25, 7, 0, 1, PACKET_BAD_UDP },
	{ "UDP length 14", PROTO_UDP, 25, 14, 0, 1, PACKET_BAD_UDP },
};
#define DEFECTS (sizeof(defects) / sizeof(*defects))

static size_t make_packet(const struct defect *d)
{
	size_t len;

	memset(buf, 0, sizeof(buf));
	len = build(d->proto, TCP_ACK, "hello");
	if (d->at >= 0)
		buf[d->at] = (uint8_t)d->value;
	if (d->checksum)
		fix_checksum();
	return d->len ? (size_t)d->len : len;
}

START_TEST(malformed_packet_has_its_status)
{
	for (size_t i = 0; i < DEFECTS; i++) {
		size_t len = make_packet(&defects[i]);
		/* Exact heap block: a sanitizer reports reads beyond it. */
		uint8_t *exact = malloc(len);
		packet_status_t status;
		packet_t p;

		memcpy(exact, buf, len);
		status = packet_parse(exact, len, &p);
		free(exact);
		ck_assert_msg(status == defects[i].status, "%s: %s",
			      defects[i].name, packet_status_name(status));
	}
}
END_TEST

static void count_send(void *ctx, const endpoint_t *to, msg_kind_t kind,
		       const void *msg)
{
	(void)to;
	(void)kind;
	(void)msg;
	++*(int *)ctx;
}

/* The balancer counts each malformed packet by reason and forwards none. */
START_TEST(malformed_packet_is_counted_by_reason)
{
	static const balancer_ops_t ops = { .send = count_send };
	balancer_options_t options = { .cache_flows = 16 };
	int sent = 0;
	balancer_t *b = balancer_new(&options, &ops, &sent);
	uint64_t want[PACKET_STATUSES] = { 0 };

	for (size_t i = 0; i < DEFECTS; i++) {
		balancer_packet(b, 1, buf, make_packet(&defects[i]));
		want[defects[i].status]++;
	}
	for (int s = PACKET_TRUNCATED; s < PACKET_STATUSES; s++) {
		ck_assert_uint_gt(want[s], 0);
		ck_assert_uint_eq(
			balancer_counters(b)
				->values[COUNTER_DROP_TRUNCATED + s - 1],
			want[s]);
	}
	ck_assert_uint_eq(balancer_counters(b)->values[COUNTER_DROP_NO_CONFIG],
			  want[PACKET_OK]);
	ck_assert_int_eq(sent, 0);
	balancer_free(b);
}
END_TEST

/* Each proper prefix of a valid packet is rejected, without reads beyond it. */
START_TEST(every_prefix_is_truncated)
{
	static const uint8_t protos[] = { PROTO_TCP, PROTO_UDP };
	packet_t p;

	for (int i = 0; i < 2; i++) {
		size_t len = build(protos[i], TCP_ACK, "0123456789");

		for (size_t cut = 0; cut < len; cut++) {
			uint8_t *exact = malloc(cut + 1);

			memcpy(exact, buf, cut);
			ck_assert_int_eq(packet_parse(exact, cut, &p),
					 PACKET_TRUNCATED);
			free(exact);
		}
	}
}
END_TEST

START_TEST(built_packet_parses_to_same_fields)
{
	static const uint8_t flags[] = { TCP_SYN,	    TCP_SYN | TCP_ACK,
					 TCP_ACK,	    TCP_ACK | TCP_PSH,
					 TCP_FIN | TCP_ACK, TCP_RST };
	static uint8_t payload[PACKET_MAX];
	static const size_t lens[] = { 0, 1, 2, 1460, PACKET_MAX - 40 };

	for (size_t i = 0; i < sizeof(payload); i++)
		payload[i] = (uint8_t)(i * 7);
	for (size_t f = 0; f <= sizeof(flags); f++)
		for (size_t l = 0; l < 5; l++) {
			int udp = f == sizeof(flags);
			packet_t in = { .key = { SRC, DST, 1, 65535,
						 udp ? PROTO_UDP : PROTO_TCP },
					.flags = udp ? 0 : flags[f],
					.seq = 0xfffffff0,
					.ack = udp ? 0 : 7,
					.window = 9,
					.payload = payload,
					.payload_len = lens[l] };
			packet_t out;
			size_t len = packet_build(&in, buf);

			ck_assert_uint_gt(len, 0);
			ck_assert_int_eq(packet_parse(buf, len, &out),
					 PACKET_OK);
			ck_assert(flow_key_equal(&in.key, &out.key));
			ck_assert_uint_eq(out.payload_len, lens[l]);
			ck_assert_int_eq(memcmp(out.payload, payload, lens[l]),
					 0);
			if (udp)
				continue;
			ck_assert_uint_eq(out.seq, in.seq);
			ck_assert_uint_eq(out.ack, in.ack);
			ck_assert_uint_eq(out.window, in.window);
			ck_assert_uint_eq(out.flags, in.flags);
		}
}
END_TEST

START_TEST(oversized_packet_is_not_built)
{
	static uint8_t payload[PACKET_MAX];
	packet_t p = { .key = { SRC, DST, 1, 2, PROTO_TCP },
		       .flags = TCP_ACK,
		       .payload = payload,
		       .payload_len = PACKET_MAX - 39 };

	ck_assert_uint_eq(packet_build(&p, buf), 0);
}
END_TEST

/*
 * RFC 793 3.4: the sequence number of a reset is the acknowledgement number of
 * the packet; if the packet has none, the reset acknowledges all of the packet.
 */
START_TEST(reset_has_acceptable_seq_and_ack)
{
	static const struct {
		const char *payload;
		uint32_t seq, ack;
		uint8_t flags, reset;
	} cases[] = {
		{ "", 0, 101, TCP_SYN, TCP_RST | TCP_ACK },
		{ "data", 0, 105, TCP_SYN, TCP_RST | TCP_ACK },
		{ "data", 200, 0, TCP_ACK, TCP_RST },
		{ "", 200, 0, TCP_FIN | TCP_ACK, TCP_RST },
		{ "", 0, 101, TCP_FIN, TCP_RST | TCP_ACK },
	};
	static uint8_t reset[PACKET_MAX];
	packet_t p, r;

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		size_t len = build(PROTO_TCP, cases[i].flags, cases[i].payload);

		ck_assert_int_eq(packet_parse(buf, len, &p), PACKET_OK);
		len = packet_build_reset(&p, "why", reset);
		ck_assert_int_eq(packet_parse(reset, len, &r), PACKET_OK);
		ck_assert_uint_eq(r.flags, cases[i].reset);
		ck_assert_uint_eq(r.seq, cases[i].seq);
		ck_assert_uint_eq(r.ack, cases[i].ack);
		ck_assert_uint_eq(r.key.src, DST);
		ck_assert_uint_eq(r.key.dport, 40000);
		ck_assert_uint_eq(r.payload_len, 3);
		ck_assert_int_eq(memcmp(r.payload, "why", 3), 0);
	}
	packet_parse(buf, build(PROTO_TCP, TCP_RST, ""), &p);
	ck_assert_uint_eq(packet_build_reset(&p, "why", reset), 0);
	packet_parse(buf, build(PROTO_UDP, 0, ""), &p);
	ck_assert_uint_eq(packet_build_reset(&p, "why", reset), 0);
}
END_TEST

START_TEST(hash_depends_on_each_part_of_the_key)
{
	const flow_key_t key = { SRC, DST, 40000, 6001, PROTO_TCP };
	const flow_key_t others[] = {
		{ SRC + 1, DST, 40000, 6001, PROTO_TCP },
		{ SRC, DST + 1, 40000, 6001, PROTO_TCP },
		{ SRC, DST, 40001, 6001, PROTO_TCP },
		{ SRC, DST, 40000, 6002, PROTO_TCP },
		{ SRC, DST, 40000, 6001, PROTO_UDP },
		flow_key_reverse(&key),
	};

	ck_assert_uint_ne(flow_key_hash(&key, 1), flow_key_hash(&key, 2));
	for (size_t i = 0; i < sizeof(others) / sizeof(*others); i++) {
		ck_assert_uint_ne(flow_key_hash(&key, 1),
				  flow_key_hash(&others[i], 1));
		ck_assert(!flow_key_equal(&key, &others[i]));
	}
}
END_TEST

START_TEST(sequence_numbers_wrap)
{
	ck_assert_int_eq(seq_diff(5, 3), 2);
	ck_assert_int_eq(seq_diff(3, 5), -2);
	ck_assert_int_eq(seq_diff(1, 0xffffffff), 2);
	ck_assert_int_eq(seq_diff(0xffffffff, 1), -2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("packet");
	TCase *tc = tcase_create("packets");

	tcase_add_test(tc, malformed_packet_has_its_status);
	tcase_add_test(tc, malformed_packet_is_counted_by_reason);
	tcase_add_test(tc, every_prefix_is_truncated);
	tcase_add_test(tc, built_packet_parses_to_same_fields);
	tcase_add_test(tc, oversized_packet_is_not_built);
	tcase_add_test(tc, reset_has_acceptable_seq_and_ack);
	tcase_add_test(tc, hash_depends_on_each_part_of_the_key);
	tcase_add_test(tc, sequence_numbers_wrap);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
