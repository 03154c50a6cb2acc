#include "kvhttp.h"
#include "clock.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

enum
{
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_TOO_LARGE = 413,
  HTTP_LIMITED = 429,
  HTTP_UNAVAILABLE = 503
};

struct kvcall
{
  struct list node;
  struct kvhttp *kvhttp;
  struct httpclient_call *call;
  uv_timer_t timer;
  GString *body;
  kv_done done;
  void *data;
  int http_status;
};

static void
timer_closed (uv_handle_t *handle)
{
  struct kvcall *kvcall = handle->data;

  g_string_free (kvcall->body, TRUE);
  g_free (kvcall);
}

static void
kvcall_end (struct kvcall *kvcall, const struct kv_reply *reply)
{
  list_remove (&kvcall->node);
  kvcall->done (kvcall->data, reply);
  uv_close ((uv_handle_t *)&kvcall->timer, timer_closed);
}

static void
kvcall_fail (struct kvcall *kvcall, enum status status)
{
  struct kvhttp *kvhttp = kvcall->kvhttp;
  struct kv_reply reply = { .status = status };

  kvhttp->current = (kvhttp->current + 1) % kvhttp->address_count;
  kvcall_end (kvcall, &reply);
}

static enum status
status_from_http (int http_status)
{
  switch (http_status)
    {
    case HTTP_OK:
      return STATUS_OK;
    case HTTP_NOT_FOUND:
      return STATUS_NOT_FOUND;
    case HTTP_CONFLICT:
      return STATUS_CONFLICT;
    case HTTP_TOO_LARGE:
      return STATUS_TOO_LARGE;
    case HTTP_LIMITED:
      return STATUS_LIMITED;
    case HTTP_UNAVAILABLE:
      return STATUS_UNAVAILABLE;
    default:
      return STATUS_UNKNOWN;
    }
}

static uint64_t
json_number (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return 0;
  return json_object_get_uint64 (value);
}

static const char *
json_text (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return NULL;
  return json_object_get_string (value);
}

static struct kv_item *
read_items (struct json_object *object, size_t *count)
{
  struct json_object *items;
  struct kv_item *result;

  *count = 0;
  if (!json_object_object_get_ex (object, "items", &items)
      || !json_object_is_type (items, json_type_array))
    return NULL;
  *count = json_object_array_length (items);
  result = g_new0 (struct kv_item, *count + 1);
  for (size_t i = 0; i < *count; i++)
    {
      struct json_object *item = json_object_array_get_idx (items, i);

      result[i].key = json_text (item, "key");
      result[i].value = json_text (item, "value");
      result[i].revision = json_number (item, "revision");
    }
  return result;
}

static void
on_head (void *data, const struct httpclient_head *head)
{
  struct kvcall *kvcall = data;

  kvcall->http_status = head->status;
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct kvcall *kvcall = data;

  g_string_append_len (kvcall->body, bytes, size);
}

static void
on_end (void *data, const struct httpclient_end *end)
{
  struct kvcall *kvcall = data;
  struct kv_reply reply = { 0 };
  struct json_object *object;
  struct kv_item *items = NULL;

  kvcall->call = NULL;
  if (end->status != STATUS_OK)
    {
      kvcall_fail (kvcall, end->status);
      return;
    }
  reply.status = status_from_http (kvcall->http_status);
  object = json_tokener_parse (kvcall->body->str);
  if (reply.status == STATUS_OK && object == NULL)
    reply.status = STATUS_UNKNOWN;
  if (object != NULL)
    {
      reply.revision = json_number (object, "revision");
      reply.lease = json_number (object, "lease");
      items = read_items (object, &reply.item_count);
      reply.items = items;
    }
  kvcall_end (kvcall, &reply);
  g_free (items);
  json_object_put (object);
}

static void
on_timeout (uv_timer_t *timer)
{
  struct kvcall *kvcall = timer->data;
  bool handed_over = httpclient_handed_over (kvcall->call);

  httpclient_cancel (kvcall->call);
  kvcall->call = NULL;
  kvcall_fail (kvcall, handed_over ? STATUS_UNKNOWN : STATUS_UNAVAILABLE);
}

static const struct httpclient_ops call_ops = { on_head, on_body, on_end };

