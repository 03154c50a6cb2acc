#include "presence.h"
#include "presencerecord.h"
#include "rendezvous.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Number of renewals sent in one lifetime of the lease. There are
   * several, so that one may be lost. */
  RENEWALS_PER_TTL = 3,
  /* Delay before a failed call is retried. During an outage the KV
   * interface itself delays calls for longer. */
  RETRY_MS = 100
};

static void lease_renew (struct presence *presence);

void
presence_init (struct presence *presence, struct kv *kv,
               const struct clock *clock, const char *key,
               const struct presence_host *self, int64_t ttl_ns)
{
  memset (presence, 0, sizeof *presence);
  presence->kv = kv;
  presence->clock = clock;
  presence->key = g_strdup (key);
  presence->self = *self;
  presence->ttl_ns = ttl_ns;
  presence->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  presence->order = g_new0 (struct presence_order, 1);
  departures_init (&presence->departures);
}

void
presence_finish (struct presence *presence)
{
  if (presence->order->hosts != NULL)
    g_ptr_array_free (presence->order->hosts, TRUE);
  g_free (presence->order);
  g_hash_table_destroy (presence->hosts);
  departures_finish (&presence->departures);
  g_free (presence->key);
}

void
presence_leave (struct presence *presence)
{
  presence->self.leaving = true;
  presence->key_is_current = false;
}

const char *
presence_host_name (const char *key)
{
  const char *slash = strrchr (key, '/');

  return slash != NULL ? slash + 1 : key;
}

void
presence_announce_oldest_version (struct presence *presence, const char *model,
                                  uint64_t version)
{
  presencerecord_set_weights (&presence->self, model, version);
  presence->key_is_current = false;
}

void
presence_announce_usual_subsets (struct presence *presence, bool keeps)
{
  if (presence->self.keeps_usual_subsets == keeps)
    return;
  presence->self.keeps_usual_subsets = keeps;
  presence->key_is_current = false;
}

bool
presence_most_keep_usual_subsets (const struct presence *presence)
{
  GHashTableIter iter;
  gpointer host;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &host))
    count += ((const struct presence_host *)host)->keeps_usual_subsets;
  return 2 * count > g_hash_table_size (presence->hosts);
}

uint64_t
presence_host_oldest_version (const struct presence_host *host,
                              const char *model)
{
  for (unsigned i = 0; i < host->weights_count; i++)
    if (strcmp (host->weights[i].model, model) == 0)
      return host->weights[i].oldest_version;
  return 0;
}

enum status
presence_key_put (struct presence *presence, const char *key,
                  const char *value, struct error *error)
{
  struct presence_host *host;
  enum status status;

  if (strcmp (key, presence->key) == 0)
    return STATUS_OK;
  host = g_new0 (struct presence_host, 1);
  status = presencerecord_decode (value, host, error);
  if (status != STATUS_OK)
    {
      g_free (host);
      return status;
    }
  g_hash_table_replace (presence->hosts, g_strdup (key), host);
  presence->generation++;
  return STATUS_OK;
}

void
presence_key_removed (struct presence *presence, const char *key)
{
  if (g_hash_table_remove (presence->hosts, key))
    departures_record (&presence->departures, clock_now (presence->clock));
  presence->generation++;
  /* This host's key was deleted or its lease has expired, so the key must be
   * written again. */
  if (strcmp (key, presence->key) == 0)
    {
      presence->key_is_current = false;
      presence->listed_lease = 0;
    }
}

static void
lease_extend (struct presence *presence, int64_t sent_ns)
{
  /* The record did not vanish, but this host may not have read which hosts
   * have joined meanwhile. It waits for as long as if its record were as old
   * as a lease lasts. */
  if (clock_boottime (presence->clock) >= presence->lease_expiry_ns)
    presence->listed_ns = MAX (presence->listed_ns,
                               clock_now (presence->clock) - presence->ttl_ns);
  presence->lease_expiry_ns = sent_ns + presence->ttl_ns;
}

struct renewal
{
  struct presence *presence;
  /* Boot time at which the call was sent. The lease runs from the arrival of
   * the call, which is later, so it lasts at least ttl_ns from this time. */
  int64_t sent_ns;
};

static void
renewal_schedule_retry (struct presence *presence)
{
  presence->next_renewal_ns
      = clock_now (presence->clock) + RETRY_MS * NS_PER_MS;
}

static struct renewal *
renewal_new (struct presence *presence)
{
  struct renewal *renewal = g_new0 (struct renewal, 1);

  renewal->presence = presence;
  renewal->sent_ns = clock_boottime (presence->clock);
  presence->call_pending = true;
  presence->next_renewal_ns
      = clock_now (presence->clock) + presence->ttl_ns / RENEWALS_PER_TTL;
  return renewal;
}

