#ifndef ONCERECORD_H
#define ONCERECORD_H

#include "list.h"
#include "once.h"

#include <glib.h>

/** @file
 * One at-most-once record and its encoding as a line of text in a segment.
 * Private to the modules whose names begin with once.
 */

enum oncerecord_state
{
  ONCERECORD_PENDING,  /**< The grant is not known to be durable yet. */
  ONCERECORD_GRANTED,  /**< Only the request with the record's id may run or
                          have run. */
  ONCERECORD_FINISHED, /**< The record contains the outcome; this state is
                          final. */
  ONCERECORD_RELEASED  /**< The request with the grant did not run and never
                         will; another request may acquire the grant. */
};

struct oncerecord_outcome
{
  uint16_t status;
  bool has_body; /* Whether the body is kept; if not, only the digest is. */
  uint32_t body_size;
  struct once_digest digest;
  uint8_t body[];
};

struct oncerecord_waiter;
struct oncepartition_segment;

struct oncerecord
{
  /* Digest of the organisation and the idempotency key. Must be the first
   * field, as the hash table compares records by it. */
  struct once_digest key;
  struct once_digest fingerprint;
  uint64_t request_id;          /* Id of the request that the grant is for. */
  uint64_t gateway_incarnation; /* Incarnation of that request's gateway. */
  uint32_t changed_s;           /* Civil time of the last change. */
  uint8_t state;                /* Value of enum oncerecord_state. */
  bool dirty; /* Whether the present state still has to be written. */
  bool write_in_flight; /* Whether the write in flight contains the record. */
  /* Whether at least one line of the record is durable. */
  bool has_durable_line;
  bool ack_when_durable;  /* Whether to send a confirmation to the gateway once
                             the present state is durable. */
  struct list node;       /* Node in the segment's list of records. */
  struct list dirty_node; /* Node in the partition's dirty_records. */
  /* Segment with the last line of the record, or NULL if it is in no
   * segment yet. */
  struct oncepartition_segment *segment;
  struct oncerecord_waiter *waiter; /* The request that waits for the grant;
                                       set only in state PENDING. */
  /* Outcome of the request; set only in state FINISHED. */
  struct oncerecord_outcome *outcome;
};

/** A request that waits until its grant is durable. */
struct oncerecord_waiter
{
  struct list node;
  struct oncerecord *record;
  unsigned partition_index;
  int64_t deadline_ns;
};

struct oncerecord *oncerecord_new (const struct once_digest *key);
/** Remove RECORD from its lists and free it. */
void oncerecord_free (struct oncerecord *record);

void oncerecord_set_outcome (struct oncerecord *record,
                             const struct once_outcome *outcome);
/** Fill OUTCOME from RECORD. OUTCOME's body points into RECORD and is valid
 * until RECORD's outcome changes. */
void oncerecord_get_outcome (const struct oncerecord *record,
                             struct once_outcome *outcome);

/** Append the line of RECORD to TEXT. A PENDING record is written as
 * GRANTED, because once the line is durable, the request has the grant. */
void oncerecord_format (const struct oncerecord *record, GString *text);
/** Decode a line of SIZE bytes, newline not included.
 * @return NULL if the line is invalid. */
struct oncerecord *oncerecord_parse (const char *line, size_t size);

#endif
