#include "member.h"
#include "memberreceive.h"
#include "memberupdate.h"
#include "membernotice.h"
#include "rendezvous.h"

#include <assert.h>
#include <string.h>

enum
{
  URGENT_DATAGRAM_BYTES = 400, /* Maximum size of an urgent datagram. */
  SUSPECTS_PROBED_MAX = 8 /* Number of suspects from which the one to probe is
                             picked: those that are suspect the longest. */
};

/* If two ticks are at least this far apart, this process did not run in
 * between. */
#define STOPPED_GAP_NS (2 * NS_PER_S)

const struct member_settings member_settings_default = {
  .probe_interval_ns = 500 * NS_PER_MS,
  .direct_timeout_ns = 200 * NS_PER_MS,
  .probe_timeout_ns = 450 * NS_PER_MS,
  .suspect_timeout_ns = 3 * NS_PER_S,
  .dead_probe_interval_ns = 5 * NS_PER_S,
  .dead_retention_ns = 3600 * NS_PER_S,
  .pull_interval_ns = NS_PER_S,
  .pull_fast_interval_ns = 100 * NS_PER_MS,
  .urgent_interval_ns = 300 * NS_PER_MS,
  .notice_lifetime_ns = 10 * NS_PER_S,
  .bytes_per_s = 2500,
  .remote_pick_divisor = 4,
};

void
member_receive (struct member *member, const uint8_t *bytes, size_t size)
{
  Member__Datagram *datagram = memberwire_unpack (bytes, size);
  struct member_row from;

  if (datagram == NULL)
    return;
  if (memberwire_unpack_row (datagram->from, &from)
      && from.id != member->self.id)
    {
      memberupdate_merge (member, &from);
      membernotice_receive (member, datagram);
      memberreceive_datagram (member, &from, datagram);
    }
  member__datagram__free_unpacked (datagram, NULL);
}

static void
request_indirect_probes (struct member *member)
{
  const struct member_entry *target
      = membertable_find (&member->table, member->probe_target_id);

  member->indirect_probes_sent = true;
  for (int i = 0; target != NULL && i < MEMBER_INDIRECT_PROBES; i++)
    {
      struct member_entry *relay = memberupdate_pick_peer (member);
      struct memberwire wire;

      if (relay == NULL || relay == target)
        continue;
      memberwire_init (&wire, MEMBER__KIND__PROBE_FOR, &member->self);
      wire.datagram.sequence = member->probe_sequence;
      wire.datagram.target = target->row.id;
      memberupdate_send (member, &wire, relay->row.peer_address);
    }
}

static void
probe_timed_out (struct member *member)
{
  struct member_entry *target
      = membertable_find (&member->table, member->probe_target_id);

  member->probe_target_id = 0;
  if (target == NULL || target->row.state != MEMBER_ALIVE)
    return;
  if (member->settings->without_suspicion)
    {
      memberupdate_set_state (member, target, MEMBER_DEAD);
      return;
    }
  memberupdate_set_state (member, target, MEMBER_SUSPECT);
  memberupdate_send_probe (member, target->row.peer_address, target,
                           ++member->sequence);
}

/* Half of the probes go to suspects, because a process can refute the
 * suspicion only after it has received its row. */
static struct member_entry *
pick_target (struct member *member)
{
  struct list *suspects = &member->table.suspects;
  size_t skipped = rng_below (member->rng, SUSPECTS_PROBED_MAX);
  struct list *at = suspects->next;

  if (list_empty (suspects) || rng_below (member->rng, 2) == 0)
    return memberupdate_pick_peer (member);
  while (skipped-- > 0 && at->next != suspects)
    at = at->next;
  return LIST_ENTRY (at, struct member_entry, state_node);
}

