#include "poisonguard.h"
#include "dispatch.h"
#include "filters.h"
#include "onceshard.h"
#include "rendezvous.h"
#include "poison-wire.h"

#include <glib.h>
#include <string.h>

#define REPLY_TIMEOUT_NS (NS_PER_S)

static const struct refusal crashes_backend_servers
    = { 422, "crashes_backend_servers",
        "backend servers died while running this request", 0 };
static const struct refusal unchecked
    = { 503, "suspect_unknown",
        "no process could say whether this request crashes backend servers",
        NS_PER_S };
static const struct refusal no_backend_server
    = { 503, "no_backend_server",
        "no backend server that may run this is there now", NS_PER_S };

static uint64_t
slot_partition (void *data, unsigned slot,
                const struct poison_request_fingerprint *fingerprint)
{
  uint64_t base = rendezvous_weight (0, fingerprint, sizeof *fingerprint)
                  % ONCESHARD_PARTITION_COUNT;

  /* The partitions of the two slots differ in the lowest bit only;
   * owner_preferred_index assigns such a pair to different processes if there
   * are at least two. The result must not be 0. */
  return (base ^ slot) + 1;
}

static bool
partition_is_on_same_host (void *data, uint64_t partition)
{
  return false;
}

static void
process_reply (struct gateway *gateway, const Peer__Suspect *message)
{
  struct poison_message received;
  unsigned partition;

  if (poison_wire_read (message, &received, &partition) == STATUS_OK)
    poison_gateway_receive (&gateway->poison, &received);
}

/* A message to an owner whose reply is pending. */
struct pending_poison_message
{
  struct gateway *gateway;
  struct poison_message message;
};

/* Handles that the process to which MESSAGE was sent does not own the
 * partition. A message that acquires a slot is treated as if the owner had
 * replied that it is recovering. */
static void
handle_wrong_owner (struct gateway *gateway,
                    const struct poison_message *message)
{
  struct poison_message reply = *message;

  if (message->kind != POISON_MESSAGE_ACQUIRE)
    return;
  reply.kind = POISON_MESSAGE_ACQUIRE_REPLY;
  reply.verdict = POISON_VERDICT_RECOVERING;
  poison_gateway_receive (&gateway->poison, &reply);
}

static void
reply_received (void *data, enum status status, const Peer__Envelope *reply)
{
  struct pending_poison_message *pending = data;

  if (status == STATUS_OK && reply->body_case == PEER__ENVELOPE__BODY_SUSPECT)
    process_reply (pending->gateway, reply->suspect);
  else if (status == STATUS_OK
           && reply->body_case == PEER__ENVELOPE__BODY_REFUSED)
    handle_wrong_owner (pending->gateway, &pending->message);
  g_free (pending);
}

static void
send_message (void *data, uint64_t partition,
              const struct poison_message *message)
{
  struct gateway *gateway = data;
  struct process *process = &gateway->process;
  const struct roster_entry *owner
      = roster_preferred_owner (&process->roster, (unsigned)partition - 1);
  struct poison_message blockcopy = *message;
  struct pending_poison_message *pending;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Suspect body = PEER__SUSPECT__INIT;

  if (owner == NULL)
    return;
  pending = g_new0 (struct pending_poison_message, 1);
  pending->gateway = gateway;
  pending->message = *message;
  poison_wire_write (&blockcopy, (unsigned)partition - 1, &body);
  envelope.body_case = PEER__ENVELOPE__BODY_SUSPECT;
  envelope.suspect = &body;
  peer_endpoint_request (&process->peers, owner->peer_address, &envelope,
                         REPLY_TIMEOUT_NS, reply_received, pending);
}

