#include "tcpkeepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

enum
{
  /* After this idle time, and then at this interval, the kernel sends
   * keepalive probes. After 2 unanswered probes it closes the connection,
   * 3 s after the peer was lost. Callers give up a stream after 2 s at the
   * least. */
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBE_COUNT = 2,
  /* A connection with sent bytes that stay unacknowledged for this long is
   * closed. */
  UNACKNOWLEDGED_TIMEOUT_MS = 3000
};

void
tcpkeepalive_enable (int fd)
{
  const int on = 1;
  const int interval_s = KEEPALIVE_INTERVAL_S;
  const int probe_count = KEEPALIVE_PROBE_COUNT;
  const unsigned timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof probe_count);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}
