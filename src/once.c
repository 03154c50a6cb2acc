#include "once.h"

#include "onceflush.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

enum
{
  SEGMENT_BYTES_MIN = 2048,
  REFUSE_AFTER_FAILURES = 2 /* Number of consecutive failed writes after which
                               new requests are refused. */
};

#define RETRY_AFTER_NS (1 * NS_PER_S)

static int64_t
once_now (const struct once *once)
{
  return clock_now (once->clock);
}

static uint32_t
once_now_s (const struct once *once)
{
  return (uint32_t)clock_wall (once->clock).tv_sec;
}

static struct once_digest
request_digest (const struct once_request *request)
{
  char *text = g_strdup_printf ("%zu:%s%s", strlen (request->organisation),
                                request->organisation, request->key);
  struct once_digest digest = once_digest_of (text, strlen (text));

  g_free (text);
  return digest;
}

static struct oncepartition *
request_partition (const struct once *once, const struct once_request *request)
{
  return &once->partitions[owner_partition_of_key (
      request->organisation, request->key, once->partition_count)];
}

static void
reply_send (struct once *once, struct once_reply *reply)
{
  once->counters.results[reply->result]++;
  once->ops->reply (once, reply);
}

static void
reply_refused (struct once *once, uint64_t gateway, uint64_t request,
               bool key_unknown)
{
  struct once_reply reply = {
    .request_id = request,
    .gateway_incarnation = gateway,
    .result = ONCE_REFUSED,
    .key_unknown = key_unknown,
    .retry_after_ns = RETRY_AFTER_NS,
  };

  reply_send (once, &reply);
}

static void
waiter_add (struct once *once, const struct oncepartition *partition,
            struct oncerecord *record, int64_t deadline_ns)
{
  struct oncerecord_waiter *waiter = g_new0 (struct oncerecord_waiter, 1);

  waiter->record = record;
  waiter->partition_index = partition->index;
  waiter->deadline_ns = deadline_ns;
  list_append (&once->waiters, &waiter->node);
  record->waiter = waiter;
}

static void
waiter_remove (struct oncerecord *record)
{
  list_remove (&record->waiter->node);
  g_free (record->waiter);
  record->waiter = NULL;
}

static void
record_mark_dirty (struct once *once, struct oncepartition *partition,
                   struct oncerecord *record)
{
  oncepartition_mark_dirty (partition, record, once_now_s (once));
  if (record->state == ONCERECORD_PENDING)
    return;
  once->write_due_ns = MIN (once->write_due_ns,
                            once_now (once) + once->settings.outcome_delay_ns);
}

/* Refuse the request that waits for the grant of RECORD. If no write can have
 * made RECORD durable, it is removed, otherwise it becomes released.
 * @return whether the record still exists. */
static bool
record_abandon (struct once *once, struct oncerecord *record)
{
  struct oncepartition *partition
      = &once->partitions[record->waiter->partition_index];
  uint64_t gateway = record->gateway_incarnation;
  uint64_t request_id = record->request_id;
  bool may_be_durable = record->write_in_flight || record->has_durable_line;

  waiter_remove (record);
  once->counters.abandoned_grants++;
  if (!may_be_durable)
    {
      oncepartition_remove (partition, record);
      once->record_count--;
    }
  else
    {
      record->state = ONCERECORD_RELEASED;
      record_mark_dirty (once, partition, record);
    }
  reply_refused (once, gateway, request_id,
                 !onceflush_partition_is_usable (once, partition));
  return may_be_durable;
}

static void
record_grant (struct once *once, struct oncerecord *record)
{
  struct once_reply reply = {
    .request_id = record->request_id,
    .gateway_incarnation = record->gateway_incarnation,
    .result = ONCE_GRANTED,
  };

  waiter_remove (record);
  record->state = ONCERECORD_GRANTED;
  reply_send (once, &reply);
}

static void
waiters_expire (struct once *once)
{
  int64_t now = once_now (once);
  struct list *at = once->waiters.next;

  while (at != &once->waiters)
    {
      struct oncerecord_waiter *waiter
          = LIST_ENTRY (at, struct oncerecord_waiter, node);

      at = at->next;
      if (waiter->deadline_ns <= now)
        record_abandon (once, waiter->record);
    }
}

/* Start acquiring the grant of RECORD, which is new or released. */
static void
record_start_grant (struct once *once, struct oncepartition *partition,
                    struct oncerecord *record,
                    const struct once_request *request,
                    const struct once_digest *fingerprint, int64_t deadline_ns)
{
  record->state = ONCERECORD_PENDING;
  record->fingerprint = *fingerprint;
  record->request_id = request->request;
  record->gateway_incarnation = request->gateway_incarnation;
  record->ack_when_durable = false;
  waiter_add (once, partition, record, deadline_ns);
  record_mark_dirty (once, partition, record);
}

