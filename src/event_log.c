#include "event_log.h"
#include "endpoint.h"
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Buffer for lines between two flushes, in bytes. */
#define PENDING_SIZE 16384
/* Maximum length of a line, in bytes. */
#define LINE_SIZE 700

static const char *const names[NEVENTS] = {
	"start",   "stop",	 "reload", "ready", "store",	  "routes",
	"target",  "member",	 "open",   "taken", "passed",	  "refused",
	"queued",  "unanswered", "lookup", "held",  "given-back", "reset",
	"message", "server",	 "wake",   "zone",
};

static const char *process_name = "cherviltray";
static char pending[PENDING_SIZE];
static size_t pending_len;
static unsigned long dropped_lines;    /* lines too long, and flushes cut off */
static time_t current_second;	       /* of the monotonic clock */
static unsigned event_counts[NEVENTS]; /* in the current second */

static void add_line(const char *text, size_t len);
static void begin_second(time_t now);
static int format_line_prefix(char *line, const char *event);

void event_log_init(const char *process)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	process_name = process;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void add_line(const char *text, size_t len)
{
	if (pending_len + len > sizeof(pending))
		event_log_flush();
	if (pending_len + len > sizeof(pending)) {
		dropped_lines++;
		return;
	}
	memcpy(pending + pending_len, text, len);
	pending_len += len;
}

static int format_line_prefix(char *line, const char *event)
{
	struct timespec wall;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &wall);
	gmtime_r(&wall.tv_sec, &tm);
	return snprintf(line, LINE_SIZE,
			"{\"time\":\"%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ\","
			"\"process\":\"%s\",\"event\":\"%s\"",
			tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday,
			tm.tm_hour, tm.tm_min, tm.tm_sec,
			wall.tv_nsec / 1000000, process_name, event);
}

/* Reports the lines that were left out in the previous second. */
static void begin_second(time_t now)
{
	char line[LINE_SIZE];

	for (int i = 0; i < NEVENTS; i++) {
		int n;

		if (event_counts[i] > EVENT_LINES_PER_SECOND) {
			n = format_line_prefix(line, "left-out");
			n += snprintf(line + n, sizeof(line) - (size_t)n,
				      ",\"of\":\"%s\",\"lines\":%u}\n",
				      names[i],
				      event_counts[i] - EVENT_LINES_PER_SECOND);
			add_line(line, (size_t)n);
		}
		event_counts[i] = 0;
	}
	if (dropped_lines) {
		int n = format_line_prefix(line, "left-out");

		n += snprintf(line + n, sizeof(line) - (size_t)n,
			      ",\"of\":\"any\",\"lines\":%lu}\n",
			      dropped_lines);
		dropped_lines = 0;
		add_line(line, (size_t)n);
	}
	current_second = now;
}

void event_log(event_t event, const char *members, ...)
{
	struct timespec now;
	char line[LINE_SIZE];
	va_list ap;
	int n, body;

	clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
	if (now.tv_sec != current_second)
		begin_second(now.tv_sec);
	if (++event_counts[event] > EVENT_LINES_PER_SECOND)
		return;
	n = format_line_prefix(line, names[event]);
	line[n++] = ',';
	va_start(ap, members);
	body = vsnprintf(line + n, sizeof(line) - (size_t)n - 2, members, ap);
	va_end(ap);
	if (body < 0 || (size_t)body >= sizeof(line) - (size_t)n - 2) {
		dropped_lines++;
		return;
	}
	n += body;
	line[n++] = '}';
	line[n++] = '\n';
	add_line(line, (size_t)n);
}

void event_log_flush(void)
{
	size_t done = 0;

	while (done < pending_len) {
		ssize_t n = write(STDOUT_FILENO, pending + done,
				  pending_len - done);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			/* The pipe is full: drop the rest, so that a slow
			 * reader does not block the process. */
			dropped_lines++;
			break;
		}
		done += (size_t)n;
	}
	pending_len = 0;
}

char *flow_key_format(const flow_key_t *key, char buf[FLOW_TEXT_SIZE])
{
	char src[ENDPOINT_TEXT_SIZE], dst[ENDPOINT_TEXT_SIZE];
	endpoint_t from = { key->src, key->sport };
	endpoint_t to = { key->dst, key->dport };

	snprintf(buf, FLOW_TEXT_SIZE, "%s-%s", endpoint_format(&from, src),
		 endpoint_format(&to, dst));
	return buf;
}

char *event_log_quote(const char *text, char *buf, size_t size)
{
	size_t n = 0;

	for (; *text && n + 1 < size; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"')
			buf[n++] = '\'';
		else
			buf[n++] = c < 0x20 || c > 0x7e || c == '\\' ? '?'
								     : (char)c;
	}
	buf[n] = '\0';
	return buf;
}
