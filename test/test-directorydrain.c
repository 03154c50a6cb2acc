#include "clock.h"
#include "entryviews.h"
#include "fake-kv.h"
#include "kvview.h"
#include "presence.h"
#include "unit.h"
#include "watchpause.h"

#include <stdio.h>
#include <string.h>

/* Some hosts' registrations on one KV service with a fake clock. */

enum
{
  HOSTS = 4,
  LARGE_FLEET = 1000, /* for the longest pause between watches */
  LEASE_MS = 3000,
  TICK_MS = 20,
  /* Time within which a host that is gone is listed by no other: the stable
   * window and 3 s. */
  BOUND_MS = 7000,
  OUTER_MS = 6000, /* is added if the KV service was disrupted */
  STEADY_MS = 5000
};

static struct clock_fake fake_clock;
static struct fake_kv kv;

static struct host
{
  struct fake_kv_client client;
  struct kvview view;
  struct presence presence;
  bool running;
} hosts[HOSTS];

static void
key_put (void *data, const char *key, const char *value, uint64_t revision)
{
  struct host *host = data;
  struct error error;

  presence_key_put (&host->presence, key, value, &error);
}

static void
key_removed (void *data, const char *key)
{
  struct host *host = data;

  presence_key_removed (&host->presence, key);
}

static void
ignore_reachability (void *data, bool reachable)
{
}

static const struct kvview_ops view_ops
    = { key_put, key_removed, ignore_reachability, NULL };

static void
run_for_ms (unsigned ms)
{
  for (unsigned past = 0; past < ms; past += TICK_MS)
    {
      clock_fake_advance (&fake_clock, TICK_MS * NS_PER_MS);
      fake_kv_step (&kv);
      for (unsigned i = 0; i < HOSTS; i++)
        if (hosts[i].running)
          {
            kvview_tick (&hosts[i].view);
            presence_tick (&hosts[i].presence);
          }
    }
}

static void
setup (unsigned fleet)
{
  const struct kvview_settings settings = entryviews_settings (NULL, NULL);

  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  fake_kv_init (&kv, &fake_clock.clock, 1);
  kv.reports_deletions = true;
  for (unsigned i = 0; i < HOSTS; i++)
    {
      struct presence_host self = { .leaving = false };
      char key[16];

      g_snprintf (key, sizeof key, "h/%u", i);
      g_snprintf (self.address, sizeof self.address, "%u", i);
      fake_kv_client_init (&hosts[i].client, &kv);
      presence_init (&hosts[i].presence, &hosts[i].client.kv,
                     &fake_clock.clock, key, &self, LEASE_MS * NS_PER_MS);
      kvview_init (&hosts[i].view, &hosts[i].client.kv, &fake_clock.clock,
                   &settings, "h/", &view_ops, &hosts[i]);
      kvview_set_pause (&hosts[i].view,
                        watchpause_ns (fleet, 2000 * NS_PER_MS));
      hosts[i].running = true;
    }
  run_for_ms (STEADY_MS);
}

static void
finish (void)
{
  for (unsigned i = 0; i < HOSTS; i++)
    {
      fake_kv_client_finish (&hosts[i].client);
      kvview_finish (&hosts[i].view);
      presence_finish (&hosts[i].presence);
    }
  fake_kv_finish (&kv);
}

/* Whether a host other than the first lists the first. */
static bool
first_is_listed (void)
{
  bool listed = false;

  for (unsigned i = 1; i < HOSTS; i++)
    {
      GPtrArray *addresses = g_ptr_array_new ();

      presence_list_addresses (&hosts[i].presence, addresses);
      for (guint j = 0; j < addresses->len; j++)
        listed = listed || strcmp (addresses->pdata[j], "0") == 0;
      g_ptr_array_free (addresses, TRUE);
    }
  return listed;
}

enum way
{
  WAY_KILLED,
  WAY_ENDED,  /* as planned */
  WAY_REMOVED /* its key is removed, too */
};

static void
first_goes (enum way way)
{
  if (way == WAY_ENDED)
    presence_leave (&hosts[0].presence);
  else
    {
      hosts[0].running = false;
      /* Its calls are dropped; that they end frees their memory, which the end
       * of a process would. */
      fake_kv_client_finish (&hosts[0].client);
    }
  if (way == WAY_REMOVED)
    fake_kv_put (&kv, "h/0", NULL);
}

/* Runs until no other host lists the first, and returns the time in ms. */
static unsigned
listed_ms (unsigned down_ms)
{
  unsigned ms = 0;

  for (; first_is_listed () && ms < 60000; ms += 100)
    {
      kv.faults.down = ms < down_ms;
      for (unsigned i = 1; i < HOSTS; i++)
        hosts[i].client.paused = ms < down_ms;
      run_for_ms (100);
    }
  return ms;
}

/* The directory named a host that was gone for longer than callers allow. */
static void
test_gone_hosts (void)
{
  unsigned longest = 0;

  for (unsigned way = WAY_KILLED; way <= WAY_REMOVED; way++)
    for (unsigned fleet = HOSTS; fleet <= LARGE_FLEET; fleet += 498)
      for (unsigned phase_ms = 0; phase_ms < 1200; phase_ms += 100)
        {
          unsigned ms;

          setup (fleet);
          run_for_ms (phase_ms);
          CU_ASSERT_TRUE (first_is_listed ());
          first_goes ((enum way)way);
          ms = listed_ms (0);
          CU_ASSERT_TRUE (ms <= BOUND_MS);
          longest = MAX (longest, ms);
          run_for_ms (STEADY_MS);
          CU_ASSERT_FALSE (first_is_listed ());
          finish ();
        }
  printf ("  longest listed after its end: %u ms\n", longest);
}

/* The same while the KV service fails all calls from the end of the host on,
 * and its replies to earlier watches are late. Each failed call counts as an
 * outage in which leases may have expired. */
static void
test_disrupted_service (void)
{
  unsigned longest = 0;

  for (unsigned down_ms = 1000; down_ms <= 5000; down_ms += 1000)
    {
      unsigned ms;

      setup (LARGE_FLEET);
      first_goes (WAY_KILLED);
      ms = listed_ms (down_ms);
      CU_ASSERT_TRUE (ms <= BOUND_MS + OUTER_MS);
      longest = MAX (longest, ms);
      finish ();
    }
  printf ("  longest listed after its end: %u ms\n", longest);
}

static const struct unit_case cases[] = {
  { "gone-hosts", test_gone_hosts },
  { "disrupted-service", test_disrupted_service },
};

int
main (void)
{
  return unit_run ("directorydrain", cases, G_N_ELEMENTS (cases));
}
