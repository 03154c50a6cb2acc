#include "relay.h"
#include "rng.h"
#include "unit.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  EVENTS = 60,
  SPEED_EVENTS = 500000
};

static uint64_t expected_next;
static unsigned error_count;
static unsigned end_count;

static void
event_received (struct relay *relay, const struct relay_event *event, int end)
{
  char data[32];

  snprintf (data, sizeof data, "piece %u", (unsigned)event->sequence);
  error_count += event->sequence != expected_next++;
  error_count += end_count > 0;
  if (end)
    end_count++;
  else
    error_count += event->data_size != strlen (data)
                   || memcmp (event->data, data, event->data_size) != 0;
}

static const struct relay_ops ops = { event_received };

static void
event_append (GString *text, const char *id, unsigned sequence, bool end)
{
  const char *eol = sequence % 7 == 0 ? "\r\n" : "\n";

  g_string_append_printf (text, "id: %s/%u%s", id, sequence, eol);
  if (end)
    g_string_append_printf (text, "data: [DONE]%s%s", eol, eol);
  else
    g_string_append_printf (text, "data: piece %u%s%s", sequence, eol, eol);
}

/* Makes a stream that starts at event FROM, with comments, repeated events and
 * events of another request at random places. With GAP, the event in the
 * middle of the whole stream is left out. Adds the events of the other request
 * to FOREIGN. */
static GString *
stream_make (struct rng *rng, unsigned from, bool gap, unsigned *foreign)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = from; i <= EVENTS; i++)
    {
      switch (rng_below (rng, 12))
        {
        case 0:
          g_string_append (text, ": alive\n\n");
          break;
        case 1:
          event_append (text, "req-2", i, i == EVENTS);
          ++*foreign;
          break;
        case 2:
          event_append (text, "req-1", i > 2 ? i - 2 : 0, false);
          break;
        default:
          break;
        }
      if (gap && i == EVENTS / 2)
        continue;
      event_append (text, "req-1", i, i == EVENTS);
    }
  return text;
}

/* Streams are cut at random bytes, fed in chunks of random size and contain
 * gaps, repeated events and events of other requests. Each event must be
 * passed on once and in order. */
static void
test_random_cuts (void)
{
  struct rng rng;

  rng_init (&rng, 21);
  for (int round = 0; round < 2000; round++)
    {
      struct relay relay;
      unsigned connections = 0;
      unsigned foreign = 0;

      expected_next = 0;
      error_count = end_count = 0;
      relay_init (&relay, &ops, "req-1");
      while (relay.state != RELAY_COMPLETE && ++connections < 200)
        {
          uint64_t from = relay_next_sequence (&relay);
          GString *text = stream_make (&rng, (unsigned)(from - MIN (from, 3)),
                                       rng_below (&rng, 4) == 0, &foreign);
          size_t end = rng_below (&rng, text->len + 1);
          size_t offset = 0;

          if (rng_below (&rng, 3) == 0)
            end = text->len;
          while (offset < end && relay.state == RELAY_OPEN)
            {
              size_t chunk_size = 1 + rng_below (&rng, MIN (end - offset, 90));

              relay_feed (&relay, text->str + offset, chunk_size);
              offset += chunk_size;
            }
          relay_disconnected (&relay);
          g_string_free (text, TRUE);
        }
      CU_ASSERT_EQUAL (relay.state, RELAY_COMPLETE);
      CU_ASSERT_EQUAL (relay.passed_count, EVENTS);
      CU_ASSERT_EQUAL (error_count, 0);
      CU_ASSERT_EQUAL (end_count, 1);
      CU_ASSERT_TRUE (relay.foreign_count <= foreign);
      relay_finish (&relay);
    }
}

/* A stream is complete only after the blank line that ends its [DONE] event.
 */
static void
test_truncated_stream_is_no_success (void)
{
  static const char text[] = "id: req-1/0\ndata: piece 0\n\n"
                             "id: req-1/1\ndata: [DONE]\n";
  struct relay relay;

  expected_next = error_count = end_count = 0;
  relay_init (&relay, &ops, "req-1");
  CU_ASSERT_EQUAL (relay_feed (&relay, text, sizeof text - 1), RELAY_OPEN);
  CU_ASSERT_EQUAL (relay_next_sequence (&relay), 1);
  CU_ASSERT_EQUAL (relay_feed (&relay, "\n", 1), RELAY_COMPLETE);
  CU_ASSERT_EQUAL (end_count, 1);
  relay_finish (&relay);
}

static void
test_gap_and_foreign (void)
{
  static const char foreign[] = "id: req-11/0\ndata: x\n\ndata: y\n\n"
                                "id: req-1/x\ndata: z\n\n";
  static const char gap[] = "id: req-1/1\ndata: piece 1\n\n";
  struct relay relay;
  char *long_line = g_strnfill (RELAY_EVENT_MAX + 1, 'x');

  expected_next = error_count = end_count = 0;
  relay_init (&relay, &ops, "req-1");
  CU_ASSERT_EQUAL (relay_feed (&relay, foreign, sizeof foreign - 1),
                   RELAY_OPEN);
  CU_ASSERT_EQUAL (relay.foreign_count, 3);
  CU_ASSERT_EQUAL (relay_feed (&relay, gap, sizeof gap - 1), RELAY_GAP);
  CU_ASSERT_EQUAL (relay.passed_count, 0);
  relay_disconnected (&relay);
  CU_ASSERT_EQUAL (relay_feed (&relay, long_line, RELAY_EVENT_MAX + 1),
                   RELAY_INVALID);
  relay_finish (&relay);
  g_free (long_line);
}

static void
speed_event_received (struct relay *relay, const struct relay_event *event,
                      int end)
{
  expected_next += event->sequence;
}

/* The target is 100,000 events a second on one core. The test measures
 * processor time, so that a busy machine does not make it fail. */
static void
test_speed (void)
{
  static const struct relay_ops speed_ops = { speed_event_received };
  GString *text = g_string_new (NULL);
  struct relay relay;
  clock_t start;
  double seconds;

  for (unsigned i = 0; i < SPEED_EVENTS; i++)
    g_string_append_printf (
        text,
        "id: req-1/%u\ndata: {\"id\":\"req-1\",\"choices\":[{\"index\":0,"
        "\"text\":\" word\"}]}\n\n",
        i);
  relay_init (&relay, &speed_ops, "req-1");
  start = clock ();
  for (size_t offset = 0; offset < text->len; offset += 1400)
    relay_feed (&relay, text->str + offset, MIN (1400, text->len - offset));
  seconds = (double)(clock () - start) / CLOCKS_PER_SEC;
  printf ("# %.0f events a second of processor time\n",
          SPEED_EVENTS / seconds);
  CU_ASSERT_EQUAL (relay.passed_count, SPEED_EVENTS);
  CU_ASSERT_TRUE (SPEED_EVENTS / seconds > 100000);
  relay_finish (&relay);
  g_string_free (text, TRUE);
}

static const struct unit_case cases[] = {
  { "random-cuts", test_random_cuts },
  { "short-stream-is-no-success", test_truncated_stream_is_no_success },
  { "gap-and-foreign", test_gap_and_foreign },
  { "speed", test_speed },
};

int
main (void)
{
  return unit_run ("relay", cases, sizeof cases / sizeof *cases);
}
