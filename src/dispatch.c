#include "filters.h"
#include "answer.h"
#include "enginebody.h"
#include "gateway.h"

#include <glib.h>
#include <string.h>

#define NO_BACKEND_RETRY_NS (NS_PER_S)

enum
{
  HTTP_OK = 200,
  ANSWER_MAX = 64 * 1024 * 1024 /* bytes of an answer that is not streamed */
};

static const struct refusal no_backend
    = { 503, "no_backend_server",
        "no backend server that may run this is there now",
        NO_BACKEND_RETRY_NS };
static const struct refusal not_started
    = { 503, "backend_busy", "the backend servers that were asked are full",
        NO_BACKEND_RETRY_NS };
static const struct refusal lost
    = { 502, "backend_lost",
        "the backend server was lost; the request may have run", 0 };
static const struct refusal incomplete
    = { 502, "answer_incomplete",
        "the backend server's answer ended without its end mark", 0 };
static const struct refusal too_late_not_run
    = { 504, "deadline", "the deadline passed before the request was run",
        NO_BACKEND_RETRY_NS };
static const struct refusal too_late
    = { 504, "deadline_running",
        "the deadline passed; the request may have run", 0 };
static const struct refusal silent
    = { 504, "backend_silent",
        "the backend server fell silent; the request may have run", 0 };

static const struct engine_stream_ops stream_ops;

static void
observe (struct request *request, const char *name, int64_t ns)
{
  char labels[128];

  g_snprintf (labels, sizeof labels, "organisation=\"%s\",kind=\"%s\"",
              request->organisation->organisation,
              request->kind != NULL ? request->kind->name : "");
  metrics_observe (&request->gateway->process.metrics, name, labels,
                   (double)ns / NS_PER_S);
}

static void
count_tokens (struct request *request)
{
  struct metrics *metrics = &request->gateway->process.metrics;
  char labels[128];

  g_snprintf (labels, sizeof labels, "organisation=\"%s\",kind=\"%s\"",
              request->organisation->organisation, request->kind->name);
  metrics_add (metrics, "tokens_reused", labels,
               (double)request->cached_tokens);
  metrics_add (metrics, "tokens_imported", labels,
               (double)request->imported_tokens);
  metrics_add (metrics, "tokens_recomputed", labels,
               (double)request->computed_tokens);
}

static void
open_stream (struct request *request, struct backend *backend,
             const struct engine_call *call)
{
  struct engineclient *client = &request->gateway->process.enginehttp.client;
  struct attempt *attempt = &request->attempt;

  memset (attempt, 0, sizeof *attempt);
  attempt->backend = backend->id;
  attempt->started_ns = clock_now (&request->gateway->process.clock);
  attempt->heard_ns = attempt->started_ns;
  request->tried[request->tried_count++] = backend->id;
  backend->in_flight++;
  backend->sent++;
  attempt->stream = client->ops->call (client, call, &stream_ops, request);
}

static void
close_attempt (struct request *request)
{
  struct engineclient *client = &request->gateway->process.enginehttp.client;
  struct backend *backend
      = backends_find (&request->gateway->backends, request->attempt.backend);

  if (request->attempt.backend != 0 && backend != NULL
      && backend->in_flight > 0)
    backend->in_flight--;
  request->attempt.backend = 0;
  load_started (&request->load);
  if (request->attempt.stream == NULL)
    return;
  client->ops->stream_close (request->attempt.stream);
  request->attempt.stream = NULL;
}

static enum status
place_completion (struct request *request, struct place_result *result)
{
  struct gateway *gateway = request->gateway;
  struct load_group_key need;
  struct place_request question = {
    .need = &need,
    .match = &request->match,
    .tokens = request->prompt_tokens,
    .piece_tokens = gateway->settings->placement.piece_tokens,
    .urgent = request->priority == 0,
    .excluded = request->tried,
    .excluded_count = request->tried_count,
  };
  enum status status;
  char text[1024];

  load_group_key_init (&need, request->model->service, request->scope.model,
                       request->scope.version, request->scope.adapter);
  status = place_choose (&gateway->place, &question, result);
  if (status != STATUS_OK)
    return status;
  place_describe (&gateway->place, result, text, sizeof text);
  log_event (&gateway->process.log, EVENT_PLACE,
             "request=%s organisation=%s kind=%s %s", request->id,
             request->organisation->organisation, request->kind->name, text);
  return STATUS_OK;
}

