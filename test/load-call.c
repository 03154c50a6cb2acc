#include "load-call.h"
#include "clock.h"
#include "httpjson.h"
#include "load-check.h"

#include <string.h>

enum
{
  LABEL_MAX = 64,  /* bytes of an outcome or a code */
  BACKOFF_MS = 50, /* before the first retry; doubles */
  HTTP_OK = 200
};

struct load_call
{
  struct load_run *run;
  struct load_kind *kind;
  const char *key;
  uv_timer_t deadline;
  uv_timer_t backoff;
  int open_timers;
  char *body;
  char *idempotency_key;   /* or NULL */
  struct load_check fresh; /* as before the first piece */
  struct load_check check;
  struct httpclient_call *http; /* or NULL */
  GString *line;                /* of the event stream; else the whole body */
  int attempts;
  int status;
  bool ended;              /* the end mark came */
  char outcome[LABEL_MAX]; /* X-Outcome */
  char code[LABEL_MAX];
  int64_t start; /* ns */
  int64_t first; /* ns of the first piece; 0: none yet */
};

static void call_attempt (struct load_call *call);

static void
on_timer_closed (uv_handle_t *handle)
{
  struct load_call *call = handle->data;

  if (--call->open_timers > 0)
    return;
  g_string_free (call->line, TRUE);
  g_free (call->body);
  g_free (call->idempotency_key);
  g_free (call);
}

static double
ms_since (const struct load_call *call, int64_t at)
{
  return (double)(at - call->start) / NS_PER_MS;
}

static void
sample_add (GArray *samples, double value)
{
  g_array_append_val (samples, value);
}

static void
failures_count (struct load_call *call)
{
  struct load_result *result = &call->kind->result;

  result->wrong += call->check.wrong;
  result->missing += call->check.missing;
  result->doubled += call->check.doubled;
}

/* The request is over for the caller. */
static void
call_finish (struct load_call *call, const char *outcome)
{
  struct load_result *result = &call->kind->result;
  int64_t now = (int64_t)uv_hrtime ();

  load_count (result->outcomes, outcome);
  if (call->code[0])
    load_count (result->codes, call->code);
  if (strcmp (outcome, "complete") == 0)
    {
      sample_add (result->first_ms,
                  ms_since (call, call->first ? call->first : now));
      sample_add (result->total_ms, ms_since (call, now));
    }
  call->run->open--;
  uv_close ((uv_handle_t *)&call->deadline, on_timer_closed);
  uv_close ((uv_handle_t *)&call->backoff, on_timer_closed);
}

static void
on_backoff (uv_timer_t *timer)
{
  call_attempt (timer->data);
}

static void
call_retry_or_finish (struct load_call *call, const char *outcome)
{
  if (call->attempts > call->run->retries)
    {
      call_finish (call, outcome);
      return;
    }
  call->kind->result.retries++;
  uv_timer_start (&call->backoff, on_backoff,
                  (uint64_t)BACKOFF_MS << (call->attempts - 1), 0);
}

static void
on_deadline (uv_timer_t *timer)
{
  struct load_call *call = timer->data;

  if (call->http)
    httpclient_cancel (call->http);
  call->http = NULL;
  uv_timer_stop (&call->backoff);
  failures_count (call);
  call_finish (call, "late");
}

/* Answers */

static void
piece_take (struct load_call *call, const char *text, size_t size)
{
  if (call->first == 0)
    call->first = (int64_t)uv_hrtime ();
  call->run->pieces++;
  load_check_text (&call->check, text, size);
}

static void
error_take (struct load_call *call, const char *text, size_t size)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = json_tokener_parse_ex (tokener, text, (int)size);
  struct json_object *error;
  const char *code;

  if (!json_object_object_get_ex (object, "error", &error))
    error = object;
  code = error ? json_field_text (error, "code") : NULL;
  g_strlcpy (call->code, code ? code : "", sizeof call->code);
  json_object_put (object);
  json_tokener_free (tokener);
}

static void
line_take (struct load_call *call, const char *line, size_t size)
{
  static const char data[] = "data: ";
  static const char mark[] = "\"text\":\"";
  const char *text, *end;

  if (size < sizeof data - 1 || memcmp (line, data, sizeof data - 1) != 0)
    return;
  line += sizeof data - 1;
  size -= sizeof data - 1;
  if (size == 6 && memcmp (line, "[DONE]", size) == 0)
    {
      call->ended = true;
      return;
    }
  text = memmem (line, size, mark, sizeof mark - 1);
  if (!text)
    {
      error_take (call, line, size);
      return;
    }
  text += sizeof mark - 1;
  end = memchr (text, '"', (size_t)(line + size - text));
  if (end)
    piece_take (call, text, (size_t)(end - text));
}

static void
stream_take (struct load_call *call, const char *bytes, size_t size)
{
  const char *newline;

  while ((newline = memchr (bytes, '\n', size)) != NULL)
    {
      size_t part = (size_t)(newline - bytes);

      if (call->line->len > 0)
        {
          g_string_append_len (call->line, bytes, (gssize)part);
          line_take (call, call->line->str, call->line->len);
          g_string_truncate (call->line, 0);
        }
      else
        line_take (call, bytes, part);
      bytes += part + 1;
      size -= part + 1;
    }
  g_string_append_len (call->line, bytes, (gssize)size);
}

