#include "rolloutengine.h"
#include "serverevacuate.h"
#include "serverlearn.h"
#include "weights.h"

#include <string.h>

enum
{
  QUERY_RETRY_MS = 250,    /* Delay before the next query to an engine. */
  REFUSED_RETRY_MS = 1000, /* Delay before the next query after the engine
                              reported that it can't execute the order. */
  /* An engine completes its requests and loads weights in about this time. */
  ENGINE_LOAD_MS = 1300,
  /* An engine gets no requests for this long after an order, or after it
   * reported that it is executing one. */
  BUSY_HOLD_MS = 400
};

/* Time by which all engines should have new weights, as a multiple of
 * `within_ns`. It is over 1, since engines that are late get no requests any
 * more. */
static const double rollout_time_share = 1.2;

enum engine_step
{
  ENGINE_STEP_QUERY, /* The next step is to query the engine. */
  ENGINE_STEP_WAIT   /* A call to the engine is in flight. */
};

/* An engine with older weights than wanted, which this host updates. */
struct rollout_engine
{
  struct rollout *rollout;
  struct server *server;
  char model[SERVER_NAME_MAX];
  uint64_t version;         /* Version that the engine shall have. */
  uint64_t ordered_version; /* Version that the last order named; an older one
                               if a newer version was set since. */
  uint64_t fencing_token; /* Fencing token of the last order to the engine. */
  enum engine_step step;
  bool is_loading; /* Whether rollout.loading_count includes the engine. */
  bool abandoned;  /* Whether the engine was removed from the rollout, so that
                      it is freed when the call in flight ends. */
  int64_t next_query_ns;
};

static void
engine_set_loading (struct rollout_engine *engine, bool is_loading)
{
  if (engine->is_loading == is_loading)
    return;
  engine->is_loading = is_loading;
  engine->rollout->loading_count += is_loading ? 1 : -1;
}

static void
engine_free (struct rollout_engine *engine)
{
  server_unref (engine->server);
  g_free (engine);
}

/* Frees an engine that was removed from rollout.engines, once no call to it is
 * in flight. */
static void
engine_removed (void *data)
{
  struct rollout_engine *engine = data;

  engine_set_loading (engine, false);
  if (engine->step == ENGINE_STEP_WAIT)
    engine->abandoned = true;
  else
    engine_free (engine);
}

void
rolloutengines_init (struct rollout *rollout)
{
  rollout->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_removed);
}

/* Whether the engine is sent nothing by this host now: it asked for a pause,
 * or its data centre is or may be evacuated. */
static bool
is_paused (const struct rollout_engine *engine)
{
  return engine->server->evacuated
         || servers_hold_sends (engine->rollout->servers)
         || !serverpause_allows (&engine->server->pause,
                                 clock_now (engine->rollout->clock));
}

static void
engine_query_after (struct rollout_engine *engine, int64_t delay_ms)
{
  engine->step = ENGINE_STEP_QUERY;
  engine->next_query_ns
      = clock_now (engine->rollout->clock) + delay_ms * NS_PER_MS;
}

/* Handles the end of the call in flight. Frees ENGINE and returns false if the
 * engine was removed from the rollout during the call. */
static bool
engine_end_call (struct rollout_engine *engine)
{
  engine->step = ENGINE_STEP_QUERY;
  if (!engine->abandoned)
    return true;
  engine_free (engine);
  return false;
}

/* Records that ENGINE has VERSION. The engine stays in the rollout if a newer
 * version was set meanwhile. */
static void
engine_loaded (struct rollout_engine *engine, uint64_t version)
{
  struct rollout *rollout = engine->rollout;

  server_set_weight_version (rollout->servers, engine->server, engine->model,
                             version);
  engine->server->busy_until_ns = 0;
  log_event (rollout->log, EVENT_SWAP_DONE,
             "server=%s model=%s version=%lu fence=%lu",
             engine->server->entry.id, engine->model, (unsigned long)version,
             (unsigned long)engine->fencing_token);
  if (version >= engine->version)
    {
      g_hash_table_remove (rollout->engines, engine->server->entry.id);
      return;
    }
  engine_set_loading (engine, false);
  engine_query_after (engine, 0);
}

