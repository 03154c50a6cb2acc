#include "poison-gateway.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* An owner that has not replied after this time counts as down. */
static const int64_t acquire_timeout_ns = 250 * NS_PER_MS;
static const int64_t acquire_retry_ns = 100 * NS_PER_MS;
static const int64_t report_retry_ns = 200 * NS_PER_MS;
static const int64_t sync_retry_ns = 200 * NS_PER_MS;
static const int64_t unavailable_retry_ns = 2 * NS_PER_S;

/* A report that the owner has not yet acknowledged as durable. */
struct report
{
  struct list node;
  struct poison_message message;
  int64_t due_ns;
};

/* A sync of a partition that its owner has not yet confirmed. */
struct sync
{
  struct list node;
  uint64_t partition;
  uint64_t number; /**< Number of the latest attempt. */
  int64_t due_ns;
};

static void
send_run_message (const struct poison_gateway *gateway,
                  enum poison_message_kind kind, uint64_t partition,
                  const struct poison_run *run)
{
  struct poison_message message
      = { .kind = kind, .gateway = gateway->gateway_id };

  if (run != NULL)
    {
      message.run = run->id;
      message.slot = run->slot;
      message.tainted = run->tainted;
      message.fingerprint = run->fingerprint;
    }
  gateway->ops->send (gateway->data, partition, &message);
}

static void
run_decide (struct poison_gateway *gateway, struct poison_run *run,
            enum poison_decision decision, int64_t retry_after_ns)
{
  run->state = POISON_RUN_DECIDED;
  run->due_ns = CLOCK_NEVER;
  gateway->ops->decided (gateway->data, run, decision, retry_after_ns);
}

static void
run_acquire (struct poison_gateway *gateway, struct poison_run *run,
             unsigned slot)
{
  run->state = POISON_RUN_ACQUIRING;
  run->id = ++gateway->last_id;
  run->slot = slot;
  run->tried_count++;
  run->partition
      = gateway->ops->partition_of (gateway->data, slot, &run->fingerprint);
  run->due_ns = clock_now (gateway->clock) + acquire_timeout_ns;
  /* If this host fails, it takes both the gateway and this owner down. Only
     a run alone is recorded durably, so the slot is acquired for a run
     alone. */
  if (run->used_up[1 - slot]
      && gateway->ops->owner_on_same_host (gateway->data, run->partition))
    run->tainted = true;
  send_run_message (gateway, POISON_MESSAGE_ACQUIRE, run->partition, run);
}

/* Returns the slot to try first: one whose owner is on another host. A host
 * that fails takes down this gateway together with an owner on it, and no
 * other process would have a record of the run. */
static unsigned
first_slot (const struct poison_gateway *gateway, const struct poison_run *run)
{
  uint64_t partition;

  if (gateway->slot_count == 1)
    return 0;
  partition = gateway->ops->partition_of (gateway->data, 0, &run->fingerprint);
  return gateway->ops->owner_on_same_host (gateway->data, partition) ? 1 : 0;
}

static void
round_begin (struct poison_gateway *gateway, struct poison_run *run)
{
  run->tried_count = 0;
  run->tainted = false;
  run->hold_ns = CLOCK_NEVER;
  for (unsigned slot = 0; slot < POISON_SLOT_COUNT; slot++)
    {
      run->may_free_up[slot] = false;
      run->used_up[slot] = false;
    }
  run_acquire (gateway, run, first_slot (gateway, run));
}

/* Whether this gateway has a report about the fingerprint of RUN that no owner
 * has acknowledged yet. Such a report counts even while no owner replies. */
static bool
has_pending_report (const struct poison_gateway *gateway,
                    const struct poison_run *run)
{
  for (const struct list *at = gateway->reports.next; at != &gateway->reports;
       at = at->next)
    {
      const struct report *report = LIST_ENTRY (at, struct report, node);

      if (memcmp (&report->message.fingerprint, &run->fingerprint,
                  sizeof run->fingerprint)
          == 0)
        return true;
    }
  return false;
}

/* Handles that no slot could be acquired in this round, in which each slot was
 * tried at most once. */
