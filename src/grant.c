#include "grant.h"
#include "answer.h"
#include "filters.h"
#include "oncehost.h"

#include <glib.h>
#include <string.h>

#define ASK_TIMEOUT_NS (2 * NS_PER_S)
#define ASK_AGAIN_NS (100 * NS_PER_MS)
#define TELL_TIMEOUT_NS (2 * NS_PER_S)
#define TELL_AGAIN_NS (500 * NS_PER_MS)
/* After so long a record is left to the owner's own limit. */
#define TELL_FOR_NS (600 * NS_PER_S)

struct grant_record
{
  struct list node;
  struct gateway *gateway; /* NULL once given up */
  char *organisation;
  char *key;
  uint64_t request;
  bool has_outcome;
  struct once_outcome outcome;
  uint8_t body[ONCE_BODY_MAX];
  bool telling;
  int64_t next_ns;
  int64_t until_ns;
};

static const struct refusal in_progress
    = { 409, "in_progress", "a request with this key is running", NS_PER_S };
static const struct refusal key_conflict
    = { 422, "key_conflict", "this key was used with another request", 0 };
static const struct refusal ran_before
    = { 502, "may_have_run",
        "an earlier request with this key may have run; its outcome is not "
        "known",
        0 };
static const struct refusal no_grant
    = { 503, "no_grant",
        "the record that makes this request run only once could not be "
        "written now",
        2 * NS_PER_S };

/* The live shard that ought to own the key, or NULL. */
static const struct roster_entry *
owner_of (const struct gateway *gateway, const char *organisation,
          const char *key)
{
  const struct roster *roster = &gateway->process.roster;
  unsigned partition
      = owner_partition (organisation, key, ONCEHOST_PARTITIONS);
  uint64_t *nodes = g_new (uint64_t, roster->count + 1);
  size_t count = roster_shard_nodes (roster, nodes, roster->count);
  int index = owner_pick (nodes, count, partition);
  const struct roster_entry *entry = NULL;

  if (index >= 0)
    entry = roster_by_node (roster, nodes[index]);
  g_free (nodes);
  return entry;
}

static struct once_digest
fingerprint_of (const struct request *request)
{
  GString *text = g_string_new (NULL);
  struct once_digest digest;

  g_string_append_printf (text, "%s\n%s\n", request->method, request->path);
  g_string_append_len (text, request->body, (gssize)request->body_size);
  digest = once_digest_of (text->str, text->len);
  g_string_free (text, TRUE);
  return digest;
}

static void ask (struct request *request);

/* The recorded outcome; only its status if the body was too long to keep. */
static void
replay (struct request *request, const Peer__OnceOutcome *outcome)
{
  struct httpserver_header headers[] = {
    { "x-request-id", request->id },
    { "x-outcome", settle_outcome_name (SETTLE_REPLAYED) },
  };
  const char *body = "{\"replayed\":true}";
  size_t size = strlen (body);

  if (outcome != NULL && outcome->whole)
    {
      body = (const char *)outcome->body.data;
      size = outcome->body.len;
    }
  if (request->http != NULL)
    httpserver_respond (
        request->http, outcome != NULL ? (int)outcome->status : 200,
        "application/json", headers, 2, body != NULL ? body : "", size);
  request->http = NULL;
  request_end_quietly (request, SETTLE_REPLAYED, "");
}

static void
granted (struct request *request)
{
  settle_grant (&request->settle);
  request_resume (request);
}

static void
take_answer (struct request *request, const Peer__OnceAnswer *answer)
{
  struct refusal refusal = no_grant;

  switch (answer->result)
    {
    case ONCE_GRANTED:
      granted (request);
      break;
    case ONCE_IN_PROGRESS:
      request_end_as (request, SETTLE_IN_PROGRESS, &in_progress);
      break;
    case ONCE_REPLAYED:
      replay (request, answer->outcome);
      break;
    case ONCE_CONFLICT:
      request_end_as (request, SETTLE_REFUSED_NOT_RUN, &key_conflict);
      break;
    case ONCE_MAY_HAVE_RUN:
      request_end_as (request, SETTLE_FAILED_MAY_HAVE_RUN, &ran_before);
      break;
    default:
      if (clock_now (&request->gateway->process.clock) + ASK_AGAIN_NS
          < request->grant_until_ns)
        {
          request->next_ns
              = clock_now (&request->gateway->process.clock) + ASK_AGAIN_NS;
          return;
        }
      if (answer->retry_after_ms > 0)
        refusal.retry_after_ns = answer->retry_after_ms * NS_PER_MS;
      request_end_as (request, SETTLE_REFUSED_NOT_RUN, &refusal);
    }
}

static void
asked (void *data, enum status status, const Peer__Envelope *reply)
{
  struct request *request = request_find (data);

  g_free (data);
  if (request == NULL || request->settle.state != SETTLE_GRANT_WAIT)
    return;
  if (status == STATUS_OK
      && reply->body_case == PEER__ENVELOPE__BODY_ONCE_ANSWER)
    take_answer (request, reply->once_answer);
  else
    request->next_ns
        = clock_now (&request->gateway->process.clock) + ASK_AGAIN_NS;
}

