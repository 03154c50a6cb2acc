#ifndef ONCEREC_H
#define ONCEREC_H

#include "list.h"
#include "once.h"

#include <glib.h>

/** @file
 * One at-most-once record and its encoding as a line of text in a segment.
 * Private to the modules whose names begin with once.
 */

enum oncerec_state
{
  ONCEREC_PENDING,  /**< The grant is not known to be durable yet. */
  ONCEREC_GRANTED,  /**< The request with the record's id may run or have
                         run, no other. */
  ONCEREC_FINISHED, /**< The record contains the outcome; final. */
  ONCEREC_RELEASED  /**< The request with the grant did not run and never
                         will; another request may acquire the grant. */
};

struct oncerec_outcome
{
  uint16_t status;
  bool has_body; /* If false, only the digest is kept. */
  uint32_t body_size;
  struct once_digest digest;
  uint8_t body[];
};

struct oncerec_wait;
struct oncepart_segment;

struct oncerec
{
  struct once_digest key; /* First, as it is the hash table's key. */
  struct once_digest fingerprint;
  uint64_t request;       /* Id of the request that the grant is for. */
  uint64_t gateway;       /* Incarnation of that request's gateway. */
  uint32_t stamp_s;       /* Civil time of the last change. */
  uint8_t state;          /* One of enum oncerec_state. */
  bool dirty;             /* Its present state still has to be written. */
  bool writing;           /* The write in flight contains it. */
  bool has_durable_line;  /* At least one of its lines is durable. */
  bool ack_when_durable;  /* Confirm to the gateway once it is durable. */
  struct list node;       /* Node in the segment's list of records. */
  struct list dirty_node; /* Node in the partition's dirty_records. */
  struct oncepart_segment *segment; /* NULL if it is in no segment yet. */
  struct oncerec_wait *waiter;      /* Set in state PENDING. */
  struct oncerec_outcome *outcome;  /* Set in state FINISHED. */
};

/** A request that waits until its grant is durable. */
struct oncerec_wait
{
  struct list node;
  struct oncerec *record;
  unsigned partition_index;
  int64_t deadline_ns;
};

struct oncerec *oncerec_new (const struct once_digest *key);
/** Also removes RECORD from its lists. */
void oncerec_free (struct oncerec *record);

void oncerec_set_outcome (struct oncerec *record,
                          const struct once_outcome *outcome);
/** OUTCOME's body points into RECORD and is valid until RECORD's outcome
 * changes. */
void oncerec_get_outcome (const struct oncerec *record,
                          struct once_outcome *outcome);

/** Append the line of RECORD to TEXT. A PENDING record is written as
 * granted, as the durable line is the grant. */
void oncerec_format (const struct oncerec *record, GString *text);
/** Decode a line of SIZE bytes, newline not included.
 * @return NULL if the line is invalid. */
struct oncerec *oncerec_parse (const char *line, size_t size);

#endif
