#include "cli.h"
#include "explainjson.h"
#include "forwardqueue.h"
#include "forwardstate.h"
#include "unit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  FLEETS = 3000,
  SERVERS_MAX = 30,
  CHOICES = 4, /* of each fleet */
  MANY = 100,
  HANG_S = 10
};

static uv_loop_t loop;
static struct clock_fake fake_clock;
static struct servers servers;
static struct rng rng;
static struct blameshare blameshare;
static struct forwarder forwarder;

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed, NULL };
static const struct blame_ops blame_ops = { 0 };

static void
setup (void)
{
  struct forward_settings settings = { .choose = choose_settings_default };

  uv_loop_init (&loop);
  clock_fake_init (&fake_clock, 10 * NS_PER_S);
  servers_init (&servers, &loop, &fake_clock.clock, "dc", NS_PER_S,
                &servers_ops, NULL);
  blame_init (&blameshare.blame, &fake_clock.clock, &blame_ops, NULL);
  forwarder_init (&forwarder, &loop, &fake_clock.clock, &rng, NULL, NULL, NULL,
                  &settings, &servers, NULL, &blameshare, NULL, NULL, NULL);
}

static void
finish (void)
{
  forwarder_finish (&forwarder);
  blame_finish (&blameshare.blame);
  servers_finish (&servers);
  uv_loop_close (&loop);
}

static struct server *
add_server (unsigned number)
{
  struct server_entry entry = { .slots = 4, .model_count = 1 };

  g_snprintf (entry.id, sizeof entry.id, "s%u", number);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_snprintf (entry.address, sizeof entry.address, "10.0.0.1:%u", number + 1);
  g_strlcpy (entry.data_centre, number % 3 == 0 ? "other" : "dc",
             sizeof entry.data_centre);
  g_strlcpy (entry.models[0].name, "m", sizeof entry.models[0].name);
  entry.models[0].weight_version = 2;
  servers_update (&servers, &entry, 1);
  return servers_find (&servers, entry.id);
}

/* Give SERVER a random load and, rarely, reasons not to be chosen. */
static void
server_draw (struct server *server)
{
  int64_t now = fake_clock.now_ns;

  server->kv_capacity_tokens = 100000;
  server->in_flight_requests = (unsigned)rng_below (&rng, 6);
  server->in_flight_tokens = server->in_flight_requests * (uint64_t)15000;
  server->pending_prefill_tokens = rng_below (&rng, 4) * 1000;
  server->other_hosts_requests = (unsigned)rng_below (&rng, 4);
  server->other_hosts_memory_tokens
      = server->other_hosts_requests * (uint64_t)10000;
  server->failure_ratio = rng_below (&rng, 4) == 0 ? rng_uniform (&rng) : 0;
  server->has_load_report = rng_below (&rng, 2) == 0;
  server->running_requests = (unsigned)rng_below (&rng, 9);
  server->load_reported_ns = now - (int64_t)rng_below (&rng, NS_PER_S);
  server->entry.leaving = rng_below (&rng, 12) == 0;
  server->in_other_subset = rng_below (&rng, 4) == 0;
  server->entry.models[0].weight_version = 1 + rng_below (&rng, 2);
  if (rng_below (&rng, 12) == 0)
    server_set_unreachable (&servers, server);
  if (rng_below (&rng, 12) == 0)
    server_set_busy (server, now + NS_PER_S);
  if (rng_below (&rng, 12) == 0)
    serverpause_record (&server->pause, NS_PER_S, now);
  if (rng_below (&rng, 12) == 0)
    servers_record_limit (&servers, server, (double)rng_below (&rng, 20), now,
                          true);
  if (rng_below (&rng, 12) == 0)
    servers_record_brittle (&servers, server, (int64_t)rng_below (&rng, 3),
                            now, true);
  if (rng_below (&rng, 3) == 0)
    server_cache_add (server, &(struct call_block){ 7, 4000 }, 1, now);
}

struct visits
{
  struct server *best;
  double best_ms;
  unsigned close; /* usable servers within the random part of the best */
  GArray *costs;  /* of usable servers */
  unsigned count;
};

