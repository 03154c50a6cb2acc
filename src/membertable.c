#include "membertable.h"

#include <string.h>

const char *
member_state_name (enum member_state state)
{
  static const char *const names[] = { "alive", "suspect", "dead", "left" };

  return names[state];
}

void
membertable_init (struct membertable *table, uint64_t self_id)
{
  memset (table, 0, sizeof *table);
  table->self_id = self_id;
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
membertable_find_address (const struct membertable *table,
                          const char *peer_address)
{
  return g_hash_table_lookup (table->by_address, peer_address);
}

static struct member_group *
find_or_add_group (const struct membertable *table, const char *data_centre)
{
  struct member_group group = { 0 };

  for (guint i = 0; i < table->groups->len; i++)
    {
      struct member_group *existing
          = &g_array_index (table->groups, struct member_group, i);

      if (strcmp (existing->data_centre, data_centre) == 0)
        return existing;
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
  array = find_or_add_group (table, entry->row.data_centre)->live;
  if (live)
    {
      entry->group_index = array->len;
      g_ptr_array_add (array, entry);
      table->live_count++;
      return;
    }
  g_ptr_array_remove_index_fast (array, entry->group_index);
  if (entry->group_index < array->len)
    ((struct member_entry *)array->pdata[entry->group_index])->group_index
        = entry->group_index;
  table->live_count--;
}

/* Move ENTRY to the lists of its state, which began at NOW_NS. */
static void
update_state_lists (struct membertable *table, struct member_entry *entry,
                    int64_t now_ns)
{
  enum member_state state = entry->row.state;

  entry->state_since_ns = now_ns;
  list_remove (&entry->state_node);
  if (state == MEMBER_SUSPECT)
    list_append (&table->suspects, &entry->state_node);
  else if (state != MEMBER_ALIVE)
    list_append (&table->dead, &entry->state_node);
  set_live (table, entry, state <= MEMBER_SUSPECT);
}

/* Record ENTRY as the process at its peer address. If another process has
 * the same address, the one with the higher incarnation has replaced the
 * other, which is marked MEMBER_LEFT. */
static void
claim_address (struct membertable *table, struct member_entry *entry,
               int64_t now_ns)
{
  struct member_entry *other
      = membertable_find_address (table, entry->row.peer_address);

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
      update_state_lists (table, other, now_ns);
      table->replaced = other;
    }
  g_hash_table_insert (table->by_address, entry->row.peer_address, entry);
}

static void
release_address (struct membertable *table, struct member_entry *entry)
{
  if (membertable_find_address (table, entry->row.peer_address) == entry)
    g_hash_table_remove (table->by_address, entry->row.peer_address);
}

static struct member_entry *
add_entry (struct membertable *table, uint64_t id)
{
  struct member_entry *entry = g_new0 (struct member_entry, 1);

  entry->row.id = id;
  entry->table_index = table->entries->len;
  list_init (&entry->update_node);
  list_init (&entry->state_node);
  g_ptr_array_add (table->entries, entry);
  g_hash_table_insert (table->by_id, &entry->row.id, entry);
  return entry;
}

/* @return a number below 0 if A is older than B, above 0 if A is newer. */
static int
compare_rows (const struct member_row *a, const struct member_row *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation < b->incarnation ? -1 : 1;
  if (a->version != b->version)
    return a->version < b->version ? -1 : 1;
  return (int)a->state - (int)b->state;
}

/* Store ROW in ENTRY, which is new or has a row of an older run of the
 * process. */
static enum status
replace_run (struct membertable *table, struct member_entry *entry,
             const struct member_row *row, int64_t now_ns)
{
  set_live (table, entry, false);
  release_address (table, entry);
  entry->row = *row;
  claim_address (table, entry, now_ns);
  update_state_lists (table, entry, now_ns);
  return STATUS_OK;
}

enum status
membertable_merge (struct membertable *table, const struct member_row *row,
                   int64_t now_ns, struct member_entry **changed)
{
  struct member_entry *entry = membertable_find (table, row->id);
  bool newer_revision;
  int comparison;

  *changed = entry;
  table->replaced = NULL;
  if (entry == NULL && row->state > MEMBER_SUSPECT)
    return STATUS_STALE;
  if (entry == NULL || row->incarnation > entry->row.incarnation)
    {
      if (row->name[0] == '\0')
        return STATUS_NOT_FOUND;
      if (entry == NULL && table->entries->len >= MEMBER_ENTRIES_MAX)
        return STATUS_LIMITED;
      if (entry == NULL)
        *changed = entry = add_entry (table, row->id);
      return replace_run (table, entry, row, now_ns);
    }
  if (row->incarnation < entry->row.incarnation)
    return STATUS_STALE;
  newer_revision = row->revision > entry->row.revision;
  if (newer_revision)
    entry->row.revision = row->revision;
  comparison = compare_rows (row, &entry->row);
  if (comparison <= 0)
    return newer_revision ? STATUS_OK : STATUS_STALE;
  entry->row.version = row->version;
  entry->row.leaving = row->leaving;
  if (entry->row.state != row->state)
    {
      entry->row.state = row->state;
      update_state_lists (table, entry, now_ns);
    }
  return STATUS_OK;
}

void
membertable_remove (struct membertable *table, struct member_entry *entry)
{
  set_live (table, entry, false);
  release_address (table, entry);
  list_remove (&entry->update_node);
  list_remove (&entry->state_node);
  g_hash_table_remove (table->by_id, &entry->row.id);
  g_ptr_array_remove_index_fast (table->entries, entry->table_index);
  if (entry->table_index < table->entries->len)
    ((struct member_entry *)table->entries->pdata[entry->table_index])
        ->table_index
        = entry->table_index;
  g_free (entry);
}

struct member_entry *
membertable_pick (const struct membertable *table, struct rng *rng,
                  const char *data_centre, bool local)
{
  const struct member_group *local_group
      = find_or_add_group (table, data_centre);
  size_t count = local ? local_group->live->len
                       : table->live_count - local_group->live->len;
  size_t index;

  if (count == 0)
    return NULL;
  index = rng_below (rng, count);
  if (local)
    return local_group->live->pdata[index];
  for (guint i = 0; i < table->groups->len; i++)
    {
      const struct member_group *group
          = &g_array_index (table->groups, struct member_group, i);

      if (group == local_group)
        continue;
      if (index < group->live->len)
        return group->live->pdata[index];
      index -= group->live->len;
    }
  return NULL;
}
