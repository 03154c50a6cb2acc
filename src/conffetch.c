#include "conffetch.h"

#include <glib.h>
#include <string.h>

static void
schedule_fetch (struct conffetch *fetch, int64_t delay_max_ns)
{
  fetch->next_fetch_ns
      = clock_now (fetch->clock)
        + (int64_t)rng_below (fetch->rng, (uint64_t)delay_max_ns + 1);
}

static bool
is_behind (const struct conffetch *fetch)
{
  return fetch->newest_announced > fetch->ops->revision_in_force (fetch->data);
}

void
conffetch_init (struct conffetch *fetch,
                const struct conffetch_settings *settings,
                const struct clock *clock, struct rng *rng,
                const struct conffetch_ops *ops, void *data)
{
  memset (fetch, 0, sizeof *fetch);
  fetch->settings = settings;
  fetch->clock = clock;
  fetch->rng = rng;
  fetch->ops = ops;
  fetch->data = data;
  fetch->next_fetch_ns = CLOCK_NEVER;
}

void
conffetch_revision_announced (struct conffetch *fetch, const char *address,
                              uint64_t revision)
{
  if (revision <= fetch->newest_announced || revision == 0)
    return;
  fetch->newest_announced = revision;
  g_strlcpy (fetch->address, address, sizeof fetch->address);
  if (!fetch->fetching && fetch->next_fetch_ns == CLOCK_NEVER
      && is_behind (fetch))
    schedule_fetch (fetch, fetch->settings->first_delay_max_ns);
}

void
conffetch_completed (struct conffetch *fetch, enum status status)
{
  bool failed = status != STATUS_OK && status != STATUS_STALE;

  fetch->fetching = false;
  fetch->fetch_all = status == STATUS_NOT_FOUND && !fetch->fetch_all;
  if (failed && !fetch->fetch_all)
    fetch->address[0] = '\0';
  if (fetch->fetch_all)
    fetch->next_fetch_ns = clock_now (fetch->clock);
  else if (is_behind (fetch))
    schedule_fetch (fetch, failed || status == STATUS_STALE
                               ? fetch->settings->retry_delay_max_ns
                               : fetch->settings->first_delay_max_ns);
}

void
conffetch_tick (struct conffetch *fetch)
{
  uint64_t revision;
  const char *address = fetch->address;

  if (fetch->fetching || clock_now (fetch->clock) < fetch->next_fetch_ns)
    return;
  fetch->next_fetch_ns = CLOCK_NEVER;
  if (!is_behind (fetch))
    return;
  revision = fetch->ops->revision_in_force (fetch->data);
  if (address[0] == '\0')
    address = fetch->ops->find_peer (fetch->data, revision);
  if (address == NULL)
    {
      schedule_fetch (fetch, fetch->settings->retry_delay_max_ns);
      return;
    }
  fetch->fetching = true;
  fetch->ops->fetch (fetch->data, address, fetch->fetch_all ? 0 : revision);
}

int64_t
conffetch_next_tick_ns (const struct conffetch *fetch)
{
  return fetch->fetching ? CLOCK_NEVER : fetch->next_fetch_ns;
}
