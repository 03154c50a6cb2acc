#include "fake-kv-store.h"

#include <glib.h>
#include <string.h>

/* Fault that is injected into a call. */
enum call_fault
{
  CALL_FAULT_NONE,
  CALL_FAULT_REPLY_LOST_BEFORE_EFFECT,
  CALL_FAULT_REPLY_LOST_AFTER_EFFECT,
  CALL_FAULT_LIMITED,
  CALL_FAULT_DOWN
};

struct call
{
  struct list node;
  uint64_t number;
  enum fake_kv_call_kind kind;
  enum call_fault fault;
  struct fake_kv_client *client; /* NULL once the client was killed. */
  kv_done done;
  void *data;
  char *key;         /* Key, or prefix of a range or watch. */
  uint64_t argument; /* Lease id, or the revision after which to watch. */
  int64_t lease_ttl_ns;
  GArray *compares;
  GArray *writes;
  bool executed;
  int64_t execute_ns;
  int64_t reply_ns;
  struct kv_reply reply;
  GArray *items; /* Array of struct kv_item; owns their strings. */
};

static void
item_clear (void *data)
{
  struct kv_item *item = data;

  g_free ((char *)item->key);
  g_free ((char *)item->value);
}

static void
call_free (struct call *call)
{
  list_remove (&call->node);
  for (guint i = 0; call->compares != NULL && i < call->compares->len; i++)
    g_free ((char *)g_array_index (call->compares, struct kv_compare, i).key);
  for (guint i = 0; call->writes != NULL && i < call->writes->len; i++)
    {
      g_free ((char *)g_array_index (call->writes, struct kv_write, i).key);
      g_free ((char *)g_array_index (call->writes, struct kv_write, i).value);
    }
  if (call->compares != NULL)
    g_array_unref (call->compares);
  if (call->writes != NULL)
    g_array_unref (call->writes);
  g_array_unref (call->items);
  g_free (call->key);
  g_free (call);
}

/* Collect the items that match the key or prefix of CALL and were changed
 * after the revision in its argument. */
static void
call_collect_items (struct fake_kv *fake, struct call *call)
{
  bool exact = call->kind == FAKE_KV_GET;
  GTreeNode *at = g_tree_lower_bound (fake->items, call->key);

  for (; at != NULL; at = g_tree_node_next (at))
    {
      const char *key = g_tree_node_key (at);
      const struct fake_kv_item *item = g_tree_node_value (at);
      struct kv_item found = { 0 };

      if (exact ? strcmp (key, call->key) != 0
                : !g_str_has_prefix (key, call->key))
        break;
      if (item->revision <= call->argument)
        continue;
      found.key = g_strdup (key);
      found.value = g_strdup (item->value);
      found.revision = item->revision;
      g_array_append_val (call->items, found);
    }
}

static void
watch_collect_deletions (struct fake_kv *fake, struct call *call)
{
  GHashTableIter iter;
  gpointer key;
  gpointer revision;

  g_hash_table_iter_init (&iter, fake->deletions);
  while (g_hash_table_iter_next (&iter, &key, &revision))
    if (g_str_has_prefix (key, call->key)
        && GPOINTER_TO_SIZE (revision) > call->argument)
      {
        struct kv_item found = { .key = g_strdup (key),
                                 .value = g_strdup (""),
                                 .revision = GPOINTER_TO_SIZE (revision),
                                 .deleted = true };

        g_array_append_val (call->items, found);
      }
}

static enum status
txn_check (struct fake_kv *fake, const struct call *call)
{
  for (guint i = 0; i < call->writes->len; i++)
    {
      const struct kv_write *write
          = &g_array_index (call->writes, struct kv_write, i);

      if (write->value != NULL
          && strlen (write->value) > fake->faults.value_max_bytes)
        return STATUS_TOO_LARGE;
      if (write->lease != 0 && fake_kv_lease_get (fake, write->lease) == NULL)
        return STATUS_CONFLICT;
    }
  for (guint i = 0; i < call->compares->len; i++)
    {
      const struct kv_compare *compare
          = &g_array_index (call->compares, struct kv_compare, i);

      if (fake_kv_key_revision (fake, compare->key) != compare->revision)
        return STATUS_CONFLICT;
    }
  return STATUS_OK;
}

static enum status
txn_apply (struct fake_kv *fake, const struct call *call)
{
  enum status status = txn_check (fake, call);

  if (status != STATUS_OK)
    return status;
  fake->revision++;
  for (guint i = 0; i < call->writes->len; i++)
    {
      const struct kv_write *write
          = &g_array_index (call->writes, struct kv_write, i);

      fake_kv_store_write (fake, write->key, write->value, write->lease);
    }
  return STATUS_OK;
}

