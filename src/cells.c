#include "cells.h"
#include "rendezvous.h"

#include <string.h>

enum
{
  PERIOD_MS = 100 /* between two deals */
};

void
cells_init (struct cells *cells, const struct clock *clock,
            const struct presence *presence, struct servers *servers)
{
  memset (cells, 0, sizeof *cells);
  cells->clock = clock;
  cells->presence = presence;
  cells->servers = servers;
  cells->count = 1;
  cells->hosts = 1;
}

/* The cell of number INDEX of ALL; sizes differ by one at most. */
static unsigned
cell_of (const struct cells *cells, unsigned index, unsigned all)
{
  return index * cells->count / all;
}

static unsigned
hosts_known (const struct cells *cells)
{
  return g_hash_table_size (cells->presence->hosts) + 1;
}

bool
cells_has (const struct cells *cells, unsigned index)
{
  return cell_of (cells, index, hosts_known (cells)) == cells->own;
}

static gint
server_compare (gconstpointer a, gconstpointer b)
{
  const struct server *left = *(struct server *const *)a;
  const struct server *right = *(struct server *const *)b;
  int order = strcmp (left->entry.data_centre, right->entry.data_centre);

  return order != 0 ? order : strcmp (left->entry.id, right->entry.id);
}

/* Servers that are not there are left out, so that each cell has as many that
 * are. */
static void
service_deal (const struct cells *cells, const GPtrArray *servers)
{
  GPtrArray *there = g_ptr_array_new ();
  bool dealt;

  for (guint i = 0; i < servers->len; i++)
    {
      struct server *server = servers->pdata[i];

      server->other_cell = false;
      server->hosts = hosts_known (cells);
      if (server_is_there (server))
        g_ptr_array_add (there, server);
    }
  dealt = cells->count > 1 && there->len >= cells->count * CELLS_SERVERS_MIN;
  if (dealt)
    g_ptr_array_sort (there, server_compare);
  for (guint i = 0; dealt && i < there->len; i++)
    {
      struct server *server = there->pdata[i];

      server->other_cell = i % cells->count != cells->own;
      server->hosts = cells->hosts;
    }
  g_ptr_array_free (there, TRUE);
}

static uint64_t
host_hash (const struct presence_host *host)
{
  return g_str_hash (host->address);
}

static void
peers_note (struct cells *cells)
{
  GPtrArray *hosts = presence_ordered (cells->presence);

  cells->self = host_hash (&cells->presence->self);
  cells->hosts = 1;
  for (guint i = 0; i < hosts->len; i++)
    if (hosts->pdata[i] != NULL && cells_has (cells, i)
        && cells->hosts <= CELLS_HOSTS_MAX)
      cells->peers[cells->hosts++ - 1] = host_hash (hosts->pdata[i]);
  g_ptr_array_free (hosts, TRUE);
}

bool
cells_does (const struct cells *cells, const char *name)
{
  size_t size = strlen (name);
  uint64_t own = rendezvous_weight (cells->self, name, size);

  for (unsigned i = 0; i + 1 < cells->hosts; i++)
    if (rendezvous_weight (cells->peers[i], name, size) > own)
      return false;
  return true;
}

void
cells_tick (struct cells *cells)
{
  int64_t now = clock_now (cells->clock);
  unsigned hosts = hosts_known (cells);
  GHashTableIter iter;
  gpointer servers;

  if (now < cells->next_ns)
    return;
  cells->next_ns = now + PERIOD_MS * NS_PER_MS;
  cells->count = (hosts + CELLS_HOSTS_MAX - 1) / CELLS_HOSTS_MAX;
  cells->own = cell_of (cells, presence_index (cells->presence), hosts);
  peers_note (cells);
  g_hash_table_iter_init (&iter, cells->servers->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &servers))
    service_deal (cells, servers);
}
