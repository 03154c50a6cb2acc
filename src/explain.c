#include "explain.h"
#include "forwardhomes.h"
#include "forwardqueue.h"
#include "forwardrespond.h"
#include "forwardhost.h"
#include "forwardsend.h"
#include "forwardstop.h"
#include "forwardwait.h"
#include "forwardweights.h"
#include "forwardblame.h"
#include "serverreach.h"

#include <string.h>

const char *
explain_action_name (enum explain_action action)
{
  static const char *const names[] = {
    [EXPLAIN_SENT] = "sent",
    [EXPLAIN_WAITS] = "waits",
    [EXPLAIN_REFUSED] = "refused",
  };

  return names[action];
}

static void
explain_refuse (struct explain *explain, const char *reason)
{
  explain->action = EXPLAIN_REFUSED;
  explain->reason = reason;
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct choose_candidate *left = a;
  const struct choose_candidate *right = b;
  bool left_usable = left->verdict == CHOOSE_USABLE;
  bool right_usable = right->verdict == CHOOSE_USABLE;

  if (left_usable != right_usable)
    return left_usable ? -1 : 1;
  return (left->cost_ms > right->cost_ms) - (left->cost_ms < right->cost_ms);
}

static void
candidate_add (void *data, const struct choose_candidate *candidate)
{
  struct explain *explain = data;

  g_array_append_val (explain->candidates, *candidate);
}

/* Return the service of ROUTE called NAME, or the one with the largest share
 * if NAME is NULL. */
static const char *
route_service (const struct route *route, const char *name)
{
  const struct route_share *best = NULL;

  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct route_share *share
          = &g_array_index (route->shares, struct route_share, i);

      if (name != NULL ? strcmp (share->service, name) == 0
                       : share->weight > (best != NULL ? best->weight : 0))
        best = share;
    }
  return best != NULL ? best->service : NULL;
}

/* Set the route, the organisation and the service of the request.
 * @return false if the request is refused for one of them, or if ERROR is
 * set */
static bool
explain_route (struct explain *explain, const struct routes *routes,
               const struct explain_request *request, struct error *error)
{
  const struct call *call = &request->call;

  explain->route = routes_find_route (routes, call->host, call->path);
  if (request->organisation != NULL)
    {
      explain->organisation
          = g_hash_table_lookup (routes->organisations, request->organisation);
      if (explain->organisation == NULL)
        error_set (error, STATUS_INVALID,
                   "organisation: the configuration has no such organisation");
    }
  if (explain->route == NULL)
    {
      explain_refuse (explain, "no_route");
      return false;
    }
  if (explain->route->is_public)
    explain->organisation = NULL;
  else if (explain->organisation == NULL
           && g_hash_table_size (routes->organisations) > 0)
    {
      explain_refuse (explain, "unknown_key");
      return false;
    }
  explain->service = route_service (explain->route, request->service);
  if (explain->service == NULL)
    {
      if (request->service != NULL)
        error_set (error, STATUS_INVALID,
                   "service: the route has no such service");
      explain_refuse (explain, "no_service");
      return false;
    }
  return true;
}

static void
count_waiting (struct explain *explain, const struct forwarder *forwarder)
{
  explain->waiting_here
      = forwarder->waiting_count + forwardqueue_total (forwarder);
  for (const struct list *node = forwarder->waiting.next;
       node != &forwarder->waiting; node = node->next)
    explain->waiting_service
        += explain->service != NULL
           && strcmp (LIST_ENTRY (node, struct forward, waiting_node)->service,
                      explain->service)
                  == 0;
}

/* Let the request FORWARD, which exists for the explanation only, choose a
 * server. */
static void
explain_choose (struct explain *explain, const struct forward *forward)
{
  const struct forwarder *forwarder = forward->forwarder;
  const GPtrArray *servers
      = servers_of_service (forwarder->servers, forward->service);
  struct choose_query query = {
    .service = forward->service,
    .model = forward->call.model,
    .call = &forward->call,
  };

  explain->wanted = forward_wanted_weights (forward);
  forwardweights_query (forward, &query);
  forwardhomes_get (forward, &query.homes);
  forward_add_stored (
      forward, explain->wanted != NULL ? explain->wanted->version : 1, &query);
  explain->required_version = query.required_version;
  choose_visit (forwarder->servers, &forwarder->settings.choose, &query,
                candidate_add, explain, &explain->choice);
  explain->other_subsets
      = (servers != NULL ? servers->len : 0)
        - MIN (explain->candidates->len, servers != NULL ? servers->len : 0);
  g_array_sort (explain->candidates, compare_candidates);
  for (guint i = 0; i < explain->candidates->len; i++)
    {
      const struct choose_candidate *candidate
          = &g_array_index (explain->candidates, struct choose_candidate, i);

      explain->equal_count
          += candidate->verdict == CHOOSE_USABLE
             && candidate->cost_ms
                    < explain->choice.cost_ms + CHOOSE_RANDOM_COST_MS;
    }
}

