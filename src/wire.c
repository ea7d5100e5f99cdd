#include "wire.h"
#include <stdlib.h>
#include <string.h>

/* Initial size of an arena: fits a MSG_PACKET with its lists. */
#define ARENA_INITIAL_BYTES 8192
/* Maximum packed size of a field: its tag, and a number or a length. */
#define FIELD_MAX_BYTES 16

typedef struct kind_info {
	const char *name;
	const ProtobufCMessageDescriptor *desc;
} kind_info_t;

static const kind_info_t kinds[MSG_KINDS] = {
	[MSG_PACKET] = { "packet", &ct__packet__descriptor },
	[MSG_HELD] = { "held", &ct__held__descriptor },
	[MSG_DIGEST] = { "digest", &ct__digest__descriptor },
	[MSG_PROBE] = { "probe", &ct__probe__descriptor },
	[MSG_HELLO] = { "hello", &ct__hello__descriptor },
	[MSG_CONFIG_PULL] = { "config-pull", &ct__config_pull__descriptor },
	[MSG_CONFIG_REPLY] = { "config-reply", &ct__config_reply__descriptor },
	[MSG_HANDOVER] = { "handover", &ct__handover__descriptor },
	[MSG_WITNESS] = { "witness", &ct__witness__descriptor },
	[MSG_QUERY] = { "query", &ct__query__descriptor },
	[MSG_ANSWER] = { "answer", &ct__answer__descriptor },
};

static void *arena_alloc(void *data, size_t size);
static void arena_free(void *data, void *ptr);
static int arena_spill(wire_arena_t *arena, void *ptr);
static void arena_reset(wire_arena_t *arena);
static size_t packed_size_bound(const ProtobufCMessage *msg);

static int arena_spill(wire_arena_t *arena, void *ptr)
{
	size_t bytes = (arena->nspilled + 1) * sizeof(void *);
	void **grown = realloc(arena->spilled, bytes);

	if (!grown)
		return -1;
	arena->spilled = grown;
	arena->spilled[arena->nspilled++] = ptr;
	return 0;
}

static void *arena_alloc(void *data, size_t size)
{
	wire_arena_t *arena = data;
	size_t need = (size + 15) & ~(size_t)15;
	void *ptr;

	if (need <= arena->size - arena->used) {
		ptr = arena->base + arena->used;
		arena->used += need;
		return ptr;
	}
	ptr = malloc(size);
	if (ptr && arena_spill(arena, ptr) < 0) {
		free(ptr);
		ptr = NULL;
	}
	return ptr;
}

/* Does nothing: arena_reset() reclaims all memory. */
static void arena_free(void *data, void *ptr)
{
	(void)data;
	(void)ptr;
}

static void arena_reset(wire_arena_t *arena)
{
	for (size_t i = 0; i < arena->nspilled; i++)
		free(arena->spilled[i]);
	arena->nspilled = 0;
	arena->used = 0;
	if (!arena->base) {
		arena->base = malloc(ARENA_INITIAL_BYTES);
		arena->size = arena->base ? ARENA_INITIAL_BYTES : 0;
	}
}

void *wire_unpack(wire_arena_t *arena, msg_kind_t kind, const uint8_t *body,
		  size_t len)
{
	ProtobufCAllocator alloc = { arena_alloc, arena_free, arena };

	if (kind <= MSG_NONE || kind >= MSG_KINDS)
		return NULL;
	arena_reset(arena);
	return protobuf_c_message_unpack(kinds[kind].desc, &alloc, len, body);
}

void wire_arena_clear(wire_arena_t *arena)
{
	arena_reset(arena);
	free(arena->spilled);
	free(arena->base);
	memset(arena, 0, sizeof(*arena));
}

size_t wire_size(const void *msg)
{
	return protobuf_c_message_get_packed_size(msg);
}

size_t wire_pack(const void *msg, uint8_t *buf)
{
	return protobuf_c_message_pack(msg, buf);
}

/*
 * Returns an upper bound of the packed size, computed without encoding each
 * value, or SIZE_MAX if the message has fields for which that is not possible.
 */
static size_t packed_size_bound(const ProtobufCMessage *msg)
{
	const ProtobufCMessageDescriptor *d = msg->descriptor;
	const char *base = (const char *)msg;
	size_t bound = 0;

	if (msg->n_unknown_fields)
		return SIZE_MAX;
	for (unsigned i = 0; i < d->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &d->fields[i];
		const void *field = base + f->offset;

		bound += FIELD_MAX_BYTES;
		if (f->type == PROTOBUF_C_TYPE_MESSAGE ||
		    f->type == PROTOBUF_C_TYPE_STRING)
			return SIZE_MAX;
		if (f->label == PROTOBUF_C_LABEL_REPEATED) {
			const void *n = base + f->quantifier_offset;

			if (f->type == PROTOBUF_C_TYPE_BYTES)
				return SIZE_MAX;
			bound += *(const size_t *)n * FIELD_MAX_BYTES;
		} else if (f->type == PROTOBUF_C_TYPE_BYTES) {
			bound += ((const ProtobufCBinaryData *)field)->len;
		}
	}
	return bound;
}

size_t wire_pack_within(const void *msg, uint8_t *buf, size_t size)
{
	if (packed_size_bound(msg) > size && wire_size(msg) > size)
		return 0;
	return wire_pack(msg, buf);
}

const char *wire_kind_name(msg_kind_t kind)
{
	if (kind <= MSG_NONE || kind >= MSG_KINDS)
		return "unknown";
	return kinds[kind].name;
}
