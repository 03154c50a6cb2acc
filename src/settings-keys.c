#include "settings-keys.h"
#include "settings.h"

#include <glib.h>
#include <string.h>

enum
{
  /* Longer paths of known keys are cut to this. */
  EDIT_DISTANCE_BYTES_MAX = 128
};

#define FIELD(member) offsetof (struct settings, member)

static const char *const role_names[] = { "gateway", "shard", "entry", NULL };
static const char *const policy_names[]
    = { "cost", "round_robin", "least_loaded", "prefix_affinity", NULL };
static const char *const queue_mode_names[]
    = { "auto", "always", "never", NULL };
static const char *const level_names[]
    = { "debug", "info", "warn", "error", NULL };

const struct settings_key settings_keys[] = {
  { "process.name", SETTINGS_TYPE_TEXT, FIELD (process.name),
    SETTINGS_ROLES_ALL, SETTINGS_ROLES_ALL, 1, 63, NULL, NULL, NULL,
    "Name of this process, unique in the fleet" },
  { "process.role", SETTINGS_TYPE_CHOICE, FIELD (process.role),
    SETTINGS_ROLES_ALL, SETTINGS_ROLES_ALL, 0, 0, role_names, NULL, NULL,
    "Role of this process" },
  { "process.data_centre", SETTINGS_TYPE_TEXT, FIELD (process.data_centre),
    SETTINGS_ROLES_ALL, SETTINGS_ROLES_ALL, 1, 63, NULL, NULL, NULL,
    "Data centre of the host" },
  { "process.region", SETTINGS_TYPE_TEXT, FIELD (process.region),
    SETTINGS_ROLE_ENTRY, 0, 1, 63, NULL, NULL, NULL,
    "Region of the host; default: that of its data centre in places.regions" },
  { "places.regions", SETTINGS_TYPE_PLACES, FIELD (places.regions),
    SETTINGS_ROLE_ENTRY, 0, 0, PLACES_MAX, NULL, "{}", NULL,
    "Region of each data centre; without it homes of routes and organisations "
    "have no effect" },
  { "listen.http", SETTINGS_TYPE_ADDRESS, FIELD (listen.http),
    SETTINGS_ROLES_ALL, SETTINGS_ROLES_ALL, 0, 0, NULL, NULL, NULL,
    "Listening address: a gateway serves callers and operators there, a shard "
    "health and metrics" },
  { "listen.peer", SETTINGS_TYPE_ADDRESS, FIELD (listen.peer),
    SETTINGS_ROLES_ALL, SETTINGS_ROLES_ALL, 0, 0, NULL, NULL, NULL,
    "Listening address for other processes: TCP, and UDP on the same port for "
    "gossip" },
  { "listen.directory", SETTINGS_TYPE_ADDRESS, FIELD (listen.directory),
    SETTINGS_ROLE_ENTRY, SETTINGS_ROLE_ENTRY, 0, 0, NULL, NULL, NULL,
    "Listening address where callers get the addresses of the live hosts" },
  { "listen.ready", SETTINGS_TYPE_ADDRESS, FIELD (listen.ready),
    SETTINGS_ROLE_ENTRY, SETTINGS_ROLE_ENTRY, 0, 0, NULL, NULL, NULL,
    "Listening address for the readiness checks of the platform" },
  { "listen.metrics", SETTINGS_TYPE_ADDRESS, FIELD (listen.metrics),
    SETTINGS_ROLE_ENTRY, SETTINGS_ROLE_ENTRY, 0, 0, NULL, NULL, NULL,
    "Listening address where metrics are served as text" },
  { "advertise.http", SETTINGS_TYPE_ADDRESS, FIELD (advertise.http),
    SETTINGS_ROLES_ALL, 0, 0, 0, NULL, NULL, NULL,
    "Address announced to callers; default: listen.http" },
  { "advertise.peer", SETTINGS_TYPE_ADDRESS, FIELD (advertise.peer),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 0, 0, NULL, NULL, NULL,
    "Address announced to other processes; default: listen.peer" },
  { "seeds", SETTINGS_TYPE_ADDRESSES, FIELD (seeds),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 0, 32, NULL, "[]", NULL,
    "Peer addresses of processes through which this one joins the fleet" },
  { "kv.address", SETTINGS_TYPE_ADDRESSES, FIELD (kv.address),
    SETTINGS_ROLES_ALL, SETTINGS_ROLES_ALL, 1, 32, NULL, NULL, NULL,
    "Addresses of the KV service" },
  { "kv.timeout_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (kv.timeout_ns),
    SETTINGS_ROLES_ALL, 0, 10, 60000, NULL, "2000", "ms",
    "Timeout of a call to the KV service" },
  { "kv.lease_ttl_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (kv.lease_ttl_ns),
    SETTINGS_ROLES_ALL, 0, 1000, 1e9, NULL, "10000", "ms",
    "Lifetime of a lease of this process after each renewal" },
  { "kv.calls_per_s", SETTINGS_TYPE_NUMBER, FIELD (kv.calls_per_s),
    SETTINGS_ROLES_ALL, 0, 0.1, 10000, NULL, "20", "calls/s",
    "Maximum rate of calls of this process to the KV service" },
  { "host_list.address", SETTINGS_TYPE_ADDRESS, FIELD (host_list.address),
    SETTINGS_ROLES_GATEWAY_SHARD, SETTINGS_ROLES_GATEWAY_SHARD, 0, 0, NULL,
    NULL, NULL,
    "Address of the service that lists the live and leaving hosts" },
  { "host_list.poll_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (host_list.poll_ns),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 100, 600000, NULL, "1000", "ms",
    "Interval between two reads of the host list" },
  { "placement.policy", SETTINGS_TYPE_CHOICE, FIELD (placement.policy),
    SETTINGS_ROLE_GATEWAY, 0, 0, 0, policy_names, "\"cost\"", NULL,
    "Policy by which a backend server is chosen" },
  { "placement.price_per_recomputed_token_s", SETTINGS_TYPE_NUMBER,
    FIELD (placement.price_per_recomputed_token_s), SETTINGS_ROLE_GATEWAY, 0,
    0, 1, NULL, "0.00002", "s/token",
    "Price of recomputing one token, added to the expected time to first "
    "token" },
  { "placement.price_per_link_byte_s", SETTINGS_TYPE_NUMBER,
    FIELD (placement.price_per_link_byte_s), SETTINGS_ROLE_GATEWAY, 0, 0, 1,
    NULL, "1e-10", "s/byte",
    "Price of sending one byte over a store's network link, added to the "
    "expected time to first token" },
  { "placement.piece_tokens", SETTINGS_TYPE_INTEGER,
    FIELD (placement.piece_tokens), SETTINGS_ROLES_GATEWAY_SHARD, 0, 1,
    1000000, NULL, "2000", "tokens",
    "Size of a block of a prompt; the same in the whole fleet" },
  { "placement.piece_bytes_per_token", SETTINGS_TYPE_INTEGER,
    FIELD (placement.piece_bytes_per_token), SETTINGS_ROLES_GATEWAY_SHARD, 0,
    1, 10000000, NULL, "16", "bytes/token",
    "Size of the KV cache of one token" },
  { "placement.subset_size", SETTINGS_TYPE_INTEGER,
    FIELD (placement.subset_size), SETTINGS_ROLE_GATEWAY, 0, 2, 1000, NULL,
    "16", "servers",
    "Number of backend servers per model that this gateway uses" },
  { "admission.concurrency", SETTINGS_TYPE_INTEGER,
    FIELD (admission.concurrency), SETTINGS_ROLE_GATEWAY, 0, 1, 100000, NULL,
    "256", "requests",
    "Maximum number of requests that this gateway runs at once" },
  { "admission.queue_limit", SETTINGS_TYPE_INTEGER,
    FIELD (admission.queue_limit), SETTINGS_ROLE_GATEWAY, 0, 1, 1000000, NULL,
    "2048", "requests",
    "Maximum number of waiting requests of all classes together" },
  { "admission.organisation_queue_limit", SETTINGS_TYPE_INTEGER,
    FIELD (admission.organisation_queue_limit), SETTINGS_ROLE_GATEWAY, 0, 1,
    1000000, NULL, "512", "requests",
    "Maximum number of waiting requests of one organisation" },
  { "admission.organisation_share", SETTINGS_TYPE_NUMBER,
    FIELD (admission.organisation_share), SETTINGS_ROLE_GATEWAY, 0, 0.01, 1,
    NULL, "1.0", NULL,
    "Maximum share of the concurrency that one organisation may use" },
  { "admission.urgent_share", SETTINGS_TYPE_NUMBER,
    FIELD (admission.urgent_share), SETTINGS_ROLE_GATEWAY, 0, 0, 0.9, NULL,
    "0.1", NULL,
    "Share of the concurrency that is reserved for urgent requests" },
  { "admission.urgent.weight", SETTINGS_TYPE_NUMBER,
    FIELD (admission.classes[PRIORITY_URGENT].weight), SETTINGS_ROLE_GATEWAY,
    0, 0.001, 1000, NULL, "8", NULL,
    "Weight of urgent requests when capacity is divided among the priority "
    "classes" },
  { "admission.urgent.queue_limit", SETTINGS_TYPE_INTEGER,
    FIELD (admission.classes[PRIORITY_URGENT].queue_limit),
    SETTINGS_ROLE_GATEWAY, 0, 1, 1000000, NULL, "256", "requests",
    "Maximum number of waiting urgent requests" },
  { "admission.standard.weight", SETTINGS_TYPE_NUMBER,
    FIELD (admission.classes[PRIORITY_STANDARD].weight), SETTINGS_ROLE_GATEWAY,
    0, 0.001, 1000, NULL, "4", NULL,
    "Weight of standard requests when capacity is divided among the priority "
    "classes" },
  { "admission.standard.queue_limit", SETTINGS_TYPE_INTEGER,
    FIELD (admission.classes[PRIORITY_STANDARD].queue_limit),
    SETTINGS_ROLE_GATEWAY, 0, 1, 1000000, NULL, "1024", "requests",
    "Maximum number of waiting standard requests" },
  { "admission.bulk.weight", SETTINGS_TYPE_NUMBER,
    FIELD (admission.classes[PRIORITY_BULK].weight), SETTINGS_ROLE_GATEWAY, 0,
    0.001, 1000, NULL, "1", NULL,
    "Weight of bulk requests when capacity is divided among the priority "
    "classes" },
  { "admission.bulk.queue_limit", SETTINGS_TYPE_INTEGER,
    FIELD (admission.classes[PRIORITY_BULK].queue_limit),
    SETTINGS_ROLE_GATEWAY, 0, 1, 1000000, NULL, "1024", "requests",
    "Maximum number of waiting bulk requests" },
  { "retry.budget_share", SETTINGS_TYPE_NUMBER, FIELD (retry.budget_share),
    SETTINGS_ROLE_GATEWAY, 0, 0, 1, NULL, "0.1", NULL,
    "Maximum number of retries per successful request" },
  { "retry.backends_max", SETTINGS_TYPE_INTEGER, FIELD (retry.backends_max),
    SETTINGS_ROLE_GATEWAY, 0, 1, 2, NULL, "2", "servers",
    "Maximum number of backend servers tried per request" },
  { "retry.backoff_base_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (retry.backoff_base_ns), SETTINGS_ROLE_GATEWAY, 0, 1, 60000, NULL,
    "50", "ms",
    "Maximum random delay before the first retry; the maximum doubles with "
    "each further retry, up to retry.backoff_max_ms" },
  { "retry.backoff_max_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (retry.backoff_max_ns), SETTINGS_ROLE_GATEWAY, 0, 1, 600000, NULL,
    "2000", "ms", "Maximum random delay before any retry" },
  { "retry.window_s", SETTINGS_TYPE_SECONDS, FIELD (retry.window_ns),
    SETTINGS_ROLE_ENTRY, 0, 0.001, 1e6, NULL, "10", "s",
    "Length of the sliding window over which an entry process limits "
    "retries" },
  { "retry.window_share", SETTINGS_TYPE_NUMBER, FIELD (retry.window_share),
    SETTINGS_ROLE_ENTRY, 0, 0, 1000, NULL, "0.2", NULL,
    "Maximum number of retries in the window per request that the host "
    "received in the window" },
  { "retry.allowance", SETTINGS_TYPE_NUMBER, FIELD (retry.allowance),
    SETTINGS_ROLE_ENTRY, 0, 0, 1e9, NULL, "50", "sends",
    "Number of retries per window that all hosts together may make in "
    "addition to those of retry.window_share" },
  { "queue.mode", SETTINGS_TYPE_CHOICE, FIELD (queue.mode),
    SETTINGS_ROLE_ENTRY, 0, 0, 0, queue_mode_names, "\"auto\"", NULL,
    "Engine services whose requests are queued by priority, deadline and "
    "work: "
    "those whose capacity varies (auto), all, or none" },
  { "queue.limit", SETTINGS_TYPE_INTEGER, FIELD (queue.limit),
    SETTINGS_ROLE_ENTRY, 0, 1, 1000000, NULL, "10000", "requests",
    "Maximum number of requests that wait in the queue of one service" },
  { "weights.within_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (weights.within_ns),
    SETTINGS_ROLE_ENTRY, 0, 0, 1e9, NULL, "8000", "ms",
    "Time within which all engines of a model should have loaded a new "
    "weight version" },
  { "weights.share", SETTINGS_TYPE_NUMBER, FIELD (weights.share),
    SETTINGS_ROLE_ENTRY, 0, 0, 1, NULL, "0.2", NULL,
    "Share of a model's engines that load a weight version at once" },
  { "weights.at_once", SETTINGS_TYPE_INTEGER, FIELD (weights.at_once),
    SETTINGS_ROLE_ENTRY, 0, 1, 1000, NULL, "2", "engines",
    "Number of engines that may load weights at once even if weights.share "
    "amounts to fewer" },
  { "weights.fenced", SETTINGS_TYPE_BOOLEAN, FIELD (weights.fenced),
    SETTINGS_ROLE_ENTRY, 0, 0, 0, NULL, "false", NULL,
    "Whether engines refuse orders of an earlier leader" },
  { "engines.tokens_per_ms", SETTINGS_TYPE_NUMBER,
    FIELD (engines.tokens_per_ms), SETTINGS_ROLE_ENTRY, 0, 0.01, 100000, NULL,
    "60", "tokens/ms", "Rate at which an engine prefills a prompt" },
  { "engines.use_stores", SETTINGS_TYPE_BOOLEAN, FIELD (engines.use_stores),
    SETTINGS_ROLE_ENTRY, 0, 0, 0, NULL, "true", NULL,
    "Whether KV cache is saved to stores and fetched from them" },
  { "servers.leave_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (servers.leave_ns),
    SETTINGS_ROLE_ENTRY, 0, 0, 1e9, NULL, "2000", "ms",
    "Time within which a backend server that leaves gets no more requests; "
    "large fleets read changes of servers at up to half of it" },
  { "servers.heartbeat_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (servers.heartbeat_ns), SETTINGS_ROLE_ENTRY, 0, 1, 1e9, NULL, "1200",
    "ms",
    "Interval at which backend servers renew their entries, which expire "
    "after "
    "three" },
  { "servers.evacuate_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (servers.evacuate_ns), SETTINGS_ROLE_ENTRY, 0, 0, 1e9, NULL, "0",
    "ms",
    "Time within which the servers of an evacuated data centre get no more "
    "requests; 0: a host that stood still does not wait for the keys" },
  { "servers.cold_overage", SETTINGS_TYPE_NUMBER, FIELD (servers.cold_overage),
    SETTINGS_ROLE_ENTRY, 0, 1, 1000, NULL, "1", NULL,
    "Factor on the cold rate of a backend server up to which it is sure not "
    "to fail while it is cold" },
  { "servers.cold_tolerance", SETTINGS_TYPE_NUMBER,
    FIELD (servers.cold_tolerance), SETTINGS_ROLE_ENTRY, 0, 0, 1e6, NULL, "0",
    "requests",
    "Requests within a second beyond that which a cold backend server "
    "tolerates" },
  { "operator.key_hash", SETTINGS_TYPE_HASH_KEY, FIELD (operator_key.hash),
    SETTINGS_ROLE_GATEWAY, 0, 64, 64, NULL, NULL, "hex",
    "BLAKE2b-256 hash of the operators' bearer key; without it operators are "
    "refused" },
  { "suspect.crashes", SETTINGS_TYPE_INTEGER, FIELD (suspect.crashes),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 1, 2, NULL, "2", "crashes",
    "Number of crashed backend servers after which a request is refused as a "
    "poison request" },
  { "suspect.hold_s", SETTINGS_TYPE_SECONDS, FIELD (suspect.hold_ns),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 1, 604800, NULL, "3600", "s",
    "Time during which a poison request is refused" },
  { "suspect.run_alone", SETTINGS_TYPE_BOOLEAN, FIELD (suspect.run_alone),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 0, 0, NULL, "true", NULL,
    "Whether a request that crashed one backend server may run once more, "
    "alone on a backend server" },
  { "suspect.unchecked", SETTINGS_TYPE_BOOLEAN, FIELD (suspect.unchecked),
    SETTINGS_ROLE_GATEWAY, 0, 0, 0, NULL, "false", NULL,
    "Whether requests run while no shard can check whether they are poison "
    "requests" },
  { "suspect.grace_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (suspect.grace_ns),
    SETTINGS_ROLE_SHARD, 0, 100, 60000, NULL, "2000", "ms",
    "Time in which a new owner of a partition receives the gateways' reports "
    "of the requests that they run; must be longer than they take to detect "
    "the new owner" },
  { "timeouts.connect_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (timeouts.connect_ns), SETTINGS_ROLES_ALL, 0, 10, 60000, NULL, "500",
    "ms", "Timeout for opening a connection" },
  { "timeouts.first_byte_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (timeouts.first_byte_ns), SETTINGS_ROLE_GATEWAY, 0, 10, 3600000,
    NULL, "30000", "ms",
    "Timeout from sending a request to the first byte of its response" },
  { "timeouts.progress_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (timeouts.progress_ns), SETTINGS_ROLE_GATEWAY | SETTINGS_ROLE_ENTRY,
    0, 10, 600000, NULL, "5000", "ms",
    "Timeout between two chunks of a response" },
  { "timeouts.header_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (timeouts.header_ns), SETTINGS_ROLES_GATEWAY_SHARD, 0, 10, 60000,
    NULL, "5000", "ms", "Timeout for receiving a caller's request header" },
  { "timeouts.stop_s", SETTINGS_TYPE_SECONDS, FIELD (timeouts.stop_ns),
    SETTINGS_ROLES_ALL, 0, 0, 1e6, NULL, "120", "s",
    "Maximum duration of a planned stop" },
  { "entries.lifetime_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (entries.lifetime_ns), SETTINGS_ROLE_GATEWAY | SETTINGS_ROLE_ENTRY,
    0, 100, 3600000, NULL, "10000", "ms",
    "Time during which a caller may use the addresses in a response to "
    "/v1/entries" },
  { "limits.body_bytes", SETTINGS_TYPE_INTEGER, FIELD (limits.body_bytes),
    SETTINGS_ROLE_GATEWAY, 0, 1024, 1 << 30, NULL, "8388608", "bytes",
    "Maximum size of a caller's request body" },
  { "limits.header_bytes", SETTINGS_TYPE_INTEGER, FIELD (limits.header_bytes),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 256, 1 << 20, NULL, "16384", "bytes",
    "Maximum size of a caller's request header" },
  { "log.level", SETTINGS_TYPE_CHOICE, FIELD (log.level), SETTINGS_ROLES_ALL,
    0, 0, 0, level_names, "\"info\"", NULL,
    "Events below this level are dropped" },
  { "export.enabled", SETTINGS_TYPE_BOOLEAN, FIELD (export.enabled),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 0, 0, NULL, "true", NULL,
    "Whether blocks of the engines' KV cache are saved to the stores" },
  { "export.horizon_s", SETTINGS_TYPE_SECONDS, FIELD (export.horizon_ns),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 1, 30 * 86400.0, NULL, "86400", "s",
    "Time after an export decision within which the reuse of the block "
    "counts as a benefit" },
  { "export.link_share", SETTINGS_TYPE_NUMBER, FIELD (export.link_share),
    SETTINGS_ROLES_GATEWAY_SHARD, 0, 0, 1, NULL, "0.5", NULL,
    "Maximum share of a store's network link that saving blocks may use" },
  { "blocks.hash_key", SETTINGS_TYPE_HASH_KEY, FIELD (blocks.hash_key),
    SETTINGS_ROLES_GATEWAY_SHARD, SETTINGS_ROLES_GATEWAY_SHARD, 64, 64, NULL,
    NULL, "hex",
    "Secret key of block ids and fingerprints; the same in the whole fleet" },
  { "stores.link_bytes_per_s", SETTINGS_TYPE_INTEGER,
    FIELD (stores.link_bytes_per_s), SETTINGS_ROLES_GATEWAY_SHARD, 0, 1000,
    1LL << 40, NULL, "125000000", "bytes/s",
    "Bandwidth of the network link of one store" },
  { "stores.read_lease_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (stores.read_lease_ns), SETTINGS_ROLES_GATEWAY_SHARD, 0, 10, 600000,
    NULL, "5000", "ms",
    "Time after the lookup of a stored block during which the block may be "
    "read" },
  { "stores.free_delay_ms", SETTINGS_TYPE_MILLISECONDS,
    FIELD (stores.free_delay_ns), SETTINGS_ROLES_GATEWAY_SHARD, 0, 10, 600000,
    NULL, "10000", "ms",
    "Delay between marking a stored block for deletion and freeing it" },
  { "stores.listing_ms", SETTINGS_TYPE_MILLISECONDS, FIELD (stores.listing_ns),
    SETTINGS_ROLE_SHARD, 0, 100, 86400000, NULL, "60000", "ms",
    "Interval between two listings of all blocks of a store" },
};

