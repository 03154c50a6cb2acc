#include "call.h"
#include "subsets.h"
#include "choose.h"
#include "unit.h"

#include <math.h>
#include <string.h>

enum
{
  GROUPS = 4, /* hosts of one cell, which know each other's work */
  GROUP_HOSTS = 10,
  ENGINES = 48,
  ARRIVALS = 2000,
  STEP_MS = 2,   /* between two arrivals */
  RUN_MS = 400,  /* of a request */
  LONG_EACH = 5, /* Each such request on average is a long one. */
  LONG_TOKENS = 20000,
  SHORT_TOKENS = 2000,
  MEMORY_TOKENS = 90000
};

static const char *const data_centres[] = { "east", "north", "south", "west" };

/* What one host knows of the fleet. */
struct view
{
  struct clock_fake clock;
  uv_loop_t loop;
  struct presence presence;
  struct servers servers;
  struct subsets cells;
};

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed };

static void
host_name (unsigned index, char name[32])
{
  g_snprintf (name, 32, "host/%02u", index);
}

static void
engine_name (unsigned index, char name[32])
{
  g_snprintf (name, 32, "e%02u", index);
}

/* Host OWN of HOSTS, which stand in the data centres in equal parts. */
static void
view_init (struct view *view, unsigned own, unsigned hosts, unsigned engines)
{
  struct presence_host self = { .address = "a" };
  struct error error;
  char name[32];

  memset (view, 0, sizeof *view);
  clock_fake_init (&view->clock, 10 * NS_PER_S);
  uv_loop_init (&view->loop);
  strcpy (self.data_centre, data_centres[own * 4 / hosts]);
  host_name (own, name);
  presence_init (&view->presence, NULL, &view->clock.clock, name, &self,
                 NS_PER_S);
  for (unsigned i = 0; i < hosts; i++)
    {
      char *value
          = g_strdup_printf ("{\"address\":\"a\",\"data_centre\":\"%s\"}",
                             data_centres[i * 4 / hosts]);

      host_name (i, name);
      CU_ASSERT_EQUAL (presence_key_put (&view->presence, name, value, &error),
                       STATUS_OK);
      g_free (value);
    }
  servers_init (&view->servers, &view->loop, &view->clock.clock,
                self.data_centre, NS_PER_S, &servers_ops, NULL);
  for (unsigned i = 0; i < engines; i++)
    {
      struct server_entry entry
          = { .service = "llm", .address = "10.0.0.1:1", .slots = 64 };

      engine_name (i, entry.id);
      strcpy (entry.data_centre, data_centres[i * 4 / engines]);
      servers_update (&view->servers, &entry, 1);
      servers_find (&view->servers, entry.id)->kv_capacity_tokens
          = MEMORY_TOKENS;
    }
  subsets_init (&view->cells, &view->clock.clock, &view->presence,
                &view->servers);
  subsets_tick (&view->cells);
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
engine (struct view *view, unsigned index)
{
  char name[32];

  engine_name (index, name);
  return servers_find (&view->servers, name);
}

static unsigned
own_engines (struct view *view, unsigned engines, const char *data_centre)
{
  unsigned count = 0;

  for (unsigned i = 0; i < engines; i++)
    {
      const struct server *server = engine (view, i);

      count += !server->in_other_subset
               && (data_centre == NULL
                   || strcmp (server->entry.data_centre, data_centre) == 0);
    }
  return count;
}

/* 77 hosts and 112 engines: 8 cells, each with 14 engines in all data
 * centres, and each engine in one cell. */
static void
test_engines_are_dealt_evenly (void)
{
  unsigned owners[112] = { 0 };

  for (unsigned own = 0; own < 77; own++)
    {
      struct view view;

      view_init (&view, own, 77, 112);
      CU_ASSERT_EQUAL (view.cells.count, 8);
      CU_ASSERT_TRUE (view.cells.host_count >= 9
                      && view.cells.host_count <= SUBSETS_HOSTS_MAX);
      CU_ASSERT_EQUAL (own_engines (&view, 112, NULL), 14);
      for (int i = 0; i < 4; i++)
        CU_ASSERT_TRUE (own_engines (&view, 112, data_centres[i]) >= 3);
      for (unsigned i = 0; i < 112; i++)
        owners[i] += !engine (&view, i)->in_other_subset;
      view_finish (&view);
    }
  for (unsigned i = 0; i < 112; i++)
    CU_ASSERT_TRUE (owners[i] >= 9 && owners[i] <= SUBSETS_HOSTS_MAX);
}

static void
test_small_fleet_and_small_service (void)
{
  struct view view;

  view_init (&view, 3, 8, 18);
  CU_ASSERT_EQUAL (own_engines (&view, 18, NULL), 18);
  CU_ASSERT_EQUAL (engine (&view, 0)->sending_hosts, 8);
  view_finish (&view);
  view_init (&view, 3, 77, 4);
  CU_ASSERT_EQUAL (own_engines (&view, 4, NULL), 4);
  CU_ASSERT_EQUAL (engine (&view, 0)->sending_hosts, 77);
  view_finish (&view);
}

static struct server *
place (struct view *view, uint64_t context, unsigned tokens, struct rng *rng)
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
test_other_cells (void)
{
  struct view view;
  struct rng rng;

  rng_init (&rng, 1);
  view_init (&view, 0, 40, ENGINES);
  CU_ASSERT_FALSE (place (&view, 1, LONG_TOKENS, &rng)->in_other_subset);
  for (unsigned i = 0; i < ENGINES; i++)
    if (!engine (&view, i)->in_other_subset)
      engine (&view, i)->in_flight_tokens = MEMORY_TOKENS;
  CU_ASSERT_PTR_NULL (place (&view, 2, LONG_TOKENS, &rng));
  for (unsigned i = 0; i < ENGINES; i++)
    if (!engine (&view, i)->in_other_subset)
      engine (&view, i)->down_since_ns = 1;
  CU_ASSERT_TRUE (place (&view, 3, LONG_TOKENS, &rng)->in_other_subset);
  view_finish (&view);
}

static void
count (struct server *server, int sign, int tokens)
{
  server->in_flight_requests += (unsigned)sign;
  server->in_flight_tokens += (uint64_t)(sign * tokens);
  server->pending_prefill_tokens += (uint64_t)(sign * tokens);
}

/* Replay of a steady load at the hosts of four cells, each of which knows
 * the work of its own cell only. @return the root of the mean of the squares
 * of tokens under way at an engine; if DEALT is false, as it was before cells:
 * every host sends to any engine and takes the others to be like its own cell.
 */
static double
replay (bool dealt)
{
  static struct view views[GROUPS];
  static struct
  {
    unsigned group, engine;
    int tokens;
  } sent[ARRIVALS];
  int total[ENGINES] = { 0 };
  double squares = 0;
  struct rng rng;

  rng_init (&rng, 7);
  for (unsigned g = 0; g < GROUPS; g++)
    {
      view_init (&views[g], g * GROUP_HOSTS, GROUPS * GROUP_HOSTS, ENGINES);
      for (unsigned i = 0; i < ENGINES && !dealt; i++)
        engine (&views[g], i)->in_other_subset = false;
    }
  for (unsigned i = 0; i < ARRIVALS; i++)
    {
      unsigned group = (unsigned)(rng_uniform (&rng) * GROUPS);
      bool is_long = rng_uniform (&rng) * LONG_EACH < 1;
      int tokens = is_long ? LONG_TOKENS : SHORT_TOKENS;
      struct server *server = place (&views[group], i, (unsigned)tokens, &rng);

      CU_ASSERT_PTR_NOT_NULL_FATAL (server);
      sent[i].group = group;
      sent[i].engine = (unsigned)atoi (server->entry.id + 1);
      sent[i].tokens = tokens;
      count (server, 1, tokens);
      total[sent[i].engine] += tokens;
      if (i >= RUN_MS / STEP_MS)
        {
          unsigned ended = i - RUN_MS / STEP_MS;

          count (engine (&views[sent[ended].group], sent[ended].engine), -1,
                 sent[ended].tokens);
          total[sent[ended].engine] -= sent[ended].tokens;
        }
      for (unsigned e = 0; e < ENGINES; e++)
        squares += (double)total[e] * total[e] / ENGINES / ARRIVALS;
    }
  for (unsigned g = 0; g < GROUPS; g++)
    view_finish (&views[g]);
  return sqrt (squares);
}

static void
test_load_is_more_even_than_without (void)
{
  double before = replay (false);
  double after = replay (true);

  CU_ASSERT_TRUE (after < before);
  printf (
      "tokens at an engine, root of mean square: %.0f, without cells %.0f\n",
      after, before);
}

static const struct unit_case cases[] = {
  { "engines-are-dealt-evenly", test_engines_are_dealt_evenly },
  { "small-fleet-and-small-service", test_small_fleet_and_small_service },
  { "other-cells", test_other_cells },
  { "load-is-more-even-than-without", test_load_is_more_even_than_without },
};

int
main (void)
{
  return unit_run ("cells", cases, G_N_ELEMENTS (cases));
}
