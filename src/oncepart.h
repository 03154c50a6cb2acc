#ifndef ONCEPART_H
#define ONCEPART_H

#include "oncerec.h"

/** @file
 * The records of one partition and the segments that hold them in the KV
 * service. Private to the modules whose names begin with once.
 *
 * A segment is one key, "once/PARTITION/NUMBER"; numbers follow civil time
 * and rise. Its value is a marker line and one line a record. Only the last
 * segment (the tail) takes changes; of the lines of one record the last one
 * counts. Old small segments are merged, old ones deleted.
 */

/** What the write under way does to a segment. */
enum oncepart_fate
{
  ONCEPART_KEEP,
  ONCEPART_EXPIRE,
  ONCEPART_MERGE /**< Into oncepart.merged. */
};

struct oncepart_segment
{
  struct list node;
  struct list records; /* those whose last line is here */
  size_t count;
  uint64_t number;
  uint64_t revision; /* 0: never written */
  uint32_t stamp_s;  /* civil time of its last change */
  int64_t opened_ns;
  bool closed;
  enum oncepart_fate fate;
};

enum oncepart_state
{
  ONCEPART_ABSENT,
  ONCEPART_LOADING,
  ONCEPART_LOADED
};

struct oncepart
{
  struct once *once;
  unsigned index;
  enum oncepart_state state;
  uint64_t fencing;      /* of the ownership that it was gained with */
  uint64_t load_fencing; /* the same, when the open load began */
  bool load_open;
  int64_t load_at;
  GHashTable *records;
  struct list segments; /* in the order of their numbers */
  struct list dirty;    /* records */
  struct oncepart_segment *tail;
  struct oncepart_segment *merged; /* by the write under way */
  bool writing;
};

/** What a write may hold, and the time. */
struct oncepart_limits
{
  size_t tail_bytes;
  size_t segment_bytes;
  int64_t window_ns;
  uint32_t retention_s;
  int64_t now_ns;
  uint32_t now_s;
};

/** A transaction that is put together. */
struct oncepart_write
{
  GArray *compares; /* struct kv_compare */
  GArray *writes;   /* struct kv_write */
  size_t bytes;     /* of all values */
};

void oncepart_init (struct oncepart *part, struct once *once, unsigned index);
void oncepart_finish (struct oncepart *part);

/** The prefix of all keys of PARTITION; the caller frees it. */
char *oncepart_prefix (unsigned partition);

/** Forget all records and segments. */
void oncepart_clear (struct oncepart *part);

/** Fill an empty part from a range reply.
 * @return false if a segment cannot be read; the part is empty then. */
bool oncepart_load (struct oncepart *part, const struct kv_reply *reply);

struct oncerec *oncepart_find (const struct oncepart *part,
                               const struct once_digest *key);
struct oncerec *oncepart_add (struct oncepart *part,
                              const struct once_digest *key);
void oncepart_remove (struct oncepart *part, struct oncerec *record);

/** RECORD changed. */
void oncepart_touch (struct oncepart *part, struct oncerec *record,
                     uint32_t now_s);

/** Whether a segment is past its retention. */
bool oncepart_overdue (const struct oncepart *part,
                       const struct oncepart_limits *limits);

/** Add the part's changes to WRITE under MARKER.
 * @return the key that carries the marker; the caller frees it. */
char *oncepart_prepare (struct oncepart *part, struct oncepart_write *write,
                        const char *marker,
                        const struct oncepart_limits *limits);

/** The write took effect. RECORDS receives the records that are durable now
 * as they are.
 * @return the number of records that were forgotten. */
size_t oncepart_written (struct oncepart *part, uint64_t revision,
                         GPtrArray *records);

/** The write surely had no effect. */
void oncepart_unwritten (struct oncepart *part);

/** Start a new segment with the next write, with what this one would have
 * held: its value was over the service's limit. */
void oncepart_split (struct oncepart *part);

#endif
