#include "unit.h"
#include "waitqueue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REQUESTS_MAX = 4096,
  TICK_MS = 20,
  /* Time for which the replayed load lasts. */
  LOAD_S = 20,
  LONG_WORK_MS = 60,
  SHORT_WORK_MS = 8,
  LONG_TARGET_MS = 600,
  SHORT_TARGET_MS = 400,
  PATIENCE_MS = 3200
};

/* One request of the replay. */
struct request
{
  struct waitqueue_request queued;
  bool used;
  bool is_long;
};

struct counts
{
  unsigned asked;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  unsigned abandoned;
};

/* A server that works through its backlog without a pause, and the requests
 * that wait for it. */
struct replay
{
  struct waitqueue queue;
  struct rng rng;
  int64_t now_ns;
  double backlog_ms;
  bool first_come;    /* Whether each request is sent as soon as it arrives. */
  bool has_no_memory; /* Whether the server takes nothing. */
  struct counts counts[2];
  struct request requests[REQUESTS_MAX];
};

static void
replay_init (struct replay *replay)
{
  memset (replay, 0, sizeof *replay);
  rng_init (&replay->rng, 7);
  waitqueue_init (&replay->queue, &waitqueue_settings_default, &replay->rng);
  replay->now_ns = NS_PER_S;
}

static void
request_send (struct replay *replay, struct request *request)
{
  struct counts *counts = &replay->counts[request->is_long];
  double first_ms = replay->backlog_ms + request->queued.work_ms;
  int64_t first_ns = replay->now_ns + (int64_t)(first_ms * NS_PER_MS);

  waitqueue_sent (&replay->queue, &request->queued, replay->now_ns);
  replay->backlog_ms += request->queued.work_ms;
  if (first_ns > request->queued.give_up_ns)
    counts->abandoned++;
  else if (first_ns <= request->queued.target_ns)
    counts->in_time++;
  else
    counts->late++;
  request->used = false;
}

static enum waitqueue_action
request_decide (struct replay *replay, struct request *request)
{
  struct waitqueue_outlook outlook = {
    .has_server = !replay->has_no_memory,
    .backlog_ms = replay->backlog_ms,
    .prompt_ms = request->queued.work_ms,
  };

  return waitqueue_decide (&replay->queue, &request->queued, &outlook,
                           replay->now_ns);
}

static bool
request_try (void *data, struct waitqueue_request *queued)
{
  struct replay *replay = data;
  struct request *request = LIST_ENTRY (queued, struct request, queued);
  bool was_late = queued->is_late;

  switch (request_decide (replay, request))
    {
    case WAITQUEUE_SEND:
      request_send (replay, request);
      return false;
    case WAITQUEUE_REFUSE:
      replay->counts[request->is_long].refused++;
      waitqueue_remove (&replay->queue, queued);
      request->used = false;
      return false;
    case WAITQUEUE_WAIT:
      break;
    }
  return queued->is_late == was_late;
}

static struct request *
request_new (struct replay *replay, bool is_long, const char *organisation)
{
  for (int i = 0; i < REQUESTS_MAX; i++)
    {
      struct request *request = &replay->requests[i];
      int64_t target_ms = is_long ? LONG_TARGET_MS : SHORT_TARGET_MS;

      if (request->used)
        continue;
      memset (request, 0, sizeof *request);
      request->used = true;
      request->is_long = is_long;
      request->queued = (struct waitqueue_request){
        .organisation = organisation,
        .priority = is_long ? PRIORITY_STANDARD : PRIORITY_URGENT,
        .work_ms = is_long ? LONG_WORK_MS : SHORT_WORK_MS,
        .arrived_ns = replay->now_ns,
        .target_ns = replay->now_ns + target_ms * NS_PER_MS,
        .give_up_ns = replay->now_ns + PATIENCE_MS * NS_PER_MS,
      };
      return request;
    }
  abort ();
}

