#ifndef CONFIG_H
#define CONFIG_H

/*
 * config - the declared configuration, one whole document
 *
 * A document is TOML, at most CONFIG_MAX_BYTES, checked as a whole: it is
 * either a config_t or an error with the line and the remedy. A config_t is
 * immutable and counted: config_ref() adds an owner, config_unref() takes one
 * away and frees with the last. Services and targets belong to their config.
 *
 * The digest covers the version and the canonical text of each service, so
 * that a document rebuilt from its parts can be checked.
 */

#include "endpoint.h"
#include "err.h"
#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CONFIG_MAX_BYTES (1024 * 1024)
/* Greatest canonical text, which spells out every default. */
#define CONFIG_TEXT_MAX_BYTES (6 * 1024 * 1024)
#define NAME_BYTES	      64 /* a name and its terminator */
#define WEIGHT_MIN	      0.01
#define WEIGHT_MAX	      100.0

typedef enum target_state {
	TARGET_ACTIVE = 0,   /* takes new flows */
	TARGET_DRAINING = 1, /* keeps its flows, takes no new ones */
} target_state_t;

/* A backend server's place in a service. */
typedef struct target {
	char name[NAME_BYTES];
	uint32_t id;	  /* hash of the name, unique in the document */
	endpoint_t agent; /* where the agent beside it listens */
	char zone[NAME_BYTES];
	double weight;	      /* declared share */
	uint32_t slots;	      /* requests served at once */
	uint32_t connections; /* greatest number of flows held */
	target_state_t state;
} target_t;

/* A port of a service with its own weight. */
typedef struct service_class {
	char name[NAME_BYTES];
	uint16_t port;
	uint8_t proto;	 /* PROTO_TCP or PROTO_UDP */
	uint32_t weight; /* what one flow or request counts */
	bool idempotent; /* may a caller repeat it */
} class_t;

typedef struct service {
	char name[NAME_BYTES];
	uint64_t id;	  /* hash of the name */
	uint32_t address; /* public address */
	uint64_t digest;  /* of the canonical text */
	class_t *classes;
	size_t nclasses;
	target_t *targets;
	size_t ntargets;
} service_t;

typedef struct config {
	uint64_t version;
	uint64_t digest;
	int version_line; /* where the document gives its version, or 0 */
	service_t *services;
	size_t nservices;
	unsigned refs;	 /* owners */
	uint32_t *index; /* open-addressed: (address, port, protocol) */
	size_t nindex;	 /* slots in it, a power of two */
} config_t;

/*
 * Parses and checks a document. The file name is only for messages. Returns 0
 * and a config with one owner, or -1 and the error.
 */
int config_parse(const char *file, const char *text, size_t len, config_t **out,
		 err_t *err);

int config_load(const char *file, config_t **out, err_t *err);

config_t *config_ref(config_t *config);
void config_unref(config_t *config);

/* The service and class a packet is for, or NULL. */
const service_t *config_classify(const config_t *config, uint32_t address,
				 uint16_t port, uint8_t proto,
				 const class_t **cls);

const service_t *config_service_by_id(const config_t *config, uint64_t id);
const service_t *config_service_by_name(const config_t *config,
					const char *name);
const target_t *service_target_by_id(const service_t *service, uint32_t id);

/* The service that a target belongs to, or NULL. */
const service_t *config_target_by_name(const config_t *config, const char *name,
				       const target_t **target);

/* Canonical TOML of one service; the caller frees it. */
char *service_to_toml(const service_t *service);

/* Canonical TOML of the whole document; the caller frees it. */
char *config_to_toml(const config_t *config);

uint64_t config_name_hash(const char *name);

/* True when a follows b: by version, then by digest when two versions race. */
bool config_is_newer(uint64_t version_a, uint64_t digest_a, uint64_t version_b,
		     uint64_t digest_b);

/* Refuses a document whose version is not higher than old's, if there is one.
 */
int config_check_newer(const config_t *old, const config_t *config,
		       const char *file, err_t *err);

/*
 * A document in the compact form, for measurements and tests: so many services
 * with so many targets each. The caller frees it.
 */
char *config_example(unsigned services, unsigned targets, uint64_t version);

/* Where a document declares what; NULL members: unknown. */
typedef struct config_lines {
	int version;
	const int *services; /* one a service */
	const int *targets;  /* one a target, in the order of the services */
} config_lines_t;

/*
 * Used by the readers: takes ownership of the services, computes ids, digests
 * (of services that have none) and the index, and checks what concerns the
 * whole document. Frees the services when it fails.
 */
int config_assemble(const char *file, uint64_t version, service_t *services,
		    size_t nservices, const config_lines_t *lines,
		    config_t **out, err_t *err);

#endif
