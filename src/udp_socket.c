#define _GNU_SOURCE
#include "udp_socket.h"
#include "socket_wait.h"
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/udp.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Maximum number of datagrams read or sent by one system call. */
#define BATCH_SIZE 64
/* Maximum batches read for one poll event, so as not to delay other events. */
#define BATCHES_PER_EVENT 4
/* Distance from the datagram received to the one prefetched, in datagrams. */
#define PREFETCH_DISTANCE 4
/* Size of the kernel's receive and send buffers. */
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)
/* Maximum length of a message that the kernel splits into datagrams. */
#define GSO_MAX_BYTES 60000
/* Datagrams that can't have waited longer than this count as just arrived:
 * several turns of a loop that runs. */
#define WAIT_MIN_MS 100
/* End of a list of datagrams linked by gso_batch.next. */
#define LIST_END BATCH_SIZE

/* Control data of a received datagram: its time stamp. */
typedef union stamp {
	char bytes[CMSG_SPACE(sizeof(struct timespec))];
	struct cmsghdr align;
} stamp_t;

typedef struct batch {
	struct mmsghdr headers[BATCH_SIZE];
	struct iovec iov[BATCH_SIZE];
	struct sockaddr_in addr[BATCH_SIZE];
	uint8_t (*bufs)[UDP_DATAGRAM_MAX]; /* BATCH_SIZE buffers, owned */
	unsigned n;
} batch_t;

/*
 * Datagrams to one address that are passed to the kernel as one message, which
 * the kernel splits every segment_len bytes; only the last may be shorter.
 */
typedef struct gso_msg {
	struct sockaddr_in addr;
	size_t segment_len; /* length of the first datagram */
	size_t total_len;   /* sum of the lengths of all datagrams */
	unsigned first;	    /* index in batch_t of the first datagram */
	unsigned last;	    /* index in batch_t of the last datagram */
	unsigned n;	    /* number of datagrams */
	int complete;	    /* no datagram can be appended */
} gso_msg_t;

typedef struct gso_batch {
	gso_msg_t msgs[BATCH_SIZE];
	unsigned n;
	unsigned next[BATCH_SIZE]; /* next datagram of the same message */
	struct mmsghdr headers[BATCH_SIZE];
	struct iovec iov[BATCH_SIZE];
	union {
		char bytes[CMSG_SPACE(sizeof(uint16_t))];
		struct cmsghdr align;
	} control[BATCH_SIZE];
} gso_batch_t;

struct udp_socket {
	uv_poll_t poll;
	uv_prepare_t prepare;
	int fd;
	int connected;
	int open_handles; /* libuv handles not yet closed */
	udp_socket_ops_t ops;
	void *ctx;
	batch_t in;
	batch_t out;
	stamp_t stamps[BATCH_SIZE]; /* of the datagrams in `in` */
	bool stamped;		    /* the kernel stamps datagrams */
	socket_wait_t wait;
	uint32_t wait_ms; /* of the datagram that is being received */
	gso_batch_t gso_batch;
	size_t gso_segment_max; /* longer datagrams are sent separately */
	uint64_t failures;	/* datagrams that could not be sent */
};

static int batch_init(batch_t *b);
static void on_readable(uv_poll_t *poll, int status, int events);
static void on_prepare(uv_prepare_t *prepare);
static void on_closed(uv_handle_t *handle);
static int open_fd(const endpoint_t *bind_to, const endpoint_t *peer,
		   err_t *err);
static gso_msg_t *gso_find_msg(udp_socket_t *s, const struct sockaddr_in *addr,
			       size_t len);
static void gso_add_datagram(udp_socket_t *s, unsigned i);
static void gso_fill_header(udp_socket_t *s, unsigned m, unsigned *iov);
static void send_each(udp_socket_t *s, const gso_msg_t *m);
static int send_headers(udp_socket_t *s, struct mmsghdr *headers, unsigned n);
static void handle_send_error(udp_socket_t *s, const gso_msg_t *m);

static int batch_init(batch_t *b)
{
	b->bufs = malloc(sizeof(*b->bufs) * BATCH_SIZE);
	if (!b->bufs)
		return -1;
	for (unsigned i = 0; i < BATCH_SIZE; i++) {
		b->iov[i].iov_base = b->bufs[i];
		b->iov[i].iov_len = UDP_DATAGRAM_MAX;
		b->headers[i].msg_hdr.msg_iov = &b->iov[i];
		b->headers[i].msg_hdr.msg_iovlen = 1;
		b->headers[i].msg_hdr.msg_name = &b->addr[i];
		b->headers[i].msg_hdr.msg_namelen = sizeof(b->addr[i]);
	}
	return 0;
}

