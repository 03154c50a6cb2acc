#include "poison-entry.h"

#include <glib.h>
#include <string.h>

/* Time for which a slot stays reserved for a run alone. Gateways retry to
 * acquire a slot well within this time. */
static const int64_t reservation_ns = 2 * NS_PER_S;

static guint
fingerprint_hash (gconstpointer key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

static gboolean
fingerprint_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, POISON_FINGERPRINT_BYTES) == 0;
}

struct poison_entry *
poison_entry_find (const struct poison_owner *owner,
                   const struct poison_request_fingerprint *fingerprint)
{
  return g_hash_table_lookup (owner->entries, fingerprint);
}

void
poison_entry_remove (struct poison_owner *owner, struct poison_entry *entry)
{
  if (entry->state == POISON_ENTRY_CLEARED)
    owner->cleared_count--;
  list_remove (&entry->node);
  g_hash_table_remove (owner->entries, &entry->fingerprint);
}

bool
poison_owner_is_full (const struct poison_owner *owner)
{
  return g_hash_table_size (owner->entries) - owner->cleared_count
         >= POISON_ENTRIES_MAX;
}

struct poison_entry *
poison_entry_find_or_create (
    struct poison_owner *owner,
    const struct poison_request_fingerprint *fingerprint)
{
  struct poison_entry *entry = poison_entry_find (owner, fingerprint);

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct poison_entry, 1);
  entry->fingerprint = *fingerprint;
  list_init (&entry->node);
  g_hash_table_insert (owner->entries, &entry->fingerprint, entry);
  return entry;
}

void
poison_entry_reset (struct poison_owner *owner, struct poison_entry *entry)
{
  if (entry->runs_alone)
    {
      owner->alone_run_count--;
      owner->last_change++;
    }
  if (entry->state == POISON_ENTRY_CLEARED)
    {
      owner->cleared_count--;
      list_remove (&entry->node);
    }
  entry->runs_alone = false;
  entry->orphan = false;
  entry->state = POISON_ENTRY_FREE;
}

void
poison_entry_start_run (struct poison_owner *owner, struct poison_entry *entry,
                        uint64_t gateway, uint64_t run)
{
  poison_entry_reset (owner, entry);
  entry->state = POISON_ENTRY_RUNNING;
  entry->gateway = gateway;
  entry->run = run;
  entry->confirmed = true;
  entry->runs_alone = entry->tainted;
  owner->alone_run_count += entry->runs_alone;
}

void
poison_entry_release (struct poison_owner *owner, struct poison_entry *entry)
{
  poison_entry_reset (owner, entry);
  if (!entry->tainted)
    poison_entry_remove (owner, entry);
}

void
poison_entry_clear (struct poison_owner *owner, struct poison_entry *entry)
{
  struct poison_entry *oldest;

  if (entry->tainted || entry->state == POISON_ENTRY_USED_UP)
    owner->last_change++;
  poison_entry_reset (owner, entry);
  entry->tainted = false;
  entry->state = POISON_ENTRY_CLEARED;
  list_prepend (&owner->cleared, &entry->node);
  owner->cleared_count++;
  if (owner->cleared_count <= POISON_CLEARED_MAX)
    return;
  oldest = LIST_ENTRY (owner->cleared.prev, struct poison_entry, node);
  poison_entry_remove (owner, oldest);
}

void
poison_entry_use_up (struct poison_owner *owner, struct poison_entry *entry,
                     bool orphan)
{
  poison_entry_reset (owner, entry);
  entry->orphan = orphan;
  entry->state = POISON_ENTRY_USED_UP;
  entry->expires_ns = clock_now (owner->clock) + owner->settings.hold_ns;
  entry->last_change = ++owner->last_change;
}

void
poison_entry_taint (struct poison_owner *owner, struct poison_entry *entry)
{
  if (entry->state == POISON_ENTRY_CLEARED)
    poison_entry_reset (owner, entry);
  entry->tainted = true;
  if (entry->state != POISON_ENTRY_USED_UP)
    entry->expires_ns = clock_now (owner->clock) + owner->settings.hold_ns;
  entry->last_change = ++owner->last_change;
}

void
poison_entry_reserve (struct poison_owner *owner, struct poison_entry *entry,
                      uint64_t gateway)
{
  entry->state = POISON_ENTRY_RESERVED;
  entry->gateway = gateway;
  entry->runs_alone = true;
  entry->reservation_expires_ns = clock_now (owner->clock) + reservation_ns;
  entry->last_change = ++owner->last_change;
  owner->alone_run_count++;
}

bool
poison_entry_is_recorded_as_used (const struct poison_entry *entry)
{
  return entry->state == POISON_ENTRY_USED_UP || entry->runs_alone;
}

bool
poison_entry_is_held_by (const struct poison_entry *entry,
                         const struct poison_message *message)
{
  return entry != NULL && entry->gateway == message->gateway
         && entry->run == message->run;
}

void *
poison_entry_table_new (void)
{
  return g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL,
                                g_free);
}
