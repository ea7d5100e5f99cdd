#ifndef RELAY_SETTINGS_H
#define RELAY_SETTINGS_H

/*
 * relay_settings - what one process that relays packets is told at its start
 *
 * A small TOML file. An unknown key, a missing one or a wrong type is an
 * error with the line and the remedy. Owned by the caller; nothing in it
 * needs freeing.
 */

#include "endpoint.h"
#include "err.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RELAY_NAME_SIZE 64
/* Peers of the settings that are asked. */
#define RELAY_PEERS_MAX 8

typedef struct relay_settings {
	char name[RELAY_NAME_SIZE];    /* of this process, for logs */
	char zone[RELAY_NAME_SIZE];    /* availability zone */
	uint32_t address;	       /* own host */
	endpoint_t packets;	       /* UDP: callers' packets come in here */
	endpoint_t ready;	       /* TCP: readiness and metrics */
	uint16_t internal_port;	       /* UDP: messages, on all hosts */
	uint16_t metrics_port;	       /* TCP: metrics; 0: none */
	endpoint_t platform;	       /* TCP: store; balancer */
	char service[RELAY_NAME_SIZE]; /* agent: of the backend server */
	endpoint_t server;	       /* agent, UDP: the backend server */
	endpoint_t server_out; /* agent, UDP: its packets come in here */
	endpoint_t control;    /* TCP: peers ask here; port 0: none */
	endpoint_t peers[RELAY_PEERS_MAX]; /* control addresses of others */
	size_t npeers;
	bool first_start;    /* the whole system starts for the first time */
	uint32_t silence_ms; /* a dead connection is noticed within it */
	uint32_t apply_ms;   /* a change of the store is in force within it */
	uint32_t memory_mb;  /* limit of this process */
} relay_settings_t;

typedef enum relay_role {
	RELAY_ROLE_BALANCER,
	RELAY_ROLE_AGENT,
} relay_role_t;

/* True when both say the same, but for first_start. */
bool relay_settings_equal(const relay_settings_t *a, const relay_settings_t *b);

/* Reads and checks the file. Returns 0, or -1 and the error. */
int relay_settings_load(const char *file, relay_role_t role,
			relay_settings_t *out, err_t *err);

#endif
