#include "confhistory.h"
#include "fake-config.h"
#include "fake-configfleet.h"
#include "unit.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

enum
{
  SOAK_SEEDS = 200,
  SOAK_SHEETS = 30
};

/* Delivers to TO the changes after the revision SINCE that FROM has in force,
   like the fetch from a peer that gossip causes. */
static enum status
deliver_delta (struct configfleet_node *to,
               const struct configfleet_node *from, uint64_t since)
{
  char *text = conftext_delta (from->store.config, since);
  enum status status = configstore_apply_delta (&to->store, text, NULL);

  g_free (text);
  return status;
}

static void
apply_text (struct configfleet_node *node, char *text,
            struct configfleet_outcome *outcome)
{
  memset (outcome, 0, sizeof *outcome);
  confapply_submit (&node->apply, text, strlen (text), "test",
                    configfleet_applied, outcome);
  g_free (text);
}

/* Applies on NODE a sheet that drains NAME and is based on CONFIG, or on an
   empty configuration if CONFIG is NULL. */
static void
apply_drain (struct configfleet_node *node, const struct config *config,
             const char *name, struct configfleet_outcome *outcome)
{
  struct config *empty = config_new_empty ();

  apply_text (node,
              sheet_create_drain (config == NULL ? empty : config, name, true),
              outcome);
  g_strlcpy (outcome->name, name, sizeof outcome->name);
  config_unref (empty);
}

/* Starts a fleet with revision 1, which has one drain, in force on all
   nodes. */
static void
fleet_init_with_drain (struct configfleet *fleet, uint64_t seed)
{
  struct configfleet_outcome outcome;

  configfleet_init (fleet, seed);
  configfleet_run (fleet, 3 * NS_PER_S);
  apply_drain (&fleet->nodes[2], NULL, "first", &outcome);
  configfleet_run (fleet, 3 * NS_PER_S);
  CU_ASSERT_EQUAL_FATAL (outcome.status, STATUS_OK);
  CU_ASSERT_EQUAL_FATAL (outcome.revision, 1);
  for (int i = 0; i < CONFIGFLEET_NODES; i++)
    CU_ASSERT_EQUAL_FATAL (configstore_revision (&fleet->nodes[i].store), 1);
}

static void
test_reaches_all (void)
{
  struct configfleet fleet;
  struct configfleet_outcome outcome;

  fleet_init_with_drain (&fleet, 1);
  apply_drain (&fleet.nodes[3], fleet.nodes[3].store.config, "x", &outcome);
  configfleet_run (&fleet, NS_PER_S);
  CU_ASSERT_EQUAL (outcome.revision, 2);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 2);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[1].store), 2);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[2].store), 1);
  CU_ASSERT_EQUAL (deliver_delta (&fleet.nodes[2], &fleet.nodes[0], 1),
                   STATUS_OK);
  CU_ASSERT_TRUE (
      config_backend_server_is_drained (fleet.nodes[2].store.config, "x"));
  configfleet_finish (&fleet);
}

static void
test_reply_lost (void)
{
  for (int after = 0; after < 2; after++)
    {
      struct configfleet fleet;
      struct configfleet_outcome outcome;

      fleet_init_with_drain (&fleet, 2);
      fleet.kv.faults.txns_lost_before_effect = after ? 0 : 2;
      fleet.kv.faults.txns_lost_after_effect = after ? 2 : 0;
      apply_drain (&fleet.nodes[2], fleet.nodes[2].store.config, "x",
                   &outcome);
      configfleet_run (&fleet, 5 * NS_PER_S);
      CU_ASSERT_TRUE (outcome.ended);
      CU_ASSERT_EQUAL (outcome.status, STATUS_OK);
      CU_ASSERT_EQUAL (outcome.revision, 2);
      CU_ASSERT_EQUAL (outcome.changes, 1);
      CU_ASSERT_EQUAL (outcome.tries, after ? 1 : 3);
      CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 2);
      configfleet_finish (&fleet);
    }
}

/* Two operators apply sheets at once. Both changes are stored if they differ;
   if they are the same, the change is stored once. */
