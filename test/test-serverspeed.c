#include "choosecost.h"
#include "choosespread.h"
#include "fake-speedfleet.h"
#include "loadshare.pb-c.h"
#include "message.h"
#include "serverlearn.h"
#include "serverslowness.h"
#include "unit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  SERVERS = 3,
  SEEDS = 4 /* The times of one run vary by a tenth. */
};

/* Two hosts, each with the same servers; "other" states nothing. */
struct host
{
  struct servers servers;
  struct loadshare loadshare;
};

static struct clock_fake fake_clock;
static struct host hosts[2];
static unsigned ignored_count;
static char last_change[32];

static void
on_changed (void *data, const struct server *server, const char *change)
{
  g_strlcpy (last_change, change, sizeof last_change);
}

static void
on_ignored (void *data, const struct server *server, const char *field,
            const char *reason)
{
  ignored_count++;
}

static bool
never (void *data)
{
  return false;
}

static const struct servers_ops servers_ops = { on_changed, on_ignored };
static const struct loadshare_ops share_ops = { .reports_weights = never };

static void
servers_add (struct servers *servers, const char *id, const char *service)
{
  struct server_entry entry = { .slots = 4 };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.service, service, sizeof entry.service);
  servers_update (servers, &entry, 1);
}

static void
hosts_start (void)
{
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  ignored_count = 0;
  last_change[0] = '\0';
  for (unsigned h = 0; h < 2; h++)
    {
      servers_init (&hosts[h].servers, NULL, &fake_clock.clock, "dc", NS_PER_S,
                    &servers_ops, NULL);
      loadshare_init (&hosts[h].loadshare, &hosts[h].servers,
                      &fake_clock.clock, h == 0 ? "a" : "b", 1, &share_ops,
                      NULL);
      for (unsigned i = 0; i < SERVERS; i++)
        {
          char id[16];

          g_snprintf (id, sizeof id, "s%u", i);
          servers_add (&hosts[h].servers, id, "svc");
        }
      servers_add (&hosts[h].servers, "other", "other");
    }
}

static void
hosts_finish (void)
{
  for (unsigned h = 0; h < 2; h++)
    {
      loadshare_finish (&hosts[h].loadshare);
      servers_finish (&hosts[h].servers);
    }
}

static struct server *
server_of (unsigned host, const char *id)
{
  return servers_find (&hosts[host].servers, id);
}

static double
factor_of (unsigned host, const char *id)
{
  return serverspeed_factor (&server_of (host, id)->speed,
                             clock_now (&fake_clock.clock));
}

static void
advance_ms (int64_t ms)
{
  clock_fake_advance (&fake_clock, ms * NS_PER_MS);
}

static void
state (unsigned host, const char *id, double slowness)
{
  int64_t now = clock_now (&fake_clock.clock);

  servers_record_slowness (&hosts[host].servers, server_of (host, id),
                           slowness, now, now, true);
}

static bool
is_close (double value, double expected)
{
  return fabs (value - expected) < 0.02;
}

/* Guards against figures that count fully after the server has changed. */
static void
test_weight_falls_with_age (void)
{
  struct server *server;

  hosts_start ();
  state (0, "s0", 2.5);
  server = server_of (0, "s0");
  CU_ASSERT_TRUE (is_close (factor_of (0, "s0"), 2.5));
  advance_ms (400);
  CU_ASSERT_TRUE (is_close (factor_of (0, "s0"), 1.75));
  advance_ms (400);
  CU_ASSERT_TRUE (is_close (factor_of (0, "s0"), 1.375));
  /* An older figure does not replace a newer one. */
  servers_record_slowness (&hosts[0].servers, server, 9, 1,
                           clock_now (&fake_clock.clock) - 900 * NS_PER_MS,
                           true);
  CU_ASSERT_TRUE (is_close (factor_of (0, "s0"), 1.375));
  state (0, "s0", 0.8);
  CU_ASSERT_TRUE (is_close (factor_of (0, "s0"), 0.8));
  CU_ASSERT_TRUE (server->states_slowness);
  CU_ASSERT_FALSE (server_of (0, "s1")->states_slowness);
  hosts_finish ();
}

/* Guards against figures whose age is unknown being taken for fresh: those
 * from before a suspension, and responses that arrived during it. */
