#include "event_log.h"
#include "endpoint.h"
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Lines are collected up to this many bytes between two flushes. */
#define PENDING_BYTES 16384
/* The longest line. */
#define LINE_BYTES 700

static const char *const names[EVENTS] = {
	"start",  "stop",    "reload",	   "ready",  "store",
	"routes", "target",  "member",	   "open",   "taken",
	"passed", "refused", "unanswered", "lookup", "given-back",
	"reset",  "message", "server",	   "wake",
};

static const char *process_name = "cherviltray";
static char pending[PENDING_BYTES];
static size_t pending_len;
static unsigned long lost; /* lines that did not fit or were not taken */
static time_t second;	   /* of the steady clock */
static unsigned written[EVENTS];

static void add_line(const char *text, size_t len);
static void new_second(time_t now);
static int line_head(char *line, const char *event);

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
		lost++;
		return;
	}
	memcpy(pending + pending_len, text, len);
	pending_len += len;
}

static int line_head(char *line, const char *event)
{
	struct timespec wall;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &wall);
	gmtime_r(&wall.tv_sec, &tm);
	return snprintf(line, LINE_BYTES,
			"{\"time\":\"%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ\","
			"\"process\":\"%s\",\"event\":\"%s\"",
			tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday,
			tm.tm_hour, tm.tm_min, tm.tm_sec,
			wall.tv_nsec / 1000000, process_name, event);
}

/* Tells what the second before left out. */
static void new_second(time_t now)
{
	char line[LINE_BYTES];

	for (int i = 0; i < EVENTS; i++) {
		int n;

		if (written[i] > EVENT_RATE) {
			n = line_head(line, "left-out");
			n += snprintf(line + n, sizeof(line) - (size_t)n,
				      ",\"of\":\"%s\",\"lines\":%u}\n",
				      names[i], written[i] - EVENT_RATE);
			add_line(line, (size_t)n);
		}
		written[i] = 0;
	}
	if (lost) {
		int n = line_head(line, "left-out");

		n += snprintf(line + n, sizeof(line) - (size_t)n,
			      ",\"of\":\"any\",\"lines\":%lu}\n", lost);
		lost = 0;
		add_line(line, (size_t)n);
	}
	second = now;
}

void event_log(event_t event, const char *members, ...)
{
	struct timespec steady;
	char line[LINE_BYTES];
	va_list ap;
	int n, body;

	clock_gettime(CLOCK_MONOTONIC_COARSE, &steady);
	if (steady.tv_sec != second)
		new_second(steady.tv_sec);
	if (++written[event] > EVENT_RATE)
		return;
	n = line_head(line, names[event]);
	line[n++] = ',';
	va_start(ap, members);
	body = vsnprintf(line + n, sizeof(line) - (size_t)n - 2, members, ap);
	va_end(ap);
	if (body < 0 || (size_t)body >= sizeof(line) - (size_t)n - 2) {
		lost++;
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
			/* A full pipe: a reader that is slow loses lines. */
			lost++;
			break;
		}
		done += (size_t)n;
	}
	pending_len = 0;
}

char *flow_text(const flow_key_t *key, char buf[FLOW_TEXT])
{
	char src[ENDPOINT_TEXT], dst[ENDPOINT_TEXT];
	endpoint_t from = { key->src, key->sport };
	endpoint_t to = { key->dst, key->dport };

	snprintf(buf, FLOW_TEXT, "%s-%s", endpoint_format(&from, src),
		 endpoint_format(&to, dst));
	return buf;
}
