#include "blame.h"

#include <math.h>
#include <string.h>

enum
{
  /* Time after the first lost run of a server in which other hosts report the
   * runs that they lost. */
  SETTLE_MS = 100,
  /* Servers that are lost at the same moment have a common cause outside of
   * the requests, so their crashes count as one. */
  APART_MS = 100,
  JUDGE_INTERVAL_MS = 50,
  HOLD_S = 60, /* Length of the first block. */
  /* Length of the first block if none of the crashes was a likely one. */
  HOLD_UNSURE_S = 10,
  HOLD_MAX_S = 3600, /* Maximum length of a block. */
  /* Crashes from which the most likely part is blamed even if another one is
   * as likely. */
  CRASHES_UNCLEAR = 5,
  /* Blocked parts that one other part may have explained crashes with. */
  CULPRITS_MAX = 4
};

/* What speaks against one part. */
struct tally
{
  struct blame_part part;
  unsigned crashes; /* Crashes that it may explain. */
  unsigned open;    /* Those of them that no blocked part explains. */
  /* Suspicion of these crashes together, in enum blame_suspicion. */
  unsigned suspicion;
  bool is_likely; /* Whether one of the crashes was a likely one. */
  unsigned depth; /* Position among the parts of a request. */
  int64_t counted_ns;
  const struct blameevidence_crash *counted_crash;
  unsigned counted_suspicion; /* Part of `suspicion` from counted_crash. */
  /* Blocked parts of requests that also have this part. Each counts as one
   * crash. */
  const struct blame_block *culprits[CULPRITS_MAX];
  unsigned culprit_count;
};

static const char *const source_names[] = {
  [BLAME_FOUND] = "found",
  [BLAME_TOLD] = "told",
  [BLAME_STORED] = "stored",
};

const char *
blame_source_name (enum blame_source source)
{
  return source_names[source];
}

void
blame_init (struct blame *blame, const struct clock *clock,
            const struct blame_ops *ops, void *data)
{
  memset (blame, 0, sizeof *blame);
  blame->clock = clock;
  blame->ops = ops;
  blame->data = data;
  blameevidence_init (&blame->evidence, clock);
  blame->blocks = g_hash_table_new_full (blame_part_hash, blame_part_equal,
                                         NULL, g_free);
}

void
blame_finish (struct blame *blame)
{
  blameevidence_finish (&blame->evidence);
  g_hash_table_destroy (blame->blocks);
}

static double
completed_runs (const struct blame *blame, const struct blame_part *part)
{
  return blameevidence_completed (&blame->evidence, part);
}

static void
block_release (struct blame *blame, struct blame_block *block,
               const char *reason)
{
  struct blame_part part = block->part;

  g_hash_table_remove (blame->blocks, &part);
  blame->ops->released (blame->data, &part, reason);
}

/* Make room for one more block by dropping the one that ends first. */
static void
blocks_make_room (struct blame *blame)
{
  struct blame_block *first = NULL;
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (blame->blocks) < BLAME_BLOCKS_MAX)
    return;
  g_hash_table_iter_init (&iter, blame->blocks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct blame_block *block = value;

      if (first == NULL || block->until_ns < first->until_ns)
        first = block;
    }
  if (first != NULL)
    block_release (blame, first, "too_many");
}

static struct blame_block *
block_add (struct blame *blame, const struct blame_part *part,
           enum blame_source source, unsigned crashes, int64_t hold_ns,
           int64_t left_ns)
{
  struct blame_block *block;
  int64_t now = clock_now (blame->clock);

  blocks_make_room (blame);
  block = g_new0 (struct blame_block, 1);
  block->part = *part;
  block->source = source;
  block->crashes = crashes;
  block->since_ns = now;
  block->hold_ns = hold_ns;
  block->until_ns = now + left_ns;
  block->stored = source == BLAME_STORED;
  g_hash_table_insert (blame->blocks, &block->part, block);
  return block;
}

