#include "eventstream.h"
#include "unit.h"

#include <string.h>

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
  eventstream_restart (&stream);
  CU_ASSERT_EQUAL (stream.last_id, 7);
  CU_ASSERT_EQUAL (stream.pending->len, 0);
  append ("id: 8\ndata: y\n\n");
  CU_ASSERT_EQUAL (stream.first_id, 8);
  eventstream_finish (&stream);
}

static const struct unit_case cases[] = {
  { "whole-events-only", test_whole_events_only },
  { "several-at-once", test_several_events_at_once },
  { "restart-drops-the-half-event", test_restart_drops_incomplete_event },
};

int
main (void)
{
  return unit_run ("eventstream", cases, G_N_ELEMENTS (cases));
}
