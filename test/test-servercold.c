#include "choose.h"
#include "clock.h"
#include "decode.h"
#include "fake-coldfleet.h"
#include "message.h"
#include "rng.h"
#include "servercold.h"
#include "serverlearn.h"
#include "unit.h"

#include <string.h>

enum
{
  SPAN_S = 5
};

static struct servercold_host host;

static void
cold_init (struct servercold *cold, unsigned host_count, unsigned rank)
{
  host = (struct servercold_host){
    .overage = 1.5, .tolerance = 5, .window_ns = NS_PER_S, .listed_ns = 1
  };
  servercold_init (cold, &host);
  servercold_configure (cold, 12, SPAN_S * NS_PER_S);
  servercold_set_position (cold, host_count, rank);
}

/* A bucket let a host send twice its share within a second, and a share that
 * changed began a new count. */
static void
test_no_window_exceeds_the_share (void)
{
  struct servercold cold;
  GArray *sends = g_array_new (FALSE, FALSE, sizeof (int64_t));
  struct rng rng;

  rng_init (&rng, 1);
  cold_init (&cold, 4, 1);
  servercold_assume (&cold, SERVERCOLD_RETURN, 10 * NS_PER_S);
  for (int64_t now = 10 * NS_PER_S; now < 15 * NS_PER_S;
       now += (int64_t)rng_below (&rng, 100) * NS_PER_MS)
    {
      if (rng_below (&rng, 20) == 0)
        servercold_set_position (&cold, 4 + (unsigned)rng_below (&rng, 2), 1);
      CU_ASSERT_EQUAL (servercold_allows (&cold, now),
                       servercold_wait_ns (&cold, now) == 0);
      if (!servercold_allows (&cold, now))
        continue;
      servercold_take (&cold, now);
      g_array_append_val (sends, now);
    }
  CU_ASSERT_TRUE (sends->len >= 15);
  for (guint i = 0; i + 6 < sends->len; i++)
    CU_ASSERT_TRUE (g_array_index (sends, int64_t, i + 6)
                        - g_array_index (sends, int64_t, i)
                    >= NS_PER_S);
  g_array_free (sends, TRUE);
  servercold_finish (&cold);
}

/* Hosts that learned of a change at different times used more than the bound:
 * the part of a host must not grow when others join, and not at once when
 * others leave. */
static void
test_mixed_views_keep_the_room (void)
{
  struct servercold cold;

  for (unsigned count = 1; count < 60; count++)
    for (unsigned rank = 0; rank < count; rank++)
      {
        unsigned before, after;

        cold_init (&cold, count, rank);
        before = servercold_share (&cold, 20 * NS_PER_S);
        cold_init (&cold, count + 1, rank);
        after = servercold_share (&cold, 20 * NS_PER_S);
        CU_ASSERT_TRUE (after <= before);
        cold_init (&cold, count + 1, rank + 1);
        after = servercold_share (&cold, 20 * NS_PER_S);
        CU_ASSERT_TRUE (after <= before);
        cold_init (&cold, count, rank);
        host.departed = 1;
        CU_ASSERT_EQUAL (servercold_share (&cold, 20 * NS_PER_S), after);
      }
}

/* A host that others don't know yet, or no longer, sent its share besides
 * theirs. */
static void
test_unlisted_host_sends_none (void)
{
  struct servercold cold;
  int64_t now = 20 * NS_PER_S;

  cold_init (&cold, 4, 0);
  servercold_assume (&cold, SERVERCOLD_RETURN, now);
  CU_ASSERT_TRUE (servercold_allows (&cold, now));
  host.listed_ns = 0;
  CU_ASSERT_FALSE (servercold_allows (&cold, now));
  CU_ASSERT_EQUAL (servercold_wait_ns (&cold, now), CLOCK_NEVER);
  host.listed_ns = now - 2 * NS_PER_S;
  host.join_ns = 3 * NS_PER_S;
  CU_ASSERT_FALSE (servercold_allows (&cold, now));
  CU_ASSERT_TRUE (servercold_allows (&cold, now + NS_PER_S));
  servercold_init (&cold, &host);
  servercold_configure (&cold, 12, SPAN_S * NS_PER_S);
  servercold_assume (&cold, SERVERCOLD_RETURN, now);
  CU_ASSERT_FALSE (servercold_allows (&cold, now + 2 * NS_PER_S));
}

