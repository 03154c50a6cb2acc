#ifndef STOREHTTP_H
#define STOREHTTP_H

#include "httpjson.h"
#include "store.h"

/** @file
 * Store hosts over HTTP and JSON, as docs/INTERFACES.md maps them.
 */

struct storehttp
{
  struct storeclient client;
  struct httpjson *httpjson;
};

void storehttp_init (struct storehttp *storehttp, struct httpjson *httpjson);

/** Write the URL at which an engine puts or gets a slot. */
void storehttp_url (const char *address, const struct store_slot *slot,
                    char *url, size_t size);

#endif
