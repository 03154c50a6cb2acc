#ifndef STOREHTTP_H
#define STOREHTTP_H

#include "httpjson.h"
#include "store.h"

/** @file
 * Implements store.h over HTTP and JSON, as docs/INTERFACES.md specifies.
 */

struct storehttp
{
  struct storeclient client;
  struct httpjson *httpjson;
};

void storehttp_init (struct storehttp *storehttp, struct httpjson *httpjson);

/** Write to URL the address at which an engine writes or reads SLOT of the
 * store at ADDRESS. */
void storehttp_slot_url (const char *address, const struct store_slot *slot,
                         char *url, size_t size);

#endif
