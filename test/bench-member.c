#include "fake-members.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* What membership and configuration cost a process, by the fleet's size, and
 * how fast a configuration is in force everywhere while the KV service is out
 * from the change on. 1% of datagrams is lost. */

enum
{
  CENTRES = 4,
  CHANGES = 15
};

#define SPAN_NS (30 * NS_PER_S)
#define CHANGE_EVERY_NS (2 * NS_PER_S)
#define STEP_NS (20 * NS_PER_MS)
#define WATCH_WAIT_S 10.0
#define LOSS 0.01
/* bench-config gives 466 bytes, compressed, and 16 ms for a change at 2,400
 * organisations; a document with more hashes in it is longer. With it go the
 * frames of the fetch and the heartbeats of its connection until that has been
 * idle for PEER_IDLE_NS. */
#define FETCH_BYTES (1024 + 200 + 8 * 40)
#define ADOPT_NS (20 * NS_PER_MS)
#define SEED 1

#define AWAY_NS (60 * NS_PER_S)
#define SETTLE_MAX_NS (180 * NS_PER_S)

/* The targets for each process. */
#define BYTES_MAX 8000.0
#define CPU_MAX 0.028
#define MEMORY_MAX (32.0 * 1024 * 1024)
#define LAST_SMALL_S 3.0
#define LAST_LARGE_S 15.0

struct figures
{
  double bytes;
  double bytes_max;
  double messages;
  double messages_max;
  double cpu;
  double memory;
  double kv_calls;
  double median_s;
  double last_s;
  size_t wrong;
};

