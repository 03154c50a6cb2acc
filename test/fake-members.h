#ifndef FAKE_MEMBERS_H
#define FAKE_MEMBERS_H

#include "conffetch.h"
#include "member.h"

/** @file
 * Many memberships in one program on a fake network with loss, delay and
 * cuts, by a fake clock.
 */

struct fake_members;

struct fake_member
{
  struct fake_members *net;
  struct member member;
  struct conffetch spread;
  struct clock_fake clock;
  struct rng rng;
  uint64_t revision;
  uint64_t incarnation;
  int64_t wake_ns;
  int64_t stopped_until_ns; /**< paused: handles nothing before */
  unsigned region;
  unsigned centre;
  bool running;
  uint64_t bytes; /**< in and out */
  uint64_t messages;
  unsigned signs;
  unsigned deaths;  /**< of others, that it saw */
  GHashTable *told; /**< id to state, as reported */
};

struct fake_members
{
  struct fake_member *members;
  size_t count;
  unsigned centres;
  int64_t now_ns;
  struct rng rng;
  double loss;
  bool apart;      /**< nothing passes between regions */
  int lost_centre; /**< -1: none; nothing passes to or from it */
  GArray *heap;    /**< events by time */
  GHashTable *by_address;
  const struct member_settings *settings;
  bool keep_told;       /**< and compare with the tables */
  uint64_t fetch_bytes; /**< that a fetch costs either side */
  int64_t adopt_ns;     /**< to put a configuration in force */
  uint64_t order;
};

void fake_members_init (struct fake_members *net, size_t count,
                        unsigned centres, uint64_t seed,
                        const struct member_settings *settings);
void fake_members_finish (struct fake_members *net);

/** Start INDEX, or start it anew under NAME (NULL: the same name). */
void fake_members_start (struct fake_members *net, size_t index,
                         const char *name);
void fake_members_kill (struct fake_members *net, size_t index);

/** All know all. */
void fake_members_introduce (struct fake_members *net);

void fake_members_run (struct fake_members *net, int64_t span_ns);

/** REVISION is in force in INDEX now. */
void fake_members_configure (struct fake_members *net, size_t index,
                             uint64_t revision);

/** How many pairs of running processes do not see each other alive, or see
 * one alive that does not run; and states that were not reported. */
size_t fake_members_wrong (const struct fake_members *net);

size_t fake_members_with_revision (const struct fake_members *net,
                                   uint64_t revision);

#endif