static void
test_operators_race (void)
{
  static const char *const names[][2] = { { "x", "y" }, { "x", "x" } };

  for (int same = 0; same < 2; same++)
    {
      struct configfleet fleet;
      struct configfleet_outcome outcomes[2];
      const struct config *config;

      fleet_init_with_drain (&fleet, 3);
      for (int i = 0; i < 2; i++)
        apply_drain (&fleet.nodes[i], fleet.nodes[i].store.config,
                     names[same][i], &outcomes[i]);
      configfleet_run (&fleet, 5 * NS_PER_S);
      config = fleet.nodes[0].store.config;
      CU_ASSERT_EQUAL (outcomes[0].status, STATUS_OK);
      CU_ASSERT_EQUAL (outcomes[1].status, STATUS_OK);
      CU_ASSERT_EQUAL (config->revision, same ? 2 : 3);
      CU_ASSERT_TRUE (
          config_backend_server_is_drained (config, names[same][0]));
      CU_ASSERT_TRUE (
          config_backend_server_is_drained (config, names[same][1]));
      configfleet_finish (&fleet);
    }
}

static char *
sheet_with_row (const struct config *config, const char *row)
{
  char *drain = sheet_create_drain (config, "placeholder", true);
  char **lines = g_strsplit (drain, "\n", -1);
  char *text
      = g_strconcat (lines[0], "\n", lines[1], "\n", row, "\nend,1\n", NULL);

  g_strfreev (lines);
  g_free (drain);
  return text;
}

/* Two operators set the same object to different values at once: one of the
   two changes is refused. */
static void
test_operators_clash (void)
{
  static const char *const rows[]
      = { "organisation,,milo,,,,,1,10,10", "organisation,,milo,,,,,2,20,20" };
  struct configfleet fleet;
  struct configfleet_outcome outcomes[2];

  fleet_init_with_drain (&fleet, 4);
  for (int i = 0; i < 2; i++)
    apply_text (&fleet.nodes[i],
                sheet_with_row (fleet.nodes[i].store.config, rows[i]),
                &outcomes[i]);
  configfleet_run (&fleet, 5 * NS_PER_S);
  CU_ASSERT_EQUAL (outcomes[0].status, STATUS_OK);
  CU_ASSERT_EQUAL (outcomes[1].status, STATUS_OK);
  CU_ASSERT_EQUAL (outcomes[0].refusals + outcomes[1].refusals, 1);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 2);
  CU_ASSERT_EQUAL (
      config_organisation (fleet.nodes[0].store.config, "milo")->weight,
      outcomes[0].refusals == 0 ? 1 : 2);
  configfleet_finish (&fleet);
}

/* The KV service is down while a process restarts and a sheet is applied: the
   sheet is not stored, no process reverts to an older revision, and the
   restarted process gets its configuration from a peer. */
static void
test_kv_down (void)
{
  struct configfleet fleet;
  struct configfleet_node *fresh = &fleet.nodes[3];
  struct configfleet_outcome outcome;

  fleet_init_with_drain (&fleet, 5);
  fleet.kv.faults.down = true;
  configfleet_restart (fresh);
  apply_drain (&fleet.nodes[2], fleet.nodes[2].store.config, "x", &outcome);
  configfleet_run (&fleet, 60 * NS_PER_S);
  CU_ASSERT_EQUAL (outcome.status, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 1);
  CU_ASSERT_EQUAL (configstore_revision (&fresh->store), 0);
  CU_ASSERT_EQUAL (deliver_delta (fresh, &fleet.nodes[2], 0), STATUS_OK);
  CU_ASSERT_EQUAL (configstore_revision (&fresh->store), 1);
  fleet.kv.faults.down = false;
  configfleet_run (&fleet, 5 * NS_PER_S);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 1);
  CU_ASSERT_FALSE (
      config_backend_server_is_drained (fleet.nodes[0].store.config, "x"));
  configfleet_finish (&fleet);
}

