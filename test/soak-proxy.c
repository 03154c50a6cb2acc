#include "soak-proxy.h"
#include "tcpreset.h"

#include <string.h>

enum
{
  READ_BYTES = 16384
};

struct pair;

/* One end of a connection that passes the proxy. */
struct side
{
  uv_tcp_t tcp;
  struct pair *pair;
  struct side *other;
  bool ended;      /* Its peer has sent all. */
  uint64_t due_ms; /* Time at which the last bytes to it are due. */
};

struct pair
{
  struct list node;
  struct soak_proxy *proxy;
  struct side caller;
  struct side target;
  uv_connect_t connect;
  bool spoilt; /* Bytes of it were dropped. */
  bool closing;
  unsigned handles;
};

/* Bytes on their way to a side. */
struct parcel
{
  uv_timer_t timer;
  uv_write_t write;
  uv_shutdown_t shutdown;
  struct side *to;
  bool last; /* The side that sent it has ended. */
  size_t size;
  char bytes[];
};

static const char *const mode_names[SOAK_PROXY_MODES]
    = { "pass", "delay", "silent", "one way", "reset" };

const char *
soak_proxy_mode_name (enum soak_proxy_mode mode)
{
  return mode_names[mode];
}

static void
pair_release (struct pair *pair)
{
  if (--pair->handles > 0)
    return;
  list_remove (&pair->node);
  g_free (pair);
}

static void
on_side_closed (uv_handle_t *handle)
{
  pair_release (((struct side *)handle->data)->pair);
}

static void
pair_close (struct pair *pair, bool reset)
{
  if (pair->closing)
    return;
  pair->closing = true;
  for (int i = 0; i < 2; i++)
    {
      struct side *side = i == 0 ? &pair->caller : &pair->target;

      if (!reset || uv_tcp_close_reset (&side->tcp, on_side_closed) != 0)
        uv_close ((uv_handle_t *)&side->tcp, on_side_closed);
    }
}

static void
on_parcel_closed (uv_handle_t *handle)
{
  struct parcel *parcel = handle->data;
  struct pair *pair = parcel->to->pair;

  g_free (parcel);
  pair_release (pair);
}

