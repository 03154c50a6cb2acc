#include "member.h"
#include "memberanswer.h"
#include "membernews.h"
#include "membersign.h"
#include "rendezvous.h"

#include <assert.h>
#include <string.h>

enum
{
  SPREAD_BYTES = 400, /* of an urgent datagram */
  SUSPECTS_TRIED = 8  /* how many of the oldest suspects are probed in turn */
};

/* A gap between two ticks that shows that this process was stopped. */
#define STOPPED_NS (2 * NS_PER_S)

const struct member_settings member_settings_default = {
  .probe_ns = 500 * NS_PER_MS,
  .direct_ns = 200 * NS_PER_MS,
  .answer_ns = 450 * NS_PER_MS,
  .suspect_ns = 3 * NS_PER_S,
  .dead_probe_ns = 5 * NS_PER_S,
  .dead_keep_ns = 3600 * NS_PER_S,
  .pull_ns = NS_PER_S,
  .pull_news_ns = 100 * NS_PER_MS,
  .spread_ns = 300 * NS_PER_MS,
  .sign_life_ns = 10 * NS_PER_S,
  .bytes_per_s = 2500,
  .far_share = 4,
};

void
member_receive (struct member *member, const uint8_t *bytes, size_t size)
{
  Member__Datagram *datagram = memberwire_read (bytes, size);
  struct member_row from;

  if (datagram == NULL)
    return;
  if (memberwire_row (datagram->from, &from) && from.id != member->self.id)
    {
      membernews_take (member, &from);
      membersign_take (member, datagram);
      memberanswer_take (member, &from, datagram);
    }
  member__datagram__free_unpacked (datagram, NULL);
}

static void
ask_helpers (struct member *member)
{
  const struct member_entry *target
      = membertable_find (&member->table, member->probe_target);

  member->probe_helped = true;
  for (int i = 0; target != NULL && i < MEMBER_HELPERS; i++)
    {
      struct member_entry *helper = membernews_pick (member);
      struct memberwire wire;

      if (helper == NULL || helper == target)
        continue;
      memberwire_init (&wire, MEMBER__KIND__PROBE_FOR, &member->self);
      wire.datagram.sequence = member->probe_sequence;
      wire.datagram.target = target->row.id;
      membernews_send (member, &wire, helper->row.peer_address);
    }
}

static void
end_probe (struct member *member)
{
  struct member_entry *target
      = membertable_find (&member->table, member->probe_target);

  member->probe_target = 0;
  if (target == NULL || target->row.state != MEMBER_ALIVE)
    return;
  if (member->settings->without_suspicion)
    {
      membernews_set_state (member, target, MEMBER_DEAD);
      return;
    }
  membernews_set_state (member, target, MEMBER_SUSPECT);
  membernews_probe (member, target->row.peer_address, target,
                    ++member->sequence);
}

/* Every second probe goes to a suspect, which must hear of it to refute. */
static struct member_entry *
pick_target (struct member *member)
{
  struct list *suspects = &member->table.suspects;
  size_t skip = rng_below (member->rng, SUSPECTS_TRIED);
  struct list *at = suspects->next;

  if (list_empty (suspects) || rng_below (member->rng, 2) == 0)
    return membernews_pick (member);
  while (skip-- > 0 && at->next != suspects)
    at = at->next;
  return LIST_ENTRY (at, struct member_entry, timed);
}

static void
step_probe (struct member *member, int64_t now)
{
  int64_t waited = now - member->probe_began_ns;
  struct member_entry *target;

  if (member->probe_target != 0 && !member->probe_helped
      && waited >= member->settings->direct_ns)
    ask_helpers (member);
  if (member->probe_target != 0 && waited >= member->settings->answer_ns)
    end_probe (member);
  if (now < member->next_probe_ns)
    return;
  member->next_probe_ns
      = now + member->settings->probe_ns
        + (int64_t)rng_below (member->rng,
                              (uint64_t)member->settings->probe_ns / 10 + 1);
  target = pick_target (member);
  if (target == NULL)
    return;
  member->probe_target = target->row.id;
  member->probe_sequence = ++member->sequence;
  member->probe_began_ns = now;
  member->probe_helped = false;
  membernews_probe (member, target->row.peer_address, target,
                    member->probe_sequence);
}

