#ifndef CONFIG_SYNC_INT_H
#define CONFIG_SYNC_INT_H

/*
 * config_sync_int - declarations shared by the files of config_sync
 */

#include "rank.h"
#include "config_sync.h"
#include <glib.h>

/* Hellos. Each delay is random, so that processes do not send in step. */
#define HELLO_INTERVAL_MS   1000 /* mean time between hellos to random peers */
#define HELLO_JITTER_MS	    250	 /* greatest deviation from that mean */
#define GOSSIP_FANOUT	    3	 /* hellos sent for a new configuration */
#define GOSSIP_DELAY_MAX_MS 60	 /* longest delay before each of them */

/* Asking peers for their version after a start or a resume. */
#define RESUME_GAP_MS	   2000 /* gap between ticks that counts as a resume */
#define ASK_TIMEOUT_MS	   2000 /* time limit; a pull may add PULL_TIMEOUT_MS */
#define ASK_INTERVAL_MS	   500	/* between two rounds of hellos */
#define ASK_FANOUT	   4	/* hellos in a round */
#define ASK_ANSWERS_ENOUGH 3	/* answers after which the asking ends */

/* Pulls, and exclusion of peers that failed one. */
#define PULL_TIMEOUT_MS	  3000	/* time limit of the reply to a pull */
#define BAN_NO_REPLY_MS	  3000	/* ban of a peer that did not reply */
#define BAN_BAD_REPLY_MS  60000 /* ban of a peer whose reply was refused */
#define BANS_MAX	  16	/* banned peers remembered */
#define CLAIMS_MAX	  4	/* claims of a higher version remembered */
#define HEARD_PEERS_MAX	  128	/* senders of hellos remembered */
#define HEARD_PEER_TTL_MS 30000 /* since the sender's last hello */

/* The platform's live list. */
#define LIVE_LIST_MAX	       65536  /* lines */
#define LIVE_LIST_INTERVAL_MS  600000 /* mean time between two reads */
#define LIVE_LIST_RETRY_MAX_MS 60000  /* mean delay after repeated failures */

/* Reads of the platform. */
#define WATCH_STALE_MS	  6000 /* age of last watch after which others read */
#define FLEET_CALLS_PER_S 500  /* of all processes together, when all read */
#define JITTER_MIN_MS	  2000 /* shortest range of random delays */
/* Range of random delays while the number of processes is not known. */
#define JITTER_UNKNOWN_FLEET_MS 15000
#define READ_RETRY_MIN_MS	500  /* mean delay after the first failure */
#define READ_RETRY_MAX_MS	4000 /* mean delay after repeated failures */
/* Minimum delay of the next read after a document that is not newer. */
#define REREAD_DELAY_MS 1000
#define NEVER		UINT64_MAX

/* A peer that sent a hello. */
typedef struct heard_peer {
	endpoint_t addr;
	uint64_t last_heard_ms;
} heard_peer_t;

/* A peer that is excluded from hellos and pulls until until_ms. */
typedef struct ban {
	endpoint_t addr;
	uint64_t until_ms;
} ban_t;

/* Version that a peer says it has in force. */
typedef struct claim {
	endpoint_t addr;
	uint64_t version; /* 0: entry unused */
	uint64_t digest;  /* 0: unknown */
} claim_t;

/*
 * Identity of the last document reported as conflicting or refused, so that
 * repeated reads report it once. A document that cannot be parsed has version 0
 * and a hash of the error as its digest.
 */
typedef struct document_id {
	uint64_t version;
	uint64_t digest;
} document_id_t;

struct config_sync {
	config_sync_options_t options;
	char zone[NAME_BYTES];
	endpoint_t *peers; /* copy of options.peers, owned */
	const config_sync_ops_t *ops;
	void *ctx;
	GRand *rng;
	config_t *config; /* in force */
	config_history_t *history;
	uint64_t last_tick_ms;

	/* Known peers. */
	endpoint_t *agents; /* agents in the configuration, owned */
	size_t nagents;
	endpoint_t *live_peers; /* all on the live list, owned */
	size_t nlive_peers;
	heard_peer_t heard_peers[HEARD_PEERS_MAX];
	size_t nheard_peers;
	ban_t bans[BANS_MAX];
	uint64_t next_hello_ms;
	uint64_t next_gossip_ms;

	/* Asking peers for their version after a start or a resume. */
	uint64_t next_ask_ms;
	uint64_t ask_deadline_ms;
	config_t *candidate; /* newest one offered while asking; owned */
	char candidate_source[256];

	/* The pending pull, and the peers to pull from next. */
	endpoint_t pull_from;
	uint64_t pull_deadline_ms;
	uint64_t pull_base_version; /* in force when the pull began */
	uint64_t pull_base_digest;
	claim_t claims[CLAIMS_MAX];
	document_id_t logged_conflict;
	document_id_t logged_refusal;

	/* Reads of the platform. */
	uint64_t next_read_ms;
	uint64_t read_retry_ms;
	uint64_t fallback_read_ms;     /* NEVER while any process watches */
	uint64_t last_watch_ms;	       /* by any process; 0: never */
	uint64_t last_reader_watch_ms; /* by a zone reader; 0: never */
	uint64_t next_live_list_ms;
	uint64_t live_list_retry_ms;

	/* Counters and flags of the groups above. */
	unsigned gossip_sends_left; /* hellos for a new configuration */
	unsigned asked;		    /* hellos sent while asking */
	unsigned answers;	    /* hellos received in answer */
	bool asking;
	bool pull_pending;
	bool is_zone_reader; /* this process is a reader of its zone */
	bool read_pending;
	bool last_read_ok; /* the last read did not fail */
	bool first_read_done;
	bool fallback; /* watches because no reader does */
	bool live_list_pending;
};

/* Returns a random number from 0 to below - 1; 0 when below is 0. */
uint64_t config_sync_random(config_sync_t *s, uint64_t below);

/* config_sync_peers.c */
void config_sync_note_peer(config_sync_t *s, uint64_t now,
			   const endpoint_t *from);
bool config_sync_pick_peer(config_sync_t *s, uint64_t now, endpoint_t *out);
void config_sync_ban_peer(config_sync_t *s, uint64_t until,
			  const endpoint_t *peer);
bool config_sync_peer_banned(const config_sync_t *s, uint64_t now,
			     const endpoint_t *peer);
void config_sync_set_agents(config_sync_t *s, const config_t *config);
void config_sync_send_hello(config_sync_t *s, uint64_t now,
			    const endpoint_t *to, bool want_answer);
void config_sync_hello_random_peer(config_sync_t *s, uint64_t now);

/* config_sync_platform.c */
void config_sync_platform_tick(config_sync_t *s, uint64_t now);
void config_sync_merge_ages(config_sync_t *s, uint64_t now,
			    const hello_msg_t *msg);

/* config_sync.c */

/* Puts a configuration in force if it is newer; refuses it if it is older. */
void config_sync_apply_if_newer(config_sync_t *s, uint64_t now,
				config_t *config, const char *source);

#endif
