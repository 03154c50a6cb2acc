#include "standin-http.h"

#include <string.h>

static void
stream_lost (struct stream *stream)
{
  void (*gone) (struct stream *) = stream->gone;

  stream->gone = NULL;
  stream->req = NULL;
  if (gone)
    gone (stream);
}

static void
stream_dispose (void *data)
{
  struct stream *stream = data;

  stream_lost (stream);
  g_string_free (stream->pending, TRUE);
  g_string_free (stream->flying, TRUE);
}

static void
stream_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  stream_lost ((struct stream *)generator);
}

static void
stream_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  struct stream *stream = (struct stream *)generator;

  stream->busy = false;
  if (stream->pending->len == 0 && !stream->ended && stream->ready)
    stream->ready (stream);
  if (stream->req && (stream->pending->len > 0 || stream->ended))
    stream_flush (stream);
}

struct stream *
stream_start (h2o_req_t *req, const char *type,
              void (*ready) (struct stream *), void (*gone) (struct stream *),
              void *data)
{
  struct stream *stream
      = h2o_mem_alloc_shared (&req->pool, sizeof *stream, stream_dispose);

  memset (stream, 0, sizeof *stream);
  stream->generator.proceed = stream_proceed;
  stream->generator.stop = stream_stop;
  stream->req = req;
  stream->pending = g_string_new (NULL);
  stream->flying = g_string_new (NULL);
  stream->ready = ready;
  stream->gone = gone;
  stream->data = data;
  http_status (req, 200, type);
  h2o_start_response (req, &stream->generator);
  return stream;
}

void
stream_flush (struct stream *stream)
{
  GString *free_buffer = stream->flying;
  h2o_iovec_t part;

  if (stream->busy || !stream->req || http_is_silent (stream->req))
    return;
  stream->flying = stream->pending;
  stream->pending = free_buffer;
  g_string_truncate (free_buffer, 0);
  part = h2o_iovec_init (stream->flying->str, stream->flying->len);
  stream->busy = true;
  h2o_send (stream->req, &part, part.len ? 1 : 0,
            stream->ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void
stream_end (struct stream *stream)
{
  stream->ended = true;
  stream_flush (stream);
}

void
stream_cut (struct stream *stream)
{
  h2o_req_t *req = stream->req;
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  stream->ready = NULL;
  shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
  g_string_assign (stream->pending, "\n");
  stream_end (stream);
}