static void
ask (struct request *request)
{
  struct gateway *gateway = request->gateway;
  const char *organisation = request->organisation->organisation;
  const struct roster_entry *owner
      = owner_of (gateway, organisation, request->key);
  int64_t now = clock_now (&gateway->process.clock);
  struct once_digest fingerprint = fingerprint_of (request);
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__OnceBegin begin = PEER__ONCE_BEGIN__INIT;
  Peer__OnceRequest who = PEER__ONCE_REQUEST__INIT;
  int64_t wait_ns = request->grant_until_ns - now;

  request->next_ns = CLOCK_NEVER;
  if (owner == NULL)
    {
      request->next_ns = now + ASK_AGAIN_NS;
      return;
    }
  if (wait_ns > ASK_TIMEOUT_NS)
    wait_ns = ASK_TIMEOUT_NS;
  who.organisation = (char *)organisation;
  who.key = request->key;
  who.request = request->serial;
  who.gateway = gateway->process.incarnation;
  begin.request = &who;
  begin.fingerprint.data = fingerprint.bytes;
  begin.fingerprint.len = sizeof fingerprint.bytes;
  begin.wait_ms = (uint32_t)(wait_ns / NS_PER_MS);
  envelope.body_case = PEER__ENVELOPE__BODY_ONCE_BEGIN;
  envelope.once_begin = &begin;
  peerhub_request (&gateway->process.peers, owner->peer_address, &envelope,
                   wait_ns + ASK_AGAIN_NS, asked, request_handle (request));
}

enum verdict
grant_filter (struct request *request)
{
  if (request->idempotent)
    return VERDICT_PASS;
  settle_ask (&request->settle);
  request->grant_until_ns = request->deadline_ns;
  ask (request);
  return VERDICT_WAIT;
}

void
grant_ask_again (struct request *request, int64_t now)
{
  if (now >= request->grant_until_ns)
    request_end_as (request, SETTLE_REFUSED_NOT_RUN, &no_grant);
  else if (now >= request->next_ns)
    ask (request);
}

static void
record_free (struct grant_record *record)
{
  list_remove (&record->node);
  g_free (record->organisation);
  g_free (record->key);
  g_free (record);
}

static void
told (void *data, enum status status, const Peer__Envelope *reply)
{
  struct grant_record *record = data;

  record->telling = false;
  if (record->gateway == NULL
      || (status == STATUS_OK
          && reply->body_case == PEER__ENVELOPE__BODY_ONCE_RECORDED
          && reply->once_recorded->settled))
    record_free (record);
}

static void
tell (struct gateway *gateway, struct grant_record *record, int64_t now)
{
  const struct roster_entry *owner
      = owner_of (gateway, record->organisation, record->key);
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__OnceEnd end = PEER__ONCE_END__INIT;
  Peer__OnceRequest who = PEER__ONCE_REQUEST__INIT;
  Peer__OnceOutcome outcome = PEER__ONCE_OUTCOME__INIT;

  record->next_ns = now + TELL_AGAIN_NS;
  if (owner == NULL)
    return;
  who.organisation = record->organisation;
  who.key = record->key;
  who.request = record->request;
  who.gateway = gateway->process.incarnation;
  end.request = &who;
  if (record->has_outcome)
    {
      outcome.status = record->outcome.status;
      outcome.digest.data = record->outcome.digest.bytes;
      outcome.digest.len = sizeof record->outcome.digest.bytes;
      outcome.whole = record->outcome.whole;
      outcome.body.data = record->body;
      outcome.body.len = record->outcome.body_size;
      end.outcome = &outcome;
    }
  envelope.body_case = PEER__ENVELOPE__BODY_ONCE_END;
  envelope.once_end = &end;
  record->telling = true;
  peerhub_request (&gateway->process.peers, owner->peer_address, &envelope,
                   TELL_TIMEOUT_NS, told, record);
}

static void
fill_outcome (struct grant_record *record, const struct request *request)
{
  const GString *answer = request->answer;
  struct once_outcome *outcome = &record->outcome;

  record->has_outcome = true;
  if (request->settle.outcome != SETTLE_COMPLETE)
    return;
  outcome->status = (unsigned)request->attempt.http_status;
  if (answer == NULL)
    return;
  outcome->digest = once_digest_of (answer->str, answer->len);
  if (answer->len > ONCE_BODY_MAX)
    return;
  outcome->whole = true;
  outcome->body_size = answer->len;
  memcpy (record->body, answer->str, answer->len);
}

void
grant_settle (struct request *request, enum settle_record what)
{
  struct gateway *gateway = request->gateway;
  struct grant_record *record;
  int64_t now = clock_now (&gateway->process.clock);

  if (what == SETTLE_RECORD_NONE)
    return;
  record = g_new0 (struct grant_record, 1);
  record->gateway = gateway;
  record->organisation = g_strdup (request->organisation->organisation);
  record->key = g_strdup (request->key);
  record->request = request->serial;
  record->until_ns = now + TELL_FOR_NS;
  if (what == SETTLE_RECORD_END)
    fill_outcome (record, request);
  list_init (&record->node);
  list_append (&gateway->records, &record->node);
  tell (gateway, record, now);
}

void
grant_tick (struct gateway *gateway)
{
  int64_t now = clock_now (&gateway->process.clock);
  struct list *at = gateway->records.next;

  while (at != &gateway->records)
    {
      struct grant_record *record = LIST_ENTRY (at, struct grant_record, node);

      at = at->next;
      if (record->telling || now < record->next_ns)
        continue;
      if (now > record->until_ns)
        record_free (record);
      else
        tell (gateway, record, now);
    }
}

size_t
grant_open (const struct gateway *gateway)
{
  return list_empty (&gateway->records) ? 0 : 1;
}

void
grant_init (struct gateway *gateway)
{
  list_init (&gateway->records);
}

/* Records that are being told are freed by their callback. */
void
grant_finish (struct gateway *gateway)
{
  while (!list_empty (&gateway->records))
    {
      struct grant_record *record
          = LIST_ENTRY (gateway->records.next, struct grant_record, node);

      if (record->telling)
        {
          list_remove (&record->node);
          record->gateway = NULL;
        }
      else
        record_free (record);
    }
}
