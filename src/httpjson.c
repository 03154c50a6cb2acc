#include "httpjson.h"
#include "clock.h"

#include <glib.h>
#include <string.h>

struct json_call
{
  struct list node;
  struct httpjson *httpjson;
  size_t reply_bytes_max;
  uint64_t timeout_ms; /* The rest of the timeout once it is connected. */
  uint64_t progress_timeout_ms; /* 0 if progress extends no timeout. */
  struct httpclient_call *http_call;
  uv_timer_t timer;
  GString *body;
  httpjson_call_ended done;
  void *data;
  int http_status;
  struct httpfields head;
  const char *header_name;
  char header[HTTPJSON_HEADER_SIZE];
};

static void
timer_closed (uv_handle_t *handle)
{
  struct json_call *json_call = handle->data;

  g_string_free (json_call->body, TRUE);
  httpfields_finish (&json_call->head);
  g_free (json_call);
}

static void
json_call_end (struct json_call *json_call, const struct httpjson_reply *reply)
{
  list_remove (&json_call->node);
  json_call->httpjson->bytes -= json_call->body->len;
  json_call->done (json_call->data, reply);
  uv_close ((uv_handle_t *)&json_call->timer, timer_closed);
}

static void on_timeout (uv_timer_t *timer);

/* Gives the rest of the reply of JSON_CALL its time, since a part has come. */
static void
progress_made (struct json_call *json_call)
{
  if (json_call->progress_timeout_ms == 0)
    return;
  json_call->timeout_ms = 0;
  uv_timer_start (&json_call->timer, on_timeout,
                  json_call->progress_timeout_ms, 0);
}

static void
on_head (void *data, const struct httpclient_response_head *head)
{
  struct json_call *json_call = data;

  progress_made (json_call);
  json_call->http_status = head->status;
  for (size_t i = 0; i < head->header_count; i++)
    {
      const struct httpclient_header *field = &head->headers[i];

      httpfields_append_name (&json_call->head, field->name, field->name_size);
      httpfields_append_value (&json_call->head, field->value,
                               field->value_size);
    }
  if (json_call->header_name != NULL)
    httpclient_header_value (head, json_call->header_name, json_call->header,
                             sizeof json_call->header);
}

/* Return how many more bytes of the reply may be read. */
static size_t
bytes_left (const struct json_call *json_call)
{
  const struct httpjson *httpjson = json_call->httpjson;
  size_t own = json_call->reply_bytes_max - json_call->body->len;

  if (httpjson->bytes_max == 0)
    return own;
  return MIN (own, httpjson->bytes_max
                       - MIN (httpjson->bytes, httpjson->bytes_max));
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct json_call *json_call = data;

  if (size <= bytes_left (json_call))
    {
      progress_made (json_call);
      g_string_append_len (json_call->body, bytes, size);
      json_call->httpjson->bytes += size;
      return;
    }
  httpclient_cancel (json_call->http_call);
  json_call->http_call = NULL;
  json_call_end (json_call,
                 &(struct httpjson_reply){ .status = STATUS_UNKNOWN,
                                           .stage = HTTPCLIENT_REPLYING,
                                           .head = &json_call->head });
}

static void
on_end (void *data, const struct httpclient_result *result)
{
  struct json_call *json_call = data;
  struct httpjson_reply reply = { .status = result->status,
                                  .stage = result->stage,
                                  .http_status = json_call->http_status,
                                  .head = &json_call->head };

  json_call->http_call = NULL;
  if (result->status == STATUS_OK)
    g_strlcpy (reply.header, json_call->header, sizeof reply.header);
  if (result->status == STATUS_OK && json_call->body->len > 0)
    reply.body = json_tokener_parse (json_call->body->str);
  json_call_end (json_call, &reply);
  json_object_put (reply.body);
}

static void
on_timeout (uv_timer_t *timer)
{
  struct json_call *json_call = timer->data;
  enum httpclient_stage stage = httpclient_call_stage (json_call->http_call);
  uint64_t left_ms = json_call->timeout_ms;
  struct httpjson_reply reply = { .status = STATUS_UNAVAILABLE,
                                  .stage = stage,
                                  .head = &json_call->head };

  if (stage != HTTPCLIENT_CONNECTING && left_ms > 0)
    {
      json_call->timeout_ms = 0;
      uv_timer_start (timer, on_timeout, left_ms, 0);
      return;
    }
  if (httpclient_may_have_sent (json_call->http_call))
    reply.status = STATUS_UNKNOWN;
  httpclient_cancel (json_call->http_call);
  json_call->http_call = NULL;
  json_call_end (json_call, &reply);
}

