#include "fake-duty.h"
#include "unit.h"
#include "weights.h"

#include <string.h>

struct duty duty;

/* A reply of an engine that the host has not received yet. */
struct pending_reply
{
  void (*order_reply_received) (void *data, enum weights_reply order_reply,
                                const struct statement *statement);
  void (*query_reply_received) (void *data,
                                const struct weights_report *report);
  void *data;
  enum weights_reply order_reply;
  struct statement order_statement;
  struct weights_report report;
};

static GArray *pending_replies; /* Array of struct pending_reply. */

static void
pending_replies_deliver (void)
{
  GArray *replies = pending_replies;

  pending_replies = g_array_new (FALSE, TRUE, sizeof (struct pending_reply));
  for (guint i = 0; i < replies->len; i++)
    {
      struct pending_reply *item
          = &g_array_index (replies, struct pending_reply, i);

      if (item->order_reply_received != NULL && duty.done_answers_are_late
          && item->order_reply == WEIGHTS_REPLY_DONE)
        g_array_append_val (pending_replies, *item);
      else if (item->order_reply_received != NULL)
        item->order_reply_received (item->data, item->order_reply,
                                    &item->order_statement);
      else
        item->query_reply_received (item->data, &item->report);
    }
  g_array_free (replies, TRUE);
}

static unsigned
engine_index (const char *id)
{
  return (unsigned)(id[1] - '0');
}

void
duty_engine_advance (struct duty_engine *engine)
{
  if (engine->target_version > engine->version
      && clock_now (&duty.clock.clock) >= engine->loaded_ns)
    engine->version = engine->target_version;
}

static enum weights_reply
engine_order (struct duty_engine *engine, const struct weights_order *order)
{
  unsigned loading = 0;

  duty_engine_advance (engine);
  if (engine->order_statement.pause == STATEMENT_VALID)
    return WEIGHTS_REPLY_UNKNOWN;
  if (order->fencing_token < engine->fencing_token)
    {
      duty.refused_orders++;
      return WEIGHTS_REPLY_FENCED;
    }
  engine->fencing_token = order->fencing_token;
  if (engine->version >= order->version)
    return WEIGHTS_REPLY_DONE;
  if (engine->target_version > engine->version
      || engine->order_count != order->order_count)
    return WEIGHTS_REPLY_BUSY;
  engine->order_count++;
  engine->target_version = order->version;
  engine->loaded_ns = clock_now (&duty.clock.clock) + NS_PER_S;
  for (unsigned i = 0; i < DUTY_ENGINES; i++)
    {
      duty_engine_advance (&duty.engines[i]);
      loading += duty.engines[i].target_version > duty.engines[i].version;
    }
  duty.most_loading = MAX (duty.most_loading, loading);
  return WEIGHTS_REPLY_ACCEPTED;
}

static void
fake_weights_order_send (
    struct httpjson *httpjson, const char *address,
    const struct weights_order *order, int64_t timeout_ns,
    void (*reply_received) (void *data, enum weights_reply order_reply,
                            const struct statement *statement),
    void *data)
{
  struct pending_reply item
      = { .order_reply_received = reply_received, .data = data };

  item.order_statement
      = duty.engines[engine_index (order->server_id)].order_statement;
  item.order_reply
      = engine_order (&duty.engines[engine_index (order->server_id)], order);
  if (duty.order_answers_are_lost)
    item.order_reply = WEIGHTS_REPLY_UNKNOWN;
  g_array_append_val (pending_replies, item);
}

static void
fake_weights_query (
    struct httpjson *httpjson, const char *address, const char *server_id,
    int64_t timeout_ns,
    void (*reply_received) (void *data, const struct weights_report *report),
    void *data)
{
  struct duty_engine *engine = &duty.engines[engine_index (server_id)];
  struct pending_reply item
      = { .query_reply_received = reply_received, .data = data };
  struct weights_report *report = &item.report;

  duty_engine_advance (engine);
  engine->queries++;
  report->replied = true;
  report->statement = engine->statement;
  report->model_count = 1;
  report->busy
      = !duty.reports_are_old && engine->target_version > engine->version;
  report->order_count = engine->order_count;
  g_strlcpy (report->models[0].name, "m", sizeof report->models[0].name);
  report->models[0].weight_version
      = duty.reports_are_old ? 1 : engine->version;
  g_array_append_val (pending_replies, item);
}

