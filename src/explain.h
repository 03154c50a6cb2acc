#ifndef EXPLAIN_H
#define EXPLAIN_H

#include "choosecost.h"
#include "forward.h"

/** @file
 * Finds out where this host would send a given request now, and why. It asks
 * the modules that decide about real requests, sends nothing and changes
 * nothing: no request is counted, and no number is drawn from the host's
 * random numbers.
 */

/** The request to explain. Strings point into the document that it was read
 * from. */
struct explain_request
{
  /** Host, path, model, tokens and blocks. Its timeout is -1 if the request
   * has the one of its route. */
  struct call call;
  const char *organisation; /**< NULL if the caller has no API key. */
  /** One of the services of the route; NULL for the one with the largest
   * share. */
  const char *service;
};

enum explain_action
{
  EXPLAIN_SENT,
  EXPLAIN_WAITS,
  EXPLAIN_REFUSED
};

/** What would happen to a request. Its pointers are valid as long as the
 * configuration and the servers of the forwarder don't change. */
struct explain
{
  const struct route *route;               /**< NULL if no route matches. */
  const char *service;                     /**< NULL if the route has none. */
  const struct organisation *organisation; /**< NULL if it has none. */
  const struct wanted_weights *wanted;     /**< NULL if none are wanted. */
  uint64_t required_version; /**< Weight version that a server must have; 0 if
                                any will do. */
  size_t waiting_here;       /**< Number of requests that wait at this host. */
  size_t waiting_service;    /**< Those of them for the service. */
  GArray *candidates;     /**< Array of struct choose_candidate, the best one
                             first. */
  unsigned other_subsets; /**< Number of servers of the service that were not
                             considered, since they are assigned to other
                             subsets of hosts. */
  struct choose_result choice;
  unsigned equal_count; /**< Number of usable servers that are so close to the
                           best one that each may be chosen. */
  enum explain_action action;
  const char *reason; /**< Why the request is refused or waits; NULL if it is
                         sent. */
  int64_t wait_ns;    /**< Expected wait; negative if unknown. */
  /** Whether the request is offered to another host before what `action`
   * says, since the links to the servers are lost or in doubt. */
  bool offered_to_hosts;
};

const char *explain_action_name (enum explain_action action);

/** Explain REQUEST.
 * @return STATUS_INVALID if it names something that the configuration does not
 * have; ERROR names the field. EXPLAIN needs explain_finish in any case. */
enum status explain_init (struct explain *explain, struct forwarder *forwarder,
                          const struct explain_request *request,
                          struct error *error);
void explain_finish (struct explain *explain);

#endif
