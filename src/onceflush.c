#include "onceflush.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  MARKER_MAX = 64, /* Size of a marker, including the final NUL. */
  WRITE_BYTES_MAX = 512 * 1024, /* No partition is added to a transaction that
                                   has reached this size. */
  SEGMENT_BYTES_MIN = 2048,     /* Lower bound for the segment size after the
                                   KV service refused a value as too
                                   large. */
  BACKOFF_SHIFT_MAX = 4
};

#define BACKOFF_MIN_NS (100 * NS_PER_MS)
#define LOAD_RETRY_NS (200 * NS_PER_MS)

static int64_t
jitter (struct once *once, int64_t delay_ns)
{
  return delay_ns / 2 + (int64_t)((double)delay_ns * rng_uniform (once->rng));
}

/* Gateways whose requests are refused here retry. The process that owns the
 * partition at that time has loaded the durable records. */
static void
partition_drop_records (struct once *once, struct oncepartition *partition)
{
  GHashTable *records = partition->records;
  GHashTableIter iter;
  void *key;

  /* Replace the table first, so that the callbacks don't reach records that
   * are being dropped. */
  partition->records = g_hash_table_new_similar (records);
  partition->state = ONCEPARTITION_ABSENT;
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct oncerecord *record = key;

      if (record->waiter != NULL)
        {
          once_record_refuse (once, record);
        }
      else if (record->ack_when_durable)
        once->ops->recorded (once, record->gateway_incarnation,
                             record->request_id, STATUS_UNAVAILABLE);
    }
  once->record_count -= g_hash_table_size (records);
  g_hash_table_destroy (records);
  oncepartition_clear (partition);
}

void
onceflush_load (struct once *once, struct oncepartition *partition)
{
  if (partition->state != ONCEPARTITION_LOADING)
    once->loading_count++;
  partition->state = ONCEPARTITION_LOADING;
  partition->load_due_ns = clock_now (once->clock);
}

void
onceflush_unload (struct once *once, struct oncepartition *partition)
{
  if (partition->state == ONCEPARTITION_LOADING)
    once->loading_count--;
  partition_drop_records (once, partition);
}

static void
load_replied (void *data, const struct kv_reply *reply)
{
  struct oncepartition *partition = data;
  struct once *once = partition->once;

  partition->load_call_in_flight = false;
  once->load_call_count--;
  if (partition->state != ONCEPARTITION_LOADING
      || partition->load_fencing_token != partition->fencing_token)
    return;
  if (reply->status != STATUS_OK || !oncepartition_load (partition, reply))
    {
      once->counters.corrupt_loads += reply->status == STATUS_OK;
      partition->load_due_ns
          = clock_now (once->clock) + jitter (once, LOAD_RETRY_NS);
      return;
    }
  partition->state = ONCEPARTITION_LOADED;
  once->loading_count--;
  once->counters.loads++;
  once->record_count += g_hash_table_size (partition->records);
}

static bool
load_is_pending (const struct oncepartition *partition)
{
  return partition->state == ONCEPARTITION_LOADING
         && !partition->load_call_in_flight;
}

static void
loads_start (struct once *once)
{
  int64_t now = clock_now (once->clock);

  if (once->loading_count == 0)
    return;
  for (unsigned i = 0; i < once->partition_count; i++)
    {
      struct oncepartition *partition = &once->partitions[i];
      char *prefix;

      if (once->load_call_count >= once->settings.parallel_loads_max)
        return;
      if (!load_is_pending (partition) || partition->load_due_ns > now)
        continue;
      partition->load_call_in_flight = true;
      partition->load_fencing_token = partition->fencing_token;
      once->load_call_count++;
      prefix = oncepartition_key_prefix (i);
      once->kv->ops->range (once->kv, prefix, load_replied, partition);
      g_free (prefix);
    }
}

static void
commit_succeeded (struct once *once, uint64_t revision)
{
  once->write_failures = 0;
  for (unsigned i = 0; i < once->partition_count; i++)
    {
      struct oncepartition *partition = &once->partitions[i];
      GPtrArray *records;

      if (!partition->write_in_flight)
        continue;
      records = g_ptr_array_new ();
      once->record_count
          -= oncepartition_write_succeeded (partition, revision, records);
      for (guint j = 0; j < records->len; j++)
        once_record_durable (once, records->pdata[j]);
      g_ptr_array_unref (records);
    }
}

static void
commit_failed (struct once *once, enum status status)
{
  int64_t backoff_ns = BACKOFF_MIN_NS
                       << MIN (once->write_failures, BACKOFF_SHIFT_MAX);

  if (status == STATUS_UNAVAILABLE)
    {
      once->write_failures++;
      once->write_retry_ns
          = clock_now (once->clock) + jitter (once, backoff_ns);
    }
  else if (status == STATUS_TOO_LARGE)
    once->segment_max_bytes
        = MAX (once->segment_max_bytes / 2, SEGMENT_BYTES_MIN);
  once->write_due_ns = clock_now (once->clock);
  for (unsigned i = 0; i < once->partition_count; i++)
    {
      struct oncepartition *partition = &once->partitions[i];

      if (!partition->write_in_flight)
        continue;
      if (status == STATUS_CONFLICT)
        {
          onceflush_unload (once, partition);
          onceflush_load (once, partition);
          partition->load_due_ns += LOAD_RETRY_NS;
          owner_refresh (once->owner);
          continue;
        }
      oncepartition_write_failed (partition);
      if (status == STATUS_TOO_LARGE)
        oncepartition_close_tail (partition);
    }
}

