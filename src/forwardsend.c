#include "forwardsend.h"
#include "forwardhomes.h"
#include "kvstoreuse.h"
#include "forwardweights.h"
#include "serverevacuate.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Time that a fetch may take beyond the weighted time of recomputing the
   * blocks, so that a short fetch is always preferred. */
  FETCH_EXTRA_MS = 15,
  /* Margin for delays that the expected time does not include. */
  FETCH_MARGIN_MS = 100,
  /* Minimum timeout of a fetch, even if less time is left until the target. */
  FETCH_MIN_MS = 150,
  PRIORITY_MAX = 9, /* Least urgent priority that a backend server accepts. */
  /* Number of route priorities that are distinguished within each priority
   * of an organisation. */
  ROUTE_PRIORITIES = 3,
  /* Priority of an organisation that has none configured. */
  ORGANISATION_PRIORITY_DEFAULT = 1
};

/* Factor on the time of recomputing blocks when it is compared with the time
 * of fetching them. Recomputing also delays other requests of the engine. */
static const double prefill_weight = 1.5;
/* Maximum timeout of a fetch, as a share of the time left until the target. */
static const double fetch_share = 0.6;

void
forward_untry (struct forward *forward, const struct server *server)
{
  if (forward->tried_count > 0
      && forward->tried[forward->tried_count - 1] == server)
    forward->tried_count--;
}

void
forward_uncount_load (struct forward_attempt *attempt)
{
  const struct call *call = &attempt->forward->call;
  struct server *server = attempt->counted_server;

  if (server == NULL)
    return;
  server_request_ended (server);
  server->in_flight_tokens -= call->prompt_tokens + call->output_tokens;
  server->pending_prefill_tokens -= attempt->counted_prefill_tokens;
  attempt->counted_prefill_tokens = 0;
  attempt->counted_server = NULL;
  server_unref (server);
}

static void
forward_count_load (struct forward_attempt *attempt,
                    const struct choose_result *choice)
{
  const struct forward *forward = attempt->forward;
  struct server *server = server_ref (choice->server);

  attempt->counted_server = server;
  server_request_begun (forward->forwarder->servers, server);
  server->in_flight_tokens
      += forward->call.prompt_tokens + forward->call.output_tokens;
  attempt->counted_prefill_tokens
      = forward->call.prompt_tokens > choice->cached_tokens
            ? forward->call.prompt_tokens - (unsigned)choice->cached_tokens
            : 0;
  server->pending_prefill_tokens += attempt->counted_prefill_tokens;
}

/* Write what keeps the cached blocks of organisations apart to WALL: the name
 * of an isolated organisation, which has its own blocks, or the set of
 * isolated organisations, so that the others use no block that one of these
 * made before. A name never reads like a set, which begins with a single '#'.
 */
static void
wall_write (const struct forward *forward, GString *wall)
{
  /* The request may have waited since before the last configuration. */
  const struct routes *routes = forward->forwarder->routes;
  const struct organisation *organisation = forward->organisation;
  const struct organisation *newest
      = organisation != NULL
            ? g_hash_table_lookup (routes->organisations, organisation->name)
            : NULL;

  if (newest != NULL)
    organisation = newest;
  if (organisation != NULL && organisation->isolated)
    g_string_printf (wall, "%s%s", organisation->name[0] == '#' ? "##" : "",
                     organisation->name);
  else if (routes->isolation != 0)
    g_string_printf (wall, "#%016" G_GINT64_MODIFIER "x",
                     (guint64)routes->isolation);
}

/* Write the cache scope of the request to SCOPE. Requests share cached blocks
 * if they have the same model and weight version and no wall between their
 * organisations. A scope that is too long is replaced by its digest, since
 * truncated scopes of two organisations could be equal. */
static void
cache_scope_write (const struct forward *forward, uint64_t version,
                   char scope[CACHE_SCOPE_MAX])
{
  GString *wall = g_string_new (NULL);
  char *full;
  size_t size;

  wall_write (forward, wall);
  full = g_strdup_printf (CACHE_SCOPE_FORMAT "%s", forward->call.model,
                          version, wall->str);
  size = strlen (full);
  g_string_free (wall, TRUE);

  if (size < CACHE_SCOPE_MAX)
    memcpy (scope, full, size + 1);
  else
    {
      XXH128_hash_t digest = XXH3_128bits (full, size);

      g_snprintf (scope, CACHE_SCOPE_MAX,
                  "digest:%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
                  "x",
                  (guint64)digest.high64, (guint64)digest.low64);
    }
  g_free (full);
}

