#define _GNU_SOURCE
#include "udp_socket.h"
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/udp.h>
#include <sys/socket.h>
#include <unistd.h>

/* Datagrams a system call. */
#define BATCH 64
/* Batches read before other events get their turn. */
#define BATCHES_A_TURN 4
/* Datagrams that the receiver is told of before they are its turn. */
#define AHEAD 4
/* Kernel buffers, in bytes. */
#define SOCKET_BUFFER (4 * 1024 * 1024)
/* Bytes of datagrams that the kernel cuts out of one message. */
#define TRAIN_BYTES 60000
/* End of a list of datagrams. */
#define NONE BATCH

typedef struct batch {
	struct mmsghdr headers[BATCH];
	struct iovec iov[BATCH];
	struct sockaddr_in addr[BATCH];
	uint8_t (*bytes)[UDP_DATAGRAM_MAX]; /* BATCH of them, owned */
	unsigned n;
} batch_t;

/*
 * Datagrams of one length to one address that go to the kernel as one message,
 * which it cuts apart again; only the last may be shorter.
 */
typedef struct train {
	struct sockaddr_in addr;
	size_t segment; /* length of the first */
	size_t bytes;	/* of all */
	unsigned first; /* positions in the batch */
	unsigned last;
	unsigned n;
	int closed; /* takes no more */
} train_t;

typedef struct trains {
	train_t list[BATCH];
	unsigned n;
	unsigned next[BATCH]; /* datagram behind each */
	struct mmsghdr headers[BATCH];
	struct iovec iov[BATCH];
	union {
		char bytes[CMSG_SPACE(sizeof(uint16_t))];
		struct cmsghdr align;
	} control[BATCH];
} trains_t;

struct udp_socket {
	uv_poll_t poll;
	uv_prepare_t prepare;
	int fd;
	int connected;
	int open_handles;
	udp_socket_ops_t ops;
	void *ctx;
	batch_t in;
	batch_t out;
	trains_t trains;
	size_t segment_max; /* longer ones are not put into trains */
	uint64_t failures;
};

static int batch_init(batch_t *b);
static void on_readable(uv_poll_t *poll, int status, int events);
static void on_prepare(uv_prepare_t *prepare);
static void on_closed(uv_handle_t *handle);
static int open_fd(const endpoint_t *bind_to, const endpoint_t *peer,
		   err_t *err);
static train_t *train_for(udp_socket_t *s, const struct sockaddr_in *addr,
			  size_t len);
static void train_add(udp_socket_t *s, unsigned i);
static void train_header(udp_socket_t *s, unsigned t, unsigned *iov);
static void send_apart(udp_socket_t *s, const train_t *t);
static int send_some(udp_socket_t *s, struct mmsghdr *headers, unsigned n);
static void not_taken(udp_socket_t *s, const train_t *t);

static int batch_init(batch_t *b)
{
	b->bytes = malloc(sizeof(*b->bytes) * BATCH);
	if (!b->bytes)
		return -1;
	for (unsigned i = 0; i < BATCH; i++) {
		b->iov[i].iov_base = b->bytes[i];
		b->iov[i].iov_len = UDP_DATAGRAM_MAX;
		b->headers[i].msg_hdr.msg_iov = &b->iov[i];
		b->headers[i].msg_hdr.msg_iovlen = 1;
		b->headers[i].msg_hdr.msg_name = &b->addr[i];
		b->headers[i].msg_hdr.msg_namelen = sizeof(b->addr[i]);
	}
	return 0;
}

