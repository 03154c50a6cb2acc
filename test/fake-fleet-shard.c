#include "fake-fleet-parts.h"
#include "oncepartition.h"

#include <string.h>

#define SUSPECT_NS NS_PER_S /* until membership knows of a death */

static void
on_gained (struct owner *owner, unsigned partition)
{
  once_partition_gained (&((struct fleet_shard *)(void *)owner)->once,
                         partition);
}

static void
on_lost (struct owner *owner, unsigned partition)
{
  once_partition_lost (&((struct fleet_shard *)(void *)owner)->once,
                       partition);
}

static const struct owner_ops owner_ops = { on_gained, on_lost };

static struct fleet_shard *
once_shard (struct once *once)
{
  return LIST_ENTRY (once, struct fleet_shard, once);
}

/* What a shard says must fit what has happened up to then. */
static void
answer_check (struct fleet *fleet, const struct once_reply *answer)
{
  struct fleet_request *request = fleet_request (fleet, answer->request_id);
  const struct fleet_key *key = &fleet->keys[request->key];

  if (answer->result == ONCE_REFUSED && !answer->key_unknown
      && key->handed > 0)
    fleet_break (fleet, FLEET_TRUE_REFUSAL, request, "key was handed over");
  if (key->recorded && answer->result != ONCE_REPLAYED
      && answer->result != ONCE_CONFLICT
      && !(answer->result == ONCE_REFUSED && answer->key_unknown))
    fleet_break (fleet, FLEET_FIRST_OUTCOME, request, "outcome forgotten");
}

static void
on_answer (struct once *once, const struct once_reply *answer)
{
  struct fleet_shard *shard = once_shard (once);
  struct fleet *fleet = shard->fleet;
  struct fleet_message message = { .kind = MESSAGE_ANSWER,
                                   .request = answer->request_id,
                                   .result = answer->result,
                                   .key_unknown = answer->key_unknown };

  if (!shard->alive)
    return;
  answer_check (fleet, answer);
  if (answer->result == ONCE_REPLAYED)
    memcpy (&message.runner, answer->outcome.body, sizeof message.runner);
  if (!fleet->faults.answers_lost)
    fleet_message (fleet, message);
}

static void
on_recorded (struct once *once, uint64_t gateway, uint64_t id,
             enum status status)
{
  struct fleet_shard *shard = once_shard (once);
  struct fleet *fleet = shard->fleet;
  struct fleet_request *request = fleet_request (fleet, id);

  if (!shard->alive)
    return;
  if (status == STATUS_OK && request->record == REQUESTSTATE_RECORD_END
      && request->settle.outcome == REQUESTSTATE_COMPLETE)
    fleet->keys[request->key].recorded = true;
  fleet_message (fleet, (struct fleet_message){ .kind = MESSAGE_RECORDED,
                                                .request = id,
                                                .status = status });
}

static bool
on_gateway_live (struct once *once, uint64_t incarnation)
{
  struct fleet *fleet = once_shard (once)->fleet;

  for (int i = 0; i < FLEET_GATEWAYS; i++)
    if (fleet->gateways[i].incarnation == incarnation)
      return fleet->gateways[i].alive
             || fleet_now (fleet) < fleet->gateways[i].changed_ns + SUSPECT_NS;
  return false;
}

static const struct once_ops once_ops
    = { on_answer, on_recorded, on_gateway_live };

void
fleet_shard_start (struct fleet *fleet, unsigned index)
{
  struct fleet_shard *shard = &fleet->shards[index];

  memset (shard, 0, sizeof *shard);
  shard->fleet = fleet;
  shard->alive = true;
  shard->changed_ns = fleet_now (fleet);
  shard->filter.ops = &fleet_filter_ops;
  fake_kv_client_init (&shard->client, &fleet->kv);
  kvbudget_init (&shard->budget, &shard->filter, &fleet->clock.clock,
                 &fleet->rng, &fleet->budget_settings);
  owner_init (&shard->owner, &fleet->owner_settings, &owner_ops,
              ++fleet->incarnation, &shard->budget.kv, &fleet->clock.clock,
              &fleet->rng);
  once_init (&shard->once, &fleet->once_settings, &once_ops, &shard->owner,
             &shard->budget.kv, &fleet->clock.clock, &fleet->rng);
}

void
fleet_shard_kill (struct fleet *fleet, unsigned index)
{
  struct fleet_shard *shard = &fleet->shards[index];

  if (!shard->alive)
    return;
  shard->alive = false;
  shard->paused = false;
  shard->changed_ns = fleet_now (fleet);
  kvbudget_finish (&shard->budget);
  fake_kv_client_finish (&shard->client);
  once_finish (&shard->once);
  owner_finish (&shard->owner);
}

