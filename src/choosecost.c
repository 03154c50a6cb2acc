#include "choosecost.h"

#include <math.h>
#include <string.h>

/* Waiting time if the requests of an engine need twice its memory: about half
 * the duration of a long stream. A smaller excess costs proportionally less.
 */
static const double full_memory_wait_ms = 800;

/* Assumed time that a plain service takes for one request, and additional time
 * for each of its requests if some of them wait. */
static const double plain_run_ms = 60;
static const double plain_wait_ms = 10;
/* Assumed time that an engine takes for one request. */
static const double model_run_ms = 500;

/* Return the number of tokens in the blocks that other requests may share,
 * which are all blocks but the last. */
static uint64_t
shared_tokens (const struct call *call)
{
  uint64_t tokens = 0;

  for (unsigned i = 0; i + 1 < call->block_count; i++)
    tokens += call->blocks[i].tokens;
  return tokens;
}

/* Return the weight of the last load report of SERVER, which falls with the
 * age of the report. */
static double
load_report_weight (const struct choose_settings *settings,
                    const struct server *server, int64_t now)
{
  double age = (double)(now - server->load_reported_ns);

  return server->has_load_report
             ? exp2 (-age / (double)settings->load_half_life_ns)
             : 0;
}

static double
plain_backlog_ms (const struct choose_settings *settings,
                  const struct choose_query *query,
                  const struct server *server, int64_t now)
{
  double slots = MAX (server->entry.slots, 1U);
  double reported = load_report_weight (settings, server, now)
                    * (server->running_requests + server->waiting_requests);
  double in_flight = server->in_flight_requests + server->other_hosts_requests;
  double occupied = MAX (reported, in_flight);

  return occupied / slots * plain_run_ms
         + (server->waiting_requests > 0 ? reported * plain_wait_ms : 0);
}

/* Return the memory of SERVER that requests in flight take, in tokens. */
double
choosecost_memory_used_tokens (const struct server *server)
{
  return (double)(server->in_flight_tokens
                  + server->other_hosts_memory_tokens);
}

static double
engine_backlog_ms (const struct choose_settings *settings,
                   const struct choose_query *query,
                   const struct server *server, int64_t now)
{
  double prefill = (double)(server->pending_prefill_tokens
                            + server->other_hosts_prefill_tokens);
  double in_flight = server->in_flight_requests + server->other_hosts_requests;
  double reported
      = load_report_weight (settings, server, now) * server->running_requests;
  double memory = (double)server->kv_capacity_tokens;
  double excess = choosecost_memory_used_tokens (server)
                  + query->call->prompt_tokens - memory;
  double cost = prefill / settings->prefill_tokens_per_ms
                + MAX (in_flight, reported) * settings->stream_delay_ms;

  if (excess > 0)
    cost += full_memory_wait_ms * excess / memory;
  return cost;
}

/* Time that a request takes at a server that has answered none yet. */
double
choosecost_run_ms (const struct choose_query *query,
                   const struct server *server)
{
  if (server->run_ms > 0)
    return server->run_ms;
  return query->model == NULL ? plain_run_ms : model_run_ms;
}

double
choose_fetch_ms (const struct choose_settings *settings,
                 const struct choose_stored_prefix *stored,
                 const struct server *server, double tokens)
{
  bool same_data_centre
      = strcmp (stored->data_centre, server->entry.data_centre) == 0;

  return tokens / settings->fetch_tokens_per_ms
             * (same_data_centre ? 1 : settings->remote_fetch_factor)
         + stored->delay_ms;
}

const struct choose_stored_prefix *
choose_stored_for (const struct choose_query *query,
                   const struct server *server)
{
  uint64_t version = query->model != NULL
                         ? server_weight_version (server, query->model)
                         : 0;

  for (unsigned i = 0; i < query->stored_count; i++)
    if (query->stored[i].version == version)
      return &query->stored[i];
  return NULL;
}

static double
prompt_cost_ms (const struct choose_settings *settings,
                const struct choose_query *query, const struct server *server,
                bool is_preferred, uint64_t *cached_tokens,
                double *store_delay_ms)
{
  const struct call *call = query->call;
  double cached_known
      = (double)server_cached_tokens (server, call->blocks, call->block_count);
  double cached_assumed = is_preferred ? settings->preferred_cached_share
                                             * (double)shared_tokens (call)
                                       : 0;
  double cached
      = MIN (MAX (cached_known, cached_assumed), (double)call->prompt_tokens);
  const struct choose_stored_prefix *stored
      = choose_stored_for (query, server);
  double fetched = 0;
  double cost = 0;

  if (stored != NULL && (double)stored->tokens > cached)
    {
      fetched = (double)stored->tokens - cached;
      cost = choose_fetch_ms (settings, stored, server, fetched);
      *store_delay_ms = stored->delay_ms;
    }
  *cached_tokens = (uint64_t)(cached + fetched);
  return (call->prompt_tokens - cached - fetched)
             / settings->prefill_tokens_per_ms
         + cost;
}

void
choosecost_estimate (const struct choose_settings *settings,
                     const struct choose_query *query,
                     const struct server *server, bool is_preferred,
                     int64_t now_ns, struct choosecost *cost)
{
  memset (cost, 0, sizeof *cost);
  if (query->model == NULL)
    {
      cost->backlog_ms = plain_backlog_ms (settings, query, server, now_ns);
      return;
    }
  cost->backlog_ms = engine_backlog_ms (settings, query, server, now_ns);
  cost->prompt_ms
      = prompt_cost_ms (settings, query, server, is_preferred,
                        &cost->cached_tokens, &cost->store_delay_ms);
}
