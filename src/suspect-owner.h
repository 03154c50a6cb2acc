#ifndef SUSPECT_OWNER_H
#define SUSPECT_OWNER_H

#include "clock.h"
#include "list.h"
#include "status.h"
#include "suspect.h"

#include <stdbool.h>

/** @file
 * The owner's side of suspect.h: the slots of one partition.
 *
 * Used-up slots are durable: one text per partition in the KV service, written
 * with a comparison of the partition's owner record, so that an old owner
 * can't write. Runs are not durable: a new owner waits for a grace period in
 * which gateways name the runs that they hold.
 */

enum
{
  SUSPECT_ENTRIES_MAX = 8192, /**< runs and used-up slots */
  SUSPECT_PROVED_MAX = 2048,  /**< fingerprints known to end well */
  SUSPECT_ALONE_MAX = 4       /**< runs alone at once in a partition */
};

struct suspect_owner_settings
{
  int64_t hold_ns;  /**< how long a slot stays used up */
  int64_t grace_ns; /**< over the time in which gateways see a new owner */
  bool run_alone;   /**< a tainted fingerprint may run at all */
};

struct suspect_owner_ops
{
  void (*send) (void *data, uint64_t gateway,
                const struct suspect_message *message);
  /** Write TEXT as the partition's record; suspect_owner_persisted answers,
   * not from inside. */
  void (*persist) (void *data, const char *text);
};

struct suspect_owner
{
  const struct clock *clock;
  const struct suspect_owner_ops *ops;
  void *data;
  struct suspect_owner_settings settings;
  void *entries;      /**< hash table of entries by fingerprint */
  struct list proved; /**< the latest first */
  unsigned proved_count;
  unsigned alone; /**< runs that are alone */
  bool loaded;
  bool writing;
  int64_t ready_ns;   /**< end of the grace period */
  int64_t write_ns;   /**< when a failed write is tried again */
  uint64_t change;    /**< counts what has to be durable */
  uint64_t sent;      /**< changes in the write under way */
  uint64_t durable;   /**< changes that are written */
  uint64_t conflicts; /**< slots found held twice; must stay 0 */
};

/** Begin owning a partition; load follows. */
void suspect_owner_init (struct suspect_owner *owner,
                         const struct suspect_owner_settings *settings,
                         const struct clock *clock,
                         const struct suspect_owner_ops *ops, void *data);
void suspect_owner_finish (struct suspect_owner *owner);

/** The partition's record as read after becoming its owner; NULL or empty if
 * there is none. The grace period begins now.
 * @return STATUS_OK or STATUS_CORRUPT */
enum status suspect_owner_load (struct suspect_owner *owner, const char *text);

void suspect_owner_receive (struct suspect_owner *owner,
                            const struct suspect_message *message);

/** A gateway is gone: what it ran may still crash a backend server with
 * nobody to report it, so its slots count as used up until they are proved. */
void suspect_owner_gateway_lost (struct suspect_owner *owner,
                                 uint64_t gateway);

/** The answer to persist. */
void suspect_owner_persisted (struct suspect_owner *owner, enum status status);

/** Drop what is over, write what failed to be written. */
void suspect_owner_tick (struct suspect_owner *owner);
int64_t suspect_owner_next (const struct suspect_owner *owner);

#endif
