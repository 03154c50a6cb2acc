#ifndef ENGINEWATCH_H
#define ENGINEWATCH_H

#include "clock.h"
#include "engine.h"
#include "hostlist.h"
#include "peer.pb-c.h"
#include "roster.h"

/** @file
 * A shard's watch over the engines that fall to it: it asks each for its load
 * and its cache events, and answers the gateways' questions about load.
 */

struct enginewatch;

/** What the watch reports. */
struct enginewatch_ops
{
  /** Cache events of ENGINE; FIRST over NEXT as asked means a gap. */
  void (*events) (void *data, uint64_t engine,
                  const struct engine_events *events);
  void (*listing) (void *data, uint64_t engine,
                   const struct engine_listing *listing);
  /** The engine started anew or was given to another shard. */
  void (*gone) (void *data, uint64_t engine);
  /** A load report came in. */
  void (*loaded) (void *data, const char *name,
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
  uint64_t self; /**< roster id of this process */
  void *engines; /**< hash table: name to struct watched */
  int64_t next_poll_ns;
};

void enginewatch_init (struct enginewatch *watch, const struct clock *clock,
                       struct engineclient *client,
                       const struct roster *roster,
                       const struct hostlist *hostlist, uint64_t self,
                       const struct enginewatch_ops *ops, void *data);
void enginewatch_finish (struct enginewatch *watch);

/** The host list or the live processes changed: take up and let go. */
void enginewatch_sync (struct enginewatch *watch);

/** Ask what is due. */
void enginewatch_tick (struct enginewatch *watch);

/** Ask ENGINE for a fresh listing of its cache. */
void enginewatch_list (struct enginewatch *watch, uint64_t engine);

/** The address of ENGINE, whether this shard watches it or another one, or
 * NULL. */
const char *enginewatch_any_address (const struct enginewatch *watch,
                                     uint64_t engine);

/** Fill REPLY with the reports that QUERY asks for; free its parts with
 * enginewatch_reply_clear. */
void enginewatch_answer (struct enginewatch *watch,
                         const Peer__LoadQuery *query, Peer__LoadReply *reply);
void enginewatch_reply_clear (Peer__LoadReply *reply);

#endif
