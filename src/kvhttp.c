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

#define KV_GET_PATH "/v1/kv/get"

struct kvcall
{
  struct kvhttp *kvhttp;
  bool is_get; /* Whether this is a get: a reply without an item means
                  STATUS_NOT_FOUND. */
  kv_done done;
  void *data;
};

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

static struct kv_item *
reply_items_decode (struct json_object *object, size_t *count)
{
  struct json_object *items = json_field_array (object, "items", count);
  struct kv_item *decoded = g_new0 (struct kv_item, *count + 1);

  for (size_t i = 0; i < *count; i++)
    {
      struct json_object *item = json_object_array_get_idx (items, i);

      decoded[i].key = json_field_text (item, "key");
      decoded[i].value = json_field_text (item, "value");
      decoded[i].revision = json_field_uint (item, "revision");
    }
  return decoded;
}

static void
kvhttp_response_received (void *data, const struct httpjson_reply *response)
{
  struct kvcall *kvcall = data;
  struct kvhttp *kvhttp = kvcall->kvhttp;
  struct kv_reply reply = { .status = response->status };
  struct kv_item *items = NULL;

  if (response->status == STATUS_OK)
    reply.status = status_from_http (response->http_status);
  else
    kvhttp->current_address
        = (kvhttp->current_address + 1) % kvhttp->address_count;
  if (reply.status == STATUS_OK && response->body == NULL)
    reply.status = STATUS_UNKNOWN;
  if (response->body != NULL)
    {
      reply.revision = json_field_uint (response->body, "revision");
      reply.lease = json_field_uint (response->body, "lease");
      items = reply_items_decode (response->body, &reply.item_count);
      reply.items = items;
    }
  if (kvcall->is_get && reply.status == STATUS_OK && reply.item_count == 0)
    reply.status = STATUS_NOT_FOUND;
  kvcall->done (kvcall->data, &reply);
  g_free (items);
  g_free (kvcall);
}

/* Send a call to the current address. Takes ownership of BODY. */
static void
kvhttp_call (struct kv *kv, const char *path, struct json_object *body,
             int64_t extra_timeout_ns, kv_done done, void *data)
{
  struct kvhttp *kvhttp = (struct kvhttp *)kv;
  struct kvcall *kvcall = g_malloc0 (sizeof *kvcall);
  struct httpjson_request request = {
    .address = kvhttp->addresses[kvhttp->current_address],
    .method = "POST",
    .path = path,
    .body = body,
    .timeout_ns = kvhttp->timeout_ns + extra_timeout_ns,
    .progress_timeout_ns = kvhttp->timeout_ns,
    .connect_timeout_ns = kvhttp->timeout_ns,
  };

  kvcall->kvhttp = kvhttp;
  kvcall->is_get = strcmp (path, KV_GET_PATH) == 0;
  kvcall->done = done;
  kvcall->data = data;
  kvhttp->call_count++;
  httpjson_call (kvhttp->httpjson, &request, kvhttp_response_received, kvcall);
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
  kvhttp_call (kv, KV_GET_PATH, object_with_text ("key", key), 0, done, data);
}

static void
kvhttp_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  kvhttp_call (kv, "/v1/kv/range", object_with_text ("prefix", prefix), 0,
               done, data);
}

static struct json_object *
write_encode (const struct kv_write *write)
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
    json_object_array_add (writes, write_encode (&txn->writes[i]));
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
kvhttp_init (struct kvhttp *kvhttp, struct httpjson *httpjson,
             const char *const *addresses, size_t address_count,
             int64_t timeout_ns)
{
  assert (address_count > 0);
  memset (kvhttp, 0, sizeof *kvhttp);
  kvhttp->kv.ops = &kvhttp_ops;
  kvhttp->httpjson = httpjson;
  kvhttp->addresses = addresses;
  kvhttp->address_count = address_count;
  kvhttp->timeout_ns = timeout_ns;
}
