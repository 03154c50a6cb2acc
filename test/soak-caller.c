#include "soak-caller.h"
#include "soak-engine.h"
#include "soak-broken.h"
#include "soak-foreign.h"
#include "soak-pauses.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PAUSE_MS = 20,      /* between two requests, at most */
  CONNECT_MS = 1000,  /* until a host is given up */
  LATE_MS = 1000,     /* after its deadline, until a request is given up */
  SESSIONS = 20,      /* whose streams share a block */
  FIRST_ASKED = 1000, /* number of a caller's requests that no other uses */
  POISON_ONE_IN = 30  /* One of so many streams has a block that crashes. */
};

static void caller_connect (struct soak_caller *caller);
static void request_send (struct soak_caller *caller);

static void
on_tcp_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
on_pause_over (uv_timer_t *timer)
{
  struct soak_caller *caller = timer->data;

  if (caller->finished)
    return;
  if (caller->tcp == NULL)
    caller_connect (caller);
  else
    request_send (caller);
}

bool
soak_caller_is_done (const struct soak_caller *caller)
{
  return caller->soak->streams.each > 0 && caller->streams_left == 0
         && caller->request == NULL && caller->broken == NULL;
}

static void
caller_go_on (struct soak_caller *caller)
{
  if (soak_caller_is_done (caller))
    {
      uv_timer_stop (&caller->timer);
      return;
    }
  uv_timer_start (&caller->timer, on_pause_over,
                  soak_draw (caller->soak, 1, PAUSE_MS), 0);
}

static void
caller_disconnect (struct soak_caller *caller)
{
  if (caller->tcp == NULL)
    return;
  caller->tcp->data = NULL;
  uv_close ((uv_handle_t *)caller->tcp, on_tcp_closed);
  caller->tcp = NULL;
}

/* Whether TEXT is an event of the request with NUMBER, or, with PART, the
 * beginning of one. Its software is written to SOFTWARE. */
static bool
event_is_right (const struct soak_request *request, const char *text,
                unsigned number, bool part, unsigned *software, size_t *size)
{
  for (unsigned version = 1; version <= SOAK_SOFTWARE_VERSIONS; version++)
    {
      char *event = g_strdup_printf ("id: %u\ndata: %s %u v%u\n\n", number,
                                     request->id, number, version);
      bool right;

      *size = strlen (event);
      right = part ? strncmp (event, text, strlen (text)) == 0
                   : strncmp (text, event, *size) == 0;
      g_free (event);
      *software = version;
      if (right)
        return true;
    }
  return false;
}

/* The events of the response are the next ones of its stream, each once and
 * whole, and of one software.
 * @return how many there are; -1: they are not */
static int
events_count (const struct soak_caller *caller, bool ended)
{
  struct soak_request *request = caller->request;
  const char *at = caller->body->str;
  int count = 0;

  while (*at != '\0')
    {
      unsigned number = request->earlier_events + (unsigned)count + 1;
      unsigned software;
      size_t size;

      if (!event_is_right (request, at, number, false, &software, &size))
        return !ended
                       && event_is_right (request, at, number, true, &software,
                                          &size)
                   ? count
                   : -1;
      if (request->software != 0 && request->software != software
          && !request->is_mixed)
        {
          request->is_mixed = true;
          caller->soak->streams.mixed++;
          soak_violation (
              caller->soak, "%s holds events of v%u and v%u, begun by %s",
              request->id, request->software, software, request->began_id);
        }
      request->software = software;
      at += size;
      count++;
    }
  return count;
}

static bool
success_is_right (const struct soak_caller *caller)
{
  struct soak_request *request = caller->request;
  char *seal = g_strdup_printf ("seal-%s-", request->id);
  char *body = g_strdup_printf ("ID:%s:%0200d", request->id, 0);
  bool sealed = false;
  bool whole = request->kind == SOAK_STREAM
                   ? (int)request->earlier_events + events_count (caller, true)
                         == (int)caller->soak->streams.events
                   : strcmp (caller->body->str, body) == 0;

  for (size_t i = 0; i < httpfields_count (&caller->head); i++)
    if (g_ascii_strcasecmp (httpfields_name (&caller->head, i),
                            "X-Response-Seal")
        == 0)
      sealed = g_str_has_prefix (httpfields_value (&caller->head, i), seal);
  g_free (seal);
  g_free (body);
  return sealed && whole;
}

