#include "jsonresponse.h"

#include "httpjson.h"

#include <glib.h>
#include <string.h>

enum
{
  HEADER_COUNT_MAX = 4,
  HTTP_BAD_GATEWAY = 502
};

static struct json_object *
error_json (const struct refusal *refusal, const char *outcome, const char *id)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  json_add_text (error, "code", refusal->code);
  json_add_text (error, "message", refusal->message);
  json_add_text (error, "outcome", outcome);
  if (id != NULL)
    json_add_text (error, "request", id);
  if (refusal->retry_after_ns > 0)
    json_add_uint (error, "retry_after_ms",
                   (uint64_t)(refusal->retry_after_ns / NS_PER_MS));
  json_object_object_add (object, "error", error);
  return object;
}

static int
http_status_of (const struct refusal *refusal,
                enum requeststate_outcome outcome)
{
  if (outcome == REQUESTSTATE_FAILED_MAY_HAVE_RUN)
    return HTTP_BAD_GATEWAY;
  return refusal->http_status;
}

static void
send_error_response (struct httpserver_request *http,
                     const struct refusal *refusal,
                     enum requeststate_outcome outcome,
                     struct json_object *object)
{
  struct httpserver_header headers[HEADER_COUNT_MAX];
  size_t count = 0;
  char seconds[32];
  const char *text
      = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);

  headers[count].name = "x-outcome";
  headers[count++].value = requeststate_outcome_name (outcome);
  if (refusal->retry_after_ns > 0)
    {
      int64_t ns = refusal->retry_after_ns;

      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  (ns + NS_PER_S - 1) / NS_PER_S);
      headers[count].name = "retry-after";
      headers[count++].value = seconds;
    }
  httpserver_respond (http, http_status_of (refusal, outcome),
                      "application/json", headers, count, text, strlen (text));
}

/* After the first byte of a stream the status can no longer change, so the
 * error is sent as an event of the stream, which then has no end mark. */
static void
end_stream_with_error (struct httpserver_request *http,
                       struct json_object *object)
{
  char *event = g_strdup_printf (
      "event: error\ndata: %s\n\n",
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));

  httpserver_stream_write (http, event, strlen (event));
  httpserver_stream_end (http, false);
  g_free (event);
}

void
jsonresponse_end_request (struct request *request,
                          enum requeststate_outcome outcome,
                          const struct refusal *refusal)
{
  const char *name = requeststate_outcome_name (outcome);
  struct json_object *object;

  if (request->http == NULL)
    return;
  object = error_json (refusal, name, request->id);
  if (request->response_started)
    end_stream_with_error (request->http, object);
  else
    send_error_response (request->http, refusal, outcome, object);
  request->http = NULL;
  json_object_put (object);
}

void
jsonresponse_send_error (struct httpserver_request *http,
                         const struct refusal *refusal)
{
  enum requeststate_outcome outcome = REQUESTSTATE_REFUSED_NOT_RUN;
  struct json_object *object
      = error_json (refusal, requeststate_outcome_name (outcome), NULL);

  send_error_response (http, refusal, outcome, object);
  json_object_put (object);
}

void
jsonresponse_send (struct httpserver_request *http, int status,
                   struct json_object *object)
{
  const char *text
      = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);

  httpserver_respond (http, status, "application/json", NULL, 0, text,
                      strlen (text));
  json_object_put (object);
}
