#ifndef APP_MODEL_H
#define APP_MODEL_H

/*
 * app_model - the requests that the load tool and the server stand-in speak
 *
 * A request is a line, and for a log that many bytes behind it:
 *
 *	FEED id chunks interval_ms chunk_bytes
 *	LOG id bytes weight
 *	GET id bytes weight
 *
 * The answer to FEED and GET is a pattern of bytes that depends on the id
 * only. The answer to LOG is "OK id\n", after the log was recorded, "AGAIN
 * id\n" when this server had recorded that id before, or "BUSY id\n" when it
 * was not recorded.
 */

#include <stddef.h>
#include <stdint.h>

#define APP_LINE_MAX 128

typedef enum app_kind {
	APP_FEED = 0,
	APP_LOG,
	APP_GET,
	APP_KINDS, /* number of kinds, not one */
} app_kind_t;

typedef struct app_request {
	app_kind_t kind;
	uint64_t id;
	uint64_t bytes;	      /* of one chunk of a feed, else of all */
	uint32_t chunks;      /* feed only */
	uint32_t interval_ms; /* feed only */
	uint32_t weight;      /* how much work it is */
} app_request_t;

/* Writes the request line with its newline; returns its length. */
size_t app_format(const app_request_t *r, char buf[APP_LINE_MAX]);

/* Reads a line without its newline. Returns 0 or -1. */
int app_parse(const char *line, app_request_t *r);

/* Fills buf with the pattern of an id from an offset on. */
void app_pattern(uint64_t id, uint64_t offset, uint8_t *buf, size_t len);

/* Returns 1 when the bytes are the pattern. */
int app_pattern_matches(uint64_t id, uint64_t offset, const uint8_t *buf,
			size_t len);

const char *app_kind_name(app_kind_t kind);

#endif
