#include "once.h"

#include "onceflush.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

enum
{
  SEGMENT_BYTES_MIN = 2048,
  DOWN_FAILURES = 2 /* writes in a row after which asks are refused */
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

static struct oncepart *
request_part (const struct once *once, const struct once_request *request)
{
  return &once->parts[owner_partition (request->organisation, request->key,
                                       once->part_count)];
}

static void
answer_send (struct once *once, struct once_answer *answer)
{
  once->counters.results[answer->result]++;
  once->ops->answer (once, answer);
}

static void
answer_refused (struct once *once, uint64_t gateway, uint64_t request,
                bool key_unknown)
{
  struct once_answer answer = {
    .request = request,
    .gateway = gateway,
    .result = ONCE_REFUSED,
    .key_unknown = key_unknown,
    .retry_after_ns = RETRY_AFTER_NS,
  };

  answer_send (once, &answer);
}

static void
wait_start (struct once *once, const struct oncepart *part,
            struct oncerec *record, int64_t deadline_ns)
{
  struct oncerec_wait *wait = g_new0 (struct oncerec_wait, 1);

  wait->record = record;
  wait->partition = part->index;
  wait->deadline_ns = deadline_ns;
  list_append (&once->waits, &wait->node);
  record->wait = wait;
}

static void
wait_end (struct oncerec *record)
{
  list_remove (&record->wait->node);
  g_free (record->wait);
  record->wait = NULL;
}

static void
part_touch (struct once *once, struct oncepart *part, struct oncerec *record)
{
  oncepart_touch (part, record, once_now_s (once));
  if (record->state == ONCEREC_PENDING)
    return;
  once->finish_due_ns = MIN (once->finish_due_ns,
                             once_now (once) + once->settings.finish_delay_ns);
}

/* The grant was not given and never will be.
 * @return whether the record is still there, as it may have been written. */
static bool
record_abandon (struct once *once, struct oncerec *record)
{
  struct oncepart *part = &once->parts[record->wait->partition];
  uint64_t gateway = record->gateway;
  uint64_t request = record->request;
  bool written = record->writing || record->stored;

  wait_end (record);
  once->counters.abandoned++;
  if (!written)
    {
      oncepart_remove (part, record);
      once->record_count--;
    }
  else
    {
      record->state = ONCEREC_RELEASED;
      part_touch (once, part, record);
    }
  answer_refused (once, gateway, request, !onceflush_usable (once, part));
  return written;
}

static void
record_grant (struct once *once, struct oncerec *record)
{
  struct once_answer answer = {
    .request = record->request,
    .gateway = record->gateway,
    .result = ONCE_GRANTED,
  };

  wait_end (record);
  record->state = ONCEREC_GRANTED;
  answer_send (once, &answer);
}

static void
waits_expire (struct once *once)
{
  int64_t now = once_now (once);
  struct list *at = once->waits.next;

  while (at != &once->waits)
    {
      struct oncerec_wait *wait = LIST_ENTRY (at, struct oncerec_wait, node);

      at = at->next;
      if (wait->deadline_ns <= now)
        record_abandon (once, wait->record);
    }
}

/* The first ask with this key, or the first after a release. */
static void
begin_pending (struct once *once, struct oncepart *part,
               struct oncerec *record, const struct once_request *request,
               const struct once_digest *fingerprint, int64_t deadline_ns)
{
  record->state = ONCEREC_PENDING;
  record->fingerprint = *fingerprint;
  record->request = request->request;
  record->gateway = request->gateway;
  record->ack = false;
  wait_start (once, part, record, deadline_ns);
  part_touch (once, part, record);
}

static enum once_result
granted_result (const struct once *once, const struct oncerec *record,
                const struct once_request *request)
{
  int64_t age = ((int64_t)once_now_s (once) - record->stamp_s) * NS_PER_S;

  if (record->request == request->request
      && record->gateway == request->gateway)
    return ONCE_GRANTED;
  if (age > once->settings.run_max_ns
      || !once->ops->gateway_live ((struct once *)once, record->gateway))
    return ONCE_MAY_HAVE_RUN;
  return ONCE_IN_PROGRESS;
}

/* What the record says to another ask with its key. */
static void
begin_repeat (struct once *once, const struct oncerec *record,
              const struct once_request *request,
              const struct once_digest *fingerprint)
{
  struct once_answer answer = {
    .request = request->request,
    .gateway = request->gateway,
    .result = ONCE_IN_PROGRESS,
    .retry_after_ns = RETRY_AFTER_NS,
  };

  if (memcmp (&record->fingerprint, fingerprint, sizeof *fingerprint) != 0)
    answer.result = ONCE_CONFLICT;
  else if (record->state == ONCEREC_FINISHED)
    {
      oncerec_get_outcome (record, &answer.outcome);
      answer.result = answer.outcome.status == ONCE_STATUS_UNKNOWN
                          ? ONCE_MAY_HAVE_RUN
                          : ONCE_REPLAYED;
    }
  else if (record->state == ONCEREC_GRANTED)
    answer.result = granted_result (once, record, request);
  answer_send (once, &answer);
}

/* Whether a first ask has no chance now. */
static bool
once_overloaded (const struct once *once)
{
  return once->record_count >= once->settings.record_max
         || (once->failures >= DOWN_FAILURES
             && once_now (once) < once->retry_ns);
}

/* The record that REQUEST holds the grant of, or NULL with the status. */
static struct oncerec *
record_of (struct once *once, const struct once_request *request,
           enum status *status)
{
  struct oncepart *part = request_part (once, request);
  struct once_digest key = request_digest (request);
  struct oncerec *record;

