#ifndef ENTRYERA_H
#define ENTRYERA_H

#include "kvera.h"

/** @file
 * What an entry process does when the KV service comes back from a backup: it
 * reads all keys anew, writes again what it holds, takes new leases, and
 * orders nothing before the leadership was won anew. The data pointer is the
 * struct entry.
 */

extern const struct kvera_ops entryera_ops;

#endif
