#ifndef MEMBER_H
#define MEMBER_H

#include "memberwire.h"

/** @file
 * SWIM-style membership by gossip. Each process probes one other process at
 * a time. If the target does not reply, other processes are asked to probe
 * it too. If they get no reply either, the target is suspect, and then dead
 * unless it refutes the suspicion in time. Each process has a table with
 * one row (struct member_row) per process. Changed rows are sent along with
 * the probes. Now and then a process pulls a page of the whole table from a
 * peer. Dead processes are still probed rarely for a long time, so that two
 * regions merge again after a network partition. The tables of two
 * processes may differ, so nothing that needs agreement may depend on them. */

struct member_ops
{
  /** Send SIZE BYTES to ADDRESS; the datagram may get lost. */
  void (*send) (void *data, const char *address, const uint8_t *bytes,
                size_t size);
  /** The row of another process was added or updated. */
  void (*row_changed) (void *data, const struct member_row *row);
  /** The process SEEN_BY reports that SERVER is leaving or down. */
  void (*notice_received) (void *data, const char *server,
                           const char *seen_by);
};

struct member_settings
{
  int64_t probe_interval_ns;      /**< Interval between two probes. */
  int64_t direct_timeout_ns;      /**< Time without a reply until other
                                   * processes are asked to probe. */
  int64_t probe_timeout_ns;       /**< Time without a reply until the target
                                   * is suspect; below probe_interval_ns. */
  int64_t suspect_timeout_ns;     /**< Time to refute a suspicion, per decimal
                                   * digit of the number of live processes. */
  int64_t dead_probe_interval_ns; /**< Interval between two probes of dead
                                   * processes and seeds. */
  int64_t dead_retention_ns;      /**< Time until a dead process is
                                   * forgotten. */
  int64_t pull_interval_ns;       /**< Interval between two pulls while the
                                   * table does not change. */
  int64_t pull_fast_interval_ns;  /**< Interval between two pulls while pages
                                   * bring changes; also the delay before a
                                   * send that had no budget is retried. */
  int64_t urgent_interval_ns;     /**< Shortest interval between two rounds of
                                   * urgent datagrams. */
  int64_t notice_lifetime_ns; /**< Time after which a notice about a backend
                                 server is removed. */
  int64_t bytes_per_s; /**< Send budget in bytes per second; probes and their
                          replies are charged to it, but not limited. */
  unsigned remote_pick_divisor; /**< Number of picked peers of which, on
                                   average, one is from another data centre. */
  bool without_suspicion; /**< Whether a process is dead after the first probe
                             without a reply; for tests. */
  bool without_incarnation; /**< Whether an old run of a process counts as its
                               present run; for tests. */
};

/** The settings for production. */
extern const struct member_settings member_settings_default;

enum
{
  /** Maximum unused budget, in seconds at the rate bytes_per_s. */
  MEMBER_BURST_S = 2,
  /** Maximum number of probes in flight for other processes. */
  MEMBER_RELAYS_MAX = 16,
  MEMBER_INDIRECT_PROBES = 3, /**< Number of processes that are asked to probe
                                 a target that did not reply. */
  /** Number of receivers in one round of urgent datagrams; also the number
   * of seeds probed at once while no live process is known. */
  MEMBER_FANOUT = 3,
  /** Number of rounds of urgent datagrams per change. */
  MEMBER_URGENT_ROUNDS = 2,
  /** Maximum number of notices held at one time. */
  MEMBER_NOTICES_HELD_MAX = 256
};

/** A probe that is sent for another process, the requester. */
struct member_relay
{
  uint64_t sequence; /**< Sequence number of the relayed probe; 0 if this
                        element is unused. */
  uint64_t requester_sequence;
  char requester_address[MEMBER_ADDRESS_MAX];
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
  struct list update_queue; /**< Entries whose rows are still to be sent, the
                             * latest change first. */
  struct list notices;
  GHashTable *notice_by_server; /**< Map from server name to its notice. */
  char (*seeds)[MEMBER_ADDRESS_MAX];
  size_t seed_count;
  size_t next_seed;
  uint64_t sequence;
  uint64_t probe_target_id; /**< Id of the process being probed; 0 if no probe
                               is in flight. */
  uint64_t probe_sequence;
  int64_t probe_started_ns;
  bool indirect_probes_sent;
  struct member_relay relays[MEMBER_RELAYS_MAX];
  unsigned next_relay;
  char pull_address[MEMBER_ADDRESS_MAX]; /**< Address of the peer for the next
                                            pull; "" to pick a random peer. */
  uint32_t pull_cursor;
  bool pull_full_rows;    /**< Whether to pull rows with the fixed fields. */
  unsigned urgent_rounds; /**< Number of rounds of urgent datagrams still to be
                             sent. */
  int64_t budget_bytes; /**< Number of bytes that may be sent now. Unless it is
                           above 0, only probes, replies and the row of a
                           process that exits are sent. */
  /** Time at which budget_bytes was last increased. */
  int64_t budget_updated_ns;
  int64_t last_tick_ns;
  int64_t next_probe_ns;
  int64_t next_dead_probe_ns;
  int64_t next_pull_ns;
  int64_t next_urgent_ns;
};

/** @param self row of this process, in state MEMBER_ALIVE and with version
 * 0; it is copied */
void member_init (struct member *member,
                  const struct member_settings *settings,
                  const struct member_row *self, const struct clock *clock,
                  struct rng *rng, const struct member_ops *ops, void *data);
void member_finish (struct member *member);

/** Set the addresses that are probed to find the first peers. */
void member_set_seeds (struct member *member, const char *const *addresses,
                       size_t count);

/** Merge a row that was not received in a datagram. */
void member_merge_row (struct member *member, const struct member_row *row);

/** Handle a received datagram. */
void member_receive (struct member *member, const uint8_t *bytes, size_t size);

/** Announce that this process has REVISION of the configuration in force. */
void member_set_revision (struct member *member, uint64_t revision);

/** Announce that this process is leaving; it still serves. */
void member_set_leaving (struct member *member);

/** Announce that this process exits now; member_tick does nothing
 * afterwards. */
void member_announce_exit (struct member *member);

/** Announce that this process saw the backend server SERVER leaving or
 * down. */
void member_add_notice (struct member *member, const char *server);

/** Whether this process is among the first COUNT processes for KEY by
 * rendezvous hashing. Only live processes in its data centre that are not
 * leaving are considered. */
bool member_is_among_first (const struct member *member, const char *key,
                            unsigned count);

/** @return a random live process that has a revision above REVISION in force,
 * or NULL. */
const struct member_row *
member_find_newer_revision (const struct member *member, uint64_t revision);

void member_tick (struct member *member);

/** @return the monotonic time at which member_tick must be called next. */
int64_t member_next_due_ns (const struct member *member);

#endif
