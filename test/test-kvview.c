#include "entryviews.h"
#include "kvview.h"
#include "unit.h"

#include <string.h>

/* A KV service that records the last call; the test sends the reply with
 * reply_to_call. */
static struct
{
  struct kv kv;
  kv_done done;
  void *data;
  bool is_read;
  uint64_t after;
  int64_t wait_ns; /* Of the last watch. */
  unsigned calls;
} service;

static struct clock_fake fake_clock;
static struct kvview view;
static GString *callback_log;
static unsigned puts_after_initial_read;

static void
record_call (bool is_read, uint64_t after, kv_done done, void *data)
{
  service.done = done;
  service.data = data;
  service.is_read = is_read;
  service.after = after;
  service.calls++;
}

static void
fake_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  record_call (true, 0, done, data);
}

static void
fake_watch (struct kv *kv, const char *prefix, uint64_t after, int64_t wait_ns,
            kv_done done, void *data)
{
  service.wait_ns = wait_ns;
  record_call (false, after, done, data);
}

static const struct kv_ops service_ops
    = { .range = fake_range, .watch = fake_watch };

static void
log_put (void *data, const char *key, const char *value, uint64_t revision)
{
  g_string_append_printf (callback_log, "+%s=%s ", key, value);
  puts_after_initial_read += view.initial_read_done;
}

static void
log_removal (void *data, const char *key)
{
  g_string_append_printf (callback_log, "-%s ", key);
}

static void
ignore_reachability (void *data, bool reachable)
{
}

static const struct kvview_ops view_ops
    = { log_put, log_removal, ignore_reachability, NULL };

static void
setup (void)
{
  const struct kvview_settings settings
      = { .watch_duration_ns = NS_PER_S, .hold_ns = 2 * NS_PER_S };

  memset (&service, 0, sizeof service);
  service.kv.ops = &service_ops;
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  callback_log = g_string_new (NULL);
  kvview_init (&view, &service.kv, &fake_clock.clock, &settings, "p/",
               &view_ops, NULL);
  kvview_tick (&view);
}

/* Cancels the call in flight before kvview_finish, as in a process: there the
 * KV interface is finished first and replies to the calls in flight. */
static void
finish (void)
{
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  service.done (service.data, &cancelled);
  kvview_finish (&view);
  g_string_free (callback_log, TRUE);
}

static void
reply_to_call (enum status status, uint64_t revision,
               const struct kv_item *items, size_t count)
{
  struct kv_reply reply = {
    .status = status, .revision = revision, .items = items, .item_count = count
  };

  service.done (service.data, &reply);
  kvview_tick (&view);
}

static void
expect_callbacks (const char *text)
{
  CU_ASSERT_STRING_EQUAL (callback_log->str, text);
  g_string_truncate (callback_log, 0);
}

static const struct kv_item a1 = { "p/a", "1", 5, false };
static const struct kv_item a2 = { "p/a", "2", 7, false };
static const struct kv_item a_removed = { "p/a", "", 8, true };

static void
test_read_then_watch (void)
{
  setup ();
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_OK, 6, &a1, 1);
  expect_callbacks ("+p/a=1 ");
  CU_ASSERT_FALSE (service.is_read);
  CU_ASSERT_EQUAL (service.after, 6);
  reply_to_call (STATUS_OK, 7, &a2, 1);
  expect_callbacks ("+p/a=2 ");
  CU_ASSERT_EQUAL (service.after, 7);
  reply_to_call (STATUS_OK, 8, &a_removed, 1);
  expect_callbacks ("-p/a ");
  finish ();
}

/* Values of the first read counted as changes that came after it. */
static void
test_initial_read_is_told_apart (void)
{
  setup ();
  puts_after_initial_read = 0;
  reply_to_call (STATUS_OK, 6, &a1, 1);
  CU_ASSERT_EQUAL (puts_after_initial_read, 0);
  CU_ASSERT_TRUE (view.initial_read_done);
  reply_to_call (STATUS_OK, 7, &a2, 1);
  CU_ASSERT_EQUAL (puts_after_initial_read, 1);
  finish ();
}

/* Stale replies and repeated events never restore an older value. */
static void
test_never_older (void)
{
  const struct kv_item older_removal = { "p/a", "", 6, true };

  setup ();
  reply_to_call (STATUS_OK, 7, &a2, 1);
  expect_callbacks ("+p/a=2 ");
  reply_to_call (STATUS_OK, 7, &a1, 1);
  reply_to_call (STATUS_OK, 7, &older_removal, 1);
  expect_callbacks ("");
  CU_ASSERT_EQUAL (service.after, 7);
  finish ();
}

