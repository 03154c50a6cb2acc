#include "forwardlog.h"
#include "choosecost.h"
#include "forwarder.h"
#include "forwardsend.h"
#include "forwardstop.h"
#include "forwardweights.h"

#include <string.h>

/* Write how the response of the present attempt was framed and what of it has
 * been received. */
static void
response_end_describe (const struct exchange *exchange, char *out, size_t size)
{
  g_snprintf (
      out, size, "framing=%s events=%lu partial_bytes=%zu fault=%s",
      exchange->has_head ? httpresponse_framing_name (exchange->framing) : "-",
      (unsigned long)exchange->events.event_count,
      exchange->events.pending->len, exchange->fault);
}

/* Return the time since the server of the present run sent something, or since
 * it was sent the request; -1 without a run. */
static double
run_silent_ms (const struct forward *forward)
{
  const struct exchange *exchange = &forward->attempt->exchange;
  int64_t active_ns = MAX (exchange->sent_ns, exchange->last_received_ns);

  return exchange_is_sent (exchange)
             ? (double)(clock_now (forward->forwarder->clock) - active_ns)
                   / NS_PER_MS
             : -1.0;
}

/* Count the streams that this host broke off, by reason and by what the host
 * did then. */
static void
count_break (const struct forward *forward, const char *reason)
{
  const struct forwarder *forwarder = forward->forwarder;
  char labels[96];

  if (!forward->relaying)
    return;
  g_snprintf (labels, sizeof labels, "reason=\"%s\",host=\"%s\"", reason,
              forwarder->end_ns == 0   ? "serves"
              : forwarder->is_stopping ? "finishes"
                                       : "leaves");
  metrics_add (forwarder->metrics, "trefoilspar_streams_broken_total", labels,
               1);
}

void
forward_log_end (struct forward *forward, int status, const char *reason)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct route *route = forward->route;
  const struct server *server = forward->attempt->exchange.server;
  bool served
      = status >= 200 && status < 300 && strcmp (reason, "answered") == 0;
  int64_t now = clock_now (forwarder->clock);
  char response_end[144];
  char labels[160];

  response_end_describe (&forward->attempt->exchange, response_end,
                         sizeof response_end);
  log_event (
      forwarder->log, served ? EVENT_FORWARD_END : EVENT_FORWARD_FAILED,
      "id=%s status=%d reason=%s route=%s service=%s server=%s "
      "runs=%u not_run=%u %s first_ms=%.1f total_ms=%.1f config=%lu "
      "from_host=%d running=%d silent_ms=%.1f left_ms=%.1f stopping_ms=%.1f",
      forward->call.request_id, status, reason,
      route != NULL ? route->name : "-",
      forward->service != NULL ? forward->service : "-",
      server != NULL ? server->entry.id : "-", forward->run_count,
      forward->not_run_count, response_end,
      forward->attempt->exchange.first_output_ns != 0
          ? (double)(forward->attempt->exchange.first_output_ns
                     - forward->arrived_ns)
                / NS_PER_MS
          : -1.0,
      (double)(now - forward->arrived_ns) / NS_PER_MS,
      (unsigned long)forward->routes->version, forward->from_host,
      exchange_is_sent (&forward->attempt->exchange), run_silent_ms (forward),
      forward->deadline_ns != 0
          ? (double)forward_time_left_ns (forward) / NS_PER_MS
          : -1.0,
      forwardstop_since_ms (forwarder));
  if (!served)
    count_break (forward, reason);
  g_snprintf (labels, sizeof labels, "service=\"%s\",code=\"%d\"",
              forward->service != NULL ? forward->service : "", status);
  metrics_add (forwarder->metrics, "trefoilspar_requests_total", labels, 1);
  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  metrics_add (forwarder->metrics, "trefoilspar_request_ends_total", labels,
               1);
  g_snprintf (labels, sizeof labels, "service=\"%s\"",
              forward->service != NULL ? forward->service : "");
  metrics_observe (forwarder->metrics, "trefoilspar_request_seconds", labels,
                   (double)(now - forward->arrived_ns) / NS_PER_S);
}

/* Return the id of the last prompt block that later requests of the same
 * session repeat, or 0 if there is none. */
