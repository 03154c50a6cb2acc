#include "choose.h"
#include "choosecost.h"
#include "rendezvous.h"

#include <math.h>
#include <string.h>

/* Time that a failed response costs the caller, who waits for the retry at
 * another server and the backlog there. The time is multiplied by the server's
 * share of failed responses. */
static const double failure_cost_ms = 400;
/* Cost of an engine with older weights than wanted. A response computed with
 * older weights is worth a fifth less, which equals this waiting time. */
static const double old_weights_cost_ms = 150;
/* Requests for each slot that a plain service's server takes: one that runs,
 * and one that waits. */
static const unsigned plain_places_per_slot = 2;

enum
{
  /* Age up to which a server's statement of its load holds while the server is
   * brittle. */
  LOAD_REPORT_MS = 200
};

const struct choose_settings choose_settings_default = {
  .prefill_tokens_per_ms = 60,
  .fetch_tokens_per_ms = 150,
  .remote_fetch_factor = 5,
  .stream_delay_ms = 3,
  .remote_server_ms = 12,
  .memory_share = 0.95,
  .preferred_cached_share = 0.8,
  .load_half_life_ns = 300 * NS_PER_MS,
};

static bool
is_excluded (const struct choose_query *query, const struct server *server)
{
  for (unsigned i = 0; i < query->excluded_count; i++)
    if (query->excluded[i] == server)
      return true;
  return false;
}

static bool
has_preferred_version (const struct choose_query *query,
                       const struct server *server)
{
  return query->preferred_version == 0
         || server_weight_version (server, query->model)
                >= query->preferred_version;
}

/* Return the server with the highest rendezvous weight for the shared prefix
 * of CALL. All hosts prefer the same server, even if their records of cached
 * blocks differ. */
static const struct server *
preferred_server (const GPtrArray *servers, const struct call *call,
                  bool other_subsets, int64_t now)
{
  const struct server *best = NULL;
  uint64_t best_weight = 0;
  uint64_t key;

  if (call->block_count < 2)
    return NULL;
  key = call->blocks[call->block_count - 2].id;
  for (guint i = 0; i < servers->len; i++)
    {
      const struct server *server = servers->pdata[i];
      uint64_t weight = rendezvous_weight (server->id_hash, &key, sizeof key);

      if (server->in_other_subset != other_subsets
          || !server_accepts_requests (server, now)
          || (best != NULL && weight <= best_weight))
        continue;
      best = server;
      best_weight = weight;
    }
  return best;
}

static bool
has_required_version (const struct server *server,
                      const struct choose_query *query)
{
  return query->model == NULL || query->required_version == 0
         || server_weight_version (server, query->model)
                >= query->required_version;
}

static bool
has_required_software (const struct server *server,
                       const struct choose_query *query)
{
  return query->required_software == 0
         || server->software_hash == query->required_software;
}

/* Whether the memory of SERVER has capacity for the request beside the
 * requests in flight there. An engine without requests in flight always has
 * capacity. */
static bool
has_memory (const struct choose_settings *settings,
            const struct choose_query *query, const struct server *server)
{
  double used = choosecost_memory_used_tokens (server);
  double needed = query->call->prompt_tokens + query->call->output_tokens;

  return query->model == NULL || used <= 0
         || used + needed
                <= settings->memory_share * (double)server->kv_capacity_tokens;
}

/* Whether SERVER, which needs BEGIN_MS before it begins a request by all that
 * is known, begins it in time for its weights. Twice the time is allowed for,
 * since work that other hosts send meanwhile is not known. */
static bool
begins_in_time (const struct choose_query *query, const struct server *server,
                double begin_ms, int64_t boottime_ns)
{
  uint64_t version;

  if (query->model == NULL || query->wanted == NULL)
    return true;
  version = server_weight_version (server, query->model);
  return version >= query->wanted->version
         || 2 * begin_ms * NS_PER_MS <= (double)weights_begin_left_ns (
                query->wanted, version, boottime_ns, query->begin_span_ns);
}

