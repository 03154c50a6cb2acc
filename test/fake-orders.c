#include "fake-orders.h"
#include "fake-config.h"

#include <stdio.h>
#include <string.h>

static const int64_t step_ns = 10 * NS_PER_MS;
static const int64_t order_delay_max_ns = 500 * NS_PER_MS;
static const int64_t load_max_ns = 700 * NS_PER_MS;

static const struct owner_settings owner_settings = {
  .partition_count = 8,
  .lease_ttl_ns = 4 * NS_PER_S,
  .lease_margin_ns = 400 * NS_PER_MS,
  .keepalive_interval_ns = NS_PER_S,
  .poll_interval_ns = 5 * NS_PER_S,
  .claim_poll_interval_ns = 300 * NS_PER_MS,
  .rebalance_delay_ns = NS_PER_S,
};

static const struct orderissuer_settings order_settings = {
  .delivery_timeout_ns = 500 * NS_PER_MS,
  .load_duration_max_ns = NS_PER_S,
  .retry_mean_ns = NS_PER_S,
  .give_up_ns = 6 * NS_PER_S,
  .unload_grace_ns = 3 * NS_PER_S,
  .report_max_age_ns = 2 * NS_PER_S,
};

/* Simulation that on_send and on_event work on. */
static struct fake_orders *world;

static void
on_ownership_changed (struct owner *owner, unsigned partition)
{
}

static const struct owner_ops owner_ops
    = { on_ownership_changed, on_ownership_changed };

static void
on_send (void *data, const char *engine, uint64_t number,
         const struct engine_order *order)
{
  struct fake_issuer *issuer = data;
  struct fake_message *message = world->messages;
  int64_t now = world->clock.now_ns;
  int64_t delay
      = (int64_t)rng_below (&world->rng, (uint64_t)order_delay_max_ns);

  while (message->due_ns != 0)
    message++;
  *message = (struct fake_message){ 0 };
  message->due_ns
      = now + (world->order_delay_ns ? world->order_delay_ns : delay);
  message->reply_lost = rng_uniform (&world->rng) < world->reply_lost_share;
  message->issuer_node = issuer->node_id;
  message->issuer = issuer->index;
  message->engine = (unsigned)(engine[1] - '0');
  message->number = number;
  message->fencing_token = order->fencing_token;
  message->unload = strcmp (order->kind, "unload") == 0;
  sscanf (order->version, "v%u", &message->version);
  g_strlcpy (message->id, order->id, sizeof message->id);
}

static void
on_event (void *data, enum orderissuer_event event, const char *engine,
          const char *details)
{
  world->event_counts[event]++;
}

static const struct orderissuer_ops order_ops = { on_send, on_event };

static void
engine_order_received (struct fake_orders *fake, struct fake_message *message)
{
  struct fake_engine *engine = &fake->engines[message->engine];
  unsigned version = message->version;

  message->status = STATUS_OK;
  if (message->fencing_token < engine->fencing_token && engine->checks_fencing)
    {
      engine->refused_count++;
      message->status = STATUS_STALE;
      return;
    }
  fake->stale_order_count += message->fencing_token < engine->fencing_token;
  engine->fencing_token = MAX (engine->fencing_token, message->fencing_token);
  if (!g_hash_table_add (engine->order_ids, g_strdup (message->id))
      || engine->ignores_orders)
    return;
  if (!message->unload)
    {
      engine->load_count++;
      engine->load_end_ns[version]
          = fake->clock.now_ns + load_max_ns / 2
            + (int64_t)rng_below (&fake->rng, (uint64_t)load_max_ns / 2);
      return;
    }
  engine->unload_count++;
  engine->loaded[version] = false;
  fake->current_unload_count += version == fake->current_version;
  fake->cut_stream_count
      += engine->stream_end_ns[version] > fake->clock.now_ns;
}

static void
engine_step (struct fake_engine *engine, int64_t now)
{
  for (unsigned v = 0; v < FAKE_VERSIONS; v++)
    if (engine->load_end_ns[v] != 0 && now >= engine->load_end_ns[v])
      {
        engine->load_end_ns[v] = 0;
        engine->loaded[v] = true;
      }
}

static unsigned
loads_in_progress (const struct fake_orders *fake)
{
  unsigned count = 0;

  for (int i = 0; i < FAKE_ENGINES; i++)
    for (unsigned v = 0; v < FAKE_VERSIONS; v++)
      count += fake->engines[i].load_end_ns[v] != 0;
  return count;
}

/* Update the state that ENGINE reports until the next update. */
static void
engine_report_update (struct fake_engine *engine, int64_t now)
{
  memcpy (engine->reported, engine->loaded, sizeof engine->reported);
  engine->sequence++;
  engine->reported_running = 0;
  for (unsigned v = 0; v < FAKE_VERSIONS; v++)
    engine->reported_running += engine->stream_end_ns[v] > now;
}

