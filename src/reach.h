#ifndef REACH_H
#define REACH_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Whether this host has lost its links to the servers of a service. One server
 * that can't be reached says nothing of the links; several one after the other
 * do, if no connection to any server of the service has opened in between.
 */

enum
{
  /** Number of different servers whose connections fail before the links count
   * as lost; all of them if the service has fewer. */
  REACH_FAILURES_MIN = 3
};

struct reach
{
  /** Hashes of the ids of servers whose connections have failed since the last
   * connection that opened. */
  uint32_t failed[REACH_FAILURES_MIN];
  unsigned failed_count;
};

/** Record that no connection to the server with the hash SERVER could be
 * opened. */
void reach_record_failure (struct reach *reach, uint32_t server);

/** Record that a connection to a server of the service has opened. */
void reach_record_opened (struct reach *reach);

/** Whether the links to the service, which has SERVER_COUNT servers, count as
 * lost. */
bool reach_is_lost (const struct reach *reach, unsigned server_count);

#endif
