#include "fake-kv.h"
#include "storepoll.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

enum
{
  HOSTS_MAX = 300
};

static struct
{
  struct clock_fake clock;
  struct fake_kv kv;
  struct fake_kv_client client;
  struct servers servers;
  struct presence presence[HOSTS_MAX];
  struct subsets subsets[HOSTS_MAX];
  unsigned count;
} fleet;

static const struct servers_ops servers_ops;

static void
fleet_init (unsigned count)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.count = count;
  clock_fake_init (&fleet.clock, NS_PER_S);
  fake_kv_init (&fleet.kv, &fleet.clock.clock, 1);
  fake_kv_client_init (&fleet.client, &fleet.kv);
  servers_init (&fleet.servers, NULL, &fleet.clock.clock, "dc", NS_PER_S,
                &servers_ops, NULL);
  for (unsigned i = 0; i < count; i++)
    {
      struct presence_host self = { .weights_count = 0 };
      char key[32];

      g_snprintf (key, sizeof key, "t/host/h%03u", i);
      g_snprintf (self.address, sizeof self.address, "10.0.%u.%u:80", i / 200,
                  i % 200);
      g_strlcpy (self.peer, self.address, sizeof self.peer);
      presence_init (&fleet.presence[i], &fleet.client.kv, &fleet.clock.clock,
                     key, &self, NS_PER_S);
      for (unsigned other = 0; other < count; other++)
        {
          struct presence_host *host = g_new0 (struct presence_host, 1);

          g_snprintf (host->address, sizeof host->address, "10.0.%u.%u:80",
                      other / 200, other % 200);
          g_strlcpy (host->peer, host->address, sizeof host->peer);
          if (other != i)
            g_hash_table_replace (fleet.presence[i].hosts,
                                  g_strdup_printf ("t/host/h%03u", other),
                                  host);
          else
            g_free (host);
        }
      subsets_init (&fleet.subsets[i], &fleet.clock.clock, &fleet.presence[i],
                    &fleet.servers);
      subsets_tick (&fleet.subsets[i]);
    }
}

static void
fleet_finish (void)
{
  for (unsigned i = 0; i < fleet.count; i++)
    presence_finish (&fleet.presence[i]);
  servers_finish (&fleet.servers);
  fake_kv_client_finish (&fleet.client);
  fake_kv_finish (&fleet.kv);
}

/* Count how often each host gets an update that POLLER sends for STORE, and
 * return the number of datagrams that POLLER sends itself. */
static unsigned
update_spread (unsigned poller, const char *store, unsigned got[HOSTS_MAX])
{
  unsigned sent = 0;

  for (unsigned i = 0; i < fleet.count; i++)
    {
      bool relays;

      if (i == poller
          || !storepoll_sends_to (&fleet.subsets[poller], store, i, &relays))
        continue;
      got[i]++;
      sent++;
      for (unsigned other = 0; relays && other < fleet.count; other++)
        got[other]
            += other != i && subsets_host_is_local (&fleet.subsets[i], other);
    }
  return sent;
}

/* Each subset had a poller of its own, which is more polls than a store holds,
 * and hosts without a poller's updates knew no stored block. */
static void
test_few_pollers_serve_all_hosts (void)
{
  static const unsigned sizes[] = { 1, 8, 10, 18, 30, 79, 100, 295 };

  for (unsigned size = 0; size < G_N_ELEMENTS (sizes); size++)
    {
      unsigned got[HOSTS_MAX] = { 0 };
      unsigned pollers = 0;

      fleet_init (sizes[size]);
      for (unsigned i = 0; i < fleet.count; i++)
        {
          if (!storepoll_is_poller (&fleet.subsets[i], &fleet.presence[i],
                                    "store-1"))
            continue;
          pollers++;
          got[i]++;
          CU_ASSERT_TRUE (update_spread (i, "store-1", got)
                          <= SUBSETS_HOSTS_MAX + fleet.subsets[i].count);
        }
      CU_ASSERT_TRUE (pollers >= 1);
      CU_ASSERT_TRUE (pollers <= STOREPOLL_POLLERS);
      for (unsigned i = 0; i < fleet.count; i++)
        {
          CU_ASSERT_TRUE (got[i] >= 1);
          CU_ASSERT_TRUE (got[i] <= STOREPOLL_POLLERS);
        }
      fleet_finish ();
    }
}

/* Roles are spread over the hosts, however many stores there are. */
static void
test_pollers_are_spread (void)
{
  unsigned roles[HOSTS_MAX] = { 0 };

  fleet_init (295);
  for (unsigned store = 0; store < 44; store++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "store-%u", store);
      for (unsigned i = 0; i < fleet.count; i++)
        roles[i] += storepoll_is_poller (&fleet.subsets[i], &fleet.presence[i],
                                         name);
    }
  for (unsigned i = 0; i < fleet.count; i++)
    CU_ASSERT_TRUE (roles[i] <= 5);
  fleet_finish ();
}

static const struct unit_case cases[] = {
  { "few-pollers-serve-all-hosts", test_few_pollers_serve_all_hosts },
  { "pollers-are-spread", test_pollers_are_spread },
};

int
main (void)
{
  return unit_run ("storepoll", cases, G_N_ELEMENTS (cases));
}