static uint64_t clock_ms(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static int open_fd(const endpoint_t *bind_to, const endpoint_t *peer,
		   err_t *err)
{
	struct sockaddr_in sa = endpoint_sockaddr(bind_to);
	int size = SOCKET_BUFFER_BYTES;
	char text[ENDPOINT_TEXT_SIZE];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return err_set(
			err, ERR_IO, NULL, 0, "raise the limit of open files",
			"cannot create a UDP socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		err_set(err, ERR_IO, endpoint_format(bind_to, text), 0,
			"use a free address of this host",
			"cannot bind a UDP socket: %s", strerror(errno));
		close(fd);
		return -1;
	}
	if (peer) {
		sa = endpoint_sockaddr(peer);
		if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
			err_set(err, ERR_IO, endpoint_format(peer, text), 0,
				"use an address that can be reached",
				"cannot connect a UDP socket: %s",
				strerror(errno));
			close(fd);
			return -1;
		}
	}
	return fd;
}

udp_socket_t *udp_socket_open(uv_loop_t *loop, const endpoint_t *bind_to,
			      const endpoint_t *peer,
			      const udp_socket_ops_t *ops, void *ctx,
			      err_t *err)
{
	udp_socket_t *s = calloc(1, sizeof(*s));
	int on = 1;

	if (!s || batch_init(&s->in) < 0 || batch_init(&s->out) < 0) {
		err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			"no memory for a UDP socket");
		goto fail;
	}
	s->ops = *ops;
	s->ctx = ctx;
	s->connected = peer != NULL;
	s->gso_segment_max = UDP_DATAGRAM_MAX;
	s->fd = open_fd(bind_to, peer, err);
	if (s->fd < 0)
		goto fail;
	s->stamped = setsockopt(s->fd, SOL_SOCKET, SO_TIMESTAMPNS, &on,
				sizeof(on)) == 0;
	socket_wait_init(&s->wait, clock_ms(CLOCK_BOOTTIME));
	uv_poll_init(loop, &s->poll, s->fd);
	uv_prepare_init(loop, &s->prepare);
	s->poll.data = s;
	s->prepare.data = s;
	s->open_handles = 2;
	uv_poll_start(&s->poll, UV_READABLE, on_readable);
	uv_prepare_start(&s->prepare, on_prepare);
	uv_unref((uv_handle_t *)&s->prepare);
	return s;
fail:
	if (s) {
		free(s->in.bufs);
		free(s->out.bufs);
		free(s);
	}
	return NULL;
}

static void on_closed(uv_handle_t *handle)
{
	udp_socket_t *s = handle->data;

	if (--s->open_handles > 0)
		return;
	close(s->fd);
	free(s->in.bufs);
	free(s->out.bufs);
	free(s);
}

void udp_socket_close(udp_socket_t *s)
{
	if (!s)
		return;
	udp_socket_flush(s);
	uv_poll_stop(&s->poll);
	uv_close((uv_handle_t *)&s->poll, on_closed);
	uv_close((uv_handle_t *)&s->prepare, on_closed);
}

/* Prepares the batch for a read: the kernel overwrites the lengths. */
static void reset_headers(udp_socket_t *s)
{
	for (unsigned i = 0; i < BATCH_SIZE; i++) {
		struct msghdr *h = &s->in.headers[i].msg_hdr;

		h->msg_namelen = sizeof(s->in.addr[i]);
		h->msg_control = s->stamped ? &s->stamps[i] : NULL;
		h->msg_controllen = s->stamped ? sizeof(s->stamps[i]) : 0;
	}
}

/* Time in ms since the kernel stamped a datagram; false: it has no stamp. */
static bool stamp_age(struct msghdr *h, int64_t *age_ms)
{
	struct cmsghdr *c = CMSG_FIRSTHDR(h);
	struct timespec t;

	if (!c || c->cmsg_level != SOL_SOCKET ||
	    c->cmsg_type != SCM_TIMESTAMPNS)
		return false;
	memcpy(&t, CMSG_DATA(c), sizeof(t));
	*age_ms = (int64_t)clock_ms(CLOCK_REALTIME) -
		  ((int64_t)t.tv_sec * 1000 + (int64_t)t.tv_nsec / 1000000);
	return true;
}

