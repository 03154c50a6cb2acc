#ifndef CONFSPREAD_H
#define CONFSPREAD_H

#include "clock.h"
#include "rng.h"
#include "status.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * How a process that does not watch the KV service gets a newer
 * configuration: it hears that a peer has one and fetches what changed, one
 * fetch at a time.
 */

enum
{
  CONFSPREAD_ADDRESS_MAX = 64 /**< bytes of "IP:PORT", with the final NUL */
};

struct confspread_ops
{
  /** The revision in force. */
  uint64_t (*revision) (void *data);
  /** Ask ADDRESS for what changed after SINCE, put it in force, then say
   * confspread_fetched; not from inside. */
  void (*fetch) (void *data, const char *address, uint64_t since);
  /** A live peer that has a revision above REVISION, or NULL. */
  const char *(*peer) (void *data, uint64_t revision);
};

struct confspread_settings
{
  int64_t jitter_ns; /**< longest wait before a first try */
  int64_t retry_ns;  /**< longest wait before another one */
};

struct confspread
{
  const struct confspread_settings *settings;
  const struct clock *clock;
  struct rng *rng;
  const struct confspread_ops *ops;
  void *data;
  char address[CONFSPREAD_ADDRESS_MAX]; /**< "": ask for one */
  uint64_t newest;                      /**< the highest revision heard of */
  int64_t due_ns;
  bool fetching;
  bool whole; /**< The next fetch asks for everything. */
};

void confspread_init (struct confspread *spread,
                      const struct confspread_settings *settings,
                      const struct clock *clock, struct rng *rng,
                      const struct confspread_ops *ops, void *data);

/** The process at ADDRESS has REVISION in force. */
void confspread_heard (struct confspread *spread, const char *address,
                       uint64_t revision);

/** The fetch ended with STATUS, as configstore_offer gave it or the
 * connection's. */
void confspread_fetched (struct confspread *spread, enum status status);

void confspread_tick (struct confspread *spread);
int64_t confspread_next (const struct confspread *spread);

#endif
