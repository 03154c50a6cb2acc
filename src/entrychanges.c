#include "entrychanges.h"
#include "entry.h"

void
entrychanges_known (void *data, struct loadshare_changes *changes)
{
  const struct entry *entry = data;

  *changes = (struct loadshare_changes){
    .era = entry->kvera.era,
    .operator_revision = entry->operator_view.change_revision,
    .servers_revision = entry->servers_view.change_revision,
  };
}

void
entrychanges_reported (void *data, const char *host,
                       const struct loadshare_changes *changes)
{
  struct entry *entry = data;

  if (changes->era != entry->kvera.era)
    return;
  kvview_note_change (&entry->operator_view, changes->operator_revision);
  kvview_note_change (&entry->servers_view, changes->servers_revision);
}
