#ifndef EXPORTER_H
#define EXPORTER_H

#include "blockindex.h"
#include "enginewatch.h"
#include "export.h"
#include "exportqueue.h"
#include "process.h"
#include "storewatch.h"

/** @file
 * A shard's exports: blocks that are worth keeping go from the engine that
 * has them to a store, each through reserve, write and seal.
 */

struct exporter
{
  struct process *process;
  struct blockindex *index;
  struct enginewatch *engines;
  struct storewatch *stores;
  struct export policy;
  struct exportqueue queue;
  void *links; /**< hash table: store to struct link */
  unsigned in_flight;
};

void exporter_init (struct exporter *exporter, struct process *process,
                    struct blockindex *index, struct enginewatch *engines,
                    struct storewatch *stores);
void exporter_finish (struct exporter *exporter);

/** A lookup for a prompt of ORGANISATION and KIND, last seen IDLE_NS ago, or
 * -1: not seen. */
void exporter_observe (struct exporter *exporter, const char *organisation,
                       uint32_t kind, int64_t idle_ns);

/** ENGINE now has these blocks of a kind whose context is kept. */
void exporter_offer (struct exporter *exporter,
                     const struct block_scope *scope,
                     const struct block_id *ids, size_t count, uint64_t engine,
                     uint32_t kind);

/** Begin exports that the links have room for. */
void exporter_tick (struct exporter *exporter);

#endif
