#include "takeover.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time-out of a handover request, ms. */
#define REQUEST_TIMEOUT_MS 2000
/* Checks whether the addresses are free, and their interval: 5 s in all. */
#define BIND_TRIES    250
#define BIND_RETRY_US 20000

typedef struct handover_request {
	takeover_t *out;
	bool finished;
} handover_request_t;

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err);
static void send_request(process_t *p, bool done, takeover_t *out);
static bool address_is_free(const endpoint_t *address, int type);
static bool addresses_are_free(const settings_t *s);

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err)
{
	handover_request_t *q = ctx;

	(void)err;
	q->finished = true;
	if (kind != MSG_HANDOVER || !q->out)
		return;
	q->out->body = malloc(wire_size(msg) + 1);
	if (q->out->body)
		q->out->len = wire_pack(msg, q->out->body);
}

static void send_request(process_t *p, bool done, takeover_t *out)
{
	handover_request_t q = { out, false };
	handover_msg_t msg;

	ct__handover__init(&msg);
	msg.request = true;
	msg.done = done;
	stream_call(&p->loop, p->seal, p->counters, &p->settings.listen,
		    MSG_HANDOVER, &msg, REQUEST_TIMEOUT_MS, on_answer, &q);
	while (!q.finished)
		uv_run(&p->loop, UV_RUN_ONCE);
}

static bool address_is_free(const endpoint_t *address, int type)
{
	struct sockaddr_in sa = endpoint_sockaddr(address);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	int on = 1;
	int ret;

	if (fd < 0)
		return true;
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ret = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
	if (ret == 0 && type == SOCK_STREAM)
		ret = listen(fd, 1);
	close(fd);
	return ret == 0 || errno != EADDRINUSE;
}

static bool addresses_are_free(const settings_t *s)
{
	return address_is_free(&s->listen, SOCK_DGRAM) &&
	       address_is_free(&s->delivery, SOCK_DGRAM) &&
	       address_is_free(&s->listen, SOCK_STREAM) &&
	       address_is_free(&s->operators, SOCK_STREAM);
}

int takeover_run(process_t *p, takeover_t *out, err_t *err)
{
	send_request(p, false, out);
	if (out->body)
		send_request(p, true, NULL);
	for (int i = 0; i < BIND_TRIES; i++) {
		if (addresses_are_free(&p->settings))
			return 0;
		usleep(BIND_RETRY_US);
	}
	return err_set(err, ERR_IO, NULL, 0,
		       "end the process that uses these addresses",
		       "listen, delivery or operators address still in use "
		       "after 5 s: the predecessor did not exit");
}