/* A host that stops serves a request or refuses it at once. */
static void
stop_check (struct soak *soak, const struct soak_request *request,
            unsigned status)
{
  if (!soak->stops.is_played)
    return;
  if (status == 502 || status == 504)
    soak_violation (soak, "%s got %u after %.0f ms, sent to a host that %s",
                    request->id, status,
                    (double)(clock_now (&soak->clock) - request->sent_ns)
                        / NS_PER_MS,
                    request->sent_to_stopping ? "stopped" : "served");
  if (!request->sent_to_stopping)
    return;
  soak->stops.served += status == 200;
  soak->stops.refused += status == 503;
  soak->stops.failed += status == 502 || status == 504;
}

static void
answer_check (struct soak_caller *caller)
{
  struct soak_request *request = caller->request;
  unsigned status = caller->parser.status_code;

  soak_foreign_answered (caller->soak, request, status);
  soak_broken_check (caller->soak, request, &caller->head, caller->body->str);
  stop_check (caller->soak, request, status);
  soak_pauses_answered (caller->soak, request, status);
  if (status == 200 && !success_is_right (caller))
    {
      caller->soak->streams.wrong += request->kind == SOAK_STREAM;
      soak_violation (caller->soak, "%s has a wrong success", request->id);
    }
  if (status == 401 || status == 403 || status == 404)
    soak_violation (caller->soak, "%s was denied with %u", request->id,
                    status);
  if (status == 408 || status == 421 || status == 429 || status == 503)
    {
      request->not_run = true;
      if (request->kind == SOAK_ONCE && request->runs > 0)
        soak_violation (caller->soak, "%s was said not to have run, but has",
                        request->id);
    }
  request->served = status == 200;
}

static void
stream_count (struct soak_caller *caller, int events)
{
  if (caller->request->earlier_events > 0)
    {
      caller->returned++;
      caller->went_on += events > 0;
      return;
    }
  caller->streams++;
  caller->streams_begun += events > 0;
}

static void
request_over (struct soak_caller *caller)
{
  if (!caller->request->is_poison)
    {
      caller->ended++;
      caller->served += caller->request->served;
    }
  caller->request = NULL;
  caller_go_on (caller);
}

/* Whether the caller comes back for the rest of its stream. */
static bool
caller_returns (const struct soak_caller *caller)
{
  const struct soak_streams *streams = &caller->soak->streams;

  if (streams->each == 0)
    return soak_draw (caller->soak, 0, 4) > 0;
  return streams->leave_after > 0 && caller->request->earlier_events == 0;
}

/* A stream broke off. The caller comes back for the rest, most of the time. */
static void
stream_broken (struct soak_caller *caller)
{
  struct soak_request *request = caller->request;
  /* The body of an engine's failure holds no events. */
  bool is_failure = caller->body->len > 0 && caller->parser.status_code != 200;
  int count = is_failure ? 0 : events_count (caller, false);

  soak_broken_check (caller->soak, request, &caller->head, caller->body->str);
  if (count < 0)
    {
      caller->soak->streams.wrong++;
      soak_violation (caller->soak, "%s has wrong events", request->id);
      return;
    }
  stream_count (caller, count);
  request->events = request->earlier_events + (unsigned)count;
  if (request->events > 0 && request->events < caller->soak->streams.events
      && caller_returns (caller))
    caller->broken = request;
}

/* The connection ended, or the answer came too late. */
static void
caller_broken (struct soak_caller *caller, const char *how)
{
  struct soak_request *request = caller->request;
  struct soak *soak = caller->soak;

  caller_disconnect (caller);
  if (request == NULL)
    {
      caller_go_on (caller);
      return;
    }
  if (request->kind == SOAK_STREAM)
    stream_broken (caller);
  if (soak->planned_only && request->runs > 0)
    soak_violation (soak, "%s was %s by host %u though it ran", request->id,
                    how, caller->hosts[caller->host].number);
  request_over (caller);
}

static void
on_timeout (uv_timer_t *timer)
{
  caller_broken (timer->data, "not answered in time");
}

