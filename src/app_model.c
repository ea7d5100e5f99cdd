#include "app_model.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static uint8_t pattern_byte(uint64_t id, uint64_t offset);

size_t app_format(const app_request_t *r, char buf[APP_LINE_MAX])
{
	int n;

	if (r->kind == APP_FEED)
		n = snprintf(buf, APP_LINE_MAX,
			     "FEED %" PRIu64 " %u %u %" PRIu64 "\n", r->id,
			     r->chunks, r->interval_ms, r->bytes);
	else
		n = snprintf(buf, APP_LINE_MAX,
			     "%s %" PRIu64 " %" PRIu64 " %u\n",
			     r->kind == APP_LOG ? "LOG" : "GET", r->id,
			     r->bytes, r->weight);
	return (size_t)n;
}

int app_parse(const char *line, app_request_t *r)
{
	memset(r, 0, sizeof(*r));
	r->weight = 1;
	if (sscanf(line, "FEED %" SCNu64 " %u %u %" SCNu64, &r->id, &r->chunks,
		   &r->interval_ms, &r->bytes) == 4) {
		r->kind = APP_FEED;
		return 0;
	}
	if (sscanf(line, "LOG %" SCNu64 " %" SCNu64 " %u", &r->id, &r->bytes,
		   &r->weight) == 3) {
		r->kind = APP_LOG;
		return 0;
	}
	if (sscanf(line, "GET %" SCNu64 " %" SCNu64 " %u", &r->id, &r->bytes,
		   &r->weight) == 3) {
		r->kind = APP_GET;
		return 0;
	}
	return -1;
}

static uint8_t pattern_byte(uint64_t id, uint64_t offset)
{
	return (uint8_t)(id * 31 + offset * 7 + (offset >> 8) * 13 +
			 (offset >> 16));
}

void app_pattern(uint64_t id, uint64_t offset, uint8_t *buf, size_t len)
{
	for (size_t i = 0; i < len; i++)
		buf[i] = pattern_byte(id, offset + i);
}

int app_pattern_matches(uint64_t id, uint64_t offset, const uint8_t *buf,
			size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (buf[i] != pattern_byte(id, offset + i))
			return 0;
	return 1;
}

const char *app_kind_name(app_kind_t kind)
{
	static const char *const names[APP_KINDS] = { "feed", "log", "get" };

	return kind < APP_KINDS ? names[kind] : "unknown";
}