/* Guards against keys that are dropped, and never read again, since one read
 * of the KV service had none. */
static void
test_empty_read_is_repeated (void)
{
  setup ();
  view.settings.distrusts_empty_reads = true;
  reply_to_call (STATUS_OK, 6, &a1, 1);
  reply_to_call (STATUS_STALE, 0, NULL, 0);
  CU_ASSERT_TRUE (service.is_read);
  expect_callbacks ("+p/a=1 ");
  reply_to_call (STATUS_OK, 9, NULL, 0);
  clock_fake_advance (&fake_clock, 10 * NS_PER_S);
  kvview_tick (&view);
  expect_callbacks ("");
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_OK, 9, &a1, 1);
  expect_callbacks ("");
  CU_ASSERT_FALSE (service.is_read);
  finish ();
}

static void
test_lost_history_causes_full_read (void)
{
  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  reply_to_call (STATUS_STALE, 0, NULL, 0);
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_OK, 9, &a2, 1);
  expect_callbacks ("+p/a=1 +p/a=2 ");
  finish ();
}

/* All keys are read after a failed watch: another watch would wait for a
 * change, so that it would not show that the service is reachable again. */
static void
test_lost_watch_is_followed_by_a_read (void)
{
  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  reply_to_call (STATUS_UNKNOWN, 0, NULL, 0);
  CU_ASSERT_TRUE (service.is_read);
  finish ();
}

static void
test_failed_or_refused_reads_remove_nothing (void)
{
  static const enum status failures[]
      = { STATUS_UNAVAILABLE, STATUS_UNKNOWN, STATUS_LIMITED };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  expect_callbacks ("+p/a=1 ");
  for (unsigned i = 0; i < G_N_ELEMENTS (failures); i++)
    reply_to_call (failures[i], 0, NULL, 0);
  expect_callbacks ("");
  finish ();
}

/* A key that vanished in an outage is removed if it does not come back within
 * two seconds. */
static void
test_keys_are_held_after_an_outage (void)
{
  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  reply_to_call (STATUS_UNKNOWN, 0, NULL, 0);
  clock_fake_advance (&fake_clock, 5 * NS_PER_S);
  reply_to_call (STATUS_OK, 9, NULL, 0);
  expect_callbacks ("+p/a=1 ");
  clock_fake_advance (&fake_clock, NS_PER_S);
  kvview_tick (&view);
  expect_callbacks ("");
  clock_fake_advance (&fake_clock, 1100 * NS_PER_MS);
  kvview_tick (&view);
  expect_callbacks ("-p/a ");
  finish ();
}

/* Each call that failed, and each watch that was cut, held the keys of servers
 * that had left for two seconds more. */
static void
test_failed_call_is_no_outage (void)
{
  int64_t outage_end_ns;

  for (int outage = 0; outage <= 1; outage++)
    {
      setup ();
      outage_end_ns = 0;
      view.settings = entryviews_settings (NULL, &outage_end_ns);
      reply_to_call (STATUS_OK, 6, &a1, 1);
      reply_to_call (STATUS_LIMITED, 0, NULL, 0);
      reply_to_call (STATUS_UNAVAILABLE, 0, NULL, 0);
      /* Another call may have found out that the service is back before. */
      if (outage)
        outage_end_ns = clock_now (&fake_clock.clock);
      clock_fake_advance (&fake_clock, 500 * NS_PER_MS);
      reply_to_call (STATUS_OK, 11, NULL, 0);
      expect_callbacks (outage ? "+p/a=1 " : "+p/a=1 -p/a ");
      finish ();
    }
}

static void
test_a_key_that_comes_back_stays (void)
{
  const struct kv_item restored = { "p/a", "1", 10, false };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  reply_to_call (STATUS_UNKNOWN, 0, NULL, 0);
  reply_to_call (STATUS_OK, 9, NULL, 0);
  clock_fake_advance (&fake_clock, NS_PER_S);
  reply_to_call (STATUS_OK, 10, &restored, 1);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  kvview_tick (&view);
  expect_callbacks ("+p/a=1 +p/a=1 ");
  finish ();
}

