#include "owner.h"

#include "rendezvous.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OWNER_PREFIX "owner/"

enum
{
  /* Size of the KV value of an owner record, including the final NUL. */
  RECORD_VALUE_MAX = 40,
  BACKOFF_SHIFT_MAX = 4
};

#define BACKOFF_MIN_NS (100 * NS_PER_MS)

/* Returns the delay before a retry, with jitter. It doubles with each
 * consecutive failure up to a maximum. */
static int64_t
owner_backoff (struct owner *owner)
{
  int64_t backoff_ns = BACKOFF_MIN_NS
                       << MIN (owner->call_failures, BACKOFF_SHIFT_MAX);

  owner->call_failures++;
  return backoff_ns / 2
         + (int64_t)((double)backoff_ns * rng_uniform (owner->rng));
}

static int64_t
owner_jitter (struct owner *owner, int64_t interval_ns)
{
  return (int64_t)((double)interval_ns
                   * (0.75 + 0.25 * rng_uniform (owner->rng)));
}

static bool
record_is_own (const struct owner *owner, const struct owner_record *record)
{
  return record->revision != 0 && record->node == owner->node
         && record->lease == owner->lease && owner->lease != 0;
}

static bool
owner_is_preferred (const struct owner *owner, unsigned partition)
{
  int index = owner_preferred_index (owner->live_nodes, owner->live_node_count,
                                     partition);

  return index >= 0 && owner->live_nodes[index] == owner->node;
}

static void
partition_lost (struct owner *owner, unsigned partition)
{
  struct owner_record *record = &owner->records[partition];

  if (!record->held)
    return;
  record->held = false;
  owner->ops->lost (owner, partition);
}

static void
owner_lose_all (struct owner *owner)
{
  for (unsigned i = 0; i < owner->settings.partition_count; i++)
    partition_lost (owner, i);
}

static void
lease_lost (struct owner *owner)
{
  owner->lease = 0;
  owner->lease_expires_ns = 0;
  owner_lose_all (owner);
}

static void
lease_extend (struct owner *owner)
{
  owner->call_failures = 0;
  owner->lease_expires_ns
      = owner->lease_call_ns + owner->settings.lease_ttl_ns;
  owner->lease_due_ns
      = owner->lease_call_ns + owner->settings.keepalive_interval_ns;
}

static void
lease_replied (void *data, const struct kv_reply *reply)
{
  struct owner *owner = data;
  int64_t now = clock_now (owner->clock);

  owner->lease_call_open = false;
  if (reply->status == STATUS_OK)
    {
      if (owner->lease == 0)
        {
          owner->lease = reply->lease;
          owner->range_due_ns = now;
        }
      lease_extend (owner);
    }
  else if (reply->status == STATUS_NOT_FOUND)
    {
      lease_lost (owner);
      owner->lease_due_ns = now;
    }
  else
    owner->lease_due_ns = now + owner_backoff (owner);
}

static void
revoke_replied (void *data, const struct kv_reply *reply)
{
  struct owner *owner = data;

  owner->lease_call_open = false;
  if (reply->status == STATUS_OK || reply->status == STATUS_NOT_FOUND)
    owner->stopped = true;
  else
    owner->lease_due_ns = clock_now (owner->clock) + owner_backoff (owner);
}

static void
lease_call_send (struct owner *owner)
{
  const struct kv_ops *ops = owner->kv->ops;

  owner->lease_call_open = true;
  owner->lease_call_ns = clock_now (owner->clock);
  if (owner->stopping)
    ops->lease_revoke (owner->kv, owner->lease, revoke_replied, owner);
  else if (owner->lease != 0)
    ops->lease_keepalive (owner->kv, owner->lease, lease_replied, owner);
  else
    ops->lease_grant (owner->kv, owner->settings.lease_ttl_ns, lease_replied,
                      owner);
}

static void
txn_replied (void *data, const struct kv_reply *reply)
{
  struct owner *owner = data;
  int64_t now = clock_now (owner->clock);

  owner->txn_call_open = false;
  if (reply->status == STATUS_CONFLICT)
    owner->claim_max = MAX (owner->claim_max / 2, 1);
  else if (reply->status == STATUS_OK)
    owner->claim_max = owner->settings.partition_count;
  /* Poll the records whatever the reply: only they show which process owns a
   * partition. */
  if (reply->status == STATUS_OK || reply->status == STATUS_CONFLICT)
    owner->range_due_ns = now;
  else
    owner->range_due_ns = now + owner_backoff (owner);
}

/* A transaction on owner records that is being assembled. */
struct record_batch
{
  struct kv_compare *compares;
  struct kv_write *writes;
  char (*keys)[OWNER_KEY_MAX];
  size_t count;
};

static void
batch_init (struct record_batch *batch, size_t limit)
{
  batch->compares = g_new0 (struct kv_compare, limit);
  batch->writes = g_new0 (struct kv_write, limit);
  batch->keys = g_malloc0 (limit * sizeof *batch->keys);
  batch->count = 0;
}