static void
lease_granted (void *data, const struct kv_reply *reply)
{
  struct renewal *renewal = data;
  struct presence *presence = renewal->presence;

  presence->call_pending = false;
  if (reply->status == STATUS_OK)
    {
      presence->lease = reply->lease;
      presence->key_is_current = false;
      lease_extend (presence, renewal->sent_ns);
    }
  else
    renewal_schedule_retry (presence);
  g_free (renewal);
}

static void
lease_kept_alive (void *data, const struct kv_reply *reply)
{
  struct renewal *renewal = data;
  struct presence *presence = renewal->presence;

  presence->call_pending = false;
  if (reply->status == STATUS_OK)
    lease_extend (presence, renewal->sent_ns);
  else if (reply->status == STATUS_NOT_FOUND)
    {
      presence->lease = 0;
      lease_renew (presence);
    }
  else
    renewal_schedule_retry (presence);
  g_free (renewal);
}

static void
lease_renew (struct presence *presence)
{
  struct renewal *renewal = renewal_new (presence);

  if (presence->lease == 0)
    presence->kv->ops->lease_grant (presence->kv, presence->ttl_ns,
                                    lease_granted, renewal);
  else
    presence->kv->ops->lease_keepalive (presence->kv, presence->lease,
                                        lease_kept_alive, renewal);
}

static void
key_written (void *data, const struct kv_reply *reply)
{
  struct presence *presence = data;

  presence->call_pending = false;
  if (reply->status == STATUS_OK)
    {
      if (presence->listed_lease != presence->lease)
        presence->listed_ns = clock_now (presence->clock);
      presence->listed_lease = presence->lease;
      return;
    }
  presence->key_is_current = false;
  if (reply->status != STATUS_NOT_FOUND)
    return;
  presence->lease = 0;
  renewal_schedule_retry (presence);
}

static void
key_write (struct presence *presence)
{
  char *value = presencerecord_encode (&presence->self);
  struct kv_write write
      = { .key = presence->key, .value = value, .lease = presence->lease };
  struct kv_txn txn = { .writes = &write, .write_count = 1 };

  presence->call_pending = true;
  presence->key_is_current = true;
  presence->kv->ops->txn (presence->kv, &txn, key_written, presence);
  g_free (value);
}

void
presence_era_changed (struct presence *presence)
{
  presence->lease = 0;
  presence->listed_lease = 0;
  presence->key_is_current = false;
  presence->next_renewal_ns = clock_now (presence->clock);
}

void
presence_tick (struct presence *presence)
{
  if (presence->call_pending)
    return;
  if (clock_now (presence->clock) >= presence->next_renewal_ns)
    lease_renew (presence);
  else if (presence->lease != 0 && !presence->key_is_current)
    key_write (presence);
}

bool
presence_lease_is_valid_for (const struct presence *presence, int64_t span_ns)
{
  return presence->lease != 0
         && clock_boottime (presence->clock) + span_ns
                < presence->lease_expiry_ns;
}

int64_t
presence_listed_ns (const struct presence *presence)
{
  return presence->listed_lease != 0
                 && presence->listed_lease == presence->lease
                 && presence_lease_is_valid_for (presence, 0)
             ? presence->listed_ns
             : 0;
}

unsigned
presence_serving_count (const struct presence *presence)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = presence->self.leaving ? 0 : 1;

  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += !((const struct presence_host *)value)->leaving;
  return count > 0 ? count : 1;
}

bool
presence_all_have_form (const struct presence *presence, unsigned form)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct presence_host *)value)->form < form)
      return false;
  return true;
}

static uint64_t
host_weight (const struct presence_host *host, const void *key, size_t size)
{
  return rendezvous_weight (XXH3_64bits (host->peer, strlen (host->peer)), key,
                            size);
}

static unsigned
rank_count (const struct presence *presence, const void *key, size_t size,
            bool leaving)
{
  uint64_t own = host_weight (&presence->self, key, size);
  GHashTableIter iter;
  gpointer value;
  unsigned rank = 0;

  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct presence_host *host = value;

      rank += (leaving || !host->leaving)
              && host_weight (host, key, size) > own;
    }
  return rank;
}

unsigned
presence_rank (const struct presence *presence, const void *key, size_t size)
{
  return rank_count (presence, key, size, false);
}

unsigned
presence_rank_of_all (const struct presence *presence, const void *key,
                      size_t size)
{
  return rank_count (presence, key, size, true);
}

struct weighted_host
{
  uint64_t weight;
  const char *key; /* NULL for this host. */
};

static int
weighted_host_compare (gconstpointer a, gconstpointer b)
{
  const struct weighted_host *first = a;
  const struct weighted_host *second = b;

  return (first->weight < second->weight) - (first->weight > second->weight);
}

