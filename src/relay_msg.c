#include "relay_msg.h"

void relay_msg_init(relay_msg_t *msg, relay_kind_t kind)
{
	ct__relay__message__init(msg);
	msg->kind = kind;
}

void relay_msg_set_key(relay_msg_t *msg, const flow_key_t *key)
{
	msg->src = key->src;
	msg->dst = key->dst;
	msg->sport = key->sport;
	msg->dport = key->dport;
}

flow_key_t relay_msg_key(const relay_msg_t *msg)
{
	flow_key_t key = { .src = msg->src,
			   .dst = msg->dst,
			   .sport = (uint16_t)msg->sport,
			   .dport = (uint16_t)msg->dport,
			   .proto = PROTO_TCP };

	return key;
}

size_t relay_msg_pack(const relay_msg_t *msg, uint8_t *buf)
{
	if (ct__relay__message__get_packed_size(msg) > RELAY_MSG_MAX)
		return 0;
	return ct__relay__message__pack(msg, buf);
}

relay_msg_t *relay_msg_unpack(const uint8_t *buf, size_t len)
{
	relay_msg_t *msg = ct__relay__message__unpack(NULL, len, buf);

	if (msg && (msg->kind == 0 || msg->kind >= RELAY_KINDS)) {
		relay_msg_free(msg);
		return NULL;
	}
	return msg;
}

void relay_msg_free(relay_msg_t *msg)
{
	if (msg)
		ct__relay__message__free_unpacked(msg, NULL);
}

const char *relay_kind_name(uint32_t kind)
{
	static const char *const names[RELAY_KINDS] = {
		"none",	   "hello",	 "load",   "offer", "taken",
		"refused", "lookup",	 "query",  "held",  "not-held",
		"unsure",  "given-back", "queued",
	};

	return kind < RELAY_KINDS ? names[kind] : "unknown";
}