const unsigned settings_key_count
    = sizeof settings_keys / sizeof *settings_keys;

const struct settings_order_rule settings_order_rules[] = {
  { "kv.timeout_ms", "kv.lease_ttl_ms" },
  { "stores.read_lease_ms", "stores.free_delay_ms" },
  { "retry.backoff_base_ms", "retry.backoff_max_ms" },
};

const unsigned settings_order_rule_count
    = sizeof settings_order_rules / sizeof *settings_order_rules;

static const char *const type_names[] = {
  [SETTINGS_TYPE_TEXT] = "text",
  [SETTINGS_TYPE_CHOICE] = "one of",
  [SETTINGS_TYPE_BOOLEAN] = "true or false",
  [SETTINGS_TYPE_INTEGER] = "whole number",
  [SETTINGS_TYPE_NUMBER] = "number",
  [SETTINGS_TYPE_MILLISECONDS] = "number",
  [SETTINGS_TYPE_SECONDS] = "number",
  [SETTINGS_TYPE_ADDRESS] = "\"IP:PORT\"",
  [SETTINGS_TYPE_ADDRESSES] = "array of \"IP:PORT\"",
  [SETTINGS_TYPE_PLACES] = "object of texts, 1 to 63 bytes",
  [SETTINGS_TYPE_HASH_KEY] = "hexadecimal digits",
};

