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
/* The tag comes first, so that all it covers lies in one piece. */
#define AT_MAGIC   16
#define AT_VERSION 17
#define AT_KIND	   18
#define AT_ZERO	   19
#define AT_SESSION 20
#define AT_NUMBER  28
#define AT_CLOCK   36

/* Numbers behind the newest one that can still be told apart. */
#define WINDOW_BITS 4096
/* Sessions remembered, in sets of which one is searched. */
#define SETS		256
#define WAYS		16
#define SESSION_KEEP_MS (2 * SEAL_SKEW_MS + 1000)

typedef struct session {
	uint64_t id;	   /* 0 when unused */
	uint64_t newest;   /* greatest number seen */
	uint64_t last_ms;  /* our wall clock at the last message */
	uint64_t clock_ms; /* greatest clock that a message carried */
	uint64_t *seen;	   /* WINDOW_BITS bits, owned */
} session_t;

/* Sessions whose ids fall together. */
typedef struct session_set {
	session_t sessions[WAYS];
	uint64_t floor_ms; /* an unknown session's clock must be greater */
} session_set_t;

struct seal {
	uint8_t key[crypto_shorthash_siphashx24_KEYBYTES];
	uint8_t other[crypto_shorthash_siphashx24_KEYBYTES];
	int has_other; /* messages under the other key are taken */
	uint64_t session;
	uint64_t number;
	session_set_t sets[SETS];
};

static void put64(uint8_t *p, uint64_t v);
static uint64_t get64(const uint8_t *p);
static void derive(uint8_t *out, const uint8_t key[SEAL_KEY_BYTES]);
static void tag_of(const uint8_t *key, const uint8_t *buf, size_t len,
		   uint8_t tag[TAG_BYTES]);
static int has_tag(const uint8_t *key, const uint8_t *buf, size_t len);
static void session_forget(session_set_t *set, session_t *s, uint64_t wall_ms);
static session_t *session_find(seal_t *seal, uint64_t id, uint64_t clock_ms,
			       uint64_t wall_ms);
static int session_accept(session_t *s, uint64_t number);
static int hex_value(int c);

static void put64(uint8_t *p, uint64_t v)
{
	for (int i = 0; i < 8; i++)
		p[i] = (uint8_t)(v >> (8 * i));
}

static uint64_t get64(const uint8_t *p)
{
	uint64_t v = 0;

	for (int i = 0; i < 8; i++)
		v |= (uint64_t)p[i] << (8 * i);
	return v;
}

/* Key of the tags, from the one in the file. */
static void derive(uint8_t *out, const uint8_t key[SEAL_KEY_BYTES])
{
	crypto_generichash(out, crypto_shorthash_siphashx24_KEYBYTES,
			   (const uint8_t *)"seal", 4, key, SEAL_KEY_BYTES);
}

void seal_accept(seal_t *seal, const uint8_t key[SEAL_KEY_BYTES])
{
	derive(seal->other, key);
	seal->has_other = 1;
}

seal_t *seal_new(const uint8_t key[SEAL_KEY_BYTES], uint64_t session)
{
	seal_t *seal = calloc(1, sizeof(*seal));

	if (!seal)
		return NULL;
	derive(seal->key, key);
	seal->session = session ? session : 1;
	return seal;
}