/* A server that came back counted as warm since an entry of its former start
 * was read late, or for ever as cold since no response came. */
static void
test_what_ends_an_assumption (void)
{
  struct servercold cold;
  int64_t now = 20 * NS_PER_S;

  cold_init (&cold, 4, 0);
  CU_ASSERT_FALSE (servercold_is_cold (&cold, now));
  servercold_lost (&cold, now);
  CU_ASSERT_TRUE (servercold_is_cold (&cold, now + 100 * NS_PER_S));
  servercold_reached (&cold, now);
  servercold_record (&cold, 0, now - 1, SERVERCOLD_ENTRY, now);
  CU_ASSERT_TRUE (servercold_is_cold (&cold, now + SPAN_S * NS_PER_S - 1));
  CU_ASSERT_FALSE (servercold_is_cold (&cold, now + SPAN_S * NS_PER_S));
  servercold_record (&cold, 0, now, SERVERCOLD_RESPONSE, now);
  CU_ASSERT_FALSE (servercold_is_cold (&cold, now));
  servercold_record (&cold, NS_PER_S, now, SERVERCOLD_ENTRY, now);
  CU_ASSERT_STRING_EQUAL (servercold_cause_name (&cold, now), "entry");
  CU_ASSERT_FALSE (servercold_is_cold (&cold, now + NS_PER_S));
  servercold_lost (&cold, now);
  servercold_record (&cold, 0, now + 1, SERVERCOLD_ENTRY, now + 1);
  CU_ASSERT_FALSE (servercold_is_cold (&cold, now + 1));
}

/* The first sends of a host after a suspension came before its periodic work
 * had found the suspension. */
static void
test_late_host_takes_servers_as_cold (void)
{
  struct servercold cold;
  int64_t now = 20 * NS_PER_S;

  cold_init (&cold, 3, 0);
  host.tick_ns = now;
  CU_ASSERT_TRUE (servercold_allows (&cold, now + NS_PER_S - 1));
  CU_ASSERT_FALSE (servercold_allows (&cold, now + NS_PER_S));
  CU_ASSERT_STRING_EQUAL (servercold_cause_name (&cold, now + NS_PER_S),
                          "suspension");
}

/* Servers of services without a cold rate were limited. */
static void
test_no_cold_rate (void)
{
  struct servercold cold;

  cold_init (&cold, 0, 0);
  servercold_configure (&cold, 0, 0);
  servercold_lost (&cold, NS_PER_S);
  servercold_record (&cold, NS_PER_S, NS_PER_S, SERVERCOLD_ENTRY, NS_PER_S);
  servercold_take (&cold, NS_PER_S);
  CU_ASSERT_TRUE (servercold_allows (&cold, NS_PER_S));
  CU_ASSERT_PTR_NULL (cold.sends);
}

static unsigned changes, ignored;

static void
on_changed (void *data, const struct server *server, const char *change)
{
  changes += strcmp (change, "cold") == 0 || strcmp (change, "warm") == 0;
}

static void
on_ignored (void *data, const struct server *server, const char *field,
            const char *reason)
{
  ignored++;
}

static const struct servers_ops ops = { on_changed, on_ignored };

