#include "oncepart.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DELETE_MAX = 32,    /* overdue segments in one write */
  LINE_ESTIMATE = 160 /* bytes */
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
  oncerec_free (record);
}

static void
record_leave (struct oncerec *record)
{
  list_remove (&record->node);
  if (record->segment != NULL)
    record->segment->count--;
  record->segment = NULL;
}

static void
record_enter (struct oncerec *record, struct oncepart_segment *segment)
{
  record_leave (record);
  list_append (&segment->records, &record->node);
  segment->count++;
  record->segment = segment;
}

static struct oncepart_segment *
segment_new (struct oncepart *part, uint64_t number)
{
  struct oncepart_segment *segment = g_new0 (struct oncepart_segment, 1);

  segment->number = number;
  list_init (&segment->records);
  list_append (&part->segments, &segment->node);
  return segment;
}

static void
segment_free (struct oncepart_segment *segment)
{
  list_remove (&segment->node);
  g_free (segment);
}

static char *
segment_key (const struct oncepart *part,
             const struct oncepart_segment *segment)
{
  return g_strdup_printf ("once/%04x/%016" PRIx64, part->index,
                          segment->number);
}

static struct oncepart_segment *
segment_open (struct oncepart *part, const struct oncepart_limits *limits)
{
  uint64_t number = (uint64_t)limits->now_s * 1000;

  if (!list_empty (&part->segments))
    {
      struct oncepart_segment *last
          = LIST_ENTRY (part->segments.prev, struct oncepart_segment, node);

      number = MAX (number, last->number + 1);
    }
  if (part->tail != NULL)
    part->tail->closed = true;
  part->tail = segment_new (part, number);
  part->tail->opened_ns = limits->now_ns;
  return part->tail;
}

static void
segment_format (const struct oncepart_segment *segment, GString *text)
{
  for (const struct list *at = segment->records.next; at != &segment->records;
       at = at->next)
    oncerec_format (LIST_ENTRY (at, struct oncerec, node), text);
}

/* A later line of the same key replaces an earlier one. */
static void
record_load (struct oncepart *part, struct oncepart_segment *segment,
             struct oncerec *record)
{
  struct oncerec *old = oncepart_find (part, &record->key);

  if (old != NULL)
    oncepart_remove (part, old);
  g_hash_table_add (part->records, record);
  record->stored = true;
  record_enter (record, segment);
  segment->stamp_s = MAX (segment->stamp_s, record->stamp_s);
}

static bool
segment_load (struct oncepart *part, const struct kv_item *item)
{
  const char *number = strrchr (item->key, '/');
  const char *line = strchr (item->value, '\n');
  struct oncepart_segment *segment;

  if (number == NULL || line == NULL)
    return false;
  segment = segment_new (part, strtoull (number + 1, NULL, 16));
  segment->revision = item->revision;
  segment->closed = true;
  for (line++; *line != '\0';)
    {
      const char *end = strchr (line, '\n');
      struct oncerec *record;

      if (end == NULL)
        return false;
      record = oncerec_parse (line, (size_t)(end - line));
      if (record == NULL)
        return false;
      record_load (part, segment, record);
      line = end + 1;
    }
  return true;
}

static void
write_put (struct oncepart_write *write, char *key, uint64_t revision,
           char *value)
{
  struct kv_compare compare = { g_strdup (key), revision };
  struct kv_write put = { key, value, 0 };

  if (value != NULL)
    write->bytes += strlen (value);
  g_array_append_val (write->compares, compare);
  g_array_append_val (write->writes, put);
}

static void
prepare_owner (const struct oncepart *part, struct oncepart_write *write)
{
  char key[OWNER_KEY_MAX];
  struct kv_compare compare;

  owner_key (part->index, key);
  compare = (struct kv_compare){ g_strdup (key), part->fencing };
  g_array_append_val (write->compares, compare);
}

/* Take changed records into the tail up to its size. */
static void
prepare_tail (struct oncepart *part, GString *text,
              const struct oncepart_limits *limits)
{
  struct oncepart_segment *tail = part->tail;
  size_t limit = limits->segment_bytes;

  segment_format (tail, text);
  for (struct list *at = part->dirty.next, *next; at != &part->dirty;
       at = next)
    {
      struct oncerec *record = LIST_ENTRY (at, struct oncerec, dirty_node);
      bool fresh = record->segment != tail;

      next = at->next;
      if (fresh && text->len >= limit)
        continue;
      list_remove (at);
      record->dirty = false;
      record->writing = true;
      if (!fresh)
        continue;
      record_enter (record, tail);
      oncerec_format (record, text);
    }
  tail->stamp_s = limits->now_s;
  tail->closed = text->len >= limits->tail_bytes;
}

