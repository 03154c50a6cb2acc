#include "subsets.h"
#include "limitshare.h"
#include "rendezvous.h"
#include "subsetdivide.h"

#include <string.h>

enum
{
  ASSIGN_PERIOD_MS = 100,
  /* Longest time until the other hosts have read a change of the registry,
   * and until what a host has sent has arrived. */
  DELAY_MAX_MS = 2000
};

void
subsets_init (struct subsets *subsets, const struct clock *clock,
              struct presence *presence, struct servers *servers)
{
  memset (subsets, 0, sizeof *subsets);
  subsets->clock = clock;
  subsets->presence = presence;
  subsets->servers = servers;
  subsets->count = 1;
  subsets->host_count = 1;
}

/* Returns the index of the subset of the host at INDEX in a list of HOST_COUNT
 * hosts. The sizes of the subsets differ by at most one. */
static unsigned
subset_of_host (const struct subsets *subsets, unsigned index,
                unsigned host_count)
{
  return index * subsets->count / host_count;
}

static unsigned
fleet_size (const struct subsets *subsets)
{
  return g_hash_table_size (subsets->presence->hosts) + 1;
}

bool
subsets_host_is_local (const struct subsets *subsets, unsigned index)
{
  return subset_of_host (subsets, index, fleet_size (subsets))
         == subsets->own_index;
}

void
subsets_of_host (const struct subsets *subsets, unsigned index,
                 unsigned *first, unsigned *size)
{
  unsigned hosts = fleet_size (subsets);
  unsigned own = subset_of_host (subsets, index, hosts);
  unsigned after;

  *first = (own * hosts + subsets->count - 1) / subsets->count;
  after = ((own + 1) * hosts + subsets->count - 1) / subsets->count;
  *size = after - *first;
}

static gint
server_compare (gconstpointer a, gconstpointer b)
{
  const struct server *left = *(struct server *const *)a;
  const struct server *right = *(struct server *const *)b;
  int order = strcmp (left->entry.data_centre, right->entry.data_centre);

  return order != 0 ? order : strcmp (left->entry.id, right->entry.id);
}

/* Returns the number of hosts of this host's subset that come before this one
 * in the rendezvous order for NAME. */
static unsigned
local_rank (const struct subsets *subsets, const char *name)
{
  size_t size = strlen (name);
  uint64_t own = rendezvous_weight (subsets->own_hash, name, size);
  unsigned rank = 0;

  for (unsigned i = 0; i + 1 < subsets->host_count; i++)
    rank += rendezvous_weight (subsets->peer_hashes[i], name, size) > own;
  return rank;
}

/* Sets which of the hosts that send to SERVER, one of SERVERS, this one is. */
static void
server_set_hosts (const struct subsets *subsets, struct server *server,
                  unsigned servers)
{
  const char *id = server->entry.id;
  unsigned count = server->sending_host_count;
  unsigned rank = count;
  bool is_divided = count != fleet_size (subsets);
  struct serverbrittle_position position
      = { .host_count = count,
          .rank = count,
          .servers = is_divided ? servers / subsets->count : servers,
          .told_count
          = count <= LIMITSHARE_HOSTS_MAX ? count : subsets->host_count };

  if (!server->in_other_subset)
    position.rank = is_divided ? local_rank (subsets, id)
                               : presence_rank_of_all (subsets->presence, id,
                                                       strlen (id));
  serverbrittle_set_position (&server->brittle, &position,
                              clock_now (subsets->clock));

  if (!server->in_other_subset)
    rank = count == subsets->host_count
               ? local_rank (subsets, id)
               : presence_rank (subsets->presence, id, strlen (id));
  serverlimit_set_hosts (&server->limit, count, rank);
  /* Hosts see servers fail at different times and then assign them to subsets
   * in different ways, so that the hosts of two subsets could use a cold
   * server. All hosts divide what it may get. */
  if (server->cold.per_s > 0)
    servercold_set_position (
        &server->cold, fleet_size (subsets),
        presence_rank_of_all (subsets->presence, id, strlen (id)));
}

static gint
server_compare_ids (gconstpointer a, gconstpointer b)
{
  const struct server *left = *(struct server *const *)a;
  const struct server *right = *(struct server *const *)b;

  return strcmp (left->entry.id, right->entry.id);
}

/* Sets the subsets of SERVERS, which are reachable, as all hosts of a fleet do
 * of which some have an earlier form. */
static void
servers_number (const struct subsets *subsets, GPtrArray *servers,
                unsigned *indexes)
{
  g_ptr_array_sort (servers, server_compare);
  for (guint i = 0; i < servers->len; i++)
    indexes[i] = i % subsets->count;
}

/* Divides SERVERS, which are reachable, among the subsets. */
static void
servers_divide (const struct subsets *subsets, GPtrArray *servers)
{
  unsigned *indexes = g_new (unsigned, servers->len);

  if (presence_all_have_form (subsets->presence, PRESENCE_FORM_STABLE_SUBSETS))
    {
      g_ptr_array_sort (servers, server_compare_ids);
      subsetdivide (servers, subsets->count, indexes);
    }
  else
    servers_number (subsets, servers, indexes);
  for (guint i = 0; i < servers->len; i++)
    {
      struct server *server = servers->pdata[i];

      server->in_other_subset = indexes[i] != subsets->own_index;
      server->sending_host_count = subsets->host_count;
    }
  g_free (indexes);
}