static void
entry_put (struct servers *servers, const char *id, uint64_t heartbeat,
           enum statement_kind kind, int64_t left_ns)
{
  struct server_entry entry = { .slots = 8,
                                .started_ms = 1,
                                .heartbeat = heartbeat,
                                .cold = kind,
                                .cold_left_ns = left_ns };
  struct server *server;

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.service, "svc", sizeof entry.service);
  g_strlcpy (entry.data_centre, id, sizeof entry.data_centre);
  servers_update (servers, &entry, heartbeat);
  server = servers_find (servers, id);
  servers_configure_cold (servers, server, 12, SPAN_S * NS_PER_S);
  servercold_set_position (&server->cold, 2, 0);
}

static void
tick (struct servers *servers, struct clock_fake *clock, int64_t ms)
{
  clock_fake_advance (clock, ms * NS_PER_MS);
  servers_cold_tick (servers, 1, 0, 0);
}

/* Requests went to a cold server while warm ones had capacity; entries that
 * were read again made a server cold or warm; a new record of a server began
 * a new count of sends. */
static void
test_servers (void)
{
  struct clock_fake clock;
  struct servers servers;
  struct call call = { 0 };
  struct choose_query query = { .service = "svc", .call = &call };
  struct choose_result result;
  struct rng rng;
  struct server *b;

  rng_init (&rng, 1);
  clock_fake_init (&clock, 100 * NS_PER_S);
  servers_init (&servers, NULL, &clock.clock, "a", NS_PER_S, &ops, NULL);
  servers_set_cold_bound (&servers, 1.5, 5);
  changes = ignored = 0;
  entry_put (&servers, "a", 1, STATEMENT_VALID, 3 * NS_PER_S);
  entry_put (&servers, "b", 1, STATEMENT_NONE, 0);
  tick (&servers, &clock, 20);
  CU_ASSERT_EQUAL (changes, 1);
  for (unsigned i = 0; i < 30; i++)
    {
      choose_server (&servers, &choose_settings_default, &query, &rng,
                     &result);
      CU_ASSERT_STRING_EQUAL (result.server->entry.id, "b");
    }
  b = servers_find (&servers, "b");
  query.excluded[query.excluded_count++] = b;
  for (unsigned i = 0; i < 11; i++)
    {
      choose_server (&servers, &choose_settings_default, &query, &rng,
                     &result);
      CU_ASSERT_TRUE (result.server != NULL && result.server_is_cold);
      servercold_take (&result.server->cold, clock_now (&clock.clock));
    }
  choose_server (&servers, &choose_settings_default, &query, &rng, &result);
  CU_ASSERT_TRUE (result.server == NULL && result.at_capacity
                  && !result.others_at_capacity);
  CU_ASSERT_TRUE (result.limited == 1 && result.cold == 1);
  CU_ASSERT_EQUAL (result.limited_wait_ns, 2 * NS_PER_S);
  CU_ASSERT_DOUBLE_EQUAL (result.limited_per_s, 5.5, 1e-9);
  servers_remove (&servers, "a", "gone");
  entry_put (&servers, "a", 1, STATEMENT_VALID, 3 * NS_PER_S);
  CU_ASSERT_FALSE (server_accepts_requests (servers_find (&servers, "a"),
                                            clock_now (&clock.clock)));

  entry_put (&servers, "b", 2, STATEMENT_MALFORMED, 0);
  entry_put (&servers, "b", 3, STATEMENT_MALFORMED, 0);
  CU_ASSERT_EQUAL (ignored, 1);
  servers_assume_cold (&servers, "b");
  CU_ASSERT_TRUE (
      servercold_is_cold (&b->cold, clock_now (&clock.clock) + 4 * NS_PER_S));
  tick (&servers, &clock, 900);
  entry_put (&servers, "b", 4, STATEMENT_VALID, 0);
  CU_ASSERT_TRUE (servercold_is_cold (&b->cold, clock_now (&clock.clock)));
  tick (&servers, &clock, 200);
  entry_put (&servers, "b", 4, STATEMENT_VALID, 0);
  CU_ASSERT_TRUE (servercold_is_cold (&b->cold, clock_now (&clock.clock)));
  entry_put (&servers, "b", 5, STATEMENT_VALID, 0);
  CU_ASSERT_FALSE (servercold_is_cold (&b->cold, clock_now (&clock.clock)));
  changes = 0;
  tick (&servers, &clock, 100);
  CU_ASSERT_EQUAL (changes, 1);
  tick (&servers, &clock, 1000);
  CU_ASSERT_TRUE (servercold_is_cold (&b->cold, clock_now (&clock.clock)));
  CU_ASSERT_EQUAL (changes, 2);
  servers_finish (&servers);
}