static void
step_suspects (struct member *member, int64_t now)
{
  struct list *suspects = &member->table.suspects;
  int64_t span = membernews_suspect_span (member);

  while (!list_empty (suspects))
    {
      struct member_entry *entry
          = LIST_ENTRY (suspects->next, struct member_entry, timed);

      if (now - entry->since_ns < span)
        return;
      membernews_set_state (member, entry, MEMBER_DEAD);
    }
}

static void
probe_seed (struct member *member)
{
  const char *address;
  const struct member_entry *entry;

  if (member->seed_count == 0)
    return;
  address = member->seeds[member->next_seed++ % member->seed_count];
  entry = membertable_at (&member->table, address);
  if (strcmp (address, member->self.peer_address) != 0
      && (entry == NULL || !entry->live))
    membernews_probe (member, address, NULL, ++member->sequence);
}

/* The dead may live behind a cut; long dead ones are forgotten. */
static void
probe_dead (struct member *member, int64_t now)
{
  struct list *dead = &member->table.dead;
  struct member_entry *entry;

  if (list_empty (dead))
    return;
  entry = LIST_ENTRY (dead->next, struct member_entry, timed);
  if (now - entry->since_ns >= member->settings->dead_keep_ns)
    {
      membertable_drop (&member->table, entry);
      return;
    }
  list_remove (&entry->timed);
  list_append (dead, &entry->timed);
  if (entry->row.state == MEMBER_DEAD)
    membernews_probe (member, entry->row.peer_address, entry,
                      ++member->sequence);
}

static void
step_dead (struct member *member, int64_t now)
{
  bool alone = member->table.live_count == 0;

  if (now < member->next_dead_ns)
    return;
  member->next_dead_ns
      = now
        + (alone ? member->settings->probe_ns
                 : member->settings->dead_probe_ns)
        + (int64_t)rng_below (member->rng, (uint64_t)NS_PER_S / 10);
  for (int i = 0; i < (alone ? MEMBER_FANOUT : 1); i++)
    probe_seed (member);
  probe_dead (member, now);
}

static void
step_pull (struct member *member, int64_t now)
{
  const struct member_entry *peer;
  struct memberwire wire;
  const char *address = member->pull_address;

  if (now < member->next_pull_ns)
    return;
  if (!membernews_may_send (member))
    {
      member->next_pull_ns = now + member->settings->pull_news_ns;
      return;
    }
  member->next_pull_ns = now + member->settings->pull_ns;
  if (address[0] == '\0')
    {
      peer = membernews_pick (member);
      if (peer == NULL)
        return;
      address = peer->row.peer_address;
      member->pull_cursor
          = (uint32_t)rng_below (member->rng, member->table.entries->len + 1);
    }
  memberwire_init (&wire, MEMBER__KIND__PULL, &member->self);
  wire.datagram.cursor = member->pull_cursor;
  wire.datagram.whole = member->pull_whole;
  membernews_send (member, &wire, address);
  /* If the page is lost, another peer is asked. */
  member->pull_address[0] = '\0';
}

static void
step_spread (struct member *member, int64_t now)
{
  if (member->urgent == 0 || now < member->next_spread_ns)
    return;
  if (!membernews_may_send (member) && member->self.state != MEMBER_LEFT)
    {
      member->next_spread_ns = now + member->settings->pull_news_ns;
      return;
    }
  member->urgent--;
  member->next_spread_ns = now + member->settings->spread_ns;
  for (int i = 0; i < MEMBER_FANOUT; i++)
    {
      struct member_entry *peer = membernews_pick (member);
      struct memberwire wire;

      if (peer == NULL)
        return;
      memberwire_init (&wire, MEMBER__KIND__SPREAD, &member->self);
      membernews_fill (member, &wire, SPREAD_BYTES);
      membernews_send (member, &wire, peer->row.peer_address);
    }
}

