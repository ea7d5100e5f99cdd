#ifndef CONFIG_H
#define CONFIG_H

/*
 * config - the declared configuration: services, their classes and targets
 *
 * A document is TOML of at most CONFIG_MAX_BYTES. It is accepted or rejected
 * as a whole; an error names the line and the remedy. A config_t is immutable
 * and reference-counted: config_ref() adds a reference, config_unref() drops
 * one and frees the configuration with the last. The config_t owns its
 * services, classes and targets.
 *
 * The digest covers the version and the canonical text of each service, so
 * that a configuration merged from separately sent services can be verified.
 * Canonical text is TOML with all default values written out.
 */

#include "endpoint.h"
#include "err.h"
#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CONFIG_MAX_BYTES (1024 * 1024)
/* Limit of the canonical text, which spells out all default values. */
#define CONFIG_TEXT_MAX_BYTES (6 * 1024 * 1024)
#define NAME_BYTES	      64 /* size of a name, with its NUL */
/* Range of a target's weight. That of a class is from 1 to WEIGHT_MAX. */
#define WEIGHT_MIN 0.01
#define WEIGHT_MAX 100.0

typedef enum target_state {
	TARGET_ACTIVE = 0,   /* takes new flows */
	TARGET_DRAINING = 1, /* keeps its flows, takes no new flows */
} target_state_t;

/* A backend server of a service. */
typedef struct target {
	char name[NAME_BYTES];
	uint32_t id;	  /* hash of the name, unique in the document */
	endpoint_t agent; /* listen address of its agent */
	char zone[NAME_BYTES];
	double weight;	      /* relative share of the load */
	uint32_t slots;	      /* requests served concurrently */
	uint32_t connections; /* limit of concurrent flows */
	target_state_t state;
} target_t;

/* A port of a service, with the load of a flow or request on that port. */
typedef struct service_class {
	char name[NAME_BYTES];
	uint16_t port;
	uint8_t proto;	 /* PROTO_TCP or PROTO_UDP */
	uint32_t weight; /* load units per flow or request */
	bool idempotent; /* a caller may repeat a request */
} class_t;

typedef struct service {
	char name[NAME_BYTES];
	uint64_t id;	  /* hash of the name */
	uint32_t address; /* public address */
	uint64_t digest;  /* digest of the canonical text */
	class_t *classes;
	size_t nclasses;
	target_t *targets;
	size_t ntargets;
} service_t;

typedef struct config {
	uint64_t version;
	uint64_t digest;
	int version_line; /* line of the version, 0 if there is no document */
	service_t *services;
	size_t nservices;
	unsigned refs;	 /* number of references */
	uint32_t *index; /* hash table: (address, port, protocol) to class */
	size_t nindex;	 /* slots of the index, a power of two */
} config_t;

/*
 * Parses and checks a document of len bytes. The file name is used in errors
 * only. Returns 0 and a configuration with one reference, or -1 and the error.
 */
int config_parse(const char *file, const char *text, size_t len, config_t **out,
		 err_t *err);

/* Reads the file and parses it as config_parse() does. */
int config_load(const char *file, config_t **out, err_t *err);

config_t *config_ref(config_t *config);
void config_unref(config_t *config);

/*
 * Returns the service that a packet is addressed to and stores its class unless
 * cls is NULL. Returns NULL when no class has this address, port and protocol.
 */
const service_t *config_classify(const config_t *config, uint32_t address,
				 uint16_t port, uint8_t proto,
				 const class_t **cls);

/* The following lookups return NULL when nothing is found. */
const service_t *config_service_by_id(const config_t *config, uint64_t id);
const service_t *config_service_by_name(const config_t *config,
					const char *name);
const target_t *service_target_by_id(const service_t *service, uint32_t id);

/*
 * Finds a target of any service by its name: returns the service and stores the
 * target, or returns NULL.
 */
const service_t *config_target_by_name(const config_t *config, const char *name,
				       const target_t **target);

/* Returns the canonical text of a service; the caller frees it. */
char *service_to_toml(const service_t *service);

/* Returns the canonical text of a configuration; the caller frees it. */
char *config_to_toml(const config_t *config);

/*
 * Returns the hash of a name. It is the id of a service; its low 32 bits are
 * the id of a target.
 */
uint64_t config_name_hash(const char *name);

/*
 * True when configuration a is newer than b: its version is higher or, for two
 * documents published with the same version, its digest is.
 */
bool config_is_newer(uint64_t version_a, uint64_t digest_a, uint64_t version_b,
		     uint64_t digest_b);

/*
 * Checks that the version of config is higher than that of old; a NULL old
 * passes. Returns 0, or -1 and ERR_VERSION. The file name is used in errors.
 */
int config_check_newer(const config_t *old, const config_t *config,
		       const char *file, err_t *err);

/*
 * Generates a document in the compact form (inline tables) for benchmarks and
 * tests, with the given number of services and of targets per service. The
 * caller frees it.
 */
char *config_example(unsigned services, unsigned targets, uint64_t version);

/* Line numbers in the document, for errors; a NULL array: not known. */
typedef struct config_lines {
	int version;
	const int *services; /* line of each service */
	const int *targets;  /* line of each target, service by service */
} config_lines_t;

/*
 * Builds a configuration from services that toml_reader or config_delta has
 * read: computes ids, the digests of services that have none, and the index;
 * checks that names, addresses and agents are unique and that no service lacks
 * targets or classes. Takes ownership of the services and frees them on error.
 * Returns 0 and a configuration with one reference, or -1 and the error.
 */
int config_assemble(const char *file, uint64_t version, service_t *services,
		    size_t nservices, const config_lines_t *lines,
		    config_t **out, err_t *err);

#endif
