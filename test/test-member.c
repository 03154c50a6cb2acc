#include "fake-members.h"
#include "unit.h"

enum
{
  SEEDS = 5,
  MEMBERS = 24,
  DATA_CENTRES = 4
};

#define CONVERGENCE_NS (30 * NS_PER_S)

static void
start_fleet (struct fake_members *net, uint64_t seed,
             const struct member_settings *settings)
{
  fake_members_init (net, MEMBERS, DATA_CENTRES, seed, settings);
  net->loss = 0.01;
  net->keep_told = true;
  fake_members_run (net, CONVERGENCE_NS);
}

static const struct member_settings *
default_settings (void)
{
  return &member_settings_default;
}

static void
test_join (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct fake_members net;

      start_fleet (&net, seed, default_settings ());
      CU_ASSERT_EQUAL (fake_members_wrong (&net), 0);
      fake_members_finish (&net);
    }
}

/* A fault that lasts for duration_ns. Within 60 s after its end, all members
 * must see the right state of all others. */
struct fault
{
  const char *name;
  void (*begin) (struct fake_members *net);
  void (*end) (struct fake_members *net);
  int64_t duration_ns;
};

static void
begin_partition (struct fake_members *net)
{
  net->apart = true;
}

static void
end_partition (struct fake_members *net)
{
  net->apart = false;
}

static void
begin_data_centre_loss (struct fake_members *net)
{
  net->lost_centre = 1;
}

static void
end_data_centre_loss (struct fake_members *net)
{
  net->lost_centre = -1;
}

static void
begin_pause (struct fake_members *net)
{
  for (size_t i = 3; i < 6; i++)
    net->members[i].stopped_until_ns = net->now_ns + CONVERGENCE_NS;
}

static void
begin_packet_loss (struct fake_members *net)
{
  net->loss = 0.4;
}

static void
end_packet_loss (struct fake_members *net)
{
  net->loss = 0.01;
}

static void
begin_kill (struct fake_members *net)
{
  for (size_t i = 5; i < 9; i++)
    fake_members_kill (net, i);
}

/* Two members restart under their old names; two addresses get members with
 * new names. */
static void
end_kill (struct fake_members *net)
{
  fake_members_start (net, 5, NULL);
  fake_members_start (net, 6, "newcomer-a");
  fake_members_start (net, 7, "newcomer-b");
  fake_members_start (net, 8, NULL);
}

static void
begin_replace (struct fake_members *net)
{
  begin_kill (net);
  end_kill (net);
}

static void
end_nothing (struct fake_members *net)
{
}

static const struct fault faults[] = {
  { "regions apart", begin_partition, end_partition, 300 * NS_PER_S },
  { "data centre lost", begin_data_centre_loss, end_data_centre_loss,
    60 * NS_PER_S },
  { "pause", begin_pause, end_nothing, CONVERGENCE_NS },
  { "loss", begin_packet_loss, end_packet_loss, 60 * NS_PER_S },
  { "kill", begin_kill, end_kill, CONVERGENCE_NS },
  { "replace at once", begin_replace, end_nothing, NS_PER_S },
};

static void
test_heal (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        struct fake_members net;

        start_fleet (&net, seed, default_settings ());
        faults[i].begin (&net);
        fake_members_run (&net, faults[i].duration_ns);
        faults[i].end (&net);
        fake_members_run (&net, 60 * NS_PER_S);
        if (fake_members_wrong (&net) != 0)
          printf ("# %s seed=%lu wrong=%zu\n", faults[i].name,
                  (unsigned long)seed, fake_members_wrong (&net));
        CU_ASSERT_EQUAL (fake_members_wrong (&net), 0);
        fake_members_finish (&net);
      }
}

static void
test_dead_are_detected (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct fake_members net;

      start_fleet (&net, seed, default_settings ());
      begin_kill (&net);
      fake_members_run (&net, CONVERGENCE_NS);
      CU_ASSERT_EQUAL (fake_members_wrong (&net), 0);
      fake_members_finish (&net);
    }
}

static unsigned
count_false_deaths (uint64_t seed, const struct member_settings *settings)
{
  struct fake_members net;
  unsigned deaths = 0;

  start_fleet (&net, seed, settings);
  net.loss = 0.25;
  fake_members_run (&net, 60 * NS_PER_S);
  for (size_t i = 0; i < net.count; i++)
    deaths += net.members[i].deaths;
  fake_members_finish (&net);
  return deaths;
}

/* Under the same packet loss, live members are declared dead if, and only if,
 * suspicion is off. */
static void
test_suspicion (void)
{
  struct member_settings settings = *default_settings ();
  unsigned with = 0, without = 0;

  settings.without_suspicion = true;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      with += count_false_deaths (seed, default_settings ());
      without += count_false_deaths (seed, &settings);
    }
  printf ("# live members declared dead: %u, without suspicion %u\n", with,
          without);
  CU_ASSERT_EQUAL (with, 0);
  CU_ASSERT (without > 0);
}

/* Without the incarnation check, members mistake a replaced process for the
 * earlier one, so some views must be wrong. */