static void
round_end (struct poison_gateway *gateway, struct poison_run *run)
{
  int64_t now = clock_now (gateway->clock);
  unsigned used_up = 0;
  unsigned waitable = 0;

  for (unsigned slot = 0; slot < gateway->slot_count; slot++)
    {
      used_up += run->used_up[slot];
      waitable += run->may_free_up[slot];
    }
  if (used_up == gateway->slot_count)
    run_decide (gateway, run, POISON_DECISION_REFUSE, run->hold_ns);
  else if (used_up + waitable == 0 && gateway->unchecked
           && !has_pending_report (gateway, run))
    run_decide (gateway, run, POISON_DECISION_RUN, 0);
  else if (now + acquire_retry_ns >= run->deadline_ns)
    run_decide (gateway, run, POISON_DECISION_UNAVAILABLE,
                unavailable_retry_ns);
  else
    {
      run->state = POISON_RUN_WAITING;
      run->due_ns = now + acquire_retry_ns;
    }
}

/* Whether to try the slot that was not tried yet. A slot whose owner is on
 * this host is tried only if the current slot is used up or its owner does not
 * reply: a failure of this host would take down the gateway and that owner
 * together, and no other process would have a record of the run. */
static bool
may_try_other_slot (const struct poison_gateway *gateway,
                    const struct poison_run *run)
{
  uint64_t other;

  if (run->tried_count >= gateway->slot_count)
    return false;
  other = gateway->ops->partition_of (gateway->data, 1 - run->slot,
                                      &run->fingerprint);
  return !run->may_free_up[run->slot]
         || !gateway->ops->owner_on_same_host (gateway->data, other);
}

static void
slot_refused (struct poison_gateway *gateway, struct poison_run *run)
{
  if (may_try_other_slot (gateway, run))
    run_acquire (gateway, run, 1 - run->slot);
  else
    round_end (gateway, run);
}

static void
run_timeout (struct poison_gateway *gateway, struct poison_run *run)
{
  if (run->state == POISON_RUN_WAITING)
    {
      round_begin (gateway, run);
      return;
    }
  /* The owner may have granted the slot although no reply came: release it. */
  send_run_message (gateway, POISON_MESSAGE_RELEASE, run->partition, run);
  slot_refused (gateway, run);
}

static struct poison_run *
run_find (const struct poison_gateway *gateway, uint64_t id)
{
  for (struct list *at = gateway->runs.next; at != &gateway->runs;
       at = at->next)
    {
      struct poison_run *run = LIST_ENTRY (at, struct poison_run, node);

      if (run->state == POISON_RUN_ACQUIRING && run->id == id)
        return run;
    }
  return NULL;
}

static void
receive_acquire_reply (struct poison_gateway *gateway,
                       const struct poison_message *message)
{
  struct poison_run *run = run_find (gateway, message->run);

  if (run == NULL)
    return;
  switch (message->verdict)
    {
    case POISON_VERDICT_RUN:
      run->holds_slot = true;
      run_decide (gateway, run, POISON_DECISION_RUN, 0);
      return;
    case POISON_VERDICT_RUN_ALONE:
      run->holds_slot = true;
      run_decide (gateway, run, POISON_DECISION_RUN_ALONE, 0);
      return;
    case POISON_VERDICT_RUN_CLEARED:
      run_decide (gateway, run, POISON_DECISION_RUN, 0);
      return;
    case POISON_VERDICT_USED_UP:
      run->used_up[run->slot] = true;
      run->tainted = run->tainted || message->tainted;
      run->hold_ns = MIN (run->hold_ns, message->hold_ns);
      break;
    default:
      run->may_free_up[run->slot] = true;
      break;
    }
  slot_refused (gateway, run);
}

static void
report_remove (struct poison_gateway *gateway, struct report *report)
{
  list_remove (&report->node);
  gateway->report_count--;
  g_free (report);
}

static void
receive_ack (struct poison_gateway *gateway,
             const struct poison_message *message)
{
  struct list *at = gateway->reports.next;

  while (at != &gateway->reports)
    {
      struct report *report = LIST_ENTRY (at, struct report, node);

      at = at->next;
      if (report->message.run == message->run
          && memcmp (&report->message.fingerprint, &message->fingerprint,
                     sizeof message->fingerprint)
                 == 0
          && report->message.slot == message->slot)
        report_remove (gateway, report);
    }
}

static uint64_t
report_partition (const struct poison_gateway *gateway,
                  const struct report *report)
{
  return gateway->ops->partition_of (gateway->data, report->message.slot,
                                     &report->message.fingerprint);
}

static void
report_send (const struct poison_gateway *gateway, struct report *report)
{
  report->due_ns = clock_now (gateway->clock) + report_retry_ns;
  gateway->ops->send (gateway->data, report_partition (gateway, report),
                      &report->message);
}

