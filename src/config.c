#include "config.h"
#include "toml_reader.h"
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* A load factor of at most 1/2 keeps the probe sequences of lookups short. */
#define INDEX_SLOTS_PER_ENTRY 2
#define INDEX_EMPTY	      UINT32_MAX
/* An index entry is a service number, shifted, plus a class number. */
#define INDEX_CLASS_BITS 8
#define CLASSES_MAX	 (1 << INDEX_CLASS_BITS)

static void service_clear(service_t *service);
static int index_build(config_t *config);
static size_t index_home_slot(const config_t *config, uint32_t address,
			      uint16_t port, uint8_t proto);
static int line_at(const int *lines, size_t i);
static int check_services(const char *file, const config_t *config,
			  const int *lines, err_t *err);
static int check_targets(const char *file, const config_t *config,
			 const int *lines, err_t *err);
static int check_target(const char *file, int line, const service_t *service,
			const target_t *target, GHashTable *names,
			GHashTable *agents, GHashTable *ids, err_t *err);
static void compute_digests(config_t *config);
static void append_service(GString *s, const service_t *service);

uint64_t config_name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static void service_clear(service_t *service)
{
	free(service->classes);
	free(service->targets);
}

config_t *config_ref(config_t *config)
{
	config->refs++;
	return config;
}

void config_unref(config_t *config)
{
	if (!config || --config->refs > 0)
		return;
	for (size_t i = 0; i < config->nservices; i++)
		service_clear(&config->services[i]);
	free(config->services);
	free(config->index);
	free(config);
}

static size_t index_home_slot(const config_t *config, uint32_t address,
			      uint16_t port, uint8_t proto)
{
	uint64_t key = (uint64_t)address << 24 | (uint64_t)port << 8 | proto;

	return XXH3_64bits(&key, sizeof(key)) & (config->nindex - 1);
}

static int index_build(config_t *config)
{
	size_t entries = 0;

	for (size_t i = 0; i < config->nservices; i++)
		entries += config->services[i].nclasses;
	config->nindex = 1;
	while (config->nindex < entries * INDEX_SLOTS_PER_ENTRY)
		config->nindex *= 2;
	config->index = malloc(config->nindex * sizeof(*config->index));
	if (!config->index)
		return -1;
	memset(config->index, 0xff, config->nindex * sizeof(*config->index));
	for (size_t i = 0; i < config->nservices; i++) {
		const service_t *s = &config->services[i];

		for (size_t j = 0; j < s->nclasses; j++) {
			size_t slot = index_home_slot(config, s->address,
						      s->classes[j].port,
						      s->classes[j].proto);

			while (config->index[slot] != INDEX_EMPTY)
				slot = (slot + 1) & (config->nindex - 1);
			config->index[slot] =
				(uint32_t)(i << INDEX_CLASS_BITS | j);
		}
	}
	return 0;
}

const service_t *config_classify(const config_t *config, uint32_t address,
				 uint16_t port, uint8_t proto,
				 const class_t **cls)
{
	size_t slot = index_home_slot(config, address, port, proto);

	while (config->index[slot] != INDEX_EMPTY) {
		uint32_t entry = config->index[slot];
		const service_t *s =
			&config->services[entry >> INDEX_CLASS_BITS];
		const class_t *c = &s->classes[entry & (CLASSES_MAX - 1)];

		if (s->address == address && c->port == port &&
		    c->proto == proto) {
			if (cls)
				*cls = c;
			return s;
		}
		slot = (slot + 1) & (config->nindex - 1);
	}
	return NULL;
}

const service_t *config_service_by_id(const config_t *config, uint64_t id)
{
	for (size_t i = 0; i < config->nservices; i++)
		if (config->services[i].id == id)
			return &config->services[i];
	return NULL;
}

const service_t *config_service_by_name(const config_t *config,
					const char *name)
{
	return config_service_by_id(config, config_name_hash(name));
}

const target_t *service_target_by_id(const service_t *service, uint32_t id)
{
	for (size_t i = 0; i < service->ntargets; i++)
		if (service->targets[i].id == id)
			return &service->targets[i];
	return NULL;
}

const service_t *config_target_by_name(const config_t *config, const char *name,
				       const target_t **target)
{
	uint32_t id = (uint32_t)config_name_hash(name);

	for (size_t i = 0; i < config->nservices; i++) {
		*target = service_target_by_id(&config->services[i], id);
		if (*target)
			return &config->services[i];
	}
	return NULL;
}

