#ifndef SERVERLIMIT_H
#define SERVERLIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * The limit that a backend server in need states in its responses: the
 * requests per second that it takes from all hosts together, for as long as it
 * states it.
 */

struct serverlimit
{
  bool limited;
  double per_s;      /**< For all hosts; valid if limited. */
  int64_t since_ns;  /**< Time at which the server became limited. */
  int64_t stated_ns; /**< Time of the last response that stated the limit or
                        its absence; 0 if there was none. */
};

/** Record what a response of NOW_NS stated.
 * @param per_s negative if it stated no limit
 * @return whether the server became limited or is no longer limited */
bool serverlimit_record (struct serverlimit *limit, double per_s,
                         int64_t now_ns);

#endif