static void
test_suspended_host (void)
{
  int64_t asked_ns;
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  size_t size;
  struct choose_query query
      = { .service = "svc", .call = &(struct call){ 0 } };
  struct choose_result result;
  struct rng rng;

  hosts_start ();
  rng_init (&rng, 1);
  state (0, "s0", 2.5);
  asked_ns = clock_now (&fake_clock.clock);
  advance_ms (1);
  fake_clock.suspended_ns += 5 * NS_PER_S;
  choose_server (&hosts[0].servers, &choose_settings_default, &query, &rng,
                 &result);
  CU_ASSERT_EQUAL (factor_of (0, "s0"), 1);
  servers_record_slowness (&hosts[0].servers, server_of (0, "s0"), 3, asked_ns,
                           clock_now (&fake_clock.clock), true);
  CU_ASSERT_EQUAL (factor_of (0, "s0"), 1);
  size = loadshare_encode (&hosts[0].loadshare, bytes);
  CU_ASSERT_TRUE (loadshare_receive (&hosts[1].loadshare, bytes, size));
  CU_ASSERT_EQUAL (g_hash_table_size (hosts[1].loadshare.lateness.senders), 0);
  state (0, "s0", 2);
  CU_ASSERT_TRUE (is_close (factor_of (0, "s0"), 2));
  /* The first thing after a suspension is a response. */
  advance_ms (1);
  fake_clock.suspended_ns += 5 * NS_PER_S;
  servers_record_slowness (&hosts[0].servers, server_of (0, "s1"), 3,
                           clock_now (&fake_clock.clock) - 1,
                           clock_now (&fake_clock.clock), true);
  CU_ASSERT_EQUAL (factor_of (0, "s1"), 1);
  CU_ASSERT_EQUAL (factor_of (0, "s0"), 1);
  hosts_finish ();
}

static bool
tell (int64_t late_ms)
{
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  size_t size = loadshare_encode (&hosts[0].loadshare, bytes);

  advance_ms (late_ms);
  return loadshare_receive (&hosts[1].loadshare, bytes, size);
}

/* Guards against figures told by other hosts counting from their arrival. */
static void
test_told_with_age (void)
{
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  size_t size;

  hosts_start ();
  state (0, "s0", 2.5);
  tell (0); /* its lateness is unknown */
  CU_ASSERT_EQUAL (factor_of (1, "s0"), 1);
  advance_ms (200);
  tell (200);
  CU_ASSERT_TRUE (is_close (factor_of (1, "s0"), 1.75));
  /* What was only told is not told on. */
  CU_ASSERT_EQUAL (hosts[1].servers.stating_slowness->len, 0);
  /* A newer figure of this host's own stays. */
  state (1, "s0", 1.5);
  advance_ms (1);
  tell (0);
  CU_ASSERT_TRUE (is_close (factor_of (1, "s0"), 1.5));
  /* Two datagrams change places, one is repeated. */
  state (0, "s0", 3);
  size = loadshare_encode (&hosts[0].loadshare, bytes);
  advance_ms (10);
  state (0, "s0", 2);
  tell (0);
  CU_ASSERT_FALSE (loadshare_receive (&hosts[1].loadshare, bytes, size));
  CU_ASSERT_TRUE (is_close (factor_of (1, "s0"), 2));
  /* Old figures are told no longer. */
  advance_ms (SERVERSPEED_TOLD_MS);
  tell (0);
  CU_ASSERT_EQUAL (hosts[0].servers.stating_slowness->len, 0);
  hosts_finish ();
}

/* Guards against wrong figures and unknown servers in datagrams, and against
 * hosts of an earlier version, which send none. */
static void
test_wrong_datagrams (void)
{
  static const uint32_t percents[] = { 0, 100001, UINT32_MAX };
  Trefoilspar__LoadShare message = TREFOILSPAR__LOAD_SHARE__INIT;
  Trefoilspar__StatedSlowness slowness = TREFOILSPAR__STATED_SLOWNESS__INIT;
  Trefoilspar__StatedSlowness *pointers[] = { &slowness };
  uint8_t bytes[LOADSHARE_BYTES_MAX];

  hosts_start ();
  message.host = "c";
  message.slowness = pointers;
  message.n_slowness = 1;
  slowness.server = server_of (1, "s0")->id_hash;
  slowness.percent = 250;
  for (unsigned i = 0; i < 6; i++)
    {
      advance_ms (1);
      message.number = i + 1;
      /* At first without the sender's time. */
      message.sent_ns = i < 2 ? 0 : clock_boottime (&fake_clock.clock);
      if (i >= 3)
        slowness.percent = percents[i - 3];
      loadshare_receive (&hosts[1].loadshare, bytes,
                         trefoilspar__load_share__pack (&message, bytes));
      CU_ASSERT_EQUAL (factor_of (1, "s0"), 1);
    }
  slowness.percent = 250;
  slowness.age_ms = UINT32_MAX;
  message.number++;
  loadshare_receive (&hosts[1].loadshare, bytes,
                     trefoilspar__load_share__pack (&message, bytes));
  CU_ASSERT_EQUAL (factor_of (1, "s0"), 1);
  slowness.server = 1;
  message.number++;
  loadshare_receive (&hosts[1].loadshare, bytes,
                     trefoilspar__load_share__pack (&message, bytes));
  hosts_finish ();
}

