#ifndef PROCESS_CONFIG_H
#define PROCESS_CONFIG_H

/*
 * process_config - joins the decisions of spread to a process's sockets, its
 * platform and its audit trail
 */

#include "process.h"

int process_config_open(process_t *p, err_t *err);
void process_config_close(process_t *p);

/* Reads settings.config_file, if there is one. */
void process_config_load_file(process_t *p);

/* A peer's pull came in; answers it on its stream. */
void process_config_answer_pull(process_t *p, stream_t *stream,
				const config_pull_msg_t *msg);

/* Appends members to the JSON of status, each with a comma first. */
void process_config_append_status(process_t *p, GString *out);

#endif
