#include "fake-path.h"
#include "kvview.h"
#include "unit.h"
#include "weightsnews.h"

#include <string.h>

static const struct fake_upstream_step no_response
    = { "", FAKE_UPSTREAM_KEEP };

enum
{
  WATCH,
  READ,
  CALL_KINDS
};

/* A KV service that keeps a watch and a read, and cancels those before. */
static struct
{
  struct kv kv;
  struct
  {
    kv_done done; /* NULL if there is no call. */
    void *data;
  } pending[CALL_KINDS];
  unsigned calls;
} service;

static struct clock_fake fake_clock;
static struct pausewatch pausewatch;
static struct kvview view;
static int64_t written_since_ns;

static bool
is_reading (void)
{
  return service.pending[READ].done != NULL;
}

static void
pending_end (unsigned kind, const struct kv_reply *reply)
{
  kv_done done = service.pending[kind].done;

  service.pending[kind].done = NULL;
  if (done != NULL)
    done (service.pending[kind].data, reply);
}

static void
record_call (unsigned kind, kv_done done, void *data)
{
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  pending_end (kind, &cancelled);
  service.pending[kind].done = done;
  service.pending[kind].data = data;
  service.calls++;
}

static void
fake_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  record_call (READ, done, data);
}

static void
fake_watch (struct kv *kv, const char *prefix, uint64_t after, int64_t wait_ns,
            kv_done done, void *data)
{
  record_call (WATCH, done, data);
}

static void
fake_cancel (struct kv *kv, void *data)
{
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  for (unsigned kind = 0; kind < CALL_KINDS; kind++)
    if (service.pending[kind].done != NULL
        && service.pending[kind].data == data)
      pending_end (kind, &cancelled);
}

static const struct kv_ops service_ops
    = { .range = fake_range, .watch = fake_watch, .cancel = fake_cancel };

static void
note_put (void *data, const char *key, const char *value, uint64_t revision)
{
  written_since_ns = view.written_since_ns;
}

static void
ignore_removal (void *data, const char *key)
{
}

static void
ignore_reachability (void *data, bool reachable)
{
}

static const struct kvview_ops view_ops
    = { note_put, ignore_removal, ignore_reachability, NULL };

/* Whether the view is told of pauses, as in a process. */
static bool pauses_are_told;

static void
tick (void)
{
  struct pausewatch_pause pause;

  if (pausewatch_tick (&pausewatch, &pause) && pauses_are_told)
    kvview_read_anew (&view, pause.from_ns);
  kvview_tick (&view);
}

static void
run_for_ms (unsigned ms)
{
  for (unsigned i = 0; i < ms; i += 20)
    {
      clock_fake_advance (&fake_clock, 20 * NS_PER_MS);
      tick ();
    }
}

static void
reply_to_call (enum status status, uint64_t revision)
{
  const struct kv_item item = { "p/a", "1", revision, false };
  struct kv_reply reply = { .status = status,
                            .revision = revision,
                            .items = &item,
                            .item_count = status == STATUS_OK };

  pending_end (is_reading () ? READ : WATCH, &reply);
  tick ();
}

/* A view that has read a key once and watches for changes. */
static void
view_setup (void)
{
  const struct kvview_settings settings = { .watch_duration_ns = 25 * NS_PER_S,
                                            .hold_ns = 2 * NS_PER_S,
                                            .pausewatch = &pausewatch };

  memset (&service, 0, sizeof service);
  pauses_are_told = false;
  service.kv.ops = &service_ops;
  clock_fake_init (&fake_clock, 100 * NS_PER_S);
  pausewatch_init (&pausewatch, &fake_clock.clock);
  kvview_init (&view, &service.kv, &fake_clock.clock, &settings, "p/",
               &view_ops, NULL);
  tick ();
  reply_to_call (STATUS_OK, 1);
}

static void
view_finish (void)
{
  const struct kv_reply cancelled = { .status = STATUS_CANCELLED };

  pending_end (WATCH, &cancelled);
  pending_end (READ, &cancelled);
  kvview_finish (&view);
}

static int64_t
age_ms (void)
{
  return (clock_boottime (&fake_clock.clock) - written_since_ns) / NS_PER_MS;
}

/* What a host learned after a pause counted as new, although it may have
 * happened at the pause's beginning; the news come before or after the first
 * tick. */
