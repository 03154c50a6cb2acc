#ifndef KVHTTP_H
#define KVHTTP_H

#include "httpjson.h"
#include "kv.h"

/** @file
 * The KV interface over HTTP and JSON, with the mapping in docs/INTERFACES.md.
 * Calls go to one of several addresses. If a call gets no response, the
 * following calls go to the next address.
 */

enum
{
  KVHTTP_ADDRESSES_MAX = 8
};

struct kvhttp
{
  struct kv kv;
  struct httpjson *httpjson;
  const char *const *addresses; /**< "IP:PORT"; must outlive this struct. */
  size_t address_count;
  size_t current_address; /**< Index of the address that calls go to. */
  int64_t timeout_ns;     /**< Timeout of one call; the wait time of a watch is
                             added to it. */
  uint64_t call_count;    /**< Number of calls sent. */
};

/** Calls in flight end with STATUS_CANCELLED when HTTPJSON is finished. */
void kvhttp_init (struct kvhttp *kvhttp, struct httpjson *httpjson,
                  const char *const *addresses, size_t address_count,
                  int64_t timeout_ns);

#endif
