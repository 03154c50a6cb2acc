#include "serverlearn.h"
#include "serverslowness.h"

enum
{
  /* A server that has rejected a request gets no requests for this time. */
  REJECTION_BUSY_MS = 150,
  /* Bits of server.ignored_fields. */
  FIELD_LEAVING = 1 << 0,
  FIELD_PAUSE = 1 << 1,
  FIELD_LIMIT = 1 << 2,
  FIELD_BRITTLE = 1 << 3,
  FIELD_SLOWNESS = 1 << 4,
  FIELD_COLD = 1 << 5
};

static const char *const reasons[] = {
  [STATEMENT_MALFORMED] = "malformed",
  [STATEMENT_REPEATED] = "repeated",
  [STATEMENT_FOREIGN] = "other_server",
};

/* Whether a statement of KIND counts. One that is ignored is reported. */
static bool
is_believed (struct servers *servers, struct server *server, unsigned field,
             const char *field_name, enum statement_kind kind)
{
  if (kind == STATEMENT_NONE || kind == STATEMENT_VALID)
    return kind == STATEMENT_VALID;
  if ((server->ignored_fields & field) == 0)
    servers->ops->ignored (servers->data, server, field_name, reasons[kind]);
  server->ignored_fields |= field;
  return false;
}

static struct serverstart *
server_start (struct servers *servers, const struct server *server)
{
  struct serverstart_key key = server_start_key (&server->entry);

  return serverstart_obtain (&servers->stated, &key,
                             clock_now (servers->clock));
}

static void
learn_leaving (struct servers *servers, struct server *server)
{
  struct serverstart *start;

  if (server->states_leaving)
    return;
  server->states_leaving = true;
  servers->generation++;
  start = server_start (servers, server);
  if (start != NULL)
    start->leaving = true;
  servers->ops->changed (servers->data, server, "states_leaving");
}

static void
learn_pause (struct servers *servers, struct server *server, int64_t span_ns)
{
  bool began = serverpause_record (&server->pause, span_ns,
                                   clock_now (servers->clock));
  struct serverstart *start = server_start (servers, server);

  if (start != NULL)
    start->pause = server->pause;
  if (began)
    servers->ops->changed (servers->data, server, "paused");
}

void
serverlearn_statement (struct servers *servers, struct server *server,
                       const struct statement *statement)
{
  if (is_believed (servers, server, FIELD_LEAVING, "leaving",
                   statement->leaving))
    learn_leaving (servers, server);
  if (is_believed (servers, server, FIELD_PAUSE, "pause", statement->pause))
    learn_pause (servers, server, statement->pause_ns);
  if (is_believed (servers, server, FIELD_BRITTLE, "brittle",
                   statement->brittle))
    servers_record_brittle (servers, server, statement->rejections,
                            clock_now (servers->clock), true);
  /* How old the response is is not known here, so that it ends no assumption.
   */
  if (is_believed (servers, server, FIELD_COLD, "cold", statement->cold))
    servercold_record (&server->cold, statement->cold_ns, 0,
                       SERVERCOLD_RESPONSE, clock_now (servers->clock));
}

void
serverlearn_slowness (struct servers *servers, struct server *server,
                      const struct response *response, int64_t asked_ns,
                      int64_t now_ns)
{
  if (is_believed (servers, server, FIELD_SLOWNESS, "slowness",
                   response->slowness_kind))
    servers_record_slowness (servers, server, response->slowness, asked_ns,
                             now_ns, true);
}

void
serverlearn_rejection (struct servers *servers, struct server *server,
                       int64_t now_ns)
{
  server_set_busy (server, now_ns + REJECTION_BUSY_MS * NS_PER_MS);
  serverbrittle_record_rejection (&server->brittle, now_ns, true);
}

void
serverlearn_query_response (struct servers *servers, struct server *server,
                            const struct response *response, int64_t now_ns)
{
  enum statement_kind limit = response->limit_malformed ? STATEMENT_MALFORMED
                              : response->limit_per_s >= 0 ? STATEMENT_VALID
                                                           : STATEMENT_NONE;

  if (response->other_server || server->removed)
    return;
  if (is_believed (servers, server, FIELD_LIMIT, "limit", limit))
    servers_record_limit (servers, server, response->limit_per_s, now_ns,
                          true);
  serverlearn_slowness (servers, server, response, server->probe_began_ns,
                        now_ns);
  serverlearn_statement (servers, server, &response->statement);
  /* The response to a query says whether the server is cold, also by saying
   * nothing of it. */
  if (response->success
      && (response->statement.cold == STATEMENT_VALID
          || response->statement.cold == STATEMENT_NONE))
    servercold_record (&server->cold, response->statement.cold_ns,
                       server->probe_began_ns, SERVERCOLD_RESPONSE, now_ns);
}
