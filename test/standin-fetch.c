#include "httpclient.h"
#include "standin-http.h"

#include <string.h>

/** @file
 * The stand-ins' HTTP client.
 */

enum
{
  FETCH_TIMEOUT_MS = 30 * 1000
};

struct fetch
{
  GByteArray *answer;
  struct fetch_reply reply;
  fetch_done done;
  void *data;
};

static void
on_head (void *data, const struct httpclient_response_head *head)
{
  struct fetch *task = data;

  task->reply.status = head->status;
  httpclient_header_value (head, "x-checksum", task->reply.checksum,
                           sizeof task->reply.checksum);
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct fetch *task = data;

  g_byte_array_append (task->answer, (const guint8 *)bytes, (guint)size);
}

static void
on_end (void *data, const struct httpclient_result *end)
{
  struct fetch *task = data;

  if (end->status != STATUS_OK)
    task->reply.status = 0;
  task->reply.body = task->answer->data;
  task->reply.size = task->answer->len;
  task->done (task->data, &task->reply);
  g_byte_array_free (task->answer, TRUE);
  g_free (task);
}

static const struct httpclient_ops ops = { on_head, on_body, on_end };

void
fetch (const char *method, const char *url, const void *body, size_t size,
       fetch_done done, void *data)
{
  static struct httpclient client;
  struct fetch *task = g_new0 (struct fetch, 1);
  const char *rest = g_str_has_prefix (url, "http://") ? url + 7 : url;
  char *address = g_strndup (rest, strcspn (rest, "/"));
  struct httpclient_request request = { .address = address,
                                        .method = method,
                                        .path = rest + strlen (address),
                                        .body = body,
                                        .body_size = size };

  if (!client.loop)
    httpclient_init (&client, uv_default_loop (), FETCH_TIMEOUT_MS);
  task->done = done;
  task->data = data;
  task->answer = g_byte_array_new ();
  httpclient_call (&client, &request, &ops, task);
  g_free (address);
}