/* Guards against datagrams over the limit: the slowness is left out first. */
static void
test_datagrams_stay_small (void)
{
  uint8_t bytes[LOADSHARE_BYTES_MAX];
  size_t size;
  Trefoilspar__LoadShare *message;

  hosts_start ();
  for (unsigned i = 0; i < 100; i++)
    {
      struct server *server;
      char id[16];

      g_snprintf (id, sizeof id, "x%u", i);
      servers_add (&hosts[0].servers, id, "svc");
      server = server_of (0, id);
      server_request_begun (&hosts[0].servers, server);
      server->in_flight_tokens = server->pending_prefill_tokens = UINT32_MAX;
      state (0, id, 1000);
    }
  size = loadshare_encode (&hosts[0].loadshare, bytes);
  CU_ASSERT_TRUE (size <= LOADSHARE_BYTES_MAX);
  message = trefoilspar__load_share__unpack (NULL, size, bytes);
  CU_ASSERT_EQUAL (message->n_servers, 64);
  CU_ASSERT_TRUE (message->n_slowness < 64);
  trefoilspar__load_share__free_unpacked (message, NULL);
  hosts_finish ();
}

static void
head_add (struct httpfields *head, const char *name, const char *value)
{
  httpfields_append_name (head, name, strlen (name));
  httpfields_append_value (head, value, strlen (value));
}

/* Guards against bad figures being used, and the load beside them being lost.
 */
static void
test_stated_slowness (void)
{
  static const struct
  {
    const char *value;
    enum statement_kind kind;
    double slowness;
  } rows[] = {
    { "3,1,8", STATEMENT_NONE, 0 },
    { "3,1,8,100", STATEMENT_VALID, 1 },
    { "3,1,8,250", STATEMENT_VALID, 2.5 },
    { "3,1,8,12.5", STATEMENT_VALID, 0.125 },
    { "3,1,8,", STATEMENT_MALFORMED, 0 },
    { "3,1,8,0", STATEMENT_MALFORMED, 0 },
    { "3,1,8,-100", STATEMENT_MALFORMED, 0 },
    { "3,1,8,nan", STATEMENT_MALFORMED, 0 },
    { "3,1,8,inf", STATEMENT_MALFORMED, 0 },
    { "3,1,8,1e2", STATEMENT_MALFORMED, 0 },
    { "3,1,8,999999999999", STATEMENT_MALFORMED, 0 },
    { "3,1,8,100,100", STATEMENT_MALFORMED, 0 },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct httpfields head;
      struct response response;

      httpfields_init (&head);
      head_add (&head, "X-Request-Id", "r");
      head_add (&head, "X-Server-Load", rows[i].value);
      message_response_decode (200, &head, "r", "i-1", &response);
      unit_expect (response.slowness_kind == rows[i].kind, "kind",
                   rows[i].value);
      unit_expect (response.has_load && response.running_requests == 3
                       && response.waiting_requests == 1
                       && response.slots == 8,
                   "load", rows[i].value);
      if (rows[i].kind == STATEMENT_VALID)
        unit_expect (response.slowness == rows[i].slowness, "slowness",
                     rows[i].value);
      head_add (&head, "X-Server-Load", "3,1,8,100");
      message_response_decode (200, &head, "r", "i-1", &response);
      unit_expect (response.slowness_kind != STATEMENT_VALID, "twice",
                   rows[i].value);
      httpfields_finish (&head);
    }
}

/* Guards against malformed and repeated figures being used, or logged for each
 * response. */