static void
request_arrive (struct replay *replay, bool is_long, const char *organisation)
{
  struct request *request = request_new (replay, is_long, organisation);
  struct waitqueue_request *victim;

  replay->counts[is_long].asked++;
  if (replay->first_come)
    {
      request_send (replay, request);
      return;
    }
  if (!waitqueue_must_wait (&replay->queue, request->queued.priority))
    switch (request_decide (replay, request))
      {
      case WAITQUEUE_SEND:
        request_send (replay, request);
        return;
      case WAITQUEUE_REFUSE:
        replay->counts[is_long].refused++;
        request->used = false;
        return;
      case WAITQUEUE_WAIT:
        break;
      }
  if (replay->now_ns
          + waitqueue_expected_wait_ns (&replay->queue, &request->queued,
                                        replay->now_ns)
      >= request->queued.give_up_ns)
    {
      replay->counts[is_long].refused++;
      request->used = false;
      return;
    }
  waitqueue_add (&replay->queue, &request->queued, &victim);
  CU_ASSERT_PTR_NULL (victim);
}

static void
replay_tick (struct replay *replay)
{
  replay->now_ns += TICK_MS * NS_PER_MS;
  replay->backlog_ms = MAX (replay->backlog_ms - TICK_MS, 0);
  for (int i = 0; i < REQUESTS_MAX; i++)
    {
      struct request *request = &replay->requests[i];

      if (!request->used
          || !waitqueue_is_lost (&request->queued, replay->now_ns))
        continue;
      replay->counts[request->is_long].refused++;
      waitqueue_remove (&replay->queue, &request->queued);
      request->used = false;
    }
  waitqueue_serve (&replay->queue, replay->now_ns, request_try, replay);
}

static void
replay_finish (struct replay *replay)
{
  for (int i = 0; i < REQUESTS_MAX; i++)
    if (replay->requests[i].used)
      waitqueue_remove (&replay->queue, &replay->requests[i].queued);
  waitqueue_finish (&replay->queue);
}

/* Replay a load of LOAD times what the server can do, half of its work each
 * for long and for short requests. */
static void
replay_load (struct replay *replay, double load)
{
  for (int tick = 0; tick < LOAD_S * 1000 / TICK_MS; tick++)
    {
      static const char *const names[] = { "a", "b", "c", "d" };
      double long_share = load * TICK_MS / 2 / LONG_WORK_MS;
      double short_share = load * TICK_MS / 2 / SHORT_WORK_MS;

      replay_tick (replay);
      for (; long_share > 0; long_share--)
        if (rng_uniform (&replay->rng) < long_share)
          request_arrive (replay, true, names[rng_below (&replay->rng, 4)]);
      for (; short_share > 0; short_share--)
        if (rng_uniform (&replay->rng) < short_share)
          request_arrive (replay, false, names[rng_below (&replay->rng, 4)]);
    }
}

static double
share (unsigned part, const struct counts *counts)
{
  return counts->asked > 0 ? (double)part / counts->asked : 0;
}

/* Guards against a backlog that grows until all requests are late: under 1.5
 * times the load that the server can do, what is sent is in time, each kind
 * keeps a share, and nobody waits until it gives up. */
static void
test_overload (void)
{
  static struct replay queued;
  static struct replay first_come;
  const struct counts *counts = queued.counts;

  replay_init (&queued);
  replay_load (&queued, 1.5);
  replay_init (&first_come);
  first_come.first_come = true;
  replay_load (&first_come, 1.5);
  for (int i = 0; i < 2; i++)
    printf ("# %s: in time %.2f, late %.2f, refused %.2f; first come, first "
            "served: %.2f, %.2f, abandoned %.2f\n",
            i == 0 ? "short" : "long", share (counts[i].in_time, &counts[i]),
            share (counts[i].late, &counts[i]),
            share (counts[i].refused, &counts[i]),
            share (first_come.counts[i].in_time, &first_come.counts[i]),
            share (first_come.counts[i].late, &first_come.counts[i]),
            share (first_come.counts[i].abandoned, &first_come.counts[i]));
  /* The more urgent kind needs half of the work that arrives, which is 3/4 of
   * what the server can do. */
  CU_ASSERT (share (counts[0].in_time, &counts[0]) > 0.9);
  CU_ASSERT (share (counts[1].in_time + counts[1].late, &counts[1]) > 0.2);
  CU_ASSERT (share (first_come.counts[0].in_time, &first_come.counts[0])
             < 0.2);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (counts[i].abandoned, 0);
  replay_finish (&queued);
  replay_finish (&first_come);
}