static void
whole_take (struct load_call *call)
{
  static const char mark[] = "\"text\":\"";
  const char *text = strstr (call->line->str, mark);

  if (!text)
    return;
  text += sizeof mark - 1;
  piece_take (call, text, strcspn (text, "\""));
  call->ended = true;
}

static bool
call_streams (const struct load_call *call)
{
  return call->kind->is_completion && call->kind->stream
         && call->status == HTTP_OK;
}

static void
on_head (void *data, const struct httpclient_response_head *head)
{
  struct load_call *call = data;

  call->status = head->status;
  if (head->status != HTTP_OK)
    httpclient_header_value (head, "x-outcome", call->outcome,
                             sizeof call->outcome);
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct load_call *call = data;

  if (call_streams (call))
    stream_take (call, bytes, size);
  else
    g_string_append_len (call->line, bytes, (gssize)size);
}

static void
refusal_take (struct load_call *call)
{
  const char *outcome = call->outcome[0] ? call->outcome : "error";

  error_take (call, call->line->str, call->line->len);
  if (strcmp (outcome, "refused_not_run") == 0
      || (call->status == 503 && !call->outcome[0]))
    call_retry_or_finish (call, outcome);
  else
    call_finish (call, outcome);
}

static void
completion_take (struct load_call *call, bool whole)
{
  bool good;

  if (whole && !call->kind->stream)
    whole_take (call);
  good = load_check_whole (&call->check, call->kind->max_tokens);
  failures_count (call);
  if (whole && call->ended && good)
    call_finish (call, "complete");
  else if (whole && call->ended)
    {
      call->kind->result.missing
          += MAX (call->kind->max_tokens - call->check.next, 0);
      call_finish (call, "wrong");
    }
  else
    {
      call->kind->result.no_end++;
      call_retry_or_finish (call, "broken");
    }
}

static void
on_end (void *data, const struct httpclient_result *end)
{
  struct load_call *call = data;
  bool whole = end->status == STATUS_OK;

  call->http = NULL;
  if (end->status == STATUS_UNAVAILABLE)
    call_retry_or_finish (call, "unreachable");
  else if (call->status != HTTP_OK && call->status != 0)
    refusal_take (call);
  else if (call->status == HTTP_OK && call->kind->is_completion)
    completion_take (call, whole);
  else if (whole)
    call_finish (call, "complete");
  else
    call_retry_or_finish (call, "broken");
}

static const struct httpclient_ops call_ops = { on_head, on_body, on_end };

/* Requests */

static char *
call_headers (const struct load_call *call)
{
  const struct load_kind *kind = call->kind;
  GString *lines = g_string_new ("content-type: application/json\r\n");

  g_string_append_printf (lines,
                          "authorization: Bearer %s\r\nx-kind: %s\r\n"
                          "x-deadline-ms: %lld\r\n",
                          call->key, kind->name, (long long)kind->deadline_ms);
  if (call->idempotency_key)
    g_string_append_printf (lines, "idempotency-key: %s\r\n",
                            call->idempotency_key);
  return g_string_free (lines, FALSE);
}

static void
call_attempt (struct load_call *call)
{
  struct load_run *run = call->run;
  char *headers = call_headers (call);
  guint pick = (guint)rng_below (&run->rng, run->addresses->len);
  struct httpclient_request request = { .address = run->addresses->pdata[pick],
                                        .method = "POST",
                                        .path = call->kind->path,
                                        .header_lines = headers,
                                        .body = call->body,
                                        .body_size = strlen (call->body) };

  call->attempts++;
  call->check = call->fresh;
  call->status = 0;
  call->first = 0;
  call->ended = false;
  call->outcome[0] = '\0';
  call->code[0] = '\0';
  g_string_truncate (call->line, 0);
  call->http = httpclient_call (&run->client, &request, &call_ops, call);
  g_free (headers);
}

static char *
body_text (const struct load_kind *kind, const GString *prompt)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  json_add_text (object, "model", kind->model);
  json_add_text (object, "prompt", prompt->str);
  json_add_uint (object, "max_tokens", (uint64_t)kind->max_tokens);
  json_object_object_add (object, "stream",
                          json_object_new_boolean (kind->stream));
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static void
timer_init (struct load_call *call, uv_timer_t *timer)
{
  uv_timer_init (call->run->loop, timer);
  timer->data = call;
  call->open_timers++;
}

void
load_call_start (struct load_run *run, struct load_kind *kind, const char *key,
                 const GString *prompt)
{
  struct load_call *call = g_new0 (struct load_call, 1);

  run->open++;
  run->sequence++;
  kind->result.count++;
  call->run = run;
  call->kind = kind;
  call->key = key;
  call->start = (int64_t)uv_hrtime ();
  call->line = g_string_new (NULL);
  call->body = body_text (kind, prompt);
  if (!kind->idempotent)
    call->idempotency_key = g_strdup_printf (
        "load-%lld-%lld", (long long)run->seed, (long long)run->sequence);
  load_check_init (&call->fresh, prompt->str, prompt->len);
  timer_init (call, &call->deadline);
  timer_init (call, &call->backoff);
  uv_timer_start (&call->deadline, on_deadline,
                  (uint64_t)(kind->deadline_ms + run->grace_ms), 0);
  call_attempt (call);
}