static enum status
lease_apply (struct fake_kv *fake, struct call *call)
{
  struct fake_kv_lease *lease;

  if (call->kind == FAKE_KV_LEASE_GRANT)
    {
      lease = g_new0 (struct fake_kv_lease, 1);
      lease->id = ++fake->last_lease_id;
      lease->ttl_ns = call->lease_ttl_ns;
      lease->expires_ns = call->execute_ns + call->lease_ttl_ns;
      list_append (&fake->leases, &lease->node);
      call->reply.lease = lease->id;
      return STATUS_OK;
    }
  lease = fake_kv_lease_get (fake, call->argument);
  if (lease == NULL)
    return STATUS_NOT_FOUND;
  if (call->kind == FAKE_KV_LEASE_REVOKE)
    fake_kv_lease_remove (fake, lease);
  else
    lease->expires_ns = call->execute_ns + lease->ttl_ns;
  return STATUS_OK;
}

static enum status
call_apply (struct fake_kv *fake, struct call *call)
{
  switch (call->kind)
    {
    case FAKE_KV_TXN:
      return txn_apply (fake, call);
    case FAKE_KV_GET:
      call_collect_items (fake, call);
      return call->items->len > 0 ? STATUS_OK : STATUS_NOT_FOUND;
    case FAKE_KV_WATCH:
      if (call->argument > fake->revision)
        return STATUS_STALE;
      call_collect_items (fake, call);
      if (fake->reports_deletions)
        watch_collect_deletions (fake, call);
      return STATUS_OK;
    case FAKE_KV_RANGE:
      call_collect_items (fake, call);
      return STATUS_OK;
    default:
      return lease_apply (fake, call);
    }
}

static void
call_execute (struct fake_kv *fake, struct call *call)
{
  call->executed = true;
  call->reply.era = fake->era;
  switch (call->fault)
    {
    case CALL_FAULT_DOWN:
      call->reply.status = STATUS_UNAVAILABLE;
      break;
    case CALL_FAULT_LIMITED:
      call->reply.status = STATUS_LIMITED;
      break;
    case CALL_FAULT_REPLY_LOST_BEFORE_EFFECT:
      call->reply.status = STATUS_UNKNOWN;
      call->reply.era = 0;
      break;
    case CALL_FAULT_REPLY_LOST_AFTER_EFFECT:
      call_apply (fake, call);
      call->reply.status = STATUS_UNKNOWN;
      call->reply.lease = 0;
      call->reply.era = 0;
      g_array_set_size (call->items, 0);
      break;
    default:
      call->reply.status = call_apply (fake, call);
    }
  call->reply.revision = fake->revision;
}

static void
call_reply_send (struct call *call)
{
  struct kv_reply reply = call->reply;

  list_remove (&call->node);
  if (call->kind == FAKE_KV_WATCH && call->client != NULL)
    call->client->service->pending_watch_count--;
  reply.items = (const struct kv_item *)(void *)call->items->data;
  reply.item_count = call->items->len;
  if (call->client != NULL)
    call->done (call->data, &reply);
  call_free (call);
}

/* Time of the next step of CALL. A pending watch is executed again after each
 * write to the service. */
static int64_t
call_due_ns (const struct fake_kv *fake, const struct call *call)
{
  if (!call->executed)
    return call->execute_ns;
  if (call->client != NULL && call->client->paused)
    return CLOCK_NEVER;
  if (call->kind == FAKE_KV_WATCH && call->reply.status == STATUS_OK
      && (call->items->len > 0 || fake->revision > call->reply.revision))
    return call->execute_ns;
  return call->reply_ns;
}

static struct call *
call_next_due (const struct fake_kv *fake, int64_t *due)
{
  struct call *first = NULL;

  *due = CLOCK_NEVER;
  for (struct list *at = fake->pending_calls.next; at != &fake->pending_calls;
       at = at->next)
    {
      struct call *call = LIST_ENTRY (at, struct call, node);
      int64_t call_at = call_due_ns (fake, call);

      if (call_at < *due)
        {
          first = call;
          *due = call_at;
        }
    }
  return first;
}

/* Execute CALL, or reply to it if it was executed.
 *
 * @return Whether the call ended with a reply. */
static bool
call_advance (struct fake_kv *fake, struct call *call)
{
  if (!call->executed)
    {
      call_execute (fake, call);
      return false;
    }
  if (call->kind == FAKE_KV_WATCH && call->reply.status == STATUS_OK
      && call->items->len == 0 && fake->revision > call->reply.revision)
    {
      call_execute (fake, call);
      return false;
    }
  call_reply_send (call);
  return true;
}

