#ifndef WEIGHTSNEWS_H
#define WEIGHTSNEWS_H

#include "kvview.h"
#include "log.h"
#include "servers.h"

/** @file
 * Notices that a server has newer weights than the operator is known to want.
 * The operator must have set them, so the view of the operator's keys has
 * missed a change: its watch is silent, or the reply was lost.
 */

struct weightsnews
{
  const struct servers *servers;
  struct log *log;
  struct kvview *view; /**< View of the operator's keys. */
  GHashTable *wanted;  /**< Maps model names to struct wanted_weights; not
                          owned. */
  /** Value of servers.weights_generation at the last pass. */
  uint64_t seen_generation;
  GHashTable *heard; /**< Maps model names to the newest version that the
                        view was read anew for. */
};

/** The pointers must outlive NEWS. */
void weightsnews_init (struct weightsnews *news, const struct servers *servers,
                       struct log *log, struct kvview *view,
                       GHashTable *wanted);
void weightsnews_finish (struct weightsnews *news);

/** Has the view read anew if a server has newer weights than are wanted, once
 * for each version. */
void weightsnews_tick (struct weightsnews *news);

#endif