static uint64_t
context_block_id (const struct call *call)
{
  return call->block_count >= 2 ? call->blocks[call->block_count - 2].id : 0;
}

static uint64_t
stored_tokens (const struct choose_query *query, const struct server *server)
{
  const struct choose_stored_prefix *stored
      = choose_stored_for (query, server);

  return stored != NULL ? stored->tokens : 0;
}

/* Count that a stream goes on at SERVER, and describe it: how the stream is
 * resumed, which request began it, and after which event. */
static void
resumption_record (struct forward *forward, const struct server *server,
                   char *out, size_t size)
{
  const struct call *call = &forward->call;
  const char *way = forward->relaying ? "response" : "return";
  const char *software = "unknown";
  char *began_id;
  char labels[96];

  out[0] = '\0';
  if (!forward->relaying && !call->resumes)
    return;
  if (forward->began_software[0] != '\0')
    software = strcmp (forward->began_software, server->entry.software) == 0
                   ? "same"
                   : "other";
  g_snprintf (labels, sizeof labels, "way=\"%s\",software=\"%s\"", way,
              software);
  metrics_add (forward->forwarder->metrics,
               "trefoilspar_streams_resumed_total", labels, 1);
  began_id = log_escape_spaces (call->resumed_id != NULL ? call->resumed_id
                                : call->resumes          ? "-"
                                                         : call->request_id);
  g_snprintf (out, size, " resumed=%s began_id=%s began_software=%s after=%lu",
              way, began_id,
              forward->began_software[0] != '\0' ? forward->began_software
                                                 : "-",
              (unsigned long)(forward->relaying
                                  ? forward->attempt->exchange.events.last_id
                                  : call->last_event_id));
  g_free (began_id);
}

void
forward_log_placement (struct forward *forward,
                       const struct choose_query *query,
                       const struct choose_result *choice)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct server *server = choice->server;
  int64_t now = clock_now (forwarder->clock);
  uint64_t weights = query->model != NULL
                         ? server_weight_version (server, query->model)
                         : 0;
  char resumption[256];

  resumption_record (forward, server, resumption, sizeof resumption);
  log_event (forwarder->log, EVENT_FORWARD_PLACE,
             "id=%s server=%s service=%s software=%s candidates=%u "
             "limited=%u brittle=%u paused=%u "
             "cost_ms=%.1f "
             "backlog_ms=%.1f cached=%lu stored=%lu prompt=%u context=%lx "
             "weights=%lu wanted=%lu required=%lu wanted_age_ms=%ld entry=%lu "
             "load_age_ms=%ld load=%u,%u in_flight=%u others_in_flight=%u "
             "memory=%.0f waited_ms=%.1f cold=%u to_cold=%d%s",
             forward->call.request_id, server->entry.id, forward->service,
             server->entry.software[0] != '\0' ? server->entry.software : "-",
             choice->candidates, choice->limited, choice->brittle,
             choice->paused, choice->cost_ms, choice->backlog_ms,
             (unsigned long)choice->cached_tokens,
             (unsigned long)stored_tokens (query, server),
             forward->call.prompt_tokens,
             (unsigned long)context_block_id (&forward->call),
             (unsigned long)weights, (unsigned long)query->preferred_version,
             (unsigned long)query->required_version,
             query->preferred_version != 0
                 ? (long)(forwarder_wanted_age_ns (forwarder, query->model)
                          / NS_PER_MS)
                 : -1L,
             (unsigned long)server->revision,
             server->has_load_report
                 ? (long)((now - server->load_reported_ns) / NS_PER_MS)
                 : -1L,
             server->running_requests, server->waiting_requests,
             server->in_flight_requests, server->other_hosts_requests,
             choosecost_memory_used_tokens (server),
             (double)(now - forward->arrived_ns) / NS_PER_MS, choice->cold,
             choice->server_is_cold, resumption);
}

