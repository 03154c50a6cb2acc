#include "fleet-parts.h"

#include <stdlib.h>
#include <string.h>

enum
{
  READ_BYTES = 64 * 1024
};

/* The way of a connection to the store, which may cut watches that wait. */
struct pipe
{
  struct fleet *fleet;
  uv_tcp_t ends[2]; /* to the host and to the store */
  uv_connect_t connect;
  uv_timer_t timer;
  GString *early; /* from the host, before the store has accepted */
  unsigned open_handles;
  bool connected;
  bool closing;
};

struct pipe_write
{
  uv_write_t request;
  char *bytes;
};

static void
pipe_closed (uv_handle_t *handle)
{
  struct pipe *pipe = handle->data;

  if (--pipe->open_handles > 0)
    return;
  g_string_free (pipe->early, TRUE);
  g_free (pipe);
}

static void
pipe_close (struct pipe *pipe)
{
  if (pipe->closing)
    return;
  pipe->closing = true;
  uv_close ((uv_handle_t *)&pipe->ends[0], pipe_closed);
  uv_close ((uv_handle_t *)&pipe->ends[1], pipe_closed);
  uv_close ((uv_handle_t *)&pipe->timer, pipe_closed);
}

static void
pipe_cut (uv_timer_t *timer)
{
  struct pipe *pipe = timer->data;

  pipe->fleet->cut_count++;
  pipe_close (pipe);
}

static void
pipe_written (uv_write_t *request, int status)
{
  struct pipe_write *write = (struct pipe_write *)request;

  g_free (write->bytes);
  g_free (write);
}

static void
pipe_write (struct pipe *pipe, unsigned end, const char *bytes, size_t size)
{
  struct pipe_write *write = g_new0 (struct pipe_write, 1);
  uv_buf_t buffer;

  write->bytes = g_memdup2 (bytes, size);
  buffer = uv_buf_init (write->bytes, (unsigned)size);
  uv_write (&write->request, (uv_stream_t *)&pipe->ends[end], &buffer, 1,
            pipe_written);
}

static void
pipe_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
pipe_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct pipe *pipe = stream->data;
  unsigned from = stream == (uv_stream_t *)&pipe->ends[0] ? 0 : 1;

  if (size == 0 || pipe->closing)
    return;
  if (size < 0)
    {
      pipe_close (pipe);
      return;
    }
  if (from == 1)
    uv_timer_stop (&pipe->timer);
  else if (pipe->fleet->cut_watches_ms != 0
           && strncmp (buffer->base, "GET /kv-watch", 13) == 0)
    uv_timer_start (&pipe->timer, pipe_cut, pipe->fleet->cut_watches_ms, 0);
  if (from == 0 && !pipe->connected)
    g_string_append_len (pipe->early, buffer->base, size);
  else
    pipe_write (pipe, 1 - from, buffer->base, (size_t)size);
}

static void
pipe_connected (uv_connect_t *connect, int status)
{
  struct pipe *pipe = connect->data;

  if (pipe->closing)
    return;
  if (status != 0)
    {
      pipe_close (pipe);
      return;
    }
  pipe->connected = true;
  if (pipe->early->len > 0)
    pipe_write (pipe, 1, pipe->early->str, pipe->early->len);
  uv_read_start ((uv_stream_t *)&pipe->ends[1], pipe_alloc, pipe_read);
}

static void
pipe_accept (uv_stream_t *listener, int status)
{
  struct fleet *fleet = listener->data;
  struct pipe *pipe = g_new0 (struct pipe, 1);
  struct sockaddr_in address;

  pipe->fleet = fleet;
  pipe->early = g_string_new (NULL);
  pipe->open_handles = 3;
  pipe->connect.data = pipe;
  uv_timer_init (&fleet->soak.loop, &pipe->timer);
  pipe->timer.data = pipe;
  for (unsigned i = 0; i < 2; i++)
    {
      uv_tcp_init (&fleet->soak.loop, &pipe->ends[i]);
      pipe->ends[i].data = pipe;
    }
  uv_ip4_addr (SOAK_IP, fleet->store_port, &address);
  if (uv_accept (listener, (uv_stream_t *)&pipe->ends[0]) != 0
      || uv_tcp_connect (&pipe->connect, &pipe->ends[1],
                         (const struct sockaddr *)&address, pipe_connected)
             != 0)
    {
      pipe_close (pipe);
      return;
    }
  uv_read_start ((uv_stream_t *)&pipe->ends[0], pipe_alloc, pipe_read);
}

void
proxy_open (struct fleet *fleet)
{
  struct sockaddr_in address;

  fleet->proxy_port = port_find ();
  uv_ip4_addr (SOAK_IP, fleet->proxy_port, &address);
  uv_tcp_init (&fleet->soak.loop, &fleet->proxy);
  fleet->proxy.data = fleet;
  if (uv_tcp_bind (&fleet->proxy, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)&fleet->proxy, 128, pipe_accept) != 0)
    exit (2);
}
