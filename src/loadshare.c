#include "loadshare.h"
#include "loadshare.pb-c.h"
#include "serverreach.h"
#include "serverslowness.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* Maximum number of servers in one datagram; a host uses fewer. */
  SERVERS_MAX = 64,
  /* Maximum number of services in one datagram. */
  OUT_MAX = 16,
  /* Age at which the last report of a host is dropped. */
  REPORT_EXPIRY_MS = 1500,
  /* An engine that is reported to load weights gets no requests for this
   * time, within which the next datagrams are due. */
  LOADING_HOLD_MS = 400
};

/* The load at one server that one host has reported, or the sum over several
 * hosts. */
struct server_load
{
  uint32_t server_hash;
  uint64_t prefill_tokens;
  uint64_t memory_tokens;
  unsigned running;
};

struct loadshare_peer
{
  uint64_t process_start;
  uint32_t sequence;
  int64_t received_ns;
  GArray *loads; /* Array of struct server_load. */
  /* Hashes of the services that the host can't reach. */
  uint64_t out[OUT_MAX];
  unsigned out_count;
};

static void
peer_free (void *data)
{
  struct loadshare_peer *peer = data;

  g_array_free (peer->loads, TRUE);
  g_free (peer);
}

void
loadshare_init (struct loadshare *loadshare, struct servers *servers,
                const struct clock *clock, const char *host,
                uint64_t process_start, const struct loadshare_ops *ops,
                void *data)
{
  memset (loadshare, 0, sizeof *loadshare);
  loadshare->servers = servers;
  loadshare->clock = clock;
  loadshare->host = g_strdup (host);
  loadshare->process_start = process_start;
  loadshare->ops = ops;
  loadshare->data = data;
  loadshare->loaded
      = g_ptr_array_new_with_free_func ((GDestroyNotify)server_unref);
  loadshare->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
  lateness_init (&loadshare->lateness);
}

void
loadshare_finish (struct loadshare *loadshare)
{
  lateness_finish (&loadshare->lateness);
  g_hash_table_destroy (loadshare->peers);
  g_ptr_array_free (loadshare->loaded, TRUE);
  g_free (loadshare->host);
}

/* A datagram that is being built: the protobuf message and the memory that its
 * pointers refer to. */
struct load_datagram
{
  Trefoilspar__LoadShare message;
  Trefoilspar__ServerShare shares[SERVERS_MAX];
  Trefoilspar__ServerShare *share_pointers[SERVERS_MAX];
  Trefoilspar__ServerWeights weights[SERVERS_MAX];
  Trefoilspar__ServerWeights *weights_pointers[SERVERS_MAX];
  uint32_t swapping[SERVERS_MAX];
  uint64_t out[OUT_MAX];
  Trefoilspar__StatedSlowness slowness[SERVERS_MAX];
  Trefoilspar__StatedSlowness *slowness_pointers[SERVERS_MAX];
};

static void
datagram_add_load (struct load_datagram *datagram, const struct server *server)
{
  size_t count = datagram->message.n_servers;
  Trefoilspar__ServerShare *share = &datagram->shares[count];

  if (server->removed || count == SERVERS_MAX)
    return;
  trefoilspar__server_share__init (share);
  share->server = server->id_hash;
  share->prefill = (uint32_t)server->pending_prefill_tokens;
  share->memory = (uint32_t)server->in_flight_tokens;
  share->running = server->in_flight_requests;
  datagram->share_pointers[count] = share;
  datagram->message.n_servers++;
}

static void
datagram_add_weights (const struct loadshare *loadshare,
                      struct load_datagram *datagram,
                      const struct server *server)
{
  size_t count = datagram->message.n_weights;
  Trefoilspar__ServerWeights *weights = &datagram->weights[count];
  uint64_t version = loadshare->ops->weight_version (loadshare->data, server);

  if (version == 0 || count == SERVERS_MAX)
    return;
  if (loadshare->ops->is_loading_weights (loadshare->data, server))
    {
      if (datagram->message.n_swapping < SERVERS_MAX)
        datagram->swapping[datagram->message.n_swapping++] = server->id_hash;
      return;
    }
  trefoilspar__server_weights__init (weights);
  weights->server = server->id_hash;
  weights->version = version;
  datagram->weights_pointers[count] = weights;
  datagram->message.n_weights++;
}