/* Guards against requests that are refused or wait while there is room. */
static void
test_no_wait_with_room (void)
{
  static struct replay replay;

  replay_init (&replay);
  replay_load (&replay, 0.5);
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (replay.counts[i].refused, 0);
      CU_ASSERT_EQUAL (replay.counts[i].in_time, replay.counts[i].asked);
    }
  replay_finish (&replay);
}

/* Guards against one organisation that takes all the room by asking for it
 * more often. */
static void
test_organisations_share (void)
{
  static struct replay replay;
  unsigned sent[2] = { 0 };
  unsigned waiting = 0;

  replay_init (&replay);
  replay.has_no_memory = true;
  for (int i = 0; i < 200; i++)
    request_arrive (&replay, true, i % 10 == 0 ? "small" : "large");
  replay.has_no_memory = false;
  for (int i = 0; i < REQUESTS_MAX; i++)
    waiting
        += replay.requests[i].used
           && strcmp (replay.requests[i].queued.organisation, "small") == 0;
  CU_ASSERT (waiting > 0);
  for (int turn = 0; turn < 4; turn++)
    {
      bool waits[REQUESTS_MAX];

      for (int i = 0; i < REQUESTS_MAX; i++)
        waits[i] = replay.requests[i].used;
      replay.backlog_ms = 0;
      waitqueue_serve (&replay.queue, replay.now_ns, request_try, &replay);
      for (int i = 0; i < REQUESTS_MAX; i++)
        if (waits[i] && !replay.requests[i].used)
          sent[strcmp (replay.requests[i].queued.organisation, "small")
               == 0]++;
    }
  printf ("# sent of the large organisation: %u, of the small one: %u\n",
          sent[0], sent[1]);
  CU_ASSERT (sent[0] + sent[1] >= 16);
  CU_ASSERT (sent[1] >= MIN (waiting, 8));
  replay_finish (&replay);
}

/* Guards against a class that is starved, since its requests need more memory
 * than is ever free while smaller ones are sent. */
static bool
try_short_only (void *data, struct waitqueue_request *queued)
{
  struct replay *replay = data;
  struct request *request = LIST_ENTRY (queued, struct request, queued);

  if (request->is_long)
    return true;
  request_send (replay, request);
  return false;
}

static void
test_class_is_not_passed_by (void)
{
  static struct replay replay;
  unsigned sent = 0;

  replay_init (&replay);
  replay.has_no_memory = true;
  request_arrive (&replay, true, "a");
  for (int i = 0; i < 2000; i++)
    {
      if (!waitqueue_must_wait (&replay.queue, PRIORITY_URGENT))
        sent++;
      request_arrive (&replay, false, "a");
      waitqueue_serve (&replay.queue, replay.now_ns, try_short_only, &replay);
    }
  CU_ASSERT (sent > 0);
  CU_ASSERT (sent < 2000);
  CU_ASSERT (waitqueue_must_wait (&replay.queue, PRIORITY_URGENT));
  replay_finish (&replay);
}

/* Guards against a class that is passed by for ever, since more urgent
 * requests are sent without waiting. */
