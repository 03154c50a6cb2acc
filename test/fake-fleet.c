#include "fake-fleet.h"

#include "oncepart.h"

#include <stdio.h>
#include <string.h>

#define STEP_NS (2 * NS_PER_MS)
#define HOP_NS (2 * NS_PER_MS)
#define ASK_NS (400 * NS_PER_MS)
#define RUN_NS (30 * NS_PER_MS)
#define RUN_TIMEOUT_NS (3 * NS_PER_S)
#define SUSPECT_NS NS_PER_S /* until membership knows of a death */

enum message_kind
{
  MESSAGE_BEGIN,
  MESSAGE_ANSWER,
  MESSAGE_END,
  MESSAGE_RELEASE,
  MESSAGE_RECORDED,
  MESSAGE_DISPATCH,
  MESSAGE_STARTED,
  MESSAGE_NOT_STARTED,
  MESSAGE_COMPLETE,
  MESSAGE_CUT
};

struct message
{
  enum message_kind kind;
  int64_t due_ns;
  unsigned shard;
  uint64_t request;
  unsigned attempt;
  unsigned key;
  unsigned span_ms; /* begin: until the deadline */
  enum once_result result;
  bool key_unknown;
  uint64_t runner; /* in a replayed outcome */
  enum status status;
};

static int64_t
now_of (const struct fleet *fleet)
{
  return fleet->clock.now;
}

static void
promise_break (struct fleet *fleet, enum fleet_promise promise,
               const struct fleet_request *request, const char *what)
{
  if (fleet_broken (fleet) == 0)
    snprintf (fleet->first, sizeof fleet->first,
              "promise %d, request %u, key %u, at %.3f s: %s", (int)promise,
              (unsigned)request->id, request->key,
              (double)now_of (fleet) / 1e9, what);
  fleet->broken[promise]++;
}

static void
message_send (struct fleet *fleet, struct message message)
{
  /* A backend server's connection is HTTP and repeats nothing. */
  bool own = message.kind < MESSAGE_DISPATCH;
  int copies = 1 + (own && rng_unit (&fleet->rng) < fleet->faults.duplicate);

  for (int i = 0; i < copies; i++)
    {
      message.due_ns = now_of (fleet) + HOP_NS + fleet->faults.delay_ns
                       + (int64_t)rng_below (&fleet->rng, HOP_NS);
      g_array_append_val (fleet->messages, message);
    }
}

/* The key of INDEX, asked or told about by REQUEST. */
static struct once_request
request_key (struct fleet *fleet, const struct fleet_request *request,
             unsigned index)
{
  struct fleet_key *key = &fleet->keys[index];
  struct once_request once
      = { key->organisation, key->key, request->id, request->incarnation };

  if (fleet->mutant == FLEET_NO_ORGANISATION)
    once.organisation = "";
  return once;
}

/* The KV filter of the mutants. */

struct filtered
{
  struct fleet *fleet;
  kv_done done;
  void *data;
};

static struct fleet_shard *
filter_shard (struct kv *kv)
{
  return LIST_ENTRY (kv, struct fleet_shard, filter);
}

static struct filtered *
filtered_new (struct kv *kv, kv_done done, void *data)
{
  struct filtered *call = g_new0 (struct filtered, 1);

  *call = (struct filtered){ filter_shard (kv)->fleet, done, data };
  return call;
}

static void
filtered_txn_done (void *data, const struct kv_reply *reply)
{
  struct filtered *call = data;
  struct kv_reply changed = *reply;

  if (call->fleet->mutant == FLEET_TRUST_LOST_REPLY
      && reply->status == STATUS_UNKNOWN)
    changed.status = STATUS_OK;
  call->done (call->data, &changed);
  g_free (call);
}

static void
filtered_not_sent (void *data, const struct kv_reply *reply)
{
  struct filtered *call = data;
  struct kv_reply changed = { .status = STATUS_OK };

  call->done (call->data, &changed);
  g_free (call);
}

static void
filtered_empty (void *data, const struct kv_reply *reply)
{
  struct filtered *call = data;
  struct kv_reply changed = *reply;

  changed.item_count = 0;
  call->done (call->data, &changed);
  g_free (call);
}