static void
datagram_add_all_weights (const struct loadshare *loadshare,
                          struct load_datagram *datagram)
{
  GHashTableIter iter;
  gpointer server;

  g_hash_table_iter_init (&iter, loadshare->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &server))
    datagram_add_weights (loadshare, datagram, server);
}

/* Add what servers stated to this host of their slowness. */
static void
datagram_add_slowness (const struct loadshare *loadshare,
                       struct load_datagram *datagram)
{
  Trefoilspar__LoadShare *message = &datagram->message;
  const GPtrArray *stating = loadshare->servers->stating_slowness;
  int64_t now = clock_now (loadshare->clock);

  servers_drop_stating_slowness (loadshare->servers);
  message->slowness = datagram->slowness_pointers;
  for (guint i = 0; i < stating->len && i < SERVERS_MAX; i++)
    {
      const struct server *server = stating->pdata[i];
      Trefoilspar__StatedSlowness *slowness = &datagram->slowness[i];

      trefoilspar__stated_slowness__init (slowness);
      slowness->server = server->id_hash;
      slowness->percent = (uint32_t)lround (100 * server->speed.slowness);
      slowness->age_ms
          = (uint32_t)((now - server->speed.heard_ns) / NS_PER_MS);
      datagram->slowness_pointers[i] = slowness;
      message->n_slowness++;
    }
  if (message->n_slowness > 0)
    message->sent_ns = clock_boottime (loadshare->clock);
}

static void
datagram_add_changes (const struct loadshare *loadshare,
                      Trefoilspar__LoadShare *message)
{
  struct loadshare_changes changes = { 0 };

  if (loadshare->ops->changes_known == NULL)
    return;
  loadshare->ops->changes_known (loadshare->data, &changes);
  message->kv_era = changes.era;
  message->operator_change = changes.operator_revision;
  message->servers_change = changes.servers_revision;
}

size_t
loadshare_encode (struct loadshare *loadshare,
                  uint8_t bytes[LOADSHARE_BYTES_MAX])
{
  struct load_datagram datagram = { .message = TREFOILSPAR__LOAD_SHARE__INIT };
  Trefoilspar__LoadShare *message = &datagram.message;
  struct servers *servers = loadshare->servers;

  message->host = loadshare->host;
  message->start = loadshare->process_start;
  message->number = ++loadshare->sequence;
  message->servers = datagram.share_pointers;
  message->weights = datagram.weights_pointers;
  message->swapping = datagram.swapping;
  message->out = datagram.out;
  message->n_out
      = servers_list_out (loadshare->servers, datagram.out, OUT_MAX);
  servers_drop_unused (servers);
  for (guint i = 0; i < servers->used->len; i++)
    datagram_add_load (&datagram, servers->used->pdata[i]);
  if (loadshare->ops->reports_weights (loadshare->data))
    datagram_add_all_weights (loadshare, &datagram);
  datagram_add_slowness (loadshare, &datagram);
  datagram_add_changes (loadshare, message);
  while (trefoilspar__load_share__get_packed_size (message)
         > LOADSHARE_BYTES_MAX)
    if (message->n_slowness > 0)
      message->n_slowness--;
    else if (message->n_weights > 0)
      message->n_weights--;
    else
      message->n_servers--;
  return trefoilspar__load_share__pack (message, bytes);
}

static void
load_add (struct server_load *sum, const struct server_load *load)
{
  sum->prefill_tokens += load->prefill_tokens;
  sum->memory_tokens += load->memory_tokens;
  sum->running += load->running;
}

/* Returns the factor that turns the reported load at SERVER into an estimate
 * for all other hosts. A server of this host's subset is used only by hosts
 * that report to this host. Other servers are used by all hosts, of which only
 * some report to this host; the others are assumed to cause the same load on
 * average. */
