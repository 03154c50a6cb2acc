#ifndef KVSTOREUSE_H
#define KVSTOREUSE_H

#include "homes.h"
#include "kvstores.h"

/** @file
 * Which KV cache store a block is fetched from or saved to, and how long that
 * takes.
 */

/** Returns the expected delay of a fetch from STORE, in ms. */
double kvstore_expected_delay_ms (const struct kvstore *store);

/** Records that a fetch from STORE took DELAY_MS longer than over an idle
 * network link. */
void kvstore_record_delay (struct kvstore *store, double delay_ms);

/** Returns a store that holds all tokens of BLOCK, preferably one in
 * DATA_CENTRE; NULL if there is none.
 * @param homes where the request may be served; NULL if anywhere */
struct kvstore *kvstores_find_block (const struct kvstores *kvstores,
                                     const char *scope,
                                     const struct call_block *block,
                                     const char *data_centre,
                                     const struct homes *homes);

/** Returns the store that the block with the id BLOCK should be saved to,
 * preferably one in DATA_CENTRE; NULL if no store has capacity. All hosts
 * choose the same store for the same data centre. */
const struct kvstore *
kvstores_choose_save_target (const struct kvstores *kvstores, uint64_t block,
                             unsigned tokens, const char *data_centre,
                             const struct homes *homes);

/** Returns the time by the engines' clock, in ms, after which an engine must
 * not use a fetched block: TIMEOUT_NS from now. Returns 0 if the engines'
 * clock is unknown.
 * @param timeout_ns the timeout of the fetch; KVSTORES_FETCH_TIMEOUT_MAX_MS if
 * it is longer */
uint64_t kvstores_fetch_deadline_ms (const struct kvstores *kvstores,
                                     int64_t timeout_ns);

#endif