void
onceflush_commit_done (void *data, enum status status, uint64_t revision)
{
  struct once *once = data;

  if (status == STATUS_OK)
    commit_succeeded (once, revision);
  else
    commit_failed (once, status);
}

static struct oncepartition_limits
current_limits (const struct once *once)
{
  return (struct oncepartition_limits){
    .tail_bytes = MIN (once->settings.tail_bytes, once->segment_max_bytes),
    .segment_max_bytes = once->segment_max_bytes,
    .tail_window_ns = once->settings.tail_window_ns,
    .retention_s = (uint32_t)(once->settings.retention_ns / NS_PER_S),
    .now_ns = clock_now (once->clock),
    .now_s = (uint32_t)clock_wall (once->clock).tv_sec,
  };
}

static void
commit_send (struct once *once, struct oncepartition_write *write,
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
  once->counters.written_bytes += write->value_bytes;
  kvcommit_start (&once->commit, &txn, marker_key, marker);
}

/* Write the changes of all partitions in one transaction. Changes that do
 * not fit are left for the next transaction. */
static void
flush_start (struct once *once)
{
  struct oncepartition_limits limits = current_limits (once);
  struct oncepartition_write write = { 0 };
  char marker[MARKER_MAX], first_marker[MARKER_MAX];
  char *marker_key = NULL;
  unsigned start = (unsigned)rng_below (once->rng, once->partition_count);

  once->write_number++;
  once->last_write_ns = limits.now_ns;
  once->write_due_ns = CLOCK_NEVER;
  write.compares = g_array_new (FALSE, FALSE, sizeof (struct kv_compare));
  write.writes = g_array_new (FALSE, FALSE, sizeof (struct kv_write));
  for (unsigned i = 0; i < once->partition_count; i++)
    {
      struct oncepartition *partition
          = &once->partitions[(start + i) % once->partition_count];
      char *key;

      if (!onceflush_partition_is_usable (once, partition)
          || (list_empty (&partition->dirty_records)
              && !oncepartition_has_expired_segment (partition, &limits)))
        continue;
      if (write.value_bytes < WRITE_BYTES_MAX)
        {
          snprintf (marker, sizeof marker, "once1 %" PRIx64 ".%" PRIx64,
                    partition->fencing_token, once->write_number);
          key = oncepartition_prepare_write (partition, &write, marker,
                                             &limits);
          if (marker_key == NULL)
            {
              marker_key = key;
              memcpy (first_marker, marker, sizeof first_marker);
            }
          else
            g_free (key);
        }
      if (!list_empty (&partition->dirty_records))
        once->write_due_ns = limits.now_ns;
    }
  if (marker_key != NULL)
    commit_send (once, &write, marker_key, first_marker);
  else
    {
      g_array_unref (write.compares);
      g_array_unref (write.writes);
    }
  g_free (marker_key);
}

static int64_t
flush_due_ns (const struct once *once)
{
  int64_t due_ns = once->write_due_ns;

  if (kvcommit_is_running (&once->commit))
    return CLOCK_NEVER;
  if (!list_empty (&once->waiters))
    due_ns = 0;
  if (due_ns == CLOCK_NEVER)
    return due_ns;
  due_ns
      = MAX (due_ns, once->last_write_ns + once->settings.write_interval_ns);
  return MAX (due_ns, once->write_retry_ns);
}

static void
segments_check_expiry (struct once *once)
{
  struct oncepartition_limits limits = current_limits (once);

  once->next_expiry_check_ns = limits.now_ns + once->settings.tail_window_ns;
  for (unsigned i = 0; i < once->partition_count; i++)
    if (once->partitions[i].state == ONCEPARTITION_LOADED
        && oncepartition_has_expired_segment (&once->partitions[i], &limits))
      once->write_due_ns = MIN (once->write_due_ns, limits.now_ns);
}

bool
onceflush_partition_is_usable (const struct once *once,
                               const struct oncepartition *partition)
{
  uint64_t fencing_token;

  return partition->state == ONCEPARTITION_LOADED
         && owner_holds (once->owner, partition->index, &fencing_token)
         && fencing_token == partition->fencing_token;
}

void
onceflush_tick (struct once *once)
{
  kvcommit_tick (&once->commit);
  loads_start (once);
  if (clock_now (once->clock) >= once->next_expiry_check_ns)
    segments_check_expiry (once);
  if (clock_now (once->clock) >= flush_due_ns (once))
    flush_start (once);
}

int64_t
onceflush_next_tick_ns (const struct once *once)
{
  int64_t next
      = MIN (flush_due_ns (once), kvcommit_next_tick_ns (&once->commit));

  next = MIN (next, once->next_expiry_check_ns);
  for (unsigned i = 0; once->loading_count > 0 && i < once->partition_count;
       i++)
    if (load_is_pending (&once->partitions[i])
        && once->load_call_count < once->settings.parallel_loads_max)
      next = MIN (next, once->partitions[i].load_due_ns);
  return next;
}
