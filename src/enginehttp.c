#include "enginehttp.h"
#include "clock.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_TIMEOUT_NS (NS_PER_S)
#define EVENTS_TIMEOUT_NS (2 * NS_PER_S)
#define EXPORT_TIMEOUT_NS (30 * NS_PER_S)
#define ORDER_TIMEOUT_NS (2 * NS_PER_S)

enum
{
  HTTP_OK = 200,
  HTTP_ACCEPTED = 202,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HEADER_VALUE_MAX = 128 /* Size of a header value with the final NUL; longer
                            values are truncated. */
};

struct pending_call
{
  union
  {
    engine_load_done load;
    engine_events_done events;
    engine_listing_done listing;
    engine_export_done exported;
    engine_order_done order;
  } done;
  void *data;
  uint64_t after; /* Sequence number after which events are requested; only
                     used by event queries. */
};

struct engine_stream
{
  struct httpclient_call *call;
  const struct engine_stream_ops *ops;
  void *data;
};

static struct pending_call *
pending_call_new (void *data)
{
  struct pending_call *call = g_malloc0 (sizeof *call);

  call->data = data;
  return call;
}

static void
send_request (struct engineclient *client, const char *address,
              const char *method, const char *path, struct json_object *body,
              int64_t timeout_ns, httpjson_call_ended done,
              struct pending_call *call)
{
  struct enginehttp *enginehttp = (struct enginehttp *)client;
  struct httpjson_request request = {
    .address = address,
    .method = method,
    .path = path,
    .body = body,
    .timeout_ns = timeout_ns,
  };

  httpjson_call (enginehttp->httpjson, &request, done, call);
}

static enum status
reply_status (const struct httpjson_reply *reply)
{
  if (reply->status != STATUS_OK)
    return reply->status;
  if (reply->http_status == HTTP_NOT_FOUND)
    return STATUS_NOT_FOUND;
  if (reply->http_status == HTTP_CONFLICT)
    return STATUS_STALE;
  if (reply->http_status != HTTP_OK && reply->http_status != HTTP_ACCEPTED)
    return STATUS_UNAVAILABLE;
  return reply->body != NULL ? STATUS_OK : STATUS_CORRUPT;
}

static void
load_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  struct engine_load load = { 0 };
  struct engine_version *versions;
  struct json_object *list;
  enum status status = reply_status (reply);

  if (status != STATUS_OK)
    {
      call->done.load (call->data, status, NULL);
      g_free (call);
      return;
    }
  list = json_field_array (reply->body, "versions", &load.version_count);
  versions = g_new0 (struct engine_version, load.version_count + 1);
  for (size_t i = 0; i < load.version_count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      versions[i].model = json_field_text (item, "model");
      versions[i].version = json_field_text (item, "version");
      versions[i].adapter = json_field_text (item, "adapter");
    }
  load.versions = versions;
  load.incarnation = json_field_uint (reply->body, "incarnation");
  load.sequence = json_field_uint (reply->body, "sequence");
  load.leaving
      = strcmp (json_field_text (reply->body, "state"), "leaving") == 0;
  load.running = (uint32_t)json_field_uint (reply->body, "running");
  load.queued = (uint32_t)json_field_uint (reply->body, "queued");
  load.queued_tokens = (int64_t)json_field_uint (reply->body, "queued_tokens");
  load.prefill_tokens_per_s
      = json_field_double (reply->body, "prefill_tokens_per_s");
  load.role = json_field_text (reply->body, "role");
  call->done.load (call->data, STATUS_OK, &load);
  g_free (versions);
  g_free (call);
}

static void
http_load (struct engineclient *client, const char *address, bool fresh,
           engine_load_done done, void *data)
{
  struct enginehttp *enginehttp = (struct enginehttp *)client;
  struct pending_call *call = pending_call_new (data);
  struct httpjson_request request = {
    .address = address,
    .method = "GET",
    .path = "/v1/load",
    .timeout_ns = LOAD_TIMEOUT_NS,
    .new_connection = fresh,
  };

  call->done.load = done;
  httpjson_call (enginehttp->httpjson, &request, load_reply_received, call);
}