static void
test_malformed_figures (void)
{
  static const enum statement_kind kinds[]
      = { STATEMENT_MALFORMED, STATEMENT_REPEATED, STATEMENT_MALFORMED };
  struct response response = { .slowness = 5 };
  int64_t now;

  hosts_start ();
  now = clock_now (&fake_clock.clock);
  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      response.slowness_kind = kinds[i];
      serverlearn_slowness (&hosts[0].servers, server_of (0, "s0"), &response,
                            now, now);
    }
  CU_ASSERT_EQUAL (ignored_count, 1);
  CU_ASSERT_EQUAL (factor_of (0, "s0"), 1);
  CU_ASSERT_FALSE (server_of (0, "s0")->states_slowness);
  response.slowness_kind = STATEMENT_VALID;
  response.other_server = true;
  serverlearn_query_response (&hosts[0].servers, server_of (0, "s0"),
                              &response, now);
  CU_ASSERT_EQUAL (factor_of (0, "s0"), 1);
  response.other_server = false;
  response.limit_per_s = -1;
  serverlearn_query_response (&hosts[0].servers, server_of (0, "s0"),
                              &response, now);
  CU_ASSERT_EQUAL (factor_of (0, "s0"), 5);
  CU_ASSERT_TRUE (server_of (0, "s0")->states_slowness);
  hosts_finish ();
}

static void
first_events (const char *id, unsigned count, double measured_ms)
{
  for (unsigned i = 0; i < count; i++)
    servers_record_first_event (&hosts[0].servers, server_of (0, id),
                                measured_ms, 50);
}

/* Guards against one late response, or late ones at high load, changing the
 * estimates much, and against a slow server staying out for ever. */
static void
test_measured_factors (void)
{
  const struct serverspeed *speed;

  hosts_start ();
  speed = &server_of (0, "s0")->speed;
  speed->service->has_cold_rate = true;
  first_events ("s0", 1, 5000);
  CU_ASSERT_TRUE (factor_of (0, "s0") < 1.15);
  CU_ASSERT_EQUAL (serverspeed_prefill_factor (speed), 1);
  first_events ("s0", 300, 5000);
  CU_ASSERT_TRUE (factor_of (0, "s0") <= 4);
  CU_ASSERT_EQUAL (serverspeed_prefill_factor (speed), 1);
  first_events ("s1", 300, 50);
  first_events ("s0", 20, 150);
  CU_ASSERT_TRUE (factor_of (0, "s0") > 1.5);
  CU_ASSERT_STRING_EQUAL (last_change, "slow");
  CU_ASSERT_TRUE (is_close (factor_of (0, "s2"), 1));
  advance_ms (120000);
  CU_ASSERT_TRUE (factor_of (0, "s0") < 1.1);
  first_events ("s2", 200, 27);
  CU_ASSERT_TRUE (is_close (serverspeed_prefill_factor (speed), 0.54));
  first_events ("s2", 1, 500);
  CU_ASSERT_TRUE (is_close (serverspeed_prefill_factor (speed), 0.545));
  hosts_finish ();
}

/* Guards against a log line for each change of a figure. */
static void
test_log_has_hysteresis (void)
{
  hosts_start ();
  for (unsigned i = 0; i < 20; i++)
    {
      advance_ms (600);
      state (0, "s0", i % 5 == 0 ? 2.5 : 1);
    }
  CU_ASSERT_STRING_EQUAL (last_change, "added");
  for (unsigned i = 0; i < 20; i++, advance_ms (600))
    state (0, "s0", 2.5);
  CU_ASSERT_STRING_EQUAL (last_change, "slow");
  for (unsigned i = 0; i < 20; i++, advance_ms (600))
    state (0, "s0", 1);
  CU_ASSERT_STRING_EQUAL (last_change, "not_slow");
  hosts_finish ();
}

