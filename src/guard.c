#include "guard.h"
#include "dispatch.h"
#include "filters.h"
#include "oncehost.h"
#include "rendezvous.h"
#include "suspect-wire.h"

#include <glib.h>
#include <string.h>

#define SEND_TIMEOUT_NS (NS_PER_S)

static const struct refusal crashes
    = { 422, "crashes_backend_servers",
        "backend servers died while running this request", 0 };
static const struct refusal unchecked
    = { 503, "suspect_unknown",
        "no process could say whether this request crashes backend servers",
        NS_PER_S };
static const struct refusal no_backend
    = { 503, "no_backend_server",
        "no backend server that may run this is there now", NS_PER_S };

static uint64_t
partition_of (void *data, unsigned slot,
              const struct poison_request_fingerprint *fingerprint)
{
  uint64_t first = rendezvous_weight (0, fingerprint, sizeof *fingerprint)
                   % ONCEHOST_PARTITIONS;

  /* Twins never fall to one process, see owner_pick. */
  return (first ^ slot) + 1;
}

static bool
same_host (void *data, uint64_t partition)
{
  return false;
}

static void
take_answer (struct gateway *gateway, const Peer__Suspect *message)
{
  struct poison_message received;
  unsigned partition;

  if (poison_wire_read (message, &received, &partition) == STATUS_OK)
    poison_gateway_receive (&gateway->poison, &received);
}

/* What a message under way asked. */
struct message
{
  struct gateway *gateway;
  struct poison_message asked;
};

/* The process that was asked does not own the partition, or no longer. */
static void
answer_stale (struct gateway *gateway, const struct poison_message *asked)
{
  struct poison_message answer = *asked;

  if (asked->kind != POISON_MESSAGE_ACQUIRE)
    return;
  answer.kind = POISON_MESSAGE_ACQUIRE_REPLY;
  answer.verdict = POISON_VERDICT_RECOVERING;
  poison_gateway_receive (&gateway->poison, &answer);
}

static void
sent (void *data, enum status status, const Peer__Envelope *reply)
{
  struct message *message = data;

  if (status == STATUS_OK && reply->body_case == PEER__ENVELOPE__BODY_SUSPECT)
    take_answer (message->gateway, reply->suspect);
  else if (status == STATUS_OK
           && reply->body_case == PEER__ENVELOPE__BODY_REFUSED)
    answer_stale (message->gateway, &message->asked);
  g_free (message);
}

static void
send_message (void *data, uint64_t partition,
              const struct poison_message *message)
{
  struct gateway *gateway = data;
  struct process *process = &gateway->process;
  const struct roster_entry *owner
      = roster_preferred_owner (&process->roster, (unsigned)partition - 1);
  struct poison_message copy = *message;
  struct message *message_under_way;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Suspect body = PEER__SUSPECT__INIT;

  if (owner == NULL)
    return;
  message_under_way = g_new0 (struct message, 1);
  message_under_way->gateway = gateway;
  message_under_way->asked = *message;
  poison_wire_write (&copy, (unsigned)partition - 1, &body);
  envelope.body_case = PEER__ENVELOPE__BODY_SUSPECT;
  envelope.suspect = &body;
  peerhub_request (&process->peers, owner->peer_address, &envelope,
                   SEND_TIMEOUT_NS, sent, message_under_way);
}

static void
refuse (struct request *request, enum poison_decision decision,
        int64_t retry_after_ns)
{
  struct refusal refusal = decision == POISON_DECISION_REFUSE ? crashes : unchecked;

  if (retry_after_ns > 0)
    refusal.retry_after_ns = retry_after_ns;
  metrics_add (&request->gateway->process.metrics, "suspects_refused", "", 1);
  log_event (&request->gateway->process.log, EVENT_SUSPECT_REFUSED,
             "request=%s organisation=%s code=%s", request->id,
             request->organisation->organisation, refusal.code);
  request_refuse (request, &refusal);
}

static void
decided (void *data, struct poison_run *run, enum poison_decision decision,
         int64_t retry_after_ns)
{
  struct request *request = LIST_ENTRY (run, struct request, suspect);

  if (decision == POISON_DECISION_REFUSE || decision == POISON_DECISION_UNAVAILABLE)
    {
      refuse (request, decision, retry_after_ns);
      return;
    }
  request->alone = decision == POISON_DECISION_RUN_ALONE;
  request->cleared = true;
  if (request->in_filters)
    return; /* the filter passes */
  if (*request->filter == guard_filter)
    request_resume (request);
  else if (dispatch_start_attempt (request) != STATUS_OK)
    request_refuse (request, &no_backend);
}

static const struct poison_gateway_ops gate_ops
    = { partition_of, same_host, send_message, decided };

static void
fingerprint_make (struct request *request)
{
  const uint8_t *key = request->gateway->block_key.bytes;
  const char *organisation = request->organisation->organisation;
  GString *text;

  if (request->type == REQUEST_COMPLETION)
    {
      poison_fingerprint_compute (&request->suspect.fingerprint, key,
                                organisation, request->model->model,
                                request->prompt, request->prompt_size);
      return;
    }
  text = g_string_new (NULL);
  g_string_append_printf (text, "%s\n%s\n", request->method, request->path);
  g_string_append_len (text, request->body, (gssize)request->body_size);
  poison_fingerprint_compute (&request->suspect.fingerprint, key, organisation,
                            request->service->service, text->str, text->len);
  g_string_free (text, TRUE);
}

enum verdict
guard_filter (struct request *request)
{
  if (request->status_lookup)
    return VERDICT_PASS;
  fingerprint_make (request);
  guard_retry (request);
  if (request->finished)
    return VERDICT_FINISH;
  return request->cleared ? VERDICT_PASS : VERDICT_WAIT;
}

void
guard_retry (struct request *request)
{
  request->cleared = false;
  request->suspect.deadline_ns = request->deadline_ns;
  poison_gateway_run_begin (&request->gateway->poison, &request->suspect);
}

void
guard_end (struct request *request, enum poison_outcome end)
{
  poison_gateway_run_end (&request->gateway->poison, &request->suspect, end);
}

void
guard_init (struct gateway *gateway)
{
  const struct settings *settings = gateway->settings;

  poison_gateway_init (&gateway->poison, gateway->process.incarnation,
                     (unsigned)settings->suspect.crashes,
                     settings->suspect.unchecked, &gateway->process.clock,
                     &gate_ops, gateway);
}

void
guard_finish (struct gateway *gateway)
{
  poison_gateway_finish (&gateway->poison);
}

/* An owner that changed is told what is held. */
static void
sync_owners (struct gateway *gateway)
{
  const struct roster *roster = &gateway->process.roster;

  for (unsigned i = 0; i < ONCEHOST_PARTITIONS; i++)
    {
      const struct roster_entry *owner = roster_preferred_owner (roster, i);
      uint64_t node = owner != NULL ? roster_node_id (owner) : 0;

      if (node == gateway->poison_owner_nodes[i])
        continue;
      gateway->poison_owner_nodes[i] = node;
      if (node != 0)
        poison_gateway_sync_partition (&gateway->poison, i + 1);
    }
}

void
guard_tick (struct gateway *gateway)
{
  if (gateway->poison_roster_change != gateway->process.roster.change_count)
    {
      gateway->poison_roster_change = gateway->process.roster.change_count;
      sync_owners (gateway);
    }
  poison_gateway_tick (&gateway->poison);
}
