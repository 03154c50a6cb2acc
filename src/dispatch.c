#include "dispatch.h"
#include "enginebody.h"
#include "filters.h"
#include "outcome.h"

#include <glib.h>
#include <string.h>

static const char json_header[] = "content-type: application/json\r\n";

static struct engineclient *
engine_client (const struct request *request)
{
  return &request->gateway->process.enginehttp.client;
}

static struct backend *
attempt_backend (const struct request *request)
{
  return backends_find (&request->gateway->backends,
                        request->attempt.backend_id);
}

/* Write the request id of the current attempt to ID. Each attempt has another
 * id, so that the response to one attempt is not mistaken for the response to
 * another. */
static void
format_attempt_id (const struct request *request, char id[RELAY_ID_MAX])
{
  g_snprintf (id, RELAY_ID_MAX, "%s.%u", request->id, request->attempt.number);
}

static void
open_stream (struct request *request, uint64_t backend,
             const struct engine_call *call)
{
  struct attempt *attempt = &request->attempt;

  attempt->backend_id = backend;
  attempt->last_byte_ns = clock_now (&request->gateway->process.clock);
  attempt->not_run = false;
  attempt->stream = engine_client (request)->ops->open_stream (
      engine_client (request), call, &outcome_stream_ops, request);
}

static void
begin_attempt (struct request *request, struct backend *backend)
{
  struct attempt *attempt = &request->attempt;
  char id[RELAY_ID_MAX];

  memset (attempt, 0, sizeof *attempt);
  if (request->response_body != NULL)
    g_string_truncate (request->response_body, 0);
  request->response_too_large = false;
  attempt->number = requeststate_begin_attempt (&request->state);
  attempt->backend_id = backend->id;
  retry_begin_attempt (&request->gateway->retry, &request->retry);
  if (request->tried_backend_count > 0)
    retry_server_charge (&request->gateway->retry, backend->host.name);
  request->tried_backends[request->tried_backend_count++] = backend->id;
  backend->in_flight++;
  backend->sent_count++;
  format_attempt_id (request, id);
  relay_finish (&request->relay);
  relay_init (&request->relay, &outcome_relay_ops, id);
}

/* Ids of the engines that must not be chosen: engines that were tried already
 * and, for a request that must run alone because it may be a poison request,
 * engines that have work. */
static GArray *
engines_to_exclude (const struct request *request,
                    const struct load_group_key *group_key)
{
  const struct load *load = &request->gateway->backends.load;
  const struct load_group *group = load_find_group (load, group_key);
  GArray *excluded = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_array_append_vals (excluded, request->tried_backends,
                       request->tried_backend_count);
  for (guint i = 0;
       request->run_alone && group != NULL && i < group->members->len; i++)
    {
      const struct load_engine *engine
          = load_engine_at (load, g_array_index (group->members, uint32_t, i));

      if (engine->running_count > 0 || engine->queued_tokens > 0
          || engine->pending_tokens > 0)
        g_array_append_val (excluded, engine->id);
    }
  return excluded;
}

static void
log_no_engine (const struct request *request,
               const struct load_group_key *group_key, unsigned excluded)
{
  struct gateway *gateway = request->gateway;
  const struct load_group *group
      = load_find_group (&gateway->backends.load, group_key);
  struct backends_engine_counts counts
      = backends_count_engines (&gateway->backends, group_key->service);

  log_event (&gateway->process.log, EVENT_PLACE_NONE,
             "request=%s organisation=%s kind=%s attempts=%u alone=%s "
             "listed=%u usable=%u reporting=%u excluded=%u",
             request->id, request->organisation->organisation,
             request->kind->name, request->tried_backend_count,
             request->run_alone ? "yes" : "no", counts.listed, counts.usable,
             group != NULL ? group->members->len : 0, excluded);
}

static enum status
choose_engine (struct request *request, struct place_result *result)
{
  struct gateway *gateway = request->gateway;
  struct load_group_key group_key;
  GArray *excluded;
  enum status status;
  struct place_request place_request = {
    .group_key = &group_key,
    .match = &request->match,
    .prompt_tokens = request->prompt_tokens,
    .block_tokens = gateway->settings->placement.piece_tokens,
    .urgent = request->admission.priority == PRIORITY_URGENT,
  };
  char description[1024];

  load_group_key_init (&group_key, request->model->service,
                       request->scope.model, request->scope.version,
                       request->scope.adapter);
  excluded = engines_to_exclude (request, &group_key);
  place_request.excluded = (const uint64_t *)(const void *)excluded->data;
  place_request.excluded_count = excluded->len;
  status = place_choose (&gateway->place, &place_request, result);
  if (status != STATUS_OK)
    log_no_engine (request, &group_key, excluded->len);
  g_array_unref (excluded);
  if (status != STATUS_OK)
    return STATUS_UNAVAILABLE;
  place_format (&gateway->place, result, description, sizeof description);
  log_event (&gateway->process.log, EVENT_PLACE,
             "request=%s organisation=%s kind=%s %s", request->id,
             request->organisation->organisation, request->kind->name,
             description);
  return STATUS_OK;
}