static const struct httpclient_ops http_ops = { on_head, on_body, on_end };

void
httpjson_init (struct httpjson *httpjson, struct httpclient *client)
{
  memset (httpjson, 0, sizeof *httpjson);
  httpjson->client = client;
  list_init (&httpjson->calls);
}

static void
json_call_cancel (struct json_call *json_call)
{
  struct httpjson_reply reply
      = { .status = STATUS_CANCELLED, .head = &json_call->head };

  if (json_call->http_call != NULL)
    {
      reply.stage = httpclient_call_stage (json_call->http_call);
      httpclient_cancel (json_call->http_call);
    }
  json_call->http_call = NULL;
  json_call_end (json_call, &reply);
}

void
httpjson_finish (struct httpjson *httpjson)
{
  while (!list_empty (&httpjson->calls))
    json_call_cancel (
        LIST_ENTRY (httpjson->calls.next, struct json_call, node));
}

void
httpjson_cancel (struct httpjson *httpjson, const void *data)
{
  for (struct list *at = httpjson->calls.next; at != &httpjson->calls;
       at = at->next)
    {
      struct json_call *json_call = LIST_ENTRY (at, struct json_call, node);

      if (json_call->data != data)
        continue;
      json_call_cancel (json_call);
      return;
    }
}

void
httpjson_call (struct httpjson *httpjson,
               const struct httpjson_request *request,
               httpjson_call_ended done, void *data)
{
  struct json_call *json_call = g_malloc0 (sizeof *json_call);
  int64_t connect_ns = request->timeout_ns;
  struct httpclient_request http_request = {
    .address = request->address,
    .method = request->method,
    .path = request->path,
    .new_connection = request->new_connection,
  };
  char *lines = g_strdup_printf (
      "content-type: application/json\r\n%s",
      request->header_lines != NULL ? request->header_lines : "");

  if (request->connect_timeout_ns > 0)
    connect_ns = MIN (request->connect_timeout_ns, connect_ns);
  http_request.header_lines = lines;
  if (request->body != NULL)
    {
      http_request.body = json_object_to_json_string_ext (
          request->body, JSON_C_TO_STRING_PLAIN);
      http_request.body_size = strlen (http_request.body);
    }
  json_call->httpjson = httpjson;
  json_call->reply_bytes_max = request->reply_bytes_max != 0
                                   ? request->reply_bytes_max
                                   : HTTPJSON_REPLY_BYTES_MAX;
  json_call->body = g_string_new (NULL);
  httpfields_init (&json_call->head);
  json_call->header_name = request->reply_header;
  json_call->done = done;
  json_call->data = data;
  list_init (&json_call->node);
  list_append (&httpjson->calls, &json_call->node);
  uv_timer_init (httpjson->client->loop, &json_call->timer);
  json_call->timer.data = json_call;
  json_call->timeout_ms
      = (uint64_t)((request->timeout_ns - connect_ns) / NS_PER_MS);
  json_call->progress_timeout_ms
      = (uint64_t)(request->progress_timeout_ns / NS_PER_MS);
  uv_timer_start (&json_call->timer, on_timeout,
                  (uint64_t)(connect_ns / NS_PER_MS), 0);
  json_call->http_call = httpclient_call (httpjson->client, &http_request,
                                          &http_ops, json_call);
  json_object_put (request->body);
  g_free (lines);
}

const char *
json_field_text (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return "";
  return json_object_get_string (value);
}

uint64_t
json_field_uint (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return 0;
  return json_object_get_uint64 (value);
}

double
json_field_double (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return 0;
  return json_object_get_double (value);
}

bool
json_field_bool (struct json_object *object, const char *key)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value)
         && json_object_get_boolean (value);
}

struct json_object *
json_field_array (struct json_object *object, const char *key, size_t *count)
{
  struct json_object *value;

  *count = 0;
  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_array))
    return NULL;
  *count = json_object_array_length (value);
  return value;
}

void
json_add_text (struct json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

void
json_add_uint (struct json_object *object, const char *key, uint64_t number)
{
  json_object_object_add (object, key, json_object_new_uint64 (number));
}
