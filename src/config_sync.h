#ifndef CONFIG_SYNC_H
#define CONFIG_SYNC_H

/*
 * config_sync - distributes configurations between processes
 *
 * The module makes decisions only: it opens no socket and reads no clock. It
 * owns the configuration in force, the list of known peers, and the times of
 * the next hellos to peers and reads of the platform, which is the service
 * that publishes configurations. Times are milliseconds of one monotonic
 * clock; the caller passes the current time as `now`.
 *
 * Configurations are ordered by version, then by digest, so that all processes
 * choose the same one of two documents published with the same version. A
 * process only replaces its configuration by one that is higher in this order.
 *
 * About once a second, each process exchanges hellos with one random peer. A
 * hello carries the version and digest of the sender's configuration; the
 * process whose configuration is lower pulls the changed services from the
 * other. A process that puts a new configuration in force also sends hellos to
 * a few random peers at once. Source: Demers et al., "Epidemic algorithms for
 * replicated database maintenance" (1987).
 *
 * In each availability zone, only the CONFIG_SYNC_READERS processes that rank
 * first among those on the platform's live list watch the platform for new
 * versions. Hellos also carry the time since any process last watched the
 * platform; when that time exceeds a limit, the other processes read the
 * platform at random times.
 */

#include "config_delta.h"
#include "endpoint.h"
#include "err.h"
#include "mechanism.h"
#include "wire.h"

/* Processes of each availability zone that watch the platform. */
#define CONFIG_SYNC_READERS 3

typedef struct config_sync config_sync_t;

typedef struct config_sync_options {
	endpoint_t self;  /* address on which this process listens */
	const char *zone; /* availability zone; copied */
	process_role_t role;
	const endpoint_t *peers; /* from the settings; copied */
	size_t npeers;
	bool platform;	  /* a platform is configured */
	uint64_t seed;	  /* of the random number generator */
	mechanisms_t off; /* disabled mechanisms, 0 in production */
} config_sync_options_t;

/* Outcome of a read from the platform. */
typedef enum platform_status {
	PLATFORM_DOCUMENT,  /* text holds the document or the live list */
	PLATFORM_UNCHANGED, /* no higher version before the watch ended */
	PLATFORM_FAILED,    /* err holds the cause */
} platform_status_t;

typedef struct platform_result {
	platform_status_t status;
	const char *text; /* not terminated */
	size_t len;	  /* bytes of text */
	const err_t *err;
} platform_result_t;

/* Operations of the caller. Messages are valid during the call only. */
typedef struct config_sync_ops {
	void (*send_hello)(void *ctx, const endpoint_t *to,
			   const hello_msg_t *msg);
	/* Sends a pull; the caller passes the reply, or NULL after a time-out,
	 * to config_sync_pull_done(). */
	void (*send_pull)(void *ctx, const endpoint_t *from,
			  const config_pull_msg_t *msg);
	/* Reads the document from the platform, waiting for a version above
	 * `after`; 0 reads at once. The caller passes the result to
	 * config_sync_read_done(). */
	void (*read_document)(void *ctx, uint64_t after);
	/* Reads the list of running processes from the platform. The caller
	 * passes the result to config_sync_live_list_done(). */
	void (*read_live_list)(void *ctx);
	/* Puts a configuration in force and audits it. Returns 0, or -1 when
	 * out of memory. */
	int (*apply)(void *ctx, config_t *config, const char *source);
	/* Reports a refused document. The one in force stays. */
	void (*refuse)(void *ctx, const err_t *err, const char *source);
	void (*audit)(void *ctx, const char *event, const char *subject,
		      const char *detail);
} config_sync_ops_t;

/*
 * Copies the options; ops must stay valid. Freed by config_sync_free(). Returns
 * NULL when out of memory.
 */
config_sync_t *config_sync_new(const config_sync_options_t *options,
			       const config_sync_ops_t *ops, void *ctx,
			       uint64_t now);
void config_sync_free(config_sync_t *s);

/* Returns the configuration in force, or NULL. It stays owned by s. */
config_t *config_sync_current(const config_sync_t *s);

/*
 * Offers a configuration from this host, such as a file, which is put in force
 * if it is newer. While peers are being asked for their version, after a start
 * or a resume, the newest configuration offered is kept until the asking ends.
 * The module takes a reference of its own to a configuration that it keeps.
 */
void config_sync_add_candidate(config_sync_t *s, uint64_t now, config_t *config,
			       const char *source);

/* Handles a hello from a peer. */
void config_sync_receive_hello(config_sync_t *s, uint64_t now,
			       const endpoint_t *from, const hello_msg_t *msg);

/* A message other than a hello showed that a peer has a higher version. */
void config_sync_newer_version(config_sync_t *s, uint64_t now,
			       const endpoint_t *from, uint64_t version);

/* Ends a pull with the peer's reply, or NULL when none came. */
void config_sync_pull_done(config_sync_t *s, uint64_t now,
			   const endpoint_t *from,
			   const config_reply_msg_t *reply);

/*
 * Returns the reply to a peer's pull, to be freed by config_reply_free(), or
 * NULL when no configuration is in force or when out of memory.
 */
config_reply_msg_t *config_sync_pull_reply(const config_sync_t *s,
					   const config_pull_msg_t *pull);

/* Handle the results of read_document() and read_live_list(). */
void config_sync_read_done(config_sync_t *s, uint64_t now,
			   const platform_result_t *result);
void config_sync_live_list_done(config_sync_t *s, uint64_t now,
				const platform_result_t *result);

/* Runs all timers; to be called at least every 100 ms. */
void config_sync_tick(config_sync_t *s, uint64_t now);

/*
 * Number of entries in the lists of known peers: settings, live list, agents of
 * the configuration and senders of hellos. A peer on several lists counts
 * once for each.
 */
size_t config_sync_peer_count(const config_sync_t *s);

/*
 * Copies the addresses of at most n peers that sent a hello recently to out;
 * returns their number.
 */
size_t config_sync_heard_peers(const config_sync_t *s, endpoint_t *out,
			       size_t n);

/*
 * Returns true when this process watches the platform, as one of the zone's
 * readers or in place of readers that stopped watching.
 */
bool config_sync_is_reader(const config_sync_t *s, uint64_t now);

#endif
