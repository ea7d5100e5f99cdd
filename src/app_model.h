#ifndef APP_MODEL_H
#define APP_MODEL_H

/*
 * app_model - application protocol of the load tool and the test servers
 *
 * A request is a line; a LOG line is followed by `bytes` bytes of payload:
 *
 *	FEED id chunks interval_ms chunk_bytes
 *	LOG id bytes weight
 *	GET id bytes weight
 *
 * The payload of LOG and the response to FEED and GET are a byte pattern that
 * depends only on the id and the offset. The response to LOG is "OK id\n" once
 * the log is recorded, "AGAIN id\n" when this server had recorded that id
 * before, or "BUSY id\n" when the server shed it without recording.
 */

#include <stddef.h>
#include <stdint.h>

#define APP_LINE_MAX 128 /* bytes of a request line, with NUL */

typedef enum app_kind {
	APP_FEED = 0,
	APP_LOG,
	APP_GET,
	APP_KINDS, /* number of kinds */
} app_kind_t;

typedef struct app_request {
	app_kind_t kind;
	uint64_t id;
	uint64_t bytes;	      /* payload; of a feed: per chunk */
	uint32_t chunks;      /* feed only */
	uint32_t interval_ms; /* feed only */
	uint32_t weight;      /* work relative to a request of weight 1 */
} app_request_t;

/* Writes the request line with its newline to buf. Returns its length. */
size_t app_format(const app_request_t *r, char buf[APP_LINE_MAX]);

/* Parses a request line without its newline. Returns 0 or -1. */
int app_parse(const char *line, app_request_t *r);

/* Fills buf with the pattern of an id, starting at the offset. */
void app_pattern(uint64_t id, uint64_t offset, uint8_t *buf, size_t len);

/* Returns 1 when buf equals the pattern of an id at the offset, else 0. */
int app_pattern_matches(uint64_t id, uint64_t offset, const uint8_t *buf,
			size_t len);

const char *app_kind_name(app_kind_t kind);

#endif
