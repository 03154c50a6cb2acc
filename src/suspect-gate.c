#include "suspect-gate.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* An owner that has not answered by then is taken for gone. */
static const int64_t ask_timeout_ns = 250 * NS_PER_MS;
static const int64_t ask_again_ns = 100 * NS_PER_MS;
static const int64_t report_again_ns = 200 * NS_PER_MS;
static const int64_t sync_again_ns = 200 * NS_PER_MS;
static const int64_t unavailable_retry_ns = 2 * NS_PER_S;

/* A report that its owner has not yet acknowledged as durable. */
struct report
{
  struct list node;
  struct suspect_message message;
  int64_t due_ns;
};

/* A partition whose owner has not yet confirmed what is held. */
struct sync
{
  struct list node;
  uint64_t partition;
  uint64_t number; /**< of the last try */
  int64_t due_ns;
};

static void
gate_send (const struct suspect_gate *gate, enum suspect_kind kind,
           uint64_t partition, const struct suspect_run *run)
{
  struct suspect_message message = { .kind = kind, .gateway = gate->gateway };

  if (run != NULL)
    {
      message.run = run->id;
      message.slot = run->slot;
      message.tainted = run->tainted;
      message.fingerprint = run->fingerprint;
    }
  gate->ops->send (gate->data, partition, &message);
}

static void
run_decide (struct suspect_gate *gate, struct suspect_run *run,
            enum suspect_decision decision, int64_t retry_after_ns)
{
  run->state = SUSPECT_RUN_DECIDED;
  run->due_ns = CLOCK_NEVER;
  gate->ops->decided (gate->data, run, decision, retry_after_ns);
}

static void
run_ask (struct suspect_gate *gate, struct suspect_run *run, unsigned slot)
{
  run->state = SUSPECT_RUN_ASKING;
  run->id = ++gate->last_id;
  run->slot = slot;
  run->asked++;
  run->partition = gate->ops->partition (gate->data, slot, &run->fingerprint);
  run->due_ns = clock_now (gate->clock) + ask_timeout_ns;
  /* A run alone is durable, which an owner on this host has to be. */
  if (run->used_up[1 - slot]
      && gate->ops->same_host (gate->data, run->partition))
    run->tainted = true;
  gate_send (gate, SUSPECT_ASK, run->partition, run);
}

/* The slot to ask first: a host that dies takes this gateway and an owner on
 * it along, and with both the only memory of the run. */
static unsigned
first_slot (const struct suspect_gate *gate, const struct suspect_run *run)
{
  uint64_t partition;

  if (gate->slots == 1)
    return 0;
  partition = gate->ops->partition (gate->data, 0, &run->fingerprint);
  return gate->ops->same_host (gate->data, partition) ? 1 : 0;
}

static void
round_begin (struct suspect_gate *gate, struct suspect_run *run)
{
  run->asked = 0;
  run->tainted = false;
  run->hold_ns = CLOCK_NEVER;
  for (unsigned slot = 0; slot < SUSPECT_SLOTS; slot++)
    {
      run->open[slot] = false;
      run->used_up[slot] = false;
    }
  run_ask (gate, run, first_slot (gate, run));
}

/* A run of the same fingerprint that ended here counts before its owner says
 * so. */
