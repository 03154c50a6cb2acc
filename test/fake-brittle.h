#ifndef FAKE_BRITTLE_H
#define FAKE_BRITTLE_H

#include <stdbool.h>

/** @file
 * A simulated fleet before engines that are brittle for a while: the real
 * modules that learn what engines state and choose among them, over simulated
 * links, engines and requests.
 */

struct brittle_play
{
  unsigned hosts;
  unsigned engines;
  unsigned slots;
  unsigned rejections; /**< The engines state that they may reject so many. */
  double work_ms;
  unsigned tokens; /**< Of each prompt; 0: a plain service. */
  bool states_load;
  double load;  /**< Offered load, as a share of the engines' room. */
  double burst; /**< Factor on the load at times; 0: none. */
  double loss;  /**< Share of the datagrams that are lost. */
  bool ends;    /**< Whether engines end and start again. */
  bool kills;   /**< Whether hosts are killed and start again. */
};

/** Play a time in which the engines are brittle, and one after it. Asserts
 * that few engines fall over, and that USED_MIN of the room of those that have
 * not is used. */
void brittle_play (const struct brittle_play *played, double used_min);

#endif
