#include "memberrank.h"
#include "rendezvous.h"

#include <string.h>

bool
member_first (const struct member *member, const char *key, unsigned count)
{
  const struct membertable *table = &member->table;
  size_t size = strlen (key);
  uint64_t own = rendezvous_weight (member->self.id, key, size);
  unsigned above = 0;

  for (guint i = 0; i < table->entries->len; i++)
    {
      const struct member_entry *entry = table->entries->pdata[i];

      if (entry->live && !entry->row.leaving
          && strcmp (entry->row.data_centre, member->self.data_centre) == 0
          && rendezvous_weight (entry->row.id, key, size) > own)
        above++;
    }
  return !member->self.leaving && above < count;
}

const struct member_row *
member_with_revision (const struct member *member, uint64_t revision)
{
  const GPtrArray *entries = member->table.entries;
  guint start = entries->len == 0 ? 0 : rng_below (member->rng, entries->len);

  for (guint i = 0; i < entries->len; i++)
    {
      const struct member_entry *entry
          = entries->pdata[(start + i) % entries->len];

      if (entry->live && entry->row.revision > revision)
        return &entry->row;
    }
  return NULL;
}
