#ifndef RELAY_SETTINGS_H
#define RELAY_SETTINGS_H

/*
 * relay_settings - settings of a process that relays packets
 *
 * They are read from a small TOML file. A missing key or a value of the wrong
 * type is an error that names the line and the remedy. A process passes over
 * unknown keys and logs their names: while a system is upgraded or rolled back,
 * builds read settings files that were written for newer ones. The structure is
 * owned by the caller and holds no allocated memory.
 */

#include "endpoint.h"
#include "err.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes of a name, with the terminating NUL. */
#define RELAY_NAME_SIZE 256
/* Most peers that are asked; further ones in the settings are ignored. */
#define RELAY_PEERS_MAX 8
/* Bytes of the list of unknown keys, with the terminating NUL. */
#define RELAY_UNKNOWN_KEYS_SIZE 128

typedef struct relay_settings {
	char name[RELAY_NAME_SIZE]; /* name of the process, for logs */
	char zone[RELAY_NAME_SIZE]; /* availability zone */
	uint32_t address;	    /* address of this host */
	endpoint_t packets;	    /* UDP: callers' packets */
	endpoint_t ready;	    /* TCP: readiness and metrics */
	uint16_t internal_port;	    /* UDP: messages; the same on all hosts */
	uint16_t metrics_port;	    /* TCP: metrics only; 0: none */
	endpoint_t platform;	    /* balancer, TCP: the store */
	char service[RELAY_NAME_SIZE]; /* agent: service of the server */
	endpoint_t server;	       /* agent, UDP: the backend server */
	endpoint_t server_out;	       /* agent, UDP: packets of the server */
	endpoint_t control; /* TCP: requests of peers; port 0: none */
	endpoint_t peers[RELAY_PEERS_MAX]; /* control addresses of peers */
	size_t npeers;
	bool first_start;     /* first start of the whole system */
	uint32_t silence_ms;  /* to detect a dead connection */
	uint32_t apply_ms;    /* to apply a change in the store */
	uint32_t evacuate_ms; /* to empty an availability zone of opens */
	/* Bound on the opens of a cold backend server in a second: what it
	 * bears times warmup_overage (0: no bound), plus warmup_slack. */
	double warmup_overage;
	uint32_t warmup_slack;
	uint32_t heartbeat_ms; /* interval at which targets report */
	uint32_t memory_mb;    /* memory limit of the process */
	/* Names of keys that were passed over, separated by spaces; cut where
	 * the room ends */
	char unknown_keys[RELAY_UNKNOWN_KEYS_SIZE];
} relay_settings_t;

typedef enum relay_role {
	RELAY_ROLE_BALANCER,
	RELAY_ROLE_AGENT,
} relay_role_t;

/* Returns true when a and b are equal, apart from first_start, control,
 * peers and unknown keys. */
bool relay_settings_equal(const relay_settings_t *a, const relay_settings_t *b);

/* Reads and checks a settings file. The role selects the required keys. Returns
 * 0, or -1 and the error. */
int relay_settings_load(const char *file, relay_role_t role,
			relay_settings_t *out, err_t *err);

/* Like relay_settings_load(), but an unknown key is an error. */
int relay_settings_check(const char *file, relay_role_t role,
			 relay_settings_t *out, err_t *err);

#endif