static void
order_replied (void *data, enum weights_reply answer,
               const struct statement *statement)
{
  static const char *const answer_names[]
      = { "accepted",     "done",    "busy",   "fenced",
          "other_server", "refused", "unknown" };
  struct rollout_engine *engine = data;
  struct rollout *rollout = engine->rollout;

  serverlearn_statement (rollout->servers, engine->server, statement);
  if (!engine_end_call (engine))
    return;
  log_event (rollout->log, EVENT_SWAP_ANSWER,
             "server=%s model=%s version=%lu fence=%lu answer=%s",
             engine->server->entry.id, engine->model,
             (unsigned long)engine->ordered_version,
             (unsigned long)engine->fencing_token, answer_names[answer]);
  switch (answer)
    {
    case WEIGHTS_REPLY_DONE:
      engine_loaded (engine, engine->ordered_version);
      break;
    case WEIGHTS_REPLY_FENCED:
      rollout->refused_token = engine->fencing_token;
      rollout->vacant_since_ns = clock_now (rollout->clock);
      rollout_lose_leadership (rollout, "fenced");
      break;
    case WEIGHTS_REPLY_REFUSED:
    case WEIGHTS_REPLY_OTHER_SERVER:
      engine_set_loading (engine, false);
      engine_query_after (engine, REFUSED_RETRY_MS);
      break;
    default:
      if (statement->pause == STATEMENT_VALID)
        engine_set_loading (engine, false);
      engine_query_after (engine, QUERY_RETRY_MS);
      break;
    }
}

static void
engine_order (struct rollout_engine *engine, uint64_t orders)
{
  struct rollout *rollout = engine->rollout;
  struct weights_order order = {
    .server_id = engine->server->entry.id,
    .model = engine->model,
    .version = engine->version,
    .leader = rollout->instance_name,
    .fencing_token = rollout->fencing_token,
    .order_count = orders,
  };

  if (!rollout_may_order (rollout) || is_paused (engine))
    {
      engine_query_after (engine, QUERY_RETRY_MS);
      return;
    }
  if (!engine->is_loading && rollout->loading_count >= rollout->loading_max)
    {
      engine_query_after (engine, QUERY_RETRY_MS);
      return;
    }
  engine_set_loading (engine, true);
  engine->fencing_token = rollout->fencing_token;
  engine->ordered_version = engine->version;
  engine->step = ENGINE_STEP_WAIT;
  rollout->order_count++;
  rollout->last_order_ns = clock_now (rollout->clock);
  server_set_busy (engine->server,
                   rollout->last_order_ns + BUSY_HOLD_MS * NS_PER_MS);
  log_event (rollout->log, EVENT_SWAP_ORDER,
             "server=%s model=%s version=%lu fence=%lu orders=%lu open=%u",
             order.server_id, order.model, (unsigned long)order.version,
             (unsigned long)order.fencing_token, (unsigned long)orders,
             rollout->loading_count);
  rollout->dialect->weights_order_send (
      rollout->httpjson, engine->server->entry.address, &order,
      rollout->settings.call_timeout_ns, order_replied, engine);
}

static uint64_t
report_version (const struct weights_report *report, const char *model)
{
  for (unsigned i = 0; i < report->model_count; i++)
    if (strcmp (report->models[i].name, model) == 0)
      return report->models[i].weight_version;
  return 0;
}

static void
query_replied (void *data, const struct weights_report *report)
{
  struct rollout_engine *engine = data;

  serverlearn_statement (engine->rollout->servers, engine->server,
                         &report->statement);
  if (!engine_end_call (engine))
    return;
  if (!report->replied || server_is_leaving (engine->server))
    engine_query_after (engine, QUERY_RETRY_MS);
  else if (report_version (report, engine->model) >= engine->version)
    engine_loaded (engine, engine->version);
  else if (report->busy)
    {
      engine_set_loading (engine, true);
      server_set_busy (engine->server, clock_now (engine->rollout->clock)
                                           + BUSY_HOLD_MS * NS_PER_MS);
      engine_query_after (engine, QUERY_RETRY_MS);
    }
  else
    engine_order (engine, report->order_count);
}

static void
engine_query (struct rollout_engine *engine)
{
  struct rollout *rollout = engine->rollout;

  engine->step = ENGINE_STEP_WAIT;
  rollout->dialect->weights_query (
      rollout->httpjson, engine->server->entry.address,
      engine->server->entry.id, rollout->settings.call_timeout_ns,
      query_replied, engine);
}

