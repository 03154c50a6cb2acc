#include "soak.h"

enum
{
  POISON_CRASHES = 5, /* after which a block must not crash engines for long */
  POISON_MS = 3000,   /* within which that must be so */
  POISON_LATE_MAX = 3 /* requests that may reach an engine later */
};

void
soak_poison_arrived (struct soak *soak)
{
  struct soak_poison *poison = &soak->poison;

  if (poison->blamed_ns == 0 || clock_now (&soak->clock) < poison->blamed_ns
      || ++poison->late != POISON_LATE_MAX + 1)
    return;
  soak_violation (soak, "a block that crashed %u engines reaches more",
                  poison->crashes);
}

void
soak_poison_crashed (struct soak *soak)
{
  struct soak_poison *poison = &soak->poison;

  soak_say (soak, "a block crashes an engine");
  if (++poison->crashes == POISON_CRASHES)
    poison->blamed_ns = clock_now (&soak->clock) + POISON_MS * NS_PER_MS;
}
