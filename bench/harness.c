#define _GNU_SOURCE
#include "harness.h"
#include "../src/dgram.h"
#include "../src/stream.h"
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define SUBNET_FIRST	   20  /* lowest N of 127.N.x.y */
#define SUBNETS		   200 /* number of values of N */
#define READY_TIMEOUT_MS   15000
#define COMMAND_TIMEOUT_MS 1000
#define COMMAND_ATTEMPTS   3
#define QUERY_TIMEOUT_MS   2000
#define POLL_INTERVAL_MS   10
#define KEY_TEXT                                                               \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static int write_file(const char *path, const char *text);
static int start_fabric(harness_t *h);
static int wait_ready(const harness_t *h, const harness_proc_t *p);
static int write_operator_settings(harness_t *h);

uint64_t harness_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void harness_sleep_ms(unsigned ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

static int write_file(const char *path, const char *text)
{
	return g_file_set_contents(path, text, -1, NULL) ? 0 : -1;
}

char *harness_program_path(const char *name)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(self);
	char *path = g_build_filename(dir, name, NULL);

	g_free(self);
	g_free(dir);
	return path;
}

pid_t harness_spawn(const harness_t *h, const char *log, char *const *argv)
{
	char path[256];
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/%s", h->dir, log);
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (fd < 0)
		return -1;
	pid = fork();
	if (pid == 0) {
		/* No process survives a test that fails. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		if (!g_str_has_suffix(log, ".out"))
			dup2(fd, STDERR_FILENO);
		execv(argv[0], argv);
		_exit(127);
	}
	close(fd);
	return pid;
}

char *harness_rewrite_addresses(const harness_t *h, const char *text)
{
	char to[16];
	char **parts = g_strsplit(text, "127.0.", -1);
	char *joined;

	snprintf(to, sizeof(to), "127.%u.", h->subnet);
	joined = g_strjoinv(to, parts);
	g_strfreev(parts);
	return joined;
}

int harness_write_config(harness_t *h, const char *text)
{
	char *rewritten = harness_rewrite_addresses(h, text);
	int ret = write_file(h->config_path, rewritten);

	g_free(rewritten);
	return ret;
}

static endpoint_t make_endpoint(const harness_t *h, unsigned c, unsigned d,
				uint16_t port)
{
	endpoint_t ep = { 127U << 24 | h->subnet << 16 | c << 8 | d, port };

	return ep;
}

static int start_fabric(harness_t *h)
{
	char text[ENDPOINT_TEXT_SIZE], seed[24];
	char *path = harness_program_path("fake_fabric");
	char *argv[] = { path, text, seed, NULL };

	h->fabric_addr = make_endpoint(h, 0, 1, 7000);
	endpoint_format(&h->fabric_addr, text);
	snprintf(seed, sizeof(seed), "%llu",
		 (unsigned long long)h->options.seed);
	h->fabric.pid = harness_spawn(h, "fabric.log", argv);
	g_free(path);
	return h->fabric.pid > 0 ? 0 : -1;
}

static void settings_path(const harness_t *h, harness_proc_t *p)
{
	char *path = g_strdup_printf("%s/%s.toml", h->dir, p->name);

	g_strlcpy(p->settings, path, sizeof(p->settings));
	g_free(path);
}

const target_t *harness_target(const harness_t *h, unsigned i)
{
	for (size_t s = 0; s < h->config->nservices; s++) {
		const service_t *service = &h->config->services[s];

		if (i < service->ntargets)
			return &service->targets[i];
		i -= (unsigned)service->ntargets;
	}
	return NULL;
}

static void format_config_source(const harness_t *h, char *buf, size_t size)
{
	char platform[ENDPOINT_TEXT_SIZE], peers[2][ENDPOINT_TEXT_SIZE];

	if (h->options.platform)
		snprintf(
			buf, size,
			"platform = \"http://%s\"\n"
			"peers = [\"%s\", \"%s\"]\n",
			endpoint_format(&h->platform_addr, platform),
			endpoint_format(&harness_target(h, 0)->agent, peers[0]),
			endpoint_format(&harness_target(h, 1)->agent,
					peers[1]));
	else
		snprintf(buf, size, "config_file = \"%s\"\n", h->config_path);
}

int harness_start_balancer(harness_t *h, unsigned i)
{
	harness_proc_t *p = &h->balancers[i];
	char packets[ENDPOINT_TEXT_SIZE], listen[ENDPOINT_TEXT_SIZE],
		operators[ENDPOINT_TEXT_SIZE], fabric[ENDPOINT_TEXT_SIZE],
		source[256], log[96], text[1024];
	char *path = harness_program_path("cherviltray-balancer");
	char *argv[] = { path, "--settings", p->settings, NULL };

	p->packet_addr = make_endpoint(h, 1, i + 1, 7100);
	p->listen = make_endpoint(h, 1, i + 1, 7200);
	p->operators = make_endpoint(h, 1, i + 1, 7300);
	snprintf(p->name, sizeof(p->name), "balancer-%u", i);
	settings_path(h, p);
	snprintf(log, sizeof(log), "%s.log", p->name);
	format_config_source(h, source, sizeof(source));
	snprintf(text, sizeof(text),
		 "name = \"%s\"\nzone = \"a\"\npackets = \"%s\"\n"
		 "fabric = \"%s\"\nlisten = \"%s\"\noperators = "
		 "\"%s\"\nkey_file = \"%s\"\n"
		 "%s%s",
		 p->name, endpoint_format(&p->packet_addr, packets),
		 endpoint_format(&h->fabric_addr, fabric),
		 endpoint_format(&p->listen, listen),
		 endpoint_format(&p->operators, operators), h->key_path, source,
		 h->options.balancer_settings ? h->options.balancer_settings
					      : "");
	if (write_file(p->settings, text) == 0)
		p->pid = harness_spawn(h, log, argv);
	g_free(path);
	return p->pid > 0 ? wait_ready(h, p) : -1;
}

int harness_start_agent(harness_t *h, unsigned i)
{
	harness_proc_t *p = &h->agents[i];
	const target_t *t = harness_target(h, i);
	char listen[ENDPOINT_TEXT_SIZE], operators[ENDPOINT_TEXT_SIZE],
		fabric[ENDPOINT_TEXT_SIZE], server[ENDPOINT_TEXT_SIZE],
		delivery[ENDPOINT_TEXT_SIZE], source[256], log[96], text[1400];
	char *path = harness_program_path("cherviltray-agent");
	char *argv[] = { path, "--settings", p->settings, NULL };
	endpoint_t d = { t->agent.ip, 7500 };

	p->listen = t->agent;
	p->operators.ip = t->agent.ip;
	p->operators.port = 7300;
	p->packet_addr.ip = t->agent.ip;
	p->packet_addr.port = 7600;
	snprintf(p->name, sizeof(p->name), "%.40s", t->name);
	settings_path(h, p);
	snprintf(log, sizeof(log), "%s.log", p->name);
	format_config_source(h, source, sizeof(source));
	snprintf(text, sizeof(text),
		 "name = \"%s\"\nzone = \"%s\"\ntarget = \"%s\"\n"
		 "listen = \"%s\"\noperators = \"%s\"\nfabric = \"%s\"\n"
		 "server = \"%s\"\ndelivery = \"%s\"\nkey_file = \"%s\"\n"
		 "%s%s",
		 p->name, t->zone, t->name, endpoint_format(&p->listen, listen),
		 endpoint_format(&p->operators, operators),
		 endpoint_format(&h->fabric_addr, fabric),
		 endpoint_format(&p->packet_addr, server),
		 endpoint_format(&d, delivery), h->key_path, source,
		 h->options.agent_settings ? h->options.agent_settings : "");
	if (write_file(p->settings, text) == 0)
		p->pid = harness_spawn(h, log, argv);
	g_free(path);
	return p->pid > 0 ? wait_ready(h, p) : -1;
}

int harness_start_server(harness_t *h, unsigned i)
{
	harness_proc_t *p = &h->servers[i];
	const target_t *t = harness_target(h, i);
	endpoint_t server = { t->agent.ip, 7600 };
	char listen[ENDPOINT_TEXT_SIZE], slots[16], speed[24], ms[24], log[96];
	char *path = harness_program_path("fake_server");
	char *argv[] = { path, listen, slots, speed, ms, NULL };

	p->listen = server;
	snprintf(p->name, sizeof(p->name), "%.40s", t->name);
	endpoint_format(&server, listen);
	snprintf(slots, sizeof(slots), "%u", t->slots);
	snprintf(speed, sizeof(speed), "%g",
		 h->options.speeds ? h->options.speeds[i] : 1.0);
	snprintf(ms, sizeof(ms), "%g",
		 h->options.service_ms > 0 ? h->options.service_ms : 5.0);
	snprintf(log, sizeof(log), "%s.server.log", p->name);
	p->pid = harness_spawn(h, log, argv);
	g_free(path);
	return p->pid > 0 ? 0 : -1;
}

static int wait_ready(const harness_t *h, const harness_proc_t *p)
{
	uint64_t deadline_ms = harness_now_ms() + READY_TIMEOUT_MS;

	while (harness_now_ms() < deadline_ms) {
		char *answer = harness_query(h, p, "status", "");

		g_free(answer);
		if (answer)
			return 0;
		harness_sleep_ms(POLL_INTERVAL_MS);
	}
	fprintf(stderr, "harness: %s is not ready after %d ms\n", p->name,
		READY_TIMEOUT_MS);
	return -1;
}

static int write_operator_settings(harness_t *h)
{
	GString *s = g_string_new(NULL);
	char text[ENDPOINT_TEXT_SIZE];
	int ret;

	g_string_append_printf(s, "key_file = \"%s\"\npeers = [\n",
			       h->key_path);
	for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
		if (h->balancers[i].pid > 0)
			g_string_append_printf(
				s, "\"%s\",\n",
				endpoint_format(&h->balancers[i].operators,
						text));
	for (unsigned i = 0; i < h->nagents; i++)
		g_string_append_printf(
			s, "\"%s\",\n",
			endpoint_format(&h->agents[i].operators, text));
	g_string_append(s, "]\n");
	ret = write_file(h->operators_path, s->str);
	g_string_free(s, TRUE);
	return ret;
}

static int prepare_config(harness_t *h)
{
	char *text = NULL;
	err_t err;
	char buf[900];
	int ret = -1;

	if (!h->options.config_text) {
		if (!g_file_get_contents(h->options.config_file, &text, NULL,
					 NULL))
			return -1;
	} else {
		text = g_strdup(h->options.config_text);
	}
	if (write_file(h->key_path, KEY_TEXT "\n") == 0 &&
	    chmod(h->key_path, 0600) == 0 && harness_write_config(h, text) == 0)
		ret = config_load(h->config_path, &h->config, &err);
	g_free(text);
	if (ret < 0)
		fprintf(stderr, "harness: cannot load the configuration: %s\n",
			err_format(&err, buf, sizeof(buf)));
	return ret;
}

/* Reserves a subnet by a bound socket, so that no concurrent run uses it. */
static int reserve_subnet(harness_t *h)
{
	for (unsigned i = 0; i < SUBNETS; i++) {
		struct sockaddr_in sa;
		endpoint_t ep;

		h->subnet = SUBNET_FIRST + ((unsigned)getpid() + i) % SUBNETS;
		ep = make_endpoint(h, 0, 9, 6999);
		sa = endpoint_sockaddr(&ep);
		h->subnet_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		if (bind(h->subnet_fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
			return 0;
		close(h->subnet_fd);
	}
	return -1;
}

harness_t *harness_start(const harness_options_t *options)
{
	harness_t *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	if (sodium_init() < 0) {
		free(h);
		return NULL;
	}
	h->options = *options;
	if (reserve_subnet(h) < 0) {
		free(h);
		return NULL;
	}
	snprintf(h->dir, sizeof(h->dir), "/tmp/cherviltray-%d", getpid());
	mkdir(h->dir, 0755);
	snprintf(h->config_path, sizeof(h->config_path), "%s/config.toml",
		 h->dir);
	snprintf(h->key_path, sizeof(h->key_path), "%s/key", h->dir);
	snprintf(h->operators_path, sizeof(h->operators_path),
		 "%s/operators.toml", h->dir);
	if (prepare_config(h) < 0 || start_fabric(h) < 0)
		goto fail;
	for (size_t s = 0; s < h->config->nservices; s++)
		h->nagents += (unsigned)h->config->services[s].ntargets;
	if (options->agents && options->agents < h->nagents)
		h->nagents = options->agents;
	if (h->nagents > HARNESS_AGENTS_MAX)
		goto fail;
	if (options->platform && harness_start_platform(h) < 0)
		goto fail;
	for (unsigned i = 0; i < h->nagents; i++)
		if (harness_start_server(h, i) < 0 ||
		    harness_start_agent(h, i) < 0)
			goto fail;
	for (unsigned i = 0; i < options->balancers; i++) {
		if (harness_start_balancer(h, i) < 0)
			goto fail;
		harness_fabric_add(h, i);
	}
	if (write_operator_settings(h) < 0)
		goto fail;
	if (options->platform &&
	    harness_wait_version(h, h->config->version, READY_TIMEOUT_MS) < 0)
		goto fail;
	return h;
fail:
	harness_stop(h);
	return NULL;
}

void harness_signal(harness_proc_t *p, int signal)
{
	if (p->pid <= 0)
		return;
	kill(p->pid, signal);
	if (signal == SIGKILL) {
		waitpid(p->pid, NULL, 0);
		p->pid = 0;
	}
}

int harness_wait_pid(pid_t pid, unsigned timeout_ms)
{
	uint64_t deadline_ms = harness_now_ms() + timeout_ms;
	int status;

	while (harness_now_ms() < deadline_ms) {
		if (waitpid(pid, &status, WNOHANG) == pid)
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		harness_sleep_ms(POLL_INTERVAL_MS);
	}
	return -1;
}

int harness_wait_exit(harness_proc_t *p, unsigned timeout_ms)
{
	int ret = harness_wait_pid(p->pid, timeout_ms);

	if (ret >= 0)
		p->pid = 0;
	return ret;
}

void harness_stop(harness_t *h)
{
	char *argv[] = { "/bin/rm", "-rf", h->dir, NULL };
	bool keep = getenv("HARNESS_KEEP") != NULL;
	pid_t pid;

	for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
		harness_signal(&h->balancers[i], SIGKILL);
	for (unsigned i = 0; i < HARNESS_AGENTS_MAX; i++) {
		harness_signal(&h->agents[i], SIGKILL);
		harness_signal(&h->servers[i], SIGKILL);
	}
	harness_signal(&h->fabric, SIGKILL);
	harness_signal(&h->platform, SIGKILL);
	pid = keep ? 0 : fork();
	if (pid == 0 && !keep) {
		execv(argv[0], argv);
		_exit(127);
	}
	if (pid > 0)
		waitpid(pid, NULL, 0);
	close(h->subnet_fd);
	config_unref(h->config);
	free(h);
}

char *harness_command(const harness_t *h, const endpoint_t *to,
		      const char *text)
{
	struct sockaddr_in sa = endpoint_sockaddr(to);
	struct timeval timeout = { COMMAND_TIMEOUT_MS / 1000,
				   COMMAND_TIMEOUT_MS % 1000 * 1000 };
	endpoint_t any = make_endpoint(h, 0, 9, 0);
	struct sockaddr_in from = endpoint_sockaddr(&any);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	char buf[16384];
	char *answer = NULL;

	if (bind(fd, (struct sockaddr *)&from, sizeof(from)) < 0) {
		close(fd);
		return NULL;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	for (int i = 0; i < COMMAND_ATTEMPTS && !answer; i++) {
		ssize_t n;

		sendto(fd, text, strlen(text), 0, (struct sockaddr *)&sa,
		       sizeof(sa));
		n = recv(fd, buf, sizeof(buf) - 1, 0);
		if (n >= 0)
			answer = g_strndup(buf, (gsize)n);
	}
	close(fd);
	return answer;
}

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err)
{
	char **out = ctx;
	const answer_msg_t *answer = msg;

	(void)err;
	if (kind == MSG_ANSWER && answer->ok)
		*out = g_strdup(answer->text);
}

char *harness_query(const harness_t *h, const harness_proc_t *p,
		    const char *command, const char *argument)
{
	query_msg_t query = CT__QUERY__INIT;
	counters_t counters = { { 0 } };
	uint8_t key[SEAL_KEY_BYTES];
	char *answer = NULL;
	uint64_t session;
	uv_loop_t loop;
	seal_t *seal;
	err_t err;

	if (seal_read_key(h->key_path, key, &err) < 0)
		return NULL;
	randombytes_buf(&session, sizeof(session));
	seal = seal_new(key, session);
	query.command = (char *)command;
	query.argument = (char *)argument;
	uv_loop_init(&loop);
	stream_call(&loop, seal, &counters, &p->operators, MSG_QUERY, &query,
		    QUERY_TIMEOUT_MS, on_answer, &answer);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	seal_free(seal);
	return answer;
}

static int64_t json_get_int(const char *json, const char *name)
{
	char pattern[96];
	const char *found;

	snprintf(pattern, sizeof(pattern), "\"%s\":", name);
	found = strstr(json, pattern);
	return found ? strtoll(found + strlen(pattern), NULL, 10) : -1;
}

int64_t harness_counter(const harness_t *h, const harness_proc_t *p,
			const char *name)
{
	char *json = harness_query(h, p, "metrics", "");
	int64_t n = json ? json_get_int(json, name) : -1;

	if (json && n < 0)
		n = 0;
	g_free(json);
	return n;
}

int64_t harness_status(const harness_t *h, const harness_proc_t *p,
		       const char *name)
{
	char *json = harness_query(h, p, "status", "");
	int64_t n = json ? json_get_int(json, name) : -1;

	g_free(json);
	return n;
}

static void fabric_command(harness_t *h, const char *verb, unsigned balancer)
{
	char text[64], ep[ENDPOINT_TEXT_SIZE];

	snprintf(text, sizeof(text), "%s %s", verb,
		 endpoint_format(&h->balancers[balancer].packet_addr, ep));
	g_free(harness_command(h, &h->fabric_addr, text));
}

void harness_fabric_add(harness_t *h, unsigned balancer)
{
	fabric_command(h, "#add", balancer);
}

void harness_fabric_del(harness_t *h, unsigned balancer)
{
	fabric_command(h, "#del", balancer);
}

pid_t harness_start_load(harness_t *h, const char *out, const char *const *args)
{
	char fabric[ENDPOINT_TEXT_SIZE], local[ENDPOINT_TEXT_SIZE];
	endpoint_t local_addr = make_endpoint(h, 0, 3, 7800);
	char *path = harness_program_path("cherviltray");
	char *argv[48] = { path,	   "load",     "--config",
			   h->config_path, "--fabric", fabric,
			   "--local",	   local,      "--source",
			   "203.0.113.7",  "--quiet" };
	size_t n = 11;
	pid_t pid;

	endpoint_format(&h->fabric_addr, fabric);
	endpoint_format(&local_addr, local);
	for (; *args && n < 46; args++)
		argv[n++] = (char *)*args;
	pid = harness_spawn(h, out, argv);
	g_free(path);
	return pid;
}

void harness_count_records(const harness_t *h, uint64_t *records,
			   uint64_t *duplicates)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	*records = 0;
	*duplicates = 0;
	for (unsigned i = 0; i < h->nagents; i++) {
		char *text;
		char **lines;

		if (h->servers[i].pid <= 0)
			continue;
		text = harness_command(h, &h->servers[i].listen, "#records");
		lines = g_strsplit(text ? text : "", "\n", -1);
		for (char **l = lines; *l; l++) {
			unsigned long long id, count;

			if (sscanf(*l, "%llu %llu", &id, &count) != 2)
				continue;
			*records += count;
			if (count > 1 ||
			    !g_hash_table_add(seen, GSIZE_TO_POINTER(id)))
				(*duplicates)++;
		}
		g_strfreev(lines);
		g_free(text);
	}
	g_hash_table_destroy(seen);
}