/* A late reply to the watch that kvview_restart dropped changes nothing. */
static void
test_restart_drops_call_in_flight (void)
{
  kv_done done;
  void *data;
  struct kv_reply late = { .status = STATUS_UNKNOWN };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  done = service.done;
  data = service.data;
  kvview_restart (&view);
  kvview_tick (&view);
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_OK, 7, &a2, 1);
  done (data, &late);
  CU_ASSERT_TRUE (view.reachable);
  expect_callbacks ("+p/a=1 +p/a=2 ");
  finish ();
}

/* Saves the call in flight, to reply to it after later ones. */
struct saved_call
{
  kv_done done;
  void *data;
};

static struct saved_call
save_call (void)
{
  return (struct saved_call){ service.done, service.data };
}

static void
reply_to_saved (struct saved_call call, const struct kv_item *item)
{
  const struct kv_reply reply = { .status = STATUS_OK,
                                  .revision = item->revision,
                                  .items = item,
                                  .item_count = 1 };

  call.done (call.data, &reply);
  kvview_tick (&view);
}

/* The end of an outage dropped a watch that worked, so that nothing was heard
 * of changes until a read succeeded. */
static void
test_working_watch_is_kept (void)
{
  struct saved_call watch;
  struct saved_call read;
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  watch = save_call ();
  kvview_restart (&view);
  kvview_tick (&view);
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_UNKNOWN, 0, NULL, 0);
  clock_fake_advance (&fake_clock, NS_PER_S);
  kvview_tick (&view);
  CU_ASSERT_TRUE (service.is_read);
  read = save_call ();
  reply_to_saved (watch, &a2);
  expect_callbacks ("+p/a=1 +p/a=2 ");
  CU_ASSERT_FALSE (service.is_read);
  CU_ASSERT_EQUAL (service.after, 7);
  read.done (read.data, &cancelled);
  finish ();
}

/* Each call that failed beside a long read began the read again, so that it
 * never ended. */
static void
test_read_in_progress_is_kept (void)
{
  unsigned calls;

  setup ();
  calls = service.calls;
  for (int i = 0; i < 3; i++)
    {
      kvview_restart (&view);
      kvview_tick (&view);
    }
  CU_ASSERT_EQUAL (service.calls, calls);
  reply_to_call (STATUS_OK, 6, &a1, 1);
  expect_callbacks ("+p/a=1 ");
  finish ();
}

/* A watch whose reply never came held a view up for as long as the watch could
 * wait, though other hosts had learned of the change. */
static void
test_change_that_others_know (void)
{
  struct saved_call watch;
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  watch = save_call ();
  for (int64_t ms = 0; ms < 1000 && !service.is_read; ms += 50)
    {
      kvview_note_change (&view, 7);
      clock_fake_advance (&fake_clock, 50 * NS_PER_MS);
      kvview_tick (&view);
      CU_ASSERT_TRUE (ms >= 400 || !service.is_read);
    }
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_OK, 7, &a2, 1);
  expect_callbacks ("+p/a=1 +p/a=2 ");
  CU_ASSERT_FALSE (service.is_read);
  watch.done (watch.data, &cancelled);
  finish ();
}

/* That a read was begun for a change that others know hid that the view lacked
 * it, also if the read failed. */
static void
test_view_is_confirmed (void)
{
  struct saved_call watch;
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  watch = save_call ();
  CU_ASSERT_FALSE (kvview_is_confirmed (&view, NS_PER_S));
  kvview_note_change (&view, 0);
  CU_ASSERT_FALSE (kvview_is_confirmed (&view, NS_PER_S));
  kvview_note_change (&view, view.change_revision);
  CU_ASSERT_TRUE (kvview_is_confirmed (&view, NS_PER_S));
  clock_fake_advance (&fake_clock, 2 * NS_PER_S);
  CU_ASSERT_FALSE (kvview_is_confirmed (&view, NS_PER_S));
  kvview_note_change (&view, view.change_revision - 1);
  CU_ASSERT_FALSE (kvview_is_confirmed (&view, NS_PER_S));
  kvview_note_change (&view, 7);
  clock_fake_advance (&fake_clock, NS_PER_S);
  kvview_tick (&view);
  CU_ASSERT_EQUAL (view.reported_revision, 0);
  kvview_note_change (&view, view.change_revision);
  CU_ASSERT_FALSE (kvview_is_confirmed (&view, NS_PER_S));
  reply_to_call (STATUS_OK, 7, &a2, 1);
  kvview_note_change (&view, 7);
  CU_ASSERT_TRUE (kvview_is_confirmed (&view, NS_PER_S));
  watch.done (watch.data, &cancelled);
  finish ();
}

