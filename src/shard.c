#include "shard.h"
#include "poison-wire.h"

#include <glib.h>
#include <string.h>

enum
{
  INDEX_ENTRIES_MAX = 100000
};

static bool
read_scope (const Peer__Scope *message, struct block_scope *scope)
{
  return message != NULL
         && block_scope_init (scope, message->organisation, message->model,
                              message->version, message->adapter)
                == STATUS_OK;
}

static size_t
read_blocks (const ProtobufCBinaryData *blocks, size_t count,
             struct block_id *ids)
{
  size_t count_read = 0;

  while (count_read < count && count_read < BLOCKINDEX_BLOCKS_MAX
         && blocks[count_read].len == BLOCK_ID_SIZE)
    {
      memcpy (ids[count_read].bytes, blocks[count_read].data, BLOCK_ID_SIZE);
      count_read++;
    }
  return count_read;
}

static void
reply_done (struct peer_conn *conn, uint64_t request_id)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Done done = PEER__DONE__INIT;

  reply.body_case = PEER__ENVELOPE__BODY_DONE;
  reply.done = &done;
  peer_conn_reply (conn, request_id, &reply);
}

static void
reply_refused (struct peer_conn *conn, uint64_t request_id, const char *code)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Refused refused = PEER__REFUSED__INIT;

  refused.code = (char *)code;
  refused.message = (char *)code;
  reply.body_case = PEER__ENVELOPE__BODY_REFUSED;
  reply.refused = &refused;
  peer_conn_reply (conn, request_id, &reply);
}

static void
reply_load (struct shard *shard, struct peer_conn *conn,
            const Peer__Envelope *request)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__LoadReply loads = PEER__LOAD_REPLY__INIT;

  enginewatch_fill_reply (&shard->engines, request->load_query, &loads);
  reply.body_case = PEER__ENVELOPE__BODY_LOAD_REPLY;
  reply.load_reply = &loads;
  peer_conn_reply (conn, request->request_id, &reply);
  enginewatch_reply_clear (&loads);
}

/* The memory to which a Peer__LookupReply points. */
struct lookup_reply_buffers
{
  Peer__Holder holders[BLOCKINDEX_HOLDERS_MAX];
  Peer__Holder *holder_list[BLOCKINDEX_HOLDERS_MAX];
  Peer__Copy copies[BLOCKINDEX_BLOCKS_MAX][BLOCKINDEX_COPIES_MAX];
  Peer__Copy *copy_lists[BLOCKINDEX_BLOCKS_MAX][BLOCKINDEX_COPIES_MAX];
  Peer__Piece blocks[BLOCKINDEX_BLOCKS_MAX];
  Peer__Piece *block_list[BLOCKINDEX_BLOCKS_MAX];
};

static void
fill_holders (struct lookup_reply_buffers *buffers, Peer__LookupReply *reply,
              const struct blockindex_match *match)
{
  for (unsigned i = 0; i < match->holder_count; i++)
    {
      peer__holder__init (&buffers->holders[i]);
      buffers->holders[i].engine = match->holders[i].engine;
      buffers->holders[i].pieces = match->holders[i].block_count;
      buffers->holders[i].confidence = (float)match->holders[i].confidence;
      buffers->holder_list[i] = &buffers->holders[i];
    }
  reply->holders = buffers->holder_list;
  reply->n_holders = match->holder_count;
}

static void
fill_copy (Peer__Copy *message, const struct blockindex_copy *copy)
{
  peer__copy__init (message);
  message->store = copy->store;
  message->slot = copy->slot;
  message->generation = copy->generation;
  message->checksum = copy->checksum;
  message->length = (uint64_t)copy->length;
  message->tier = copy->tier;
}

static void
fill_blocks (struct lookup_reply_buffers *buffers, Peer__LookupReply *reply,
             const struct blockindex_match *match)
{
  for (unsigned i = 0; i < match->block_count; i++)
    {
      const struct blockindex_block *block = &match->blocks[i];

      peer__piece__init (&buffers->blocks[i]);
      for (unsigned j = 0; j < block->copy_count; j++)
        {
          fill_copy (&buffers->copies[i][j], &block->copies[j]);
          buffers->copy_lists[i][j] = &buffers->copies[i][j];
        }
      buffers->blocks[i].copies = buffers->copy_lists[i];
      buffers->blocks[i].n_copies = block->copy_count;
      buffers->block_list[i] = &buffers->blocks[i];
    }
  reply->pieces = buffers->block_list;
  reply->n_pieces = match->block_count;
}

