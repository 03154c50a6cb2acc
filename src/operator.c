#include "operator.h"
#include "admission.h"
#include "answer.h"
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
static const struct refusal conflict
    = { 409, "configuration_moved",
        "the configuration changed meanwhile; apply the sheet again",
        NS_PER_S };
static const struct refusal kv_unavailable
    = { 503, "kv_unavailable",
        "the KV service gave no certain answer; apply the sheet again",
        NS_PER_S };

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
merge_body (struct gateway *gateway, struct httpserver_request *http,
            struct sheet *sheet, struct merge *merge)
{
  size_t size;
  const char *text = httpserver_request_body (http, &size);
  struct config *config = gateway->confpoll.config;

  config = config != NULL ? config_ref (config) : config_empty ();
  sheet_init (sheet, text, size);
  merge_init (merge, sheet, config);
  config_unref (config);
}

static void
serve_plan (struct gateway *gateway, struct httpserver_request *http)
{
  struct sheet sheet;
  struct merge merge;

  merge_body (gateway, http, &sheet, &merge);
  answer_json (http, 200, merge_json (&merge));
  merge_finish (&merge);
  sheet_finish (&sheet);
}

struct apply
{
  struct httpserver_request *http; /* NULL: the operator left */
  struct json_object *answer;
};

static void
apply_gone (void *data)
{
  ((struct apply *)data)->http = NULL;
}

static void
apply_done (void *data, const struct kv_reply *reply)
{
  struct apply *apply = data;

  if (apply->http != NULL && reply->status == STATUS_OK)
    answer_json (apply->http, 200, json_object_get (apply->answer));
  else if (apply->http != NULL)
    answer_error (apply->http, reply->status == STATUS_CONFLICT
                                   ? &conflict
                                   : &kv_unavailable);
  json_object_put (apply->answer);
  free (apply);
}

static void
serve_apply (struct gateway *gateway, struct httpserver_request *http)
{
  struct sheet sheet;
  struct merge merge;

  merge_body (gateway, http, &sheet, &merge);
  if (merge.result == NULL)
    answer_json (http, 200, merge_json (&merge));
  else
    {
      struct apply *apply = calloc (1, sizeof *apply);

      apply->http = http;
      apply->answer = merge_json (&merge);
      json_add_uint (apply->answer, "revision", merge.result->revision);
      httpserver_request_on_gone (http, apply_gone, apply);
      confpoll_write (&gateway->confpoll, merge.result, apply_done, apply);
    }
  merge_finish (&merge);
  sheet_finish (&sheet);
}

static const struct operator_path paths[] = {
  { "POST", "/v1/operator/sheet/plan", serve_plan },
  { "POST", "/v1/operator/sheet/apply", serve_apply },
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
        answer_error (http, &not_operator);
      return true;
    }
  return false;
}

static void
config_changed (void *data)
{
  struct gateway *gateway = data;

  config_unref (gateway->config);
  gateway->config = config_ref (gateway->confpoll.config);
  gateway->process.config_revision = gateway->config->revision;
  admission_configure (gateway);
  log_event (&gateway->process.log, EVENT_CONFIG_APPLIED,
             "revision=%" G_GUINT64_FORMAT, gateway->config->revision);
}

void
operator_init (struct gateway *gateway)
{
  confpoll_init (&gateway->confpoll, &gateway->process.kvhttp.kv,
                 &gateway->process.clock, config_changed, gateway);
}

void
operator_finish (struct gateway *gateway)
{
  confpoll_finish (&gateway->confpoll);
}

void
operator_tick (struct gateway *gateway)
{
  confpoll_tick (&gateway->confpoll);
}