void seal_free(seal_t *seal)
{
	if (!seal)
		return;
	for (size_t i = 0; i < SETS; i++)
		for (size_t j = 0; j < WAYS; j++)
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

/* Nobody else may read the key, or write it. */
static int check_mode(const char *file, FILE *f, err_t *err)
{
	char remedy[200];
	struct stat st;

	if (fstat(fileno(f), &st) == 0 && !(st.st_mode & (S_IRWXO | S_IWGRP)))
		return 0;
	snprintf(remedy, sizeof(remedy), "run: chmod 0600 %.150s", file);
	return err_set(err, ERR_AUTH, file, 0, remedy,
		       "key file is open to other users");
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
			       "key file cannot be opened: %s",
			       strerror(errno));
	if (check_mode(file, f, err) < 0)
		goto out;
	while ((c = fgetc(f)) != EOF) {
		int v = hex_value(c);

		if (c == '\n' || c == ' ' || c == '\r')
			continue;
		if (v < 0 || digits >= 2 * (size_t)SEAL_KEY_BYTES) {
			err_set(err, ERR_AUTH, file, 0, remedy,
				"key file holds something else than a key");
			goto out;
		}
		key[digits / 2] =
			(uint8_t)(digits % 2 ? key[digits / 2] << 4 | v : v);
		digits++;
	}
	if (digits != 2 * (size_t)SEAL_KEY_BYTES) {
		err_set(err, ERR_AUTH, file, 0, remedy, "key is too short");
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
	return get64(out);
}

static void tag_of(const uint8_t *key, const uint8_t *buf, size_t len,
		   uint8_t tag[TAG_BYTES])
{
	crypto_shorthash_siphashx24(tag, buf + TAG_BYTES, len - TAG_BYTES, key);
}

static int has_tag(const uint8_t *key, const uint8_t *buf, size_t len)
{
	uint8_t tag[TAG_BYTES];

	tag_of(key, buf, len, tag);
	return sodium_memcmp(tag, buf, sizeof(tag)) == 0;
}

size_t seal_close(seal_t *seal, uint8_t kind, uint64_t wall_ms, uint8_t *buf,
		  size_t body_len)
{
	size_t len = SEAL_HEADER + body_len;

	buf[AT_MAGIC] = SEAL_MAGIC;
	buf[AT_VERSION] = SEAL_VERSION;
	buf[AT_KIND] = kind;
	buf[AT_ZERO] = 0;
	put64(buf + AT_SESSION, seal->session);
	put64(buf + AT_NUMBER, ++seal->number);
	put64(buf + AT_CLOCK, wall_ms);
	tag_of(seal->key, buf, len, buf);
	return len;
}

void seal_started(seal_t *seal, uint64_t wall_ms)
{
	for (size_t i = 0; i < SETS; i++)
		seal->sets[i].floor_ms = wall_ms - SEAL_START_SKEW_MS;
}

/* What the session has said must not be taken from a new one later. */
static void session_forget(session_set_t *set, session_t *s, uint64_t wall_ms)
{
	if (s->last_ms + SESSION_KEEP_MS > wall_ms &&
	    s->clock_ms > set->floor_ms)
		set->floor_ms = s->clock_ms;
	memset(s->seen, 0, WINDOW_BITS / 8);
}

/* Finds a session or makes one; NULL when the message may be a repeated one. */
static session_t *session_find(seal_t *seal, uint64_t id, uint64_t clock_ms,
			       uint64_t wall_ms)
{
	session_set_t *set = &seal->sets[id % SETS];
	session_t *oldest = &set->sessions[0];

	for (size_t i = 0; i < WAYS; i++) {
		session_t *s = &set->sessions[i];

		if (s->id == id)
			return s;
		if (s->last_ms < oldest->last_ms)
			oldest = s;
	}
	if (clock_ms <= set->floor_ms)
		return NULL;
	if (!oldest->seen)
		oldest->seen = calloc(1, WINDOW_BITS / 8);
	if (!oldest->seen)
		return NULL;
	if (oldest->id)
		session_forget(set, oldest, wall_ms);
	oldest->id = id;
	oldest->newest = 0;
	oldest->clock_ms = 0;
	return oldest;
}

static int session_accept(session_t *s, uint64_t number)
{
	uint64_t bit = number % WINDOW_BITS;
	uint64_t mask = 1ULL << (bit % 64);

	if (number + WINDOW_BITS <= s->newest || number == 0)
		return -1;
	if (number > s->newest) {
		uint64_t from = s->newest + 1;

		if (number - s->newest >= WINDOW_BITS) {
			memset(s->seen, 0, WINDOW_BITS / 8);
			from = number;
		}
		for (uint64_t n = from; n <= number; n++)
			s->seen[n % WINDOW_BITS / 64] &= ~(1ULL << (n % 64));
		s->newest = number;
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
	uint64_t clock_ms;
	session_t *s;

	if (len < SEAL_HEADER)
		return SEAL_SHORT;
	if (buf[AT_MAGIC] != SEAL_MAGIC || buf[AT_VERSION] != SEAL_VERSION)
		return SEAL_FOREIGN;
	if (!has_tag(seal->key, buf, len) &&
	    !(seal->has_other && has_tag(seal->other, buf, len)))
		return SEAL_FORGED;
	clock_ms = get64(buf + AT_CLOCK);
	if (clock_ms + SEAL_SKEW_MS < wall_ms ||
	    clock_ms > wall_ms + SEAL_SKEW_MS)
		return SEAL_STALE;
	s = session_find(seal, get64(buf + AT_SESSION), clock_ms, wall_ms);
	if (!s || session_accept(s, get64(buf + AT_NUMBER)) < 0)
		return SEAL_REPLAYED;
	s->last_ms = wall_ms;
	if (s->clock_ms < clock_ms)
		s->clock_ms = clock_ms;
	*kind = buf[AT_KIND];
	*body = buf + SEAL_HEADER;
	*body_len = len - SEAL_HEADER;
	return SEAL_OK;
}

const char *seal_status_name(seal_status_t status)
{
	static const char *const names[SEAL_STATUSES] = {
		"ok", "short", "foreign", "forged", "stale", "replayed",
	};

	return status < SEAL_STATUSES ? names[status] : "unknown";
}