static void
candidate_consider (const struct choose_settings *settings,
                    const struct choose_query *query, struct server *server,
                    bool is_preferred, int64_t now, int64_t boottime_ns,
                    struct rng *rng, struct choose_result *result)
{
  struct choosecost estimate;
  bool is_cold = servercold_is_cold (&server->cold, now);
  double cost;

  choosecost_estimate (settings, query, server, is_preferred, now, &estimate);
  cost = estimate.backlog_ms + estimate.prompt_ms
         + server->failure_ratio * failure_cost_ms
         + (server->in_local_data_centre ? 0 : settings->remote_server_ms)
         + rng_uniform (rng);
  if (!begins_in_time (query, server, estimate.backlog_ms + estimate.prompt_ms,
                       boottime_ns))
    {
      result->too_late++;
      return;
    }
  result->candidates++;
  if (query->model != NULL && !has_preferred_version (query, server))
    cost += old_weights_cost_ms;
  if (result->server != NULL
      && (is_cold != result->server_is_cold ? is_cold
                                            : cost >= result->cost_ms))
    return;
  result->server = server;
  result->server_is_cold = is_cold;
  result->cost_ms = cost;
  result->backlog_ms = estimate.backlog_ms;
  result->store_delay_ms = estimate.store_delay_ms;
  result->cached_tokens = estimate.cached_tokens;
}

/* Count a server that is sent PER_S requests per second by this host and can
 * be sent the next one after WAIT_NS. */
static void
result_add_limited (struct choose_result *result, int64_t wait_ns,
                    double per_s)
{
  result->limited_wait_ns
      = result->limited > 0 ? MIN (result->limited_wait_ns, wait_ns) : wait_ns;
  result->limited++;
  result->limited_per_s += per_s;
}

/* Return how many requests like that of QUERY this host may have in flight at
 * SERVER, which is brittle. */
static unsigned
brittle_places (const struct choose_settings *settings,
                const struct choose_query *query, const struct server *server,
                int64_t now)
{
  unsigned units = serverbrittle_room (&server->brittle, server->entry.slots);
  uint64_t needed = query->call->prompt_tokens + query->call->output_tokens;

  if (query->model != NULL && needed > 0)
    units = (unsigned)MIN (
        units, MAX (settings->memory_share * (double)server->kv_capacity_tokens
                        / (double)needed,
                    needed <= server->kv_capacity_tokens));
  return serverbrittle_share (&server->brittle, units, now);
}

/* Whether a response told a moment ago that requests wait at SERVER. */
static bool
has_waiting (const struct server *server, int64_t now)
{
  return server->has_load_report && server->waiting_requests > 0
         && now - server->load_reported_ns < LOAD_REPORT_MS * NS_PER_MS;
}

/* Whether SERVER may be brittle, for all this host knows, and already has the
 * requests that it would then get. */
static bool
may_be_brittle (const struct server *server, int64_t now)
{
  unsigned room = serverbrittle_room (&server->brittle, server->entry.slots);

  return serverbrittle_is_unknown (&server->brittle, now)
         && server->in_flight_requests
                >= MAX (serverbrittle_share (&server->brittle, room, now), 1U);
}

/* Whether SERVER, which is brittle, has a place for the request that is this
 * host's, or may be asked with it. */
static bool
has_own_place (const struct choose_settings *settings,
               const struct choose_query *query, const struct server *server,
               int64_t now)
{
  const struct serverbrittle *brittle = &server->brittle;
  unsigned room = serverbrittle_room (brittle, server->entry.slots);
  uint64_t needed = query->call->prompt_tokens + query->call->output_tokens;
  unsigned places;

  if (has_waiting (server, now) || serverbrittle_hold_ns (brittle, now) > 0)
    return false;
  places = brittle_places (settings, query, server, now);
  if (places == 0)
    return server->in_flight_requests == 0
           && serverbrittle_may_ask (brittle, now)
           && (query->model == NULL || needed <= server->kv_capacity_tokens);
  return server->in_flight_requests < serverbrittle_share (brittle, room, now)
         && (query->model == NULL
             || server->in_flight_tokens + needed <= places * needed);
}

