/*
 * Daemon of a balancer that relays packets. Callers' packets arrive at
 * settings.packets; on_packet() passes them to the balancer, which sends them
 * to an agent's host through relay_process_send_packet(). Answers go from the
 * agent to the caller without passing the balancer.
 */

#include "event_log.h"
#include "relay_balancer.h"
#include "relay_peers.h"
#include "relay_process.h"
#include "relay_state.h"
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Time from the stop signal to the exit. Routers remove a host after two
 * readiness probes, 500 ms apart, without a 200; packets already
 * on their way arrive after that. */
#define STOP_DELAY_MS 1800
/* Longest time from the stop signal to the exit, used while flows are looked up
 * whose callers wait: less than the time after which the platform ends the
 * process. */
#define STOP_LOOKUPS_MS 4500
/* Capacity of the flow index per MB of the memory limit. */
#define FLOWS_PER_MB 64
/* The platform drops the entry of a target after three heartbeat intervals of
 * silence; one more covers the time until the change is read. */
#define EXPIRY_HEARTBEATS 4

typedef struct balancer_state {
	relay_balancer_t *balancer;
	relay_watcher_ctx_t sink;
	watcher_t *watcher;		/* NULL until the peers were asked */
	relay_peers_t *peers;		/* NULL: no peer is configured */
	store_revision_t peer_revision; /* highest in a peer's state */
} balancer_state_t;

static void sink_routes(void *ctx, route_table_t *routes)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	relay_balancer_set_routes(s->balancer, routes);
}

static void sink_refused(void *ctx, const char *key, const err_t *err)
{
	relay_process_t *p = ctx;
	char name[100], what[200];

	counter_add(p->counters, COUNTER_CONFIG_REFUSED, 1);
	event_log(EVENT_STORE,
		  "\"state\":\"item refused\",\"key\":\"%s\","
		  "\"error\":\"%s\"",
		  event_log_quote(key, name, sizeof(name)),
		  event_log_quote(err->what, what, sizeof(what)));
}

static directory_t *sink_directory(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	return relay_balancer_directory(s->balancer);
}

static evacuations_t *sink_evacuations(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	return relay_balancer_evacuations(s->balancer);
}

static uint64_t sink_now(void *ctx)
{
	return relay_process_now(ctx);
}

static void sink_read(void *ctx, uint64_t asked_ms)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	relay_balancer_store_read(s->balancer, relay_process_now(p), asked_ms);
}

static void sink_reachable(void *ctx, bool yes)
{
	directory_t *d = sink_directory(ctx);

	if (yes)
		directory_store_reachable(d, sink_now(ctx));
	else
		directory_store_unreachable(d, sink_now(ctx));
}

static store_revision_t known_revision(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;
	store_revision_t own = { 0 };

	if (s->watcher)
		own = watcher_revision(s->watcher);
	return store_revision_compare(own, s->peer_revision) > 0
		       ? own
		       : s->peer_revision;
}

static bool peers_needed(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	return !s->watcher || !watcher_reachable(s->watcher);
}

static bool on_peer_state(void *ctx, const char *bytes, size_t len)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;
	store_revision_t revision = relay_state_apply(
		s->balancer, relay_process_now(p), bytes, len);

	if (store_revision_compare(revision, s->peer_revision) > 0)
		s->peer_revision = revision;
	return !store_revision_none(revision);
}

/* Value of a number in the query of a path; 0 when it is missing. */
static uint64_t query_number(const char *path, const char *name)
{
	const char *at = strstr(path, name);

	return at ? g_ascii_strtoull(at + strlen(name), NULL, 10) : 0;
}

/* Answers a peer that asks for the state after a revision of the store. */
static int on_peer_request(relay_process_t *p, const char *path, GString *body)
{
	balancer_state_t *s = p->ctx;
	store_revision_t known = known_revision(p), theirs;

	if (!g_str_has_prefix(path, RELAY_STATE_PREFIX))
		return 404;
	theirs.number = query_number(path, "after=");
	theirs.era = query_number(path, "era=");
	if (!relay_balancer_route_version(s->balancer) ||
	    store_revision_compare(theirs, known) >= 0)
		return 204;
	relay_state_pack(s->balancer, relay_process_now(p), known, body);
	return 200;
}

/* Starts reading the store, after what a peer has read already. A peer of an
 * earlier version tells no evacuations: they are listed from the store. */
static void open_watcher(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;
	uint32_t change_ms = MIN(p->settings.apply_ms, p->settings.evacuate_ms);
	store_revision_t known = evacuations_revision(sink_evacuations(p));

	if (store_revision_compare(known, s->peer_revision) > 0)
		known = s->peer_revision;
	s->watcher = watcher_new(&p->loop, &p->settings.platform,
				 p->settings.silence_ms, change_ms, known,
				 relay_platform.watcher, &s->sink, p->counters);
	if (s->watcher)
		return;
	event_log(EVENT_STOP, "\"error\":\"out of memory creating the store "
			      "watcher\"");
	event_log_flush();
	abort();
}

static uint64_t unix_ms(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static void ask_balancer(void *ctx, uint32_t host)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;
	endpoint_t peer = { host, p->settings.control.port };

	if (s->peers && peer.port)
		relay_peers_ask(s->peers, &peer);
}

static void read_store(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	if (s->watcher)
		watcher_read(s->watcher);
}

static bool store_watched(void *ctx)
{
	relay_process_t *p = ctx;
	balancer_state_t *s = p->ctx;

	return s->watcher && watcher_waits(s->watcher);
}

