#include "blameevidence.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  CRASH_LIFE_S = 60,    /* Time for which a crash is kept. */
  HALF_LIFE_S = 10,     /* Half-life of the count of completed runs. */
  CRASH_RUNS_MAX = 128, /* Maximum number of runs of one crash; a server that
                           cuts runs and goes on may lose more. */
  REPORTS_MAX = 256     /* Maximum number of hosts whose reports are kept. */
};

struct report
{
  uint64_t host;
  double completed;
  int64_t at_ns;
};

guint
blame_part_hash (gconstpointer part)
{
  return (guint)XXH3_64bits (part, sizeof (struct blame_part));
}

gboolean
blame_part_equal (gconstpointer a, gconstpointer b)
{
  const struct blame_part *left = a;
  const struct blame_part *right = b;

  return left->scope == right->scope && left->id == right->id;
}

unsigned
blame_part_index (const struct blame_part *parts, unsigned count,
                  const struct blame_part *part)
{
  unsigned i = 0;

  while (i < count && !blame_part_equal (&parts[i], part))
    i++;
  return i;
}

static void
crash_drop_oldest_run (struct blameevidence_crash *crash)
{
  struct blameevidence_run *run
      = LIST_ENTRY (crash->runs.next, struct blameevidence_run, node);

  list_remove (&run->node);
  crash->run_count--;
  g_free (run);
}

static void
crash_free (void *data)
{
  struct blameevidence_crash *crash = data;

  while (crash->run_count > 0)
    crash_drop_oldest_run (crash);
  g_free (crash->key);
  g_free (crash);
}

static void
part_free (void *data)
{
  struct blameevidence_part *part = data;

  if (part->reports != NULL)
    g_hash_table_destroy (part->reports);
  g_free (part);
}

void
blameevidence_init (struct blameevidence *evidence, const struct clock *clock)
{
  memset (evidence, 0, sizeof *evidence);
  evidence->clock = clock;
  evidence->crashes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, crash_free);
  evidence->parts = g_hash_table_new_full (blame_part_hash, blame_part_equal,
                                           NULL, part_free);
  list_init (&evidence->crashes_by_age);
  list_init (&evidence->parts_by_use);
}

void
blameevidence_finish (struct blameevidence *evidence)
{
  g_hash_table_destroy (evidence->crashes);
  g_hash_table_destroy (evidence->parts);
}

static struct blameevidence_crash *
oldest_crash (const struct blameevidence *evidence)
{
  return LIST_ENTRY (evidence->crashes_by_age.next, struct blameevidence_crash,
                     node);
}

static void
crash_drop (struct blameevidence *evidence, struct blameevidence_crash *crash)
{
  evidence->run_count -= crash->run_count;
  list_remove (&crash->node);
  g_hash_table_remove (evidence->crashes, crash->key);
}

static struct blameevidence_crash *
crash_get (struct blameevidence *evidence, const struct blame_run *run,
           int64_t lost_ns)
{
  char *key = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, run->server,
                               run->server_started_ms);
  struct blameevidence_crash *crash
      = g_hash_table_lookup (evidence->crashes, key);

  if (crash != NULL)
    {
      g_free (key);
      return crash;
    }
  crash = g_new0 (struct blameevidence_crash, 1);
  crash->key = key;
  g_strlcpy (crash->server, run->server, sizeof crash->server);
  crash->lost_ns = lost_ns;
  list_init (&crash->runs);
  list_init (&crash->node);
  list_append (&evidence->crashes_by_age, &crash->node);
  g_hash_table_insert (evidence->crashes, crash->key, crash);
  return crash;
}

/* Whether CRASH has RUN. The last part, the whole request, is enough to tell
 * runs apart. */
static bool
crash_has_run (const struct blameevidence_crash *crash,
               const struct blame_run *run)
{
  const struct blame_part *whole = &run->parts[run->part_count - 1];

  for (const struct list *node = crash->runs.next; node != &crash->runs;
       node = node->next)
    {
      const struct blameevidence_run *other
          = LIST_ENTRY (node, struct blameevidence_run, node);

      if (other->part_count == run->part_count
          && blame_part_equal (&other->parts[other->part_count - 1], whole))
        return true;
    }
  return false;
}

