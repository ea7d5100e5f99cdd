/*
 * bench_forward - processor time per packet, balancer against relay
 *
 * bench_forward [ROUNDS]
 *
 * Starts bench/relay and cherviltray-balancer and opens LIVE_FLOWS flows
 * through the balancer. Then sends the same traffic to both in turn, ROUNDS
 * times: PACKETS_PER_S packets a second, of which OPENS_PER_S open a flow and
 * the others carry data of the newest LIVE_FLOWS flows. Sinks stand in for the
 * agents: they verify the sealed messages and reply to each open. Prints a line
 * of JSON for each pace and writes it to report/bench/forward.json. Exits with
 * status 1 when the balancer takes more than RATIO_MAX times the processor time
 * of the relay, or RSS_MAX_KB of memory or more.
 */

#define _GNU_SOURCE
#include "../src/config.h"
#include "../src/dgram.h"
#include "../src/packet.h"
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define SUBNET		    "127.91"
#define SINKS		    7
#define LIVE_FLOWS	    300000
#define OPENS_PER_S	    5000
#define FILL_OPENS_PER_S    25000 /* until LIVE_FLOWS are open */
#define PACKETS_PER_S	    50000 /* including opens */
#define ROUND_S		    4
#define ROUNDS		    3
#define BATCH_SIZE	    64
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)
#define RATIO_MAX	    1.2 /* processor time, balancer to relay */
#define RSS_MAX_KB	    (128 * 1024)
#define SEAL_MAGIC	    0xc7 /* marks a sealed message */
#define SEAL_MAGIC_OFFSET   16
#define SERVICE_ADDRESS	    0xc633640a /* 198.51.100.10 */
#define PORTS_PER_CALLER    50000

static const char key_text[] = "000102030405060708090a0b0c0d0e0f"
			       "101112131415161718191a1b1c1d1e1f\n";

/* What the sinks received; written by their thread, read by the main thread. */
typedef struct tally {
	uint64_t datagrams;
	uint64_t bytes;
	uint64_t messages; /* that carry a packet */
	uint64_t opens;
	uint64_t bad; /* rejected by seal_open() */
} tally_t;

typedef struct cpu_usage {
	double user_s;
	double system_s;
	uint64_t packets; /* sent to the process */
	uint64_t arrived; /* datagrams at the sinks */
} cpu_usage_t;

typedef struct pace {
	const char *name;
	unsigned tick_us; /* packets are sent in bursts, one per tick */
	unsigned payload; /* bytes of a data packet */
} pace_t;

static const pace_t paces[] = {
	{ "1 ms", 1000, 100 },
	{ "0.2 ms", 200, 100 },
	{ "1 ms, 1200 bytes", 1000, 1200 },
};

static volatile tally_t tally;
static char dir[] = "/tmp/bench_forward_XXXXXX";
static int rounds = ROUNDS;
static uint64_t next_flow; /* number of the next flow to open */

static uint64_t now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static int udp_bind(const endpoint_t *ep)
{
	struct sockaddr_in sa = endpoint_sockaddr(ep);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	int size = SOCKET_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		perror("bench_forward: bind");
		exit(1);
	}
	return fd;
}

static endpoint_t make_endpoint(unsigned c, unsigned d, uint16_t port)
{
	char text[ENDPOINT_TEXT_SIZE];
	endpoint_t ep;

	snprintf(text, sizeof(text), SUBNET ".%u.%u:%u", c, d, port);
	endpoint_parse(text, &ep);
	return ep;
}

static void write_file(const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);

	if (!g_file_set_contents(path, text, -1, NULL))
		exit(1);
	g_chmod(path, 0600);
	g_free(path);
}

static void write_files(void)
{
	GString *s = g_string_new(
		"version = 1\n[[service]]\nname = \"spot\"\n"
		"address = \"198.51.100.10\"\n[[service.class]]\n"
		"name = \"feed\"\nport = 6001\nprotocol = \"tcp\"\n"
		"weight = 1\nidempotent = true\n");

	for (unsigned i = 1; i <= SINKS; i++)
		g_string_append_printf(
			s,
			"[[service.target]]\nname = \"spot-%u\"\n"
			"agent = \"" SUBNET ".2.%u:7400\"\nzone = \"a\"\n"
			"weight = 1.0\nslots = 5\nconnections = 100000\n",
			i, i);
	write_file("config.toml", s->str);
	write_file("key", key_text);
	g_string_printf(s,
			"name = \"b\"\nzone = \"a\"\n"
			"packets = \"" SUBNET ".1.1:7100\"\n"
			"listen = \"" SUBNET ".1.1:7200\"\n"
			"operators = \"" SUBNET ".1.1:7300\"\n"
			"key_file = \"%s/key\"\n"
			"config_file = \"%s/config.toml\"\n",
			dir, dir);
	write_file("balancer.toml", s->str);
	g_string_free(s, TRUE);
}