/* Finds out how long a datagram has waited that is about to be received. The
 * process may have been stopped since the loop read its clock. */
static void note_wait(udp_socket_t *s, struct msghdr *h)
{
	uint64_t bound_ms =
		socket_wait_bound(&s->wait, clock_ms(CLOCK_BOOTTIME));
	int64_t age_ms;

	s->wait_ms = 0;
	if (bound_ms < WAIT_MIN_MS)
		return;
	uv_update_time(s->poll.loop);
	s->wait_ms = socket_wait_ms(bound_ms,
				    stamp_age(h, &age_ms) ? &age_ms : NULL);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	udp_socket_t *s = poll->data;

	(void)events;
	if (status < 0)
		return;
	for (int round = 0; round < BATCHES_PER_EVENT; round++) {
		int n;

		reset_headers(s);
		n = recvmmsg(s->fd, s->in.headers, BATCH_SIZE, 0, NULL);
		if (n < 0) {
			if (errno == ECONNREFUSED && s->ops.refused)
				s->ops.refused(s->ctx);
			socket_wait_read(&s->wait, errno == EAGAIN);
			return;
		}
		for (int i = 0; i < n; i++) {
			endpoint_t from =
				endpoint_from_sockaddr(&s->in.addr[i]);
			int ahead = i + PREFETCH_DISTANCE;

			note_wait(s, &s->in.headers[i].msg_hdr);
			if (s->ops.prefetch && ahead < n)
				s->ops.prefetch(s->ctx, s->in.bufs[ahead],
						s->in.headers[ahead].msg_len);
			s->ops.receive(s->ctx, &from, s->in.bufs[i],
				       s->in.headers[i].msg_len);
		}
		if (s->ops.batch_end)
			s->ops.batch_end(s->ctx);
		socket_wait_read(&s->wait, n < BATCH_SIZE);
		if (n < BATCH_SIZE)
			return;
	}
}

uint32_t udp_socket_wait_ms(const udp_socket_t *s)
{
	return s->wait_ms;
}

static void on_prepare(uv_prepare_t *prepare)
{
	udp_socket_t *s = prepare->data;

	udp_socket_flush(s);
	socket_wait_poll(&s->wait, clock_ms(CLOCK_BOOTTIME));
}

uint8_t *udp_socket_reserve(udp_socket_t *s)
{
	if (s->out.n == BATCH_SIZE)
		udp_socket_flush(s);
	return s->out.bufs[s->out.n];
}

void udp_socket_commit(udp_socket_t *s, const endpoint_t *to, size_t len)
{
	batch_t *b = &s->out;

	b->iov[b->n].iov_len = len;
	if (s->connected) {
		b->headers[b->n].msg_hdr.msg_name = NULL;
		b->headers[b->n].msg_hdr.msg_namelen = 0;
		memset(&b->addr[b->n], 0, sizeof(b->addr[b->n]));
	} else {
		b->addr[b->n] = endpoint_sockaddr(to);
	}
	b->n++;
}

void udp_socket_send(udp_socket_t *s, const endpoint_t *to, const uint8_t *buf,
		     size_t len)
{
	uint8_t *out;

	if (len > UDP_DATAGRAM_MAX)
		return;
	out = udp_socket_reserve(s);
	memcpy(out, buf, len);
	udp_socket_commit(s, to, len);
}

/* Returns the queued message that a datagram can be appended to, or NULL. */
static gso_msg_t *gso_find_msg(udp_socket_t *s, const struct sockaddr_in *addr,
			       size_t len)
{
	for (unsigned i = s->gso_batch.n; i-- > 0;) {
		gso_msg_t *m = &s->gso_batch.msgs[i];

		if (m->addr.sin_addr.s_addr != addr->sin_addr.s_addr ||
		    m->addr.sin_port != addr->sin_port)
			continue;
		/*
		 * Only the newest message to the address is considered, which
		 * keeps the order of datagrams.
		 */
		if (m->complete || len > m->segment_len ||
		    m->total_len + len > GSO_MAX_BYTES)
			return NULL;
		return m;
	}
	return NULL;
}

