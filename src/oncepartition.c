#include "oncepartition.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Maximum number of expired segments that one write deletes. */
  SEGMENT_DELETES_MAX = 32,
  LINE_ESTIMATE_BYTES = 160
};

static guint
record_hash (const void *key)
{
  const struct once_digest *digest = key;
  guint hash;

  memcpy (&hash, digest->bytes, sizeof hash);
  return hash;
}

static gboolean
record_equal (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct once_digest)) == 0;
}

static void
record_free (void *record)
{
  oncerecord_free (record);
}

static void
record_leave_segment (struct oncerecord *record)
{
  list_remove (&record->node);
  if (record->segment != NULL)
    record->segment->record_count--;
  record->segment = NULL;
}

static void
record_move_to_segment (struct oncerecord *record,
                        struct oncepartition_segment *segment)
{
  record_leave_segment (record);
  list_append (&segment->records, &record->node);
  segment->record_count++;
  record->segment = segment;
}

static struct oncepartition_segment *
segment_new (struct oncepartition *partition, uint64_t number)
{
  struct oncepartition_segment *segment
      = g_new0 (struct oncepartition_segment, 1);

  segment->number = number;
  list_init (&segment->records);
  list_append (&partition->segments, &segment->node);
  return segment;
}

static void
segment_free (struct oncepartition_segment *segment)
{
  list_remove (&segment->node);
  g_free (segment);
}

static char *
segment_key (const struct oncepartition *partition,
             const struct oncepartition_segment *segment)
{
  return g_strdup_printf ("once/%04x/%016" PRIx64, partition->index,
                          segment->number);
}

static struct oncepartition_segment *
segment_open (struct oncepartition *partition,
              const struct oncepartition_limits *limits)
{
  uint64_t number = (uint64_t)limits->now_s * 1000;

  if (!list_empty (&partition->segments))
    {
      struct oncepartition_segment *last = LIST_ENTRY (
          partition->segments.prev, struct oncepartition_segment, node);

      number = MAX (number, last->number + 1);
    }
  if (partition->tail != NULL)
    partition->tail->closed = true;
  partition->tail = segment_new (partition, number);
  partition->tail->opened_ns = limits->now_ns;
  return partition->tail;
}

static void
segment_format (const struct oncepartition_segment *segment, GString *text)
{
  for (const struct list *at = segment->records.next; at != &segment->records;
       at = at->next)
    oncerecord_format (LIST_ENTRY (at, struct oncerecord, node), text);
}

/* Add RECORD, which replaces the record from an earlier line with the same
 * key. */
static void
record_load (struct oncepartition *partition,
             struct oncepartition_segment *segment, struct oncerecord *record)
{
  struct oncerecord *old = oncepartition_find (partition, &record->key);

  if (old != NULL)
    oncepartition_remove (partition, old);
  g_hash_table_add (partition->records, record);
  record->has_durable_line = true;
  record_move_to_segment (record, segment);
  segment->changed_s = MAX (segment->changed_s, record->changed_s);
}

static bool
segment_load (struct oncepartition *partition, const struct kv_item *item)
{
  const char *number = strrchr (item->key, '/');
  const char *line = strchr (item->value, '\n');
  struct oncepartition_segment *segment;

  if (number == NULL || line == NULL)
    return false;
  segment = segment_new (partition, strtoull (number + 1, NULL, 16));
  segment->revision = item->revision;
  segment->closed = true;
  for (line++; *line != '\0';)
    {
      const char *end = strchr (line, '\n');
      struct oncerecord *record;

      if (end == NULL)
        return false;
      record = oncerecord_parse (line, (size_t)(end - line));
      if (record == NULL)
        return false;
      record_load (partition, segment, record);
      line = end + 1;
    }
  return true;
}

static void
write_put (struct oncepartition_write *write, char *key, uint64_t revision,
           char *value)
{
  struct kv_compare compare = { g_strdup (key), revision };
  struct kv_write put = { key, value, 0 };

  if (value != NULL)
    write->value_bytes += strlen (value);
  g_array_append_val (write->compares, compare);
  g_array_append_val (write->writes, put);
}

