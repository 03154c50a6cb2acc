#ifndef GATEWAY_H
#define GATEWAY_H

#include "grantrequest.h"
#include "backends.h"
#include "block.h"
#include "config.h"
#include "onceshard.h"
#include "place.h"
#include "process.h"
#include "request.h"

/** @file
 * The gateway role, which serves callers and operators: it lists the addresses
 * of the gateways, admits requests, places them on backend servers, sends them
 * there and relays the responses.
 */

struct gateway
{
  struct process process;
  const struct settings *settings;
  struct config *config; /**< The current configuration, or NULL before the
                              first one. */
  struct backends backends;
  struct place place;
  struct admit admit[REQUEST_TYPE_COUNT];
  /** Admitted requests that have not started yet. */
  struct list starting_requests;
  bool is_starting_requests; /**< Whether the loop over starting_requests is
                                running. */
  struct retry retry;
  struct poison_gateway poison;
  /** For each partition, the roster node of the owner that was last sent the
   * poison-request slots held by this gateway. */
  uint64_t poison_owner_nodes[ONCESHARD_PARTITION_COUNT];
  uint64_t poison_roster_change; /**< Value of roster.change_count when
                                    poison_owner_nodes was last updated. */
  /** Requests for at-most-once grants. */
  struct grantrequests grant_requests;
  GArray *tick_serials; /**< Serials (uint64_t) over which tick_requests loops;
                           kept to reuse its memory. */
  struct block_key block_key;
  size_t block_bytes; /**< Number of bytes of prompt text in one block. */
  struct list requests;
  /** Hash table from serial to struct request. */
  GHashTable *requests_by_serial;
  size_t request_count;
  uint64_t last_serial; /**< Serial of the request that was created last. */
};

enum status gateway_init (struct gateway *gateway,
                          const struct settings *settings,
                          struct error *error);

/** Run the gateway until a planned stop is complete. */
void gateway_run (struct gateway *gateway);

void gateway_finish (struct gateway *gateway);

#endif
