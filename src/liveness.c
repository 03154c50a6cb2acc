#include "liveness.h"

#include <assert.h>

static const char *const verdict_names[LIVENESS_VERDICT_COUNT] = {
  [LIVENESS_SILENT] = "silent",
  [LIVENESS_REFUSED] = "refused",
  [LIVENESS_UNREACHABLE] = "unreachable",
};

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static void
condemn (struct liveness *liveness, enum liveness_verdict verdict)
{
  liveness->state = LIVENESS_CONDEMNED;
  liveness->ops->condemn (liveness->data, verdict);
}

static void
doubt_end (struct liveness *liveness)
{
  if (liveness->state == LIVENESS_DOUBTED)
    liveness->ops->probe_cancel (liveness->data);
}

static void
doubt_begin (struct liveness *liveness)
{
  liveness->state = LIVENESS_DOUBTED;
  liveness->probe_end_ns
      = clock_now (liveness->clock) + liveness->settings.probe_ns;
  liveness->ops->probe (liveness->data);
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
                                 .state = LIVENESS_QUIET,
                                 .patience_ns = settings->patience_ns,
                                 .heard_ns = now,
                                 .proof_ns = now,
                                 .beat_ns = CLOCK_NEVER };
  if (settings->heartbeat_ns == 0)
    return;
  liveness->state = LIVENESS_DUE;
  liveness->beat_ns = now + settings->heartbeat_ns;
}

void
liveness_expect (struct liveness *liveness, int64_t patience_ns)
{
  if (liveness->state == LIVENESS_CONDEMNED)
    return;
  liveness->patience_ns
      = patience_ns > 0 ? patience_ns : liveness->settings.patience_ns;
  if (liveness->state != LIVENESS_QUIET)
    return;
  liveness->state = LIVENESS_DUE;
  liveness->heard_ns = clock_now (liveness->clock);
}

void
liveness_rest (struct liveness *liveness)
{
  if (liveness->state == LIVENESS_CONDEMNED)
    return;
  liveness->patience_ns = liveness->settings.patience_ns;
  if (liveness->settings.heartbeat_ns > 0)
    return;
  doubt_end (liveness);
  liveness->state = LIVENESS_QUIET;
}

void
liveness_received (struct liveness *liveness)
{
  if (liveness->state == LIVENESS_CONDEMNED)
    return;
  doubt_end (liveness);
  if (liveness->state == LIVENESS_DOUBTED)
    liveness->state = LIVENESS_DUE;
  liveness->heard_ns = clock_now (liveness->clock);
  liveness->proof_ns = liveness->heard_ns;
}

void
liveness_probed (struct liveness *liveness, bool answered)
{
  if (liveness->state == LIVENESS_DOUBTED)
    condemn (liveness, answered ? LIVENESS_SILENT : LIVENESS_REFUSED);
}

bool
liveness_proved (const struct liveness *liveness)
{
  int64_t age = clock_now (liveness->clock) - liveness->proof_ns;

  return liveness->state <= LIVENESS_DUE
         && age <= liveness->settings.proved_ns;
}

void
liveness_tick (struct liveness *liveness)
{
  int64_t now = clock_now (liveness->clock);

  if (liveness->state == LIVENESS_CONDEMNED)
    return;
  if (liveness->beat_ns <= now)
    {
      liveness->beat_ns = now + liveness->settings.heartbeat_ns;
      liveness->ops->heartbeat (liveness->data);
    }
  if (liveness->state == LIVENESS_DUE
      && liveness->heard_ns + liveness->patience_ns <= now)
    doubt_begin (liveness);
  else if (liveness->state == LIVENESS_DOUBTED
           && liveness->probe_end_ns <= now)
    {
      liveness->ops->probe_cancel (liveness->data);
      condemn (liveness, LIVENESS_UNREACHABLE);
    }
}

int64_t
liveness_next (const struct liveness *liveness)
{
  int64_t next = liveness->beat_ns;

  if (liveness->state == LIVENESS_CONDEMNED)
    return CLOCK_NEVER;
  if (liveness->state == LIVENESS_DUE)
    next = earlier (next, liveness->heard_ns + liveness->patience_ns);
  if (liveness->state == LIVENESS_DOUBTED)
    next = earlier (next, liveness->probe_end_ns);
  return next;
}
