#ifndef ONCE_H
#define ONCE_H

#include "kvcommit.h"
#include "list.h"
#include "owner.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * At-most-once records: what one shard process decides for the requests
 * whose (organisation, idempotency key) falls into its partitions.
 *
 * A grant is given only after it is durable in the KV service, by a write
 * that also compares the owner record. Grants and finishes of all partitions
 * of the process share one write at a time. The durable record decides, not
 * the lease: a grant belongs to one request id for ever.
 */

enum
{
  ONCE_BODY_MAX = 512,    /**< bytes of an outcome's body that are kept */
  ONCE_MERGE_MIN = 8,     /**< Segments that are worth a merge. */
  ONCE_STATUS_UNKNOWN = 0 /**< The gateway does not know how it ended. */
};

struct once_digest
{
  uint8_t bytes[16];
};

enum once_result
{
  ONCE_GRANTED,      /**< Run it, once. */
  ONCE_IN_PROGRESS,  /**< Another request with the key runs. */
  ONCE_REPLAYED,     /**< Ran before; the outcome is given. */
  ONCE_CONFLICT,     /**< The key was used with another body. */
  ONCE_MAY_HAVE_RUN, /**< The holder of the grant is gone. */
  ONCE_REFUSED,      /**< This request was not run and got no grant. */
  ONCE_RESULT_COUNT
};

struct once_outcome
{
  unsigned status;           /**< HTTP status */
  struct once_digest digest; /**< of the body */
  bool whole;                /**< The body is given, not only its digest. */
  const uint8_t *body;
  size_t body_size; /**< up to ONCE_BODY_MAX */
};

/** Who asks for what. */
struct once_request
{
  const char *organisation;
  const char *key;
  uint64_t request; /**< Id that the gateway uses for nothing else. */
  uint64_t gateway; /**< Its incarnation. */
};

struct once_answer
{
  uint64_t request;
  uint64_t gateway;
  enum once_result result;
  /** With ONCE_REFUSED: whether a request with the same key may have run
   * before is not known here. If false, none has. */
  bool key_unknown;
  int64_t retry_after_ns;      /**< Refused, in progress: ask again then. */
  struct once_outcome outcome; /**< Replayed; valid during the callback. */
};

struct once_settings
{
  int64_t flush_ns;        /**< Least time between two writes. */
  int64_t finish_delay_ns; /**< Longest wait of an outcome for a write. */
  int64_t retention_ns;    /**< How long a record is kept at least. */
  int64_t run_max_ns;      /**< A grant older than this is given up. */
  int64_t window_ns;       /**< Longest time that one segment is written. */
  size_t tail_bytes;       /**< Size at which a new segment is begun; it is
                                written whole at each change. */
  size_t segment_bytes;    /**< Largest size of merged segments, at least
                                ONCE_MERGE_MIN times TAIL_BYTES. */
  size_t record_max;       /**< Records kept in this process. */
  unsigned load_max;       /**< Partitions loaded at the same time. */
};

struct once;

/** The callbacks must not call back into ONCE. */
struct once_ops
{
  void (*answer) (struct once *once, const struct once_answer *answer);
  /** A finish or release is durable (STATUS_OK), is not the grant's
   * (STATUS_STALE), or must be sent again later, perhaps to another process
   * (STATUS_UNAVAILABLE). */
  void (*recorded) (struct once *once, uint64_t gateway, uint64_t request,
                    enum status status);
  /** Whether the gateway process is taken to be alive. */
  bool (*gateway_live) (struct once *once, uint64_t gateway);
};

struct once_counters
{
  uint64_t results[ONCE_RESULT_COUNT];
  uint64_t writes;    /**< Transactions begun. */
  uint64_t loads;     /**< Partitions loaded. */
  uint64_t stale;     /**< Finishes and releases that were not the grant's. */
  uint64_t bytes;     /**< Written. */
  uint64_t corrupt;   /**< Segments that could not be read. */
  uint64_t abandoned; /**< Deadlines passed before the grant was durable. */
};

struct oncepart;

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
  struct oncepart *parts;
  unsigned part_count;
  struct list waits; /* oncerec_wait */
  size_t record_count;
  uint64_t batch;        /* number of the last write */
  int64_t flushed_ns;    /* when the last write began */
  int64_t finish_due_ns; /* CLOCK_NEVER: no finish waits */
  int64_t retry_ns;      /* no write before, after a failure */
  unsigned failures;     /* of writes in a row */
  int64_t maintain_ns;   /* when to look for overdue segments */
  unsigned loading;      /* partitions that are being loaded */
  unsigned loads_open;
  size_t segment_limit; /* bytes; lower than set if the service says so */
};

/** OWNER, KV, CLOCK and RNG outlive ONCE. */
void once_init (struct once *once, const struct once_settings *settings,
                const struct once_ops *ops, struct owner *owner, struct kv *kv,
                const struct clock *clock, struct rng *rng);
/** No KV call may be open: finish the KV interface before. Nobody is
 * answered any more. */
void once_finish (struct once *once);

/** From owner_ops: PARTITION is ours, or no longer. */
void once_gained (struct once *once, unsigned partition);
void once_lost (struct once *once, unsigned partition);

/** Ask for the grant of REQUEST. Answered exactly once, perhaps from inside;
 * the same request id again replaces an ask that still waits.
 * @param fingerprint of the body.
 * @param deadline_ns latest answer, by this process's clock. */
void once_begin (struct once *once, const struct once_request *request,
                 const struct once_digest *fingerprint, int64_t deadline_ns);

/** The granted REQUEST ended with OUTCOME. */
void once_end (struct once *once, const struct once_request *request,
               const struct once_outcome *outcome);

/** REQUEST got no grant or did not use it, and never will. */
void once_release (struct once *once, const struct once_request *request);

void once_tick (struct once *once);
int64_t once_next (const struct once *once);

/** Whether nothing waits to be written, for a planned stop. */
bool once_idle (const struct once *once);

/** The digest of SIZE bytes, for bodies and fingerprints. */
struct once_digest once_digest_of (const void *data, size_t size);

#endif
