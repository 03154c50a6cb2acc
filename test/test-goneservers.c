#include "goneservers.h"
#include "unit.h"

static struct clock_fake fake_clock;
static struct goneservers gone;

static void
setup (void)
{
  clock_fake_init (&fake_clock, NS_PER_S);
  goneservers_init (&gone, &fake_clock.clock);
}

static struct server_entry
make_entry (const char *id, uint64_t started_ms, uint64_t heartbeat)
{
  struct server_entry entry
      = { .started_ms = started_ms, .heartbeat = heartbeat };

  g_strlcpy (entry.id, id, sizeof entry.id);
  return entry;
}

/* A server that had left got requests again after the KV service came back
 * from a backup that had its entry. A newer entry is one of a living server,
 * and in the same era an entry is what its server wrote. */
static void
test_left_servers_stay_away (void)
{
  static const struct
  {
    const char *id;
    uint64_t started_ms;
    uint64_t heartbeat;
    uint64_t era;
    bool is_gone;
  } cases[] = {
    { "a", 7, 4, 3, true },  { "a", 7, 5, 3, true },  { "a", 7, 6, 3, false },
    { "a", 6, 9, 3, true },  { "a", 8, 1, 3, false }, { "a", 7, 4, 2, false },
    { "b", 7, 4, 3, false }, { "a", 7, 4, 9, true },
  };
  const struct server_entry removed = make_entry ("a", 7, 5);

  setup ();
  goneservers_add (&gone, &removed, 2);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct server_entry entry
          = make_entry (cases[i].id, cases[i].started_ms, cases[i].heartbeat);

      CU_ASSERT_EQUAL (goneservers_has (&gone, &entry, cases[i].era),
                       cases[i].is_gone);
    }
  goneservers_finish (&gone);
}

/* A server whose entry was lost long ago was kept out for good. */
static void
test_forgotten_in_time (void)
{
  const struct server_entry removed = make_entry ("a", 7, 5);

  setup ();
  goneservers_add (&gone, &removed, 2);
  CU_ASSERT_TRUE (goneservers_has (&gone, &removed, 3));
  clock_fake_advance (&fake_clock, 121 * NS_PER_S);
  CU_ASSERT_FALSE (goneservers_has (&gone, &removed, 3));
  goneservers_finish (&gone);
}

static const struct unit_case cases[] = {
  { "left-servers-stay-away", test_left_servers_stay_away },
  { "forgotten-in-time", test_forgotten_in_time },
};

int
main (void)
{
  return unit_run ("goneservers", cases, G_N_ELEMENTS (cases));
}