/* Deltas that arrive late, out of order, twice or damaged are refused. */
static void
test_deltas_out_of_order (void)
{
  struct configfleet fleet;
  struct configfleet_outcome outcome;
  char *texts[4];

  fleet_init_with_drain (&fleet, 6);
  for (int i = 1; i < 4; i++)
    {
      char name[2] = { (char)('a' + i), '\0' };

      apply_drain (&fleet.nodes[0], fleet.nodes[0].store.config, name,
                   &outcome);
      configfleet_run (&fleet, NS_PER_S);
      texts[i] = conftext_delta (fleet.nodes[0].store.config, 1);
    }
  CU_ASSERT_EQUAL (deliver_delta (&fleet.nodes[2], &fleet.nodes[0], 3),
                   STATUS_NOT_FOUND);
  CU_ASSERT_EQUAL (
      configstore_apply_delta (&fleet.nodes[2].store, texts[3], NULL),
      STATUS_OK);
  for (int i = 1; i < 4; i++)
    CU_ASSERT_EQUAL (
        configstore_apply_delta (&fleet.nodes[2].store, texts[i], NULL),
        STATUS_STALE);
  CU_ASSERT_EQUAL (configstore_apply_delta (&fleet.nodes[3].store, "{", NULL),
                   STATUS_CORRUPT);
  strstr (texts[3], "first")[0] = 'X';
  CU_ASSERT_NOT_EQUAL (
      configstore_apply_delta (&fleet.nodes[3].store, texts[3], NULL),
      STATUS_OK);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[2].store), 4);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[3].store), 1);
  for (int i = 1; i < 4; i++)
    g_free (texts[i]);
  configfleet_finish (&fleet);
}

/* A process whose connection to the KV service was cut reads the changes that
   it missed. */
static void
test_watch_gap (void)
{
  struct configfleet fleet;
  struct configfleet_outcome outcomes[20];

  fleet_init_with_drain (&fleet, 7);
  fleet.nodes[1].client.down = true;
  for (int i = 0; i < 20; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "n%d", i);
      apply_drain (&fleet.nodes[0], fleet.nodes[0].store.config, name,
                   &outcomes[i]);
      configfleet_run (&fleet, NS_PER_S);
    }
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 21);
  /* The watch in flight when the connection was cut still gets its reply. */
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[1].store), 2);
  fleet.nodes[1].client.down = false;
  configfleet_run (&fleet, NS_PER_S);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[1].store), 21);
  configfleet_finish (&fleet);
}

/* The KV service loses its newest writes: no process reverts to an older
   revision, and the next change stores the lost documents again. */
static void
test_kv_lost_writes (void)
{
  static const char organisation_key[] = CONFTEXT_DOCUMENT_PREFIX "org/milo";
  struct configfleet fleet;
  struct configfleet_outcome outcome;
  char *root;

  fleet_init_with_drain (&fleet, 8);
  root = g_strdup (fake_kv_key_value (&fleet.kv, CONFTEXT_ROOT_KEY));
  apply_text (&fleet.nodes[0],
              sheet_with_row (fleet.nodes[0].store.config,
                              "organisation,,milo,,,,,1,10,10"),
              &outcome);
  configfleet_run (&fleet, NS_PER_S);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fleet.kv, organisation_key));
  fake_kv_put (&fleet.kv, CONFTEXT_ROOT_KEY, root);
  fake_kv_put (&fleet.kv, organisation_key, NULL);
  configfleet_run (&fleet, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 2);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[1].store), 2);
  apply_drain (&fleet.nodes[0], fleet.nodes[0].store.config, "y", &outcome);
  configfleet_run (&fleet, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (outcome.revision, 3);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[1].store), 3);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_key_value (&fleet.kv, organisation_key));
  g_free (root);
  configfleet_finish (&fleet);
}

/* A document and its root change in separate transactions. A process that
   watches them reads everything once for each change, but does not repeat the
   reads without end. */
static void
test_watch_sees_partial_write (void)
{
  static const char *const change[] = { "drain name=z", NULL };
  struct configfleet fleet;
  const struct confdoc *document;
  uint64_t ranges, watches;
  struct config *next;
  struct error error;
  char *root;

  fleet_init_with_drain (&fleet, 11);
  ranges = fleet.kv.call_counts[FAKE_KV_RANGE];
  watches = fleet.kv.call_counts[FAKE_KV_WATCH];
  next = fake_config_change (fleet.nodes[0].store.config, change, &error);
  root = conftext_root (next);
  document = g_hash_table_lookup (next->documents, "shared");
  fake_kv_put (&fleet.kv, CONFTEXT_DOCUMENT_PREFIX "shared", document->text);
  configfleet_run (&fleet, NS_PER_S);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 1);
  fake_kv_put (&fleet.kv, CONFTEXT_ROOT_KEY, root);
  configfleet_run (&fleet, NS_PER_S);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 2);
  CU_ASSERT_EQUAL (fleet.nodes[0].store.resync_count, 2);
  CU_ASSERT_EQUAL (fleet.kv.call_counts[FAKE_KV_RANGE] - ranges, 4);
  CU_ASSERT_EQUAL (fleet.kv.call_counts[FAKE_KV_WATCH] - watches, 4);
  config_unref (next);
  g_free (root);
  configfleet_finish (&fleet);
}