static void
test_direct_sends_are_charged (void)
{
  static struct replay replay;
  unsigned sent = 0;

  replay_init (&replay);
  replay.has_no_memory = true;
  request_arrive (&replay, true, "a");
  while (sent < 2000 && !waitqueue_must_wait (&replay.queue, PRIORITY_URGENT))
    {
      request_send (&replay, request_new (&replay, false, "b"));
      sent++;
    }
  CU_ASSERT (sent > 0 && sent < 2000);
  replay_finish (&replay);
}

/* Guards against callers that were refused together and return together. */
static void
test_returns_are_spread (void)
{
  static struct replay replay;
  struct waitqueue_request request = { .work_ms = 50 };
  int64_t first;
  int64_t last = 0;

  replay_init (&replay);
  for (int i = 0; i < 20; i++)
    {
      int64_t after = waitqueue_retry_after_ns (&replay.queue, &request,
                                                60 * NS_PER_S, replay.now_ns);

      CU_ASSERT (after > 0);
      last = MAX (last, after);
    }
  /* 20 requests of 50 ms each take a second at the rate of one server. */
  CU_ASSERT (last > NS_PER_S / 2);
  first = INT64_MAX;
  last = 0;
  for (int i = 0; i < 20; i++)
    {
      int64_t after = waitqueue_retry_after_ns (&replay.queue, &request,
                                                NS_PER_S, replay.now_ns);

      CU_ASSERT (after <= NS_PER_S);
      first = MIN (first, after);
      last = MAX (last, after);
    }
  CU_ASSERT (last - first > NS_PER_S / 5);
  replay_finish (&replay);
}

/* Guards against a caller that was refused, returned and finds newcomers
 * before it. */
static void
test_return_goes_first (void)
{
  static struct replay replay;
  struct request *newcomer;
  struct request *returned;
  struct waitqueue_request *victim;

  replay_init (&replay);
  newcomer = request_new (&replay, true, "a");
  waitqueue_add (&replay.queue, &newcomer->queued, &victim);
  returned = request_new (&replay, true, "a");
  returned->queued.waited_ns = NS_PER_S;
  waitqueue_add (&replay.queue, &returned->queued, &victim);
  replay.backlog_ms = LONG_TARGET_MS - LONG_WORK_MS;
  waitqueue_serve (&replay.queue, replay.now_ns, request_try, &replay);
  CU_ASSERT_FALSE (returned->used);
  CU_ASSERT (newcomer->used);
  replay_finish (&replay);
}

/* Guards against memory without a bound: a full queue refuses the request of
 * the organisation with the most work in the least urgent class. */
static void
test_full_queue (void)
{
  static struct replay replay;
  struct waitqueue_settings settings = waitqueue_settings_default;
  struct waitqueue_request *victim;
  struct request *first;
  struct request *last;

  settings.limit = 3;
  replay_init (&replay);
  replay.queue.settings = &settings;
  first = request_new (&replay, true, "large");
  waitqueue_add (&replay.queue, &first->queued, &victim);
  for (int i = 0; i < 2; i++)
    {
      last = request_new (&replay, true, "large");
      waitqueue_add (&replay.queue, &last->queued, &victim);
      CU_ASSERT_PTR_NULL (victim);
    }
  waitqueue_add (&replay.queue, &request_new (&replay, false, "small")->queued,
                 &victim);
  CU_ASSERT_PTR_EQUAL (victim, &last->queued);
  CU_ASSERT_EQUAL (waitqueue_count (&replay.queue), 3);
  replay_finish (&replay);
}

static const struct unit_case cases[] = {
  { "overload", test_overload },
  { "no-wait-with-room", test_no_wait_with_room },
  { "organisations-share", test_organisations_share },
  { "class-is-not-passed-by", test_class_is_not_passed_by },
  { "direct-sends-are-charged", test_direct_sends_are_charged },
  { "returns-are-spread", test_returns_are_spread },
  { "return-goes-first", test_return_goes_first },
  { "full-queue", test_full_queue },
};

int
main (void)
{
  return unit_run ("waitqueue", cases, sizeof cases / sizeof *cases);
}
