#include "softwarespan.h"

struct span
{
  uint64_t service;
  uint64_t software;
  int64_t since_ns;
};

void
softwarespan_init (struct softwarespan *span, const struct clock *clock)
{
  span->clock = clock;
  span->services
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
softwarespan_finish (struct softwarespan *span)
{
  g_hash_table_destroy (span->services);
}

void
softwarespan_set (struct softwarespan *span, uint64_t service,
                  uint64_t software)
{
  struct span *current = g_hash_table_lookup (span->services, &service);

  if (current == NULL)
    {
      current = g_new0 (struct span, 1);
      current->service = service;
      g_hash_table_insert (span->services, &current->service, current);
    }
  if (current->software == software)
    return;
  current->software = software;
  current->since_ns = clock_now (span->clock);
}

uint64_t
softwarespan_only (const struct softwarespan *span, uint64_t service,
                   int64_t duration_ns)
{
  const struct span *current = g_hash_table_lookup (span->services, &service);

  return current != NULL
                 && clock_now (span->clock) - current->since_ns >= duration_ns
             ? current->software
             : 0;
}
