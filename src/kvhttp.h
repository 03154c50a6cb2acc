#ifndef KVHTTP_H
#define KVHTTP_H

#include "httpjson.h"
#include "kv.h"

/** @file
 * The KV service's table of function pointers over HTTP and JSON, as
 * docs/INTERFACES.md maps it. Several addresses are tried in turn: one that
 * fails is left for the next.
 */

enum
{
  KVHTTP_ADDRESSES_MAX = 8
};

struct kvhttp
{
  struct kv kv;
  struct httpjson *httpjson;
  const char *const *addresses; /**< "IP:PORT", owned by the caller */
  size_t address_count;
  size_t current;
  int64_t timeout_ns; /**< of a call; a watch adds its wait */
  uint64_t call_count;
};

/** Open calls answer STATUS_CANCELLED when HTTPJSON is finished. */
void kvhttp_init (struct kvhttp *kvhttp, struct httpjson *httpjson,
                  const char *const *addresses, size_t address_count,
                  int64_t timeout_ns);

#endif