static void
test_incarnation (void)
{
  struct member_settings settings = *default_settings ();
  struct fake_members net;

  settings.without_incarnation = true;
  start_fleet (&net, 1, &settings);
  begin_replace (&net);
  fake_members_run (&net, 60 * NS_PER_S);
  CU_ASSERT (fake_members_wrong (&net) > 0);
  fake_members_finish (&net);
}

static size_t
count_members_that_see (const struct fake_members *net, size_t index,
                        bool left)
{
  uint64_t id = net->members[index].member.self.id;
  size_t count = 0;

  for (size_t i = 0; i < net->count; i++)
    {
      const struct member_entry *entry
          = membertable_find (&net->members[i].member.table, id);

      if (i != index && entry != NULL)
        count += left ? entry->row.state == MEMBER_LEFT
                      : entry->live && entry->row.leaving;
    }
  return count;
}

static void
test_leave (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct fake_members net;

      start_fleet (&net, seed, default_settings ());
      net.members[7].clock.now_ns = net.now_ns;
      member_set_leaving (&net.members[7].member);
      fake_members_run (&net, 3 * NS_PER_S);
      CU_ASSERT_EQUAL (count_members_that_see (&net, 7, false), MEMBERS - 1);
      net.members[7].clock.now_ns = net.now_ns;
      member_announce_exit (&net.members[7].member);
      fake_members_run (&net, 5 * NS_PER_S);
      CU_ASSERT_EQUAL (count_members_that_see (&net, 7, true), MEMBERS - 1);
      fake_members_finish (&net);
    }
}

static void
test_notice (void)
{
  struct fake_members net;
  size_t received_count = 0;

  start_fleet (&net, 1, default_settings ());
  net.members[2].clock.now_ns = net.now_ns;
  member_add_notice (&net.members[2].member, "engine-1");
  fake_members_run (&net, 3 * NS_PER_S);
  for (size_t i = 0; i < net.count; i++)
    received_count += net.members[i].signs;
  CU_ASSERT_EQUAL (received_count, MEMBERS - 1);
  fake_members_run (&net, 20 * NS_PER_S);
  for (size_t i = 0; i < net.count; i++)
    CU_ASSERT_EQUAL (
        g_hash_table_size (net.members[i].member.notice_by_server), 0);
  fake_members_finish (&net);
}

/* One process has the revision. The others must get it from peers, also after
 * a network partition and after a restart. */
static void
test_revision (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct fake_members net;

      start_fleet (&net, seed, default_settings ());
      net.apart = true;
      fake_members_configure (&net, 0, 7);
      fake_members_run (&net, 3 * NS_PER_S);
      CU_ASSERT (fake_members_with_revision (&net, 7) <= MEMBERS / 2);
      net.apart = false;
      fake_members_run (&net, CONVERGENCE_NS);
      CU_ASSERT_EQUAL (fake_members_with_revision (&net, 7), MEMBERS);
      fake_members_kill (&net, 3);
      fake_members_start (&net, 3, NULL);
      fake_members_run (&net, 5 * NS_PER_S);
      CU_ASSERT_EQUAL (fake_members_with_revision (&net, 7), MEMBERS);
      fake_members_finish (&net);
    }
}

static void
test_watchers (void)
{
  struct fake_members net;
  unsigned watchers = 0;

  start_fleet (&net, 1, default_settings ());
  for (size_t i = 0; i < net.count; i++)
    watchers += member_is_among_first (&net.members[i].member, "config", 2);
  CU_ASSERT_EQUAL (watchers, 2 * DATA_CENTRES);
  fake_members_finish (&net);
}

/* Corrupt and truncated datagrams must not remove members from the table. */
static void
test_garbled_datagrams (void)
{
  struct fake_members net;
  struct memberwire wire;
  uint8_t bytes[MEMBER_DATAGRAM_MAX];
  struct member *member;
  size_t size;

  start_fleet (&net, 1, default_settings ());
  member = &net.members[0].member;
  memberwire_init (&wire, MEMBER__KIND__PROBE, &net.members[1].member.self);
  size = memberwire_pack (&wire, bytes);
  for (int i = 0; i < 2000; i++)
    {
      uint8_t copy[MEMBER_DATAGRAM_MAX];

      memcpy (copy, bytes, size);
      copy[rng_below (&net.rng, size)] ^= (uint8_t)rng_next (&net.rng);
      member_receive (member, copy, rng_below (&net.rng, size + 1));
    }
  fake_members_run (&net, 2 * NS_PER_S);
  CU_ASSERT (member->table.entries->len >= MEMBERS - 1);
  fake_members_finish (&net);
}

static const struct unit_case cases[] = {
  { "join", test_join },
  { "heal", test_heal },
  { "dead_are_seen", test_dead_are_detected },
  { "suspicion", test_suspicion },
  { "incarnation", test_incarnation },
  { "leave", test_leave },
  { "sign", test_notice },
  { "revision", test_revision },
  { "watchers", test_watchers },
  { "garbled", test_garbled_datagrams },
};

int
main (void)
{
  return unit_run ("member", cases, G_N_ELEMENTS (cases));
}
