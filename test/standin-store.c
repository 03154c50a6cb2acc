#include "standin-http.h"
#include "clock.h"

#include <string.h>
#include <xxhash.h>

/** @file
 * Role "store": a store host. All transfers share one link in the order in
 * which they come; an answer is sent when the link has carried its bytes.
 *
 * Faults besides the common ones:
 *   full           1: every reservation answers 507
 *   link_percent   speed of the link in percent; 0: full speed
 *   partial_write  the next N writes keep half of the bytes, unsealed, and
 *                  close the connection
 *   corrupt        the next N reads answer with one byte changed
 */

enum
{
  PAGE = 1000 /* blocks in one listing */
};

struct slot
{
  int64_t number;
  int64_t generation;
  struct json_object *info; /* what the reservation said; NULL: free */
  int64_t length;
  bool disk;
  bool sealed;
  GByteArray *bytes;
  char checksum[17];
};

static GPtrArray *slots;
static int64_t memory_bytes = INT64_C (256) << 20;
static int64_t disk_bytes = INT64_C (1024) << 20;
static int64_t link_bytes_per_s;
static int64_t link_free_at; /* ns */
static int64_t link_bytes;
static int64_t reads, writes, stale;

static const GOptionEntry options[] = {
  { "memory-bytes", 0, 0, G_OPTION_ARG_INT64, &memory_bytes,
    "Size of the memory tier", "N" },
  { "disk-bytes", 0, 0, G_OPTION_ARG_INT64, &disk_bytes,
    "Size of the disk tier", "N" },
  { "link-bytes-per-s", 0, 0, G_OPTION_ARG_INT64, &link_bytes_per_s,
    "Shared by all transfers; 0: unlimited", "N" },
  { 0 },
};

static const char *const faults[]
    = { "full", "link_percent", "partial_write", "corrupt", NULL };

static int64_t
link_speed (void)
{
  int64_t percent = fault_value ("link_percent");

  return percent ? link_bytes_per_s * percent / 100 : link_bytes_per_s;
}

/* Call CALLBACK when the link has carried SIZE bytes more. */
static void
link_carry (size_t size, server_callback callback, void *data)
{
  int64_t now = server_now ();
  int64_t speed = link_speed ();

  link_bytes += (int64_t)size;
  if (speed <= 0)
    {
      callback (data);
      return;
    }
  link_free_at = MAX (link_free_at, now)
                 + (int64_t)((double)size * NS_PER_S / (double)speed);
  server_after ((uint64_t)((link_free_at - now) / NS_PER_MS), callback, data);
}

static int64_t *
tier_free (bool disk)
{
  return disk ? &disk_bytes : &memory_bytes;
}

static struct slot *
slot_take (void)
{
  struct slot *slot;

  for (guint i = 0; i < slots->len; i++)
    {
      slot = slots->pdata[i];
      if (!slot->info)
        return slot;
    }
  slot = g_new0 (struct slot, 1);
  slot->number = slots->len + 1;
  slot->generation = 1;
  slot->bytes = g_byte_array_new ();
  g_ptr_array_add (slots, slot);
  return slot;
}

static void
slot_reserve (const struct call *call)
{
  int64_t length = json_int (call->body, "length", -1);
  bool disk = strcmp (json_string (call->body, "tier", ""), "disk") == 0;
  struct slot *slot;

  if (length < 0)
    {
      http_code (call->req, 400, "malformed");
      return;
    }
  if (fault_value ("full") || length > *tier_free (disk))
    {
      http_code (call->req, 507, "full");
      return;
    }
  *tier_free (disk) -= length;
  slot = slot_take ();
  slot->info = json_object_get (call->body);
  slot->length = length;
  slot->disk = disk;
  http_json (call->req, 200,
             json_put (NULL, "slot", 'i', slot->number, "generation", 'i',
                       slot->generation, NULL));
}

/* The slot that the path names, if its generation is still that one. */
static struct slot *
slot_named (const char *path)
{
  long long number = 0, generation = 0;
  struct slot *slot;

  if (sscanf (path, "/v1/slots/%lld/%lld", &number, &generation) != 2
      || number < 1 || number > slots->len)
    return NULL;
  slot = slots->pdata[number - 1];
  return slot->info && slot->generation == generation ? slot : NULL;
}

static void
slot_free (struct slot *slot)
{
  *tier_free (slot->disk) += slot->length;
  json_object_put (slot->info);
  slot->info = NULL;
  slot->sealed = false;
  slot->generation++;
  g_byte_array_set_size (slot->bytes, 0);
}

/* A transfer that waits for the link. */
struct transfer
{
  h2o_req_t *req;
  char *path;
  GByteArray *bytes; /* read: a copy, since the slot may be freed meanwhile */
  char checksum[17];
};

static struct transfer *
transfer_new (const struct call *call)
{
  struct transfer *transfer = g_new0 (struct transfer, 1);

  transfer->req = call->req;
  transfer->path = g_strdup (call->path);
  return transfer;
}

static void
transfer_free (struct transfer *transfer)
{
  if (transfer->bytes)
    g_byte_array_free (transfer->bytes, TRUE);
  g_free (transfer->path);
  g_free (transfer);
}

