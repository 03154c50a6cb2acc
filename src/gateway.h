#ifndef GATEWAY_H
#define GATEWAY_H

#include "ask.h"
#include "backends.h"
#include "block.h"
#include "config.h"
#include "oncehost.h"
#include "place.h"
#include "process.h"
#include "request.h"

/** @file
 * The role that faces callers and operators: answers which address to use,
 * admits, places, dispatches and relays.
 */

struct gateway
{
  struct process process;
  const struct settings *settings;
  struct config *config; /**< in force; NULL before the first */
  struct backends backends;
  struct place place;
  struct admit admit[REQUEST_TYPE_COUNT];
  struct list starting; /**< requests that admission has just let start */
  bool is_starting;
  struct retry retry;
  struct suspect_gate suspects;
  uint64_t suspect_owners[ONCEHOST_PARTITIONS]; /**< nodes last told */
  uint64_t suspect_change; /**< of the roster when they were looked at */
  struct asks asks;        /**< for grants */
  GArray *serials;         /**< of uint64_t: scratch of the tick */
  struct block_key block_key;
  size_t piece_bytes; /**< of prompt text in one piece */
  struct list requests;
  GHashTable *by_serial;
  size_t request_count;
  uint64_t next_request;
};

enum status gateway_init (struct gateway *gateway,
                          const struct settings *settings,
                          struct error *error);
void gateway_run (struct gateway *gateway);
void gateway_finish (struct gateway *gateway);

#endif