/* A host that reports a change which does not exist, or that this view knows
 * already, causes a read a second at most. */
static void
test_change_that_does_not_exist (void)
{
  unsigned reads = 0;
  struct saved_call watch;
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  for (int tick = 0; tick < 100; tick++)
    {
      watch = save_call ();
      kvview_note_change (&view, tick < 50 ? 6 : UINT64_MAX);
      clock_fake_advance (&fake_clock, 50 * NS_PER_MS);
      kvview_tick (&view);
      if (!service.is_read)
        continue;
      reads++;
      CU_ASSERT_TRUE (tick >= 50);
      reply_to_call (STATUS_OK, 6, &a1, 1);
      watch.done (watch.data, &cancelled);
    }
  CU_ASSERT_TRUE (reads > 0);
  CU_ASSERT_TRUE (reads <= 3);
  expect_callbacks ("+p/a=1 ");
  finish ();
}

/* A reply to a watch that was sent before a pause ended counted as news of all
 * changes until then. */
static void
test_watch_from_before_a_pause (void)
{
  struct saved_call watch;
  struct saved_call read;
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  setup ();
  reply_to_call (STATUS_OK, 6, &a1, 1);
  watch = save_call ();
  kvview_read_anew (&view, clock_boottime (&fake_clock.clock));
  kvview_tick (&view);
  CU_ASSERT_TRUE (service.is_read);
  read = save_call ();
  reply_to_saved (watch, &a2);
  CU_ASSERT_TRUE (view.keeps_unseen);
  CU_ASSERT_TRUE (service.is_read);
  reply_to_call (STATUS_OK, 8, &a2, 1);
  CU_ASSERT_FALSE (view.keeps_unseen);
  CU_ASSERT_FALSE (service.is_read);
  read.done (read.data, &cancelled);
  finish ();
}

/* The watch of a prefix without changes waited for longer than the service
 * keeps its history, so that all hosts read all keys every 25 s. */
static void
test_quiet_watch_is_no_read_of_all_keys (void)
{
  enum
  {
    HISTORY_S = 20
  };
  const struct kvview_settings settings = entryviews_settings (NULL, NULL);
  unsigned reads = 0;

  setup ();
  view.settings = settings;
  reply_to_call (STATUS_OK, 5, NULL, 0);
  for (uint64_t revision = 6; revision < 20; revision++)
    {
      bool is_forgotten = service.wait_ns >= HISTORY_S * NS_PER_S;

      clock_fake_advance (&fake_clock, service.wait_ns);
      reads += service.is_read;
      if (service.is_read)
        reply_to_call (STATUS_OK, revision, NULL, 0);
      else
        reply_to_call (is_forgotten ? STATUS_STALE : STATUS_OK, revision, NULL,
                       0);
    }
  CU_ASSERT_EQUAL (reads, 0);
  finish ();
}

static const struct unit_case cases[] = {
  { "quiet-watch-is-no-read-of-all-keys",
    test_quiet_watch_is_no_read_of_all_keys },
  { "read-then-watch", test_read_then_watch },
  { "initial-read-is-told-apart", test_initial_read_is_told_apart },
  { "never-older", test_never_older },
  { "empty-read-is-repeated", test_empty_read_is_repeated },
  { "lost-history-is-read-anew", test_lost_history_causes_full_read },
  { "lost-watch-is-followed-by-a-read",
    test_lost_watch_is_followed_by_a_read },
  { "failed-or-refused-reads-remove-nothing",
    test_failed_or_refused_reads_remove_nothing },
  { "keys-are-held-after-an-outage", test_keys_are_held_after_an_outage },
  { "failed-call-is-no-outage", test_failed_call_is_no_outage },
  { "a-key-that-comes-back-stays", test_a_key_that_comes_back_stays },
  { "restart-drops-the-open-call", test_restart_drops_call_in_flight },
  { "working-watch-is-kept", test_working_watch_is_kept },
  { "read-in-progress-is-kept", test_read_in_progress_is_kept },
  { "change-that-others-know", test_change_that_others_know },
  { "view-is-confirmed", test_view_is_confirmed },
  { "change-that-does-not-exist", test_change_that_does_not_exist },
  { "watch-from-before-a-pause-is-no-news", test_watch_from_before_a_pause },
};

int
main (void)
{
  return unit_run ("kvview", cases, G_N_ELEMENTS (cases));
}
