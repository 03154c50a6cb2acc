#ifndef MEMBER_H
#define MEMBER_H

#include "memberwire.h"

/** @file
 * Membership by gossip: each process probes one other at a time, asks others
 * to probe it if it does not answer, suspects it, and holds it for dead when
 * it does not refute that in time. Changes ride on the probes. Pages of the
 * whole state are pulled from a peer now and then; the dead are probed rarely
 * for a long while, so that regions that lost each other come together again.
 * No agreement is drawn from it.
 */

struct member_ops
{
  /** Send SIZE BYTES to ADDRESS; it may get lost. */
  void (*send) (void *data, const char *address, const uint8_t *bytes,
                size_t size);
  /** More is known of the process ROW than before. */
  void (*changed) (void *data, const struct member_row *row);
  /** SEEN_BY saw the backend server SERVER leaving or out. */
  void (*signed_out) (void *data, const char *server, const char *seen_by);
};

struct member_settings
{
  int64_t probe_ns;       /**< from one probe to the next */
  int64_t direct_ns;      /**< to wait before others are asked to probe */
  int64_t answer_ns;      /**< to wait before it is suspect; under probe_ns */
  int64_t suspect_ns;     /**< to refute in, for each factor 10 of the fleet */
  int64_t dead_probe_ns;  /**< from one probe of a dead one to the next */
  int64_t dead_keep_ns;   /**< until a dead one is forgotten */
  int64_t pull_ns;        /**< from one page to the next at rest */
  int64_t pull_news_ns;   /**< the same while pages bring news */
  int64_t spread_ns;      /**< shortest time between urgent datagrams */
  int64_t sign_life_ns;   /**< of a sign of a backend server */
  int64_t bytes_per_s;    /**< that it sends, but for probes and answers */
  unsigned far_share;     /**< one of so many peers is of another centre */
  bool without_suspicion; /**< for tests: dead at the first miss */
  bool without_incarnation; /**< for tests: an old run counts as the new */
};

/** What the fleet runs with. */
extern const struct member_settings member_settings_default;

enum
{
  MEMBER_BURST_S = 2,     /**< Seconds of unused budget that are kept. */
  MEMBER_RELAYS = 16,     /**< probes for others that are under way */
  MEMBER_HELPERS = 3,     /**< others that are asked to probe */
  MEMBER_FANOUT = 3,      /**< receivers of what is urgent, in a round */
  MEMBER_ROUNDS = 2,      /**< of what is urgent */
  MEMBER_SIGN_LIMIT = 256 /**< signs that are held */
};

/** A probe for another process. */
struct member_relay
{
  uint64_t sequence; /**< ours; 0: free */
  uint64_t asked;    /**< the asker's */
  char address[MEMBER_ADDRESS_MAX];
};

struct member
{
  const struct member_settings *settings;
  const struct clock *clock;
  struct rng *rng;
  const struct member_ops *ops;
  void *data;
  struct member_row self;
  struct membertable table;
  struct list queue; /**< rows to spread, the newest first */
  struct list signs;
  GHashTable *sign_by_name;
  char (*seeds)[MEMBER_ADDRESS_MAX];
  size_t seed_count;
  size_t next_seed;
  uint64_t sequence;
  uint64_t probe_target; /**< id; 0: no probe is under way */
  uint64_t probe_sequence;
  int64_t probe_began_ns;
  bool probe_helped;
  struct member_relay relays[MEMBER_RELAYS];
  unsigned next_relay;
  char pull_address[MEMBER_ADDRESS_MAX]; /**< "": choose one */
  uint32_t pull_cursor;
  bool pull_whole;
  unsigned urgent;      /**< rounds of urgent datagrams still to send */
  int64_t budget;       /**< bytes; below 0 only what must be is sent */
  int64_t last_fill_ns; /**< of the budget */
  int64_t last_tick_ns;
  int64_t next_probe_ns;
  int64_t next_dead_ns;
  int64_t next_pull_ns;
  int64_t next_spread_ns;
};

/** @param self the process, alive, version 0; its texts are copied */
void member_init (struct member *member,
                  const struct member_settings *settings,
                  const struct member_row *self, const struct clock *clock,
                  struct rng *rng, const struct member_ops *ops, void *data);
void member_finish (struct member *member);

/** Addresses to ask first. */
void member_seed (struct member *member, const char *const *addresses,
                  size_t count);

/** Take in what is known of another process from elsewhere. */
void member_learn (struct member *member, const struct member_row *row);

/** A datagram came in. */
void member_receive (struct member *member, const uint8_t *bytes, size_t size);

/** The process has REVISION of the configuration in force now. */
void member_set_revision (struct member *member, uint64_t revision);

/** The process leaves; it still serves. */
void member_leave (struct member *member);

/** The process ends now: its last word. */
void member_end (struct member *member);

/** The process itself saw the backend server SERVER leaving or out. */
void member_sign (struct member *member, const char *server);

/** Whether the process is among the first COUNT by rendezvous rank for KEY
 * of those in its data centre that live and stay. */
bool member_first (const struct member *member, const char *key,
                   unsigned count);

/** Some live process that has a revision above REVISION in force, or NULL. */
const struct member_row *member_with_revision (const struct member *member,
                                               uint64_t revision);

void member_tick (struct member *member);

/** The monotonic time of the next thing due. */
int64_t member_next (const struct member *member);

#endif
