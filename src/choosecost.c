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
/* Shortest prefill that a time to the first event is compared with. In shorter
 * ones the network prevails. */
static const double comparable_min_ms = 5;
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

/* The times that the work on other requests takes at an engine of the usual
 * speed. */
struct engine_backlog
{
  double prefill_ms;
  double streams_ms;
  double memory_ms; /* Wait for memory. */
};

static struct engine_backlog
engine_backlog_estimate (const struct choose_settings *settings,
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

  return (struct engine_backlog){
    .prefill_ms = prefill / settings->prefill_tokens_per_ms,
    .streams_ms = MAX (in_flight, reported) * settings->stream_delay_ms,
    .memory_ms = excess > 0 ? full_memory_wait_ms * excess / memory : 0,
  };
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

/* Return the time to fetch blocks of the prompt.
 * PREFILL_MS: receives the time to prefill the rest at the usual speed */
static double
prompt_cost_ms (const struct choose_settings *settings,
                const struct choose_query *query, const struct server *server,
                bool is_preferred, uint64_t *cached_tokens,
                double *store_delay_ms, double *prefill_ms)
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
  *prefill_ms = (call->prompt_tokens - cached - fetched)
                / settings->prefill_tokens_per_ms;
  return cost;
}

/* Whether the time to the first event tells how fast an engine is: prefill of
 * the prompt takes a while, and most of the estimate does not depend on what
 * other hosts report of their load, which is late. */
static bool
is_comparable (const struct engine_backlog *backlog, double prefill_ms)
{
  return prefill_ms >= comparable_min_ms
         && backlog->prefill_ms <= prefill_ms / 2 && backlog->memory_ms <= 0;
}

static void
plain_estimate (const struct choose_settings *settings,
                const struct choose_query *query, const struct server *server,
                int64_t now, struct choosecost *cost)
{
  double factor = serverspeed_factor (&server->speed, now);

  cost->backlog_ms = factor * plain_backlog_ms (settings, query, server, now);
  cost->prompt_ms = MAX (factor - 1, 0) * plain_run_ms;
}

void
choosecost_estimate (const struct choose_settings *settings,
                     const struct choose_query *query,
                     const struct server *server, bool is_preferred,
                     int64_t now_ns, struct choosecost *cost)
{
  double factor, prefill_factor, prefill_ms, fetch_ms;
  struct engine_backlog backlog;

  memset (cost, 0, sizeof *cost);
  if (query->model == NULL)
    {
      plain_estimate (settings, query, server, now_ns, cost);
      return;
    }
  factor = serverspeed_factor (&server->speed, now_ns);
  prefill_factor = serverspeed_prefill_factor (&server->speed);
  backlog = engine_backlog_estimate (settings, query, server, now_ns);
  fetch_ms = prompt_cost_ms (settings, query, server, is_preferred,
                             &cost->cached_tokens, &cost->store_delay_ms,
                             &prefill_ms);
  cost->backlog_ms
      = factor
        * (prefill_factor * (backlog.prefill_ms + backlog.streams_ms)
           + backlog.memory_ms);
  cost->prompt_ms = factor * prefill_factor * prefill_ms + fetch_ms;
  if (is_comparable (&backlog, prefill_ms))
    cost->comparable_ms
        = serverspeed_stated_factor (&server->speed, now_ns)
          * (backlog.prefill_ms + backlog.streams_ms + prefill_ms);
}
