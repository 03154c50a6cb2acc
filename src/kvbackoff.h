#ifndef KVBACKOFF_H
#define KVBACKOFF_H

#include "clock.h"
#include "rng.h"
#include "status.h"

#include <stdbool.h>

/** @file
 * Whether a service replies to calls, and when the next call may be sent after
 * a failure: the backoff grows exponentially and has jitter, and a single call
 * probes the service after it, or an urgent one beside it.
 */

struct kvbackoff_settings
{
  int64_t min_ns;        /**< Mean backoff after the first failure. */
  int64_t max_ns;        /**< Mean backoff after many failures. */
  int64_t outage_min_ns; /**< See kvbackoff.outage_end_ns. */
};

/** A call that has ended. */
struct kvbackoff_result
{
  enum status status; /**< STATUS_TIMEOUT: it got no reply in time. */
  bool was_probe;
  bool was_urgent;
  int64_t sent_ns;
};

struct kvbackoff
{
  struct kvbackoff_settings settings;
  const struct clock *clock;
  struct rng *rng;
  /** Number of failures that started or extended the backoff; 0 if there is
   * none. */
  unsigned failures;
  unsigned lost_replies; /**< Number of calls in a row without a reply. */
  bool is_lost;          /**< Whether a failure was not a limit. */
  bool probe_in_flight;
  bool urgent_probe_in_flight;
  int64_t start_ns; /**< Time of the failure that started the backoff. */
  int64_t end_ns;
  /** Time at which the service last replied to a call, and not with a refusal;
   * 0 if it never has. */
  int64_t last_reply_ns;
  /** Time of the last reply that came after a span of outage_min_ns or more
   * without one; 0 if there was none. */
  int64_t outage_end_ns;
};

/** CLOCK and RNG must outlive BACKOFF. */
void kvbackoff_init (struct kvbackoff *backoff,
                     const struct kvbackoff_settings *settings,
                     const struct clock *clock, struct rng *rng);

/** Note how a call has ended. The failure of a call that was sent before the
 * last failure says nothing new about the service and does not extend the
 * backoff. A lost reply (STATUS_UNKNOWN) counts as a failure for the probe,
 * and if several calls in a row have lost theirs. A call that was cancelled
 * says nothing.
 * @return true if this reply has ended a backoff */
bool kvbackoff_record (struct kvbackoff *backoff,
                       const struct kvbackoff_result *result);

/** Whether the next call has to be the probe of the service. */
bool kvbackoff_is_active (const struct kvbackoff *backoff);

/** Whether a call may be sent now. An URGENT one may be a probe beside one
 * that is not, which may not get a reply. */
bool kvbackoff_allows_call (const struct kvbackoff *backoff, bool urgent);

/** Note that a call is sent while the backoff is active. */
void kvbackoff_note_probe (struct kvbackoff *backoff, bool urgent);

#endif
