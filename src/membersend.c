#include "membersend.h"
#include "membersign.h"

#include <assert.h>

enum
{
  SENDS_FACTOR = 3 /* of a row, for each factor 10 of the fleet */
};

unsigned
membersend_log (size_t count, size_t base)
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
  return (uint8_t)(SENDS_FACTOR
                   * membersend_log (member->table.live_count + 1, 10));
}

/* Whether there are bytes for what can wait. */
bool
membersend_allowed (struct member *member)
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
membersend_wire (struct member *member, struct memberwire *wire,
                 const char *address)
{
  uint8_t bytes[MEMBER_DATAGRAM_MAX];
  size_t size = memberwire_pack (wire, bytes);

  assert (size > 0);
  member->budget -= (int64_t)size;
  member->ops->send (member->data, address, bytes, size);
}

/* Fill WIRE with what is to be spread, the newest first. */
void
membersend_news (struct member *member, struct memberwire *wire, size_t limit)
{
  struct list sent;

  membersign_fill (member, wire, limit);
  list_init (&sent);
  while (membersend_allowed (member) && !list_empty (&member->queue))
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
membersend_probe (struct member *member, const char *address,
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
  membersend_news (member, &wire, MEMBER_DATAGRAM_MAX);
  membersend_wire (member, &wire, address);
}

struct member_entry *
membersend_pick (struct member *member)
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
membersend_urgent (struct member *member)
{
  int64_t soon_ns
      = clock_now (member->clock)
        + (int64_t)rng_below (member->rng,
                              (uint64_t)member->settings->spread_ns / 10 + 1);

  if (member->urgent == 0 && member->next_spread_ns < soon_ns)
    member->next_spread_ns = soon_ns;
  member->urgent = MEMBER_ROUNDS;
}

void
membersend_queue (struct member *member, struct member_entry *entry)
{
  list_remove (&entry->queued);
  entry->sends_left = sends_of (member);
  list_prepend (&member->queue, &entry->queued);
}

void
membersend_page (struct member *member, const struct member_row *from,
                 const Member__Datagram *datagram)
{
  const GPtrArray *entries = member->table.entries;
  struct memberwire wire;
  guint at = entries->len == 0 ? 0 : datagram->cursor % entries->len;

  if (!membersend_allowed (member))
    return;
  memberwire_init (&wire, MEMBER__KIND__PAGE, &member->self);
  while (at < entries->len)
    {
      const struct member_entry *entry = entries->pdata[at];

      if (!memberwire_add_row (&wire, &entry->row, datagram->whole,
                               MEMBER_DATAGRAM_MAX))
        break;
      at++;
    }
  wire.datagram.cursor = at < entries->len ? at : 0;
  wire.datagram.whole = datagram->whole;
  membersend_wire (member, &wire, from->peer_address);
}