static void
filter_txn (struct kv *kv, const struct kv_txn *txn, kv_done done, void *data)
{
  struct fleet_shard *shard = filter_shard (kv);
  struct kv *below = &shard->client.kv;
  enum fleet_mutant mutant = shard->fleet->mutant;
  bool records = g_str_has_prefix (txn->writes[0].key, "once/");
  struct kv_compare *compares = g_new0 (struct kv_compare, txn->compare_count);
  struct kv_txn changed = *txn;

  changed.compares = compares;
  changed.compare_count = 0;
  for (size_t i = 0; i < txn->compare_count; i++)
    {
      bool owner = g_str_has_prefix (txn->compares[i].key, "owner/");

      if (records
          && (mutant == FLEET_NO_OWNER_COMPARE
                  ? owner
                  : mutant == FLEET_NO_SEGMENT_COMPARE && !owner))
        continue;
      compares[changed.compare_count++] = txn->compares[i];
    }
  if (records && mutant == FLEET_GRANT_NOT_DURABLE)
    below->ops->get (below, "none", filtered_not_sent,
                     filtered_new (kv, done, data));
  else
    below->ops->txn (below, &changed, filtered_txn_done,
                     filtered_new (kv, done, data));
  g_free (compares);
}

static void
filter_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  struct fleet_shard *shard = filter_shard (kv);
  struct kv *below = &shard->client.kv;

  if (shard->fleet->mutant == FLEET_NO_LOAD
      && g_str_has_prefix (prefix, "once/"))
    below->ops->range (below, prefix, filtered_empty,
                       filtered_new (kv, done, data));
  else
    below->ops->range (below, prefix, done, data);
}

static void
filter_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->get (below, key, done, data);
}

static void
filter_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->lease_grant (below, ttl_ns, done, data);
}

static void
filter_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done,
                        void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->lease_keepalive (below, lease, done, data);
}

static void
filter_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  struct kv *below = &filter_shard (kv)->client.kv;

  below->ops->lease_revoke (below, lease, done, data);
}

static const struct kv_ops filter_ops = {
  .get = filter_get,
  .range = filter_range,
  .txn = filter_txn,
  .lease_grant = filter_lease_grant,
  .lease_keepalive = filter_lease_keepalive,
  .lease_revoke = filter_lease_revoke,
};

/* Shards. */

static void
on_gained (struct owner *owner, unsigned partition)
{
  once_gained (&((struct fleet_shard *)(void *)owner)->once, partition);
}

static void
on_lost (struct owner *owner, unsigned partition)
{
  once_lost (&((struct fleet_shard *)(void *)owner)->once, partition);
}

static const struct owner_ops owner_ops = { on_gained, on_lost };

static struct fleet_shard *
once_shard (struct once *once)
{
  return LIST_ENTRY (once, struct fleet_shard, once);
}

/* What a shard says must fit what has happened up to then. */
static void
answer_check (struct fleet *fleet, const struct once_answer *answer)
{
  struct fleet_request *request = fleet_request (fleet, answer->request);
  const struct fleet_key *key = &fleet->keys[request->key];

  if (answer->result == ONCE_REFUSED && !answer->key_unknown
      && key->handed > 0)
    promise_break (fleet, FLEET_TRUE_REFUSAL, request, "key was handed over");
  if (key->recorded && answer->result != ONCE_REPLAYED
      && answer->result != ONCE_CONFLICT
      && !(answer->result == ONCE_REFUSED && answer->key_unknown))
    promise_break (fleet, FLEET_FIRST_OUTCOME, request, "outcome forgotten");
}

