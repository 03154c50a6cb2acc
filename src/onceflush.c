#include "onceflush.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  MARKER_MAX = 64,              /* bytes, with the final NUL */
  WRITE_BYTES_MAX = 512 * 1024, /* of one transaction */
  SEGMENT_BYTES_MIN = 2048,     /* after the service refused more */
  BACKOFF_SHIFT_MAX = 4
};

#define BACKOFF_MIN_NS (100 * NS_PER_MS)
#define LOAD_RETRY_NS (200 * NS_PER_MS)

static int64_t
jitter (struct once *once, int64_t span)
{
  return span / 2 + (int64_t)((double)span * rng_uniform (once->rng));
}

/* Those who wait ask again elsewhere; what is durable is found there. */
static void
part_drop_records (struct once *once, struct oncepart *part)
{
  GHashTable *records = part->records;
  GHashTableIter iter;
  void *key;

  /* The callbacks must not meet records that are about to go. */
  part->records = g_hash_table_new_similar (records);
  part->state = ONCEPART_ABSENT;
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct oncerec *record = key;

      if (record->wait != NULL)
        {
          once_record_refuse (once, record);
        }
      else if (record->ack)
        once->ops->recorded (once, record->gateway, record->request,
                             STATUS_UNAVAILABLE);
    }
  once->record_count -= g_hash_table_size (records);
  g_hash_table_destroy (records);
  oncepart_clear (part);
}

void
onceflush_load (struct once *once, struct oncepart *part)
{
  if (part->state != ONCEPART_LOADING)
    once->loading++;
  part->state = ONCEPART_LOADING;
  part->load_at = clock_now (once->clock);
}

void
onceflush_leave (struct once *once, struct oncepart *part)
{
  if (part->state == ONCEPART_LOADING)
    once->loading--;
  part_drop_records (once, part);
}

static void
load_replied (void *data, const struct kv_reply *reply)
{
  struct oncepart *part = data;
  struct once *once = part->once;

  part->load_open = false;
  once->loads_open--;
  if (part->state != ONCEPART_LOADING || part->load_fencing != part->fencing)
    return;
  if (reply->status != STATUS_OK || !oncepart_load (part, reply))
    {
      once->counters.corrupt += reply->status == STATUS_OK;
      part->load_at = clock_now (once->clock) + jitter (once, LOAD_RETRY_NS);
      return;
    }
  part->state = ONCEPART_LOADED;
  once->loading--;
  once->counters.loads++;
  once->record_count += g_hash_table_size (part->records);
}

static bool
load_waits (const struct oncepart *part)
{
  return part->state == ONCEPART_LOADING && !part->load_open;
}

static void
loads_start (struct once *once)
{
  int64_t now = clock_now (once->clock);

  if (once->loading == 0)
    return;
  for (unsigned i = 0; i < once->part_count; i++)
    {
      struct oncepart *part = &once->parts[i];
      char *prefix;

      if (once->loads_open >= once->settings.load_max)
        return;
      if (!load_waits (part) || part->load_at > now)
        continue;
      part->load_open = true;
      part->load_fencing = part->fencing;
      once->loads_open++;
      prefix = oncepart_prefix (i);
      once->kv->ops->range (once->kv, prefix, load_replied, part);
      g_free (prefix);
    }
}

static void
commit_succeeded (struct once *once, uint64_t revision)
{
  once->failures = 0;
  for (unsigned i = 0; i < once->part_count; i++)
    {
      struct oncepart *part = &once->parts[i];
      GPtrArray *records;

      if (!part->writing)
        continue;
      records = g_ptr_array_new ();
      once->record_count -= oncepart_written (part, revision, records);
      for (guint j = 0; j < records->len; j++)
        once_record_durable (once, records->pdata[j]);
      g_ptr_array_unref (records);
    }
}

static void
commit_failed (struct once *once, enum status status)
{
  int64_t span = BACKOFF_MIN_NS << MIN (once->failures, BACKOFF_SHIFT_MAX);

  if (status == STATUS_UNAVAILABLE)
    {
      once->failures++;
      once->retry_ns = clock_now (once->clock) + jitter (once, span);
    }
  else if (status == STATUS_TOO_LARGE)
    once->segment_limit = MAX (once->segment_limit / 2, SEGMENT_BYTES_MIN);
  once->finish_due_ns = clock_now (once->clock);
  for (unsigned i = 0; i < once->part_count; i++)
    {
      struct oncepart *part = &once->parts[i];

      if (!part->writing)
        continue;
      if (status == STATUS_CONFLICT)
        {
          onceflush_leave (once, part);
          onceflush_load (once, part);
          part->load_at += LOAD_RETRY_NS;
          owner_refresh (once->owner);
          continue;
        }
      oncepart_unwritten (part);
      if (status == STATUS_TOO_LARGE)
        oncepart_split (part);
    }
}

