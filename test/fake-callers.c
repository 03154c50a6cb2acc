#include "fake-callers.h"
#include "unit.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_MS = 3000
};

struct fake_callers callers;

static void
caller_send (unsigned host, const char *target)
{
  struct fake_caller *caller = &callers.list[callers.count];
  struct sockaddr_in address;
  int size = sizeof address;
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: c%u\r\n"
      "X-Api-Key: key\r\nX-Request-Deadline: 1500\r\nConnection: close\r\n"
      "Content-Length: 3\r\n\r\nabc",
      target, callers.count);

  CU_ASSERT_TRUE_FATAL (callers.count < FAKE_CALLERS_MAX);
  callers.count++;
  caller->host = host;
  caller->began_ns = clock_now (&fleet.clock);
  caller->answer = g_string_new (NULL);
  caller->fd = socket (AF_INET, SOCK_STREAM, 0);
  uv_tcp_getsockname (&fleet.hosts[host].front.listener,
                      (struct sockaddr *)&address, &size);
  if (connect (caller->fd, (struct sockaddr *)&address, sizeof address) == 0
      && write (caller->fd, text, strlen (text)) == (ssize_t)strlen (text))
    fcntl (caller->fd, F_SETFL, O_NONBLOCK);
  else
    {
      close (caller->fd);
      caller->fd = -1;
    }
  g_free (text);
}

/* Whether the answer is whole: the engines of these tests send five bytes, and
 * hosts answer without a body. */
static bool
answer_is_whole (const GString *answer)
{
  const char *end = strstr (answer->str, "\r\n\r\n");

  return end != NULL
         && (strstr (answer->str, "Content-Length: 5") == NULL
             || g_str_has_suffix (answer->str, "hello"));
}

static void
caller_end (struct fake_caller *caller)
{
  close (caller->fd);
  caller->fd = -1;
  caller->ended_ns = clock_now (&fleet.clock);
  if (answer_is_whole (caller->answer))
    caller->status = atoi (caller->answer->str + strlen ("HTTP/1.1 "));
}

static void
caller_read (struct fake_caller *caller)
{
  char bytes[4096];
  ssize_t size = read (caller->fd, bytes, sizeof bytes);

  if (size > 0)
    g_string_append_len (caller->answer, bytes, size);
  if (size == 0 || (size < 0 && errno != EAGAIN)
      || answer_is_whole (caller->answer))
    caller_end (caller);
}

static bool
callers_step (void)
{
  bool any = false;

  uv_run (&fleet.loop, UV_RUN_NOWAIT);
  for (unsigned i = 0; i < callers.count; i++)
    if (callers.list[i].fd >= 0)
      {
        caller_read (&callers.list[i]);
        any = true;
      }
  g_usleep (300);
  return any;
}

void
fake_callers_run (int64_t ms, unsigned per_s)
{
  static const char *const targets[] = { "/once/", "/safe/" };
  int64_t now = clock_now (&fleet.clock);
  int64_t end = now + ms * NS_PER_MS;

  callers.next_ns = MAX (callers.next_ns, now);
  while ((now = clock_now (&fleet.clock)) < end)
    {
      unsigned host = callers.count % FAKE_HOSTS;
      unsigned target = callers.count / FAKE_HOSTS % 2;

      callers_step ();
      if (now < callers.next_ns)
        continue;
      callers.next_ns += NS_PER_S / per_s;
      while (fleet.down[host])
        host = (host + 1) % FAKE_HOSTS;
      caller_send (host, targets[callers.once_only ? 0 : target]);
    }
}

void
fake_callers_wait (void)
{
  int64_t end = clock_now (&fleet.clock) + WAIT_MS * NS_PER_MS;

  while (clock_now (&fleet.clock) < end && callers_step ())
    ;
}

void
fake_callers_finish (void)
{
  fake_callers_wait ();
  for (unsigned i = 0; i < callers.count; i++)
    {
      g_string_free (callers.list[i].answer, TRUE);
      if (callers.list[i].fd >= 0)
        close (callers.list[i].fd);
    }
  memset (&callers, 0, sizeof callers);
}

struct fake_callers_counts
fake_callers_count (unsigned host, int64_t from_ns, int64_t to_ns)
{
  struct fake_callers_counts counts = { 0 };

  for (unsigned i = 0; i < callers.count; i++)
    {
      const struct fake_caller *caller = &callers.list[i];

      if (caller->host != host || caller->began_ns < from_ns
          || caller->began_ns >= to_ns)
        continue;
      counts.sent++;
      counts.served += caller->status == 200;
      counts.refused += caller->status == 503;
      if (caller->status == 503)
        counts.refused_max_ns
            = MAX (counts.refused_max_ns, caller->ended_ns - caller->began_ns);
    }
  return counts;
}