static void
batch_add (struct record_batch *batch, unsigned partition, uint64_t revision,
           const char *value, uint64_t lease)
{
  size_t index = batch->count++;

  owner_record_key (partition, batch->keys[index]);
  batch->compares[index] = (struct kv_compare){ batch->keys[index], revision };
  batch->writes[index] = (struct kv_write){ batch->keys[index], value, lease };
}

static void
batch_send (struct owner *owner, struct record_batch *batch)
{
  struct kv_txn txn
      = { batch->compares, batch->count, batch->writes, batch->count };

  if (batch->count > 0)
    {
      owner->txn_call_open = true;
      owner->kv->ops->txn (owner->kv, &txn, txn_replied, owner);
    }
  g_free (batch->compares);
  g_free (batch->writes);
  g_free (batch->keys);
}

/* Claim the free partitions whose preferred owner is this process. Starts at a
 * random partition, so that two processes with different sets of live
 * processes do not keep conflicting. */
static void
owner_claim (struct owner *owner)
{
  unsigned partitions = owner->settings.partition_count;
  unsigned start = (unsigned)rng_below (owner->rng, partitions);
  struct record_batch batch;
  char value[RECORD_VALUE_MAX];

  snprintf (value, sizeof value, "%016" PRIx64 " %" PRIx64, owner->node,
            owner->lease);
  batch_init (&batch, partitions);
  for (unsigned i = 0; i < partitions && batch.count < owner->claim_max; i++)
    {
      unsigned partition = (start + i) % partitions;

      if (owner->records[partition].revision == 0
          && owner_is_preferred (owner, partition))
        batch_add (&batch, partition, 0, value, owner->lease);
    }
  batch_send (owner, &batch);
}

/* Release the partitions whose preferred owner is another process, once the
 * set of live processes has been stable for long enough. */
static void
owner_release (struct owner *owner)
{
  struct record_batch batch;

  if (clock_now (owner->clock)
      < owner->live_since_ns + owner->settings.rebalance_delay_ns)
    return;
  batch_init (&batch, owner->settings.partition_count);
  for (unsigned i = 0; i < owner->settings.partition_count; i++)
    if (record_is_own (owner, &owner->records[i])
        && !owner_is_preferred (owner, i))
      {
        partition_lost (owner, i);
        batch_add (&batch, i, owner->records[i].revision, NULL, 0);
      }
  batch_send (owner, &batch);
}

/* Whether this process is the preferred owner of a partition that it does not
 * own, or owns a partition whose preferred owner is another process. */
static bool
owner_has_misplaced_partition (const struct owner *owner)
{
  for (unsigned i = 0; i < owner->settings.partition_count; i++)
    if (record_is_own (owner, &owner->records[i])
        != owner_is_preferred (owner, i))
      return true;
  return false;
}

static void
record_parse (struct owner *owner, const struct kv_item *item)
{
  unsigned long partition
      = strtoul (item->key + strlen (OWNER_PREFIX), NULL, 16);
  struct owner_record *record;
  char *end;

  if (partition >= owner->settings.partition_count)
    return;
  record = &owner->records[partition];
  record->revision = item->revision;
  record->node = strtoull (item->value, &end, 16);
  record->lease = strtoull (end, NULL, 16);
}

/* Replace the records by those of REPLY and report the partitions that were
 * gained or lost. A partition whose record names this process under another
 * revision than before was lost in between. */
static void
records_apply (struct owner *owner, const struct kv_reply *reply)
{
  unsigned partitions = owner->settings.partition_count;
  struct owner_record *before
      = g_memdup2 (owner->records, partitions * sizeof *before);

  for (unsigned i = 0; i < partitions; i++)
    owner->records[i]
        = (struct owner_record){ .held = owner->records[i].held };
  for (size_t i = 0; i < reply->item_count; i++)
    record_parse (owner, &reply->items[i]);
  for (unsigned i = 0; i < partitions; i++)
    {
      struct owner_record *record = &owner->records[i];
      bool is_own = record_is_own (owner, record);

      if (!is_own || record->revision != before[i].revision)
        partition_lost (owner, i);
      if (!is_own || record->held || !owner_is_preferred (owner, i))
        continue;
      record->held = true;
      owner->ops->gained (owner, i);
    }
  g_free (before);
}

static void
range_replied (void *data, const struct kv_reply *reply)
{
  struct owner *owner = data;
  int64_t now = clock_now (owner->clock);

  owner->range_call_open = false;
  if (reply->status != STATUS_OK)
    {
      owner->range_due_ns = now + owner_backoff (owner);
      return;
    }
  if (owner->stopping || owner->lease == 0)
    return;
  records_apply (owner, reply);
  owner->range_due_ns
      = now
        + owner_jitter (owner, owner_has_misplaced_partition (owner)
                                   ? owner->settings.claim_poll_interval_ns
                                   : owner->settings.poll_interval_ns);
  owner_claim (owner);
  if (!owner->txn_call_open)
    owner_release (owner);
}

