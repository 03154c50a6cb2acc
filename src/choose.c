#include "choose.h"
#include "choosecost.h"
#include "choosespread.h"
#include "rendezvous.h"
#include "serverslowness.h"
#include "serverevacuate.h"

#include <math.h>
#include <string.h>

/* Time that a failed response costs the caller, who waits for the retry at
 * another server and the backlog there. The time is multiplied by the server's
 * share of failed responses. */
static const double failure_cost_ms = 400;
/* Cost of an engine with older weights than wanted. A response computed with
 * older weights is worth a fifth less, which equals this waiting time. */
static const double old_weights_cost_ms = 150;
/* Cost of a cold server: warm ones go first unless their requests would wait
 * for longer than this. */
static const double cold_cost_ms = 100;
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
  .near_ms = 400,
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
 * of QUERY, in its homes. All hosts prefer the same server, even if their
 * records of cached blocks differ. */
static const struct server *
preferred_server (const GPtrArray *servers, const struct choose_query *query,
                  bool other_subsets, int64_t now)
{
  const struct call *call = query->call;
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
          || !homes_allow_data_centre (&query->homes,
                                       server->entry.data_centre)
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

/* Set the estimate and the cost of CANDIDATE, and whether it begins the
 * request too late. */
static void
candidate_estimate (const struct choose_settings *settings,
                    const struct choose_query *query, bool is_preferred,
                    int64_t now, int64_t boottime_ns,
                    struct choose_candidate *candidate)
{
  const struct server *server = candidate->server;
  struct choosecost *estimate = &candidate->estimate;

  choosecost_estimate (settings, query, server, is_preferred, now, estimate);
  candidate->expected_ms = estimate->backlog_ms + estimate->prompt_ms;
  candidate->cost_ms
      = candidate->expected_ms + server->failure_ratio * failure_cost_ms
        + (server->in_local_data_centre ? 0 : settings->remote_server_ms);
  if (query->model != NULL && !has_preferred_version (query, server))
    candidate->cost_ms += old_weights_cost_ms;
  candidate->is_cold = servercold_is_cold (&server->cold, now);
  if (candidate->is_cold)
    candidate->cost_ms += cold_cost_ms;
  if (candidate->verdict == CHOOSE_USABLE
      && !begins_in_time (query, server, candidate->expected_ms, boottime_ns))
    candidate->verdict = CHOOSE_TOO_LATE;
}

/* Return the random part of a cost, by which hosts choose different ones of
 * equal servers. */
static double
random_cost_ms (struct rng *rng)
{
  return rng != NULL ? CHOOSE_RANDOM_COST_MS * rng_uniform (rng) : 0;
}

static void
result_set (struct choose_result *result,
            const struct choose_candidate *candidate)
{
  result->server = candidate->server;
  result->cost_ms = candidate->cost_ms;
  result->backlog_ms = candidate->estimate.backlog_ms;
  result->prompt_ms = candidate->estimate.prompt_ms;
  result->comparable_ms = candidate->estimate.comparable_ms;
  result->store_delay_ms = candidate->estimate.store_delay_ms;
  result->cached_tokens = candidate->estimate.cached_tokens;
}

/* Consider CANDIDATE, which is usable, as the best one and as one of those
 * that are nearly equal to it.
 * BEST: the best one so far */
static void
candidate_consider (struct choose_candidate *candidate,
                    struct choosespread *spread, struct rng *rng,
                    struct choose_candidate *best,
                    struct choose_result *result)
{
  candidate->cost_ms += random_cost_ms (rng);
  result->candidates++;
  if (rng != NULL && serverspeed_varies (&candidate->server->speed))
    choosespread_add (spread, candidate, rng);
  if (result->server != NULL && candidate->cost_ms >= result->cost_ms)
    return;
  *best = *candidate;
  result->least_cost_ms = candidate->cost_ms;
  result_set (result, candidate);
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
  if (rng == NULL || rng_uniform (rng) * result->brittle < 1)
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

      if (server_is_available (server) && !server->evacuated
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
    [CHOOSE_OTHER_REGION] = "other_region",
    [CHOOSE_EVACUATED] = "evacuated",
    [CHOOSE_UNREACHABLE] = "unreachable",
    [CHOOSE_PAUSED] = "paused",
    [CHOOSE_LIMITED] = "limited",
    [CHOOSE_COLD] = "cold",
    [CHOOSE_BUSY] = "busy",
    [CHOOSE_NO_MEMORY] = "no_memory",
    [CHOOSE_MAY_BE_BRITTLE] = "may_be_brittle",
    [CHOOSE_NO_PLACE] = "no_place",
    [CHOOSE_BRITTLE] = "brittle",
    [CHOOSE_TOO_LATE] = "too_late",
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
  if (!homes_allow_data_centre (&query->homes, server->entry.data_centre))
    return CHOOSE_OTHER_REGION;
  if (server->evacuated)
    return CHOOSE_EVACUATED;
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
 * OTHER_SUBSETS is set. VISIT, unless it is NULL, is called for each. */
static void
choose_among (const struct servers *servers,
              const struct choose_settings *settings,
              const struct choose_query *query, bool other_subsets,
              choose_visitor visit, void *data, struct rng *rng,
              struct choose_result *result)
{
  const GPtrArray *list = servers_of_service (servers, query->service);
  int64_t now = clock_now (servers->clock);
  const struct server *preferred
      = query->model != NULL
            ? preferred_server (list, query, other_subsets, now)
            : NULL;
  bool spares_others = query->model == NULL && any_is_paused (list, now);
  struct choosespread spread;
  struct choose_candidate best;

  spread.count = 0;
  servers_note_time (list, now, clock_boottime (servers->clock));
  for (guint i = 0; i < list->len; i++)
    {
      struct server *server = list->pdata[i];
      struct choose_candidate candidate = { .server = server };

      if (is_own (server, now) == other_subsets)
        continue;
      candidate.verdict
          = server_judge (settings, query, server, spares_others, now);
      if (candidate.verdict == CHOOSE_USABLE || visit != NULL)
        candidate_estimate (settings, query, server == preferred, now,
                            clock_boottime (servers->clock), &candidate);
      if (visit != NULL)
        visit (data, &candidate);
      switch (candidate.verdict)
        {
        case CHOOSE_USABLE:
          candidate_consider (&candidate, &spread, rng, &best, result);
          break;
        case CHOOSE_OTHER_REGION:
          result->other_region++;
          break;
        case CHOOSE_EVACUATED:
          result->evacuated++;
          break;
        case CHOOSE_TOO_LATE:
          result->too_late++;
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
  /* Hosts that all see the same server idle do not all choose it. */
  if (spread.count > 1)
    result_set (result,
                choosespread_pick (&spread, &best, query->call->prompt_tokens,
                                   settings->near_ms, rng));
  result->server_is_cold = result->server != NULL
                           && servercold_is_cold (&result->server->cold, now);
}

static void
choose (const struct servers *servers, const struct choose_settings *settings,
        const struct choose_query *query, choose_visitor visit, void *data,
        struct rng *rng, struct choose_result *result)
{
  memset (result, 0, sizeof *result);
  if (servers_of_service (servers, query->service) == NULL)
    return;
  if (servers_hold_sends (servers))
    {
      result->at_capacity = result->others_at_capacity = true;
      return;
    }
  choose_among (servers, settings, query, false, visit, data, rng, result);
  if (result->server == NULL && !result->at_capacity)
    choose_among (servers, settings, query, true, visit, data, rng, result);
  /* While only cold servers are used up, those of other subsets are tried. */
  if (result->cold > 0)
    result->at_capacity = true;
  if (result->too_late > 0)
    result->at_capacity = result->others_at_capacity = true;
}

void
choose_server (const struct servers *servers,
               const struct choose_settings *settings,
               const struct choose_query *query, struct rng *rng,
               struct choose_result *result)
{
  choose (servers, settings, query, NULL, NULL, rng, result);
}

void
choose_visit (const struct servers *servers,
              const struct choose_settings *settings,
              const struct choose_query *query, choose_visitor visit,
              void *data, struct choose_result *result)
{
  choose (servers, settings, query, visit, data, NULL, result);
}
