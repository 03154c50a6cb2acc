#include "grant.h"
#include "jsonresponse.h"
#include "filters.h"
#include "onceshard.h"

#include <glib.h>
#include <string.h>

#define REPLY_TIMEOUT_NS (2 * NS_PER_S)

static const struct grantrequest_settings grant_settings = {
  .retry_interval_ns = 250 * NS_PER_MS,
  .report_timeout_ns = 600 * NS_PER_S,
  .late_grant_wait_ns = 30 * NS_PER_S,
};

static const struct refusal in_progress
    = { 409, "in_progress", "a request with this key is running", NS_PER_S };
static const struct refusal key_conflict
    = { 422, "key_conflict", "this key was used with another request", 0 };
static const struct refusal may_have_run
    = { 502, "may_have_run",
        "an earlier request with this key may have run; its outcome is not "
        "known",
        0 };
static const struct refusal no_grant
    = { 503, "no_grant",
        "the record that makes this request run only once could not be "
        "written now; no earlier request with this key ran",
        2 * NS_PER_S };
static const struct refusal no_owner_reply
    = { 503, "no_grant_key_unknown",
        "the record that makes this request run only once could not be "
        "reached; whether an earlier request with this key ran is not known "
        "here",
        2 * NS_PER_S };

static struct once_digest
request_fingerprint (const struct request *request)
{
  GString *text = g_string_new (NULL);
  struct once_digest digest;

  g_string_append_printf (text, "%s\n%s\n", request->method, request->path);
  g_string_append_len (text, request->body, (gssize)request->body_size);
  digest = once_digest_of (text->str, text->len);
  g_string_free (text, TRUE);
  return digest;
}

/* Sends the recorded outcome to the caller: the status and, unless it was too
 * long to record, the body. */
static void
respond_with_record (struct request *request,
                     const struct once_outcome *outcome)
{
  struct httpserver_header headers[] = {
    { "x-request-id", request->id },
    { "x-outcome", requeststate_outcome_name (REQUESTSTATE_REPLAYED) },
  };
  const char *body = "{\"replayed\":true}";
  size_t size = strlen (body);

  if (outcome->has_body)
    {
      body = outcome->body_size > 0 ? (const char *)outcome->body : "";
      size = outcome->body_size;
    }
  if (request->http != NULL)
    httpserver_respond (request->http, (int)outcome->status,
                        "application/json", headers, 2, body, size);
  request->http = NULL;
  request_end_without_response (request, REQUESTSTATE_REPLAYED, "");
}

static void
refuse (struct request *request, const struct once_reply *reply)
{
  struct refusal refusal = reply->key_unknown ? no_owner_reply : no_grant;

  if (reply->retry_after_ns > 0)
    refusal.retry_after_ns = reply->retry_after_ns;
  request_end_with_error (request, REQUESTSTATE_REFUSED_NOT_RUN, &refusal);
}

static void
grant_reply_received (struct grantrequests *grants, struct grantrequest *grant,
                      const struct once_reply *reply)
{
  struct request *request = grant->data;

  switch (reply->result)
    {
    case ONCE_GRANTED:
      requeststate_granted (&request->state);
      request_continue (request);
      break;
    case ONCE_IN_PROGRESS:
      request_end_with_error (request, REQUESTSTATE_IN_PROGRESS, &in_progress);
      break;
    case ONCE_REPLAYED:
      respond_with_record (request, &reply->outcome);
      break;
    case ONCE_CONFLICT:
      request_end_with_error (request, REQUESTSTATE_REFUSED_NOT_RUN,
                              &key_conflict);
      break;
    case ONCE_MAY_HAVE_RUN:
      request_end_with_error (request, REQUESTSTATE_FAILED_MAY_HAVE_RUN,
                              &may_have_run);
      break;
    default:
      refuse (request, reply);
    }
}

/* A message to an owner whose reply is pending. */
struct pending_message
{
  struct gateway *gateway;
  uint64_t request_id;
};

static void
process_reply (struct gateway *gateway, uint64_t request_id,
               const Peer__OnceAnswer *message)
{
  struct once_reply reply = {
    .request_id = request_id,
    .gateway_incarnation = gateway->process.incarnation,
    .key_unknown = message->key_unknown,
    .retry_after_ns = message->retry_after_ms * NS_PER_MS,
  };

  if (message->result >= ONCE_RESULT_COUNT)
    return;
  reply.result = (enum once_result)message->result;
  if (message->outcome != NULL)
    {
      reply.outcome.status = message->outcome->status;
      reply.outcome.has_body = message->outcome->whole;
      reply.outcome.body = message->outcome->body.data;
      reply.outcome.body_size = message->outcome->body.len;
    }
  grantrequests_reply_received (&gateway->grant_requests, &reply);
}

/* Handles the end of a call to an owner. If there was no reply,
 * grantrequests_tick resends the message. */
static void
reply_received (void *data, enum status status, const Peer__Envelope *reply)
{
  struct pending_message *message = data;
  struct gateway *gateway = message->gateway;
  uint64_t request_id = message->request_id;

  g_free (message);
  if (status != STATUS_OK)
    return;
  if (reply->body_case == PEER__ENVELOPE__BODY_ONCE_ANSWER)
    process_reply (gateway, request_id, reply->once_answer);
  else if (reply->body_case == PEER__ENVELOPE__BODY_ONCE_RECORDED)
    grantrequests_recorded (&gateway->grant_requests, request_id,
                            (enum status)reply->once_recorded->status);
}