static bool
gate_reports (const struct suspect_gate *gate, const struct suspect_run *run)
{
  for (const struct list *at = gate->reports.next; at != &gate->reports;
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

/* All slots were asked and none is to be had. */
static void
round_end (struct suspect_gate *gate, struct suspect_run *run)
{
  int64_t now = clock_now (gate->clock);
  unsigned used_up = 0;
  unsigned open = 0;

  for (unsigned slot = 0; slot < gate->slots; slot++)
    {
      used_up += run->used_up[slot];
      open += run->open[slot];
    }
  if (used_up == gate->slots)
    run_decide (gate, run, SUSPECT_REFUSE, run->hold_ns);
  else if (used_up + open == 0 && gate->unchecked && !gate_reports (gate, run))
    run_decide (gate, run, SUSPECT_GO, 0);
  else if (now + ask_again_ns >= run->deadline_ns)
    run_decide (gate, run, SUSPECT_UNAVAILABLE, unavailable_retry_ns);
  else
    {
      run->state = SUSPECT_RUN_WAITING;
      run->due_ns = now + ask_again_ns;
    }
}

/* An owner on this host is asked last, and only if the other one is gone or
 * its slot is used up: otherwise waiting for that one is safer. */
static bool
may_ask_other (const struct suspect_gate *gate, const struct suspect_run *run)
{
  uint64_t other;

  if (run->asked >= gate->slots)
    return false;
  other = gate->ops->partition (gate->data, 1 - run->slot, &run->fingerprint);
  return !run->open[run->slot] || !gate->ops->same_host (gate->data, other);
}

static void
slot_refused (struct suspect_gate *gate, struct suspect_run *run)
{
  if (may_ask_other (gate, run))
    run_ask (gate, run, 1 - run->slot);
  else
    round_end (gate, run);
}

static void
run_timeout (struct suspect_gate *gate, struct suspect_run *run)
{
  if (run->state == SUSPECT_RUN_WAITING)
    {
      round_begin (gate, run);
      return;
    }
  /* It may have been granted: the slot is given back in any case. */
  gate_send (gate, SUSPECT_DONE, run->partition, run);
  slot_refused (gate, run);
}

static struct suspect_run *
run_find (const struct suspect_gate *gate, uint64_t id)
{
  for (struct list *at = gate->runs.next; at != &gate->runs; at = at->next)
    {
      struct suspect_run *run = LIST_ENTRY (at, struct suspect_run, node);

      if (run->state == SUSPECT_RUN_ASKING && run->id == id)
        return run;
    }
  return NULL;
}

static void
receive_answer (struct suspect_gate *gate,
                const struct suspect_message *message)
{
  struct suspect_run *run = run_find (gate, message->run);

  if (run == NULL)
    return;
  switch (message->verdict)
    {
    case SUSPECT_RUN:
      run->holding = true;
      run_decide (gate, run, SUSPECT_GO, 0);
      return;
    case SUSPECT_RUN_ALONE:
      run->holding = true;
      run_decide (gate, run, SUSPECT_GO_ALONE, 0);
      return;
    case SUSPECT_RUN_FREE:
      run_decide (gate, run, SUSPECT_GO, 0);
      return;
    case SUSPECT_USED_UP:
      run->used_up[run->slot] = true;
      run->tainted = run->tainted || message->tainted;
      run->hold_ns = MIN (run->hold_ns, message->hold_ns);
      break;
    default:
      run->open[run->slot] = true;
      break;
    }
  slot_refused (gate, run);
}

static void
report_drop (struct suspect_gate *gate, struct report *report)
{
  list_remove (&report->node);
  gate->report_count--;
  g_free (report);
}

static void
receive_ack (struct suspect_gate *gate, const struct suspect_message *message)
{
  struct list *at = gate->reports.next;

  while (at != &gate->reports)
    {
      struct report *report = LIST_ENTRY (at, struct report, node);

      at = at->next;
      if (report->message.run == message->run
          && memcmp (&report->message.fingerprint, &message->fingerprint,
                     sizeof message->fingerprint)
                 == 0
          && report->message.slot == message->slot)
        report_drop (gate, report);
    }
}

static uint64_t
report_partition (const struct suspect_gate *gate, const struct report *report)
{
  return gate->ops->partition (gate->data, report->message.slot,
                               &report->message.fingerprint);
}

static void
report_send (const struct suspect_gate *gate, struct report *report)
{
  report->due_ns = clock_now (gate->clock) + report_again_ns;
  gate->ops->send (gate->data, report_partition (gate, report),
                   &report->message);
}

static void
report_make (struct suspect_gate *gate, const struct suspect_run *run,
             enum suspect_kind kind, unsigned slot)
{
  struct report *report;

  if (gate->report_count >= SUSPECT_REPORTS_MAX)
    report_drop (gate, LIST_ENTRY (gate->reports.next, struct report, node));
  report = g_new0 (struct report, 1);
  report->message = (struct suspect_message){
    .kind = kind,
    .gateway = gate->gateway,
    .run = run->id,
    .fingerprint = run->fingerprint,
    .slot = slot,
  };
  list_append (&gate->reports, &report->node);
  gate->report_count++;
  report_send (gate, report);
}

static void
end_well (struct suspect_gate *gate, struct suspect_run *run)
{
  for (unsigned slot = 0; slot < gate->slots; slot++)
    {
      bool held = run->holding && slot == run->slot;

      if (held || run->used_up[slot])
        gate_send (gate, SUSPECT_PROVED,
                   gate->ops->partition (gate->data, slot, &run->fingerprint),
                   run);
    }
}

static void
end_died (struct suspect_gate *gate, const struct suspect_run *run)
{
  report_make (gate, run, SUSPECT_CRASHED, run->slot);
  if (gate->slots > 1)
    report_make (gate, run, SUSPECT_TAINT, 1 - run->slot);
}

static void
sync_runs (struct suspect_gate *gate, uint64_t partition, bool asking)
{
  for (struct list *at = gate->runs.next; at != &gate->runs; at = at->next)
    {
      struct suspect_run *run = LIST_ENTRY (at, struct suspect_run, node);

      if (run->partition != partition)
        continue;
      if (run->holding && !asking)
        gate_send (gate, SUSPECT_HELD, partition, run);
      if (run->state == SUSPECT_RUN_ASKING && asking)
        {
          /* A fresh number, so that the answer to the first is not taken. */
          run->id = ++gate->last_id;
          gate_send (gate, SUSPECT_ASK, partition, run);
        }
    }
}

static void
sync_send_mark (const struct suspect_gate *gate, const struct sync *sync,
                enum suspect_kind kind)
{
  const struct suspect_message message
      = { .kind = kind, .gateway = gate->gateway, .run = sync->number };

  gate->ops->send (gate->data, sync->partition, &message);
}

static void
sync_send (struct suspect_gate *gate, struct sync *sync)
{
  sync->number = ++gate->last_id;
  sync->due_ns = clock_now (gate->clock) + sync_again_ns;
  sync_send_mark (gate, sync, SUSPECT_SYNC_BEGIN);
  for (struct list *at = gate->reports.next; at != &gate->reports;
       at = at->next)
    {
      struct report *report = LIST_ENTRY (at, struct report, node);

      if (report_partition (gate, report) == sync->partition)
        report_send (gate, report);
    }
  sync_runs (gate, sync->partition, false);
  sync_send_mark (gate, sync, SUSPECT_SYNC_END);
  sync_runs (gate, sync->partition, true);
}

static struct sync *
sync_find (const struct suspect_gate *gate, uint64_t partition)
{
  for (struct list *at = gate->syncs.next; at != &gate->syncs; at = at->next)
    {
      struct sync *sync = LIST_ENTRY (at, struct sync, node);

      if (sync->partition == partition)
        return sync;
    }
  return NULL;
}

static void
receive_synced (const struct suspect_gate *gate,
                const struct suspect_message *message)
{
  for (struct list *at = gate->syncs.next; at != &gate->syncs; at = at->next)
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
suspect_gate_init (struct suspect_gate *gate, uint64_t gateway, unsigned slots,
                   bool unchecked, const struct clock *clock,
                   const struct suspect_gate_ops *ops, void *data)
{
  assert (slots >= 1 && slots <= SUSPECT_SLOTS);
  *gate = (struct suspect_gate){ .clock = clock,
                                 .ops = ops,
                                 .data = data,
                                 .gateway = gateway,
                                 .slots = slots,
                                 .unchecked = unchecked };
  list_init (&gate->runs);
  list_init (&gate->reports);
  list_init (&gate->syncs);
}

void
suspect_gate_finish (struct suspect_gate *gate)
{
  struct list *at = gate->reports.next;

  while (at != &gate->reports)
    {
      struct report *report = LIST_ENTRY (at, struct report, node);

      at = at->next;
      report_drop (gate, report);
    }
  at = gate->syncs.next;
  while (at != &gate->syncs)
    {
      struct sync *sync = LIST_ENTRY (at, struct sync, node);

      at = at->next;
      g_free (sync);
    }
}

void
suspect_gate_begin (struct suspect_gate *gate, struct suspect_run *run)
{
  assert (run->state == SUSPECT_RUN_IDLE);
  list_append (&gate->runs, &run->node);
  run->holding = false;
  round_begin (gate, run);
}

void
suspect_gate_end (struct suspect_gate *gate, struct suspect_run *run,
                  enum suspect_end end)
{
  if (run->state == SUSPECT_RUN_IDLE)
    return;
  if (run->state != SUSPECT_RUN_DECIDED)
    end = SUSPECT_END_NOTHING;
  if (run->state == SUSPECT_RUN_ASKING
      || (run->holding && end == SUSPECT_END_NOTHING))
    gate_send (gate, SUSPECT_DONE, run->partition, run);
  else if (end == SUSPECT_END_WELL)
    end_well (gate, run);
  else if (end == SUSPECT_END_DIED)
    end_died (gate, run);
  list_remove (&run->node);
  run->state = SUSPECT_RUN_IDLE;
  run->holding = false;
}

void
suspect_gate_receive (struct suspect_gate *gate,
                      const struct suspect_message *message)
{
  if (message->gateway != gate->gateway)
    return;
  if (message->kind == SUSPECT_ANSWER)
    receive_answer (gate, message);
  if (message->kind == SUSPECT_ACK)
    receive_ack (gate, message);
  if (message->kind == SUSPECT_SYNCED)
    receive_synced (gate, message);
}

void
suspect_gate_sync (struct suspect_gate *gate, uint64_t partition)
{
  struct sync *sync = sync_find (gate, partition);

  if (sync == NULL)
    {
      sync = g_new0 (struct sync, 1);
      sync->partition = partition;
      list_append (&gate->syncs, &sync->node);
    }
  sync_send (gate, sync);
}

void
suspect_gate_tick (struct suspect_gate *gate)
{
  int64_t now = clock_now (gate->clock);
  struct list *at = gate->runs.next;

  for (struct list *r = gate->reports.next; r != &gate->reports; r = r->next)
    {
      struct report *report = LIST_ENTRY (r, struct report, node);

      if (report->due_ns <= now)
        report_send (gate, report);
    }
  for (struct list *y = gate->syncs.next; y != &gate->syncs; y = y->next)
    {
      struct sync *sync = LIST_ENTRY (y, struct sync, node);

      if (sync->due_ns <= now)
        sync_send (gate, sync);
    }
  while (at != &gate->runs)
    {
      struct suspect_run *run = LIST_ENTRY (at, struct suspect_run, node);

      at = at->next;
      if (run->state != SUSPECT_RUN_DECIDED && run->due_ns <= now)
        run_timeout (gate, run);
    }
}

int64_t
suspect_gate_next (const struct suspect_gate *gate)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *r = gate->reports.next; r != &gate->reports;
       r = r->next)
    next = MIN (next, LIST_ENTRY (r, struct report, node)->due_ns);
  for (const struct list *y = gate->syncs.next; y != &gate->syncs; y = y->next)
    next = MIN (next, LIST_ENTRY (y, struct sync, node)->due_ns);
  for (const struct list *at = gate->runs.next; at != &gate->runs;
       at = at->next)
    next = MIN (next, LIST_ENTRY (at, struct suspect_run, node)->due_ns);
  return next;
}
