#include "forwardweights.h"

/* After this share of the time within which all engines have new weights,
 * requests only go to engines that have them. */
static const double wanted_only_share = 0.75;
/* After this share, requests that an engine with older weights has not begun
 * are taken back from it. The rest is for the time until the engine learns of
 * that. */
static const double begin_share = 0.95;

void
forwardweights_set_times (struct forward_settings *settings, int64_t within_ns)
{
  settings->version_grace_ns
      = (int64_t)(wanted_only_share * (double)within_ns);
  settings->version_begin_ns = (int64_t)(begin_share * (double)within_ns);
}

const struct wanted_weights *
forward_wanted_weights (const struct forward *forward)
{
  if (forward->call.model == NULL)
    return NULL;
  return g_hash_table_lookup (forward->forwarder->wanted_weights,
                              forward->call.model);
}

void
forwardweights_query (const struct forward *forward,
                      struct choose_query *query)
{
  const struct forwarder *forwarder = forward->forwarder;
  const struct wanted_weights *wanted = forward_wanted_weights (forward);

  if (wanted == NULL)
    return;
  query->wanted = wanted;
  query->begin_span_ns = forwarder->settings.version_begin_ns;
  query->preferred_version = wanted->version;
  query->required_version
      = weights_required_version (wanted, clock_boottime (forwarder->clock),
                                  forwarder->settings.version_grace_ns);
}

uint64_t
forwardweights_expected_version (const struct forward *forward,
                                 const struct server *server,
                                 uint64_t required_version)
{
  const struct wanted_weights *wanted = forward_wanted_weights (forward);
  uint64_t believed;

  if (wanted == NULL)
    return 0;
  believed = server_weight_version (server, forward->call.model);
  /* A request that is sent to old weights is taken back in time, and newer
   * ones are welcome. */
  if (required_version == 0 && believed < wanted->version)
    return 0;
  return MAX (required_version, believed);
}

bool
forwardweights_is_overdue (const struct forward_attempt *attempt)
{
  const struct forward *forward = attempt->forward;
  const struct forwarder *forwarder = forward->forwarder;
  const struct wanted_weights *wanted = forward_wanted_weights (forward);
  uint64_t version = attempt->weight_version;

  return exchange_is_sent (&attempt->exchange)
         && !exchange_has_begun (&attempt->exchange) && wanted != NULL
         && version != 0 && version < wanted->version
         && weights_begin_left_ns (wanted, version,
                                   clock_boottime (forwarder->clock),
                                   forwarder->settings.version_begin_ns)
                < 0;
}
