#include "forwardplace.h"
#include "forwardblame.h"
#include "forwardhomes.h"
#include "forwardhost.h"
#include "forwardlog.h"
#include "forwardqueue.h"
#include "forwardrefusals.h"
#include "forwardrespond.h"
#include "forwardresume.h"
#include "forwardsend.h"
#include "forwardstop.h"
#include "forwardwait.h"
#include "forwardweights.h"
#include "serverreach.h"

#include <string.h>

/* Choose a server for the request. A stream that goes on with one software may
 * go on at a server that has broken it off before, but first at one that only
 * has to be reached again. */
static void
forward_choose (struct forward *forward, struct choose_query *query,
                struct choose_result *choice)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct choose_settings *settings = &forwarder->settings.choose;

  choose_server (forwarder->servers, settings, query, forwarder->rng, choice);
  if (choice->server != NULL || choice->at_capacity
      || forward->software_hash == 0
      || (choice->unreachable > 0 && forwardwait_is_early (forward)))
    return;
  query->excluded_count = 0;
  choose_server (forwarder->servers, settings, query, forwarder->rng, choice);
}

/* Whether a request that found no server waits, since one of the software that
 * it needs may be reached again or is about to be registered. */
static bool
software_may_return (const struct forward *forward,
                     const struct choose_result *choice)
{
  return forward->software_hash != 0
         && (choice->unreachable > 0
             || softwarestart_is_expected (
                 &forward->forwarder->servers->starts, forward->software_hash))
         && forwardwait_pause_allows (forward);
}

static void
forward_origin_found (struct forward *forward, bool known)
{
  if (known)
    forward_place (forward);
  else
    forward_refuse (forward, "unknown_software", RETRY_AFTER_NO_SERVER_MS);
}

/* Find the software that began the stream of a caller that has come back, and
 * then a server. */
static void
forward_find_origin (struct forward *forward)
{
  forward->origin_known = true;
  if (forwardresume_start (forward, forward_origin_found))
    forward_place (forward);
}

/* Whether the links to the servers are too bad for an attempt from here: they
 * are lost, or in doubt and the request came from another host, which can
 * still pass it on to a third one. A stream that goes on with one software
 * waits for its servers. */
static bool
links_forbid_attempt (const struct forward *forward)
{
  enum serverreach reach
      = servers_service_reach (forward->forwarder->servers, forward->service);

  return forward->software_hash == 0
         && reach >= (forward->from_host ? SERVERREACH_DOUBTED
                                         : SERVERREACH_LOST);
}

/* Why a request that finds only servers without capacity does not wait. */
static const char *
refusal_reason (const struct forward *forward,
                const struct choose_result *choice)
{
  if (forward->forwarder->is_stopping)
    return "stopping";
  return choice->brittle == choice->limited ? "no_room" : "limited";
}

/* Whether the request may wait at this host. */
static bool
may_wait (const struct forward *forward)
{
  return !forward->forwarder->is_stopping
         || forwardstop_is_bound_here (forward);
}

void
forwardplace_choose (struct forward *forward, struct choose_query *query,
                     struct choose_result *choice)
{
  const struct wanted_weights *wanted = forward_wanted_weights (forward);

  *query = (struct choose_query){
    .service = forward->service,
    .model = forward->call.model,
    .call = &forward->call,
    .excluded_count = forward->tried_count,
    .required_software = forward->software_hash,
  };
  memcpy (query->excluded, forward->tried, sizeof query->excluded);
  forwardweights_query (forward, query);
  forwardhomes_get (forward, &query->homes);
  forward_add_stored (forward, wanted != NULL ? wanted->version : 1, query);
  forward_choose (forward, query, choice);
}

void
forward_place (struct forward *forward)
{
  struct choose_query query;
  struct choose_result choice;

  if (forwardblame_is_blocked (forward))
    {
      forward_give_up (forward, "crashes_servers",
                       FORWARDPLACE_RETRY_AFTER_POISON_MS);
      return;
    }
  if (forwardstop_lacks_time (forward))
    {
      forward_give_up (forward, "stops_too_soon", FORWARDSTOP_RETRY_AFTER_MS);
      return;
    }
  if (forwardhost_is_due (forward) && forwardhost_send (forward->attempt))
    {
      forwardwait_remove (forward);
      return;
    }
  if (!forward->origin_known)
    {
      forward_find_origin (forward);
      return;
    }
  if (links_forbid_attempt (forward) || forwardrefusals_are_full (forward))
    {
      forward_give_up (forward, "no_server", RETRY_AFTER_NO_SERVER_MS);
      return;
    }
  if (!forward->forwarder->is_stopping && forwardqueue_hold_back (forward))
    return;
  forwardplace_choose (forward, &query, &choice);
  if (choice.server == NULL && choice.at_capacity)
    {
      if (may_wait (forward) && forwardwait_limits_allow (forward, &choice))
        forwardwait_add (forward);
      else if (choice.brittle_server != NULL
               && forwardhost_send_to_holder (forward->attempt,
                                              choice.brittle_server))
        forwardwait_remove (forward);
      else
        forward_give_up (forward, refusal_reason (forward, &choice),
                         forward->forwarder->is_stopping
                             ? FORWARDSTOP_RETRY_AFTER_MS
                             : RETRY_AFTER_NO_SERVER_MS);
      return;
    }
  if (choice.server == NULL && may_wait (forward)
      && software_may_return (forward, &choice))
    {
      forward_log_wait (forward, &choice);
      forwardwait_add (forward);
      return;
    }
  if (choice.server != NULL && !forward->forwarder->is_stopping
      && forwardqueue_is_used (forward)
      && !forwardqueue_allows (forward, &choice))
    return;
  if (choice.server != NULL)
    forwardqueue_sent (forward);
  forwardwait_remove (forward);
  if (choice.server == NULL)
    {
      forward_give_up_unplaced (forward, &choice);
      return;
    }
  forward_log_placement (forward, &query, &choice);
  forward_send (forward->attempt, &choice, query.required_version);
}
