#include "soak-drill.h"

enum
{
  AGE_MIN_MS = 300, /* of a backup */
  AGE_MAX_MS = 6000,
  AWAY_MAX_MS = 1500,
  /* Writes after a backup: so many revisions are given out again, at least. */
  LOST_WRITES = 200,
  REWRITE_MAX_MS = 1500 /* until the operator has written again */
};

void
soak_drill_init (struct soak_drill *drill, struct soak *soak,
                 struct soak_store *store,
                 void (*operator_rewrite) (void *data), void *data)
{
  *drill = (struct soak_drill){ .soak = soak,
                                .store = store,
                                .operator_rewrite = operator_rewrite,
                                .data = data };
}

void
soak_drill_start (struct soak_drill *drill)
{
  int64_t now = clock_now (&drill->soak->clock);

  if (drill->away_ns != 0 || drill->rewrite_ns != 0)
    return;
  soak_store_back_up (drill->store);
  for (int i = 0; i < LOST_WRITES; i++)
    soak_store_put (drill->store, "other", "1");
  drill->operator_rewrite (drill->data);
  drill->away_ns
      = now + soak_draw (drill->soak, AGE_MIN_MS, AGE_MAX_MS) * NS_PER_MS;
  drill->back_ns
      = drill->away_ns + soak_draw (drill->soak, 0, AWAY_MAX_MS) * NS_PER_MS;
}

void
soak_drill_tick (struct soak_drill *drill)
{
  int64_t now = clock_now (&drill->soak->clock);

  if (drill->away_ns != 0 && now >= drill->away_ns)
    drill->store->is_away = true;
  if (drill->away_ns != 0 && now >= drill->back_ns)
    {
      uint64_t revision = drill->store->revision;

      drill->away_ns = 0;
      drill->store->is_away = false;
      soak_store_restore (drill->store);
      soak_say (drill->soak,
                "the store is back from a backup, era %u, "
                "revision %lu instead of %lu",
                drill->store->era, (unsigned long)drill->store->revision,
                (unsigned long)revision);
      drill->rewrite_ns
          = now + soak_draw (drill->soak, 0, REWRITE_MAX_MS) * NS_PER_MS;
    }
  if (drill->rewrite_ns != 0 && now >= drill->rewrite_ns)
    {
      drill->rewrite_ns = 0;
      drill->operator_rewrite (drill->data);
    }
}
