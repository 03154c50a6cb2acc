#include "filters.h"
#include "gateway.h"
#include "httpjson.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MAX_MS (INT64_C (24) * 3600 * 1000)

enum
{
  /* Estimated number of bytes of prompt text per token. */
  PROMPT_TOKEN_BYTES = 4,
  MAX_TOKENS_DEFAULT = 16,
  MAX_TOKENS_LIMIT = 1 << 20,
  IDEMPOTENCY_KEY_MAX_BYTES = 256
};

static const struct refusal malformed_json
    = { 400, "malformed_json", "the body is no JSON object", 0 };
static const struct refusal missing_prompt
    = { 400, "missing_prompt", "give 'prompt' or 'messages'", 0 };
static const struct refusal bad_max_tokens
    = { 400, "bad_max_tokens", "max_tokens is out of range", 0 };
static const struct refusal bad_deadline
    = { 400, "bad_deadline",
        "X-Deadline-Ms is no whole number of milliseconds", 0 };
static const struct refusal bad_idempotency_key
    = { 400, "bad_idempotency_key",
        "an Idempotency-Key has 1 to 256 printable characters", 0 };
static const struct refusal unknown_kind
    = { 400, "unknown_kind",
        "X-Kind names no request kind of this organisation", 0 };
static const struct refusal wrong_kind
    = { 400, "wrong_kind",
        "this request kind is for another path, model or service", 0 };
static const struct refusal unknown_model
    = { 404, "unknown_model", "this model is not declared", 0 };
static const struct refusal unknown_service
    = { 404, "unknown_service", "this service is not declared", 0 };
static const struct refusal adapter_denied
    = { 403, "adapter_denied",
        "this organisation may not use this adapter on this model", 0 };
static const struct refusal idempotency_key_needed
    = { 400, "idempotency_key_needed",
        "this request may run only once; send an Idempotency-Key", 0 };

static enum filter_result
refuse (struct request *request, const struct refusal *refusal)
{
  request_fail (request, refusal);
  return FILTER_FINISHED;
}

static const struct refusal *
read_kind (struct request *request)
{
  const char *name = httpserver_request_header (request->http, "x-kind");

  if (name == NULL)
    return request->type == REQUEST_SERVICE ? NULL : &unknown_kind;
  request->kind = config_request_kind (
      request->config, request->organisation->organisation, name);
  if (request->kind == NULL)
    return &unknown_kind;
  request->priority = request->kind->priority;
  request->idempotent = request->kind->idempotent == 1;
  return NULL;
}

static const struct refusal *
read_deadline (struct request *request)
{
  const char *text
      = httpserver_request_header (request->http, "x-deadline-ms");
  int64_t ms = 0;
  char *end;

  if (request->kind != NULL)
    ms = request->kind->deadline_ms;
  else if (request->service != NULL)
    ms = request->service->timeout_ms;
  if (text != NULL)
    {
      int64_t requested_ms = strtoll (text, &end, 10);

      if (*text == '\0' || *end != '\0' || requested_ms <= 0
          || requested_ms > DEADLINE_MAX_MS)
        return &bad_deadline;
      ms = requested_ms;
    }
  request->deadline_ns = request->received_ns + ms * NS_PER_MS;
  return NULL;
}

static const struct refusal *
read_idempotency_key (struct request *request)
{
  const char *key
      = httpserver_request_header (request->http, "idempotency-key");

  if (key == NULL)
    return request->idempotent ? NULL : &idempotency_key_needed;
  if (key[0] == '\0' || strlen (key) > IDEMPOTENCY_KEY_MAX_BYTES)
    return &bad_idempotency_key;
  for (const char *at = key; *at != '\0'; at++)
    if (*at < '!' || *at > '~')
      return &bad_idempotency_key;
  request->idempotency_key = g_strdup (key);
  return NULL;
}

/* The prompt text of a chat: the role and the content of each message, each
 * followed by a line feed, so that the text of a chat is a prefix of the text
 * of its continuation. */
static char *
chat_text (struct json_object *messages)
{
  GString *text = g_string_new (NULL);
  size_t count = json_object_array_length (messages);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);

      g_string_append_printf (text, "%s\n%s\n",
                              json_field_text (message, "role"),
                              json_field_text (message, "content"));
    }
  return g_string_free (text, FALSE);
}

