#include "cli_load.h"
#include <stdlib.h>
#include <string.h>

/* After the last feed is due to end, open flows get this time to complete. */
#define DRAIN_TIMEOUT_MS 20000
#define DURATION_MAX_S	 86400
#define INTERVAL_MAX_MS	 60000

/* Parsed command line. */
typedef struct options {
	char *config;
	char *fabric;
	char *local;
	char *source;
	char *settings;
	char **jobs;
	int seconds;
	int feed_s;	 /* duration of a feed */
	int interval_ms; /* between two chunks of a feed */
	int seed;
	gboolean quiet;
	gboolean json;
	endpoint_t local_addr;
	uint32_t source_ip;
} options_t;

static void send_packet(void *ctx, const uint8_t *packet, size_t len);
static void on_ended(void *ctx, const caller_request_t *r);
static void on_tick(uv_timer_t *timer);
static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len);
static int read_options(options_t *o, int argc, char **argv, int *code);
static int check_ranges(const options_t *o, err_t *err);
static int check_options(load_t *l, options_t *o, err_t *err);
static int start_sampler(load_t *l, const options_t *o, err_t *err);
static int run_load(load_t *l, const options_t *o, err_t *err);
static void clear_options(options_t *o);

static void send_packet(void *ctx, const uint8_t *packet, size_t len)
{
	load_t *l = ctx;

	udp_socket_send(l->socket, &l->fabric, packet, len);
}

static void on_ended(void *ctx, const caller_request_t *r)
{
	(void)ctx;
	load_job_add_result(r->data, r);
}

static void on_tick(uv_timer_t *timer)
{
	load_t *l = timer->data;
	uint64_t now = uv_now(&l->loop);

	if (l->opened_until_ms < l->open_until_ms) {
		load_jobs_open(l, now);
		balance_sampler_tick(l->sampler, now);
	}
	caller_tick(l->caller, now);
	load_print_progress(l, now);
	if (now >= l->open_until_ms &&
	    (caller_open_count(l->caller) == 0 || now >= l->deadline_ms))
		uv_stop(&l->loop);
}

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len)
{
	load_t *l = ctx;

	(void)from;
	caller_input(l->caller, uv_now(&l->loop), buf, len);
}

static int read_options(options_t *o, int argc, char **argv, int *code)
{
	GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &o->config,
		  "Configuration with the services and classes", "FILE" },
		{ "fabric", 'f', 0, G_OPTION_ARG_STRING, &o->fabric,
		  "Address to send packets to", "IP:PORT" },
		{ "local", 'l', 0, G_OPTION_ARG_STRING, &o->local,
		  "Address to receive responses at", "IP:PORT" },
		{ "source", 'a', 0, G_OPTION_ARG_STRING, &o->source,
		  "Source address of the callers", "IP" },
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings,
		  "Operators' settings; also measure the balance of load",
		  "FILE" },
		{ "job", 'j', 0, G_OPTION_ARG_STRING_ARRAY, &o->jobs,
		  "Requests to send: feed, log, check-in, get or download, at "
		  "RATE per second",
		  "KIND,SERVICE,CLASS,RATE[,BYTES]" },
		{ "seconds", 't', 0, G_OPTION_ARG_INT, &o->seconds,
		  "How long to open flows", "S" },
		{ "feed-seconds", 'F', 0, G_OPTION_ARG_INT, &o->feed_s,
		  "Duration of a feed", "S" },
		{ "interval", 'i', 0, G_OPTION_ARG_INT, &o->interval_ms,
		  "Time between chunks of a feed", "MS" },
		{ "seed", 'S', 0, G_OPTION_ARG_INT, &o->seed,
		  "Seed of ids and sequence numbers", "N" },
		{ "quiet", 'q', 0, G_OPTION_ARG_NONE, &o->quiet,
		  "Print no progress lines", NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &o->json,
		  "Print one JSON object instead of a table", NULL },
		{ 0 },
	};

	if (cli_parse_options(
		    "load", NULL,
		    "Sends requests to a running system and prints their "
		    "outcomes.\nExits 0 when each was served completely and "
		    "no log was recorded twice, else 1.",
		    entries, &argc, &argv, code) < 0)
		return -1;
	if (argc > 1) {
		*code = cli_usage_error(
			"load",
			"unexpected argument; the command takes options only");
		return -1;
	}
	return 0;
}

