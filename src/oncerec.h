#ifndef ONCEREC_H
#define ONCEREC_H

#include "list.h"
#include "once.h"

#include <glib.h>

/** @file
 * One at-most-once record and its line of text in a segment. Private to the
 * modules whose names begin with once.
 */

enum oncerec_state
{
  ONCEREC_PENDING,  /**< Asked for; the grant is not known to be durable. */
  ONCEREC_GRANTED,  /**< May run or have run; only under its request id. */
  ONCEREC_FINISHED, /**< Has its outcome, for good. */
  ONCEREC_RELEASED  /**< Never ran and never will under that grant. */
};

struct oncerec_outcome
{
  uint16_t status;
  bool whole; /* the body is kept, not only its digest */
  uint32_t body_size;
  struct once_digest digest;
  uint8_t body[];
};

struct oncerec_wait;
struct oncepart_segment;

struct oncerec
{
  struct once_digest key; /* first: the hash table's key */
  struct once_digest fingerprint;
  uint64_t request;
  uint64_t gateway;
  uint32_t stamp_s; /* civil time of the last change */
  uint8_t state;
  bool dirty;       /* differs from what the last write will leave behind */
  bool writing;     /* part of the write under way */
  bool stored;      /* some line of it is durable */
  bool ack;         /* tell the gateway when it is durable */
  struct list node; /* of its segment */
  struct list dirty_node;
  struct oncepart_segment *segment; /* NULL: in none yet */
  struct oncerec_wait *wait;        /* while PENDING */
  struct oncerec_outcome *outcome;  /* while FINISHED */
};

/** The one that waits for a grant. */
struct oncerec_wait
{
  struct list node;
  struct oncerec *record;
  unsigned partition;
  int64_t deadline_ns;
};

struct oncerec *oncerec_new (const struct once_digest *key);
/** RECORD may be on lists; it is taken off. */
void oncerec_free (struct oncerec *record);

void oncerec_set_outcome (struct oncerec *record,
                          const struct once_outcome *outcome);
/** OUTCOME's body lives as long as the record's outcome. */
void oncerec_get_outcome (const struct oncerec *record,
                          struct once_outcome *outcome);

/** Append the record's line. A PENDING record is written as granted. */
void oncerec_format (const struct oncerec *record, GString *text);
/** Read one line of SIZE bytes, without its end.
 * @return NULL if it is no record's line. */
struct oncerec *oncerec_parse (const char *line, size_t size);

#endif
