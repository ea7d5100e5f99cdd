#include "process.h"
#include "log.h"
#include "process_config.h"
#include "version.h"
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef char *(*query_fn)(process_t *p, const char *argument);

typedef struct query_entry {
	const char *command;
	query_fn handler;
} query_entry_t;

static char *query_status(process_t *p, const char *argument);
static char *query_metrics(process_t *p, const char *argument);
static char *query_audit(process_t *p, const char *argument);
static char *query_explain(process_t *p, const char *argument);
static void answer_query(process_t *p, stream_t *stream,
			 const query_msg_t *query);
static void on_frame(void *ctx, stream_t *stream, msg_kind_t kind,
		     const void *msg);
static void on_datagram(void *ctx, const endpoint_t *from, msg_kind_t kind,
			const void *msg);
static void on_tick(uv_timer_t *timer);
static void on_signal(uv_signal_t *handle, int number);
static int read_arguments(const process_ops_t *ops, int argc, char **argv,
			  char **settings, int *code);
static int open_all(process_t *p, err_t *err);
static void close_all(process_t *p);

static const query_entry_t queries[] = {
	{ "status", query_status },
	{ "metrics", query_metrics },
	{ "audit", query_audit },
	{ "explain", query_explain },
};

void process_audit(process_t *p, const char *event, const char *subject,
		   const char *detail)
{
	counter_add(p->counters, COUNTER_AUDIT_EVENTS, 1);
	audit_add(p->audit, wall_clock_ms(), event, subject, detail);
}

void process_refuse_config(process_t *p, const err_t *err, const char *source)
{
	err_format(err, p->last_refusal, sizeof(p->last_refusal));
	counter_add(p->counters, COUNTER_CONFIG_REFUSED, 1);
	process_audit(p, "configuration-refused", source, p->last_refusal);
}

void process_newer_version(process_t *p, const endpoint_t *from,
			   uint64_t version)
{
	if (p->config_sync)
		config_sync_newer_version(p->config_sync, uv_now(&p->loop),
					  from, version);
}

static char *query_status(process_t *p, const char *argument)
{
	GString *s = g_string_new("{\"name\":");
	char text[ENDPOINT_TEXT_SIZE];

	(void)argument;
	json_append_string(s, p->settings.name);
	g_string_append_printf(s, ",\"role\":\"%s\",\"zone\":",
			       p->ops->role == ROLE_BALANCER ? "balancer"
							     : "agent");
	json_append_string(s, p->settings.zone);
	g_string_append_printf(
		s,
		",\"listen\":\"%s\",\"version\":%llu,"
		"\"digest\":\"%016llx\",\"in_force_since_ms\":%llu,"
		"\"started_ms\":%llu,\"stopping\":%s,\"refusal\":",
		endpoint_format(&p->settings.listen, text),
		(unsigned long long)(p->config ? p->config->version : 0),
		(unsigned long long)(p->config ? p->config->digest : 0),
		(unsigned long long)p->config_applied_wall_ms,
		(unsigned long long)p->started_wall_ms,
		p->stopping ? "true" : "false");
	json_append_string(s, p->last_refusal);
	process_config_append_status(p, s);
	if (p->ops->status)
		p->ops->status(p, s);
	g_string_append_c(s, '}');
	return g_string_free(s, FALSE);
}

static char *query_metrics(process_t *p, const char *argument)
{
	(void)argument;
	return counters_json(p->counters);
}

static char *query_audit(process_t *p, const char *argument)
{
	(void)argument;
	return audit_json(p->audit);
}

/* The argument is "SRC:PORT DST:PORT PROTOCOL"; PROTOCOL is tcp or udp. */
static char *query_explain(process_t *p, const char *argument)
{
	char src[64], dst[64], proto[8];
	endpoint_t from, to;
	flow_key_t key;

	if (sscanf(argument, "%63s %63s %7s", src, dst, proto) != 3 ||
	    endpoint_parse(src, &from) < 0 || endpoint_parse(dst, &to) < 0)
		return NULL;
	key.src = from.ip;
	key.sport = from.port;
	key.dst = to.ip;
	key.dport = to.port;
	key.proto = strcmp(proto, "udp") ? PROTO_TCP : PROTO_UDP;
	return p->ops->explain ? p->ops->explain(p, &key) : NULL;
}

static void answer_query(process_t *p, stream_t *stream,
			 const query_msg_t *query)
{
	answer_msg_t answer = CT__ANSWER__INIT;
	char *text = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(queries); i++)
		if (!strcmp(queries[i].command, query->command))
			text = queries[i].handler(p, query->argument);
	answer.ok = text != NULL;
	answer.text = text ? text : "unknown query or invalid argument";
	stream_send(stream, MSG_ANSWER, &answer);
	g_free(text);
}