/* Return the Levenshtein distance of A and B. */
static unsigned
edit_distance (const char *a, const char *b)
{
  unsigned row[EDIT_DISTANCE_BYTES_MAX + 1];
  size_t width = MIN (strlen (b), (size_t)EDIT_DISTANCE_BYTES_MAX);

  for (unsigned j = 0; j <= width; j++)
    row[j] = j;
  for (unsigned i = 1; a[i - 1] != '\0'; i++)
    {
      unsigned diagonal = row[0];

      row[0] = i;
      for (unsigned j = 1; j <= width; j++)
        {
          unsigned replaced = diagonal + (a[i - 1] != b[j - 1]);

          diagonal = row[j];
          row[j] = MIN (replaced, MIN (row[j], row[j - 1]) + 1);
        }
    }
  return row[width];
}

void
settings_key_describe (const struct settings_key *key,
                       char text[SETTINGS_DESCRIPTION_MAX])
{
  GString *description = g_string_new (type_names[key->type]);

  if (key->choices != NULL)
    for (unsigned i = 0; key->choices[i] != NULL; i++)
      g_string_append_printf (description, "%s \"%s\"", i > 0 ? "," : "",
                              key->choices[i]);
  if (key->type == SETTINGS_TYPE_TEXT)
    g_string_append_printf (description, ", %g to %g bytes", key->min,
                            key->max);
  else if (key->type == SETTINGS_TYPE_HASH_KEY)
    g_string_append_printf (description, ", %g of them", key->max);
  else if (key->type == SETTINGS_TYPE_ADDRESSES
           || key->type == SETTINGS_TYPE_PLACES)
    g_string_append_printf (description, ", %g to %g of them", key->min,
                            key->max);
  else if (key->max > 0)
    g_string_append_printf (description, ", %.15g to %.15g", key->min,
                            key->max);
  if (key->unit != NULL && key->type != SETTINGS_TYPE_HASH_KEY)
    g_string_append_printf (description, " %s", key->unit);
  g_strlcpy (text, description->str, SETTINGS_DESCRIPTION_MAX);
  g_string_free (description, TRUE);
}

const struct settings_key *
settings_key_nearest (const char *path, unsigned roles)
{
  const struct settings_key *best = NULL;
  unsigned best_distance = 0;

  for (unsigned i = 0; i < settings_key_count; i++)
    {
      const struct settings_key *key = &settings_keys[i];
      unsigned distance = edit_distance (path, key->path);

      if ((key->roles & roles) == 0
          || (best != NULL && distance >= best_distance))
        continue;
      best = key;
      best_distance = distance;
    }
  return best;
}

const struct settings_key *
settings_key_find (const char *path)
{
  for (unsigned i = 0; i < settings_key_count; i++)
    if (strcmp (settings_keys[i].path, path) == 0)
      return &settings_keys[i];
  return NULL;
}

bool
settings_key_is_section (const char *path)
{
  size_t length = strlen (path);

  for (unsigned i = 0; i < settings_key_count; i++)
    if (strncmp (settings_keys[i].path, path, length) == 0
        && settings_keys[i].path[length] == '.')
      return true;
  return false;
}
