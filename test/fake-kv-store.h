#ifndef FAKE_KV_STORE_H
#define FAKE_KV_STORE_H

#include "fake-kv.h"

/** @file
 * The keys and leases of the in-process KV service; only for fake-kv.c.
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
  uint64_t number;
  int64_t ttl_ns;
  int64_t end_ns;
};

void fake_kv_store_init (struct fake_kv *fake);
void fake_kv_store_finish (struct fake_kv *fake);

/** Write at the service's current revision; VALUE NULL deletes. */
void fake_kv_store_write (struct fake_kv *fake, const char *key,
                          const char *value, uint64_t lease);

/** The lease of NUMBER, or NULL. */
struct fake_kv_lease *fake_kv_lease_get (const struct fake_kv *fake,
                                         uint64_t number);
/** End LEASE and delete its keys. */
void fake_kv_lease_end (struct fake_kv *fake, struct fake_kv_lease *lease);
/** The lease that ends first, or NULL; DUE receives when. */
struct fake_kv_lease *fake_kv_lease_first (const struct fake_kv *fake,
                                           int64_t *due);

#endif
