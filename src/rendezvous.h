#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Rendezvous hashing (highest random weight): all processes that have the same
 * set of nodes pick the same owner for a key.
 */

/** Returns the weight of NODE for the KEY of SIZE bytes. The node with the
 * highest weight owns the key. */
uint64_t rendezvous_weight (uint64_t node, const void *key, size_t size);

/** Returns the index in NODES of the owner of KEY, or -1 if COUNT is 0. */
int rendezvous_pick (const uint64_t *nodes, size_t count, const void *key,
                     size_t size);

#endif
