#include "cli_query.h"
#include "config.h"
#include <stdio.h>
#include <string.h>

/* Exit codes, as of diff(1). */
#define DIFF_SAME      0
#define DIFF_DIFFERENT 1
#define DIFF_TROUBLE   2

static unsigned diff_target(const service_t *s, const target_t *a,
			    const target_t *b);
static unsigned diff_targets(const service_t *a, const service_t *b);
static unsigned diff_classes(const service_t *a, const service_t *b);
static const class_t *find_class(const service_t *s, const char *name);
static unsigned diff_service(const service_t *a, const service_t *b);
static unsigned diff_services(const config_t *a, const config_t *b);

static const char *state_name(target_state_t state)
{
	return state == TARGET_ACTIVE ? "active" : "draining";
}

/* Prints a line when the targets differ. Returns the lines printed, 0 or 1. */
static unsigned diff_target(const service_t *s, const target_t *a,
			    const target_t *b)
{
	GString *line = g_string_new(NULL);
	char from[ENDPOINT_TEXT_SIZE], to[ENDPOINT_TEXT_SIZE];
	unsigned n;

	if (!endpoint_equal(&a->agent, &b->agent))
		g_string_append_printf(line, " agent %s -> %s",
				       endpoint_format(&a->agent, from),
				       endpoint_format(&b->agent, to));
	if (strcmp(a->zone, b->zone) != 0)
		g_string_append_printf(line, " zone %s -> %s", a->zone,
				       b->zone);
	if (a->weight < b->weight || a->weight > b->weight)
		g_string_append_printf(line, " weight %g -> %g", a->weight,
				       b->weight);
	if (a->slots != b->slots)
		g_string_append_printf(line, " slots %u -> %u", a->slots,
				       b->slots);
	if (a->connections != b->connections)
		g_string_append_printf(line, " connections %u -> %u",
				       a->connections, b->connections);
	if (a->state != b->state)
		g_string_append_printf(line, " state %s -> %s",
				       state_name(a->state),
				       state_name(b->state));
	n = line->len > 0;
	if (n)
		printf("~ target %s/%s:%s\n", s->name, a->name, line->str);
	g_string_free(line, TRUE);
	return n;
}

static unsigned diff_targets(const service_t *a, const service_t *b)
{
	unsigned n = 0;

	for (size_t i = 0; i < a->ntargets; i++) {
		const target_t *t = service_target_by_id(b, a->targets[i].id);

		if (t) {
			n += diff_target(a, &a->targets[i], t);
			continue;
		}
		printf("- target %s/%s\n", a->name, a->targets[i].name);
		n++;
	}
	for (size_t i = 0; i < b->ntargets; i++) {
		if (service_target_by_id(a, b->targets[i].id))
			continue;
		printf("+ target %s/%s\n", b->name, b->targets[i].name);
		n++;
	}
	return n;
}

static const class_t *find_class(const service_t *s, const char *name)
{
	for (size_t i = 0; i < s->nclasses; i++)
		if (!strcmp(s->classes[i].name, name))
			return &s->classes[i];
	return NULL;
}

static unsigned diff_classes(const service_t *a, const service_t *b)
{
	unsigned n = 0;

	for (size_t i = 0; i < a->nclasses; i++) {
		const class_t *old = &a->classes[i];
		const class_t *cur = find_class(b, old->name);

		if (cur && cur->port == old->port && cur->proto == old->proto &&
		    cur->weight == old->weight &&
		    cur->idempotent == old->idempotent)
			continue;
		printf("%c class %s/%s\n", cur ? '~' : '-', a->name, old->name);
		n++;
	}
	for (size_t i = 0; i < b->nclasses; i++) {
		if (find_class(a, b->classes[i].name))
			continue;
		printf("+ class %s/%s\n", b->name, b->classes[i].name);
		n++;
	}
	return n;
}

static unsigned diff_service(const service_t *a, const service_t *b)
{
	char from[ENDPOINT_TEXT_SIZE], to[ENDPOINT_TEXT_SIZE];
	unsigned n = 0;

	if (a->address != b->address) {
		printf("~ service %s: address %s -> %s\n", a->name,
		       ipv4_format(a->address, from),
		       ipv4_format(b->address, to));
		n++;
	}
	return n + diff_classes(a, b) + diff_targets(a, b);
}

static unsigned diff_services(const config_t *a, const config_t *b)
{
	unsigned n = 0;

	for (size_t i = 0; i < a->nservices; i++) {
		const service_t *old = &a->services[i];
		const service_t *cur = config_service_by_id(b, old->id);

		if (cur && cur->digest == old->digest)
			continue;
		if (cur) {
			n += diff_service(old, cur);
			continue;
		}
		printf("- service %s, %zu targets\n", old->name, old->ntargets);
		n++;
	}
	for (size_t i = 0; i < b->nservices; i++) {
		const service_t *cur = &b->services[i];

		if (config_service_by_id(a, cur->id))
			continue;
		printf("+ service %s, %zu targets\n", cur->name, cur->ntargets);
		n++;
	}
	return n;
}

int cli_diff(int argc, char **argv)
{
	config_t *a = NULL, *b = NULL;
	unsigned n;
	err_t err;
	int code;

	if (cli_parse_options(
		    "diff", "OLD NEW",
		    "Prints the changes from OLD to NEW: + added, - removed, "
		    "~ changed.\nExits 0 when the documents are equal, 1 when "
		    "they differ, 2 when one is invalid.",
		    NULL, &argc, &argv, &code) < 0)
		return code;
	if (argc != 3)
		return cli_usage_error("diff", "OLD and NEW are needed");
	code = DIFF_TROUBLE;
	if (config_load(argv[1], &a, &err) < 0 ||
	    config_load(argv[2], &b, &err) < 0) {
		cli_fail("diff", &err);
		goto out;
	}
	n = diff_services(a, b);
	if (a->version != b->version) {
		printf("~ version %llu -> %llu\n",
		       (unsigned long long)a->version,
		       (unsigned long long)b->version);
		n++;
	}
	if (n && config_check_newer(a, b, argv[2], &err) < 0)
		cli_fail("diff", &err);
	code = n ? DIFF_DIFFERENT : DIFF_SAME;
out:
	config_unref(a);
	config_unref(b);
	return code;
}
