#include "memberanswer.h"
#include "membernews.h"

/* @return whether any row held something new. */
static bool
take_rows (struct member *member, const Member__Datagram *datagram)
{
  bool news = false;

  for (size_t i = 0; i < datagram->n_rows; i++)
    {
      struct member_row row;
      enum status status;

      if (!memberwire_row (datagram->rows[i], &row))
        continue;
      status = membernews_take (member, &row);
      if (status == STATUS_NOT_FOUND)
        member->pull_whole = true;
      news = news || status == STATUS_OK || status == STATUS_NOT_FOUND;
    }
  return news;
}

static void
answer_probe (struct member *member, const struct member_row *from,
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
  membernews_fill (member, &wire, MEMBER_DATAGRAM_MAX);
  membernews_send (member, &wire, from->peer_address);
}

static void
take_answer (struct member *member, const Member__Datagram *datagram)
{
  struct memberwire wire;

  if (datagram->sequence == member->probe_sequence)
    {
      member->probe_target = 0;
      return;
    }
  for (unsigned i = 0; i < MEMBER_RELAYS; i++)
    {
      struct member_relay *relay = &member->relays[i];

      if (relay->sequence == 0 || relay->sequence != datagram->sequence)
        continue;
      relay->sequence = 0;
      memberwire_init (&wire, MEMBER__KIND__ANSWER, &member->self);
      wire.datagram.sequence = relay->asked;
      membernews_send (member, &wire, relay->address);
    }
}

static void
probe_for (struct member *member, const struct member_row *from,
           const Member__Datagram *datagram)
{
  const struct member_entry *target
      = membertable_find (&member->table, datagram->target);
  struct member_relay *relay
      = &member->relays[member->next_relay++ % MEMBER_RELAYS];

  if (target == NULL)
    return;
  relay->sequence = ++member->sequence;
  relay->asked = datagram->sequence;
  g_strlcpy (relay->address, from->peer_address, sizeof relay->address);
  membernews_probe (member, target->row.peer_address, target, relay->sequence);
}

static void
send_page (struct member *member, const struct member_row *from,
           const Member__Datagram *datagram)
{
  const GPtrArray *entries = member->table.entries;
  struct memberwire wire;
  guint at = entries->len == 0 ? 0 : datagram->cursor % entries->len;

  if (!membernews_may_send (member))
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
  membernews_send (member, &wire, from->peer_address);
}

/* A page that brought news is followed by the next one of the same peer. */
static void
take_page (struct member *member, const struct member_row *from,
           const Member__Datagram *datagram, bool news)
{
  int64_t now = clock_now (member->clock);

  if (!news)
    {
      member->pull_address[0] = '\0';
      member->pull_whole = false;
      return;
    }
  if (datagram->whole || !member->pull_whole)
    member->pull_cursor = datagram->cursor;
  g_strlcpy (member->pull_address, from->peer_address,
             sizeof member->pull_address);
  member->next_pull_ns = now + member->settings->pull_news_ns;
}

void
memberanswer_take (struct member *member, const struct member_row *from,
                   const Member__Datagram *datagram)
{
  bool news = take_rows (member, datagram);

  switch (datagram->kind)
    {
    case MEMBER__KIND__PROBE:
      answer_probe (member, from, datagram);
      break;
    case MEMBER__KIND__ANSWER:
      take_answer (member, datagram);
      break;
    case MEMBER__KIND__PROBE_FOR:
      probe_for (member, from, datagram);
      break;
    case MEMBER__KIND__PULL:
      send_page (member, from, datagram);
      break;
    case MEMBER__KIND__PAGE:
      take_page (member, from, datagram, news);
      break;
    default:
      break;
    }
}