static void
report_create (struct poison_gateway *gateway, const struct poison_run *run,
               enum poison_message_kind kind, unsigned slot)
{
  struct report *report;

  if (gateway->report_count >= POISON_REPORTS_MAX)
    report_remove (gateway,
                   LIST_ENTRY (gateway->reports.next, struct report, node));
  report = g_new0 (struct report, 1);
  report->message = (struct poison_message){
    .kind = kind,
    .gateway = gateway->gateway_id,
    .run = run->id,
    .fingerprint = run->fingerprint,
    .slot = slot,
  };
  list_append (&gateway->reports, &report->node);
  gateway->report_count++;
  report_send (gateway, report);
}

static void
report_completed (struct poison_gateway *gateway, struct poison_run *run)
{
  for (unsigned slot = 0; slot < gateway->slot_count; slot++)
    {
      bool held = run->holds_slot && slot == run->slot;

      if (held || run->used_up[slot])
        send_run_message (gateway, POISON_MESSAGE_CLEAR,
                          gateway->ops->partition_of (gateway->data, slot,
                                                      &run->fingerprint),
                          run);
    }
}

static void
report_crash (struct poison_gateway *gateway, const struct poison_run *run)
{
  report_create (gateway, run, POISON_MESSAGE_CRASHED, run->slot);
  if (gateway->slot_count > 1)
    report_create (gateway, run, POISON_MESSAGE_TAINT, 1 - run->slot);
}

static void
sync_runs (struct poison_gateway *gateway, uint64_t partition, bool acquiring)
{
  for (struct list *at = gateway->runs.next; at != &gateway->runs;
       at = at->next)
    {
      struct poison_run *run = LIST_ENTRY (at, struct poison_run, node);

      if (run->partition != partition)
        continue;
      if (run->holds_slot && !acquiring)
        send_run_message (gateway, POISON_MESSAGE_HELD, partition, run);
      if (run->state == POISON_RUN_ACQUIRING && acquiring)
        {
          /* The run gets a new number, so that a late reply to the earlier
             message is ignored. */
          run->id = ++gateway->last_id;
          send_run_message (gateway, POISON_MESSAGE_ACQUIRE, partition, run);
        }
    }
}

static void
sync_send_mark (const struct poison_gateway *gateway, const struct sync *sync,
                enum poison_message_kind kind)
{
  const struct poison_message message
      = { .kind = kind, .gateway = gateway->gateway_id, .run = sync->number };

  gateway->ops->send (gateway->data, sync->partition, &message);
}

static void
sync_send (struct poison_gateway *gateway, struct sync *sync)
{
  sync->number = ++gateway->last_id;
  sync->due_ns = clock_now (gateway->clock) + sync_retry_ns;
  sync_send_mark (gateway, sync, POISON_MESSAGE_SYNC_BEGIN);
  for (struct list *at = gateway->reports.next; at != &gateway->reports;
       at = at->next)
    {
      struct report *report = LIST_ENTRY (at, struct report, node);

      if (report_partition (gateway, report) == sync->partition)
        report_send (gateway, report);
    }
  sync_runs (gateway, sync->partition, false);
  sync_send_mark (gateway, sync, POISON_MESSAGE_SYNC_END);
  sync_runs (gateway, sync->partition, true);
}

static struct sync *
sync_find (const struct poison_gateway *gateway, uint64_t partition)
{
  for (struct list *at = gateway->syncs.next; at != &gateway->syncs;
       at = at->next)
    {
      struct sync *sync = LIST_ENTRY (at, struct sync, node);

      if (sync->partition == partition)
        return sync;
    }
  return NULL;
}

static void
receive_synced (const struct poison_gateway *gateway,
                const struct poison_message *message)
{
  for (struct list *at = gateway->syncs.next; at != &gateway->syncs;
       at = at->next)
    {
      struct sync *sync = LIST_ENTRY (at, struct sync, node);

      if (sync->number != message->run)
        continue;
      list_remove (&sync->node);
      g_free (sync);
      return;
    }
}

void
poison_gateway_init (struct poison_gateway *gateway, uint64_t gateway_id,
                     unsigned slot_count, bool unchecked,
                     const struct clock *clock,
                     const struct poison_gateway_ops *ops, void *data)
{
  assert (slot_count >= 1 && slot_count <= POISON_SLOT_COUNT);
  *gateway = (struct poison_gateway){ .clock = clock,
                                      .ops = ops,
                                      .data = data,
                                      .gateway_id = gateway_id,
                                      .slot_count = slot_count,
                                      .unchecked = unchecked };
  list_init (&gateway->runs);
  list_init (&gateway->reports);
  list_init (&gateway->syncs);
}

