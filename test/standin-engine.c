#include "standin-engine.h"
#include "clock.h"

#include <string.h>
#include <xxhash.h>

/** @file
 * Role "engine": a model engine with continuous batching. A prompt that
 * contains CRASH_ENGINE ends the process. X-Weight-Version and the others
 * come once the prefill is done.
 *
 * Faults besides the common ones:
 *   cut_after  connections of new streams are closed after N pieces
 *   crossed    a piece of another request before each of the next N pieces
 *   doubled    each of the next N pieces is sent twice
 *   late       MS that new runs wait before their prefill
 *   event_gap  the next N cache events are lost
 *   full       1: completions answer 503 with X-Not-Run
 *   leaving    1: the same, and the load report says so
 *   no_resume  the next N resumes get a response that is no stream
 *   bad_load   1: orders to load are accepted, but nothing is loaded
 */

enum
{
  SNAPSHOTS = 8 /* in one span of --load-lag-ms */
};

struct loaded
{
  const char *model; /* interned, as the others */
  const char *version;
  const char *adapter; /* "": none */
};

static const char *const faults[]
    = { "cut_after", "crossed", "doubled",  "late",      "event_gap",
        "full",      "leaving", "bad_load", "no_resume", NULL };

struct engine_settings engine_settings = { .prefill_rate = 20000,
                                           .decode_ms = 20,
                                           .slots = 16,
                                           .queue = 64,
                                           .cache_blocks = 64,
                                           .piece_tokens = 2000,
                                           .bytes_per_token = 16,
                                           .event_ring = 1024,
                                           .priority = TRUE };

struct engine_stats engine_stats;

static char *name;
static char **models;
static char **versions;
static char **adapters;
static char *weights_url;
static char *engine_role;
static int load_lag_ms;
static gboolean check_fencing;

static struct
{
  GArray *loaded;     /* struct loaded */
  GHashTable *orders; /* accepted ones */
  int64_t fencing;
  int64_t incarnation;
  int64_t sequence;
  char *snapshots[SNAPSHOTS + 1]; /* load reports, the oldest first */
} self;

static const GOptionEntry options[] = {
  { "name", 0, 0, G_OPTION_ARG_STRING, &name, "Name of the engine", "NAME" },
  { "model", 0, 0, G_OPTION_ARG_STRING_ARRAY, &models,
    "Loaded model; again for more", "M" },
  { "version", 0, 0, G_OPTION_ARG_STRING_ARRAY, &versions,
    "Version of the model at the same place, or of the last one", "V" },
  { "adapter", 0, 0, G_OPTION_ARG_STRING_ARRAY, &adapters,
    "Adapter loaded for the first model and version; again for more", "A" },
  { "role", 0, 0, G_OPTION_ARG_STRING, &engine_role, "Reported role", "ROLE" },
  { "prefill-rate", 0, 0, G_OPTION_ARG_INT, &engine_settings.prefill_rate,
    "Tokens/s, shared; 0: no time", "N" },
  { "decode-ms", 0, 0, G_OPTION_ARG_DOUBLE, &engine_settings.decode_ms,
    "Per token; 0: as fast as it is read", "MS" },
  { "slots", 0, 0, G_OPTION_ARG_INT, &engine_settings.slots, "Runs at a time",
    "N" },
  { "queue", 0, 0, G_OPTION_ARG_INT, &engine_settings.queue,
    "Requests that may wait", "N" },
  { "cache-blocks", 0, 0, G_OPTION_ARG_INT, &engine_settings.cache_blocks,
    "Size of the prefix cache", "N" },
  { "piece-tokens", 0, 0, G_OPTION_ARG_INT, &engine_settings.piece_tokens,
    "Tokens of a block", "N" },
  { "bytes-per-token", 0, 0, G_OPTION_ARG_INT,
    &engine_settings.bytes_per_token, "Of KV cache, scaled down", "N" },
  { "event-ring", 0, 0, G_OPTION_ARG_INT, &engine_settings.event_ring,
    "Cache events kept", "N" },
  { "event-lag-ms", 0, 0, G_OPTION_ARG_INT, &engine_settings.event_lag_ms,
    "Age of the cache events shown", "MS" },
  { "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &load_lag_ms,
    "Age of the load report", "MS" },
  { "priority", 0, 0, G_OPTION_ARG_NONE, &engine_settings.priority,
    "Urgent requests first (default)", NULL },
  { "no-priority", 0, G_OPTION_FLAG_REVERSE, G_OPTION_ARG_NONE,
    &engine_settings.priority, "Requests in the order they come", NULL },
  { "check-fencing", 0, 0, G_OPTION_ARG_NONE, &check_fencing,
    "Refuse orders with an old fencing number", NULL },
  { "weights", 0, 0, G_OPTION_ARG_STRING, &weights_url,
    "URL of the weight store", "URL" },
  { 0 },
};

/* Weights */

