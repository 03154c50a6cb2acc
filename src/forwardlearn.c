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
learn_store_delay (struct forward *forward)
{
  const struct exchange *exchange = &forward->exchange;
  struct kvstore *store;

  if (forward->fetch_store_name == NULL
      || forward->backlog_ms > IDLE_BACKLOG_MS)
    return;
  store = kvstores_find_store (forward->forwarder->kvstores,
                               forward->fetch_store_name);
  if (store != NULL)
    kvstore_record_delay (
        store,
        (double)(exchange->first_output_ns - exchange->sent_ns) / NS_PER_MS
            - forward->expected_ms + forward->store_delay_ms);
}

static void
learn_load (struct forward *forward)
{
  struct server *server = forward->exchange.server;
  const struct response *response = &forward->exchange.response;

  if (response->has_load)
    {
      server->has_load_report = true;
      server->running_requests = response->running_requests;
      server->waiting_requests = response->waiting_requests;
      server->load_reported_ns = forward->exchange.last_received_ns;
    }
  if (response->weight_version == 0 || forward->call.model == NULL)
    return;
  server_set_weight_version (forward->forwarder->servers, server,
                             forward->call.model, response->weight_version);
  if (response->other_weights)
    server_correct_weight_version (server, forward->call.model,
                                   forward->attempt_weight_version,
                                   response->weight_version);
}

static void
learn_limit (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct response *response = &forward->exchange.response;
  struct server *server = forward->exchange.server;

  if (response->other_server)
    return;
  if (response->limit_malformed)
    {
      metrics_add (forwarder->metrics, "trefoilspar_limits_malformed_total",
                   "", 1);
      return;
    }
  servers_record_limit (forwarder->servers, server, response->limit_per_s,
                        forward->exchange.last_received_ns, true);
}

static void
learn_slowness (struct forward *forward)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct exchange *exchange = &forward->exchange;
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
learn_first_event (struct forward *forward)
{
  const struct exchange *exchange = &forward->exchange;
  char labels[96];

  if (forward->call.model == NULL || forward->route->kind != ROUTE_STREAM
      || !exchange->response.success || !exchange->response.is_event_stream
      || forward->call.resumes || exchange->continues
      || forward->fetch_store_name != NULL)
    return;
  servers_record_first_event (
      forward->forwarder->servers, exchange->server,
      (double)(exchange->first_output_ns - exchange->sent_ns) / NS_PER_MS,
      forward->comparable_ms);
  if (!serverspeed_varies (&exchange->server->speed))
    return;
  g_snprintf (labels, sizeof labels, "service=\"%s\"", forward->service);
  metrics_set (forward->forwarder->metrics, "trefoilspar_prefill_factor",
               labels, serverspeed_prefill_factor (&exchange->server->speed));
}

void
forward_learn_statements (struct forward *forward)
{
  const struct response *response = &forward->exchange.response;
  struct server *server = forward->exchange.server;

  learn_limit (forward);
  learn_slowness (forward);
  serverlearn_statement (forward->forwarder->servers, server,
                         &response->statement);
  if (response->other_server)
    return;
  if (response->statement.pause == STATEMENT_NONE)
    serverpause_answered (&server->pause);
  if (response->statement.brittle == STATEMENT_NONE)
    servers_record_brittle (forward->forwarder->servers, server, -1,
                            clock_now (forward->forwarder->clock), true);
}

static struct reach *
attempt_reach (const struct forward *forward)
{
  return servers_reach (forward->forwarder->servers,
                        forward->exchange.server->entry.service);
}

void
forward_learn_answered (struct forward *forward)
{
  const struct exchange *exchange = &forward->exchange;

  reach_record_answer (attempt_reach (forward), exchange->sent_ns,
                       exchange->last_received_ns);
}

void
forward_learn_silence (struct forward *forward, int64_t now)
{
  const struct exchange *exchange = &forward->exchange;

  if (forward->host != NULL || forward->silence_recorded
      || !exchange_is_sent (exchange) || exchange->has_head
      || !reach_is_silent (attempt_reach (forward), exchange->sent_ns, now))
    return;
  forward->silence_recorded = true;
  reach_record_unanswered (attempt_reach (forward), exchange->server->id_hash,
                           exchange->sent_ns);
}

/* Record that an attempt has ended without a response. */
static void
learn_unanswered (struct forward *forward, enum exchange_outcome outcome)
{
  const struct exchange *exchange = &forward->exchange;
  int64_t now = clock_now (forward->forwarder->clock);

  if (outcome == EXCHANGE_NOT_CONNECTED
      || (outcome == EXCHANGE_CUT && !exchange->has_head))
    reach_record_unanswered (
        attempt_reach (forward), exchange->server->id_hash,
        outcome == EXCHANGE_NOT_CONNECTED ? now : exchange->sent_ns);
}

void
forward_learn_response_head (struct forward *forward)
{
  learn_load (forward);
  learn_store_delay (forward);
  learn_first_event (forward);
  forward_log_weights (forward);
}

void
forward_learn_outcome (struct forward *forward, enum exchange_outcome outcome)
{
  struct forwarder *forwarder = forward->forwarder;
  struct server *server = forward->exchange.server;
  const struct response *response = &forward->exchange.response;
  int64_t now = clock_now (forwarder->clock);

  if (forward->exchange.withheld)
    return;
  if (!forward->relaying)
    {
      learn_load (forward);
      forward_log_weights (forward);
    }
  learn_unanswered (forward, outcome);
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
    server_record_run (server, now - forward->exchange.sent_ns);
  if (outcome == EXCHANGE_ANSWERED && response->success
      && !forward->call.resumes && !forward->exchange.continues)
    runtimes_record (&forwarder->runtimes, forward->route->name,
                     forward->call.output_tokens,
                     now - forward->exchange.sent_ns);
  forwardblame_learn (forward, outcome);
  if (outcome == EXCHANGE_CUT)
    {
      poisoncount_report_crash (forwarder->poisoncount, forward->fingerprint,
                                server->entry.id);
      forward_log_crash (forward);
    }
  else if (outcome == EXCHANGE_ANSWERED)
    poisoncount_clear (forwarder->poisoncount, forward->fingerprint);
  if (outcome == EXCHANGE_NOT_RUN)
    forwardrefusals_record (forward);
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
      && forward->call.model != NULL)
    server_cache_add (server, forward->call.blocks, forward->call.block_count,
                      now);
}