static enum status
send_completion (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct place_result result;
  struct backend *backend;
  struct engine_call call = { 0 };
  char *body;

  if (place_completion (request, &result) != STATUS_OK)
    return STATUS_UNAVAILABLE;
  backend = backends_find (&gateway->backends, result.engine);
  if (backend == NULL)
    return STATUS_UNAVAILABLE;
  place_commit (&gateway->place, &gateway->backends.load, &result,
                &request->load);
  request->planned_cached
      = result.plan.reuse * gateway->settings->placement.piece_tokens;
  body = enginebody_write (request, &gateway->backends, &result);
  call.address = backend->host.address;
  call.method = "POST";
  call.path = request->path;
  call.header_lines = "content-type: application/json\r\n";
  call.body = body;
  call.body_size = strlen (body);
  call.fresh = !request->idempotent;
  open_stream (request, backend, &call);
  g_free (body);
  return STATUS_OK;
}

static char *
service_headers (const struct request *request)
{
  const char *type = httpserver_request_header (request->http, "content-type");
  GString *lines = g_string_new (NULL);

  g_string_append_printf (lines, "x-request-id: %s\r\n", request->id);
  if (request->key != NULL)
    g_string_append_printf (lines, "idempotency-key: %s\r\n", request->key);
  if (type != NULL)
    g_string_append_printf (lines, "content-type: %s\r\n", type);
  return g_string_free (lines, FALSE);
}

static enum status
send_service (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct backend *avoid = NULL;
  struct backend *backend;
  struct engine_call call = { 0 };
  char *lines;

  if (request->tried_count > 0)
    avoid = backends_find (&gateway->backends, request->tried[0]);
  backend = backends_pick_service (&gateway->backends,
                                   request->service->service, avoid);
  if (backend == NULL)
    return STATUS_UNAVAILABLE;
  log_event (&gateway->process.log, EVENT_ROUTE,
             "request=%s organisation=%s service=%s backend_server=%s "
             "in_flight=%u reason=fewest_in_flight",
             request->id, request->organisation->organisation,
             request->service->service, backend->host.name,
             backend->in_flight);
  lines = service_headers (request);
  call.address = backend->host.address;
  call.method = request->method;
  call.path = request->path;
  call.header_lines = lines;
  call.body = request->body;
  call.body_size = request->body_size;
  call.fresh = !request->idempotent;
  open_stream (request, backend, &call);
  g_free (lines);
  return STATUS_OK;
}

static enum status
send_attempt (struct request *request)
{
  if (request->tried_count == REQUEST_TRIED_MAX)
    return STATUS_LIMITED;
  return request->type == REQUEST_COMPLETION ? send_completion (request)
                                             : send_service (request);
}

/* The attempt surely did not run, or the request may be repeated. */
static void
try_again (struct request *request, const struct refusal *otherwise,
           enum outcome outcome)
{
  if (send_attempt (request) == STATUS_OK)
    {
      metrics_add (&request->gateway->process.metrics, "retries", "", 1);
      return;
    }
  request_refuse (request, outcome, otherwise);
}

static void
begin_answer (struct request *request, const struct engine_head *head)
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
  request->answer_started = true;
  httpserver_stream_begin (request->http, head->http_status,
                           head->content_type, headers,
                           sizeof headers / sizeof *headers);
}

static void
on_head (void *data, const struct engine_head *head)
{
  struct request *request = data;

  request->attempt.heard_ns = clock_now (&request->gateway->process.clock);
  request->attempt.head_seen = true;
  request->attempt.http_status = head->http_status;
  request->attempt.not_run = head->not_run;
  request->attempt.streamed = head->streamed;
  g_strlcpy (request->attempt.content_type, head->content_type,
             sizeof request->attempt.content_type);
  if (request->type != REQUEST_COMPLETION || head->http_status != HTTP_OK)
    return;
  request->cached_tokens = head->cached_tokens;
  request->imported_tokens = head->imported_tokens;
  request->computed_tokens = head->computed_tokens;
  count_tokens (request);
  if (head->streamed && request->http != NULL)
    begin_answer (request, head);
}

static void
note_first_piece (struct request *request)
{
  if (request->first_piece_ns != 0)
    return;
  request->first_piece_ns = clock_now (&request->gateway->process.clock);
  load_started (&request->load);
  observe (request, "time_to_first_token_seconds",
           request->first_piece_ns - request->received_ns);
}

static void
on_bytes (void *data, const char *bytes, size_t size)
{
  struct request *request = data;
  struct attempt *attempt = &request->attempt;

  attempt->heard_ns = clock_now (&request->gateway->process.clock);
  note_first_piece (request);
  if (request->answer_started)
    {
      size_t kept = size < sizeof attempt->tail ? size : sizeof attempt->tail;

      memmove (attempt->tail, attempt->tail + kept,
               sizeof attempt->tail - kept);
      memcpy (attempt->tail + sizeof attempt->tail - kept, bytes + size - kept,
              kept);
      httpserver_stream_write (request->http, bytes, size);
      return;
    }
  if (request->answer == NULL)
    request->answer = g_string_new (NULL);
  if (request->answer->len + size <= ANSWER_MAX)
    g_string_append_len (request->answer, bytes, size);
}

