#include "confpeer.h"
#include "textzip.h"

#include <glib.h>
#include <string.h>

#define FETCH_TIMEOUT_NS (2 * NS_PER_S)

enum
{
  TEXT_MAX = 32 * 1024 * 1024 /* bytes of a configuration as a text */
};

static const struct confspread_settings spread_settings
    = { .jitter_ns = 50 * NS_PER_MS, .retry_ns = NS_PER_S };

static uint64_t
revision_of (void *data)
{
  const struct confpeer *peer = data;

  return configstore_revision (peer->store);
}

static const char *
peer_of (void *data, uint64_t revision)
{
  const struct confpeer *peer = data;
  const struct member_row *row = member_with_revision (peer->member, revision);

  return row == NULL ? NULL : row->peer_address;
}

static enum status
take_reply (struct confpeer *peer, const Peer__Envelope *reply)
{
  const Peer__ConfigReply *body = reply->config_reply;
  enum status status;
  char *text;

  if (reply->body_case != PEER__ENVELOPE__BODY_CONFIG_REPLY
      || body->packed.len == 0)
    return STATUS_UNAVAILABLE;
  text = textzip_open (body->packed.data, body->packed.len, body->size,
                       TEXT_MAX);
  if (text == NULL)
    return STATUS_CORRUPT;
  status = configstore_offer (peer->store, text, NULL);
  g_free (text);
  return status;
}

static void
on_reply (void *data, enum status status, const Peer__Envelope *reply)
{
  struct confpeer *peer = data;

  if (status == STATUS_CANCELLED)
    return;
  if (status == STATUS_OK)
    status = take_reply (peer, reply);
  confspread_fetched (&peer->spread, status);
}

static void
on_fetch (void *data, const char *address, uint64_t since)
{
  struct confpeer *peer = data;
  Peer__Envelope request = PEER__ENVELOPE__INIT;
  Peer__ConfigFetch fetch = PEER__CONFIG_FETCH__INIT;

  fetch.since = since;
  request.body_case = PEER__ENVELOPE__BODY_CONFIG_FETCH;
  request.config_fetch = &fetch;
  peerhub_request (peer->peers, address, &request, FETCH_TIMEOUT_NS, on_reply,
                   peer);
}

static const struct confspread_ops spread_ops
    = { revision_of, on_fetch, peer_of };

void
confpeer_init (struct confpeer *peer, struct configstore *store,
               struct peerhub *peers, const struct member *member,
               const struct clock *clock, struct rng *rng)
{
  memset (peer, 0, sizeof *peer);
  peer->store = store;
  peer->peers = peers;
  peer->member = member;
  confspread_init (&peer->spread, &spread_settings, clock, rng, &spread_ops,
                   peer);
}

void
confpeer_heard (struct confpeer *peer, const char *address, uint64_t revision)
{
  confspread_heard (&peer->spread, address, revision);
}

void
confpeer_answer (struct confpeer *peer, struct peerlink *link,
                 const Peer__Envelope *request)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__ConfigReply body = PEER__CONFIG_REPLY__INIT;
  uint64_t since = request->config_fetch->since;
  uint8_t *packed = NULL;
  char *text = NULL;

  if (configstore_revision (peer->store) > since)
    text = conftext_delta (peer->store->config, since);
  if (text != NULL && strlen (text) <= TEXT_MAX)
    {
      packed = textzip_pack (text, &body.packed.len);
      body.packed.data = packed;
      body.size = (uint32_t)strlen (text);
    }
  reply.body_case = PEER__ENVELOPE__BODY_CONFIG_REPLY;
  reply.config_reply = &body;
  peerlink_reply (link, request->request_id, &reply);
  g_free (packed);
  g_free (text);
}

void
confpeer_tick (struct confpeer *peer)
{
  confspread_tick (&peer->spread);
}
