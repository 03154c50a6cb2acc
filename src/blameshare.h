#ifndef BLAMESHARE_H
#define BLAMESHARE_H

#include "blamestore.h"
#include "log.h"
#include "metrics.h"
#include "presence.h"

#include <netinet/in.h>

/** @file
 * Shares between the hosts what blame.h needs and finds. Evidence and blocks
 * go to the other hosts in datagrams, which may be lost and reach them also
 * while the KV service is away. Blocks are also kept in the KV service, for
 * processes that start later.
 */

enum
{
  BLAMESHARE_BYTES_MAX = 1400, /**< Maximum size of a datagram. */
  BLAMESHARE_UNSENT_MAX = 256  /**< Maximum number of lost runs that have not
                                  been sent as often as they should be. */
};

struct blameshare_ops
{
  /** Sends a datagram to the other hosts. It may get lost. */
  void (*send) (void *data, const uint8_t *bytes, size_t size);
  /** The requests that SERVER ran when it crashed did not crash it, except
   * for those with a blocked part. */
  void (*explained) (void *data, const char *server);
};

struct blameshare
{
  struct blame blame;
  struct blamestore store;
  const struct clock *clock;
  const struct presence *presence;
  struct log *log;
  struct metrics *metrics;
  const struct blameshare_ops *ops;
  void *data;
  int64_t started_ns;
  struct list unsent; /**< Lost runs that are still to be sent. */
  unsigned unsent_count;
  int64_t next_completed_ns; /**< Next check which completed runs to tell. */
  int64_t next_blocks_ns;    /**< Next time at which the blocks are told. */
};

/** @param prefix prefix of the keys of blocks, which must outlive BLAMESHARE
 */
void blameshare_init (struct blameshare *blameshare, struct kv *kv,
                      const struct clock *clock,
                      const struct presence *presence, struct log *log,
                      struct metrics *metrics, const char *prefix,
                      const struct blameshare_ops *ops, void *data);
void blameshare_finish (struct blameshare *blameshare);

/** Tell that RUN was lost. */
void blameshare_run_lost (struct blameshare *blameshare,
                          const struct blame_run *run);

/** Handle a datagram of the host at FROM.
 * @return false if it can't be decoded */
bool blameshare_receive (struct blameshare *blameshare,
                         const struct sockaddr_in *from, const uint8_t *bytes,
                         size_t size);

void blameshare_tick (struct blameshare *blameshare);

#endif
