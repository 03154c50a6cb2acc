#include "explainjson.h"
#include "httpjson.h"

#include <math.h>
#include <string.h>

enum
{
  DEPTH_MAX = 8,
  TOKENS_MAX = 100000000,
  TIME_LEFT_MS_MAX = 24 * 3600 * 1000,
  BLOCK_ID_DIGITS_MAX = 16,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400
};

static enum status
refuse (struct error *error, const char *name, const char *rule)
{
  return error_set (error, STATUS_INVALID, "%s: %s", name, rule);
}

/* Whether VALUE is a text of 1 to MAX - 1 bytes without a NUL. */
static bool
is_text (struct json_object *value, size_t max)
{
  size_t size;

  if (!json_object_is_type (value, json_type_string))
    return false;
  size = (size_t)json_object_get_string_len (value);
  return size > 0 && size < max
         && strlen (json_object_get_string (value)) == size;
}

static enum status
text_read (const char *name, struct json_object *value, size_t max,
           const char **text, struct error *error)
{
  if (!is_text (value, max))
    return refuse (error, name, "not a text of permitted length");
  *text = json_object_get_string (value);
  return STATUS_OK;
}

/* Whether VALUE is an integer from 0 to MAX. */
static bool
is_uint (struct json_object *value, int64_t max)
{
  return json_object_is_type (value, json_type_int)
         && json_object_get_int64 (value) >= 0
         && json_object_get_int64 (value) <= max;
}

static enum status
uint_read (const char *name, struct json_object *value, int64_t max,
           int64_t *number, struct error *error)
{
  if (!is_uint (value, max))
    return refuse (error, name, "not an integer in the permitted range");
  *number = json_object_get_int64 (value);
  return STATUS_OK;
}

/* Parse a hexadecimal id. */
static bool
block_id_parse (const char *text, uint64_t *id)
{
  size_t size = strlen (text);

  *id = 0;
  for (const char *digit = text; *digit != '\0'; digit++)
    {
      if (!g_ascii_isxdigit (*digit))
        return false;
      *id = *id << 4 | (uint64_t)g_ascii_xdigit_value (*digit);
    }
  return size > 0 && size <= BLOCK_ID_DIGITS_MAX;
}

static bool
block_parse (struct json_object *value, struct call_block *block)
{
  struct json_object *id, *tokens;

  if (!json_object_is_type (value, json_type_array)
      || json_object_array_length (value) != 2)
    return false;
  id = json_object_array_get_idx (value, 0);
  tokens = json_object_array_get_idx (value, 1);
  if (!is_text (id, BLOCK_ID_DIGITS_MAX + 1)
      || !block_id_parse (json_object_get_string (id), &block->id)
      || !is_uint (tokens, TOKENS_MAX))
    return false;
  block->tokens = (unsigned)json_object_get_int64 (tokens);
  return true;
}

static enum status
blocks_read (struct json_object *value, struct call *call, struct error *error)
{
  if (!json_object_is_type (value, json_type_array)
      || json_object_array_length (value) > CALL_BLOCKS_MAX)
    return refuse (error, "blocks", "not a list of permitted length");
  call->block_count = (unsigned)json_object_array_length (value);
  for (unsigned i = 0; i < call->block_count; i++)
    if (!block_parse (json_object_array_get_idx (value, i), &call->blocks[i]))
      return error_set (error, STATUS_INVALID,
                        "blocks: element %u is not [hexadecimal id, tokens]",
                        i);
  return STATUS_OK;
}

/* Read the field NAME, as the header fields of a request are read. */
static enum status
field_read (const char *name, struct json_object *value,
            struct explain_request *request, struct error *error)
{
  struct call *call = &request->call;
  enum status status;
  const char *text = "";
  int64_t number = 0;

