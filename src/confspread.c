#include "confspread.h"

#include <glib.h>
#include <string.h>

static void
wait_up_to (struct confspread *spread, int64_t span_ns)
{
  spread->due_ns = clock_now (spread->clock)
                   + (int64_t)rng_below (spread->rng, (uint64_t)span_ns + 1);
}

static bool
is_behind (const struct confspread *spread)
{
  return spread->newest > spread->ops->revision (spread->data);
}

void
confspread_init (struct confspread *spread,
                 const struct confspread_settings *settings,
                 const struct clock *clock, struct rng *rng,
                 const struct confspread_ops *ops, void *data)
{
  memset (spread, 0, sizeof *spread);
  spread->settings = settings;
  spread->clock = clock;
  spread->rng = rng;
  spread->ops = ops;
  spread->data = data;
  spread->due_ns = CLOCK_NEVER;
}

void
confspread_heard (struct confspread *spread, const char *address,
                  uint64_t revision)
{
  if (revision <= spread->newest || revision == 0)
    return;
  spread->newest = revision;
  g_strlcpy (spread->address, address, sizeof spread->address);
  if (!spread->fetching && spread->due_ns == CLOCK_NEVER && is_behind (spread))
    wait_up_to (spread, spread->settings->jitter_ns);
}

void
confspread_fetched (struct confspread *spread, enum status status)
{
  bool failed = status != STATUS_OK && status != STATUS_STALE;

  spread->fetching = false;
  spread->whole = status == STATUS_NOT_FOUND && !spread->whole;
  if (failed && !spread->whole)
    spread->address[0] = '\0';
  if (spread->whole)
    spread->due_ns = clock_now (spread->clock);
  else if (is_behind (spread))
    wait_up_to (spread, failed || status == STATUS_STALE
                            ? spread->settings->retry_ns
                            : spread->settings->jitter_ns);
}

void
confspread_tick (struct confspread *spread)
{
  uint64_t revision;
  const char *address = spread->address;

  if (spread->fetching || clock_now (spread->clock) < spread->due_ns)
    return;
  spread->due_ns = CLOCK_NEVER;
  if (!is_behind (spread))
    return;
  revision = spread->ops->revision (spread->data);
  if (address[0] == '\0')
    address = spread->ops->peer (spread->data, revision);
  if (address == NULL)
    {
      wait_up_to (spread, spread->settings->retry_ns);
      return;
    }
  spread->fetching = true;
  spread->ops->fetch (spread->data, address, spread->whole ? 0 : revision);
}

int64_t
confspread_next (const struct confspread *spread)
{
  return spread->fetching ? CLOCK_NEVER : spread->due_ns;
}
