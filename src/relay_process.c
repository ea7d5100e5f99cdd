#include "relay_process.h"
#include "event_log.h"
#include "version.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

/* Interval between checks of the settings file, which may change without a
 * SIGHUP. */
#define SETTINGS_CHECK_MS 2000
/* Shorter suspensions of the host are ignored: they make no state invalid. */
#define RESUME_MIN_MS 300

static uint64_t clock_ms(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* Returns the time that the host has been suspended since it booted: only
 * CLOCK_BOOTTIME includes it. */
static uint64_t read_suspended_ms(void)
{
	uint64_t monotonic = clock_ms(CLOCK_MONOTONIC);
	uint64_t boottime = clock_ms(CLOCK_BOOTTIME);

	return boottime > monotonic ? boottime - monotonic : 0;
}

static int64_t file_mtime_ns(const char *file)
{
	struct stat st;

	if (stat(file, &st) < 0)
		return -1;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

uint64_t relay_process_now(const relay_process_t *p)
{
	return uv_now(&p->loop);
}

void relay_process_send_packet(void *process, uint32_t host, const uint8_t *buf,
			       size_t len)
{
	relay_process_t *p = process;
	endpoint_t to = { host, p->settings.packets.port };

	udp_socket_send(p->packets, &to, buf, len);
}

void relay_process_send_message(void *process, uint32_t host,
				const relay_msg_t *msg)
{
	relay_process_t *p = process;
	endpoint_t to = { host, p->settings.internal_port };
	size_t len = relay_msg_pack(msg, udp_socket_reserve(p->messages));

	if (len)
		udp_socket_commit(p->messages, &to, len);
	else
		event_log(EVENT_MESSAGE,
			  "\"why\":\"message exceeds the size limit\","
			  "\"kind\":\"%s\"",
			  relay_kind_name(msg->kind));
}

/* Returns how long the datagram waited that is being received, in ms. */
static uint32_t note_wait(relay_process_t *p, const udp_socket_t *s)
{
	uint32_t wait_ms = udp_socket_wait_ms(s);

	p->waited += wait_ms > 0;
	p->longest_wait_ms = MAX(p->longest_wait_ms, wait_ms);
	return wait_ms;
}

static void log_waits(relay_process_t *p)
{
	if (!p->waited)
		return;
	event_log(EVENT_WAKE, "\"waited\":%u,\"longest_ms\":%u", p->waited,
		  p->longest_wait_ms);
	p->waited = 0;
	p->longest_wait_ms = 0;
}

static void on_packet(void *ctx, const endpoint_t *from, uint8_t *buf,
		      size_t len)
{
	relay_process_t *p = ctx;
	uint32_t wait_ms = note_wait(p, p->packets);

	p->daemon->packet(p, uv_now(&p->loop), wait_ms, from->ip, buf, len);
}

static void on_message(void *ctx, const endpoint_t *from, uint8_t *buf,
		       size_t len)
{
	relay_process_t *p = ctx;
	relay_msg_t *msg = relay_msg_unpack(buf, len);
	uint32_t wait_ms = note_wait(p, p->messages);

	if (!msg) {
		counter_add(p->counters, COUNTER_MESSAGE_MALFORMED, 1);
		return;
	}
	p->daemon->message(p, uv_now(&p->loop), wait_ms, from->ip, msg);
	relay_msg_free(msg);
}

static void add_histogram(GString *out, const char *name, const histogram_t *h)
{
	uint64_t below = 0;

	for (int i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		below += h->counts[i];
		g_string_append_printf(out, "%s_bucket{le=\"%d\"} %llu\n", name,
				       1 << i, (unsigned long long)below);
	}
	g_string_append_printf(
		out,
		"%s_bucket{le=\"+Inf\"} %llu\n%s_sum %llu\n%s_count %llu\n",
		name, (unsigned long long)h->total, name,
		(unsigned long long)h->sum_ms, name,
		(unsigned long long)h->total);
}

static bool update_ready(relay_process_t *p)
{
	bool ready = !p->stopping && p->daemon->ready(p);

	if (ready != p->logged_ready)
		event_log(EVENT_READY, "\"ready\":%s,\"stopping\":%s",
			  ready ? "true" : "false",
			  p->stopping ? "true" : "false");
	p->logged_ready = ready;
	return ready;
}

static int answer_metrics(relay_process_t *p, GString *body)
{
	const char *name;
	const histogram_t *h;

	g_string_append_printf(body,
			       "cherviltray_info{process=\"%s\",role=\"%s\","
			       "zone=\"%s\"} 1\ncherviltray_ready %d\n",
			       p->settings.name, p->daemon->name,
			       p->settings.zone, update_ready(p));
	p->daemon->gauges(p, body);
	for (int i = 0; i < NCOUNTERS; i++)
		if (p->counters->values[i])
			g_string_append_printf(
				body, "cherviltray_%s %llu\n",
				counter_name((counter_t)i),
				(unsigned long long)p->counters->values[i]);
	for (unsigned i = 0; (h = p->daemon->histogram(p, i, &name)); i++)
		add_histogram(body, name, h);
	return 200;
}

static int on_request(void *ctx, const char *path, GString *body)
{
	relay_process_t *p = ctx;

	if (!strcmp(path, relay_platform.ready_path))
		return update_ready(p) ? 200 : 503;
	if (!strcmp(path, relay_platform.metrics_path))
		return answer_metrics(p, body);
	return 404;
}

static int on_peer(void *ctx, const char *path, GString *body)
{
	relay_process_t *p = ctx;

	return p->daemon->peer_request(p, path, body);
}

/*
 * Checks the whole settings file and logs the outcome. Nothing is applied,
 * because the sockets of a running process do not change; the log tells
 * operators when a restart is needed.
 */
static void reload(relay_process_t *p, const char *why)
{
	relay_settings_t s;
	char text[900];
	err_t err;

	if (relay_settings_load(p->settings_file, p->daemon->role, &s, &err) <
	    0) {
		event_log(EVENT_RELOAD,
			  "\"why\":\"%s\",\"outcome\":\"refused\","
			  "\"error\":\"%.300s\"",
			  why, err_format(&err, text, sizeof(text)));
		return;
	}
	event_log(EVENT_RELOAD,
		  "\"why\":\"%s\",\"outcome\":\"%s\",\"unknown_keys\":\"%s\"",
		  why,
		  relay_settings_equal(&s, &p->settings)
			  ? "no change for this process"
			  : "restart required",
		  s.unknown_keys);
}

static void check_settings(relay_process_t *p)
{
	uint64_t now = uv_now(&p->loop);
	int64_t mtime_ns;

	if (now < p->settings_checked_ms + SETTINGS_CHECK_MS)
		return;
	p->settings_checked_ms = now;
	mtime_ns = file_mtime_ns(p->settings_file);
	if (mtime_ns < 0 || mtime_ns == p->settings_mtime_ns)
		return;
	p->settings_mtime_ns = mtime_ns;
	reload(p, "settings file changed");
}

static void check_suspend(relay_process_t *p)
{
	uint64_t suspended = read_suspended_ms();

	if (suspended > p->suspended_ms + RESUME_MIN_MS) {
		event_log(EVENT_WAKE, "\"slept_ms\":%llu",
			  (unsigned long long)(suspended - p->suspended_ms));
		p->daemon->resumed(p, uv_now(&p->loop),
				   suspended - p->suspended_ms);
	}
	p->suspended_ms = suspended;
}

/* True when the time from the stop signal to the exit is over. */
static bool may_exit(relay_process_t *p, uint64_t now)
{
	uint64_t since_ms = now - p->stopped_ms;

	if (since_ms < p->daemon->stop_ms)
		return false;
	return !p->daemon->busy || since_ms >= p->daemon->stop_max_ms ||
	       !p->daemon->busy(p);
}

static void on_tick(uv_timer_t *timer)
{
	relay_process_t *p = timer->data;
	uint64_t now = uv_now(&p->loop);

	check_suspend(p);
	log_waits(p);
	p->daemon->tick(p, now);
	check_settings(p);
	event_log_flush();
	if (p->stopping && may_exit(p, now))
		uv_stop(&p->loop);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	relay_process_t *p = handle->data;
	uint64_t now = uv_now(&p->loop);

	if (p->stopping)
		return;
	p->stopping = true;
	p->stopped_ms = now;
	event_log(EVENT_STOP, "\"signal\":%d,\"within_ms\":%llu", signum,
		  (unsigned long long)p->daemon->stop_ms);
	p->daemon->stop(p, now);
	update_ready(p);
}

static void on_hangup(uv_signal_t *handle, int signum)
{
	relay_process_t *p = handle->data;

	(void)signum;
	p->settings_mtime_ns = file_mtime_ns(p->settings_file);
	reload(p, "SIGHUP");
}

static int open_all(relay_process_t *p, err_t *err)
{
	static const udp_socket_ops_t packet_ops = { .receive = on_packet };
	static const udp_socket_ops_t message_ops = { .receive = on_message };
	endpoint_t internal = { p->settings.address,
				p->settings.internal_port };
	endpoint_t metrics = { p->settings.address, p->settings.metrics_port };

	p->packets = udp_socket_open(&p->loop, &p->settings.packets, NULL,
				     &packet_ops, p, err);
	if (!p->packets)
		return -1;
	p->messages = udp_socket_open(&p->loop, &internal, NULL, &message_ops,
				      p, err);
	if (!p->messages)
		return -1;
	udp_socket_disable_gso(p->packets);
	udp_socket_disable_gso(p->messages);
	if (p->daemon->start(p, err) < 0)
		return -1;
	p->ready = http_server_open(&p->loop, &p->settings.ready, on_request, p,
				    err);
	if (!p->ready)
		return -1;
	if (p->settings.metrics_port) {
		p->metrics = http_server_open(&p->loop, &metrics, on_request, p,
					      err);
		if (!p->metrics)
			return -1;
	}
	if (p->settings.control.port && p->daemon->peer_request) {
		p->control = http_server_open(&p->loop, &p->settings.control,
					      on_peer, p, err);
		if (!p->control)
			return -1;
	}
	return 0;
}

static void close_all(relay_process_t *p)
{
	p->daemon->end(p);
	http_server_close(p->ready);
	http_server_close(p->metrics);
	http_server_close(p->control);
	udp_socket_close(p->packets);
	udp_socket_close(p->messages);
	uv_close((uv_handle_t *)&p->tick, NULL);
	uv_close((uv_handle_t *)&p->term, NULL);
	uv_close((uv_handle_t *)&p->interrupt, NULL);
	uv_close((uv_handle_t *)&p->hangup, NULL);
	uv_run(&p->loop, UV_RUN_DEFAULT);
	uv_loop_close(&p->loop);
	g_free(p->settings_file);
}

int relay_process_run(const relay_daemon_t *daemon, const char *settings_file)
{
	relay_process_t p = { .daemon = daemon };
	counters_t startup_counters = { 0 };
	char text[900];
	err_t err = { 0 };
	int code = 1;

	/* A write to a connection that its peer has closed fails instead. */
	signal(SIGPIPE, SIG_IGN);
	if (relay_settings_load(settings_file, daemon->role, &p.settings,
				&err) < 0) {
		fprintf(stderr, "cherviltray-relay: %s\n",
			err_format(&err, text, sizeof(text)));
		return 1;
	}
	event_log_init(p.settings.name);
	p.settings_file = g_strdup(settings_file);
	p.settings_mtime_ns = file_mtime_ns(settings_file);
	p.counters = &startup_counters;
	p.suspended_ms = read_suspended_ms();
	uv_loop_init(&p.loop);
	uv_timer_init(&p.loop, &p.tick);
	uv_signal_init(&p.loop, &p.term);
	uv_signal_init(&p.loop, &p.interrupt);
	uv_signal_init(&p.loop, &p.hangup);
	p.tick.data = p.term.data = p.interrupt.data = p.hangup.data = &p;
	event_log(EVENT_START,
		  "\"program\":\"%s\",\"version\":\"%s\",\"zone\":\"%s\","
		  "\"first_start\":%s,\"unknown_keys\":\"%s\"",
		  daemon->name, CHERVILTRAY_VERSION, p.settings.zone,
		  p.settings.first_start ? "true" : "false",
		  p.settings.unknown_keys);
	if (open_all(&p, &err) < 0) {
		event_log(EVENT_STOP, "\"error\":\"%.400s\"",
			  err_format(&err, text, sizeof(text)));
		goto out;
	}
	uv_timer_start(&p.tick, on_tick, daemon->tick_ms, daemon->tick_ms);
	uv_signal_start(&p.term, on_signal, SIGTERM);
	uv_signal_start(&p.interrupt, on_signal, SIGINT);
	uv_signal_start(&p.hangup, on_hangup, SIGHUP);
	uv_run(&p.loop, UV_RUN_DEFAULT);
	code = 0;
out:
	p.counters = &startup_counters;
	close_all(&p);
	event_log(EVENT_STOP, "\"code\":%d", code);
	event_log_flush();
	return code;
}
