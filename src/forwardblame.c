#include "forwardblame.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* A run that has had output for longer did not crash its server. */
  OUTPUT_SAFE_MS = 500
};

void
forwardblame_set_parts (struct forward *forward)
{
  const struct call *call = &forward->call;
  const char *model = call->model != NULL ? call->model : "";
  uint64_t scope = MAX (XXH3_64bits (model, strlen (model)), 1U);

  for (unsigned i = 0; i + 1 < call->block_count; i++)
    forward->parts[forward->part_count++]
        = (struct blame_part){ scope, call->blocks[i].id };
  forward->parts[forward->part_count++]
      = (struct blame_part){ 0, forward->fingerprint };
}

/* Log that the request is refused for a blocked part, or is tried although it
 * has one. */
static void
log_blocked (struct forward *forward, bool refused)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct blame_block *block = blame_find_block (
      &forwarder->blameshare->blame, forward->parts, forward->part_count);

  if (block == NULL)
    return;
  log_event (
      forwarder->log, EVENT_FORWARD_BLOCKED,
      "id=%s action=%s part=%lx kind=%s crashes=%u age_ms=%ld "
      "attempts=%u",
      forward->call.request_id, refused ? "refuse" : "try",
      (unsigned long)block->part.id,
      block->part.scope == 0 ? "request" : "block", block->crashes,
      (long)((clock_now (forwarder->clock) - block->since_ns) / NS_PER_MS),
      forward->run_count + forward->not_run_count);
}

bool
forwardblame_is_blocked (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  struct blame *blame = &forwarder->blameshare->blame;
  const struct blame_block *block;
  bool had_attempt = forward->run_count + forward->not_run_count > 0;

  if (forward->tries_blocked && !had_attempt)
    return false;
  if (had_attempt)
    block = blame_find_block (blame, forward->parts, forward->part_count);
  else
    block = blame_check (blame, forward->parts, forward->part_count,
                         &forward->tries_blocked);
  if (block == NULL && !forward->tries_blocked)
    return false;
  log_blocked (forward, block != NULL);
  return block != NULL;
}

bool
forwardblame_has_block (const struct forward *forward)
{
  return blame_find_block (&forward->forwarder->blameshare->blame,
                           forward->parts, forward->part_count)
         != NULL;
}

static enum blame_suspicion
lost_run_suspicion (const struct forward_attempt *attempt)
{
  const struct exchange *exchange = &attempt->exchange;

  if (!exchange->has_head)
    return BLAME_POSSIBLE;
  if (exchange->first_output_ns == 0)
    return BLAME_LIKELY;
  return clock_now (attempt->forward->forwarder->clock)
                     - exchange->first_output_ns
                 < OUTPUT_SAFE_MS * NS_PER_MS
             ? BLAME_POSSIBLE
             : BLAME_NONE;
}

static void
learn_lost (const struct forward_attempt *attempt)
{
  const struct forward *forward = attempt->forward;
  const struct exchange *exchange = &attempt->exchange;
  struct forwarder *forwarder = forward->forwarder;
  const struct server_entry *entry = &exchange->server->entry;
  struct blame_run run = { .server_started_ms = entry->started_ms,
                           .part_count = forward->part_count,
                           .suspicion = lost_run_suspicion (attempt) };

  g_strlcpy (run.server, entry->id, sizeof run.server);
  memcpy (run.parts, forward->parts, sizeof run.parts);
  blameshare_run_lost (forwarder->blameshare, &run);
}

void
forwardblame_learn (struct forward_attempt *attempt,
                    enum exchange_outcome outcome)
{
  struct forward *forward = attempt->forward;

  if (outcome == EXCHANGE_CUT)
    learn_lost (attempt);
  else if (outcome == EXCHANGE_ANSWERED && attempt->exchange.response.success)
    blame_add_completed (&forward->forwarder->blameshare->blame,
                         forward->parts, forward->part_count);
}