static void
result_add_brittle (const struct choose_settings *settings,
                    const struct choose_query *query,
                    const struct server *server, int64_t now, struct rng *rng,
                    struct choose_result *result)
{
  unsigned places = brittle_places (settings, query, server, now);
  double ms = choosecost_run_ms (query, server);
  int64_t wait_ns = places > 0
                        ? MAX ((int64_t)(ms / places * NS_PER_MS),
                               serverbrittle_hold_ns (&server->brittle, now))
                        : CLOCK_NEVER;

  result->at_capacity = true;
  result_add_limited (result, wait_ns, places * 1000 / ms);
  result->brittle++;
  if (rng_uniform (rng) * result->brittle < 1)
    result->brittle_server = server;
}

static void
result_add_paused (struct choose_result *result,
                   const struct serverpause *pause, int64_t now)
{
  int64_t wait_ns = pause->until_ns - now;

  result->paused_wait_ns
      = result->paused > 0 ? MIN (result->paused_wait_ns, wait_ns) : wait_ns;
  result->paused++;
}

/* Whether a server of LIST asked for a pause, so that others get its load.
 * The memory of engines limits what they get in any case; a plain service has
 * no such limit. */
static bool
any_is_paused (const GPtrArray *list, int64_t now)
{
  for (guint i = 0; i < list->len; i++)
    {
      const struct server *server = list->pdata[i];

      if (server_is_available (server)
          && !serverpause_allows (&server->pause, now))
        return true;
    }
  return false;
}

/* Whether a plain service's SERVER has a place for another request, in a slot
 * or in its queue. */
static bool
has_place (const struct server *server)
{
  unsigned occupied
      = server->in_flight_requests + server->other_hosts_requests;

  return server->entry.slots == 0
         || occupied < plain_places_per_slot * server->entry.slots;
}

const char *
choose_verdict_name (enum choose_verdict verdict)
{
  static const char *const names[] = {
    [CHOOSE_USABLE] = "usable",
    [CHOOSE_EXCLUDED] = "tried",
    [CHOOSE_LEAVING] = "leaving",
    [CHOOSE_OTHER_WEIGHTS] = "other_weights",
    [CHOOSE_OTHER_SOFTWARE] = "other_software",
    [CHOOSE_UNREACHABLE] = "unreachable",
    [CHOOSE_PAUSED] = "paused",
    [CHOOSE_LIMITED] = "limited",
    [CHOOSE_COLD] = "cold",
    [CHOOSE_BUSY] = "busy",
    [CHOOSE_NO_MEMORY] = "no_memory",
    [CHOOSE_MAY_BE_BRITTLE] = "may_be_brittle",
    [CHOOSE_NO_PLACE] = "no_place",
    [CHOOSE_BRITTLE] = "brittle",
  };

  return names[verdict];
}

/* Decide whether SERVER can get the request of QUERY now.
 * SPARES_OTHERS: whether a plain service's servers get no more than they have
 * places for */