static bool
segment_overdue (const struct oncepart_segment *segment,
                 const struct oncepart_limits *limits)
{
  return segment->stamp_s + limits->retention_s < limits->now_s;
}

static void
prepare_delete (struct oncepart *part, struct oncepart_segment *segment,
                enum oncepart_fate fate, struct oncepart_write *write)
{
  segment->fate = fate;
  write_put (write, segment_key (part, segment), segment->revision, NULL);
}

static void
prepare_expiry (struct oncepart *part, struct oncepart_write *write,
                const struct oncepart_limits *limits)
{
  unsigned count = 0;

  for (struct list *at = part->segments.next;
       at != &part->segments && count < DELETE_MAX; at = at->next)
    {
      struct oncepart_segment *segment
          = LIST_ENTRY (at, struct oncepart_segment, node);

      if (segment == part->tail || !segment_overdue (segment, limits))
        return;
      prepare_delete (part, segment, ONCEPART_EXPIRE, write);
      count++;
    }
}

static bool
segment_may_merge (const struct oncepart *part,
                   const struct oncepart_segment *segment)
{
  return segment->closed && segment->fate == ONCEPART_KEEP
         && segment != part->tail;
}

static size_t
segment_estimate (const struct list *node)
{
  return LIST_ENTRY (node, struct oncepart_segment, node)->count
         * LINE_ESTIMATE;
}

/* The first run of enough neighbours that together fit into one segment.
 * @return its length, or 0; FIRST receives its first node. */
static unsigned
merge_find (const struct oncepart *part, struct list **first,
            const struct oncepart_limits *limits)
{
  size_t bytes = 0;
  unsigned count = 0;

  *first = part->segments.next;
  for (struct list *at = *first; at != &part->segments; at = at->next)
    {
      if (!segment_may_merge (part,
                              LIST_ENTRY (at, struct oncepart_segment, node)))
        {
          *first = at->next;
          bytes = 0;
          count = 0;
          continue;
        }
      bytes += segment_estimate (at);
      count++;
      for (; bytes > limits->segment_bytes; *first = (*first)->next)
        {
          bytes -= segment_estimate (*first);
          count--;
        }
      if (count == ONCE_MERGE_MIN)
        return count;
    }
  return 0;
}

/* Write the records of a run of segments under the key of the last of them.
 * Old lines of records that have moved on are left behind. */
static void
prepare_merge (struct oncepart *part, struct oncepart_write *write,
               const char *marker, const struct oncepart_limits *limits)
{
  struct list *at;
  unsigned count = merge_find (part, &at, limits);
  GString *text;

  if (count == 0)
    return;
  text = g_string_new (marker);
  g_string_append_c (text, '\n');
  for (unsigned i = 0; i < count; i++, at = at->next)
    {
      struct oncepart_segment *segment
          = LIST_ENTRY (at, struct oncepart_segment, node);

      segment_format (segment, text);
      if (i + 1 < count)
        prepare_delete (part, segment, ONCEPART_MERGE, write);
      else
        part->merged = segment;
    }
  write_put (write, segment_key (part, part->merged), part->merged->revision,
             g_string_free (text, FALSE));
}

/* A record that changes just now outlives its old segment. */
static size_t
segment_drop_records (struct oncepart *part, struct oncepart_segment *segment)
{
  size_t dropped = 0;

  for (struct list *at = segment->records.next, *next; at != &segment->records;
       at = next)
    {
      struct oncerec *record = LIST_ENTRY (at, struct oncerec, node);

      next = at->next;
      record_leave (record);
      if (record->dirty)
        continue;
      oncepart_remove (part, record);
      dropped++;
    }
  return dropped;
}

static void
segment_merge (struct oncepart *part, struct oncepart_segment *segment)
{
  part->merged->stamp_s = MAX (part->merged->stamp_s, segment->stamp_s);
  for (struct list *at = segment->records.next, *next; at != &segment->records;
       at = next)
    {
      next = at->next;
      record_enter (LIST_ENTRY (at, struct oncerec, node), part->merged);
    }
}

/* Carry out the fates of the segments.
 * @return the number of records that were forgotten. */
static size_t
segments_settle (struct oncepart *part, uint64_t revision)
{
  size_t dropped = 0;

  for (struct list *at = part->segments.next, *next; at != &part->segments;
       at = next)
    {
      struct oncepart_segment *segment
          = LIST_ENTRY (at, struct oncepart_segment, node);

      next = at->next;
      if (segment->fate == ONCEPART_KEEP)
        continue;
      if (segment->fate == ONCEPART_MERGE)
        segment_merge (part, segment);
      else
        dropped += segment_drop_records (part, segment);
      segment_free (segment);
    }
  if (part->merged != NULL)
    part->merged->revision = revision;
  part->merged = NULL;
  return dropped;
}