static enum once_result
granted_record_result (const struct once *once,
                       const struct oncerecord *record,
                       const struct once_request *request)
{
  int64_t age_ns = ((int64_t)once_now_s (once) - record->changed_s) * NS_PER_S;

  if (record->request_id == request->request
      && record->gateway_incarnation == request->gateway_incarnation)
    return ONCE_GRANTED;
  if (age_ns > once->settings.run_max_ns
      || !once->ops->gateway_is_live ((struct once *)once,
                                      record->gateway_incarnation))
    return ONCE_MAY_HAVE_RUN;
  return ONCE_IN_PROGRESS;
}

/* Reply to REQUEST from the state of RECORD, which has the same key and is
 * not released. */
static void
reply_from_record (struct once *once, const struct oncerecord *record,
                   const struct once_request *request,
                   const struct once_digest *fingerprint)
{
  struct once_reply reply = {
    .request_id = request->request,
    .gateway_incarnation = request->gateway_incarnation,
    .result = ONCE_IN_PROGRESS,
    .retry_after_ns = RETRY_AFTER_NS,
  };

  if (memcmp (&record->fingerprint, fingerprint, sizeof *fingerprint) != 0)
    reply.result = ONCE_CONFLICT;
  else if (record->state == ONCERECORD_FINISHED)
    {
      oncerecord_get_outcome (record, &reply.outcome);
      reply.result = reply.outcome.status == ONCE_STATUS_UNKNOWN
                         ? ONCE_MAY_HAVE_RUN
                         : ONCE_REPLAYED;
    }
  else if (record->state == ONCERECORD_GRANTED)
    reply.result = granted_record_result (once, record, request);
  reply_send (once, &reply);
}

/* Whether no new record can be added or written now. */
static bool
once_is_overloaded (const struct once *once)
{
  return once->record_count >= once->settings.record_max
         || (once->write_failures >= REFUSE_AFTER_FAILURES
             && once_now (once) < once->write_retry_ns);
}

/* @return the record whose grant REQUEST holds or waits for, or NULL, in
 * which case STATUS receives the status to report. */
static struct oncerecord *
record_with_grant (struct once *once, const struct once_request *request,
                   enum status *status)
{
  struct oncepartition *partition = request_partition (once, request);
  struct once_digest key = request_digest (request);
  struct oncerecord *record;

  *status = STATUS_UNAVAILABLE;
  if (!onceflush_partition_is_usable (once, partition))
    return NULL;
  record = oncepartition_find (partition, &key);
  if (record != NULL && record->request_id == request->request
      && record->gateway_incarnation == request->gateway_incarnation)
    return record;
  /* STATUS_STALE is final, so the state that replaced this request's grant
   * must be durable first. */
  if (record == NULL || !(record->dirty || record->write_in_flight))
    *status = STATUS_STALE;
  return NULL;
}

static void
request_recorded (struct once *once, const struct once_request *request,
                  enum status status)
{
  once->counters.stale_reports += status == STATUS_STALE;
  once->ops->recorded (once, request->gateway_incarnation, request->request,
                       status);
}

/* REQUEST was retried and RECORD has the requested state already: confirm it
 * now, or once it is durable. */
static void
record_confirm (struct once *once, struct oncerecord *record,
                const struct once_request *request)
{
  record->ack_when_durable = record->dirty || record->write_in_flight;
  if (!record->ack_when_durable)
    request_recorded (once, request, STATUS_OK);
}

void
once_record_durable (struct once *once, struct oncerecord *record)
{
  bool report = record->ack_when_durable;

  if (record->state == ONCERECORD_PENDING)
    {
      if (record->waiter->deadline_ns <= once_now (once))
        record_abandon (once, record);
      else
        record_grant (once, record);
      return;
    }
  record->ack_when_durable = false;
  if (report)
    once->ops->recorded (once, record->gateway_incarnation, record->request_id,
                         STATUS_OK);
}

void
once_record_refuse (struct once *once, struct oncerecord *record)
{
  waiter_remove (record);
  reply_refused (once, record->gateway_incarnation, record->request_id, true);
}

