#include "otherhosts.h"

#include <string.h>

enum
{
  ORDERS_MAX = 1024 /* Maximum number of servers whose order is kept. */
};

static void
otherhost_free (void *data)
{
  struct otherhost *host = data;

  server_unref (host->server);
  g_free (host);
}

void
otherhosts_init (struct otherhosts *others, const struct presence *presence,
                 const struct loadshare *loadshare)
{
  others->presence = presence;
  others->loadshare = loadshare;
  others->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         otherhost_free);
  others->orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
  others->orders_generation = presence->generation;
}

void
otherhosts_finish (struct otherhosts *others)
{
  g_hash_table_destroy (others->orders);
  g_hash_table_destroy (others->hosts);
}

/* Return the host with the key KEY and RECORD. A host that has moved gets a
 * new server, so that attempts in flight keep the old one. */
static struct otherhost *
otherhost_find (struct otherhosts *others, const char *key,
                const struct presence_host *record)
{
  const char *address = record->peer;
  struct otherhost *host = g_hash_table_lookup (others->hosts, key);

  if (host == NULL)
    {
      host = g_new0 (struct otherhost, 1);
      g_hash_table_insert (others->hosts, g_strdup (key), host);
    }
  if (host->server != NULL
      && strcmp (host->server->entry.address, address) == 0
      && strcmp (host->server->entry.data_centre, record->data_centre) == 0)
    return host;
  server_unref (host->server);
  host->server = server_new_unregistered (presence_host_name (key), address);
  g_strlcpy (host->server->entry.data_centre, record->data_centre,
             sizeof host->server->entry.data_centre);
  host->avoid_until_ns = 0;
  return host;
}

/* Drop the hosts that are no longer registered, so that hosts that come under
 * ever new names take no memory. */
static void
unregistered_drop (struct otherhosts *others)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, others->hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const struct otherhost *)value)->in_flight == 0
        && !g_hash_table_contains (others->presence->hosts, key))
      g_hash_table_iter_remove (&iter);
}

/* The hosts are sorted for a server when they have changed, not for each
 * request. */
static const GPtrArray *
order_of_server (struct otherhosts *others, const char *id)
{
  const struct presence *presence = others->presence;
  GPtrArray *order;

  if (others->orders_generation != presence->generation
      || g_hash_table_size (others->orders) >= ORDERS_MAX)
    g_hash_table_remove_all (others->orders);
  others->orders_generation = presence->generation;
  order = g_hash_table_lookup (others->orders, id);
  if (order == NULL)
    {
      order = presence_first_hosts (presence, id, strlen (id),
                                    OTHERHOSTS_RANKS_MAX);
      g_hash_table_insert (others->orders, g_strdup (id), order);
    }
  return order;
}

struct otherhost *
otherhosts_of_rank (struct otherhosts *others, const char *id, unsigned rank)
{
  const GPtrArray *order = order_of_server (others, id);
  const char *key = rank < order->len ? order->pdata[rank] : NULL;
  const struct presence_host *record
      = key != NULL ? g_hash_table_lookup (others->presence->hosts, key)
                    : NULL;

  return record != NULL && !record->leaving && record->peer[0] != '\0'
                 && record->form >= PRESENCE_FORM_BRITTLE_ROOM
             ? otherhost_find (others, key, record)
             : NULL;
}

void
otherhosts_visit (struct otherhosts *others, uint64_t service,
                  void (*visit) (void *data, struct otherhost *host,
                                 enum loadshare_reach reach),
                  void *data)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, others->presence->hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct presence_host *record = value;

      if (!record->leaving && record->peer[0] != '\0')
        visit (data, otherhost_find (others, key, record),
               loadshare_host_reach (others->loadshare,
                                     presence_host_name (key), service));
    }
  if (g_hash_table_size (others->hosts)
      > g_hash_table_size (others->presence->hosts))
    unregistered_drop (others);
}
