#include "fake-slowstore.h"

#include <string.h>

struct store_link
{
  struct fake_slowstore *store;
  uv_tcp_t tcp;
  uv_timer_t timer;
  unsigned open_handles;
  GString *input;
  GString *reply;
  size_t sent;
  size_t piece;
  bool is_watch;
};

static void
on_closed (uv_handle_t *handle)
{
  struct store_link *link = handle->data;

  if (--link->open_handles > 0)
    return;
  g_string_free (link->input, TRUE);
  g_string_free (link->reply, TRUE);
  g_free (link);
}

static void
link_close (struct store_link *link)
{
  if (uv_is_closing ((uv_handle_t *)&link->tcp))
    return;
  uv_close ((uv_handle_t *)&link->tcp, on_closed);
  uv_close ((uv_handle_t *)&link->timer, on_closed);
}

static void
on_piece (uv_timer_t *timer)
{
  struct store_link *link = timer->data;
  size_t size = MIN (link->piece, link->reply->len - link->sent);
  uv_buf_t bytes = uv_buf_init (link->reply->str + link->sent, (unsigned)size);

  uv_try_write ((uv_stream_t *)&link->tcp, &bytes, 1);
  link->sent += size;
  if (link->sent == link->reply->len)
    link_close (link);
}

/* Keys are named by their page, so that the key after which the next page
 * begins tells which one that is. */
static void
page_write (struct store_link *link)
{
  struct fake_slowstore *store = link->store;
  const char *after = strstr (link->input->str, "after=op/");
  unsigned page
      = after == NULL ? 0 : (unsigned)g_ascii_strtoull (after + 9, NULL, 10);
  GString *body = g_string_new (NULL);

  store->reads += page == 0;
  g_string_printf (body,
                   "{\"items\":[{\"key\":\"op/%u\",\"value\":\"%s\","
                   "\"modRevision\":%u}],\"hasMore\":%s,\"at\":%u}",
                   page + 1, store->value, store->revision,
                   page + 1 < store->pages ? "true" : "false",
                   store->revision);
  g_string_printf (link->reply,
                   "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                   body->len, body->str);
  g_string_free (body, TRUE);
  link->piece = link->reply->len / store->pieces + 1;
  uv_timer_start (&link->timer, on_piece, store->piece_ms, store->piece_ms);
}

static void
on_request (struct store_link *link)
{
  if (g_str_has_prefix (link->input->str, "GET /kv-range"))
    page_write (link);
  else if (g_str_has_prefix (link->input->str, "GET /kv-watch"))
    {
      link->is_watch = true;
      link->store->watches++;
    }
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct store_link *link = stream->data;

  if (size < 0)
    {
      link->store->watches_ended += link->is_watch;
      link_close (link);
      return;
    }
  g_string_append_len (link->input, buffer->base, size);
  if (strstr (link->input->str, "\r\n\r\n") != NULL && link->reply->len == 0)
    on_request (link);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[4096];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct fake_slowstore *store = listener->data;
  struct store_link *link = g_new0 (struct store_link, 1);

  link->store = store;
  link->input = g_string_new (NULL);
  link->reply = g_string_new (NULL);
  link->open_handles = 2;
  uv_tcp_init (store->loop, &link->tcp);
  uv_timer_init (store->loop, &link->timer);
  link->tcp.data = link;
  link->timer.data = link;
  if (uv_accept (listener, (uv_stream_t *)&link->tcp) != 0)
    link_close (link);
  else
    uv_read_start ((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

void
fake_slowstore_init (struct fake_slowstore *store, uv_loop_t *loop)
{
  struct sockaddr_in address;
  int size = sizeof address;

  *store = (struct fake_slowstore){
    .loop = loop, .pages = 1, .pieces = 1, .value = "MQ==", .revision = 7
  };
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_init (loop, &store->listener);
  store->listener.data = store;
  uv_tcp_bind (&store->listener, (const struct sockaddr *)&address, 0);
  uv_listen ((uv_stream_t *)&store->listener, 128, on_connection);
  uv_tcp_getsockname (&store->listener, (struct sockaddr *)&address, &size);
  g_snprintf (store->address, sizeof store->address, "127.0.0.1:%u",
              ntohs (address.sin_port));
}

void
fake_slowstore_finish (struct fake_slowstore *store)
{
  uv_close ((uv_handle_t *)&store->listener, NULL);
}
