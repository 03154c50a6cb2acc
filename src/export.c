#include "export.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define NS_PER_HOUR (3600 * NS_PER_S)

const struct export_settings export_settings_default = {
  .half_life_ns = 24 * NS_PER_HOUR,
  .horizon_ns = { [BLOCKCOPY_MEMORY] = NS_PER_HOUR / 4,
                  [BLOCKCOPY_DISK] = 72 * NS_PER_HOUR },
  .tier_gain_share = { [BLOCKCOPY_MEMORY] = 1, [BLOCKCOPY_DISK] = 0.8 },
  .saved_s_per_token = 1e-4,
  .price_s_per_byte = 1e-9,
  .evict_value_ratio = 1.2,
  .prior_requests = 20,
  .classes_max = 10000,
};

/* Counts added to the statistics of all requests, so that half of the prompts
 * are expected to return before any request was counted. Without them no
 * export would ever begin, and nothing could be learned from exports. */
static const double initial_requests = 2;
static const double initial_returns = 1;

/* Key of the classes that count the requests of all organisations. */
static const char *const all_organisations = "";

static guint
class_key_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (struct export_class_key));
}

static gboolean
class_key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct export_class_key)) == 0;
}

static struct export_class_key
class_key_make (const char *organisation, uint32_t kind)
{
  struct export_class_key key;

  memset (&key, 0, sizeof key);
  g_strlcpy (key.organisation, organisation, sizeof key.organisation);
  key.kind = kind;
  return key;
}

static struct export_class *
class_find (const struct export_policy *policy, const char *organisation,
            uint32_t kind)
{
  struct export_class_key key = class_key_make (organisation, kind);

  return g_hash_table_lookup (policy->classes, &key);
}

static struct export_class *
class_find_or_add (struct export_policy *policy, const char *organisation,
                   uint32_t kind)
{
  struct export_class *class = class_find (policy, organisation, kind);

  if (class != NULL
      || g_hash_table_size (policy->classes) >= policy->settings.classes_max)
    return class;
  class = g_new0 (struct export_class, 1);
  class->key = class_key_make (organisation, kind);
  class->decayed_ns = clock_now (policy->clock);
  g_hash_table_insert (policy->classes, &class->key, class);
  return class;
}

static void
class_decay (const struct export_policy *policy, struct export_class *class)
{
  int64_t now = clock_now (policy->clock);
  double factor = exp2 (-(double)(now - class->decayed_ns)
                        / (double)policy->settings.half_life_ns);

  class->decayed_ns = now;
  class->requests *= factor;
  for (int i = 0; i < EXPORT_RETURN_BUCKETS; i++)
    class->returns[i] *= factor;
}

static int
bucket_from_idle_time (int64_t idle_ns)
{
  double seconds = (double)idle_ns / (double)NS_PER_S;
  int bucket = seconds < 1 ? 0 : (int)log2 (seconds);

  return bucket < EXPORT_RETURN_BUCKETS ? bucket : EXPORT_RETURN_BUCKETS - 1;
}

static void
class_count_request (const struct export_policy *policy,
                     struct export_class *class, int64_t idle_ns)
{
  class_decay (policy, class);
  class->requests += 1;
  if (idle_ns >= 0)
    class->returns[bucket_from_idle_time (idle_ns)] += 1;
}

static void
count_class_request (struct export_policy *policy, const char *organisation,
                     uint32_t kind, int64_t idle_ns)
{
  struct export_class *class = class_find_or_add (policy, organisation, kind);

  if (class != NULL)
    class_count_request (policy, class, idle_ns);
}

/* Decayed number of the returns that came within SECONDS. Returns are assumed
 * to be spread evenly inside a bucket. */
static double
class_returns_within (const struct export_class *class, double seconds)
{
  double sum = 0;

  for (int i = 0; i < EXPORT_RETURN_BUCKETS; i++)
    {
      double from = i == 0 ? 0 : exp2 (i);
      double to = exp2 (i + 1);

      if (seconds <= from)
        return sum;
      sum += class->returns[i] * fmin (1, (seconds - from) / (to - from));
    }
  return sum;
}

/* The share of requests of CLASS whose prompt returned within SECONDS. The
 * fewer requests the class has, the closer the result is to PRIOR_SHARE. */
static double
class_return_share (const struct export_policy *policy,
                    const struct export_class *class, double seconds,
                    double prior_share)
{
  double prior = policy->settings.prior_requests;

  if (class == NULL)
    return prior_share;
  return fmin ((class_returns_within (class, seconds) + prior * prior_share)
                   / (class->requests + prior),
               1);
}

static double
estimate_return_share (const struct export_policy *policy,
                       const char *organisation, uint32_t kind, double seconds)
{
  double share
      = (class_returns_within (&policy->total, seconds) + initial_returns)
        / (policy->total.requests + initial_requests);

  share = class_return_share (policy,
                              class_find (policy, all_organisations, kind),
                              seconds, fmin (share, 1));
  return class_return_share (policy, class_find (policy, organisation, kind),
                             seconds, share);
}

static double
transfer_cost_s (const struct export_policy *policy,
                 const struct export_block *block)
{
  return (double)block->length * policy->settings.price_s_per_byte;
}

/* Whether TARGET has capacity for BLOCK, either free or after a copy of low
 * enough value is evicted. If a copy has to be evicted, VICTIM receives the
 * copy and LOST_S its value. */
