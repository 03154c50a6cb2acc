#include "eventstream.h"
#include "unit.h"

#include <string.h>

enum
{
  DROPPED_BYTES = 1024 * 1024
};

static struct eventstream stream;

static size_t
append (const char *text)
{
  return eventstream_append (&stream, text, strlen (text));
}

static void
test_whole_events_only (void)
{
  eventstream_init (&stream);
  CU_ASSERT_EQUAL (append ("id: 4\ndata: a"), 0);
  CU_ASSERT_EQUAL (append ("b\n"), 0);
  CU_ASSERT_EQUAL (append ("\nid: 5\nda"), strlen ("id: 4\ndata: ab\n\n"));
  CU_ASSERT_EQUAL (stream.last_id, 4);
  CU_ASSERT_EQUAL (stream.event_count, 1);
  eventstream_consume (&stream, strlen ("id: 4\ndata: ab\n\n"));
  CU_ASSERT_STRING_EQUAL (stream.pending->str, "id: 5\nda");
  eventstream_finish (&stream);
}

static void
test_several_events_at_once (void)
{
  const char *text = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n";

  eventstream_init (&stream);
  CU_ASSERT_EQUAL (append (text), strlen (text));
  CU_ASSERT_EQUAL (stream.event_count, 2);
  CU_ASSERT_EQUAL (stream.first_id, 1);
  CU_ASSERT_EQUAL (stream.last_id, 2);
  eventstream_finish (&stream);
}

/* A stream that is resumed on another backend server drops the incomplete
 * event of the earlier attempt. */
static void
test_restart_drops_incomplete_event (void)
{
  eventstream_init (&stream);
  eventstream_consume (&stream, append ("id: 7\ndata: x\n\nid: 8\nda"));
  eventstream_restart (&stream, true);
  CU_ASSERT_EQUAL (stream.last_id, 7);
  CU_ASSERT_EQUAL (stream.pending->len, 0);
  append ("id: 8\ndata: y\n\n");
  CU_ASSERT_EQUAL (stream.first_id, 8);
  eventstream_finish (&stream);
}

/* Comments, retry times and ids that are no numbers counted as events and
 * ids, so that a stream without events looked complete. */
static void
test_blocks_that_are_no_events (void)
{
  eventstream_init (&stream);
  append (": a\n\nretry: 7\n\n\n\r\n");
  CU_ASSERT_EQUAL (stream.event_count, 0);
  CU_ASSERT_TRUE (eventstream_is_resumable (&stream));
  append ("id: 1x\ndata: a\n\n");
  CU_ASSERT_EQUAL (stream.event_count, 1);
  CU_ASSERT_EQUAL (stream.last_id, 0);
  CU_ASSERT_FALSE (eventstream_is_resumable (&stream));
  append ("id:2\r\ndata: a\r\n\r\n");
  CU_ASSERT_EQUAL (stream.last_id, 2);
  CU_ASSERT_TRUE (eventstream_is_resumable (&stream));
  eventstream_finish (&stream);
}

/* An event that is not the next one was taken for the continuation. */
static void
test_next_event (void)
{
  static const struct
  {
    const char *begun;
    const char *first;
    bool is_next;
  } seams[] = {
    { "id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n", true },
    { "id: 1\ndata: a\n\n", ": x\n\nid: 2\ndata: a\n\n", true },
    { "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", false },
    { "id: 1\ndata: a\n\n", "id: 3\ndata: a\n\n", false },
    { "id: 1\ndata: a\n\n", "data: a\n\n", false },
    { "id: 1\ndata: a\n\n", "event: error\n\n", false },
    { "id: 1\ndata: a\n\n", "error\n\n", false },
    { "id: 3\ndata: a\n\nid: 7\ndata: a\n\n", "id: 9\ndata: a\n\n", true },
    { "id: 3\ndata: a\n\nid: 7\ndata: a\n\n", "id: 7\ndata: a\n\n", false },
    { ": a\n\n", "id: 4\ndata: a\n\n", true },
    { ": a\n\n", "data: a\n\n", true },
  };

  for (unsigned i = 0; i < sizeof seams / sizeof *seams; i++)
    {
      uint64_t last_id;

      eventstream_init (&stream);
      eventstream_consume (&stream, append (seams[i].begun));
      last_id = stream.last_id;
      eventstream_restart (&stream, true);
      append (seams[i].first);
      CU_ASSERT_EQUAL (stream.is_misplaced, !seams[i].is_next);
      CU_ASSERT_EQUAL (stream.event_count, seams[i].is_next);
      if (!seams[i].is_next)
        CU_ASSERT_EQUAL (stream.last_id, last_id);
      eventstream_finish (&stream);
    }
}

/* Many short blocks before the first event of a continuation each moved all
 * bytes behind them, which held the loop for seconds. */
static void
test_many_dropped_blocks (void)
{
  char *blocks = g_strnfill (DROPPED_BYTES, '\n');
  int64_t start_us = g_get_monotonic_time ();

  eventstream_init (&stream);
  eventstream_begin_after (&stream, 2);
  eventstream_restart (&stream, true);
  CU_ASSERT_EQUAL (append (blocks), 0);
  CU_ASSERT_EQUAL (append (": c\n\nid: 3\ndata: a\n\n: d\n\n"),
                   strlen ("id: 3\ndata: a\n\n: d\n\n"));
  CU_ASSERT_TRUE (g_str_has_prefix (stream.pending->str, "id: 3"));
  CU_ASSERT_TRUE (g_get_monotonic_time () - start_us < G_USEC_PER_SEC);
  eventstream_finish (&stream);
  g_free (blocks);
}

static const struct unit_case cases[] = {
  { "whole-events-only", test_whole_events_only },
  { "several-at-once", test_several_events_at_once },
  { "blocks-that-are-no-events", test_blocks_that_are_no_events },
  { "next-event", test_next_event },
  { "many-dropped-blocks", test_many_dropped_blocks },
  { "restart-drops-the-half-event", test_restart_drops_incomplete_event },
};

int
main (void)
{
  return unit_run ("eventstream", cases, G_N_ELEMENTS (cases));
}