/* Explain how long a request waits that finds only servers without capacity,
 * or why it does not wait. */
static void
explain_wait (struct explain *explain, const struct forward *forward)
{
  const struct choose_result *choice = &explain->choice;

  if (forward->forwarder->is_stopping)
    explain_refuse (explain, "stopping");
  else if (forwardwait_limits_allow (forward, choice))
    {
      explain->action = EXPLAIN_WAITS;
      explain->reason = "at_capacity";
      if (choice->limited > 0 && !choice->others_at_capacity)
        explain->wait_ns = choice->limited_wait_ns;
    }
  else
    explain_refuse (explain, choice->brittle == choice->limited ? "no_room"
                                                                : "limited");
}

/* Explain what the queue of the request's service would do with it. */
static void
explain_queue (struct explain *explain, struct forward *forward)
{
  switch (forwardqueue_foresee (forward, &explain->choice, &explain->wait_ns))
    {
    case WAITQUEUE_SEND:
      explain->action = EXPLAIN_SENT;
      break;
    case WAITQUEUE_WAIT:
      explain->action = EXPLAIN_WAITS;
      explain->reason = "queued";
      break;
    case WAITQUEUE_REFUSE:
      explain_refuse (explain, "no_time");
      break;
    }
}

/* Whether a block of the prompt is one that crashes servers. That the whole
 * request does can't be told without its body. */
static bool
has_blocked_part (struct forward *forward)
{
  forwardblame_set_parts (forward);
  return blame_find_block (&forward->forwarder->blameshare->blame,
                           forward->parts, forward->part_count - 1)
         != NULL;
}

/* Decide what would happen to the request, in the order in which the forwarder
 * asks. */
static void
explain_decide (struct explain *explain, struct forward *forward)
{
  const struct forwarder *forwarder = forward->forwarder;
  const struct choose_result *choice = &explain->choice;

  explain->offered_to_hosts = forwardhost_is_due (forward);
  if (forwarder->is_ending)
    explain_refuse (explain, "stopping");
  else if (has_blocked_part (forward))
    explain_refuse (explain, "crashes_servers");
  else if (forwardstop_lacks_time (forward))
    explain_refuse (explain, "stops_too_soon");
  else if (servers_service_reach (forwarder->servers, forward->service)
           >= SERVERREACH_LOST)
    explain_refuse (explain, "no_server");
  else if (forwardqueue_is_used (forward)
           && (choice->server != NULL || choice->at_capacity))
    explain_queue (explain, forward);
  else if (choice->server != NULL)
    explain->action = EXPLAIN_SENT;
  else if (choice->at_capacity)
    explain_wait (explain, forward);
  else
    explain_refuse (explain, forward_unplaced_reason (choice));
}

enum status
explain_init (struct explain *explain, struct forwarder *forwarder,
              const struct explain_request *request, struct error *error)
{
  /* Not on any list of the forwarder. */
  struct forward forward = { .forwarder = forwarder, .call = request->call };
  int64_t timeout_ns;

  memset (explain, 0, sizeof *explain);
  error_clear (error);
  explain->candidates
      = g_array_new (FALSE, FALSE, sizeof (struct choose_candidate));
  explain->wait_ns = -1;
  if (forwarder->routes == NULL)
    {
      explain_refuse (explain, "no_configuration");
      return STATUS_OK;
    }
  if (!explain_route (explain, forwarder->routes, request, error))
    return error->status;
  if (error->status != STATUS_OK)
    return error->status;
  count_waiting (explain, forwarder);
  list_init (&forward.waiting_node);
  forward.routes = forwarder->routes;
  forward.route = explain->route;
  forward.organisation = explain->organisation;
  forward.service = explain->service;
  forward.arrived_ns = clock_now (forwarder->clock);
  timeout_ns = forward.route->timeout_ns;
  if (request->call.timeout_ns >= 0)
    timeout_ns = MIN (timeout_ns, request->call.timeout_ns);
  forward.deadline_ns = clock_boottime (forwarder->clock) + timeout_ns;
  explain->waiting_service += forwardqueue_count (&forward);
  explain_choose (explain, &forward);
  explain_decide (explain, &forward);
  return STATUS_OK;
}

void
explain_finish (struct explain *explain)
{
  g_array_free (explain->candidates, TRUE);
}
