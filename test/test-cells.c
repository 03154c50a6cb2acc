#include "call.h"
#include "subsets.h"
#include "choose.h"
#include "unit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SUBSET_COUNT = 4,
  SUBSET_HOSTS = 10,
  ENGINES = 48,
  ARRIVALS = 2000,
  ARRIVAL_INTERVAL_MS = 2,
  REQUEST_DURATION_MS = 400,
  REQUESTS_PER_LONG = 5, /* One request in this many is long, on average. */
  LONG_TOKENS = 20000,
  SHORT_TOKENS = 2000,
  KV_CAPACITY_TOKENS = 90000
};

static const char *const data_centres[] = { "east", "north", "south", "west" };

/* The hosts and engines of the fleet, as one host has them. */
struct view
{
  struct clock_fake clock;
  uv_loop_t loop;
  struct presence presence;
  struct servers servers;
  struct subsets subsets;
};

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed, NULL };

static void
host_key_format (unsigned index, char name[32])
{
  g_snprintf (name, 32, "host/%03u", index);
}

static void
engine_id_format (unsigned index, char name[32])
{
  g_snprintf (name, 32, "e%04u", index);
}

/* The view of the host with the index OWN_INDEX. The hosts and the engines are
 * distributed evenly over the data centres. */
static void
view_init (struct view *view, unsigned own_index, unsigned host_count,
           unsigned engine_count)
{
  struct presence_host self = { .address = "a" };
  struct error error;
  char name[32];

  memset (view, 0, sizeof *view);
  clock_fake_init (&view->clock, 10 * NS_PER_S);
  uv_loop_init (&view->loop);
  strcpy (self.data_centre, data_centres[own_index * 4 / host_count]);
  host_key_format (own_index, name);
  presence_init (&view->presence, NULL, &view->clock.clock, name, &self,
                 NS_PER_S);
  for (unsigned i = 0; i < host_count; i++)
    {
      char *value
          = g_strdup_printf ("{\"address\":\"a\",\"data_centre\":\"%s\"}",
                             data_centres[i * 4 / host_count]);

      host_key_format (i, name);
      CU_ASSERT_EQUAL (presence_key_put (&view->presence, name, value, &error),
                       STATUS_OK);
      g_free (value);
    }
  servers_init (&view->servers, &view->loop, &view->clock.clock,
                self.data_centre, NS_PER_S, &servers_ops, NULL);
  for (unsigned i = 0; i < engine_count; i++)
    {
      struct server_entry entry
          = { .service = "llm", .address = "10.0.0.1:1", .slots = 64 };

      engine_id_format (i, entry.id);
      strcpy (entry.data_centre, data_centres[i * 4 / engine_count]);
      servers_update (&view->servers, &entry, 1);
      servers_find (&view->servers, entry.id)->kv_capacity_tokens
          = KV_CAPACITY_TOKENS;
    }
  subsets_init (&view->subsets, &view->clock.clock, &view->presence,
                &view->servers);
  subsets_tick (&view->subsets);
}

static void
view_finish (struct view *view)
{
  servers_finish (&view->servers);
  presence_finish (&view->presence);
  uv_run (&view->loop, UV_RUN_DEFAULT);
  uv_loop_close (&view->loop);
}

static struct server *
view_engine (struct view *view, unsigned index)
{
  char name[32];

  engine_id_format (index, name);
  return servers_find (&view->servers, name);
}

static unsigned
view_count_local_engines (struct view *view, unsigned engine_count,
                          const char *data_centre)
{
  unsigned count = 0;

  for (unsigned i = 0; i < engine_count; i++)
    {
      const struct server *server = view_engine (view, i);

      count += !server->in_other_subset
               && (data_centre == NULL
                   || strcmp (server->entry.data_centre, data_centre) == 0);
    }
  return count;
}

/* 77 hosts and 112 engines form 8 subsets. Each has 14 engines in all data
 * centres, and each engine is in one subset. */
