#include "membertable.h"

#include <string.h>

const char *
member_state_name (enum member_state state)
{
  static const char *const names[] = { "alive", "suspect", "dead", "left" };

  return names[state];
}

void
membertable_init (struct membertable *table, uint64_t self)
{
  memset (table, 0, sizeof *table);
  table->self = self;
  table->entries = g_ptr_array_new ();
  table->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  table->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  table->groups = g_array_new (FALSE, TRUE, sizeof (struct member_group));
  list_init (&table->suspects);
  list_init (&table->dead);
}

void
membertable_finish (struct membertable *table)
{
  for (guint i = 0; i < table->entries->len; i++)
    g_free (table->entries->pdata[i]);
  for (guint i = 0; i < table->groups->len; i++)
    g_ptr_array_unref (
        g_array_index (table->groups, struct member_group, i).live);
  g_ptr_array_unref (table->entries);
  g_array_unref (table->groups);
  g_hash_table_unref (table->by_id);
  g_hash_table_unref (table->by_address);
}

struct member_entry *
membertable_find (const struct membertable *table, uint64_t id)
{
  return g_hash_table_lookup (table->by_id, &id);
}

struct member_entry *
membertable_at (const struct membertable *table, const char *peer_address)
{
  return g_hash_table_lookup (table->by_address, peer_address);
}

static struct member_group *
group_of (const struct membertable *table, const char *data_centre)
{
  struct member_group group = { 0 };

  for (guint i = 0; i < table->groups->len; i++)
    {
      struct member_group *known
          = &g_array_index (table->groups, struct member_group, i);

      if (strcmp (known->data_centre, data_centre) == 0)
        return known;
    }
  g_strlcpy (group.data_centre, data_centre, sizeof group.data_centre);
  group.live = g_ptr_array_new ();
  g_array_append_val (table->groups, group);
  return &g_array_index (table->groups, struct member_group,
                         table->groups->len - 1);
}

static void
set_live (struct membertable *table, struct member_entry *entry, bool live)
{
  GPtrArray *array;

  if (entry->live == live)
    return;
  entry->live = live;
  array = group_of (table, entry->row.data_centre)->live;
  if (live)
    {
      entry->slot = array->len;
      g_ptr_array_add (array, entry);
      table->live_count++;
      return;
    }
  g_ptr_array_remove_index_fast (array, entry->slot);
  if (entry->slot < array->len)
    ((struct member_entry *)array->pdata[entry->slot])->slot = entry->slot;
  table->live_count--;
}

/* Put ENTRY on the lists that its state calls for. */
static void
file_entry (struct membertable *table, struct member_entry *entry,
            int64_t now_ns)
{
  enum member_state state = entry->row.state;

  entry->since_ns = now_ns;
  list_remove (&entry->timed);
  if (state == MEMBER_SUSPECT)
    list_append (&table->suspects, &entry->timed);
  else if (state != MEMBER_ALIVE)
    list_append (&table->dead, &entry->timed);
  set_live (table, entry, state <= MEMBER_SUSPECT);
}

/* A newer process at the same address has replaced the older one. */
static void
take_address (struct membertable *table, struct member_entry *entry,
              int64_t now_ns)
{
  struct member_entry *other = membertable_at (table, entry->row.peer_address);

  if (other == entry)
    return;
  if (other != NULL && other->row.incarnation > entry->row.incarnation)
    {
      entry->row.state = MEMBER_LEFT;
      return;
    }
  if (other != NULL)
    {
      g_hash_table_remove (table->by_address, other->row.peer_address);
      other->row.state = MEMBER_LEFT;
      file_entry (table, other, now_ns);
      table->replaced = other;
    }
  g_hash_table_insert (table->by_address, entry->row.peer_address, entry);
}

static void
release_address (struct membertable *table, struct member_entry *entry)
{
  if (membertable_at (table, entry->row.peer_address) == entry)
    g_hash_table_remove (table->by_address, entry->row.peer_address);
}

static struct member_entry *
add_entry (struct membertable *table, uint64_t id)
{
  struct member_entry *entry = g_new0 (struct member_entry, 1);

  entry->row.id = id;
  entry->place = table->entries->len;
  list_init (&entry->queued);
  list_init (&entry->timed);
  g_ptr_array_add (table->entries, entry);
  g_hash_table_insert (table->by_id, &entry->row.id, entry);
  return entry;
}

/* Below 0 if A is older than B, above 0 if newer. */
static int
compare_rows (const struct member_row *a, const struct member_row *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation < b->incarnation ? -1 : 1;
  if (a->version != b->version)
    return a->version < b->version ? -1 : 1;
  return (int)a->state - (int)b->state;
}

/* Another run of the process, or the first that is heard of. */
static enum status
take_run (struct membertable *table, struct member_entry *entry,
          const struct member_row *row, int64_t now_ns)
{
  set_live (table, entry, false);
  release_address (table, entry);
  entry->row = *row;
  take_address (table, entry, now_ns);
  file_entry (table, entry, now_ns);
  return STATUS_OK;
}

enum status
membertable_merge (struct membertable *table, const struct member_row *row,
                   int64_t now_ns, struct member_entry **changed)
{
  struct member_entry *entry = membertable_find (table, row->id);
  bool newer_revision;
  int order;

  *changed = entry;
  table->replaced = NULL;
  if (entry == NULL && row->state > MEMBER_SUSPECT)
    return STATUS_STALE;
  if (entry == NULL || row->incarnation > entry->row.incarnation)
    {
      if (row->name[0] == '\0')
        return STATUS_NOT_FOUND;
      if (entry == NULL && table->entries->len >= MEMBER_LIMIT)
        return STATUS_LIMITED;
      if (entry == NULL)
        *changed = entry = add_entry (table, row->id);
      return take_run (table, entry, row, now_ns);
    }
  if (row->incarnation < entry->row.incarnation)
    return STATUS_STALE;
  newer_revision = row->revision > entry->row.revision;
  if (newer_revision)
    entry->row.revision = row->revision;
  order = compare_rows (row, &entry->row);
  if (order <= 0)
    return newer_revision ? STATUS_OK : STATUS_STALE;
  entry->row.version = row->version;
  entry->row.leaving = row->leaving;
  if (entry->row.state != row->state)
    {
      entry->row.state = row->state;
      file_entry (table, entry, now_ns);
    }
  return STATUS_OK;
}

void
membertable_drop (struct membertable *table, struct member_entry *entry)
{
  set_live (table, entry, false);
  release_address (table, entry);
  list_remove (&entry->queued);
  list_remove (&entry->timed);
  g_hash_table_remove (table->by_id, &entry->row.id);
  g_ptr_array_remove_index_fast (table->entries, entry->place);
  if (entry->place < table->entries->len)
    ((struct member_entry *)table->entries->pdata[entry->place])->place
        = entry->place;
  g_free (entry);
}

struct member_entry *
membertable_pick (const struct membertable *table, struct rng *rng,
                  const char *data_centre, bool near)
{
  const struct member_group *own = group_of (table, data_centre);
  size_t count = near ? own->live->len : table->live_count - own->live->len;
  size_t index;

  if (count == 0)
    return NULL;
  index = rng_below (rng, count);
  if (near)
    return own->live->pdata[index];
  for (guint i = 0; i < table->groups->len; i++)
    {
      const struct member_group *group
          = &g_array_index (table->groups, struct member_group, i);

      if (group == own)
        continue;
      if (index < group->live->len)
        return group->live->pdata[index];
      index -= group->live->len;
    }
  return NULL;
}