static int start(relay_process_t *p, err_t *err)
{
	static const relay_peers_ops_t peers_ops = {
		on_peer_state, peers_needed, known_revision, open_watcher
	};
	static const relay_balancer_ops_t ops = { relay_process_send_packet,
						  relay_process_send_message,
						  relay_process_send_packet,
						  unix_ms,
						  ask_balancer,
						  read_store,
						  store_watched };
	static const relay_sink_t sink = { sink_routes,	   sink_refused,
					   sink_directory, sink_evacuations,
					   sink_now,	   sink_read,
					   sink_reachable };
	relay_balancer_options_t options = {
		.self = p->settings.address,
		.zone = p->settings.zone,
		.format = relay_platform.format,
		.max_flows = (size_t)p->settings.memory_mb * FLOWS_PER_MB,
		.target_expiry_ms =
			p->settings.heartbeat_ms * EXPIRY_HEARTBEATS,
		.first_start = p->settings.first_start,
		.now = relay_process_now(p),
		.first_chain = g_random_int(),
		.warmup_overage = p->settings.warmup_overage,
		.warmup_slack = p->settings.warmup_slack,
	};
	balancer_state_t *s = calloc(1, sizeof(*s));

	p->ctx = s;
	if (s)
		s->balancer = relay_balancer_new(&options, &ops, p);
	if (!s || !s->balancer)
		return err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			       "out of memory creating the balancer");
	p->counters = relay_balancer_counters(s->balancer);
	s->sink.sink = &sink;
	s->sink.ctx = p;
	s->peers = relay_peers_new(&p->loop, &p->settings, &peers_ops, p);
	/* At the first start of the system no peer has a state. */
	if (s->peers && !p->settings.first_start)
		relay_peers_start(s->peers);
	else
		open_watcher(p);
	return 0;
}

static void end(relay_process_t *p)
{
	balancer_state_t *s = p->ctx;

	if (!s)
		return;
	relay_peers_free(s->peers);
	watcher_free(s->watcher);
	relay_balancer_free(s->balancer);
	free(s);
}

static void on_packet(relay_process_t *p, uint64_t now, uint32_t wait_ms,
		      uint32_t from, uint8_t *buf, size_t len)
{
	balancer_state_t *s = p->ctx;

	(void)from;
	relay_balancer_handle_waited(s->balancer, now, wait_ms, buf, len);
}

static void on_message(relay_process_t *p, uint64_t now, uint32_t wait_ms,
		       uint32_t from, const relay_msg_t *msg)
{
	balancer_state_t *s = p->ctx;

	(void)wait_ms;
	relay_balancer_handle_message(s->balancer, now, from, msg);
}

static void tick(relay_process_t *p, uint64_t now)
{
	balancer_state_t *s = p->ctx;

	relay_balancer_tick(s->balancer, now);
}

static void stop(relay_process_t *p, uint64_t now)
{
	(void)p;
	(void)now;
}

static bool busy(relay_process_t *p)
{
	balancer_state_t *s = p->ctx;

	return relay_balancer_looks_up(s->balancer);
}

static void resumed(relay_process_t *p, uint64_t now, uint64_t slept_ms)
{
	balancer_state_t *s = p->ctx;

	(void)now;
	(void)slept_ms;
	if (s->watcher)
		watcher_resume(s->watcher);
}

static bool ready(relay_process_t *p)
{
	balancer_state_t *s = p->ctx;

	return ((s->watcher && watcher_synced(s->watcher)) ||
		!store_revision_none(s->peer_revision)) &&
	       relay_balancer_route_version(s->balancer) > 0;
}

static void gauges(relay_process_t *p, GString *out)
{
	balancer_state_t *s = p->ctx;
	const route_history_t *history =
		relay_balancer_route_history(s->balancer);

	g_string_append_printf(
		out,
		"cherviltray_version %llu\ncherviltray_flows %zu\n"
		"cherviltray_store_era %llu\n"
		"cherviltray_former_services %zu\n"
		"cherviltray_routes_complete %d\n",
		(unsigned long long)relay_balancer_route_version(s->balancer),
		relay_balancer_flow_count(s->balancer),
		(unsigned long long)known_revision(p).era,
		route_history_count(history),
		route_history_complete(history, relay_process_now(p)));
	list_each(node, evacuations_list(sink_evacuations(p)))
	{
		const evacuation_t *e = list_entry(node, evacuation_t, node);

		g_string_append_printf(
			out, "cherviltray_evacuated{zone=\"%s\"} %d\n", e->zone,
			e->active);
	}
}

static const histogram_t *histogram(relay_process_t *p, unsigned i,
				    const char **name)
{
	balancer_state_t *s = p->ctx;

	if (i > 0)
		return NULL;
	*name = "cherviltray_open_ms";
	return relay_balancer_open_ms(s->balancer);
}

const relay_daemon_t relay_balancer_daemon = {
	.name = "balancer",
	.role = RELAY_ROLE_BALANCER,
	.tick_ms = RELAY_BALANCER_TICK_MS,
	.stop_ms = STOP_DELAY_MS,
	.stop_max_ms = STOP_LOOKUPS_MS,
	.start = start,
	.end = end,
	.packet = on_packet,
	.message = on_message,
	.tick = tick,
	.stop = stop,
	.busy = busy,
	.resumed = resumed,
	.ready = ready,
	.peer_request = on_peer_request,
	.gauges = gauges,
	.histogram = histogram,
};