static void
checksum_write (char *text, const void *bytes, size_t size)
{
  snprintf (text, 17, "%016llx",
            (unsigned long long)XXH3_64bits (bytes, size));
}

static void
slot_seal (struct slot *slot, h2o_req_t *req)
{
  g_byte_array_set_size (slot->bytes, 0);
  g_byte_array_append (slot->bytes, (guint8 *)req->entity.base,
                       (guint)req->entity.len);
  checksum_write (slot->checksum, slot->bytes->data, slot->bytes->len);
  slot->sealed = slot->bytes->len == slot->length;
  http_json (req, 200,
             json_put (NULL, "length", 'i', (int64_t)slot->bytes->len,
                       "checksum", 's', slot->checksum, NULL));
}

static void
on_written (void *data)
{
  struct transfer *transfer = data;
  struct slot *slot = slot_named (transfer->path);
  h2o_req_t *req = transfer->req;

  writes++;
  if (!slot || slot->sealed)
    {
      stale++;
      http_code (req, 409, "generation");
    }
  else if (fault_take ("partial_write"))
    {
      g_byte_array_set_size (slot->bytes, 0);
      g_byte_array_append (slot->bytes, (guint8 *)req->entity.base,
                           (guint)req->entity.len / 2);
      http_drop (req);
    }
  else
    slot_seal (slot, req);
  transfer_free (transfer);
}

static void
on_read (void *data)
{
  struct transfer *transfer = data;
  GByteArray *bytes = transfer->bytes;

  http_header (transfer->req, "x-checksum", transfer->checksum);
  http_reply (transfer->req, 200, "application/octet-stream", bytes->data,
              bytes->len);
  transfer_free (transfer);
}

static void
slot_read (const struct call *call)
{
  const struct slot *slot = slot_named (call->path);
  struct transfer *transfer;

  reads++;
  if (!slot || !slot->sealed)
    {
      stale++;
      http_code (call->req, 404, "not_found");
      return;
    }
  transfer = transfer_new (call);
  transfer->bytes = g_byte_array_new ();
  g_byte_array_append (transfer->bytes, slot->bytes->data, slot->bytes->len);
  memcpy (transfer->checksum, slot->checksum, sizeof transfer->checksum);
  if (transfer->bytes->len > 0 && fault_take ("corrupt"))
    transfer->bytes->data[transfer->bytes->len / 2] ^= 1;
  link_carry (transfer->bytes->len, on_read, transfer);
}

static void
slot_delete (const struct call *call)
{
  struct slot *slot = slot_named (call->path);

  if (slot)
    slot_free (slot);
  http_json (call->req, slot ? 200 : 404, json_object_new_object ());
}

static struct json_object *
slot_describe (const struct slot *slot)
{
  static const char *const copied[]
      = { "block", "organisation", "model", "version", "adapter" };
  struct json_object *object = json_object_new_object ();

  for (size_t i = 0; i < G_N_ELEMENTS (copied); i++)
    json_put (object, copied[i], 's', json_string (slot->info, copied[i], ""),
              NULL);
  return json_put (
      object, "slot", 'i', slot->number, "generation", 'i', slot->generation,
      "index", 'i', json_int (slot->info, "index", 0), "length", 'i',
      slot->length, "checksum", 's', slot->sealed ? slot->checksum : "",
      "tier", 's', slot->disk ? "disk" : "memory", "sealed", 'b', slot->sealed,
      NULL);
}

/* Slots are numbered from 1, so "after" is 0 or missing for the first page. */
static void
blocks_list (const struct call *call)
{
  struct json_object *blocks = json_object_new_array ();
  int64_t i = call_query_int (call, "after", 0);

  for (; i < slots->len && json_object_array_length (blocks) < PAGE; i++)
    if (((struct slot *)slots->pdata[i])->info)
      json_object_array_add (blocks, slot_describe (slots->pdata[i]));
  http_json (call->req, 200,
             json_put (NULL, "blocks", 'o', blocks, "more", 'b',
                       i < slots->len, NULL));
}

static void
status_reply (const struct call *call)
{
  http_json (call->req, 200,
             json_put (NULL, "memory_free", 'i', memory_bytes, "disk_free",
                       'i', disk_bytes, "link_bytes_per_s", 'i', link_speed (),
                       NULL));
}

static void
start (void)
{
  slots = g_ptr_array_new ();
}

static void
slot_write (const struct call *call)
{
  link_carry (call->req->entity.len, on_written, transfer_new (call));
}

static const struct route routes[] = {
  { "POST", "/v1/slots", slot_reserve },
  { "GET", "/v1/blocks", blocks_list },
  { "GET", "/v1/status", status_reply },
  { "PUT", "/v1/slots/", slot_write },
  { "GET", "/v1/slots/", slot_read },
  { "DELETE", "/v1/slots/", slot_delete },
  { 0 },
};

static const struct counter counters[] = { { "reads", &reads },
                                           { "writes", &writes },
                                           { "stale", &stale },
                                           { "link_bytes", &link_bytes },
                                           { 0 } };

const struct role role_store = { .name = "store",
                                 .faults = faults,
                                 .options = options,
                                 .routes = routes,
                                 .counters = counters,
                                 .start = start };
