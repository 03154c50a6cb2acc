#include "roomshare.h"
#include "clock.h"

#include <glib.h>

enum
{
  /* Time after a change of the hosts for which this host uses no more room
   * than before: others learn of the change later, and their requests have to
   * end. */
  RAISE_MS = 2000,
  /* Room of one host at one server if there is too little for all hosts. With
   * more, fewer requests wait at one host while another has room. */
  HOLDER_ROOM = 3
};

/* Return the room of one host if UNITS are too few for all hosts. Hosts that
 * hold room at several servers need less at each. */
static unsigned
holder_room (const struct roomshare_position *position, unsigned units)
{
  return units * position->servers >= 2 * position->host_count ? 1
                                                               : HOLDER_ROOM;
}

unsigned
roomshare_part (const struct roomshare_position *position, unsigned units)
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
former_counts (const struct roomshare *share, int64_t now_ns)
{
  return now_ns - share->moved_ns < RAISE_MS * NS_PER_MS;
}

unsigned
roomshare_units (const struct roomshare *share, unsigned units, int64_t now_ns)
{
  unsigned own = roomshare_part (&share->position, units);

  if (share->position.host_count == 0)
    return 0;
  return former_counts (share, now_ns)
             ? MIN (own, roomshare_part (&share->former, units))
             : own;
}

unsigned
roomshare_holders (const struct roomshare *share, unsigned units)
{
  const struct roomshare_position *position = &share->position;
  unsigned each;

  if (units >= position->host_count)
    return position->host_count;
  each = holder_room (position, units);
  return (units + each - 1) / each;
}

bool
roomshare_set_position (struct roomshare *share,
                        const struct roomshare_position *position,
                        int64_t hosts_moved_ns, int64_t now_ns)
{
  const struct roomshare_position *own = &share->position;
  unsigned units = own->host_count + position->host_count;

  if (own->host_count == position->host_count && own->rank == position->rank
      && own->servers == position->servers)
    return false;
  /* At a server that has just started no request is in flight: what counts is
   * how long ago the hosts changed. */
  if (own->host_count == 0)
    {
      share->position = *position;
      share->moved_ns = hosts_moved_ns;
      return true;
    }
  if (!former_counts (share, now_ns)
      || roomshare_part (own, units) < roomshare_part (&share->former, units))
    share->former = *own;
  share->position = *position;
  share->moved_ns = now_ns;
  return true;
}
