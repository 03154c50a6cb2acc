#include "fake-configfleet.h"

#include <CUnit/CUnit.h>
#include <string.h>

static const struct configstore_settings store_settings = {
  .watch_timeout_ns = 5 * NS_PER_S,
  .start_delay_ns = NS_PER_S,
  .backoff_min_ns = 20 * NS_PER_MS,
  .backoff_max_ns = 500 * NS_PER_MS,
};

static const struct confapply_settings apply_settings = {
  .timeout_ns = 10 * NS_PER_S,
  .history_revisions_max = CONFIGFLEET_HISTORY,
};

/* A process never goes back, and a revision is the same everywhere. */
static void
on_in_force (void *owner, const struct config *config)
{
  struct configfleet_node *node = owner;
  gpointer revision = GUINT_TO_POINTER ((guint)config->revision);
  const char *digest = g_hash_table_lookup (node->fleet->digests, revision);

  CU_ASSERT_TRUE (config->revision > node->seen);
  node->seen = config->revision;
  if (digest == NULL)
    g_hash_table_insert (node->fleet->digests, revision,
                         g_strdup (config->digest));
  else
    CU_ASSERT_STRING_EQUAL (digest, config->digest);
}

static const struct configstore_ops ops = { on_in_force };

void
configfleet_applied (void *data, const struct confapply_result *result)
{
  struct configfleet_outcome *outcome = data;

  CU_ASSERT_FALSE (outcome->ended);
  outcome->ended = true;
  outcome->status = result->status;
  outcome->revision = result->revision;
  outcome->tries = result->txn_count;
  if (result->merge == NULL)
    return;
  outcome->changes = result->merge->changes->len;
  outcome->refusals = result->merge->refusals->len;
}

void
configfleet_init (struct configfleet *fleet, uint64_t seed)
{
  clock_fake_init (&fleet->clock, 0);
  fake_kv_init (&fleet->kv, &fleet->clock.clock, seed);
  fleet->digests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  for (int i = 0; i < CONFIGFLEET_NODES; i++)
    {
      struct configfleet_node *node = &fleet->nodes[i];

      node->fleet = fleet;
      node->seen = 0;
      rng_init (&node->rng, seed * CONFIGFLEET_NODES + (uint64_t)i);
      fake_kv_client_init (&node->client, &fleet->kv);
      configstore_init (&node->store, &store_settings, &node->client.kv,
                        &fleet->clock.clock, &node->rng, NULL, &ops, node);
      confapply_init (&node->apply, &apply_settings, &node->store);
    }
  configstore_set_watching (&fleet->nodes[0].store, true);
  configstore_set_watching (&fleet->nodes[1].store, true);
}

void
configfleet_finish (struct configfleet *fleet)
{
  for (int i = 0; i < CONFIGFLEET_NODES; i++)
    {
      confapply_finish (&fleet->nodes[i].apply);
      fake_kv_client_finish (&fleet->nodes[i].client);
      configstore_finish (&fleet->nodes[i].store);
    }
  fake_kv_finish (&fleet->kv);
  g_hash_table_destroy (fleet->digests);
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

void
configfleet_run (struct configfleet *fleet, int64_t span_ns)
{
  int64_t end_ns = clock_now (&fleet->clock.clock) + span_ns;
  int64_t now_ns;

  while ((now_ns = clock_now (&fleet->clock.clock)) < end_ns)
    {
      int64_t next_ns = earlier (end_ns, fake_kv_next_tick_ns (&fleet->kv));

      for (int i = 0; i < CONFIGFLEET_NODES; i++)
        {
          next_ns = earlier (
              next_ns, configstore_next_tick_ns (&fleet->nodes[i].store));
          next_ns = earlier (next_ns,
                             confapply_next_tick_ns (&fleet->nodes[i].apply));
        }
      if (next_ns > now_ns)
        clock_fake_advance (&fleet->clock, next_ns - now_ns);
      fake_kv_step (&fleet->kv);
      for (int i = 0; i < CONFIGFLEET_NODES; i++)
        {
          configstore_tick (&fleet->nodes[i].store);
          confapply_tick (&fleet->nodes[i].apply);
        }
    }
}

void
configfleet_restart (struct configfleet_node *node)
{
  struct configfleet *fleet = node->fleet;

  fake_kv_client_finish (&node->client);
  configstore_finish (&node->store);
  fake_kv_client_init (&node->client, &fleet->kv);
  configstore_init (&node->store, &store_settings, &node->client.kv,
                    &fleet->clock.clock, &node->rng, NULL, &ops, node);
  node->seen = 0;
}
