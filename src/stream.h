#ifndef STREAM_H
#define STREAM_H

/*
 * stream - sealed messages between cherviltray processes over TCP
 *
 * A frame is a length of four bytes in network byte order and a sealed message
 * (seal.h) of at most STREAM_FRAME_MAX bytes. A connection is closed when a
 * frame is too long or its message is rejected by seal_open() or malformed. The
 * server also closes a connection on which nothing arrives for STREAM_IDLE_MS.
 */

#include "counters.h"
#include "endpoint.h"
#include "err.h"
#include "seal.h"
#include "wire.h"
#include <uv.h>

#define STREAM_FRAME_MAX (8 * 1024 * 1024) /* bytes */
#define STREAM_IDLE_MS	 15000 /* idle timeout of a server connection */

typedef struct stream_server stream_server_t;
typedef struct stream stream_t;

/*
 * Receives a message from a client; msg is valid during the call only. Answer
 * with stream_send() during the call or later, while the connection is open.
 */
typedef void (*stream_receive_fn)(void *ctx, stream_t *stream, msg_kind_t kind,
				  const void *msg);

/*
 * Listens for connections. The seal and the counters remain owned by the
 * caller. Returns NULL and sets err on failure.
 */
stream_server_t *stream_listen(uv_loop_t *loop, const endpoint_t *listen,
			       seal_t *seal, counters_t *counters,
			       stream_receive_fn receive, void *ctx,
			       err_t *err);

/* Stops listening, closes all connections and frees the server. */
void stream_server_close(stream_server_t *server);

/*
 * Sends a message. Returns 0, or -1 if the connection is closing, the message
 * does not fit into a frame, memory is exhausted or the write fails.
 */
int stream_send(stream_t *stream, msg_kind_t kind, const void *msg);

/* The peer's address. */
endpoint_t stream_peer(const stream_t *stream);

/*
 * Receives the result of stream_call(). On success msg is the answer, valid
 * during the call only, and err is NULL. On failure kind is MSG_NONE, msg is
 * NULL and err holds the reason.
 */
typedef void (*stream_answer_fn)(void *ctx, msg_kind_t kind, const void *msg,
				 const err_t *err);

/*
 * Connects to a process, sends one request and waits for the answer, at most
 * timeout_ms in all. Calls `answer` exactly once, possibly before it returns.
 */
void stream_call(uv_loop_t *loop, seal_t *seal, counters_t *counters,
		 const endpoint_t *to, msg_kind_t kind, const void *msg,
		 uint64_t timeout_ms, stream_answer_fn answer, void *ctx);

#endif
