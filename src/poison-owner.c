#include "poison-owner.h"
#include "poison-entry.h"

#include <assert.h>
#include <glib.h>
#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

enum
{
  FINGERPRINT_HEX_BYTES = 2 * POISON_FINGERPRINT_BYTES + 1
};

static const int64_t write_retry_ns = 200 * NS_PER_MS;
static const int64_t sweep_interval_ns = 10 * NS_PER_S;

static void
write_entry (const struct poison_entry *entry, int64_t now, int64_t wall_s,
             struct json_object *list)
{
  struct json_object *object = json_object_new_object ();
  char hex[FINGERPRINT_HEX_BYTES];
  int64_t until = wall_s + (entry->expires_ns - now) / NS_PER_S;

  sodium_bin2hex (hex, sizeof hex, entry->fingerprint.bytes,
                  POISON_FINGERPRINT_BYTES);
  json_object_object_add (object, "f", json_object_new_string (hex));
  json_object_object_add (object, "until", json_object_new_int64 (until));
  json_object_object_add (
      object, "used",
      json_object_new_boolean (poison_entry_is_recorded_as_used (entry)));
  json_object_object_add (object, "orphan",
                          json_object_new_boolean (entry->orphan));
  json_object_array_add (list, object);
}

/* Only one write is pending at a time; it contains all changes so far. */
static void
owner_write (struct poison_owner *owner)
{
  struct json_object *list;
  int64_t now = clock_now (owner->clock);
  GHashTableIter at;
  gpointer value;

  if (owner->write_pending || !owner->loaded
      || owner->durable_change == owner->last_change
      || now < owner->write_due_ns)
    return;
  list = json_object_new_array ();
  g_hash_table_iter_init (&at, owner->entries);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      const struct poison_entry *entry = value;

      if (poison_entry_is_recorded_as_used (entry) || entry->tainted)
        write_entry (entry, now, clock_wall (owner->clock).tv_sec, list);
    }
  owner->write_pending = true;
  owner->write_change = owner->last_change;
  owner->ops->persist (owner->data, json_object_to_json_string_ext (
                                        list, JSON_C_TO_STRING_PLAIN));
  json_object_put (list);
}

static void
send_reply (const struct poison_owner *owner,
            const struct poison_message *message,
            enum poison_message_kind kind)
{
  struct poison_message reply = *message;

  reply.kind = kind;
  owner->ops->send (owner->data, message->gateway, &reply);
}

/* The first message that asks for a run alone reserves the slot. Once the
 * reservation is durable, the next message of the same gateway acquires it. */
static enum poison_verdict
acquire_alone (struct poison_owner *owner, struct poison_entry *entry,
               const struct poison_message *message)
{
  if (!owner->settings.run_alone)
    return POISON_VERDICT_USED_UP;
  if (entry->state == POISON_ENTRY_FREE)
    {
      if (owner->alone_run_count < POISON_ALONE_RUNS_MAX)
        poison_entry_reserve (owner, entry, message->gateway);
      owner_write (owner);
      return POISON_VERDICT_BUSY;
    }
  if (entry->gateway != message->gateway
      || entry->last_change > owner->durable_change)
    return POISON_VERDICT_BUSY;
  entry->state = POISON_ENTRY_RUNNING;
  entry->run = message->run;
  entry->confirmed = true;
  return POISON_VERDICT_RUN_ALONE;
}

static enum poison_verdict
acquire_verdict (struct poison_owner *owner,
                 const struct poison_message *message)
{
  struct poison_entry *entry
      = poison_entry_find (owner, &message->fingerprint);

  if (!owner->loaded || clock_now (owner->clock) < owner->grace_end_ns)
    return POISON_VERDICT_RECOVERING;
  if (entry == NULL && poison_owner_is_full (owner))
    return POISON_VERDICT_BUSY;
  if (entry == NULL)
    entry = poison_entry_find_or_create (owner, &message->fingerprint);
  if (message->tainted && !entry->tainted
      && entry->state != POISON_ENTRY_CLEARED)
    poison_entry_taint (owner, entry);
  switch (entry->state)
    {
    case POISON_ENTRY_CLEARED:
      list_remove (&entry->node);
      list_prepend (&owner->cleared, &entry->node);
      return POISON_VERDICT_RUN_CLEARED;
    case POISON_ENTRY_USED_UP:
      return POISON_VERDICT_USED_UP;
    case POISON_ENTRY_RUNNING:
      return POISON_VERDICT_BUSY;
    case POISON_ENTRY_RESERVED:
    case POISON_ENTRY_FREE:
      break;
    }
  if (entry->tainted)
    return acquire_alone (owner, entry, message);
  poison_entry_start_run (owner, entry, message->gateway, message->run);
  return POISON_VERDICT_RUN;
}

