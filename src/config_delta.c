#include "config_delta.h"
#include "toml_reader.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct config_summary {
	uint64_t version;
	uint64_t digest;
	size_t nservices;
	uint64_t *ids;	   /* service ids, owned */
	uint64_t *digests; /* digest of each of these services, owned */
};

struct config_history {
	config_summary_t entries[CONFIG_HISTORY];
	uint64_t nadded; /* entries added since the start */
};

static void summary_clear(config_summary_t *summary);
static bool same_order(const config_t *config, const config_summary_t *base);
static const uint64_t *base_digest(const config_summary_t *base,
				   GHashTable *index, uint64_t id);
static int add_part(config_reply_msg_t *reply, const service_t *service);
static int copy_service(service_t *to, const service_t *from);
static config_t *parse_parts(const char *source,
			     const config_reply_msg_t *reply, err_t *err);
static GHashTable *index_services(const config_t *config);

config_history_t *config_history_new(void)
{
	return calloc(1, sizeof(config_history_t));
}

static void summary_clear(config_summary_t *summary)
{
	free(summary->ids);
	free(summary->digests);
	memset(summary, 0, sizeof(*summary));
}

void config_history_free(config_history_t *history)
{
	if (!history)
		return;
	for (size_t i = 0; i < CONFIG_HISTORY; i++)
		summary_clear(&history->entries[i]);
	free(history);
}

void config_history_add(config_history_t *history, const config_t *config)
{
	config_summary_t *s =
		&history->entries[history->nadded % CONFIG_HISTORY];

	summary_clear(s);
	s->ids = calloc(config->nservices + 1, sizeof(*s->ids));
	s->digests = calloc(config->nservices + 1, sizeof(*s->digests));
	if (!s->ids || !s->digests) {
		summary_clear(s);
		return;
	}
	for (size_t i = 0; i < config->nservices; i++) {
		s->ids[i] = config->services[i].id;
		s->digests[i] = config->services[i].digest;
	}
	s->nservices = config->nservices;
	s->version = config->version;
	s->digest = config->digest;
	history->nadded++;
}

const config_summary_t *config_history_find(const config_history_t *history,
					    uint64_t version, uint64_t digest)
{
	for (size_t i = 0; i < CONFIG_HISTORY; i++) {
		const config_summary_t *s = &history->entries[i];

		if (s->ids && s->version == version && s->digest == digest)
			return s;
	}
	return NULL;
}

static bool same_order(const config_t *config, const config_summary_t *base)
{
	if (!base || config->nservices != base->nservices)
		return false;
	for (size_t i = 0; i < base->nservices; i++)
		if (config->services[i].id != base->ids[i])
			return false;
	return true;
}

static const uint64_t *base_digest(const config_summary_t *base,
				   GHashTable *index, uint64_t id)
{
	size_t at = GPOINTER_TO_SIZE(
		g_hash_table_lookup(index, GSIZE_TO_POINTER(id)));

	return base && at ? &base->digests[at - 1] : NULL;
}

static int add_part(config_reply_msg_t *reply, const service_t *service)
{
	service_part_msg_t *part = malloc(sizeof(*part));

	if (!part)
		return -1;
	ct__service_part__init(part);
	part->id = service->id;
	part->digest = service->digest;
	part->text = service_to_toml(service);
	reply->parts[reply->n_parts++] = part;
	return 0;
}

config_reply_msg_t *config_reply_new(const config_t *config,
				     const config_summary_t *base)
{
	config_reply_msg_t *reply = malloc(sizeof(*reply));
	GHashTable *index = g_hash_table_new(NULL, NULL);
	size_t n = config->nservices;

	if (!reply)
		goto out;
	ct__config_reply__init(reply);
	reply->version = config->version;
	reply->digest = config->digest;
	reply->base_version = base ? base->version : 0;
	reply->parts = calloc(n + 1, sizeof(void *));
	reply->order = calloc(n + 1, sizeof(*reply->order));
	if (!reply->parts || !reply->order)
		goto fail;
	for (size_t i = 0; base && i < base->nservices; i++)
		g_hash_table_insert(index, GSIZE_TO_POINTER(base->ids[i]),
				    GSIZE_TO_POINTER(i + 1));
	for (size_t i = 0; i < n; i++) {
		const service_t *s = &config->services[i];
		const uint64_t *old = base_digest(base, index, s->id);

		if ((!old || *old != s->digest) && add_part(reply, s) < 0)
			goto fail;
		reply->order[i] = s->id;
	}
	/* An empty order means the services of the base in their order. */
	reply->n_order = same_order(config, base) ? 0 : n;
	goto out;
fail:
	config_reply_free(reply);
	reply = NULL;
out:
	g_hash_table_destroy(index);
	return reply;
}