/* The loaded weights that match, or NULL. VERSION NULL: any, the last one. */
static const struct loaded *
loaded_find (const char *model, const char *version, const char *adapter)
{
  for (guint i = self.loaded->len; i-- > 0;)
    {
      const struct loaded *loaded
          = &g_array_index (self.loaded, struct loaded, i);

      if (strcmp (loaded->model, model) == 0
          && (!version || strcmp (loaded->version, version) == 0)
          && strcmp (loaded->adapter, adapter) == 0)
        return loaded;
    }
  return NULL;
}

static void
loaded_add (const char *model, const char *version, const char *adapter)
{
  struct loaded loaded = { g_intern_string (model), g_intern_string (version),
                           g_intern_string (adapter) };

  if (!loaded_find (model, version, adapter))
    g_array_append_val (self.loaded, loaded);
}

static void
loaded_drop (const char *model, const char *version, const char *adapter)
{
  const struct loaded *loaded = loaded_find (model, version, adapter);

  if (loaded)
    g_array_remove_index (
        self.loaded,
        (guint)(loaded - &g_array_index (self.loaded, struct loaded, 0)));
}

/* Orders */

static void
on_weights (void *data, const struct fetch_reply *reply)
{
  struct loaded *loaded = data;

  engine_stats.loading--;
  if (reply->status == 200)
    loaded_add (loaded->model, loaded->version, loaded->adapter);
  g_free (loaded);
}

static void
order_load (const char *model, const char *version, const char *adapter)
{
  struct loaded loaded = { g_intern_string (model), g_intern_string (version),
                           g_intern_string (adapter) };
  char *url;

  if (fault_value ("bad_load"))
    return;
  if (!weights_url)
    {
      loaded_add (model, version, adapter);
      return;
    }
  engine_stats.loading++;
  url = g_strdup_printf ("%s/v1/weights/%s/%s", weights_url, model, version);
  fetch ("GET", url, NULL, 0, on_weights, g_memdup2 (&loaded, sizeof loaded));
  g_free (url);
}

static void
order_run (struct json_object *order)
{
  const char *kind = json_string (order, "kind", "");
  const char *model = json_string (order, "model", "");
  const char *version = json_string (order, "version", "");
  const char *adapter = json_string (order, "adapter", "");

  if (strcmp (kind, "load") == 0)
    order_load (model, version, adapter);
  else if (strcmp (kind, "unload") == 0)
    loaded_drop (model, version, adapter);
  else if (strcmp (kind, "role") == 0)
    {
      g_free (engine_role);
      engine_role = g_strdup (json_string (order, "role", ""));
    }
}

static void
order_handle (const struct call *call)
{
  int64_t fencing = json_int (call->body, "fencing", 0);
  const char *order = json_string (call->body, "order", "");

  if (fencing < self.fencing && check_fencing)
    {
      engine_stats.fenced++;
      http_json (call->req, 409,
                 json_put (NULL, "fencing", 'i', self.fencing, NULL));
      return;
    }
  if (fencing < self.fencing)
    engine_stats.ignored_fencing++;
  self.fencing = MAX (self.fencing, fencing);
  if (g_hash_table_add (self.orders, g_strdup (order)))
    order_run (call->body);
  http_json (call->req, 202, json_object_new_object ());
}

/* Load reports */

static struct json_object *
versions_describe (void)
{
  struct json_object *array = json_object_new_array ();

  for (guint i = 0; i < self.loaded->len; i++)
    {
      const struct loaded *loaded
          = &g_array_index (self.loaded, struct loaded, i);

      json_object_array_add (array,
                             json_put (NULL, "model", 's', loaded->model,
                                       "version", 's', loaded->version,
                                       "adapter", 's', loaded->adapter, NULL));
    }
  return array;
}

static char *
load_report (void)
{
  const char *state = fault_value ("leaving") ? "leaving" : "ready";
  struct json_object *report = json_put (
      NULL, "engine", 's', name, "incarnation", 'i', self.incarnation,
      "sequence", 'i', ++self.sequence, "state", 's', state, "role", 's',
      engine_role, "running", 'i', engine_stats.running, "queued", 'i',
      engine_stats.queued, "queued_tokens", 'i', runs_queued_tokens (),
      "prefill_tokens_per_s", 'i', (int64_t)engine_settings.prefill_rate,
      "cache_blocks", 'i', (int64_t)cache_count (), "versions", 'o',
      versions_describe (), NULL);
  char *text = g_strdup (
      json_object_to_json_string_ext (report, JSON_C_TO_STRING_PLAIN));

  json_object_put (report);
  return text;
}

/* The span of all snapshots together is the lag. */
static void
on_snapshot (void *data)
{
  g_free (self.snapshots[0]);
  memmove (self.snapshots, self.snapshots + 1,
           SNAPSHOTS * sizeof *self.snapshots);
  self.snapshots[SNAPSHOTS] = load_report ();
}