void
once_init (struct once *once, const struct once_settings *settings,
           const struct once_ops *ops, struct owner *owner, struct kv *kv,
           const struct clock *clock, struct rng *rng)
{
  assert (settings->run_max_ns < settings->retention_ns);
  assert (settings->segment_max_bytes >= SEGMENT_BYTES_MIN);
  assert (settings->tail_bytes * ONCE_MERGE_SEGMENTS
          <= settings->segment_max_bytes);
  *once = (struct once){
    .settings = *settings,
    .ops = ops,
    .owner = owner,
    .kv = kv,
    .clock = clock,
    .rng = rng,
    .partition_count = owner->settings.partition_count,
    .last_write_ns = clock_now (clock) - settings->write_interval_ns,
    .write_due_ns = CLOCK_NEVER,
    .next_expiry_check_ns = clock_now (clock) + settings->tail_window_ns,
    .segment_max_bytes = settings->segment_max_bytes,
  };
  kvcommit_init (&once->commit, kv, clock, rng, onceflush_commit_done, once);
  list_init (&once->waiters);
  once->partitions = g_new0 (struct oncepartition, once->partition_count);
  for (unsigned i = 0; i < once->partition_count; i++)
    oncepartition_init (&once->partitions[i], once, i);
}

void
once_finish (struct once *once)
{
  for (unsigned i = 0; i < once->partition_count; i++)
    oncepartition_finish (&once->partitions[i]);
  g_free (once->partitions);
  kvcommit_finish (&once->commit);
}

void
once_partition_gained (struct once *once, unsigned index)
{
  struct oncepartition *partition = &once->partitions[index];

  onceflush_unload (once, partition);
  owner_holds (once->owner, index, &partition->fencing_token);
  onceflush_load (once, partition);
}

void
once_partition_lost (struct once *once, unsigned index)
{
  onceflush_unload (once, &once->partitions[index]);
}

void
once_acquire (struct once *once, const struct once_request *request,
              const struct once_digest *fingerprint, int64_t deadline_ns)
{
  struct oncepartition *partition = request_partition (once, request);
  struct once_digest key = request_digest (request);
  struct oncerecord *record;

  if (!onceflush_partition_is_usable (once, partition))
    {
      reply_refused (once, request->gateway_incarnation, request->request,
                     true);
      return;
    }
  record = oncepartition_find (partition, &key);
  if (record != NULL && record->state == ONCERECORD_PENDING
      && record->request_id == request->request
      && record->gateway_incarnation == request->gateway_incarnation)
    record->waiter->deadline_ns = deadline_ns;
  else if (record != NULL && record->state != ONCERECORD_RELEASED)
    reply_from_record (once, record, request, fingerprint);
  else if (once_is_overloaded (once) || deadline_ns <= once_now (once))
    reply_refused (once, request->gateway_incarnation, request->request,
                   false);
  else
    {
      if (record == NULL)
        {
          record = oncepartition_add (partition, &key);
          once->record_count++;
        }
      record_start_grant (once, partition, record, request, fingerprint,
                          deadline_ns);
    }
}

void
once_set_outcome (struct once *once, const struct once_request *request,
                  const struct once_outcome *outcome)
{
  enum status status;
  struct oncerecord *record = record_with_grant (once, request, &status);

  if (record != NULL && record->state == ONCERECORD_GRANTED)
    {
      record->state = ONCERECORD_FINISHED;
      oncerecord_set_outcome (record, outcome);
      record->ack_when_durable = true;
      record_mark_dirty (once, request_partition (once, request), record);
    }
  else if (record != NULL && record->state == ONCERECORD_FINISHED)
    record_confirm (once, record, request);
  else
    request_recorded (once, request, record != NULL ? STATUS_STALE : status);
}

void
once_release (struct once *once, const struct once_request *request)
{
  enum status status;
  struct oncerecord *record = record_with_grant (once, request, &status);

  if (record != NULL && record->state == ONCERECORD_PENDING)
    {
      if (record_abandon (once, record))
        record->ack_when_durable = true;
      else
        request_recorded (once, request, STATUS_OK);
    }
  else if (record != NULL && record->state == ONCERECORD_GRANTED)
    {
      record->state = ONCERECORD_RELEASED;
      record->ack_when_durable = true;
      record_mark_dirty (once, request_partition (once, request), record);
    }
  else if (record != NULL && record->state == ONCERECORD_RELEASED)
    record_confirm (once, record, request);
  else
    request_recorded (once, request, record != NULL ? STATUS_STALE : status);
}

void
once_tick (struct once *once)
{
  waiters_expire (once);
  onceflush_tick (once);
}

int64_t
once_next_tick_ns (const struct once *once)
{
  int64_t next = onceflush_next_tick_ns (once);

  for (const struct list *at = once->waiters.next; at != &once->waiters;
       at = at->next)
    next = MIN (next,
                LIST_ENTRY (at, struct oncerecord_waiter, node)->deadline_ns);
  return next;
}

bool
once_is_idle (const struct once *once)
{
  return !kvcommit_is_running (&once->commit) && list_empty (&once->waiters)
         && once->write_due_ns == CLOCK_NEVER;
}

struct once_digest
once_digest_of (const void *data, size_t size)
{
  struct once_digest digest;

  crypto_generichash (digest.bytes, sizeof digest.bytes, data, size, NULL, 0);
  return digest;
}
