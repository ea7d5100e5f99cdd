#include "packet.h"
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define IPV4_DF		 0x4000
#define IPV4_TTL	 64
#define IPV4_MF		 0x2000
#define IPV4_OFFSET_MASK 0x1fff

static uint16_t get16(const uint8_t *p);
static uint32_t get32(const uint8_t *p);
static void put16(uint8_t *p, uint16_t v);
static void put32(uint8_t *p, uint32_t v);
static uint32_t checksum_add(const uint8_t *p, size_t len, uint32_t sum);
static uint16_t checksum_fold(uint32_t sum);
static packet_status_t parse_tcp(const uint8_t *p, size_t len, packet_t *out);
static packet_status_t parse_udp(const uint8_t *p, size_t len, packet_t *out);
static void build_ipv4(const flow_key_t *key, size_t total, uint8_t *buf);
static uint16_t transport_checksum(const flow_key_t *key, const uint8_t *p,
				   size_t len);

static uint16_t get16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t get32(const uint8_t *p)
{
	return (uint32_t)get16(p) << 16 | get16(p + 2);
}

static void put16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put32(uint8_t *p, uint32_t v)
{
	put16(p, (uint16_t)(v >> 16));
	put16(p + 2, (uint16_t)v);
}

static uint32_t checksum_add(const uint8_t *p, size_t len, uint32_t sum)
{
	for (; len > 1; p += 2, len -= 2)
		sum += get16(p);
	if (len)
		sum += (uint32_t)p[0] << 8;
	return sum;
}

