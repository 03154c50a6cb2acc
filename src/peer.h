#ifndef PEER_H
#define PEER_H

#include "clock.h"
#include "frame.h"
#include "list.h"
#include "log.h"
#include "peer.pb-c.h"
#include "status.h"

#include <stdbool.h>
#include <uv.h>

/** @file
 * Requests between our own processes: one TCP connection to each peer that
 * is asked, frames with a Peer__Envelope, heartbeats on each connection. A
 * connection that stays silent for PEER_SILENT_NS is closed and never used
 * again; a request that was sent on it answers STATUS_UNKNOWN. The asker
 * closes a connection that it has not asked on for PEER_IDLE_NS, so that
 * connections and heartbeats do not grow with the fleet.
 */

#define PEER_PROTOCOL 1
#define PEER_HEARTBEAT_NS (500 * NS_PER_MS)
#define PEER_SILENT_NS (2 * NS_PER_S)
#define PEER_IDLE_NS (2 * NS_PER_S)

enum
{
  PEER_NAME_MAX = 64 /**< bytes of an "IP:PORT", with the final NUL */
};

struct peerhub;

/** One connection, in either direction. */
struct peerlink;

/** The answer to a request. REPLY is NULL unless STATUS is STATUS_OK. */
typedef void (*peer_done) (void *data, enum status status,
                           const Peer__Envelope *reply);

/** A request from another process; answer with peerlink_reply. LINK lives
 * until the handler returns; keep a peerlink_ref to answer later. */
typedef void (*peer_handler) (void *data, struct peerlink *link,
                              const Peer__Envelope *request);

struct peerhub
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t timer;
  const struct clock *clock;
  struct log *log;
  peer_handler handler;
  void *handler_data;
  uint64_t incarnation;
  const uint64_t *config_revision; /**< sent with every message */
  uint64_t next_request;
  void *outgoing;    /**< hash table: address to struct peerlink */
  struct list links; /**< all open connections */
  bool listening;
  bool finished;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

/** Listen at ADDRESS "IP:PORT" and be ready to ask. */
enum status peerhub_init (struct peerhub *hub, uv_loop_t *loop,
                          const struct clock *clock, struct log *log,
                          const char *address, uint64_t incarnation,
                          const uint64_t *config_revision,
                          peer_handler handler, void *data,
                          struct error *error);

/** Close all; open requests answer STATUS_CANCELLED. */
void peerhub_finish (struct peerhub *hub);

unsigned peerhub_port (const struct peerhub *hub);

/** Send REQUEST (its body set) to the process at ADDRESS. DONE is called
 * once, later: STATUS_UNAVAILABLE if it surely did not arrive,
 * STATUS_UNKNOWN if it may have, STATUS_TIMEOUT after TIMEOUT_NS (as
 * STATUS_UNKNOWN). */
void peerhub_request (struct peerhub *hub, const char *address,
                      Peer__Envelope *request, int64_t timeout_ns,
                      peer_done done, void *data);

/** Answer the request with REQUEST_ID on LINK; harmless after its end. */
void peerlink_reply (struct peerlink *link, uint64_t request_id,
                     Peer__Envelope *reply);

struct peerlink *peerlink_ref (struct peerlink *link);
void peerlink_unref (struct peerlink *link);

#endif