static double
sum_scale (const struct loadshare *loadshare, const struct server *server)
{
  unsigned peers = MAX (g_hash_table_size (loadshare->peers), 1U);

  return MAX ((double)server->sending_host_count - 1, 1) / peers;
}

/* Adds up the reports of the other hosts: a table of struct server_load by the
 * hash of the server. The caller frees it. */
static GHashTable *
reports_sum (const struct loadshare *loadshare)
{
  GHashTable *sums
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loadshare->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct loadshare_peer *peer = value;

      for (guint i = 0; i < peer->loads->len; i++)
        {
          struct server_load *load
              = &g_array_index (peer->loads, struct server_load, i);
          gpointer hash = GUINT_TO_POINTER (load->server_hash);

          if (!g_hash_table_contains (sums, hash))
            g_hash_table_insert (sums, hash, g_new0 (struct server_load, 1));
          load_add (g_hash_table_lookup (sums, hash), load);
        }
    }
  return sums;
}

static void
loaded_clear (struct loadshare *loadshare)
{
  for (guint i = 0; i < loadshare->loaded->len; i++)
    {
      struct server *server = loadshare->loaded->pdata[i];

      server->other_hosts_prefill_tokens = 0;
      server->other_hosts_memory_tokens = 0;
      server->other_hosts_requests = 0;
    }
  g_ptr_array_set_size (loadshare->loaded, 0);
}

/* Estimates, from the reports of the other hosts, which load all other hosts
 * have in flight at each server. Servers without reported load, which
 * may be thousands, are not visited. */
static void
sums_update (struct loadshare *loadshare)
{
  GHashTable *sums = reports_sum (loadshare);
  GHashTableIter iter;
  gpointer hash;
  gpointer value;

  loaded_clear (loadshare);
  g_hash_table_iter_init (&iter, sums);
  while (g_hash_table_iter_next (&iter, &hash, &value))
    {
      const struct server_load *sum = value;
      struct server *server
          = servers_find_hash (loadshare->servers, GPOINTER_TO_UINT (hash));
      double scale;

      if (server == NULL)
        continue;
      scale = sum_scale (loadshare, server);
      server->other_hosts_prefill_tokens
          = (uint64_t)(scale * (double)sum->prefill_tokens);
      server->other_hosts_memory_tokens
          = (uint64_t)(scale * (double)sum->memory_tokens);
      server->other_hosts_requests = (unsigned)(scale * sum->running);
      g_ptr_array_add (loadshare->loaded, server_ref (server));
    }
  g_hash_table_destroy (sums);
  loadshare->sums_stale = false;
}

static bool
peer_is_newer (const struct loadshare_peer *peer,
               const Trefoilspar__LoadShare *message)
{
  return message->start > peer->process_start
         || (message->start == peer->process_start
             && message->number > peer->sequence);
}

static void
peer_update (struct loadshare_peer *peer,
             const Trefoilspar__LoadShare *message)
{
  peer->process_start = message->start;
  peer->sequence = message->number;
  peer->out_count = (unsigned)MIN (message->n_out, OUT_MAX);
  for (unsigned i = 0; i < peer->out_count; i++)
    peer->out[i] = message->out[i];
  g_array_set_size (peer->loads, 0);
  for (size_t i = 0; i < message->n_servers; i++)
    {
      const Trefoilspar__ServerShare *reported = message->servers[i];
      struct server_load load = { reported->server, reported->prefill,
                                  reported->memory, reported->running };

      g_array_append_val (peer->loads, load);
    }
}

/* Handles the weights of engines that the leader of a rollout reports. */
static void
weights_received (struct loadshare *loadshare,
                  const Trefoilspar__LoadShare *message)
{
  int64_t hold_until_ns
      = clock_now (loadshare->clock) + LOADING_HOLD_MS * NS_PER_MS;

  for (size_t i = 0; i < message->n_swapping; i++)
    {
      struct server *server
          = servers_find_hash (loadshare->servers, message->swapping[i]);

      if (server != NULL)
        server_set_busy (server, hold_until_ns);
    }
  for (size_t i = 0; i < message->n_weights; i++)
    {
      struct server *server = servers_find_hash (loadshare->servers,
                                                 message->weights[i]->server);

      if (server != NULL)
        loadshare->ops->weights_reported (loadshare->data, server,
                                          message->weights[i]->version);
    }
}

