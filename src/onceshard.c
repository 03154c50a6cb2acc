#include "onceshard.h"

#include <glib.h>
#include <string.h>

#define WRITE_INTERVAL_NS (50 * NS_PER_MS)
#define OUTCOME_DELAY_NS (500 * NS_PER_MS)
#define RETENTION_NS (INT64_C (24) * 3600 * NS_PER_S)
#define RUN_MAX_NS (3600 * NS_PER_S)
#define TAIL_WINDOW_NS (30 * NS_PER_S)
#define OWNER_POLL_INTERVAL_NS (5 * NS_PER_S)
#define CLAIM_POLL_INTERVAL_NS (300 * NS_PER_MS)
#define REBALANCE_DELAY_NS (2 * NS_PER_S)
/* Time after the start of this process during which a gateway that is not
 * in the roster is considered alive. */
#define UNKNOWN_GATEWAY_GRACE_NS (10 * NS_PER_S)

enum
{
  LIVE_SHARDS_MAX = ROSTER_ENTRIES_MAX,
  TAIL_BYTES = 2048,
  SEGMENT_MAX_BYTES = 32768,
  RECORD_MAX = 100000,
  PARALLEL_LOADS_MAX = 4,
  MARGINS_PER_LEASE = 10,   /* The margin is a tenth of the lease time. */
  KEEPALIVES_PER_LEASE = 3, /* Number of keepalives in one lease time. */
  DIGEST_SIZE = sizeof ((struct once_digest *)0)->bytes
};

/* Identifies a call. Request ids are unique only within a gateway, so the
 * key contains the gateway too. A retry has the same key; the reply goes to
 * the latest message. */
struct pending_call_key
{
  uint64_t gateway;
  uint64_t request;
  uint64_t is_end; /* Not bool, as the key is compared as bytes and must not
                      contain padding. */
};

struct pending_call
{
  struct pending_call_key key;
  struct peer_conn *conn;
  uint64_t message_id; /* Id of the received message, which its reply
                          refers to. */
};

static unsigned
pending_call_hash (const void *key)
{
  const struct pending_call_key *call = key;

  return (unsigned)(call->gateway ^ call->request * 31 ^ call->is_end);
}

static int
pending_call_equal (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct pending_call_key)) == 0;
}

static void
pending_call_free (void *data)
{
  struct pending_call *call = data;

  peer_conn_unref (call->conn);
  g_free (call);
}

static void
pending_call_add (struct onceshard *shard, const Peer__OnceRequest *request,
                  bool is_end, struct peer_conn *conn, uint64_t message_id)
{
  struct pending_call *call = g_new0 (struct pending_call, 1);

  call->key.gateway = request->gateway;
  call->key.request = request->request;
  call->key.is_end = is_end;
  call->conn = peer_conn_ref (conn);
  call->message_id = message_id;
  g_hash_table_replace (shard->pending_calls, &call->key, call);
}

static void
pending_call_reply (struct onceshard *shard, uint64_t gateway,
                    uint64_t request, bool is_end, Peer__Envelope *reply)
{
  struct pending_call_key key = { gateway, request, is_end };
  struct pending_call *call = g_hash_table_lookup (shard->pending_calls, &key);

  if (call == NULL)
    return;
  peer_conn_reply (call->conn, call->message_id, reply);
  g_hash_table_remove (shard->pending_calls, &key);
}

static struct onceshard *
shard_of (struct once *once)
{
  return LIST_ENTRY (once, struct onceshard, once);
}

static void
on_reply (struct once *once, const struct once_reply *reply)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__OnceAnswer message = PEER__ONCE_ANSWER__INIT;
  Peer__OnceOutcome outcome = PEER__ONCE_OUTCOME__INIT;

  message.result = reply->result;
  message.key_unknown = reply->key_unknown;
  message.retry_after_ms = (uint32_t)(reply->retry_after_ns / NS_PER_MS);
  if (reply->result == ONCE_REPLAYED)
    {
      outcome.status = reply->outcome.status;
      outcome.digest.data = (uint8_t *)reply->outcome.digest.bytes;
      outcome.digest.len = DIGEST_SIZE;
      outcome.whole = reply->outcome.has_body;
      outcome.body.data = (uint8_t *)reply->outcome.body;
      outcome.body.len
          = reply->outcome.has_body ? reply->outcome.body_size : 0;
      message.outcome = &outcome;
    }
  envelope.body_case = PEER__ENVELOPE__BODY_ONCE_ANSWER;
  envelope.once_answer = &message;
  pending_call_reply (shard_of (once), reply->gateway_incarnation,
                      reply->request_id, false, &envelope);
}

static void
on_recorded (struct once *once, uint64_t gateway, uint64_t request,
             enum status status)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__OnceRecorded message = PEER__ONCE_RECORDED__INIT;

  message.status = status;
  envelope.body_case = PEER__ENVELOPE__BODY_ONCE_RECORDED;
  envelope.once_recorded = &message;
  pending_call_reply (shard_of (once), gateway, request, true, &envelope);
}

static bool
gateway_is_live (struct once *once, uint64_t gateway)
{
  struct onceshard *shard = shard_of (once);
  const struct roster_entry *entry
      = roster_find_incarnation (&shard->process->roster, gateway);

  if (entry != NULL)
    return entry->alive;
  return clock_now (&shard->process->clock) - shard->started_ns
         < UNKNOWN_GATEWAY_GRACE_NS;
}

static const struct once_ops once_ops
    = { on_reply, on_recorded, gateway_is_live };

