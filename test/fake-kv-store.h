#ifndef FAKE_KV_STORE_H
#define FAKE_KV_STORE_H

#include "fake-kv.h"

/** @file
 * Keys and leases of the in-process KV service. Only fake-kv.c uses them.
 */

struct fake_kv_item
{
  char *value;
  uint64_t revision;
  uint64_t lease;
};

struct fake_kv_lease
{
  struct list node;
  uint64_t id;
  int64_t ttl_ns;
  int64_t expires_ns;
};

void fake_kv_store_init (struct fake_kv *fake);
void fake_kv_store_finish (struct fake_kv *fake);

/** Write KEY at the service's current revision. A VALUE of NULL deletes it. */
void fake_kv_store_write (struct fake_kv *fake, const char *key,
                          const char *value, uint64_t lease);

/** @return The lease with the id LEASE_ID, or NULL if there is none. */
struct fake_kv_lease *fake_kv_lease_get (const struct fake_kv *fake,
                                         uint64_t lease_id);
/** Remove LEASE and delete the keys that are attached to it. */
void fake_kv_lease_remove (struct fake_kv *fake, struct fake_kv_lease *lease);
/** Find the lease that expires first.
 *
 * @param due_ns receives the time at which it expires, CLOCK_NEVER if there
 * is no lease.
 * @return The lease, or NULL if there is none. */
struct fake_kv_lease *fake_kv_lease_next_expiring (const struct fake_kv *fake,
                                                   int64_t *due_ns);

/** Free the backup of the service. */
void fake_kv_backup_free (struct fake_kv *fake);

#endif
