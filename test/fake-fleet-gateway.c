#include "fake-fleet-parts.h"

#include <stdio.h>
#include <string.h>

#define RUN_NS (30 * NS_PER_MS)
#define RUN_TIMEOUT_NS (3 * NS_PER_S)

void
fleet_gateway_kill (struct fleet *fleet, unsigned index)
{
  struct fleet_gateway *gateway = &fleet->gateways[index];

  if (!gateway->alive)
    return;
  gateway->alive = false;
  gateway->changed_ns = fleet_now (fleet);
  grantrequests_finish (&gateway->asks);
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
on_send (struct grantrequests *asks, const struct grantrequest *ask)
{
  struct fleet *fleet = LIST_ENTRY (asks, struct fleet_gateway, asks)->fleet;
  const struct fleet_request *request
      = fleet_request (fleet, ask->request.request);
  bool all = ask->state == GRANTREQUEST_WAITING && fleet->faults.all_owners;
  struct fleet_message message
      = { .kind = MESSAGE_BEGIN, .request = request->id, .key = request->key };
  int64_t left = ask->deadline_ns - fleet_now (fleet);

  if (ask->state != GRANTREQUEST_WAITING)
    message.kind = ask->reports_end ? MESSAGE_END : MESSAGE_RELEASE;
  message.span_ms = (unsigned)(MAX (left, 0) / NS_PER_MS);
  message.shard = all ? 0 : fleet_owner (fleet, request->key);
  do
    fleet_message (fleet, message);
  while (all && ++message.shard < FLEET_SHARDS);
}

static void
request_finish (struct fleet *fleet, struct fleet_request *request,
                enum requeststate_outcome outcome)
{
  const struct fleet_key *key = &fleet->keys[request->key];
  struct once_outcome none = { 0 }; /* the shard's message makes it up */

  if (!requeststate_allows (&request->settle, outcome))
    outcome = requeststate_incomplete_outcome (&request->settle);
  request->record = requeststate_finish (&request->settle, outcome);
  if (request->ask != NULL)
    grantrequests_end (&fleet->gateways[request->gateway].asks, request->ask,
                       request->record, &none);
  fleet->outcomes[outcome]++;
  if (outcome == REQUESTSTATE_REFUSED_NOT_RUN && request->ran)
    fleet_break (fleet, FLEET_TRUE_REFUSAL, request, "request ran");
  if (outcome == REQUESTSTATE_COMPLETE
      && (key->runs != 1 || key->runner != request->id))
    fleet_break (fleet, FLEET_ACK_RAN_ONCE, request, "acknowledged");
}

static void
dispatch_send (struct fleet *fleet, struct fleet_request *request)
{
  fleet->keys[request->key].handed++;
  fleet_message (fleet, (struct fleet_message){
                            .kind = MESSAGE_DISPATCH,
                            .request = request->id,
                            .attempt = request->settle.attempt_number });
}

static void
replayed_check (struct fleet *fleet, const struct fleet_request *request,
                const struct once_reply *answer)
{
  const struct fleet_key *key = &fleet->keys[request->key];
  uint64_t runner;

  memcpy (&runner, answer->outcome.body, sizeof runner);
  if (key->runs != 1 || key->runner != runner)
    fleet_break (fleet, FLEET_FIRST_OUTCOME, request, "replayed");
  else if (fleet_request (fleet, key->runner)->body != request->body)
    fleet_break (fleet, FLEET_CONFLICT, request, "replayed to another");
}

static void
on_answer (struct grantrequests *asks, struct grantrequest *ask,
           const struct once_reply *answer)
{
  struct fleet *fleet = LIST_ENTRY (asks, struct fleet_gateway, asks)->fleet;
  struct fleet_request *request = ask->data;

  switch (answer->result)
    {
    case ONCE_GRANTED:
      if (requeststate_granted (&request->settle) == STATUS_OK)
        request->next_ns = fleet_now (fleet) + FLEET_STEP_NS;
      break;
    case ONCE_REPLAYED:
      replayed_check (fleet, request, answer);
      request_finish (fleet, request, REQUESTSTATE_REPLAYED);
      break;
    case ONCE_IN_PROGRESS:
      request_finish (fleet, request, REQUESTSTATE_IN_PROGRESS);
      break;
    case ONCE_MAY_HAVE_RUN:
      request_finish (fleet, request, REQUESTSTATE_FAILED_MAY_HAVE_RUN);
      break;
    case ONCE_CONFLICT:
      if (fleet->keys[request->key].bodies == 1u << request->body)
        fleet_break (fleet, FLEET_CONFLICT, request, "only one body");
      request_finish (fleet, request, REQUESTSTATE_REFUSED_NOT_RUN);
      break;
    default:
      request_finish (fleet, request, REQUESTSTATE_REFUSED_NOT_RUN);
    }
}

static const struct grantrequest_ops ask_ops = { on_send, on_answer };

void
fleet_gateway_start (struct fleet *fleet, unsigned index)
{
  static const struct grantrequest_settings settings = {
    .retry_interval_ns = 400 * NS_PER_MS,
    .report_timeout_ns = 600 * NS_PER_S,
    .late_grant_wait_ns = 60 * NS_PER_S,
  };
  struct fleet_gateway *gateway = &fleet->gateways[index];

  fleet_gateway_kill (fleet, index);
  *gateway = (struct fleet_gateway){ .fleet = fleet,
                                     .incarnation = ++fleet->incarnation,
                                     .alive = true,
                                     .changed_ns = fleet_now (fleet) };
  grantrequests_init (&gateway->asks, &settings, &ask_ops, &fleet->clock.clock,
                      fleet->owner_settings.partition_count);
}

static void
gateway_connect (struct fleet *fleet, struct fleet_request *request)
{
  if (fleet->faults.no_backend
      || !requeststate_may_begin_attempt (&request->settle))
    {
      request_finish (fleet, request,
                      requeststate_incomplete_outcome (&request->settle));
      return;
    }
  requeststate_begin_attempt (&request->settle);
  request->next_ns = fleet_now (fleet) + 2 * FLEET_STEP_NS;
}

static void
gateway_ask (struct fleet *fleet, struct fleet_request *request)
{
  struct once_request key = fleet_key_of (fleet, request, request->key);
  struct once_digest fingerprint
      = once_digest_of (&request->body, sizeof request->body);

  if (fleet->mutant == FLEET_NO_FINGERPRINT)
    memset (&fingerprint, 0, sizeof fingerprint);
  requeststate_grant_requested (&request->settle);
  request->next_ns = CLOCK_NEVER;
  request->ask = grantrequests_begin (
      &fleet->gateways[request->gateway].asks, &key, &fingerprint,
      request->begun_ns + fleet->request_timeout_ns, request);
}

/* The next step of a request at its gateway. */
static void
gateway_step (struct fleet *fleet, struct fleet_request *request)
{
  struct requeststate *settle = &request->settle;

  switch (settle->phase)
    {
    case REQUESTSTATE_RECEIVED:
      requeststate_admitted (settle);
      break;
    case REQUESTSTATE_ADMITTED:
      gateway_ask (fleet, request);
      break;
    case REQUESTSTATE_GRANTED:
      gateway_connect (fleet, request);
      break;
    case REQUESTSTATE_CONNECTING:
      requeststate_handed_over (settle, settle->attempt_number);
      dispatch_send (fleet, request);
      request->next_ns = fleet_now (fleet) + RUN_TIMEOUT_NS;
      break;
    case REQUESTSTATE_FINISHED:
      break;
    default:
      requeststate_connection_lost (settle, settle->attempt_number);
      request_finish (fleet, request, REQUESTSTATE_FAILED_MAY_HAVE_RUN);
    }
}

void
fleet_gateways_tick (struct fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_GATEWAYS; i++)
    if (fleet->gateways[i].alive && !fleet->gateways[i].paused)
      grantrequests_tick (&fleet->gateways[i].asks);
  for (guint i = 0; i < fleet->active->len;)
    {
      struct fleet_request *request = fleet->active->pdata[i];
      const struct fleet_gateway *gateway = &fleet->gateways[request->gateway];

      if (!request->dropped && !gateway->paused
          && fleet_now (fleet) >= request->next_ns)
        gateway_step (fleet, request);
      if (request->dropped || request->settle.phase == REQUESTSTATE_FINISHED)
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
  requeststate_init (&request->settle, false, 2);
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
  if (requeststate_connection_lost (&request->settle, attempt) != STATUS_OK)
    return;
  if (fleet->mutant == FLEET_GRANT_USED_TWICE)
    dispatch_send (fleet, request);
  if (requeststate_may_begin_attempt (&request->settle))
    request->next_ns = fleet_now (fleet);
  else
    request_finish (fleet, request, REQUESTSTATE_FAILED_MAY_HAVE_RUN);
}

static void
gateway_started (struct fleet *fleet, struct fleet_request *request,
                 unsigned attempt)
{
  struct fleet_message message = { .kind = MESSAGE_COMPLETE,
                                   .request = request->id,
                                   .attempt = attempt };

  if (requeststate_response_started (&request->settle, attempt) != STATUS_OK)
    return;
  fleet_message (fleet, message);
  g_array_index (fleet->messages, struct fleet_message,
                 fleet->messages->len - 1)
      .due_ns
      += RUN_NS;
}

static void
gateway_answer (struct fleet *fleet, struct fleet_request *request,
                const struct fleet_message *message)
{
  struct once_reply answer = {
    .request_id = message->request,
    .gateway_incarnation = request->incarnation,
    .result = message->result,
    .key_unknown = message->key_unknown,
    .outcome = { .status = 200, .has_body = true },
  };

  answer.outcome.body = (const uint8_t *)&message->runner;
  answer.outcome.body_size = sizeof message->runner;
  if (fleet->mutant == FLEET_LATE_GRANT_USED && message->result == ONCE_GRANTED
      && request->settle.phase == REQUESTSTATE_FINISHED
      && request->settle.outcome == REQUESTSTATE_REFUSED_NOT_RUN)
    dispatch_send (fleet, request);
  grantrequests_reply_received (&fleet->gateways[request->gateway].asks,
                                &answer);
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
      grantrequests_recorded (&fleet->gateways[request->gateway].asks,
                              request->id, message->status);
      break;
    case MESSAGE_STARTED:
      gateway_started (fleet, request, message->attempt);
      break;
    case MESSAGE_NOT_STARTED:
      if (requeststate_not_run (&request->settle, message->attempt)
          != STATUS_OK)
        break;
      fleet->keys[request->key].handed--;
      request->next_ns = fleet_now (fleet);
      break;
    case MESSAGE_COMPLETE:
      if (request->settle.phase == REQUESTSTATE_RUNNING)
        request_finish (fleet, request, REQUESTSTATE_COMPLETE);
      break;
    default:
      gateway_cut (fleet, request, message->attempt);
    }
}