/* Whether SERVER is divided among the subsets. What a host has found out alone
 * does not count, since others divide the servers without it: whether a server
 * is reachable, which hosts notice one after the other, and what it stated in
 * responses. */
static bool
is_divided (const struct subsets *subsets, const struct server *server)
{
  if (presence_all_have_form (subsets->presence, PRESENCE_FORM_STABLE_SUBSETS))
    return !server->removed && !server->entry.leaving;
  return server_is_reachable (server);
}

/* Divides the SERVERS of one service into subsets. */
static void
service_assign (const struct subsets *subsets, const GPtrArray *servers)
{
  GPtrArray *available = g_ptr_array_new ();
  bool divides;

  for (guint i = 0; i < servers->len; i++)
    {
      struct server *server = servers->pdata[i];

      server->in_other_subset = false;
      server->sending_host_count = fleet_size (subsets);
      if (is_divided (subsets, server))
        g_ptr_array_add (available, server);
    }
  divides = subsets->count > 1
            && available->len >= subsets->count * SUBSETS_SERVERS_MIN;
  if (divides)
    servers_divide (subsets, available);
  for (guint i = 0; i < servers->len; i++)
    server_set_hosts (subsets, servers->pdata[i], servers->len);
  g_ptr_array_free (available, TRUE);
}

static uint64_t
host_hash (const struct presence_host *host)
{
  return g_str_hash (host->address);
}

static void
peers_update (struct subsets *subsets)
{
  const GPtrArray *hosts = presence_sorted_hosts (subsets->presence);

  subsets->own_hash = host_hash (&subsets->presence->self);
  subsets->host_count = 1;
  for (guint i = 0; i < hosts->len; i++)
    if (hosts->pdata[i] != NULL && subsets_host_is_local (subsets, i)
        && subsets->host_count <= SUBSETS_HOSTS_MAX)
      subsets->peer_hashes[subsets->host_count++ - 1]
          = host_hash (hosts->pdata[i]);
}

bool
subsets_is_responsible (const struct subsets *subsets, const char *name)
{
  return local_rank (subsets, name) == 0;
}

/* Whether the subsets must be made again; notes what they are made of. */
static bool
fleet_has_changed (struct subsets *subsets)
{
  uint64_t hosts = subsets->presence->generation;
  uint64_t servers = subsets->servers->generation;

  if (subsets->assigned && subsets->hosts_generation == hosts
      && subsets->servers_generation == servers)
    return false;
  subsets->assigned = true;
  subsets->hosts_generation = hosts;
  subsets->servers_generation = servers;
  return true;
}

static unsigned
largest_service (const struct servers *servers)
{
  GHashTableIter iter;
  gpointer list;
  unsigned largest = 0;

  g_hash_table_iter_init (&iter, servers->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    largest = MAX (largest, ((const GPtrArray *)list)->len);
  return largest;
}

/* Whether subsets of the usual size, of which there would be COUNT, have
 * enough servers. Once they had, they are kept while servers fail; a host that
 * has just started does as most of the others. */
static bool
usual_size_suits (struct subsets *subsets, unsigned count)
{
  unsigned servers = largest_service (subsets->servers);
  bool kept;

  if (!presence_all_have_form (subsets->presence,
                               PRESENCE_FORM_STABLE_SUBSETS))
    return servers >= count * SUBSETS_SERVERS_ENOUGH_EARLIER;
  if (servers >= count * SUBSETS_SERVERS_ENOUGH)
    {
      subsets->usual_count = count;
      return true;
    }
  kept = servers >= count * SUBSETS_SERVERS_KEPT
         && (count <= subsets->usual_count
             || presence_most_keep_usual_subsets (subsets->presence));
  if (!kept)
    subsets->usual_count = 0;
  if (count > 1)
    presence_announce_usual_subsets (subsets->presence, kept);
  return kept;
}

/* Returns the number of subsets of HOSTS hosts. */
static unsigned
subset_count (struct subsets *subsets, unsigned hosts)
{
  unsigned usual = (hosts + SUBSETS_HOSTS_USUAL - 1) / SUBSETS_HOSTS_USUAL;

  if (usual_size_suits (subsets, usual))
    return usual;
  return (hosts + SUBSETS_HOSTS_MAX - 1) / SUBSETS_HOSTS_MAX;
}

void
subsets_tick (struct subsets *subsets)
{
  int64_t now = clock_now (subsets->clock);
  unsigned hosts = fleet_size (subsets);
  GHashTableIter iter;
  gpointer servers;

  servers_cold_tick (subsets->servers, presence_listed_ns (subsets->presence),
                     subsets->presence->ttl_ns + DELAY_MAX_MS * NS_PER_MS,
                     departures_count (&subsets->presence->departures,
                                       now - DELAY_MAX_MS * NS_PER_MS));
  if (now < subsets->next_assign_ns || !fleet_has_changed (subsets))
    return;
  subsets->next_assign_ns = now + ASSIGN_PERIOD_MS * NS_PER_MS;
  subsets->count = subset_count (subsets, hosts);
  subsets->own_index = subset_of_host (
      subsets, presence_own_index (subsets->presence), hosts);
  peers_update (subsets);
  g_hash_table_iter_init (&iter, subsets->servers->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &servers))
    service_assign (subsets, servers);
}