static void
refuse (struct request *request, enum poison_decision decision,
        int64_t retry_after_ns)
{
  struct refusal refusal = decision == POISON_DECISION_REFUSE
                               ? crashes_backend_servers
                               : unchecked;

  if (retry_after_ns > 0)
    refusal.retry_after_ns = retry_after_ns;
  metrics_add (&request->gateway->process.metrics, "suspects_refused", "", 1);
  log_event (&request->gateway->process.log, EVENT_SUSPECT_REFUSED,
             "request=%s organisation=%s code=%s", request->id,
             request->organisation->organisation, refusal.code);
  request_fail (request, &refusal);
}

static void
slot_decided (void *data, struct poison_run *run,
              enum poison_decision decision, int64_t retry_after_ns)
{
  struct request *request = LIST_ENTRY (run, struct request, poison_check);

  if (decision == POISON_DECISION_REFUSE
      || decision == POISON_DECISION_UNAVAILABLE)
    {
      refuse (request, decision, retry_after_ns);
      return;
    }
  request->run_alone = decision == POISON_DECISION_RUN_ALONE;
  request->attempt_permitted = true;
  if (request->filters_running)
    return; /* poisonguard_filter returns FILTER_PASS. */
  if (*request->filter == poisonguard_filter)
    request_continue (request);
  else if (dispatch_start_attempt (request) != STATUS_OK)
    request_fail (request, &no_backend_server);
}

static const struct poison_gateway_ops gateway_ops
    = { slot_partition, partition_is_on_same_host, send_message,
        slot_decided };

static void
request_fingerprint_make (struct request *request)
{
  const uint8_t *key = request->gateway->block_key.bytes;
  const char *organisation = request->organisation->organisation;
  GString *text;

  if (request->type == REQUEST_COMPLETION)
    {
      poison_fingerprint_compute (&request->poison_check.fingerprint, key,
                                  organisation, request->model->model,
                                  request->prompt, request->prompt_size);
      return;
    }
  text = g_string_new (NULL);
  g_string_append_printf (text, "%s\n%s\n", request->method, request->path);
  g_string_append_len (text, request->body, (gssize)request->body_size);
  poison_fingerprint_compute (&request->poison_check.fingerprint, key,
                              organisation, request->service->service,
                              text->str, text->len);
  g_string_free (text, TRUE);
}

enum filter_result
poisonguard_filter (struct request *request)
{
  if (request->status_lookup)
    return FILTER_PASS;
  request_fingerprint_make (request);
  poisonguard_acquire_slot (request);
  if (request->finished)
    return FILTER_FINISHED;
  return request->attempt_permitted ? FILTER_PASS : FILTER_WAIT;
}

void
poisonguard_acquire_slot (struct request *request)
{
  request->attempt_permitted = false;
  request->poison_check.deadline_ns = request->deadline_ns;
  poison_gateway_run_begin (&request->gateway->poison, &request->poison_check);
}

void
poisonguard_attempt_ended (struct request *request, enum poison_outcome end)
{
  poison_gateway_run_end (&request->gateway->poison, &request->poison_check,
                          end);
}

void
poisonguard_init (struct gateway *gateway)
{
  const struct settings *settings = gateway->settings;

  poison_gateway_init (&gateway->poison, gateway->process.incarnation,
                       (unsigned)settings->suspect.crashes,
                       settings->suspect.unchecked, &gateway->process.clock,
                       &gateway_ops, gateway);
}

void
poisonguard_finish (struct gateway *gateway)
{
  poison_gateway_finish (&gateway->poison);
}

/* Reports the held slots of each partition whose preferred owner has changed
 * to the new one. */
static void
sync_owners (struct gateway *gateway)
{
  const struct roster *roster = &gateway->process.roster;

  for (unsigned i = 0; i < ONCESHARD_PARTITION_COUNT; i++)
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
poisonguard_tick (struct gateway *gateway)
{
  if (gateway->poison_roster_change != gateway->process.roster.change_count)
    {
      gateway->poison_roster_change = gateway->process.roster.change_count;
      sync_owners (gateway);
    }
  poison_gateway_tick (&gateway->poison);
}
