#ifndef CONFIG_SYNC_INT_H
#define CONFIG_SYNC_INT_H

/*
 * config_sync_int - what the files of spread share
 */

#include "rank.h"
#include "config_sync.h"
#include <glib.h>

#define HELLO_INTERVAL_MS	1000 /* between two comparisons with a peer */
#define HELLO_JITTER_MS		250
#define GOSSIP_FANOUT		3 /* peers told of a new configuration at once */
#define GOSSIP_DELAY_MAX_MS	60
#define RESUME_GAP_MS		2000 /* a gap of ticks that makes one ask again */
#define ASK_TIMEOUT_MS		2000 /* a start waits for peers at most */
#define ASK_INTERVAL_MS		500
#define ASK_FANOUT		4
#define ASK_ANSWERS_ENOUGH	3     /* enough to go on */
#define PULL_TIMEOUT_MS		3000  /* until a pull is given up */
#define BAN_NO_REPLY_MS		3000  /* a peer that did not answer a pull */
#define BAN_BAD_REPLY_MS	60000 /* a peer whose document was refused */
#define BANS_MAX		16
#define CLAIMS_MAX		4
#define HEARD_PEERS_MAX		128
#define HEARD_PEER_TTL_MS	30000 /* a peer is forgotten after silence */
#define LIVE_LIST_MAX		65536
#define LIVE_LIST_INTERVAL_MS	600000 /* between two reads of the live list */
#define LIVE_LIST_RETRY_MAX_MS	60000
#define WATCH_STALE_MS		6000 /* without a reader heard of */
#define FLEET_CALLS_PER_S	500  /* of all processes, when all must read */
#define JITTER_MIN_MS		2000
#define JITTER_UNKNOWN_FLEET_MS 15000 /* while the fleet's size is not known   \
				       */
#define READ_RETRY_MIN_MS 500
#define READ_RETRY_MAX_MS 4000
#define REREAD_DELAY_MS	  1000 /* after a document that is not newer */
#define NEVER		  UINT64_MAX

typedef struct heard_peer {
	endpoint_t addr;
	uint64_t last_heard_ms;
} heard_peer_t;

typedef struct ban {
	endpoint_t addr;
	uint64_t until_ms;
} ban_t;

/* What a peer says that it has. */
typedef struct claim {
	endpoint_t addr;
	uint64_t version; /* 0: no claim */
	uint64_t digest;
} claim_t;

/* Identity of a document that was refused or lost, to say so once. */
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

	/* Peers. */
	endpoint_t *agents; /* of the configuration, owned */
	size_t nagents;
	endpoint_t *live_peers; /* of the live list, owned */
	size_t nlive_peers;
	heard_peer_t heard_peers[HEARD_PEERS_MAX];
	size_t nheard_peers;
	ban_t bans[BANS_MAX];
	uint64_t next_hello_ms;
	uint64_t next_gossip_ms;

	/* A start or a late wake-up. */
	uint64_t next_ask_ms;
	uint64_t ask_deadline_ms;
	config_t *candidate; /* from a file or the platform, held back */
	char candidate_source[256];

	/* The pull under way, and whom to pull from next. */
	endpoint_t pull_from;
	uint64_t pull_deadline_ms;
	uint64_t pull_base_version; /* what was in force when it began */
	uint64_t pull_base_digest;
	claim_t claims[CLAIMS_MAX];
	document_id_t logged_conflict;
	document_id_t logged_refusal;

	/* The platform. */
	uint64_t next_read_ms;
	uint64_t read_retry_ms;
	uint64_t fallback_read_ms; /* NEVER while a reader is heard of */
	uint64_t last_watch_ms;	   /* when anyone last watched the platform */
	uint64_t last_reader_watch_ms; /* when a ranked one did */
	uint64_t next_live_list_ms;
	uint64_t live_list_retry_ms;

	/* Counts and marks of all of these. */
	unsigned gossip_sends_left; /* left to tell */
	unsigned asked;
	unsigned answers;
	bool asking;
	bool pull_pending;
	bool is_zone_reader; /* one of the zone's readers */
	bool read_pending;
	bool last_read_ok; /* the last read was answered */
	bool first_read_done;
	bool fallback; /* stands in for silent readers */
	bool live_list_pending;
};

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
void config_sync_apply_if_newer(config_sync_t *s, uint64_t now,
				config_t *config, const char *source);

#endif