static void
visit (void *data, const struct choose_candidate *candidate)
{
  struct visits *visits = data;

  visits->count++;
  if (candidate->verdict != CHOOSE_USABLE)
    return;
  g_array_append_val (visits->costs, candidate->cost_ms);
  if (visits->best != NULL && candidate->cost_ms >= visits->best_ms)
    return;
  visits->best = candidate->server;
  visits->best_ms = candidate->cost_ms;
}

/* Compare what is explained of QUERY with real choices.
 * @return whether only one server could be chosen */
static bool
fleet_compare (const struct choose_query *query)
{
  struct visits visits = { .costs = g_array_new (FALSE, FALSE, 8) };
  struct choose_result explained, chosen;
  struct rng before = rng;

  choose_visit (&servers, &choose_settings_default, query, visit, &visits,
                &explained);
  CU_ASSERT_EQUAL (rng.state, before.state);
  CU_ASSERT_PTR_EQUAL (explained.server, visits.best);
  for (guint i = 0; i < visits.costs->len; i++)
    visits.close += g_array_index (visits.costs, double, i)
                    < visits.best_ms + CHOOSE_RANDOM_COST_MS;
  g_array_free (visits.costs, TRUE);
  for (unsigned i = 0; i < CHOICES; i++)
    {
      choose_server (&servers, &choose_settings_default, query, &rng, &chosen);
      CU_ASSERT_EQUAL (chosen.server != NULL, explained.server != NULL);
      CU_ASSERT_EQUAL (chosen.at_capacity, explained.at_capacity);
      CU_ASSERT_EQUAL (chosen.limited, explained.limited);
      CU_ASSERT_EQUAL (chosen.limited_wait_ns, explained.limited_wait_ns);
      CU_ASSERT_EQUAL (chosen.paused, explained.paused);
      CU_ASSERT_EQUAL (chosen.too_late, explained.too_late);
      CU_ASSERT_EQUAL (chosen.candidates, explained.candidates);
      if (visits.close == 1)
        CU_ASSERT_PTR_EQUAL (chosen.server, visits.best);
      if (chosen.server != NULL)
        CU_ASSERT_TRUE (chosen.cost_ms
                        < visits.best_ms + CHOOSE_RANDOM_COST_MS);
    }
  return visits.close == 1;
}

/* The explained best server was another one than the chosen one. */
static void
test_best_is_the_chosen_one (void)
{
  unsigned alone = 0;

  for (unsigned fleet = 0; fleet < FLEETS; fleet++)
    {
      struct call call = { .prompt_tokens = 9000,
                           .output_tokens = 100,
                           .blocks = { { 7, 4000 }, { 8, 5000 } },
                           .block_count = 2 };
      struct wanted_weights wanted = { .model = "m" };
      struct choose_query query = { .service = "svc", .call = &call };

      rng_init (&rng, fleet + 1);
      setup ();
      for (unsigned i = (unsigned)rng_below (&rng, SERVERS_MAX + 1); i > 0;
           i--)
        server_draw (add_server (i));
      if (rng_below (&rng, 3) > 0)
        query.model = "m";
      query.required_version = rng_below (&rng, 3);
      if (rng_below (&rng, 2) == 0)
        {
          query.preferred_version = 2;
          weights_add_version (&wanted, 2, fake_clock.now_ns);
          query.wanted = &wanted;
          query.begin_span_ns = (int64_t)rng_below (&rng, 400) * NS_PER_MS;
        }
      alone += fleet_compare (&query);
      finish ();
    }
  CU_ASSERT_TRUE (alone > FLEETS / 4);
  CU_ASSERT_TRUE (alone < FLEETS);
}

static void
add_route (struct routes *routes, const char *prefix, const char *service)
{
  struct route *route = routes_add_route (routes);

  route->name = g_strdup (prefix);
  route->host = g_strdup ("h.example");
  route->prefix = g_strdup (prefix);
  route->timeout_ns = 2 * NS_PER_S;
  route->latency_target_ns = NS_PER_S;
  route->servers_max = 2;
  if (service != NULL)
    route_add_share (route, service, 1);
}

