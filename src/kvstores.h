#ifndef KVSTORES_H
#define KVSTORES_H

#include "call.h"
#include "clock.h"
#include "dialect.h"
#include "log.h"
#include "routes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * The stores of kept KV cache: which parts of prompts each holds whole.
 *
 * A part is fetched only if its store itself has told that it is complete,
 * in the present run of the store, and is still in step with this process.
 * Whatever is in doubt counts as not held: reading it again is always right.
 * Answers prompts that return after their engine has forgotten them.
 */

enum
{
  KVSTORES_FETCH_MAX_MS = 1000 /**< No fetch takes longer. */
};

/** What a store told: the changes after SINCE up to NEXT. */
struct kvstore_news
{
  const char *store;
  uint64_t epoch;
  uint64_t since;
  uint64_t next;
  const struct cache_part *parts;
  unsigned part_count;
};

struct kvstore;

/** Hosts that share what stores tell. */
struct kvstores_ops
{
  /** Whether this host listens to STORE for others; else it hears from them
   * and asks only now and then. */
  bool (*listens) (void *data, const struct kvstore *store);
  /** Something changed at a store that this host listens to. */
  void (*heard) (void *data, const struct kvstore_news *news);
};

struct kvstores_settings
{
  unsigned listeners;   /**< hosts that may ask a store at a time */
  int64_t turn_ns;      /**< of one turn; longer than its call waits */
  int64_t turn_wait_ns; /**< of a call within a turn */
  int64_t wait_ns;      /**< of one call for events */
  int64_t listen_ns;    /**< between two calls of a host that listens */
  int64_t ask_ns;       /**< between two calls of one that does not */
  int64_t settle_ns; /**< A store that started anew is left alone so long, so
                          that every host has noticed. */
  double full_share; /**< Nothing is saved to a fuller store. */
};

extern const struct kvstores_settings kvstores_settings_default;

struct kvstore
{
  struct kvstores *owner;
  char *name;
  char *address;
  char *data_centre;
  uint64_t capacity_tokens;
  uint64_t epoch;  /**< of its run; 0: not known yet */
  uint64_t next;   /**< event to go on from */
  bool in_step;    /**< Its events are followed without a gap. */
  bool wants_list; /**< Events were missed. */
  bool in_call;
  bool removed;       /**< no longer configured; freed after its call */
  int64_t settled_ns; /**< It may be used from then on. */
  int64_t retry_ns;
  int64_t asked_ns;     /**< when the last call was sent */
  uint64_t asked_since; /**< event that this call goes on from */
  int64_t told_ns;      /**< when it last told something itself */
  int64_t turn_number;  /**< of the last turn that was taken */
  uint64_t held_tokens;
  double delay_ms;   /**< moving average: fetches come so late */
  int64_t delay_ns;  /**< when it was last measured */
  GHashTable *parts; /**< "SCOPE ID" to tokens */
};

struct kvstores
{
  const struct clock *clock;
  struct log *log;
  const struct dialect *dialect;
  struct httpjson *httpjson;
  struct kvstores_settings settings;
  const struct kvstores_ops *ops; /**< NULL: this host is alone */
  void *data;
  GPtrArray *stores; /**< of struct kvstore */
  unsigned turns;    /**< 1: every host listens all the time */
  unsigned turn;     /**< of this host */
  bool clock_known;
  int64_t engine_clock_ns; /**< the engines' clock less ours */
};

void kvstores_init (struct kvstores *kvstores,
                    const struct kvstores_settings *settings,
                    const struct clock *clock, struct log *log,
                    const struct dialect *dialect, struct httpjson *httpjson);
/** HTTPJSON must have been finished. */
void kvstores_finish (struct kvstores *kvstores);

/** Follow the stores of a new configuration. */
void kvstores_configure (struct kvstores *kvstores,
                         const struct routes *routes);

/** Share what stores tell with other hosts. */
void kvstores_share (struct kvstores *kvstores, const struct kvstores_ops *ops,
                     void *data);

/** Another host heard NEWS of a store. */
void kvstores_take_news (struct kvstores *kvstores,
                         const struct kvstore_news *news);

/** Go on listening. */
void kvstores_tick (struct kvstores *kvstores);

/** HOSTS follow the stores, this one as number INDEX: a store holds only a few
 * calls at a time, so that many hosts take turns. */
void kvstores_set_turn (struct kvstores *kvstores, unsigned hosts,
                        unsigned index);

/** The store that holds the part whole, in DATA_CENTRE if there is one; NULL
 * if none does. */
struct kvstore *kvstores_find (const struct kvstores *kvstores,
                               const char *scope, const struct call_part *part,
                               const char *data_centre);

/** The store NAME, or NULL. */
struct kvstore *kvstores_named (const struct kvstores *kvstores,
                                const char *name);

/** A fetch from STORE came LATE_MS later than it takes on a free link. */
void kvstore_note_delay (struct kvstore *store, double late_ms);

/** By how much fetches from STORE are expected to come late, ms. */
double kvstore_delay_ms (const struct kvstore *store);

/** The store that the part should be saved to, the same on every host: one
 * in DATA_CENTRE if there is one with room; NULL if none has. */
const struct kvstore *kvstores_place (const struct kvstores *kvstores,
                                      uint64_t part, unsigned tokens,
                                      const char *data_centre);

/** The engines' clock, ms, in SPAN_NS from now: a fetch is not used if it
 * takes longer; 0 if that clock is not known.
 * @param span_ns at most KVSTORES_FETCH_MAX_MS */
uint64_t kvstores_fetch_until_ms (const struct kvstores *kvstores,
                                  int64_t span_ns);

/** Take up to MAX parts of scopes that begin with PREFIX out of the view of
 * STORE, to have them freed. @return how many */
unsigned kvstore_take_parts (struct kvstore *store, const char *prefix,
                             struct cache_part *parts, unsigned max);

#endif