static int check_ranges(const options_t *o, err_t *err)
{
	const struct {
		const char *name;
		int value;
		int max;
	} ranges[] = {
		{ "--seconds", o->seconds, DURATION_MAX_S },
		{ "--feed-seconds", o->feed_s, DURATION_MAX_S },
		{ "--interval", o->interval_ms, INTERVAL_MAX_MS },
		{ "--seed", o->seed, INT32_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(ranges); i++) {
		char remedy[64];

		if (ranges[i].value >= 1 && ranges[i].value <= ranges[i].max)
			continue;
		g_snprintf(remedy, sizeof(remedy), "give 1 to %d",
			   ranges[i].max);
		return err_set(err, ERR_USAGE, NULL, 0, remedy,
			       "%s %d is out of range", ranges[i].name,
			       ranges[i].value);
	}
	return 0;
}

static int check_options(load_t *l, options_t *o, err_t *err)
{
	const struct {
		const char *name;
		const void *value;
	} required[] = {
		{ "--config", o->config }, { "--fabric", o->fabric },
		{ "--local", o->local },   { "--source", o->source },
		{ "--job", o->jobs },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(required); i++)
		if (!required[i].value)
			return err_set(err, ERR_USAGE, NULL, 0, "see --help",
				       "%s is needed", required[i].name);
	if (endpoint_parse(o->fabric, &l->fabric) < 0)
		return err_set(err, ERR_USAGE, NULL, 0,
			       "write --fabric as IP:PORT",
			       "invalid address %s", o->fabric);
	if (endpoint_parse(o->local, &o->local_addr) < 0)
		return err_set(err, ERR_USAGE, NULL, 0,
			       "write --local as IP:PORT", "invalid address %s",
			       o->local);
	if (ipv4_parse(o->source, &o->source_ip) < 0)
		return err_set(err, ERR_USAGE, NULL, 0,
			       "write --source as an IPv4 address",
			       "invalid address %s", o->source);
	if (check_ranges(o, err) < 0 ||
	    config_load(o->config, &l->config, err) < 0)
		return -1;
	for (char **j = o->jobs; *j; j++)
		if (load_job_parse(l, *j, err) < 0)
			return -1;
	return 0;
}

static int start_sampler(load_t *l, const options_t *o, err_t *err)
{
	settings_t settings;

	if (!o->settings)
		return 0;
	if (settings_load(o->settings, ROLE_OPERATOR, &settings, err) < 0)
		return -1;
	l->sampler = balance_sampler_new(l, &settings, err);
	settings_clear(&settings);
	return l->sampler ? 0 : -1;
}

static int run_load(load_t *l, const options_t *o, err_t *err)
{
	static const udp_socket_ops_t socket_ops = { .receive = on_datagram };
	static const caller_ops_t caller_ops = { send_packet, on_ended };
	int ret = -1;

	uv_loop_init(&l->loop);
	l->caller = caller_new(&caller_ops, l, o->source_ip, (uint64_t)o->seed);
	l->socket = udp_socket_open(&l->loop, &o->local_addr, NULL, &socket_ops,
				    l, err);
	if (!l->caller || !l->socket)
		goto out;
	l->started_ms = uv_now(&l->loop);
	l->opened_until_ms = l->started_ms;
	l->open_until_ms =
		l->started_ms + (uint64_t)o->seconds * LOAD_MS_PER_SECOND;
	l->deadline_ms = l->open_until_ms +
			 (uint64_t)o->feed_s * LOAD_MS_PER_SECOND +
			 DRAIN_TIMEOUT_MS;
	uv_timer_init(&l->loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_tick, LOAD_TICK_MS, LOAD_TICK_MS);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&l->timer, NULL);
	ret = 0;
out:
	if (l->socket)
		udp_socket_close(l->socket);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	uv_loop_close(&l->loop);
	return ret;
}

static void clear_options(options_t *o)
{
	g_free(o->config);
	g_free(o->fabric);
	g_free(o->local);
	g_free(o->source);
	g_free(o->settings);
	g_strfreev(o->jobs);
}

int cli_load(int argc, char **argv)
{
	options_t o = {
		.seconds = 10, .feed_s = 10, .interval_ms = 100, .seed = 1
	};
	load_t *l = g_new0(load_t, 1);
	err_t err = { 0 };
	int code;

	if (read_options(&o, argc, argv, &code) < 0)
		goto out;
	l->quiet = o.quiet;
	l->next_id = (uint64_t)o.seed << 32;
	l->feed_s = (uint32_t)o.feed_s;
	l->interval_ms = (uint32_t)o.interval_ms;
	if (check_options(l, &o, &err) < 0 || start_sampler(l, &o, &err) < 0 ||
	    run_load(l, &o, &err) < 0)
		code = cli_fail("load", &err);
	else
		code = load_print_report(l, o.json) ? CLI_FAILED : CLI_OK;
out:
	load_jobs_clear(l);
	caller_free(l->caller);
	balance_sampler_free(l->sampler);
	config_unref(l->config);
	g_free(l);
	clear_options(&o);
	return code;
}
