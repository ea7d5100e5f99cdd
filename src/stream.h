#ifndef STREAM_H
#define STREAM_H

/*
 * stream - sealed messages between our processes in frames over TCP
 *
 * A frame is a length of four bytes, most significant first, and a sealed
 * message of at most STREAM_FRAME_MAX bytes. A connection whose peer breaks
 * the protocol, or that is silent for STREAM_IDLE_MS, is closed.
 */

#include "counters.h"
#include "endpoint.h"
#include "err.h"
#include "seal.h"
#include "wire.h"
#include <uv.h>

#define STREAM_FRAME_MAX (8 * 1024 * 1024)
#define STREAM_IDLE_MS	 15000

typedef struct stream_server stream_server_t;
typedef struct stream stream_t;

/* A message from a client; answer with stream_send() now or later. */
typedef void (*stream_receive_fn)(void *ctx, stream_t *stream, msg_kind_t kind,
				  const void *msg);

stream_server_t *stream_listen(uv_loop_t *loop, const endpoint_t *listen,
			       seal_t *seal, counters_t *counters,
			       stream_receive_fn receive, void *ctx,
			       err_t *err);

/* Stops listening and closes all connections. */
void stream_server_close(stream_server_t *server);

/* Returns 0, or -1 when the message does not fit a frame. */
int stream_send(stream_t *stream, msg_kind_t kind, const void *msg);

/* The peer's address. */
endpoint_t stream_peer(const stream_t *stream);

/*
 * Asks one question. The answer comes once: kind MSG_NONE and msg NULL when
 * the peer could not be asked or did not answer in time; err says why.
 */
typedef void (*stream_answer_fn)(void *ctx, msg_kind_t kind, const void *msg,
				 const err_t *err);

void stream_call(uv_loop_t *loop, seal_t *seal, counters_t *counters,
		 const endpoint_t *to, msg_kind_t kind, const void *msg,
		 uint64_t timeout_ms, stream_answer_fn answer, void *ctx);

#endif