void
onceflush_done (void *data, enum status status, uint64_t revision)
{
  struct once *once = data;

  if (status == STATUS_OK)
    commit_succeeded (once, revision);
  else
    commit_failed (once, status);
}

static struct oncepart_limits
limits_now (const struct once *once)
{
  return (struct oncepart_limits){
    .tail_bytes = MIN (once->settings.tail_bytes, once->segment_limit),
    .segment_bytes = once->segment_limit,
    .window_ns = once->settings.window_ns,
    .retention_s = (uint32_t)(once->settings.retention_ns / NS_PER_S),
    .now_ns = clock_now (once->clock),
    .now_s = (uint32_t)clock_wall (once->clock).tv_sec,
  };
}

static void
commit_send (struct once *once, struct oncepart_write *write,
             const char *marker_key, const char *marker)
{
  struct kv_txn txn = {
    .compare_count = write->compares->len,
    .write_count = write->writes->len,
  };

  txn.compares
      = (struct kv_compare *)(void *)g_array_free (write->compares, FALSE);
  txn.writes = (struct kv_write *)(void *)g_array_free (write->writes, FALSE);
  once->counters.writes++;
  once->counters.bytes += write->bytes;
  kvcommit_start (&once->commit, &txn, marker_key, marker);
}

/* Put the changes of all partitions into one transaction; what does not fit
 * goes into the next one. */
static void
flush_send (struct once *once)
{
  struct oncepart_limits limits = limits_now (once);
  struct oncepart_write write = { 0 };
  char marker[MARKER_MAX], first[MARKER_MAX];
  char *marker_key = NULL;
  unsigned start = (unsigned)rng_below (once->rng, once->part_count);

  once->batch++;
  once->flushed_ns = limits.now_ns;
  once->finish_due_ns = CLOCK_NEVER;
  write.compares = g_array_new (FALSE, FALSE, sizeof (struct kv_compare));
  write.writes = g_array_new (FALSE, FALSE, sizeof (struct kv_write));
  for (unsigned i = 0; i < once->part_count; i++)
    {
      struct oncepart *part = &once->parts[(start + i) % once->part_count];
      char *key;

      if (!onceflush_usable (once, part)
          || (list_empty (&part->dirty) && !oncepart_overdue (part, &limits)))
        continue;
      if (write.bytes < WRITE_BYTES_MAX)
        {
          snprintf (marker, sizeof marker, "once1 %" PRIx64 ".%" PRIx64,
                    part->fencing, once->batch);
          key = oncepart_prepare (part, &write, marker, &limits);
          if (marker_key == NULL)
            {
              marker_key = key;
              memcpy (first, marker, sizeof first);
            }
          else
            g_free (key);
        }
      if (!list_empty (&part->dirty))
        once->finish_due_ns = limits.now_ns;
    }
  if (marker_key != NULL)
    commit_send (once, &write, marker_key, first);
  else
    {
      g_array_unref (write.compares);
      g_array_unref (write.writes);
    }
  g_free (marker_key);
}

static int64_t
flush_next (const struct once *once)
{
  int64_t at = once->finish_due_ns;

  if (kvcommit_is_running (&once->commit))
    return CLOCK_NEVER;
  if (!list_empty (&once->waits))
    at = 0;
  if (at == CLOCK_NEVER)
    return at;
  at = MAX (at, once->flushed_ns + once->settings.flush_ns);
  return MAX (at, once->retry_ns);
}

static void
segments_maintain (struct once *once)
{
  struct oncepart_limits limits = limits_now (once);

  once->maintain_ns = limits.now_ns + once->settings.window_ns;
  for (unsigned i = 0; i < once->part_count; i++)
    if (once->parts[i].state == ONCEPART_LOADED
        && oncepart_overdue (&once->parts[i], &limits))
      once->finish_due_ns = MIN (once->finish_due_ns, limits.now_ns);
}

bool
onceflush_usable (const struct once *once, const struct oncepart *part)
{
  uint64_t fencing;

  return part->state == ONCEPART_LOADED
         && owner_holds (once->owner, part->index, &fencing)
         && fencing == part->fencing;
}

void
onceflush_tick (struct once *once)
{
  kvcommit_tick (&once->commit);
  loads_start (once);
  if (clock_now (once->clock) >= once->maintain_ns)
    segments_maintain (once);
  if (clock_now (once->clock) >= flush_next (once))
    flush_send (once);
}

int64_t
onceflush_next (const struct once *once)
{
  int64_t next = MIN (flush_next (once), kvcommit_next (&once->commit));

  next = MIN (next, once->maintain_ns);
  for (unsigned i = 0; once->loading > 0 && i < once->part_count; i++)
    if (load_waits (&once->parts[i])
        && once->loads_open < once->settings.load_max)
      next = MIN (next, once->parts[i].load_at);
  return next;
}
