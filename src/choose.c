#include "choose.h"
#include "rendezvous.h"

#include <math.h>
#include <string.h>

/* Time that a failed answer costs its caller, for the share of failures: a new
 * try elsewhere with its backlog. */
static const double failure_ms = 400;
/* What a request on weights that are about to go is worth less, as waiting
 * time: a fifth of its value. */
static const double old_weights_ms = 150;
/* Memory that is spoken for in full costs a wait for running requests; about
 * half of a long stream. */
static const double memory_wait_ms = 800;

/* The time of one request of a plain service, where its load is not yet
 * measured, and of one that waits there. */
static const double plain_run_ms = 60;
static const double plain_wait_ms = 10;

const struct choose_settings choose_settings_default = {
  .tokens_per_ms = 60,
  .fetched_per_ms = 150,
  .distance_factor = 5,
  .run_ms = 3,
  .distance_ms = 12,
  .memory_share = 0.95,
  .home_share = 0.8,
  .report_ns = 300 * NS_PER_MS,
};

static bool
is_excluded (const struct choose_query *query, const struct server *server)
{
  for (unsigned i = 0; i < query->excluded_count; i++)
    if (query->excluded[i] == server)
      return true;
  return false;
}

/* Tokens of the parts that other requests share: all but the last. */
static uint64_t
shared_tokens (const struct call *call)
{
  uint64_t tokens = 0;

  for (unsigned i = 0; i + 1 < call->part_count; i++)
    tokens += call->parts[i].tokens;
  return tokens;
}

/* The weight of a report made at LOAD_NS. */
static double
report_weight (const struct choose_settings *settings,
               const struct server *server, int64_t now)
{
  double age = (double)(now - server->load_ns);

  return server->has_load ? exp2 (-age / (double)settings->report_ns) : 0;
}

static double
plain_cost (const struct choose_settings *settings,
            const struct choose_query *query, const struct server *server,
            int64_t now)
{
  double slots = MAX (server->entry.slots, 1U);
  double reported = report_weight (settings, server, now)
                    * (server->running + server->waiting);
  double told = server->in_flight + server->others_running;
  double occupied = MAX (reported, told);

  return occupied / slots * plain_run_ms
         + (server->waiting > 0 ? reported * plain_wait_ms : 0);
}

/* Tokens of memory that requests under way take. */
static double
memory_taken (const struct server *server)
{
  return (double)(server->in_flight_tokens + server->others_memory);
}

static double
engine_backlog (const struct choose_settings *settings,
                const struct choose_query *query, const struct server *server,
                int64_t now)
{
  double unread = (double)(server->prefill_tokens + server->others_prefill);
  double told = server->in_flight + server->others_running;
  double reported = report_weight (settings, server, now) * server->running;
  double memory = (double)server->parts_tokens_max;
  double over = memory_taken (server) + query->call->prompt_tokens - memory;
  double cost = unread / settings->tokens_per_ms
                + MAX (told, reported) * settings->run_ms;

  if (over > 0)
    cost += memory_wait_ms * over / memory;
  return cost;
}

static bool
has_wanted_weights (const struct choose_query *query,
                    const struct server *server)
{
  return query->wanted_version == 0
         || server_version (server, query->model) >= query->wanted_version;
}

double
choose_fetch_ms (const struct choose_settings *settings,
                 const struct choose_stored *stored,
                 const struct server *server, double tokens)
{
  bool near = strcmp (stored->data_centre, server->entry.data_centre) == 0;

  return tokens / settings->fetched_per_ms
             * (near ? 1 : settings->distance_factor)
         + stored->delay_ms;
}

const struct choose_stored *
choose_stored_for (const struct choose_query *query,
                   const struct server *server)
{
  uint64_t version
      = query->model != NULL ? server_version (server, query->model) : 0;

  for (unsigned i = 0; i < query->stored_count; i++)
    if (query->stored[i].version == version)
      return &query->stored[i];
  return NULL;
}