/* Sends a sink's reply to an open: MSG_HELD, to the balancer. */
static void send_held(int fd, seal_t *seal, unsigned sink,
		      const packet_msg_t *msg)
{
	endpoint_t to = { msg->reply_ip, (uint16_t)msg->reply_port };
	struct sockaddr_in sa = endpoint_sockaddr(&to);
	endpoint_t self = make_endpoint(2, sink + 1, 7400);
	held_msg_t held = CT__HELD__INIT;
	load_msg_t load = CT__LOAD__INIT;
	char name[NAME_BYTES];
	uint8_t buf[512];
	packet_t p;
	size_t len;

	if (packet_parse(msg->inner.data, msg->inner.len, &p) != PACKET_OK)
		return;
	snprintf(name, sizeof(name), "spot-%u", sink + 1);
	load.target = (uint32_t)config_name_hash(name);
	load.incarnation = 1;
	load.work = 40000;
	held.service = msg->service;
	held.version = msg->version;
	held.digest = msg->digest;
	held.target = load.target;
	held.src_ip = p.key.src;
	held.dst_ip = p.key.dst;
	held.src_port = p.key.sport;
	held.dst_port = p.key.dport;
	held.protocol = p.key.proto;
	held.load = &load;
	held.agent_ip = self.ip;
	held.agent_port = self.port;
	len = wire_pack(&held, buf + SEAL_HEADER_LEN);
	len = seal_message(seal, MSG_HELD, wall_clock_ms(), buf, len);
	sendto(fd, buf, len, 0, (struct sockaddr *)&sa, sizeof(sa));
}

static void receive_datagram(int fd, seal_t *seal, unsigned sink, uint8_t *buf,
			     size_t len)
{
	static wire_arena_t arena;
	const uint8_t *body;
	size_t body_len;
	packet_msg_t *msg;
	uint8_t kind;

	tally.datagrams++;
	tally.bytes += len;
	if (len < SEAL_HEADER_LEN || buf[SEAL_MAGIC_OFFSET] != SEAL_MAGIC)
		return; /* forwarded by the relay, not sealed */
	if (seal_open(seal, wall_clock_ms(), buf, len, &kind, &body,
		      &body_len) != SEAL_OK) {
		tally.bad++;
		return;
	}
	if (kind != MSG_PACKET)
		return;
	msg = wire_unpack(&arena, MSG_PACKET, body, body_len);
	tally.messages++;
	if (!msg || msg->step != STEP_OPEN)
		return;
	tally.opens++;
	send_held(fd, seal, sink, msg);
}

static void *run_sinks(void *key)
{
	static uint8_t bytes[BATCH_SIZE][9600];
	struct mmsghdr msgs[BATCH_SIZE] = { 0 };
	struct iovec iov[BATCH_SIZE];
	struct pollfd fds[SINKS];
	seal_t *seal = seal_new(key, 77);

	for (unsigned i = 0; i < SINKS; i++) {
		endpoint_t ep = make_endpoint(2, i + 1, 7400);

		fds[i].fd = udp_bind(&ep);
		fds[i].events = POLLIN;
	}
	for (unsigned i = 0; i < BATCH_SIZE; i++) {
		iov[i].iov_base = bytes[i];
		iov[i].iov_len = sizeof(bytes[i]);
		msgs[i].msg_hdr.msg_iov = &iov[i];
		msgs[i].msg_hdr.msg_iovlen = 1;
	}
	while (poll(fds, SINKS, -1) >= 0) {
		for (unsigned i = 0; i < SINKS; i++) {
			int n = fds[i].revents & POLLIN
					? recvmmsg(fds[i].fd, msgs, BATCH_SIZE,
						   MSG_DONTWAIT, NULL)
					: 0;

			for (int j = 0; j < n; j++)
				receive_datagram(fds[i].fd, seal, i, bytes[j],
						 msgs[j].msg_len);
		}
	}
	return NULL;
}

