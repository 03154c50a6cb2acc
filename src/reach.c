#include "reach.h"

void
reach_record_failure (struct reach *reach, uint32_t server)
{
  for (unsigned i = 0; i < reach->failed_count; i++)
    if (reach->failed[i] == server)
      return;
  if (reach->failed_count < REACH_FAILURES_MIN)
    reach->failed[reach->failed_count++] = server;
}

void
reach_record_opened (struct reach *reach)
{
  reach->failed_count = 0;
}

bool
reach_is_lost (const struct reach *reach, unsigned server_count)
{
  return server_count > 0
         && (reach->failed_count == REACH_FAILURES_MIN
             || reach->failed_count >= server_count);
}