void
forward_log_weights (const struct forward_attempt *attempt)
{
  const struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  const struct exchange *exchange = &attempt->exchange;
  const struct wanted_weights *wanted = forward_wanted_weights (forward);
  uint64_t version = exchange->response.weight_version;
  int64_t now = clock_now (forwarder->clock);

  if (wanted == NULL || version == 0 || version >= wanted->version)
    return;
  metrics_add (forwarder->metrics, "trefoilspar_old_weights_total", "", 1);
  log_event (forwarder->log, EVENT_FORWARD_OLD_WEIGHTS,
             "id=%s server=%s weights=%lu wanted=%lu outdated_ms=%ld "
             "sent_ms=%.1f",
             forward->call.request_id, exchange->server->entry.id,
             (unsigned long)version, (unsigned long)wanted->version,
             (long)((clock_boottime (forwarder->clock)
                     - weights_outdated_since_ns (wanted, version))
                    / NS_PER_MS),
             (double)(now - exchange->sent_ns) / NS_PER_MS);
}

void
forward_log_host (struct forward *forward, const char *host,
                  unsigned candidates, const char *reach)
{
  struct forwarder *forwarder = forward->forwarder;

  metrics_add (forwarder->metrics, "trefoilspar_passed_on_total", "", 1);
  log_event (forwarder->log, EVENT_FORWARD_HOST,
             "id=%s host=%s service=%s reach=%s candidates=%u tries=%u "
             "runs=%u waited_ms=%.1f",
             forward->call.request_id, host, forward->service, reach,
             candidates, forward->host_tries, forward->run_count,
             (double)(clock_now (forwarder->clock) - forward->arrived_ns)
                 / NS_PER_MS);
}

void
forward_log_standby (struct forward *forward, const char *action,
                     const char *reason)
{
  struct forwarder *forwarder = forward->forwarder;
  const struct exchange *present = &forward->attempt->exchange;
  const struct server *standby
      = forward->standby != NULL ? forward->standby->exchange.server : NULL;
  char labels[64];

  g_snprintf (labels, sizeof labels, "action=\"%s\",reason=\"%s\"", action,
              reason);
  metrics_add (forwarder->metrics, "trefoilspar_standbys_total", labels, 1);
  log_event (forwarder->log, EVENT_FORWARD_STANDBY,
             "id=%s action=%s reason=%s server=%s standby=%s silent_ms=%.1f "
             "runs=%u not_run=%u relayed=%d left_ms=%.1f",
             forward->call.request_id, action, reason,
             present->server != NULL ? present->server->entry.id : "-",
             standby != NULL ? standby->entry.id : "-",
             run_silent_ms (forward), forward->run_count,
             forward->not_run_count, forward->relaying,
             (double)forward_time_left_ns (forward) / NS_PER_MS);
}

void
forward_log_wait (struct forward *forward, const struct choose_result *choice)
{
  struct forwarder *forwarder = forward->forwarder;

  if (!list_empty (&forward->waiting_node))
    return;
  log_event (
      forwarder->log, EVENT_FORWARD_WAIT,
      "id=%s service=%s software=%s unreachable=%u left_ms=%.1f",
      forward->call.request_id, forward->service,
      forward->began_software[0] != '\0' ? forward->began_software : "-",
      choice->unreachable, (double)forward_time_left_ns (forward) / NS_PER_MS);
}

void
forward_log_queue (const struct forward *forward,
                   const struct waitqueue *queue, int64_t wait_ns)
{
  const struct waitqueue_request *request = &forward->queued;
  int64_t now = clock_now (forward->forwarder->clock);

  log_event (forward->forwarder->log, EVENT_FORWARD_QUEUE,
             "id=%s service=%s class=%d late=%d work_ms=%.1f waiting=%u "
             "late_waiting=%u wait_ms=%.1f target_ms=%.1f left_ms=%.1f",
             forward->call.request_id, forward->service,
             (int)request->priority, request->is_late, request->work_ms,
             queue->in_time.count, queue->late.count,
             (double)wait_ns / NS_PER_MS,
             (double)(request->target_ns - now) / NS_PER_MS,
             (double)(request->give_up_ns - now) / NS_PER_MS);
}

void
forward_log_attempt (const struct forward_attempt *attempt,
                     enum exchange_outcome outcome,
                     enum forwardretry_action action)
{
  const struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  const struct exchange *exchange = &attempt->exchange;
  int64_t now = clock_now (forwarder->clock);
  char response_end[144];
  char labels[96];

