#include "fake-orders.h"
#include "fake-config.h"

#include <stdio.h>
#include <string.h>

static const int64_t step_ns = 10 * NS_PER_MS;
static const int64_t flight_max_ns = 500 * NS_PER_MS;
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

static struct fake_orders *world; /* of the owners' operations */

static void
on_owned (struct owner *owner, unsigned partition)
{
}

static const struct owner_ops owner_ops = { on_owned, on_owned };

static void
on_send (void *data, const char *engine, uint64_t number,
         const struct engine_order *what)
{
  struct fake_issuer *issuer = data;
  struct fake_message *message = world->messages;
  int64_t now = world->clock.now_ns;
  int64_t flight = (int64_t)rng_below (&world->rng, (uint64_t)flight_max_ns);

  while (message->due_ns != 0)
    message++;
  *message = (struct fake_message){ 0 };
  message->due_ns = now + (world->flight_ns ? world->flight_ns : flight);
  message->lost = rng_uniform (&world->rng) < world->lost;
  message->node = issuer->node;
  message->issuer = issuer->index;
  message->engine = (unsigned)(engine[1] - '0');
  message->number = number;
  message->fencing = what->fencing_token;
  message->unload = strcmp (what->kind, "unload") == 0;
  sscanf (what->version, "v%u", &message->version);
  g_strlcpy (message->id, what->id, sizeof message->id);
}

static void
on_note (void *data, enum orderissuer_event note, const char *engine,
         const char *what)
{
  world->notes[note]++;
}

static const struct orderissuer_ops order_ops = { on_send, on_note };

static void
engine_take (struct fake_orders *fake, struct fake_message *message)
{
  struct fake_engine *engine = &fake->engines[message->engine];
  unsigned version = message->version;

  message->status = STATUS_OK;
  if (message->fencing < engine->fencing && engine->checks)
    {
      engine->refused++;
      message->status = STATUS_STALE;
      return;
    }
  fake->old_orders += message->fencing < engine->fencing;
  engine->fencing = MAX (engine->fencing, message->fencing);
  if (!g_hash_table_add (engine->ids, g_strdup (message->id)) || engine->bad)
    return;
  if (!message->unload)
    {
      engine->loads++;
      engine->loading[version]
          = fake->clock.now_ns + load_max_ns / 2
            + (int64_t)rng_below (&fake->rng, (uint64_t)load_max_ns / 2);
      return;
    }
  engine->unloads++;
  engine->loaded[version] = false;
  fake->lost_current += version == fake->current;
  fake->cut_streams += engine->stream_end[version] > fake->clock.now_ns;
}

static void
engine_step (struct fake_engine *engine, int64_t now)
{
  for (unsigned v = 0; v < FAKE_VERSIONS; v++)
    if (engine->loading[v] != 0 && now >= engine->loading[v])
      {
        engine->loading[v] = 0;
        engine->loaded[v] = true;
      }
}

static unsigned
loads_now (const struct fake_orders *fake)
{
  unsigned count = 0;

  for (int i = 0; i < FAKE_ENGINES; i++)
    for (unsigned v = 0; v < FAKE_VERSIONS; v++)
      count += fake->engines[i].loading[v] != 0;
  return count;
}

/* What the engine will report for the next while. */
static void
engine_look (struct fake_engine *engine, int64_t now)
{
  memcpy (engine->seen, engine->loaded, sizeof engine->seen);
  engine->sequence++;
  engine->seen_running = 0;
  for (unsigned v = 0; v < FAKE_VERSIONS; v++)
    engine->seen_running += engine->stream_end[v] > now;
}

static void
engine_report (const struct fake_engine *engine, struct orderissuer *order,
               bool running)
{
  struct engine_version versions[FAKE_VERSIONS];
  char names[FAKE_VERSIONS][8];
  struct engine_load load = { .incarnation = engine->incarnation,
                              .sequence = engine->sequence,
                              .running = running ? engine->seen_running : 0,
                              .role = "",
                              .versions = versions };

  for (unsigned v = 0; v < FAKE_VERSIONS; v++)
    if (engine->seen[v])
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
  if (!message->reply)
    {
      engine_take (fake, message);
      message->reply = true;
      message->due_ns += step_ns;
      return;
    }
  if (issuer->paused)
    return;
  if (issuer->alive && issuer->node == message->node)
    orderissuer_reply_received (
        &issuer->order, fake->engines[message->engine].name, message->number,
        message->lost ? STATUS_UNKNOWN : message->status);
  message->due_ns = 0;
}

static void
tell_live (struct fake_orders *fake)
{
  uint64_t live[FAKE_ISSUERS];
  size_t count = 0;

  for (int i = 0; i < FAKE_ISSUERS; i++)
    if (fake->issuers[i].alive && !fake->issuers[i].paused)
      live[count++] = fake->issuers[i].node;
  for (int i = 0; i < FAKE_ISSUERS; i++)
    if (fake->issuers[i].alive && !fake->issuers[i].paused)
      owner_set_live_nodes (&fake->issuers[i].owner, live, count);
}

static void
issuer_configure (struct fake_orders *fake, struct fake_issuer *issuer)
{
  issuer->revision = fake->config->revision;
  orderissuer_configure (&issuer->order, fake->config);
}

