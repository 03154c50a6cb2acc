#ifndef WEIGHTS_H
#define WEIGHTS_H

#include "servers.h"

#include <stdint.h>

/** @file
 * The weight versions of a model that the operator has set. Each version keeps
 * the time at which it was set, since versions may follow each other quickly:
 * the deadline by which engines must have a version does not change when a
 * newer version is set. All times are of clock_boottime: a version grows older
 * while this host is suspended.
 */

enum
{
  /** Maximum number of versions that keep a time of their own. */
  WEIGHTS_VERSIONS_MAX = 8
};

struct wanted_weights
{
  char model[SERVER_NAME_MAX];
  uint64_t version; /**< Newest version that the operator has set. */
  struct
  {
    uint64_t version;
    /** Earliest time at which the version can have been set, as far as this
     * process can tell. */
    int64_t since_ns;
    /** Time at which the process found the version at its start; 0 if it
     * learned of it later. */
    int64_t found_ns;
  } versions[WEIGHTS_VERSIONS_MAX]; /**< Newest versions that the operator has
                                       set, the oldest of them first. */
  unsigned version_count;
};

/** Records that VERSION, which must be newer than all recorded ones, can have
 * been set at SINCE_NS; those before it were set by then. */
void weights_add_version (struct wanted_weights *wanted, uint64_t version,
                          int64_t since_ns);

/** Returns the time that a version counts as set at if the process finds it at
 * its start, at NOW_NS. It may have been set long before, so that only a small
 * part of SPAN_NS, the time within which versions are required, is left, and
 * less than a second. */
int64_t weights_found_since_ns (int64_t now_ns, int64_t span_ns);

/** Records that the newest version was found at the start, at NOW_NS. */
void weights_set_found (struct wanted_weights *wanted, int64_t now_ns);

/** Returns how long after NOW_NS a request may still begin on VERSION, which
 * must be older than the newest one; negative if it may not any more. SPAN_NS
 * is the time that is allowed once a newer version is set. */
int64_t weights_begin_left_ns (const struct wanted_weights *wanted,
                               uint64_t version, int64_t now_ns,
                               int64_t span_ns);

/** Returns the newest version that was set more than SPAN_NS ago; 0 if there
 * is none. */
uint64_t weights_required_version (const struct wanted_weights *wanted,
                                   int64_t now_ns, int64_t span_ns);

/** Returns the time at which the first version newer than VERSION was set.
 * There must be such a version. */
int64_t weights_outdated_since_ns (const struct wanted_weights *wanted,
                                   uint64_t version);

#endif
