#include "serverbrittle.h"
#include "clock.h"

#include <glib.h>
#include <string.h>

enum
{
  /* Time after a rejection for which the server gets no requests: it counts
   * the rejections of a second. */
  HOLD_MS = 1100,
  /* Servers that bear no more rejections than FEW_REJECTIONS keep one slot of
   * SPARE_SLOTS free, at least one, if they have ROOM_SLOTS_MIN: a connection
   * that opens may take a slot for a moment. */
  FEW_REJECTIONS = 1,
  SPARE_SLOTS = 8,
  ROOM_SLOTS_MIN = 4,
  /* Time after the start of a host in which others tell it of brittle servers.
   */
  TOLD_MS = 1000,
  /* Age of the last response from which hosts without room ask, and time
   * between the requests of all that tell each other. */
  STALE_MS = 3000,
  ASK_INTERVAL_MS = 2000
};

void
serverbrittle_init (struct serverbrittle *brittle,
                    struct serverbrittle_service *service, int64_t now_ns)
{
  memset (brittle, 0, sizeof *brittle);
  brittle->known_ns = now_ns;
  brittle->service = service;
  brittle->brittle = service->brittle;
  brittle->rejections = service->rejections;
}

unsigned
serverbrittle_share (const struct serverbrittle *brittle, unsigned units,
                     int64_t now_ns)
{
  return roomshare_units (&brittle->share, units, now_ns);
}

unsigned
serverbrittle_room (const struct serverbrittle *brittle, unsigned slots)
{
  unsigned room = MAX (slots, 1U);

  if (brittle->rejections > FEW_REJECTIONS || room < ROOM_SLOTS_MIN)
    return room;
  return room - MAX (room / SPARE_SLOTS, 1U);
}

unsigned
serverbrittle_holders (const struct serverbrittle *brittle, unsigned units)
{
  return roomshare_holders (&brittle->share, units);
}

void
serverbrittle_set_position (struct serverbrittle *brittle,
                            const struct serverbrittle_position *position,
                            int64_t now_ns)
{
  const struct roomshare_position own = brittle->share.position;
  const struct roomshare_position room
      = { position->host_count, position->rank, position->servers };

  if (!roomshare_set_position (&brittle->share, &room,
                               brittle->service->moved_ns, now_ns))
    return;
  brittle->told_count = position->told_count;
  if (own.host_count != 0
      && (own.host_count != room.host_count || own.rank != room.rank))
    brittle->service->moved_ns = now_ns;
}

bool
serverbrittle_record (struct serverbrittle *brittle, int64_t rejections,
                      int64_t stated_ns, bool here)
{
  bool is_brittle = rejections >= 0;
  bool changed = is_brittle != brittle->brittle;

  if (here)
    brittle->heard_ns = MAX (brittle->heard_ns, stated_ns);
  if (stated_ns < brittle->stated_ns)
    return false;
  brittle->stated_ns = stated_ns;
  brittle->brittle = is_brittle;
  if (is_brittle)
    brittle->rejections = (unsigned)MIN (rejections, (int64_t)UINT32_MAX);
  if (changed)
    brittle->since_ns = stated_ns;
  return changed;
}

void
serverbrittle_record_rejection (struct serverbrittle *brittle,
                                int64_t rejected_ns, bool here)
{
  if (!brittle->brittle)
    return;
  brittle->rejected_ns = MAX (brittle->rejected_ns, rejected_ns);
  if (here)
    brittle->rejected_here_ns = MAX (brittle->rejected_here_ns, rejected_ns);
}

bool
serverbrittle_is_unknown (const struct serverbrittle *brittle, int64_t now_ns)
{
  return brittle->share.position.host_count > 0 && brittle->stated_ns == 0
         && !brittle->service->known
         && now_ns - brittle->service->began_ns < TOLD_MS * NS_PER_MS;
}

int64_t
serverbrittle_hold_ns (const struct serverbrittle *brittle, int64_t now_ns)
{
  if (!brittle->brittle || brittle->rejected_ns == 0)
    return 0;
  return MAX (brittle->rejected_ns + HOLD_MS * NS_PER_MS - now_ns, 0);
}

bool
serverbrittle_may_ask (const struct serverbrittle *brittle, int64_t now_ns)
{
  unsigned told_count = brittle->told_count;
  int64_t interval_ns = ASK_INTERVAL_MS * NS_PER_MS;
  int64_t turn_ns;

  if (told_count == 0)
    return false;
  turn_ns = interval_ns * (brittle->share.position.rank % told_count);
  return now_ns - MAX (brittle->stated_ns, brittle->known_ns)
             >= STALE_MS * NS_PER_MS + turn_ns
         && (brittle->asked_ns == 0
             || now_ns - brittle->asked_ns >= interval_ns * told_count);
}

void
serverbrittle_take (struct serverbrittle *brittle, int64_t now_ns)
{
  if (brittle->brittle && serverbrittle_may_ask (brittle, now_ns))
    brittle->asked_ns = now_ns;
}
