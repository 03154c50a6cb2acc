#include "logjson.h"
#include "logsink.h"
#include "unit.h"

#include <fcntl.h>
#include <json-c/json.h>
#include <string.h>
#include <unistd.h>

enum
{
  BUFFER_BYTES = 65536,
  UNREAD_BYTES = 60000, /* most of what a pipe holds */
  LAST_LINES = 5000,
  READ_LATE_US = 30000
};

static struct clock_fake fake_clock;
static struct logsink sink;
static int pipe_fds[2];

static void
setup (size_t buffer_bytes)
{
  struct logsink_settings settings = { .buffer_bytes = buffer_bytes,
                                       .sampling_lines_per_s = 10,
                                       .sample_one_in = 4 };

  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  fcntl (pipe_fds[0], F_SETFL, O_NONBLOCK);
  settings.fd = pipe_fds[1];
  clock_fake_init (&fake_clock, 5 * NS_PER_S);
  logsink_init (&sink, &settings, &fake_clock.clock);
}

static void
finish (void)
{
  logsink_finish (&sink);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

static void
test_line_is_json (void)
{
  GString *line = g_string_new (NULL);
  struct json_object *object;
  struct json_object *value;

  logjson_format (line, event_info (EVENT_FORWARD_END), "h-1", 12.5,
                  "id=007e1 status=200 ms=1.5 text=a\"b\n");
  object = json_tokener_parse (line->str);
  CU_ASSERT_PTR_NOT_NULL_FATAL (object);
  json_object_object_get_ex (object, "id", &value);
  CU_ASSERT_STRING_EQUAL (json_object_get_string (value), "007e1");
  CU_ASSERT_TRUE (json_object_is_type (value, json_type_string));
  json_object_object_get_ex (object, "status", &value);
  CU_ASSERT_TRUE (json_object_is_type (value, json_type_int));
  json_object_object_get_ex (object, "text", &value);
  CU_ASSERT_STRING_EQUAL (json_object_get_string (value), "a\"b\n");
  CU_ASSERT_EQUAL (line->str[line->len - 1], '\n');
  json_object_put (object);
  g_string_free (line, TRUE);
}

/* Nothing is read from the pipe: appending never blocks, the memory stays
 * bounded, and warnings are kept longer than other lines. */
static void
test_blocked_output (void)
{
  char line[200];

  memset (line, 'x', sizeof line);
  setup (BUFFER_BYTES);
  for (unsigned i = 0; i < 5000; i++)
    logsink_append (&sink, EVENT_LEVEL_INFO, line, sizeof line);
  CU_ASSERT_TRUE (sink.buffer->len <= BUFFER_BYTES);
  CU_ASSERT_TRUE (sink.dropped_count[EVENT_LEVEL_INFO] > 0);
  logsink_append (&sink, EVENT_LEVEL_WARN, line, sizeof line);
  CU_ASSERT_EQUAL (sink.dropped_count[EVENT_LEVEL_WARN], 0);
  finish ();
}

static void
test_all_lines_arrive (void)
{
  char bytes[8192];
  size_t total = 0;
  ssize_t size;

  setup (BUFFER_BYTES);
  for (unsigned i = 0; i < 100; i++)
    logsink_append (&sink, EVENT_LEVEL_INFO, "0123456789\n", 11);
  logsink_flush (&sink);
  while ((size = read (pipe_fds[0], bytes, sizeof bytes)) > 0)
    total += (size_t)size;
  CU_ASSERT_EQUAL (total, 1100);
  CU_ASSERT_EQUAL (logsink_lost_count (&sink), 0);
  finish ();
}

static void *
read_late (void *data)
{
  char bytes[8192];
  size_t *total = data;
  ssize_t size;

  g_usleep (READ_LATE_US);
  fcntl (pipe_fds[0], F_SETFL, 0);
  while ((size = read (pipe_fds[0], bytes, sizeof bytes)) > 0)
    *total += (size_t)size;
  return NULL;
}

/* The last lines of a process were lost if the reader of its log was slow at
 * that moment. */
static void
test_last_lines_reach_a_slow_reader (void)
{
  static const char line[] = "0123456789\n";
  char *unread = g_malloc0 (UNREAD_BYTES);
  size_t total = 0;
  GThread *reader;

  setup (BUFFER_BYTES);
  CU_ASSERT_EQUAL (write (pipe_fds[1], unread, UNREAD_BYTES), UNREAD_BYTES);
  for (unsigned i = 0; i < LAST_LINES; i++)
    logsink_append (&sink, EVENT_LEVEL_WARN, line, strlen (line));
  reader = g_thread_new ("reader", read_late, &total);
  logsink_finish (&sink);
  close (pipe_fds[1]);
  g_thread_join (reader);
  close (pipe_fds[0]);
  CU_ASSERT_EQUAL (total, UNREAD_BYTES + LAST_LINES * strlen (line));
  g_free (unread);
}

/* At four times the rate at which sampling starts, a request keeps all its
 * lines or none, and warnings are never dropped. */
static void
test_sampling_by_request (void)
{
  unsigned kept = 0;

  setup (BUFFER_BYTES);
  for (unsigned i = 0; i < 40; i++)
    logsink_accepts_line (&sink, EVENT_LEVEL_INFO, "warm", 4);
  clock_fake_advance (&fake_clock, NS_PER_S);
  for (unsigned i = 0; i < 400; i++)
    {
      char id[16];
      size_t size;
      bool first;

      g_snprintf (id, sizeof id, "r%u", i);
      size = strlen (id);
      first = logsink_accepts_line (&sink, EVENT_LEVEL_INFO, id, size);
      CU_ASSERT_EQUAL (
          first, logsink_accepts_line (&sink, EVENT_LEVEL_INFO, id, size));
      CU_ASSERT_TRUE (
          logsink_accepts_line (&sink, EVENT_LEVEL_WARN, id, size));
      kept += first;
    }
  CU_ASSERT_TRUE (kept > 50 && kept < 150);
  CU_ASSERT_EQUAL (sink.sampled_out_count, (uint64_t)(400 - kept) * 2);
  finish ();
}

static const struct unit_case cases[] = {
  { "line-is-json", test_line_is_json },
  { "shut-outlet", test_blocked_output },
  { "all-lines-arrive", test_all_lines_arrive },
  { "last-lines-reach-a-slow-reader", test_last_lines_reach_a_slow_reader },
  { "sampling-by-request", test_sampling_by_request },
};

int
main (void)
{
  return unit_run ("log", cases, G_N_ELEMENTS (cases));
}
