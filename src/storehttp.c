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

struct question
{
  union
  {
    store_reserved_done reserved;
    store_listing_done listing;
    store_freed_done freed;
    store_status_done status;
  } done;
  void *data;
};

static void
ask (struct storeclient *client, const char *address, const char *method,
     const char *path, struct json_object *body, httpjson_done done,
     struct question *question)
{
  struct storehttp *storehttp = (struct storehttp *)client;
  struct httpjson_request request = {
    .address = address,
    .method = method,
    .path = path,
    .body = body,
    .timeout_ns = STORE_TIMEOUT_NS,
  };

  httpjson_call (storehttp->httpjson, &request, done, question);
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
reserve_answered (void *data, const struct httpjson_reply *reply)
{
  struct question *question = data;
  enum status status = reply_status (reply);
  struct store_slot slot = { 0 };

  if (status == STATUS_OK && reply->body == NULL)
    status = STATUS_CORRUPT;
  if (status == STATUS_OK)
    {
      slot.slot = json_field_uint (reply->body, "slot");
      slot.generation = json_field_uint (reply->body, "generation");
    }
  question->done.reserved (question->data, status, &slot);
  g_free (question);
}

static void
http_reserve (struct storeclient *client, const char *address,
              const struct store_reservation *reservation,
              store_reserved_done done, void *data)
{
  struct question *question = g_malloc0 (sizeof *question);
  struct json_object *body = json_object_new_object ();

  question->done.reserved = done;
  question->data = data;
  json_add_text (body, "block", reservation->block);
  json_add_text (body, "organisation", reservation->organisation);
  json_add_text (body, "model", reservation->model);
  json_add_text (body, "version", reservation->version);
  json_add_text (body, "adapter", reservation->adapter);
  json_add_uint (body, "index", reservation->index);
  json_add_uint (body, "length", reservation->length);
  json_add_text (body, "tier", reservation->disk ? "disk" : "memory");
  ask (client, address, "POST", "/v1/slots", body, reserve_answered, question);
}

static void
read_block (struct json_object *item, struct store_block *block)
{
  block->at.slot = json_field_uint (item, "slot");
  block->at.generation = json_field_uint (item, "generation");
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
listing_answered (void *data, const struct httpjson_reply *reply)
{
  struct question *question = data;
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
        read_block (json_object_array_get_idx (list, i), &blocks[i]);
      listing.blocks = blocks;
      listing.more = json_field_bool (reply->body, "more");
    }
  question->done.listing (question->data, status, &listing);
  g_free (blocks);
  g_free (question);
}

static void
http_listing (struct storeclient *client, const char *address, uint64_t after,
              store_listing_done done, void *data)
{
  struct question *question = g_malloc0 (sizeof *question);
  char path[64] = "/v1/blocks";

  question->done.listing = done;
  question->data = data;
  if (after != UINT64_MAX)
    g_snprintf (path, sizeof path, "/v1/blocks?after=%" G_GUINT64_FORMAT,
                after);
  ask (client, address, "GET", path, NULL, listing_answered, question);
}

static void
status_answered (void *data, const struct httpjson_reply *reply)
{
  struct question *question = data;
  enum status status = reply_status (reply);
  struct store_status store = { 0 };

  if (status == STATUS_OK && reply->body == NULL)
    status = STATUS_CORRUPT;
  if (status == STATUS_OK)
    {
      store.memory_free
          = (int64_t)json_field_uint (reply->body, "memory_free");
      store.disk_free = (int64_t)json_field_uint (reply->body, "disk_free");
    }
  question->done.status (question->data, status, &store);
  g_free (question);
}

static void
http_status (struct storeclient *client, const char *address,
             store_status_done done, void *data)
{
  struct question *question = g_malloc0 (sizeof *question);

  question->done.status = done;
  question->data = data;
  ask (client, address, "GET", "/v1/status", NULL, status_answered, question);
}

static void
release_answered (void *data, const struct httpjson_reply *reply)
{
  struct question *question = data;

  question->done.freed (question->data, reply_status (reply));
  g_free (question);
}

static void
http_release (struct storeclient *client, const char *address,
              const struct store_slot *slot, store_freed_done done, void *data)
{
  struct question *question = g_malloc0 (sizeof *question);
  char path[96];

  question->done.freed = done;
  question->data = data;
  g_snprintf (path, sizeof path,
              "/v1/slots/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, slot->slot,
              slot->generation);
  ask (client, address, "DELETE", path, NULL, release_answered, question);
}

static const struct store_ops storehttp_ops = {
  .reserve = http_reserve,
  .listing = http_listing,
  .status = http_status,
  .release = http_release,
};

void
storehttp_init (struct storehttp *storehttp, struct httpjson *httpjson)
{
  storehttp->client.ops = &storehttp_ops;
  storehttp->httpjson = httpjson;
}

void
storehttp_url (const char *address, const struct store_slot *slot, char *url,
               size_t size)
{
  g_snprintf (url, size,
              "http://%s/v1/slots/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
              address, slot->slot, slot->generation);
}