static bool
rate_allows (struct fake_kv *fake)
{
  int64_t now = clock_now (fake->clock);
  double rate = fake->faults.calls_per_s_max;

  if (rate <= 0)
    return true;
  fake->allowed_calls += rate * (double)(now - fake->allowed_calls_updated_ns)
                         / (double)NS_PER_S;
  fake->allowed_calls_updated_ns = now;
  /* Limits bursts to the calls of a tenth of a second, at least one call. */
  fake->allowed_calls = MIN (fake->allowed_calls, MAX (1.0, rate / 10));
  if (fake->allowed_calls < 1)
    return false;
  fake->allowed_calls -= 1;
  return true;
}

static enum call_fault
call_fault_draw (struct fake_kv_client *client, enum fake_kv_call_kind kind)
{
  struct fake_kv *fake = client->service;
  struct fake_kv_faults *faults = &fake->faults;

  if (faults->down || client->down)
    return CALL_FAULT_DOWN;
  if (!rate_allows (fake) || rng_uniform (&fake->rng) < faults->limited_share)
    {
      fake->limited_count++;
      return CALL_FAULT_LIMITED;
    }
  if (kind == FAKE_KV_TXN && faults->txns_lost_before_effect > 0)
    {
      faults->txns_lost_before_effect--;
      return CALL_FAULT_REPLY_LOST_BEFORE_EFFECT;
    }
  if (kind == FAKE_KV_TXN && faults->txns_lost_after_effect > 0)
    {
      faults->txns_lost_after_effect--;
      return CALL_FAULT_REPLY_LOST_AFTER_EFFECT;
    }
  if (rng_uniform (&fake->rng) < faults->lost_before_effect_share)
    return CALL_FAULT_REPLY_LOST_BEFORE_EFFECT;
  return rng_uniform (&fake->rng) < faults->lost_after_effect_share
             ? CALL_FAULT_REPLY_LOST_AFTER_EFFECT
             : CALL_FAULT_NONE;
}

static struct call *
call_new (struct kv *kv, enum fake_kv_call_kind kind, const char *key,
          kv_done done, void *data)
{
  struct fake_kv_client *client = LIST_ENTRY (kv, struct fake_kv_client, kv);
  struct fake_kv *fake = client->service;
  struct call *call = g_new0 (struct call, 1);
  int64_t latency = fake->faults.latency_ns;

  if (fake->faults.jitter_ns > 0)
    latency
        += (int64_t)rng_below (&fake->rng, (uint64_t)fake->faults.jitter_ns);
  if ((fake->faults.late_kinds == 0 || fake->faults.late_kinds & 1u << kind)
      && rng_uniform (&fake->rng) < fake->faults.late_share)
    latency += fake->faults.late_latency_ns;
  fake->call_counts[kind]++;
  call->number = ++fake->last_call_number;
  call->kind = kind;
  call->client = client;
  call->done = done;
  call->data = data;
  call->key = g_strdup (key);
  call->items = g_array_new (FALSE, FALSE, sizeof (struct kv_item));
  g_array_set_clear_func (call->items, item_clear);
  call->fault = call_fault_draw (client, kind);
  call->execute_ns = clock_now (fake->clock) + latency / 2;
  call->reply_ns = clock_now (fake->clock) + latency;
  list_append (&fake->pending_calls, &call->node);
  return call;
}

static void
op_get (struct kv *kv, const char *key, kv_done done, void *data)
{
  call_new (kv, FAKE_KV_GET, key, done, data);
}

static void
op_range (struct kv *kv, const char *prefix, kv_done done, void *data)
{
  call_new (kv, FAKE_KV_RANGE, prefix, done, data);
}

static void
op_txn (struct kv *kv, const struct kv_txn *txn, kv_done done, void *data)
{
  struct call *call = call_new (kv, FAKE_KV_TXN, NULL, done, data);

  call->compares = g_array_new (FALSE, FALSE, sizeof (struct kv_compare));
  call->writes = g_array_new (FALSE, FALSE, sizeof (struct kv_write));
  for (size_t i = 0; i < txn->compare_count; i++)
    {
      struct kv_compare compare = txn->compares[i];

      compare.key = g_strdup (compare.key);
      g_array_append_val (call->compares, compare);
    }
  for (size_t i = 0; i < txn->write_count; i++)
    {
      struct kv_write write = txn->writes[i];

      write.key = g_strdup (write.key);
      write.value = g_strdup (write.value);
      g_array_append_val (call->writes, write);
    }
}

