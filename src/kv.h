#ifndef KV_H
#define KV_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * The interface to a key-value (KV) service, as a table of function pointers.
 *
 * Each call invokes its callback exactly once, and never before the call has
 * returned. When the implementation is finished, the callbacks of calls that
 * are still in flight receive STATUS_CANCELLED. The data pointers of calls
 * that are cancelled singly differ from those of all others in flight.
 *
 * Statuses of a reply:
 * - STATUS_OK: the call succeeded.
 * - STATUS_NOT_FOUND: the key of a get does not exist, or the lease of a
 *   lease call has expired.
 * - STATUS_STALE: the service no longer keeps the changes that a watch needs;
 *   the client has to read the range again.
 * - STATUS_CONFLICT: a comparison of a transaction failed, and the service
 *   wrote nothing.
 * - STATUS_LIMITED, STATUS_UNAVAILABLE: the call certainly had no effect.
 * - STATUS_UNKNOWN: the reply was lost; a write may have taken effect.
 * - STATUS_TOO_LARGE: a size limit is exceeded, and the service wrote nothing.
 * - STATUS_CANCELLED: the call was cancelled, or the implementation finished,
 *   before the reply came; a write may have taken effect.
 */

enum
{
  KV_VALUE_MAX = 1024 * 1024, /**< Maximum size of a value in bytes. */
  KV_KEY_MAX = 512 /**< Maximum size of a key in bytes, with the NUL. */
};

/** How far a call had come when it ended. */
enum kv_stage
{
  KV_STAGE_UNKNOWN, /**< The implementation can't tell. */
  KV_STAGE_QUEUED,  /**< It waited to be sent. */
  KV_STAGE_CONNECTING,
  KV_STAGE_SENT,    /**< No byte of a reply had arrived. */
  KV_STAGE_REPLYING /**< A part of the reply or all of it had arrived. */
};

/** One key with its value. The implementation of the interface owns the
 * strings; they are valid until the callback returns. */
struct kv_item
{
  const char *key;
  const char *value; /**< Text in UTF-8. */
  uint64_t revision; /**< Revision of the last write to KEY; 0 if it does not
                        exist. */
  /** Whether REVISION deleted the key; only watches set this. */
  bool deleted;
};

struct kv_reply
{
  enum status status;
  uint64_t revision; /**< Revision of the whole service when it replied. */
  uint64_t lease;    /**< Id of the new lease; only lease_grant sets this. */
  /** Era of the service in which it replied; 0 if the reply states none. The
   * era rises each time the service comes back from a backup. The service then
   * has lost its last writes and leases and gives out their revisions and
   * lease ids again, so that those of different eras can't be compared. */
  uint64_t era;
  /** A get returns one item, a range or a watch all matching items. */
  const struct kv_item *items;
  size_t item_count;
  enum kv_stage stage;
};

typedef void (*kv_done) (void *data, const struct kv_reply *reply);

/** A condition of a transaction: the last write to KEY has REVISION. A
 * REVISION of 0 requires that the key does not exist. */
struct kv_compare
{
  const char *key;
  uint64_t revision;
};

/** A write of a transaction. It deletes KEY if VALUE is NULL. With a LEASE
 * other than 0, the service deletes the key when that lease expires. */
struct kv_write
{
  const char *key;
  const char *value;
  uint64_t lease;
};

struct kv_txn
{
  const struct kv_compare *compares;
  size_t compare_count;
  const struct kv_write *writes;
  size_t write_count;
};

struct kv;

struct kv_ops
{
  void (*get) (struct kv *kv, const char *key, kv_done done, void *data);
  /** Read all keys that begin with PREFIX, in the order of the keys. */
  void (*range) (struct kv *kv, const char *prefix, kv_done done, void *data);
  /** Carry out all writes if all comparisons hold, and none otherwise. */
  void (*txn) (struct kv *kv, const struct kv_txn *txn, kv_done done,
               void *data);
  void (*lease_grant) (struct kv *kv, int64_t ttl_ns, kv_done done,
                       void *data);
  void (*lease_keepalive) (struct kv *kv, uint64_t lease, kv_done done,
                           void *data);
  void (*lease_revoke) (struct kv *kv, uint64_t lease, kv_done done,
                        void *data);
  /** Wait until a key that begins with PREFIX has a revision above AFTER.
   * After WAIT_NS without such a key the reply has no items. Some services
   * do not report deleted keys: only a new range call shows that these no
   * longer exist. */
  void (*watch) (struct kv *kv, const char *prefix, uint64_t after,
                 int64_t wait_ns, kv_done done, void *data);
  /** End the call with DATA, if it has not ended: its callback receives
   * STATUS_CANCELLED before this returns, and what the call holds at the
   * service and on the network is given up. NULL if the implementation can't
   * end single calls. */
  void (*cancel) (struct kv *kv, void *data);
};

/** Base of all implementations, which have it as their first member. */
struct kv
{
  const struct kv_ops *ops;
};

#endif
