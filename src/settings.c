#include "settings.h"
#include "toml_reader.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Values of optional keys that are absent. */
#define STOP_MS_DEFAULT	      30000
#define CACHE_FLOWS_DEFAULT   524288
#define RETRY_PERCENT_DEFAULT 10
#define FLOWS_DEFAULT	      8192
#define QUEUE_DEFAULT	      16

int settings_load(const char *file, process_role_t role, settings_t *out,
		  err_t *err)
{
	GError *gerr = NULL;
	char *text;
	size_t len;
	int ret;

	memset(out, 0, sizeof(*out));
	out->role = role;
	out->stop_ms = STOP_MS_DEFAULT;
	out->cache_flows = CACHE_FLOWS_DEFAULT;
	out->retry_percent = RETRY_PERCENT_DEFAULT;
	out->flows = FLOWS_DEFAULT;
	out->queue = QUEUE_DEFAULT;
	if (!g_file_get_contents(file, &text, &len, &gerr)) {
		err_set(err, ERR_IO, file, 0,
			"give the path of a readable settings file", "%s",
			gerr->message);
		g_error_free(gerr);
		return -1;
	}
	ret = toml_read_settings(file, text, len, out, err);
	g_free(text);
	if (ret == 0)
		ret = seal_read_key(out->key_file, out->key, err);
	if (ret == 0 && out->key_file_old[0])
		ret = seal_read_key(out->key_file_old, out->key_old, err);
	if (ret < 0)
		settings_clear(out);
	return ret;
}

seal_t *settings_seal_new(const settings_t *settings, uint64_t session)
{
	seal_t *seal = seal_new(settings->key, session);

	if (seal && settings->key_file_old[0])
		seal_set_alt_key(seal, settings->key_old);
	return seal;
}

void settings_clear(settings_t *settings)
{
	free(settings->peers);
	memset(settings, 0, sizeof(*settings));
}
