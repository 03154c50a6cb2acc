#include "forwardsend.h"

#include <string.h>
#include <xxhash.h>

enum
{
  FETCH_FREE_MS = 15,    /* A fetch that takes no longer always pays. */
  FETCH_MARGIN_MS = 100, /* for what the expected time leaves out */
  FETCH_LEAST_MS = 150,  /* A fetch may always take so long. */
  PRIORITY_MAX = 9,      /* of a backend server */
  ROUTE_RANKS = 3,       /* priorities of routes told apart within a rank */
  RANK_DEFAULT = 1       /* of an organisation without one */
};

/* What reading weighs against fetching: it also holds up other requests. */
static const double reading_weight = 1.5;
/* The part of the time left to the first event that a fetch may take. */
static const double fetch_part = 0.6;

const struct wanted_weights *
forward_weights (const struct forward *forward)
{
  if (forward->call.model == NULL)
    return NULL;
  return g_hash_table_lookup (forward->forwarder->weights,
                              forward->call.model);
}

void
forward_uncount (struct forward *forward)
{
  struct server *server = forward->server;

  if (server == NULL)
    return;
  server->in_flight--;
  server->in_flight_tokens
      -= forward->call.prompt_tokens + forward->call.output_tokens;
  server->prefill_tokens -= forward->tokens_counted;
  forward->tokens_counted = 0;
  forward->server = NULL;
  server_unref (server);
}

static void
server_count (struct forward *forward, const struct choose_result *choice)
{
  struct server *server = server_ref (choice->server);

  forward->server = server;
  server->in_flight++;
  server->in_flight_tokens
      += forward->call.prompt_tokens + forward->call.output_tokens;
  forward->tokens_counted
      = forward->call.prompt_tokens > choice->cached_tokens
            ? forward->call.prompt_tokens - (unsigned)choice->cached_tokens
            : 0;
  server->prefill_tokens += forward->tokens_counted;
}

/* Cached parts are shared among requests of one model, weight version and,
 * behind a wall, organisation. Names that do not fit are told apart by their
 * digest: a scope that is cut off would join two of them. */
