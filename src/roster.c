#include "roster.h"
#include "rendezvous.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

void
roster_init (struct roster *roster)
{
  memset (roster, 0, sizeof *roster);
}

void
roster_finish (struct roster *roster)
{
  g_free (roster->entries);
  memset (roster, 0, sizeof *roster);
}

uint64_t
roster_id (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

struct roster_entry *
roster_find (const struct roster *roster, uint64_t id)
{
  for (size_t i = 0; i < roster->count; i++)
    if (roster->entries[i].id == id)
      return &roster->entries[i];
  return NULL;
}

static struct roster_entry *
roster_append (struct roster *roster)
{
  roster->entries
      = g_renew (struct roster_entry, roster->entries, roster->count + 1);
  memset (&roster->entries[roster->count], 0, sizeof *roster->entries);
  return &roster->entries[roster->count++];
}

enum status
roster_update (struct roster *roster, const struct roster_entry *entry)
{
  struct roster_entry *known = roster_find (roster, entry->id);
  uint64_t revision = entry->config_revision;

  if (known == NULL && roster->count == ROSTER_ENTRIES_MAX)
    return STATUS_LIMITED;
  if (known == NULL)
    known = roster_append (roster);
  else if (entry->incarnation < known->incarnation)
    return STATUS_STALE;
  else if (entry->incarnation == known->incarnation
           && known->config_revision > revision)
    revision = known->config_revision;
  if (known->alive != entry->alive || known->leaving != entry->leaving)
    roster->change++;
  *known = *entry;
  known->config_revision = revision;
  return STATUS_OK;
}

void
roster_set_alive (struct roster *roster, uint64_t id, bool alive)
{
  struct roster_entry *entry = roster_find (roster, id);

  if (entry == NULL || entry->alive == alive)
    return;
  entry->alive = alive;
  roster->change++;
}

static bool
is_live_shard (const struct roster_entry *entry)
{
  return entry->role == ROLE_SHARD && entry->alive && !entry->leaving;
}

uint64_t
roster_node (const struct roster_entry *entry)
{
  return XXH3_64bits_withSeed (&entry->id, sizeof entry->id,
                               entry->incarnation)
         | 1;
}

size_t
roster_shard_nodes (const struct roster *roster, uint64_t *nodes, size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < roster->count && count < max; i++)
    if (is_live_shard (&roster->entries[i]))
      nodes[count++] = roster_node (&roster->entries[i]);
  return count;
}

const struct roster_entry *
roster_by_node (const struct roster *roster, uint64_t node)
{
  for (size_t i = 0; i < roster->count; i++)
    if (is_live_shard (&roster->entries[i])
        && roster_node (&roster->entries[i]) == node)
      return &roster->entries[i];
  return NULL;
}

const struct roster_entry *
roster_shard (const struct roster *roster, const void *key, size_t size)
{
  const struct roster_entry *best = NULL;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *entry = &roster->entries[i];
      uint64_t weight;

      if (!is_live_shard (entry))
        continue;
      weight = rendezvous_weight (entry->id, key, size);
      if (best == NULL || weight > best_weight)
        {
          best = entry;
          best_weight = weight;
        }
    }
  return best;
}
