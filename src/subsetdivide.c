#include "subsetdivide.h"
#include "rendezvous.h"

#include <string.h>

enum
{
  /* Places that are tried for a server in its own order, for each subset,
   * before it takes the first one with room. */
  TRIES_PER_SUBSET = 4
};

/* The places that are taken while servers are divided. */
struct places
{
  unsigned count;      /* Number of subsets. */
  unsigned smallest;   /* Servers that each subset gets at least. */
  unsigned larger;     /* Number of subsets that get one more. */
  unsigned *taken;     /* Servers of each subset. */
  GHashTable *centres; /* Maps data centres to struct centre. */
};

struct centre
{
  unsigned servers;
  unsigned *taken; /* Servers of the data centre in each subset. */
};

static void
centre_free (void *data)
{
  struct centre *centre = data;

  g_free (centre->taken);
  g_free (centre);
}

static struct centre *
centre_of (const struct places *places, const struct server *server)
{
  return g_hash_table_lookup (places->centres, server->entry.data_centre);
}

static void
centres_count (struct places *places, const GPtrArray *servers)
{
  for (guint i = 0; i < servers->len; i++)
    {
      struct server *server = servers->pdata[i];
      struct centre *centre = centre_of (places, server);

      if (centre == NULL)
        {
          centre = g_new0 (struct centre, 1);
          centre->taken = g_new0 (unsigned, places->count);
          g_hash_table_insert (places->centres, server->entry.data_centre,
                               centre);
        }
      centre->servers++;
    }
}

static bool
has_place (const struct places *places, unsigned subset)
{
  return places->taken[subset] < places->smallest + (subset < places->larger);
}

/* Whether the data centre has a place in SUBSET with its servers spread
 * evenly. */
static bool
centre_has_place (const struct places *places, const struct centre *centre,
                  unsigned subset)
{
  return centre->taken[subset]
         < (centre->servers + places->count - 1) / places->count;
}

static unsigned
subset_choose (const struct places *places, const struct server *server)
{
  const struct centre *centre = centre_of (places, server);
  const char *id = server->entry.id;
  size_t size = strlen (id);
  unsigned with_place = places->count;

  for (unsigned i = 0; i < TRIES_PER_SUBSET * places->count; i++)
    {
      unsigned subset
          = (unsigned)(rendezvous_weight (i, id, size) % places->count);

      if (!has_place (places, subset))
        continue;
      if (centre_has_place (places, centre, subset))
        return subset;
      if (with_place == places->count)
        with_place = subset;
    }
  for (unsigned i = 0; with_place == places->count; i++)
    if (has_place (places, i))
      with_place = i;
  return with_place;
}

void
subsetdivide (const GPtrArray *servers, unsigned count, unsigned *subsets)
{
  struct places places = {
    .count = count,
    .smallest = servers->len / count,
    .larger = servers->len % count,
    .taken = g_new0 (unsigned, count),
    .centres
    = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, centre_free),
  };

  centres_count (&places, servers);
  for (guint i = 0; i < servers->len; i++)
    {
      const struct server *server = servers->pdata[i];

      subsets[i] = subset_choose (&places, server);
      places.taken[subsets[i]]++;
      centre_of (&places, server)->taken[subsets[i]]++;
    }
  g_hash_table_destroy (places.centres);
  g_free (places.taken);
}