static bool
range_is_allowed (const struct owner *owner)
{
  return owner->lease != 0 && !owner->stopping && !owner->range_call_open
         && !owner->txn_call_open;
}

void
owner_init (struct owner *owner, const struct owner_settings *settings,
            const struct owner_ops *ops, uint64_t node, struct kv *kv,
            const struct clock *clock, struct rng *rng)
{
  assert (settings->partition_count > 0
          && settings->partition_count <= OWNER_PARTITIONS_MAX);
  assert (settings->lease_margin_ns < settings->lease_ttl_ns);
  assert (node != 0);
  *owner = (struct owner){
    .settings = *settings,
    .ops = ops,
    .kv = kv,
    .clock = clock,
    .rng = rng,
    .node = node,
    .lease_due_ns = clock_now (clock),
    .range_due_ns = clock_now (clock),
    .claim_max = settings->partition_count,
    .live_since_ns = clock_now (clock),
    .records = g_new0 (struct owner_record, settings->partition_count),
  };
}

void
owner_finish (struct owner *owner)
{
  assert (!owner->lease_call_open && !owner->range_call_open
          && !owner->txn_call_open);
  g_free (owner->records);
  g_free (owner->live_nodes);
}

void
owner_tick (struct owner *owner)
{
  int64_t now = clock_now (owner->clock);

  if (owner->stopped)
    return;
  if (!owner->lease_call_open && now >= owner->lease_due_ns)
    lease_call_send (owner);
  if (range_is_allowed (owner) && now >= owner->range_due_ns)
    {
      owner->range_call_open = true;
      owner->kv->ops->range (owner->kv, OWNER_PREFIX, range_replied, owner);
    }
}

int64_t
owner_next_tick_ns (const struct owner *owner)
{
  int64_t next = CLOCK_NEVER;

  if (owner->stopped)
    return next;
  if (!owner->lease_call_open)
    next = owner->lease_due_ns;
  if (range_is_allowed (owner))
    next = MIN (next, owner->range_due_ns);
  return next;
}

void
owner_set_live_nodes (struct owner *owner, const uint64_t *nodes, size_t count)
{
  if (count == owner->live_node_count
      && (count == 0
          || memcmp (nodes, owner->live_nodes, count * sizeof *nodes) == 0))
    return;
  g_free (owner->live_nodes);
  owner->live_nodes = g_memdup2 (nodes, count * sizeof *nodes);
  owner->live_node_count = count;
  owner->live_since_ns = clock_now (owner->clock);
  owner_refresh (owner);
}

void
owner_refresh (struct owner *owner)
{
  owner->range_due_ns = MIN (owner->range_due_ns, clock_now (owner->clock));
}

void
owner_stop (struct owner *owner)
{
  owner->stopping = true;
  owner_lose_all (owner);
  owner->lease_due_ns = clock_now (owner->clock);
  owner->stopped = owner->lease == 0 && !owner->lease_call_open;
}

bool
owner_is_stopped (const struct owner *owner)
{
  return owner->stopped
         || (owner->stopping
             && clock_now (owner->clock) >= owner->lease_expires_ns);
}

bool
owner_holds (const struct owner *owner, unsigned partition,
             uint64_t *fencing_token)
{
  const struct owner_record *record = &owner->records[partition];

  assert (partition < owner->settings.partition_count);
  if (fencing_token != NULL)
    *fencing_token = record->revision;
  return record->held
         && clock_now (owner->clock)
                < owner->lease_expires_ns - owner->settings.lease_margin_ns;
}

void
owner_record_key (unsigned partition, char key[OWNER_KEY_MAX])
{
  snprintf (key, OWNER_KEY_MAX, OWNER_PREFIX "%04x", partition);
}

unsigned
owner_partition_of_key (const char *organisation, const char *key,
                        unsigned partitions)
{
  char *text
      = g_strdup_printf ("%zu:%s%s", strlen (organisation), organisation, key);
  uint64_t weight = rendezvous_weight (0, text, strlen (text));

  g_free (text);
  return (unsigned)(weight % partitions);
}

/* Returns the index in NODES of the node with the highest weight for
 * PARTITION. The node at index SKIP is ignored; a SKIP of -1 ignores none. */
static int
preferred_index_except (const uint64_t *nodes, size_t count,
                        unsigned partition, int skip)
{
  int best = -1;
  uint64_t best_weight = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight
          = rendezvous_weight (nodes[i], &partition, sizeof partition);

      if ((int)i == skip
          || (best >= 0
              && (weight < best_weight
                  || (weight == best_weight && nodes[i] < nodes[best]))))
        continue;
      best = (int)i;
      best_weight = weight;
    }
  return best;
}

int
owner_preferred_index (const uint64_t *nodes, size_t count, unsigned partition)
{
  unsigned even = partition & ~1U;
  int first = preferred_index_except (nodes, count, even, -1);

  if (partition == even || count < 2)
    return first;
  return preferred_index_except (nodes, count, partition, first);
}
