#include "takeover.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bound of one question, in ms. */
#define ASK_MS 2000
/* The predecessor's addresses are free after so many tries of this length. */
#define TRIES  250
#define TRY_US 20000

typedef struct question {
	takeover_t *out;
	bool over;
} question_t;

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err);
static void ask(process_t *p, bool done, takeover_t *out);
static bool is_free(const endpoint_t *at, int type);
static bool all_free(const settings_t *s);

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err)
{
	question_t *q = ctx;

	(void)err;
	q->over = true;
	if (kind != MSG_HANDOVER || !q->out)
		return;
	q->out->body = malloc(wire_size(msg) + 1);
	if (q->out->body)
		q->out->len = wire_pack(msg, q->out->body);
}

static void ask(process_t *p, bool done, takeover_t *out)
{
	question_t q = { out, false };
	handover_msg_t msg;

	ct__handover__init(&msg);
	msg.request = true;
	msg.done = done;
	stream_call(&p->loop, p->seal, p->counters, &p->settings.listen,
		    MSG_HANDOVER, &msg, ASK_MS, on_answer, &q);
	while (!q.over)
		uv_run(&p->loop, UV_RUN_ONCE);
}

static bool is_free(const endpoint_t *at, int type)
{
	struct sockaddr_in sa = endpoint_sockaddr(at);
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

static bool all_free(const settings_t *s)
{
	return is_free(&s->listen, SOCK_DGRAM) &&
	       is_free(&s->delivery, SOCK_DGRAM) &&
	       is_free(&s->listen, SOCK_STREAM) &&
	       is_free(&s->operators, SOCK_STREAM);
}

int takeover_run(process_t *p, takeover_t *out, err_t *err)
{
	ask(p, false, out);
	if (out->body)
		ask(p, true, NULL);
	for (int i = 0; i < TRIES; i++) {
		if (all_free(&p->settings))
			return 0;
		usleep(TRY_US);
	}
	return err_set(err, ERR_IO, NULL, 0,
		       "end the process that runs at these addresses",
		       "the predecessor did not end");
}
