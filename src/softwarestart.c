#include "softwarestart.h"

enum
{
  /* Time within which the registry tells of the new start. */
  NEWS_MS = 500
};

struct lost
{
  uint64_t software;
  int64_t last_ns;
};

void
softwarestart_init (struct softwarestart *start, const struct clock *clock)
{
  start->clock = clock;
  start->lost
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
softwarestart_finish (struct softwarestart *start)
{
  g_hash_table_destroy (start->lost);
}

void
softwarestart_record (struct softwarestart *start, uint64_t software)
{
  struct lost *lost = g_hash_table_lookup (start->lost, &software);

  if (lost == NULL)
    {
      lost = g_new0 (struct lost, 1);
      lost->software = software;
      g_hash_table_insert (start->lost, &lost->software, lost);
    }
  lost->last_ns = clock_now (start->clock);
}

bool
softwarestart_is_expected (const struct softwarestart *start,
                           uint64_t software)
{
  const struct lost *lost = g_hash_table_lookup (start->lost, &software);

  return lost != NULL
         && clock_now (start->clock) - lost->last_ns < NEWS_MS * NS_PER_MS;
}
