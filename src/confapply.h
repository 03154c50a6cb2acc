#ifndef CONFAPPLY_H
#define CONFAPPLY_H

#include "configstore.h"
#include "list.h"
#include "merge.h"

/** @file
 * Applies sheets to the stored configuration, one at a time: reads the root
 * document, merges the sheet and writes all changes in one transaction, which
 * fails if the root has changed since it was read. After such a conflict the
 * sheet is merged again with the new configuration. If the reply to a
 * transaction is lost, the root is read again to see whether it was written.
 */

struct confapply_settings
{
  int64_t timeout_ns; /**< Timeout of applying one sheet. */
  /** Number of revisions kept in the history. */
  uint64_t history_revisions_max;
};

/** The result of applying one sheet. */
struct confapply_result
{
  /** STATUS_OK: the changes of `merge` are stored, or there were none;
   * STATUS_UNAVAILABLE and STATUS_TOO_LARGE: nothing was stored;
   * STATUS_UNKNOWN: the changes may have been stored, and it is safe to apply
   * the same sheet again; STATUS_CANCELLED: as STATUS_UNKNOWN. */
  enum status status;
  uint64_t revision; /**< Revision that contains the sheet's changes; only set
                        for STATUS_OK. */
  /** Last merge of the sheet, valid during the callback; NULL if the sheet
   * was never merged. */
  const struct merge *merge;
  unsigned txn_count; /**< Number of transactions sent. */
};

typedef void (*confapply_done) (void *data,
                                const struct confapply_result *result);

struct confapply
{
  const struct confapply_settings *settings;
  struct configstore *configstore;
  struct list jobs; /**< List of struct confapply_job; the first one is in
                         progress, the others wait. */
};

void confapply_init (struct confapply *apply,
                     const struct confapply_settings *settings,
                     struct configstore *configstore);

/** Ends each unfinished job with STATUS_CANCELLED. */
void confapply_finish (struct confapply *apply);

/** Queues the sheet in the SIZE bytes of TEXT to be applied. DONE is called
 * exactly once, never from inside this function.
 * @param operator_name name of the operator who sent the sheet, which is
 * recorded in the history */
void confapply_submit (struct confapply *apply, const char *text, size_t size,
                       const char *operator_name, confapply_done done,
                       void *data);

/** Starts or retries the first job if its delay has passed. */
void confapply_tick (struct confapply *apply);

/** Returns the monotonic time at which confapply_tick has to run next, or
 * CLOCK_NEVER. */
int64_t confapply_next_tick_ns (const struct confapply *apply);

#endif
