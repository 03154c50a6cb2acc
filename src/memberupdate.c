#include "memberupdate.h"
#include "membernotice.h"

#include <assert.h>

enum
{
  SENDS_PER_DIGIT = 3 /* Number of times that a changed row is sent, per
                         decimal digit of the number of live processes. */
};

static unsigned
digit_count (size_t number, size_t base)
{
  unsigned digits = 1;

  while (number >= base)
    {
      number /= base;
      digits++;
    }
  return digits;
}

static uint8_t
send_count (const struct member *member)
{
  return (uint8_t)(SENDS_PER_DIGIT
                   * digit_count (member->table.live_count + 1, 10));
}

int64_t
memberupdate_suspect_timeout_ns (const struct member *member)
{
  return member->settings->suspect_timeout_ns
         * digit_count (member->table.live_count + 1, 10);
}

void
memberupdate_send (struct member *member, struct memberwire *wire,
                   const char *address)
{
  uint8_t bytes[MEMBER_DATAGRAM_MAX];
  size_t size = memberwire_pack (wire, bytes);

  assert (size > 0);
  member->budget_bytes -= (int64_t)size;
  member->ops->send (member->data, address, bytes, size);
}

bool
memberupdate_has_budget (struct member *member)
{
  int64_t now = clock_now (member->clock);
  int64_t rate = member->settings->bytes_per_s;
  int64_t gained = (now - member->budget_updated_ns) / NS_PER_MS * rate / 1000;

  if (gained > 0)
    {
      member->budget_bytes
          = MIN (member->budget_bytes + gained, MEMBER_BURST_S * rate);
      member->budget_updated_ns = now;
    }
  return member->budget_bytes > 0;
}

void
memberupdate_add_queued (struct member *member, struct memberwire *wire,
                         size_t limit)
{
  struct list sent;

  membernotice_write (member, wire, limit);
  list_init (&sent);
  while (memberupdate_has_budget (member)
         && !list_empty (&member->update_queue))
    {
      struct member_entry *entry = LIST_ENTRY (
          member->update_queue.next, struct member_entry, update_node);

      if (!memberwire_add_row (wire, &entry->row, entry->needs_full_row,
                               limit))
        break;
      list_remove (&entry->update_node);
      if (--entry->sends_left > 0)
        list_append (&sent, &entry->update_node);
    }
  while (!list_empty (&sent))
    list_append (&member->update_queue, list_pop (&sent));
}

void
memberupdate_send_probe (struct member *member, const char *address,
                         const struct member_entry *target, uint64_t sequence)
{
  struct memberwire wire;

  memberwire_init (&wire, MEMBER__KIND__PROBE, &member->self);
  wire.datagram.sequence = sequence;
  /* A process that is not considered alive has to receive its own row, so
   * that it can refute it. */
  if (target != NULL)
    {
      wire.datagram.target = target->row.id;
      if (target->row.state != MEMBER_ALIVE)
        memberwire_add_row (&wire, &target->row, false, MEMBER_DATAGRAM_MAX);
    }
  memberupdate_add_queued (member, &wire, MEMBER_DATAGRAM_MAX);
  memberupdate_send (member, &wire, address);
}

struct member_entry *
memberupdate_pick_peer (struct member *member)
{
  const char *data_centre = member->self.data_centre;
  bool local
      = rng_below (member->rng, member->settings->remote_pick_divisor) != 0;
  struct member_entry *entry
      = membertable_pick (&member->table, member->rng, data_centre, local);

  if (entry == NULL)
    entry
        = membertable_pick (&member->table, member->rng, data_centre, !local);
  return entry;
}

void
memberupdate_send_urgently (struct member *member)
{
  int64_t earliest_ns
      = clock_now (member->clock)
        + (int64_t)rng_below (
            member->rng,
            (uint64_t)member->settings->urgent_interval_ns / 10 + 1);

  if (member->urgent_rounds == 0 && member->next_urgent_ns < earliest_ns)
    member->next_urgent_ns = earliest_ns;
  member->urgent_rounds = MEMBER_URGENT_ROUNDS;
}

static void
enqueue (struct member *member, struct member_entry *entry)
{
  list_remove (&entry->update_node);
  entry->sends_left = send_count (member);
  list_prepend (&member->update_queue, &entry->update_node);
}

/* If ROW is a wrong row about this process, raise the version of this
 * process's own row above that of ROW, so that the own row wins. */
static void
refute (struct member *member, const struct member_row *row)
{
  if (row->incarnation != member->self.incarnation
      || row->version < member->self.version
      || (row->state == MEMBER_ALIVE && row->version == member->self.version)
      || member->self.state == MEMBER_LEFT)
    return;
  member->self.version = row->version + 1;
  memberupdate_send_urgently (member);
}

/* For tests (without_incarnation): treat ROW as if it belonged to the run in
 * the table. */
static void
ignore_incarnation (const struct member *member, struct member_row *row)
{
  const struct member_entry *entry
      = membertable_find (&member->table, row->id);

  if (entry != NULL)
    row->incarnation = entry->row.incarnation;
}

enum status
memberupdate_merge (struct member *member, const struct member_row *received)
{
  struct member_row row = *received;
  struct member_entry *entry;
  struct member_row before = { 0 };
  enum status status;

  if (row.id == member->self.id)
    {
      refute (member, &row);
      return STATUS_STALE;
    }
  if (member->settings->without_incarnation)
    ignore_incarnation (member, &row);
  entry = membertable_find (&member->table, row.id);
  if (entry != NULL)
    before = entry->row;
  status = membertable_merge (&member->table, &row, clock_now (member->clock),
                              &entry);
  if (status != STATUS_OK)
    return status;
  member->ops->row_changed (member->data, &entry->row);
  if (member->table.replaced != NULL)
    {
      enqueue (member, member->table.replaced);
      member->ops->row_changed (member->data, &member->table.replaced->row);
    }
  if (before.incarnation == entry->row.incarnation
      && before.version == entry->row.version
      && before.state == entry->row.state)
    return STATUS_STALE;
  entry->needs_full_row
      = before.incarnation != entry->row.incarnation
        || (entry->needs_full_row && entry->row.state == MEMBER_ALIVE);
  enqueue (member, entry);
  if (entry->row.leaving && !before.leaving)
    memberupdate_send_urgently (member);
  return STATUS_OK;
}

void
memberupdate_set_state (struct member *member, struct member_entry *entry,
                        enum member_state state)
{
  struct member_row row = entry->row;

  row.state = state;
  memberupdate_merge (member, &row);
}
