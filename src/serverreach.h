#ifndef SERVERREACH_H
#define SERVERREACH_H

#include "servers.h"

/** @file
 * Which services this host can use.
 */

/** Whether servers of SERVICE are registered that are not leaving, but this
 * host can use none of them: they are unreachable, or its links to all servers
 * are lost. */
bool servers_service_is_out (const struct servers *servers,
                             const char *service);

/** Write the hashes of the services that are out, at most MAX, to HASHES.
 * @return their number */
unsigned servers_list_out (const struct servers *servers, uint64_t *hashes,
                           unsigned max);

#endif
