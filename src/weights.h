#ifndef WEIGHTS_H
#define WEIGHTS_H

#include "servers.h"

#include <stdint.h>

/** @file
 * The weight versions of a model that the operator has set. Versions may
 * follow each other quickly, so each keeps the time at which it was set: a
 * newer version does not put off the deadline after which no weights older
 * than an earlier one may be used.
 */

enum
{
  WEIGHTS_VERSIONS_MAX = 8 /**< Versions that keep a time of their own. */
};

struct wanted_weights
{
  char model[SERVER_NAME_MAX];
  uint64_t version; /**< The newest version. */
  struct
  {
    uint64_t version;
    int64_t since_ns; /**< When this process learned of the version. */
  } versions[WEIGHTS_VERSIONS_MAX]; /**< Sorted, the oldest version first. */
  unsigned version_count;
};

/** Records that VERSION, newer than all before, was set at NOW_NS. */
void weights_add_version (struct wanted_weights *wanted, uint64_t version,
                          int64_t now_ns);

/** The newest version that was set more than SPAN_NS ago; 0: none. */
uint64_t weights_required_version (const struct wanted_weights *wanted,
                                   int64_t now_ns, int64_t span_ns);

/** When the first version newer than VERSION was set; there must be one. */
int64_t weights_outdated_since_ns (const struct wanted_weights *wanted,
                                   uint64_t version);

#endif