/* After one failed connection the next request reached a server that had
 * started again, as if it were warm. */
static void
test_failed_connection (void)
{
  struct clock_fake clock;
  struct servers servers;
  struct server *server;

  clock_fake_init (&clock, 100 * NS_PER_S);
  servers_init (&servers, NULL, &clock.clock, "a", NS_PER_S, &ops, NULL);
  entry_put (&servers, "a", 1, STATEMENT_NONE, 0);
  server = servers_find (&servers, "a");
  server_record_connection_failure (&servers, server);
  CU_ASSERT_FALSE (server_accepts_requests (server, 101 * NS_PER_S));
  CU_ASSERT_TRUE (servercold_is_cold (&server->cold, 110 * NS_PER_S));
  server->doubted_ns = 0;
  server_record_reached (&servers, server, false);
  CU_ASSERT_TRUE (servercold_is_cold (&server->cold, 105 * NS_PER_S - 1));
  CU_ASSERT_FALSE (servercold_is_cold (&server->cold, 105 * NS_PER_S));
  server_set_unreachable (&servers, server);
  server_record_reached (&servers, server, false);
  CU_ASSERT_TRUE (servercold_is_cold (&server->cold, 105 * NS_PER_S - 1));
  servers_finish (&servers);
}

/* What a response says of being cold was lost, or believed of another server
 * or though it is malformed; a query said nothing of being cold. */
static void
test_responses (void)
{
  struct clock_fake clock;
  struct servers servers;
  struct server *server;
  struct statement statement
      = { .cold = STATEMENT_VALID, .cold_ns = 2 * NS_PER_S };
  struct response response = { .success = true, .limit_per_s = -1 };

  clock_fake_init (&clock, 100 * NS_PER_S);
  servers_init (&servers, NULL, &clock.clock, "a", NS_PER_S, &ops, NULL);
  entry_put (&servers, "a", 1, STATEMENT_NONE, 0);
  server = servers_find (&servers, "a");
  ignored = 0;
  serverlearn_statement (&servers, server, &statement);
  CU_ASSERT_TRUE (servercold_is_cold (&server->cold, 101 * NS_PER_S));
  CU_ASSERT_FALSE (servercold_is_cold (&server->cold, 102 * NS_PER_S));
  server->probe_began_ns = 100 * NS_PER_S - 1;
  servers_assume_cold (&servers, NULL);
  serverlearn_query_response (&servers, server, &response, 100 * NS_PER_S);
  CU_ASSERT_TRUE (servercold_is_cold (&server->cold, 100 * NS_PER_S));
  server->probe_began_ns = 100 * NS_PER_S;
  serverlearn_query_response (&servers, server, &response, 100 * NS_PER_S);
  CU_ASSERT_FALSE (servercold_is_cold (&server->cold, 100 * NS_PER_S));
  for (unsigned i = 0; i < 2; i++)
    {
      statement.cold = STATEMENT_FOREIGN;
      serverlearn_statement (&servers, server, &statement);
    }
  CU_ASSERT_EQUAL (ignored, 1);
  CU_ASSERT_FALSE (servercold_is_cold (&server->cold, 100 * NS_PER_S));
  servers_finish (&servers);
}

static void
head_add (struct httpfields *head, const char *value)
{
  static const char name[] = "X-Cold-Remaining";

  httpfields_append_name (head, name, sizeof name - 1);
  httpfields_append_value (head, value, strlen (value));
}

