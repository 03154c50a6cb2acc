#include "forwardhost.h"
#include "forwardhomes.h"
#include "forwardlog.h"
#include "forwardrefusals.h"
#include "serverreach.h"

#include <string.h>

enum
{
  /* Maximum number of requests that this host has in flight at another. */
  IN_FLIGHT_MAX = 256,
  /* A host that refused a request, or can't be reached, gets none for this
   * time. */
  REFUSED_PAUSE_MS = 200,
  UNREACHED_PAUSE_MS = 1000,
  /* A host that has sent nothing for this time may stand still. */
  SILENT_MS = 500,
  /* Maximum number of hosts that hold room that are looked at. */
  HOLDERS_MAX = 4,
  /* Minimum time left of a request that is passed on. */
  TIME_LEFT_MIN_MS = 10,
  /* Time by which the other host ends a request earlier, so that what it says
   * of it arrives in time. */
  REPLY_MARGIN_MS = 40
};

/* The best host so far that a request can be passed on to. */
struct choice
{
  const struct forward *forward;
  struct otherhost *host;
  enum loadshare_reach reach;
  unsigned candidates;
};

static bool
was_tried (const struct forward *forward, const struct otherhost *host)
{
  for (unsigned i = 0; i < forward->host_tries; i++)
    if (forward->tried_hosts[i] == host->server->id_hash)
      return true;
  return false;
}

/* Whether the request may be passed on at all. */
static bool
may_pass_on (const struct forward *forward)
{
  return !forward->from_host && forward->forwarder->hosts != NULL
         && forward->refusals.count < CALL_REFUSALS_MAX
         && forward->host_tries < FORWARD_HOST_TRIES_MAX
         && forward->run_count < forward->route->servers_max
         && forward_time_left_ns (forward) > TIME_LEFT_MIN_MS * NS_PER_MS
         && (forward->run_count == 0 || route_allows_retry (forward->route));
}

bool
forwardhost_is_due (const struct forward *forward)
{
  return may_pass_on (forward)
         && servers_service_is_out (forward->forwarder->servers,
                                    forward->service);
}

/* Whether HOST takes no request like this one now, or must not get it. */
static bool
is_avoided (const struct forward *forward, const struct otherhost *host)
{
  int64_t now = clock_now (forward->forwarder->clock);

  return host->avoid_until_ns > now
         || (host->refused_until_ns > now
             && host->refused_service
                    == servers_service_hash (forward->service))
         || host->in_flight >= IN_FLIGHT_MAX || was_tried (forward, host)
         || !forwardhomes_allow_host (forward,
                                      host->server->entry.data_centre);
}

/* Hosts that report to reach the service come first, then those with the
 * fewest requests of this host. */
static void
host_consider (void *data, struct otherhost *host, enum loadshare_reach reach)
{
  struct choice *choice = data;
  const struct forward *forward = choice->forward;
  const struct otherhost *best = choice->host;

  if (reach == LOADSHARE_REACH_OUT || is_avoided (forward, host))
    return;
  choice->candidates++;
  if (best != NULL
      && (reach < choice->reach
          || (reach == choice->reach
              && (host->in_flight > best->in_flight
                  || (host->in_flight == best->in_flight
                      && rng_uniform (forward->forwarder->rng)
                                 * choice->candidates
                             >= 1)))))
    return;
  choice->host = host;
  choice->reach = reach;
}

static void
host_attempt_start (struct forward_attempt *attempt, struct otherhost *host)
{
  struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  struct callerconn *conn = forward->conn;
  const char *method = callerconn_method (conn);
  int64_t left_ns = forward_time_left_ns (forward);
  GString *request = g_string_sized_new (1024 + conn->body->len);
  struct pass_on_header header = {
    .time_left_ns = MAX (left_ns - REPLY_MARGIN_MS * NS_PER_MS, left_ns / 2),
    .earlier_runs = forward->run_count + (attempt != forward->attempt),
    .refusals = forward->refusals,
    .config_version = forward->routes->version,
    .resumes = forward->relaying,
    .last_event_id = attempt->exchange.events.last_id,
  };

  forwarder->dialect->pass_on_encode (request, method, conn->target->str,
                                      &conn->head, conn->body, &header);
  attempt->host = host;
  forward->tried_hosts[forward->host_tries++] = host->server->id_hash;
  host->in_flight++;
  attempt->weight_version = 0;
  attempt->software_hash = forward->software_hash;
  exchange_send (&attempt->exchange, forwarder->loop, host->server,
                 &(struct exchange_request){
                     .id = forward->call.request_id,
                     .bytes = request,
                     .is_head = strcmp (method, "HEAD") == 0,
                     .is_stream = forward->route->kind == ROUTE_STREAM,
                     .continues = forward->relaying,
                 },
                 forwarder->settings.connect_timeout_ns);
}

