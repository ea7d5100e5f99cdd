#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * settings - what one process is told at its start, in a small TOML file
 *
 * Each program reads the keys of its own row; an unknown key, a missing one
 * or a wrong type is an error with the line and the remedy. Owned by the
 * caller, freed by settings_clear().
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
	char name[SETTINGS_NAME_SIZE]; /* of this process, for logs */
	char zone[SETTINGS_NAME_SIZE]; /* availability zone */
	endpoint_t packets;   /* balancer: where the fabric sends packets */
	endpoint_t listen;    /* UDP and TCP, for other processes */
	endpoint_t operators; /* TCP, for the command line */
	endpoint_t fabric;    /* where answers go; balancer: may be 0 */
	endpoint_t server;    /* agent: the backend server's tunnel */
	endpoint_t delivery;  /* agent: own end of that tunnel */
	char target[SETTINGS_NAME_SIZE]; /* agent: target it serves */
	char key_file[256];
	uint8_t key[SEAL_KEY_BYTES];
	char key_file_old[256]; /* of another key that is accepted, or empty */
	uint8_t key_old[SEAL_KEY_BYTES];
	char config_file[256]; /* read at the start, may be empty */
	char platform[256];    /* base URL of the platform, may be empty */
	endpoint_t *peers;     /* asked before the platform is believed */
	size_t npeers;
	uint32_t stop_ms;	/* greatest time of a graceful stop */
	uint32_t cache_flows;	/* balancer: hints kept */
	uint32_t retry_percent; /* balancer: retried opens in 100 opens */
	uint32_t flows;		/* agent: greatest number of flows held */
	uint32_t queue;		/* agent: requests waiting, a slot */
	bool takeover;		/* agent: a predecessor runs at `listen` */
} settings_t;

/* Reads and checks the file, and the key file that it names. */
int settings_load(const char *file, process_role_t role, settings_t *out,
		  err_t *err);

/* Seals for this process; NULL without memory. */
seal_t *settings_seal_new(const settings_t *settings, uint64_t session);

void settings_clear(settings_t *settings);

#endif
