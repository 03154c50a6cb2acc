#include "blamestore.h"
#include "fake-kv.h"
#include "kvbudget.h"
#include "kvera.h"
#include "kvview.h"
#include "poisoncount.h"
#include "presence.h"
#include "unit.h"

#include <string.h>

#define HOST_KEY "t/host/1"

/* The modules of a process that the era of the KV service concerns, on one
 * service with a fake clock. */
static struct clock_fake fake_clock;
static struct fake_kv fake;
static struct fake_kv_client client;
static struct rng rng;
static struct kvbudget budget;
static struct kvera kvera;
static struct kvview view;
static struct presence presence;
static struct poisoncount poisoncount;
static struct blame blame;
static struct blamestore blamestore;
static GString *callback_log;
static GString *era_log;

static void
log_put (void *data, const char *key, const char *value, uint64_t revision)
{
  if (g_str_has_prefix (key, "t/loss/"))
    poisoncount_key_put (&poisoncount, key);
  else if (g_str_has_prefix (key, "t/op/"))
    g_string_append_printf (callback_log, "+%s=%s ", key, value);
}

static void
log_removal (void *data, const char *key)
{
  if (g_str_has_prefix (key, "t/loss/"))
    poisoncount_key_removed (&poisoncount, key);
  else if (g_str_has_prefix (key, "t/op/"))
    g_string_append_printf (callback_log, "-%s ", key);
}

static void
ignore_reachability (void *data, bool reachable)
{
}

static const struct kvview_ops view_ops
    = { log_put, log_removal, ignore_reachability, NULL };

static void
era_changed (void *data, uint64_t old_era, uint64_t era)
{
  g_string_append_printf (era_log, "%lu>%lu ", (unsigned long)old_era,
                          (unsigned long)era);
  if (old_era == 0)
    return;
  kvbudget_refuse_queued (&budget);
  kvview_era_changed (&view);
  presence_era_changed (&presence);
  poisoncount_era_changed (&poisoncount);
  blamestore_era_changed (&blamestore);
}

static const struct kvera_ops era_ops = { era_changed };

static void
ignore_block (void *data, const struct blame_block *block)
{
}

static const struct blame_ops blame_ops = { .blocked = ignore_block };

static const struct kvbudget_settings budget_settings = {
  .rate = 50,
  .burst = 10,
  .queue_max = 30,
  .watch_max = 20,
  .queue_timeout_ns = NS_PER_S,
  .call_timeout_ns = NS_PER_S,
  .backoff.min_ns = 50 * NS_PER_MS,
  .backoff.max_ns = 400 * NS_PER_MS,
};

static void
setup (uint64_t era)
{
  const struct kvview_settings settings
      = { .watch_duration_ns = NS_PER_S, .hold_ns = 2 * NS_PER_S };
  const struct presence_host self = { .address = "10.0.0.1:80" };

  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  fake_kv_init (&fake, &fake_clock.clock, 1);
  fake.era = era;
  fake_kv_client_init (&client, &fake);
  callback_log = g_string_new (NULL);
  era_log = g_string_new (NULL);
  rng_init (&rng, 1);
  kvbudget_init (&budget, &client.kv, &fake_clock.clock, &rng,
                 &budget_settings);
  kvera_init (&kvera, &budget.kv, &era_ops, NULL);
  kvview_init (&view, &kvera.kv, &fake_clock.clock, &settings, "t/", &view_ops,
               NULL);
  presence_init (&presence, &kvera.kv, &fake_clock.clock, HOST_KEY, &self,
                 3 * NS_PER_S);
  poisoncount_init (&poisoncount, &kvera.kv, &fake_clock.clock, "t/loss/");
  blame_init (&blame, &fake_clock.clock, &blame_ops, NULL);
  blamestore_init (&blamestore, &blame, &kvera.kv, &fake_clock.clock,
                   &presence, "t/blame/");
}

static void
finish (void)
{
  kvbudget_finish (&budget);
  fake_kv_client_finish (&client);
  kvview_finish (&view);
  presence_finish (&presence);
  poisoncount_finish (&poisoncount);
  blamestore_finish (&blamestore);
  blame_finish (&blame);
  fake_kv_finish (&fake);
  g_string_free (callback_log, TRUE);
  g_string_free (era_log, TRUE);
}

static void
run_for_ms (unsigned duration_ms)
{
  for (unsigned elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 20)
    {
      kvbudget_tick (&budget);
      kvview_tick (&view);
      presence_tick (&presence);
      poisoncount_tick (&poisoncount);
      blamestore_tick (&blamestore);
      clock_fake_advance (&fake_clock, 20 * NS_PER_MS);
      fake_kv_step (&fake);
    }
}