static void
test_engines_are_assigned_evenly (void)
{
  unsigned local_hosts[112] = { 0 };

  for (unsigned own = 0; own < 77; own++)
    {
      struct view view;

      view_init (&view, own, 77, 112);
      CU_ASSERT_EQUAL (view.subsets.count, 8);
      CU_ASSERT_TRUE (view.subsets.host_count >= 9
                      && view.subsets.host_count <= SUBSETS_HOSTS_USUAL);
      CU_ASSERT_EQUAL (view_count_local_engines (&view, 112, NULL), 14);
      for (int i = 0; i < 4; i++)
        CU_ASSERT_TRUE (view_count_local_engines (&view, 112, data_centres[i])
                        >= 3);
      for (unsigned i = 0; i < 112; i++)
        local_hosts[i] += !view_engine (&view, i)->in_other_subset;
      view_finish (&view);
    }
  for (unsigned i = 0; i < 112; i++)
    CU_ASSERT_TRUE (local_hosts[i] >= 9
                    && local_hosts[i] <= SUBSETS_HOSTS_USUAL);
}

static void
test_small_fleet_and_small_service (void)
{
  struct view view;

  view_init (&view, 3, 8, 18);
  CU_ASSERT_EQUAL (view_count_local_engines (&view, 18, NULL), 18);
  CU_ASSERT_EQUAL (view_engine (&view, 0)->sending_host_count, 8);
  view_finish (&view);
  view_init (&view, 3, 77, 4);
  CU_ASSERT_EQUAL (view_count_local_engines (&view, 4, NULL), 4);
  CU_ASSERT_EQUAL (view_engine (&view, 0)->sending_host_count, 77);
  view_finish (&view);
}

static struct server *
view_choose_engine (struct view *view, uint64_t context, unsigned tokens,
                    struct rng *rng)
{
  struct call call = { .prompt_tokens = tokens, .block_count = 1 };
  struct choose_query query
      = { .service = "llm", .model = "m", .call = &call };
  struct choose_result result;

  call.blocks[0].id = context;
  call.blocks[0].tokens = tokens;
  choose_server (&view->servers, &choose_settings_default, &query, rng,
                 &result);
  return result.server;
}

static void
test_other_subsets (void)
{
  struct view view;
  struct rng rng;

  rng_init (&rng, 1);
  view_init (&view, 0, 40, ENGINES);
  CU_ASSERT_FALSE (
      view_choose_engine (&view, 1, LONG_TOKENS, &rng)->in_other_subset);
  for (unsigned i = 0; i < ENGINES; i++)
    if (!view_engine (&view, i)->in_other_subset)
      view_engine (&view, i)->in_flight_tokens = KV_CAPACITY_TOKENS;
  CU_ASSERT_PTR_NULL (view_choose_engine (&view, 2, LONG_TOKENS, &rng));
  for (unsigned i = 0; i < ENGINES; i++)
    if (!view_engine (&view, i)->in_other_subset)
      server_set_unreachable (&view.servers, view_engine (&view, i));
  CU_ASSERT_TRUE (
      view_choose_engine (&view, 3, LONG_TOKENS, &rng)->in_other_subset);
  view_finish (&view);
}

static void
engine_count_load (struct server *server, int direction, int tokens)
{
  server->in_flight_requests += (unsigned)direction;
  server->in_flight_tokens += (uint64_t)(direction * tokens);
  server->pending_prefill_tokens += (uint64_t)(direction * tokens);
}

/* Replays a steady load at the hosts of four subsets. A host counts
 * only the requests in flight of its own subset. If USE_SUBSETS is false,
 * every host sends to any engine and assumes that the hosts outside its subset
 * have the same load as those inside.
 * @return the root mean square of the tokens in flight at an engine */