struct blameevidence_crash *
blameevidence_add_lost (struct blameevidence *evidence,
                        const struct blame_run *run, int64_t age_ns)
{
  size_t size = run->part_count * sizeof run->parts[0];
  struct blameevidence_crash *crash;
  struct blameevidence_run *copy;

  if (run->part_count == 0 || run->suspicion == BLAME_NONE
      || age_ns > CRASH_LIFE_S * NS_PER_S)
    return NULL;
  crash = crash_get (evidence, run, clock_now (evidence->clock) - age_ns);
  if (crash_has_run (crash, run))
    return NULL;
  if (crash->run_count >= CRASH_RUNS_MAX)
    {
      crash_drop_oldest_run (crash);
      evidence->run_count--;
    }
  copy = g_malloc0 (sizeof *copy + size);
  copy->lost_ns = clock_now (evidence->clock) - age_ns;
  copy->suspicion = run->suspicion;
  copy->part_count = run->part_count;
  memcpy (copy->parts, run->parts, size);
  list_init (&copy->node);
  list_append (&crash->runs, &copy->node);
  crash->run_count++;
  evidence->run_count++;
  while (evidence->run_count > BLAMEEVIDENCE_RUNS_MAX
         && oldest_crash (evidence) != crash)
    crash_drop (evidence, oldest_crash (evidence));
  return crash;
}

static double
decayed (double value, int64_t age_ns)
{
  return value * exp2 (-(double)age_ns / (HALF_LIFE_S * (double)NS_PER_S));
}

static struct blameevidence_part *
part_get (struct blameevidence *evidence, const struct blame_part *part)
{
  struct blameevidence_part *record = blameevidence_find (evidence, part);

  if (record == NULL)
    {
      if (g_hash_table_size (evidence->parts) >= BLAMEEVIDENCE_PARTS_MAX)
        {
          struct blameevidence_part *unused = LIST_ENTRY (
              evidence->parts_by_use.next, struct blameevidence_part, node);

          list_remove (&unused->node);
          g_hash_table_remove (evidence->parts, &unused->part);
        }
      record = g_new0 (struct blameevidence_part, 1);
      record->part = *part;
      list_init (&record->node);
      g_hash_table_insert (evidence->parts, &record->part, record);
    }
  list_remove (&record->node);
  list_append (&evidence->parts_by_use, &record->node);
  return record;
}

void
blameevidence_add_completed (struct blameevidence *evidence,
                             const struct blame_part *part)
{
  struct blameevidence_part *record = part_get (evidence, part);
  int64_t now = clock_now (evidence->clock);

  record->completed
      = decayed (record->completed, now - record->completed_ns) + 1;
  record->completed_ns = now;
  record->last_ns = now;
}

void
blameevidence_add_report (struct blameevidence *evidence, uint64_t host,
                          const struct blame_part *part, double completed,
                          int64_t age_ns)
{
  struct blameevidence_part *record = part_get (evidence, part);
  int64_t now = clock_now (evidence->clock);
  struct report *report;

  if (record->reports == NULL)
    record->reports
        = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  report = g_hash_table_lookup (record->reports, &host);
  if (report == NULL)
    {
      if (g_hash_table_size (record->reports) >= REPORTS_MAX)
        return;
      report = g_new0 (struct report, 1);
      report->host = host;
      g_hash_table_insert (record->reports, &report->host, report);
    }
  report->completed = completed;
  report->at_ns = now;
  record->last_ns = MAX (record->last_ns, now - age_ns);
}

struct blameevidence_part *
blameevidence_find (const struct blameevidence *evidence,
                    const struct blame_part *part)
{
  return g_hash_table_lookup (evidence->parts, part);
}

double
blameevidence_own_completed (const struct blameevidence *evidence,
                             const struct blame_part *part)
{
  const struct blameevidence_part *record
      = blameevidence_find (evidence, part);

  return record != NULL
             ? decayed (record->completed,
                        clock_now (evidence->clock) - record->completed_ns)
             : 0;
}

double
blameevidence_completed (const struct blameevidence *evidence,
                         const struct blame_part *part)
{
  const struct blameevidence_part *record
      = blameevidence_find (evidence, part);
  double sum = blameevidence_own_completed (evidence, part);
  int64_t now = clock_now (evidence->clock);
  GHashTableIter iter;
  gpointer value;

  if (record == NULL || record->reports == NULL)
    return sum;
  g_hash_table_iter_init (&iter, record->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct report *report = value;

      sum += decayed (report->completed, now - report->at_ns);
    }
  return sum;
}

int64_t
blameevidence_last_completed (const struct blameevidence *evidence,
                              const struct blame_part *part)
{
  const struct blameevidence_part *record
      = blameevidence_find (evidence, part);

  return record != NULL ? record->last_ns : 0;
}

void
blameevidence_tick (struct blameevidence *evidence)
{
  int64_t oldest_ns = clock_now (evidence->clock) - CRASH_LIFE_S * NS_PER_S;

  while (!list_empty (&evidence->crashes_by_age)
         && oldest_crash (evidence)->lost_ns < oldest_ns)
    crash_drop (evidence, oldest_crash (evidence));
}