/* The routes "/x/", "/other/", which has another share, "/none/" without a
 * service, and "/public/". */
static void
set_routes (void)
{
  struct routes *routes = routes_new ();
  struct route *route;

  add_route (routes, "/x/", "svc");
  add_route (routes, "/other/", "other");
  route_add_share (routes->all_routes->pdata[1], "svc", 2);
  add_route (routes, "/none/", NULL);
  add_route (routes, "/public/", "svc");
  route = routes->all_routes->pdata[3];
  route->is_public = true;
  routes_add_key (routes, "secret", routes_add_organisation (routes, "org"));
  routes_build_index (routes);
  forwarder_set_routes (&forwarder, routes);
  routes_unref (routes);
}

static int
handle (const char *body, GString *reply)
{
  g_string_truncate (reply, 0);
  return explainjson_handle (&forwarder, body, strlen (body), reply);
}

#define REQUEST(path)                                                         \
  "{\"host\":\"H.example:80\",\"path\":\"" path "\",\"organisation\":"        \
  "\"org\"}"

static void
expect_reply (const char *body, const char *text)
{
  GString *reply = g_string_new (NULL);
  bool holds = handle (body, reply) == 200;

  holds = holds && strstr (reply->str, text) != NULL
          && strstr (reply->str, "secret") == NULL;
  unit_expect (holds, text, holds ? body : reply->str);
  g_string_free (reply, TRUE);
}

/* The host says what would happen to a request, and why. */
static void
test_outcomes (void)
{
  struct forward other = { .service = "other" };
  struct server *server;
  int64_t now;

  rng_init (&rng, 1);
  setup ();
  expect_reply (REQUEST ("/x/"), "\"reason\":\"no_configuration\"");
  set_routes ();
  expect_reply (REQUEST ("/x/"), "\"reason\":\"no_server\"");
  expect_reply (REQUEST ("/y/"), "\"reason\":\"no_route\"");
  expect_reply (REQUEST ("/none/"), "\"reason\":\"no_service\"");
  expect_reply ("{\"host\":\"h.example\",\"path\":\"/x/\"}",
                "\"reason\":\"unknown_key\"");
  list_append (&forwarder.waiting, &other.waiting_node);
  forwarder.waiting_count = 1;
  expect_reply (REQUEST ("/x/"), "\"waiting_here\":1,\"waiting_service\":0");
  other.service = "svc";
  expect_reply (REQUEST ("/x/"), "\"waiting_here\":1,\"waiting_service\":1");
  list_remove (&other.waiting_node);
  server = add_server (1);
  now = fake_clock.now_ns;
  expect_reply (REQUEST ("/x/?y"),
                "\"action\":\"sent\",\"reason\":null,\"server\":\"s1\"");
  expect_reply ("{\"host\":\"h.example\",\"path\":\"/public/\"}",
                "\"organisation\":null");
  expect_reply (REQUEST ("/other/"), "\"service\":\"svc\"");
  expect_reply ("{\"host\":\"h.example\",\"path\":\"/other/\",\"organisation\""
                ":\"org\",\"service\":\"other\"}",
                "\"service\":\"other\"");
  server->kv_capacity_tokens = 100;
  server->in_flight_tokens = 90;
  expect_reply ("{\"host\":\"h.example\",\"path\":\"/x/\",\"organisation\":"
                "\"org\",\"model\":\"m\",\"prompt_tokens\":50}",
                "\"action\":\"waits\",\"reason\":\"at_capacity\"");
  servers_record_limit (&servers, server, 0.1, now, true);
  expect_reply (REQUEST ("/x/"), "\"reason\":\"limited\"");
  expect_reply (REQUEST ("/x/"), "\"limit\":{\"per_s\":0.100");
  expect_reply (REQUEST ("/x/"), "\"verdict\":\"limited\"");
  servers_record_limit (&servers, server, -1, now, true);
  serverpause_record (&server->pause, NS_PER_S, now);
  expect_reply (REQUEST ("/x/"), "\"reason\":\"paused\"");
  expect_reply (REQUEST ("/x/"), "\"pause_ms\":1000.000");
  forwarder.is_ending = true;
  expect_reply (REQUEST ("/x/"), "\"reason\":\"stopping\"");
  finish ();
}