/* Damaged documents in the KV service are not put in force. */
static void
test_kv_damaged (void)
{
  struct configfleet fleet;

  fleet_init_with_drain (&fleet, 9);
  fake_kv_put (&fleet.kv, CONFTEXT_DOCUMENT_PREFIX "shared", "{}");
  fake_kv_put (&fleet.kv, CONFTEXT_ROOT_KEY, "{\"revision\":9}");
  configfleet_run (&fleet, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 1);
  configfleet_finish (&fleet);
}

/* If a value is larger than the KV service accepts, nothing is stored. */
static void
test_value_too_large (void)
{
  struct configfleet fleet;
  struct configfleet_outcome outcome;

  fleet_init_with_drain (&fleet, 12);
  fleet.kv.faults.value_max_bytes = 100;
  apply_drain (&fleet.nodes[0], fleet.nodes[0].store.config, "x", &outcome);
  configfleet_run (&fleet, 5 * NS_PER_S);
  CU_ASSERT_EQUAL (outcome.status, STATUS_TOO_LARGE);
  CU_ASSERT_EQUAL (configstore_revision (&fleet.nodes[0].store), 1);
  configfleet_finish (&fleet);
}

/* A process that stops while it applies sheets reports an outcome to each
   operator. */
static void
test_stop_while_applying (void)
{
  for (int64_t ms = 0; ms < 8; ms++)
    {
      struct configfleet fleet;
      struct configfleet_outcome outcomes[2];

      fleet_init_with_drain (&fleet, 13);
      for (int i = 0; i < 2; i++)
        apply_drain (&fleet.nodes[2], fleet.nodes[2].store.config,
                     i == 0 ? "x" : "y", &outcomes[i]);
      configfleet_run (&fleet, ms * NS_PER_MS);
      configfleet_finish (&fleet);
      for (int i = 0; i < 2; i++)
        {
          CU_ASSERT_TRUE (outcomes[i].ended);
          CU_ASSERT_TRUE (outcomes[i].status == STATUS_OK
                          || outcomes[i].status == STATUS_CANCELLED);
        }
      CU_ASSERT_EQUAL (outcomes[1].status, STATUS_CANCELLED);
    }
}

static void
history_reply_received (void *data, const struct kv_reply *reply)
{
  struct json_object **json = data;

  *json = confhistory_json (reply->items, reply->item_count, 0, UINT64_MAX);
}

static void
test_history (void)
{
  struct configfleet fleet;
  struct configfleet_outcome outcome;
  struct json_object *json = NULL, *revisions, *first;

  fleet_init_with_drain (&fleet, 10);
  for (int c = 'a'; c < 'j'; c++)
    {
      char name[2] = { (char)c, '\0' };

      apply_drain (&fleet.nodes[0], fleet.nodes[0].store.config, name,
                   &outcome);
      configfleet_run (&fleet, NS_PER_S);
    }
  fleet.nodes[3].client.kv.ops->range (&fleet.nodes[3].client.kv,
                                       CONFHISTORY_PREFIX,
                                       history_reply_received, &json);
  configfleet_run (&fleet, NS_PER_S);
  revisions = json_object_object_get (json, "revisions");
  CU_ASSERT_EQUAL (json_object_array_length (revisions), CONFIGFLEET_HISTORY);
  first = json_object_array_get_idx (revisions, 0);
  CU_ASSERT_EQUAL (
      json_object_get_int64 (json_object_object_get (first, "revision")), 6);
  CU_ASSERT_EQUAL (
      json_object_array_length (json_object_object_get (first, "changes")), 1);
  json_object_put (json);
  configfleet_finish (&fleet);
}

