#ifndef FAKE_COLDFLEET_H
#define FAKE_COLDFLEET_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * A simulated fleet before servers that fail together and come back cold: the
 * real modules that learn of servers and hosts and choose among servers, over
 * a simulated registry, links, servers and requests.
 */

struct coldfleet_play
{
  unsigned hosts;
  uint64_t seed;
  bool kills;    /**< Hosts are killed and start again. */
  bool cuts;     /**< Hosts are cut off from the registry for a while. */
  bool suspends; /**< Hosts are suspended for a while. */
};

struct coldfleet_result
{
  unsigned seconds_over; /**< Sliding seconds, each beginning with a request,
                            in which a cold server got more than its bound. */
  unsigned most;         /**< Requests that a cold server got in a second. */
  unsigned to_cold;
  unsigned to_warm;
  unsigned refused;
};

enum
{
  COLDFLEET_BOUND = 23 /**< Requests to a cold server in a second. */
};

/** Play a day on which a third of the servers come back cold at once, three
 * times within 8 s, under a burst. */
void coldfleet_play (const struct coldfleet_play *play,
                     struct coldfleet_result *result);

#endif