  g_snprintf (
      labels, sizeof labels, "framing=\"%s\",end=\"%s\"",
      exchange->has_head ? httpresponse_framing_name (exchange->framing) : "-",
      exchange_outcome_name (outcome));
  metrics_add (forwarder->metrics, "trefoilspar_attempts_total", labels, 1);
  if (outcome == EXCHANGE_ANSWERED && action == FORWARDRETRY_PASS_ON)
    return;
  response_end_describe (exchange, response_end, sizeof response_end);
  log_event (
      forwarder->log, EVENT_FORWARD_ATTEMPT,
      "id=%s server=%s end=%s status=%d action=%s runs=%u not_run=%u "
      "retry_denied=%d relayed=%d %s sent_ms=%.1f in_flight=%u "
      "others_in_flight=%u load=%u,%u brittle=%d",
      forward->call.request_id, exchange->server->entry.id,
      exchange_outcome_name (outcome), exchange->response.status,
      forwardretry_action_name (action), forward->run_count,
      forward->not_run_count, forward->retry_denied, forward->relaying,
      response_end,
      exchange->sent_ns != 0 ? (double)(now - exchange->sent_ns) / NS_PER_MS
                             : -1.0,
      exchange->server->in_flight_requests,
      exchange->server->other_hosts_requests,
      exchange->response.running_requests, exchange->response.waiting_requests,
      exchange->server->brittle.brittle);
}

void
forward_log_passed_over (const struct forward_attempt *attempt)
{
  const struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  const struct exchange *exchange = &attempt->exchange;
  const char *owner
      = exchange->response.owner == RESPONSE_OF_ANOTHER ? "another" : "none";
  char labels[32];

  g_snprintf (labels, sizeof labels, "owner=\"%s\"", owner);
  metrics_add (forwarder->metrics, "trefoilspar_responses_passed_over_total",
               labels, 1);
  log_event (forwarder->log, EVENT_RESPONSE_PASSED_OVER,
             "id=%s server=%s owner=%s status=%d count=%u sent_ms=%.1f",
             forward->call.request_id, exchange->server->entry.id, owner,
             exchange->response.status, exchange->passed_over,
             (double)(clock_now (forwarder->clock) - exchange->sent_ns)
                 / NS_PER_MS);
}

/* Write the ids of the blocks of the prompt, separated by commas, to OUT. Ids
 * that do not fit are left out. */
static void
blocks_describe (const struct call *call, char *out, size_t size)
{
  size_t length = 0;

  g_strlcpy (out, "-", size);
  for (unsigned i = 0; i < call->block_count; i++)
    {
      char id[32];
      size_t id_length
          = (size_t)g_snprintf (id, sizeof id, "%s%lx", i > 0 ? "," : "",
                                (unsigned long)call->blocks[i].id);

      if (length + id_length >= size)
        return;
      memcpy (out + length, id, id_length + 1);
      length += id_length;
    }
}

void
forward_log_crash (const struct forward_attempt *attempt)
{
  const struct forward *forward = attempt->forward;
  struct forwarder *forwarder = forward->forwarder;
  const struct exchange *exchange = &attempt->exchange;
  int64_t now = clock_now (forwarder->clock);
  char blocks[256];
  char labels[64];

  g_snprintf (labels, sizeof labels, "response=\"%s\"",
              !exchange->has_head              ? "none"
              : exchange->first_output_ns == 0 ? "head"
                                               : "begun");
  metrics_add (forwarder->metrics, "trefoilspar_lost_runs_total", labels, 1);
  blocks_describe (&forward->call, blocks, sizeof blocks);
  log_event (
      forwarder->log, EVENT_FORWARD_CRASH,
      "id=%s server=%s fingerprint=%016lx crashes=%u response=%d "
      "response_age_ms=%.1f events=%lu blocks=%s",
      forward->call.request_id, exchange->server->entry.id,
      (unsigned long)forward->fingerprint,
      poisoncount_crashes (forwarder->poisoncount, forward->fingerprint),
      exchange->has_head,
      exchange->first_output_ns != 0
          ? (double)(now - exchange->first_output_ns) / NS_PER_MS
          : -1.0,
      (unsigned long)exchange->events.event_count, blocks);
}