static void
engine_report_send (const struct fake_engine *engine,
                    struct orderissuer *order, bool running)
{
  struct engine_version versions[FAKE_VERSIONS];
  char names[FAKE_VERSIONS][8];
  struct engine_load load
      = { .incarnation = engine->incarnation,
          .sequence = engine->sequence,
          .running = running ? engine->reported_running : 0,
          .role = "",
          .versions = versions };

  for (unsigned v = 0; v < FAKE_VERSIONS; v++)
    if (engine->reported[v])
      {
        snprintf (names[v], sizeof names[v], "v%u", v);
        versions[load.version_count++]
            = (struct engine_version){ "oracolo-l", names[v], "" };
      }
  orderissuer_report_received (order, engine->name, &load);
}

static void
message_step (struct fake_orders *fake, struct fake_message *message)
{
  struct fake_issuer *issuer = &fake->issuers[message->issuer];

  if (message->due_ns == 0 || fake->clock.now_ns < message->due_ns)
    return;
  if (!message->is_reply)
    {
      engine_order_received (fake, message);
      message->is_reply = true;
      message->due_ns += step_ns;
      return;
    }
  if (issuer->paused)
    return;
  if (issuer->alive && issuer->node_id == message->issuer_node)
    orderissuer_reply_received (
        &issuer->order_issuer, fake->engines[message->engine].name,
        message->number,
        message->reply_lost ? STATUS_UNKNOWN : message->status);
  message->due_ns = 0;
}

static void
live_nodes_update (struct fake_orders *fake)
{
  uint64_t live[FAKE_ISSUERS];
  size_t count = 0;

  for (int i = 0; i < FAKE_ISSUERS; i++)
    if (fake->issuers[i].alive && !fake->issuers[i].paused)
      live[count++] = fake->issuers[i].node_id;
  for (int i = 0; i < FAKE_ISSUERS; i++)
    if (fake->issuers[i].alive && !fake->issuers[i].paused)
      owner_set_live_nodes (&fake->issuers[i].owner, live, count);
}

static void
issuer_configure (struct fake_orders *fake, struct fake_issuer *issuer)
{
  issuer->config_revision = fake->config->revision;
  orderissuer_configure (&issuer->order_issuer, fake->config);
}

/* The order issuer runs before the owner: after a pause it has to detect by
 * itself that its lease has expired. */
static void
issuer_step (struct fake_orders *fake, struct fake_issuer *issuer)
{
  int64_t lease_expires_ns = issuer->owner.lease_expires_ns;

  if (!issuer->alive || issuer->paused)
    return;
  if (fake->mutant == FAKE_MUTANT_NO_LEASE_CHECK)
    issuer->owner.lease_expires_ns = CLOCK_NEVER;
  for (int i = 0; i < FAKE_ENGINES; i++)
    if (orderissuer_issues_to (&issuer->order_issuer, fake->engines[i].name))
      engine_report_send (&fake->engines[i], &issuer->order_issuer,
                          fake->mutant != FAKE_MUTANT_IGNORE_RUNNING);
  orderissuer_tick (&issuer->order_issuer);
  issuer->owner.lease_expires_ns = lease_expires_ns;
  if (issuer->stopping && !issuer->owner.stopping
      && (orderissuer_loads_ended (&issuer->order_issuer)
          || fake->mutant == FAKE_MUTANT_NO_STOP_WAIT))
    owner_stop (&issuer->owner);
  owner_tick (&issuer->owner);
  if (issuer->config_revision != fake->config->revision)
    issuer_configure (fake, issuer);
}

void
fake_orders_issuer_start (struct fake_orders *fake, unsigned index)
{
  struct fake_issuer *issuer = &fake->issuers[index];

  memset (issuer, 0, sizeof *issuer);
  issuer->index = index;
  issuer->node_id = ++fake->last_node_id;
  issuer->alive = true;
  fake_kv_client_init (&issuer->client, &fake->kv);
  owner_init (&issuer->owner, &owner_settings, &owner_ops, issuer->node_id,
              &issuer->client.kv, &fake->clock.clock, &fake->rng);
  orderissuer_init (&issuer->order_issuer, &order_settings, &issuer->owner,
                    &issuer->client.kv, &fake->clock.clock, &fake->rng,
                    &order_ops, issuer);
  issuer_configure (fake, issuer);
  for (int i = 0; i < FAKE_ENGINES; i++)
    {
      struct orderissuer_engine engine
          = { fake->engines[i].name, "oracolo", "",
              fake->engines[i].checks_fencing
                  || fake->mutant == FAKE_MUTANT_NO_DELIVERY_WAIT,
              fake->mutant == FAKE_MUTANT_NO_PERMIT ? 100 : FAKE_LOADS_MAX };

      orderissuer_engine_set (&issuer->order_issuer, &engine);
    }
}