/* Handles the slowness of servers that another host reports. It is ignored if
 * its age can't be told. */
static void
slowness_received (struct loadshare *loadshare,
                   const Trefoilspar__LoadShare *message)
{
  uint64_t sender
      = MAX (XXH3_64bits_withSeed (message->host, strlen (message->host),
                                   message->start),
             1U);
  int64_t late_ns;

  if (message->sent_ns == 0)
    return;
  late_ns = lateness_record (&loadshare->lateness, sender, message->sent_ns,
                             clock_boottime (loadshare->clock));
  if (late_ns < 0)
    return;
  for (size_t i = 0; i < message->n_slowness; i++)
    {
      const Trefoilspar__StatedSlowness *slowness = message->slowness[i];
      struct server *server
          = servers_find_hash (loadshare->servers, slowness->server);
      int64_t stated_ns = clock_now (loadshare->clock) - late_ns
                          - (int64_t)slowness->age_ms * NS_PER_MS;

      if (server != NULL && slowness->percent >= SERVERSPEED_PERCENT_MIN
          && slowness->percent <= SERVERSPEED_PERCENT_MAX)
        servers_record_slowness (loadshare->servers, server,
                                 slowness->percent / 100.0, stated_ns,
                                 stated_ns, false);
    }
}

static void
changes_received (struct loadshare *loadshare,
                  const Trefoilspar__LoadShare *message)
{
  const struct loadshare_changes changes
      = { message->kv_era, message->operator_change, message->servers_change };

  if (loadshare->ops->changes_known != NULL)
    loadshare->ops->changes_reported (loadshare->data, message->host,
                                      &changes);
}

bool
loadshare_receive (struct loadshare *loadshare, const uint8_t *bytes,
                   size_t size)
{
  Trefoilspar__LoadShare *message
      = trefoilspar__load_share__unpack (NULL, size, bytes);
  struct loadshare_peer *peer;
  bool newer;

  if (message == NULL)
    return false;
  peer = g_hash_table_lookup (loadshare->peers, message->host);
  if (peer == NULL)
    {
      peer = g_new0 (struct loadshare_peer, 1);
      peer->loads = g_array_new (FALSE, FALSE, sizeof (struct server_load));
      g_hash_table_insert (loadshare->peers, g_strdup (message->host), peer);
    }
  newer = peer_is_newer (peer, message);
  if (newer)
    {
      peer_update (peer, message);
      peer->received_ns = clock_now (loadshare->clock);
      loadshare->sums_stale = true;
      weights_received (loadshare, message);
      slowness_received (loadshare, message);
      changes_received (loadshare, message);
    }
  trefoilspar__load_share__free_unpacked (message, NULL);
  return newer;
}

static gboolean
peer_is_expired (gpointer key, gpointer value, gpointer data)
{
  const struct loadshare *loadshare = data;
  const struct loadshare_peer *peer = value;

  return clock_now (loadshare->clock) - peer->received_ns
         > REPORT_EXPIRY_MS * NS_PER_MS;
}

void
loadshare_tick (struct loadshare *loadshare)
{
  if (g_hash_table_foreach_remove (loadshare->peers, peer_is_expired,
                                   loadshare)
      > 0)
    loadshare->sums_stale = true;
  if (loadshare->sums_stale)
    sums_update (loadshare);
}

enum loadshare_reach
loadshare_host_reach (const struct loadshare *loadshare, const char *host,
                      uint64_t service)
{
  const struct loadshare_peer *peer
      = g_hash_table_lookup (loadshare->peers, host);

  if (peer == NULL)
    return LOADSHARE_REACH_UNKNOWN;
  for (unsigned i = 0; i < peer->out_count; i++)
    if (peer->out[i] == service)
      return LOADSHARE_REACH_OUT;
  return LOADSHARE_REACH_IN;
}
