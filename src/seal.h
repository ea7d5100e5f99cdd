#ifndef SEAL_H
#define SEAL_H

/*
 * seal - message authentication and replay protection
 *
 * Every message between cherviltray processes is sealed: a fixed header comes
 * before the body. The header carries the protocol version, the kind of the
 * message, the sender's session (a random number chosen at each start), a
 * sequence number within the session, a timestamp (wall clock of the sender)
 * and a tag, the 128-bit SipHash-2-4 of header and body under the shared key.
 * A receiver rejects a message with another protocol version, a wrong tag, a
 * timestamp more than SEAL_SKEW_MS from the receiver's clock, or a sequence
 * number already seen in the session. Sessions are remembered for longer than
 * messages stay fresh, so a replayed message is stale before its session is
 * forgotten.
 *
 * The session table has a fixed number of sets, and the id of a session
 * determines its set. When a set is full, the session from which nothing was
 * received for longest is evicted. A session added to the set later must then
 * begin with a timestamp after the latest one of the evicted session. So no
 * message of an evicted session is accepted twice, and a new or evicted sender
 * is accepted as soon as its clock has passed that timestamp.
 *
 * A receiver that starts knows no sessions. It rejects messages sent
 * SEAL_START_SKEW_MS or more before its start, so that after a restart only
 * messages sent less than that time before it can be accepted a second time.
 *
 * The clocks of all hosts must agree within SEAL_SKEW_MS. If the clock of a
 * sender is behind by more than SEAL_START_SKEW_MS, a receiver that has started
 * rejects its messages until that clock is less than SEAL_START_SKEW_MS before
 * the receiver's start time.
 */

#include "err.h"
#include <stddef.h>
#include <stdint.h>

#define SEAL_KEY_BYTES	32
#define SEAL_HEADER_LEN 44    /* bytes */
#define SEAL_SKEW_MS	30000 /* maximum difference of clocks */
/* Age at the receiver's start from which messages are rejected. */
#define SEAL_START_SKEW_MS 1000

typedef enum seal_status {
	SEAL_OK = 0,
	SEAL_SHORT,    /* shorter than a header */
	SEAL_FOREIGN,  /* unknown magic number or protocol version */
	SEAL_FORGED,   /* wrong tag */
	SEAL_STALE,    /* timestamp differs by more than SEAL_SKEW_MS */
	SEAL_REPLAYED, /* sequence number seen before, or too old to tell */
	SEAL_STATUSES, /* number of statuses */
} seal_status_t;

typedef struct seal seal_t;

/*
 * Creates the state to seal and open messages. Copies the key. `session` is a
 * random number that differs at each start. Returns NULL if out of memory.
 */
seal_t *seal_new(const uint8_t key[SEAL_KEY_BYTES], uint64_t session);
void seal_free(seal_t *seal);

/* Also accepts messages sealed with this key, for use during key rotation. */
void seal_set_alt_key(seal_t *seal, const uint8_t key[SEAL_KEY_BYTES]);

/*
 * Sets the start time in milliseconds of wall clock. Messages whose
 * timestamp is SEAL_START_SKEW_MS or more before it are rejected.
 */
void seal_set_start(seal_t *seal, uint64_t wall_ms);

/*
 * Reads a key file: 64 hexadecimal digits; spaces and line ends are ignored.
 * Returns 0, or -1 and sets err, which never contains any part of the key.
 */
int seal_read_key(const char *file, uint8_t key[SEAL_KEY_BYTES], err_t *err);

/* Derives the hash seed for ranking, the same for all holders of the key. */
uint64_t seal_rank_seed(const uint8_t key[SEAL_KEY_BYTES]);

/*
 * Seals a message: buf has SEAL_HEADER_LEN bytes, into which the header is
 * written, followed by body_len bytes of body. wall_ms is the current wall
 * clock in milliseconds. Returns the length of the sealed message in bytes.
 */
size_t seal_message(seal_t *seal, uint8_t kind, uint64_t wall_ms, uint8_t *buf,
		    size_t body_len);

/*
 * Checks a sealed message at wall clock wall_ms in milliseconds. On SEAL_OK,
 * sets *kind and points *body to the body inside buf.
 */
seal_status_t seal_open(seal_t *seal, uint64_t wall_ms, const uint8_t *buf,
			size_t len, uint8_t *kind, const uint8_t **body,
			size_t *body_len);

const char *seal_status_name(seal_status_t status);

#endif
