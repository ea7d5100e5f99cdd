#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * settings - start-up settings of one process, read from a small TOML file
 *
 * The role of the process determines which keys are allowed. An unknown key, a
 * missing key or a value of the wrong type is an error with the line and the
 * remedy. The caller owns a settings_t and releases its contents with
 * settings_clear().
 */

#include "endpoint.h"
#include "err.h"
#include "seal.h"
#include "wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SETTINGS_NAME_SIZE 64

typedef struct settings {
	process_role_t role;
	char name[SETTINGS_NAME_SIZE]; /* name of the process, for logs */
	char zone[SETTINGS_NAME_SIZE]; /* availability zone */
	endpoint_t packets; /* balancer: address for packets from the fabric */
	endpoint_t listen;  /* UDP and TCP, for messages of other processes */
	endpoint_t operators; /* TCP, for the command-line program */
	endpoint_t fabric;    /* where packets to callers are sent; a balancer
				 without it (port 0) drops refusals */
	endpoint_t server;    /* agent: backend server's end of the tunnel */
	endpoint_t delivery;  /* agent: agent's end of the tunnel */
	char target[SETTINGS_NAME_SIZE]; /* agent: name of its target */
	char key_file[256];
	uint8_t key[SEAL_KEY_BYTES];
	char key_file_old[256]; /* file of a second key accepted while keys are
				   changed; may be empty */
	uint8_t key_old[SEAL_KEY_BYTES];
	char config_file[256]; /* configuration read at start; may be empty */
	char platform[256];    /* base URL of the platform; may be empty */
	endpoint_t *peers; /* other processes, which are asked for their version
			      at start, before a document is put in force */
	size_t npeers;
	uint32_t stop_ms;	/* time limit of a graceful stop, ms */
	uint32_t cache_flows;	/* balancer: entries of the hint cache */
	uint32_t retry_percent; /* balancer: most retries per 100 opens */
	uint32_t flows;		/* agent: limit of concurrent flows */
	uint32_t queue; /* agent: limit of requests in flight per slot */
	bool takeover;	/* agent: take over the flows of an agent at `listen` */
} settings_t;

/*
 * Reads and checks the settings file and the key files that it names. Returns
 * 0, or -1 and the error; on error out needs no settings_clear().
 */
int settings_load(const char *file, process_role_t role, settings_t *out,
		  err_t *err);

/*
 * Creates the seal with the keys of the settings; session is a random number
 * that differs at each start. Returns NULL when out of memory. The caller owns
 * the seal.
 */
seal_t *settings_seal_new(const settings_t *settings, uint64_t session);

void settings_clear(settings_t *settings);

#endif
