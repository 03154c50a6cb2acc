#include "memberreceive.h"
#include "memberupdate.h"

/* @return whether any row changed the table. */
static bool
merge_rows (struct member *member, const Member__Datagram *datagram)
{
  bool changed = false;

  for (size_t i = 0; i < datagram->n_rows; i++)
    {
      struct member_row row;
      enum status status;

      if (!memberwire_unpack_row (datagram->rows[i], &row))
        continue;
      status = memberupdate_merge (member, &row);
      if (status == STATUS_NOT_FOUND)
        member->pull_full_rows = true;
      changed = changed || status == STATUS_OK || status == STATUS_NOT_FOUND;
    }
  return changed;
}

static void
reply_to_probe (struct member *member, const struct member_row *from,
                const Member__Datagram *datagram)
{
  const struct member_entry *entry
      = membertable_find (&member->table, from->id);
  struct memberwire wire;

  if (datagram->target != 0 && datagram->target != member->self.id)
    return;
  memberwire_init (&wire, MEMBER__KIND__ANSWER, &member->self);
  wire.datagram.sequence = datagram->sequence;
  if (entry != NULL && entry->row.state != MEMBER_ALIVE)
    memberwire_add_row (&wire, &entry->row, false, MEMBER_DATAGRAM_MAX);
  memberupdate_add_queued (member, &wire, MEMBER_DATAGRAM_MAX);
  memberupdate_send (member, &wire, from->peer_address);
}

static void
receive_reply (struct member *member, const Member__Datagram *datagram)
{
  struct memberwire wire;

  if (datagram->sequence == member->probe_sequence)
    {
      member->probe_target_id = 0;
      return;
    }
  for (unsigned i = 0; i < MEMBER_RELAYS_MAX; i++)
    {
      struct member_relay *relay = &member->relays[i];

      if (relay->sequence == 0 || relay->sequence != datagram->sequence)
        continue;
      relay->sequence = 0;
      memberwire_init (&wire, MEMBER__KIND__ANSWER, &member->self);
      wire.datagram.sequence = relay->requester_sequence;
      memberupdate_send (member, &wire, relay->requester_address);
    }
}

static void
relay_probe (struct member *member, const struct member_row *from,
             const Member__Datagram *datagram)
{
  const struct member_entry *target
      = membertable_find (&member->table, datagram->target);
  struct member_relay *relay
      = &member->relays[member->next_relay++ % MEMBER_RELAYS_MAX];

  if (target == NULL)
    return;
  relay->sequence = ++member->sequence;
  relay->requester_sequence = datagram->sequence;
  g_strlcpy (relay->requester_address, from->peer_address,
             sizeof relay->requester_address);
  memberupdate_send_probe (member, target->row.peer_address, target,
                           relay->sequence);
}

static void
send_page (struct member *member, const struct member_row *from,
           const Member__Datagram *datagram)
{
  const GPtrArray *entries = member->table.entries;
  struct memberwire wire;
  guint at = entries->len == 0 ? 0 : datagram->cursor % entries->len;

  if (!memberupdate_has_budget (member))
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
  memberupdate_send (member, &wire, from->peer_address);
}

/* If a received page changed the table, the next page is pulled soon and
 * from the same peer. */
static void
receive_page (struct member *member, const struct member_row *from,
              const Member__Datagram *datagram, bool changed)
{
  int64_t now = clock_now (member->clock);

  if (!changed)
    {
      member->pull_address[0] = '\0';
      member->pull_full_rows = false;
      return;
    }
  if (datagram->whole || !member->pull_full_rows)
    member->pull_cursor = datagram->cursor;
  g_strlcpy (member->pull_address, from->peer_address,
             sizeof member->pull_address);
  member->next_pull_ns = now + member->settings->pull_fast_interval_ns;
}

void
memberreceive_datagram (struct member *member, const struct member_row *from,
                        const Member__Datagram *datagram)
{
  bool changed = merge_rows (member, datagram);

  switch (datagram->kind)
    {
    case MEMBER__KIND__PROBE:
      reply_to_probe (member, from, datagram);
      break;
    case MEMBER__KIND__ANSWER:
      receive_reply (member, datagram);
      break;
    case MEMBER__KIND__PROBE_FOR:
      relay_probe (member, from, datagram);
      break;
    case MEMBER__KIND__PULL:
      send_page (member, from, datagram);
      break;
    case MEMBER__KIND__PAGE:
      receive_page (member, from, datagram, changed);
      break;
    default:
      break;
    }
}
