#include "entrypeers.h"
#include "entry.h"
#include "serverreach.h"

#include <string.h>

void
entrypeers_init (struct entrypeers *peers)
{
  peers->out = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
entrypeers_finish (struct entrypeers *peers)
{
  g_hash_table_destroy (peers->out);
}

/* Count the other hosts by what they report of SERVICE. */
static void
reports_count (const struct entry *entry, const char *service,
               unsigned counts[LOADSHARE_REACH_IN + 1])
{
  uint64_t hash = servers_service_hash (service);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, entry->presence.hosts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    counts[loadshare_host_reach (&entry->loadshare, presence_host_name (key),
                                 hash)]++;
}

static void
service_check (struct entry *entry, const char *service)
{
  const GPtrArray *list = servers_of_service (&entry->servers, service);
  bool is_out = servers_service_is_out (&entry->servers, service);
  unsigned counts[LOADSHARE_REACH_IN + 1] = { 0 };

  if (is_out == g_hash_table_contains (entry->peers.out, service))
    return;
  if (is_out)
    g_hash_table_add (entry->peers.out, g_strdup (service));
  else
    g_hash_table_remove (entry->peers.out, service);
  metrics_add (&entry->metrics, "trefoilspar_services_out_total", "", is_out);
  reports_count (entry, service, counts);
  log_event (&entry->log, EVENT_SERVICE_REACH,
             "service=%s what=%s registered=%u hosts_in=%u hosts_out=%u "
             "hosts_unknown=%u",
             service, is_out ? "out" : "in", list != NULL ? list->len : 0,
             counts[LOADSHARE_REACH_IN], counts[LOADSHARE_REACH_OUT],
             counts[LOADSHARE_REACH_UNKNOWN]);
}

static bool
runs_models (const struct entry *entry, const char *service)
{
  const GPtrArray *list = servers_of_service (&entry->servers, service);

  for (guint i = 0; list != NULL && i < list->len; i++)
    if (((const struct server *)list->pdata[i])->entry.model_count > 0)
      return true;
  return false;
}

/* Whether other hosts reach engines that this host does not. */
static bool
others_reach_more (const struct entry *entry)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, entry->peers.out);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    {
      unsigned counts[LOADSHARE_REACH_IN + 1] = { 0 };

      reports_count (entry, service, counts);
      if (counts[LOADSHARE_REACH_IN] > 0 && runs_models (entry, service))
        return true;
    }
  return false;
}

void
entrypeers_tick (struct entry *entry)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, entry->servers.by_service);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    service_check (entry, service);
  rollout_set_unfit (&entry->rollout, others_reach_more (entry));
}