static void
step_probe (struct member *member, int64_t now)
{
  int64_t waited_ns = now - member->probe_started_ns;
  struct member_entry *target;

  if (member->probe_target_id != 0 && !member->indirect_probes_sent
      && waited_ns >= member->settings->direct_timeout_ns)
    request_indirect_probes (member);
  if (member->probe_target_id != 0
      && waited_ns >= member->settings->probe_timeout_ns)
    probe_timed_out (member);
  if (now < member->next_probe_ns)
    return;
  member->next_probe_ns
      = now + member->settings->probe_interval_ns
        + (int64_t)rng_below (
            member->rng,
            (uint64_t)member->settings->probe_interval_ns / 10 + 1);
  target = pick_target (member);
  if (target == NULL)
    return;
  member->probe_target_id = target->row.id;
  member->probe_sequence = ++member->sequence;
  member->probe_started_ns = now;
  member->indirect_probes_sent = false;
  memberupdate_send_probe (member, target->row.peer_address, target,
                           member->probe_sequence);
}

static void
step_suspects (struct member *member, int64_t now)
{
  struct list *suspects = &member->table.suspects;
  int64_t timeout_ns = memberupdate_suspect_timeout_ns (member);

  while (!list_empty (suspects))
    {
      struct member_entry *entry
          = LIST_ENTRY (suspects->next, struct member_entry, state_node);

      if (now - entry->state_since_ns < timeout_ns)
        return;
      memberupdate_set_state (member, entry, MEMBER_DEAD);
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
  entry = membertable_find_address (&member->table, address);
  if (strcmp (address, member->self.peer_address) != 0
      && (entry == NULL || !entry->live))
    memberupdate_send_probe (member, address, NULL, ++member->sequence);
}

/* A process that is marked dead may be alive behind a network partition, so
 * it is still probed. It is forgotten after dead_retention_ns. */
static void
probe_dead (struct member *member, int64_t now)
{
  struct list *dead = &member->table.dead;
  struct member_entry *entry;

  if (list_empty (dead))
    return;
  entry = LIST_ENTRY (dead->next, struct member_entry, state_node);
  if (now - entry->state_since_ns >= member->settings->dead_retention_ns)
    {
      membertable_remove (&member->table, entry);
      return;
    }
  list_remove (&entry->state_node);
  list_append (dead, &entry->state_node);
  if (entry->row.state == MEMBER_DEAD)
    memberupdate_send_probe (member, entry->row.peer_address, entry,
                             ++member->sequence);
}

static void
step_dead (struct member *member, int64_t now)
{
  bool alone = member->table.live_count == 0;

  if (now < member->next_dead_probe_ns)
    return;
  member->next_dead_probe_ns
      = now
        + (alone ? member->settings->probe_interval_ns
                 : member->settings->dead_probe_interval_ns)
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
  if (!memberupdate_has_budget (member))
    {
      member->next_pull_ns = now + member->settings->pull_fast_interval_ns;
      return;
    }
  member->next_pull_ns = now + member->settings->pull_interval_ns;
  if (address[0] == '\0')
    {
      peer = memberupdate_pick_peer (member);
      if (peer == NULL)
        return;
      address = peer->row.peer_address;
      member->pull_cursor
          = (uint32_t)rng_below (member->rng, member->table.entries->len + 1);
    }
  memberwire_init (&wire, MEMBER__KIND__PULL, &member->self);
  wire.datagram.cursor = member->pull_cursor;
  wire.datagram.whole = member->pull_full_rows;
  memberupdate_send (member, &wire, address);
  /* If the page is lost, the next pull goes to another peer. */
  member->pull_address[0] = '\0';
}

static void
step_urgent (struct member *member, int64_t now)
{
  if (member->urgent_rounds == 0 || now < member->next_urgent_ns)
    return;
  if (!memberupdate_has_budget (member) && member->self.state != MEMBER_LEFT)
    {
      member->next_urgent_ns = now + member->settings->pull_fast_interval_ns;
      return;
    }
  member->urgent_rounds--;
  member->next_urgent_ns = now + member->settings->urgent_interval_ns;
  for (int i = 0; i < MEMBER_FANOUT; i++)
    {
      struct member_entry *peer = memberupdate_pick_peer (member);
      struct memberwire wire;

      if (peer == NULL)
        return;
      memberwire_init (&wire, MEMBER__KIND__SPREAD, &member->self);
      memberupdate_add_queued (member, &wire, URGENT_DATAGRAM_BYTES);
      memberupdate_send (member, &wire, peer->row.peer_address);
    }
}

/* If this process did not run for a while, a missing reply or refutation is
 * no evidence: drop the probe and restart the timeouts of all suspects. */
static void
reset_after_stop (struct member *member, int64_t now)
{
  int64_t gap_ns = now - member->last_tick_ns;
  struct list *suspects = &member->table.suspects;

  member->last_tick_ns = now;
  if (gap_ns < STOPPED_GAP_NS)
    return;
  member->probe_target_id = 0;
  for (struct list *at = suspects->next; at != suspects; at = at->next)
    LIST_ENTRY (at, struct member_entry, state_node)->state_since_ns = now;
}

void
member_tick (struct member *member)
{
  int64_t now = clock_now (member->clock);

  if (member->self.state == MEMBER_LEFT)
    return;
  reset_after_stop (member, now);
  step_probe (member, now);
  step_suspects (member, now);
  step_dead (member, now);
  step_pull (member, now);
  step_urgent (member, now);
  membernotice_expire (member, now);
}

int64_t
member_next_due_ns (const struct member *member)
{
  int64_t next = MIN (member->next_probe_ns, member->next_dead_probe_ns);

  next = MIN (next, member->next_pull_ns);
  if (member->urgent_rounds > 0)
    next = MIN (next, member->next_urgent_ns);
  if (member->probe_target_id != 0)
    next = MIN (next, member->probe_started_ns
                          + (member->indirect_probes_sent
                                 ? member->settings->probe_timeout_ns
                                 : member->settings->direct_timeout_ns));
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
  list_init (&member->update_queue);
  membernotice_init (member);
  member->sequence = rng_next (rng) >> 1;
  member->pull_full_rows = true;
  member->last_tick_ns = now;
  member->budget_updated_ns = now;
  member->budget_bytes = MEMBER_BURST_S * settings->bytes_per_s;
  member->next_probe_ns
      = now + (int64_t)rng_below (rng, (uint64_t)settings->probe_interval_ns);
  member->next_dead_probe_ns = now;
  member->next_pull_ns
      = now + (int64_t)rng_below (rng, (uint64_t)settings->pull_interval_ns);
}

void
member_finish (struct member *member)
{
  membernotice_finish (member);
  membertable_finish (&member->table);
  g_free (member->seeds);
}

void
member_set_seeds (struct member *member, const char *const *addresses,
                  size_t count)
{
  member->seeds = g_realloc_n (member->seeds, count, sizeof *member->seeds);
  for (size_t i = 0; i < count; i++)
    g_strlcpy (member->seeds[i], addresses[i], sizeof member->seeds[i]);
  member->seed_count = count;
}

void
member_merge_row (struct member *member, const struct member_row *row)
{
  memberupdate_merge (member, row);
}

void
member_set_revision (struct member *member, uint64_t revision)
{
  if (revision <= member->self.revision)
    return;
  member->self.revision = revision;
  memberupdate_send_urgently (member);
}

void
member_set_leaving (struct member *member)
{
  if (member->self.leaving)
    return;
  member->self.leaving = true;
  member->self.version++;
  memberupdate_send_urgently (member);
}

void
member_announce_exit (struct member *member)
{
  member->self.state = MEMBER_LEFT;
  member->self.version++;
  member->urgent_rounds = 1;
  member->next_urgent_ns = clock_now (member->clock);
  step_urgent (member, member->next_urgent_ns);
}

void
member_add_notice (struct member *member, const char *server)
{
  if (membernotice_add (member, server, member->self.name,
                        clock_now (member->clock)))
    memberupdate_send_urgently (member);
}

bool
member_is_among_first (const struct member *member, const char *key,
                       unsigned count)
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
member_find_newer_revision (const struct member *member, uint64_t revision)
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