static void
reply_lookup (struct shard *shard, struct peer_conn *conn,
              const Peer__Envelope *request)
{
  const Peer__Lookup *lookup = request->lookup;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__LookupReply message = PEER__LOOKUP_REPLY__INIT;
  struct block_scope scope;
  struct block_id ids[BLOCKINDEX_BLOCKS_MAX];
  struct blockindex_query query = { &scope, ids, 0, lookup->kind };
  struct blockindex_match match;
  struct lookup_reply_buffers buffers;

  if (!read_scope (lookup->scope, &scope))
    {
      reply_refused (conn, request->request_id, "bad_scope");
      return;
    }
  query.count = read_blocks (lookup->blocks, lookup->n_blocks, ids);
  memset (&match, 0, sizeof match);
  blockindex_lookup (&shard->index, &query, &match);
  exporter_count_lookup (&shard->exporter, scope.organisation, lookup->kind,
                         match.idle_ns);
  fill_holders (&buffers, &message, &match);
  fill_blocks (&buffers, &message, &match);
  message.idle_ms = match.idle_ns < 0 ? -1 : match.idle_ns / NS_PER_MS;
  message.read_lease_ms = (uint32_t)(match.read_lease_ns / NS_PER_MS);
  reply.body_case = PEER__ENVELOPE__BODY_LOOKUP_REPLY;
  reply.lookup_reply = &message;
  peer_conn_reply (conn, request->request_id, &reply);
}

static void
handle_used (struct shard *shard, struct peer_conn *conn,
             const Peer__Envelope *request)
{
  const Peer__Used *used = request->used;
  struct block_scope scope;
  struct block_id ids[BLOCKINDEX_BLOCKS_MAX];
  size_t count;

  reply_done (conn, request->request_id);
  if (!read_scope (used->scope, &scope))
    return;
  count = read_blocks (used->blocks, used->n_blocks, ids);
  if (used->expected)
    {
      cachehint_expect (&shard->index.hints, &scope, ids, count, used->engine);
      return;
    }
  if (used->cached < used->planned && used->planned <= count)
    cachehint_deny (&shard->index.hints, &scope, ids + used->cached,
                    used->planned - used->cached, used->engine);
  cachehint_confirm (&shard->index.hints, &scope, ids, count, used->engine);
  if (used->retained)
    exporter_queue_blocks (&shard->exporter, &scope, ids, count, used->engine,
                           used->kind);
}

/* Destination of the owner's reply to the message that is being handled. */
struct poison_reply
{
  struct peer_conn *conn;
  uint64_t request_id;
  bool sent;
};

static void
poison_reply_send (void *data, uint64_t gateway,
                   const struct poison_message *message)
{
  struct shard *shard = data;
  struct poison_reply *reply = shard->poison_reply;
  struct poison_message copy = *message;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Suspect body = PEER__SUSPECT__INIT;

  if (reply == NULL || reply->sent)
    return;
  poison_wire_write (&copy, 0, &body);
  envelope.body_case = PEER__ENVELOPE__BODY_SUSPECT;
  envelope.suspect = &body;
  peer_conn_reply (reply->conn, reply->request_id, &envelope);
  reply->sent = true;
}

static void
handle_poison (struct shard *shard, struct peer_conn *conn,
               const Peer__Envelope *request)
{
  struct poison_reply reply = { conn, request->request_id, false };
  struct poison_message message;
  unsigned partition;
  enum status status = STATUS_CORRUPT;

  shard->poison_reply = &reply;
  if (poison_wire_read (request->suspect, &message, &partition) == STATUS_OK)
    status = poison_shard_receive (&shard->poison_partitions, partition,
                                   &message);
  shard->poison_reply = NULL;
  if (status == STATUS_STALE)
    reply_refused (conn, request->request_id, "stale");
  else if (!reply.sent)
    reply_done (conn, request->request_id);
}

