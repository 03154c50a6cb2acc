#include "suspect-owner.h"
#include "suspect-entry.h"

#include <assert.h>
#include <glib.h>
#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

enum
{
  FINGERPRINT_HEX = 2 * SUSPECT_FINGERPRINT_BYTES + 1
};

static const int64_t write_again_ns = 200 * NS_PER_MS;
static const int64_t sweep_ns = 10 * NS_PER_S;

static void
write_entry (const struct suspect_entry *entry, int64_t now, int64_t wall_s,
             struct json_object *list)
{
  struct json_object *object = json_object_new_object ();
  char hex[FINGERPRINT_HEX];
  int64_t until = wall_s + (entry->until_ns - now) / NS_PER_S;

  sodium_bin2hex (hex, sizeof hex, entry->fingerprint.bytes,
                  SUSPECT_FINGERPRINT_BYTES);
  json_object_object_add (object, "f", json_object_new_string (hex));
  json_object_object_add (object, "until", json_object_new_int64 (until));
  json_object_object_add (
      object, "used",
      json_object_new_boolean (suspect_entry_written_used (entry)));
  json_object_object_add (object, "orphan",
                          json_object_new_boolean (entry->orphan));
  json_object_array_add (list, object);
}

/* One write at a time carries all changes so far. */
static void
owner_write (struct suspect_owner *owner)
{
  struct json_object *list;
  int64_t now = clock_now (owner->clock);
  GHashTableIter at;
  gpointer value;

  if (owner->writing || !owner->loaded || owner->durable == owner->change
      || now < owner->write_ns)
    return;
  list = json_object_new_array ();
  g_hash_table_iter_init (&at, owner->entries);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      const struct suspect_entry *entry = value;

      if (suspect_entry_written_used (entry) || entry->tainted)
        write_entry (entry, now, clock_wall (owner->clock).tv_sec, list);
    }
  owner->writing = true;
  owner->sent = owner->change;
  owner->ops->persist (owner->data, json_object_to_json_string_ext (
                                        list, JSON_C_TO_STRING_PLAIN));
  json_object_put (list);
}

static void
send_back (const struct suspect_owner *owner,
           const struct suspect_message *message, enum suspect_kind kind)
{
  struct suspect_message answer = *message;

  answer.kind = kind;
  owner->ops->send (owner->data, message->gateway, &answer);
}

/* The first time an alone run is asked for, its slot is reserved; when that
 * is durable, asking again gets it. */
static enum suspect_verdict
ask_alone (struct suspect_owner *owner, struct suspect_entry *entry,
           const struct suspect_message *message)
{
  if (!owner->settings.run_alone)
    return SUSPECT_USED_UP;
  if (entry->state == SUSPECT_ENTRY_FREE)
    {
      if (owner->alone < SUSPECT_ALONE_MAX)
        suspect_entry_reserve (owner, entry, message->gateway);
      owner_write (owner);
      return SUSPECT_BUSY;
    }
  if (entry->gateway != message->gateway || entry->change > owner->durable)
    return SUSPECT_BUSY;
  entry->state = SUSPECT_ENTRY_RUNNING;
  entry->run = message->run;
  entry->confirmed = true;
  return SUSPECT_RUN_ALONE;
}

static enum suspect_verdict
ask_verdict (struct suspect_owner *owner,
             const struct suspect_message *message)
{
  struct suspect_entry *entry
      = suspect_entry_find (owner, &message->fingerprint);

  if (!owner->loaded || clock_now (owner->clock) < owner->ready_ns)
    return SUSPECT_RECOVERING;
  if (entry == NULL && suspect_entry_full (owner))
    return SUSPECT_BUSY;
  if (entry == NULL)
    entry = suspect_entry_make (owner, &message->fingerprint);
  if (message->tainted && !entry->tainted
      && entry->state != SUSPECT_ENTRY_PROVED)
    suspect_entry_taint (owner, entry);
  switch (entry->state)
    {
    case SUSPECT_ENTRY_PROVED:
      list_remove (&entry->node);
      list_prepend (&owner->proved, &entry->node);
      return SUSPECT_RUN_FREE;
    case SUSPECT_ENTRY_USED_UP:
      return SUSPECT_USED_UP;
    case SUSPECT_ENTRY_RUNNING:
      return SUSPECT_BUSY;
    case SUSPECT_ENTRY_RESERVED:
    case SUSPECT_ENTRY_FREE:
      break;
    }
  if (entry->tainted)
    return ask_alone (owner, entry, message);
  suspect_entry_run (owner, entry, message->gateway, message->run);
  return SUSPECT_RUN;
}