static void
fill_begin (Peer__OnceBegin *begin, const struct grantrequest *grant,
            int64_t now)
{
  int64_t time_left_ns = grant->deadline_ns - now;

  begin->fingerprint.data = (uint8_t *)grant->fingerprint.bytes;
  begin->fingerprint.len = sizeof grant->fingerprint.bytes;
  begin->wait_ms = time_left_ns > 0 ? (uint32_t)(time_left_ns / NS_PER_MS) : 0;
}

static void
fill_outcome (Peer__OnceOutcome *message, const struct once_outcome *outcome)
{
  message->status = outcome->status;
  message->digest.data = (uint8_t *)outcome->digest.bytes;
  message->digest.len = sizeof outcome->digest.bytes;
  message->whole = outcome->has_body;
  message->body.data = (uint8_t *)outcome->body;
  message->body.len = outcome->has_body ? outcome->body_size : 0;
}

static void
send_message (struct grantrequests *grants, const struct grantrequest *grant)
{
  struct gateway *gateway
      = LIST_ENTRY (grants, struct gateway, grant_requests);
  const struct roster_entry *owner
      = roster_preferred_owner (&gateway->process.roster, grant->partition);
  struct pending_message *message;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__OnceRequest request = PEER__ONCE_REQUEST__INIT;
  Peer__OnceBegin begin = PEER__ONCE_BEGIN__INIT;
  Peer__OnceEnd end = PEER__ONCE_END__INIT;
  Peer__OnceOutcome outcome = PEER__ONCE_OUTCOME__INIT;

  if (owner == NULL)
    return;
  request.organisation = (char *)grant->request.organisation;
  request.key = (char *)grant->request.key;
  request.request = grant->request.request;
  request.gateway = grant->request.gateway_incarnation;
  begin.request = &request;
  end.request = &request;
  if (grant->state == GRANTREQUEST_WAITING)
    {
      fill_begin (&begin, grant, clock_now (&gateway->process.clock));
      envelope.body_case = PEER__ENVELOPE__BODY_ONCE_BEGIN;
      envelope.once_begin = &begin;
    }
  else
    {
      fill_outcome (&outcome, &grant->outcome);
      end.outcome = grant->reports_end ? &outcome : NULL;
      envelope.body_case = PEER__ENVELOPE__BODY_ONCE_END;
      envelope.once_end = &end;
    }
  message = g_new0 (struct pending_message, 1);
  message->gateway = gateway;
  message->request_id = grant->request.request;
  peer_endpoint_request (&gateway->process.peers, owner->peer_address,
                         &envelope, REPLY_TIMEOUT_NS, reply_received, message);
}

static const struct grantrequest_ops grant_ops
    = { send_message, grant_reply_received };

enum filter_result
grant_filter (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct once_request key = {
    .organisation = request->organisation->organisation,
    .key = request->idempotency_key,
    .request = request->serial,
    .gateway_incarnation = gateway->process.incarnation,
  };
  struct once_digest fingerprint;

  if (request->idempotent)
    return FILTER_PASS;
  fingerprint = request_fingerprint (request);
  requeststate_grant_requested (&request->state);
  request->grant
      = grantrequests_begin (&gateway->grant_requests, &key, &fingerprint,
                             request->deadline_ns, request);
  return FILTER_WAIT;
}

static void
fill_recorded_outcome (const struct request *request,
                       struct once_outcome *outcome)
{
  const GString *body = request->response_body;

  outcome->status = ONCE_STATUS_UNKNOWN;
  if (request->state.outcome != REQUESTSTATE_COMPLETE)
    return;
  outcome->status = (unsigned)request->attempt.http_status;
  if (body == NULL)
    return;
  outcome->digest = once_digest_of (body->str, body->len);
  outcome->has_body = body->len <= ONCE_OUTCOME_BODY_MAX;
  outcome->body = (const uint8_t *)body->str;
  outcome->body_size = outcome->has_body ? body->len : 0;
}

void
grant_request_ended (struct request *request, enum requeststate_record record)
{
  struct once_outcome outcome = { 0 };

  if (request->grant == NULL)
    return;
  fill_recorded_outcome (request, &outcome);
  grantrequests_end (&request->gateway->grant_requests, request->grant, record,
                     &outcome);
  request->grant = NULL;
}

void
grant_tick (struct gateway *gateway)
{
  grantrequests_tick (&gateway->grant_requests);
}

size_t
grant_has_pending (const struct gateway *gateway)
{
  return grantrequests_are_closed (&gateway->grant_requests) ? 0 : 1;
}

void
grant_init (struct gateway *gateway)
{
  grantrequests_init (&gateway->grant_requests, &grant_settings, &grant_ops,
                      &gateway->process.clock, ONCESHARD_PARTITION_COUNT);
}

void
grant_finish (struct gateway *gateway)
{
  grantrequests_finish (&gateway->grant_requests);
}