static void
op_lease_grant (struct kv *kv, int64_t ttl_ns, kv_done done, void *data)
{
  call_new (kv, FAKE_KV_LEASE_GRANT, NULL, done, data)->lease_ttl_ns = ttl_ns;
}

static void
op_lease_keepalive (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  call_new (kv, FAKE_KV_LEASE_KEEPALIVE, NULL, done, data)->argument = lease;
}

static void
op_lease_revoke (struct kv *kv, uint64_t lease, kv_done done, void *data)
{
  call_new (kv, FAKE_KV_LEASE_REVOKE, NULL, done, data)->argument = lease;
}

static void
op_watch (struct kv *kv, const char *prefix, uint64_t after, int64_t wait_ns,
          kv_done done, void *data)
{
  struct call *call = call_new (kv, FAKE_KV_WATCH, prefix, done, data);

  call->argument = after;
  if (call->fault == CALL_FAULT_NONE)
    call->reply_ns += wait_ns;
  call->client->service->pending_watch_count++;
}

static const struct kv_ops fake_ops = {
  .get = op_get,
  .range = op_range,
  .txn = op_txn,
  .lease_grant = op_lease_grant,
  .lease_keepalive = op_lease_keepalive,
  .lease_revoke = op_lease_revoke,
  .watch = op_watch,
};

void
fake_kv_init (struct fake_kv *fake, const struct clock *clock, uint64_t seed)
{
  memset (fake, 0, sizeof *fake);
  fake->faults.latency_ns = 2 * NS_PER_MS;
  fake->faults.value_max_bytes = KV_VALUE_MAX;
  fake->clock = clock;
  rng_init (&fake->rng, seed);
  fake_kv_store_init (fake);
  list_init (&fake->pending_calls);
}

void
fake_kv_finish (struct fake_kv *fake)
{
  while (!list_empty (&fake->pending_calls))
    call_free (LIST_ENTRY (fake->pending_calls.next, struct call, node));
  fake_kv_backup_free (fake);
  fake_kv_store_finish (fake);
}

void
fake_kv_client_init (struct fake_kv_client *client, struct fake_kv *fake)
{
  client->kv.ops = &fake_ops;
  client->service = fake;
  client->down = false;
  client->paused = false;
}

void
fake_kv_client_kill (struct fake_kv_client *client)
{
  struct fake_kv *fake = client->service;

  for (struct list *at = fake->pending_calls.next; at != &fake->pending_calls;
       at = at->next)
    {
      struct call *call = LIST_ENTRY (at, struct call, node);

      if (call->client != client)
        continue;
      call->client = NULL;
      if (call->kind == FAKE_KV_WATCH)
        {
          fake->pending_watch_count--;
          call->reply_ns = 0;
        }
    }
}

void
fake_kv_client_finish (struct fake_kv_client *client)
{
  struct fake_kv *fake = client->service;
  struct kv_reply reply = { .status = STATUS_CANCELLED };
  GArray *pending = g_array_new (FALSE, FALSE, sizeof (struct call));

  for (struct list *at = fake->pending_calls.next; at != &fake->pending_calls;
       at = at->next)
    if (LIST_ENTRY (at, struct call, node)->client == client)
      g_array_append_val (pending, *LIST_ENTRY (at, struct call, node));
  fake_kv_client_kill (client);
  for (guint i = 0; i < pending->len; i++)
    {
      const struct call *call = &g_array_index (pending, struct call, i);

      call->done (call->data, &reply);
    }
  g_array_unref (pending);
}

size_t
fake_kv_step (struct fake_kv *fake)
{
  int64_t now = clock_now (fake->clock);
  size_t reply_count = 0;

  while (true)
    {
      int64_t call_at, lease_at;
      struct call *call = call_next_due (fake, &call_at);
      struct fake_kv_lease *lease
          = fake_kv_lease_next_expiring (fake, &lease_at);

      if (MIN (call_at, lease_at) > now)
        return reply_count;
      if (lease != NULL && lease_at <= call_at)
        fake_kv_lease_remove (fake, lease);
      else if (call != NULL && call_advance (fake, call))
        reply_count++;
    }
}

int64_t
fake_kv_next_tick_ns (const struct fake_kv *fake)
{
  int64_t call_at, lease_at;

  call_next_due (fake, &call_at);
  fake_kv_lease_next_expiring (fake, &lease_at);
  return MIN (call_at, lease_at);
}

uint64_t
fake_kv_call_count (const struct fake_kv *fake)
{
  uint64_t total = 0;

  for (int i = 0; i < FAKE_KV_KIND_COUNT; i++)
    total += fake->call_counts[i];
  return total;
}
