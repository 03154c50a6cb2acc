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
  struct list
      starting_requests; /**< Admitted requests that have not started yet. */
  bool is_starting_requests; /**< The requests of the list above are being
                                started. */
  struct retry retry;
  struct poison_gateway poison;
  /** For each partition, the roster node of the owner that was last sent the
   * poison-request slots held by this gateway. */
  uint64_t poison_owner_nodes[ONCESHARD_PARTITION_COUNT];
  uint64_t poison_roster_change; /**< roster.change when the owners were
                                    compared. */
  struct grantrequests asks;     /**< Requests for at-most-once grants. */
  GArray *tick_serials; /**< Of uint64_t: scratch space of tick_requests. */
  struct block_key block_key;
  size_t block_bytes; /**< Bytes of prompt text in one block. */
  struct list requests;
  GHashTable *requests_by_serial; /**< Hash table: serial to request. */
  size_t request_count;
  uint64_t last_serial; /**< Serial of the newest request. */
};

enum status gateway_init (struct gateway *gateway,
                          const struct settings *settings,
                          struct error *error);

/** Run the gateway until a planned stop is complete. */
void gateway_run (struct gateway *gateway);

void gateway_finish (struct gateway *gateway);

#endif