/* Values out of range made a server cold for years or refused its entry; a
 * field that is stated twice, or by another server, was believed. */
static void
test_values_from_outside (void)
{
  static const struct
  {
    const char *text;
    enum statement_kind kind;
    int64_t ns;
  } rows[] = {
    { "0", STATEMENT_VALID, 0 },
    { "1500", STATEMENT_VALID, 1500 * NS_PER_MS },
    { "0.5", STATEMENT_VALID, NS_PER_MS / 2 },
    { "3600001", STATEMENT_MALFORMED, 0 },
    { "-1", STATEMENT_MALFORMED, 0 },
    { "\"5\"", STATEMENT_MALFORMED, 0 },
    { "null", STATEMENT_MALFORMED, 0 },
    { "NaN", STATEMENT_MALFORMED, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct httpfields head;
      struct response response;
      struct server_entry entry;
      struct error error;
      char *text = g_strdup_printf (
          "{\"backend\":\"x\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
          "\"version\":\"v\",\"slots\":6,\"state\":\"ready\","
          "\"coldLeftMs\":%s}",
          rows[i].text);

      CU_ASSERT_EQUAL (decode_server_entry ("i", text, &entry, &error),
                       STATUS_OK);
      CU_ASSERT_EQUAL (entry.cold, rows[i].kind);
      CU_ASSERT_EQUAL (entry.cold_left_ns, rows[i].ns);
      g_free (text);
      httpfields_init (&head);
      message_query_response_decode (200, &head, "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.cold, STATEMENT_NONE);
      head_add (&head, rows[i].text);
      message_query_response_decode (200, &head, "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.cold, rows[i].kind);
      CU_ASSERT_EQUAL (response.statement.cold_ns, rows[i].ns);
      head_add (&head, rows[i].text);
      message_query_response_decode (200, &head, "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.cold, STATEMENT_REPEATED);
      httpfields_finish (&head);
    }
}

/* Up to 28 requests within a second reached a cold server whose bound is 23,
 * when a third of the servers came back at once. */
static void
test_third_of_servers_returns (void)
{
  static const unsigned sizes[] = { 3, 5, 8, 10, 17, 22, 23, 30, 68, 78, 300 };

  for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (uint64_t seed = 1; seed <= (sizes[i] > 100 ? 1 : 3); seed++)
      {
        struct coldfleet_result result;
        struct coldfleet_play play = { .hosts = sizes[i],
                                       .seed = seed,
                                       .kills = seed % 4 >= 2,
                                       .cuts = seed % 2 == 0,
                                       .suspends = seed % 4 >= 2 };

        coldfleet_play (&play, &result);
        printf (
            "# %u hosts, seed %u: %u seconds over, at most %u, %u to cold, "
            "%u to warm, %u refused\n",
            sizes[i], (unsigned)seed, result.seconds_over, result.most,
            result.to_cold, result.to_warm, result.refused);
        CU_ASSERT_EQUAL (result.seconds_over, 0);
        CU_ASSERT_TRUE (result.to_cold > 0 && result.refused > 0);
      }
}

static const struct unit_case cases[] = {
  { "no-window-exceeds-the-share", test_no_window_exceeds_the_share },
  { "mixed-views-keep-the-room", test_mixed_views_keep_the_room },
  { "unlisted-host-sends-none", test_unlisted_host_sends_none },
  { "what-ends-an-assumption", test_what_ends_an_assumption },
  { "late-host-takes-servers-as-cold", test_late_host_takes_servers_as_cold },
  { "no-cold-rate", test_no_cold_rate },
  { "servers", test_servers },
  { "failed-connection", test_failed_connection },
  { "responses", test_responses },
  { "values-from-outside", test_values_from_outside },
  { "third-of-servers-returns", test_third_of_servers_returns },
};

int
main (void)
{
  return unit_run ("servercold", cases, G_N_ELEMENTS (cases));
}
