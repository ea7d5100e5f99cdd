#ifndef CONFIG_SYNC_H
#define CONFIG_SYNC_H

/*
 * config_sync - how a configuration reaches every process, and never goes back
 *
 * A pure decision module: it opens no socket and reads no clock. It owns the
 * configuration in force, what is known of peers, and the times at which a
 * peer or the platform is asked. Times are milliseconds of one rising clock.
 *
 * Configurations are ordered by version, then by digest, so that two documents
 * published with one version have the same winner everywhere. A process only
 * ever moves up that order. A new configuration is told to a few random peers
 * at once, and each process compares with one random peer a second, both ways;
 * the one that is behind pulls the services that changed. Source: Demers et
 * al., "Epidemic algorithms for replicated database maintenance" (1987).
 *
 * Only a few processes of each availability zone watch the platform: those
 * that rank first on its live list. Hellos carry how long ago anyone watched
 * it; when that grows too long, others read it, at random times.
 */

#include "config_delta.h"
#include "endpoint.h"
#include "err.h"
#include "mechanism.h"
#include "wire.h"

#define CONFIG_SYNC_READERS 3 /* processes of a zone that watch the platform   \
			       */

typedef struct config_sync config_sync_t;

typedef struct config_sync_options {
	endpoint_t self; /* where this process listens */
	const char *zone;
	process_role_t role;
	const endpoint_t *peers; /* from the settings; copied */
	size_t npeers;
	bool platform; /* is there one to read */
	uint64_t seed; /* of all random choices */
	mechanisms_t off;
} config_sync_options_t;

/* What the platform answered. */
typedef enum platform_status {
	PLATFORM_DOCUMENT,  /* text follows */
	PLATFORM_UNCHANGED, /* nothing newer within the time of a watch */
	PLATFORM_FAILED,    /* err says why */
} platform_status_t;

typedef struct platform_result {
	platform_status_t status;
	const char *text;
	size_t len;
	const err_t *err;
} platform_result_t;

/* All that it does to the outside; messages are valid during the call only. */
typedef struct config_sync_ops {
	void (*send_hello)(void *ctx, const endpoint_t *to,
			   const hello_msg_t *msg);
	/* Answered by config_sync_pull_done(). */
	void (*send_pull)(void *ctx, const endpoint_t *from,
			  const config_pull_msg_t *msg);
	/* Reads the document if it is higher than `after`, or waits; 0 reads
	 * at once. Answered by config_sync_read_done(). */
	void (*read_document)(void *ctx, uint64_t after);
	/* Reads the live list. Answered by config_sync_live_list_done(). */
	void (*read_live_list)(void *ctx);
	/* Puts it in force, audits it. Returns 0, or -1 without memory. */
	int (*apply)(void *ctx, config_t *config, const char *source);
	/* A document was refused, the one in force stays. */
	void (*refuse)(void *ctx, const err_t *err, const char *source);
	void (*audit)(void *ctx, const char *event, const char *subject,
		      const char *detail);
} config_sync_ops_t;

/* Returns NULL without memory. */
config_sync_t *config_sync_new(const config_sync_options_t *options,
			       const config_sync_ops_t *ops, void *ctx,
			       uint64_t now);
void config_sync_free(config_sync_t *s);

/* In force, or NULL. */
config_t *config_sync_current(const config_sync_t *s);

/* A configuration found on this host, e.g. in a file. Takes no ownership. */
void config_sync_add_candidate(config_sync_t *s, uint64_t now, config_t *config,
			       const char *source);

/* A peer's hello. */
void config_sync_receive_hello(config_sync_t *s, uint64_t now,
			       const endpoint_t *from, const hello_msg_t *msg);

/* A message of another kind carried a higher version. */
void config_sync_newer_version(config_sync_t *s, uint64_t now,
			       const endpoint_t *from, uint64_t version);

/* The answer to a pull; NULL: there was none. */
void config_sync_pull_done(config_sync_t *s, uint64_t now,
			   const endpoint_t *from,
			   const config_reply_msg_t *reply);

/* The answer for a peer's pull, freed by config_reply_free(); NULL: none. */
config_reply_msg_t *config_sync_pull_reply(const config_sync_t *s,
					   const config_pull_msg_t *pull);

void config_sync_read_done(config_sync_t *s, uint64_t now,
			   const platform_result_t *result);
void config_sync_live_list_done(config_sync_t *s, uint64_t now,
				const platform_result_t *result);

/* Call at least every 100 ms. */
void config_sync_tick(config_sync_t *s, uint64_t now);

/* How many peers are known. */
size_t config_sync_peer_count(const config_sync_t *s);

/* Copies at most n known peers that were heard lately; returns how many. */
size_t config_sync_heard_peers(const config_sync_t *s, endpoint_t *out,
			       size_t n);

/* True when this process watches the platform now. */
bool config_sync_is_reader(const config_sync_t *s, uint64_t now);

#endif
