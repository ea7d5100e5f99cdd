#ifndef SPREAD_INT_H
#define SPREAD_INT_H

/*
 * spread_int - what the files of spread share
 */

#include "rank.h"
#include "spread.h"
#include <glib.h>

#define HELLO_MS	  1000 /* between two comparisons with a peer */
#define HELLO_JITTER_MS	  250
#define RUMOURS		  3 /* peers told of a new configuration at once */
#define RUMOUR_MS	  60
#define LATE_MS		  2000 /* a gap of ticks that makes one ask again */
#define ASK_MS		  2000 /* a start waits for peers at most */
#define ASK_AGAIN_MS	  500
#define ASK_PEERS	  4
#define ASK_ANSWERS	  3	/* enough to go on */
#define PULL_MS		  3000	/* until a pull is given up */
#define BAN_SILENT_MS	  3000	/* a peer that did not answer a pull */
#define BAN_LIAR_MS	  60000 /* a peer whose document was refused */
#define BANS		  16
#define CLAIMS		  4
#define LEARNED		  128
#define LEARNED_MS	  30000 /* a peer is forgotten after silence */
#define LIVE_MAX	  65536
#define LIVE_MS		  600000 /* between two reads of the live list */
#define LIVE_RETRY_MAX_MS 60000
#define SILENCE_MS	  6000 /* without a reader heard of */
#define CALLS_A_SECOND	  500  /* of all processes, when all must read */
#define WINDOW_MIN_MS	  2000
#define START_WINDOW_MS	  15000 /* while the fleet's size is not known */
#define RETRY_MIN_MS	  500
#define RETRY_MAX_MS	  4000
#define PAUSE_MS	  1000 /* after a document that is not newer */
#define NEVER		  UINT64_MAX

typedef struct learned {
	endpoint_t at;
	uint64_t heard;
} learned_t;

typedef struct ban {
	endpoint_t at;
	uint64_t until;
} ban_t;

/* What a peer says that it has. */
typedef struct claim {
	endpoint_t at;
	uint64_t version; /* 0: no claim */
	uint64_t digest;
} claim_t;

/* Identity of a document that was refused or lost, to say so once. */
typedef struct seen_once {
	uint64_t version;
	uint64_t digest;
} seen_once_t;

struct spread {
	spread_options_t options;
	char zone[NAME_BYTES];
	endpoint_t *peers; /* copy of options.peers, owned */
	const spread_ops_t *ops;
	void *ctx;
	GRand *random;
	config_t *config; /* in force */
	config_history_t *history;
	uint64_t last_tick;

	/* Peers. */
	endpoint_t *agents; /* of the configuration, owned */
	size_t nagents;
	endpoint_t *live; /* of the live list, owned */
	size_t nlive;
	learned_t learned[LEARNED];
	size_t nlearned;
	ban_t bans[BANS];
	uint64_t hello_due;
	uint64_t rumour_due;

	/* A start or a late wake-up. */
	uint64_t ask_due;
	uint64_t ask_until;
	config_t *candidate; /* from a file or the platform, held back */
	char candidate_source[256];

	/* The pull under way, and whom to pull from next. */
	endpoint_t pull_from;
	uint64_t pull_until;
	uint64_t pull_version; /* what was in force when it began */
	uint64_t pull_digest;
	claim_t claims[CLAIMS];
	seen_once_t conflict;
	seen_once_t refused;

	/* The platform. */
	uint64_t read_due;
	uint64_t retry_ms;
	uint64_t silent_due;   /* NEVER while a reader is heard of */
	uint64_t fresh;	       /* when anyone last watched the platform */
	uint64_t reader_fresh; /* when a ranked one did */
	uint64_t live_due;
	uint64_t live_retry_ms;

	/* Counts and marks of all of these. */
	unsigned rumours; /* left to tell */
	unsigned asked;
	unsigned answered;
	bool asking;
	bool pulling;
	bool ranked; /* one of the zone's readers */
	bool reading;
	bool read_ok; /* the last read was answered */
	bool first_read_done;
	bool fallback; /* stands in for silent readers */
	bool live_reading;
};

uint64_t spread_random(spread_t *s, uint64_t below);

/* spread_peers.c */
void spread_learn(spread_t *s, uint64_t now, const endpoint_t *from);
bool spread_pick(spread_t *s, uint64_t now, endpoint_t *out);
void spread_ban(spread_t *s, uint64_t until, const endpoint_t *peer);
bool spread_banned(const spread_t *s, uint64_t now, const endpoint_t *peer);
void spread_agents(spread_t *s, const config_t *config);
void spread_say_hello(spread_t *s, uint64_t now, const endpoint_t *to,
		      bool want_answer);
void spread_hello_random(spread_t *s, uint64_t now);

/* spread_platform.c */
void spread_platform_tick(spread_t *s, uint64_t now);
void spread_heard_ages(spread_t *s, uint64_t now, const hello_msg_t *msg);

/* spread.c */
void spread_consider(spread_t *s, uint64_t now, config_t *config,
		     const char *source);

#endif