static void
tally_add (struct tally *tally, const struct blameevidence_crash *crash,
           const struct blameevidence_run *run, unsigned depth)
{
  tally->depth = MAX (tally->depth, depth);
  if (tally->counted_crash != crash)
    {
      if (tally->open > 0
          && ABS (run->lost_ns - tally->counted_ns) < APART_MS * NS_PER_MS)
        return;
      tally->counted_crash = crash;
      tally->counted_suspicion = 0;
      tally->counted_ns = run->lost_ns;
      tally->crashes++;
      tally->open++;
    }
  if (run->suspicion <= tally->counted_suspicion)
    return;
  tally->is_likely = tally->is_likely || run->suspicion == BLAME_LIKELY;
  tally->suspicion += run->suspicion - tally->counted_suspicion;
  tally->counted_suspicion = run->suspicion;
}

static void
tally_add_culprit (struct tally *tally, const struct blame_block *culprit)
{
  for (unsigned i = 0; i < tally->culprit_count; i++)
    if (tally->culprits[i] == culprit)
      return;
  if (tally->culprit_count == CULPRITS_MAX)
    return;
  tally->culprits[tally->culprit_count++] = culprit;
  tally->crashes++;
  tally->suspicion += BLAME_LIKELY;
}

static struct tally *
tally_get (GHashTable *tallies, const struct blame_part *part)
{
  struct tally *tally = g_hash_table_lookup (tallies, part);

  if (tally == NULL)
    {
      tally = g_new0 (struct tally, 1);
      tally->part = *part;
      g_hash_table_insert (tallies, &tally->part, tally);
    }
  return tally;
}

/* Return the block that explains CRASH, or NULL. */
static const struct blame_block *
crash_culprit (const struct blame *blame,
               const struct blameevidence_crash *crash)
{
  for (const struct list *node = crash->runs.next; node != &crash->runs;
       node = node->next)
    {
      const struct blameevidence_run *run
          = LIST_ENTRY (node, struct blameevidence_run, node);
      const struct blame_block *block
          = blame_find_block (blame, run->parts, run->part_count);

      if (block != NULL)
        return block;
    }
  return NULL;
}

static bool
run_is_settled (const struct blame *blame, const struct blameevidence_run *run)
{
  return clock_now (blame->clock) - run->lost_ns >= SETTLE_MS * NS_PER_MS;
}

/* Count CRASH against the parts of its runs. If a blocked part explains it,
 * it counts only against the more general parts of the requests with that
 * part: several blocked parts may have one of these in common. */
static void
crash_count (struct blame *blame, GHashTable *tallies,
             const struct blameevidence_crash *crash,
             const struct blame_block *culprit)
{
  for (const struct list *node = crash->runs.next; node != &crash->runs;
       node = node->next)
    {
      const struct blameevidence_run *run
          = LIST_ENTRY (node, struct blameevidence_run, node);
      unsigned count = run->part_count;

      if (!run_is_settled (blame, run))
        {
          blame->changed = true;
          continue;
        }
      if (culprit != NULL)
        {
          count = blame_part_index (run->parts, count, &culprit->part);
          if (count == run->part_count)
            continue;
        }
      for (unsigned i = 0; i < count; i++)
        {
          struct tally *tally = tally_get (tallies, &run->parts[i]);

          if (culprit != NULL)
            tally_add_culprit (tally, culprit);
          else
            tally_add (tally, crash, run, i);
        }
    }
}

static GHashTable *
crashes_count (struct blame *blame)
{
  GHashTable *tallies = g_hash_table_new_full (blame_part_hash,
                                               blame_part_equal, NULL, g_free);
  const struct list *head = &blame->evidence.crashes_by_age;

  for (const struct list *node = head->next; node != head; node = node->next)
    {
      struct blameevidence_crash *crash
          = LIST_ENTRY (node, struct blameevidence_crash, node);
      const struct blame_block *culprit = crash_culprit (blame, crash);

      if (culprit != NULL && !crash->explained)
        {
          crash->explained = true;
          blame->ops->explained (blame->data, crash->server);
        }
      crash_count (blame, tallies, crash, culprit);
    }
  return tallies;
}

/* Return how many crashes speak against the part, beyond the completed runs.
 */
static double
tally_score (const struct blame *blame, const struct tally *tally)
{
  return (double)tally->suspicion / BLAME_LIKELY
         - completed_runs (blame, &tally->part);
}

