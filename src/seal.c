#include "seal.h"
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define SEAL_MAGIC   0xc7
#define SEAL_VERSION 1
#define TAG_BYTES    16
/*
 * Offsets in the header. The tag is at offset 0, so that the bytes that it
 * authenticates are contiguous. Numbers are little-endian.
 */
#define OFF_MAGIC     16
#define OFF_VERSION   17
#define OFF_KIND      18
#define OFF_RESERVED  19
#define OFF_SESSION   20
#define OFF_SEQ	      28
#define OFF_TIMESTAMP 36

/*
 * Sequence numbers, counted back from the greatest one seen, for which the
 * receiver knows whether they were seen. Older ones are rejected.
 */
#define REPLAY_WINDOW_BITS 4096
/* The session table is set-associative: only one set is searched. */
#define SESSION_SETS	 256
#define SESSIONS_PER_SET 16
/*
 * Time since the last message of a session after which none of its messages is
 * fresh: a message may be timestamped SEAL_SKEW_MS ahead of the receiver's
 * clock, and is fresh until that clock is SEAL_SKEW_MS past the timestamp.
 */
#define SESSION_KEEP_MS (2 * SEAL_SKEW_MS + 1000)

typedef struct session {
	uint64_t id;		   /* 0 when unused */
	uint64_t max_seq;	   /* greatest sequence number seen */
	uint64_t last_received_ms; /* receiver's clock at the last message */
	uint64_t max_timestamp_ms; /* greatest timestamp of a message */
	uint64_t *seen;		   /* bitmap of sequence numbers, owned */
} session_t;

/* Sessions with the same id modulo SESSION_SETS. */
typedef struct session_set {
	session_t sessions[SESSIONS_PER_SET];
	uint64_t min_timestamp_ms; /* new sessions need a later one */
} session_set_t;

struct seal {
	uint8_t key[crypto_shorthash_siphashx24_KEYBYTES];
	uint8_t alt_key[crypto_shorthash_siphashx24_KEYBYTES];
	int has_alt_key;   /* alt_key is valid */
	uint64_t session;  /* id in messages sent; never 0 */
	uint64_t last_seq; /* number of the last message sent */
	session_set_t sets[SESSION_SETS];
};

static void put_le64(uint8_t *p, uint64_t v);
static uint64_t get_le64(const uint8_t *p);
static void derive_tag_key(uint8_t *out, const uint8_t key[SEAL_KEY_BYTES]);
static void compute_tag(const uint8_t *key, const uint8_t *buf, size_t len,
			uint8_t tag[TAG_BYTES]);
static int tag_matches(const uint8_t *key, const uint8_t *buf, size_t len);
static void session_evict(session_set_t *set, session_t *s, uint64_t wall_ms);
static session_t *session_find_or_add(seal_t *seal, uint64_t id,
				      uint64_t timestamp_ms, uint64_t wall_ms);
static int session_check_seq(session_t *s, uint64_t seq);
static int hex_value(int c);

static void put_le64(uint8_t *p, uint64_t v)
{
	for (int i = 0; i < 8; i++)
		p[i] = (uint8_t)(v >> (8 * i));
}

static uint64_t get_le64(const uint8_t *p)
{
	uint64_t v = 0;

	for (int i = 0; i < 8; i++)
		v |= (uint64_t)p[i] << (8 * i);
	return v;
}

/* Derives the key of the tags from the key in the file. */
static void derive_tag_key(uint8_t *out, const uint8_t key[SEAL_KEY_BYTES])
{
	crypto_generichash(out, crypto_shorthash_siphashx24_KEYBYTES,
			   (const uint8_t *)"seal", 4, key, SEAL_KEY_BYTES);
}

void seal_set_alt_key(seal_t *seal, const uint8_t key[SEAL_KEY_BYTES])
{
	derive_tag_key(seal->alt_key, key);
	seal->has_alt_key = 1;
}

seal_t *seal_new(const uint8_t key[SEAL_KEY_BYTES], uint64_t session)
{
	seal_t *seal = calloc(1, sizeof(*seal));

	if (!seal)
		return NULL;
	derive_tag_key(seal->key, key);
	seal->session = session ? session : 1;
	return seal;
}