static void
on_gained (struct owner *owner, unsigned partition)
{
  struct onceshard *shard = (struct onceshard *)owner;

  once_partition_gained (&shard->once, partition);
  poison_shard_partition_gained (shard->poison_shard, partition);
}

static void
on_lost (struct owner *owner, unsigned partition)
{
  struct onceshard *shard = (struct onceshard *)owner;

  once_partition_lost (&shard->once, partition);
  poison_shard_partition_lost (shard->poison_shard, partition);
}

static const struct owner_ops owner_ops = { on_gained, on_lost };

static const struct once_settings once_settings = {
  .write_interval_ns = WRITE_INTERVAL_NS,
  .outcome_delay_ns = OUTCOME_DELAY_NS,
  .retention_ns = RETENTION_NS,
  .run_max_ns = RUN_MAX_NS,
  .tail_window_ns = TAIL_WINDOW_NS,
  .tail_bytes = TAIL_BYTES,
  .segment_max_bytes = SEGMENT_MAX_BYTES,
  .record_max = RECORD_MAX,
  .parallel_loads_max = PARALLEL_LOADS_MAX,
};

void
onceshard_init (struct onceshard *shard, struct process *process,
                struct poison_shard *poison_shard)
{
  int64_t lease_ns = process->settings->kv.lease_ttl_ns;
  struct owner_settings settings = {
    .partition_count = ONCESHARD_PARTITION_COUNT,
    .lease_ttl_ns = lease_ns,
    .lease_margin_ns = lease_ns / MARGINS_PER_LEASE,
    .keepalive_interval_ns = lease_ns / KEEPALIVES_PER_LEASE,
    .poll_interval_ns = OWNER_POLL_INTERVAL_NS,
    .claim_poll_interval_ns = CLAIM_POLL_INTERVAL_NS,
    .rebalance_delay_ns = REBALANCE_DELAY_NS,
  };
  struct roster_entry self
      = { .id = process->id, .incarnation = process->incarnation };

  memset (shard, 0, sizeof *shard);
  shard->process = process;
  shard->poison_shard = poison_shard;
  shard->started_ns = clock_now (&process->clock);
  shard->pending_calls = g_hash_table_new_full (
      pending_call_hash, pending_call_equal, NULL, pending_call_free);
  owner_init (&shard->owner, &settings, &owner_ops, roster_node_id (&self),
              &process->kvbudget.kv, &process->clock, &process->rng);
  once_init (&shard->once, &once_settings, &once_ops, &shard->owner,
             &process->kvbudget.kv, &process->clock, &process->rng);
}

void
onceshard_finish (struct onceshard *shard)
{
  once_finish (&shard->once);
  owner_finish (&shard->owner);
  g_hash_table_destroy (shard->pending_calls);
}

void
onceshard_roster_changed (struct onceshard *shard)
{
  uint64_t *nodes = g_new (uint64_t, LIVE_SHARDS_MAX);
  size_t count = roster_shard_node_ids (&shard->process->roster, nodes,
                                        LIVE_SHARDS_MAX);

  owner_set_live_nodes (&shard->owner, nodes, count);
  g_free (nodes);
}

void
onceshard_tick (struct onceshard *shard)
{
  if (shard->process->stage != PROCESS_SERVING && !shard->stopping
      && !shard->keep_lease && once_is_idle (&shard->once))
    {
      shard->stopping = true;
      owner_stop (&shard->owner);
    }
  owner_tick (&shard->owner);
  once_tick (&shard->once);
}

static bool
request_decode (const Peer__OnceRequest *message, struct once_request *request)
{
  if (message == NULL || message->organisation[0] == '\0'
      || message->key[0] == '\0')
    return false;
  request->organisation = message->organisation;
  request->key = message->key;
  request->request = message->request;
  request->gateway_incarnation = message->gateway;
  return true;
}

void
onceshard_begin_received (struct onceshard *shard, struct peer_conn *conn,
                          const Peer__Envelope *message)
{
  const Peer__OnceBegin *begin = message->once_begin;
  struct once_request request;
  struct once_digest fingerprint;
  int64_t now = clock_now (&shard->process->clock);

  if (!request_decode (begin->request, &request)
      || begin->fingerprint.len != DIGEST_SIZE)
    return;
  memcpy (fingerprint.bytes, begin->fingerprint.data, DIGEST_SIZE);
  pending_call_add (shard, begin->request, false, conn, message->request_id);
  once_acquire (&shard->once, &request, &fingerprint,
                now + begin->wait_ms * NS_PER_MS);
}

void
onceshard_end_received (struct onceshard *shard, struct peer_conn *conn,
                        const Peer__Envelope *message)
{
  const Peer__OnceEnd *end = message->once_end;
  struct once_request request;
  struct once_outcome outcome = { 0 };

  if (!request_decode (end->request, &request))
    return;
  pending_call_add (shard, end->request, true, conn, message->request_id);
  if (end->outcome == NULL)
    {
      once_release (&shard->once, &request);
      return;
    }
  outcome.status = end->outcome->status;
  if (end->outcome->digest.len == DIGEST_SIZE)
    memcpy (outcome.digest.bytes, end->outcome->digest.data, DIGEST_SIZE);
  outcome.has_body
      = end->outcome->whole && end->outcome->body.len <= ONCE_OUTCOME_BODY_MAX;
  if (outcome.has_body)
    {
      outcome.body = end->outcome->body.data;
      outcome.body_size = end->outcome->body.len;
    }
  once_set_outcome (&shard->once, &request, &outcome);
}

bool
onceshard_is_stopped (struct onceshard *shard)
{
  return shard->stopping && owner_is_stopped (&shard->owner);
}