static void
expect_callbacks (const char *text)
{
  CU_ASSERT_STRING_EQUAL (callback_log->str, text);
  g_string_truncate (callback_log, 0);
}

static void
expect_eras (const char *text)
{
  CU_ASSERT_STRING_EQUAL (era_log->str, text);
  g_string_truncate (era_log, 0);
}

/* A service that records calls; the test sends the replies. */
static struct
{
  struct kv kv;
  kv_done done[8];
  void *data[8];
  unsigned calls;
} manual;

static void
manual_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  manual.done[manual.calls] = done;
  manual.data[manual.calls++] = data;
}

static const struct kv_ops manual_ops = { .get = manual_get };

static void
manual_reply (unsigned call, enum status status, uint64_t era)
{
  const struct kv_reply reply = { .status = status, .era = era };

  manual.done[call](manual.data[call], &reply);
}

static void
note_status (void *data, const struct kv_reply *reply)
{
  enum status *status = data;

  CU_ASSERT_EQUAL (*status, STATUS_COUNT);
  *status = reply->status;
}

static void
note_era (void *data, uint64_t old_era, uint64_t era)
{
  g_string_append_printf (era_log, "%lu>%lu ", (unsigned long)old_era,
                          (unsigned long)era);
}

static const struct kvera_ops note_ops = { note_era };

static void
manual_setup (enum status *statuses, unsigned count)
{
  memset (&manual, 0, sizeof manual);
  manual.kv.ops = &manual_ops;
  era_log = g_string_new (NULL);
  kvera_init (&kvera, &manual.kv, &note_ops, NULL);
  for (unsigned i = 0; i < count; i++)
    {
      statuses[i] = STATUS_COUNT;
      kvera.kv.ops->get (&kvera.kv, "k", note_status, &statuses[i]);
    }
}

/* Replies without an era, or in the same one, were no reason to read anew. */
static void
test_only_a_rise_is_told (void)
{
  static const uint64_t eras[] = { 0, 5, 0, 5, 5 };
  enum status statuses[G_N_ELEMENTS (eras)];

  manual_setup (statuses, G_N_ELEMENTS (eras));
  for (unsigned i = 0; i < G_N_ELEMENTS (eras); i++)
    {
      manual_reply (i, STATUS_OK, eras[i]);
      CU_ASSERT_EQUAL (statuses[i], STATUS_OK);
    }
  expect_eras ("0>5 ");
  CU_ASSERT_EQUAL (kvera.rise_count, 0);
  g_string_free (era_log, TRUE);
}

/* A late reply of an older era was taken for what holds now, and calls of an
 * older era that the service never answers blocked their callers. */
