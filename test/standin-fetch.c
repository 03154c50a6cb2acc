#include "standin-http.h"

#include <string.h>

/** @file
 * The stand-ins' HTTP client, one connection for each call.
 */

enum
{
  FETCH_TIMEOUT_MS = 30 * 1000
};

struct fetch
{
  char *head;
  uint8_t *body;
  h2o_iovec_t parts[2];
  GByteArray *answer;
  struct fetch_reply reply;
  fetch_done done;
  void *data;
};

static void
fetch_finish (struct fetch *task, bool complete)
{
  if (!complete)
    task->reply.status = 0;
  task->reply.body = task->answer->data;
  task->reply.size = task->answer->len;
  task->done (task->data, &task->reply);
  g_byte_array_free (task->answer, TRUE);
  g_free (task->head);
  g_free (task->body);
  g_free (task);
}

static int
on_body (h2o_http1client_t *client, const char *error)
{
  struct fetch *task = client->data;
  h2o_buffer_t **input = &client->sock->input;

  if (error && error != h2o_http1client_error_is_eos)
    {
      fetch_finish (task, false);
      return -1;
    }
  g_byte_array_append (task->answer, (const guint8 *)(*input)->bytes,
                       (guint)(*input)->size);
  h2o_buffer_consume (input, (*input)->size);
  if (error)
    fetch_finish (task, true);
  return 0;
}

static void
header_keep (struct fetch *task, const h2o_header_t *header)
{
  static const char name[] = "x-checksum";
  size_t size = header->value.len;

  if (!h2o_memis (header->name->base, header->name->len, name, sizeof name - 1)
      || size >= sizeof task->reply.checksum)
    return;
  memcpy (task->reply.checksum, header->value.base, size);
  task->reply.checksum[size] = '\0';
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *error, int minor_version,
         int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
         int size)
{
  struct fetch *task = client->data;

  if (error && error != h2o_http1client_error_is_eos)
    {
      fetch_finish (task, false);
      return NULL;
    }
  task->reply.status = status;
  for (size_t i = 0; i < count; i++)
    header_keep (task, &headers[i]);
  if (error)
    {
      fetch_finish (task, true);
      return NULL;
    }
  return on_body;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *error, h2o_iovec_t **parts,
            size_t *part_count, int *method_is_head)
{
  struct fetch *task = client->data;

  if (error)
    {
      fetch_finish (task, false);
      return NULL;
    }
  *parts = task->parts;
  *part_count = task->parts[1].len ? 2 : 1;
  *method_is_head = 0;
  return on_head;
}

static void
fetch_refuse (void *data)
{
  fetch_finish (data, false);
}

static h2o_http1client_ctx_t *
client_context (void)
{
  static h2o_timeout_t timeout;
  static h2o_http1client_ctx_t context;

  if (!context.loop)
    {
      context.loop = uv_default_loop ();
      h2o_timeout_init (context.loop, &timeout, FETCH_TIMEOUT_MS);
      context.io_timeout = &timeout;
    }
  return &context;
}

void
fetch (const char *method, const char *url, const void *body, size_t size,
       fetch_done done, void *data)
{
  struct fetch *task = g_new0 (struct fetch, 1);
  h2o_url_t parsed;

  task->done = done;
  task->data = data;
  task->answer = g_byte_array_new ();
  if (h2o_url_parse (url, strlen (url), &parsed) != 0)
    {
      server_after (0, fetch_refuse, task);
      return;
    }
  task->body = g_memdup2 (body, size);
  task->head = g_strdup_printf (
      "%s %.*s HTTP/1.1\r\nhost: %.*s\r\nconnection: close\r\n"
      "content-length: %zu\r\n\r\n",
      method, (int)parsed.path.len, parsed.path.base,
      (int)parsed.authority.len, parsed.authority.base, size);
  task->parts[0] = h2o_iovec_init (task->head, strlen (task->head));
  task->parts[1] = h2o_iovec_init (task->body, size);
  h2o_http1client_connect (NULL, task, client_context (), parsed.host,
                           h2o_url_get_port (&parsed), 0, on_connect);
}