  if (strcmp (name, "host") == 0)
    {
      status = text_read (name, value, sizeof call->host, &text, error);
      g_strlcpy (call->host, text, sizeof call->host);
      for (char *at = call->host; *at != '\0'; at++)
        *at = *at == ':' ? '\0' : g_ascii_tolower (*at);
      return status;
    }
  if (strcmp (name, "path") == 0)
    {
      status = text_read (name, value, sizeof call->path, &text, error);
      g_strlcpy (call->path, text, sizeof call->path);
      call->path[strcspn (call->path, "?")] = '\0';
      return status == STATUS_OK && text[0] != '/'
                 ? refuse (error, name, "does not begin with a slash")
                 : status;
    }
  if (strcmp (name, "organisation") == 0)
    return text_read (name, value, CALL_HOST_MAX, &request->organisation,
                      error);
  if (strcmp (name, "service") == 0)
    return text_read (name, value, CALL_HOST_MAX, &request->service, error);
  if (strcmp (name, "model") == 0)
    return text_read (name, value, SERVER_NAME_MAX, &call->model, error);
  if (strcmp (name, "blocks") == 0)
    return blocks_read (value, call, error);
  if (strcmp (name, "prompt_tokens") == 0)
    {
      status = uint_read (name, value, TOKENS_MAX, &number, error);
      call->prompt_tokens = (unsigned)number;
      return status;
    }
  if (strcmp (name, "output_tokens") == 0)
    {
      status = uint_read (name, value, TOKENS_MAX, &number, error);
      call->output_tokens = (unsigned)number;
      return status;
    }
  if (strcmp (name, "time_left_ms") == 0)
    {
      status = uint_read (name, value, TIME_LEFT_MS_MAX, &number, error);
      call->timeout_ns = number * NS_PER_MS;
      return status;
    }
  return error_set (error, STATUS_INVALID, "%.64s: unknown field", name);
}

enum status
explainjson_parse (const char *text, size_t size,
                   struct json_object **document,
                   struct explain_request *request, struct error *error)
{
  struct json_tokener *tokener = json_tokener_new_ex (DEPTH_MAX);
  bool whole;

  memset (request, 0, sizeof *request);
  request->call.timeout_ns = -1;
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  *document = size <= EXPLAINJSON_REQUEST_BYTES_MAX
                  ? json_tokener_parse_ex (tokener, text, (int)size)
                  : NULL;
  whole = json_tokener_get_error (tokener) == json_tokener_success
          && json_tokener_get_parse_end (tokener) == size;
  json_tokener_free (tokener);
  if (!whole || !json_object_is_type (*document, json_type_object))
    return refuse (error, "body", "not a JSON object");
  json_object_object_foreach (*document, name, value)
  {
    if (field_read (name, value, request, error) != STATUS_OK)
      return STATUS_INVALID;
  }
  if (request->call.host[0] == '\0')
    return refuse (error, "host", "missing");
  if (request->call.path[0] == '\0')
    return refuse (error, "path", "missing");
  return STATUS_OK;
}

/* Add MS, or null if it is infinite. */
static void
add_ms (struct json_object *object, const char *key, double ms)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  /* The estimate of an engine without memory is infinite, which JSON doesn't
   * have. */
  if (!isfinite (ms))
    {
      json_object_object_add (object, key, NULL);
      return;
    }
  g_ascii_formatd (text, sizeof text, "%.3f", ms);
  json_object_object_add (object, key, json_object_new_double_s (ms, text));
}

/* Add NS in ms, or null if it is negative or never. */
static void
add_ns (struct json_object *object, const char *key, int64_t ns)
{
  if (ns < 0 || ns == CLOCK_NEVER)
    json_object_object_add (object, key, NULL);
  else
    add_ms (object, key, (double)ns / NS_PER_MS);
}

static void
add_text (struct json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key,
                          text != NULL ? json_object_new_string (text) : NULL);
}

/* The last load report of SERVER, or null if there was none. */
static struct json_object *
load_report (const struct server *server, int64_t now_ns)
{
  struct json_object *object;

  if (!server->has_load_report)
    return NULL;
  object = json_object_new_object ();
  json_add_uint (object, "running", server->running_requests);
  json_add_uint (object, "waiting", server->waiting_requests);
  add_ns (object, "age_ms", MAX (now_ns - server->load_reported_ns, 0));
  return object;
}

/* The limit that SERVER states, or null if it states none. */
static struct json_object *
stated_limit (const struct server *server, int64_t now_ns)
{
  const struct serverlimit *limit = &server->limit;
  struct json_object *object;

  if (!limit->limited)
    return NULL;
  object = json_object_new_object ();
  add_ms (object, "per_s", limit->per_s);
  add_ms (object, "own_per_s", serverlimit_own_rate (limit, now_ns));
  add_ns (object, "wait_ms", serverlimit_wait_ns (limit, now_ns));
  return object;
}