static const struct dialect fake_dialect
    = { .weights_order_send = fake_weights_order_send,
        .weights_query = fake_weights_query };

static void
server_changed (void *data, const struct server *server, const char *what)
{
}

static const struct servers_ops servers_ops = { server_changed, NULL };

static void
view_key_put (void *data, const char *key, const char *value,
              uint64_t revision)
{
  struct duty_host *host = data;
  struct error error;

  if (strcmp (key, DUTY_LEADER_KEY) == 0)
    rollout_leader_key_put (&host->rollout, value, revision);
  else
    presence_key_put (&host->presence, key, value, &error);
}

static void
view_key_removed (void *data, const char *key)
{
  struct duty_host *host = data;

  if (strcmp (key, DUTY_LEADER_KEY) == 0)
    rollout_leader_key_removed (&host->rollout);
  else
    presence_key_removed (&host->presence, key);
}

static void
view_reachability_changed (void *data, bool reachable)
{
}

static const struct kvview_ops view_ops
    = { view_key_put, view_key_removed, view_reachability_changed, NULL };

static void
host_era_changed (void *data, uint64_t old_era, uint64_t era)
{
  struct duty_host *host = data;

  rollout_era_changed (&host->rollout, era, old_era != 0);
  if (old_era == 0)
    return;
  kvview_era_changed (&host->view);
  presence_era_changed (&host->presence);
}

static const struct kvera_ops era_ops = { host_era_changed };

static void
host_add_engines (struct duty_host *host)
{
  for (unsigned i = 0; i < DUTY_ENGINES; i++)
    {
      struct server_entry entry = { .slots = 4, .started_ms = 1 };

      g_snprintf (entry.id, sizeof entry.id, "e%u", i);
      g_strlcpy (entry.service, "svc", sizeof entry.service);
      g_strlcpy (entry.address, "10.0.0.1:1", sizeof entry.address);
      g_strlcpy (entry.models[0].name, "m", sizeof entry.models[0].name);
      entry.models[0].weight_version = 1;
      entry.model_count = 1;
      servers_update (&host->servers, &entry, 1);
    }
}

static void
host_start (unsigned index)
{
  const struct kvview_settings view_settings
      = { .watch_duration_ns = NS_PER_S, .hold_ns = 2 * NS_PER_S };
  const struct rollout_settings settings
      = { .share = 0.2,
          .at_once = 2,
          .fenced = true,
          .takeover_wait_ns = DUTY_LEASE_TTL_NS,
          .within_ns = 20 * NS_PER_S,
          .call_timeout_ns = NS_PER_S };
  struct duty_host *host = &duty.hosts[index];
  struct presence_host self = { .leaving = false };
  char key[32];

  memset (host, 0, sizeof *host);
  g_snprintf (key, sizeof key, "t/host/%u", index);
  g_snprintf (self.address, sizeof self.address, "10.0.0.%u:80", index);
  fake_kv_client_init (&host->client, &duty.kv);
  kvera_init (&host->era, &host->client.kv, &era_ops, host);
  servers_init (&host->servers, &duty.loop, &duty.clock.clock, "dc", NS_PER_S,
                &servers_ops, NULL);
  host_add_engines (host);
  host->wanted = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  presence_init (&host->presence, &host->era.kv, &duty.clock.clock, key, &self,
                 DUTY_LEASE_TTL_NS);
  rollout_init (&host->rollout, &settings, &host->era.kv, &duty.clock.clock,
                &duty.log, &fake_dialect, NULL, &host->presence,
                &host->servers, host->wanted, DUTY_LEADER_KEY, key);
  kvview_init (&host->view, &host->era.kv, &duty.clock.clock, &view_settings,
               "t/", &view_ops, host);
  host->running = true;
}