static void
test_late_reply_changes_nothing (void)
{
  enum status statuses[4];

  manual_setup (statuses, 4);
  manual_reply (0, STATUS_OK, 5);
  manual_reply (1, STATUS_UNAVAILABLE, 6);
  expect_eras ("0>5 5>6 ");
  CU_ASSERT_EQUAL (statuses[1], STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (statuses[2], STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (statuses[3], STATUS_UNKNOWN);
  manual_reply (2, STATUS_OK, 5);
  manual_reply (3, STATUS_OK, 6);
  expect_eras ("");
  statuses[0] = STATUS_COUNT;
  kvera.kv.ops->get (&kvera.kv, "k", note_status, &statuses[0]);
  manual_reply (4, STATUS_OK, 5);
  CU_ASSERT_EQUAL (statuses[0], STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (kvera.rise_count, 1);
  CU_ASSERT_EQUAL (kvera.old_reply_count, 2);
  g_string_free (era_log, TRUE);
}

/* Calls to finish a process end even if the era has risen. */
static void
test_cancelled_calls_stay_cancelled (void)
{
  enum status statuses[2];

  manual_setup (statuses, 2);
  manual_reply (0, STATUS_OK, 5);
  manual_reply (1, STATUS_CANCELLED, 0);
  CU_ASSERT_EQUAL (statuses[1], STATUS_CANCELLED);
  g_string_free (era_log, TRUE);
}

/* A value with a lower revision than one of the older era was ignored, so that
 * what the operator wrote after the return was never in force. */
static void
test_revisions_are_not_compared (void)
{
  setup (3);
  fake_kv_put (&fake, "t/op/a", "1");
  run_for_ms (200);
  fake_kv_back_up (&fake);
  for (unsigned i = 0; i < 50; i++)
    fake_kv_put (&fake, "t/op/a", "2");
  run_for_ms (200);
  expect_callbacks ("+t/op/a=1 +t/op/a=2 ");
  fake_kv_restore (&fake);
  run_for_ms (1500);
  expect_callbacks ("+t/op/a=1 ");
  fake_kv_put (&fake, "t/op/a", "3");
  run_for_ms (200);
  expect_callbacks ("+t/op/a=3 ");
  expect_eras ("0>3 3>4 ");
  finish ();
}

/* Keys that are not in the backup were removed at once, though their owners
 * write them again. */
static void
test_keys_are_held (void)
{
  setup (3);
  run_for_ms (200);
  fake_kv_back_up (&fake);
  fake_kv_put (&fake, "t/op/a", "1");
  fake_kv_put (&fake, "t/op/b", "1");
  run_for_ms (200);
  expect_callbacks ("+t/op/a=1 +t/op/b=1 ");
  fake_kv_restore (&fake);
  run_for_ms (1500);
  expect_callbacks ("");
  fake_kv_put (&fake, "t/op/a", "1");
  run_for_ms (300);
  run_for_ms (2500);
  expect_callbacks ("+t/op/a=1 -t/op/b ");
  finish ();
}

/* The lease id of a host was given out again, and the host renewed the lease
 * of another one; its own key was missing. */
static void
test_host_takes_a_new_lease (void)
{
  setup (3);
  fake_kv_back_up (&fake);
  run_for_ms (500);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, HOST_KEY));
  fake_kv_restore (&fake);
  client.kv.ops->lease_grant (&client.kv, 60 * NS_PER_S, note_status,
                              &(enum status){ STATUS_COUNT });
  fake_kv_step (&fake);
  clock_fake_advance (&fake_clock, 5 * NS_PER_MS);
  fake_kv_step (&fake);
  CU_ASSERT_EQUAL (presence.lease, fake.last_lease_id);
  run_for_ms (1500);
  CU_ASSERT_EQUAL (presence.lease, fake.last_lease_id);
  CU_ASSERT_NOT_EQUAL (presence.lease, 1);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, HOST_KEY));
  finish ();
}

/* A host took its record to be in the registry though its lease might have
 * expired there, or waited as after a start though the record was not gone. */
static void
test_record_is_listed (void)
{
  int64_t listed_ns, gap_end_ns;

  setup (3);
  CU_ASSERT_EQUAL (presence_listed_ns (&presence), 0);
  run_for_ms (4000);
  listed_ns = presence_listed_ns (&presence);
  CU_ASSERT_TRUE (listed_ns > 100 * NS_PER_S && listed_ns < 101 * NS_PER_S);
  presence_announce_oldest_version (&presence, "m", 2);
  CU_ASSERT_EQUAL (presence_listed_ns (&presence), listed_ns);
  fake.faults.down = true;
  run_for_ms (3200);
  CU_ASSERT_EQUAL (presence_listed_ns (&presence), 0);
  CU_ASSERT_PTR_NULL (fake_kv_key_value (&fake, HOST_KEY));
  fake.faults.down = false;
  gap_end_ns = clock_now (&fake_clock.clock);
  run_for_ms (3000);
  CU_ASSERT_TRUE (presence_listed_ns (&presence) >= gap_end_ns);
  presence.lease_expiry_ns = clock_boottime (&fake_clock.clock) - 1;
  CU_ASSERT_EQUAL (presence_listed_ns (&presence), 0);
  run_for_ms (2000);
  CU_ASSERT_TRUE (presence_listed_ns (&presence) > 0);
  presence_key_removed (&presence, HOST_KEY);
  CU_ASSERT_EQUAL (presence_listed_ns (&presence), 0);
  finish ();
}

/* Crashes that were counted, here and by a host that is gone, were forgotten
 * with the last writes, so that the request crashed more servers. */
static void
test_crashes_are_written_again (void)
{
  setup (3);
  run_for_ms (200);
  fake_kv_back_up (&fake);
  poisoncount_report_crash (&poisoncount, 0xa, "s1");
  fake_kv_put (&fake, "t/loss/000000000000000a/s2", "1");
  run_for_ms (300);
  CU_ASSERT_TRUE (poisoncount_is_blocked (&poisoncount, 0xa));
  fake_kv_restore (&fake);
  run_for_ms (1500);
  CU_ASSERT_PTR_NOT_NULL (
      fake_kv_key_value (&fake, "t/loss/000000000000000a/s1"));
  CU_ASSERT_PTR_NOT_NULL (
      fake_kv_key_value (&fake, "t/loss/000000000000000a/s2"));
  run_for_ms (4000);
  CU_ASSERT_TRUE (poisoncount_is_blocked (&poisoncount, 0xa));
  finish ();
}