static struct json_object *
candidate_json (const struct choose_candidate *candidate, const char *model,
                int64_t now_ns)
{
  const struct server *server = candidate->server;
  struct json_object *object = json_object_new_object ();

  json_add_text (object, "server", server->entry.id);
  json_add_text (object, "address", server->entry.address);
  json_add_text (object, "data_centre", server->entry.data_centre);
  json_add_text (object, "verdict", choose_verdict_name (candidate->verdict));
  add_ms (object, "expected_ms", candidate->expected_ms);
  add_ms (object, "backlog_ms", candidate->estimate.backlog_ms);
  add_ms (object, "prompt_ms", candidate->estimate.prompt_ms);
  add_ms (object, "store_delay_ms", candidate->estimate.store_delay_ms);
  add_ms (object, "cost_ms", candidate->cost_ms);
  json_add_uint (object, "cached_tokens", candidate->estimate.cached_tokens);
  if (model != NULL)
    json_add_uint (object, "weight_version",
                   server_weight_version (server, model));
  json_add_uint (object, "in_flight_requests", server->in_flight_requests);
  json_add_uint (object, "in_flight_tokens", server->in_flight_tokens);
  json_add_uint (object, "other_hosts_requests", server->other_hosts_requests);
  json_add_uint (object, "other_hosts_tokens",
                 server->other_hosts_memory_tokens);
  json_add_uint (object, "capacity_tokens", server->kv_capacity_tokens);
  json_add_uint (object, "slots", server->entry.slots);
  json_object_object_add (object, "load", load_report (server, now_ns));
  json_object_object_add (object, "limit", stated_limit (server, now_ns));
  add_ns (object, "pause_ms", MAX (server->pause.until_ns - now_ns, 0));
  return object;
}

static struct json_object *
candidates_json (const struct explain *explain, const char *model,
                 int64_t now_ns)
{
  struct json_object *list = json_object_new_array ();
  guint count
      = MIN (explain->candidates->len, (guint)EXPLAINJSON_CANDIDATES_MAX);

  for (guint i = 0; i < count; i++)
    json_object_array_add (
        list, candidate_json (&g_array_index (explain->candidates,
                                              struct choose_candidate, i),
                              model, now_ns));
  return list;
}

struct json_object *
explainjson_reply (const struct explain *explain, const char *model,
                   int64_t now_ns)
{
  struct json_object *object = json_object_new_object ();
  const struct choose_result *choice = &explain->choice;
  bool is_sent = explain->action == EXPLAIN_SENT;

  json_add_text (object, "action", explain_action_name (explain->action));
  add_text (object, "reason", explain->reason);
  add_text (object, "server", is_sent ? choice->server->entry.id : NULL);
  json_add_uint (object, "equal_servers", is_sent ? explain->equal_count : 0);
  add_ns (object, "wait_ms", explain->wait_ns);
  json_object_object_add (object, "offered_to_hosts",
                          json_object_new_boolean (explain->offered_to_hosts));
  add_text (object, "route",
            explain->route != NULL ? explain->route->name : NULL);
  add_text (object, "service", explain->service);
  add_text (object, "organisation",
            explain->organisation != NULL ? explain->organisation->name
                                          : NULL);
  add_text (object, "model", model);
  json_object_object_add (object, "wanted_weights",
                          explain->wanted != NULL ? json_object_new_uint64 (
                              explain->wanted->version)
                                                  : NULL);
  json_add_uint (object, "required_weights", explain->required_version);
  json_add_uint (object, "waiting_here", explain->waiting_here);
  json_add_uint (object, "waiting_service", explain->waiting_service);
  json_add_uint (object, "other_subsets", explain->other_subsets);
  json_add_uint (
      object, "left_out",
      explain->candidates->len
          - MIN (explain->candidates->len, (guint)EXPLAINJSON_CANDIDATES_MAX));
  json_object_object_add (object, "candidates",
                          candidates_json (explain, model, now_ns));
  return object;
}

static struct json_object *
error_json (const struct error *error)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *member = json_object_new_object ();

  json_add_text (member, "code", status_name (error->status));
  json_add_text (member, "message", error->message);
  json_object_object_add (object, "error", member);
  return object;
}

int
explainjson_handle (struct forwarder *forwarder, const char *body, size_t size,
                    GString *reply)
{
  struct json_object *document, *object;
  struct explain_request request;
  struct explain explain;
  struct error error;
  enum status status
      = explainjson_parse (body, size, &document, &request, &error);

  if (status == STATUS_OK)
    {
      status = explain_init (&explain, forwarder, &request, &error);
      if (status == STATUS_OK)
        object = explainjson_reply (&explain, request.call.model,
                                    clock_now (forwarder->clock));
      explain_finish (&explain);
    }
  if (status != STATUS_OK)
    object = error_json (&error);
  g_string_append (
      reply, json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  json_object_put (document);
  return status == STATUS_OK ? HTTP_OK : HTTP_BAD_REQUEST;
}
