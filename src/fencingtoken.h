#ifndef FENCINGTOKEN_H
#define FENCINGTOKEN_H

#include <stdint.h>

/** @file
 * The fencing token of a leader. Engines compare tokens across the eras of the
 * KV service, but revisions are comparable only within one, so that a token
 * consists of both.
 */

enum
{
  /** The lower bits of a token are the revision, the others the era. A token
   * has 53 bits at most, which JSON readers keep exactly, up to era 8,191. */
  FENCINGTOKEN_REVISION_BITS = 40
};

/** @param era 0 if the service states none; the token is the revision then
 * @param revision revision of the leader's key */
static inline uint64_t
fencingtoken_make (uint64_t era, uint64_t revision)
{
  return (era << FENCINGTOKEN_REVISION_BITS) + revision;
}

#endif
