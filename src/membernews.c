#include "membernews.h"
#include "membersign.h"

#include <assert.h>

enum
{
  SENDS_FACTOR = 3 /* of a row, for each factor 10 of the fleet */
};

static unsigned
log_of (size_t count, size_t base)
{
  unsigned power = 1;

  while (count >= base)
    {
      count /= base;
      power++;
    }
  return power;
}

static uint8_t
sends_of (const struct member *member)
{
  return (uint8_t)(SENDS_FACTOR * log_of (member->table.live_count + 1, 10));
}

int64_t
membernews_suspect_span (const struct member *member)
{
  return member->settings->suspect_ns
         * log_of (member->table.live_count + 1, 10);
}

void
membernews_send (struct member *member, struct memberwire *wire,
                 const char *address)
{
  uint8_t bytes[MEMBER_DATAGRAM_MAX];
  size_t size = memberwire_pack (wire, bytes);

  assert (size > 0);
  member->budget -= (int64_t)size;
  member->ops->send (member->data, address, bytes, size);
}

bool
membernews_may_send (struct member *member)
{
  int64_t now = clock_now (member->clock);
  int64_t rate = member->settings->bytes_per_s;
  int64_t gain = (now - member->last_fill_ns) / NS_PER_MS * rate / 1000;

  if (gain > 0)
    {
      member->budget = MIN (member->budget + gain, MEMBER_BURST_S * rate);
      member->last_fill_ns = now;
    }
  return member->budget > 0;
}

void
membernews_fill (struct member *member, struct memberwire *wire, size_t limit)
{
  struct list sent;

  membersign_fill (member, wire, limit);
  list_init (&sent);
  while (membernews_may_send (member) && !list_empty (&member->queue))
    {
      struct member_entry *entry
          = LIST_ENTRY (member->queue.next, struct member_entry, queued);

      if (!memberwire_add_row (wire, &entry->row, entry->fresh, limit))
        break;
      list_remove (&entry->queued);
      if (--entry->sends_left > 0)
        list_append (&sent, &entry->queued);
    }
  while (!list_empty (&sent))
    list_append (&member->queue, list_pop (&sent));
}

void
membernews_probe (struct member *member, const char *address,
                  const struct member_entry *target, uint64_t sequence)
{
  struct memberwire wire;

  memberwire_init (&wire, MEMBER__KIND__PROBE, &member->self);
  wire.datagram.sequence = sequence;
  /* One that is held for dead must hear that, to refute it. */
  if (target != NULL)
    {
      wire.datagram.target = target->row.id;
      if (target->row.state != MEMBER_ALIVE)
        memberwire_add_row (&wire, &target->row, false, MEMBER_DATAGRAM_MAX);
    }
  membernews_fill (member, &wire, MEMBER_DATAGRAM_MAX);
  membernews_send (member, &wire, address);
}

struct member_entry *
membernews_pick (struct member *member)
{
  const char *centre = member->self.data_centre;
  bool near = rng_below (member->rng, member->settings->far_share) != 0;
  struct member_entry *entry
      = membertable_pick (&member->table, member->rng, centre, near);

  if (entry == NULL)
    entry = membertable_pick (&member->table, member->rng, centre, !near);
  return entry;
}

void
membernews_urgent (struct member *member)
{
  int64_t soon_ns
      = clock_now (member->clock)
        + (int64_t)rng_below (member->rng,
                              (uint64_t)member->settings->spread_ns / 10 + 1);

  if (member->urgent == 0 && member->next_spread_ns < soon_ns)
    member->next_spread_ns = soon_ns;
  member->urgent = MEMBER_ROUNDS;
}

static void
enqueue (struct member *member, struct member_entry *entry)
{
  list_remove (&entry->queued);
  entry->sends_left = sends_of (member);
  list_prepend (&member->queue, &entry->queued);
}

/* Someone holds this process for what it is not: the next version says. */
static void
refute (struct member *member, const struct member_row *row)
{
  if (row->incarnation != member->self.incarnation
      || row->version < member->self.version
      || (row->state == MEMBER_ALIVE && row->version == member->self.version)
      || member->self.state == MEMBER_LEFT)
    return;
  member->self.version = row->version + 1;
  membernews_urgent (member);
}

/* What a mutant makes of a row: any run counts as the one that is known. */
static void
forget_run (const struct member *member, struct member_row *row)
{
  const struct member_entry *known
      = membertable_find (&member->table, row->id);

  if (known != NULL)
    row->incarnation = known->row.incarnation;
}

enum status
membernews_take (struct member *member, const struct member_row *heard)
{
  struct member_row row = *heard;
  struct member_entry *entry;
  struct member_row before = { 0 };
  enum status status;

  if (row.id == member->self.id)
    {
      refute (member, &row);
      return STATUS_STALE;
    }
  if (member->settings->without_incarnation)
    forget_run (member, &row);
  entry = membertable_find (&member->table, row.id);
  if (entry != NULL)
    before = entry->row;
  status = membertable_merge (&member->table, &row, clock_now (member->clock),
                              &entry);
  if (status != STATUS_OK)
    return status;
  member->ops->changed (member->data, &entry->row);
  if (member->table.replaced != NULL)
    {
      enqueue (member, member->table.replaced);
      member->ops->changed (member->data, &member->table.replaced->row);
    }
  if (before.incarnation == entry->row.incarnation
      && before.version == entry->row.version
      && before.state == entry->row.state)
    return STATUS_STALE;
  entry->fresh = before.incarnation != entry->row.incarnation
                 || (entry->fresh && entry->row.state == MEMBER_ALIVE);
  enqueue (member, entry);
  if (entry->row.leaving && !before.leaving)
    membernews_urgent (member);
  return STATUS_OK;
}

void
membernews_set_state (struct member *member, struct member_entry *entry,
                      enum member_state state)
{
  struct member_row row = entry->row;

  row.state = state;
  membernews_take (member, &row);
}