/* Orders go first: a process that was paused must find out by itself. */
static void
issuer_step (struct fake_orders *fake, struct fake_issuer *issuer)
{
  int64_t until = issuer->owner.lease_expires_ns;

  if (!issuer->alive || issuer->paused)
    return;
  if (fake->mutant == FAKE_MUTANT_NO_HOLD)
    issuer->owner.lease_expires_ns = CLOCK_NEVER;
  for (int i = 0; i < FAKE_ENGINES; i++)
    if (orderissuer_issues_to (&issuer->order, fake->engines[i].name))
      engine_report (&fake->engines[i], &issuer->order,
                     fake->mutant != FAKE_MUTANT_NO_RUNNING);
  orderissuer_tick (&issuer->order);
  issuer->owner.lease_expires_ns = until;
  if (issuer->stopping && !issuer->owner.stopping
      && (orderissuer_loads_ended (&issuer->order)
          || fake->mutant == FAKE_MUTANT_NO_IDLE))
    owner_stop (&issuer->owner);
  owner_tick (&issuer->owner);
  if (issuer->revision != fake->config->revision)
    issuer_configure (fake, issuer);
}

void
fake_orders_start (struct fake_orders *fake, unsigned index)
{
  struct fake_issuer *issuer = &fake->issuers[index];

  memset (issuer, 0, sizeof *issuer);
  issuer->index = index;
  issuer->node = ++fake->last_node;
  issuer->alive = true;
  fake_kv_client_init (&issuer->client, &fake->kv);
  owner_init (&issuer->owner, &owner_settings, &owner_ops, issuer->node,
              &issuer->client.kv, &fake->clock.clock, &fake->rng);
  orderissuer_init (&issuer->order, &order_settings, &issuer->owner,
                    &issuer->client.kv, &fake->clock.clock, &fake->rng,
                    &order_ops, issuer);
  issuer_configure (fake, issuer);
  for (int i = 0; i < FAKE_ENGINES; i++)
    {
      struct orderissuer_engine engine
          = { fake->engines[i].name, "oracolo", "",
              fake->engines[i].checks || fake->mutant == FAKE_MUTANT_NO_WAIT,
              fake->mutant == FAKE_MUTANT_NO_PERMIT ? 100 : FAKE_LIMIT };

      orderissuer_engine_set (&issuer->order, &engine);
    }
}

void
fake_orders_stop (struct fake_orders *fake, unsigned index)
{
  struct fake_issuer *issuer = &fake->issuers[index];

  if (!issuer->alive)
    return;
  issuer->stopping = true;
  orderissuer_stop (&issuer->order);
}

void
fake_orders_kill (struct fake_orders *fake, unsigned index)
{
  struct fake_issuer *issuer = &fake->issuers[index];

  if (!issuer->alive)
    return;
  fake_kv_client_kill (&issuer->client);
  issuer->owner.lease_call_open = false;
  issuer->owner.range_call_open = false;
  issuer->owner.txn_call_open = false;
  orderissuer_finish (&issuer->order);
  owner_finish (&issuer->owner);
  issuer->alive = false;
  issuer->paused = false;
}

void
fake_orders_change (struct fake_orders *fake, const char *text)
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
fake_orders_use (struct fake_orders *fake, unsigned version)
{
  char text[80];

  snprintf (text, sizeof text,
            "model model=oracolo-l version=v%u service=oracolo", version);
  fake->current = version;
  fake_orders_change (fake, text);
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
  fake->current = 1;
  fake->newest = 1;
  fake->config = fake_config_change (
      NULL,
      (const char *[]){ "model model=oracolo-l version=v1 service=oracolo",
                        "version model=oracolo-l version=v1", NULL },
      &error);
  for (int i = 0; i < FAKE_ENGINES; i++)
    {
      struct fake_engine *engine = &fake->engines[i];

      snprintf (engine->name, sizeof engine->name, "e%d", i);
      engine->checks = i % 2 == 0;
      engine->incarnation = 1;
      engine->loaded[1] = true;
      engine_look (engine, fake->clock.now_ns);
      engine->ids
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  for (unsigned i = 0; i < FAKE_ISSUERS; i++)
    fake_orders_start (fake, i);
}

void
fake_orders_finish (struct fake_orders *fake)
{
  for (unsigned i = 0; i < FAKE_ISSUERS; i++)
    fake_orders_kill (fake, i);
  for (int i = 0; i < FAKE_ENGINES; i++)
    g_hash_table_destroy (fake->engines[i].ids);
  config_unref (fake->config);
  fake_kv_finish (&fake->kv);
}

void
fake_orders_stream (struct fake_orders *fake, unsigned index, int64_t span_ns)
{
  struct fake_engine *engine = &fake->engines[index];
  int64_t *end = &engine->stream_end[fake->current];

  if (engine->loaded[fake->current])
    *end = MAX (*end, fake->clock.now_ns + span_ns);
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
        engine_look (&fake->engines[i], now);
    }
  tell_live (fake);
  for (int i = 0; i < FAKE_ISSUERS; i++)
    {
      struct fake_issuer *issuer = &fake->issuers[i];

      issuer->client.paused = issuer->paused;
      issuer_step (fake, issuer);
      if (issuer->alive && issuer->stopping
          && owner_is_stopped (&issuer->owner))
        fake_orders_kill (fake, (unsigned)i);
    }
  fake->max_loads = MAX (fake->max_loads, loads_now (fake));
}

void
fake_orders_run (struct fake_orders *fake, int64_t span_ns)
{
  int64_t end = fake->clock.now_ns + span_ns;

  while (fake->clock.now_ns < end)
    fake_orders_step (fake);
}

unsigned
fake_orders_having (const struct fake_orders *fake, unsigned version)
{
  unsigned count = 0;

  for (int i = 0; i < FAKE_ENGINES; i++)
    count += fake->engines[i].loaded[version];
  return count;
}