static void
receive_ask (struct suspect_owner *owner,
             const struct suspect_message *message)
{
  struct suspect_message answer = *message;
  const struct suspect_entry *entry;

  answer.kind = SUSPECT_ANSWER;
  answer.verdict = ask_verdict (owner, message);
  entry = suspect_entry_find (owner, &message->fingerprint);
  if (answer.verdict == SUSPECT_USED_UP)
    {
      answer.hold_ns = entry->until_ns - clock_now (owner->clock);
      answer.tainted = !entry->orphan;
    }
  owner->ops->send (owner->data, message->gateway, &answer);
}

static void
receive_done (struct suspect_owner *owner,
              const struct suspect_message *message)
{
  struct suspect_entry *entry
      = suspect_entry_find (owner, &message->fingerprint);

  if (suspect_entry_holds (entry, message)
      && entry->state == SUSPECT_ENTRY_RUNNING)
    suspect_entry_release (owner, entry);
}

static void
receive_proved (struct suspect_owner *owner,
                const struct suspect_message *message)
{
  struct suspect_entry *entry
      = suspect_entry_find (owner, &message->fingerprint);

  /* While another run has the slot, that one still has to give it back. */
  if (entry == NULL
      || (entry->state == SUSPECT_ENTRY_RUNNING
          && !suspect_entry_holds (entry, message)))
    return;
  if (entry->state != SUSPECT_ENTRY_PROVED)
    suspect_entry_prove (owner, entry);
  owner_write (owner);
}

static void
receive_report (struct suspect_owner *owner,
                const struct suspect_message *message)
{
  struct suspect_entry *entry
      = suspect_entry_make (owner, &message->fingerprint);
  bool crashed = message->kind == SUSPECT_CRASHED;
  bool used_up = entry->state == SUSPECT_ENTRY_USED_UP && !entry->orphan;
  bool known = crashed ? used_up : entry->tainted;

  if (known && entry->change <= owner->durable)
    {
      send_back (owner, message, SUSPECT_ACK);
      return;
    }
  if (crashed && !known)
    suspect_entry_use_up (owner, entry, false);
  if (!crashed && !known)
    suspect_entry_taint (owner, entry);
  owner_write (owner);
}

static void
receive_held (struct suspect_owner *owner,
              const struct suspect_message *message)
{
  struct suspect_entry *entry
      = suspect_entry_make (owner, &message->fingerprint);

  if (entry->state != SUSPECT_ENTRY_RUNNING
      && entry->state != SUSPECT_ENTRY_USED_UP)
    suspect_entry_run (owner, entry, message->gateway, message->run);
  else if (suspect_entry_holds (entry, message))
    entry->confirmed = true;
  else if (entry->state == SUSPECT_ENTRY_RUNNING)
    owner->conflicts++;
}

/* What the sync did not name is not running any more. */
static void
receive_sync_end (struct suspect_owner *owner, uint64_t gateway)
{
  GList *entries = g_hash_table_get_values (owner->entries);

  for (GList *at = entries; at != NULL; at = at->next)
    {
      struct suspect_entry *entry = at->data;

      if (entry->state == SUSPECT_ENTRY_RUNNING && entry->gateway == gateway
          && !entry->confirmed)
        suspect_entry_release (owner, entry);
    }
  g_list_free (entries);
}

static void
receive_sync_begin (struct suspect_owner *owner, uint64_t gateway)
{
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, owner->entries);
  while (g_hash_table_iter_next (&at, NULL, &value))
    if (((struct suspect_entry *)value)->gateway == gateway)
      ((struct suspect_entry *)value)->confirmed = false;
}

/* Gateways may have named what they run before the record was there: a run
 * whose slot the record counts as used up is one alone. */
static void
load_state (struct suspect_owner *owner, struct suspect_entry *entry,
            bool used, bool orphan)
{
  bool running = entry->state == SUSPECT_ENTRY_RUNNING;

  if (entry->state == SUSPECT_ENTRY_USED_UP)
    return;
  if (used && !running)
    {
      entry->state = SUSPECT_ENTRY_USED_UP;
      entry->orphan = orphan;
      return;
    }
  entry->tainted = true;
  if (!used || entry->alone)
    return;
  entry->alone = true;
  owner->alone++;
}