void
oncepart_init (struct oncepart *part, struct once *once, unsigned index)
{
  *part = (struct oncepart){ .once = once, .index = index };
  part->records
      = g_hash_table_new_full (record_hash, record_equal, record_free, NULL);
  list_init (&part->segments);
  list_init (&part->dirty);
}

void
oncepart_finish (struct oncepart *part)
{
  oncepart_clear (part);
  g_hash_table_destroy (part->records);
}

char *
oncepart_prefix (unsigned partition)
{
  return g_strdup_printf ("once/%04x/", partition);
}

void
oncepart_clear (struct oncepart *part)
{
  g_hash_table_remove_all (part->records);
  for (struct list *at = part->segments.next, *next; at != &part->segments;
       at = next)
    {
      next = at->next;
      segment_free (LIST_ENTRY (at, struct oncepart_segment, node));
    }
  part->tail = NULL;
  part->merged = NULL;
  part->writing = false;
}

bool
oncepart_load (struct oncepart *part, const struct kv_reply *reply)
{
  assert (g_hash_table_size (part->records) == 0);
  for (size_t i = 0; i < reply->item_count; i++)
    if (!segment_load (part, &reply->items[i]))
      {
        oncepart_clear (part);
        return false;
      }
  return true;
}

struct oncerec *
oncepart_find (const struct oncepart *part, const struct once_digest *key)
{
  return g_hash_table_lookup (part->records, key);
}

struct oncerec *
oncepart_add (struct oncepart *part, const struct once_digest *key)
{
  struct oncerec *record = oncerec_new (key);

  g_hash_table_add (part->records, record);
  return record;
}

void
oncepart_remove (struct oncepart *part, struct oncerec *record)
{
  record_leave (record);
  g_hash_table_remove (part->records, record);
}

void
oncepart_touch (struct oncepart *part, struct oncerec *record, uint32_t now_s)
{
  record->stamp_s = now_s;
  if (record->dirty)
    return;
  record->dirty = true;
  list_append (&part->dirty, &record->dirty_node);
}

bool
oncepart_overdue (const struct oncepart *part,
                  const struct oncepart_limits *limits)
{
  return !list_empty (&part->segments)
         && segment_overdue (
             LIST_ENTRY (part->segments.next, struct oncepart_segment, node),
             limits);
}

char *
oncepart_prepare (struct oncepart *part, struct oncepart_write *write,
                  const char *marker, const struct oncepart_limits *limits)
{
  GString *text = g_string_new (marker);
  char *key;

  assert (!part->writing);
  part->writing = true;
  g_string_append_c (text, '\n');
  prepare_owner (part, write);
  if (part->tail == NULL || part->tail->closed
      || limits->now_ns - part->tail->opened_ns >= limits->window_ns)
    segment_open (part, limits);
  prepare_tail (part, text, limits);
  key = segment_key (part, part->tail);
  write_put (write, g_strdup (key), part->tail->revision,
             g_string_free (text, FALSE));
  prepare_expiry (part, write, limits);
  prepare_merge (part, write, marker, limits);
  return key;
}

size_t
oncepart_written (struct oncepart *part, uint64_t revision, GPtrArray *records)
{
  assert (part->writing);
  part->writing = false;
  part->tail->revision = revision;
  for (struct list *at = part->tail->records.next; at != &part->tail->records;
       at = at->next)
    {
      struct oncerec *record = LIST_ENTRY (at, struct oncerec, node);

      if (record->writing && !record->dirty)
        g_ptr_array_add (records, record);
      record->stored = record->stored || record->writing;
      record->writing = false;
    }
  return segments_settle (part, revision);
}

void
oncepart_unwritten (struct oncepart *part)
{
  struct oncepart_segment *tail = part->tail;

  part->writing = false;
  part->merged = NULL;
  for (struct list *at = part->segments.next; at != &part->segments;
       at = at->next)
    LIST_ENTRY (at, struct oncepart_segment, node)->fate = ONCEPART_KEEP;
  for (struct list *at = tail->records.next, *next; at != &tail->records;
       at = next)
    {
      struct oncerec *record = LIST_ENTRY (at, struct oncerec, node);

      next = at->next;
      if (record->writing)
        oncepart_touch (part, record, record->stamp_s);
      record->writing = false;
      if (tail->revision == 0)
        record_leave (record);
    }
  if (tail->revision != 0)
    return;
  segment_free (tail);
  part->tail = NULL;
}

void
oncepart_split (struct oncepart *part)
{
  if (part->tail != NULL)
    part->tail->closed = true;
}
