#include "outcome.h"
#include "dispatch.h"
#include "filters.h"
#include "poisonguard.h"
#include "httpjson.h"

#include <glib.h>
#include <string.h>

#define RETRY_AFTER_NS (NS_PER_S)

enum
{
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  BUFFERED_RESPONSE_MAX_BYTES = 64 * 1024 * 1024
};

static const struct refusal no_backend
    = { 503, "no_backend_server",
        "no backend server that may run this is there now", RETRY_AFTER_NS };
static const struct refusal backend_busy
    = { 503, "backend_busy", "the backend servers that were asked are full",
        RETRY_AFTER_NS };
static const struct refusal connection_lost
    = { 503, "backend_lost", "the connection to the backend server was lost",
        RETRY_AFTER_NS };
static const struct refusal response_incomplete
    = { 502, "answer_incomplete",
        "the backend server's answer ended without its end mark", 0 };
static const struct refusal deadline_expired
    = { 504, "deadline", "the deadline passed", RETRY_AFTER_NS };
static const struct refusal backend_silent
    = { 504, "backend_silent", "the backend server fell silent", 0 };
static const struct refusal response_too_large
    = { 502, "answer_too_large",
        "the backend server's answer is over 64 MiB; ask for a stream", 0 };
static const struct refusal response_id_mismatch
    = { 502, "answer_crossed",
        "the backend server answered with another request's answer", 0 };

static void
format_labels (const struct request *request, char *labels, size_t size)
{
  g_snprintf (labels, size, "organisation=\"%s\",kind=\"%s\"",
              request->organisation->organisation,
              request->kind != NULL ? request->kind->name : "");
}

static void
count_tokens (struct request *request)
{
  struct metrics *metrics = &request->gateway->process.metrics;
  const struct settings *settings = request->gateway->settings;
  char labels[160];

  format_labels (request, labels, sizeof labels);
  metrics_add (metrics, "tokens_reused", labels,
               (double)request->cached_tokens);
  metrics_add (metrics, "tokens_imported", labels,
               (double)request->imported_tokens);
  metrics_add (metrics, "tokens_recomputed", labels,
               (double)request->computed_tokens);
  metrics_add (metrics, "import_bytes", labels,
               (double)(request->imported_tokens
                        * settings->placement.piece_bytes_per_token));
}

static void
record_first_chunk (struct request *request)
{
  struct gateway *gateway = request->gateway;
  char labels[160];

  if (request->first_byte_ns != 0)
    return;
  request->first_byte_ns = clock_now (&gateway->process.clock);
  load_remove_request (&request->load);
  admission_response_started (request);
  format_labels (request, labels, sizeof labels);
  metrics_observe (
      &gateway->process.metrics, "time_to_first_token_seconds", labels,
      (double)(request->first_byte_ns - request->received_ns) / NS_PER_S);
}

static void
begin_response (struct request *request,
                const struct engine_response_head *head)
{
  char cached[32];
  char imported[32];
  char computed[32];
  struct httpserver_header headers[] = {
    { "x-request-id", request->id },   { "x-weight-version", head->version },
    { "x-cached-tokens", cached },     { "x-imported-tokens", imported },
    { "x-computed-tokens", computed },
  };

  g_snprintf (cached, sizeof cached, "%" G_GINT64_FORMAT, head->cached_tokens);
  g_snprintf (imported, sizeof imported, "%" G_GINT64_FORMAT,
              head->imported_tokens);
  g_snprintf (computed, sizeof computed, "%" G_GINT64_FORMAT,
              head->computed_tokens);
  request->response_started = true;
  request_free_prompt (request);
  httpserver_stream_begin (request->http, HTTP_OK, "text/event-stream",
                           headers, sizeof headers / sizeof *headers);
}

/* Whether a response with HEAD begins for the caller. That of a resumed
 * attempt does if the connection was lost before a head came. */
static bool
head_begins_response (const struct request *request,
                      const struct engine_response_head *head)
{
  if (request->attempt.not_run)
    return false;
  if (!request->attempt.resumed)
    return true;
  return request->state.phase == REQUESTSTATE_HANDED_OVER
         && head->http_status == HTTP_OK && head->is_event_stream;
}

