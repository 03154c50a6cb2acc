#ifndef ONCE_H
#define ONCE_H

#include "kvcommit.h"
#include "list.h"
#include "owner.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * At-most-once records of one shard process: they decide whether a request
 * with an idempotency key may run. The process keeps the records of those
 * pairs of organisation and idempotency key that fall into its partitions.
 *
 * A grant is the permission to run one request once. It is sent to a gateway
 * only after it is durable in the KV service, in a transaction that also
 * compares the owner record of the partition. The changes of all partitions
 * of the process share one transaction, and one is in flight at a time. The
 * durable record decides, not the lease: a grant belongs to one request id
 * and is never transferred to another.
 */

enum
{
  /** Maximum size in bytes of a response body that is kept; only the digest
   * of a longer one is kept. */
  ONCE_OUTCOME_BODY_MAX = 512,
  ONCE_MERGE_SEGMENTS = 8, /**< Number of segments that one merge joins. */
  ONCE_STATUS_UNKNOWN = 0  /**< HTTP status of an outcome if the gateway
                                cannot tell how the request ended. */
};

struct once_digest
{
  uint8_t bytes[16];
};

enum once_result
{
  ONCE_GRANTED,      /**< The request may run once. */
  ONCE_IN_PROGRESS,  /**< Another request with the same key is in flight. */
  ONCE_REPLAYED,     /**< A request with the key has run; the reply contains
                          its outcome. */
  ONCE_CONFLICT,     /**< The key was used with another fingerprint. */
  ONCE_MAY_HAVE_RUN, /**< A request with the key had a grant; whether it ran
                          or how it ended will not become known. */
  ONCE_REFUSED,      /**< This request was not run and got no grant. */
  ONCE_RESULT_COUNT
};

/** The HTTP response to a request that has run. */
struct once_outcome
{
  unsigned status;           /**< HTTP status or ONCE_STATUS_UNKNOWN. */
  struct once_digest digest; /**< Digest of the whole response body. */
  bool has_body; /**< Whether BODY is set; if not, only DIGEST is. */
  const uint8_t *body;
  size_t body_size; /**< Size of BODY, at most ONCE_OUTCOME_BODY_MAX. */
};

struct once_request
{
  const char *organisation;
  const char *key;  /**< Idempotency key. */
  uint64_t request; /**< Id that the gateway uses for this request only. */
  uint64_t gateway_incarnation; /**< Incarnation of the gateway process that
                       sent the request. */
};

/** The reply to once_acquire. */
struct once_reply
{
  uint64_t request_id;
  uint64_t gateway_incarnation;
  enum once_result result;
  /** For ONCE_REFUSED: whether this process cannot tell if an earlier
   * request with the key ran. If false, none ran. */
  bool key_unknown;
  /** For ONCE_REFUSED and ONCE_IN_PROGRESS: delay before the gateway
   * retries. */
  int64_t retry_after_ns;
  /** For ONCE_REPLAYED: outcome of the request that has run. The body is
   * valid only during the callback. */
  struct once_outcome outcome;
};

struct once_settings
{
  int64_t write_interval_ns; /**< Minimum time between two writes. */
  int64_t outcome_delay_ns;  /**< Maximum time that an outcome or a release
                                waits for others to share its write. */
  int64_t retention_ns; /**< Minimum time that a record is kept after its last
                           change. */
  int64_t run_max_ns;   /**< Time after which a grant without an outcome counts
                           as ONCE_MAY_HAVE_RUN; less than RETENTION_NS. */
  int64_t tail_window_ns;   /**< Time after which the tail, the segment that
                            receives changes, is closed. */
  size_t tail_bytes;        /**< Size at which the tail is closed; small, as
                                 each write contains the whole tail. */
  size_t segment_max_bytes; /**< Maximum size of a merged segment, at least
                               ONCE_MERGE_SEGMENTS times TAIL_BYTES. */
  size_t record_max;        /**< Maximum number of records in this process. */
  unsigned parallel_loads_max; /**< Maximum number of partitions that are
                                  loaded at the same time. */
};

struct once;

