#ifndef ONCEPART_H
#define ONCEPART_H

#include "oncerec.h"

/** @file
 * The at-most-once records of one partition, and the segments that store them
 * in the KV service. Private to the modules whose names begin with once.
 *
 * A segment is one key, "once/PARTITION/NUMBER"; the numbers are derived from
 * civil time and always rise. Its value is a marker line and one line per
 * record. Changed records are written only to the last segment, the tail. If
 * a record has several lines, the last one is valid. Small closed segments
 * are merged, and segments older than the retention time are deleted.
 */

/** What the write in flight does with a segment. */
enum oncepart_fate
{
  ONCEPART_KEEP,
  ONCEPART_EXPIRE, /**< Deletes it with its records. */
  ONCEPART_MERGE   /**< Moves its records to the partition's merge target. */
};

struct oncepart_segment
{
  struct list node;
  struct list records; /* Records whose last line is in this segment. */
  size_t record_count;
  uint64_t number;
  uint64_t revision;  /* Revision of the key; 0: never written. */
  uint32_t changed_s; /* Civil time of the last change. */
  int64_t opened_ns;
  bool closed; /* Changes go to another segment. */
  enum oncepart_fate action;
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
  uint64_t fencing_token;      /* Token of this process's ownership. */
  uint64_t load_fencing_token; /* Token when the load call was sent. */
  bool load_call_open;
  int64_t load_due_ns;
  GHashTable *records;       /* Set of records, hashed by key. */
  struct list segments;      /* Sorted by number. */
  struct list dirty_records; /* Records that still have to be written. */
  struct oncepart_segment *tail;
  struct oncepart_segment *merge_target; /* The segment into which the write in
                                            flight merges others, or NULL. */
  bool write_in_flight;
};

/** Limits and current time for one write. */
struct oncepart_limits
{
  size_t tail_bytes;
  size_t segment_max_bytes;
  int64_t tail_window_ns;
  uint32_t retention_s;
  int64_t now_ns;
  uint32_t now_s;
};

/** A transaction while it is assembled. */
struct oncepart_write
{
  GArray *compares;   /* Array of struct kv_compare. */
  GArray *writes;     /* Array of struct kv_write. */
  size_t value_bytes; /* Total size of all values. */
};

void oncepart_init (struct oncepart *partition, struct once *once,
                    unsigned index);
void oncepart_finish (struct oncepart *partition);

/** The prefix of all segment keys of the partition INDEX; the caller frees
 * it. */
char *oncepart_prefix (unsigned index);

/** Drop all records and segments from memory. */
void oncepart_clear (struct oncepart *partition);

/** Fill an empty PARTITION from the reply to a range call.
 * @return false if a segment is unreadable; PARTITION stays empty then. */
bool oncepart_load (struct oncepart *partition, const struct kv_reply *reply);

struct oncerec *oncepart_find (const struct oncepart *partition,
                               const struct once_digest *key);
struct oncerec *oncepart_add (struct oncepart *partition,
                              const struct once_digest *key);
void oncepart_remove (struct oncepart *partition, struct oncerec *record);

/** Mark RECORD as changed, to be written. */
void oncepart_touch (struct oncepart *partition, struct oncerec *record,
                     uint32_t now_s);

/** Whether a segment is older than the retention time. */
bool oncepart_overdue (const struct oncepart *partition,
                       const struct oncepart_limits *limits);

/** Add the changes of PARTITION to WRITE.
 * @param marker first line of each value written.
 * @return the key of the tail, whose value contains the marker; the caller
 * frees it. */
char *oncepart_prepare (struct oncepart *partition,
                        struct oncepart_write *write, const char *marker,
                        const struct oncepart_limits *limits);

/** The write took effect. Appends to RECORDS the records whose present state
 * has become durable.
 * @return the number of records that were dropped as expired. */
size_t oncepart_written (struct oncepart *partition, uint64_t revision,
                         GPtrArray *records);

/** The write certainly had no effect. */
void oncepart_unwritten (struct oncepart *partition);

/** Close the tail, so that the next write starts a new segment: the value of
 * the present tail exceeded the size limit of the KV service. */
void oncepart_split (struct oncepart *partition);

#endif