static double
replay (bool use_subsets)
{
  static struct view views[SUBSET_COUNT];
  static struct
  {
    unsigned subset, engine;
    int tokens;
  } requests[ARRIVALS];
  int in_flight_tokens[ENGINES] = { 0 };
  double mean_square = 0;
  struct rng rng;

  rng_init (&rng, 7);
  for (unsigned subset = 0; subset < SUBSET_COUNT; subset++)
    {
      view_init (&views[subset], subset * SUBSET_HOSTS,
                 SUBSET_COUNT * SUBSET_HOSTS, ENGINES);
      /* One host stands for its subset, in which responses have come. */
      servers_record_brittle (&views[subset].servers,
                              view_engine (&views[subset], 0), -1,
                              clock_now (&views[subset].clock.clock), true);
      for (unsigned i = 0; i < ENGINES && !use_subsets; i++)
        view_engine (&views[subset], i)->in_other_subset = false;
    }
  for (unsigned i = 0; i < ARRIVALS; i++)
    {
      unsigned subset = (unsigned)(rng_uniform (&rng) * SUBSET_COUNT);
      bool is_long = rng_uniform (&rng) * REQUESTS_PER_LONG < 1;
      int tokens = is_long ? LONG_TOKENS : SHORT_TOKENS;
      struct server *server
          = view_choose_engine (&views[subset], i, (unsigned)tokens, &rng);

      CU_ASSERT_PTR_NOT_NULL_FATAL (server);
      requests[i].subset = subset;
      requests[i].engine = (unsigned)atoi (server->entry.id + 1);
      requests[i].tokens = tokens;
      engine_count_load (server, 1, tokens);
      in_flight_tokens[requests[i].engine] += tokens;
      if (i >= REQUEST_DURATION_MS / ARRIVAL_INTERVAL_MS)
        {
          unsigned finished = i - REQUEST_DURATION_MS / ARRIVAL_INTERVAL_MS;

          engine_count_load (view_engine (&views[requests[finished].subset],
                                          requests[finished].engine),
                             -1, requests[finished].tokens);
          in_flight_tokens[requests[finished].engine]
              -= requests[finished].tokens;
        }
      for (unsigned e = 0; e < ENGINES; e++)
        mean_square += (double)in_flight_tokens[e] * in_flight_tokens[e]
                       / ENGINES / ARRIVALS;
    }
  for (unsigned subset = 0; subset < SUBSET_COUNT; subset++)
    view_finish (&views[subset]);
  return sqrt (mean_square);
}

static void
test_load_is_more_even_with_subsets (void)
{
  double without_subsets = replay (false);
  double with_subsets = replay (true);

  CU_ASSERT_TRUE (with_subsets < without_subsets);
  printf ("tokens in flight at an engine, root mean square: %.0f, without "
          "subsets %.0f\n",
          with_subsets, without_subsets);
}

/* Each host sorted and ranked all servers ten times a second, though nothing
 * had changed. */
static void
test_unchanged_fleet_is_not_divided_again (void)
{
  enum
  {
    MARK = 4711
  };
  struct view view;

  view_init (&view, 0, SUBSET_COUNT * SUBSET_HOSTS, ENGINES);
  view_engine (&view, 0)->sending_host_count = MARK;
  clock_fake_advance (&view.clock, NS_PER_S);
  subsets_tick (&view.subsets);
  CU_ASSERT_EQUAL (view_engine (&view, 0)->sending_host_count, MARK);
  server_set_unreachable (&view.servers, view_engine (&view, 1));
  subsets_tick (&view.subsets);
  CU_ASSERT_NOT_EQUAL (view_engine (&view, 0)->sending_host_count, MARK);
  view_finish (&view);
}

/* An engine that was leaving and is ready again, in the same start, stayed in
 * no subset, since nothing was noted as changed. */
static void
test_engine_that_is_ready_again (void)
{
  struct server_entry entry;
  struct view view;
  uint64_t generation;

  view_init (&view, 0, SUBSET_COUNT * SUBSET_HOSTS, ENGINES);
  entry = view_engine (&view, 0)->entry;
  entry.leaving = true;
  servers_update (&view.servers, &entry, 2);
  generation = view.servers.generation;
  entry.leaving = false;
  servers_update (&view.servers, &entry, 3);
  CU_ASSERT_TRUE (view.servers.generation > generation);
  generation = view.servers.generation;
  servers_update (&view.servers, &entry, 4);
  CU_ASSERT_EQUAL (view.servers.generation, generation);
  view_finish (&view);
}

/* The callers of each data centre ask its hosts for addresses. Callers of the
 * large site by data centre, a second, and hosts there. */
static const struct
{
  unsigned requests;
  unsigned hosts;
} callers[] = { { 318, 44 }, { 369, 49 }, { 280, 42 },
                { 283, 53 }, { 264, 55 }, { 369, 52 } };

/* Add to LOADS, by the number of each host, the requests that the callers of
 * data centre CENTRE send who asked host OWN. */