static const struct tally *
tallies_find_best (const struct blame *blame, GHashTable *tallies)
{
  const struct tally *best = NULL;
  double best_score = BLAME_CRASHES;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, tallies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct tally *tally = value;
      double score = tally_score (blame, tally);

      if (tally->open == 0 || score < best_score
          || (best != NULL && score <= best_score
              && tally->depth <= best->depth))
        continue;
      best = tally;
      best_score = score;
    }
  return best;
}

/* Whether each request with PART that was lost in a crash that no blocked part
 * explains also had GENERAL. */
static bool
part_implies (const struct blame *blame, const struct blame_part *part,
              const struct blame_part *general)
{
  const struct list *head = &blame->evidence.crashes_by_age;

  for (const struct list *node = head->next; node != head; node = node->next)
    {
      const struct blameevidence_crash *crash
          = LIST_ENTRY (node, struct blameevidence_crash, node);

      if (crash->explained)
        continue;
      for (const struct list *entry = crash->runs.next; entry != &crash->runs;
           entry = entry->next)
        {
          const struct blameevidence_run *run
              = LIST_ENTRY (entry, struct blameevidence_run, node);
          unsigned count = run->part_count;

          if (blame_part_index (run->parts, count, part) < count
              && blame_part_index (run->parts, count, general) == count)
            return false;
        }
    }
  return true;
}

/* Whether a part that BEST does not imply explains the crashes as well. */
static bool
best_is_unclear (const struct blame *blame, GHashTable *tallies,
                 const struct tally *best)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, tallies);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct tally *tally = value;

      if (tally != best && tally->open > 0
          && tally_score (blame, tally) >= tally_score (blame, best)
          && !part_implies (blame, &best->part, &tally->part))
        return true;
    }
  return false;
}

/* Blame the part that explains most of the crashes.
 * @return whether there is one */
static bool
judge_once (struct blame *blame)
{
  GHashTable *tallies = crashes_count (blame);
  const struct tally *best = tallies_find_best (blame, tallies);
  const struct blame_block *block = NULL;

  if (best != NULL && best->crashes < CRASHES_UNCLEAR
      && best_is_unclear (blame, tallies, best))
    blame->unclear = true;
  else if (best != NULL)
    {
      int64_t hold_ns = (best->is_likely ? HOLD_S : HOLD_UNSURE_S) * NS_PER_S;

      block = block_add (blame, &best->part, BLAME_FOUND, best->crashes,
                         hold_ns, hold_ns);
      blame->ops->blocked (blame->data, block);
    }
  g_hash_table_destroy (tallies);
  return block != NULL;
}

static void
judge (struct blame *blame, int64_t now)
{
  if (!blame->changed || !blame->ops->is_informed (blame->data)
      || now - blame->judged_ns < JUDGE_INTERVAL_MS * NS_PER_MS)
    return;
  blame->changed = false;
  blame->unclear = false;
  blame->judged_ns = now;
  while (judge_once (blame))
    ;
}

/* A server crashed on a request with a blocked part. If the request was tried
 * after the block, the part is blocked again, for twice the time. */
static void
block_crashed (struct blame *blame, struct blame_block *block, int64_t now)
{
  block->crashes++;
  if (now - block->since_ns < block->hold_ns / 2)
    return;
  block->since_ns = now;
  block->hold_ns = MIN (2 * block->hold_ns, HOLD_MAX_S * NS_PER_S);
  block->until_ns = now + block->hold_ns;
  block->stored = false;
  blame->ops->blocked (blame->data, block);
}

bool
blame_add_lost (struct blame *blame, const struct blame_run *run,
                int64_t age_ns)
{
  struct blameevidence_crash *crash
      = blameevidence_add_lost (&blame->evidence, run, age_ns);
  const struct blame_block *block;

  if (crash == NULL)
    return false;
  blame->changed = true;
  block = blame_find_block (blame, run->parts, run->part_count);
  if (block != NULL && !crash->explained)
    block_crashed (blame, g_hash_table_lookup (blame->blocks, &block->part),
                   clock_now (blame->clock));
  return true;
}