static void
events_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  struct engine_events events = { 0 };
  struct engine_event *items;
  struct json_object *list;
  enum status status = reply_status (reply);

  if (status != STATUS_OK)
    {
      call->done.events (call->data, status, NULL);
      g_free (call);
      return;
    }
  list = json_field_array (reply->body, "events", &events.count);
  items = g_new0 (struct engine_event, events.count + 1);
  for (size_t i = 0; i < events.count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      items[i].sequence = json_field_uint (item, "sequence");
      items[i].stored = strcmp (json_field_text (item, "kind"), "stored") == 0;
      items[i].block = json_field_text (item, "block");
    }
  events.next_expected = call->after + 1;
  events.first = json_field_uint (reply->body, "first");
  events.next = json_field_uint (reply->body, "next");
  events.events = items;
  call->done.events (call->data, STATUS_OK, &events);
  g_free (items);
  g_free (call);
}

static void
http_events (struct engineclient *client, const char *address, uint64_t after,
             engine_events_done done, void *data)
{
  struct pending_call *call = pending_call_new (data);
  char path[64];

  call->done.events = done;
  call->after = after;
  g_snprintf (path, sizeof path, "/v1/cache/events?after=%" G_GUINT64_FORMAT,
              after);
  send_request (client, address, "GET", path, NULL, EVENTS_TIMEOUT_NS,
                events_reply_received, call);
}

static void
listing_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  struct engine_listing listing = { 0 };
  const char **blocks;
  struct json_object *list;
  enum status status = reply_status (reply);

  if (status != STATUS_OK)
    {
      call->done.listing (call->data, status, NULL);
      g_free (call);
      return;
    }
  list = json_field_array (reply->body, "blocks", &listing.count);
  blocks = g_new0 (const char *, listing.count + 1);
  for (size_t i = 0; i < listing.count; i++)
    blocks[i] = json_object_get_string (json_object_array_get_idx (list, i));
  listing.next = json_field_uint (reply->body, "next");
  listing.blocks = blocks;
  call->done.listing (call->data, STATUS_OK, &listing);
  g_free (blocks);
  g_free (call);
}

static void
http_listing (struct engineclient *client, const char *address,
              engine_listing_done done, void *data)
{
  struct pending_call *call = pending_call_new (data);

  call->done.listing = done;
  send_request (client, address, "GET", "/v1/cache/blocks", NULL,
                EVENTS_TIMEOUT_NS, listing_reply_received, call);
}

static void
export_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  struct engine_export_result exported = { 0 };
  enum status status = reply_status (reply);

  if (status == STATUS_OK)
    {
      exported.length = json_field_uint (reply->body, "length");
      exported.checksum = json_field_text (reply->body, "checksum");
    }
  call->done.exported (call->data, status,
                       status == STATUS_OK ? &exported : NULL);
  g_free (call);
}

static void
http_export (struct engineclient *client, const char *address,
             const struct engine_export_order *export_order,
             engine_export_done done, void *data)
{
  struct pending_call *call = pending_call_new (data);
  struct json_object *body = json_object_new_object ();

  call->done.exported = done;
  json_add_text (body, "block", export_order->block);
  json_add_text (body, "url", export_order->url);
  json_add_uint (body, "generation", export_order->generation);
  send_request (client, address, "POST", "/v1/kv/export", body,
                EXPORT_TIMEOUT_NS, export_reply_received, call);
}

static void
order_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  enum status status = reply_status (reply);
  uint64_t highest = 0;

  if (reply->body != NULL)
    highest = json_field_uint (reply->body, "fencing");
  if (status == STATUS_CORRUPT)
    status = STATUS_OK; /* An engine may accept an order without a JSON body in
                           its reply. */
  call->done.order (call->data, status, highest);
  g_free (call);
}

