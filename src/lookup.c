#include "filters.h"
#include "gateway.h"

#include <glib.h>
#include <string.h>

/* A request whose lookup times out continues without the reuse of cached
 * blocks. */
#define LOOKUP_TIMEOUT_NS (50 * NS_PER_MS)
#define USED_REPORT_TIMEOUT_NS (NS_PER_S)

static void
fill_scope (Peer__Scope *message, struct block_scope *scope)
{
  message->organisation = scope->organisation;
  message->model = scope->model;
  message->version = scope->version;
  message->adapter = scope->adapter;
}

static void
fill_blocks (ProtobufCBinaryData *blocks, struct request *request)
{
  for (size_t i = 0; i < request->block_count; i++)
    {
      blocks[i].data = request->blocks[i].bytes;
      blocks[i].len = BLOCK_ID_SIZE;
    }
}

static uint32_t
kind_hash (const struct request *request)
{
  return g_str_hash (request->kind->name);
}

static const struct roster_entry *
owner_shard_of (const struct request *request)
{
  uint16_t route = block_shard_prefix (&request->blocks[0]);

  return roster_find_shard_for_key (&request->gateway->process.roster, &route,
                                    sizeof route);
}

static void
add_copy (struct blockindex_block *block, const Peer__Copy *message)
{
  struct blockindex_copy *copy = &block->copies[block->copy_count];

  if (block->copy_count == BLOCKINDEX_COPIES_MAX
      || message->tier >= BLOCKCOPY_TIER_COUNT)
    return;
  copy->store = message->store;
  copy->slot = message->slot;
  copy->generation = message->generation;
  copy->checksum = message->checksum;
  copy->length = (int64_t)message->length;
  copy->tier = (enum blockcopy_tier)message->tier;
  block->copy_count++;
}

static void
read_reply (struct blockindex_match *match, const Peer__LookupReply *reply,
            int64_t elapsed_ns)
{
  for (size_t i = 0; i < reply->n_holders && i < BLOCKINDEX_HOLDERS_MAX; i++)
    {
      match->holders[i].engine = reply->holders[i]->engine;
      match->holders[i].block_count = reply->holders[i]->pieces;
      match->holders[i].confidence = reply->holders[i]->confidence;
      match->holder_count++;
    }
  for (size_t i = 0; i < reply->n_pieces && i < BLOCKINDEX_BLOCKS_MAX; i++)
    {
      for (size_t j = 0; j < reply->pieces[i]->n_copies; j++)
        add_copy (&match->blocks[i], reply->pieces[i]->copies[j]);
      match->block_count++;
    }
  match->idle_ns = reply->idle_ms * NS_PER_MS;
  /* The lease starts when the shard runs the lookup, at an unknown time. It
   * is counted from the earliest possible time, when the lookup was sent. */
  match->read_lease_ns = reply->read_lease_ms * NS_PER_MS - elapsed_ns;
}

static void
lookup_reply_received (void *data, enum status status,
                       const Peer__Envelope *reply)
{
  struct request *request = request_from_handle (data);

  g_free (data);
  if (request == NULL)
    return;
  if (status == STATUS_OK
      && reply->body_case == PEER__ENVELOPE__BODY_LOOKUP_REPLY)
    read_reply (&request->match, reply->lookup_reply,
                clock_now (&request->gateway->process.clock)
                    - request->lookup_sent_ns);
  else
    metrics_add (&request->gateway->process.metrics, "lookups_failed", "", 1);
  request_continue (request);
}

enum filter_result
lookup_filter (struct request *request)
{
  struct gateway *gateway = request->gateway;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Lookup lookup = PEER__LOOKUP__INIT;
  Peer__Scope scope = PEER__SCOPE__INIT;
  ProtobufCBinaryData blocks[BLOCKINDEX_BLOCKS_MAX];
  const struct roster_entry *owner;

  request->match.idle_ns = -1;
  request->block_count
      = block_chain_ids (&request->scope, &gateway->block_key, request->prompt,
                         request->prompt_size, gateway->block_bytes,
                         request->blocks, BLOCKINDEX_BLOCKS_MAX);
  if (request->block_count == 0)
    return FILTER_PASS;
  owner = owner_shard_of (request);
  if (owner == NULL)
    return FILTER_PASS;
  request->lookup_sent_ns = clock_now (&gateway->process.clock);
  fill_scope (&scope, &request->scope);
  fill_blocks (blocks, request);
  lookup.scope = &scope;
  lookup.blocks = blocks;
  lookup.n_blocks = request->block_count;
  lookup.kind = kind_hash (request);
  envelope.body_case = PEER__ENVELOPE__BODY_LOOKUP;
  envelope.lookup = &lookup;
  peer_endpoint_request (&gateway->process.peers, owner->peer_address,
                         &envelope, LOOKUP_TIMEOUT_NS, lookup_reply_received,
                         request_handle_new (request));
  return FILTER_WAIT;
}

static void
used_reply_received (void *data, enum status status,
                     const Peer__Envelope *reply)
{
}

static void
send_used_report (struct request *request, Peer__Used *used)
{
  struct gateway *gateway = request->gateway;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Scope scope = PEER__SCOPE__INIT;
  ProtobufCBinaryData blocks[BLOCKINDEX_BLOCKS_MAX];
  const struct roster_entry *owner;

  if (request->block_count == 0)
    return;
  owner = owner_shard_of (request);
  if (owner == NULL)
    return;
  fill_scope (&scope, &request->scope);
  fill_blocks (blocks, request);
  used->scope = &scope;
  used->blocks = blocks;
  used->n_blocks = request->block_count;
  used->engine = request->attempt.backend_id;
  used->kind = kind_hash (request);
  envelope.body_case = PEER__ENVELOPE__BODY_USED;
  envelope.used = used;
  peer_endpoint_request (&gateway->process.peers, owner->peer_address,
                         &envelope, USED_REPORT_TIMEOUT_NS,
                         used_reply_received, NULL);
}

void
lookup_report_sent (struct request *request)
{
  Peer__Used used = PEER__USED__INIT;

  used.expected = true;
  send_used_report (request, &used);
}

void
lookup_report_used (struct request *request)
{
  const struct settings *settings = request->gateway->settings;
  Peer__Used used = PEER__USED__INIT;

  used.cached
      = (uint32_t)(request->cached_tokens / settings->placement.piece_tokens);
  used.planned = request->planned_blocks;
  used.retained = request->kind->retained == 1;
  send_used_report (request, &used);
}