static void
serve_peer_request (void *data, struct peer_conn *conn,
                    const Peer__Envelope *request)
{
  struct shard *shard = data;

  switch (request->body_case)
    {
    case PEER__ENVELOPE__BODY_LOAD_QUERY:
      reply_load (shard, conn, request);
      break;
    case PEER__ENVELOPE__BODY_LOOKUP:
      reply_lookup (shard, conn, request);
      break;
    case PEER__ENVELOPE__BODY_USED:
      handle_used (shard, conn, request);
      break;
    case PEER__ENVELOPE__BODY_ONCE_BEGIN:
      onceshard_begin_received (&shard->once, conn, request);
      break;
    case PEER__ENVELOPE__BODY_ONCE_END:
      onceshard_end_received (&shard->once, conn, request);
      break;
    case PEER__ENVELOPE__BODY_SUSPECT:
      handle_poison (shard, conn, request);
      break;
    default:
      reply_refused (conn, request->request_id, "unknown_message");
    }
}

static void
http_request_received (void *data, struct httpserver_request *http)
{
  struct shard *shard = data;

  if (!process_serve_common (&shard->process, http))
    httpserver_respond (http, 404, "text/plain", NULL, 0, "not found\n", 10);
}

static void
events_received (void *data, uint64_t engine,
                 const struct engine_events *events)
{
  struct shard *shard = data;
  struct block_id id;

  if (events->first > events->next_expected)
    cachehint_events_lost (&shard->index.hints, engine, events->first);
  for (size_t i = 0; i < events->count; i++)
    if (block_id_from_hex (&id, events->events[i].block) == STATUS_OK)
      cachehint_event (&shard->index.hints, engine, events->events[i].sequence,
                       events->events[i].stored, &id);
}

static void
listing_received (void *data, uint64_t engine,
                  const struct engine_listing *listing)
{
  struct shard *shard = data;
  struct block_id *ids = g_new (struct block_id, listing->count + 1);
  size_t count = 0;

  for (size_t i = 0; i < listing->count; i++)
    if (block_id_from_hex (&ids[count], listing->blocks[i]) == STATUS_OK)
      count++;
  cachehint_listing_received (&shard->index.hints, engine, listing->next, ids,
                              count);
  g_free (ids);
}

static void
engine_removed (void *data, uint64_t engine)
{
  struct shard *shard = data;

  cachehint_engine_reset (&shard->index.hints, engine);
}

static void
load_received (void *data, const char *name, const struct engine_load *load)
{
  struct shard *shard = data;

  ordershard_load_received (&shard->orderer, name, load);
}

static const struct enginewatch_ops engine_ops
    = { events_received, listing_received, engine_removed, load_received };

static void
request_listing (void *data, uint64_t engine)
{
  struct shard *shard = data;

  enginewatch_request_listing (&shard->engines, engine);
}

static void
slot_freed (void *data, enum status status)
{
}

static void
free_slot (void *data, uint64_t store, uint64_t slot, uint64_t generation)
{
  struct shard *shard = data;
  struct storeclient *client = &shard->process.storehttp.client;
  const char *address = storewatch_find_address (&shard->stores, store);
  struct store_slot at = { slot, generation };

  if (address != NULL)
    client->ops->release (client, address, &at, slot_freed, shard);
}

static const struct blockindex_ops index_ops
    = { { request_listing }, { free_slot } };

/* Report each gateway that is down to the poison-request owners, since nobody
 * else reports how its runs ended. */
static void
report_lost_gateways (struct shard *shard)
{
  const struct roster *roster = &shard->process.roster;

  for (size_t i = 0; i < roster->count; i++)
    if (roster->entries[i].role == ROLE_GATEWAY && !roster->entries[i].alive)
      poison_shard_gateway_lost (&shard->poison_partitions,
                                 roster->entries[i].incarnation);
}

