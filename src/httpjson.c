#include "httpjson.h"
#include "clock.h"

#include <glib.h>
#include <string.h>

enum
{
  ANSWER_MAX = 64 * 1024 * 1024 /* bytes; longer answers are dropped */
};

struct jsoncall
{
  struct list node;
  struct httpclient_call *call;
  uv_timer_t timer;
  GString *body;
  httpjson_done done;
  void *data;
  int http_status;
};

static void
timer_closed (uv_handle_t *handle)
{
  struct jsoncall *jsoncall = handle->data;

  g_string_free (jsoncall->body, TRUE);
  g_free (jsoncall);
}

static void
jsoncall_end (struct jsoncall *jsoncall, const struct httpjson_reply *reply)
{
  list_remove (&jsoncall->node);
  jsoncall->done (jsoncall->data, reply);
  uv_close ((uv_handle_t *)&jsoncall->timer, timer_closed);
}

static void
on_head (void *data, const struct httpclient_head *head)
{
  struct jsoncall *jsoncall = data;

  jsoncall->http_status = head->status;
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct jsoncall *jsoncall = data;

  if (jsoncall->body->len + size <= ANSWER_MAX)
    g_string_append_len (jsoncall->body, bytes, size);
}

static void
on_end (void *data, const struct httpclient_end *end)
{
  struct jsoncall *jsoncall = data;
  struct httpjson_reply reply
      = { .status = end->status, .http_status = jsoncall->http_status };

  jsoncall->call = NULL;
  if (end->status == STATUS_OK && jsoncall->body->len > 0)
    reply.body = json_tokener_parse (jsoncall->body->str);
  jsoncall_end (jsoncall, &reply);
  json_object_put (reply.body);
}

static void
on_timeout (uv_timer_t *timer)
{
  struct jsoncall *jsoncall = timer->data;
  struct httpjson_reply reply = { .status = STATUS_UNAVAILABLE };

  if (httpclient_handed_over (jsoncall->call))
    reply.status = STATUS_UNKNOWN;
  httpclient_cancel (jsoncall->call);
  jsoncall->call = NULL;
  jsoncall_end (jsoncall, &reply);
}

static const struct httpclient_ops call_ops = { on_head, on_body, on_end };

void
httpjson_init (struct httpjson *httpjson, struct httpclient *client)
{
  httpjson->client = client;
  list_init (&httpjson->calls);
}

void
httpjson_finish (struct httpjson *httpjson)
{
  struct httpjson_reply reply = { .status = STATUS_CANCELLED };

  while (!list_empty (&httpjson->calls))
    {
      struct jsoncall *jsoncall
          = LIST_ENTRY (httpjson->calls.next, struct jsoncall, node);

      if (jsoncall->call != NULL)
        httpclient_cancel (jsoncall->call);
      jsoncall->call = NULL;
      jsoncall_end (jsoncall, &reply);
    }
}

void
httpjson_call (struct httpjson *httpjson,
               const struct httpjson_request *request, httpjson_done done,
               void *data)
{
  struct jsoncall *jsoncall = g_malloc0 (sizeof *jsoncall);
  struct httpclient_request call = {
    .address = request->address,
    .method = request->method,
    .path = request->path,
    .fresh = request->fresh,
  };
  char *lines = g_strdup_printf (
      "content-type: application/json\r\n%s",
      request->header_lines != NULL ? request->header_lines : "");

  call.header_lines = lines;
  if (request->body != NULL)
    {
      call.body = json_object_to_json_string_ext (request->body,
                                                  JSON_C_TO_STRING_PLAIN);
      call.body_size = strlen (call.body);
    }
  jsoncall->body = g_string_new (NULL);
  jsoncall->done = done;
  jsoncall->data = data;
  list_init (&jsoncall->node);
  list_append (&httpjson->calls, &jsoncall->node);
  uv_timer_init (httpjson->client->loop, &jsoncall->timer);
  jsoncall->timer.data = jsoncall;
  uv_timer_start (&jsoncall->timer, on_timeout,
                  request->timeout_ns / NS_PER_MS, 0);
  jsoncall->call
      = httpclient_call (httpjson->client, &call, &call_ops, jsoncall);
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