void seal_free(seal_t *seal)
{
	if (!seal)
		return;
	for (size_t i = 0; i < SESSION_SETS; i++)
		for (size_t j = 0; j < SESSIONS_PER_SET; j++)
			free(seal->sets[i].sessions[j].seen);
	sodium_memzero(seal, sizeof(*seal));
	free(seal);
}

static int hex_value(int c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Refuses a key file that others can access or that its group can write. */
static int check_key_file_mode(const char *file, FILE *f, err_t *err)
{
	char remedy[200];
	struct stat st;

	if (fstat(fileno(f), &st) == 0 && !(st.st_mode & (S_IRWXO | S_IWGRP)))
		return 0;
	snprintf(remedy, sizeof(remedy), "run: chmod 0600 %.150s", file);
	return err_set(err, ERR_AUTH, file, 0, remedy,
		       "key file is accessible to other users or "
		       "writable by its group");
}

int seal_read_key(const char *file, uint8_t key[SEAL_KEY_BYTES], err_t *err)
{
	static const char remedy[] =
		"write 64 hexadecimal digits to it, the same on every host";
	FILE *f = fopen(file, "r");
	size_t digits = 0;
	int ret = -1;
	int c;

	if (!f)
		return err_set(err, ERR_IO, file, 0, remedy,
			       "cannot open key file: %s", strerror(errno));
	if (check_key_file_mode(file, f, err) < 0)
		goto out;
	while ((c = fgetc(f)) != EOF) {
		int v = hex_value(c);

		if (c == '\n' || c == ' ' || c == '\r')
			continue;
		if (v < 0 || digits >= 2 * (size_t)SEAL_KEY_BYTES) {
			err_set(err, ERR_AUTH, file, 0, remedy,
				"key file has more than 64 digits, or a "
				"character that is not a hexadecimal digit");
			goto out;
		}
		key[digits / 2] =
			(uint8_t)(digits % 2 ? key[digits / 2] << 4 | v : v);
		digits++;
	}
	if (digits != 2 * (size_t)SEAL_KEY_BYTES) {
		err_set(err, ERR_AUTH, file, 0, remedy,
			"key file has fewer than 64 hexadecimal digits");
		goto out;
	}
	ret = 0;
out:
	fclose(f);
	return ret;
}

uint64_t seal_rank_seed(const uint8_t key[SEAL_KEY_BYTES])
{
	uint8_t out[16];

	crypto_generichash(out, sizeof(out), (const uint8_t *)"rank", 4, key,
			   SEAL_KEY_BYTES);
	return get_le64(out);
}

static void compute_tag(const uint8_t *key, const uint8_t *buf, size_t len,
			uint8_t tag[TAG_BYTES])
{
	crypto_shorthash_siphashx24(tag, buf + TAG_BYTES, len - TAG_BYTES, key);
}

static int tag_matches(const uint8_t *key, const uint8_t *buf, size_t len)
{
	uint8_t tag[TAG_BYTES];

	compute_tag(key, buf, len, tag);
	return sodium_memcmp(tag, buf, sizeof(tag)) == 0;
}

size_t seal_message(seal_t *seal, uint8_t kind, uint64_t wall_ms, uint8_t *buf,
		    size_t body_len)
{
	size_t len = SEAL_HEADER_LEN + body_len;

	buf[OFF_MAGIC] = SEAL_MAGIC;
	buf[OFF_VERSION] = SEAL_VERSION;
	buf[OFF_KIND] = kind;
	buf[OFF_RESERVED] = 0;
	put_le64(buf + OFF_SESSION, seal->session);
	put_le64(buf + OFF_SEQ, ++seal->last_seq);
	put_le64(buf + OFF_TIMESTAMP, wall_ms);
	compute_tag(seal->key, buf, len, buf);
	return len;
}

void seal_set_start(seal_t *seal, uint64_t wall_ms)
{
	for (size_t i = 0; i < SESSION_SETS; i++)
		seal->sets[i].min_timestamp_ms = wall_ms - SEAL_START_SKEW_MS;
}

/*
 * Prepares a session's entry for another session. While messages of the evicted
 * session are fresh, min_timestamp_ms keeps them rejected.
 */
static void session_evict(session_set_t *set, session_t *s, uint64_t wall_ms)
{
	if (s->last_received_ms + SESSION_KEEP_MS > wall_ms &&
	    s->max_timestamp_ms > set->min_timestamp_ms)
		set->min_timestamp_ms = s->max_timestamp_ms;
	memset(s->seen, 0, REPLAY_WINDOW_BITS / 8);
}

/*
 * Finds a session, or adds it in the place of the one from which nothing was
 * received for longest. Returns NULL if the message may be a replay or memory
 * is exhausted.
 */
static session_t *session_find_or_add(seal_t *seal, uint64_t id,
				      uint64_t timestamp_ms, uint64_t wall_ms)
{
	session_set_t *set = &seal->sets[id % SESSION_SETS];
	session_t *oldest = &set->sessions[0];

	for (size_t i = 0; i < SESSIONS_PER_SET; i++) {
		session_t *s = &set->sessions[i];

		if (s->id == id)
			return s;
		if (s->last_received_ms < oldest->last_received_ms)
			oldest = s;
	}
	if (timestamp_ms <= set->min_timestamp_ms)
		return NULL;
	if (!oldest->seen)
		oldest->seen = calloc(1, REPLAY_WINDOW_BITS / 8);
	if (!oldest->seen)
		return NULL;
	if (oldest->id)
		session_evict(set, oldest, wall_ms);
	oldest->id = id;
	oldest->max_seq = 0;
	oldest->max_timestamp_ms = 0;
	return oldest;
}

/*
 * Returns 0 and marks a sequence number as seen, or returns -1 if it was seen
 * before or is older than the window.
 */
static int session_check_seq(session_t *s, uint64_t seq)
{
	uint64_t bit = seq % REPLAY_WINDOW_BITS;
	uint64_t mask = 1ULL << (bit % 64);

	if (seq + REPLAY_WINDOW_BITS <= s->max_seq || seq == 0)
		return -1;
	if (seq > s->max_seq) {
		uint64_t from = s->max_seq + 1;

		if (seq - s->max_seq >= REPLAY_WINDOW_BITS) {
			memset(s->seen, 0, REPLAY_WINDOW_BITS / 8);
			from = seq;
		}
		for (uint64_t n = from; n <= seq; n++)
			s->seen[n % REPLAY_WINDOW_BITS / 64] &=
				~(1ULL << (n % 64));
		s->max_seq = seq;
	} else if (s->seen[bit / 64] & mask) {
		return -1;
	}
	s->seen[bit / 64] |= mask;
	return 0;
}

seal_status_t seal_open(seal_t *seal, uint64_t wall_ms, const uint8_t *buf,
			size_t len, uint8_t *kind, const uint8_t **body,
			size_t *body_len)
{
	uint64_t timestamp_ms;
	session_t *s;

	if (len < SEAL_HEADER_LEN)
		return SEAL_SHORT;
	if (buf[OFF_MAGIC] != SEAL_MAGIC || buf[OFF_VERSION] != SEAL_VERSION)
		return SEAL_FOREIGN;
	if (!tag_matches(seal->key, buf, len) &&
	    !(seal->has_alt_key && tag_matches(seal->alt_key, buf, len)))
		return SEAL_FORGED;
	timestamp_ms = get_le64(buf + OFF_TIMESTAMP);
	if (timestamp_ms + SEAL_SKEW_MS < wall_ms ||
	    timestamp_ms > wall_ms + SEAL_SKEW_MS)
		return SEAL_STALE;
	s = session_find_or_add(seal, get_le64(buf + OFF_SESSION), timestamp_ms,
				wall_ms);
	if (!s || session_check_seq(s, get_le64(buf + OFF_SEQ)) < 0)
		return SEAL_REPLAYED;
	s->last_received_ms = wall_ms;
	if (s->max_timestamp_ms < timestamp_ms)
		s->max_timestamp_ms = timestamp_ms;
	*kind = buf[OFF_KIND];
	*body = buf + SEAL_HEADER_LEN;
	*body_len = len - SEAL_HEADER_LEN;
	return SEAL_OK;
}

const char *seal_status_name(seal_status_t status)
{
	static const char *const names[SEAL_STATUSES] = {
		"ok", "short", "foreign", "forged", "stale", "replayed",
	};

	return status < SEAL_STATUSES ? names[status] : "unknown";
}
