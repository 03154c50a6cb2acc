#include "serverlog.h"

void
serverlog_changed (struct log *log, struct metrics *metrics,
                   const struct clock *clock, const struct server *server,
                   const char *change)
{
  int64_t pause_ns = MAX (server->pause.until_ns - clock_now (clock), 0);
  char labels[64];

  log_event (log, EVENT_SERVER_CHANGED,
             "server=%s service=%s address=%s what=%s revision=%lu "
             "started_ms=%lu in_flight=%u misses=%u limit_per_s=%.2f "
             "pause_ms=%.1f brittle=%ld slowness=%.2f cold=%s cold_share=%u",
             server->entry.id, server->entry.service, server->entry.address,
             change, (unsigned long)server->revision,
             (unsigned long)server->entry.started_ms,
             server->in_flight_requests, server->connection_failures,
             server->limit.limited ? server->limit.per_s : -1.0,
             (double)pause_ns / NS_PER_MS,
             server->brittle.brittle ? (long)server->brittle.rejections : -1L,
             serverspeed_factor (&server->speed, clock_now (clock)),
             servercold_cause_name (&server->cold, clock_now (clock)),
             server->cold.per_s > 0
                 ? servercold_share (&server->cold, clock_now (clock))
                 : 0);
  g_snprintf (labels, sizeof labels, "what=\"%s\"", change);
  metrics_add (metrics, "trefoilspar_server_changes_total", labels, 1);
}

void
serverlog_ignored (struct log *log, struct metrics *metrics,
                   const struct server *server, const char *field,
                   const char *reason)
{
  char labels[96];

  log_event (log, EVENT_STATEMENT_IGNORED,
             "server=%s service=%s address=%s field=%s reason=%s",
             server->entry.id, server->entry.service, server->entry.address,
             field, reason);
  g_snprintf (labels, sizeof labels, "field=\"%s\",reason=\"%s\"", field,
              reason);
  metrics_add (metrics, "trefoilspar_statements_ignored_total", labels, 1);
}
