#include "fake-members.h"
#include "roster.h"

#include <string.h>

#define DELAY_MIN_NS (200 * NS_PER_US)
#define DELAY_FAR_NS (20 * NS_PER_MS)
#define FIRST_INCARNATION 1000

static const struct conffetch_settings spread_settings
    = { .first_delay_max_ns = 50 * NS_PER_MS, .retry_delay_max_ns = NS_PER_S };

enum event_kind
{
  WAKE,
  DATAGRAM,
  FETCHED
};

struct event_item
{
  int64_t at_ns;
  uint64_t order;
  size_t index;
  uint64_t incarnation; /* FETCHED: of the asker */
  uint64_t revision;    /* FETCHED: that came */
  uint8_t *bytes;
  size_t size;
  enum event_kind kind;
};

static bool
is_before (const struct event_item *a, const struct event_item *b)
{
  return a->at_ns != b->at_ns ? a->at_ns < b->at_ns : a->order < b->order;
}

static void
heap_push (struct fake_members *net, struct event_item item)
{
  struct event_item *items;
  guint at = net->heap->len;

  item.order = net->order++;
  g_array_append_val (net->heap, item);
  items = (struct event_item *)(void *)net->heap->data;
  while (at > 0 && is_before (&item, &items[(at - 1) / 2]))
    {
      items[at] = items[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  items[at] = item;
}

static struct event_item
heap_pop (struct fake_members *net)
{
  struct event_item *items = (struct event_item *)(void *)net->heap->data;
  struct event_item top = items[0], last = items[net->heap->len - 1];
  guint at = 0, child, len = net->heap->len - 1;

  while ((child = 2 * at + 1) < len)
    {
      if (child + 1 < len && is_before (&items[child + 1], &items[child]))
        child++;
      if (!is_before (&items[child], &last))
        break;
      items[at] = items[child];
      at = child;
    }
  items[at] = last;
  g_array_set_size (net->heap, len);
  return top;
}

static void
plan_wake (struct fake_member *fake)
{
  struct event_item item = { 0 };
  int64_t next = member_next_due_ns (&fake->member);

  next = MIN (next, conffetch_next_tick_ns (&fake->spread));
  next = MAX (next, fake->net->now_ns + NS_PER_US);
  if (fake->wake_ns > fake->net->now_ns && fake->wake_ns <= next)
    return;
  fake->wake_ns = next;
  item.at_ns = next;
  item.index = (size_t)(fake - fake->net->members);
  item.kind = WAKE;
  heap_push (fake->net, item);
}

static int64_t
delay_ns (struct fake_members *net, const struct fake_member *a,
          const struct fake_member *b)
{
  int64_t span = a->centre == b->centre ? NS_PER_MS : DELAY_FAR_NS;

  return DELAY_MIN_NS + (int64_t)rng_below (&net->rng, (uint64_t)span);
}

static bool
passes (const struct fake_members *net, const struct fake_member *a,
        const struct fake_member *b)
{
  bool touches_lost = net->lost_centre >= 0 && a->centre != b->centre
                      && ((int)a->centre == net->lost_centre
                          || (int)b->centre == net->lost_centre);

  return b->running && !touches_lost
         && !(net->apart && a->region != b->region);
}

static void
on_send (void *data, const char *address, const uint8_t *bytes, size_t size)
{
  struct fake_member *fake = data, *to;
  struct fake_members *net = fake->net;
  struct event_item item = { .kind = DATAGRAM, .size = size };

  fake->bytes += size;
  fake->messages++;
  to = g_hash_table_lookup (net->by_address, address);
  if (to == NULL || !passes (net, fake, to)
      || rng_uniform (&net->rng) < net->loss)
    return;
  item.at_ns = net->now_ns + delay_ns (net, fake, to);
  item.index = (size_t)(to - net->members);
  item.bytes = g_memdup2 (bytes, size);
  heap_push (net, item);
}

static void
on_changed (void *data, const struct member_row *row)
{
  struct fake_member *fake = data;

  fake->deaths += row->state == MEMBER_DEAD;
  if (fake->net->keep_told)
    g_hash_table_replace (fake->told, g_memdup2 (&row->id, sizeof row->id),
                          GSIZE_TO_POINTER (row->state));
  if (row->state <= MEMBER_SUSPECT)
    conffetch_revision_announced (&fake->spread, row->peer_address,
                                  row->revision);
}

static void
on_signed_out (void *data, const char *server, const char *seen_by)
{
  ((struct fake_member *)data)->signs++;
}

static const struct member_ops member_ops
    = { on_send, on_changed, on_signed_out };

static uint64_t
revision_of (void *data)
{
  return ((struct fake_member *)data)->revision;
}

static const char *
peer_of (void *data, uint64_t revision)
{
  struct fake_member *fake = data;
  const struct member_row *row
      = member_find_newer_revision (&fake->member, revision);

  return row == NULL ? NULL : row->peer_address;
}

/* A fetch by TCP: there and back. */
static void
on_fetch (void *data, const char *address, uint64_t since)
{
  struct fake_member *fake = data;
  struct fake_members *net = fake->net;
  struct fake_member *to = g_hash_table_lookup (net->by_address, address);
  struct event_item item = { .kind = FETCHED };

  item.index = (size_t)(fake - net->members);
  item.incarnation = fake->incarnation;
  item.at_ns = net->now_ns + NS_PER_S;
  if (to != NULL && passes (net, fake, to))
    {
      item.at_ns = net->now_ns + 4 * delay_ns (net, fake, to) + net->adopt_ns;
      fake->bytes += net->fetch_bytes;
      to->bytes += net->fetch_bytes;
      item.revision = to->revision;
    }
  heap_push (net, item);
}

static const struct conffetch_ops spread_ops
    = { revision_of, on_fetch, peer_of };

static void
fill_row (const struct fake_members *net, size_t index, const char *name,
          struct member_row *row)
{
  const struct fake_member *fake = &net->members[index];

  memset (row, 0, sizeof *row);
  g_snprintf (row->name, sizeof row->name, "process-%zu", index);
  if (name != NULL)
    g_strlcpy (row->name, name, sizeof row->name);
  g_snprintf (row->data_centre, sizeof row->data_centre, "centre-%u",
              fake->centre);
  g_snprintf (row->peer_address, sizeof row->peer_address, "10.%zu.%zu.1:7000",
              index / 256, index % 256);
  g_snprintf (row->http_address, sizeof row->http_address, "10.%zu.%zu.1:8000",
              index / 256, index % 256);
  row->id = roster_id_from_name (row->name);
  row->incarnation = fake->incarnation;
}

void
fake_members_start (struct fake_members *net, size_t index, const char *name)
{
  struct fake_member *fake = &net->members[index];
  const char *seeds[] = { "10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000" };
  struct member_row row;

  fake->incarnation++;
  fake->revision = 0;
  fake->running = true;
  fill_row (net, index, name, &row);
  rng_init (&fake->rng, rng_next (&net->rng));
  clock_fake_init (&fake->clock, net->now_ns);
  member_init (&fake->member, net->settings, &row, &fake->clock.clock,
               &fake->rng, &member_ops, fake);
  member_set_seeds (&fake->member, seeds, 3);
  fake->told
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  conffetch_init (&fake->spread, &spread_settings, &fake->clock.clock,
                  &fake->rng, &spread_ops, fake);
  fake->wake_ns = 0;
  g_hash_table_replace (net->by_address, g_strdup (row.peer_address), fake);
  plan_wake (fake);
}

void
fake_members_kill (struct fake_members *net, size_t index)
{
  net->members[index].running = false;
  g_hash_table_unref (net->members[index].told);
  member_finish (&net->members[index].member);
}

void
fake_members_init (struct fake_members *net, size_t count, unsigned centres,
                   uint64_t seed, const struct member_settings *settings)
{
  memset (net, 0, sizeof *net);
  net->members = g_new0 (struct fake_member, count);
  net->count = count;
  net->centres = centres;
  net->now_ns = NS_PER_S;
  net->lost_centre = -1;
  net->settings = settings;
  net->heap = g_array_new (FALSE, TRUE, sizeof (struct event_item));
  net->by_address
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  rng_init (&net->rng, seed);
  for (size_t i = 0; i < count; i++)
    {
      net->members[i].net = net;
      net->members[i].centre = (unsigned)(i % centres);
      net->members[i].region = net->members[i].centre * 2 / centres;
      net->members[i].incarnation = FIRST_INCARNATION;
      fake_members_start (net, i, NULL);
    }
}

void
fake_members_finish (struct fake_members *net)
{
  while (net->heap->len > 0)
    g_free (heap_pop (net).bytes);
  for (size_t i = 0; i < net->count; i++)
    if (net->members[i].running)
      fake_members_kill (net, i);
  g_array_unref (net->heap);
  g_hash_table_unref (net->by_address);
  g_free (net->members);
}

void
fake_members_introduce (struct fake_members *net)
{
  for (size_t i = 0; i < net->count; i++)
    for (size_t j = 0; j < net->count; j++)
      if (i != j)
        member_merge_row (&net->members[i].member,
                          &net->members[j].member.self);
  for (size_t i = 0; i < net->count; i++)
    {
      struct member *member = &net->members[i].member;

      while (!list_empty (&member->update_queue))
        list_pop (&member->update_queue);
      member->pull_full_rows = false;
    }
}

static void
handle (struct fake_members *net, struct event_item *item)
{
  struct fake_member *fake = &net->members[item->index];

  if (!fake->running)
    return;
  if (fake->stopped_until_ns > net->now_ns)
    {
      item->at_ns = fake->stopped_until_ns;
      heap_push (net, *item);
      item->bytes = NULL;
      return;
    }
  fake->clock.now_ns = net->now_ns;
  if (item->kind == WAKE && item->at_ns < fake->wake_ns)
    return;
  if (item->kind == DATAGRAM)
    {
      fake->bytes += item->size;
      fake->messages++;
      member_receive (&fake->member, item->bytes, item->size);
    }
  else if (item->kind == FETCHED && item->incarnation == fake->incarnation)
    {
      if (item->revision > fake->revision)
        fake_members_configure (net, item->index, item->revision);
      conffetch_completed (
          &fake->spread, item->revision == 0 ? STATUS_UNAVAILABLE : STATUS_OK);
    }
  member_tick (&fake->member);
  conffetch_tick (&fake->spread);
  plan_wake (fake);
}

void
fake_members_run (struct fake_members *net, int64_t span_ns)
{
  int64_t end_ns = net->now_ns + span_ns;

  while (net->heap->len > 0)
    {
      struct event_item item = g_array_index (net->heap, struct event_item, 0);

      if (item.at_ns > end_ns)
        break;
      item = heap_pop (net);
      net->now_ns = item.at_ns;
      handle (net, &item);
      g_free (item.bytes);
    }
  net->now_ns = end_ns;
}

void
fake_members_configure (struct fake_members *net, size_t index,
                        uint64_t revision)
{
  struct fake_member *fake = &net->members[index];

  fake->clock.now_ns = net->now_ns;
  fake->revision = revision;
  member_set_revision (&fake->member, revision);
  plan_wake (fake);
}

static size_t
untold (const struct fake_member *fake)
{
  const GPtrArray *entries = fake->member.table.entries;
  size_t count = 0;

  for (guint i = 0; fake->net->keep_told && i < entries->len; i++)
    {
      const struct member_row *row
          = &((struct member_entry *)entries->pdata[i])->row;

      count += GPOINTER_TO_SIZE (g_hash_table_lookup (fake->told, &row->id))
               != row->state;
    }
  return count;
}

size_t
fake_members_wrong (const struct fake_members *net)
{
  size_t wrong = 0;

  for (size_t i = 0; i < net->count; i++)
    {
      const struct membertable *table = &net->members[i].member.table;
      size_t right = 0;

      if (!net->members[i].running)
        continue;
      for (size_t j = 0; j < net->count; j++)
        {
          const struct member_row *row = &net->members[j].member.self;
          const struct member_entry *entry;

          if (i == j || !net->members[j].running)
            continue;
          entry = membertable_find (table, row->id);
          if (entry == NULL || entry->row.state != MEMBER_ALIVE
              || entry->row.incarnation != row->incarnation)
            wrong++;
          else
            right++;
        }
      wrong += untold (&net->members[i]);
      wrong += table->live_count > right ? table->live_count - right : 0;
    }
  return wrong;
}

size_t
fake_members_with_revision (const struct fake_members *net, uint64_t revision)
{
  size_t count = 0;

  for (size_t i = 0; i < net->count; i++)
    count += net->members[i].running && net->members[i].revision >= revision;
  return count;
}