  *status = STATUS_UNAVAILABLE;
  if (!onceflush_usable (once, part))
    return NULL;
  record = oncepart_find (part, &key);
  if (record != NULL && record->request == request->request
      && record->gateway == request->gateway)
    return record;
  /* What took the place of this request's line must be durable first. */
  if (record == NULL || !(record->dirty || record->writing))
    *status = STATUS_STALE;
  return NULL;
}

static void
request_recorded (struct once *once, const struct once_request *request,
                  enum status status)
{
  once->counters.stale += status == STATUS_STALE;
  once->ops->recorded (once, request->gateway, request->request, status);
}

/* Answer a repeat of what RECORD says already, now or when it is durable. */
static void
record_confirm (struct once *once, struct oncerec *record,
                const struct once_request *request)
{
  record->ack = record->dirty || record->writing;
  if (!record->ack)
    request_recorded (once, request, STATUS_OK);
}

void
once_record_durable (struct once *once, struct oncerec *record)
{
  bool ack = record->ack;

  if (record->state == ONCEREC_PENDING)
    {
      if (record->wait->deadline_ns <= once_now (once))
        record_abandon (once, record);
      else
        record_grant (once, record);
      return;
    }
  record->ack = false;
  if (ack)
    once->ops->recorded (once, record->gateway, record->request, STATUS_OK);
}

void
once_record_refuse (struct once *once, struct oncerec *record)
{
  wait_end (record);
  answer_refused (once, record->gateway, record->request, true);
}

void
once_init (struct once *once, const struct once_settings *settings,
           const struct once_ops *ops, struct owner *owner, struct kv *kv,
           const struct clock *clock, struct rng *rng)
{
  assert (settings->run_max_ns < settings->retention_ns);
  assert (settings->segment_bytes >= SEGMENT_BYTES_MIN);
  assert (settings->tail_bytes * ONCE_MERGE_MIN <= settings->segment_bytes);
  *once = (struct once){
    .settings = *settings,
    .ops = ops,
    .owner = owner,
    .kv = kv,
    .clock = clock,
    .rng = rng,
    .part_count = owner->settings.partitions,
    .flushed_ns = clock_now (clock) - settings->flush_ns,
    .finish_due_ns = CLOCK_NEVER,
    .maintain_ns = clock_now (clock) + settings->window_ns,
    .segment_limit = settings->segment_bytes,
  };
  kvcommit_init (&once->commit, kv, clock, rng, onceflush_done, once);
  list_init (&once->waits);
  once->parts = g_new0 (struct oncepart, once->part_count);
  for (unsigned i = 0; i < once->part_count; i++)
    oncepart_init (&once->parts[i], once, i);
}

void
once_finish (struct once *once)
{
  for (unsigned i = 0; i < once->part_count; i++)
    oncepart_finish (&once->parts[i]);
  g_free (once->parts);
  kvcommit_finish (&once->commit);
}

void
once_gained (struct once *once, unsigned partition)
{
  struct oncepart *part = &once->parts[partition];

  onceflush_leave (once, part);
  owner_holds (once->owner, partition, &part->fencing);
  onceflush_load (once, part);
}

void
once_lost (struct once *once, unsigned partition)
{
  onceflush_leave (once, &once->parts[partition]);
}

void
once_begin (struct once *once, const struct once_request *request,
            const struct once_digest *fingerprint, int64_t deadline_ns)
{
  struct oncepart *part = request_part (once, request);
  struct once_digest key = request_digest (request);
  struct oncerec *record;

  if (!onceflush_usable (once, part))
    {
      answer_refused (once, request->gateway, request->request, true);
      return;
    }
  record = oncepart_find (part, &key);
  if (record != NULL && record->state == ONCEREC_PENDING
      && record->request == request->request
      && record->gateway == request->gateway)
    record->wait->deadline_ns = deadline_ns;
  else if (record != NULL && record->state != ONCEREC_RELEASED)
    begin_repeat (once, record, request, fingerprint);
  else if (once_overloaded (once) || deadline_ns <= once_now (once))
    answer_refused (once, request->gateway, request->request, false);
  else
    {
      if (record == NULL)
        {
          record = oncepart_add (part, &key);
          once->record_count++;
        }
      begin_pending (once, part, record, request, fingerprint, deadline_ns);
    }
}

void
once_end (struct once *once, const struct once_request *request,
          const struct once_outcome *outcome)
{
  enum status status;
  struct oncerec *record = record_of (once, request, &status);

  if (record != NULL && record->state == ONCEREC_GRANTED)
    {
      record->state = ONCEREC_FINISHED;
      oncerec_set_outcome (record, outcome);
      record->ack = true;
      part_touch (once, request_part (once, request), record);
    }
  else if (record != NULL && record->state == ONCEREC_FINISHED)
    record_confirm (once, record, request);
  else
    request_recorded (once, request, record != NULL ? STATUS_STALE : status);
}

void
once_release (struct once *once, const struct once_request *request)
{
  enum status status;
  struct oncerec *record = record_of (once, request, &status);

  if (record != NULL && record->state == ONCEREC_PENDING)
    {
      if (record_abandon (once, record))
        record->ack = true;
      else
        request_recorded (once, request, STATUS_OK);
    }
  else if (record != NULL && record->state == ONCEREC_GRANTED)
    {
      record->state = ONCEREC_RELEASED;
      record->ack = true;
      part_touch (once, request_part (once, request), record);
    }
  else if (record != NULL && record->state == ONCEREC_RELEASED)
    record_confirm (once, record, request);
  else
    request_recorded (once, request, record != NULL ? STATUS_STALE : status);
}

void
once_tick (struct once *once)
{
  waits_expire (once);
  onceflush_tick (once);
}

int64_t
once_next (const struct once *once)
{
  int64_t next = onceflush_next (once);

  for (const struct list *at = once->waits.next; at != &once->waits;
       at = at->next)
    next = MIN (next, LIST_ENTRY (at, struct oncerec_wait, node)->deadline_ns);
  return next;
}

bool
once_idle (const struct once *once)
{
  return !kvcommit_is_running (&once->commit) && list_empty (&once->waits)
         && once->finish_due_ns == CLOCK_NEVER;
}

struct once_digest
once_digest_of (const void *data, size_t size)
{
  struct once_digest digest;

  crypto_generichash (digest.bytes, sizeof digest.bytes, data, size, NULL, 0);
  return digest;
}
