#include "callerserver.h"
#include "callerconn.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  LISTEN_BACKLOG = 1024,
  BUFFERED_BYTES_MAX = 24 * 1024 * 1024,
  UNSENT_BYTES_MAX = 16 * 1024 * 1024
};

static void
on_connection (uv_stream_t *listener, int status)
{
  if (status == 0)
    callerconn_accept (listener->data, -1);
}

enum status
callerserver_init (struct callerserver *server, uv_loop_t *loop,
                   const struct clock *clock, const char *ip, uint16_t port,
                   const struct callerserver_ops *ops, void *data,
                   struct error *error)
{
  struct sockaddr_in address;
  int rc;

  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->clock = clock;
  server->ops = ops;
  server->data = data;
  server->buffered_bytes_max = BUFFERED_BYTES_MAX;
  server->unsent.bytes_max = UNSENT_BYTES_MAX;
  server->listener.data = server;
  list_init (&server->conns);
  uv_tcp_init (loop, &server->listener);
  rc = uv_ip4_addr (ip, port, &address);
  if (rc == 0)
    rc = uv_tcp_bind (&server->listener, (struct sockaddr *)&address, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      uv_close ((uv_handle_t *)&server->listener, NULL);
      return error_set (error, STATUS_UNAVAILABLE,
                        "cannot listen on %s:%u: %s", ip, port,
                        uv_strerror (rc));
    }
  server->listening = true;
  return STATUS_OK;
}

/* Accept the connections that are established and wait: closing the listener
 * would reset them. */
static void
accept_waiting (struct callerserver *server)
{
  uv_os_fd_t listener;

  if (uv_fileno ((uv_handle_t *)&server->listener, &listener) != 0)
    return;
  /* As many as can wait, so that callers that go on connecting can't keep the
   * process here. */
  for (int i = 0; i <= LISTEN_BACKLOG; i++)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd >= 0)
        callerconn_accept (server, fd);
      else if (errno != EINTR && errno != ECONNABORTED)
        return;
    }
}

void
callerserver_stop_listening (struct callerserver *server)
{
  if (!server->listening)
    return;
  server->listening = false;
  accept_waiting (server);
  uv_close ((uv_handle_t *)&server->listener, NULL);
}

void
callerserver_drain (struct callerserver *server)
{
  struct list *node = server->conns.next;

  server->draining = true;
  while (node != &server->conns)
    {
      struct callerconn *conn = LIST_ENTRY (node, struct callerconn, node);

      node = node->next;
      callerconn_drain (conn);
    }
}

void
callerserver_finish (struct callerserver *server)
{
  callerserver_stop_listening (server);
  while (!list_empty (&server->conns))
    callerconn_abort (
        LIST_ENTRY (server->conns.next, struct callerconn, node));
}