static void
prepare_owner_compare (const struct oncepartition *partition,
                       struct oncepartition_write *write)
{
  char key[OWNER_KEY_MAX];
  struct kv_compare compare;

  owner_record_key (partition->index, key);
  compare = (struct kv_compare){ g_strdup (key), partition->fencing_token };
  g_array_append_val (write->compares, compare);
}

/* Move changed records into the tail up to the largest segment size. */
static void
prepare_tail (struct oncepartition *partition, GString *text,
              const struct oncepartition_limits *limits)
{
  struct oncepartition_segment *tail = partition->tail;
  size_t limit = limits->segment_max_bytes;

  segment_format (tail, text);
  for (struct list *at = partition->dirty_records.next, *next;
       at != &partition->dirty_records; at = next)
    {
      struct oncerecord *record
          = LIST_ENTRY (at, struct oncerecord, dirty_node);
      bool is_new = record->segment != tail;

      next = at->next;
      if (is_new && text->len >= limit)
        continue;
      list_remove (at);
      record->dirty = false;
      record->write_in_flight = true;
      if (!is_new)
        continue;
      record_move_to_segment (record, tail);
      oncerecord_format (record, text);
    }
  tail->changed_s = limits->now_s;
  tail->closed = text->len >= limits->tail_bytes;
}

static bool
segment_is_expired (const struct oncepartition_segment *segment,
                    const struct oncepartition_limits *limits)
{
  return segment->changed_s + limits->retention_s < limits->now_s;
}

static void
prepare_delete (struct oncepartition *partition,
                struct oncepartition_segment *segment,
                enum oncepartition_action action,
                struct oncepartition_write *write)
{
  segment->action = action;
  write_put (write, segment_key (partition, segment), segment->revision, NULL);
}

static void
prepare_expiry (struct oncepartition *partition,
                struct oncepartition_write *write,
                const struct oncepartition_limits *limits)
{
  unsigned count = 0;

  for (struct list *at = partition->segments.next;
       at != &partition->segments && count < SEGMENT_DELETES_MAX;
       at = at->next)
    {
      struct oncepartition_segment *segment
          = LIST_ENTRY (at, struct oncepartition_segment, node);

      if (segment == partition->tail || !segment_is_expired (segment, limits))
        return;
      prepare_delete (partition, segment, ONCEPARTITION_EXPIRE, write);
      count++;
    }
}

static bool
segment_is_mergeable (const struct oncepartition *partition,
                      const struct oncepartition_segment *segment)
{
  return segment->closed && segment->action == ONCEPARTITION_KEEP
         && segment != partition->tail;
}

static size_t
segment_estimate_bytes (const struct list *node)
{
  return LIST_ENTRY (node, struct oncepartition_segment, node)->record_count
         * LINE_ESTIMATE_BYTES;
}

/* Find the first ONCE_MERGE_SEGMENTS adjacent segments that fit into one
 * segment.
 * @param first receives the list node of the first segment found.
 * @return the number of segments found, or 0 if there are none. */
static unsigned
mergeable_run_find (const struct oncepartition *partition, struct list **first,
                    const struct oncepartition_limits *limits)
{
  size_t bytes = 0;
  unsigned count = 0;

  *first = partition->segments.next;
  for (struct list *at = *first; at != &partition->segments; at = at->next)
    {
      if (!segment_is_mergeable (
              partition, LIST_ENTRY (at, struct oncepartition_segment, node)))
        {
          *first = at->next;
          bytes = 0;
          count = 0;
          continue;
        }
      bytes += segment_estimate_bytes (at);
      count++;
      for (; bytes > limits->segment_max_bytes; *first = (*first)->next)
        {
          bytes -= segment_estimate_bytes (*first);
          count--;
        }
      if (count == ONCE_MERGE_SEGMENTS)
        return count;
    }
  return 0;
}

