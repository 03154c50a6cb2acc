#ifndef SUBSETDIVIDE_H
#define SUBSETDIVIDE_H

#include "servers.h"

#include <glib.h>

/** @file
 * Divides the servers of a service among subsets of hosts, so that hosts with
 * nearly the same list of servers divide them in nearly the same way.
 *
 * The load it answers: a part of the servers fails, and each host finds it out
 * at another time. If each host numbers the servers that it believes in, one
 * server fewer moves most of the others to another subset, where the requests
 * in flight there are not known; engines then get more prompts than their
 * memory holds. Here a server moves only if its subset has no place for it any
 * more.
 */

/** Sets SUBSETS[i] to the subset, below COUNT, of the server at index i of
 * SERVERS, an array of struct server that is sorted by id. The sizes of the
 * subsets differ by at most one; the servers of each data centre are spread
 * over all subsets as evenly as that allows. */
void subsetdivide (const GPtrArray *servers, unsigned count,
                   unsigned *subsets);

#endif
