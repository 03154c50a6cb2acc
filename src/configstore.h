#ifndef CONFIGSTORE_H
#define CONFIGSTORE_H

#include "clock.h"
#include "conftext.h"
#include "kv.h"
#include "log.h"
#include "rng.h"

/** @file
 * The configuration in force in one process. A configuration comes from the KV
 * service or from a peer, and only a newer one replaces it. While the KV
 * service is unavailable, it stays in force.
 *
 * Only a few processes watch the KV service. The others receive changes from
 * their peers, and read the KV service only if no peer has sent them a
 * configuration soon after they started.
 */

struct configstore_settings
{
  int64_t watch_timeout_ns; /**< Timeout of one long poll. */
  int64_t start_delay_ns;   /**< Time after the start that a process which does
                                 not watch waits for a peer before it reads the
                                 KV service. */
  int64_t backoff_min_ns; /**< Upper limit of the random delay after the first
                             failed call. The limit doubles with each further
                             consecutive failure. */
  /** Highest value that the limit of the delay reaches. */
  int64_t backoff_max_ns;
};

struct configstore_ops
{
  /** CONFIG, which is newer than the previous configuration, is now in force.
   */
  void (*config_changed) (void *owner, const struct config *config);
};

enum configstore_state
{
  CONFIGSTORE_IDLE,    /**< No call is pending or scheduled. */
  CONFIGSTORE_WAITING, /**< The next call starts at `next_read_ns`. */
  CONFIGSTORE_READING, /**< A range call is pending. */
  CONFIGSTORE_WATCHING /**< A watch call is pending. */
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

  /** Configuration in force; NULL if there is none yet. */
  struct config *config;
  enum configstore_state state;
  bool is_watcher; /**< Whether this process watches the KV service. */
  bool in_sync; /**< Whether all changes up to `kv_revision` have been read. */
  uint64_t kv_revision; /**< Revision of the KV service at the last successful
                           read. */
  int64_t next_read_ns;
  unsigned failures;     /**< Number of consecutive failed calls. */
  uint64_t resync_count; /**< Number of watches that missed a change. */
};

/** Initialises STORE without a configuration.
 * @param log receives the events; may be NULL */
void configstore_init (struct configstore *store,
                       const struct configstore_settings *settings,
                       struct kv *kv, const struct clock *clock,
                       struct rng *rng, struct log *log,
                       const struct configstore_ops *ops, void *owner);

/** Releases the configuration in force. No call to the KV service may be
 * pending. */
void configstore_finish (struct configstore *store);

/** Sets whether this process watches the KV service. */
void configstore_set_watching (struct configstore *store, bool is_watcher);

/** Puts in force a configuration that a peer sent as TEXT, the result of
 * conftext_delta.
 * @return STATUS_OK (now in force), STATUS_STALE (not newer than the one in
 * force), STATUS_NOT_FOUND (changes are missing from TEXT; fetch everything
 * from the peer), STATUS_CORRUPT or STATUS_INVALID. */
enum status configstore_apply_delta (struct configstore *store,
                                     const char *text, struct error *error);

/** Puts CONFIG in force if it is newer than the one in force.
 * @return whether CONFIG is newer */
bool configstore_set_if_newer (struct configstore *store,
                               struct config *config);

/** Returns the revision of the configuration in force, or 0 if there is
 * none. */
uint64_t configstore_revision (const struct configstore *store);

/** Starts the next call to the KV service if its delay has passed. */
void configstore_tick (struct configstore *store);

/** Returns the monotonic time at which configstore_tick has to run next, or
 * CLOCK_NEVER. */
int64_t configstore_next_tick_ns (const struct configstore *store);

/** Returns the items of REPLY that have a value, as an array for
 * conftext_load. Its strings belong to REPLY; the caller frees the array
 * with g_array_unref. */
GArray *configstore_reply_items (const struct kv_reply *reply);

/** Returns a random delay for the next call after FAILURES consecutive
 * failures. */
int64_t configstore_backoff_ns (const struct configstore *store,
                                unsigned failures);

#endif