static void
response_head_received (void *data, const struct engine_response_head *head)
{
  struct request *request = data;
  struct attempt *attempt = &request->attempt;

  attempt->last_byte_ns = clock_now (&request->gateway->process.clock);
  attempt->http_status = head->http_status;
  attempt->is_stream = head->is_event_stream;
  attempt->not_run
      = head->not_run
        || (request->type == REQUEST_COMPLETION && !attempt->resumed
            && head->http_status == HTTP_CONFLICT);
  g_strlcpy (attempt->content_type, head->content_type,
             sizeof attempt->content_type);
  dispatch_note_handed_over (request);
  if (request->state.phase == REQUESTSTATE_CONNECTING)
    requeststate_handed_over (&request->state, attempt->number);
  if (!head_begins_response (request, head))
    return;
  requeststate_response_started (&request->state, attempt->number);
  if (request->type != REQUEST_COMPLETION || head->http_status != HTTP_OK)
    return;
  request->cached_tokens = head->cached_tokens;
  request->imported_tokens = head->imported_tokens;
  request->computed_tokens = head->computed_tokens;
  count_tokens (request);
  place_record_reuse (
      &request->gateway->place, request->planned_blocks,
      (uint32_t)(head->cached_tokens
                 / request->gateway->settings->placement.piece_tokens));
  if (head->is_event_stream && request->http != NULL)
    begin_response (request, head);
}

static void
relayed_event_received (struct relay *relay, const struct relay_event *event,
                        int is_end)
{
  struct request *request = LIST_ENTRY (relay, struct request, relay);

  request->retry.relayed = true;
  if (request->http != NULL)
    httpserver_stream_write (request->http, event->text, event->text_size);
}

const struct relay_ops outcome_relay_ops = { relayed_event_received };

static bool
response_is_relayed (const struct request *request)
{
  return request->type == REQUEST_COMPLETION && request->attempt.is_stream
         && request->attempt.http_status == HTTP_OK;
}

static void
response_bytes_received (void *data, const char *bytes, size_t size)
{
  struct request *request = data;
  struct attempt *attempt = &request->attempt;

  attempt->last_byte_ns = clock_now (&request->gateway->process.clock);
  if (attempt->not_run)
    return;
  attempt->has_body = true;
  record_first_chunk (request);
  if (response_is_relayed (request))
    {
      relay_feed (&request->relay, bytes, size);
      return;
    }
  if (request->response_body == NULL)
    request->response_body = g_string_new (NULL);
  if (request->response_body->len + size <= BUFFERED_RESPONSE_MAX_BYTES)
    g_string_append_len (request->response_body, bytes, size);
  else
    request->response_too_large = true;
}

static void
count_attempt (struct request *request, const char *outcome)
{
  const struct backend *backend = backends_find (&request->gateway->backends,
                                                 request->attempt.backend_id);
  char labels[160];

  g_snprintf (labels, sizeof labels, "backend_server=\"%s\",outcome=\"%s\"",
              backend != NULL ? backend->host.name : "", outcome);
  metrics_add (&request->gateway->process.metrics, "attempts", labels, 1);
}

/* Record in the request's state how the connection of the attempt failed.
 * @param resumes whether the attempt continues on another connection; the
 * lost connection is not recorded in this case */
static void
record_attempt_outcome (struct request *request, enum retry_outcome outcome,
                        bool resumes)
{
  unsigned number = request->attempt.number;

  if (outcome == RETRY_NOT_SENT)
    requeststate_not_connected (&request->state, number);
  else if (outcome == RETRY_NOT_RUN)
    requeststate_not_run (&request->state, number);
  else if (!resumes)
    requeststate_connection_lost (&request->state, number);
}

static void
log_failed_attempt (const struct request *request, enum retry_outcome outcome,
                    const struct retry_decision *decision)
{
  static const char *const actions[RETRY_ACTION_COUNT] = {
    [RETRY_STOP] = "stop",
    [RETRY_RESUME] = "resume",
    [RETRY_ANOTHER_SERVER] = "another",
    [RETRY_ANOTHER_IF_CLEARED] = "another_if_cleared",
  };

  log_event (&request->gateway->process.log, EVENT_ATTEMPT_FAILED,
             "request=%s attempt=%u outcome=%s action=%s reason=%s "
             "delay_ms=%.1f",
             request->id, request->attempt.number,
             retry_outcome_name (outcome), actions[decision->action],
             retry_reason_name (decision->reason),
             (double)decision->delay_ns / NS_PER_MS);
}

/* Handles an attempt that ended or lost its connection without a complete
 * response: resumes it, schedules a retry, or refuses the request with
 * REFUSAL. */
static void
attempt_failed (struct request *request, enum retry_outcome outcome,
                const struct refusal *refusal)
{
  struct gateway *gateway = request->gateway;
  struct retry_decision decision;
  uint64_t backend = request->attempt.backend_id;
  bool resumes;

  dispatch_note_handed_over (request);
  count_attempt (request, retry_outcome_name (outcome));
  decision = retry_decide (&gateway->retry, &request->retry, outcome);
  resumes = decision.action == RETRY_RESUME;
  record_attempt_outcome (request, outcome, resumes);
  log_failed_attempt (request, outcome, &decision);
  dispatch_close_attempt (request);
  relay_disconnected (&request->relay);
  if (!resumes)
    poisonguard_attempt_ended (request, outcome == RETRY_CRASHED
                                            ? POISON_OUTCOME_CRASHED
                                            : POISON_OUTCOME_INCONCLUSIVE);
  if (decision.action == RETRY_STOP)
    {
      request_fail (request, refusal);
      return;
    }
  metrics_add (&gateway->process.metrics, "retries", "", 1);
  request->next_action = decision.action;
  request->next_action_ns
      = clock_now (&gateway->process.clock) + decision.delay_ns;
  if (resumes)
    request->attempt.backend_id = backend;
}

