#ifndef CONFIG_DELTA_H
#define CONFIG_DELTA_H

/*
 * config_delta - a configuration as the services that changed since another
 *
 * A process keeps the digests of its last CONFIG_HISTORY configurations, so it
 * can answer a peer that has one of them with the changed services only. The
 * peer joins them to what it has and checks the digest of the whole.
 */

#include "config.h"
#include "wire.h"

#define CONFIG_HISTORY 32 /* configurations remembered */

typedef struct config_history config_history_t;
typedef struct config_summary config_summary_t;

config_history_t *config_history_new(void);
void config_history_free(config_history_t *history);

/* Remembers a configuration; the oldest one is forgotten. */
void config_history_add(config_history_t *history, const config_t *config);

/* NULL: not remembered. Valid until the next config_history_add(). */
const config_summary_t *config_history_find(const config_history_t *history,
					    uint64_t version, uint64_t digest);

/*
 * The answer to a peer that has the base; NULL: the whole. Freed by
 * config_reply_free(). Returns NULL without memory.
 */
config_reply_msg_t *config_reply_new(const config_t *config,
				     const config_summary_t *base);
void config_reply_free(config_reply_msg_t *reply);

/*
 * Joins an answer to the base it was made for (NULL when it is the whole).
 * Returns 0 and a config with one owner whose digest is the answer's, or -1.
 */
int config_merge(const char *source, const config_t *base,
		 const config_reply_msg_t *reply, config_t **out, err_t *err);

#endif