static void
load_reply (const struct call *call)
{
  char *fresh = load_lag_ms > 0 ? NULL : load_report ();
  const char *text = fresh ? fresh : self.snapshots[0];

  http_reply (call->req, 200, "application/json", text, strlen (text));
  g_free (fresh);
}

/* Exports */

struct export
{
  h2o_req_t *req;
  size_t size;
  char checksum[17];
};

static void
on_exported (void *data, const struct fetch_reply *reply)
{
  struct export *export = data;

  engine_stats.exports += reply->status == 200;
  if (reply->status == 200)
    http_json (export->req, 200,
               json_put (NULL, "length", 'i', (int64_t) export->size,
                         "checksum", 's', export->checksum, NULL));
  else
    http_code (export->req, reply->status ? reply->status : 502, "export");
  g_free (export);
}

static void
export_handle (const struct call *call)
{
  const char *block = json_string (call->body, "block", "");
  struct export *export;
  uint8_t *bytes;

  if (!cache_has (block))
    {
      http_code (call->req, 404, "not_cached");
      return;
    }
  export = g_new0 (struct export, 1);
  export->req = call->req;
  bytes = block_bytes (block, &export->size);
  snprintf (export->checksum, sizeof export->checksum, "%016llx",
            (unsigned long long)XXH3_64bits (bytes, export->size));
  fetch ("PUT", json_string (call->body, "url", ""), bytes, export->size,
         on_exported, export);
  g_free (bytes);
}

/* Requests */

static void
completion_handle (const struct call *call)
{
  struct json_object *ask = NULL;
  const struct loaded *loaded;

  json_object_object_get_ex (call->body, "trefoilspar", &ask);
  loaded = loaded_find (json_string (call->body, "model", ""),
                        json_string (ask, "weight_version", NULL),
                        json_string (ask, "adapter", ""));
  if (!loaded)
    http_code (call->req, 409, "version");
  else
    run_start (call, loaded->version);
}

static void
versions_load (void)
{
  guint model_count = models ? g_strv_length (models) : 0;
  guint version_count = versions ? g_strv_length (versions) : 0;

  for (guint i = 0; i < MAX (model_count, version_count); i++)
    loaded_add (model_count ? models[MIN (i, model_count - 1)] : "model",
                version_count ? versions[MIN (i, version_count - 1)] : "1",
                "");
  if (self.loaded->len == 0)
    loaded_add ("model", "1", "");
  for (guint i = 0; adapters && adapters[i]; i++)
    {
      struct loaded first = g_array_index (self.loaded, struct loaded, 0);

      loaded_add (first.model, first.version, adapters[i]);
    }
}

static void
start (void)
{
  name = name ? name : g_strdup ("engine");
  engine_role = engine_role ? engine_role : g_strdup ("mixed");
  self.loaded = g_array_new (FALSE, FALSE, sizeof (struct loaded));
  self.orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self.incarnation = g_get_real_time ();
  cache_init ();
  runs_init ();
  versions_load ();
  for (int i = 0; i <= SNAPSHOTS; i++)
    self.snapshots[i] = load_report ();
  if (load_lag_ms > 0)
    server_every (MAX ((uint64_t)load_lag_ms / SNAPSHOTS, 1), on_snapshot,
                  NULL);
}

static const struct route routes[] = {
  { "POST", "/v1/completions", completion_handle },
  { "POST", "/v1/chat/completions", completion_handle },
  { "POST", "/v1/resume", run_resume },
  { "POST", "/v1/cancel", run_cancel },
  { "GET", "/v1/load", load_reply },
  { "GET", "/v1/cache/events", cache_events_reply },
  { "GET", "/v1/cache/blocks", cache_blocks_reply },
  { "POST", "/v1/kv/export", export_handle },
  { "POST", "/v1/orders", order_handle },
  { 0 },
};

static const struct counter counters[]
    = { { "running", &engine_stats.running },
        { "queued", &engine_stats.queued },
        { "started", &engine_stats.started },
        { "completed", &engine_stats.completed },
        { "cancelled", &engine_stats.cancelled },
        { "resumed", &engine_stats.resumed },
        { "repeated", &engine_stats.repeated },
        { "cached_tokens", &engine_stats.cached_tokens },
        { "imported_tokens", &engine_stats.imported_tokens },
        { "computed_tokens", &engine_stats.computed_tokens },
        { "wrong_bytes", &engine_stats.wrong_bytes },
        { "wrong_versions", &engine_stats.wrong_versions },
        { "exports", &engine_stats.exports },
        { "loading", &engine_stats.loading },
        { "fenced", &engine_stats.fenced },
        { "ignored_fencing", &engine_stats.ignored_fencing },
        { 0 } };

const struct role role_engine = { .name = "engine",
                                  .faults = faults,
                                  .options = options,
                                  .routes = routes,
                                  .counters = counters,
                                  .start = start };