static void
receive_acquire (struct poison_owner *owner,
                 const struct poison_message *message)
{
  struct poison_message reply = *message;
  const struct poison_entry *entry;

  reply.kind = POISON_MESSAGE_ACQUIRE_REPLY;
  reply.verdict = acquire_verdict (owner, message);
  entry = poison_entry_find (owner, &message->fingerprint);
  if (reply.verdict == POISON_VERDICT_USED_UP)
    {
      reply.hold_ns = entry->expires_ns - clock_now (owner->clock);
      reply.tainted = !entry->orphan;
    }
  owner->ops->send (owner->data, message->gateway, &reply);
}

static void
receive_release (struct poison_owner *owner,
                 const struct poison_message *message)
{
  struct poison_entry *entry
      = poison_entry_find (owner, &message->fingerprint);

  if (poison_entry_is_held_by (entry, message)
      && entry->state == POISON_ENTRY_RUNNING)
    poison_entry_release (owner, entry);
}

static void
receive_clear (struct poison_owner *owner,
               const struct poison_message *message)
{
  struct poison_entry *entry
      = poison_entry_find (owner, &message->fingerprint);

  /* Another run that holds the slot has to release it itself. */
  if (entry == NULL
      || (entry->state == POISON_ENTRY_RUNNING
          && !poison_entry_is_held_by (entry, message)))
    return;
  if (entry->state != POISON_ENTRY_CLEARED)
    poison_entry_clear (owner, entry);
  owner_write (owner);
}

static void
receive_report (struct poison_owner *owner,
                const struct poison_message *message)
{
  struct poison_entry *entry
      = poison_entry_find_or_create (owner, &message->fingerprint);
  bool crashed = message->kind == POISON_MESSAGE_CRASHED;
  bool used_up = entry->state == POISON_ENTRY_USED_UP && !entry->orphan;
  bool recorded = crashed ? used_up : entry->tainted;

  if (recorded && entry->last_change <= owner->durable_change)
    {
      send_reply (owner, message, POISON_MESSAGE_ACK);
      return;
    }
  if (crashed && !recorded)
    poison_entry_use_up (owner, entry, false);
  if (!crashed && !recorded)
    poison_entry_taint (owner, entry);
  owner_write (owner);
}

static void
receive_held (struct poison_owner *owner, const struct poison_message *message)
{
  struct poison_entry *entry
      = poison_entry_find_or_create (owner, &message->fingerprint);

  if (entry->state != POISON_ENTRY_RUNNING
      && entry->state != POISON_ENTRY_USED_UP)
    poison_entry_start_run (owner, entry, message->gateway, message->run);
  else if (poison_entry_is_held_by (entry, message))
    entry->confirmed = true;
  else if (entry->state == POISON_ENTRY_RUNNING)
    owner->conflict_count++;
}

/* Releases the slots of GATEWAY's runs that the sync did not list: these runs
 * have ended. */
static void
receive_sync_end (struct poison_owner *owner, uint64_t gateway)
{
  GList *entries = g_hash_table_get_values (owner->entries);

  for (GList *at = entries; at != NULL; at = at->next)
    {
      struct poison_entry *entry = at->data;

      if (entry->state == POISON_ENTRY_RUNNING && entry->gateway == gateway
          && !entry->confirmed)
        poison_entry_release (owner, entry);
    }
  g_list_free (entries);
}

static void
receive_sync_begin (struct poison_owner *owner, uint64_t gateway)
{
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, owner->entries);
  while (g_hash_table_iter_next (&at, NULL, &value))
    if (((struct poison_entry *)value)->gateway == gateway)
      ((struct poison_entry *)value)->confirmed = false;
}

/* Applies one entry of the partition's record to ENTRY. Gateways may have
 * listed their runs before the record was read. Such a run is a run alone
 * if the record counts its slot as used up. */
static void
apply_record (struct poison_owner *owner, struct poison_entry *entry,
              bool used, bool orphan)
{
  bool running = entry->state == POISON_ENTRY_RUNNING;

  if (entry->state == POISON_ENTRY_USED_UP)
    return;
  if (used && !running)
    {
      entry->state = POISON_ENTRY_USED_UP;
      entry->orphan = orphan;
      return;
    }
  entry->tainted = true;
  if (!used || entry->runs_alone)
    return;
  entry->runs_alone = true;
  owner->alone_run_count++;
}

static enum status
load_entry (struct poison_owner *owner, struct json_object *object)
{
  struct poison_request_fingerprint fingerprint;
  struct json_object *hex;
  struct json_object *until;
  struct json_object *used;
  struct json_object *orphan;
  struct poison_entry *entry;
  int64_t remaining_s;
  size_t size = 0;

  if (!json_object_object_get_ex (object, "f", &hex)
      || !json_object_object_get_ex (object, "until", &until)
      || !json_object_object_get_ex (object, "used", &used)
      || !json_object_object_get_ex (object, "orphan", &orphan))
    return STATUS_CORRUPT;
  if (sodium_hex2bin (fingerprint.bytes, sizeof fingerprint.bytes,
                      json_object_get_string (hex),
                      (size_t)json_object_get_string_len (hex), NULL, &size,
                      NULL)
          != 0
      || size != sizeof fingerprint.bytes)
    return STATUS_CORRUPT;
  remaining_s
      = json_object_get_int64 (until) - clock_wall (owner->clock).tv_sec;
  if (remaining_s <= 0)
    return STATUS_OK;
  entry = poison_entry_find_or_create (owner, &fingerprint);
  entry->expires_ns = clock_now (owner->clock)
                      + MIN (remaining_s * NS_PER_S, owner->settings.hold_ns);
  apply_record (owner, entry, json_object_get_boolean (used),
                json_object_get_boolean (orphan));
  return STATUS_OK;
}

