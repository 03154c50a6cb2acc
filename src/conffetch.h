#ifndef CONFFETCH_H
#define CONFFETCH_H

#include "clock.h"
#include "rng.h"
#include "status.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Schedules the fetches by which a process gets a newer configuration without
 * watching the KV service: when a peer announces a newer revision, the process
 * fetches the changes from it. Only one fetch is in flight at a time.
 */

enum
{
  CONFFETCH_ADDRESS_MAX = 64 /**< Maximum size of "IP:PORT", with the NUL. */
};

struct conffetch_ops
{
  /** Returns the configuration revision in force in this process. */
  uint64_t (*revision_in_force) (void *data);
  /** Starts to fetch the changes after the revision SINCE from ADDRESS, to put
   * them in force. At the end, conffetch_completed is called, but never from
   * inside this function. */
  void (*fetch) (void *data, const char *address, uint64_t since);
  /** Returns the address of a live peer that has a revision above REVISION in
   * force, or NULL. */
  const char *(*find_peer) (void *data, uint64_t revision);
};

struct conffetch_settings
{
  int64_t first_delay_max_ns; /**< Maximum random delay before the first fetch
                                 of a revision. */
  int64_t retry_delay_max_ns; /**< Maximum random delay before a retry. */
};

struct conffetch
{
  const struct conffetch_settings *settings;
  const struct clock *clock;
  struct rng *rng;
  const struct conffetch_ops *ops;
  void *data;
  char address[CONFFETCH_ADDRESS_MAX]; /**< Peer to fetch from; if empty,
                                          `find_peer` chooses one. */
  /** Highest revision that a peer has announced. */
  uint64_t newest_announced;
  int64_t next_fetch_ns;
  bool fetching;  /**< Whether a fetch is in flight. */
  bool fetch_all; /**< Whether the next fetch requests everything, not only
                     changes. */
};

void conffetch_init (struct conffetch *fetch,
                     const struct conffetch_settings *settings,
                     const struct clock *clock, struct rng *rng,
                     const struct conffetch_ops *ops, void *data);

/** The process at ADDRESS announced that it has REVISION in force. */
void conffetch_revision_announced (struct conffetch *fetch,
                                   const char *address, uint64_t revision);

/** The fetch ended with STATUS, the result of configstore_apply_delta or of
 * the request to the peer. */
void conffetch_completed (struct conffetch *fetch, enum status status);

/** Starts the scheduled fetch if its delay has passed. */
void conffetch_tick (struct conffetch *fetch);

/** Returns the monotonic time at which conffetch_tick has to run next, or
 * CLOCK_NEVER. */
int64_t conffetch_next_tick_ns (const struct conffetch *fetch);

#endif
