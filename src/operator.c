#include "operator.h"
#include "answer.h"
#include "confhistory.h"
#include "httpjson.h"
#include "merge.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

typedef void (*operator_handler) (struct gateway *gateway,
                                  struct httpserver_request *http);

struct operator_path
{
  const char *method;
  const char *path;
  operator_handler handle;
};

static const struct refusal not_operator
    = { 403, "not_operator", "this needs the operators' bearer key", 0 };
static const struct refusal not_stored
    = { 503, "kv_unavailable",
        "the KV service did not take the change; nothing is in force of it",
        NS_PER_S };
static const struct refusal uncertain
    = { 503, "kv_uncertain",
        "the change may be stored; apply the same sheet again to learn it",
        NS_PER_S };
static const struct refusal too_large
    = { 413, "document_too_large",
        "a document would be over the KV service's limit of 1 MiB", 0 };
static const struct refusal bad_drain
    = { 400, "bad_drain",
        "the body is {\"backend_server\": NAME, \"drain\": true or false}",
        0 };
static const struct refusal no_config
    = { 503, "not_ready", "no configuration is in force here yet", NS_PER_S };

/* A call of an operator that waits for the KV service. */
struct waiting
{
  struct httpserver_request *http; /* NULL: the operator left */
  uint64_t from;
  uint64_t to;
};

static bool
is_operator (const struct gateway *gateway, struct httpserver_request *http)
{
  static const char scheme[] = "Bearer ";
  const struct settings *settings = gateway->settings;
  const char *header = httpserver_request_header (http, "authorization");
  uint8_t hash[SETTINGS_HASH_KEY_BYTES];

  if (header == NULL || strncasecmp (header, scheme, sizeof scheme - 1) != 0
      || sodium_is_zero (settings->operator_key.hash, sizeof hash))
    return false;
  header += sizeof scheme - 1;
  crypto_generichash (hash, sizeof hash, (const uint8_t *)header,
                      strlen (header), NULL, 0);
  return sodium_memcmp (hash, settings->operator_key.hash, sizeof hash) == 0;
}

static void
waiting_gone (void *data)
{
  ((struct waiting *)data)->http = NULL;
}

static struct waiting *
waiting_new (struct httpserver_request *http)
{
  struct waiting *waiting = calloc (1, sizeof *waiting);

  waiting->http = http;
  httpserver_request_on_gone (http, waiting_gone, waiting);
  return waiting;
}

static void
serve_plan (struct gateway *gateway, struct httpserver_request *http)
{
  struct config *config = gateway->config;
  size_t size;
  const char *text = httpserver_request_body (http, &size);
  struct sheet sheet;
  struct merge merge;

  config = config != NULL ? config_ref (config) : config_new_empty ();
  sheet_init (&sheet, text, size);
  merge_init (&merge, &sheet, config);
  jsonresponse_send (http, 200, merge_json (&merge));
  merge_finish (&merge);
  sheet_finish (&sheet);
  config_unref (config);
}

static void
apply_done (void *data, const struct confapply_result *result)
{
  struct waiting *waiting = data;
  struct json_object *answer;

  if (waiting->http == NULL)
    ;
  else if (result->status == STATUS_OK && result->merge != NULL)
    {
      answer = merge_json (result->merge);
      json_add_uint (answer, "revision", result->revision);
      jsonresponse_send (waiting->http, 200, answer);
    }
  else if (result->status == STATUS_TOO_LARGE)
    jsonresponse_send_error (waiting->http, &too_large);
  else
    jsonresponse_send_error (waiting->http, result->status == STATUS_UNAVAILABLE
                                     ? &not_stored
                                     : &uncertain);
  free (waiting);
}

static void
serve_apply (struct gateway *gateway, struct httpserver_request *http)
{
  size_t size;
  const char *text = httpserver_request_body (http, &size);
  const char *name = httpserver_request_header (http, "x-operator");

  confapply_submit (&gateway->process.confapply, text, size,
                   name != NULL ? name : "", apply_done, waiting_new (http));
}

static void
serve_drain (struct gateway *gateway, struct httpserver_request *http)
{
  size_t size;
  const char *text = httpserver_request_body (http, &size);
  const char *name = httpserver_request_header (http, "x-operator");
  struct json_object *body = json_tokener_parse (size > 0 ? text : "");
  char *sheet = NULL;

  if (body != NULL && gateway->config != NULL)
    sheet = sheet_create_drain (gateway->config,
                         json_field_text (body, "backend_server"),
                         json_field_bool (body, "drain"));
  json_object_put (body);
  if (sheet == NULL)
    {
      jsonresponse_send_error (http, gateway->config != NULL ? &bad_drain : &no_config);
      return;
    }
  confapply_submit (&gateway->process.confapply, sheet, strlen (sheet),
                   name != NULL ? name : "", apply_done, waiting_new (http));
  g_free (sheet);
}

static void
serve_export (struct gateway *gateway, struct httpserver_request *http)
{
  char *text;

  if (gateway->config == NULL)
    {
      jsonresponse_send_error (http, &no_config);
      return;
    }
  text = sheet_export (gateway->config);
  httpserver_respond (http, 200, "text/csv; charset=utf-8", NULL, 0, text,
                      strlen (text));
  g_free (text);
}

static const char *
role_name (enum settings_role role)
{
  return role == ROLE_GATEWAY ? "gateway" : "shard";
}

