#ifndef EXPORTER_H
#define EXPORTER_H

#include "blockindex.h"
#include "enginewatch.h"
#include "export.h"
#include "exportqueue.h"
#include "process.h"
#include "storewatch.h"

/** @file
 * Exports of a shard: orders engines to save blocks of sufficient value to a
 * store. Each export reserves a slot, has the engine write the block and
 * checks that the store has sealed it.
 */

struct exporter
{
  struct process *process;
  struct blockindex *index;
  struct enginewatch *engines;
  struct storewatch *stores;
  struct export_policy policy;
  struct exportqueue queue;
  void *link_budgets; /**< Hash table from store id to struct linkbudget. */
  unsigned in_flight; /**< Number of exports in flight. */
};

void exporter_init (struct exporter *exporter, struct process *process,
                    struct blockindex *index, struct enginewatch *engines,
                    struct storewatch *stores);
void exporter_finish (struct exporter *exporter);

/** Count a lookup for a prompt of ORGANISATION and KIND that was last seen
 * IDLE_NS ago, or -1 if it was not seen before. */
void exporter_count_lookup (struct exporter *exporter,
                            const char *organisation, uint32_t kind,
                            int64_t idle_ns);

/** Queue the blocks IDS, which ENGINE has cached, for export; blocks that a
 * store already has are skipped. KIND must be a request kind whose context is
 * retained. */
void exporter_queue_blocks (struct exporter *exporter,
                            const struct block_scope *scope,
                            const struct block_id *ids, size_t count,
                            uint64_t engine, uint32_t kind);

/** Begin the exports that the bandwidth budgets allow. */
void exporter_tick (struct exporter *exporter);

#endif
