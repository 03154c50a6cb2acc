#ifndef FORWARDWEIGHTS_H
#define FORWARDWEIGHTS_H

#include "forward.h"

/** @file
 * Which weights the operator wants for a request: old ones are avoided, later
 * not chosen any more, and at last taken back requests that have not begun.
 */

/** Set the times after which old weights are not used any more, where all
 * engines have new ones WITHIN_NS after they were set. */
void forwardweights_set_times (struct forward_settings *settings,
                               int64_t within_ns);

/** Return the wanted weights of the request's model, or NULL. */
const struct wanted_weights *
forward_wanted_weights (const struct forward *forward);

/** Set what QUERY asks of the weights of a server. */
void forwardweights_query (const struct forward *forward,
                           struct choose_query *query);

/** Return the version that SERVER, which is chosen, must have to run the
 * request, where REQUIRED_VERSION is required; 0 if any will do. */
uint64_t forwardweights_expected_version (const struct forward *forward,
                                          const struct server *server,
                                          uint64_t required_version);

/** Whether the request was sent to a server with older weights, has not begun
 * there, and may not begin any more. */
bool forwardweights_is_overdue (const struct forward_attempt *attempt);

#endif
