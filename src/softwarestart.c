#include "softwarestart.h"

enum
{
  /* Time within which the registry tells of a server that answers. */
  NEWS_MS = 500
};

struct replaced
{
  uint64_t software;
  int64_t last_ns;
};

void
softwarestart_init (struct softwarestart *start, const struct clock *clock)
{
  start->clock = clock;
  start->replaced
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
softwarestart_finish (struct softwarestart *start)
{
  g_hash_table_destroy (start->replaced);
}

void
softwarestart_record (struct softwarestart *start, uint64_t software)
{
  struct replaced *replaced = g_hash_table_lookup (start->replaced, &software);

  if (replaced == NULL)
    {
      replaced = g_new0 (struct replaced, 1);
      replaced->software = software;
      g_hash_table_insert (start->replaced, &replaced->software, replaced);
    }
  replaced->last_ns = clock_now (start->clock);
}

bool
softwarestart_is_expected (const struct softwarestart *start,
                           uint64_t software)
{
  const struct replaced *replaced
      = g_hash_table_lookup (start->replaced, &software);

  return replaced != NULL
         && clock_now (start->clock) - replaced->last_ns < NEWS_MS * NS_PER_MS;
}