void
fleet_shard_pause (struct fleet *fleet, unsigned index, bool paused)
{
  struct fleet_shard *shard = &fleet->shards[index];

  if (!shard->alive || shard->paused == paused)
    return;
  shard->paused = paused;
  shard->client.paused = paused;
  shard->changed_ns = fleet_now (fleet);
}

/* Membership: a death or a pause is known a while later. */
static bool
shard_seen (const struct fleet *fleet, unsigned index)
{
  const struct fleet_shard *shard = &fleet->shards[index];
  bool lives = shard->alive && !shard->paused;

  return lives
         || (shard->owner.node != 0
             && fleet_now (fleet) < shard->changed_ns + SUSPECT_NS);
}

static unsigned
shards_seen (const struct fleet *fleet, uint64_t nodes[], unsigned indexes[])
{
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    if (shard_seen (fleet, i))
      {
        indexes[count] = i;
        nodes[count++] = fleet->shards[i].owner.node;
      }
  return count;
}

unsigned
fleet_owner (struct fleet *fleet, unsigned key)
{
  struct fleet_request request = { .key = key };
  struct once_request once = fleet_key_of (fleet, &request, key);
  unsigned partition = owner_partition_of_key (
      once.organisation, once.key, fleet->owner_settings.partition_count);
  uint64_t nodes[FLEET_SHARDS];
  unsigned indexes[FLEET_SHARDS];
  unsigned count = shards_seen (fleet, nodes, indexes);

  return count > 0 ? indexes[owner_preferred_index (nodes, count, partition)]
                   : 0;
}

const void *
fleet_record (struct fleet *fleet, unsigned key)
{
  struct fleet_shard *shard = &fleet->shards[fleet_owner (fleet, key)];
  struct fleet_request request = { .key = key };
  struct once_request once = fleet_key_of (fleet, &request, key);
  char *text = g_strdup_printf ("%zu:%s%s", strlen (once.organisation),
                                once.organisation, once.key);
  struct once_digest digest = once_digest_of (text, strlen (text));

  g_free (text);
  if (!shard->alive)
    return NULL;
  return oncepartition_find (
      &shard->once.partitions[owner_partition_of_key (
          once.organisation, once.key, fleet->owner_settings.partition_count)],
      &digest);
}

static void
shard_end (struct fleet *fleet, struct once *once,
           const struct fleet_request *request, unsigned index)
{
  struct once_request key = fleet_key_of (fleet, request, index);
  struct once_outcome outcome = { 0 };
  const struct oncerecord *record = fleet_record (fleet, index);

  if (request->settle.outcome == REQUESTSTATE_COMPLETE)
    {
      outcome.status = 200;
      outcome.has_body = true;
      outcome.body = (const uint8_t *)&request->id;
      outcome.body_size = sizeof request->id;
      outcome.digest = once_digest_of (&request->id, sizeof request->id);
    }
  if (fleet->mutant == FLEET_CROSSED_END_TAKEN && record != NULL)
    {
      key.request = record->request_id;
      key.gateway_incarnation = record->gateway_incarnation;
    }
  once_set_outcome (once, &key, &outcome);
}

void
fleet_shard_deliver (struct fleet *fleet, struct fleet_request *request,
                     const struct fleet_message *message)
{
  struct once *once = &fleet->shards[message->shard].once;
  struct once_request key = fleet_key_of (fleet, request, message->key);
  struct once_digest fingerprint
      = once_digest_of (&request->body, sizeof request->body);

  if (fleet->mutant == FLEET_NO_FINGERPRINT)
    memset (&fingerprint, 0, sizeof fingerprint);
  if (message->kind == MESSAGE_BEGIN)
    once_acquire (once, &key, &fingerprint,
                  fleet_now (fleet) + message->span_ms * NS_PER_MS);
  else if (message->kind == MESSAGE_RELEASE)
    once_release (once, &key);
  else
    shard_end (fleet, once, request, message->key);
}

void
fleet_shards_tick (struct fleet *fleet)
{
  uint64_t nodes[FLEET_SHARDS];
  unsigned indexes[FLEET_SHARDS];
  unsigned count = shards_seen (fleet, nodes, indexes);

  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    {
      struct fleet_shard *shard = &fleet->shards[i];

      if (!shard->alive || shard->paused)
        continue;
      owner_set_live_nodes (&shard->owner, nodes, count);
      kvbudget_tick (&shard->budget);
      owner_tick (&shard->owner);
      once_tick (&shard->once);
    }
}
