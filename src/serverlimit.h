#ifndef SERVERLIMIT_H
#define SERVERLIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * The limit that a backend server in need states in its responses: the
 * requests per second that it takes from all hosts together, for as long as it
 * states it.
 *
 * The hosts divide the limit among them without asking each other. A low limit
 * is divided among the first hosts in a rendezvous order only: if all hosts
 * saved a request up, they could send them at once. The others send nothing
 * until they are told that the limit has ended, or nobody has told for a while
 * whether it holds.
 */

struct serverlimit
{
  bool limited;
  double per_s;        /**< For all hosts; valid if limited. */
  int64_t since_ns;    /**< Time at which the server became limited, or was no
                          longer. */
  int64_t stated_ns;   /**< Time of the last response, here or at another host,
                          that stated the limit or its absence; 0 if there was
                          none. */
  int64_t heard_ns;    /**< The same for responses here. */
  unsigned host_count; /**< Hosts that send to the server; at least 1. */
  unsigned rank;       /**< Position of this host among them. */
  double tokens;       /**< Requests that this host may send now. */
  int64_t tokens_ns;   /**< Time of `tokens`. */
};

void serverlimit_init (struct serverlimit *limit);

/** Set which of the hosts that send to the server this one is. */
void serverlimit_set_hosts (struct serverlimit *limit, unsigned host_count,
                            unsigned rank);

/** Record what a response of STATED_NS stated.
 * @param per_s negative if it stated no limit
 * @param here whether this host received the response
 * @return whether the server became limited or is no longer limited */
bool serverlimit_record (struct serverlimit *limit, double per_s,
                         int64_t stated_ns, bool here);

/** Return the requests per second that this host may send; only valid if the
 * server is limited. */
double serverlimit_own_rate (const struct serverlimit *limit, int64_t now_ns);

/** Return the time until this host may send a request; CLOCK_NEVER if it may
 * send none. Only valid if the server is limited. */
int64_t serverlimit_wait_ns (const struct serverlimit *limit, int64_t now_ns);

/** Whether a request may be sent to the server now. */
bool serverlimit_allows (const struct serverlimit *limit, int64_t now_ns);

/** Count that a request is sent to the server. */
void serverlimit_take (struct serverlimit *limit, int64_t now_ns);

#endif
