#include "serverbrittle.h"
#include "clock.h"

#include <glib.h>
#include <string.h>

enum
{
  /* Time after a rejection for which the server gets no requests: it counts
   * the rejections of a second. */
  HOLD_MS = 1100,
  /* Time after a change of the hosts for which this host uses no more room
   * than before: others learn of the change later, and their requests have to
   * end. */
  RAISE_MS = 2000,
  /* Room of one host at one server if there is too little for all hosts. With
   * more, fewer requests wait at one host while another has room. */
  HOLDER_ROOM = 3,
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

/* Return the room of one host if UNITS are too few for all hosts. Hosts that
 * hold room at several servers need less at each. */
static unsigned
holder_room (const struct serverbrittle_position *position, unsigned units)
{
  return units * position->servers >= 2 * position->host_count ? 1
                                                               : HOLDER_ROOM;
}

static unsigned
position_share (const struct serverbrittle_position *position, unsigned units)
{
  unsigned each, used;

  if (position->host_count == 0)
    return MIN (units, 1U);
  if (units >= position->host_count)
    return units / position->host_count
           + (position->rank < units % position->host_count);
  each = holder_room (position, units);
  used = position->rank * each;
  return used < units ? MIN (each, units - used) : 0;
}

static bool
position_counts (const struct serverbrittle *brittle, int64_t now_ns)
{
  return now_ns - brittle->moved_ns < RAISE_MS * NS_PER_MS;
}

unsigned
serverbrittle_share (const struct serverbrittle *brittle, unsigned units,
                     int64_t now_ns)
{
  unsigned share = position_share (&brittle->position, units);

  if (brittle->position.host_count == 0)
    return 0;
  return position_counts (brittle, now_ns)
             ? MIN (share, position_share (&brittle->former, units))
             : share;
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
  const struct serverbrittle_position *position = &brittle->position;
  unsigned each;

  if (units >= position->host_count)
    return position->host_count;
  each = holder_room (position, units);
  return (units + each - 1) / each;
}

void
serverbrittle_set_position (struct serverbrittle *brittle,
                            const struct serverbrittle_position *position,
                            int64_t now_ns)
{
  const struct serverbrittle_position *own = &brittle->position;
  unsigned units = own->host_count + position->host_count;

  if (own->host_count == position->host_count && own->rank == position->rank
      && own->servers == position->servers)
    return;
  /* At a server that has just started no request is in flight: what counts is
   * how long ago the hosts changed. */
  if (own->host_count == 0)
    {
      brittle->position = *position;
      brittle->moved_ns = brittle->service->moved_ns;
      return;
    }
  if (own->host_count != position->host_count || own->rank != position->rank)
    brittle->service->moved_ns = now_ns;
  if (!position_counts (brittle, now_ns)
      || position_share (own, units)
             < position_share (&brittle->former, units))
    brittle->former = *own;
  brittle->position = *position;
  brittle->moved_ns = now_ns;
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
  return brittle->position.host_count > 0 && brittle->stated_ns == 0
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
  const struct serverbrittle_position *position = &brittle->position;
  int64_t interval_ns = ASK_INTERVAL_MS * NS_PER_MS;
  int64_t turn_ns;

  if (position->told_count == 0)
    return false;
  turn_ns = interval_ns * (position->rank % position->told_count);
  return now_ns - MAX (brittle->stated_ns, brittle->known_ns)
             >= STALE_MS * NS_PER_MS + turn_ns
         && (brittle->asked_ns == 0
             || now_ns - brittle->asked_ns
                    >= interval_ns * position->told_count);
}

void
serverbrittle_take (struct serverbrittle *brittle, int64_t now_ns)
{
  if (brittle->brittle && serverbrittle_may_ask (brittle, now_ns))
    brittle->asked_ns = now_ns;
}
