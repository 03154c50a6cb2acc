#ifndef HEALTH_H
#define HEALTH_H

#include "clock.h"
#include "list.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Which backend servers get new requests. The first evidence that a backend
 * server is leaving or down makes it unusable at once. It becomes usable again
 * when it replies to a probe that it is ready, but not while the host list
 * marks it as leaving. Requests that already run on it continue.
 */

/** Evidence that a backend server is leaving or down. */
enum health_evidence
{
  HEALTH_LISTED_LEAVING, /**< The host list marks the server as leaving or no
                            longer has it. */
  HEALTH_REFUSED,        /**< The server refused a connection. */
  HEALTH_UNREACHABLE,    /**< Connection attempts to the server time out. */
  HEALTH_ANNOUNCED_LEAVING, /**< The server announced that it is leaving. */
  HEALTH_CRASHED,     /**< The server crashed or restarted during a request. */
  HEALTH_PEER_NOTICE, /**< Another process sent a notice about the server. */
  HEALTH_EVIDENCE_COUNT
};

/** The name of EVIDENCE in log lines. */
const char *health_evidence_name (enum health_evidence evidence);

struct health_ops
{
  /** Query whether the backend server NAME is ready and report the reply with
   * health_probe_completed, but not before this function returns. */
  void (*start_probe) (void *data, const char *name);
  /** NAME became usable or unusable for new requests. EVIDENCE is what made
   * it unusable. If it became unusable, other processes must be notified
   * unless EVIDENCE is HEALTH_PEER_NOTICE. */
  void (*usability_changed) (void *data, const char *name, bool usable,
                             enum health_evidence evidence);
};

struct health_settings
{
  int64_t probe_delay_base_ns; /**< Maximum delay before the first probe. */
  int64_t probe_delay_max_ns;  /**< Maximum delay before any probe. */
  int64_t probe_timeout_ns;    /**< Timeout of one probe. */
};

struct health
{
  const struct clock *clock;
  struct rng *rng;
  const struct health_ops *ops;
  void *data;
  struct health_settings settings;
  void *unusable_by_name; /**< Hash table of the unusable servers, by name. */
  struct list unusable;   /**< List of the servers in unusable_by_name. */
};

void health_init (struct health *health,
                  const struct health_settings *settings,
                  const struct clock *clock, struct rng *rng,
                  const struct health_ops *ops, void *data);
void health_finish (struct health *health);

/** Whether the backend server NAME may get new requests. A server without any
 * evidence against it may. */
bool health_server_is_usable (const struct health *health, const char *name);

/** Make NAME unusable, as EVIDENCE shows that it is leaving or down. */
void health_report_evidence (struct health *health, const char *name,
                             enum health_evidence evidence);

/** Record that the host list marks NAME as live or, if LIVE is false, as
 * leaving. */
void health_set_listed_live (struct health *health, const char *name,
                             bool live);

/** Remove all state of NAME, which is no longer in the host list. */
void health_forget (struct health *health, const char *name);

/** Handle the reply to the probe of NAME. READY is false if NAME is not
 * ready or the probe failed. */
void health_probe_completed (struct health *health, const char *name,
                             bool ready);

/** Start the probes that are due and end those that timed out. */
void health_tick (struct health *health);

/** Time at which health_tick must be called next, or CLOCK_NEVER. */
int64_t health_next_tick_ns (const struct health *health);

#endif