static uint16_t checksum_fold(uint32_t sum)
{
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

static packet_status_t parse_tcp(const uint8_t *p, size_t len, packet_t *out)
{
	const uint8_t control_flags = TCP_SYN | TCP_FIN | TCP_RST;
	size_t offset;
	uint8_t control;

	if (len < TCP_HEADER_LEN)
		return PACKET_TRUNCATED;
	offset = (size_t)(p[12] >> 4) * 4;
	if (offset < TCP_HEADER_LEN || offset > len)
		return PACKET_BAD_TCP;
	out->flags = p[13] & 0x3f;
	control = out->flags & control_flags;
	if (control & (control - 1))
		return PACKET_BAD_TCP;
	if (!(out->flags & (control_flags | TCP_ACK)))
		return PACKET_BAD_TCP;
	out->seq = get32(p + 4);
	out->ack = get32(p + 8);
	out->window = get16(p + 14);
	out->payload = p + offset;
	out->payload_len = len - offset;
	return PACKET_OK;
}

static packet_status_t parse_udp(const uint8_t *p, size_t len, packet_t *out)
{
	if (len < UDP_HEADER_LEN)
		return PACKET_TRUNCATED;
	if (get16(p + 4) < UDP_HEADER_LEN || get16(p + 4) > len)
		return PACKET_BAD_UDP;
	out->payload = p + UDP_HEADER_LEN;
	out->payload_len = get16(p + 4) - (size_t)UDP_HEADER_LEN;
	return PACKET_OK;
}

packet_status_t packet_parse(const uint8_t *buf, size_t len, packet_t *out)
{
	size_t hlen, total;

	memset(out, 0, sizeof(*out));
	if (len < IPV4_HEADER_LEN)
		return PACKET_TRUNCATED;
	if (len > PACKET_MAX)
		return PACKET_OVERSIZED;
	if (buf[0] >> 4 != 4)
		return PACKET_NOT_IPV4;
	hlen = (size_t)(buf[0] & 15) * 4;
	total = get16(buf + 2);
	if (hlen < IPV4_HEADER_LEN || total < hlen)
		return PACKET_BAD_HEADER;
	if (total > len)
		return PACKET_TRUNCATED;
	if (checksum_fold(checksum_add(buf, hlen, 0)))
		return PACKET_BAD_CHECKSUM;
	if (get16(buf + 6) & (IPV4_MF | IPV4_OFFSET_MASK))
		return PACKET_FRAGMENT;
	out->data = buf;
	out->len = total;
	out->key.proto = buf[9];
	if (out->key.proto != PROTO_TCP && out->key.proto != PROTO_UDP)
		return PACKET_PROTOCOL;
	if (total - hlen < 4)
		return PACKET_TRUNCATED;
	out->key.src = get32(buf + 12);
	out->key.dst = get32(buf + 16);
	out->key.sport = get16(buf + hlen);
	out->key.dport = get16(buf + hlen + 2);
	if (out->key.proto == PROTO_TCP)
		return parse_tcp(buf + hlen, total - hlen, out);
	return parse_udp(buf + hlen, total - hlen, out);
}

int packet_peek(const uint8_t *buf, size_t len, flow_key_t *key)
{
	if (len < IPV4_HEADER_LEN + 4 || buf[0] != 0x45)
		return -1;
	key->proto = buf[9];
	key->src = get32(buf + 12);
	key->dst = get32(buf + 16);
	key->sport = get16(buf + IPV4_HEADER_LEN);
	key->dport = get16(buf + IPV4_HEADER_LEN + 2);
	return 0;
}

const char *packet_status_name(packet_status_t status)
{
	static const char *const names[PACKET_STATUSES] = {
		"ok",	      "truncated",    "oversized", "not-ipv4",
		"bad-header", "bad-checksum", "fragment",  "protocol",
		"bad-tcp",    "bad-udp",
	};

	return status < PACKET_STATUSES ? names[status] : "unknown";
}

int packet_is_open(const packet_t *p)
{
	return p->key.proto == PROTO_TCP &&
	       (p->flags & (TCP_SYN | TCP_ACK)) == TCP_SYN;
}

static void build_ipv4(const flow_key_t *key, size_t total, uint8_t *buf)
{
	memset(buf, 0, IPV4_HEADER_LEN);
	buf[0] = 0x45;
	put16(buf + 2, (uint16_t)total);
	put16(buf + 6, IPV4_DF);
	buf[8] = IPV4_TTL;
	buf[9] = key->proto;
	put32(buf + 12, key->src);
	put32(buf + 16, key->dst);
	put16(buf + 10, checksum_fold(checksum_add(buf, IPV4_HEADER_LEN, 0)));
}

static uint16_t transport_checksum(const flow_key_t *key, const uint8_t *p,
				   size_t len)
{
	uint32_t sum = key->proto + (uint32_t)len;

	sum += (key->src >> 16) + (key->src & 0xffff);
	sum += (key->dst >> 16) + (key->dst & 0xffff);
	return checksum_fold(checksum_add(p, len, sum));
}

size_t packet_build(const packet_t *p, uint8_t *buf)
{
	int tcp = p->key.proto == PROTO_TCP;
	size_t header_len = tcp ? TCP_HEADER_LEN : UDP_HEADER_LEN;
	size_t total = IPV4_HEADER_LEN + header_len + p->payload_len;
	uint8_t *t = buf + IPV4_HEADER_LEN;

	if (total > PACKET_MAX)
		return 0;
	build_ipv4(&p->key, total, buf);
	memset(t, 0, header_len);
	put16(t, p->key.sport);
	put16(t + 2, p->key.dport);
	if (tcp) {
		put32(t + 4, p->seq);
		put32(t + 8, p->ack);
		t[12] = TCP_HEADER_LEN / 4 << 4;
		t[13] = p->flags;
		put16(t + 14, p->window);
	} else {
		put16(t + 4, (uint16_t)(total - IPV4_HEADER_LEN));
	}
	if (p->payload_len)
		memcpy(t + header_len, p->payload, p->payload_len);
	put16(t + (tcp ? 16 : 6),
	      transport_checksum(&p->key, t, total - IPV4_HEADER_LEN));
	return total;
}

size_t packet_build_reset(const packet_t *p, const char *reason, uint8_t *buf)
{
	packet_t r = { .key = flow_key_reverse(&p->key), .flags = TCP_RST };

	if (p->key.proto != PROTO_TCP || p->flags & TCP_RST)
		return 0;
	if (p->flags & TCP_ACK) {
		r.seq = p->ack;
	} else {
		r.flags |= TCP_ACK;
		r.ack = p->seq + (uint32_t)p->payload_len;
		r.ack += p->flags & (TCP_SYN | TCP_FIN) ? 1 : 0;
	}
	r.payload = (const uint8_t *)reason;
	r.payload_len = strlen(reason);
	return packet_build(&r, buf);
}

flow_key_t flow_key_reverse(const flow_key_t *key)
{
	flow_key_t r = { key->dst, key->src, key->dport, key->sport,
			 key->proto };

	return r;
}

int flow_key_equal(const flow_key_t *a, const flow_key_t *b)
{
	return a->src == b->src && a->dst == b->dst && a->sport == b->sport &&
	       a->dport == b->dport && a->proto == b->proto;
}

uint64_t flow_key_hash(const flow_key_t *key, uint64_t seed)
{
	uint8_t flat[13];

	put32(flat, key->src);
	put32(flat + 4, key->dst);
	put16(flat + 8, key->sport);
	put16(flat + 10, key->dport);
	flat[12] = key->proto;
	return XXH3_64bits_withSeed(flat, sizeof(flat), seed);
}

int32_t seq_diff(uint32_t a, uint32_t b)
{
	return (int32_t)(a - b);
}
