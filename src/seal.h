#ifndef SEAL_H
#define SEAL_H

/*
 * seal - authenticated envelope of every message between our processes
 *
 * A sealed message is a fixed header and a body. The header carries the
 * protocol version, the kind, the sender's session (random at each start), a
 * number that rises within the session, the sender's wall clock and a 128-bit
 * SipHash-2-4 of all else under the shared key. A receiver drops what has a
 * wrong tag, a foreign version, a clock more than SEAL_SKEW_MS away, or a
 * number already seen in its session. Sessions are remembered for longer than
 * the skew, so a recorded message is stale before its session is forgotten.
 *
 * When more sessions are alive than there is room for, the one silent for
 * longest is forgotten, and from then on a new session in its place must carry
 * a later clock than it did: nothing it sent can be taken twice, and a sender
 * that is new or was forgotten is heard as soon as its clock has passed that.
 *
 * A receiver that starts remembers no session. It refuses messages sent more
 * than SEAL_START_SKEW_MS before its start, so that a recorded message can be
 * taken a second time only when it was sent within that time before a restart.
 *
 * Hosts keep their clocks within SEAL_SKEW_MS of each other; one whose clock is
 * behind by more than SEAL_START_SKEW_MS is not heard for so much longer after
 * the receiver's start.
 */

#include "err.h"
#include <stddef.h>
#include <stdint.h>

#define SEAL_KEY_BYTES	32
#define SEAL_HEADER_LEN 44    /* bytes before the body */
#define SEAL_SKEW_MS	30000 /* greatest difference of clocks accepted */
/* Oldest message taken by a receiver that has just started. */
#define SEAL_START_SKEW_MS 1000

typedef enum seal_status {
	SEAL_OK = 0,
	SEAL_SHORT,    /* no room for a header */
	SEAL_FOREIGN,  /* not ours, or another version */
	SEAL_FORGED,   /* tag wrong */
	SEAL_STALE,    /* clock too far away */
	SEAL_REPLAYED, /* number seen before, or too old to tell */
	SEAL_STATUSES, /* number of outcomes, not one */
} seal_status_t;

typedef struct seal seal_t;

/*
 * The key is copied. Session is a random number that differs at each start.
 * Returns NULL without memory.
 */
seal_t *seal_new(const uint8_t key[SEAL_KEY_BYTES], uint64_t session);
void seal_free(seal_t *seal);

/* Takes what is sealed with another key, too, while keys are changed. */
void seal_set_alt_key(seal_t *seal, const uint8_t key[SEAL_KEY_BYTES]);

/* The receiver starts now: refuses what was sent before. */
void seal_set_start(seal_t *seal, uint64_t wall_ms);

/*
 * Reads a key file: 64 hexadecimal digits, with nothing else but white space.
 * The key is never put into an error.
 */
int seal_read_key(const char *file, uint8_t key[SEAL_KEY_BYTES], err_t *err);

/* Number that all holders of the key derive alike, for keyed hashing. */
uint64_t seal_rank_seed(const uint8_t key[SEAL_KEY_BYTES]);

/*
 * Fills the header in front of the body: buf has SEAL_HEADER_LEN bytes and then
 * body_len bytes of body. Returns the length of the whole.
 */
size_t seal_message(seal_t *seal, uint8_t kind, uint64_t wall_ms, uint8_t *buf,
		    size_t body_len);

/* Checks a message; on SEAL_OK gives the kind and the body inside buf. */
seal_status_t seal_open(seal_t *seal, uint64_t wall_ms, const uint8_t *buf,
			size_t len, uint8_t *kind, const uint8_t **body,
			size_t *body_len);

const char *seal_status_name(seal_status_t status);

#endif
