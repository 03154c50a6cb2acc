#ifndef CONFIGSTORE_H
#define CONFIGSTORE_H

#include "clock.h"
#include "conftext.h"
#include "kv.h"
#include "log.h"
#include "rng.h"

/** @file
 * The configuration in force in one process. It comes from the KV service or
 * from a peer and only ever gets newer; when the KV service is out, what is
 * in force stays.
 *
 * Few processes watch the KV service; the others read it only if no peer
 * offers anything soon after their start.
 */

struct configstore_settings
{
  int64_t watch_wait_ns;  /**< of one long poll */
  int64_t start_delay_ns; /**< A process that does not watch waits so long
                               for a peer before it reads the KV service. */
  int64_t backoff_min_ns; /**< after a failed call */
  int64_t backoff_max_ns;
};

struct configstore_ops
{
  /** CONFIG is in force now; it is newer than all before. */
  void (*in_force) (void *owner, const struct config *config);
};

enum configstore_state
{
  CONFIGSTORE_IDLE,    /**< does not watch */
  CONFIGSTORE_WAITING, /**< until `due` */
  CONFIGSTORE_READING, /**< a range is under way */
  CONFIGSTORE_WATCHING /**< a watch is under way */
};

struct configstore
{
  const struct configstore_settings *settings;
  const struct configstore_ops *ops;
  void *owner;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  struct log *log;

  struct config *config; /**< in force; NULL before the first */
  enum configstore_state state;
  bool watch;     /**< This process is one of the watchers. */
  bool synced;    /**< All up to AFTER has been read. */
  uint64_t after; /**< the KV service's revision */
  int64_t due_ns;
  unsigned failures; /**< in a row */
  uint64_t resyncs;
};

/** @param log may be NULL */
void configstore_init (struct configstore *store,
                       const struct configstore_settings *settings,
                       struct kv *kv, const struct clock *clock,
                       struct rng *rng, struct log *log,
                       const struct configstore_ops *ops, void *owner);

/** Calls to the KV service must have been answered or dropped. */
void configstore_finish (struct configstore *store);

/** Whether this process is one of those that watch the KV service. */
void configstore_watch (struct configstore *store, bool watch);

/** A peer offers TEXT, made by conftext_delta.
 * @return STATUS_OK (now in force), STATUS_STALE (nothing new),
 * STATUS_NOT_FOUND (ask the peer for everything), STATUS_CORRUPT or
 * STATUS_INVALID. */
enum status configstore_offer (struct configstore *store, const char *text,
                               struct error *error);

/** Put CONFIG in force if it is newer.
 * @return whether it was. */
bool configstore_adopt (struct configstore *store, struct config *config);

/** The revision in force, 0 before the first. */
uint64_t configstore_revision (const struct configstore *store);

void configstore_tick (struct configstore *store);

/** The monotonic time of the next thing due, or CLOCK_NEVER. */
int64_t configstore_next (const struct configstore *store);

/** The documents among ITEMS as texts; the caller frees it with
 * g_array_unref. The strings stay the reply's. */
GArray *configstore_texts (const struct kv_reply *reply);

/** A span for the next try after FAILURES failures in a row. */
int64_t configstore_backoff (const struct configstore *store,
                             unsigned failures);

#endif