/* An explanation left the queue of a service out, or never ended with it. */
static void
test_queue_is_explained (void)
{
  struct forward waiting = { .forwarder = &forwarder,
                             .service = "svc",
                             .call.model = "m",
                             .arrived_ns = 10 * NS_PER_S,
                             .deadline_ns = 11 * NS_PER_S };

  setup ();
  set_routes ();
  add_server (1);
  forwarder.settings.queue_mode = FORWARDQUEUE_ALWAYS;
  forwarder.settings.queue = waitqueue_settings_default;
  waiting.routes = forwarder.routes;
  waiting.route = forwarder.routes->all_routes->pdata[0];
  list_init (&waiting.waiting_node);
  forwardqueue_add (&waiting);
  alarm (HANG_S);
  expect_reply (
      "{\"host\":\"h.example\",\"path\":\"/public/\",\"model\":\"m\"}",
      "\"action\":\"waits\"");
  alarm (0);
  forwardqueue_remove (&waiting);
  finish ();
}

static char *
server_checksum (const struct server *server)
{
  return g_compute_checksum_for_data (G_CHECKSUM_SHA256,
                                      (const guchar *)server, sizeof *server);
}

/* An explanation changed the host or its random numbers. */
static void
test_nothing_changes (void)
{
  char *before, *after;
  struct server *server;
  struct rng rng_before;

  rng_init (&rng, 3);
  setup ();
  set_routes ();
  server = add_server (1);
  server_draw (server);
  before = server_checksum (server);
  rng_before = rng;
  expect_reply (REQUEST ("/x/"), "\"service\":\"svc\"");
  after = server_checksum (server);
  CU_ASSERT_STRING_EQUAL (after, before);
  g_free (before);
  g_free (after);
  CU_ASSERT_EQUAL (rng.state, rng_before.state);
  CU_ASSERT_EQUAL (forwarder.request_count, 0);
  CU_ASSERT_EQUAL (forwarder.waiting_count, 0);
  CU_ASSERT_TRUE (list_empty (&forwarder.requests));
  finish ();
}

/* A large fleet made the reply large; what is left out is not the best. */
static void
test_reply_is_bounded (void)
{
  GString *reply = g_string_new (NULL);
  struct json_object *object, *list, *first;

  rng_init (&rng, 1);
  setup ();
  set_routes ();
  for (unsigned i = 0; i < MANY; i++)
    add_server (i)->in_flight_requests = MANY - i;
  CU_ASSERT_EQUAL (handle (REQUEST ("/x/"), reply), 200);
  object = json_tokener_parse (reply->str);
  list = json_object_object_get (object, "candidates");
  first = json_object_array_get_idx (list, 0);
  CU_ASSERT_EQUAL (json_object_array_length (list),
                   EXPLAINJSON_CANDIDATES_MAX);
  CU_ASSERT_EQUAL (
      json_object_get_int (json_object_object_get (object, "left_out")),
      MANY - EXPLAINJSON_CANDIDATES_MAX);
  CU_ASSERT_STRING_EQUAL (
      json_object_get_string (json_object_object_get (first, "server")),
      json_object_get_string (json_object_object_get (object, "server")));
  json_object_put (object);
  g_string_free (reply, TRUE);
  finish ();
}

#define WITH(fields) "{\"host\":\"h.example\",\"path\":\"/x/\"," fields "}"

