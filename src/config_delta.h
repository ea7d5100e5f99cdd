#ifndef CONFIG_DELTA_H
#define CONFIG_DELTA_H

/*
 * config_delta - transfer of a configuration as the services that changed
 *
 * A process keeps the service digests of its last CONFIG_HISTORY
 * configurations. When a peer that has one of these configurations requests the
 * current one, the reply holds only the services that changed since. The peer
 * merges them into the configuration it has (the base) and verifies the digest
 * of the result.
 */

#include "config.h"
#include "wire.h"

#define CONFIG_HISTORY 32 /* number of configurations kept */

typedef struct config_history config_history_t;
typedef struct config_summary config_summary_t;

/* Returns NULL when out of memory. */
config_history_t *config_history_new(void);
void config_history_free(config_history_t *history);

/*
 * Adds the digests of a configuration in place of the oldest entry. Without
 * memory, the oldest entry is dropped and nothing is added.
 */
void config_history_add(config_history_t *history, const config_t *config);

/*
 * Returns the entry with this version and digest, or NULL. The result is valid
 * until the next config_history_add().
 */
const config_summary_t *config_history_find(const config_history_t *history,
					    uint64_t version, uint64_t digest);

/*
 * Creates the reply to a peer that has the base; with a NULL base the reply
 * holds all services. Returns NULL when out of memory. The caller frees it with
 * config_reply_free().
 */
config_reply_msg_t *config_reply_new(const config_t *config,
				     const config_summary_t *base);
void config_reply_free(config_reply_msg_t *reply);

/*
 * Merges a reply into the base that it was made for (NULL if the reply holds
 * all services). The source names the peer in errors. Returns 0 and a
 * configuration with one reference whose digest is that of the reply, or -1 and
 * the error.
 */
int config_merge(const char *source, const config_t *base,
		 const config_reply_msg_t *reply, config_t **out, err_t *err);

#endif