void
fake_orders_issuer_stop (struct fake_orders *fake, unsigned index)
{
  struct fake_issuer *issuer = &fake->issuers[index];

  if (!issuer->alive)
    return;
  issuer->stopping = true;
  orderissuer_stop (&issuer->order_issuer);
}

void
fake_orders_issuer_kill (struct fake_orders *fake, unsigned index)
{
  struct fake_issuer *issuer = &fake->issuers[index];

  if (!issuer->alive)
    return;
  fake_kv_client_kill (&issuer->client);
  issuer->owner.lease_call_open = false;
  issuer->owner.range_call_open = false;
  issuer->owner.txn_call_open = false;
  orderissuer_finish (&issuer->order_issuer);
  owner_finish (&issuer->owner);
  issuer->alive = false;
  issuer->paused = false;
}

void
fake_orders_config_change (struct fake_orders *fake, const char *text)
{
  struct error error;
  struct config *config = fake_config_change (
      fake->config, (const char *[]){ text, NULL }, &error);

  if (config == NULL)
    return;
  config_unref (fake->config);
  fake->config = config;
}

void
fake_orders_set_current_version (struct fake_orders *fake, unsigned version)
{
  char text[80];

  snprintf (text, sizeof text,
            "model model=oracolo-l version=v%u service=oracolo", version);
  fake->current_version = version;
  fake_orders_config_change (fake, text);
}

void
fake_orders_init (struct fake_orders *fake, uint64_t seed)
{
  struct error error;

  memset (fake, 0, sizeof *fake);
  world = fake;
  clock_fake_init (&fake->clock, NS_PER_S);
  fake_kv_init (&fake->kv, &fake->clock.clock, seed);
  rng_init (&fake->rng, seed);
  fake->current_version = 1;
  fake->newest_version = 1;
  fake->config = fake_config_change (
      NULL,
      (const char *[]){ "model model=oracolo-l version=v1 service=oracolo",
                        "version model=oracolo-l version=v1", NULL },
      &error);
  for (int i = 0; i < FAKE_ENGINES; i++)
    {
      struct fake_engine *engine = &fake->engines[i];

      snprintf (engine->name, sizeof engine->name, "e%d", i);
      engine->checks_fencing = i % 2 == 0;
      engine->incarnation = 1;
      engine->loaded[1] = true;
      engine_report_update (engine, fake->clock.now_ns);
      engine->order_ids
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  for (unsigned i = 0; i < FAKE_ISSUERS; i++)
    fake_orders_issuer_start (fake, i);
}

void
fake_orders_finish (struct fake_orders *fake)
{
  for (unsigned i = 0; i < FAKE_ISSUERS; i++)
    fake_orders_issuer_kill (fake, i);
  for (int i = 0; i < FAKE_ENGINES; i++)
    g_hash_table_destroy (fake->engines[i].order_ids);
  config_unref (fake->config);
  fake_kv_finish (&fake->kv);
}

void
fake_orders_stream_start (struct fake_orders *fake, unsigned index,
                          int64_t duration_ns)
{
  struct fake_engine *engine = &fake->engines[index];
  int64_t *end = &engine->stream_end_ns[fake->current_version];

  if (engine->loaded[fake->current_version])
    *end = MAX (*end, fake->clock.now_ns + duration_ns);
}

void
fake_orders_step (struct fake_orders *fake)
{
  int64_t now;

  clock_fake_advance (&fake->clock, step_ns);
  now = fake->clock.now_ns;
  fake_kv_step (&fake->kv);
  for (int i = 0; i < FAKE_MESSAGES; i++)
    message_step (fake, &fake->messages[i]);
  for (int i = 0; i < FAKE_ENGINES; i++)
    {
      engine_step (&fake->engines[i], now);
      if (now % (20 * step_ns) == 0)
        engine_report_update (&fake->engines[i], now);
    }
  live_nodes_update (fake);
  for (int i = 0; i < FAKE_ISSUERS; i++)
    {
      struct fake_issuer *issuer = &fake->issuers[i];

      issuer->client.paused = issuer->paused;
      issuer_step (fake, issuer);
      if (issuer->alive && issuer->stopping
          && owner_is_stopped (&issuer->owner))
        fake_orders_issuer_kill (fake, (unsigned)i);
    }
  fake->max_parallel_loads
      = MAX (fake->max_parallel_loads, loads_in_progress (fake));
}

void
fake_orders_run (struct fake_orders *fake, int64_t duration_ns)
{
  int64_t end = fake->clock.now_ns + duration_ns;

  while (fake->clock.now_ns < end)
    fake_orders_step (fake);
}

unsigned
fake_orders_engines_with_version (const struct fake_orders *fake,
                                  unsigned version)
{
  unsigned count = 0;

  for (int i = 0; i < FAKE_ENGINES; i++)
    count += fake->engines[i].loaded[version];
  return count;
}