static double
reading_cost (const struct choose_settings *settings,
              const struct choose_query *query, const struct server *server,
              bool home, uint64_t *cached, double *delay)
{
  const struct call *call = query->call;
  double known
      = (double)server_cached_tokens (server, call->parts, call->part_count);
  double likely
      = home ? settings->home_share * (double)shared_tokens (call) : 0;
  double at_hand = MIN (MAX (known, likely), (double)call->prompt_tokens);
  const struct choose_stored *stored = choose_stored_for (query, server);
  double fetched = 0;
  double cost = 0;

  if (stored != NULL && (double)stored->tokens > at_hand)
    {
      fetched = (double)stored->tokens - at_hand;
      cost = choose_fetch_ms (settings, stored, server, fetched);
      *delay = stored->delay_ms;
    }
  *cached = (uint64_t)(at_hand + fetched);
  return (call->prompt_tokens - at_hand - fetched) / settings->tokens_per_ms
         + cost;
}

/* The server that all hosts prefer for the context of CALL, whatever they
 * know: the one of highest weight by its id. */
static const struct server *
home_server (const GPtrArray *servers, const struct call *call,
             bool other_cells, int64_t now)
{
  const struct server *best = NULL;
  uint64_t best_weight = 0;
  uint64_t key;

  if (call->part_count < 2)
    return NULL;
  key = call->parts[call->part_count - 2].id;
  for (guint i = 0; i < servers->len; i++)
    {
      const struct server *server = servers->pdata[i];
      uint64_t weight = rendezvous_weight (server->hash, &key, sizeof key);

      if (server->other_cell != other_cells || !server_is_usable (server, now)
          || (best != NULL && weight <= best_weight))
        continue;
      best = server;
      best_weight = weight;
    }
  return best;
}

static bool
has_weights (const struct server *server, const struct choose_query *query)
{
  return query->model == NULL || query->weight_version == 0
         || server_version (server, query->model) >= query->weight_version;
}

/* Whether the memory of the engine has room for the request beside those that
 * it was sent; one request alone always has. */
static bool
has_memory (const struct choose_settings *settings,
            const struct choose_query *query, const struct server *server)
{
  double taken = memory_taken (server);
  double wanted = query->call->prompt_tokens + query->call->output_tokens;

  return query->model == NULL || taken <= 0
         || taken + wanted
                <= settings->memory_share * (double)server->parts_tokens_max;
}

static void
candidate_weigh (const struct choose_settings *settings,
                 const struct choose_query *query, struct server *server,
                 bool home, int64_t now, struct rng *rng,
                 struct choose_result *result)
{
  uint64_t cached = 0;
  double delay = 0;
  double backlog = query->model == NULL
                       ? plain_cost (settings, query, server, now)
                       : engine_backlog (settings, query, server, now);
  double cost = backlog + server->fault_share * failure_ms
                + (server->in_data_centre ? 0 : settings->distance_ms)
                + rng_unit (rng);

  result->candidates++;
  if (query->model != NULL)
    cost += reading_cost (settings, query, server, home, &cached, &delay);
  if (query->model != NULL && !has_wanted_weights (query, server))
    cost += old_weights_ms;
  if (result->server != NULL && cost >= result->cost_ms)
    return;
  result->server = server;
  result->cost_ms = cost;
  result->backlog_ms = backlog;
  result->delay_ms = delay;
  result->cached_tokens = cached;
}

/* Among the servers of this host's cell, or of the others. */
static void
choose_among (const struct servers *servers,
              const struct choose_settings *settings,
              const struct choose_query *query, bool other_cells,
              struct rng *rng, struct choose_result *result)
{
  const GPtrArray *list = servers_of (servers, query->service);
  int64_t now = clock_now (servers->clock);
  const struct server *home
      = query->model != NULL
            ? home_server (list, query->call, other_cells, now)
            : NULL;

  for (guint i = 0; i < list->len; i++)
    {
      struct server *server = list->pdata[i];

      if (server->other_cell != other_cells || !server_is_there (server)
          || is_excluded (query, server) || !has_weights (server, query))
        continue;
      if (!server_is_usable (server, now)
          || !has_memory (settings, query, server))
        result->full = true;
      else
        candidate_weigh (settings, query, server, server == home, now, rng,
                         result);
    }
}

void
choose_server (const struct servers *servers,
               const struct choose_settings *settings,
               const struct choose_query *query, struct rng *rng,
               struct choose_result *result)
{
  memset (result, 0, sizeof *result);
  if (servers_of (servers, query->service) == NULL)
    return;
  choose_among (servers, settings, query, false, rng, result);
  if (result->server == NULL && !result->full)
    choose_among (servers, settings, query, true, rng, result);
}
