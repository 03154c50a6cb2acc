#ifndef CONFPOLL_H
#define CONFPOLL_H

#include "clock.h"
#include "config.h"
#include "kv.h"

/** @file
 * Reads the configuration from the KV service now and then and writes a
 * changed one by one compare-and-swap.
 */

struct confpoll
{
  struct kv *kv;
  const struct clock *clock;
  struct config *config;  /**< in force; NULL before the first */
  uint64_t root_revision; /**< of the root's key; 0: there is none */
  bool asking;
  int64_t next_ns;
  void (*changed) (void *data);
  void *data;
};

void confpoll_init (struct confpoll *poll, struct kv *kv,
                    const struct clock *clock, void (*changed) (void *data),
                    void *data);
void confpoll_finish (struct confpoll *poll);
void confpoll_tick (struct confpoll *poll);

/** Write NEXT, which was made from the configuration in force. */
void confpoll_write (struct confpoll *poll, const struct config *next,
                     kv_done done, void *data);

#endif
