#include "oncehost.h"

#include <glib.h>
#include <string.h>

#define FLUSH_NS (50 * NS_PER_MS)
#define FINISH_DELAY_NS (500 * NS_PER_MS)
#define RETENTION_NS (INT64_C (24) * 3600 * NS_PER_S)
#define RUN_MAX_NS (3600 * NS_PER_S)
#define WINDOW_NS (30 * NS_PER_S)
#define OWNER_POLL_NS (5 * NS_PER_S)
#define CLAIM_POLL_NS (300 * NS_PER_MS)
#define REBALANCE_NS (2 * NS_PER_S)
/* A gateway that was never heard of is taken to live for so long after this
 * process has started. */
#define UNHEARD_NS (10 * NS_PER_S)

enum
{
  LIVE_MAX = ROSTER_ENTRIES_MAX,
  TAIL_BYTES = 2048,
  SEGMENT_BYTES = 32768,
  RECORD_MAX = 100000,
  LOAD_MAX = 4,
  MARGIN_PART = 10,   /* the lease's tenth part is the margin */
  KEEPALIVE_PART = 3, /* three keepalives in a lease */
  DIGEST_SIZE = sizeof ((struct once_digest *)0)->bytes
};

/* Who waits for an answer; several may ask for the same request id. */
struct ask_key
{
  uint64_t gateway;
  uint64_t request;
  uint64_t is_end; /* whole words only: the key is hashed as bytes */
};

struct ask
{
  struct ask_key key;
  struct peerlink *link;
  uint64_t request_id;
};

static unsigned
ask_hash (const void *key)
{
  const struct ask_key *ask = key;

  return (unsigned)(ask->gateway ^ ask->request * 31 ^ ask->is_end);
}

static int
ask_equal (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct ask_key)) == 0;
}

static void
ask_free (void *data)
{
  struct ask *ask = data;

  peerlink_unref (ask->link);
  g_free (ask);
}

static void
ask_add (struct oncehost *host, const Peer__OnceRequest *request, bool is_end,
         struct peerlink *link, uint64_t request_id)
{
  struct ask *ask = g_new0 (struct ask, 1);

  ask->key.gateway = request->gateway;
  ask->key.request = request->request;
  ask->key.is_end = is_end;
  ask->link = peerlink_ref (link);
  ask->request_id = request_id;
  g_hash_table_replace (host->asks, &ask->key, ask);
}

static void
ask_answer (struct oncehost *host, uint64_t gateway, uint64_t request,
            bool is_end, Peer__Envelope *reply)
{
  struct ask_key key = { gateway, request, is_end };
  struct ask *ask = g_hash_table_lookup (host->asks, &key);

  if (ask == NULL)
    return;
  peerlink_reply (ask->link, ask->request_id, reply);
  g_hash_table_remove (host->asks, &key);
}

static struct oncehost *
host_of (struct once *once)
{
  return LIST_ENTRY (once, struct oncehost, once);
}

static void
on_answer (struct once *once, const struct once_answer *answer)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__OnceAnswer message = PEER__ONCE_ANSWER__INIT;
  Peer__OnceOutcome outcome = PEER__ONCE_OUTCOME__INIT;

  message.result = answer->result;
  message.key_unknown = answer->key_unknown;
  message.retry_after_ms = (uint32_t)(answer->retry_after_ns / NS_PER_MS);
  if (answer->result == ONCE_REPLAYED)
    {
      outcome.status = answer->outcome.status;
      outcome.digest.data = (uint8_t *)answer->outcome.digest.bytes;
      outcome.digest.len = DIGEST_SIZE;
      outcome.whole = answer->outcome.whole;
      outcome.body.data = (uint8_t *)answer->outcome.body;
      outcome.body.len = answer->outcome.whole ? answer->outcome.body_size : 0;
      message.outcome = &outcome;
    }
  reply.body_case = PEER__ENVELOPE__BODY_ONCE_ANSWER;
  reply.once_answer = &message;
  ask_answer (host_of (once), answer->gateway, answer->request, false, &reply);
}

static void
on_recorded (struct once *once, uint64_t gateway, uint64_t request,
             enum status status)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__OnceRecorded message = PEER__ONCE_RECORDED__INIT;

  message.status = status;
  reply.body_case = PEER__ENVELOPE__BODY_ONCE_RECORDED;
  reply.once_recorded = &message;
  ask_answer (host_of (once), gateway, request, true, &reply);
}

static bool
gateway_live (struct once *once, uint64_t gateway)
{
  struct oncehost *host = host_of (once);
  const struct roster_entry *entry
      = roster_find_incarnation (&host->process->roster, gateway);

  if (entry != NULL)
    return entry->alive;
  return clock_now (&host->process->clock) - host->started_ns < UNHEARD_NS;
}

static const struct once_ops once_ops
    = { on_answer, on_recorded, gateway_live };

static void
on_gained (struct owner *owner, unsigned partition)
{
  struct oncehost *host = (struct oncehost *)owner;

  once_gained (&host->once, partition);
  poison_shard_partition_gained (host->suspects, partition);
}