static enum status
start_completion (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct place_result result;
  struct backend *backend;
  char id[RELAY_ID_MAX];

  if (choose_engine (request, &result) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  backend = backends_find (&gateway->backends, result.engine_id);
  if (backend == NULL)
    return STATUS_UNAVAILABLE;
  begin_attempt (request, backend);
  request->attempt.engine_incarnation
      = load_engine_at (&gateway->backends.load, result.engine_index)
            ->incarnation;
  place_commit (&gateway->place, &gateway->backends.load, &result,
                &request->load);
  request->planned_blocks = result.plan.reused_blocks;
  format_attempt_id (request, id);
  request->held_body
      = enginebody_write (request, id, &gateway->backends, &result);
  request->held_until_ns
      = clock_now (&gateway->process.clock) + result.hold_ns;
  lookup_report_sent (request);
  if (result.hold_ns == 0)
    dispatch_send_held_body (request);
  return STATUS_OK;
}

void
dispatch_send_held_body (struct request *request)
{
  const struct backend *backend = attempt_backend (request);
  struct engine_call call = { 0 };
  char *body = request->held_body;

  request->held_body = NULL;
  call.address = backend != NULL ? backend->host.address : "";
  call.method = "POST";
  call.path = request->path;
  call.header_lines = json_header;
  call.body = body;
  call.body_size = strlen (body);
  call.new_connection_only = !request->idempotent;
  open_stream (request, request->attempt.backend_id, &call);
  g_free (body);
}

static char *
service_headers (const struct request *request)
{
  GString *lines = g_string_new (NULL);

  g_string_append_printf (lines, "x-request-id: %s\r\n", request->id);
  if (request->idempotency_key != NULL)
    g_string_append_printf (lines, "idempotency-key: %s\r\n",
                            request->idempotency_key);
  if (request->content_type != NULL)
    g_string_append_printf (lines, "content-type: %s\r\n",
                            request->content_type);
  return g_string_free (lines, FALSE);
}

static enum status
start_service (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct backend *avoid = NULL;
  struct backend *backend;
  struct engine_call call = { 0 };
  char *lines;

  if (request->tried_backend_count > 0)
    avoid = backends_find (&gateway->backends, request->tried_backends[0]);
  backend = backends_pick_service_server (&gateway->backends,
                                          request->service->service, avoid);
  if (backend == NULL)
    return STATUS_UNAVAILABLE;
  log_event (&gateway->process.log, EVENT_ROUTE,
             "request=%s organisation=%s service=%s backend_server=%s "
             "in_flight=%u reason=fewest_in_flight",
             request->id, request->organisation->organisation,
             request->service->service, backend->host.name,
             backend->in_flight);
  begin_attempt (request, backend);
  lines = service_headers (request);
  call.address = backend->host.address;
  call.method = request->method;
  call.path = request->path;
  call.header_lines = lines;
  call.body = request->body;
  call.body_size = request->body_size;
  call.new_connection_only = !request->idempotent;
  open_stream (request, backend->id, &call);
  g_free (lines);
  return STATUS_OK;
}

enum status
dispatch_start_attempt (struct request *request)
{
  if (!requeststate_may_begin_attempt (&request->state)
      || request->tried_backend_count == REQUEST_BACKENDS_MAX)
    return STATUS_UNAVAILABLE;
  return request->type == REQUEST_COMPLETION ? start_completion (request)
                                             : start_service (request);
}

enum status
dispatch_resume (struct request *request)
{
  struct backend *backend = attempt_backend (request);
  struct engine_call call = { 0 };
  char id[RELAY_ID_MAX];
  char body[128];

  if (backend == NULL)
    return STATUS_UNAVAILABLE;
  format_attempt_id (request, id);
  g_snprintf (body, sizeof body,
              "{\"request\":\"%s\",\"from\":%" G_GUINT64_FORMAT "}", id,
              relay_next_sequence (&request->relay));
  call.address = backend->host.address;
  call.method = "POST";
  call.path = "/v1/resume";
  call.header_lines = json_header;
  call.body = body;
  call.body_size = strlen (body);
  call.new_connection_only = true;
  request->attempt.resumed = true;
  backend->in_flight++;
  open_stream (request, backend->id, &call);
  return STATUS_OK;
}

void
dispatch_close_attempt (struct request *request)
{
  struct attempt *attempt = &request->attempt;
  struct backend *backend = attempt_backend (request);

  if (attempt->backend_id != 0 && backend != NULL && backend->in_flight > 0)
    backend->in_flight--;
  attempt->backend_id = 0;
  g_free (request->held_body);
  request->held_body = NULL;
  load_remove_request (&request->load);
  if (attempt->stream == NULL)
    return;
  engine_client (request)->ops->stream_close (attempt->stream);
  attempt->stream = NULL;
}

void
dispatch_note_handed_over (struct request *request)
{
  struct attempt *attempt = &request->attempt;

  if (attempt->stream != NULL
      && request->state.phase == REQUESTSTATE_CONNECTING
      && engine_client (request)->ops->stream_may_have_sent (attempt->stream))
    requeststate_handed_over (&request->state, attempt->number);
}

/* Cancel the attempt on its engine, so that the engine does not compute a
 * response that nobody reads. */
static void
cancel_on_engine (struct request *request)
{
  const struct backend *backend = attempt_backend (request);
  char id[RELAY_ID_MAX];

  if (backend == NULL || backend->host.kind != HOSTLIST_ENGINE)
    return;
  format_attempt_id (request, id);
  engine_client (request)->ops->send_cancel (engine_client (request),
                                             backend->host.address, id);
}

void
dispatch_close (struct request *request)
{
  if (request->attempt.stream != NULL)
    cancel_on_engine (request);
  dispatch_close_attempt (request);
}
