#include "soak-pauses.h"

enum
{
  ROOM = 3, /* Runs at once beyond which an engine turns requests away. */
  ONE_IN = 10,
  /* Hosts wait for two seconds; routes have four. */
  PAUSE_MIN_MS = 2050,
  PAUSE_MAX_MS = 2600,
  OVERLAP_MAX_MS = 400
};

bool
soak_pauses_refuse (struct soak *soak, unsigned count)
{
  if (!soak->pauses.is_played || soak->pauses.has_ended || count < ROOM)
    return false;
  soak->pauses.refused++;
  return true;
}

unsigned
soak_pauses_draw (struct soak *soak, const struct soak_request *request)
{
  if (!soak->pauses.is_played || soak->pauses.has_ended
      || request->kind == SOAK_ONCE || request->runs > 1
      || soak_draw (soak, 1, ONE_IN) != ONE_IN)
    return 0;
  soak->pauses.paused++;
  return soak_draw (soak, PAUSE_MIN_MS, PAUSE_MAX_MS);
}

void
soak_pauses_begin (struct soak *soak, struct soak_request *request)
{
  if (++request->working != 2)
    return;
  request->overlap_ns = clock_now (&soak->clock);
  soak->pauses.overlaps++;
}

void
soak_pauses_end (struct soak *soak, struct soak_request *request)
{
  int64_t span_ns = clock_now (&soak->clock) - request->overlap_ns;

  if (--request->working == 1 && soak->pauses.is_played
      && span_ns > OVERLAP_MAX_MS * NS_PER_MS)
    soak_violation (soak, "%s ran at two engines for %.0f ms", request->id,
                    (double)span_ns / NS_PER_MS);
}

void
soak_pauses_answered (struct soak *soak, const struct soak_request *request,
                      unsigned status)
{
  if (soak->pauses.is_played && (status == 502 || status == 504))
    soak_violation (soak, "%s got %u after %.0f ms", request->id, status,
                    (double)(clock_now (&soak->clock) - request->sent_ns)
                        / NS_PER_MS);
}

void
soak_pauses_say (struct soak *soak)
{
  const struct soak_pauses *pauses = &soak->pauses;

  if (pauses->is_played)
    soak_say (soak,
              "%u runs paused, %u requests turned away, two engines worked on "
              "%u",
              pauses->paused, pauses->refused, pauses->overlaps);
}
