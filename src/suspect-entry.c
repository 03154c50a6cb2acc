#include "suspect-entry.h"

#include <glib.h>
#include <string.h>

/* A gateway asks again well within it. */
static const int64_t reserved_for_ns = 2 * NS_PER_S;

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
  return memcmp (a, b, SUSPECT_FINGERPRINT_BYTES) == 0;
}

struct suspect_entry *
suspect_entry_find (const struct suspect_owner *owner,
                    const struct suspect_fingerprint *fingerprint)
{
  return g_hash_table_lookup (owner->entries, fingerprint);
}

void
suspect_entry_drop (struct suspect_owner *owner, struct suspect_entry *entry)
{
  if (entry->state == SUSPECT_ENTRY_PROVED)
    owner->proved_count--;
  list_remove (&entry->node);
  g_hash_table_remove (owner->entries, &entry->fingerprint);
}

bool
suspect_entry_full (const struct suspect_owner *owner)
{
  return g_hash_table_size (owner->entries) - owner->proved_count
         >= SUSPECT_ENTRIES_MAX;
}

struct suspect_entry *
suspect_entry_make (struct suspect_owner *owner,
                    const struct suspect_fingerprint *fingerprint)
{
  struct suspect_entry *entry = suspect_entry_find (owner, fingerprint);

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct suspect_entry, 1);
  entry->fingerprint = *fingerprint;
  list_init (&entry->node);
  g_hash_table_insert (owner->entries, &entry->fingerprint, entry);
  return entry;
}

void
suspect_entry_leave (struct suspect_owner *owner, struct suspect_entry *entry)
{
  if (entry->alone)
    {
      owner->alone--;
      owner->change++;
    }
  if (entry->state == SUSPECT_ENTRY_PROVED)
    {
      owner->proved_count--;
      list_remove (&entry->node);
    }
  entry->alone = false;
  entry->orphan = false;
  entry->state = SUSPECT_ENTRY_FREE;
}

void
suspect_entry_run (struct suspect_owner *owner, struct suspect_entry *entry,
                   uint64_t gateway, uint64_t run)
{
  suspect_entry_leave (owner, entry);
  entry->state = SUSPECT_ENTRY_RUNNING;
  entry->gateway = gateway;
  entry->run = run;
  entry->confirmed = true;
  entry->alone = entry->tainted;
  owner->alone += entry->alone;
}

/* Give the slot back; only a taint is worth keeping. */
void
suspect_entry_release (struct suspect_owner *owner,
                       struct suspect_entry *entry)
{
  suspect_entry_leave (owner, entry);
  if (!entry->tainted)
    suspect_entry_drop (owner, entry);
}

void
suspect_entry_prove (struct suspect_owner *owner, struct suspect_entry *entry)
{
  struct suspect_entry *oldest;

  if (entry->tainted || entry->state == SUSPECT_ENTRY_USED_UP)
    owner->change++;
  suspect_entry_leave (owner, entry);
  entry->tainted = false;
  entry->state = SUSPECT_ENTRY_PROVED;
  list_prepend (&owner->proved, &entry->node);
  owner->proved_count++;
  if (owner->proved_count <= SUSPECT_PROVED_MAX)
    return;
  oldest = LIST_ENTRY (owner->proved.prev, struct suspect_entry, node);
  suspect_entry_drop (owner, oldest);
}

void
suspect_entry_use_up (struct suspect_owner *owner, struct suspect_entry *entry,
                      bool orphan)
{
  suspect_entry_leave (owner, entry);
  entry->orphan = orphan;
  entry->state = SUSPECT_ENTRY_USED_UP;
  entry->until_ns = clock_now (owner->clock) + owner->settings.hold_ns;
  entry->change = ++owner->change;
}

void
suspect_entry_taint (struct suspect_owner *owner, struct suspect_entry *entry)
{
  if (entry->state == SUSPECT_ENTRY_PROVED)
    suspect_entry_leave (owner, entry);
  entry->tainted = true;
  if (entry->state != SUSPECT_ENTRY_USED_UP)
    entry->until_ns = clock_now (owner->clock) + owner->settings.hold_ns;
  entry->change = ++owner->change;
}

void
suspect_entry_reserve (struct suspect_owner *owner,
                       struct suspect_entry *entry, uint64_t gateway)
{
  entry->state = SUSPECT_ENTRY_RESERVED;
  entry->gateway = gateway;
  entry->alone = true;
  entry->reserved_ns = clock_now (owner->clock) + reserved_for_ns;
  entry->change = ++owner->change;
  owner->alone++;
}

/* The record counts a run alone as used up in advance. */
bool
suspect_entry_written_used (const struct suspect_entry *entry)
{
  return entry->state == SUSPECT_ENTRY_USED_UP || entry->alone;
}

bool
suspect_entry_holds (const struct suspect_entry *entry,
                     const struct suspect_message *message)
{
  return entry != NULL && entry->gateway == message->gateway
         && entry->run == message->run;
}

void *
suspect_entry_table (void)
{
  return g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL,
                                g_free);
}
