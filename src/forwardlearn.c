#include "forwardlearn.h"
#include "kvstoreuse.h"
#include "forwardblame.h"
#include "forwardlog.h"
#include "forwardrefusals.h"
#include "serverlearn.h"
#include "serverslowness.h"

enum
{
  /* Maximum backlog at which the delay of a store is measured. With a
   * larger backlog, the time to the first event says nothing about the delay.
   */
  IDLE_BACKLOG_MS = 60
};

/* Record the delay of the store that KV cache was fetched from: the time by
 * which the first event came later than expected with an idle network link to
 * the store. */
static void
learn_store_delay (struct forward_attempt *attempt)
{
  const struct exchange *exchange = &attempt->exchange;
  struct kvstore *store;

  if (attempt->fetch_store_name == NULL
      || attempt->backlog_ms > IDLE_BACKLOG_MS)
    return;
  store = kvstores_find_store (attempt->forward->forwarder->kvstores,
                               attempt->fetch_store_name);
  if (store != NULL)
    kvstore_record_delay (
        store,
        (double)(exchange->first_output_ns - exchange->sent_ns) / NS_PER_MS
            - attempt->expected_ms + attempt->store_delay_ms);
}

static void
learn_load (struct forward_attempt *attempt)
{
  struct server *server = attempt->exchange.server;
  const struct response *response = &attempt->exchange.response;

  if (response->has_load)
    {
      server->has_load_report = true;
      server->running_requests = response->running_requests;
      server->waiting_requests = response->waiting_requests;
      server->load_reported_ns = attempt->exchange.last_received_ns;
    }
  if (response->weight_version == 0 || attempt->forward->call.model == NULL)
    return;
  server_set_weight_version (attempt->forward->forwarder->servers, server,
                             attempt->forward->call.model,
                             response->weight_version);
  if (response->other_weights)
    server_correct_weight_version (server, attempt->forward->call.model,
                                   attempt->weight_version,
                                   response->weight_version);
}

static void
learn_limit (struct forward_attempt *attempt)
{
  struct forwarder *forwarder = attempt->forward->forwarder;
  const struct response *response = &attempt->exchange.response;
  struct server *server = attempt->exchange.server;

  if (response->other_server)
    return;
  if (response->limit_malformed)
    {
      metrics_add (forwarder->metrics, "trefoilspar_limits_malformed_total",
                   "", 1);
      return;
    }
  servers_record_limit (forwarder->servers, server, response->limit_per_s,
                        attempt->exchange.last_received_ns, true);
}

static void
learn_slowness (struct forward_attempt *attempt)
{
  struct forwarder *forwarder = attempt->forward->forwarder;
  const struct exchange *exchange = &attempt->exchange;
  enum statement_kind kind = exchange->response.slowness_kind;

  if (kind == STATEMENT_NONE || exchange->response.other_server)
    return;
  metrics_add (forwarder->metrics, "trefoilspar_slowness_statements_total",
               kind == STATEMENT_VALID ? "valid=\"yes\"" : "valid=\"no\"", 1);
  serverlearn_slowness (forwarder->servers, exchange->server,
                        &exchange->response, exchange->sent_ns,
                        exchange->last_received_ns);
}

/* Record the time to the first event of a stream, where the speed of the
 * server is likely to explain it: nothing was fetched from a store or skipped
 * by a resume. */
static void
learn_first_event (struct forward_attempt *attempt)
{
  const struct exchange *exchange = &attempt->exchange;
  char labels[96];

  if (attempt->forward->call.model == NULL
      || attempt->forward->route->kind != ROUTE_STREAM
      || !exchange->response.success || !exchange->response.is_event_stream
      || attempt->forward->call.resumes || exchange->continues
      || attempt->fetch_store_name != NULL)
    return;
  servers_record_first_event (
      attempt->forward->forwarder->servers, exchange->server,
      (double)(exchange->first_output_ns - exchange->sent_ns) / NS_PER_MS,
      attempt->comparable_ms);
  if (!serverspeed_varies (&exchange->server->speed))
    return;
  g_snprintf (labels, sizeof labels, "service=\"%s\"",
              attempt->forward->service);
  metrics_set (attempt->forward->forwarder->metrics,
               "trefoilspar_prefill_factor", labels,
               serverspeed_prefill_factor (&exchange->server->speed));
}

void
forward_learn_statements (struct forward_attempt *attempt)
{
  const struct response *response = &attempt->exchange.response;
  struct server *server = attempt->exchange.server;

  learn_limit (attempt);
  learn_slowness (attempt);
  serverlearn_statement (attempt->forward->forwarder->servers, server,
                         &response->statement);
  if (response->other_server)
    return;
  if (response->statement.pause == STATEMENT_NONE)
    serverpause_answered (&server->pause);
  if (response->statement.brittle == STATEMENT_NONE)
    servers_record_brittle (attempt->forward->forwarder->servers, server, -1,
                            clock_now (attempt->forward->forwarder->clock),
                            true);
}