static void
complete_attempt (struct request *request)
{
  struct backend *backend = backends_find (&request->gateway->backends,
                                           request->attempt.backend_id);

  count_attempt (request, "complete");
  if (backend != NULL)
    retry_record_success (&request->gateway->retry, backend->host.name);
  if (request->type == REQUEST_COMPLETION)
    lookup_report_used (request);
  request_complete (request);
}

/* Whether a buffered response has the id of this attempt. Only a completion
 * that succeeded has an id in its body. */
static bool
response_matches_attempt (const struct request *request)
{
  struct json_object *object;
  bool ours;

  if (request->type != REQUEST_COMPLETION
      || request->attempt.http_status != HTTP_OK)
    return true;
  object = json_tokener_parse (
      request->response_body != NULL ? request->response_body->str : "");
  ours = object != NULL
         && strcmp (json_field_text (object, "id"), request->relay.id) == 0;
  json_object_put (object);
  return ours;
}

static void
finish_buffered (struct request *request)
{
  const struct attempt *attempt = &request->attempt;
  struct httpserver_header headers[] = {
    { "x-request-id", request->id },
    { "x-outcome", requeststate_outcome_name (REQUESTSTATE_COMPLETE) },
  };
  const char *bytes
      = request->response_body != NULL ? request->response_body->str : "";
  size_t size
      = request->response_body != NULL ? request->response_body->len : 0;

  if (request->response_too_large)
    {
      request_fail (request, &response_too_large);
      return;
    }
  if (!response_matches_attempt (request))
    {
      attempt_failed (request, RETRY_FAILED, &response_id_mismatch);
      return;
    }
  if (request->http != NULL)
    httpserver_respond (request->http, attempt->http_status,
                        attempt->content_type, headers, 2, bytes, size);
  request->http = NULL;
  complete_attempt (request);
}

static void
finish_streamed (struct request *request)
{
  if (request->relay.state != RELAY_COMPLETE)
    {
      attempt_failed (request, RETRY_LOST_MIDWAY, &response_incomplete);
      return;
    }
  if (request->http != NULL)
    httpserver_stream_end (request->http, true);
  request->http = NULL;
  complete_attempt (request);
}

static void
report_evidence (struct request *request, enum health_evidence evidence)
{
  struct backends *backends = &request->gateway->backends;
  struct backend *backend
      = backends_find (backends, request->attempt.backend_id);

  if (backend != NULL)
    backends_report_evidence (backends, backend, evidence);
}

static void
response_lost (struct request *request, bool crashed)
{
  enum retry_outcome outcome
      = request->response_started ? RETRY_LOST_MIDWAY : RETRY_LOST_UNANSWERED;

  if (crashed)
    {
      report_evidence (request, HEALTH_CRASHED);
      log_event (&request->gateway->process.log, EVENT_SUSPECT_CRASH,
                 "request=%s organisation=%s attempt=%u", request->id,
                 request->organisation->organisation, request->attempt.number);
      attempt_failed (request, RETRY_CRASHED, &connection_lost);
      return;
    }
  if (request->attempt.silent)
    attempt_failed (request, RETRY_SILENT, &backend_silent);
  else
    attempt_failed (request, outcome, &connection_lost);
}

/* Handles the result of the probe that is sent to an engine after the
 * connection of an attempt was lost. If the engine refuses the connection,
 * does not reply, or has another incarnation than when it was chosen, it
 * crashed; otherwise only the connection failed. */
static void
probe_reply_received (void *data, enum status status,
                      const struct engine_load *load)
{
  struct request *request = request_from_handle (data);
  struct load *view;
  uint32_t index;
  bool crashed = status == STATUS_UNAVAILABLE || status == STATUS_UNKNOWN;

  g_free (data);
  if (request == NULL || request->next_action_ns != CLOCK_NEVER)
    return;
  view = &request->gateway->backends.load;
  if (status == STATUS_OK
      && load_find_engine (view, request->attempt.backend_id, &index))
    crashed = load->incarnation != request->attempt.engine_incarnation;
  response_lost (request, crashed);
}