static int
on_header_field (http_parser *parser, const char *bytes, size_t size)
{
  httpfields_append_name (&((struct soak_caller *)parser->data)->head, bytes,
                          size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *bytes, size_t size)
{
  httpfields_append_value (&((struct soak_caller *)parser->data)->head, bytes,
                           size);
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t size)
{
  g_string_append_len (((struct soak_caller *)parser->data)->body, bytes,
                       (gssize)size);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  struct soak_caller *caller = parser->data;

  if (caller->request == NULL)
    {
      soak_violation (caller->soak, "an answer came that nobody waits for");
      return 0;
    }
  answer_check (caller);
  if (caller->request->kind == SOAK_STREAM)
    {
      stream_count (caller, caller->request->served ? 1 : 0);
      caller->streams_whole += caller->request->served;
    }
  if (!http_should_keep_alive (parser))
    caller_disconnect (caller);
  request_over (caller);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  static char bytes[16384];

  *buffer = uv_buf_init (bytes, sizeof bytes);
}

/* Whether the caller breaks the connection of its stream now. */
static bool
caller_leaves (const struct soak_caller *caller)
{
  unsigned leave_after = caller->soak->streams.leave_after;

  return leave_after > 0 && caller->request != NULL
         && caller->request->kind == SOAK_STREAM
         && caller->request->earlier_events == 0
         && events_count (caller, false) >= (int)leave_after;
}

static void
on_bytes (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct soak_caller *caller = stream->data;

  if (caller == NULL || size == 0)
    return;
  if (size < 0)
    {
      caller_broken (caller, "cut off");
      return;
    }
  if (caller->request == NULL)
    {
      soak_violation (caller->soak, "bytes came that nobody waits for");
      caller_broken (caller, "spoilt");
      return;
    }
  http_parser_execute (&caller->parser, &parser_settings, buffer->base,
                       (size_t)size);
  if (HTTP_PARSER_ERRNO (&caller->parser) == HPE_OK)
    {
      if (caller_leaves (caller))
        caller_broken (caller, "left");
      return;
    }
  soak_violation (caller->soak, "an answer can't be read: %s",
                  http_errno_name (HTTP_PARSER_ERRNO (&caller->parser)));
  caller_broken (caller, "spoilt");
}

struct request_write
{
  uv_write_t write;
  char *text;
};

static void
on_written (uv_write_t *write, int status)
{
  struct request_write *sent = write->data;

  g_free (sent->text);
  g_free (sent);
}

static struct soak_request *
request_new (struct soak_caller *caller)
{
  struct soak_request *request = g_new0 (struct soak_request, 1);

  g_snprintf (request->id, sizeof request->id, "%04x%012x", caller->number,
              ++caller->asked);
  request->host = caller->host;
  request->sent_to_stopping = caller->hosts[caller->host].ending;
  request->sent_ns = clock_now (&caller->soak->clock);
  request->kind
      = caller->plain_left > 0 ? SOAK_SAFE
        : caller->soak->streams.each > 0
            ? SOAK_STREAM
            : (enum soak_kind)soak_draw (caller->soak, 0, SOAK_KINDS - 1);
  g_strlcpy (request->began_id, request->id, sizeof request->began_id);
  if (caller->broken != NULL)
    {
      const struct soak_request *broken = caller->broken;

      request->kind = SOAK_STREAM;
      request->earlier_events = broken->events;
      request->software = broken->software;
      g_strlcpy (request->began_id, broken->began_id,
                 sizeof request->began_id);
      caller->broken = NULL;
    }
  else if (caller->plain_left > 0)
    caller->plain_left--;
  else if (caller->streams_left > 0)
    caller->streams_left--;
  else if (caller->soak->poison.is_sent && request->kind == SOAK_STREAM)
    request->is_poison
        = soak_draw (caller->soak, 1, POISON_ONE_IN) == POISON_ONE_IN;
  g_hash_table_insert (caller->soak->requests, request->id, request);
  return request;
}

/* The lines of a prompt whose first block all streams share, its second one
 * those of a session, and its last one nobody. */
static char *
prompt_lines (const struct soak_caller *caller)
{
  const struct soak_request *request = caller->request;

  if (request->kind != SOAK_STREAM)
    return g_strdup ("");
  return g_strdup_printf (
      "X-Model: m\r\nX-Token-Count: 40,6\r\nX-Prompt-Prefix: "
      "a1:10,%x:10,%s%x:10\r\n",
      0xb0 + soak_draw (caller->soak, 0, SESSIONS - 1),
      request->is_poison ? "bad:10," : "",
      (caller->number << 20) + caller->asked);
}

static void
request_send (struct soak_caller *caller)
{
  struct soak_request *request = request_new (caller);
  struct request_write *sent = g_new0 (struct request_write, 1);
  const char *method = request->kind == SOAK_SAFE ? "GET" : "POST";
  char *prompt;
  char *resumes
      = request->earlier_events == 0
            ? g_strdup ("")
            : g_strdup_printf ("Resumes: %s\r\nLast-Event-Id: %u\r\n",
                               request->began_id, request->earlier_events);
  uv_buf_t buffer;

  caller->request = request;
  prompt = prompt_lines (caller);
  sent->write.data = sent;
  sent->text = g_strdup_printf (
      "%s %s%u HTTP/1.1\r\nHost: " SOAK_ROUTES_HOST
      "\r\nX-Request-Id: %s\r\nX-Api-Key: " SOAK_KEY
      "\r\nX-Request-Deadline: %u\r\n%s%sContent-Length: %d\r\n\r\n%s",
      method, soak_kind_prefix (request->kind), caller->asked, request->id,
      caller->soak->deadline_ms, resumes, prompt,
      request->kind == SOAK_SAFE ? 0 : 4,
      request->kind == SOAK_SAFE ? "" : "body");
  g_free (resumes);
  g_free (prompt);
  buffer = uv_buf_init (sent->text, (unsigned)strlen (sent->text));
  http_parser_init (&caller->parser, HTTP_RESPONSE);
  caller->parser.data = caller;
  httpfields_clear (&caller->head);
  g_string_truncate (caller->body, 0);
  uv_timer_start (&caller->timer, on_timeout,
                  caller->soak->deadline_ms + LATE_MS, 0);
  if (uv_write (&sent->write, (uv_stream_t *)caller->tcp, &buffer, 1,
                on_written)
      == 0)
    return;
  on_written (&sent->write, UV_EPIPE);
  caller_broken (caller, "not read");
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct soak_caller *caller = connect->handle->data;

  g_free (connect);
  if (caller == NULL)
    return;
  if (status != 0)
    {
      caller_broken (caller, "not connected");
      return;
    }
  uv_read_start ((uv_stream_t *)caller->tcp, on_alloc, on_bytes);
  request_send (caller);
}

/* A caller that sends only some streams stays at its host until it breaks the
 * connection of one. */
static void
caller_choose_host (struct soak_caller *caller)
{
  if (caller->soak->streams.each == 0)
    caller->host = soak_draw (caller->soak, 0, caller->host_count - 1);
  else if (caller->broken != NULL)
    caller->host = (caller->host + 1) % caller->host_count;
}

static void
caller_connect (struct soak_caller *caller)
{
  struct sockaddr_in address;
  uv_connect_t *connect = g_new0 (uv_connect_t, 1);

  caller_choose_host (caller);
  caller->tcp = g_new0 (uv_tcp_t, 1);
  caller->tcp->data = caller;
  uv_tcp_init (&caller->soak->loop, caller->tcp);
  uv_ip4_addr (SOAK_IP, caller->hosts[caller->host].front_port, &address);
  uv_timer_start (&caller->timer, on_timeout, CONNECT_MS, 0);
  if (uv_tcp_connect (connect, caller->tcp, (const struct sockaddr *)&address,
                      on_connected)
      == 0)
    return;
  g_free (connect);
  caller_broken (caller, "not connected");
}

void
soak_caller_init (struct soak_caller *caller, struct soak *soak,
                  unsigned number, struct soak_host *hosts,
                  unsigned host_count)
{
  memset (caller, 0, sizeof *caller);
  caller->soak = soak;
  caller->number = number;
  caller->hosts = hosts;
  caller->host_count = host_count;
  caller->plain_left = soak->streams.plain_each;
  caller->streams_left = soak->streams.each;
  if (soak->streams.each > 0)
    {
      caller->host = number % host_count;
      /* Requests of several callers that are equal would count as one that
       * crashes engines. */
      caller->asked = number * FIRST_ASKED;
    }
  caller->body = g_string_new (NULL);
  httpfields_init (&caller->head);
  uv_timer_init (&soak->loop, &caller->timer);
  caller->timer.data = caller;
  caller_go_on (caller);
}

void
soak_caller_finish (struct soak_caller *caller)
{
  caller->finished = true;
  caller_disconnect (caller);
  uv_close ((uv_handle_t *)&caller->timer, NULL);
  httpfields_finish (&caller->head);
  g_string_free (caller->body, TRUE);
}