/* Write the records of COUNT adjacent segments under the key of the last of
 * them. Lines that a later segment has replaced are dropped. */
static void
prepare_merge (struct oncepartition *partition,
               struct oncepartition_write *write, const char *marker,
               const struct oncepartition_limits *limits)
{
  struct list *at;
  unsigned count = mergeable_run_find (partition, &at, limits);
  GString *text;

  if (count == 0)
    return;
  text = g_string_new (marker);
  g_string_append_c (text, '\n');
  for (unsigned i = 0; i < count; i++, at = at->next)
    {
      struct oncepartition_segment *segment
          = LIST_ENTRY (at, struct oncepartition_segment, node);

      segment_format (segment, text);
      if (i + 1 < count)
        prepare_delete (partition, segment, ONCEPARTITION_MERGE, write);
      else
        partition->merge_target = segment;
    }
  write_put (write, segment_key (partition, partition->merge_target),
             partition->merge_target->revision, g_string_free (text, FALSE));
}

/* Drop the records of an expired segment, except those with a change that
 * is not yet written. */
static size_t
segment_drop_records (struct oncepartition *partition,
                      struct oncepartition_segment *segment)
{
  size_t dropped = 0;

  for (struct list *at = segment->records.next, *next; at != &segment->records;
       at = next)
    {
      struct oncerecord *record = LIST_ENTRY (at, struct oncerecord, node);

      next = at->next;
      record_leave_segment (record);
      if (record->dirty)
        continue;
      oncepartition_remove (partition, record);
      dropped++;
    }
  return dropped;
}

static void
segment_move_records (struct oncepartition *partition,
                      struct oncepartition_segment *segment)
{
  partition->merge_target->changed_s
      = MAX (partition->merge_target->changed_s, segment->changed_s);
  for (struct list *at = segment->records.next, *next; at != &segment->records;
       at = next)
    {
      next = at->next;
      record_move_to_segment (LIST_ENTRY (at, struct oncerecord, node),
                              partition->merge_target);
    }
}

/* Apply what the successful write did to the segments.
 * @return the number of records that were dropped. */
static size_t
segments_apply_actions (struct oncepartition *partition, uint64_t revision)
{
  size_t dropped = 0;

  for (struct list *at = partition->segments.next, *next;
       at != &partition->segments; at = next)
    {
      struct oncepartition_segment *segment
          = LIST_ENTRY (at, struct oncepartition_segment, node);

      next = at->next;
      if (segment->action == ONCEPARTITION_KEEP)
        continue;
      if (segment->action == ONCEPARTITION_MERGE)
        segment_move_records (partition, segment);
      else
        dropped += segment_drop_records (partition, segment);
      segment_free (segment);
    }
  if (partition->merge_target != NULL)
    partition->merge_target->revision = revision;
  partition->merge_target = NULL;
  return dropped;
}

void
oncepartition_init (struct oncepartition *partition, struct once *once,
                    unsigned index)
{
  *partition = (struct oncepartition){ .once = once, .index = index };
  partition->records
      = g_hash_table_new_full (record_hash, record_equal, record_free, NULL);
  list_init (&partition->segments);
  list_init (&partition->dirty_records);
}

void
oncepartition_finish (struct oncepartition *partition)
{
  oncepartition_clear (partition);
  g_hash_table_destroy (partition->records);
}

char *
oncepartition_key_prefix (unsigned index)
{
  return g_strdup_printf ("once/%04x/", index);
}

void
oncepartition_clear (struct oncepartition *partition)
{
  g_hash_table_remove_all (partition->records);
  for (struct list *at = partition->segments.next, *next;
       at != &partition->segments; at = next)
    {
      next = at->next;
      segment_free (LIST_ENTRY (at, struct oncepartition_segment, node));
    }
  partition->tail = NULL;
  partition->merge_target = NULL;
  partition->write_in_flight = false;
}

