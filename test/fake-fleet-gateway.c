#include "fake-fleet-parts.h"

#include <stdio.h>

#define ASK_NS (400 * NS_PER_MS)
#define RUN_NS (30 * NS_PER_MS)
#define RUN_TIMEOUT_NS (3 * NS_PER_S)

void
fleet_gateway_start (struct fleet *fleet, unsigned index)
{
  fleet->gateways[index]
      = (struct fleet_gateway){ .incarnation = ++fleet->incarnation,
                                .alive = true,
                                .changed_ns = fleet_now (fleet) };
}

void
fleet_gateway_kill (struct fleet *fleet, unsigned index)
{
  fleet->gateways[index].alive = false;
  fleet->gateways[index].changed_ns = fleet_now (fleet);
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
            enum fleet_message_kind kind)
{
  struct fleet_message message
      = { .kind = kind, .request = request->id, .key = request->key };
  int64_t left
      = request->begun_ns + fleet->request_timeout_ns - fleet_now (fleet);

  message.span_ms = (unsigned)(MAX (left, 0) / NS_PER_MS);
  message.shard = fleet_owner (fleet, request->key);
  if (kind != MESSAGE_BEGIN || !fleet->faults.all_owners)
    {
      fleet_message (fleet, message);
      return;
    }
  for (message.shard = 0; message.shard < FLEET_SHARDS; message.shard++)
    fleet_message (fleet, message);
}

static void
request_finish (struct fleet *fleet, struct fleet_request *request,
                enum settle_outcome outcome)
{
  const struct fleet_key *key = &fleet->keys[request->key];

  if (!settle_allows (&request->settle, outcome))
    outcome = settle_give_up (&request->settle);
  request->record = settle_finish (&request->settle, outcome);
  request->next_ns = fleet_now (fleet);
  fleet->outcomes[outcome]++;
  if (outcome == SETTLE_REFUSED_NOT_RUN && request->ran)
    fleet_break (fleet, FLEET_TRUE_REFUSAL, request, "request ran");
  if (outcome == SETTLE_COMPLETE
      && (key->runs != 1 || key->runner != request->id))
    fleet_break (fleet, FLEET_ACK_RAN_ONCE, request, "acknowledged");
}

static void
dispatch_send (struct fleet *fleet, struct fleet_request *request)
{
  fleet->keys[request->key].handed++;
  fleet_message (fleet,
                 (struct fleet_message){ .kind = MESSAGE_DISPATCH,
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
  request->next_ns = fleet_now (fleet);
  if (!g_ptr_array_find (fleet->active, request, NULL))
    g_ptr_array_add (fleet->active, request);
}

static void
gateway_answer (struct fleet *fleet, struct fleet_request *request,
                const struct fleet_message *message)
{
  const struct fleet_key *key = &fleet->keys[request->key];
  bool waiting = request->settle.state == SETTLE_GRANT_WAIT;

  if (message->result == ONCE_GRANTED)
    {
      if (settle_grant (&request->settle) == STATUS_OK)
        request->next_ns = fleet_now (fleet) + FLEET_STEP_NS;
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
        fleet_break (fleet, FLEET_FIRST_OUTCOME, request, "replayed");
      else if (fleet_request (fleet, key->runner)->body != request->body)
        fleet_break (fleet, FLEET_CONFLICT, request, "replayed to another");
      request_finish (fleet, request, SETTLE_REPLAYED);
      break;
    case ONCE_CONFLICT:
      if (key->bodies == 1u << request->body)
        fleet_break (fleet, FLEET_CONFLICT, request, "only one body");
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
  request->next_ns = fleet_now (fleet) + 2 * FLEET_STEP_NS;
}

static void
gateway_wait (struct fleet *fleet, struct fleet_request *request)
{
  int64_t deadline = request->begun_ns + fleet->request_timeout_ns;

  if (fleet_now (fleet) >= deadline)
    {
      request_finish (fleet, request, SETTLE_REFUSED_NOT_RUN);
      return;
    }
  settle_ask (&request->settle);
  shard_tell (fleet, request, MESSAGE_BEGIN);
  request->next_ns = MIN (fleet_now (fleet) + ASK_NS, deadline);
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
      request->next_ns = fleet_now (fleet) + RUN_TIMEOUT_NS;
      break;
    case SETTLE_FINISHED:
      if (request->record == SETTLE_RECORD_NONE)
        break;
      shard_tell (fleet, request,
                  request->record == SETTLE_RECORD_END ? MESSAGE_END
                                                       : MESSAGE_RELEASE);
      request->next_ns = fleet_now (fleet) + ASK_NS;
      break;
    default:
      settle_cut (settle, settle->attempt);
      request_finish (fleet, request, SETTLE_FAILED_MAY_HAVE_RUN);
    }
}

void
fleet_gateways_tick (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->active->len;)
    {
      struct fleet_request *request = fleet->active->pdata[i];
      const struct fleet_gateway *gateway = &fleet->gateways[request->gateway];
      bool rest = request->settle.state == SETTLE_FINISHED
                  && request->record == SETTLE_RECORD_NONE;

      if (!request->dropped && !gateway->paused
          && fleet_now (fleet) >= request->next_ns)
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
  request->begun_ns = fleet_now (fleet);
  request->next_ns = fleet_now (fleet) + FLEET_STEP_NS;
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

static void
gateway_cut (struct fleet *fleet, struct fleet_request *request,
             unsigned attempt)
{
  if (settle_cut (&request->settle, attempt) != STATUS_OK)
    return;
  if (fleet->mutant == FLEET_GRANT_USED_TWICE)
    dispatch_send (fleet, request);
  if (settle_may_connect (&request->settle))
    request->next_ns = fleet_now (fleet);
  else
    request_finish (fleet, request, SETTLE_FAILED_MAY_HAVE_RUN);
}

static void
gateway_started (struct fleet *fleet, struct fleet_request *request,
                 unsigned attempt)
{
  struct fleet_message message = { .kind = MESSAGE_COMPLETE,
                                   .request = request->id,
                                   .attempt = attempt };

  if (settle_answering (&request->settle, attempt) != STATUS_OK)
    return;
  fleet_message (fleet, message);
  g_array_index (fleet->messages, struct fleet_message,
                 fleet->messages->len - 1)
      .due_ns
      += RUN_NS;
}

void
fleet_gateway_deliver (struct fleet *fleet, struct fleet_request *request,
                       const struct fleet_message *message)
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
      request->next_ns = fleet_now (fleet);
      break;
    case MESSAGE_COMPLETE:
      if (request->settle.state == SETTLE_RUNNING)
        request_finish (fleet, request, SETTLE_COMPLETE);
      break;
    default:
      gateway_cut (fleet, request, message->attempt);
    }
}