static pid_t spawn(const char *program, char **argv)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *parent = g_path_get_dirname(self);
	char *path = g_build_filename(parent, program, NULL);
	pid_t pid = fork();

	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		argv[0] = path;
		freopen("/dev/null", "w", stderr);
		execv(path, argv);
		_exit(127);
	}
	g_free(path);
	g_free(parent);
	g_free(self);
	return pid;
}

static cpu_usage_t read_cpu_usage(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	double tick = (double)sysconf(_SC_CLK_TCK);
	unsigned long user = 0, system = 0;
	cpu_usage_t s = { 0 };
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')') + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system);
	s.user_s = (double)user / tick;
	s.system_s = (double)system / tick;
	g_free(text);
	g_free(path);
	return s;
}

static unsigned long resident_kb(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL, *field;
	unsigned long kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		field = strstr(text, "VmRSS:");
		if (field)
			kb = strtoul(field + strlen("VmRSS:"), NULL, 10);
	}
	g_free(text);
	g_free(path);
	return kb;
}

/* Builds the i-th packet: the SYN of a new flow for each multiple of
 * open_interval, else a data packet of a live flow. Returns its length. */
static size_t next_packet(uint64_t i, uint64_t open_interval,
			  const pace_t *pace, uint8_t *buf)
{
	static uint8_t payload[2000];
	packet_t p = { .key = { 0, SERVICE_ADDRESS, 0, 6001, PROTO_TCP },
		       .window = 1000,
		       .payload = payload };
	uint64_t flow;

	if (i % open_interval == 0) {
		flow = next_flow++;
		p.flags = TCP_SYN;
	} else {
		flow = next_flow - 1 - i * 2654435761ULL % LIVE_FLOWS;
		p.flags = TCP_ACK;
		p.payload_len = pace->payload;
	}
	p.key.src = (uint32_t)(0x0a000000 + flow / PORTS_PER_CALLER);
	p.key.sport = (uint16_t)(1024 + flow % PORTS_PER_CALLER);
	p.seq = (uint32_t)flow;
	return packet_build(&p, buf);
}

/* Sends `count` packets at `rate` packets a second; each open_interval-th opens
 * a flow. */
static void send_packets(int fd, const endpoint_t *to, uint64_t count,
			 unsigned rate, uint64_t open_interval,
			 const pace_t *pace)
{
	static uint8_t bytes[BATCH_SIZE][PACKET_MAX];
	struct sockaddr_in sa = endpoint_sockaddr(to);
	struct mmsghdr msgs[BATCH_SIZE] = { 0 };
	struct iovec iov[BATCH_SIZE];
	uint64_t start_us = now_us(), sent = 0;

	while (sent < count) {
		uint64_t ticks = (now_us() - start_us) / pace->tick_us;
		uint64_t due = ticks * pace->tick_us * rate / 1000000;
		unsigned n = 0;

		while (n < BATCH_SIZE && sent + n < due && sent + n < count) {
			iov[n].iov_base = bytes[n];
			iov[n].iov_len = next_packet(sent + n, open_interval,
						     pace, bytes[n]);
			msgs[n].msg_hdr.msg_iov = &iov[n];
			msgs[n].msg_hdr.msg_iovlen = 1;
			msgs[n].msg_hdr.msg_name = &sa;
			msgs[n].msg_hdr.msg_namelen = sizeof(sa);
			n++;
		}
		if (n == 0) {
			g_usleep(pace->tick_us / 4);
			continue;
		}
		sendmmsg(fd, msgs, n, 0);
		sent += n;
	}
}

static void measure(int fd, pid_t pid, const endpoint_t *to, const pace_t *pace,
		    cpu_usage_t *sum)
{
	cpu_usage_t before = read_cpu_usage(pid), after;
	uint64_t arrived_before = tally.datagrams;
	uint64_t count = (uint64_t)PACKETS_PER_S * ROUND_S;

	send_packets(fd, to, count, PACKETS_PER_S, PACKETS_PER_S / OPENS_PER_S,
		     pace);
	g_usleep(200000);
	after = read_cpu_usage(pid);
	sum->user_s += after.user_s - before.user_s;
	sum->system_s += after.system_s - before.system_s;
	sum->packets += count;
	sum->arrived += tally.datagrams - arrived_before;
}