static void on_frame(void *ctx, stream_t *stream, msg_kind_t kind,
		     const void *msg)
{
	process_t *p = ctx;

	if (kind == MSG_QUERY)
		answer_query(p, stream, msg);
	else if (kind == MSG_CONFIG_PULL)
		process_config_answer_pull(p, stream, msg);
	else if (p->ops->frame)
		p->ops->frame(p, stream, kind, msg);
	else
		counter_add(p->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
}

static void on_datagram(void *ctx, const endpoint_t *from, msg_kind_t kind,
			const void *msg)
{
	process_t *p = ctx;

	if (kind == MSG_HELLO)
		config_sync_receive_hello(p->config_sync, uv_now(&p->loop),
					  from, msg);
	else
		p->ops->message(p, uv_now(&p->loop), from, kind, msg);
}

void process_stop_loop(process_t *p)
{
	uv_stop(&p->loop);
}

static void on_tick(uv_timer_t *timer)
{
	process_t *p = timer->data;
	uint64_t now = uv_now(&p->loop);

	p->ops->tick(p, now);
	config_sync_tick(p->config_sync, now);
	if (!p->stopping)
		return;
	if (p->ops->idle(p)) {
		g_message("stopped; no flows or pending opens were left");
		process_stop_loop(p);
	} else if (now >= p->stop_deadline_ms) {
		GString *left = g_string_new("{\"left\":true");

		if (p->ops->status)
			p->ops->status(p, left);
		g_string_append_c(left, '}');
		g_warning("stopped at the time limit with work left: %s",
			  left->str);
		g_string_free(left, TRUE);
		process_stop_loop(p);
	}
}

static void on_signal(uv_signal_t *handle, int number)
{
	process_t *p = handle->data;
	uint64_t now = uv_now(&p->loop);

	(void)number;
	if (p->stopping)
		return;
	p->stopping = true;
	p->stop_deadline_ms = now + p->settings.stop_ms;
	g_message("stopping within %u ms", p->settings.stop_ms);
	p->ops->stop(p, now);
}

static int read_arguments(const process_ops_t *ops, int argc, char **argv,
			  char **settings, int *code)
{
	gboolean version = FALSE;
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, settings,
		  "Settings file of this process", "FILE" },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &version,
		  "Print the version and exit", NULL },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	int ret = -1;

	g_option_context_add_main_entries(context, entries, NULL);
	*code = 2;
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s: usage: %s; see --help\n", ops->program,
			error->message);
		g_error_free(error);
	} else if (version) {
		printf("%s %s\n", ops->program, CHERVILTRAY_VERSION);
		*code = 0;
	} else if (!*settings || argc > 1) {
		fprintf(stderr,
			"%s: usage: --settings FILE is required; other "
			"arguments are not accepted\n",
			ops->program);
	} else {
		ret = 0;
	}
	g_option_context_free(context);
	return ret;
}

static int open_all(process_t *p, err_t *err)
{
	uint64_t session;

	randombytes_buf(&session, sizeof(session));
	p->seal = settings_seal_new(&p->settings, session);
	p->audit = audit_new();
	if (!p->seal || !p->audit)
		return err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			       "out of memory for the keys and the audit log");
	seal_set_start(p->seal, p->started_wall_ms);
	if (p->ops->start(p, err) < 0 || process_config_open(p, err) < 0)
		return -1;
	p->dgram = dgram_open(&p->loop, &p->settings.listen, p->seal,
			      p->counters, on_datagram, p, err);
	if (!p->dgram)
		return -1;
	p->peers = stream_listen(&p->loop, &p->settings.listen, p->seal,
				 p->counters, on_frame, p, err);
	if (!p->peers)
		return -1;
	p->operators = stream_listen(&p->loop, &p->settings.operators, p->seal,
				     p->counters, on_frame, p, err);
	if (!p->operators)
		return -1;
	uv_timer_start(&p->tick, on_tick, PROCESS_TICK_MS, PROCESS_TICK_MS);
	uv_signal_start(&p->term, on_signal, SIGTERM);
	uv_signal_start(&p->interrupt, on_signal, SIGINT);
	return 0;
}

static void close_all(process_t *p)
{
	process_config_close(p);
	p->ops->end(p);
	dgram_close(p->dgram);
	stream_server_close(p->peers);
	stream_server_close(p->operators);
	uv_close((uv_handle_t *)&p->tick, NULL);
	uv_close((uv_handle_t *)&p->term, NULL);
	uv_close((uv_handle_t *)&p->interrupt, NULL);
	uv_run(&p->loop, UV_RUN_DEFAULT);
	uv_loop_close(&p->loop);
	seal_free(p->seal);
	audit_free(p->audit);
	config_unref(p->config);
	settings_clear(&p->settings);
}

int process_run(const process_ops_t *ops, int argc, char **argv)
{
	process_t p = { .ops = ops };
	char *settings = NULL;
	char text[900];
	err_t err;
	int code;

	if (read_arguments(ops, argc, argv, &settings, &code) < 0) {
		g_free(settings);
		return code;
	}
	/* A write to a connection that its peer has closed fails instead. */
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 ||
	    settings_load(settings, ops->role, &p.settings, &err) < 0) {
		fprintf(stderr, "%s: %s\n", ops->program,
			err_format(&err, text, sizeof(text)));
		g_free(settings);
		return 1;
	}
	g_free(settings);
	log_init(p.settings.name);
	p.counters = &p.initial_counters;
	p.started_wall_ms = wall_clock_ms();
	uv_loop_init(&p.loop);
	uv_timer_init(&p.loop, &p.tick);
	uv_signal_init(&p.loop, &p.term);
	uv_signal_init(&p.loop, &p.interrupt);
	p.tick.data = &p;
	p.term.data = &p;
	p.interrupt.data = &p;
	code = 1;
	if (open_all(&p, &err) < 0) {
		g_critical("%s", err_format(&err, text, sizeof(text)));
		goto out;
	}
	process_config_load_file(&p);
	g_message("started, version %s", CHERVILTRAY_VERSION);
	uv_run(&p.loop, UV_RUN_DEFAULT);
	code = 0;
out:
	close_all(&p);
	return code;
}