/* Blocks were missing for processes that start after the return. */
static void
test_blocks_are_written_again (void)
{
  const struct blame_block block = { .part = { .scope = 1, .id = 2 },
                                     .crashes = 3,
                                     .source = BLAME_FOUND,
                                     .hold_ns = 30 * NS_PER_S };
  const char *key = "t/blame/0000000000000001/0000000000000002";

  setup (3);
  run_for_ms (200);
  fake_kv_back_up (&fake);
  blame_add_block (&blame, &block, 30 * NS_PER_S, 60 * NS_PER_S);
  run_for_ms (300);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, key));
  fake_kv_restore (&fake);
  run_for_ms (1500);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, key));
  finish ();
}

/* Leases, keys and changes were late after the service had been away too,
 * since the reply that ended the outage was dropped with the older era. */
static void
test_away_and_back (void)
{
  setup (3);
  fake_kv_put (&fake, "t/op/a", "1");
  run_for_ms (200);
  fake_kv_back_up (&fake);
  fake_kv_put (&fake, "t/op/a", "2");
  poisoncount_report_crash (&poisoncount, 0xa, "s1");
  run_for_ms (300);
  fake.faults.down = true;
  poisoncount_report_crash (&poisoncount, 0xa, "s2");
  run_for_ms (2000);
  fake_kv_restore (&fake);
  fake.faults.down = false;
  fake_kv_put (&fake, "t/op/a", "3");
  run_for_ms (1500);
  expect_callbacks ("+t/op/a=1 +t/op/a=2 +t/op/a=3 ");
  expect_eras ("0>3 3>4 ");
  CU_ASSERT_FALSE (kvbudget_service_is_down (&budget));
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, HOST_KEY));
  CU_ASSERT_PTR_NOT_NULL (
      fake_kv_key_value (&fake, "t/loss/000000000000000a/s1"));
  CU_ASSERT_PTR_NOT_NULL (
      fake_kv_key_value (&fake, "t/loss/000000000000000a/s2"));
  finish ();
}

/* A second return, while the calls after the first one were not answered yet,
 * left the process with what it had read in between. */
static void
test_two_drills (void)
{
  setup (3);
  fake_kv_put (&fake, "t/op/a", "1");
  run_for_ms (200);
  fake_kv_back_up (&fake);
  for (unsigned i = 0; i < 20; i++)
    fake_kv_put (&fake, "t/op/a", "2");
  run_for_ms (200);
  fake_kv_restore (&fake);
  run_for_ms (60);
  fake_kv_restore (&fake);
  fake_kv_put (&fake, "t/op/a", "3");
  run_for_ms (1500);
  CU_ASSERT_TRUE (g_str_has_suffix (callback_log->str, "+t/op/a=3 "));
  CU_ASSERT_EQUAL (kvera.era, 5);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fake, HOST_KEY));
  finish ();
}

/* A service that states no era behaves as before. */
static void
test_no_era_is_stated (void)
{
  setup (0);
  fake_kv_put (&fake, "t/op/a", "1");
  run_for_ms (3000);
  expect_callbacks ("+t/op/a=1 ");
  expect_eras ("");
  CU_ASSERT_EQUAL (kvera.era, 0);
  finish ();
}

static const struct unit_case cases[] = {
  { "only-a-rise-is-told", test_only_a_rise_is_told },
  { "late-reply-changes-nothing", test_late_reply_changes_nothing },
  { "cancelled-calls-stay-cancelled", test_cancelled_calls_stay_cancelled },
  { "revisions-are-not-compared", test_revisions_are_not_compared },
  { "keys-are-held", test_keys_are_held },
  { "host-takes-a-new-lease", test_host_takes_a_new_lease },
  { "record-is-listed", test_record_is_listed },
  { "crashes-are-written-again", test_crashes_are_written_again },
  { "blocks-are-written-again", test_blocks_are_written_again },
  { "away-and-back", test_away_and_back },
  { "two-drills", test_two_drills },
  { "no-era-is-stated", test_no_era_is_stated },
};

int
main (void)
{
  return unit_run ("era", cases, G_N_ELEMENTS (cases));
}