GPtrArray *
presence_first_hosts (const struct presence *presence, const void *key,
                      size_t size, unsigned max)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (struct weighted_host));
  struct weighted_host host
      = { host_weight (&presence->self, key, size), NULL };
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_array_append_val (hosts, host);
  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      host = (struct weighted_host){ host_weight (value, key, size), name };
      g_array_append_val (hosts, host);
    }
  g_array_sort (hosts, weighted_host_compare);
  for (guint i = 0; i < MIN (hosts->len, max); i++)
    g_ptr_array_add (
        keys, g_strdup (g_array_index (hosts, struct weighted_host, i).key));
  g_array_free (hosts, TRUE);
  return keys;
}

struct host_record
{
  const char *key;
  const struct presence_host *host;
};

static int
record_compare (const struct host_record *left,
                const struct host_record *right)
{
  int order = strcmp (left->host->data_centre, right->host->data_centre);

  return order != 0 ? order : strcmp (left->key, right->key);
}

static gint
record_compare_pointers (gconstpointer a, gconstpointer b)
{
  return record_compare (a, b);
}

/* Sort the hosts of PRESENCE anew. */
static void
order_update (const struct presence *presence, struct presence_order *order)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (struct host_record));
  struct host_record record = { presence->key, &presence->self };
  GHashTableIter iter;
  gpointer key, host;

  g_array_append_val (records, record);
  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, &key, &host))
    {
      record = (struct host_record){ key, host };
      g_array_append_val (records, record);
    }
  g_array_sort (records, record_compare_pointers);
  if (order->hosts == NULL)
    order->hosts = g_ptr_array_new ();
  g_ptr_array_set_size (order->hosts, 0);
  for (guint i = 0; i < records->len; i++)
    {
      const struct presence_host *host_at
          = g_array_index (records, struct host_record, i).host;
      bool is_self = host_at == &presence->self;

      if (is_self)
        order->own_index = i;
      g_ptr_array_add (order->hosts, is_self ? NULL : (gpointer)host_at);
    }
  g_array_free (records, TRUE);
  order->generation = presence->generation;
}

/* Hosts are sorted when they have changed, not for each datagram. */
static const struct presence_order *
order_current (const struct presence *presence)
{
  struct presence_order *order = presence->order;

  if (order->hosts == NULL || order->generation != presence->generation)
    order_update (presence, order);
  return order;
}

/* While the hosts change one after the other, as in the first read of all,
 * counting is cheaper than sorting. */
unsigned
presence_own_index (const struct presence *presence)
{
  struct host_record self = { presence->key, &presence->self };
  const struct presence_order *order = presence->order;
  GHashTableIter iter;
  gpointer key, host;
  unsigned index = 0;

  if (order->hosts != NULL && order->generation == presence->generation)
    return order->own_index;
  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, &key, &host))
    {
      struct host_record other = { key, host };

      index += record_compare (&other, &self) < 0;
    }
  return index;
}

const GPtrArray *
presence_sorted_hosts (const struct presence *presence)
{
  return order_current (presence)->hosts;
}

/* Return the addresses of the hosts that serve and that ALLOWS, unless it is
 * NULL, in their order, beginning with this host. The caller frees the array.
 */
static GPtrArray *
serving_addresses (const struct presence *presence,
                   presence_allows_host allows, const void *data)
{
  const GPtrArray *hosts = presence_sorted_hosts (presence);
  unsigned own = presence_own_index (presence);
  GPtrArray *addresses = g_ptr_array_new ();

  for (guint i = 0; i < hosts->len; i++)
    {
      const struct presence_host *host = hosts->pdata[(own + i) % hosts->len];

      if (host == NULL)
        host = &presence->self;
      if (!host->leaving && (allows == NULL || allows (data, host)))
        g_ptr_array_add (addresses, (gpointer)host->address);
    }
  return addresses;
}

void
presence_list_addresses (const struct presence *presence, GPtrArray *addresses)
{
  presence_list_allowed (presence, NULL, NULL, addresses);
}

void
presence_list_allowed (const struct presence *presence,
                       presence_allows_host allows, const void *data,
                       GPtrArray *addresses)
{
  GPtrArray *serving = serving_addresses (presence, allows, data);
  guint count;

  if (serving->len == 0 && allows != NULL)
    {
      g_ptr_array_free (serving, TRUE);
      serving = serving_addresses (presence, NULL, NULL);
    }
  count = MIN (serving->len, PRESENCE_ADDRESSES_MAX);

  /* A list that can't hold all hosts has some of each data centre. Those that
   * follow each other are in the same one, whose callers, if they are more
   * than elsewhere, would find its hosts busier than the others. */
  for (guint i = 0; i < count; i++)
    g_ptr_array_add (addresses, serving->pdata[i * serving->len / count]);
  if (count == 0)
    g_ptr_array_add (addresses, (gpointer)presence->self.address);
  g_ptr_array_free (serving, TRUE);
}