static double
cpu_s (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Each watcher waits in one call, and begins another after each change. */
static double
kv_calls (const struct fake_members *net)
{
  double changes_per_s = (double)NS_PER_S / CHANGE_EVERY_NS;
  unsigned watchers = 0;

  for (size_t i = 0; i < net->count; i++)
    watchers += member_is_among_first (&net->members[i].member, "config", 2);
  return watchers * (1 / WATCH_WAIT_S + changes_per_s);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Revisions REVISION and on, each put in force in one process alone; when it
 * was in force in half of the processes and in the last one. */
static void
run_changes (struct fake_members *net, struct figures *figures)
{
  double halves[CHANGES] = { 0 }, lasts[CHANGES] = { 0 };
  int64_t begin_ns = net->now_ns;
  unsigned done = 0;

  for (int64_t at = 0; done < CHANGES; at += STEP_NS)
    {
      uint64_t revision = (uint64_t)(at / CHANGE_EVERY_NS) + 1;

      if (at % CHANGE_EVERY_NS == 0 && revision <= CHANGES)
        fake_members_configure (net, rng_below (&net->rng, net->count),
                                revision);
      fake_members_run (net, STEP_NS);
      for (unsigned i = done; i < MIN (revision, CHANGES); i++)
        {
          double since
              = (double)(net->now_ns - begin_ns - (int64_t)i * CHANGE_EVERY_NS)
                / NS_PER_S;
          size_t count = fake_members_with_revision (net, i + 1);

          if (halves[i] == 0 && 2 * count >= net->count)
            halves[i] = since;
          if (count < net->count)
            break;
          lasts[i] = since;
          done = i + 1;
        }
      if (at > 4 * SPAN_NS)
        break;
    }
  qsort (halves, CHANGES, sizeof *halves, compare);
  qsort (lasts, CHANGES, sizeof *lasts, compare);
  figures->median_s = halves[CHANGES / 2];
  figures->last_s = done == CHANGES ? lasts[CHANGES - 1] : 1e9;
}

static void
measure_traffic (const struct fake_members *net, double span_s,
                 struct figures *figures)
{
  for (size_t i = 0; i < net->count; i++)
    {
      double bytes = (double)net->members[i].bytes / span_s;
      double messages = (double)net->members[i].messages / span_s;

      figures->bytes += bytes / (double)net->count;
      figures->messages += messages / (double)net->count;
      figures->bytes_max = MAX (figures->bytes_max, bytes);
      figures->messages_max = MAX (figures->messages_max, messages);
    }
}

static void
measure (size_t count, struct figures *figures)
{
  struct fake_members net;
  size_t heap = heap_bytes ();
  int64_t begin_ns;
  double cpu, span_s;

  fake_members_init (&net, count, CENTRES, SEED, &member_settings_default);
  net.loss = LOSS;
  net.fetch_bytes = FETCH_BYTES;
  net.adopt_ns = ADOPT_NS;
  fake_members_introduce (&net);
  fake_members_run (&net, 2 * NS_PER_S);
  for (size_t i = 0; i < count; i++)
    net.members[i].bytes = net.members[i].messages = 0;
  cpu = cpu_s ();
  begin_ns = net.now_ns;
  run_changes (&net, figures);
  span_s = (double)(net.now_ns - begin_ns) / NS_PER_S;
  figures->cpu = (cpu_s () - cpu) / span_s / (double)count;
  figures->memory = (double)(heap_bytes () - heap) / (double)count;
  measure_traffic (&net, span_s, figures);
  figures->kv_calls = kv_calls (&net);
  figures->wrong = fake_members_wrong (&net);
  fake_members_finish (&net);
}

static bool
meets (const struct figures *figures, size_t count)
{
  double last_max = count <= 8 ? LAST_SMALL_S : LAST_LARGE_S;

  return figures->bytes_max <= BYTES_MAX && figures->cpu <= CPU_MAX
         && figures->memory <= MEMORY_MAX && figures->last_s <= last_max
         && figures->wrong == 0;
}

/* How long until all is seen right, in steps of a second. */
static double
settle_s (struct fake_members *net)
{
  int64_t begin_ns = net->now_ns;

  while (fake_members_wrong (net) > 0
         && net->now_ns - begin_ns < SETTLE_MAX_NS)
    fake_members_run (net, NS_PER_S);
  return (double)(net->now_ns - begin_ns) / NS_PER_S;
}

static double
busiest (struct fake_members *net, double span_s)
{
  double most = 0;

  for (size_t i = 0; i < net->count; i++)
    {
      most = MAX (most, (double)net->members[i].bytes / span_s);
      net->members[i].bytes = 0;
    }
  return most;
}

/* One data centre of four loses the others for a while. */
static bool
measure_loss (size_t count)
{
  struct fake_members net;
  double settled_s, away, back;
  bool good;

  fake_members_init (&net, count, CENTRES, SEED, &member_settings_default);
  net.loss = LOSS;
  fake_members_introduce (&net);
  fake_members_run (&net, 2 * NS_PER_S);
  busiest (&net, 1);
  net.lost_centre = 1;
  fake_members_run (&net, AWAY_NS);
  away = busiest (&net, (double)AWAY_NS / NS_PER_S);
  net.lost_centre = -1;
  settled_s = settle_s (&net);
  back = busiest (&net, MAX (settled_s, 1));
  good = MAX (away, back) <= BYTES_MAX && fake_members_wrong (&net) == 0;
  printf ("%9zu %12.0f %12.0f %14.0f %6zu %s\n", count, away, back, settled_s,
          fake_members_wrong (&net), good ? "met" : "missed");
  fflush (stdout);
  fake_members_finish (&net);
  return good;
}

int
main (void)
{
  static const size_t sizes[] = { 8, 64, 512, 2200 };
  bool all = true;

  printf ("%9s %8s %8s %6s %6s %8s %9s %8s %8s %8s %6s %s\n", "processes",
          "B/s", "B/s max", "msg/s", "max", "core %", "memory KB", "KV/s",
          "median s", "last s", "wrong", "target");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct figures figures = { 0 };
      bool good;

      measure (sizes[i], &figures);
      good = meets (&figures, sizes[i]);
      all = all && good;
      printf ("%9zu %8.0f %8.0f %6.1f %6.1f %8.3f %9.1f %8.1f %8.2f %8.2f "
              "%6zu %s\n",
              sizes[i], figures.bytes, figures.bytes_max, figures.messages,
              figures.messages_max, 100 * figures.cpu, figures.memory / 1024,
              figures.kv_calls, figures.median_s, figures.last_s,
              figures.wrong, good ? "met" : "missed");
      fflush (stdout);
    }
  printf ("\nA data centre is cut off for %d s and comes back\n"
          "%9s %12s %12s %14s %6s %s\n",
          (int)(AWAY_NS / NS_PER_S), "processes", "max B/s away",
          "max B/s back", "all right, s", "wrong", "target");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    all = measure_loss (sizes[i]) && all;
  return all ? 0 : 1;
}