static void
on_answer (struct once *once, const struct once_answer *answer)
{
  struct fleet_shard *shard = once_shard (once);
  struct fleet *fleet = shard->fleet;
  struct message message = { .kind = MESSAGE_ANSWER,
                             .request = answer->request,
                             .result = answer->result,
                             .key_unknown = answer->key_unknown };

  if (!shard->alive)
    return;
  answer_check (fleet, answer);
  if (answer->result == ONCE_REPLAYED)
    memcpy (&message.runner, answer->outcome.body, sizeof message.runner);
  if (!fleet->faults.answers_lost)
    message_send (fleet, message);
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
  if (status == STATUS_OK && request->record == SETTLE_RECORD_END
      && request->settle.outcome == SETTLE_COMPLETE)
    fleet->keys[request->key].recorded = true;
  message_send (fleet, (struct message){ .kind = MESSAGE_RECORDED,
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
             || now_of (fleet) < fleet->gateways[i].changed_ns + SUSPECT_NS;
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
  shard->changed_ns = now_of (fleet);
  shard->filter.ops = &filter_ops;
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
  shard->changed_ns = now_of (fleet);
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
  shard->changed_ns = now_of (fleet);
}

/* Membership: a death or a pause is known a while later. */
static bool
shard_seen (const struct fleet *fleet, unsigned index)
{
  const struct fleet_shard *shard = &fleet->shards[index];
  bool lives = shard->alive && !shard->paused;

  return lives
         || (shard->owner.node != 0
             && now_of (fleet) < shard->changed_ns + SUSPECT_NS);
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
  struct once_request once = request_key (fleet, &request, key);
  unsigned partition = owner_partition (once.organisation, once.key,
                                        fleet->owner_settings.partitions);
  uint64_t nodes[FLEET_SHARDS];
  unsigned indexes[FLEET_SHARDS];
  unsigned count = shards_seen (fleet, nodes, indexes);

  return count > 0 ? indexes[owner_pick (nodes, count, partition)] : 0;
}

const void *
fleet_record (struct fleet *fleet, unsigned key)
{
  struct fleet_shard *shard = &fleet->shards[fleet_owner (fleet, key)];
  struct fleet_request request = { .key = key };
  struct once_request once = request_key (fleet, &request, key);
  char *text = g_strdup_printf ("%zu:%s%s", strlen (once.organisation),
                                once.organisation, once.key);
  struct once_digest digest = once_digest_of (text, strlen (text));

  g_free (text);
  if (!shard->alive)
    return NULL;
  return oncepart_find (
      &shard->once.parts[owner_partition (once.organisation, once.key,
                                          fleet->owner_settings.partitions)],
      &digest);
}

/* Gateways. */

void
fleet_gateway_start (struct fleet *fleet, unsigned index)
{
  fleet->gateways[index]
      = (struct fleet_gateway){ .incarnation = ++fleet->incarnation,
                                .alive = true,
                                .changed_ns = now_of (fleet) };
}

void
fleet_gateway_kill (struct fleet *fleet, unsigned index)
{
  fleet->gateways[index].alive = false;
  fleet->gateways[index].changed_ns = now_of (fleet);
  for (guint i = 0; i < fleet->active->len; i++)
    {
      struct fleet_request *request = fleet->active->pdata[i];

      request->dropped |= request->gateway == index;
    }
}

void
fleet_gateway_pause (struct fleet *fleet, unsigned index, bool paused)
{
  fleet->gateways[index].paused = paused;
}

static void
shard_tell (struct fleet *fleet, const struct fleet_request *request,
            enum message_kind kind)
{
  struct message message
      = { .kind = kind, .request = request->id, .key = request->key };
  int64_t left
      = request->begun_ns + fleet->request_timeout_ns - now_of (fleet);

  message.span_ms = (unsigned)(MAX (left, 0) / NS_PER_MS);
  message.shard = fleet_owner (fleet, request->key);
  if (kind != MESSAGE_BEGIN || !fleet->faults.all_owners)
    {
      message_send (fleet, message);
      return;
    }
  for (message.shard = 0; message.shard < FLEET_SHARDS; message.shard++)
    message_send (fleet, message);
}

static void
request_finish (struct fleet *fleet, struct fleet_request *request,
                enum settle_outcome outcome)
{
  const struct fleet_key *key = &fleet->keys[request->key];

  if (!settle_allows (&request->settle, outcome))
    outcome = settle_give_up (&request->settle);
  request->record = settle_finish (&request->settle, outcome);
  request->next_ns = now_of (fleet);
  fleet->outcomes[outcome]++;
  if (outcome == SETTLE_REFUSED_NOT_RUN && request->ran)
    promise_break (fleet, FLEET_TRUE_REFUSAL, request, "request ran");
  if (outcome == SETTLE_COMPLETE
      && (key->runs != 1 || key->runner != request->id))
    promise_break (fleet, FLEET_ACK_RAN_ONCE, request, "acknowledged");
}

static void
dispatch_send (struct fleet *fleet, struct fleet_request *request)
{
  fleet->keys[request->key].handed++;
  message_send (fleet, (struct message){ .kind = MESSAGE_DISPATCH,
                                         .request = request->id,
                                         .attempt = request->settle.attempt });
}

static void
answer_refused (struct fleet *fleet, struct fleet_request *request,
                bool key_unknown)
{
  if (!key_unknown)
    request_finish (fleet, request, SETTLE_REFUSED_NOT_RUN);
}

static void
release_start (struct fleet *fleet, struct fleet_request *request)
{
  request->record = SETTLE_RECORD_RELEASE;
  request->next_ns = now_of (fleet);
  if (!g_ptr_array_find (fleet->active, request, NULL))
    g_ptr_array_add (fleet->active, request);
}

static void
gateway_answer (struct fleet *fleet, struct fleet_request *request,
                const struct message *message)
{
  const struct fleet_key *key = &fleet->keys[request->key];
  bool waiting = request->settle.state == SETTLE_GRANT_WAIT;

  if (message->result == ONCE_GRANTED)
    {
      if (settle_grant (&request->settle) == STATUS_OK)
        request->next_ns = now_of (fleet) + STEP_NS;
      else if (request->record == SETTLE_RECORD_RELEASE
               && fleet->mutant == FLEET_LATE_GRANT_USED)
        dispatch_send (fleet, request);
      else if (settle_must_release (&request->settle))
        release_start (fleet, request);
      return;
    }
  if (!waiting)
    return;
  switch (message->result)
    {
    case ONCE_REPLAYED:
      if (key->runs != 1 || key->runner != message->runner)
        promise_break (fleet, FLEET_FIRST_OUTCOME, request, "replayed");
      else if (fleet_request (fleet, key->runner)->body != request->body)
        promise_break (fleet, FLEET_CONFLICT, request, "replayed to another");
      request_finish (fleet, request, SETTLE_REPLAYED);
      break;
    case ONCE_CONFLICT:
      if (key->bodies == 1u << request->body)
        promise_break (fleet, FLEET_CONFLICT, request, "only one body");
      request_finish (fleet, request, SETTLE_REFUSED_NOT_RUN);
      break;
    case ONCE_IN_PROGRESS:
      request_finish (fleet, request, SETTLE_IN_PROGRESS);
      break;
    case ONCE_MAY_HAVE_RUN:
      request_finish (fleet, request, SETTLE_FAILED_MAY_HAVE_RUN);
      break;
    default:
      answer_refused (fleet, request, message->key_unknown);
    }
}

static void
gateway_connect (struct fleet *fleet, struct fleet_request *request)
{
  if (fleet->faults.no_backend || !settle_may_connect (&request->settle))
    {
      request_finish (fleet, request, settle_give_up (&request->settle));
      return;
    }
  settle_connect (&request->settle);
  request->next_ns = now_of (fleet) + 2 * STEP_NS;
}

static void
gateway_wait (struct fleet *fleet, struct fleet_request *request)
{
  int64_t deadline = request->begun_ns + fleet->request_timeout_ns;

  if (now_of (fleet) >= deadline)
    {
      request_finish (fleet, request, SETTLE_REFUSED_NOT_RUN);
      return;
    }
  settle_ask (&request->settle);
  shard_tell (fleet, request, MESSAGE_BEGIN);
  request->next_ns = MIN (now_of (fleet) + ASK_NS, deadline);
}

/* The next step of a request at its gateway. */
static void
gateway_step (struct fleet *fleet, struct fleet_request *request)
{
  struct settle *settle = &request->settle;

  switch (settle->state)
    {
    case SETTLE_RECEIVED:
      settle_admit (settle);
      break;
    case SETTLE_ADMITTED:
    case SETTLE_GRANT_WAIT:
      gateway_wait (fleet, request);
      break;
    case SETTLE_GRANTED:
      gateway_connect (fleet, request);
      break;
    case SETTLE_CONNECTING:
      settle_hand_over (settle, settle->attempt);
      dispatch_send (fleet, request);
      request->next_ns = now_of (fleet) + RUN_TIMEOUT_NS;
      break;
    case SETTLE_FINISHED:
      if (request->record == SETTLE_RECORD_NONE)
        break;
      shard_tell (fleet, request,
                  request->record == SETTLE_RECORD_END ? MESSAGE_END
                                                       : MESSAGE_RELEASE);
      request->next_ns = now_of (fleet) + ASK_NS;
      break;
    default:
      settle_cut (settle, settle->attempt);
      request_finish (fleet, request, SETTLE_FAILED_MAY_HAVE_RUN);
    }
}

static void
gateways_tick (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->active->len;)
    {
      struct fleet_request *request = fleet->active->pdata[i];
      const struct fleet_gateway *gateway = &fleet->gateways[request->gateway];
      bool rest = request->settle.state == SETTLE_FINISHED
                  && request->record == SETTLE_RECORD_NONE;

      if (!request->dropped && !gateway->paused
          && now_of (fleet) >= request->next_ns)
        gateway_step (fleet, request);
      if (request->dropped || rest)
        g_ptr_array_remove_index_fast (fleet->active, i);
      else
        i++;
    }
}

uint64_t
fleet_send (struct fleet *fleet, unsigned gateway, unsigned key, unsigned body)
{
  struct fleet_request *request = g_new0 (struct fleet_request, 1);

  g_ptr_array_add (fleet->requests, request);
  g_ptr_array_add (fleet->active, request);
  request->id = fleet->requests->len;
  request->key = key;
  request->body = body;
  request->gateway = gateway;
  request->incarnation = fleet->gateways[gateway].incarnation;
  request->begun_ns = now_of (fleet);
  request->next_ns = now_of (fleet) + STEP_NS;
  request->dropped = !fleet->gateways[gateway].alive;
  settle_init (&request->settle, false, 2);
  fleet->keys[key].bodies |= 1u << body;
  /* Two keys in a row are the same text of two organisations. */
  snprintf (fleet->keys[key].organisation, sizeof fleet->keys->organisation,
            "org-%u", key % 2);
  snprintf (fleet->keys[key].key, sizeof fleet->keys->key, "key-%u", key / 2);
  return request->dropped ? 0 : request->id;
}

struct fleet_request *
fleet_request (struct fleet *fleet, uint64_t id)
{
  return fleet->requests->pdata[id - 1];
}

/* Messages. */

static void
backend_dispatch (struct fleet *fleet, struct fleet_request *request,
                  unsigned attempt)
{
  struct fleet_key *key = &fleet->keys[request->key];
  struct message message = { .request = request->id, .attempt = attempt };

  if (fleet->faults.not_started)
    {
      message.kind = MESSAGE_NOT_STARTED;
      message_send (fleet, message);
      return;
    }
  request->ran = true;
  key->runner = request->id;
  if (++key->runs > 1)
    promise_break (fleet, FLEET_ONE_RUN, request, "second run");
  if (request->settle.state == SETTLE_FINISHED
      && request->settle.outcome == SETTLE_REFUSED_NOT_RUN)
    promise_break (fleet, FLEET_TRUE_REFUSAL, request, "ran after refusal");
  message.kind = fleet->faults.cut ? MESSAGE_CUT : MESSAGE_STARTED;
  message_send (fleet, message);
}

static void
gateway_cut (struct fleet *fleet, struct fleet_request *request,
             unsigned attempt)
{
  if (settle_cut (&request->settle, attempt) != STATUS_OK)
    return;
  if (fleet->mutant == FLEET_GRANT_USED_TWICE)
    dispatch_send (fleet, request);
  if (settle_may_connect (&request->settle))
    request->next_ns = now_of (fleet);
  else
    request_finish (fleet, request, SETTLE_FAILED_MAY_HAVE_RUN);
}

static void
gateway_started (struct fleet *fleet, struct fleet_request *request,
                 unsigned attempt)
{
  struct message message = { .kind = MESSAGE_COMPLETE,
                             .request = request->id,
                             .attempt = attempt };

  if (settle_answering (&request->settle, attempt) != STATUS_OK)
    return;
  message_send (fleet, message);
  g_array_index (fleet->messages, struct message, fleet->messages->len - 1)
      .due_ns
      += RUN_NS;
}

static void
gateway_deliver (struct fleet *fleet, struct fleet_request *request,
                 const struct message *message)
{
  switch (message->kind)
    {
    case MESSAGE_ANSWER:
      gateway_answer (fleet, request, message);
      break;
    case MESSAGE_RECORDED:
      if (message->status != STATUS_UNAVAILABLE
          && request->settle.state == SETTLE_FINISHED)
        request->record = SETTLE_RECORD_NONE;
      break;
    case MESSAGE_STARTED:
      gateway_started (fleet, request, message->attempt);
      break;
    case MESSAGE_NOT_STARTED:
      if (settle_not_started (&request->settle, message->attempt) != STATUS_OK)
        break;
      fleet->keys[request->key].handed--;
      request->next_ns = now_of (fleet);
      break;
    case MESSAGE_COMPLETE:
      if (request->settle.state == SETTLE_RUNNING)
        request_finish (fleet, request, SETTLE_COMPLETE);
      break;
    default:
      gateway_cut (fleet, request, message->attempt);
    }
}

static void
shard_end (struct fleet *fleet, struct once *once,
           const struct fleet_request *request, unsigned index)
{
  struct once_request key = request_key (fleet, request, index);
  struct once_outcome outcome = { 0 };
  const struct oncerec *record = fleet_record (fleet, index);

  if (request->settle.outcome == SETTLE_COMPLETE)
    {
      outcome.status = 200;
      outcome.whole = true;
      outcome.body = (const uint8_t *)&request->id;
      outcome.body_size = sizeof request->id;
      outcome.digest = once_digest_of (&request->id, sizeof request->id);
    }
  if (fleet->mutant == FLEET_CROSSED_END_TAKEN && record != NULL)
    {
      key.request = record->request;
      key.gateway = record->gateway;
    }
  once_end (once, &key, &outcome);
}

static void
shard_deliver (struct fleet *fleet, struct fleet_request *request,
               const struct message *message)
{
  struct once *once = &fleet->shards[message->shard].once;
  struct once_request key = request_key (fleet, request, message->key);
  struct once_digest fingerprint
      = once_digest_of (&request->body, sizeof request->body);

  if (fleet->mutant == FLEET_NO_FINGERPRINT)
    memset (&fingerprint, 0, sizeof fingerprint);
  if (message->kind == MESSAGE_BEGIN)
    once_begin (once, &key, &fingerprint,
                now_of (fleet) + message->span_ms * NS_PER_MS);
  else if (message->kind == MESSAGE_RELEASE)
    once_release (once, &key);
  else
    shard_end (fleet, once, request, message->key);
}

static bool
gateway_lives (const struct fleet *fleet, const struct fleet_request *request)
{
  const struct fleet_gateway *gateway = &fleet->gateways[request->gateway];

  return gateway->alive && gateway->incarnation == request->incarnation;
}

/* Whether MESSAGE was delivered or its receiver is gone. */
static bool
message_deliver (struct fleet *fleet, const struct message *message)
{
  struct fleet_request *request = fleet_request (fleet, message->request);
  bool to_shard = message->kind == MESSAGE_BEGIN
                  || message->kind == MESSAGE_END
                  || message->kind == MESSAGE_RELEASE;

  if (message->kind == MESSAGE_DISPATCH)
    backend_dispatch (fleet, request, message->attempt);
  else if (to_shard && fleet->shards[message->shard].paused)
    return false;
  else if (to_shard && fleet->shards[message->shard].alive)
    shard_deliver (fleet, request, message);
  else if (!to_shard && fleet->gateways[request->gateway].paused)
    return false;
  else if (!to_shard && gateway_lives (fleet, request))
    gateway_deliver (fleet, request, message);
  return true;
}

static void
messages_deliver (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->messages->len;)
    {
      struct message message
          = g_array_index (fleet->messages, struct message, i);

      if (message.due_ns <= now_of (fleet)
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
  struct message message = { .kind = MESSAGE_END };
  const struct fleet_request *request, *other;

  if (fleet->requests->len == 0)
    return;
  message.request = 1 + rng_below (&fleet->rng, fleet->requests->len);
  request = fleet_request (fleet, message.request);
  other = fleet_request (fleet,
                         1 + rng_below (&fleet->rng, fleet->requests->len));
  message.key = other->key;
  message.shard = fleet_owner (fleet, other->key);
  if (request->settle.state == SETTLE_FINISHED && request->key != other->key)
    message_send (fleet, message);
}

static void
shards_tick (struct fleet *fleet)
{
  uint64_t nodes[FLEET_SHARDS];
  unsigned indexes[FLEET_SHARDS];
  unsigned count = shards_seen (fleet, nodes, indexes);

  for (unsigned i = 0; i < FLEET_SHARDS; i++)
    {
      struct fleet_shard *shard = &fleet->shards[i];

      if (!shard->alive || shard->paused)
        continue;
      owner_live (&shard->owner, nodes, count);
      kvbudget_tick (&shard->budget);
      owner_tick (&shard->owner);
      once_tick (&shard->once);
    }
}

void
fleet_step (struct fleet *fleet, int64_t step_ns)
{
  clock_fake_advance (&fleet->clock, step_ns);
  messages_deliver (fleet);
  fake_kv_step (&fleet->kv);
  shards_tick (fleet);
  gateways_tick (fleet);
  if (fleet->faults.crossed_end && rng_below (&fleet->rng, 20) == 0)
    crossed_send (fleet);
}

void
fleet_run (struct fleet *fleet, int64_t ns)
{
  for (int64_t end = now_of (fleet) + ns; now_of (fleet) < end;)
    fleet_step (fleet, STEP_NS);
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
  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  fleet->request_timeout_ns = 2500 * NS_PER_MS;
  fleet->owner_settings = (struct owner_settings){
    .partitions = 8,
    .lease_ns = 3 * NS_PER_S,
    .margin_ns = 500 * NS_PER_MS,
    .keepalive_ns = 700 * NS_PER_MS,
    .poll_ns = 2 * NS_PER_S,
    .claim_poll_ns = 300 * NS_PER_MS,
    .rebalance_ns = NS_PER_S,
  };
  if (mutant == FLEET_NO_MARGIN)
    fleet->owner_settings.margin_ns = -60 * NS_PER_S;
  fleet->once_settings = (struct once_settings){
    .flush_ns = 50 * NS_PER_MS,
    .finish_delay_ns = 200 * NS_PER_MS,
    .retention_ns = 3600 * NS_PER_S,
    .run_max_ns = 600 * NS_PER_S,
    .window_ns = 5 * NS_PER_S,
    .segment_bytes = 2048,
    .record_max = 10000,
    .load_max = 4,
  };
  fleet->budget_settings = (struct kvbudget_settings){
    .rate = 100,
    .burst = 20,
    .queue_max = 100,
    .watch_max = 10,
    .queue_wait_ns = NS_PER_S,
    .call_timeout_ns = 800 * NS_PER_MS,
    .backoff_min_ns = 50 * NS_PER_MS,
    .backoff_max_ns = NS_PER_S,
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
  enum settle_outcome outcome = request->settle.outcome;
  bool definite = key->bodies > 1 || outcome == SETTLE_COMPLETE
                  || outcome == SETTLE_REPLAYED
                  || outcome == SETTLE_FAILED_MAY_HAVE_RUN;

  if (request->settle.state != SETTLE_FINISHED || !definite)
    promise_break (fleet, FLEET_ANSWERED, request,
                   settle_outcome_name (outcome));
  if (key->recorded && outcome == SETTLE_FAILED_MAY_HAVE_RUN)
    promise_break (fleet, FLEET_FIRST_OUTCOME, request, "forgotten at rest");
}

void
fleet_check_rest (struct fleet *fleet, unsigned keys)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  fleet->faults = (struct fleet_faults){ 0 };
  fleet->kv.faults = (struct fake_kv_faults){ .latency_ns = 2 * NS_PER_MS,
                                              .value_max = KV_VALUE_MAX };
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
