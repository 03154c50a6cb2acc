#include "servers.h"

#include <string.h>

enum
{
  /* Age that an entry may have when this host reads it: a host pauses between
   * reading changes. */
  ENTRY_AGE_MAX_MS = 1000,
  /* Interval at which changes are noted. */
  NOTE_INTERVAL_MS = 100,
  /* Bits of server.ignored_fields for the entry; serverlearn.c has those of
   * responses. */
  FIELD_ENTRY_COLD = 1 << 16
};

void
servers_set_cold_bound (struct servers *servers, double overage,
                        double tolerance)
{
  servers->cold.overage = overage;
  servers->cold.tolerance = tolerance;
}

void
servers_configure_cold (struct servers *servers, struct server *server,
                        double per_s, int64_t span_ns)
{
  if (server->cold.per_s == per_s && server->cold.span_ns == span_ns)
    return;
  servercold_configure (&server->cold, per_s, span_ns);
  /* The positions of this host are set anew. */
  servers->generation++;
}

void
servers_record_entry_cold (struct servers *servers, struct server *server,
                           bool is_new_start)
{
  const struct server_entry *entry = &server->entry;
  int64_t now = clock_now (servers->clock);

  if (entry->cold == STATEMENT_MALFORMED)
    {
      if ((server->ignored_fields & FIELD_ENTRY_COLD) == 0)
        servers->ops->ignored (servers->data, server, "entry_cold",
                               "malformed");
      server->ignored_fields |= FIELD_ENTRY_COLD;
      return;
    }
  servercold_record (&server->cold, entry->cold_left_ns,
                     is_new_start ? now : now - ENTRY_AGE_MAX_MS * NS_PER_MS,
                     SERVERCOLD_ENTRY, now);
}

void
servers_assume_cold (struct servers *servers, const char *data_centre)
{
  int64_t now = clock_now (servers->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = value;

      if (server->cold.per_s > 0
          && (data_centre == NULL
              || strcmp (server->entry.data_centre, data_centre) == 0))
        servercold_assume (&server->cold,
                           data_centre == NULL ? SERVERCOLD_SUSPENSION
                                               : SERVERCOLD_EVACUATION,
                           now);
    }
}

static void
changes_note (struct servers *servers, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = value;

      if (server->cold.per_s > 0 && servercold_note (&server->cold, now))
        servers->ops->changed (servers->data, server,
                               server->cold.noted ? "cold" : "warm");
    }
}

void
servers_cold_tick (struct servers *servers, int64_t listed_ns, int64_t join_ns,
                   unsigned departed)
{
  int64_t now = clock_now (servers->clock);
  int64_t boottime = clock_boottime (servers->clock);

  servers->cold.listed_ns = listed_ns;
  servers->cold.join_ns = join_ns;
  servers->cold.departed = departed;
  if (servers->cold.tick_ns != 0
      && boottime - servers->cold_tick_boottime_ns
             >= SERVERCOLD_SUSPENDED_MS * NS_PER_MS)
    servers_assume_cold (servers, NULL);
  servers->cold.tick_ns = now;
  servers->cold_tick_boottime_ns = boottime;
  if (now < servers->next_cold_note_ns)
    return;
  servers->next_cold_note_ns = now + NOTE_INTERVAL_MS * NS_PER_MS;
  changes_note (servers, now);
}

static gboolean
sends_are_old (gpointer id, gpointer sends, gpointer data)
{
  const struct servers *servers = data;
  const GArray *times = sends;

  return g_array_index (times, int64_t, times->len - 1)
             + servers->cold.window_ns
         <= clock_now (servers->clock);
}

void
servers_keep_cold_sends (struct servers *servers, struct server *server)
{
  GArray *sends
      = servercold_take_sends (&server->cold, clock_now (servers->clock));

  g_hash_table_foreach_remove (servers->cold_sends, sends_are_old, servers);
  if (sends != NULL)
    g_hash_table_replace (servers->cold_sends, g_strdup (server->entry.id),
                          sends);
}

void
servers_restore_cold_sends (struct servers *servers, struct server *server)
{
  gpointer id, sends;

  if (!g_hash_table_steal_extended (servers->cold_sends, server->entry.id, &id,
                                    &sends))
    return;
  g_free (id);
  servercold_restore_sends (&server->cold, sends);
}
