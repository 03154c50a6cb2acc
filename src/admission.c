#include "admission.h"
#include "filters.h"

#include <glib.h>
#include <string.h>

enum
{
  URGENT_PRIORITY_MAX = 2, /* Requests of priority 0 to 2 are urgent. */
  /* Requests of priority 3 to 6 are standard; all others are bulk. */
  STANDARD_PRIORITY_MAX = 6,
  MILLI_PER_REQUEST = 1000
};

static const char *const refusal_messages[ADMIT_CODE_COUNT] = {
  [ADMIT_QUEUE_FULL] = "the queue is full",
  [ADMIT_ORGANISATION_QUEUE_FULL]
  = "this organisation's part of the queue is full",
  [ADMIT_ORGANISATION_RATE] = "over this organisation's rate",
  [ADMIT_DEADLINE_UNREACHABLE] = "it would be answered after its deadline",
  [ADMIT_DEADLINE_PASSED] = "its deadline can no longer be met",
};

static enum priority
priority_class (int priority)
{
  if (priority <= URGENT_PRIORITY_MAX)
    return PRIORITY_URGENT;
  return priority <= STANDARD_PRIORITY_MAX ? PRIORITY_STANDARD : PRIORITY_BULK;
}

static struct admit *
request_queue (const struct request *request)
{
  return &request->gateway->admit[request->type];
}

static void
refuse (struct request *request, const struct admit_refusal *reason)
{
  struct gateway *gateway = request->gateway;
  struct refusal refusal
      = { 429, admit_code_name (reason->code), refusal_messages[reason->code],
          reason->retry_after_ns };
  char labels[192];

  g_snprintf (labels, sizeof labels, "organisation=\"%s\",code=\"%s\"",
              request->organisation->organisation, refusal.code);
  metrics_add (&gateway->process.metrics, "refusals", labels, 1);
  log_event (&gateway->process.log, EVENT_ADMIT_REFUSED,
             "request=%s organisation=%s kind=%s code=%s "
             "retry_after_ms=%" G_GINT64_FORMAT,
             request->id, request->organisation->organisation,
             request->kind != NULL ? request->kind->name : "", refusal.code,
             reason->retry_after_ns / NS_PER_MS);
  request_fail (request, &refusal);
}

/* Resumes the admitted requests. A resumed request may end at once, which
 * admits the next one; the loop avoids recursion. */
static void
resume_admitted (struct gateway *gateway)
{
  if (gateway->is_starting_requests)
    return;
  gateway->is_starting_requests = true;
  while (!list_empty (&gateway->starting_requests))
    {
      struct request *request = LIST_ENTRY (gateway->starting_requests.next,
                                            struct request, admitted_node);

      list_remove (&request->admitted_node);
      requeststate_admitted (&request->state);
      request_continue (request);
    }
  gateway->is_starting_requests = false;
}

static void
request_admitted (void *data, struct admit_request *admit)
{
  struct request *request = LIST_ENTRY (admit, struct request, admission);
  struct gateway *gateway = data;

  list_append (&gateway->starting_requests, &request->admitted_node);
  metrics_observe (
      &gateway->process.metrics, "queue_wait_seconds", "",
      (double)(clock_now (&gateway->process.clock) - request->received_ns)
          / NS_PER_S);
  resume_admitted (gateway);
}

static void
request_refused (void *data, struct admit_request *admit,
                 const struct admit_refusal *reason)
{
  refuse (LIST_ENTRY (admit, struct request, admission), reason);
}

static const struct admit_ops admission_ops
    = { request_admitted, request_refused };

void
admission_init (struct gateway *gateway)
{
  const struct settings *settings = gateway->settings;
  struct admit_settings admit = {
    .concurrency = (unsigned)settings->admission.concurrency,
    .queue_limit = (unsigned)settings->admission.queue_limit,
    .organisation_queue_limit
    = (unsigned)settings->admission.organisation_queue_limit,
    .organisation_share = settings->admission.organisation_share,
    .urgent_share = settings->admission.urgent_share,
  };

  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    {
      admit.class_weights[priority]
          = settings->admission.classes[priority].weight;
      admit.class_queue_limits[priority]
          = (unsigned)settings->admission.classes[priority].queue_limit;
    }
  list_init (&gateway->starting_requests);
  for (int type = 0; type < REQUEST_TYPE_COUNT; type++)
    admit_init (&gateway->admit[type], &admit, &gateway->process.clock,
                &gateway->process.rng, &admission_ops, gateway);
}

void
admission_finish (struct gateway *gateway)
{
  for (int type = 0; type < REQUEST_TYPE_COUNT; type++)
    admit_finish (&gateway->admit[type]);
}

static void
configure_organisation (struct gateway *gateway, const struct declaration *row)
{
  if (row->type != DECLARATION_ORGANISATION)
    return;
  for (int type = 0; type < REQUEST_TYPE_COUNT; type++)
    admit_set_organisation (
        &gateway->admit[type], row->organisation, row->weight,
        (int64_t)row->requests_per_s * MILLI_PER_REQUEST, row->requests_per_s);
}

void
admission_configure (struct gateway *gateway)
{
  GPtrArray *documents = config_documents (gateway->config);

  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];

      for (size_t row = 0; row < document->row_count; row++)
        configure_organisation (gateway, &document->rows[row]);
    }
  g_ptr_array_unref (documents);
}

enum filter_result
admission_filter (struct request *request)
{
  struct admit_refusal reason;

  request->admission.organisation = request->organisation->organisation;
  request->admission.priority = priority_class (request->priority);
  request->admission.cost = 1;
  if (request->type == REQUEST_COMPLETION)
    {
      request->admission.cost
          = (double)(request->prompt_tokens + request->max_tokens);
      request->admission.response_cost = (double)request->prompt_tokens;
    }
  request->admission.deadline_ns = request->deadline_ns;
  request->admission.status_lookup = request->status_lookup;
  switch (admit_submit (request_queue (request), &request->admission, &reason))
    {
    case ADMIT_RUN_NOW:
      requeststate_admitted (&request->state);
      return FILTER_PASS;
    case ADMIT_QUEUED:
      return FILTER_WAIT;
    default:
      refuse (request, &reason);
      return FILTER_FINISHED;
    }
}

void
admission_response_started (struct request *request)
{
  admit_response_started (request_queue (request), &request->admission);
}

void
admission_request_ended (struct request *request)
{
  if (request->admission.state == ADMIT_IDLE)
    return;
  if (request->state.outcome == REQUESTSTATE_COMPLETE)
    admit_ended (request_queue (request), &request->admission, true);
  else
    admit_cancel (request_queue (request), &request->admission);
}
