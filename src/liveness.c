#include "liveness.h"

#include <assert.h>

static const char *const verdict_names[LIVENESS_VERDICT_COUNT] = {
  [LIVENESS_SILENT] = "silent",
  [LIVENESS_REFUSED] = "refused",
  [LIVENESS_UNREACHABLE] = "unreachable",
};

static int64_t
earliest (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static void
declare_dead (struct liveness *liveness, enum liveness_verdict verdict)
{
  liveness->state = LIVENESS_DEAD;
  liveness->ops->connection_dead (liveness->data, verdict);
}

static void
stop_probing (struct liveness *liveness)
{
  if (liveness->state == LIVENESS_PROBING)
    liveness->ops->cancel_probe (liveness->data);
}

static void
start_probing (struct liveness *liveness)
{
  liveness->state = LIVENESS_PROBING;
  liveness->probe_deadline_ns
      = clock_now (liveness->clock) + liveness->settings.probe_timeout_ns;
  liveness->ops->start_probe (liveness->data);
}

const char *
liveness_verdict_name (enum liveness_verdict verdict)
{
  assert ((unsigned)verdict < LIVENESS_VERDICT_COUNT);
  return verdict_names[verdict];
}

void
liveness_init (struct liveness *liveness,
               const struct liveness_settings *settings,
               const struct clock *clock, const struct liveness_ops *ops,
               void *data)
{
  int64_t now = clock_now (clock);

  *liveness = (struct liveness){ .clock = clock,
                                 .ops = ops,
                                 .data = data,
                                 .settings = *settings,
                                 .state = LIVENESS_IDLE,
                                 .timeout_ns = settings->timeout_ns,
                                 .waiting_since_ns = now,
                                 .confirmed_ns = now,
                                 .next_heartbeat_ns = CLOCK_NEVER };
  if (settings->heartbeat_interval_ns == 0)
    return;
  liveness->state = LIVENESS_WAITING;
  liveness->next_heartbeat_ns = now + settings->heartbeat_interval_ns;
}

void
liveness_expect_bytes (struct liveness *liveness, int64_t timeout_ns)
{
  if (liveness->state == LIVENESS_DEAD)
    return;
  liveness->timeout_ns
      = timeout_ns > 0 ? timeout_ns : liveness->settings.timeout_ns;
  if (liveness->state != LIVENESS_IDLE)
    return;
  liveness->state = LIVENESS_WAITING;
  liveness->waiting_since_ns = clock_now (liveness->clock);
}

void
liveness_expect_nothing (struct liveness *liveness)
{
  if (liveness->state == LIVENESS_DEAD)
    return;
  liveness->timeout_ns = liveness->settings.timeout_ns;
  if (liveness->settings.heartbeat_interval_ns > 0)
    return;
  stop_probing (liveness);
  liveness->state = LIVENESS_IDLE;
}

void
liveness_bytes_received (struct liveness *liveness)
{
  if (liveness->state == LIVENESS_DEAD)
    return;
  stop_probing (liveness);
  if (liveness->state == LIVENESS_PROBING)
    liveness->state = LIVENESS_WAITING;
  liveness->waiting_since_ns = clock_now (liveness->clock);
  liveness->confirmed_ns = liveness->waiting_since_ns;
}

void
liveness_probe_completed (struct liveness *liveness, bool replied)
{
  if (liveness->state == LIVENESS_PROBING)
    declare_dead (liveness, replied ? LIVENESS_SILENT : LIVENESS_REFUSED);
}

bool
liveness_is_confirmed (const struct liveness *liveness)
{
  int64_t age = clock_now (liveness->clock) - liveness->confirmed_ns;

  return liveness->state <= LIVENESS_WAITING
         && age <= liveness->settings.confirmed_for_ns;
}

void
liveness_tick (struct liveness *liveness)
{
  int64_t now = clock_now (liveness->clock);

  if (liveness->state == LIVENESS_DEAD)
    return;
  if (liveness->next_heartbeat_ns <= now)
    {
      liveness->next_heartbeat_ns
          = now + liveness->settings.heartbeat_interval_ns;
      liveness->ops->send_heartbeat (liveness->data);
    }
  if (liveness->state == LIVENESS_WAITING
      && liveness->waiting_since_ns + liveness->timeout_ns <= now)
    start_probing (liveness);
  else if (liveness->state == LIVENESS_PROBING
           && liveness->probe_deadline_ns <= now)
    {
      liveness->ops->cancel_probe (liveness->data);
      declare_dead (liveness, LIVENESS_UNREACHABLE);
    }
}

int64_t
liveness_next_tick_ns (const struct liveness *liveness)
{
  int64_t next = liveness->next_heartbeat_ns;

  if (liveness->state == LIVENESS_DEAD)
    return CLOCK_NEVER;
  if (liveness->state == LIVENESS_WAITING)
    next = earliest (next, liveness->waiting_since_ns + liveness->timeout_ns);
  if (liveness->state == LIVENESS_PROBING)
    next = earliest (next, liveness->probe_deadline_ns);
  return next;
}