static void
callers_send (unsigned centre, unsigned own, double *loads)
{
  struct clock_fake clock;
  struct presence presence;
  struct presence_host self = { .leaving = false };
  char own_key[32];
  GPtrArray *addresses = g_ptr_array_new ();
  unsigned number = 0;

  clock_fake_init (&clock, 0);
  for (unsigned c = 0; c < G_N_ELEMENTS (callers); c++)
    for (unsigned i = 0; i < callers[c].hosts; i++, number++)
      if (number == own)
        {
          g_snprintf (self.address, sizeof self.address, "%u", number);
          g_snprintf (self.data_centre, sizeof self.data_centre, "c%u", c);
          g_snprintf (own_key, sizeof own_key, "host/%03u", number);
        }
  presence_init (&presence, NULL, &clock.clock, own_key, &self, NS_PER_S);
  number = 0;
  for (unsigned c = 0; c < G_N_ELEMENTS (callers); c++)
    for (unsigned i = 0; i < callers[c].hosts; i++, number++)
      {
        char key[32], value[64];
        struct error error;

        g_snprintf (key, sizeof key, "host/%03u", number);
        g_snprintf (value, sizeof value,
                    "{\"address\":\"%u\",\"data_centre\":\"c%u\"}", number, c);
        presence_key_put (&presence, key, value, &error);
      }
  presence_list_addresses (&presence, addresses);
  CU_ASSERT_EQUAL (addresses->len, PRESENCE_ADDRESSES_MAX);
  for (guint i = 0; i < addresses->len; i++)
    loads[atoi (addresses->pdata[i])]
        += (double)callers[centre].requests
           / (callers[centre].hosts * addresses->len);
  g_ptr_array_free (addresses, TRUE);
  presence_finish (&presence);
}

/* Hosts of data centres with many callers had half as many requests again as
 * others, and each subset of hosts has the same number of servers. */
static void
test_callers_reach_all_hosts_alike (void)
{
  double loads[295] = { 0 };
  double most = 0, sum = 0;
  unsigned own = 0;

  for (unsigned c = 0; c < G_N_ELEMENTS (callers); c++)
    for (unsigned i = 0; i < callers[c].hosts; i++, own++)
      callers_send (c, own, loads);
  CU_ASSERT_EQUAL_FATAL (own, G_N_ELEMENTS (loads));
  for (unsigned first = 0; first + SUBSETS_HOSTS_USUAL <= own; first++)
    {
      double load = 0;

      for (unsigned i = 0; i < SUBSETS_HOSTS_USUAL; i++)
        load += loads[first + i];
      most = MAX (most, load / SUBSETS_HOSTS_USUAL);
    }
  for (unsigned i = 0; i < own; i++)
    sum += loads[i];
  printf ("# busiest neighbours: %.2f of the mean\n", most / (sum / own));
  CU_ASSERT_TRUE (most < 1.1 * sum / own);
}

/* 295 hosts before 160 engines had five engines a subset: those of some were
 * full, and requests waited to their deadline, while others had free ones. */
static void
test_few_engines_make_larger_subsets (void)
{
  static const struct
  {
    unsigned hosts;
    unsigned engines;
    unsigned subsets;
  } fleets[] = { { 295, 160, 15 },  { 295, 133, 15 }, { 295, 240, 30 },
                 { 301, 3002, 31 }, { 79, 90, 8 },    { 79, 75, 8 },
                 { 77, 112, 8 },    { 9, 9, 1 },      { 9, 0, 1 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      struct view view;

      view_init (&view, 0, fleets[i].hosts, fleets[i].engines);
      CU_ASSERT_EQUAL (view.subsets.count, fleets[i].subsets);
      CU_ASSERT_TRUE (view.subsets.host_count <= SUBSETS_HOSTS_MAX);
      view_finish (&view);
    }
}

static const struct unit_case cases[] = {
  { "few-engines-make-larger-subsets", test_few_engines_make_larger_subsets },
  { "callers-reach-all-hosts-alike", test_callers_reach_all_hosts_alike },
  { "engine-that-is-ready-again", test_engine_that_is_ready_again },
  { "unchanged-fleet-is-not-divided-again",
    test_unchanged_fleet_is_not_divided_again },
  { "engines-are-dealt-evenly", test_engines_are_assigned_evenly },
  { "small-fleet-and-small-service", test_small_fleet_and_small_service },
  { "other-cells", test_other_subsets },
  { "load-is-more-even-than-without", test_load_is_more_even_with_subsets },
};

int
main (void)
{
  return unit_run ("cells", cases, G_N_ELEMENTS (cases));
}