static struct reach *
attempt_reach (const struct forward_attempt *attempt)
{
  return servers_reach (attempt->forward->forwarder->servers,
                        attempt->exchange.server->entry.service);
}

void
forward_learn_answered (struct forward_attempt *attempt)
{
  const struct exchange *exchange = &attempt->exchange;

  reach_record_answer (attempt_reach (attempt), exchange->sent_ns,
                       exchange->last_received_ns);
}

void
forward_learn_silence (struct forward_attempt *attempt, int64_t now)
{
  const struct exchange *exchange = &attempt->exchange;

  if (attempt->host != NULL || attempt->silence_recorded
      || !exchange_is_sent (exchange) || exchange->has_head
      || !reach_is_silent (attempt_reach (attempt), exchange->sent_ns, now))
    return;
  attempt->silence_recorded = true;
  reach_record_unanswered (attempt_reach (attempt), exchange->server->id_hash,
                           exchange->sent_ns);
}

/* Record that an attempt has ended without a response. */
static void
learn_unanswered (struct forward_attempt *attempt,
                  enum exchange_outcome outcome)
{
  const struct exchange *exchange = &attempt->exchange;
  int64_t now = clock_now (attempt->forward->forwarder->clock);

  if (outcome == EXCHANGE_NOT_CONNECTED
      || (outcome == EXCHANGE_CUT && !exchange->has_head))
    reach_record_unanswered (
        attempt_reach (attempt), exchange->server->id_hash,
        outcome == EXCHANGE_NOT_CONNECTED ? now : exchange->sent_ns);
}

void
forward_learn_response_head (struct forward_attempt *attempt)
{
  learn_load (attempt);
  learn_store_delay (attempt);
  learn_first_event (attempt);
  forward_log_weights (attempt);
}

void
forward_learn_outcome (struct forward_attempt *attempt,
                       enum exchange_outcome outcome)
{
  struct forwarder *forwarder = attempt->forward->forwarder;
  struct server *server = attempt->exchange.server;
  const struct response *response = &attempt->exchange.response;
  int64_t now = clock_now (forwarder->clock);

  if (attempt->exchange.withheld)
    return;
  if (!attempt->forward->relaying)
    {
      learn_load (attempt);
      forward_log_weights (attempt);
    }
  learn_unanswered (attempt, outcome);
  if (outcome == EXCHANGE_NOT_CONNECTED)
    server_record_connection_failure (forwarder->servers, server);
  else if (outcome == EXCHANGE_CUT)
    server_record_cut (forwarder->servers, server);
  else if (outcome == EXCHANGE_ANSWERED || outcome == EXCHANGE_NOT_CONTINUED)
    server_record_reached (forwarder->servers, server,
                           response->status >= 500);
  else if (outcome == EXCHANGE_FOREIGN || outcome == EXCHANGE_SILENT)
    server_record_reached (forwarder->servers, server, true);
  if (outcome == EXCHANGE_ANSWERED)
    server_record_run (server, now - attempt->exchange.sent_ns);
  if (outcome == EXCHANGE_ANSWERED && response->success
      && !attempt->forward->call.resumes && !attempt->exchange.continues)
    runtimes_record (&forwarder->runtimes, attempt->forward->route->name,
                     attempt->forward->call.output_tokens,
                     now - attempt->exchange.sent_ns);
  forwardblame_learn (attempt, outcome);
  if (outcome == EXCHANGE_CUT)
    {
      poisoncount_report_crash (forwarder->poisoncount,
                                attempt->forward->fingerprint,
                                server->entry.id);
      forward_log_crash (attempt);
    }
  else if (outcome == EXCHANGE_ANSWERED)
    poisoncount_clear (forwarder->poisoncount, attempt->forward->fingerprint);
  if (outcome == EXCHANGE_NOT_RUN)
    forwardrefusals_record (attempt);
  if (outcome == EXCHANGE_NOT_RUN && response->other_server)
    servers_remove (forwarder->servers, server->entry.id, "other_at_address");
  else if (outcome == EXCHANGE_NOT_RUN && !response->other_weights)
    {
      serverlearn_rejection (forwarder->servers, server, now);
      if (server->brittle.brittle)
        metrics_add (forwarder->metrics,
                     "trefoilspar_brittle_rejections_total", "", 1);
    }
  if (outcome == EXCHANGE_ANSWERED && response->success
      && attempt->forward->call.model != NULL)
    server_cache_add (server, attempt->forward->call.blocks,
                      attempt->forward->call.block_count, now);
}