static const struct refusal *
read_prompt (struct request *request)
{
  struct json_object *value;

  if (json_object_object_get_ex (request->json, "prompt", &value)
      && json_object_is_type (value, json_type_string))
    {
      request->prompt_size = json_object_get_string_len (value);
      request->prompt
          = g_strndup (json_object_get_string (value), request->prompt_size);
    }
  else if (json_object_object_get_ex (request->json, "messages", &value)
           && json_object_is_type (value, json_type_array))
    {
      request->prompt = chat_text (value);
      request->prompt_size = strlen (request->prompt);
    }
  else
    return &missing_prompt;
  request->prompt_tokens
      = (int64_t)(request->prompt_size + PROMPT_TOKEN_BYTES - 1)
        / PROMPT_TOKEN_BYTES;
  return NULL;
}

static const struct refusal *
read_completion (struct request *request)
{
  struct json_object *value;

  request->json = json_tokener_parse (request->body);
  if (request->json == NULL
      || !json_object_is_type (request->json, json_type_object))
    return &malformed_json;
  request->wants_stream = json_field_bool (request->json, "stream");
  request->max_tokens = MAX_TOKENS_DEFAULT;
  if (json_object_object_get_ex (request->json, "max_tokens", &value))
    request->max_tokens = json_object_get_int64 (value);
  if (request->max_tokens < 1 || request->max_tokens > MAX_TOKENS_LIMIT)
    return &bad_max_tokens;
  return read_prompt (request);
}

/* Sets the model of REQUEST, which the request kind determines; a caller
 * cannot name another model. */
static const struct refusal *
read_model (struct request *request)
{
  const char *model = json_field_text (request->json, "model");

  request->model = config_model (request->config, model);
  if (request->model == NULL)
    return &unknown_model;
  if (strcmp (request->kind->model, model) != 0)
    return &wrong_kind;
  request->adapter = json_field_text (request->json, "adapter");
  if (request->adapter[0] != '\0'
      && !config_adapter_is_permitted (request->config,
                                       request->organisation->organisation,
                                       model, request->adapter))
    return &adapter_denied;
  if (block_scope_init (&request->scope, request->organisation->organisation,
                        model, request->model->version, request->adapter)
      != STATUS_OK)
    return &unknown_model;
  return NULL;
}

/* Reads the path after the prefix, which is "NAME/REST": NAME is the service,
 * and the backend server gets the path "/REST". */
static const struct refusal *
read_service (struct request *request)
{
  const char *slash = strchr (request->path, '/');
  size_t length = slash != NULL ? (size_t)(slash - request->path)
                                : strlen (request->path);
  char *name = g_strndup (request->path, length);
  const char *query = httpserver_request_query (request->http);
  char *backend_path;

  request->service = config_service (request->config, name);
  g_free (name);
  if (request->service == NULL)
    return &unknown_service;
  if (request->kind != NULL
      && strcmp (request->kind->service, request->service->service) != 0)
    return &wrong_kind;
  if (request->kind == NULL)
    request->idempotent = request->service->idempotent == 1;
  backend_path = g_strdup_printf ("%s%s%s", slash != NULL ? slash : "/",
                                  query[0] != '\0' ? "?" : "", query);
  g_free (request->path);
  request->path = backend_path;
  request->status_lookup
      = request->idempotent && strcmp (request->method, "GET") == 0;
  return NULL;
}

enum filter_result
classify_filter (struct request *request)
{
  const struct refusal *refusal;
  const char *body
      = httpserver_request_body (request->http, &request->body_size);

  request->method = g_strdup (httpserver_request_method (request->http));
  request->content_type
      = g_strdup (httpserver_request_header (request->http, "content-type"));
  request->body = g_strndup (body, request->body_size);
  refusal = read_kind (request);
  if (refusal == NULL && request->type == REQUEST_COMPLETION)
    refusal = read_completion (request);
  if (refusal == NULL && request->type == REQUEST_COMPLETION)
    refusal = read_model (request);
  if (refusal == NULL && request->type == REQUEST_SERVICE)
    refusal = read_service (request);
  if (refusal == NULL)
    refusal = read_deadline (request);
  if (refusal == NULL)
    refusal = read_idempotency_key (request);
  if (refusal != NULL)
    return refuse (request, refusal);
  requeststate_init (&request->state, request->idempotent,
                     REQUEST_BACKENDS_MAX);
  if (request->type == REQUEST_COMPLETION && request->idempotent)
    {
      /* Only the parsed body is used from here on. Freeing the text saves
       * memory while many requests with long prompts wait. */
      g_free (request->body);
      request->body = NULL;
    }
  return FILTER_PASS;
}