/** The callbacks must not call back into ONCE. */
struct once_ops
{
  /** The result of a once_acquire is available. */
  void (*reply) (struct once *once, const struct once_reply *reply);
  /** An outcome or a release is durable (STATUS_OK), comes from a request
   * that does not hold the grant (STATUS_STALE), or has to be retried later,
   * perhaps at another process (STATUS_UNAVAILABLE). */
  void (*recorded) (struct once *once, uint64_t gateway, uint64_t request,
                    enum status status);
  /** Whether the gateway of this incarnation is considered alive. */
  bool (*gateway_is_live) (struct once *once, uint64_t gateway);
};

struct once_counters
{
  /** Number of replies with each result. */
  uint64_t results[ONCE_RESULT_COUNT];
  uint64_t writes;        /**< Number of transactions started. */
  uint64_t loads;         /**< Number of partitions loaded. */
  uint64_t stale_reports; /**< Number of outcomes and releases of requests that
                             do not hold the grant. */
  uint64_t written_bytes; /**< Total size of all values written, in bytes. */
  /** Number of loads that met an unreadable segment. */
  uint64_t corrupt_loads;
  /** Number of requests whose deadline passed or that were released before
   * their grant was durable. */
  uint64_t abandoned_grants;
};

struct oncepartition;

struct once
{
  struct once_counters counters;
  struct once_settings settings;
  const struct once_ops *ops;
  struct owner *owner;
  struct kv *kv;
  const struct clock *clock;
  struct rng *rng;
  struct kvcommit commit;
  struct oncepartition *partitions; /* Array of all partitions, by index. */
  unsigned partition_count;
  struct list waiters;   /* List of struct oncerecord_waiter. */
  size_t record_count;   /* Number of records in all partitions. */
  uint64_t write_number; /* Number of writes so far; it makes the marker of
                            each write unique. */
  int64_t last_write_ns; /* Time at which the last write started. */
  int64_t write_due_ns;  /* Time at which a write is due for changes other than
                            pending grants; CLOCK_NEVER if there are none. */
  int64_t write_retry_ns;  /* Time before which no write starts; set after a
                              failed write. */
  unsigned write_failures; /* Number of consecutive failed writes. */
  int64_t
      next_expiry_check_ns; /* Time of the next check for expired segments. */
  /* Number of partitions in state ONCEPARTITION_LOADING. */
  unsigned loading_count;
  unsigned load_call_count; /* Number of range calls in flight. */
  size_t segment_max_bytes; /* Maximum size of a merged segment: as configured,
                               or less after the KV service refused a write as
                               too large. */
};

/** OWNER, KV, CLOCK and RNG must outlive ONCE. */
void once_init (struct once *once, const struct once_settings *settings,
                const struct once_ops *ops, struct owner *owner, struct kv *kv,
                const struct clock *clock, struct rng *rng);
/** No KV call may be in flight: finish the KV interface first. Pending
 * requests get no reply. */
void once_finish (struct once *once);

/** Load or drop the records of the partition INDEX, whose ownership this
 * process has acquired or lost. Call these from owner_ops.gained and
 * owner_ops.lost. */
void once_partition_gained (struct once *once, unsigned index);
void once_partition_lost (struct once *once, unsigned index);

/** Start acquiring the grant for REQUEST. once_ops.reply is called exactly
 * once, possibly before this function returns. A repeated call for a request
 * whose grant is still pending only replaces its deadline.
 * @param fingerprint digest of what must be equal in all requests with the key
 * @param deadline_ns time by this process's clock after which the request
 * is refused */
void once_acquire (struct once *once, const struct once_request *request,
                   const struct once_digest *fingerprint, int64_t deadline_ns);

/** Record the OUTCOME of REQUEST, which has the grant. once_ops.recorded
 * reports when OUTCOME is durable, or why it cannot be. */
void once_set_outcome (struct once *once, const struct once_request *request,
                       const struct once_outcome *outcome);

/** Release the grant of REQUEST, which has not run and never will, or
 * cancel its pending acquisition. once_ops.recorded is called as for
 * once_set_outcome. */
void once_release (struct once *once, const struct once_request *request);

void once_tick (struct once *once);
/** Time at which once_tick must be called next. */
int64_t once_next_tick_ns (const struct once *once);

/** Whether all changes have been written, so that the process may stop. */
bool once_is_idle (const struct once *once);

struct once_digest once_digest_of (const void *data, size_t size);

#endif