/* A malformed request was explained as if it were another one. */
static void
test_malformed_requests (void)
{
  static const struct
  {
    const char *body;
    const char *field; /* that the message names */
  } cases[] = {
    { "", "body:" },
    { "{", "body:" },
    { "[]", "body:" },
    { "null", "body:" },
    { "{} x", "body:" },
    { "{'host':'h'}", "body:" },
    { "{\"a\":[[[[[[[[[[1]]]]]]]]]]}", "body:" },
    { "{}", "host:" },
    { "{\"host\":\"h.example\"}", "path:" },
    { "{\"host\":\":\",\"path\":\"/x/\"}", "host:" },
    { "{\"host\":7,\"path\":\"/x/\"}", "host:" },
    { "{\"host\":\"h\\u0000x\",\"path\":\"/x/\"}", "host:" },
    { "{\"host\":\"h.example\",\"path\":\"x\"}", "path:" },
    { WITH ("\"api_key\":\"secret\""), "api_key:" },
    { WITH ("\"organisation\":\"nobody\""), "organisation:" },
    { WITH ("\"organisation\":\"\""), "organisation:" },
    { WITH ("\"organisation\":\"org\",\"service\":\"none\""), "service:" },
    { WITH ("\"model\":null"), "model:" },
    { WITH ("\"prompt_tokens\":-1"), "prompt_tokens:" },
    { WITH ("\"prompt_tokens\":1.5"), "prompt_tokens:" },
    { WITH ("\"prompt_tokens\":\"1\""), "prompt_tokens:" },
    { WITH ("\"output_tokens\":1e9"), "output_tokens:" },
    { WITH ("\"output_tokens\":99999999999999999999"), "output_tokens:" },
    { WITH ("\"time_left_ms\":86400001"), "time_left_ms:" },
    { WITH ("\"blocks\":{}"), "blocks:" },
    { WITH ("\"blocks\":[7]"), "blocks: element 0" },
    { WITH ("\"blocks\":[[\"a\",1],[\"g\",1]]"), "blocks: element 1" },
    { WITH ("\"blocks\":[[\"a\",-1]]"), "blocks:" },
    { WITH ("\"blocks\":[[\"0x1\",1]]"), "blocks:" },
    { WITH ("\"blocks\":[[\"12345678901234567\",1]]"), "blocks:" },
    { WITH ("\"blocks\":[[\"a\",1,2]]"), "blocks:" },
  };
  GString *reply = g_string_new (NULL);

  rng_init (&rng, 1);
  setup ();
  set_routes ();
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    unit_expect (handle (cases[i].body, reply) == 400
                     && strstr (reply->str, cases[i].field) != NULL,
                 cases[i].field, cases[i].body);
  g_string_free (reply, TRUE);
  finish ();
}

/* Requests at the bounds are taken. */
static void
test_largest_requests (void)
{
  GString *body = g_string_new (REQUEST ("/x/"));
  GString *reply = g_string_new (NULL);

  rng_init (&rng, 1);
  setup ();
  set_routes ();
  while (body->len < EXPLAINJSON_REQUEST_BYTES_MAX)
    g_string_append_c (body, '\n');
  CU_ASSERT_EQUAL (handle (body->str, reply), 200);
  g_string_append_c (body, '\n');
  CU_ASSERT_EQUAL (handle (body->str, reply), 400);
  g_string_assign (body, "{\"host\":\"h.example\",\"path\":\"/x/\",\"blocks\":"
                         "[[\"0\",1]");
  for (unsigned i = 1; i < CALL_BLOCKS_MAX; i++)
    g_string_append (body, ",[\"FFFFFFFFFFFFFFFF\",100000000]");
  g_string_append (body, "]}");
  CU_ASSERT_EQUAL (handle (body->str, reply), 200);
  g_string_insert (body, (gssize)body->len - 2, ",[\"1\",1]");
  CU_ASSERT_EQUAL (handle (body->str, reply), 400);
  g_string_free (body, TRUE);
  g_string_free (reply, TRUE);
  finish ();
}

/* An entry host behind the command. It answers with the real code. */
struct fake_entry
{
  enum status status;
  bool was_shown_key;
  char *body;
};

