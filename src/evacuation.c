#include "evacuation.h"
#include "clock.h"

#include <string.h>

void
evacuation_init (struct evacuation *evacuation, int64_t evacuate_ns,
                 const struct evacuation_ops *ops, void *data)
{
  memset (evacuation, 0, sizeof *evacuation);
  evacuation->ops = ops;
  evacuation->data = data;
  evacuation->evacuate_ns = evacuate_ns;
  evacuation->is_initial = true;
  evacuation->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

void
evacuation_finish (struct evacuation *evacuation)
{
  g_hash_table_destroy (evacuation->by_name);
}

bool
evacuation_put (struct evacuation *evacuation, const char *data_centre,
                uint64_t revision, uint64_t era, int64_t now_ns)
{
  size_t size = strlen (data_centre);
  struct evacuated *evacuated;
  bool was_lost;

  if (size == 0 || size >= EVACUATION_NAME_MAX)
    return false;
  evacuated = g_hash_table_lookup (evacuation->by_name, data_centre);
  if (evacuated != NULL)
    {
      was_lost = evacuated->lost_since_ns != 0;
      evacuated->revision = revision;
      evacuated->era = era;
      evacuated->lost_since_ns = 0;
      evacuated->lost_ns = 0;
      if (was_lost)
        evacuation->ops->changed (evacuation->data, evacuated,
                                  EVACUATION_FOUND);
      return true;
    }
  evacuated = g_new0 (struct evacuated, 1);
  g_strlcpy (evacuated->data_centre, data_centre,
             sizeof evacuated->data_centre);
  evacuated->revision = revision;
  evacuated->era = era;
  evacuated->since_ns = now_ns;
  g_hash_table_insert (evacuation->by_name, evacuated->data_centre, evacuated);
  evacuation->ops->changed (evacuation->data, evacuated, EVACUATION_BEGAN);
  return true;
}

static void
evacuated_end (struct evacuation *evacuation, struct evacuated *evacuated,
               enum evacuation_change change)
{
  g_hash_table_steal (evacuation->by_name, evacuated->data_centre);
  evacuation->ops->changed (evacuation->data, evacuated, change);
  g_free (evacuated);
}

/* Whether ABSENCE shows that the key was removed. Keys of operators have no
 * lease, so within one era only a removal makes one disappear. */
static bool
absence_is_removal (const struct evacuated *evacuated,
                    const struct evacuation_absence *absence)
{
  return absence->is_reported
         || (!absence->is_empty && absence->era == evacuated->era
             && absence->revision >= evacuated->revision);
}

void
evacuation_removed (struct evacuation *evacuation, const char *data_centre,
                    const struct evacuation_absence *absence, int64_t now_ns)
{
  struct evacuated *evacuated
      = g_hash_table_lookup (evacuation->by_name, data_centre);

  if (evacuated == NULL)
    return;
  if (absence_is_removal (evacuated, absence))
    evacuated_end (evacuation, evacuated, EVACUATION_ENDED);
  else if (evacuated->lost_since_ns == 0)
    {
      evacuated->lost_since_ns = now_ns;
      evacuation->ops->changed (evacuation->data, evacuated, EVACUATION_LOST);
    }
}

/* Count the time for which keys are lost, and end evacuations whose keys have
 * been lost for too long. */
static void
lost_expire (struct evacuation *evacuation, int64_t span_ns)
{
  GHashTableIter iter;
  gpointer value;
  bool again = true;

  g_hash_table_iter_init (&iter, evacuation->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct evacuated *evacuated = value;

      if (evacuated->lost_since_ns != 0)
        evacuated->lost_ns += span_ns;
    }
  while (again)
    {
      again = false;
      g_hash_table_iter_init (&iter, evacuation->by_name);
      while (!again && g_hash_table_iter_next (&iter, NULL, &value))
        again = ((struct evacuated *)value)->lost_ns
                >= EVACUATION_LOST_HOLD_MS * NS_PER_MS;
      if (again)
        evacuated_end (evacuation, value, EVACUATION_EXPIRED);
    }
}

/* Return the length of a suspension after which the keys are too old to send
 * by. Shorter ones are frequent on a busy machine, and what the KV service
 * reported meanwhile is read right after them. */
static int64_t
age_max_ns (const struct evacuation *evacuation)
{
  return MAX (evacuation->evacuate_ns - EVACUATION_MARGIN_MS * NS_PER_MS,
              EVACUATION_MARGIN_MS * NS_PER_MS);
}

/* Whether the keys have not been read since a suspension, and may be soon. */
static bool
must_wait (struct evacuation *evacuation,
           const struct evacuation_reading *reading, int64_t now_ns)
{
  if (evacuation->last_tick_ns != 0
      && now_ns - evacuation->last_tick_ns >= age_max_ns (evacuation))
    evacuation->resumed_ns = now_ns;
  if (!reading->is_reading_anew)
    evacuation->resumed_ns = 0;
  return evacuation->resumed_ns != 0
         && now_ns - evacuation->resumed_ns
                < EVACUATION_HOLD_MAX_MS * NS_PER_MS
         && (reading->reachable
             || now_ns - evacuation->resumed_ns
                    < EVACUATION_READ_WAIT_MS * NS_PER_MS);
}

void
evacuation_tick (struct evacuation *evacuation,
                 const struct evacuation_reading *reading, int64_t now_ns)
{
  bool may_expire = reading->initial_read_done && reading->reachable
                    && !reading->is_reading_anew;

  if (may_expire && evacuation->last_tick_ns != 0)
    lost_expire (evacuation, now_ns - evacuation->last_tick_ns);
  evacuation->is_initial = !reading->initial_read_done;
  evacuation->holds_sends = must_wait (evacuation, reading, now_ns);
  evacuation->last_tick_ns = now_ns;
}

bool
evacuation_is_evacuated (const struct evacuation *evacuation,
                         const char *data_centre)
{
  return evacuation != NULL
         && g_hash_table_contains (evacuation->by_name, data_centre);
}

bool
evacuation_holds_sends (const struct evacuation *evacuation, int64_t now_ns)
{
  /* After a suspension other callbacks may come before the next tick. */
  return evacuation != NULL && evacuation->evacuate_ns > 0
         && (evacuation->is_initial || evacuation->holds_sends
             || now_ns - evacuation->last_tick_ns >= age_max_ns (evacuation));
}

const char *
evacuation_change_name (enum evacuation_change change)
{
  static const char *const names[] = {
    [EVACUATION_BEGAN] = "began",     [EVACUATION_LOST] = "lost",
    [EVACUATION_FOUND] = "found",     [EVACUATION_ENDED] = "ended",
    [EVACUATION_EXPIRED] = "expired",
  };

  return names[change];
}
