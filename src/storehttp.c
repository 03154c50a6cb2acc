#include "storehttp.h"
#include "clock.h"

#include <glib.h>
#include <string.h>

#define STORE_TIMEOUT_NS (2 * NS_PER_S)

enum
{
  HTTP_OK = 200,
  HTTP_CREATED = 201,
  HTTP_NO_CONTENT = 204,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_FULL = 507
};

struct pending_call
{
  union
  {
    store_reserved_done reserved;
    store_listing_done listing;
    store_released_done released;
    store_status_done status;
  } done;
  void *data;
};

static void
send_request (struct storeclient *client, const char *address,
              const char *method, const char *path, struct json_object *body,
              httpjson_call_ended done, struct pending_call *call)
{
  struct storehttp *storehttp = (struct storehttp *)client;
  struct httpjson_request request = {
    .address = address,
    .method = method,
    .path = path,
    .body = body,
    .timeout_ns = STORE_TIMEOUT_NS,
  };

  httpjson_call (storehttp->httpjson, &request, done, call);
}

static enum status
reply_status (const struct httpjson_reply *reply)
{
  if (reply->status != STATUS_OK)
    return reply->status;
  switch (reply->http_status)
    {
    case HTTP_OK:
    case HTTP_CREATED:
    case HTTP_NO_CONTENT:
      return STATUS_OK;
    case HTTP_NOT_FOUND:
      return STATUS_NOT_FOUND;
    case HTTP_CONFLICT:
      return STATUS_STALE;
    case HTTP_FULL:
      return STATUS_LIMITED;
    default:
      return STATUS_UNAVAILABLE;
    }
}

static void
reserve_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  enum status status = reply_status (reply);
  struct store_slot slot = { 0 };

  if (status == STATUS_OK && reply->body == NULL)
    status = STATUS_CORRUPT;
  if (status == STATUS_OK)
    {
      slot.number = json_field_uint (reply->body, "slot");
      slot.generation = json_field_uint (reply->body, "generation");
    }
  call->done.reserved (call->data, status, &slot);
  g_free (call);
}

static void
http_reserve (struct storeclient *client, const char *address,
              const struct store_reservation *reservation,
              store_reserved_done done, void *data)
{
  struct pending_call *call = g_malloc0 (sizeof *call);
  struct json_object *body = json_object_new_object ();

  call->done.reserved = done;
  call->data = data;
  json_add_text (body, "block", reservation->block);
  json_add_text (body, "organisation", reservation->organisation);
  json_add_text (body, "model", reservation->model);
  json_add_text (body, "version", reservation->version);
  json_add_text (body, "adapter", reservation->adapter);
  json_add_uint (body, "index", reservation->index);
  json_add_uint (body, "length", reservation->length);
  json_add_text (body, "tier", reservation->disk ? "disk" : "memory");
  send_request (client, address, "POST", "/v1/slots", body,
                reserve_reply_received, call);
}

static void
parse_block (struct json_object *item, struct store_block *block)
{
  block->slot.number = json_field_uint (item, "slot");
  block->slot.generation = json_field_uint (item, "generation");
  block->block = json_field_text (item, "block");
  block->organisation = json_field_text (item, "organisation");
  block->model = json_field_text (item, "model");
  block->version = json_field_text (item, "version");
  block->adapter = json_field_text (item, "adapter");
  block->index = (uint32_t)json_field_uint (item, "index");
  block->length = json_field_uint (item, "length");
  block->checksum = json_field_text (item, "checksum");
  block->disk = strcmp (json_field_text (item, "tier"), "disk") == 0;
  block->sealed = json_field_bool (item, "sealed");
}

static void
listing_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  enum status status = reply_status (reply);
  struct store_listing listing = { 0 };
  struct store_block *blocks = NULL;
  struct json_object *list;

  if (status == STATUS_OK && reply->body == NULL)
    status = STATUS_CORRUPT;
  if (status == STATUS_OK)
    {
      list = json_field_array (reply->body, "blocks", &listing.count);
      blocks = g_new0 (struct store_block, listing.count + 1);
      for (size_t i = 0; i < listing.count; i++)
        parse_block (json_object_array_get_idx (list, i), &blocks[i]);
      listing.blocks = blocks;
      listing.has_more = json_field_bool (reply->body, "more");
    }
  call->done.listing (call->data, status, &listing);
  g_free (blocks);
  g_free (call);
}

static void
http_listing (struct storeclient *client, const char *address, uint64_t after,
              store_listing_done done, void *data)
{
  struct pending_call *call = g_malloc0 (sizeof *call);
  char path[64] = "/v1/blocks";

  call->done.listing = done;
  call->data = data;
  if (after != UINT64_MAX)
    g_snprintf (path, sizeof path, "/v1/blocks?after=%" G_GUINT64_FORMAT,
                after);
  send_request (client, address, "GET", path, NULL, listing_reply_received,
                call);
}

static void
status_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;
  enum status status = reply_status (reply);
  struct store_status store = { 0 };

  if (status == STATUS_OK && reply->body == NULL)
    status = STATUS_CORRUPT;
  if (status == STATUS_OK)
    {
      store.memory_free_bytes
          = (int64_t)json_field_uint (reply->body, "memory_free");
      store.disk_free_bytes
          = (int64_t)json_field_uint (reply->body, "disk_free");
    }
  call->done.status (call->data, status, &store);
  g_free (call);
}

static void
http_status (struct storeclient *client, const char *address,
             store_status_done done, void *data)
{
  struct pending_call *call = g_malloc0 (sizeof *call);

  call->done.status = done;
  call->data = data;
  send_request (client, address, "GET", "/v1/status", NULL,
                status_reply_received, call);
}

static void
release_reply_received (void *data, const struct httpjson_reply *reply)
{
  struct pending_call *call = data;

  call->done.released (call->data, reply_status (reply));
  g_free (call);
}

static void
http_release (struct storeclient *client, const char *address,
              const struct store_slot *slot, store_released_done done,
              void *data)
{
  struct pending_call *call = g_malloc0 (sizeof *call);
  char path[96];

  call->done.released = done;
  call->data = data;
  g_snprintf (path, sizeof path,
              "/v1/slots/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
              slot->number, slot->generation);
  send_request (client, address, "DELETE", path, NULL, release_reply_received,
                call);
}

static const struct store_ops storehttp_ops = {
  .reserve = http_reserve,
  .get_listing = http_listing,
  .get_status = http_status,
  .release = http_release,
};

void
storehttp_init (struct storehttp *storehttp, struct httpjson *httpjson)
{
  storehttp->client.ops = &storehttp_ops;
  storehttp->httpjson = httpjson;
}

void
storehttp_slot_url (const char *address, const struct store_slot *slot,
                    char *url, size_t size)
{
  g_snprintf (url, size,
              "http://%s/v1/slots/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
              address, slot->number, slot->generation);
}