void
poison_gateway_finish (struct poison_gateway *gateway)
{
  struct list *at = gateway->reports.next;

  while (at != &gateway->reports)
    {
      struct report *report = LIST_ENTRY (at, struct report, node);

      at = at->next;
      report_remove (gateway, report);
    }
  at = gateway->syncs.next;
  while (at != &gateway->syncs)
    {
      struct sync *sync = LIST_ENTRY (at, struct sync, node);

      at = at->next;
      g_free (sync);
    }
}

void
poison_gateway_run_begin (struct poison_gateway *gateway,
                          struct poison_run *run)
{
  assert (run->state == POISON_RUN_IDLE);
  list_append (&gateway->runs, &run->node);
  run->holds_slot = false;
  round_begin (gateway, run);
}

void
poison_gateway_run_end (struct poison_gateway *gateway, struct poison_run *run,
                        enum poison_outcome outcome)
{
  if (run->state == POISON_RUN_IDLE)
    return;
  if (run->state != POISON_RUN_DECIDED)
    outcome = POISON_OUTCOME_INCONCLUSIVE;
  if (run->state == POISON_RUN_ACQUIRING
      || (run->holds_slot && outcome == POISON_OUTCOME_INCONCLUSIVE))
    send_run_message (gateway, POISON_MESSAGE_RELEASE, run->partition, run);
  else if (outcome == POISON_OUTCOME_COMPLETED)
    report_completed (gateway, run);
  else if (outcome == POISON_OUTCOME_CRASHED)
    report_crash (gateway, run);
  list_remove (&run->node);
  run->state = POISON_RUN_IDLE;
  run->holds_slot = false;
}

void
poison_gateway_receive (struct poison_gateway *gateway,
                        const struct poison_message *message)
{
  if (message->gateway != gateway->gateway_id)
    return;
  if (message->kind == POISON_MESSAGE_ACQUIRE_REPLY)
    receive_acquire_reply (gateway, message);
  if (message->kind == POISON_MESSAGE_ACK)
    receive_ack (gateway, message);
  if (message->kind == POISON_MESSAGE_SYNCED)
    receive_synced (gateway, message);
}

void
poison_gateway_sync_partition (struct poison_gateway *gateway,
                               uint64_t partition)
{
  struct sync *sync = sync_find (gateway, partition);

  if (sync == NULL)
    {
      sync = g_new0 (struct sync, 1);
      sync->partition = partition;
      list_append (&gateway->syncs, &sync->node);
    }
  sync_send (gateway, sync);
}

void
poison_gateway_tick (struct poison_gateway *gateway)
{
  int64_t now = clock_now (gateway->clock);
  struct list *at = gateway->runs.next;

  for (struct list *item = gateway->reports.next; item != &gateway->reports;
       item = item->next)
    {
      struct report *report = LIST_ENTRY (item, struct report, node);

      if (report->due_ns <= now)
        report_send (gateway, report);
    }
  for (struct list *item = gateway->syncs.next; item != &gateway->syncs;
       item = item->next)
    {
      struct sync *sync = LIST_ENTRY (item, struct sync, node);

      if (sync->due_ns <= now)
        sync_send (gateway, sync);
    }
  while (at != &gateway->runs)
    {
      struct poison_run *run = LIST_ENTRY (at, struct poison_run, node);

      at = at->next;
      if (run->state != POISON_RUN_DECIDED && run->due_ns <= now)
        run_timeout (gateway, run);
    }
}

int64_t
poison_gateway_next_tick_ns (const struct poison_gateway *gateway)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *item = gateway->reports.next;
       item != &gateway->reports; item = item->next)
    next = MIN (next, LIST_ENTRY (item, struct report, node)->due_ns);
  for (const struct list *item = gateway->syncs.next; item != &gateway->syncs;
       item = item->next)
    next = MIN (next, LIST_ENTRY (item, struct sync, node)->due_ns);
  for (const struct list *at = gateway->runs.next; at != &gateway->runs;
       at = at->next)
    next = MIN (next, LIST_ENTRY (at, struct poison_run, node)->due_ns);
  return next;
}
