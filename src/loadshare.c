#include "loadshare.h"
#include "loadshare.pb-c.h"

#include <string.h>

enum
{
  SERVERS_MAX = 64, /* in one datagram; a host uses fewer */
  FORGET_MS = 1500, /* after the last datagram of a host */
  /* A swapping engine is left alone until the next datagrams are due. */
  SWAPPING_MS = 400
};

/* What one host told of one server. */
struct share
{
  uint32_t server;
  uint64_t prefill;
  uint64_t memory;
  unsigned running;
};

struct loadshare_peer
{
  uint64_t start;
  uint32_t number;
  int64_t heard_ns;
  GArray *shares; /* of struct share */
};

static void
peer_free (void *data)
{
  struct loadshare_peer *peer = data;

  g_array_free (peer->shares, TRUE);
  g_free (peer);
}

void
loadshare_init (struct loadshare *loadshare, struct servers *servers,
                const struct clock *clock, const char *host, uint64_t start,
                const struct loadshare_ops *ops, void *data)
{
  memset (loadshare, 0, sizeof *loadshare);
  loadshare->servers = servers;
  loadshare->clock = clock;
  loadshare->host = g_strdup (host);
  loadshare->start = start;
  loadshare->ops = ops;
  loadshare->data = data;
  loadshare->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
}

void
loadshare_finish (struct loadshare *loadshare)
{
  g_hash_table_destroy (loadshare->peers);
  g_free (loadshare->host);
}

/* Room for what one datagram is packed from. */
struct draft
{
  Trefoilspar__LoadShare message;
  Trefoilspar__ServerShare shares[SERVERS_MAX];
  Trefoilspar__ServerShare *share_pointers[SERVERS_MAX];
  Trefoilspar__ServerWeights weights[SERVERS_MAX];
  Trefoilspar__ServerWeights *weights_pointers[SERVERS_MAX];
  uint32_t swapping[SERVERS_MAX];
};

static void
draft_add_share (struct draft *draft, const struct server *server)
{
  size_t count = draft->message.n_servers;
  Trefoilspar__ServerShare *share = &draft->shares[count];

  if (server->in_flight == 0 || count == SERVERS_MAX)
    return;
  trefoilspar__server_share__init (share);
  share->server = server->hash;
  share->prefill = (uint32_t)server->prefill_tokens;
  share->memory = (uint32_t)server->in_flight_tokens;
  share->running = server->in_flight;
  draft->share_pointers[count] = share;
  draft->message.n_servers++;
}

static void
draft_add_weights (const struct loadshare *loadshare, struct draft *draft,
                   const struct server *server)
{
  size_t count = draft->message.n_weights;
  Trefoilspar__ServerWeights *weights = &draft->weights[count];
  uint64_t version = loadshare->ops->version (loadshare->data, server);

  if (version == 0 || count == SERVERS_MAX)
    return;
  if (loadshare->ops->is_swapping (loadshare->data, server))
    {
      if (draft->message.n_swapping < SERVERS_MAX)
        draft->swapping[draft->message.n_swapping++] = server->hash;
      return;
    }
  trefoilspar__server_weights__init (weights);
  weights->server = server->hash;
  weights->version = version;
  draft->weights_pointers[count] = weights;
  draft->message.n_weights++;
}

size_t
loadshare_write (struct loadshare *loadshare,
                 uint8_t bytes[LOADSHARE_BYTES_MAX])
{
  struct draft draft = { .message = TREFOILSPAR__LOAD_SHARE__INIT };
  Trefoilspar__LoadShare *message = &draft.message;
  bool tells = loadshare->ops->tells_weights (loadshare->data);
  GHashTableIter iter;
  gpointer value;

  message->host = loadshare->host;
  message->start = loadshare->start;
  message->number = ++loadshare->number;
  message->servers = draft.share_pointers;
  message->weights = draft.weights_pointers;
  message->swapping = draft.swapping;
  g_hash_table_iter_init (&iter, loadshare->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      draft_add_share (&draft, value);
      if (tells)
        draft_add_weights (loadshare, &draft, value);
    }
  while (trefoilspar__load_share__get_packed_size (message)
         > LOADSHARE_BYTES_MAX)
    if (message->n_weights > 0)
      message->n_weights--;
    else
      message->n_servers--;
  return trefoilspar__load_share__pack (message, bytes);
}

static struct server *
server_by_hash (const struct loadshare *loadshare, uint32_t hash)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loadshare->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct server *)value)->hash == hash)
      return value;
  return NULL;
}