static bool
target_has_capacity (struct export_policy *policy,
                     const struct export_block *block,
                     const struct export_target *target, double value,
                     const struct blockcopy **victim, double *lost_s)
{
  double victim_value;

  *victim = NULL;
  *lost_s = 0;
  if (target->free_bytes >= block->length)
    return true;
  *victim = export_choose_victim (policy, target->evict_candidates,
                                  target->evict_candidate_count, block->tokens,
                                  &victim_value);
  if (*victim == NULL)
    return false;
  *lost_s = victim_value * (double)(*victim)->length;
  return value / (double)block->length
         > victim_value * policy->settings.evict_value_ratio;
}

/* Chooses the target with the greatest gain among those that accept
 * reservations and have capacity. Of targets with equal gain it chooses the
 * one with the most free bytes. */
static void
choose_target (struct export_policy *policy, const struct export_block *block,
               const struct export_target *targets, size_t count,
               struct export_decision *decision)
{
  int64_t most_free = -1;

  for (size_t i = 0; i < count; i++)
    {
      const struct export_target *target = &targets[i];
      double value = export_value_s (policy, block, target->tier);
      double gain = value - transfer_cost_s (policy, block);
      const struct blockcopy *victim;
      double lost_s;

      if (gain <= 0)
        continue;
      if (decision->reason == EXPORT_WORTHLESS)
        decision->reason = EXPORT_FULL;
      if (!target->may_reserve
          || !target_has_capacity (policy, block, target, value, &victim,
                                   &lost_s))
        continue;
      gain -= lost_s;
      if (gain < decision->value_s
          || (gain == decision->value_s && target->free_bytes <= most_free))
        continue;
      most_free = target->free_bytes;
      *decision = (struct export_decision){ EXPORT_KEPT, i, victim, gain };
    }
}

void
export_init (struct export_policy *policy, const struct clock *clock,
             const struct export_settings *settings)
{
  policy->clock = clock;
  policy->settings = *settings;
  policy->classes
      = g_hash_table_new_full (class_key_hash, class_key_equal, NULL, g_free);
  memset (&policy->total, 0, sizeof policy->total);
  policy->total.decayed_ns = clock_now (clock);
}

void
export_finish (struct export_policy *policy)
{
  g_hash_table_destroy (policy->classes);
}

void
export_count_request (struct export_policy *policy, const char *organisation,
                      uint32_t kind, int64_t idle_ns)
{
  count_class_request (policy, organisation, kind, idle_ns);
  count_class_request (policy, all_organisations, kind, idle_ns);
  class_count_request (policy, &policy->total, idle_ns);
}

double
export_return_probability (struct export_policy *policy,
                           const char *organisation, uint32_t kind,
                           int64_t idle_ns, int64_t horizon_ns)
{
  double idle_s = (double)idle_ns / (double)NS_PER_S;
  double end_s = idle_s + (double)horizon_ns / (double)NS_PER_S;
  double before = idle_ns > 0 ? estimate_return_share (policy, organisation,
                                                       kind, idle_s)
                              : 0;
  double within
      = estimate_return_share (policy, organisation, kind, end_s) - before;

  if (before >= 1 || within <= 0)
    return 0;
  return within / (1 - before);
}

double
export_value_s (struct export_policy *policy, const struct export_block *block,
                enum blockcopy_tier tier)
{
  const struct export_settings *settings = &policy->settings;
  double chance
      = export_return_probability (policy, block->organisation, block->kind,
                                   block->idle_ns, settings->horizon_ns[tier]);
  double gain = (double)block->tokens * settings->saved_s_per_token
                    * settings->tier_gain_share[tier]
                - transfer_cost_s (policy, block);

  return gain > 0 ? chance * gain : 0;
}

struct export_block
export_block_from_copy (const struct blockcopy *copy, int64_t tokens,
                        int64_t now)
{
  const struct blockentry *entry = copy->entry;

  return (struct export_block){
    .organisation = entry->scope->scope.organisation,
    .kind = entry->kind,
    .position = entry->position,
    .tokens = tokens,
    .length = copy->length,
    .idle_ns = entry->last_used_ns != 0 ? now - entry->last_used_ns : 0,
  };
}

const struct blockcopy *
export_choose_victim (struct export_policy *policy,
                      const struct blockcopy **copies, size_t count,
                      int64_t tokens, double *value)
{
  const struct blockcopy *victim = NULL;
  uint16_t position = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct export_block block = export_block_from_copy (
          copies[i], tokens, clock_now (policy->clock));
      double value_per_byte = export_value_s (policy, &block, copies[i]->tier)
                              / (double)(block.length > 0 ? block.length : 1);

      /* The later blocks of a prompt are of no use without the first ones, so
       * the last block is evicted first. */
      if (victim != NULL
          && (value_per_byte > *value
              || (value_per_byte == *value && block.position <= position)))
        continue;
      victim = copies[i];
      position = block.position;
      *value = value_per_byte;
    }
  return victim;
}

void
export_decide (struct export_policy *policy, const struct export_block *block,
               bool held, const struct export_target *targets, size_t count,
               struct export_decision *decision)
{
  *decision = (struct export_decision){ .reason = EXPORT_WORTHLESS };
  if (held)
    {
      decision->reason = EXPORT_HELD;
      return;
    }
  choose_target (policy, block, targets, count, decision);
  if (decision->reason == EXPORT_KEPT
      && !linkbudget_try_take (targets[decision->target_index].link_budget,
                               LINKBUDGET_EXPORT, block->length))
    decision->reason = EXPORT_LINK_BUSY;
}

const char *
export_reason_name (enum export_reason reason)
{
  static const char *const names[] = {
    [EXPORT_KEPT] = "kept",           [EXPORT_HELD] = "held",
    [EXPORT_WORTHLESS] = "worthless", [EXPORT_FULL] = "full",
    [EXPORT_LINK_BUSY] = "link_busy",
  };

  return names[reason];
}
