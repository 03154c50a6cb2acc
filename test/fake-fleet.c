#include "fake-fleet-parts.h"

#include <stdio.h>
#include <string.h>

#define HOP_NS (2 * NS_PER_MS)

int64_t
fleet_now (const struct fleet *fleet)
{
  return fleet->clock.now_ns;
}

void
fleet_break (struct fleet *fleet, enum fleet_promise promise,
             const struct fleet_request *request, const char *what)
{
  if (fleet_broken (fleet) == 0)
    snprintf (fleet->first, sizeof fleet->first,
              "promise %d, request %u, key %u, at %.3f s: %s", (int)promise,
              (unsigned)request->id, request->key,
              (double)fleet_now (fleet) / 1e9, what);
  fleet->broken[promise]++;
}

void
fleet_message (struct fleet *fleet, struct fleet_message message)
{
  /* A backend server's connection is HTTP and repeats nothing. */
  bool own = message.kind < MESSAGE_DISPATCH;
  int copies
      = 1 + (own && rng_uniform (&fleet->rng) < fleet->faults.duplicate);

  for (int i = 0; i < copies; i++)
    {
      message.due_ns = fleet_now (fleet) + HOP_NS + fleet->faults.delay_ns
                       + (int64_t)rng_below (&fleet->rng, HOP_NS);
      g_array_append_val (fleet->messages, message);
    }
}

/* The key of INDEX, asked or told about by REQUEST. */
struct once_request
fleet_key_of (struct fleet *fleet, const struct fleet_request *request,
              unsigned index)
{
  struct fleet_key *key = &fleet->keys[index];
  struct once_request once
      = { key->organisation, key->key, request->id, request->incarnation };

  if (fleet->mutant == FLEET_NO_ORGANISATION)
    once.organisation = "";
  return once;
}

static void
backend_dispatch (struct fleet *fleet, struct fleet_request *request,
                  unsigned attempt)
{
  struct fleet_key *key = &fleet->keys[request->key];
  struct fleet_message message
      = { .request = request->id, .attempt = attempt };

  if (fleet->faults.not_started)
    {
      message.kind = MESSAGE_NOT_STARTED;
      fleet_message (fleet, message);
      return;
    }
  request->ran = true;
  key->runner = request->id;
  if (++key->runs > 1)
    fleet_break (fleet, FLEET_ONE_RUN, request, "second run");
  if (request->settle.phase == REQUESTSTATE_FINISHED
      && request->settle.outcome == REQUESTSTATE_REFUSED_NOT_RUN)
    fleet_break (fleet, FLEET_TRUE_REFUSAL, request, "ran after refusal");
  message.kind = fleet->faults.cut ? MESSAGE_CUT : MESSAGE_STARTED;
  fleet_message (fleet, message);
}

static bool
gateway_lives (const struct fleet *fleet, const struct fleet_request *request)
{
  const struct fleet_gateway *gateway = &fleet->gateways[request->gateway];

  return gateway->alive && gateway->incarnation == request->incarnation;
}

/* Whether MESSAGE was delivered or its receiver is gone. */
static bool
message_deliver (struct fleet *fleet, const struct fleet_message *message)
{
  struct fleet_request *request = fleet_request (fleet, message->request);
  bool to_shard = message->kind == MESSAGE_BEGIN
                  || message->kind == MESSAGE_END
                  || message->kind == MESSAGE_RELEASE;

  if (message->kind == MESSAGE_DISPATCH)
    backend_dispatch (fleet, request, message->attempt);
  else if (to_shard ? fleet->shards[message->shard].paused
                    : fleet->gateways[request->gateway].paused)
    return false;
  else if (to_shard && fleet->shards[message->shard].alive)
    fleet_shard_deliver (fleet, request, message);
  else if (!to_shard && gateway_lives (fleet, request))
    fleet_gateway_deliver (fleet, request, message);
  return true;
}

static void
messages_deliver (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->messages->len;)
    {
      struct fleet_message message
          = g_array_index (fleet->messages, struct fleet_message, i);

      if (message.due_ns <= fleet_now (fleet)
          && message_deliver (fleet, &message))
        g_array_remove_index_fast (fleet->messages, i);
      else
        i++;
    }
}

/* The end of one request comes in with the key of another. */
static void
crossed_send (struct fleet *fleet)
{
  struct fleet_message message = { .kind = MESSAGE_END };
  const struct fleet_request *request, *other;

  if (fleet->requests->len == 0)
    return;
  message.request = 1 + rng_below (&fleet->rng, fleet->requests->len);
  request = fleet_request (fleet, message.request);
  other = fleet_request (fleet,
                         1 + rng_below (&fleet->rng, fleet->requests->len));
  message.key = other->key;
  message.shard = fleet_owner (fleet, other->key);
  if (request->settle.phase == REQUESTSTATE_FINISHED
      && request->key != other->key)
    fleet_message (fleet, message);
}

void
fleet_step (struct fleet *fleet, int64_t step_ns)
{
  clock_fake_advance (&fleet->clock, step_ns);
  messages_deliver (fleet);
  fake_kv_step (&fleet->kv);
  fleet_shards_tick (fleet);
  fleet_gateways_tick (fleet);
  if (fleet->faults.crossed_end && rng_below (&fleet->rng, 20) == 0)
    crossed_send (fleet);
}

