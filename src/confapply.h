#ifndef CONFAPPLY_H
#define CONFAPPLY_H

#include "configstore.h"
#include "list.h"
#include "merge.h"

/** @file
 * Puts sheets in force: reads the root, merges, and writes everything by one
 * transaction that compares the root. Whoever loses a race merges again on
 * the new base; a lost reply is settled by reading back.
 */

struct confapply_settings
{
  int64_t timeout_ns;    /**< of one sheet */
  uint64_t history_keep; /**< revisions */
};

/** How the apply of one sheet ended. */
struct confapply_result
{
  /** STATUS_OK: what MERGE says is stored, or there is nothing to store;
   * STATUS_UNAVAILABLE: nothing was stored; STATUS_UNKNOWN: it may have been
   * stored, apply the same sheet again; STATUS_TOO_LARGE: nothing was
   * stored; STATUS_CANCELLED: as STATUS_UNKNOWN. */
  enum status status;
  uint64_t revision;         /**< that holds the sheet's rows, if STATUS_OK */
  const struct merge *merge; /**< of the last try; NULL if there was none */
  unsigned tries;            /**< transactions */
};

typedef void (*confapply_done) (void *data,
                                const struct confapply_result *result);

struct confapply
{
  const struct confapply_settings *settings;
  struct configstore *store;
  struct list sheets; /**< of struct confapply_sheet; the first is under way */
};

void confapply_init (struct confapply *apply,
                     const struct confapply_settings *settings,
                     struct configstore *store);

/** Sheets that are not done yet answer STATUS_CANCELLED. */
void confapply_finish (struct confapply *apply);

/** Put the sheet TEXT in force. DONE is called exactly once, never from
 * inside.
 * @param operator_name who asks, for the history */
void confapply_sheet (struct confapply *apply, const char *text, size_t size,
                      const char *operator_name, confapply_done done,
                      void *data);

void confapply_tick (struct confapply *apply);
int64_t confapply_next (const struct confapply *apply);

#endif