static void append_service(GString *s, const service_t *service)
{
	char text[ENDPOINT_TEXT_SIZE];

	g_string_append_printf(s, "[[service]]\nname = \"%s\"\n",
			       service->name);
	g_string_append_printf(s, "address = \"%s\"\n",
			       ipv4_format(service->address, text));
	for (size_t i = 0; i < service->nclasses; i++) {
		const class_t *c = &service->classes[i];

		g_string_append_printf(
			s,
			"[[service.class]]\nname = \"%s\"\nport = %u\n"
			"protocol = \"%s\"\nweight = %u\nidempotent = %s\n",
			c->name, c->port, c->proto == PROTO_TCP ? "tcp" : "udp",
			c->weight, c->idempotent ? "true" : "false");
	}
	for (size_t i = 0; i < service->ntargets; i++) {
		const target_t *t = &service->targets[i];

		g_string_append_printf(
			s,
			"[[service.target]]\nname = \"%s\"\nagent = \"%s\"\n"
			"zone = \"%s\"\nweight = %.6f\nslots = %u\n"
			"connections = %u\nstate = \"%s\"\n",
			t->name, endpoint_format(&t->agent, text), t->zone,
			t->weight, t->slots, t->connections,
			t->state == TARGET_ACTIVE ? "active" : "draining");
	}
}

char *service_to_toml(const service_t *service)
{
	GString *s = g_string_new(NULL);

	append_service(s, service);
	return g_string_free(s, FALSE);
}

char *config_to_toml(const config_t *config)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "version = %llu\n",
			       (unsigned long long)config->version);
	for (size_t i = 0; i < config->nservices; i++)
		append_service(s, &config->services[i]);
	return g_string_free(s, FALSE);
}

static void compute_digests(config_t *config)
{
	XXH64_hash_t digest =
		XXH3_64bits(&config->version, sizeof(config->version));

	for (size_t i = 0; i < config->nservices; i++) {
		service_t *s = &config->services[i];

		if (!s->digest) {
			char *text = service_to_toml(s);

			s->digest = XXH3_64bits(text, strlen(text));
			free(text);
		}
		digest = XXH3_64bits_withSeed(&s->digest, sizeof(s->digest),
					      digest);
	}
	config->digest = digest;
}

static int line_at(const int *lines, size_t i)
{
	return lines ? lines[i] : 0;
}

static int check_services(const char *file, const config_t *config,
			  const int *lines, err_t *err)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *addresses = g_hash_table_new(NULL, NULL);
	int ret = -1;

	for (size_t i = 0; i < config->nservices; i++) {
		service_t *s = &config->services[i];

		if (!g_hash_table_add(names, s->name)) {
			err_set(err, ERR_DUPLICATE, file, line_at(lines, i),
				"give each service its own name",
				"service \"%s\" is declared twice", s->name);
			goto out;
		}
		if (!g_hash_table_add(addresses,
				      GUINT_TO_POINTER(s->address))) {
			err_set(err, ERR_DUPLICATE, file, line_at(lines, i),
				"give each service its own address",
				"address of service \"%s\" is used by another "
				"service",
				s->name);
			goto out;
		}
		if (s->ntargets == 0) {
			err_set(err, ERR_EMPTY, file, line_at(lines, i),
				"add a [[service.target]] or remove the "
				"service",
				"service \"%s\" has no target", s->name);
			goto out;
		}
		if (s->nclasses == 0 || s->nclasses > CLASSES_MAX) {
			err_set(err, ERR_EMPTY, file, line_at(lines, i),
				"declare 1 to 256 [[service.class]] tables",
				"service \"%s\" has %zu classes", s->name,
				s->nclasses);
			goto out;
		}
	}
	ret = 0;
out:
	g_hash_table_destroy(addresses);
	g_hash_table_destroy(names);
	return ret;
}

static int check_target(const char *file, int line, const service_t *service,
			const target_t *target, GHashTable *names,
			GHashTable *agents, GHashTable *ids, err_t *err)
{
	uint64_t agent = (uint64_t)target->agent.ip << 16 | target->agent.port;
	const service_t *other;

	other = g_hash_table_lookup(names, target->name);
	if (other && other != service)
		return err_set(err, ERR_DUPLICATE, file, line,
			       "remove the target from one of the services",
			       "target \"%s\" is in services \"%s\" and "
			       "\"%s\"",
			       target->name, other->name, service->name);
	if (other)
		return err_set(err, ERR_DUPLICATE, file, line,
			       "remove one of the declarations",
			       "target \"%s\" is declared twice", target->name);
	if (g_hash_table_contains(agents, GSIZE_TO_POINTER(agent)))
		return err_set(err, ERR_DUPLICATE, file, line,
			       "give each target its own agent address",
			       "agent address of target \"%s\" is used by "
			       "another target",
			       target->name);
	if (g_hash_table_contains(ids, GUINT_TO_POINTER(target->id)))
		return err_set(
			err, ERR_DUPLICATE, file, line, "rename the target",
			"name of target \"%s\" has the same hash as that of "
			"another target",
			target->name);
	g_hash_table_insert(names, (char *)target->name, (void *)service);
	g_hash_table_add(agents, GSIZE_TO_POINTER(agent));
	g_hash_table_add(ids, GUINT_TO_POINTER(target->id));
	return 0;
}