static void
http_order (struct engineclient *client, const char *address,
            const struct engine_order *order, engine_order_done done,
            void *data)
{
  struct pending_call *call = pending_call_new (data);
  struct json_object *body = json_object_new_object ();

  call->done.order = done;
  json_add_text (body, "order", order->id);
  json_add_uint (body, "fencing", order->fencing_token);
  json_add_text (body, "kind", order->kind);
  json_add_text (body, "model", order->model);
  json_add_text (body, "version", order->version);
  json_add_text (body, "adapter", order->adapter);
  json_add_text (body, "role", order->role);
  send_request (client, address, "POST", "/v1/orders", body, ORDER_TIMEOUT_NS,
                order_reply_received, call);
}

static void
ignore_reply (void *data, const struct httpjson_reply *reply)
{
}

static void
http_cancel (struct engineclient *client, const char *address,
             const char *request)
{
  struct json_object *body = json_object_new_object ();

  json_add_text (body, "request", request);
  send_request (client, address, "POST", "/v1/cancel", body, LOAD_TIMEOUT_NS,
                ignore_reply, NULL);
}

static int64_t
header_number (const struct httpclient_response_head *head, const char *name)
{
  char text[HEADER_VALUE_MAX];

  if (httpclient_header_value (head, name, text, sizeof text) == NULL)
    return 0;
  return strtoll (text, NULL, 10);
}

static void
stream_head (void *data, const struct httpclient_response_head *head)
{
  struct engine_stream *stream = data;
  char version[HEADER_VALUE_MAX] = "";
  char type[HEADER_VALUE_MAX] = "";
  struct engine_response_head engine_head = { .http_status = head->status };

  httpclient_header_value (head, "x-weight-version", version, sizeof version);
  httpclient_header_value (head, "content-type", type, sizeof type);
  engine_head.not_run = header_number (head, "x-not-run") == 1;
  engine_head.is_event_stream = strncmp (type, "text/event-stream", 17) == 0;
  engine_head.cached_tokens = header_number (head, "x-cached-tokens");
  engine_head.imported_tokens = header_number (head, "x-imported-tokens");
  engine_head.computed_tokens = header_number (head, "x-computed-tokens");
  engine_head.version = version;
  engine_head.content_type = type;
  stream->ops->head_received (stream->data, &engine_head);
}

static void
stream_bytes (void *data, const char *bytes, size_t size)
{
  struct engine_stream *stream = data;

  stream->ops->bytes_received (stream->data, bytes, size);
}

static void
stream_end (void *data, const struct httpclient_result *end)
{
  struct engine_stream *stream = data;
  const struct engine_stream_ops *ops = stream->ops;
  void *owner = stream->data;

  g_free (stream);
  ops->ended (owner, end->status, end->message);
}

static const struct httpclient_ops stream_ops
    = { stream_head, stream_bytes, stream_end };

static struct engine_stream *
http_call (struct engineclient *client, const struct engine_call *call,
           const struct engine_stream_ops *ops, void *data)
{
  struct enginehttp *enginehttp = (struct enginehttp *)client;
  struct engine_stream *stream = g_malloc0 (sizeof *stream);
  struct httpclient_request request = {
    .address = call->address,
    .method = call->method,
    .path = call->path,
    .header_lines = call->header_lines,
    .body = call->body,
    .body_size = call->body_size,
    .new_connection = call->new_connection_only,
  };

  stream->ops = ops;
  stream->data = data;
  stream->call = httpclient_call (enginehttp->httpclient, &request,
                                  &stream_ops, stream);
  return stream;
}

static void
http_stream_close (struct engine_stream *stream)
{
  httpclient_cancel (stream->call);
  g_free (stream);
}

static bool
http_stream_handed_over (const struct engine_stream *stream)
{
  return httpclient_may_have_sent (stream->call);
}

static const struct engine_ops enginehttp_ops = {
  .get_load = http_load,
  .get_events = http_events,
  .get_listing = http_listing,
  .export_block = http_export,
  .send_order = http_order,
  .send_cancel = http_cancel,
  .open_stream = http_call,
  .stream_close = http_stream_close,
  .stream_may_have_sent = http_stream_handed_over,
};

void
enginehttp_init (struct enginehttp *enginehttp, struct httpclient *httpclient,
                 struct httpjson *httpjson)
{
  enginehttp->client.ops = &enginehttp_ops;
  enginehttp->httpclient = httpclient;
  enginehttp->httpjson = httpjson;
}