static double us_per_packet(const cpu_usage_t *s)
{
	return (s->user_s + s->system_s) * 1e6 / (double)s->packets;
}

static void print_usage(FILE *f, const char *name, const cpu_usage_t *s)
{
	fprintf(f,
		"\"%s\":{\"us_a_packet\":%.3f,\"user_us\":%.3f,"
		"\"system_us\":%.3f,\"lost\":%lld},",
		name, us_per_packet(s), s->user_s * 1e6 / (double)s->packets,
		s->system_s * 1e6 / (double)s->packets,
		(long long)s->packets - (long long)s->arrived);
}

static int run_pace(int fd, pid_t relay, pid_t balancer, const pace_t *pace,
		    FILE *out)
{
	endpoint_t relay_addr = make_endpoint(1, 2, 7100),
		   balancer_addr = make_endpoint(1, 1, 7100);
	FILE *files[] = { stdout, out };
	cpu_usage_t r = { 0 }, b = { 0 };
	unsigned long kb;
	double ratio;

	for (int i = 0; i < rounds; i++) {
		measure(fd, relay, &relay_addr, pace, &r);
		measure(fd, balancer, &balancer_addr, pace, &b);
	}
	kb = resident_kb(balancer);
	ratio = us_per_packet(&b) / us_per_packet(&r);
	for (int i = 0; i < 2; i++) {
		fprintf(files[i], "{\"pace\":\"%s\",\"payload\":%u,",
			pace->name, pace->payload);
		print_usage(files[i], "relay", &r);
		print_usage(files[i], "balancer", &b);
		fprintf(files[i],
			"\"ratio\":%.3f,\"live\":%d,\"opens_s\":%d,"
			"\"packets_s\":%d,\"resident_kb\":%lu}\n",
			ratio, LIVE_FLOWS, OPENS_PER_S, PACKETS_PER_S, kb);
		fflush(files[i]);
	}
	return ratio <= RATIO_MAX && kb < RSS_MAX_KB ? 0 : -1;
}

int main(int argc, char **argv)
{
	static const pace_t fill = { "fill", 1000, 0 };
	endpoint_t local = make_endpoint(3, 1, 7000),
		   balancer_addr = make_endpoint(1, 1, 7100);
	char *relay_argv[SINKS + 3] = { NULL, SUBNET ".1.2:7100" };
	char *balancer_argv[] = { NULL, "--settings", NULL, NULL };
	uint8_t key[SEAL_KEY_BYTES];
	pid_t relay, balancer;
	int ret = EXIT_SUCCESS;
	FILE *out;
	int fd;

	if (argc > 1)
		rounds = atoi(argv[1]);
	if (!g_mkdtemp(dir) || sodium_init() < 0)
		return 1;
	write_files();
	for (unsigned i = 0; i < SINKS; i++)
		relay_argv[2 + i] = g_strdup_printf(SUBNET ".2.%u:7400", i + 1);
	for (int i = 0; i < SEAL_KEY_BYTES; i++)
		key[i] = (uint8_t)i;
	relay = spawn("relay", relay_argv);
	balancer_argv[2] = g_build_filename(dir, "balancer.toml", NULL);
	balancer = spawn("cherviltray-balancer", balancer_argv);
	g_thread_new("sinks", run_sinks, key);
	g_usleep(500000);
	fd = udp_bind(&local);
	g_mkdir_with_parents("report/bench", 0755);
	out = fopen("report/bench/forward.json", "w");
	if (!out)
		return 1;
	send_packets(fd, &balancer_addr, LIVE_FLOWS, FILL_OPENS_PER_S, 1,
		     &fill);
	printf("opened %d flows: sinks received %llu opens; balancer uses %lu "
	       "KB\n",
	       LIVE_FLOWS, (unsigned long long)tally.opens,
	       resident_kb(balancer));
	for (size_t i = 0; i < G_N_ELEMENTS(paces); i++)
		if (run_pace(fd, relay, balancer, &paces[i], out) < 0)
			ret = EXIT_FAILURE;
	printf("messages rejected by the sinks: %llu\n",
	       (unsigned long long)tally.bad);
	fclose(out);
	kill(relay, SIGKILL);
	kill(balancer, SIGKILL);
	return ret;
}
