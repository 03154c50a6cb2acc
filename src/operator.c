#include "operator.h"
#include "jsonresponse.h"
#include "confhistory.h"
#include "httpjson.h"
#include "merge.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

typedef void (*operator_handler) (struct gateway *gateway,
                                  struct httpserver_request *http);

struct operator_route
{
  const char *method;
  const char *path;
  operator_handler handle;
};

static const struct refusal not_operator
    = { 403, "not_operator", "this needs the operators' bearer key", 0 };
static const struct refusal kv_unavailable
    = { 503, "kv_unavailable",
        "the KV service did not take the change; nothing is in force of it",
        NS_PER_S };
static const struct refusal kv_uncertain
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

/* An operator's request that waits for the KV service. */
struct operator_call
{
  /* Request to respond to, or NULL if the caller disconnected. */
  struct httpserver_request *http;
  uint64_t from; /* The history starts after this revision. */
  uint64_t to;   /* The history ends with this revision. */
};

static bool
has_operator_key (const struct gateway *gateway,
                  struct httpserver_request *http)
{
  static const char bearer_prefix[] = "Bearer ";
  const struct settings *settings = gateway->settings;
  const char *header = httpserver_request_header (http, "authorization");
  uint8_t hash[SETTINGS_HASH_KEY_BYTES];

  if (header == NULL
      || strncasecmp (header, bearer_prefix, sizeof bearer_prefix - 1) != 0
      || sodium_is_zero (settings->operator_key.hash, sizeof hash))
    return false;
  header += sizeof bearer_prefix - 1;
  crypto_generichash (hash, sizeof hash, (const uint8_t *)header,
                      strlen (header), NULL, 0);
  return sodium_memcmp (hash, settings->operator_key.hash, sizeof hash) == 0;
}

static void
caller_disconnected (void *data)
{
  ((struct operator_call *)data)->http = NULL;
}

static struct operator_call *
operator_call_new (struct httpserver_request *http)
{
  struct operator_call *call = calloc (1, sizeof *call);

  call->http = http;
  httpserver_request_on_disconnect (http, caller_disconnected, call);
  return call;
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
apply_finished (void *data, const struct confapply_result *result)
{
  struct operator_call *call = data;
  struct json_object *response;

  if (call->http == NULL)
    ;
  else if (result->status == STATUS_OK && result->merge != NULL)
    {
      response = merge_json (result->merge);
      json_add_uint (response, "revision", result->revision);
      jsonresponse_send (call->http, 200, response);
    }
  else if (result->status == STATUS_TOO_LARGE)
    jsonresponse_send_error (call->http, &too_large);
  else
    jsonresponse_send_error (call->http, result->status == STATUS_UNAVAILABLE
                                             ? &kv_unavailable
                                             : &kv_uncertain);
  free (call);
}

static void
serve_apply (struct gateway *gateway, struct httpserver_request *http)
{
  size_t size;
  const char *text = httpserver_request_body (http, &size);
  const char *name = httpserver_request_header (http, "x-operator");

  confapply_submit (&gateway->process.confapply, text, size,
                    name != NULL ? name : "", apply_finished,
                    operator_call_new (http));
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
      jsonresponse_send_error (http, gateway->config != NULL ? &bad_drain
                                                             : &no_config);
      return;
    }
  confapply_submit (&gateway->process.confapply, sheet, strlen (sheet),
                    name != NULL ? name : "", apply_finished,
                    operator_call_new (http));
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
processes_json (const struct roster *roster)
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

/* Responds with the number of live processes that have at least this
 * process's revision in force. */
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
              uint64_t default_value)
{
  const char *at = strstr (httpserver_request_query (http), name);

  return at != NULL ? strtoull (at + strlen (name), NULL, 10) : default_value;
}

static void
history_received (void *data, const struct kv_reply *reply)
{
  struct operator_call *call = data;

  if (call->http == NULL)
    ;
  else if (reply->status == STATUS_OK)
    jsonresponse_send (call->http, 200,
                       confhistory_json (reply->items, reply->item_count,
                                         call->from, call->to));
  else
    jsonresponse_send_error (call->http, &kv_unavailable);
  free (call);
}

static void
serve_history (struct gateway *gateway, struct httpserver_request *http)
{
  struct kv *kv = &gateway->process.kvbudget.kv;
  struct operator_call *call = operator_call_new (http);

  call->from = query_number (http, "from=", 0);
  call->to = query_number (http, "to=", UINT64_MAX);
  kv->ops->range (kv, CONFHISTORY_PREFIX, history_received, call);
}

static struct json_object *
engine_versions_json (const struct load_engine *engine)
{
  struct json_object *list = json_object_new_array ();

  for (unsigned i = 0; i < engine->membership_count; i++)
    {
      const struct load_group_key *key = &engine->memberships[i].group->key;
      struct json_object *object = json_object_new_object ();

      json_add_text (object, "model", key->model);
      json_add_text (object, "version", key->version);
      json_add_text (object, "adapter", key->adapter);
      json_object_array_add (list, object);
    }
  return list;
}

static struct json_object *
backends_json (struct gateway *gateway)
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
      if (load_find_engine (&backends->load, backend->id, &index))
        json_object_object_add (
            object, "versions",
            engine_versions_json (load_engine_at (&backends->load, index)));
      json_object_array_add (list, object);
    }
  return list;
}

static void
serve_status (struct gateway *gateway, struct httpserver_request *http)
{
  struct json_object *object = json_object_new_object ();

  json_add_uint (object, "revision", gateway->process.config_revision);
  json_object_object_add (object, "kv_down",
                          json_object_new_boolean (kvbudget_service_is_down (
                              &gateway->process.kvbudget)));
  json_object_object_add (object, "processes",
                          processes_json (&gateway->process.roster));
  json_object_object_add (object, "backend_servers", backends_json (gateway));
  jsonresponse_send (http, 200, object);
}

static const struct operator_route routes[] = {
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

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    {
      if (strcmp (routes[i].path, path) != 0
          || strcmp (routes[i].method, method) != 0)
        continue;
      if (has_operator_key (gateway, http))
        routes[i].handle (gateway, http);
      else
        jsonresponse_send_error (http, &not_operator);
      return true;
    }
  return false;
}
