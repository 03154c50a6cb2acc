#ifndef ENGINEWATCH_H
#define ENGINEWATCH_H

#include "clock.h"
#include "engine.h"
#include "hostlist.h"
#include "peer.pb-c.h"
#include "roster.h"

/** @file
 * Polls the engines that are assigned to this shard for their load and their
 * cache events, and fills the replies to the load queries of gateways.
 */

struct enginewatch;

/** Callbacks that report what the polls of the engines returned. */
struct enginewatch_ops
{
  /** Cache events of ENGINE arrived. If EVENTS->first is greater than
   * EVENTS->next_expected, events were lost. */
  void (*events_received) (void *data, uint64_t engine,
                           const struct engine_events *events);
  /** A listing of all blocks that ENGINE has cached arrived. */
  void (*listing_received) (void *data, uint64_t engine,
                            const struct engine_listing *listing);
  /** ENGINE restarted, left the host list or was assigned to another shard,
   * so the information about its cache is no longer valid. */
  void (*engine_reset) (void *data, uint64_t engine);
  /** A load report of the engine NAME arrived. */
  void (*load_received) (void *data, const char *name,
                         const struct engine_load *load);
};

struct enginewatch
{
  const struct clock *clock;
  struct engineclient *client;
  const struct roster *roster;
  const struct hostlist *hostlist;
  const struct enginewatch_ops *ops;
  void *data;
  uint64_t self_id; /**< Roster id of this process. */
  void *engines;    /**< Hash table from name to struct watched_engine. */
  int64_t next_poll_ns;
};

void enginewatch_init (struct enginewatch *watch, const struct clock *clock,
                       struct engineclient *client,
                       const struct roster *roster,
                       const struct hostlist *hostlist, uint64_t self_id,
                       const struct enginewatch_ops *ops, void *data);
void enginewatch_finish (struct enginewatch *watch);

/** Add the engines that are now assigned to this shard and remove those that
 * no longer are. Call it when the host list or the set of live processes
 * changed. */
void enginewatch_sync (struct enginewatch *watch);

/** Poll all engines if the poll interval has passed. */
void enginewatch_tick (struct enginewatch *watch);

/** Request a listing of the blocks that the engine with ENGINE_ID has
 * cached. */
void enginewatch_request_listing (struct enginewatch *watch,
                                  uint64_t engine_id);

/** The address of the engine with ENGINE_ID, which may be assigned to any
 * shard, or NULL if it is not in the host list. */
const char *enginewatch_find_address (const struct enginewatch *watch,
                                      uint64_t engine_id);

/** Fill REPLY with the load reports of the engines that QUERY names; the
 * caller frees its contents with enginewatch_reply_clear. Engines without a
 * recent report are left out. */
void enginewatch_fill_reply (struct enginewatch *watch,
                             const Peer__LoadQuery *query,
                             Peer__LoadReply *reply);
void enginewatch_reply_clear (Peer__LoadReply *reply);

#endif
