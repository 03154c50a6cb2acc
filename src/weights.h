#ifndef WEIGHTS_H
#define WEIGHTS_H

#include "servers.h"

#include <stdint.h>

/** @file
 * The versions of a model's weights that the operator has named. Answers
 * versions named in quick succession: each has a time of its own, by which
 * no older weights may be used.
 */

enum
{
  WEIGHTS_NAMED_MAX = 8 /**< Versions whose times are told apart. */
};

struct wanted_weights
{
  char model[SERVER_NAME_MAX];
  uint64_t version; /**< the newest one */
  struct
  {
    uint64_t version;
    int64_t since_ns;         /**< when this process learned of it */
  } named[WEIGHTS_NAMED_MAX]; /**< oldest first */
  unsigned named_count;
};

/** VERSION, over all before, was named at NOW_NS. */
void weights_name (struct wanted_weights *wanted, uint64_t version,
                   int64_t now_ns);

/** The newest version that was named SPAN_NS ago or earlier; 0: none. */
uint64_t weights_due (const struct wanted_weights *wanted, int64_t now_ns,
                      int64_t span_ns);

/** When the first version over VERSION was named; there is one. */
int64_t weights_behind_ns (const struct wanted_weights *wanted,
                           uint64_t version);

#endif
