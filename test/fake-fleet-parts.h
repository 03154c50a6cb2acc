#ifndef FAKE_FLEET_PARTS_H
#define FAKE_FLEET_PARTS_H

#include "fake-fleet.h"

/** @file
 * What the parts of the in-process fleet share; only for fake-fleet*.c.
 */

#define FLEET_STEP_NS (2 * NS_PER_MS)

enum fleet_message_kind
{
  MESSAGE_BEGIN,
  MESSAGE_ANSWER,
  MESSAGE_END,
  MESSAGE_RELEASE,
  MESSAGE_RECORDED,
  MESSAGE_DISPATCH,
  MESSAGE_STARTED,
  MESSAGE_NOT_STARTED,
  MESSAGE_COMPLETE,
  MESSAGE_CUT
};

struct fleet_message
{
  enum fleet_message_kind kind;
  int64_t due_ns;
  unsigned shard;
  uint64_t request;
  unsigned attempt;
  unsigned key;
  unsigned span_ms; /* begin: until the deadline */
  enum once_result result;
  bool key_unknown;
  uint64_t runner; /* in a replayed outcome */
  enum status status;
};

/** The KV calls of a shard, with what the mutant leaves out. */
extern const struct kv_ops fleet_filter_ops;

int64_t fleet_now (const struct fleet *fleet);
void fleet_break (struct fleet *fleet, enum fleet_promise promise,
                  const struct fleet_request *request, const char *what);
void fleet_message (struct fleet *fleet, struct fleet_message message);
/** The key of INDEX, asked or told about by REQUEST. */
struct once_request fleet_key_of (struct fleet *fleet,
                                  const struct fleet_request *request,
                                  unsigned index);
void fleet_gateways_tick (struct fleet *fleet);
void fleet_gateway_deliver (struct fleet *fleet, struct fleet_request *request,
                            const struct fleet_message *message);
void fleet_shards_tick (struct fleet *fleet);
void fleet_shard_deliver (struct fleet *fleet, struct fleet_request *request,
                          const struct fleet_message *message);

#endif
