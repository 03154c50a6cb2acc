#include "serverslowness.h"

void
servers_record_slowness (struct servers *servers, struct server *server,
                         double slowness, int64_t asked_ns, int64_t stated_ns,
                         bool here)
{
  struct serverspeed *speed = &server->speed;

  if (speed->service == NULL)
    return;
  server->states_slowness = true;
  serverspeed_service_note_time (speed->service, clock_now (servers->clock),
                                 clock_boottime (servers->clock));
  /* What was asked for before a suspension may have been stated at any time
   * since. */
  if (serverspeed_record (
          speed, slowness,
          asked_ns < speed->service->resumed_ns ? asked_ns : stated_ns, here))
    servers->ops->changed (servers->data, server,
                           speed->is_slow ? "slow" : "not_slow");
  if (!here || server->is_stating_slowness)
    return;
  server->is_stating_slowness = true;
  g_ptr_array_add (servers->stating_slowness, server_ref (server));
}

void
servers_note_time (const GPtrArray *list, int64_t now_ns, int64_t boottime_ns)
{
  const struct server *server = list->len > 0 ? list->pdata[0] : NULL;

  if (server != NULL && server->speed.service != NULL)
    serverspeed_service_note_time (server->speed.service, now_ns, boottime_ns);
}

void
servers_record_first_event (struct servers *servers, struct server *server,
                            double measured_ms, double expected_ms)
{
  if (serverspeed_record_first_event (&server->speed, measured_ms, expected_ms,
                                      clock_now (servers->clock)))
    servers->ops->changed (servers->data, server,
                           server->speed.is_slow ? "slow" : "not_slow");
}

void
servers_drop_stating_slowness (struct servers *servers)
{
  int64_t now = clock_now (servers->clock);
  int64_t boottime = clock_boottime (servers->clock);

  for (guint i = servers->stating_slowness->len; i-- > 0;)
    {
      struct server *server = servers->stating_slowness->pdata[i];

      serverspeed_service_note_time (server->speed.service, now, boottime);
      if (!server->removed && serverspeed_is_news (&server->speed, now))
        continue;
      server->is_stating_slowness = false;
      g_ptr_array_remove_index_fast (servers->stating_slowness, i);
    }
}

void
servers_forget_slowness (struct servers *servers)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, servers->speed_by_service);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    ((struct serverspeed_service *)service)->resumed_ns
        = clock_now (servers->clock);
}