static void
tick (void *data)
{
  struct shard *shard = data;

  if (shard->roster_change != shard->process.roster.change_count)
    {
      shard->roster_change = shard->process.roster.change_count;
      enginewatch_sync (&shard->engines);
      storewatch_relist (&shard->stores);
      onceshard_roster_changed (&shard->once);
      report_lost_gateways (shard);
    }
  enginewatch_tick (&shard->engines);
  storewatch_tick (&shard->stores);
  blockindex_tick (&shard->index);
  exporter_tick (&shard->exporter);
  ordershard_tick (&shard->orderer);
  shard->once.keep_lease = !ordershard_loads_ended (&shard->orderer);
  onceshard_tick (&shard->once);
  poison_shard_tick (&shard->poison_partitions);
}

static void
hosts_changed (void *data)
{
  struct shard *shard = data;

  enginewatch_sync (&shard->engines);
  storewatch_sync (&shard->stores);
}

static void
config_changed (void *data)
{
  struct shard *shard = data;

  ordershard_configure (&shard->orderer);
}

static size_t
pending_work (void *data)
{
  struct shard *shard = data;

  return onceshard_is_stopped (&shard->once) ? 0 : 1;
}

static bool
is_ready (void *data)
{
  return true;
}

static const struct process_role shard_role
    = { http_request_received, serve_peer_request, tick,        hosts_changed,
        config_changed,        is_ready,           pending_work };

static bool
owns_partition (void *data, unsigned partition, char key[KV_KEY_MAX],
                uint64_t *revision)
{
  struct shard *shard = data;

  owner_record_key (partition, key);
  return owner_holds (&shard->once.owner, partition, revision);
}

static const struct poison_shard_ops poison_ops
    = { poison_reply_send, owns_partition };

static void
init_poison (struct shard *shard)
{
  const struct settings *settings = shard->settings;
  struct poison_owner_settings poison = {
    .hold_ns = settings->suspect.hold_ns,
    .grace_ns = settings->suspect.grace_ns,
    .run_alone = settings->suspect.run_alone,
  };

  poison_shard_init (&shard->poison_partitions, &poison,
                     &shard->process.kvbudget.kv, &shard->process.clock,
                     &poison_ops, shard);
}

static void
init_index (struct shard *shard)
{
  const struct settings *settings = shard->settings;
  struct blockindex_settings index = { 0 };

  index.entries_max = INDEX_ENTRIES_MAX;
  index.hint = cachehint_settings_default;
  index.copy = blockcopy_settings_default;
  index.copy.read_lease_ns = settings->stores.read_lease_ns;
  index.copy.free_delay_ns = settings->stores.free_delay_ns;
  blockindex_init (&shard->index, &shard->process.clock, &index, &index_ops,
                   shard);
}

enum status
shard_init (struct shard *shard, const struct settings *settings,
            struct error *error)
{
  struct process *process = &shard->process;
  enum status status;

  memset (shard, 0, sizeof *shard);
  shard->settings = settings;
  status = process_init (process, settings, &shard_role, shard, error);
  if (status != STATUS_OK)
    return status;
  init_index (shard);
  enginewatch_init (&shard->engines, &process->clock,
                    &process->enginehttp.client, &process->roster,
                    &process->hostlist.hostlist, process->id, &engine_ops,
                    shard);
  storewatch_init (&shard->stores, &process->clock, &process->storehttp.client,
                   &process->roster, &process->hostlist.hostlist,
                   &shard->index.copies, process->id,
                   settings->stores.listing_ns);
  exporter_init (&shard->exporter, process, &shard->index, &shard->engines,
                 &shard->stores);
  init_poison (shard);
  onceshard_init (&shard->once, process, &shard->poison_partitions);
  ordershard_init (&shard->orderer, process, &shard->once.owner);
  return STATUS_OK;
}

void
shard_run (struct shard *shard)
{
  process_run (&shard->process);
}

void
shard_finish (struct shard *shard)
{
  process_finish (&shard->process);
  ordershard_finish (&shard->orderer);
  onceshard_finish (&shard->once);
  poison_shard_finish (&shard->poison_partitions);
  exporter_finish (&shard->exporter);
  enginewatch_finish (&shard->engines);
  storewatch_finish (&shard->stores);
  blockindex_finish (&shard->index);
}
