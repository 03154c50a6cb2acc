#include "entryera.h"
#include "entry.h"

static void
era_changed (void *data, uint64_t old_era, uint64_t era)
{
  struct entry *entry = data;

  log_event (&entry->log, EVENT_STORE_ERA,
             "old_era=%lu era=%lu operator_revision=%lu servers_revision=%lu "
             "hosts_revision=%lu lease=%lu fence=%lu restarted=%s",
             (unsigned long)old_era, (unsigned long)era,
             (unsigned long)entry->operator_view.revision,
             (unsigned long)entry->servers_view.revision,
             (unsigned long)entry->hosts_view.revision,
             (unsigned long)entry->presence.lease,
             (unsigned long)entry->rollout.fencing_token,
             old_era == 0 ? "none" : "views,leases,keys,leadership");
  rollout_era_changed (&entry->rollout, era, old_era != 0);
  if (old_era == 0)
    return;
  /* Calls that wait to be sent name leases and revisions of the older era. */
  kvbudget_refuse_queued (&entry->kvbudget);
  kvview_era_changed (&entry->operator_view);
  kvview_era_changed (&entry->servers_view);
  kvview_era_changed (&entry->hosts_view);
  presence_era_changed (&entry->presence);
  poisoncount_era_changed (&entry->poisoncount);
  blamestore_era_changed (&entry->blameshare.store);
}

const struct kvera_ops entryera_ops = { era_changed };