/* After a stop of this process its own waiting proves nothing. */
static void
forgive_gap (struct member *member, int64_t now)
{
  int64_t gap = now - member->last_tick_ns;
  struct list *suspects = &member->table.suspects;

  member->last_tick_ns = now;
  if (gap < STOPPED_NS)
    return;
  member->probe_target = 0;
  for (struct list *at = suspects->next; at != suspects; at = at->next)
    LIST_ENTRY (at, struct member_entry, timed)->since_ns = now;
}

void
member_tick (struct member *member)
{
  int64_t now = clock_now (member->clock);

  if (member->self.state == MEMBER_LEFT)
    return;
  forgive_gap (member, now);
  step_probe (member, now);
  step_suspects (member, now);
  step_dead (member, now);
  step_pull (member, now);
  step_spread (member, now);
  membersign_expire (member, now);
}

int64_t
member_next (const struct member *member)
{
  int64_t next = MIN (member->next_probe_ns, member->next_dead_ns);

  next = MIN (next, member->next_pull_ns);
  if (member->urgent > 0)
    next = MIN (next, member->next_spread_ns);
  if (member->probe_target != 0)
    next = MIN (next,
                member->probe_began_ns
                    + (member->probe_helped ? member->settings->answer_ns
                                            : member->settings->direct_ns));
  return next;
}

void
member_init (struct member *member, const struct member_settings *settings,
             const struct member_row *self, const struct clock *clock,
             struct rng *rng, const struct member_ops *ops, void *data)
{
  int64_t now = clock_now (clock);

  memset (member, 0, sizeof *member);
  member->settings = settings;
  member->self = *self;
  member->clock = clock;
  member->rng = rng;
  member->ops = ops;
  member->data = data;
  membertable_init (&member->table, self->id);
  list_init (&member->queue);
  membersign_init (member);
  member->sequence = rng_next (rng) >> 1;
  member->pull_whole = true;
  member->last_tick_ns = now;
  member->last_fill_ns = now;
  member->budget = MEMBER_BURST_S * settings->bytes_per_s;
  member->next_probe_ns
      = now + (int64_t)rng_below (rng, (uint64_t)settings->probe_ns);
  member->next_dead_ns = now;
  member->next_pull_ns
      = now + (int64_t)rng_below (rng, (uint64_t)settings->pull_ns);
}

void
member_finish (struct member *member)
{
  membersign_finish (member);
  membertable_finish (&member->table);
  g_free (member->seeds);
}

void
member_seed (struct member *member, const char *const *addresses, size_t count)
{
  member->seeds = g_realloc_n (member->seeds, count, sizeof *member->seeds);
  for (size_t i = 0; i < count; i++)
    g_strlcpy (member->seeds[i], addresses[i], sizeof member->seeds[i]);
  member->seed_count = count;
}

void
member_learn (struct member *member, const struct member_row *row)
{
  membernews_take (member, row);
}

void
member_set_revision (struct member *member, uint64_t revision)
{
  if (revision <= member->self.revision)
    return;
  member->self.revision = revision;
  membernews_urgent (member);
}

void
member_leave (struct member *member)
{
  if (member->self.leaving)
    return;
  member->self.leaving = true;
  member->self.version++;
  membernews_urgent (member);
}

void
member_end (struct member *member)
{
  member->self.state = MEMBER_LEFT;
  member->self.version++;
  member->urgent = 1;
  member->next_spread_ns = clock_now (member->clock);
  step_spread (member, member->next_spread_ns);
}

void
member_sign (struct member *member, const char *server)
{
  if (membersign_note (member, server, member->self.name,
                       clock_now (member->clock)))
    membernews_urgent (member);
}

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
