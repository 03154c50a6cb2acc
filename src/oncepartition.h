#ifndef ONCEPARTITION_H
#define ONCEPARTITION_H

#include "oncerecord.h"

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
enum oncepartition_action
{
  ONCEPARTITION_KEEP,
  ONCEPARTITION_EXPIRE, /**< The write deletes the segment with its records. */
  ONCEPARTITION_MERGE   /**< The write moves the segment's records to the
                           partition's merge target. */
};

struct oncepartition_segment
{
  struct list node;
  struct list records; /* Records whose last line is in this segment. */
  size_t record_count;
  uint64_t number;
  uint64_t revision;  /* KV revision of the segment's key; 0 if it was never
                         written. */
  uint32_t changed_s; /* Civil time of the last change. */
  int64_t opened_ns;
  bool closed; /* Whether changes go to another segment. */
  enum oncepartition_action action;
};

enum oncepartition_state
{
  ONCEPARTITION_ABSENT,
  ONCEPARTITION_LOADING,
  ONCEPARTITION_LOADED
};

struct oncepartition
{
  struct once *once;
  unsigned index;
  enum oncepartition_state state;
  uint64_t fencing_token;      /* Fencing token of this process's ownership. */
  uint64_t load_fencing_token; /* Fencing token at the time when the load call
                                  was sent. */
  bool load_call_in_flight;
  int64_t load_due_ns;
  GHashTable *records; /* Set of records, hashed by key. */
  struct list
      segments; /* List of struct oncepartition_segment, sorted by number. */
  struct list dirty_records; /* Records that still have to be written. */
  struct oncepartition_segment *tail;
  /* The segment into which the write in flight merges others, or NULL. */
  struct oncepartition_segment *merge_target;
  bool write_in_flight;
};

/** Limits and current time for one write. */
struct oncepartition_limits
{
  size_t tail_bytes;
  size_t segment_max_bytes;
  int64_t tail_window_ns;
  uint32_t retention_s;
  int64_t now_ns;
  uint32_t now_s;
};

/** A transaction while it is assembled. */
struct oncepartition_write
{
  GArray *compares;   /* Array of struct kv_compare. */
  GArray *writes;     /* Array of struct kv_write. */
  size_t value_bytes; /* Total size of all values. */
};

void oncepartition_init (struct oncepartition *partition, struct once *once,
                         unsigned index);
void oncepartition_finish (struct oncepartition *partition);

/** @return the prefix of all segment keys of the partition INDEX; the
 * caller frees it. */
char *oncepartition_key_prefix (unsigned index);

/** Drop all records and segments from memory. */
void oncepartition_clear (struct oncepartition *partition);

/** Fill PARTITION, which is empty, from the reply to a range call.
 * @return false if a segment is unreadable; in this case PARTITION stays
 * empty. */
bool oncepartition_load (struct oncepartition *partition,
                         const struct kv_reply *reply);

struct oncerecord *oncepartition_find (const struct oncepartition *partition,
                                       const struct once_digest *key);
struct oncerecord *oncepartition_add (struct oncepartition *partition,
                                      const struct once_digest *key);
void oncepartition_remove (struct oncepartition *partition,
                           struct oncerecord *record);

/** Mark RECORD as changed at NOW_S, so that the next write contains it. */
void oncepartition_mark_dirty (struct oncepartition *partition,
                               struct oncerecord *record, uint32_t now_s);

/** Whether PARTITION has a segment that is older than the retention time. */
bool
oncepartition_has_expired_segment (const struct oncepartition *partition,
                                   const struct oncepartition_limits *limits);

/** Add the changes of PARTITION to WRITE.
 * @param marker the first line of each value written
 * @return the key of the tail, whose value contains the marker; the caller
 * frees it. */
char *oncepartition_prepare_write (struct oncepartition *partition,
                                   struct oncepartition_write *write,
                                   const char *marker,
                                   const struct oncepartition_limits *limits);

/** Update PARTITION after the write took effect. The records whose present
 * state has become durable are appended to RECORDS.
 * @return the number of records that were dropped as expired. */
size_t oncepartition_write_succeeded (struct oncepartition *partition,
                                      uint64_t revision, GPtrArray *records);

/** Update PARTITION after a write that certainly had no effect: its changes
 * are written again. */
void oncepartition_write_failed (struct oncepartition *partition);

/** Close the tail, so that the next write starts a new segment: the value of
 * the present tail exceeded the size limit of the KV service. */
void oncepartition_close_tail (struct oncepartition *partition);

#endif