bool
oncepartition_load (struct oncepartition *partition,
                    const struct kv_reply *reply)
{
  assert (g_hash_table_size (partition->records) == 0);
  for (size_t i = 0; i < reply->item_count; i++)
    if (!segment_load (partition, &reply->items[i]))
      {
        oncepartition_clear (partition);
        return false;
      }
  return true;
}

struct oncerecord *
oncepartition_find (const struct oncepartition *partition,
                    const struct once_digest *key)
{
  return g_hash_table_lookup (partition->records, key);
}

struct oncerecord *
oncepartition_add (struct oncepartition *partition,
                   const struct once_digest *key)
{
  struct oncerecord *record = oncerecord_new (key);

  g_hash_table_add (partition->records, record);
  return record;
}

void
oncepartition_remove (struct oncepartition *partition,
                      struct oncerecord *record)
{
  record_leave_segment (record);
  g_hash_table_remove (partition->records, record);
}

void
oncepartition_mark_dirty (struct oncepartition *partition,
                          struct oncerecord *record, uint32_t now_s)
{
  record->changed_s = now_s;
  if (record->dirty)
    return;
  record->dirty = true;
  list_append (&partition->dirty_records, &record->dirty_node);
}

bool
oncepartition_has_expired_segment (const struct oncepartition *partition,
                                   const struct oncepartition_limits *limits)
{
  return !list_empty (&partition->segments)
         && segment_is_expired (LIST_ENTRY (partition->segments.next,
                                            struct oncepartition_segment,
                                            node),
                                limits);
}

char *
oncepartition_prepare_write (struct oncepartition *partition,
                             struct oncepartition_write *write,
                             const char *marker,
                             const struct oncepartition_limits *limits)
{
  GString *text = g_string_new (marker);
  char *key;

  assert (!partition->write_in_flight);
  partition->write_in_flight = true;
  g_string_append_c (text, '\n');
  prepare_owner_compare (partition, write);
  if (partition->tail == NULL || partition->tail->closed
      || limits->now_ns - partition->tail->opened_ns >= limits->tail_window_ns)
    segment_open (partition, limits);
  prepare_tail (partition, text, limits);
  key = segment_key (partition, partition->tail);
  write_put (write, g_strdup (key), partition->tail->revision,
             g_string_free (text, FALSE));
  prepare_expiry (partition, write, limits);
  prepare_merge (partition, write, marker, limits);
  return key;
}

size_t
oncepartition_write_succeeded (struct oncepartition *partition,
                               uint64_t revision, GPtrArray *records)
{
  assert (partition->write_in_flight);
  partition->write_in_flight = false;
  partition->tail->revision = revision;
  for (struct list *at = partition->tail->records.next;
       at != &partition->tail->records; at = at->next)
    {
      struct oncerecord *record = LIST_ENTRY (at, struct oncerecord, node);

      if (record->write_in_flight && !record->dirty)
        g_ptr_array_add (records, record);
      record->has_durable_line
          = record->has_durable_line || record->write_in_flight;
      record->write_in_flight = false;
    }
  return segments_apply_actions (partition, revision);
}

void
oncepartition_write_failed (struct oncepartition *partition)
{
  struct oncepartition_segment *tail = partition->tail;

  partition->write_in_flight = false;
  partition->merge_target = NULL;
  for (struct list *at = partition->segments.next; at != &partition->segments;
       at = at->next)
    LIST_ENTRY (at, struct oncepartition_segment, node)->action
        = ONCEPARTITION_KEEP;
  for (struct list *at = tail->records.next, *next; at != &tail->records;
       at = next)
    {
      struct oncerecord *record = LIST_ENTRY (at, struct oncerecord, node);

      next = at->next;
      if (record->write_in_flight)
        oncepartition_mark_dirty (partition, record, record->changed_s);
      record->write_in_flight = false;
      if (tail->revision == 0)
        record_leave_segment (record);
    }
  if (tail->revision != 0)
    return;
  segment_free (tail);
  partition->tail = NULL;
}

void
oncepartition_close_tail (struct oncepartition *partition)
{
  if (partition->tail != NULL)
    partition->tail->closed = true;
}