static enum status
load_entry (struct suspect_owner *owner, struct json_object *object)
{
  struct suspect_fingerprint fingerprint;
  struct json_object *hex;
  struct json_object *until;
  struct json_object *used;
  struct json_object *orphan;
  struct suspect_entry *entry;
  int64_t left_s;
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
  left_s = json_object_get_int64 (until) - clock_wall (owner->clock).tv_sec;
  if (left_s <= 0)
    return STATUS_OK;
  entry = suspect_entry_make (owner, &fingerprint);
  entry->until_ns = clock_now (owner->clock)
                    + MIN (left_s * NS_PER_S, owner->settings.hold_ns);
  load_state (owner, entry, json_object_get_boolean (used),
              json_object_get_boolean (orphan));
  return STATUS_OK;
}

static void
sweep (struct suspect_owner *owner)
{
  GList *entries = g_hash_table_get_values (owner->entries);
  int64_t now = clock_now (owner->clock);

  for (GList *at = entries; at != NULL; at = at->next)
    {
      struct suspect_entry *entry = at->data;

      if (entry->state == SUSPECT_ENTRY_RESERVED && entry->reserved_ns <= now)
        suspect_entry_leave (owner, entry);
      if (entry->state == SUSPECT_ENTRY_RUNNING
          || entry->state == SUSPECT_ENTRY_RESERVED
          || entry->state == SUSPECT_ENTRY_PROVED || now < entry->until_ns)
        continue;
      suspect_entry_drop (owner, entry);
      owner->change++;
    }
  g_list_free (entries);
}

void
suspect_owner_init (struct suspect_owner *owner,
                    const struct suspect_owner_settings *settings,
                    const struct clock *clock,
                    const struct suspect_owner_ops *ops, void *data)
{
  *owner = (struct suspect_owner){
    .clock = clock, .ops = ops, .data = data, .settings = *settings
  };
  list_init (&owner->proved);
  owner->entries = suspect_entry_table ();
}

void
suspect_owner_finish (struct suspect_owner *owner)
{
  g_hash_table_destroy (owner->entries);
}

enum status
suspect_owner_load (struct suspect_owner *owner, const char *text)
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
  owner->ready_ns = clock_now (owner->clock) + owner->settings.grace_ns;
  owner_write (owner);
  return STATUS_OK;
}

void
suspect_owner_receive (struct suspect_owner *owner,
                       const struct suspect_message *message)
{
  switch (message->kind)
    {
    case SUSPECT_ASK:
      receive_ask (owner, message);
      break;
    case SUSPECT_DONE:
      receive_done (owner, message);
      break;
    case SUSPECT_PROVED:
      receive_proved (owner, message);
      break;
    case SUSPECT_CRASHED:
    case SUSPECT_TAINT:
      receive_report (owner, message);
      break;
    case SUSPECT_SYNC_BEGIN:
      receive_sync_begin (owner, message->gateway);
      break;
    case SUSPECT_HELD:
      receive_held (owner, message);
      break;
    case SUSPECT_SYNC_END:
      receive_sync_end (owner, message->gateway);
      send_back (owner, message, SUSPECT_SYNCED);
      break;
    case SUSPECT_ANSWER:
    case SUSPECT_ACK:
    case SUSPECT_SYNCED:
      break;
    }
}

void
suspect_owner_gateway_lost (struct suspect_owner *owner, uint64_t gateway)
{
  GHashTableIter at;
  gpointer value;

  g_hash_table_iter_init (&at, owner->entries);
  while (g_hash_table_iter_next (&at, NULL, &value))
    {
      struct suspect_entry *entry = value;

      if (entry->gateway != gateway)
        continue;
      if (entry->state == SUSPECT_ENTRY_RUNNING)
        suspect_entry_use_up (owner, entry, true);
      else if (entry->state == SUSPECT_ENTRY_RESERVED)
        suspect_entry_leave (owner, entry);
    }
  owner_write (owner);
}

void
suspect_owner_persisted (struct suspect_owner *owner, enum status status)
{
  assert (owner->writing);
  owner->writing = false;
  if (status != STATUS_OK)
    {
      owner->write_ns = clock_now (owner->clock) + write_again_ns;
      return;
    }
  owner->durable = owner->sent;
  owner_write (owner);
}

void
suspect_owner_tick (struct suspect_owner *owner)
{
  sweep (owner);
  owner_write (owner);
}

int64_t
suspect_owner_next (const struct suspect_owner *owner)
{
  int64_t now = clock_now (owner->clock);

  if (!owner->writing && owner->loaded && owner->durable != owner->change)
    return MAX (owner->write_ns, now);
  return now + sweep_ns;
}
