#include "request.h"
#include "jsonresponse.h"
#include "filters.h"
#include "gateway.h"
#include "grant.h"
#include "poisonguard.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

static const request_filter completion_filters[]
    = { auth_filter,  classify_filter, admission_filter, poisonguard_filter,
        grant_filter, lookup_filter,   dispatch_filter,  NULL };
static const request_filter service_filters[] = { auth_filter,
                                                  classify_filter,
                                                  admission_filter,
                                                  poisonguard_filter,
                                                  grant_filter,
                                                  dispatch_filter,
                                                  NULL };

static void
request_free (struct request *request)
{
  load_remove_request (&request->load);
  list_remove (&request->node);
  list_remove (&request->admitted_node);
  g_hash_table_remove (request->gateway->requests_by_serial, &request->serial);
  request->gateway->request_count--;
  relay_finish (&request->relay);
  if (request->response_body != NULL)
    g_string_free (request->response_body, TRUE);
  config_unref (request->config);
  json_object_put (request->json);
  g_free (request->method);
  g_free (request->path);
  g_free (request->idempotency_key);
  g_free (request->body);
  g_free (request->content_type);
  g_free (request->prompt);
  g_free (request->held_body);
  g_free (request);
}

/* A request that ends while its filters run is freed by run_filters. */
static void
request_finish (struct request *request)
{
  request->finished = true;
  dispatch_close (request);
  poisonguard_attempt_ended (request,
                             request->state.outcome == REQUESTSTATE_COMPLETE
                                 ? POISON_OUTCOME_COMPLETED
                                 : POISON_OUTCOME_INCONCLUSIVE);
  admission_request_ended (request);
  if (!request->filters_running)
    request_free (request);
}

static void
run_filters (struct request *request)
{
  request->filters_running = true;
  while (!request->finished && *request->filter != NULL)
    {
      enum filter_result verdict = (*request->filter) (request);

      if (verdict != FILTER_PASS)
        break;
      request->filter++;
    }
  request->filters_running = false;
  if (request->finished)
    request_free (request);
}

static void
caller_disconnected (void *data)
{
  struct request *request = data;

  request->http = NULL;
  /* A request that may run only once continues after its dispatch although
   * the caller disconnected, so that its outcome is recorded. */
  if (request->idempotent || request->state.phase < REQUESTSTATE_CONNECTING)
    request_cancel (request);
}

static void
record_end (struct request *request, enum requeststate_outcome outcome,
            const char *code)
{
  struct metrics *metrics = &request->gateway->process.metrics;
  int64_t now = clock_now (&request->gateway->process.clock);
  const char *organisation = request->organisation != NULL
                                 ? request->organisation->organisation
                                 : "";
  const char *kind = request->kind != NULL ? request->kind->name : "";
  char labels[256];

  g_snprintf (labels, sizeof labels,
              "organisation=\"%s\",kind=\"%s\",outcome=\"%s\",code=\"%s\"",
              organisation, kind, requeststate_outcome_name (outcome), code);
  metrics_add (metrics, "requests", labels, 1);
  log_event (&request->gateway->process.log, EVENT_REQUEST_END,
             "request=%s organisation=%s kind=%s outcome=%s code=%s "
             "total_ms=%.3f cached_tokens=%" G_GINT64_FORMAT
             " imported_tokens=%" G_GINT64_FORMAT
             " computed_tokens=%" G_GINT64_FORMAT,
             request->id, organisation, kind,
             requeststate_outcome_name (outcome), code,
             (double)(now - request->received_ns) / NS_PER_MS,
             request->cached_tokens, request->imported_tokens,
             request->computed_tokens);
}

void
request_begin (struct gateway *gateway, struct httpserver_request *http,
               enum request_type type, const char *path)
{
  struct request *request = g_new0 (struct request, 1);

  request->gateway = gateway;
  request->http = http;
  request->type = type;
  request->path = g_strdup (path);
  request->received_ns = clock_now (&gateway->process.clock);
  request->filter
      = type == REQUEST_COMPLETION ? completion_filters : service_filters;
  request->next_action_ns = CLOCK_NEVER;
  requeststate_init (&request->state, true, REQUEST_BACKENDS_MAX);
  list_init (&request->load.node);
  list_init (&request->node);
  list_init (&request->admitted_node);
  list_init (&request->poison_check.node);
  list_append (&gateway->requests, &request->node);
  gateway->request_count++;
  request->serial = ++gateway->last_serial;
  g_hash_table_insert (gateway->requests_by_serial, &request->serial, request);
  g_snprintf (request->id, sizeof request->id,
              "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              gateway->process.id ^ gateway->process.incarnation,
              request->serial);
  httpserver_request_on_disconnect (http, caller_disconnected, request);
  run_filters (request);
}

/* The handle that request_handle_new returns. It finds a request without a
 * pointer to it, as the request may have ended. */
struct handle
{
  struct gateway *gateway;
  uint64_t serial;
};

void *
request_handle_new (const struct request *request)
{
  struct handle *handle = g_new (struct handle, 1);

  handle->gateway = request->gateway;
  handle->serial = request->serial;
  return handle;
}

struct request *
request_from_handle (const void *data)
{
  const struct handle *handle = data;

  return g_hash_table_lookup (handle->gateway->requests_by_serial,
                              &handle->serial);
}

void
request_free_prompt (struct request *request)
{
  json_object_put (request->json);
  request->json = NULL;
  request->adapter = NULL;
  g_free (request->prompt);
  request->prompt = NULL;
}

void
request_continue (struct request *request)
{
  assert (!request->filters_running && *request->filter != NULL);
  request->filter++;
  run_filters (request);
}

void
request_end_without_response (struct request *request,
                              enum requeststate_outcome outcome,
                              const char *code)
{
  grant_request_ended (request,
                       requeststate_finish (&request->state, outcome));
  record_end (request, outcome, code);
  request_finish (request);
}

void
request_end_with_error (struct request *request,
                        enum requeststate_outcome outcome,
                        const struct refusal *refusal)
{
  jsonresponse_end_request (request, outcome, refusal);
  request_end_without_response (request, outcome, refusal->code);
}

void
request_fail (struct request *request, const struct refusal *refusal)
{
  dispatch_note_handed_over (request);
  request_end_with_error (
      request, requeststate_incomplete_outcome (&request->state), refusal);
}

void
request_complete (struct request *request)
{
  request_end_without_response (request, REQUESTSTATE_COMPLETE, "");
}

void
request_cancel (struct request *request)
{
  dispatch_note_handed_over (request);
  request_end_without_response (
      request, requeststate_incomplete_outcome (&request->state),
      "caller_gone");
}
