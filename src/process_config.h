#ifndef PROCESS_CONFIG_H
#define PROCESS_CONFIG_H

/*
 * process_config - connects config_sync to the process's sockets, platform and
 * audit log
 */

#include "process.h"

/*
 * Opens the platform, if one is configured, and config_sync. Returns 0, or -1
 * and the error. process_config_close() is needed in both cases.
 */
int process_config_open(process_t *p, err_t *err);
void process_config_close(process_t *p);

/* Reads settings.config_file, if set, and offers it to config_sync. */
void process_config_load_file(process_t *p);

/* Answers a peer's pull on its stream. */
void process_config_answer_pull(process_t *p, stream_t *stream,
				const config_pull_msg_t *msg);

/*
 * Appends members to the JSON object of the query "status", each preceded by a
 * comma.
 */
void process_config_append_status(process_t *p, GString *out);

#endif