/* End the block of PART if completed runs speak against it. */
static void
block_review (struct blame *blame, const struct blame_part *part)
{
  struct blame_block *block = g_hash_table_lookup (blame->blocks, part);

  if (block == NULL)
    return;
  if (blameevidence_last_completed (&blame->evidence, part) > block->since_ns)
    block_release (blame, block, "completed");
  else if (block->crashes < BLAME_CRASHES + completed_runs (blame, part))
    block_release (blame, block, "outweighed");
}

void
blame_add_completed (struct blame *blame, const struct blame_part *parts,
                     unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      /* Whole requests are remembered only while some of them may be
       * blamed. */
      if (parts[i].scope == 0 && blame->evidence.run_count == 0)
        continue;
      blameevidence_add_completed (&blame->evidence, &parts[i]);
      blame->changed = blame->changed || blame->unclear;
      block_review (blame, &parts[i]);
    }
}

void
blame_add_report (struct blame *blame, uint64_t host,
                  const struct blame_part *part, double completed,
                  int64_t age_ns)
{
  blameevidence_add_report (&blame->evidence, host, part, completed, age_ns);
  blame->changed = blame->changed || blame->unclear;
  block_review (blame, part);
}

bool
blame_add_block (struct blame *blame, const struct blame_block *other,
                 int64_t left_ns, int64_t age_ns)
{
  struct blame_block *block
      = g_hash_table_lookup (blame->blocks, &other->part);
  int64_t now = clock_now (blame->clock);
  int64_t hold_ns = CLAMP (other->hold_ns, NS_PER_S, HOLD_MAX_S * NS_PER_S);
  int64_t last_ns
      = blameevidence_last_completed (&blame->evidence, &other->part);

  left_ns = MIN (left_ns, hold_ns);
  if (block != NULL)
    {
      block->until_ns = MAX (block->until_ns, now + left_ns);
      block->hold_ns = MAX (block->hold_ns, hold_ns);
      block->crashes = MAX (block->crashes, other->crashes);
      return true;
    }
  if (left_ns <= -hold_ns || (last_ns != 0 && last_ns > now - age_ns)
      || other->crashes < BLAME_CRASHES + completed_runs (blame, &other->part))
    return false;
  block = block_add (blame, &other->part, other->source, other->crashes,
                     hold_ns, left_ns);
  blame->changed = true;
  blame->ops->blocked (blame->data, block);
  return true;
}

const struct blame_block *
blame_find_block (const struct blame *blame, const struct blame_part *parts,
                  unsigned count)
{
  if (g_hash_table_size (blame->blocks) == 0)
    return NULL;
  for (unsigned i = 0; i < count; i++)
    {
      const struct blame_block *block
          = g_hash_table_lookup (blame->blocks, &parts[i]);

      if (block != NULL)
        return block;
    }
  return NULL;
}

const struct blame_block *
blame_check (struct blame *blame, const struct blame_part *parts,
             unsigned count, bool *tries)
{
  int64_t now = clock_now (blame->clock);
  struct blame_block *tried = NULL;

  *tries = false;
  for (unsigned i = 0; i < count; i++)
    {
      struct blame_block *block
          = g_hash_table_lookup (blame->blocks, &parts[i]);

      if (block == NULL)
        continue;
      if (now < block->until_ns || tried != NULL
          || !blame->ops->may_try (blame->data, &block->part,
                                   now - block->until_ns))
        return block;
      tried = block;
    }
  if (tried != NULL)
    {
      *tries = true;
      tried->until_ns = now + tried->hold_ns;
    }
  return NULL;
}

/* Drop the blocks that nobody has asked for since they ended. */
static void
blocks_drop_unused (struct blame *blame, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, blame->blocks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct blame_block *block = value;
      struct blame_part part = block->part;

      if (now < block->until_ns + block->hold_ns)
        continue;
      g_hash_table_iter_remove (&iter);
      blame->ops->released (blame->data, &part, "unused");
    }
}

void
blame_tick (struct blame *blame)
{
  int64_t now = clock_now (blame->clock);

  blameevidence_tick (&blame->evidence);
  judge (blame, now);
  blocks_drop_unused (blame, now);
}
