#include "process_config.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PULL_TIMEOUT_MS	 3000
#define STATUS_PEERS_MAX 128 /* peers listed by the query "status" */

/* A pending pull; freed by on_pull_done(). */
typedef struct pull_call {
	process_t *process;
	endpoint_t from;
} pull_call_t;

static void send_hello(void *ctx, const endpoint_t *to, const hello_msg_t *msg);
static void send_pull(void *ctx, const endpoint_t *from,
		      const config_pull_msg_t *msg);
static void on_pull_done(void *ctx, msg_kind_t kind, const void *msg,
			 const err_t *err);
static void read_document(void *ctx, uint64_t after);
static void read_live_list(void *ctx);
static void on_read_done(void *ctx, const platform_result_t *result);
static void on_live_list_done(void *ctx, const platform_result_t *result);
static int apply(void *ctx, config_t *config, const char *source);
static void refuse(void *ctx, const err_t *err, const char *source);
static void audit(void *ctx, const char *event, const char *subject,
		  const char *detail);

static void send_hello(void *ctx, const endpoint_t *to, const hello_msg_t *msg)
{
	process_t *p = ctx;

	dgram_send(p->dgram, to, MSG_HELLO, msg);
}

static void send_pull(void *ctx, const endpoint_t *from,
		      const config_pull_msg_t *msg)
{
	pull_call_t *call = malloc(sizeof(*call));
	process_t *p = ctx;

	/* Out of memory: config_sync ends the pull after its time limit. */
	if (!call)
		return;
	call->process = p;
	call->from = *from;
	counter_add(p->counters, COUNTER_CONFIG_PULLS, 1);
	stream_call(&p->loop, p->seal, p->counters, from, MSG_CONFIG_PULL, msg,
		    PULL_TIMEOUT_MS, on_pull_done, call);
}

static void on_pull_done(void *ctx, msg_kind_t kind, const void *msg,
			 const err_t *err)
{
	pull_call_t *call = ctx;
	process_t *p = call->process;

	(void)err;
	if (p->config_sync)
		config_sync_pull_done(p->config_sync, uv_now(&p->loop),
				      &call->from,
				      kind == MSG_CONFIG_REPLY ? msg : NULL);
	free(call);
}

static void read_document(void *ctx, uint64_t after)
{
	process_t *p = ctx;

	p->platform->ops->read_config(p->platform, after, on_read_done, p);
}

static void read_live_list(void *ctx)
{
	process_t *p = ctx;

	p->platform->ops->read_live_list(p->platform, on_live_list_done, p);
}

static void on_read_done(void *ctx, const platform_result_t *result)
{
	process_t *p = ctx;

	if (p->config_sync)
		config_sync_read_done(p->config_sync, uv_now(&p->loop), result);
}

static void on_live_list_done(void *ctx, const platform_result_t *result)
{
	process_t *p = ctx;

	if (p->config_sync)
		config_sync_live_list_done(p->config_sync, uv_now(&p->loop),
					   result);
}

static int apply(void *ctx, config_t *config, const char *source)
{
	process_t *p = ctx;
	char detail[128];
	err_t err;

	if (p->ops->configure(p, uv_now(&p->loop), config) < 0) {
		err_set(&err, ERR_MEMORY, source, 0, "free memory",
			"out of memory for configuration version %llu",
			(unsigned long long)config->version);
		process_refuse_config(p, &err, source);
		return -1;
	}
	config_ref(config);
	config_unref(p->config);
	p->config = config;
	p->config_applied_wall_ms = wall_clock_ms();
	p->last_refusal[0] = '\0';
	counter_add(p->counters, COUNTER_CONFIG_ACCEPTED, 1);
	snprintf(detail, sizeof(detail), "version %llu digest %016llx",
		 (unsigned long long)config->version,
		 (unsigned long long)config->digest);
	process_audit(p, "configuration-accepted", source, detail);
	return 0;
}

static void refuse(void *ctx, const err_t *err, const char *source)
{
	process_refuse_config(ctx, err, source);
}

static void audit(void *ctx, const char *event, const char *subject,
		  const char *detail)
{
	process_audit(ctx, event, subject, detail);
}

int process_config_open(process_t *p, err_t *err)
{
	static const config_sync_ops_t ops = { send_hello,    send_pull,
					       read_document, read_live_list,
					       apply,	      refuse,
					       audit };
	config_sync_options_t options = {
		.self = p->settings.listen,
		.zone = p->settings.zone,
		.role = p->ops->role,
		.peers = p->settings.peers,
		.npeers = p->settings.npeers,
		.platform = p->settings.platform[0] != '\0',
	};

	randombytes_buf(&options.seed, sizeof(options.seed));
	if (options.platform) {
		p->platform = platform_http_open(&p->loop, p->settings.platform,
						 p->counters, err);
		if (!p->platform)
			return -1;
	}
	p->config_sync = config_sync_new(&options, &ops, p, uv_now(&p->loop));
	if (!p->config_sync)
		return err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			       "out of memory for the configuration state");
	return 0;
}

void process_config_close(process_t *p)
{
	config_sync_free(p->config_sync);
	p->config_sync = NULL;
	if (p->platform)
		p->platform->ops->close(p->platform);
	p->platform = NULL;
}

void process_config_load_file(process_t *p)
{
	const char *file = p->settings.config_file;
	config_t *config;
	err_t err;

	if (!file[0])
		return;
	if (config_load(file, &config, &err) < 0) {
		process_refuse_config(p, &err, file);
		return;
	}
	config_sync_add_candidate(p->config_sync, uv_now(&p->loop), config,
				  file);
	config_unref(config);
}

void process_config_answer_pull(process_t *p, stream_t *stream,
				const config_pull_msg_t *msg)
{
	config_reply_msg_t empty = CT__CONFIG_REPLY__INIT;
	config_reply_msg_t *reply = config_sync_pull_reply(p->config_sync, msg);

	stream_send(stream, MSG_CONFIG_REPLY, reply ? reply : &empty);
	config_reply_free(reply);
}

void process_config_append_status(process_t *p, GString *out)
{
	endpoint_t known[STATUS_PEERS_MAX];
	size_t n = config_sync_heard_peers(p->config_sync, known,
					   STATUS_PEERS_MAX);
	char text[ENDPOINT_TEXT_SIZE];

	g_string_append_printf(
		out, ",\"reader\":%s,\"peers\":%zu,\"known\":[",
		config_sync_is_reader(p->config_sync, uv_now(&p->loop))
			? "true"
			: "false",
		config_sync_peer_count(p->config_sync));
	for (size_t i = 0; i < n; i++)
		g_string_append_printf(out, "%s\"%s\"", i ? "," : "",
				       endpoint_format(&known[i], text));
	g_string_append_c(out, ']');
}
