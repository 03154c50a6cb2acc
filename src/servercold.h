#ifndef SERVERCOLD_H
#define SERVERCOLD_H

#include "roomshare.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * How many requests this host may send to a backend server while it is cold.
 * A server is cold for some seconds after it has started, and fails if all
 * hosts together send it more than a bound within a second.
 *
 * The bound is divided among all hosts of the fleet, also those that usually
 * don't send to the server: they divide by the same list of hosts, which
 * depends on no host's view of the servers. By this division the part of a
 * host never grows when another host joins, so that hosts with different lists
 * keep to the bound as long as each list has all hosts that send. So a host
 * sends nothing to cold servers unless its own record is sure to be in the
 * registry, and has been there for longer than another host can send without
 * having read it; and hosts that have left count for a while.
 *
 * A host keeps the times of its last sends, so that it exceeds its part in no
 * sliding window; a token bucket would allow up to twice as many. The window
 * is longer than a second by the time that opening a connection may take,
 * since requests sent over such a time may arrive within a second.
 */

enum
{
  /** A host whose periodic work is late by this was suspended: it has missed
   * more than the pauses that it makes between reading the registry. */
  SERVERCOLD_SUSPENDED_MS = 1000
};

/** Why a server is taken to be cold. */
enum servercold_cause
{
  SERVERCOLD_WARM,
  SERVERCOLD_ENTRY,      /**< Its registry entry says so. */
  SERVERCOLD_RESPONSE,   /**< A response of it says so. */
  SERVERCOLD_RETURN,     /**< It could not be reached. */
  SERVERCOLD_SUSPENSION, /**< This host was suspended. */
  SERVERCOLD_EVACUATION  /**< An evacuation of its data centre was revoked. */
};

/** What this host knows for all servers. */
struct servercold_host
{
  double overage;    /**< Factor on the cold rate of servers. */
  double tolerance;  /**< Requests within a second beyond it. */
  int64_t window_ns; /**< Window in which this host keeps to its part. */
  /** Time from which on this host's record has been in the registry without a
   * break, as far as it knows; 0 if it may not be there now. */
  int64_t listed_ns;
  int64_t join_ns;   /**< Time after listed_ns from which all hosts that send
                        know this one. */
  int64_t tick_ns;   /**< Time at which this host last ran its periodic work; 0
                        before the first time. */
  unsigned departed; /**< Hosts that have left so short a time ago that what
                        they sent may still arrive. */
};

struct servercold
{
  const struct servercold_host *host;
  double per_s; /**< Requests per second that the server tolerates while it is
                   cold; 0: it is never cold. */
  int64_t span_ns;     /**< Time for which it is assumed to be cold. */
  unsigned host_count; /**< Hosts among which the bound is divided; 0: unknown.
                        */
  unsigned rank;       /**< Position of this host among them, from 0. */
  enum servercold_cause cause; /**< Valid while the server is cold. */
  bool lost;          /**< Whether it could not be reached and was not reached
                         since. */
  int64_t assumed_ns; /**< Time of the last assumption; statements about an
                         earlier time do not end it. */
  int64_t until_ns;   /**< The server is cold until then. */
  bool noted;         /**< Whether it was cold at the last servercold_note. */
  GArray *sends; /**< Times of this host's last sends in ascending order; NULL
                    if there were none. */
};

/** @param host outlives COLD */
void servercold_init (struct servercold *cold,
                      const struct servercold_host *host);
void servercold_finish (struct servercold *cold);

/** Set the cold rate and how long servers of the service are cold. */
void servercold_configure (struct servercold *cold, double per_s,
                           int64_t span_ns);

/** Set that HOST_COUNT hosts divide the bound and that this one is at RANK,
 * from 0. */
void servercold_set_position (struct servercold *cold, unsigned host_count,
                              unsigned rank);

/** Record a statement, made not before AS_OF_NS and received at NOW_NS, that
 * the server is cold for another LEFT_NS; 0: that it is warm. A statement that
 * may be older than an assumption does not shorten it.
 * @param cause SERVERCOLD_ENTRY or SERVERCOLD_RESPONSE */
void servercold_record (struct servercold *cold, int64_t left_ns,
                        int64_t as_of_ns, enum servercold_cause cause,
                        int64_t now_ns);

/** Assume that the server is cold for the span of its service from NOW_NS on.
 */
void servercold_assume (struct servercold *cold, enum servercold_cause cause,
                        int64_t now_ns);

/** Record that the server could not be reached. It may have ended, so that it
 * counts as cold until servercold_reached and for its span after that. */
void servercold_lost (struct servercold *cold, int64_t now_ns);

/** Record that the server was reached. */
void servercold_reached (struct servercold *cold, int64_t now_ns);

/** Whether the server is taken to be cold. */
bool servercold_is_cold (const struct servercold *cold, int64_t now_ns);

/** Return the requests that this host may send to the server within the
 * window; only valid while it is cold. */
unsigned servercold_share (const struct servercold *cold, int64_t now_ns);

/** Whether something may be sent to the server now. */
bool servercold_allows (const struct servercold *cold, int64_t now_ns);

/** Count that something is sent to the server, cold or not: a server may
 * become cold a moment later. */
void servercold_take (struct servercold *cold, int64_t now_ns);

/** Return the time until this host may send a request; CLOCK_NEVER if it may
 * send none. Only valid while the server is cold. */
int64_t servercold_wait_ns (const struct servercold *cold, int64_t now_ns);

/** Return the requests per second that this host may send; only valid while
 * the server is cold. */
double servercold_own_rate (const struct servercold *cold, int64_t now_ns);

/** Note whether the server is cold.
 * @return whether that changed since the last call */
bool servercold_note (struct servercold *cold, int64_t now_ns);

/** Take the times of sends from COLD, or return NULL if none is recent. The
 * caller gives them to servercold_restore_sends or frees them. */
GArray *servercold_take_sends (struct servercold *cold, int64_t now_ns);

/** Give SENDS, which servercold_take_sends returned, to COLD, a new record of
 * the same server. */
void servercold_restore_sends (struct servercold *cold, GArray *sends);

/** Return the name of the reason for which the server is cold; "-" if it is
 * warm. */
const char *servercold_cause_name (const struct servercold *cold,
                                   int64_t now_ns);

#endif
