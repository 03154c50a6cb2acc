#include "tcpreset.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Whether the kernel has given up the connection. After an orderly end it
 * waits for this side to close. */
static bool
is_closed_state (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && info.tcpi_state == TCP_CLOSE;
}

void
tcpreset_on_close (int fd, bool reset)
{
  const struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

bool
tcpreset_was_reset (int fd)
{
  int socket_error = 0;
  socklen_t size = sizeof socket_error;

  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &socket_error, &size) != 0
         || socket_error != 0 || is_closed_state (fd);
}

size_t
tcpreset_unacknowledged_bytes (int fd)
{
  int unacknowledged = 0;

  return ioctl (fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0
             ? (size_t)unacknowledged
             : 0;
}

bool
tcpreset_is_sending (int fd)
{
  return tcpreset_unacknowledged_bytes (fd) > 0;
}