static int check_targets(const char *file, const config_t *config,
			 const int *lines, err_t *err)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *agents = g_hash_table_new(NULL, NULL);
	GHashTable *ids = g_hash_table_new(NULL, NULL);
	size_t n = 0;
	int ret = 0;

	for (size_t i = 0; i < config->nservices && ret == 0; i++) {
		const service_t *s = &config->services[i];

		for (size_t j = 0; j < s->ntargets && ret == 0; j++)
			ret = check_target(file, line_at(lines, n++), s,
					   &s->targets[j], names, agents, ids,
					   err);
	}
	g_hash_table_destroy(ids);
	g_hash_table_destroy(agents);
	g_hash_table_destroy(names);
	return ret;
}

int config_assemble(const char *file, uint64_t version, service_t *services,
		    size_t nservices, const config_lines_t *lines,
		    config_t **out, err_t *err)
{
	config_t *config = calloc(1, sizeof(*config));

	if (!config) {
		for (size_t i = 0; i < nservices; i++)
			service_clear(&services[i]);
		free(services);
		return err_set(err, ERR_MEMORY, file, 0, "free memory",
			       "out of memory for the configuration");
	}
	config->refs = 1;
	config->version = version;
	config->version_line = lines->version;
	config->services = services;
	config->nservices = nservices;
	for (size_t i = 0; i < nservices; i++) {
		service_t *s = &services[i];

		s->id = config_name_hash(s->name);
		for (size_t j = 0; j < s->ntargets; j++)
			s->targets[j].id =
				(uint32_t)config_name_hash(s->targets[j].name);
	}
	if (check_services(file, config, lines->services, err) < 0 ||
	    check_targets(file, config, lines->targets, err) < 0)
		goto fail;
	compute_digests(config);
	if (index_build(config) < 0) {
		err_set(err, ERR_MEMORY, file, 0, "free memory",
			"out of memory for the class index");
		goto fail;
	}
	*out = config;
	return 0;
fail:
	config_unref(config);
	return -1;
}

bool config_is_newer(uint64_t version_a, uint64_t digest_a, uint64_t version_b,
		     uint64_t digest_b)
{
	if (version_a != version_b)
		return version_a > version_b;
	return digest_a > digest_b;
}

int config_check_newer(const config_t *old, const config_t *config,
		       const char *file, err_t *err)
{
	if (!old || config->version > old->version)
		return 0;
	return err_set(err, ERR_VERSION, file, config->version_line,
		       "publish the document with a higher version",
		       "version %llu is not higher than %llu",
		       (unsigned long long)config->version,
		       (unsigned long long)old->version);
}

char *config_example(unsigned services, unsigned targets, uint64_t version)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "version = %llu\n",
			       (unsigned long long)version);
	for (unsigned i = 0; i < services; i++) {
		g_string_append_printf(
			s,
			"[[service]]\nname = \"s%u\"\n"
			"address = \"198.%u.%u.%u\"\n"
			"class = [\n{ name = \"feed\", port = 6001, "
			"idempotent = true },\n{ name = \"log\", port = 6002, "
			"weight = 2, idempotent = false },\n]\n"
			"defaults = { slots = 5, connections = 2000 }\n"
			"target = [\n",
			i, 18 + i / 65536, i / 256 % 256, i % 256);
		for (unsigned j = 0; j < targets; j++)
			g_string_append_printf(
				s,
				"{ name = \"s%u-%u\", agent = "
				"\"10.%u.%u.%u:7400\", zone = \"z%u\" },\n",
				i, j, i / 256, i % 256, j + 1, j % 3);
		g_string_append(s, "]\n");
	}
	return g_string_free(s, FALSE);
}

int config_parse(const char *file, const char *text, size_t len, config_t **out,
		 err_t *err)
{
	if (len > CONFIG_MAX_BYTES)
		return err_set(
			err, ERR_SIZE, file, 0,
			"split the services between two installations",
			"document has %zu bytes, more than the limit of %d",
			len, CONFIG_MAX_BYTES);
	return toml_read_config(file, text, len, out, err);
}

int config_load(const char *file, config_t **out, err_t *err)
{
	char *text;
	size_t len;
	GError *gerr = NULL;
	int ret;

	if (!g_file_get_contents(file, &text, &len, &gerr)) {
		err_set(err, ERR_IO, file, 0,
			"give the path of a readable file", "%s",
			gerr->message);
		g_error_free(gerr);
		return -1;
	}
	ret = config_parse(file, text, len, out, err);
	g_free(text);
	return ret;
}
