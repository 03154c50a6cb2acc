#include "forwardlearn.h"

enum
{
  REFUSED_MS = 150,    /* a server that refuses is left alone for so long */
  IDLE_BACKLOG_MS = 60 /* Less work does not hide a store's delay. */
};

/* A first event that comes later than was expected of free links tells of the
 * link of the store that its cache was fetched from. */
static void
learn_delay (struct forward *forward)
{
  const struct exchange *exchange = &forward->exchange;
  struct kvstore *store;

  if (forward->fetch_store == NULL || forward->backlog_ms > IDLE_BACKLOG_MS)
    return;
  store = kvstores_named (forward->forwarder->kvstores, forward->fetch_store);
  if (store != NULL)
    kvstore_note_delay (store, (double)(exchange->first_ns - exchange->sent_ns)
                                       / NS_PER_MS
                                   - forward->expected_ms + forward->delay_ms);
}

static void
learn_load (struct forward *forward)
{
  struct server *server = forward->exchange.server;
  const struct answer *answer = &forward->exchange.answer;

  if (answer->has_load)
    {
      server->has_load = true;
      server->running = answer->running;
      server->waiting = answer->waiting;
      server->load_ns = forward->exchange.progress_ns;
    }
  if (answer->weight_version != 0 && forward->call.model != NULL)
    server_set_version (server, forward->call.model, answer->weight_version);
}

void
forward_learn_head (struct forward *forward)
{
  learn_load (forward);
  learn_delay (forward);
}

void
forward_learn_end (struct forward *forward, enum exchange_end end)
{
  struct forwarder *forwarder = forward->forwarder;
  struct server *server = forward->exchange.server;
  const struct answer *answer = &forward->exchange.answer;
  int64_t now = clock_now (forwarder->clock);

  if (!forward->relaying)
    learn_load (forward);
  if (end == EXCHANGE_NOT_CONNECTED || end == EXCHANGE_CUT)
    server_missed (forwarder->servers, server);
  else if (end == EXCHANGE_ANSWERED)
    server_answered (forwarder->servers, server, answer->status >= 500);
  else if (end == EXCHANGE_FOREIGN || end == EXCHANGE_SILENT)
    server_answered (forwarder->servers, server, true);
  if (end == EXCHANGE_CUT)
    poison_report (forwarder->poison, forward->fingerprint, server->entry.id);
  else if (end == EXCHANGE_ANSWERED)
    poison_clear (forwarder->poison, forward->fingerprint);
  if (end == EXCHANGE_NOT_RUN && answer->other_server)
    servers_remove (forwarder->servers, server->entry.id, "other_at_address");
  else if (end == EXCHANGE_NOT_RUN && !answer->other_weights)
    server_set_busy (server, now + REFUSED_MS * NS_PER_MS);
  if (end == EXCHANGE_ANSWERED && answer->success
      && forward->call.model != NULL)
    server_cache_note (server, forward->call.parts, forward->call.part_count,
                       now);
}
