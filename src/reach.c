#include "reach.h"
#include "clock.h"

#include <glib.h>

static void
failures_add (struct reach_failures *failures, uint32_t server,
              int64_t sent_ns)
{
  unsigned i = 0;

  while (i < failures->count && failures->servers[i] != server)
    i++;
  if (i == REACH_SERVERS_MIN)
    return;
  if (i == failures->count)
    failures->sent_ns[failures->count++] = sent_ns;
  failures->servers[i] = server;
  failures->sent_ns[i] = MAX (failures->sent_ns[i], sent_ns);
}

/* Drop the failures of what was sent at SENT_NS or before. */
static void
failures_drop (struct reach_failures *failures, int64_t sent_ns)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < failures->count; i++)
    {
      if (failures->sent_ns[i] <= sent_ns)
        continue;
      failures->servers[kept] = failures->servers[i];
      failures->sent_ns[kept++] = failures->sent_ns[i];
    }
  failures->count = kept;
}

static bool
failures_hold (const struct reach_failures *failures, uint32_t server)
{
  for (unsigned i = 0; i < failures->count; i++)
    if (failures->servers[i] == server)
      return true;
  return false;
}

/* Whether failures raise a doubt about the links to SERVER_COUNT servers. */
static bool
failures_raise_doubt (const struct reach_failures *failures,
                      unsigned server_count)
{
  return server_count > 0
         && failures->count >= MIN (server_count, REACH_SERVERS_MIN);
}

/* Whether failures show that none of SERVER_COUNT servers is reached. One that
 * has become unreachable since is none of them, so few have to be named. */
static bool
failures_prove_loss (const struct reach *reach,
                     const struct reach_failures *failures,
                     unsigned server_count)
{
  if (server_count >= REACH_SERVERS_MIN)
    return failures->count >= REACH_SERVERS_MIN;
  for (unsigned i = 0; i < server_count; i++)
    if (!failures_hold (failures, reach->few[i]))
      return false;
  return server_count > 0;
}

void
reach_record_unanswered (struct reach *reach, uint32_t server, int64_t sent_ns)
{
  failures_add (&reach->requests, server, sent_ns);
}

void
reach_record_query_unanswered (struct reach *reach, uint32_t server,
                               int64_t sent_ns)
{
  failures_add (&reach->queries, server, sent_ns);
}

void
reach_record_answer (struct reach *reach, int64_t sent_ns, int64_t now_ns)
{
  reach->answered_ns = now_ns;
  failures_drop (&reach->requests, sent_ns);
  failures_drop (&reach->queries, sent_ns);
  if (!reach_is_questioned (reach))
    reach->query_rounds = 0;
}

bool
reach_is_silent (const struct reach *reach, int64_t sent_ns, int64_t now_ns)
{
  return now_ns - MAX (sent_ns, reach->answered_ns)
         > REACH_SILENCE_MS * NS_PER_MS;
}

bool
reach_is_questioned (const struct reach *reach)
{
  return reach->requests.count > 0 || reach->queries.count > 0;
}

bool
reach_is_doubted (const struct reach *reach, unsigned server_count)
{
  return failures_raise_doubt (&reach->requests, server_count)
         || failures_raise_doubt (&reach->queries, server_count);
}

bool
reach_is_lost (const struct reach *reach, unsigned server_count)
{
  return failures_prove_loss (reach, &reach->queries, server_count);
}