static void gso_add_datagram(udp_socket_t *s, unsigned i)
{
	size_t len = s->out.iov[i].iov_len;
	gso_msg_t *m = gso_find_msg(s, &s->out.addr[i], len);

	s->gso_batch.next[i] = LIST_END;
	if (!m) {
		m = &s->gso_batch.msgs[s->gso_batch.n++];
		m->addr = s->out.addr[i];
		m->segment_len = len;
		m->total_len = 0;
		m->first = i;
		m->n = 0;
		m->complete = len == 0 || len > s->gso_segment_max;
	} else {
		s->gso_batch.next[m->last] = i;
		m->complete = len < m->segment_len;
	}
	m->last = i;
	m->total_len += len;
	m->n++;
}

/* Fills the header of message m; *iov counts the entries used in iov. */
static void gso_fill_header(udp_socket_t *s, unsigned m, unsigned *iov)
{
	const gso_msg_t *gso_msg = &s->gso_batch.msgs[m];
	struct msghdr *h = &s->gso_batch.headers[m].msg_hdr;
	uint16_t segment_len = (uint16_t)gso_msg->segment_len;
	struct cmsghdr *c;

	memset(h, 0, sizeof(*h));
	h->msg_iov = &s->gso_batch.iov[*iov];
	h->msg_iovlen = gso_msg->n;
	if (!s->connected) {
		h->msg_name = (void *)&gso_msg->addr;
		h->msg_namelen = sizeof(gso_msg->addr);
	}
	for (unsigned i = gso_msg->first; i != LIST_END;
	     i = s->gso_batch.next[i])
		s->gso_batch.iov[(*iov)++] = s->out.iov[i];
	if (gso_msg->n == 1)
		return;
	h->msg_control = s->gso_batch.control[m].bytes;
	h->msg_controllen = sizeof(s->gso_batch.control[m].bytes);
	c = CMSG_FIRSTHDR(h);
	c->cmsg_level = SOL_UDP;
	c->cmsg_type = UDP_SEGMENT;
	c->cmsg_len = CMSG_LEN(sizeof(segment_len));
	memcpy(CMSG_DATA(c), &segment_len, sizeof(segment_len));
}

/* Sends the datagrams of a failed message separately. */
static void send_each(udp_socket_t *s, const gso_msg_t *m)
{
	for (unsigned i = m->first; i != LIST_END; i = s->gso_batch.next[i])
		if (send_headers(s, &s->out.headers[i], 1) < 0)
			s->failures++;
}

/* Returns the number of messages sent, or -1 if the first one failed. */
static int send_headers(udp_socket_t *s, struct mmsghdr *headers, unsigned n)
{
	int ret;

	do
		ret = sendmmsg(s->fd, headers, n, 0);
	while (ret < 0 && errno == EINTR);
	return ret;
}

static void handle_send_error(udp_socket_t *s, const gso_msg_t *m)
{
	switch (errno) {
	case ECONNREFUSED:
		/* The error is about a datagram sent earlier: send again. */
		if (s->ops.refused)
			s->ops.refused(s->ctx);
		send_each(s, m);
		return;
	case EINVAL:
	case EIO:
	case EMSGSIZE:
		/* The path does not support such segments: lower the limit. */
		if (m->n > 1 && s->gso_segment_max >= m->segment_len)
			s->gso_segment_max = m->segment_len - 1;
		send_each(s, m);
		return;
	default:
		s->failures += m->n;
	}
}

void udp_socket_flush(udp_socket_t *s)
{
	unsigned done = 0, iov = 0;

	s->gso_batch.n = 0;
	for (unsigned i = 0; i < s->out.n; i++)
		gso_add_datagram(s, i);
	for (unsigned m = 0; m < s->gso_batch.n; m++)
		gso_fill_header(s, m, &iov);
	while (done < s->gso_batch.n) {
		int n = send_headers(s, s->gso_batch.headers + done,
				     s->gso_batch.n - done);

		if (n < 0)
			handle_send_error(s, &s->gso_batch.msgs[done++]);
		else
			done += (unsigned)n;
	}
	s->out.n = 0;
}

void udp_socket_disable_gso(udp_socket_t *s)
{
	s->gso_segment_max = 0;
}

uint64_t udp_socket_send_failures(const udp_socket_t *s)
{
	return s->failures;
}