void config_reply_free(config_reply_msg_t *reply)
{
	if (!reply)
		return;
	for (size_t i = 0; reply->parts && i < reply->n_parts; i++) {
		service_part_msg_t *part = reply->parts[i];

		if (part)
			g_free(part->text);
		free(part);
	}
	free(reply->parts);
	free(reply->order);
	free(reply);
}

static int copy_service(service_t *to, const service_t *from)
{
	*to = *from;
	to->classes = calloc(from->nclasses + 1, sizeof(*to->classes));
	to->targets = calloc(from->ntargets + 1, sizeof(*to->targets));
	if (!to->classes || !to->targets) {
		free(to->classes);
		free(to->targets);
		return -1;
	}
	memcpy(to->classes, from->classes,
	       from->nclasses * sizeof(*to->classes));
	memcpy(to->targets, from->targets,
	       from->ntargets * sizeof(*to->targets));
	return 0;
}

/* Parses the services of a reply as one document, with a dummy version. */
static config_t *parse_parts(const char *source,
			     const config_reply_msg_t *reply, err_t *err)
{
	GString *s = g_string_new("version = 1\n");
	config_t *parts = NULL;

	for (size_t i = 0; i < reply->n_parts; i++)
		g_string_append(s, reply->parts[i]->text);
	if (s->len > CONFIG_TEXT_MAX_BYTES)
		err_set(err, ERR_SIZE, source, 0, "check this peer",
			"peer sent services of %zu bytes, more than the limit "
			"of %d",
			s->len, CONFIG_TEXT_MAX_BYTES);
	else if (toml_read_config(source, s->str, s->len, &parts, err) < 0)
		parts = NULL;
	g_string_free(s, TRUE);
	return parts;
}

static GHashTable *index_services(const config_t *config)
{
	GHashTable *index = g_hash_table_new(NULL, NULL);

	for (size_t i = 0; config && i < config->nservices; i++)
		g_hash_table_insert(index,
				    GSIZE_TO_POINTER(config->services[i].id),
				    &config->services[i]);
	return index;
}

int config_merge(const char *source, const config_t *base,
		 const config_reply_msg_t *reply, config_t **out, err_t *err)
{
	static const config_lines_t no_lines = { 0 };
	config_t *parts =
		reply->n_parts ? parse_parts(source, reply, err) : NULL;
	size_t n = reply->n_order ? reply->n_order : base ? base->nservices : 0;
	GHashTable *changed = NULL, *existing = NULL;
	service_t *services = NULL;
	size_t ncopied = 0;
	int ret = -1;

	if (reply->n_parts && !parts)
		return -1;
	if (reply->version == 0 || n == 0) {
		err_set(err, ERR_PROTOCOL, source, 0, "check this peer",
			"peer sent an empty configuration");
		goto out;
	}
	changed = index_services(parts);
	existing = index_services(base);
	services = calloc(n, sizeof(*services));
	for (; services && ncopied < n; ncopied++) {
		uint64_t id = reply->n_order ? reply->order[ncopied]
					     : base->services[ncopied].id;
		const service_t *s =
			g_hash_table_lookup(changed, GSIZE_TO_POINTER(id));

		if (!s)
			s = g_hash_table_lookup(existing, GSIZE_TO_POINTER(id));
		if (!s || copy_service(&services[ncopied], s) < 0)
			break;
	}
	if (ncopied < n) {
		for (size_t i = 0; i < ncopied; i++) {
			free(services[i].classes);
			free(services[i].targets);
		}
		free(services);
		err_set(err, ERR_PROTOCOL, source, 0, "check this peer",
			"peer's reply lacks the text of a service");
		goto out;
	}
	if (config_assemble(source, reply->version, services, n, &no_lines, out,
			    err) < 0)
		goto out;
	if ((*out)->digest != reply->digest) {
		config_unref(*out);
		*out = NULL;
		err_set(err, ERR_PROTOCOL, source, 0, "check this peer",
			"merged configuration does not have the digest of "
			"the peer's reply");
		goto out;
	}
	ret = 0;
out:
	if (changed)
		g_hash_table_destroy(changed);
	if (existing)
		g_hash_table_destroy(existing);
	config_unref(parts);
	return ret;
}