static void
test_learned_after_a_pause (void)
{
  for (int suspended = 0; suspended < 2; suspended++)
    for (int after_tick = 0; after_tick < 2; after_tick++)
      {
        view_setup ();
        run_for_ms (1000);
        if (suspended)
          fake_clock.suspended_ns += 3 * NS_PER_S;
        else
          clock_fake_advance (&fake_clock, 3 * NS_PER_S);
        if (after_tick)
          tick ();
        reply_to_call (STATUS_OK, 2);
        CU_ASSERT_TRUE (age_ms () >= 3000);
        CU_ASSERT_TRUE (age_ms () < 3100);
        run_for_ms (1000);
        reply_to_call (STATUS_OK, 3);
        CU_ASSERT_TRUE (age_ms () < 100);
        view_finish ();
      }
}

/* A watch whose connection is silent ends seconds later; what the read after
 * it finds counted as new. */
static void
test_learned_after_a_silent_watch (void)
{
  static const enum status ends[]
      = { STATUS_UNKNOWN, STATUS_UNAVAILABLE, STATUS_TIMEOUT, STATUS_STALE };

  for (unsigned i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      view_setup ();
      run_for_ms (10000);
      reply_to_call (ends[i], 0);
      run_for_ms (60);
      reply_to_call (STATUS_OK, 2);
      CU_ASSERT_TRUE (age_ms () >= 3500);
      CU_ASSERT_TRUE (age_ms () < 5000);
      view_finish ();
    }
}

/* After an outage for all, a version is required no sooner than it can be
 * rolled out. */
static void
test_learned_after_an_outage (void)
{
  view_setup ();
  run_for_ms (1000);
  for (unsigned i = 0; i < 20; i++)
    {
      reply_to_call (STATUS_UNAVAILABLE, 0);
      run_for_ms (500);
    }
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 480);
  CU_ASSERT_TRUE (age_ms () < 1100);
  view_finish ();
}

/* A read that was refused for the number of calls is no outage: the other
 * hosts read the same change in time. */
static void
test_learned_after_refused_reads (void)
{
  view_setup ();
  run_for_ms (1000);
  reply_to_call (STATUS_UNAVAILABLE, 0);
  run_for_ms (100);
  for (unsigned i = 0; i < 10; i++)
    {
      reply_to_call (STATUS_LIMITED, 0);
      run_for_ms (500);
    }
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 5000);
  CU_ASSERT_TRUE (age_ms () < 6500);
  view_finish ();
}

/* A change between two watches is in the reply to the second, which comes at
 * once. */
static void
test_learned_between_two_watches (void)
{
  view_setup ();
  kvview_set_pause (&view, NS_PER_S);
  run_for_ms (2000);
  reply_to_call (STATUS_OK, 2);
  run_for_ms (1060);
  reply_to_call (STATUS_OK, 3);
  CU_ASSERT_TRUE (age_ms () >= 1000);
  CU_ASSERT_TRUE (age_ms () < 1200);
  view_finish ();
}

/* What is learned after two pauses with little time between them may have
 * happened in the first. */
static void
test_learned_after_two_pauses (void)
{
  view_setup ();
  run_for_ms (1000);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  tick ();
  run_for_ms (100);
  clock_fake_advance (&fake_clock, 300 * NS_PER_MS);
  tick ();
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 3400);
  CU_ASSERT_TRUE (age_ms () < 3500);
  view_finish ();
}

/* Two pauses that have time between them are two. */
static void
test_learned_after_a_second_pause (void)
{
  view_setup ();
  run_for_ms (1000);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  tick ();
  run_for_ms (1000);
  clock_fake_advance (&fake_clock, 300 * NS_PER_MS);
  tick ();
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 300);
  CU_ASSERT_TRUE (age_ms () < 400);
  view_finish ();
}

/* The calls in flight time out in a pause, so that the service counts as lost
 * and back right after it; the pause was forgotten then. */
static void
test_learned_after_a_pause_and_a_restart (void)
{
  view_setup ();
  pauses_are_told = true;
  run_for_ms (1000);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  tick ();
  kvview_restart (&view);
  run_for_ms (1000);
  CU_ASSERT_TRUE (is_reading ());
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 4000);
  CU_ASSERT_TRUE (age_ms () < 4100);
  run_for_ms (1000);
  reply_to_call (STATUS_OK, 3);
  CU_ASSERT_TRUE (age_ms () < 100);
  view_finish ();
}