static void
engine_add (struct rollout *rollout, struct server *server,
            const struct wanted_weights *wanted)
{
  struct rollout_engine *engine
      = g_hash_table_lookup (rollout->engines, server->entry.id);

  if (engine != NULL)
    {
      engine->version = wanted->version;
      return;
    }
  if (rollout->loading_count >= rollout->loading_max
      || g_hash_table_size (rollout->engines) >= rollout->loading_max)
    return;
  engine = g_new0 (struct rollout_engine, 1);
  engine->rollout = rollout;
  engine->server = server_ref (server);
  g_strlcpy (engine->model, wanted->model, sizeof engine->model);
  engine->version = wanted->version;
  g_hash_table_insert (rollout->engines, server->entry.id, engine);
}

/* Compares two engines by their requests in flight, so that those with the
 * fewest come first. */
static gint
less_busy_first (gconstpointer a, gconstpointer b)
{
  const struct server *left = *(struct server *const *)a;
  const struct server *right = *(struct server *const *)b;
  unsigned left_load = left->in_flight_requests + left->other_hosts_requests;
  unsigned right_load
      = right->in_flight_requests + right->other_hosts_requests;

  return (left_load > right_load) - (left_load < right_load);
}

/* Returns how many of the OUTDATED engines may load weights at the same time;
 * they load in the order of the array. The usual number is a share of
 * ENGINE_COUNT. More engines may load if they would finish too late otherwise,
 * but at most half of the outdated ones, so that the others serve requests. */
static unsigned
loading_limit (const struct rollout *rollout,
               const struct wanted_weights *wanted, const GPtrArray *outdated,
               unsigned engine_count)
{
  const struct rollout_settings *settings = &rollout->settings;
  int64_t now = clock_boottime (rollout->clock);
  double target_ns = rollout_time_share * (double)settings->within_ns;
  unsigned usual
      = MAX ((unsigned)(settings->share * engine_count), settings->at_once);
  unsigned half = MAX (outdated->len / 2, 1U);
  double needed = 0;

  for (guint i = 0; i < outdated->len; i++)
    {
      uint64_t version
          = server_weight_version (outdated->pdata[i], wanted->model);
      double left_ns
          = target_ns
            - (double)(now - weights_outdated_since_ns (wanted, version));

      needed = MAX (needed, (i + 1) * (double)ENGINE_LOAD_MS * NS_PER_MS
                                / MAX (left_ns, 1.0));
    }
  return MAX ((unsigned)MIN (needed, (double)half), usual);
}

static void
engines_add (struct rollout *rollout, const struct wanted_weights *wanted)
{
  GPtrArray *outdated = g_ptr_array_new ();
  unsigned engine_count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rollout->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = value;
      uint64_t version = server_weight_version (server, wanted->model);

      if (server->evacuated)
        continue;
      engine_count += version != 0;
      if (version != 0 && version < wanted->version
          && !server_is_leaving (server) && server->down_since_ns == 0
          && serverpause_allows (&server->pause, clock_now (rollout->clock)))
        g_ptr_array_add (outdated, server);
    }
  g_ptr_array_sort (outdated, less_busy_first);
  rollout->loading_max
      = loading_limit (rollout, wanted, outdated, engine_count);
  for (guint i = 0; i < outdated->len; i++)
    engine_add (rollout, outdated->pdata[i], wanted);
  g_ptr_array_free (outdated, TRUE);
}

static gboolean
engine_is_finished (gpointer key, gpointer value, gpointer data)
{
  const struct rollout_engine *engine = value;
  const struct server *server = engine->server;

  return server->removed || server->evacuated || server_is_leaving (server)
         || server->down_since_ns != 0
         || server_weight_version (server, engine->model) >= engine->version
         || (is_paused (engine) && !engine->is_loading);
}

bool
rollout_server_is_loading (const struct rollout *rollout,
                           const struct server *server)
{
  const struct rollout_engine *engine
      = g_hash_table_lookup (rollout->engines, server->entry.id);

  return engine != NULL && engine->is_loading;
}

void
rolloutengines_update (struct rollout *rollout)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (rollout->engines, engine_is_finished, NULL);
  g_hash_table_iter_init (&iter, rollout->wanted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    engines_add (rollout, value);
}

void
rolloutengines_query_due (struct rollout *rollout)
{
  int64_t now = clock_now (rollout->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rollout->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rollout_engine *engine = value;

      if (engine->step == ENGINE_STEP_QUERY && now >= engine->next_query_ns
          && !is_paused (engine))
        engine_query (engine);
    }
}