void
duty_set_wanted_version (uint64_t version)
{
  for (unsigned i = 0; i < DUTY_HOSTS; i++)
    {
      struct wanted_weights *wanted
          = g_hash_table_lookup (duty.hosts[i].wanted, "m");

      if (wanted == NULL)
        {
          wanted = g_new0 (struct wanted_weights, 1);
          g_strlcpy (wanted->model, "m", sizeof wanted->model);
          g_hash_table_insert (duty.hosts[i].wanted, wanted->model, wanted);
        }
      weights_add_version (wanted, version,
                           clock_boottime (&duty.clock.clock));
    }
}

void
duty_run_for_ms (unsigned duration_ms)
{
  for (unsigned elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 20)
    {
      for (unsigned i = 0; i < DUTY_HOSTS; i++)
        if (duty.hosts[i].running)
          {
            kvview_tick (&duty.hosts[i].view);
            presence_tick (&duty.hosts[i].presence);
            rollout_tick (&duty.hosts[i].rollout);
          }
      clock_fake_advance (&duty.clock, 20 * NS_PER_MS);
      fake_kv_step (&duty.kv);
      pending_replies_deliver ();
      /* The watches of this KV service do not report deleted keys, so only a
       * restart of the view shows that a key was deleted. */
      for (unsigned i = 0; elapsed_ms % 400 == 0 && i < DUTY_HOSTS; i++)
        kvview_restart (&duty.hosts[i].view);
    }
}

void
duty_setup_in_era (uint64_t era)
{
  uv_loop_init (&duty.loop);
  clock_fake_init (&duty.clock, 100 * NS_PER_S);
  log_null_init (&duty.log);
  fake_kv_init (&duty.kv, &duty.clock.clock, 1);
  duty.kv.era = era;
  duty.most_loading = 0;
  duty.refused_orders = 0;
  duty.order_answers_are_lost = false;
  duty.done_answers_are_late = false;
  duty.reports_are_old = false;
  pending_replies = g_array_new (FALSE, TRUE, sizeof (struct pending_reply));
  for (unsigned i = 0; i < DUTY_ENGINES; i++)
    duty.engines[i]
        = (struct duty_engine){ .version = 1, .target_version = 1 };
  for (unsigned i = 0; i < DUTY_HOSTS; i++)
    host_start (i);
  duty_run_for_ms (2000);
}

void
duty_setup (void)
{
  duty_setup_in_era (0);
}

void
duty_finish (void)
{
  pending_replies_deliver ();
  for (unsigned i = 0; i < DUTY_HOSTS; i++)
    {
      fake_kv_client_finish (&duty.hosts[i].client);
      kvview_finish (&duty.hosts[i].view);
      rollout_finish (&duty.hosts[i].rollout);
      presence_finish (&duty.hosts[i].presence);
      servers_finish (&duty.hosts[i].servers);
      g_hash_table_destroy (duty.hosts[i].wanted);
    }
  g_array_free (pending_replies, TRUE);
  fake_kv_finish (&duty.kv);
  uv_loop_close (&duty.loop);
}

unsigned
duty_leader_count (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < DUTY_HOSTS; i++)
    count += duty.hosts[i].running && duty.hosts[i].rollout.fencing_token != 0;
  return count;
}

unsigned
duty_leader_index (void)
{
  for (unsigned i = 0; i < DUTY_HOSTS; i++)
    if (duty.hosts[i].rollout.fencing_token != 0)
      return i;
  return DUTY_HOSTS;
}

bool
duty_all_engines_have (uint64_t version)
{
  for (unsigned i = 0; i < DUTY_ENGINES; i++)
    {
      duty_engine_advance (&duty.engines[i]);
      if (duty.engines[i].version != version)
        return false;
    }
  return true;
}
