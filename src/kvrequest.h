#ifndef KVREQUEST_H
#define KVREQUEST_H

#include "kv.h"

/** @file
 * A copy of the arguments of a call to a KV service, so that the call can be
 * sent later.
 */

enum kvrequest_kind
{
  KVREQUEST_GET,
  KVREQUEST_RANGE,
  KVREQUEST_TXN,
  KVREQUEST_LEASE_GRANT,
  KVREQUEST_LEASE_KEEPALIVE,
  KVREQUEST_LEASE_REVOKE,
  KVREQUEST_WATCH
};

struct kvrequest
{
  enum kvrequest_kind kind;
  char *key; /**< Key of a get, prefix of a range or a watch; else NULL. */
  /** Id of a lease, or the revision after which a watch starts. */
  uint64_t lease_or_revision;
  /** Time to live of a new lease, or wait time of a watch. */
  int64_t duration_ns;
  struct kv_txn txn; /**< Owns its arrays and strings. */
};

/** @param key is copied; may be NULL */
void kvrequest_init (struct kvrequest *request, enum kvrequest_kind kind,
                     const char *key);
void kvrequest_finish (struct kvrequest *request);

/** Copies TXN with its strings. */
void kvrequest_copy_txn (struct kvrequest *request, const struct kv_txn *txn);

bool kvrequest_is_for_lease (const struct kvrequest *request);

/** Sends REQUEST to SERVICE, which replies to DONE. */
void kvrequest_send (const struct kvrequest *request, struct kv *service,
                     kv_done done, void *data);

/** Returns the name of KIND for the log. */
const char *kvrequest_kind_name (enum kvrequest_kind kind);

#endif