/* News that came later than half a second after a pause counted as new. */
static void
test_learned_long_after_a_pause (void)
{
  view_setup ();
  pauses_are_told = true;
  run_for_ms (10000);
  clock_fake_advance (&fake_clock, 3 * NS_PER_S);
  tick ();
  CU_ASSERT_TRUE (is_reading ());
  run_for_ms (1000);
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 4000);
  CU_ASSERT_TRUE (age_ms () < 4100);
  view_finish ();
}

/* Many pauses cause few calls, and none is forgotten. */
static void
test_many_pauses (void)
{
  unsigned calls;

  view_setup ();
  pauses_are_told = true;
  run_for_ms (1000);
  calls = service.calls;
  for (unsigned i = 0; i < 20; i++)
    {
      clock_fake_advance (&fake_clock, 400 * NS_PER_MS);
      tick ();
      if (is_reading ())
        reply_to_call (STATUS_OK, 1);
      run_for_ms (100);
    }
  CU_ASSERT_TRUE (service.calls - calls <= 6);
  reply_to_call (STATUS_OK, 2);
  CU_ASSERT_TRUE (age_ms () >= 400);
  CU_ASSERT_TRUE (age_ms () < 5500);
  view_finish ();
}

/* A watch whose connection is alive but whose reply was lost ends at the end
 * of its wait; what the read after it finds counted as four seconds old. */
static void
test_learned_after_a_lost_reply (void)
{
  static const enum status ends[] = { STATUS_UNKNOWN, STATUS_TIMEOUT };

  for (unsigned i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      view_setup ();
      run_for_ms (26000);
      reply_to_call (ends[i], 0);
      run_for_ms (60);
      reply_to_call (STATUS_OK, 2);
      CU_ASSERT_TRUE (age_ms () >= 26000);
      view_finish ();
    }
}

/* A host whose watch was silent believed in old weights although engines told
 * it of newer ones. One read for each version finds out. */
static void
test_newer_weights_heard_of (void)
{
  struct weightsnews news;
  unsigned calls;

  fake_path_setup (&no_response, 1, NULL, 0);
  view_setup ();
  weightsnews_init (&news, &path.servers, &path.log, &view,
                    path.forwarder.wanted_weights);
  forwarder_set_wanted_version (&path.forwarder, "m", 2,
                                clock_boottime (&path.clock));
  fake_path_set_weights (0, 2);
  run_for_ms (10000);
  calls = service.calls;
  weightsnews_tick (&news);
  run_for_ms (100);
  CU_ASSERT_EQUAL (service.calls, calls);
  fake_path_set_weights (0, 3);
  weightsnews_tick (&news);
  run_for_ms (20);
  CU_ASSERT_TRUE (is_reading ());
  reply_to_call (STATUS_OK, 3);
  CU_ASSERT_TRUE (age_ms () >= 2000);
  CU_ASSERT_TRUE (age_ms () < 4000);
  for (unsigned i = 0; i < 100; i++)
    {
      weightsnews_tick (&news);
      run_for_ms (100);
    }
  CU_ASSERT_EQUAL (service.calls, calls + 2);
  weightsnews_finish (&news);
  view_finish ();
  fake_path_finish ();
}

static const struct unit_case cases[] = {
  { "learned-after-a-pause", test_learned_after_a_pause },
  { "learned-after-a-silent-watch", test_learned_after_a_silent_watch },
  { "learned-after-an-outage", test_learned_after_an_outage },
  { "learned-after-refused-reads", test_learned_after_refused_reads },
  { "learned-between-two-watches", test_learned_between_two_watches },
  { "learned-after-two-pauses", test_learned_after_two_pauses },
  { "learned-after-a-second-pause", test_learned_after_a_second_pause },
  { "learned-after-a-pause-and-a-restart",
    test_learned_after_a_pause_and_a_restart },
  { "learned-long-after-a-pause", test_learned_long_after_a_pause },
  { "many-pauses", test_many_pauses },
  { "learned-after-a-lost-reply", test_learned_after_a_lost_reply },
  { "newer-weights-heard-of", test_newer_weights_heard_of },
};

int
main (void)
{
  return unit_run ("learned", cases, G_N_ELEMENTS (cases));
}