static void
scope_write (const struct forward *forward, uint64_t version,
             char scope[CACHE_SCOPE_MAX])
{
  bool walled = forward->organisation != NULL && forward->organisation->walled;
  char *full
      = g_strdup_printf (CACHE_SCOPE_FORMAT "%s", forward->call.model, version,
                         walled ? forward->organisation->name : "");
  size_t size = strlen (full);

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

/* Whether parts made by the weights that SERVER is believed to have may be
 * fetched for it: the request names them, and other weights refuse it. */
static bool
uses_stores (const struct forward *forward, const struct server *server)
{
  return forward->forwarder->settings.use_stores && forward->call.model != NULL
         && server_version (server, forward->call.model) != 0;
}

/* Parts made by weights that are about to go are not worth saving. */
static bool
saves_parts (const struct forward *forward, const struct server *server)
{
  const struct wanted_weights *wanted = forward_weights (forward);

  return wanted == NULL
         || server_version (server, forward->call.model) >= wanted->version;
}

/* Time until the first event is late. */
static int64_t
target_left_ns (const struct forward *forward)
{
  return forward->arrived_ns + forward->route->target_ns
         - clock_now (forward->forwarder->clock);
}

/* Whether fetching TOKENS from STORE is worth its time: it is if the request
 * stays in time all the same, since reading takes an engine's time from
 * others; else if it is faster. */
static bool
fetch_pays (const struct forward *forward, const struct kvstore *store,
            const struct choose_result *choice, unsigned tokens)
{
  const struct choose_settings *settings
      = &forward->forwarder->settings.choose;
  struct choose_stored stored = {
    .data_centre = store->data_centre,
    .delay_ms = kvstore_delay_ms (store),
  };
  double left = (double)target_left_ns (forward) / NS_PER_MS;
  double fetch = choose_fetch_ms (settings, &stored, choice->server, tokens);

  return fetch < reading_weight * tokens / settings->tokens_per_ms
                     + FETCH_FREE_MS
         || choice->cost_ms + FETCH_MARGIN_MS < left;
}

static void
stores_fill (struct forward *forward, const struct choose_result *choice,
             struct send *send)
{
  const struct server *server = choice->server;
  int64_t fetch_ns
      = MAX ((int64_t)(fetch_part * (double)target_left_ns (forward)),
             FETCH_LEAST_MS * NS_PER_MS);
  const struct kvstores *kvstores = forward->forwarder->kvstores;
  const struct call *call = &forward->call;
  uint64_t version = server_version (server, call->model);
  bool fetches
      = retire_allows (forward->forwarder->retire, call->model, version);
  unsigned largest = 0;

  send->part_count = call->part_count;
  for (unsigned i = 0; i + 1 < call->part_count; i++)
    {
      const struct call_part *part = &call->parts[i];
      const char *data_centre = server->entry.data_centre;
      const struct kvstore *store
          = kvstores_find (kvstores, forward->scope, part, data_centre);

      if (store == NULL)
        {
          if (saves_parts (forward, server))
            store = kvstores_place (kvstores, part->id, part->tokens,
                                    data_centre);
          send->save[i] = store != NULL ? store->address : NULL;
          continue;
        }
      if (!fetches || !fetch_pays (forward, store, choice, part->tokens))
        continue;
      send->fetch[i] = store->address;
      if (part->tokens <= largest)
        continue;
      largest = part->tokens;
      g_free (forward->fetch_store);
      forward->fetch_store = g_strdup (store->name);
    }
  if (largest > 0)
    send->fetch_until_ms = kvstores_fetch_until_ms (kvstores, fetch_ns);
  /* Other weights must neither use nor fill this scope. */
  send->weight_version = version;
}

/* What stores hold of the first parts, made by VERSION of the weights. */
static void
stored_add (const struct forward *forward, uint64_t version,
            struct choose_query *query)
{
  const struct call *call = &forward->call;
  struct choose_stored *stored = &query->stored[query->stored_count];
  char scope[CACHE_SCOPE_MAX];
  unsigned largest = 0;

  if (version == 0
      || !retire_allows (forward->forwarder->retire, call->model, version))
    return;
  query->stored_count++;
  stored->version = version;
  stored->data_centre = "";
  scope_write (forward, version, scope);
  for (unsigned i = 0; i + 1 < call->part_count; i++)
    {
      const struct kvstore *store = kvstores_find (
          forward->forwarder->kvstores, scope, &call->parts[i], "");

      if (store == NULL)
        break;
      stored->tokens += call->parts[i].tokens;
      if (call->parts[i].tokens <= largest)
        continue;
      largest = call->parts[i].tokens;
      stored->data_centre = store->data_centre;
      stored->delay_ms = kvstore_delay_ms (store);
    }
}

void
forward_stored_fill (const struct forward *forward, uint64_t version,
                     struct choose_query *query)
{
  if (!forward->forwarder->settings.use_stores || forward->call.model == NULL)
    return;
  for (unsigned back = 0; back < CHOOSE_STORED_MAX && back < version; back++)
    stored_add (forward, version - back, query);
}

unsigned
forward_priority (const struct forward *forward)
{
  const struct organisation *organisation = forward->organisation;
  unsigned rank = organisation != NULL && organisation->has_priority
                      ? organisation->priority
                      : RANK_DEFAULT;
  unsigned priority = MIN (forward->route->priority, ROUTE_RANKS - 1U);

  return MIN (rank * ROUTE_RANKS + priority, (unsigned)PRIORITY_MAX);
}

void
forward_send (struct forward *forward, const struct choose_result *choice,
              uint64_t weight_version)
{
  struct forwarder *forwarder = forward->forwarder;
  struct callerconn *conn = forward->conn;
  const char *method = callerconn_method (conn);
  GString *request = g_string_sized_new (1024 + conn->body->len);
  unsigned priority = forward_priority (forward);
  struct send send = {
    .server_id = choice->server->entry.id,
    .organisation
    = forward->organisation != NULL ? forward->organisation->name : NULL,
    .patience_ns = forward->end_ns - clock_now (forwarder->clock),
    .has_priority = forward->call.model != NULL,
    .priority = priority,
    .weight_version = weight_version,
    .resumes = forward->relaying,
    .resume_after = forward->exchange.events.last_id,
  };

  if (forward->call.model != NULL)
    {
      scope_write (forward,
                   server_version (choice->server, forward->call.model),
                   forward->scope);
      send.cache_scope = forward->scope;
    }
  g_free (forward->fetch_store);
  forward->fetch_store = NULL;
  if (uses_stores (forward, choice->server))
    stores_fill (forward, choice, &send);
  if (forward->tried_count < CHOOSE_EXCLUDED_MAX)
    forward->tried[forward->tried_count++] = choice->server;
  forwarder->dialect->send_encode (request, method, conn->target->str,
                                   &conn->head, conn->body, &send);
  server_count (forward, choice);
  forward->expected_ms = choice->cost_ms;
  forward->backlog_ms = choice->backlog_ms;
  forward->delay_ms = choice->delay_ms;
  exchange_send (
      &forward->exchange, forwarder->loop, choice->server,
      forward->call.request_id, request, strcmp (method, "HEAD") == 0,
      forward->route->kind == ROUTE_STREAM, forwarder->settings.connect_ns);
}