static void
share_add (struct share *sum, const struct share *share)
{
  sum->prefill += share->prefill;
  sum->memory += share->memory;
  sum->running += share->running;
}

/* What peers told of a server of this host's cell is all there is. To others
 * all hosts send, of which only some tell; the rest is taken to be like them.
 */
static double
sum_scale (const struct loadshare *loadshare, const struct server *server)
{
  unsigned peers = MAX (g_hash_table_size (loadshare->peers), 1U);

  return MAX ((double)server->hosts - 1, 1) / peers;
}

/* Count anew what all peers told. */
static void
sums_refresh (struct loadshare *loadshare)
{
  GHashTable *sums
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loadshare->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct loadshare_peer *peer = value;

      for (guint i = 0; i < peer->shares->len; i++)
        {
          struct share *share = &g_array_index (peer->shares, struct share, i);
          gpointer hash = GUINT_TO_POINTER (share->server);

          if (!g_hash_table_contains (sums, hash))
            g_hash_table_insert (sums, hash, g_new0 (struct share, 1));
          share_add (g_hash_table_lookup (sums, hash), share);
        }
    }
  g_hash_table_iter_init (&iter, loadshare->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = value;
      const struct share *sum
          = g_hash_table_lookup (sums, GUINT_TO_POINTER (server->hash));
      double scale = sum_scale (loadshare, server);

      server->others_prefill
          = sum != NULL ? (uint64_t)(scale * (double)sum->prefill) : 0;
      server->others_memory
          = sum != NULL ? (uint64_t)(scale * (double)sum->memory) : 0;
      server->others_running
          = sum != NULL ? (unsigned)(scale * sum->running) : 0;
    }
  g_hash_table_destroy (sums);
  loadshare->changed = false;
}

static bool
peer_is_newer (const struct loadshare_peer *peer,
               const Trefoilspar__LoadShare *message)
{
  return message->start > peer->start
         || (message->start == peer->start && message->number > peer->number);
}

static void
peer_store (struct loadshare_peer *peer, const Trefoilspar__LoadShare *message)
{
  peer->start = message->start;
  peer->number = message->number;
  g_array_set_size (peer->shares, 0);
  for (size_t i = 0; i < message->n_servers; i++)
    {
      const Trefoilspar__ServerShare *told = message->servers[i];
      struct share share
          = { told->server, told->prefill, told->memory, told->running };

      g_array_append_val (peer->shares, share);
    }
}

/* What the holder of the duty says of engines' weights. */
static void
weights_read (struct loadshare *loadshare,
              const Trefoilspar__LoadShare *message)
{
  int64_t until = clock_now (loadshare->clock) + SWAPPING_MS * NS_PER_MS;

  for (size_t i = 0; i < message->n_swapping; i++)
    {
      struct server *server = server_by_hash (loadshare, message->swapping[i]);

      if (server != NULL)
        server_set_busy (server, until);
    }
  for (size_t i = 0; i < message->n_weights; i++)
    {
      struct server *server
          = server_by_hash (loadshare, message->weights[i]->server);

      if (server != NULL)
        loadshare->ops->weights_told (loadshare->data, server,
                                      message->weights[i]->version);
    }
}

bool
loadshare_read (struct loadshare *loadshare, const uint8_t *bytes, size_t size)
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
      peer->shares = g_array_new (FALSE, FALSE, sizeof (struct share));
      g_hash_table_insert (loadshare->peers, g_strdup (message->host), peer);
    }
  newer = peer_is_newer (peer, message);
  if (newer)
    {
      peer_store (peer, message);
      peer->heard_ns = clock_now (loadshare->clock);
      loadshare->changed = true;
      weights_read (loadshare, message);
    }
  trefoilspar__load_share__free_unpacked (message, NULL);
  return newer;
}

static gboolean
peer_is_silent (gpointer key, gpointer value, gpointer data)
{
  const struct loadshare *loadshare = data;
  const struct loadshare_peer *peer = value;

  return clock_now (loadshare->clock) - peer->heard_ns > FORGET_MS * NS_PER_MS;
}

void
loadshare_tick (struct loadshare *loadshare)
{
  if (g_hash_table_foreach_remove (loadshare->peers, peer_is_silent, loadshare)
      > 0)
    loadshare->changed = true;
  if (loadshare->changed)
    sums_refresh (loadshare);
}