static void
finish_buffered (struct request *request)
{
  const struct attempt *attempt = &request->attempt;
  struct httpserver_header headers[] = {
    { "x-request-id", request->id },
    { "x-outcome", outcome_name (OUTCOME_COMPLETE) },
  };
  const char *bytes = request->answer != NULL ? request->answer->str : "";
  size_t size = request->answer != NULL ? request->answer->len : 0;

  httpserver_respond (request->http, attempt->http_status,
                      attempt->content_type, headers, 2, bytes, size);
  request->http = NULL;
  request_complete (request);
}

static void
finish_streamed (struct request *request)
{
  static const char mark[] = "data: [DONE]\n\n";
  const struct attempt *attempt = &request->attempt;

  if (memcmp (attempt->tail + sizeof attempt->tail - (sizeof mark - 1), mark,
              sizeof mark - 1)
      != 0)
    {
      request_refuse (request, OUTCOME_FAILED_MAY_HAVE_RUN, &incomplete);
      return;
    }
  httpserver_stream_end (request->http, true);
  request->http = NULL;
  lookup_report_used (request);
  request_complete (request);
}

static void
on_lost (struct request *request, enum status status)
{
  if (status == STATUS_UNAVAILABLE)
    {
      struct backend *backend = backends_find (&request->gateway->backends,
                                               request->attempt.backend);

      if (backend != NULL)
        backends_mark_out (&request->gateway->backends, backend);
      close_attempt (request);
      try_again (request, &no_backend, OUTCOME_REFUSED_NOT_RUN);
      return;
    }
  close_attempt (request);
  request->handed_over = true;
  if (request->idempotent && !request->answer_started)
    try_again (request, &lost, OUTCOME_FAILED_MAY_HAVE_RUN);
  else
    request_refuse (request, OUTCOME_FAILED_MAY_HAVE_RUN, &lost);
}

static void
on_end (void *data, enum status status, const char *message)
{
  struct request *request = data;
  struct attempt *attempt = &request->attempt;

  attempt->stream = NULL;
  if (status != STATUS_OK)
    {
      on_lost (request, status);
      return;
    }
  if (attempt->not_run)
    {
      close_attempt (request);
      try_again (request, &not_started, OUTCOME_REFUSED_NOT_RUN);
      return;
    }
  request->handed_over = true;
  if (request->answer_started)
    finish_streamed (request);
  else
    finish_buffered (request);
}

static const struct engine_stream_ops stream_ops
    = { on_head, on_bytes, on_end };

enum verdict
dispatch_filter (struct request *request)
{
  if (send_attempt (request) == STATUS_OK)
    return VERDICT_WAIT;
  request_refuse (request, OUTCOME_REFUSED_NOT_RUN, &no_backend);
  return VERDICT_FINISH;
}

static void
cancel_at_engine (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct engineclient *client = &gateway->process.enginehttp.client;
  const struct backend *backend
      = backends_find (&gateway->backends, request->attempt.backend);

  if (backend != NULL && backend->host.kind == HOSTLIST_ENGINE)
    client->ops->cancel (client, backend->host.address, request->id);
}

void
dispatch_close (struct request *request)
{
  if (request->attempt.stream != NULL)
    cancel_at_engine (request);
  close_attempt (request);
}

static bool
may_have_run (const struct request *request)
{
  const struct engineclient *client
      = &request->gateway->process.enginehttp.client;

  return request->handed_over
         || (request->attempt.stream != NULL
             && client->ops->stream_handed_over (request->attempt.stream));
}

void
dispatch_tick (struct request *request, int64_t now)
{
  const struct settings *settings = request->gateway->settings;
  int64_t quiet = now - request->attempt.heard_ns;
  int64_t limit = request->first_piece_ns != 0
                      ? settings->timeouts.progress_ns
                      : settings->timeouts.first_byte_ns;
  bool ran = may_have_run (request);

  if (request->attempt.stream == NULL)
    return;
  if (now > request->deadline_ns && !request->answer_started)
    request_refuse (
        request, ran ? OUTCOME_FAILED_MAY_HAVE_RUN : OUTCOME_REFUSED_NOT_RUN,
        ran ? &too_late : &too_late_not_run);
  else if (quiet > limit)
    request_refuse (request, OUTCOME_FAILED_MAY_HAVE_RUN, &silent);
}