static void
entry_call (struct cli *cli, const char *address, const char *method,
            const char *path, const char *body, struct cli_response *response)
{
  struct fake_entry *entry = cli->context;
  GString *reply = g_string_new (NULL);

  CU_ASSERT_STRING_EQUAL (method, "POST");
  CU_ASSERT_STRING_EQUAL (path, "/explain");
  entry->was_shown_key = cli->operator_key != NULL;
  g_free (entry->body);
  entry->body = g_strdup (body);
  response->status = entry->status;
  response->http_status = handle (body, reply);
  response->body = g_string_free (reply, FALSE);
}

static const struct cli_ops cli_ops = { entry_call, NULL, NULL };

static void
expect_command (struct fake_entry *entry, const char *options, int exit_status,
                const char *text)
{
  struct cli cli = { .ops = &cli_ops, .context = entry };
  char *command
      = g_strstrip (g_strconcat ("trefoilspar explain ", options, NULL));
  char **arguments = g_strsplit (command, " ", -1);
  char *output;
  size_t size;
  bool holds;

  cli.out = open_memstream (&output, &size);
  cli.err = cli.out;
  holds = (int)cli_run (&cli, (int)g_strv_length (arguments), arguments)
          == exit_status;
  fclose (cli.out);
  holds = holds && strstr (output, text) != NULL && !entry->was_shown_key;
  unit_expect (holds, text, holds ? command : output);
  free (output);
  g_strfreev (arguments);
  g_free (command);
}

#define ENTRY "-e 10.0.0.1:1 "
#define ROUTE "--host h.example --path /x/ --organisation org "

/* The command must send what its options say, and end with 1 on errors. */
static void
test_command (void)
{
  struct fake_entry entry = { .status = STATUS_OK };

  rng_init (&rng, 1);
  setup ();
  set_routes ();
  add_server (1);
  g_setenv ("TREFOILSPAR_OPERATOR_KEY", "operator", TRUE);
  expect_command (&entry, "--help", 0, "--prompt-tokens");
  expect_command (&entry, ROUTE, 1, "--entry");
  expect_command (&entry, ENTRY, 1, "--host and --path");
  expect_command (&entry, ENTRY ROUTE "--block x", 1, "ID:TOKENS");
  expect_command (&entry, ENTRY "--file none.json", 1, "cannot read");
  expect_command (&entry, ENTRY ROUTE "--file none.json", 1, "either");
  expect_command (&entry, ENTRY ROUTE "x", 1, "no argument");
  expect_command (&entry, ENTRY ROUTE "--model m", 0, "sent to s1\n");
  expect_command (&entry, ENTRY ROUTE, 0, "usable");
  expect_command (&entry, ENTRY ROUTE "--json", 0, "{\"action\":\"sent\"");
  expect_command (&entry, ENTRY "--host h.example --path x", 1, "400: path:");
  expect_command (&entry,
                  ENTRY ROUTE "--model m --prompt-tokens 9 --output-tokens 1 "
                              "--time-left-ms 0 --block a:4 --block b:5",
                  0, "sent");
  CU_ASSERT_STRING_EQUAL (
      entry.body, "{\"host\":\"h.example\",\"path\":\"\\/x\\/\","
                  "\"organisation\":\"org\",\"model\":\"m\","
                  "\"prompt_tokens\":9,\"output_tokens\":1,\"time_left_ms\":0,"
                  "\"blocks\":[[\"a\",4],[\"b\",5]]}");
  entry.status = STATUS_UNAVAILABLE;
  expect_command (&entry, ENTRY ROUTE, 1, "no answer");
  g_unsetenv ("TREFOILSPAR_OPERATOR_KEY");
  g_free (entry.body);
  finish ();
}

static const struct unit_case cases[] = {
  { "best-is-the-chosen-one", test_best_is_the_chosen_one },
  { "outcomes", test_outcomes },
  { "queue-is-explained", test_queue_is_explained },
  { "nothing-changes", test_nothing_changes },
  { "reply-is-bounded", test_reply_is_bounded },
  { "malformed-requests", test_malformed_requests },
  { "largest-requests", test_largest_requests },
  { "command", test_command },
};

int
main (void)
{
  return unit_run ("explain", cases, G_N_ELEMENTS (cases));
}
