#include "callerreport.h"
#include "tcpreset.h"

#include <string.h>

static bool
caller_ended (const char *reason)
{
  return strcmp (reason, "caller_left") == 0
         || strcmp (reason, "caller_reset") == 0;
}

void
callerreport_unsent (struct callerconn *conn)
{
  const struct callerserver *server = conn->server;
  size_t unsent = uv_stream_get_write_queue_size ((uv_stream_t *)&conn->tcp);
  size_t unacknowledged = 0;
  uv_os_fd_t fd;

  if (server->ops->response_unsent == NULL || caller_ended (conn->end_reason))
    return;
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    unacknowledged = tcpreset_unacknowledged_bytes (fd);
  if (unsent + unacknowledged > 0)
    server->ops->response_unsent (server->data, conn, conn->end_reason, unsent,
                                  unacknowledged);
}