static void
soak_set_random_faults (struct configfleet *fleet, struct rng *rng)
{
  struct fake_kv_faults *faults = &fleet->kv.faults;

  faults->down = rng_below (rng, 6) == 0;
  faults->lost_before_effect_share = rng_uniform (rng) * 0.3;
  faults->lost_after_effect_share = rng_uniform (rng) * 0.3;
  faults->limited_share = rng_uniform (rng) * 0.2;
  faults->latency_ns = (int64_t)rng_below (rng, 200) * NS_PER_MS;
  faults->jitter_ns = (int64_t)rng_below (rng, 300) * NS_PER_MS;
  for (int i = 0; i < CONFIGFLEET_NODES; i++)
    fleet->nodes[i].client.down = rng_below (rng, 8) == 0;
}

static void
soak_check_outcomes (struct configfleet *fleet,
                     const struct configfleet_outcome *outcomes,
                     unsigned *counts)
{
  const struct config *config;

  memset (&fleet->kv.faults, 0, sizeof fleet->kv.faults);
  fleet->kv.faults.value_max_bytes = KV_VALUE_MAX;
  for (int i = 0; i < CONFIGFLEET_NODES; i++)
    fleet->nodes[i].client.down = false;
  configfleet_run (fleet, 60 * NS_PER_S);
  config = fleet->nodes[0].store.config;
  CU_ASSERT_STRING_EQUAL (config->digest,
                          fleet->nodes[1].store.config->digest);
  for (int i = 0; i < SOAK_SHEETS; i++)
    {
      bool stored
          = config_backend_server_is_drained (config, outcomes[i].name);

      CU_ASSERT_TRUE (outcomes[i].ended);
      counts[outcomes[i].status]++;
      if (outcomes[i].status == STATUS_OK)
        CU_ASSERT_TRUE (stored);
      if (outcomes[i].status == STATUS_UNAVAILABLE)
        CU_ASSERT_FALSE (stored);
    }
}

/* Applies many sheets under random faults: accepted changes stay in force,
   changes reported as not stored are not stored, and no process reverts to an
   older revision. */
static void
test_soak (void)
{
  unsigned counts[STATUS_COUNT] = { 0 };

  for (uint64_t seed = 1; seed <= SOAK_SEEDS; seed++)
    {
      struct configfleet fleet;
      struct configfleet_outcome outcomes[SOAK_SHEETS];
      struct rng rng;

      rng_init (&rng, seed);
      fleet_init_with_drain (&fleet, seed);
      for (int i = 0; i < SOAK_SHEETS; i++)
        {
          struct configfleet_node *node
              = &fleet.nodes[rng_below (&rng, CONFIGFLEET_NODES)];
          struct configfleet_node *peer
              = &fleet.nodes[rng_below (&rng, CONFIGFLEET_NODES)];
          char name[16];

          soak_set_random_faults (&fleet, &rng);
          g_snprintf (name, sizeof name, "n%d", i);
          apply_drain (node, node->store.config, name, &outcomes[i]);
          configfleet_run (&fleet,
                           (int64_t)rng_below (&rng, 2000) * NS_PER_MS);
          deliver_delta (peer, node, configstore_revision (&peer->store));
        }
      soak_check_outcomes (&fleet, outcomes, counts);
      configfleet_finish (&fleet);
    }
  printf ("%d sheets: %u ok, %u unavailable, %u unknown\n",
          SOAK_SEEDS * SOAK_SHEETS, counts[STATUS_OK],
          counts[STATUS_UNAVAILABLE], counts[STATUS_UNKNOWN]);
}

static const struct unit_case cases[] = {
  { "reaches-all", test_reaches_all },
  { "reply-lost", test_reply_lost },
  { "operators-race", test_operators_race },
  { "operators-clash", test_operators_clash },
  { "kv-down", test_kv_down },
  { "offers-crossed", test_deltas_out_of_order },
  { "watch-gap", test_watch_gap },
  { "kv-lost-writes", test_kv_lost_writes },
  { "watch-torn", test_watch_sees_partial_write },
  { "kv-damaged", test_kv_damaged },
  { "value-too-large", test_value_too_large },
  { "stop-while-applying", test_stop_while_applying },
  { "history", test_history },
  { "soak", test_soak },
};

int
main (void)
{
  return unit_run ("configstore", cases, sizeof cases / sizeof *cases);
}