static struct json_object *
process_list (const struct roster *roster)
{
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *entry = &roster->entries[i];
      struct json_object *object = json_object_new_object ();

      json_add_text (object, "name", entry->name);
      json_add_text (object, "role", role_name (entry->role));
      json_add_text (object, "data_centre", entry->data_centre);
      json_add_text (object, "address", entry->http_address);
      json_add_text (object, "state",
                     !entry->alive    ? "dead"
                     : entry->leaving ? "leaving"
                                      : "alive");
      json_add_uint (object, "revision", entry->config_revision);
      json_object_array_add (list, object);
    }
  return list;
}

/* How many live processes have the revision in force that this one has. */
static void
serve_config (struct gateway *gateway, struct httpserver_request *http)
{
  const struct roster *roster = &gateway->process.roster;
  struct json_object *object = json_object_new_object ();
  uint64_t revision = gateway->process.config_revision;
  uint64_t processes = 0;
  uint64_t in_force = 0;

  for (size_t i = 0; i < roster->count; i++)
    {
      if (!roster->entries[i].alive)
        continue;
      processes++;
      in_force += roster->entries[i].config_revision >= revision;
    }
  json_add_uint (object, "revision", revision);
  json_add_uint (object, "processes", processes);
  json_add_uint (object, "in_force", in_force);
  jsonresponse_send (http, 200, object);
}

static uint64_t
query_number (struct httpserver_request *http, const char *name,
              uint64_t preset)
{
  const char *at = strstr (httpserver_request_query (http), name);

  return at != NULL ? strtoull (at + strlen (name), NULL, 10) : preset;
}

static void
history_read (void *data, const struct kv_reply *reply)
{
  struct waiting *waiting = data;

  if (waiting->http == NULL)
    ;
  else if (reply->status == STATUS_OK)
    jsonresponse_send (waiting->http, 200,
                 confhistory_json (reply->items, reply->item_count,
                                   waiting->from, waiting->to));
  else
    jsonresponse_send_error (waiting->http, &not_stored);
  free (waiting);
}

static void
serve_history (struct gateway *gateway, struct httpserver_request *http)
{
  struct kv *kv = &gateway->process.kvbudget.kv;
  struct waiting *waiting = waiting_new (http);

  waiting->from = query_number (http, "from=", 0);
  waiting->to = query_number (http, "to=", UINT64_MAX);
  kv->ops->range (kv, CONFHISTORY_PREFIX, history_read, waiting);
}

static struct json_object *
engine_versions (const struct load_engine *engine)
{
  struct json_object *list = json_object_new_array ();

  for (unsigned i = 0; i < engine->member_count; i++)
    {
      const struct load_group_key *key = &engine->members[i].group->key;
      struct json_object *object = json_object_new_object ();

      json_add_text (object, "model", key->model);
      json_add_text (object, "version", key->version);
      json_add_text (object, "adapter", key->adapter);
      json_object_array_add (list, object);
    }
  return list;
}

static struct json_object *
backend_list (struct gateway *gateway)
{
  static const char *const kinds[] = { "engine", "service", "store", "other" };
  struct backends *backends = &gateway->backends;
  struct json_object *list = json_object_new_array ();
  uint32_t index;

  for (size_t i = 0; i < backends->count; i++)
    {
      const struct backend *backend = &backends->items[i];
      struct json_object *object = json_object_new_object ();

      json_add_text (object, "name", backend->host.name);
      json_add_text (object, "kind", kinds[backend->host.kind]);
      json_add_text (object, "service", backend->host.service);
      json_add_text (object, "data_centre", backend->host.data_centre);
      json_add_text (object, "state",
                     backend->host.leaving ? "leaving"
                     : backend->usable     ? "live"
                                           : "out");
      json_add_uint (object, "in_flight", backend->in_flight);
      if (load_find (&backends->load, backend->id, &index))
        json_object_object_add (
            object, "versions",
            engine_versions (load_engine_at (&backends->load, index)));
      json_object_array_add (list, object);
    }
  return list;
}

static void
serve_status (struct gateway *gateway, struct httpserver_request *http)
{
  struct json_object *object = json_object_new_object ();

  json_add_uint (object, "revision", gateway->process.config_revision);
  json_object_object_add (
      object, "kv_down",
      json_object_new_boolean (kvbudget_service_is_down (&gateway->process.kvbudget)));
  json_object_object_add (object, "processes",
                          process_list (&gateway->process.roster));
  json_object_object_add (object, "backend_servers", backend_list (gateway));
  jsonresponse_send (http, 200, object);
}

static const struct operator_path paths[] = {
  { "POST", "/v1/operator/sheet/plan", serve_plan },
  { "POST", "/v1/operator/sheet/apply", serve_apply },
  { "GET", "/v1/operator/sheet/export", serve_export },
  { "GET", "/v1/operator/config", serve_config },
  { "GET", "/v1/operator/config/history", serve_history },
  { "GET", "/v1/operator/config/diff", serve_history },
  { "GET", "/v1/operator/status", serve_status },
  { "POST", "/v1/operator/drain", serve_drain },
};

bool
operator_serve (struct gateway *gateway, struct httpserver_request *http,
                const char *path)
{
  const char *method = httpserver_request_method (http);

  for (size_t i = 0; i < sizeof paths / sizeof *paths; i++)
    {
      if (strcmp (paths[i].path, path) != 0
          || strcmp (paths[i].method, method) != 0)
        continue;
      if (is_operator (gateway, http))
        paths[i].handle (gateway, http);
      else
        jsonresponse_send_error (http, &not_operator);
      return true;
    }
  return false;
}