bool
forwardhost_send_to_holder (struct forward_attempt *attempt,
                            const struct server *server)
{
  struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  unsigned holders;
  unsigned first;

  if (!may_pass_on (forward) || server->in_other_subset
      || server->sending_host_count
             <= g_hash_table_size (forwarder->hosts->presence->hosts))
    return false;
  holders = serverbrittle_holders (
      &server->brittle,
      serverbrittle_room (&server->brittle, server->entry.slots));
  holders = CLAMP (holders, 1U, OTHERHOSTS_RANKS_MAX);
  first = (unsigned)rng_below (forwarder->rng, holders);
  for (unsigned i = 0; i < MIN (holders, HOLDERS_MAX); i++)
    {
      struct otherhost *host = otherhosts_of_rank (
          forwarder->hosts, server->entry.id, (first + i) % holders);

      if (host == NULL || is_avoided (forward, host)
          || loadshare_host_reach (forwarder->hosts->loadshare,
                                   host->server->entry.id,
                                   servers_service_hash (forward->service))
                 == LOADSHARE_REACH_OUT)
        continue;
      forward_log_host (forward, host->server->entry.id, holders, "room");
      host_attempt_start (attempt, host);
      return true;
    }
  return false;
}

/* Return a brittle server of the request's service at which this host has no
 * room, so that others hold it, at random; NULL if there is none. */
static const struct server *
brittle_server (const struct forward *forward)
{
  const struct forwarder *forwarder = forward->forwarder;
  const GPtrArray *list
      = servers_of_service (forwarder->servers, forward->service);
  int64_t now = clock_now (forwarder->clock);
  const struct server *found = NULL;
  unsigned count = 0;

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct server *server = list->pdata[i];
      const struct serverbrittle *brittle = &server->brittle;
      unsigned room = serverbrittle_room (brittle, server->entry.slots);

      if (brittle->brittle && serverbrittle_share (brittle, room, now) == 0
          && rng_uniform (forwarder->rng) * ++count < 1)
        found = server;
    }
  return found;
}

bool
forwardhost_send (struct forward_attempt *attempt)
{
  struct forward *forward = attempt->forward;
  struct otherhosts *hosts = forward->forwarder->hosts;
  struct choice choice = { .forward = forward };
  const struct server *brittle = brittle_server (forward);

  if (brittle != NULL && forwardhost_send_to_holder (attempt, brittle))
    return true;
  otherhosts_visit (hosts, servers_service_hash (forward->service),
                    host_consider, &choice);
  if (choice.host == NULL)
    return false;
  forward_log_host (forward, choice.host->server->entry.id, choice.candidates,
                    choice.reach == LOADSHARE_REACH_IN ? "in" : "unknown");
  host_attempt_start (attempt, choice.host);
  return true;
}

void
forwardhost_head_received (struct forward_attempt *attempt)
{
  struct response *response = &attempt->exchange.response;

  response->not_run
      = response->refused_by_host && !response->from_backend_server;
}

void
forwardhost_count_runs (struct forward *forward)
{
  forward->run_count = MAX (forward->route->servers_max, 1U) - 1;
}

bool
forwardhost_ended (struct forward_attempt *attempt,
                   enum exchange_outcome outcome)
{
  struct forward *forward = attempt->forward;
  struct otherhost *host = attempt->host;
  int64_t now = clock_now (forward->forwarder->clock);
  bool not_run
      = outcome == EXCHANGE_NOT_CONNECTED || outcome == EXCHANGE_NOT_RUN;

  if (outcome == EXCHANGE_NOT_RUN)
    {
      forwardrefusals_add (forward, &attempt->exchange.response.refusals);
      host->refused_service = servers_service_hash (forward->service);
      host->refused_until_ns = now + REFUSED_PAUSE_MS * NS_PER_MS;
    }
  else if (outcome == EXCHANGE_NOT_CONNECTED
           || (outcome == EXCHANGE_CUT && !attempt->exchange.has_head))
    host->avoid_until_ns = now + UNREACHED_PAUSE_MS * NS_PER_MS;
  forwardhost_release (attempt);
  if (!not_run)
    forwardhost_count_runs (forward);
  return not_run;
}

/* Whether the host of the current attempt has sent nothing for so long that it
 * may stand still. */
static bool
host_is_silent (const struct forward_attempt *attempt)
{
  const struct exchange *exchange = &attempt->exchange;

  return exchange->sent_ns != 0 && !exchange->has_head
         && clock_now (attempt->forward->forwarder->clock) - exchange->sent_ns
                > SILENT_MS * NS_PER_MS;
}

void
forwardhost_release (struct forward_attempt *attempt)
{
  const struct forwarder *forwarder = attempt->forward->forwarder;

  if (attempt->host == NULL)
    return;
  attempt->host->in_flight--;
  if (host_is_silent (attempt))
    attempt->host->avoid_until_ns
        = clock_now (forwarder->clock) + UNREACHED_PAUSE_MS * NS_PER_MS;
  attempt->host = NULL;
}