static void
on_lost (struct owner *owner, unsigned partition)
{
  struct oncehost *host = (struct oncehost *)owner;

  once_lost (&host->once, partition);
  poison_shard_partition_lost (host->suspects, partition);
}

static const struct owner_ops owner_ops = { on_gained, on_lost };

static const struct once_settings once_settings = {
  .flush_ns = FLUSH_NS,
  .finish_delay_ns = FINISH_DELAY_NS,
  .retention_ns = RETENTION_NS,
  .run_max_ns = RUN_MAX_NS,
  .window_ns = WINDOW_NS,
  .tail_bytes = TAIL_BYTES,
  .segment_bytes = SEGMENT_BYTES,
  .record_max = RECORD_MAX,
  .load_max = LOAD_MAX,
};

void
oncehost_init (struct oncehost *host, struct process *process,
               struct poison_shard *suspects)
{
  int64_t lease_ns = process->settings->kv.lease_ttl_ns;
  struct owner_settings settings = {
    .partitions = ONCEHOST_PARTITIONS,
    .lease_ns = lease_ns,
    .margin_ns = lease_ns / MARGIN_PART,
    .keepalive_ns = lease_ns / KEEPALIVE_PART,
    .poll_ns = OWNER_POLL_NS,
    .claim_poll_ns = CLAIM_POLL_NS,
    .rebalance_ns = REBALANCE_NS,
  };
  struct roster_entry self
      = { .id = process->id, .incarnation = process->incarnation };

  memset (host, 0, sizeof *host);
  host->process = process;
  host->suspects = suspects;
  host->started_ns = clock_now (&process->clock);
  host->asks = g_hash_table_new_full (ask_hash, ask_equal, NULL, ask_free);
  owner_init (&host->owner, &settings, &owner_ops, roster_node_id (&self),
              &process->kvbudget.kv, &process->clock, &process->rng);
  once_init (&host->once, &once_settings, &once_ops, &host->owner,
             &process->kvbudget.kv, &process->clock, &process->rng);
}

void
oncehost_finish (struct oncehost *host)
{
  once_finish (&host->once);
  owner_finish (&host->owner);
  g_hash_table_destroy (host->asks);
}

void
oncehost_sync (struct oncehost *host)
{
  uint64_t *nodes = g_new (uint64_t, LIVE_MAX);
  size_t count = roster_shard_node_ids (&host->process->roster, nodes, LIVE_MAX);

  owner_live (&host->owner, nodes, count);
  g_free (nodes);
}

void
oncehost_tick (struct oncehost *host)
{
  if (host->process->stage != PROCESS_SERVING && !host->stopping && !host->keep
      && once_idle (&host->once))
    {
      host->stopping = true;
      owner_stop (&host->owner);
    }
  owner_tick (&host->owner);
  once_tick (&host->once);
}

static bool
read_request (const Peer__OnceRequest *message, struct once_request *request)
{
  if (message == NULL || message->organisation[0] == '\0'
      || message->key[0] == '\0')
    return false;
  request->organisation = message->organisation;
  request->key = message->key;
  request->request = message->request;
  request->gateway = message->gateway;
  return true;
}

void
oncehost_begin (struct oncehost *host, struct peerlink *link,
                const Peer__Envelope *message)
{
  const Peer__OnceBegin *begin = message->once_begin;
  struct once_request request;
  struct once_digest fingerprint;
  int64_t now = clock_now (&host->process->clock);

  if (!read_request (begin->request, &request)
      || begin->fingerprint.len != DIGEST_SIZE)
    return;
  memcpy (fingerprint.bytes, begin->fingerprint.data, DIGEST_SIZE);
  ask_add (host, begin->request, false, link, message->request_id);
  once_begin (&host->once, &request, &fingerprint,
              now + begin->wait_ms * NS_PER_MS);
}

void
oncehost_end (struct oncehost *host, struct peerlink *link,
              const Peer__Envelope *message)
{
  const Peer__OnceEnd *end = message->once_end;
  struct once_request request;
  struct once_outcome outcome = { 0 };

  if (!read_request (end->request, &request))
    return;
  ask_add (host, end->request, true, link, message->request_id);
  if (end->outcome == NULL)
    {
      once_release (&host->once, &request);
      return;
    }
  outcome.status = end->outcome->status;
  if (end->outcome->digest.len == DIGEST_SIZE)
    memcpy (outcome.digest.bytes, end->outcome->digest.data, DIGEST_SIZE);
  outcome.whole
      = end->outcome->whole && end->outcome->body.len <= ONCE_BODY_MAX;
  if (outcome.whole)
    {
      outcome.body = end->outcome->body.data;
      outcome.body_size = end->outcome->body.len;
    }
  once_end (&host->once, &request, &outcome);
}

bool
oncehost_stopped (struct oncehost *host)
{
  return host->stopping && owner_stopped (&host->owner);
}
