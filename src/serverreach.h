#ifndef SERVERREACH_H
#define SERVERREACH_H

#include "servers.h"

/** @file
 * Which services this host can use.
 */

enum serverreach
{
  SERVERREACH_IN,
  /** Several servers have not answered; queries will show whether the links
   * work. Other hosts can serve better, if there are any. */
  SERVERREACH_DOUBTED,
  /** All servers are unreachable, or the links to them are lost. */
  SERVERREACH_LOST
};

/** Returns whether this host can use the servers of SERVICE. A service without
 * registered servers that are not leaving is not lost. */
enum serverreach servers_service_reach (const struct servers *servers,
                                        const char *service);

/** Whether the links to SERVICE are in doubt or lost. */
bool servers_service_is_out (const struct servers *servers,
                             const char *service);

/** Write the hashes of the services that are out, at most MAX, to HASHES.
 * @return their number */
unsigned servers_list_out (const struct servers *servers, uint64_t *hashes,
                           unsigned max);

#endif