/* Whether SERVER may fetch blocks computed with the weights that it is assumed
 * to have. The request names their version, so that an engine that has other
 * weights refuses it. */
static bool
may_use_stores (const struct forward *forward, const struct server *server)
{
  return forward->forwarder->settings.use_stores && forward->call.model != NULL
         && server_weight_version (server, forward->call.model) != 0;
}

/* Whether SERVER shall save blocks. Blocks computed with weights that are
 * about to be replaced are not worth saving. */
static bool
may_save_blocks (const struct forward *forward, const struct server *server)
{
  const struct wanted_weights *wanted = forward_wanted_weights (forward);

  return wanted == NULL
         || server_weight_version (server, forward->call.model)
                >= wanted->version;
}

/* Return the time left until the first event misses the target. */
static int64_t
target_time_left_ns (const struct forward *forward)
{
  return forward->arrived_ns + forward->route->latency_target_ns
         - clock_now (forward->forwarder->clock);
}

/* Whether to fetch TOKENS tokens from STORE instead of recomputing them.
 * Fetching is chosen if it is faster, and also if it is slower but the request
 * still meets its target, since recomputing takes an engine's time from other
 * requests. */
static bool
fetch_is_worthwhile (const struct forward *forward,
                     const struct kvstore *store,
                     const struct choose_result *choice, unsigned tokens)
{
  const struct choose_settings *settings
      = &forward->forwarder->settings.choose;
  struct choose_stored_prefix stored = {
    .data_centre = store->data_centre,
    .delay_ms = kvstore_expected_delay_ms (store),
  };
  double left_ms = (double)target_time_left_ns (forward) / NS_PER_MS;
  double fetch_ms
      = choose_fetch_ms (settings, &stored, choice->server, tokens);

  return fetch_ms < prefill_weight * tokens / settings->prefill_tokens_per_ms
                        + FETCH_EXTRA_MS
         || choice->cost_ms + FETCH_MARGIN_MS < left_ms;
}

static void
attempt_set_stores (struct forward_attempt *attempt,
                    const struct choose_result *choice,
                    struct attempt_header *header)
{
  const struct forward *forward = attempt->forward;
  const struct server *server = choice->server;
  int64_t fetch_timeout_ns
      = MAX ((int64_t)(fetch_share * (double)target_time_left_ns (forward)),
             FETCH_MIN_MS * NS_PER_MS);
  const struct kvstores *kvstores = forward->forwarder->kvstores;
  const struct call *call = &forward->call;
  uint64_t version = server_weight_version (server, call->model);
  bool may_fetch = cacheretire_allows_fetch (forward->forwarder->retire,
                                             call->model, version);
  unsigned largest = 0;
  struct homes homes;

  forwardhomes_get (forward, &homes);
  header->block_count = call->block_count;
  for (unsigned i = 0; i + 1 < call->block_count; i++)
    {
      const struct call_block *block = &call->blocks[i];
      const char *data_centre = server->entry.data_centre;
      const struct kvstore *store = kvstores_find_block (
          kvstores, attempt->cache_scope, block, data_centre, &homes);

      if (store == NULL)
        {
          if (may_save_blocks (forward, server))
            store = kvstores_choose_save_target (
                kvstores, block->id, block->tokens, data_centre, &homes);
          header->save_addresses[i] = store != NULL ? store->address : NULL;
          continue;
        }
      if (!may_fetch
          || !fetch_is_worthwhile (forward, store, choice, block->tokens))
        continue;
      header->fetch_addresses[i] = store->address;
      if (block->tokens <= largest)
        continue;
      largest = block->tokens;
      g_free (attempt->fetch_store_name);
      attempt->fetch_store_name = g_strdup (store->name);
    }
  if (largest > 0)
    header->fetch_deadline_ms
        = kvstores_fetch_deadline_ms (kvstores, fetch_timeout_ns);
  /* An engine with other weights must not fetch blocks of this scope or save
   * blocks under it, so it has to refuse the request. */
  header->weight_version = version;
}

/* Add to QUERY the leading blocks that stores have and that were computed with
 * VERSION of the weights. */
static void
query_add_stored (const struct forward *forward, uint64_t version,
                  struct choose_query *query)
{
  const struct call *call = &forward->call;
  struct choose_stored_prefix *stored = &query->stored[query->stored_count];
  char scope[CACHE_SCOPE_MAX];
  unsigned largest = 0;