static void
probe_backend (struct request *request)
{
  struct engineclient *client = &request->gateway->process.enginehttp.client;
  const struct backend *backend = backends_find (&request->gateway->backends,
                                                 request->attempt.backend_id);

  if (backend == NULL || backend->host.kind != HOSTLIST_ENGINE)
    {
      response_lost (request, backend == NULL);
      return;
    }
  client->ops->get_load (client, backend->host.address, true,
                         probe_reply_received, request_handle_new (request));
}

static void
stream_failed (struct request *request, enum status status)
{
  if (status == STATUS_UNAVAILABLE)
    {
      report_evidence (request, HEALTH_REFUSED);
      attempt_failed (
          request,
          request->attempt.resumed ? RETRY_LOST_MIDWAY : RETRY_NOT_SENT,
          request->attempt.resumed ? &connection_lost : &no_backend);
      return;
    }
  if (request->state.phase == REQUESTSTATE_CONNECTING)
    requeststate_handed_over (&request->state, request->attempt.number);
  probe_backend (request);
}

/* Handles that the engine did not resume the stream, for example because it no
 * longer has the stream's run. The stream is not resumed again. */
static void
resume_refused (struct request *request)
{
  request->retry.resumable = false;
  attempt_failed (request, RETRY_LOST_UNANSWERED, &response_incomplete);
}

static void
stream_ended (void *data, enum status status, const char *message)
{
  struct request *request = data;
  struct attempt *attempt = &request->attempt;

  attempt->stream = NULL;
  if (status != STATUS_OK)
    stream_failed (request, status);
  else if (attempt->not_run)
    attempt_failed (request, RETRY_NOT_RUN, &backend_busy);
  else if (response_is_relayed (request))
    finish_streamed (request);
  else if (attempt->resumed)
    resume_refused (request);
  else
    finish_buffered (request);
}

const struct engine_stream_ops outcome_stream_ops
    = { response_head_received, response_bytes_received, stream_ended };

enum filter_result
dispatch_filter (struct request *request)
{
  request->retry.idempotent = request->idempotent;
  request->retry.resumable
      = request->type == REQUEST_COMPLETION && request->wants_stream;
  request->retry.deadline_ns = request->deadline_ns;
  if (dispatch_start_attempt (request) == STATUS_OK)
    return FILTER_WAIT;
  request_fail (request, &no_backend);
  return FILTER_FINISHED;
}

static void
run_next_action (struct request *request)
{
  enum status status;

  request->next_action_ns = CLOCK_NEVER;
  if (request->next_action != RETRY_RESUME && !request->status_lookup)
    {
      poisonguard_acquire_slot (request);
      return;
    }
  if (request->next_action == RETRY_RESUME)
    status = dispatch_resume (request);
  else
    status = dispatch_start_attempt (request);
  if (status != STATUS_OK)
    request_fail (request, &no_backend);
}

/* Handles that no byte was received for too long: closes the connection and
 * probes the backend server on a new one to find out whether the server still
 * runs. */
static void
abandon_silent_connection (struct request *request)
{
  struct engineclient *client = &request->gateway->process.enginehttp.client;

  dispatch_note_handed_over (request);
  client->ops->stream_close (request->attempt.stream);
  request->attempt.stream = NULL;
  request->attempt.silent = true;
  metrics_add (&request->gateway->process.metrics, "connections_silent", "",
               1);
  probe_backend (request);
}

static bool
connect_timed_out (const struct request *request, int64_t now)
{
  const struct settings *settings = request->gateway->settings;

  return request->state.phase == REQUESTSTATE_CONNECTING
         && now - request->attempt.last_byte_ns
                > settings->timeouts.connect_ns;
}

void
dispatch_tick (struct request *request, int64_t now)
{
  const struct settings *settings = request->gateway->settings;
  int64_t silent_ns = now - request->attempt.last_byte_ns;
  int64_t limit_ns = request->attempt.has_body
                         ? settings->timeouts.progress_ns
                         : settings->timeouts.first_byte_ns;

  dispatch_note_handed_over (request);
  if (now >= request->next_action_ns)
    run_next_action (request);
  else if (request->held_body != NULL && now >= request->held_until_ns)
    dispatch_send_held_body (request);
  else if (request->attempt.stream == NULL)
    return;
  else if (now > request->deadline_ns && !request->response_started)
    request_fail (request, &deadline_expired);
  else if (connect_timed_out (request, now))
    {
      report_evidence (request, HEALTH_UNREACHABLE);
      attempt_failed (request, RETRY_NOT_SENT, &no_backend);
    }
  else if (request->relay.state == RELAY_GAP
           || request->relay.state == RELAY_INVALID)
    attempt_failed (request, RETRY_LOST_MIDWAY, &response_incomplete);
  else if (silent_ns > limit_ns)
    abandon_silent_connection (request);
}