static void
parcel_done (struct parcel *parcel)
{
  uv_close ((uv_handle_t *)&parcel->timer, on_parcel_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  parcel_done (write->data);
}

static void
on_shut (uv_shutdown_t *shutdown, int status)
{
  parcel_done (shutdown->data);
}

static void
on_due (uv_timer_t *timer)
{
  struct parcel *parcel = timer->data;
  uv_stream_t *stream = (uv_stream_t *)&parcel->to->tcp;
  uv_buf_t buffer = uv_buf_init (parcel->bytes, (unsigned)parcel->size);
  int failed;

  parcel->write.data = parcel;
  parcel->shutdown.data = parcel;
  if (parcel->to->pair->closing)
    failed = UV_ECANCELED;
  else if (parcel->last)
    failed = uv_shutdown (&parcel->shutdown, stream, on_shut);
  else
    failed = uv_write (&parcel->write, stream, &buffer, 1, on_written);
  if (failed != 0)
    parcel_done (parcel);
}

static void
parcel_send (struct side *to, const char *bytes, size_t size, bool last)
{
  struct pair *pair = to->pair;
  struct soak_proxy *proxy = pair->proxy;
  struct parcel *parcel = g_malloc0 (sizeof *parcel + size);
  uint64_t now = uv_now (&proxy->soak->loop);

  /* Bytes do not overtake those that were delayed before the link healed. */
  to->due_ms
      = MAX (to->due_ms,
             now + (proxy->mode == SOAK_PROXY_DELAY ? proxy->delay_ms : 0));
  parcel->to = to;
  parcel->last = last;
  parcel->size = size;
  memcpy (parcel->bytes, bytes, size);
  uv_timer_init (&proxy->soak->loop, &parcel->timer);
  parcel->timer.data = parcel;
  pair->handles++;
  /* Timers of one delay fire in the order in which they were started. */
  uv_timer_start (&parcel->timer, on_due, to->due_ms - now, 0);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[READ_BYTES];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static bool
is_dropped (const struct side *from)
{
  enum soak_proxy_mode mode = from->pair->proxy->mode;

  return mode == SOAK_PROXY_SILENT
         || (mode == SOAK_PROXY_ONE_WAY && from == &from->pair->target);
}

/* libuv reports a reset as the end of the connection if it comes together with
 * the last bytes. */
static bool
was_reset (const uv_stream_t *stream)
{
  uv_os_fd_t fd;

  return uv_fileno ((const uv_handle_t *)stream, &fd) != 0
         || tcpreset_was_reset (fd);
}

static void
on_bytes (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct side *side = stream->data;

  if (size == 0)
    return;
  if (is_dropped (side))
    {
      side->pair->spoilt = true;
      if (size < 0)
        uv_read_stop (stream);
    }
  else if (size < 0 && (size != UV_EOF || was_reset (stream)))
    pair_close (side->pair, true);
  else if (size < 0 && side->other->ended)
    pair_close (side->pair, false);
  else if (size < 0)
    {
      side->ended = true;
      uv_read_stop (stream);
      parcel_send (side->other, "", 0, true);
    }
  else
    parcel_send (side->other, buffer->base, (size_t)size, false);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct pair *pair = connect->data;

  if (pair->closing)
    return;
  if (status != 0)
    {
      pair_close (pair, true);
      return;
    }
  uv_read_start ((uv_stream_t *)&pair->caller.tcp, on_alloc, on_bytes);
  uv_read_start ((uv_stream_t *)&pair->target.tcp, on_alloc, on_bytes);
}

static void
side_init (struct side *side, struct pair *pair, struct side *other)
{
  side->pair = pair;
  side->other = other;
  side->tcp.data = side;
  uv_tcp_init (&pair->proxy->soak->loop, &side->tcp);
  pair->handles++;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct soak_proxy *proxy = listener->data;
  struct pair *pair = g_new0 (struct pair, 1);
  struct sockaddr_in address;

  pair->proxy = proxy;
  list_append (&proxy->pairs, &pair->node);
  side_init (&pair->caller, pair, &pair->target);
  side_init (&pair->target, pair, &pair->caller);
  pair->connect.data = pair;
  uv_ip4_addr (SOAK_IP, proxy->target, &address);
  if (uv_accept (listener, (uv_stream_t *)&pair->caller.tcp) != 0
      || proxy->mode == SOAK_PROXY_RESET
      || uv_tcp_connect (&pair->connect, &pair->target.tcp,
                         (const struct sockaddr *)&address, on_connected)
             != 0)
    pair_close (pair, true);
}

void
soak_proxy_init (struct soak_proxy *proxy, struct soak *soak, uint16_t port,
                 uint16_t target)
{
  struct sockaddr_in address;

  memset (proxy, 0, sizeof *proxy);
  proxy->soak = soak;
  proxy->target = target;
  proxy->listener.data = proxy;
  list_init (&proxy->pairs);
  uv_tcp_init (&soak->loop, &proxy->listener);
  uv_ip4_addr (SOAK_IP, port, &address);
  if (uv_tcp_bind (&proxy->listener, (const struct sockaddr *)&address, 0) != 0
      || uv_listen ((uv_stream_t *)&proxy->listener, 64, on_connection) != 0)
    g_error ("the proxy cannot listen on port %u", port);
}

void
soak_proxy_finish (struct soak_proxy *proxy)
{
  for (struct list *node = proxy->pairs.next; node != &proxy->pairs;
       node = node->next)
    pair_close (LIST_ENTRY (node, struct pair, node), false);
  uv_close ((uv_handle_t *)&proxy->listener, NULL);
}

void
soak_proxy_set_mode (struct soak_proxy *proxy, enum soak_proxy_mode mode)
{
  proxy->mode = mode;
  for (struct list *node = proxy->pairs.next; node != &proxy->pairs;
       node = node->next)
    {
      struct pair *pair = LIST_ENTRY (node, struct pair, node);

      if (mode == SOAK_PROXY_RESET || pair->spoilt)
        pair_close (pair, true);
    }
}