  if (version == 0
      || !cacheretire_allows_fetch (forward->forwarder->retire, call->model,
                                    version))
    return;
  query->stored_count++;
  stored->version = version;
  stored->data_centre = "";
  cache_scope_write (forward, version, scope);
  for (unsigned i = 0; i + 1 < call->block_count; i++)
    {
      const struct kvstore *store
          = kvstores_find_block (forward->forwarder->kvstores, scope,
                                 &call->blocks[i], "", &query->homes);

      if (store == NULL)
        break;
      stored->tokens += call->blocks[i].tokens;
      if (call->blocks[i].tokens <= largest)
        continue;
      largest = call->blocks[i].tokens;
      stored->data_centre = store->data_centre;
      stored->delay_ms = kvstore_expected_delay_ms (store);
    }
}

void
forward_add_stored (const struct forward *forward, uint64_t version,
                    struct choose_query *query)
{
  if (!forward->forwarder->settings.use_stores || forward->call.model == NULL)
    return;
  for (unsigned age = 0; age < CHOOSE_STORED_MAX && age < version; age++)
    query_add_stored (forward, version - age, query);
}

unsigned
forward_priority (const struct forward *forward)
{
  const struct organisation *organisation = forward->organisation;
  unsigned organisation_priority
      = organisation != NULL && organisation->has_priority
            ? organisation->priority
            : ORGANISATION_PRIORITY_DEFAULT;
  unsigned route_priority
      = MIN (forward->route->priority, ROUTE_PRIORITIES - 1U);

  return MIN (organisation_priority * ROUTE_PRIORITIES + route_priority,
              (unsigned)PRIORITY_MAX);
}

bool
forward_may_send (void *data, struct exchange *exchange)
{
  const struct forward_attempt *attempt = data;

  /* Another host judges by itself where it sends the request. */
  return attempt->host != NULL
         || !servers_withhold (attempt->forward->forwarder->servers,
                               exchange->server);
}

void
forward_send (struct forward_attempt *attempt,
              const struct choose_result *choice, uint64_t required_version)
{
  struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  struct callerconn *conn = forward->conn;
  const char *method = callerconn_method (conn);
  GString *request = g_string_sized_new (1024 + conn->body->len);
  unsigned priority = forward_priority (forward);
  struct attempt_header header = {
    .server_id = choice->server->entry.id,
    .organisation
    = forward->organisation != NULL ? forward->organisation->name : NULL,
    .time_left_ns = MAX (forward_time_left_ns (forward), 0),
    .has_priority = forward->call.model != NULL,
    .priority = priority,
    .weight_version = forwardweights_expected_version (forward, choice->server,
                                                       required_version),
    .resumes = forward->relaying,
    .last_event_id = attempt->exchange.events.last_id,
  };

  if (forward->call.model != NULL)
    {
      cache_scope_write (
          forward, server_weight_version (choice->server, forward->call.model),
          attempt->cache_scope);
      header.cache_scope = attempt->cache_scope;
    }
  g_free (attempt->fetch_store_name);
  attempt->fetch_store_name = NULL;
  if (may_use_stores (forward, choice->server))
    attempt_set_stores (attempt, choice, &header);
  if (forward->tried_count < CHOOSE_EXCLUDED_MAX)
    forward->tried[forward->tried_count++] = choice->server;
  forwarder->dialect->attempt_encode (request, method, conn->target->str,
                                      &conn->head, conn->body, &header);
  forward_count_load (attempt, choice);
  if (choice->server->limit.limited)
    metrics_add (forwarder->metrics, "trefoilspar_limited_sends_total", "", 1);
  serverlimit_take (&choice->server->limit, clock_now (forwarder->clock));
  serverpause_take (&choice->server->pause, clock_now (forwarder->clock));
  if (choice->server_is_cold)
    metrics_add (forwarder->metrics, "trefoilspar_cold_sends_total", "", 1);
  servercold_take (&choice->server->cold, clock_now (forwarder->clock));
  attempt->software_hash = choice->server->software_hash;
  attempt->weight_version
      = forward->call.model != NULL
            ? server_weight_version (choice->server, forward->call.model)
            : 0;
  attempt->silence_recorded = false;
  attempt->expected_ms = choice->cost_ms;
  attempt->backlog_ms = choice->backlog_ms;
  attempt->comparable_ms = choice->comparable_ms;
  attempt->store_delay_ms = choice->store_delay_ms;
  exchange_send (&attempt->exchange, forwarder->loop, choice->server,
                 &(struct exchange_request){
                     .id = forward->call.request_id,
                     .bytes = request,
                     .is_head = strcmp (method, "HEAD") == 0,
                     .is_stream = forward->route->kind == ROUTE_STREAM,
                     .continues = forward->relaying,
                 },
                 forwarder->settings.connect_timeout_ns);
}
