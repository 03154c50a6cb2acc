#include "entryevacuation.h"
#include "entry.h"
#include "entryviews.h"
#include "serverevacuate.h"

#include <string.h>

static const char *
data_centre_of (const struct entry *entry, const char *key)
{
  return key + strlen (entry->dialect->evacuation_prefix);
}

static void
evacuation_changed (void *data, const struct evacuated *evacuated,
                    enum evacuation_change change)
{
  struct entry *entry = data;
  const char *name = evacuation_change_name (change);
  unsigned count
      = servers_apply_evacuation (&entry->servers, evacuated->data_centre);
  char *data_centre = log_escape_spaces (evacuated->data_centre);
  char labels[32];

  if (change == EVACUATION_ENDED || change == EVACUATION_EXPIRED)
    /* Its servers got no requests meanwhile and may be cold. */
    servers_assume_cold (&entry->servers, evacuated->data_centre);
  log_event (&entry->log, EVENT_EVACUATION_CHANGED,
             "data_centre=%s what=%s revision=%lu era=%lu known_ms=%.1f "
             "servers=%u evacuated=%u",
             data_centre, name, (unsigned long)evacuated->revision,
             (unsigned long)evacuated->era,
             (double)(clock_boottime (&entry->clock) - evacuated->since_ns)
                 / NS_PER_MS,
             count, g_hash_table_size (entry->evacuation.by_name));
  g_free (data_centre);
  g_snprintf (labels, sizeof labels, "what=\"%s\"", name);
  metrics_add (&entry->metrics, "trefoilspar_evacuation_changes_total", labels,
               1);
  metrics_set (&entry->metrics, "trefoilspar_evacuated_data_centres", "",
               g_hash_table_size (entry->evacuation.by_name));
}

static const struct evacuation_ops evacuation_ops = { evacuation_changed };

void
entryevacuation_init (struct entry *entry)
{
  evacuation_init (&entry->evacuation, entry->settings->servers.evacuate_ns,
                   &evacuation_ops, entry);
  entry->servers.evacuation = &entry->evacuation;
  entry->kvstores.evacuation = &entry->evacuation;
}

void
entryevacuation_finish (struct entry *entry)
{
  evacuation_finish (&entry->evacuation);
}

void
entryevacuation_tick (struct entry *entry)
{
  const struct kvview *view = &entry->operator_view;
  const struct evacuation_reading reading = {
    .initial_read_done = view->initial_read_done,
    .is_reading_anew = view->keeps_unseen,
    .reachable = view->reachable,
  };
  struct evacuation *evacuation = &entry->evacuation;
  int64_t now = clock_boottime (&entry->clock);
  bool held = evacuation->holds_sends;

  evacuation->evacuate_ns = entry->settings->servers.evacuate_ns;
  evacuation_tick (evacuation, &reading, now);
  if (evacuation->holds_sends == held)
    return;
  log_event (&entry->log, EVENT_EVACUATION_HOLD,
             "holds=%s unseen_ms=%.1f waiting=%zu", held ? "false" : "true",
             (double)(now - view->unseen_since_ns) / NS_PER_MS,
             entry->forwarder.waiting_count);
  if (!held)
    metrics_add (&entry->metrics, "trefoilspar_evacuation_holds_total", "", 1);
}

void
entryevacuation_put (struct entry *entry, const char *key, uint64_t revision)
{
  struct error error;

  if (evacuation_put (&entry->evacuation, data_centre_of (entry, key),
                      revision, entry->kvera.era,
                      clock_boottime (&entry->clock)))
    return;
  error_set (&error, STATUS_INVALID, "no name of a data centre");
  entryviews_log_ignored_key (entry, key, revision, &error);
  metrics_add (&entry->metrics, "trefoilspar_evacuations_ignored_total", "",
               1);
}

void
entryevacuation_removed (struct entry *entry, const char *key)
{
  const struct kvview *view = &entry->operator_view;
  const struct evacuation_absence absence = {
    .is_reported = view->removal_reported,
    .is_empty = view->read_was_empty,
    .era = entry->kvera.era,
    .revision = view->read_revision,
  };

  evacuation_removed (&entry->evacuation, data_centre_of (entry, key),
                      &absence, clock_boottime (&entry->clock));
}