/* Guards against other estimates for services whose speed does not vary. */
static void
test_other_services_are_estimated_as_before (void)
{
  struct call call = { .prompt_tokens = 3000 };
  struct choose_query query
      = { .service = "other", .model = "m", .call = &call };
  struct choosecost before, after;
  struct server *server;

  hosts_start ();
  server = server_of (0, "other");
  server->pending_prefill_tokens = 1234;
  server->in_flight_requests = 3;
  choosecost_estimate (&choose_settings_default, &query, server, false,
                       clock_now (&fake_clock.clock), &before);
  CU_ASSERT_DOUBLE_EQUAL (before.backlog_ms, 1234 / 60.0 + 9, 0);
  CU_ASSERT_DOUBLE_EQUAL (before.prompt_ms, 50, 0);
  state (0, "s0", 3);
  for (unsigned i = 0; i < 50; i++)
    servers_record_first_event (&hosts[0].servers, server, 10, 50);
  choosecost_estimate (&choose_settings_default, &query, server, false,
                       clock_now (&fake_clock.clock), &after);
  CU_ASSERT_DOUBLE_EQUAL (after.backlog_ms, before.backlog_ms, 0);
  CU_ASSERT_DOUBLE_EQUAL (after.prompt_ms, before.prompt_ms, 0);
  state (0, "other", 3);
  choosecost_estimate (&choose_settings_default, &query, server, false,
                       clock_now (&fake_clock.clock), &after);
  CU_ASSERT_DOUBLE_EQUAL (after.backlog_ms, 3 * before.backlog_ms, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (after.prompt_ms, 3 * before.prompt_ms, 1e-9);
  hosts_finish ();
}

/* Guards against the spread leaving a cached prefix, a near data centre, or
 * servers that are much better. */
static void
test_spread_keeps_to_near_candidates (void)
{
  struct server near = { .in_local_data_centre = true };
  struct server remote = { .in_local_data_centre = false };
  const struct choose_candidate candidates[] = {
    { &near, CHOOSE_USABLE, { .cached_tokens = 900 }, false, 10, 10 },
    { &near, CHOOSE_USABLE, { .cached_tokens = 850 }, false, 20, 20 },
    { &near, CHOOSE_USABLE, { .cached_tokens = 100 }, false, 11, 11 },
    { &remote, CHOOSE_USABLE, { .cached_tokens = 900 }, false, 11, 11 },
    { &near, CHOOSE_USABLE, { .cached_tokens = 900 }, false, 511, 511 },
  };
  unsigned counts[G_N_ELEMENTS (candidates)] = { 0 };
  struct choosespread spread = { .count = 0 };
  struct rng rng;

  rng_init (&rng, 1);
  for (unsigned i = 0; i < G_N_ELEMENTS (candidates); i++)
    choosespread_add (&spread, &candidates[i], &rng);
  for (unsigned i = 0; i < 1000; i++)
    counts[choosespread_pick (&spread, &candidates[0], 1000, 400, &rng)
           - spread.candidates]++;
  CU_ASSERT_TRUE (counts[0] > 700 && counts[1] > 200);
  CU_ASSERT_EQUAL (counts[0] + counts[1], 1000);
}

/* The times with the part must be better than without it at each load, also if
 * a third of the reports is lost. */
static void
test_times_to_first_event (void)
{
  static const double loads[] = { 0.5, 0.8, 0.95 };

  for (unsigned i = 0; i < G_N_ELEMENTS (loads); i++)
    for (int lossy = 0; lossy < 2; lossy++)
      {
        struct speedfleet_settings settings = speedfleet_default;
        struct speedfleet_result without, spread_only, with;

        settings.load = loads[i];
        settings.lost = lossy ? 0.3 : 0;
        settings.states = false;
        speedfleet_run (&settings, SEEDS, &without);
        settings.varies = true;
        speedfleet_run (&settings, SEEDS, &spread_only);
        settings.states = true;
        speedfleet_run (&settings, SEEDS, &with);
        printf ("# load %.2f, %.1f lost: median %.0f ms, without %.0f; p99 "
                "%.0f, without %.0f; herds of %.0f hosts, without %.0f\n",
                loads[i], settings.lost, with.median_ms, without.median_ms,
                with.p99_ms, without.p99_ms, with.herd, without.herd);
        CU_ASSERT_TRUE (with.median_ms < 0.8 * without.median_ms);
        CU_ASSERT_TRUE (with.p99_ms < 0.8 * without.p99_ms);
        CU_ASSERT_TRUE (with.herd < without.herd);
        CU_ASSERT_TRUE (with.slow_sent < 0.9 * spread_only.slow_sent);
      }
}

int
main (void)
{
  static const struct unit_case cases[] = {
    { "weight-falls-with-age", test_weight_falls_with_age },
    { "suspended-host", test_suspended_host },
    { "told-with-age", test_told_with_age },
    { "wrong-datagrams", test_wrong_datagrams },
    { "datagrams-stay-small", test_datagrams_stay_small },
    { "stated-slowness", test_stated_slowness },
    { "malformed-figures", test_malformed_figures },
    { "measured-factors", test_measured_factors },
    { "log-has-hysteresis", test_log_has_hysteresis },
    { "other-services-are-estimated-as-before",
      test_other_services_are_estimated_as_before },
    { "spread-keeps-to-near-candidates",
      test_spread_keeps_to_near_candidates },
    { "times-to-first-event", test_times_to_first_event },
  };

  return unit_run ("serverspeed", cases, G_N_ELEMENTS (cases));
}
