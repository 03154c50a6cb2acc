#include "rng.h"
#include "subsetdivide.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SERVERS_MAX = 400,
  SEEDS = 20
};

static const char *const data_centres[] = { "east", "north", "south" };

/* Servers in three data centres, sorted by id. */
struct fleet
{
  struct server servers[SERVERS_MAX];
  GPtrArray *list;
  unsigned subsets[SERVERS_MAX];
};

static void
fleet_init (struct fleet *fleet, unsigned count, struct rng *rng)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->list = g_ptr_array_new ();
  for (unsigned i = 0; i < count; i++)
    {
      struct server *server = &fleet->servers[i];

      g_snprintf (server->entry.id, sizeof server->entry.id, "i-%04u%08x", i,
                  (unsigned)rng_next (rng));
      strcpy (server->entry.data_centre, data_centres[rng_below (rng, 3)]);
      g_ptr_array_add (fleet->list, server);
    }
}

/* Remove a random part of the servers. */
static void
fleet_lose (struct fleet *fleet, unsigned count, struct rng *rng)
{
  while (count-- > 0)
    g_ptr_array_remove_index (fleet->list,
                              (guint)rng_below (rng, fleet->list->len));
}

static void
sizes_check (const struct fleet *fleet, unsigned count)
{
  unsigned sizes[SERVERS_MAX] = { 0 };
  unsigned in_centre[3][SERVERS_MAX] = { { 0 } };
  unsigned centres[3] = { 0 };

  for (guint i = 0; i < fleet->list->len; i++)
    {
      const struct server *server = fleet->list->pdata[i];

      CU_ASSERT_FATAL (fleet->subsets[i] < count);
      sizes[fleet->subsets[i]]++;
      for (int c = 0; c < 3; c++)
        if (strcmp (server->entry.data_centre, data_centres[c]) == 0)
          {
            in_centre[c][fleet->subsets[i]]++;
            centres[c]++;
          }
    }
  for (unsigned s = 0; s < count; s++)
    {
      CU_ASSERT (sizes[s] >= fleet->list->len / count);
      CU_ASSERT (sizes[s] <= (fleet->list->len + count - 1) / count);
      for (int c = 0; c < 3; c++)
        CU_ASSERT (in_centre[c][s] <= 2 * ((centres[c] + count - 1) / count));
    }
}

/* Return how many servers that remain are in another subset after LOST of
 * COUNT are lost. */
static unsigned
moves (unsigned count, unsigned lost, unsigned subsets, uint64_t seed)
{
  static struct fleet fleet;
  unsigned before[SERVERS_MAX];
  unsigned moved = 0;
  struct rng rng;

  rng_init (&rng, seed);
  fleet_init (&fleet, count, &rng);
  subsetdivide (fleet.list, subsets, fleet.subsets);
  sizes_check (&fleet, subsets);
  memcpy (before, fleet.subsets, sizeof before);
  fleet_lose (&fleet, lost, &rng);
  subsetdivide (fleet.list, subsets, fleet.subsets);
  sizes_check (&fleet, subsets);
  for (guint i = 0; i < fleet.list->len; i++)
    {
      const struct server *server = fleet.list->pdata[i];

      moved += fleet.subsets[i] != before[server - fleet.servers];
    }
  g_ptr_array_free (fleet.list, TRUE);
  return moved;
}

/* Guards against a division in which one server fewer moves most of the others
 * to another subset, so that hosts that have noticed the loss and those that
 * have not send to the same servers without knowing of each other. */
static void
test_few_move (void)
{
  static const unsigned shapes[][3]
      = { { 60, 1, 4 },   { 60, 15, 4 },   { 71, 18, 4 },
          { 112, 28, 7 }, { 160, 40, 15 }, { 300, 75, 30 } };

  for (unsigned i = 0; i < sizeof shapes / sizeof *shapes; i++)
    {
      const unsigned *shape = shapes[i];
      unsigned sum = 0;

      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        sum += moves (shape[0], shape[1], shape[2], seed);
      printf ("# %u servers, %u lost, %u subsets: %.1f move\n", shape[0],
              shape[1], shape[2], (double)sum / SEEDS);
      CU_ASSERT (sum <= SEEDS * (shape[0] - shape[1]) / 3);
    }
}

/* Guards against a division that differs between hosts with the same list. */
static void
test_same_everywhere (void)
{
  CU_ASSERT_EQUAL (moves (60, 0, 4, 3), 0);
}

static const struct unit_case cases[] = {
  { "few-move", test_few_move },
  { "same-everywhere", test_same_everywhere },
};

int
main (void)
{
  return unit_run ("subsetdivide", cases, sizeof cases / sizeof *cases);
}