/* Takes BODY over. */
static void
kvhttp_call (struct kv *kv, const char *path, struct json_object *body,
             int64_t extra_ns, kv_done done, void *data)
{
  struct kvhttp *kvhttp = (struct kvhttp *)kv;
  struct kvcall *kvcall = g_malloc0 (sizeof *kvcall);
  const char *text
      = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  struct httpclient_request request = {
    .address = kvhttp->addresses[kvhttp->current],
    .method = "POST",
    .path = path,
    .header_lines = "content-type: application/json\r\n",
    .body = text,
    .body_size = strlen (text),
  };

  kvcall->kvhttp = kvhttp;
  kvcall->body = g_string_new (NULL);
  kvcall->done = done;
  kvcall->data = data;
  list_init (&kvcall->node);
  list_append (&kvhttp->calls, &kvcall->node);
  uv_timer_init (kvhttp->client->loop, &kvcall->timer);
  kvcall->timer.data = kvcall;
  uv_timer_start (&kvcall->timer, on_timeout,
                  (kvhttp->timeout_ns + extra_ns) / NS_PER_MS, 0);
  kvhttp->call_count++;
  kvcall->call = httpclient_call (kvhttp->client, &request, &call_ops, kvcall);
  json_object_put (body);
}

static struct json_object *
object_with_text (const char *key, const char *text)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, key, json_object_new_string (text));
  return object;
}

static struct json_object *
object_with_number (const char *key, uint64_t number)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, key, json_object_new_uint64 (number));
  return object;
}

static void
kvhttp_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  kvhttp_call (kv, "/v1/kv/get", object_with_text ("key", key), 0, done, data);
}

static void
kvhttp_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  kvhttp_call (kv, "/v1/kv/range", object_with_text ("prefix", prefix), 0,
               done, data);
}

static struct json_object *
write_object (const struct kv_write *write)
{
  struct json_object *object = object_with_text ("key", write->key);
  struct json_object *value = NULL;

  if (write->value != NULL)
    value = json_object_new_string (write->value);
  json_object_object_add (object, "value", value);
  json_object_object_add (object, "lease",
                          json_object_new_uint64 (write->lease));
  return object;
}

static void
kvhttp_txn (struct kv *kv, const struct kv_txn *txn, kv_done done, void *data)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *compares = json_object_new_array ();
  struct json_object *writes = json_object_new_array ();

  for (size_t i = 0; i < txn->compare_count; i++)
    {
      struct json_object *compare
          = object_with_text ("key", txn->compares[i].key);

      json_object_object_add (
          compare, "revision",
          json_object_new_uint64 (txn->compares[i].revision));
      json_object_array_add (compares, compare);
    }
  for (size_t i = 0; i < txn->write_count; i++)
    json_object_array_add (writes, write_object (&txn->writes[i]));
  json_object_object_add (body, "compares", compares);
  json_object_object_add (body, "writes", writes);
  kvhttp_call (kv, "/v1/kv/txn", body, 0, done, data);
}

static void
kvhttp_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  kvhttp_call (kv, "/v1/kv/lease/grant",
               object_with_number ("ttl_ms", ttl_ns / NS_PER_MS), 0, done,
               data);
}

static void
kvhttp_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done,
                        void *data)
{
  kvhttp_call (kv, "/v1/kv/lease/keepalive",
               object_with_number ("lease", lease), 0, done, data);
}

static void
kvhttp_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  kvhttp_call (kv, "/v1/kv/lease/revoke", object_with_number ("lease", lease),
               0, done, data);
}

static void
kvhttp_watch (struct kv *kv, const char *prefix, uint64_t after,
              int64_t wait_ns, kv_done done, void *data)
{
  struct json_object *body = object_with_text ("prefix", prefix);

  json_object_object_add (body, "after", json_object_new_uint64 (after));
  json_object_object_add (body, "wait_ms",
                          json_object_new_int64 (wait_ns / NS_PER_MS));
  kvhttp_call (kv, "/v1/kv/watch", body, wait_ns, done, data);
}

static const struct kv_ops kvhttp_ops = {
  .get = kvhttp_get,
  .range = kvhttp_range,
  .txn = kvhttp_txn,
  .lease_grant = kvhttp_lease_grant,
  .lease_keepalive = kvhttp_lease_keepalive,
  .lease_revoke = kvhttp_lease_revoke,
  .watch = kvhttp_watch,
};

void
kvhttp_init (struct kvhttp *kvhttp, struct httpclient *client,
             const char *const *addresses, size_t address_count,
             int64_t timeout_ns)
{
  assert (address_count > 0);
  memset (kvhttp, 0, sizeof *kvhttp);
  kvhttp->kv.ops = &kvhttp_ops;
  kvhttp->client = client;
  kvhttp->addresses = addresses;
  kvhttp->address_count = address_count;
  kvhttp->timeout_ns = timeout_ns;
  list_init (&kvhttp->calls);
}

void
kvhttp_finish (struct kvhttp *kvhttp)
{
  struct kv_reply reply = { .status = STATUS_CANCELLED };

  while (!list_empty (&kvhttp->calls))
    {
      struct kvcall *kvcall
          = LIST_ENTRY (kvhttp->calls.next, struct kvcall, node);

      if (kvcall->call != NULL)
        httpclient_cancel (kvcall->call);
      kvcall->call = NULL;
      kvcall_end (kvcall, &reply);
    }
}
