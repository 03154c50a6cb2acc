#include "fake-hostrequest.h"
#include "unit.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_MS = 3000
};

#define HOST_NAME "one.example"

static unsigned request_number;

static int
caller_connect (const struct callerserver *server)
{
  struct sockaddr_in address;
  int size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&address, &size);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/* Whether the caller has its whole response: the servers of these tests send
 * lengths of five or nothing, or chunks. */
static bool
answer_is_whole (void)
{
  const char *end = strstr (fleet.answer->str, "\r\n\r\n");

  return end != NULL
         && (strstr (fleet.answer->str, "chunked") == NULL
             || g_str_has_suffix (fleet.answer->str, "\r\n0\r\n\r\n"));
}

/* Send a request with the header lines EXTRA to SERVER, and wait for its
 * response. */
static int
request_send (const struct callerserver *server, const char *target,
              const char *extra)
{
  int fd = caller_connect (server);
  int64_t end = clock_now (&fleet.clock) + WAIT_MS * NS_PER_MS;
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: " HOST_NAME "\r\nX-Request-Id: r%u\r\n"
      "X-Api-Key: key\r\n%sContent-Length: 3\r\n\r\nabc",
      target, ++request_number, extra);
  ssize_t size = write (fd, text, strlen (text));
  char bytes[4096];

  CU_ASSERT_EQUAL (size, (ssize_t)strlen (text));
  g_free (text);
  g_string_truncate (fleet.answer, 0);
  while (clock_now (&fleet.clock) < end && !answer_is_whole () && size != 0)
    {
      uv_run (&fleet.loop, UV_RUN_NOWAIT);
      size = read (fd, bytes, sizeof bytes);
      if (size > 0)
        g_string_append_len (fleet.answer, bytes, size);
      g_usleep (200);
    }
  close (fd);
  fake_hosts_run_for (5);
  return answer_is_whole () ? atoi (fleet.answer->str + strlen ("HTTP/1.1 "))
                            : 0;
}

int
fake_hosts_request (unsigned index, const char *target)
{
  return fake_hosts_request_within (index, target, "1200");
}

int
fake_hosts_request_within (unsigned index, const char *target,
                           const char *deadline_ms)
{
  char *extra = g_strdup_printf ("X-Request-Deadline: %s\r\n", deadline_ms);
  int status = request_send (&fleet.hosts[index].front, target, extra);

  g_free (extra);
  return status;
}

int
fake_hosts_return (unsigned index, const char *target, const char *resumed_id)
{
  char *extra = g_strdup_printf (
      "X-Request-Deadline: 1200\r\nLast-Event-Id: 1\r\nResumes: %s\r\n",
      resumed_id);
  int status = request_send (&fleet.hosts[index].front, target, extra);

  g_free (extra);
  return status;
}

int
fake_hosts_pass_on (unsigned index, const char *target, const char *runs)
{
  char *extra = g_strdup_printf (
      "X-Request-Deadline: 1200\r\nTrefoilspar-Runs: %s\r\n", runs);
  int status = request_send (&fleet.hosts[index].host_server, target, extra);

  g_free (extra);
  return status;
}