void
fleet_run (struct fleet *fleet, int64_t ns)
{
  for (int64_t end = fleet_now (fleet) + ns; fleet_now (fleet) < end;)
    fleet_step (fleet, FLEET_STEP_NS);
}

void
fleet_init (struct fleet *fleet, enum fleet_mutant mutant, uint64_t seed)
{
  memset (fleet, 0, sizeof *fleet);
  clock_fake_init (&fleet->clock, NS_PER_S);
  rng_init (&fleet->rng, seed);
  fake_kv_init (&fleet->kv, &fleet->clock.clock, seed);
  fleet->mutant = mutant;
  fleet->requests = g_ptr_array_new_with_free_func (g_free);
  fleet->active = g_ptr_array_new ();
  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct fleet_message));
  fleet->request_timeout_ns = 2500 * NS_PER_MS;
  fleet->owner_settings = (struct owner_settings){
    .partition_count = 8,
    .lease_ttl_ns = 3 * NS_PER_S,
    .lease_margin_ns = 500 * NS_PER_MS,
    .keepalive_interval_ns = 700 * NS_PER_MS,
    .poll_interval_ns = 2 * NS_PER_S,
    .claim_poll_interval_ns = 300 * NS_PER_MS,
    .rebalance_delay_ns = NS_PER_S,
  };
  if (mutant == FLEET_NO_MARGIN)
    fleet->owner_settings.lease_margin_ns = -60 * NS_PER_S;
  fleet->once_settings = (struct once_settings){
    .write_interval_ns = 50 * NS_PER_MS,
    .outcome_delay_ns = 200 * NS_PER_MS,
    .retention_ns = 3600 * NS_PER_S,
    .run_max_ns = 600 * NS_PER_S,
    .tail_window_ns = 5 * NS_PER_S,
    .tail_bytes = 1024,
    .segment_max_bytes = 8192,
    .record_max = 10000,
    .parallel_loads_max = 4,
  };
  fleet->budget_settings = (struct kvbudget_settings){
    .rate = 100,
    .burst = 20,
    .queue_max = 100,
    .watch_max = 10,
    .queue_timeout_ns = NS_PER_S,
    .call_timeout_ns = 800 * NS_PER_MS,
    .backoff.min_ns = 50 * NS_PER_MS,
    .backoff.max_ns = NS_PER_S,
  };
}

void
fleet_start (struct fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    fleet_shard_start (fleet, i);
  for (unsigned i = 0; i < FLEET_GATEWAYS; i++)
    fleet_gateway_start (fleet, i);
}

void
fleet_finish (struct fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    fleet_shard_kill (fleet, i);
  for (unsigned i = 0; i < FLEET_GATEWAYS; i++)
    fleet_gateway_kill (fleet, i);
  fake_kv_finish (&fleet->kv);
  g_ptr_array_unref (fleet->requests);
  g_ptr_array_unref (fleet->active);
  g_array_unref (fleet->messages);
}

static void
rest_check (struct fleet *fleet, uint64_t id)
{
  const struct fleet_request *request = fleet_request (fleet, id);
  const struct fleet_key *key = &fleet->keys[request->key];
  enum requeststate_outcome outcome = request->settle.outcome;
  bool definite = key->bodies > 1 || outcome == REQUESTSTATE_COMPLETE
                  || outcome == REQUESTSTATE_REPLAYED
                  || outcome == REQUESTSTATE_FAILED_MAY_HAVE_RUN;

  if (request->settle.phase != REQUESTSTATE_FINISHED || !definite)
    fleet_break (fleet, FLEET_ANSWERED, request,
                 requeststate_outcome_name (outcome));
  if (key->recorded && outcome == REQUESTSTATE_FAILED_MAY_HAVE_RUN)
    fleet_break (fleet, FLEET_FIRST_OUTCOME, request, "forgotten at rest");
}

void
fleet_check_rest (struct fleet *fleet, unsigned keys)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  fleet->faults = (struct fleet_faults){ 0 };
  fleet->kv.faults
      = (struct fake_kv_faults){ .latency_ns = 2 * NS_PER_MS,
                                 .value_max_bytes = KV_VALUE_MAX };
  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    {
      fleet_shard_pause (fleet, i, false);
      if (fleet->shards[i].owner.stopping)
        fleet_shard_kill (fleet, i);
      if (!fleet->shards[i].alive)
        fleet_shard_start (fleet, i);
    }
  for (unsigned i = 0; i < FLEET_GATEWAYS; i++)
    {
      fleet_gateway_pause (fleet, i, false);
      if (!fleet->gateways[i].alive)
        fleet_gateway_start (fleet, i);
    }
  fleet_run (fleet, 15 * NS_PER_S);
  for (unsigned i = 0; i < keys; i++)
    {
      uint64_t id = fleet_send (fleet, i % FLEET_GATEWAYS, i, 0);

      g_array_append_val (ids, id);
    }
  fleet_run (fleet, 5 * NS_PER_S);
  for (guint i = 0; i < ids->len; i++)
    rest_check (fleet, g_array_index (ids, uint64_t, i));
  g_array_unref (ids);
}

unsigned
fleet_broken (const struct fleet *fleet)
{
  unsigned sum = 0;

  for (int i = 0; i < FLEET_PROMISE_COUNT; i++)
    sum += fleet->broken[i];
  return sum;
}
