#include "confpeer.h"
#include "textzip.h"

#include <glib.h>
#include <string.h>

#define FETCH_TIMEOUT_NS (2 * NS_PER_S)

enum
{
  /* Maximum size of a delta in bytes before compression. */
  DELTA_TEXT_MAX = 32 * 1024 * 1024
};

static const struct conffetch_settings fetch_settings
    = { .first_delay_max_ns = 50 * NS_PER_MS, .retry_delay_max_ns = NS_PER_S };

static uint64_t
revision_in_force (void *data)
{
  const struct confpeer *confpeer = data;

  return configstore_revision (confpeer->configstore);
}

static const char *
peer_with_revision (void *data, uint64_t revision)
{
  const struct confpeer *confpeer = data;
  const struct member_row *row
      = member_find_newer_revision (confpeer->member, revision);

  return row == NULL ? NULL : row->peer_address;
}

static enum status
load_reply (struct confpeer *confpeer, const Peer__Envelope *reply)
{
  const Peer__ConfigReply *body = reply->config_reply;
  enum status status;
  char *text;

  if (reply->body_case != PEER__ENVELOPE__BODY_CONFIG_REPLY
      || body->packed.len == 0)
    return STATUS_UNAVAILABLE;
  text = textzip_decompress (body->packed.data, body->packed.len, body->size,
                             DELTA_TEXT_MAX);
  if (text == NULL)
    return STATUS_CORRUPT;
  status = configstore_apply_delta (confpeer->configstore, text, NULL);
  g_free (text);
  return status;
}

static void
on_fetch_reply (void *data, enum status status, const Peer__Envelope *reply)
{
  struct confpeer *confpeer = data;

  if (status == STATUS_CANCELLED)
    return;
  if (status == STATUS_OK)
    status = load_reply (confpeer, reply);
  conffetch_completed (&confpeer->fetch, status);
}

static void
fetch_start (void *data, const char *address, uint64_t since)
{
  struct confpeer *confpeer = data;
  Peer__Envelope request = PEER__ENVELOPE__INIT;
  Peer__ConfigFetch fetch = PEER__CONFIG_FETCH__INIT;

  fetch.since = since;
  request.body_case = PEER__ENVELOPE__BODY_CONFIG_FETCH;
  request.config_fetch = &fetch;
  peer_endpoint_request (confpeer->endpoint, address, &request,
                         FETCH_TIMEOUT_NS, on_fetch_reply, confpeer);
}

static const struct conffetch_ops fetch_ops
    = { revision_in_force, fetch_start, peer_with_revision };

void
confpeer_init (struct confpeer *confpeer, struct configstore *configstore,
               struct peer_endpoint *endpoint, const struct member *member,
               const struct clock *clock, struct rng *rng)
{
  memset (confpeer, 0, sizeof *confpeer);
  confpeer->configstore = configstore;
  confpeer->endpoint = endpoint;
  confpeer->member = member;
  conffetch_init (&confpeer->fetch, &fetch_settings, clock, rng, &fetch_ops,
                  confpeer);
}

void
confpeer_revision_announced (struct confpeer *confpeer, const char *address,
                             uint64_t revision)
{
  conffetch_revision_announced (&confpeer->fetch, address, revision);
}

void
confpeer_fetch_received (struct confpeer *confpeer, struct peer_conn *conn,
                         const Peer__Envelope *request)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__ConfigReply body = PEER__CONFIG_REPLY__INIT;
  uint64_t since = request->config_fetch->since;
  uint8_t *packed = NULL;
  char *text = NULL;

  if (configstore_revision (confpeer->configstore) > since)
    text = conftext_delta (confpeer->configstore->config, since);
  if (text != NULL && strlen (text) <= DELTA_TEXT_MAX)
    {
      packed = textzip_compress (text, &body.packed.len);
      body.packed.data = packed;
      body.size = (uint32_t)strlen (text);
    }
  reply.body_case = PEER__ENVELOPE__BODY_CONFIG_REPLY;
  reply.config_reply = &body;
  peer_conn_reply (conn, request->request_id, &reply);
  g_free (packed);
  g_free (text);
}

void
confpeer_tick (struct confpeer *confpeer)
{
  conffetch_tick (&confpeer->fetch);
}