static int open_fd(const endpoint_t *bind_to, const endpoint_t *peer,
		   err_t *err)
{
	struct sockaddr_in sa = endpoint_sockaddr(bind_to);
	int size = SOCKET_BUFFER;
	char text[ENDPOINT_TEXT_SIZE];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return err_set(err, ERR_IO, NULL, 0,
			       "raise the limit of open files", "no socket: %s",
			       strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		err_set(err, ERR_IO, endpoint_format(bind_to, text), 0,
			"use a free address of this host", "cannot bind: %s",
			strerror(errno));
		close(fd);
		return -1;
	}
	if (peer) {
		sa = endpoint_sockaddr(peer);
		if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
			err_set(err, ERR_IO, endpoint_format(peer, text), 0,
				"use an address that can be reached",
				"cannot connect: %s", strerror(errno));
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

	if (!s || batch_init(&s->in) < 0 || batch_init(&s->out) < 0) {
		err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			"no memory for a socket");
		goto fail;
	}
	s->ops = *ops;
	s->ctx = ctx;
	s->connected = peer != NULL;
	s->segment_max = UDP_DATAGRAM_MAX;
	s->fd = open_fd(bind_to, peer, err);
	if (s->fd < 0)
		goto fail;
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
		free(s->in.bytes);
		free(s->out.bytes);
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
	free(s->in.bytes);
	free(s->out.bytes);
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

static void on_readable(uv_poll_t *poll, int status, int events)
{
	udp_socket_t *s = poll->data;

	(void)events;
	if (status < 0)
		return;
	for (int turn = 0; turn < BATCHES_A_TURN; turn++) {
		int n;

		for (unsigned i = 0; i < BATCH; i++)
			s->in.headers[i].msg_hdr.msg_namelen =
				sizeof(s->in.addr[i]);
		n = recvmmsg(s->fd, s->in.headers, BATCH, 0, NULL);
		if (n < 0) {
			if (errno == ECONNREFUSED && s->ops.refused)
				s->ops.refused(s->ctx);
			return;
		}
		for (int i = 0; i < n; i++) {
			endpoint_t from =
				endpoint_from_sockaddr(&s->in.addr[i]);
			int soon = i + AHEAD;

			if (s->ops.ahead && soon < n)
				s->ops.ahead(s->ctx, s->in.bytes[soon],
					     s->in.headers[soon].msg_len);
			s->ops.receive(s->ctx, &from, s->in.bytes[i],
				       s->in.headers[i].msg_len);
		}
		if (s->ops.batch_end)
			s->ops.batch_end(s->ctx);
		if (n < BATCH)
			return;
	}
}

static void on_prepare(uv_prepare_t *prepare)
{
	udp_socket_flush(prepare->data);
}

uint8_t *udp_socket_reserve(udp_socket_t *s)
{
	if (s->out.n == BATCH)
		udp_socket_flush(s);
	return s->out.bytes[s->out.n];
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

/* The open train that takes a datagram, or NULL. */
static train_t *train_for(udp_socket_t *s, const struct sockaddr_in *addr,
			  size_t len)
{
	for (unsigned i = s->trains.n; i-- > 0;) {
		train_t *t = &s->trains.list[i];

		if (t->addr.sin_addr.s_addr != addr->sin_addr.s_addr ||
		    t->addr.sin_port != addr->sin_port)
			continue;
		/* Only the newest one: the order to an address stays. */
		if (t->closed || len > t->segment ||
		    t->bytes + len > TRAIN_BYTES)
			return NULL;
		return t;
	}
	return NULL;
}

static void train_add(udp_socket_t *s, unsigned i)
{
	size_t len = s->out.iov[i].iov_len;
	train_t *t = train_for(s, &s->out.addr[i], len);

	s->trains.next[i] = NONE;
	if (!t) {
		t = &s->trains.list[s->trains.n++];
		t->addr = s->out.addr[i];
		t->segment = len;
		t->bytes = 0;
		t->first = i;
		t->n = 0;
		t->closed = len == 0 || len > s->segment_max;
	} else {
		s->trains.next[t->last] = i;
		t->closed = len < t->segment;
	}
	t->last = i;
	t->bytes += len;
	t->n++;
}

static void train_header(udp_socket_t *s, unsigned t, unsigned *iov)
{
	const train_t *train = &s->trains.list[t];
	struct msghdr *h = &s->trains.headers[t].msg_hdr;
	uint16_t segment = (uint16_t)train->segment;
	struct cmsghdr *c;

	memset(h, 0, sizeof(*h));
	h->msg_iov = &s->trains.iov[*iov];
	h->msg_iovlen = train->n;
	if (!s->connected) {
		h->msg_name = (void *)&train->addr;
		h->msg_namelen = sizeof(train->addr);
	}
	for (unsigned i = train->first; i != NONE; i = s->trains.next[i])
		s->trains.iov[(*iov)++] = s->out.iov[i];
	if (train->n == 1)
		return;
	h->msg_control = s->trains.control[t].bytes;
	h->msg_controllen = sizeof(s->trains.control[t].bytes);
	c = CMSG_FIRSTHDR(h);
	c->cmsg_level = SOL_UDP;
	c->cmsg_type = UDP_SEGMENT;
	c->cmsg_len = CMSG_LEN(sizeof(segment));
	memcpy(CMSG_DATA(c), &segment, sizeof(segment));
}

/* Sends each datagram of a train that was not taken for itself. */
static void send_apart(udp_socket_t *s, const train_t *t)
{
	for (unsigned i = t->first; i != NONE; i = s->trains.next[i])
		if (send_some(s, &s->out.headers[i], 1) < 0)
			s->failures++;
}

/* Returns how many were sent, or -1 when the first could not be. */
static int send_some(udp_socket_t *s, struct mmsghdr *headers, unsigned n)
{
	int ret;

	do
		ret = sendmmsg(s->fd, headers, n, 0);
	while (ret < 0 && errno == EINTR);
	return ret;
}

static void not_taken(udp_socket_t *s, const train_t *t)
{
	switch (errno) {
	case ECONNREFUSED:
		/* The error belongs to an earlier datagram. */
		if (s->ops.refused)
			s->ops.refused(s->ctx);
		send_apart(s, t);
		return;
	case EINVAL:
	case EIO:
	case EMSGSIZE:
		/* The path takes no train of this length. */
		if (t->n > 1 && s->segment_max >= t->segment)
			s->segment_max = t->segment - 1;
		send_apart(s, t);
		return;
	default:
		s->failures += t->n;
	}
}

void udp_socket_flush(udp_socket_t *s)
{
	unsigned done = 0, iov = 0;

	s->trains.n = 0;
	for (unsigned i = 0; i < s->out.n; i++)
		train_add(s, i);
	for (unsigned t = 0; t < s->trains.n; t++)
		train_header(s, t, &iov);
	while (done < s->trains.n) {
		int n = send_some(s, s->trains.headers + done,
				  s->trains.n - done);

		if (n < 0)
			not_taken(s, &s->trains.list[done++]);
		else
			done += (unsigned)n;
	}
	s->out.n = 0;
}

void udp_socket_apart(udp_socket_t *s)
{
	s->segment_max = 0;
}

uint64_t udp_socket_failures(const udp_socket_t *s)
{
	return s->failures;
}