static enum choose_verdict
server_judge (const struct choose_settings *settings,
              const struct choose_query *query, const struct server *server,
              bool spares_others, int64_t now)
{
  if (is_excluded (query, server))
    return CHOOSE_EXCLUDED;
  if (server_is_leaving (server))
    return CHOOSE_LEAVING;
  if (!has_required_version (server, query))
    return CHOOSE_OTHER_WEIGHTS;
  if (!has_required_software (server, query))
    return CHOOSE_OTHER_SOFTWARE;
  if (!server_is_available (server))
    return CHOOSE_UNREACHABLE;
  if (!serverpause_allows (&server->pause, now))
    return CHOOSE_PAUSED;
  if (!serverlimit_allows (&server->limit, now))
    return CHOOSE_LIMITED;
  if (!servercold_allows (&server->cold, now))
    return CHOOSE_COLD;
  if (!server_accepts_requests (server, now))
    return CHOOSE_BUSY;
  if (!has_memory (settings, query, server))
    return CHOOSE_NO_MEMORY;
  if (may_be_brittle (server, now))
    return CHOOSE_MAY_BE_BRITTLE;
  if (spares_others && !has_place (server))
    return CHOOSE_NO_PLACE;
  if (server->brittle.brittle && !has_own_place (settings, query, server, now))
    return CHOOSE_BRITTLE;
  return CHOOSE_USABLE;
}

/* Whether SERVER is one of those among which this host chooses first: those of
 * its subset, and cold ones of other subsets of which it has a share. */
static bool
is_own (const struct server *server, int64_t now)
{
  return !server->in_other_subset
         || (servercold_is_cold (&server->cold, now)
             && servercold_share (&server->cold, now) > 0);
}

/* Choose among the servers of this host's subset, or among all others if
 * OTHER_SUBSETS is set. */
static void
choose_among (const struct servers *servers,
              const struct choose_settings *settings,
              const struct choose_query *query, bool other_subsets,
              struct rng *rng, struct choose_result *result)
{
  const GPtrArray *list = servers_of_service (servers, query->service);
  int64_t now = clock_now (servers->clock);
  const struct server *preferred
      = query->model != NULL
            ? preferred_server (list, query->call, other_subsets, now)
            : NULL;
  bool spares_others = query->model == NULL && any_is_paused (list, now);

  for (guint i = 0; i < list->len; i++)
    {
      struct server *server = list->pdata[i];

      if (is_own (server, now) == other_subsets)
        continue;
      switch (server_judge (settings, query, server, spares_others, now))
        {
        case CHOOSE_USABLE:
          candidate_consider (settings, query, server, server == preferred,
                              now, clock_boottime (servers->clock), rng,
                              result);
          break;
        case CHOOSE_UNREACHABLE:
          result->unreachable += !server->removed;
          break;
        case CHOOSE_PAUSED:
          result_add_paused (result, &server->pause, now);
          break;
        case CHOOSE_LIMITED:
          result->at_capacity = true;
          result_add_limited (result,
                              serverlimit_wait_ns (&server->limit, now),
                              serverlimit_own_rate (&server->limit, now));
          break;
        case CHOOSE_COLD:
          result->cold++;
          result_add_limited (result, servercold_wait_ns (&server->cold, now),
                              servercold_own_rate (&server->cold, now));
          break;
        case CHOOSE_BRITTLE:
          result_add_brittle (settings, query, server, now, rng, result);
          break;
        case CHOOSE_BUSY:
        case CHOOSE_NO_MEMORY:
        case CHOOSE_MAY_BE_BRITTLE:
        case CHOOSE_NO_PLACE:
          result->at_capacity = result->others_at_capacity = true;
          break;
        case CHOOSE_EXCLUDED:
        case CHOOSE_LEAVING:
        case CHOOSE_OTHER_WEIGHTS:
        case CHOOSE_OTHER_SOFTWARE:
          break;
        }
    }
}

void
choose_server (const struct servers *servers,
               const struct choose_settings *settings,
               const struct choose_query *query, struct rng *rng,
               struct choose_result *result)
{
  memset (result, 0, sizeof *result);
  if (servers_of_service (servers, query->service) == NULL)
    return;
  choose_among (servers, settings, query, false, rng, result);
  if (result->server == NULL && !result->at_capacity)
    choose_among (servers, settings, query, true, rng, result);
  /* While only cold servers are used up, those of other subsets are tried. */
  if (result->cold > 0)
    result->at_capacity = true;
  if (result->too_late > 0)
    result->at_capacity = result->others_at_capacity = true;
}
