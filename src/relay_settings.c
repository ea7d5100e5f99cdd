#include "relay_settings.h"
#include "toml_reader.h"
#include <glib.h>
#include <string.h>

/* Default of memory_mb. */
#define MEMORY_DEFAULT_MB 128

/* Default of silence_ms. */
#define SILENCE_DEFAULT_MS 4000
/* Default of apply_ms. */
#define APPLY_DEFAULT_MS 3000
/* Default of heartbeat_ms. */
#define HEARTBEAT_DEFAULT_MS 1000

static int load(const char *file, relay_role_t role, bool strict,
		relay_settings_t *out, err_t *err)
{
	GError *gerr = NULL;
	char *text;
	size_t len;
	int ret;

	memset(out, 0, sizeof(*out));
	out->silence_ms = SILENCE_DEFAULT_MS;
	out->apply_ms = APPLY_DEFAULT_MS;
	out->heartbeat_ms = HEARTBEAT_DEFAULT_MS;
	out->memory_mb = MEMORY_DEFAULT_MB;
	if (!g_file_get_contents(file, &text, &len, &gerr)) {
		err_set(err, ERR_IO, file, 0,
			"give the path of a readable settings file", "%s",
			gerr->message);
		g_error_free(gerr);
		return -1;
	}
	ret = toml_read_relay_settings(
		file, text, len, role == RELAY_ROLE_AGENT, strict, out, err);
	g_free(text);
	return ret;
}

int relay_settings_load(const char *file, relay_role_t role,
			relay_settings_t *out, err_t *err)
{
	return load(file, role, false, out, err);
}

int relay_settings_check(const char *file, relay_role_t role,
			 relay_settings_t *out, err_t *err)
{
	return load(file, role, true, out, err);
}

bool relay_settings_equal(const relay_settings_t *a, const relay_settings_t *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->zone, b->zone) &&
	       !strcmp(a->service, b->service) && a->address == b->address &&
	       a->internal_port == b->internal_port &&
	       a->metrics_port == b->metrics_port &&
	       a->silence_ms == b->silence_ms && a->apply_ms == b->apply_ms &&
	       a->heartbeat_ms == b->heartbeat_ms &&
	       a->evacuate_ms == b->evacuate_ms &&
	       a->warmup_overage == b->warmup_overage &&
	       a->warmup_slack == b->warmup_slack &&
	       a->memory_mb == b->memory_mb &&
	       endpoint_equal(&a->packets, &b->packets) &&
	       endpoint_equal(&a->ready, &b->ready) &&
	       endpoint_equal(&a->platform, &b->platform) &&
	       endpoint_equal(&a->server, &b->server) &&
	       endpoint_equal(&a->server_out, &b->server_out);
}