static void
remove_expired (struct poison_owner *owner)
{
  GList *entries = g_hash_table_get_values (owner->entries);
  int64_t now = clock_now (owner->clock);

  for (GList *at = entries; at != NULL; at = at->next)
    {
      struct poison_entry *entry = at->data;

      if (entry->state == POISON_ENTRY_RESERVED
          && entry->reservation_expires_ns <= now)
        poison_entry_reset (owner, entry);
      if (entry->state == POISON_ENTRY_RUNNING
          || entry->state == POISON_ENTRY_RESERVED
          || entry->state == POISON_ENTRY_CLEARED || now < entry->expires_ns)
        continue;
      poison_entry_remove (owner, entry);
      owner->last_change++;
    }
  g_list_free (entries);
}

void
poison_owner_init (struct poison_owner *owner,
                   const struct poison_owner_settings *settings,
                   const struct clock *clock,
                   const struct poison_owner_ops *ops, void *data)
{
  *owner = (struct poison_owner){
    .clock = clock, .ops = ops, .data = data, .settings = *settings
  };
  list_init (&owner->cleared);
  owner->entries = poison_entry_table_new ();
}

void
poison_owner_finish (struct poison_owner *owner)
{
  g_hash_table_destroy (owner->entries);
}

enum status
poison_owner_load (struct poison_owner *owner, const char *text)
{
  struct json_object *list = NULL;
  enum status status = STATUS_OK;
  bool empty = text == NULL || text[0] == '\0';

  assert (!owner->loaded);
  if (!empty)
    list = json_tokener_parse (text);
  if (!empty && !json_object_is_type (list, json_type_array))
    status = STATUS_CORRUPT;
  for (size_t i = 0; list != NULL && status == STATUS_OK
                     && i < json_object_array_length (list);
       i++)
    status = load_entry (owner, json_object_array_get_idx (list, i));
  json_object_put (list);
  if (status != STATUS_OK)
    return status;
  owner->loaded = true;
  owner->grace_end_ns = clock_now (owner->clock) + owner->settings.grace_ns;
  owner_write (owner);
  return STATUS_OK;
}

void
poison_owner_receive (struct poison_owner *owner,
                      const struct poison_message *message)
{
  switch (message->kind)
    {
    case POISON_MESSAGE_ACQUIRE:
      receive_acquire (owner, message);
      break;
    case POISON_MESSAGE_RELEASE:
      receive_release (owner, message);
      break;
    case POISON_MESSAGE_CLEAR:
      receive_clear (owner, message);
      break;
    case POISON_MESSAGE_CRASHED:
    case POISON_MESSAGE_TAINT:
      receive_report (owner, message);
      break;
    case POISON_MESSAGE_SYNC_BEGIN:
      receive_sync_begin (owner, message->gateway);
      break;
    case POISON_MESSAGE_HELD:
      receive_held (owner, message);
      break;
    case POISON_MESSAGE_SYNC_END:
      receive_sync_end (owner, message->gateway);
      send_reply (owner, message, POISON_MESSAGE_SYNCED);
      break;
    case POISON_MESSAGE_ACQUIRE_REPLY:
    case POISON_MESSAGE_ACK:
    case POISON_MESSAGE_SYNCED:
      break;
    }
}

void
poison_owner_gateway_lost (struct poison_owner *owner, uint64_t gateway)
{
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, owner->entries);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      struct poison_entry *entry = value;

      if (entry->gateway != gateway)
        continue;
      if (entry->state == POISON_ENTRY_RUNNING)
        poison_entry_use_up (owner, entry, true);
      else if (entry->state == POISON_ENTRY_RESERVED)
        poison_entry_reset (owner, entry);
    }
  owner_write (owner);
}

void
poison_owner_persisted (struct poison_owner *owner, enum status status)
{
  assert (owner->write_pending);
  owner->write_pending = false;
  if (status != STATUS_OK)
    {
      owner->write_due_ns = clock_now (owner->clock) + write_retry_ns;
      return;
    }
  owner->durable_change = owner->write_change;
  owner_write (owner);
}

void
poison_owner_tick (struct poison_owner *owner)
{
  remove_expired (owner);
  owner_write (owner);
}

int64_t
poison_owner_next_tick_ns (const struct poison_owner *owner)
{
  int64_t now = clock_now (owner->clock);

  if (!owner->write_pending && owner->loaded
      && owner->durable_change != owner->last_change)
    return MAX (owner->write_due_ns, now);
  return now + sweep_interval_ns;
}
