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
  CONFFETCH_ADDRESS_MAX = 64 /**< Bytes of "IP:PORT", with the final NUL. */
};

struct conffetch_ops
{
  /** The configuration revision in force in this process. */
  uint64_t (*revision_in_force) (void *data);
  /** Fetches the changes after the revision SINCE from ADDRESS, puts them in
   * force, then calls conffetch_completed, but not from inside this
   * function. */
  void (*fetch) (void *data, const char *address, uint64_t since);
  /** The address of a live peer that has a revision above REVISION in force,
   * or NULL. */
  const char *(*find_peer) (void *data, uint64_t revision);
};

struct conffetch_settings
{
  int64_t first_delay_max_ns; /**< Longest random delay before the first fetch
                          of a revision. */
  int64_t retry_delay_max_ns; /**< Longest random delay before a retry. */
};

struct conffetch
{
  const struct conffetch_settings *settings;
  const struct clock *clock;
  struct rng *rng;
  const struct conffetch_ops *ops;
  void *data;
  char address[CONFFETCH_ADDRESS_MAX]; /**< "": use `find_peer`. */
  uint64_t newest_announced;           /**< The highest revision announced. */
  int64_t next_fetch_ns;
  bool fetching;  /**< A fetch is in flight. */
  bool fetch_all; /**< The next fetch is of everything, not of changes. */
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

/** Starts a fetch if its time has come. */
void conffetch_tick (struct conffetch *fetch);

/** The monotonic time at which conffetch_tick is needed next, or
 * CLOCK_NEVER. */
int64_t conffetch_next (const struct conffetch *fetch);

#endif
