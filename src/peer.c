#include "peer.h"
#include "address.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

enum
{
  READ_BUFFER_BYTES = 64 * 1024,
  TIMER_INTERVAL_MS = 100,
  LISTEN_BACKLOG = 1024
};

struct peer_conn
{
  struct list node;
  struct peer_endpoint *endpoint; /* Endpoint that the connection belongs
                                     to; NULL once the connection is closed. */
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct frame_reader reader;
  /* Address of the peer, or "" if the peer opened the connection. */
  char address[PEER_ADDRESS_BYTES_MAX];
  struct list pending; /* Requests sent that have no reply yet. */
  struct list unsent;  /* Frames to write once the connection is
                          established. */
  int64_t last_received_ns;
  int64_t last_sent_ns;
  int64_t last_used_ns; /* Time of the last request or reply. */
  unsigned ref_count;
  bool connected;
};

struct pending_request
{
  struct list node;
  uint64_t request_id;
  int64_t deadline_ns;
  peer_request_ended done;
  void *data;
};

struct outgoing_frame
{
  uv_write_t write;
  struct list node; /* Node in peer_conn.unsent until the connection is
                       established. */
  struct peer_conn *conn;
  size_t size;
  uint8_t bytes[];
};

static void
pending_request_end (struct pending_request *pending, enum status status,
                     const Peer__Envelope *reply)
{
  peer_request_ended done = pending->done;
  void *data = pending->data;

  list_remove (&pending->node);
  g_free (pending);
  done (data, status, reply);
}

static void
conn_closed (uv_handle_t *handle)
{
  peer_conn_unref (handle->data);
}

static void
conn_close (struct peer_conn *conn, enum status status)
{
  struct peer_endpoint *endpoint = conn->endpoint;
  struct list unanswered;

  if (endpoint == NULL)
    return;
  conn->endpoint = NULL;
  if (conn->address[0] != '\0')
    g_hash_table_remove (endpoint->outgoing_conns, conn->address);
  list_remove (&conn->node);
  while (!list_empty (&conn->unsent))
    {
      struct outgoing_frame *frame
          = LIST_ENTRY (conn->unsent.next, struct outgoing_frame, node);

      list_remove (&frame->node);
      g_free (frame);
    }
  /* Moves the requests to a separate list, since the callbacks may send new
     requests, which open another connection. */
  list_init (&unanswered);
  while (!list_empty (&conn->pending))
    {
      struct list *node = conn->pending.next;

      list_remove (node);
      list_append (&unanswered, node);
    }
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
  while (!list_empty (&unanswered))
    pending_request_end (
        LIST_ENTRY (unanswered.next, struct pending_request, node), status,
        NULL);
}

static enum status
conn_failure_status (const struct peer_conn *conn)
{
  return conn->connected ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
}

static void
frame_written (uv_write_t *write, int status)
{
  struct outgoing_frame *frame = (struct outgoing_frame *)write;
  struct peer_conn *conn = frame->conn;

  g_free (frame);
  if (status != 0)
    conn_close (conn, STATUS_UNKNOWN);
  peer_conn_unref (conn);
}

static void
conn_write (struct peer_conn *conn, struct outgoing_frame *frame)
{
  uv_buf_t buffer = uv_buf_init ((char *)frame->bytes, (unsigned)frame->size);

  frame->conn = peer_conn_ref (conn);
  conn->endpoint->sent_bytes += frame->size;
  conn->last_sent_ns = clock_now (conn->endpoint->clock);
  if (uv_write (&frame->write, (uv_stream_t *)&conn->tcp, &buffer, 1,
                frame_written)
      != 0)
    {
      g_free (frame);
      conn_close (conn, STATUS_UNKNOWN);
      peer_conn_unref (conn);
    }
}

static void
conn_send (struct peer_conn *conn, Peer__Envelope *envelope)
{
  struct peer_endpoint *endpoint = conn->endpoint;
  struct outgoing_frame *frame;
  size_t size;

  if (endpoint == NULL)
    return;
  envelope->protocol = PEER_PROTOCOL_VERSION;
  envelope->incarnation = endpoint->incarnation;
  if (endpoint->config_revision != NULL)
    envelope->config_revision = *endpoint->config_revision;
  size = peer__envelope__get_packed_size (envelope);
  frame = g_malloc (sizeof *frame + FRAME_HEADER_BYTES + size);
  frame->size = FRAME_HEADER_BYTES + size;
  list_init (&frame->node);
  frame_write_header (frame->bytes, size);
  peer__envelope__pack (envelope, frame->bytes + FRAME_HEADER_BYTES);
  if (conn->connected)
    conn_write (conn, frame);
  else
    list_append (&conn->unsent, &frame->node);
}

static void
conn_reply_to_ping (struct peer_conn *conn, const Peer__Envelope *ping)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Pong pong = PEER__PONG__INIT;

  pong.number = ping->ping->number;
  reply.body_case = PEER__ENVELOPE__BODY_PONG;
  reply.pong = &pong;
  conn_send (conn, &reply);
}

static struct pending_request *
conn_find_pending_request (struct peer_conn *conn, uint64_t request_id)
{
  for (struct list *at = conn->pending.next; at != &conn->pending;
       at = at->next)
    {
      struct pending_request *pending
          = LIST_ENTRY (at, struct pending_request, node);

      if (pending->request_id == request_id)
        return pending;
    }
  return NULL;
}

static void
conn_envelope_received (struct peer_conn *conn, const Peer__Envelope *envelope)
{
  struct peer_endpoint *endpoint = conn->endpoint;
  struct pending_request *pending;

  if (envelope->body_case == PEER__ENVELOPE__BODY_PING)
    {
      conn_reply_to_ping (conn, envelope);
      return;
    }
  if (envelope->body_case == PEER__ENVELOPE__BODY_PONG)
    return;
  if (conn->address[0] == '\0')
    {
      endpoint->handler (endpoint->handler_data, conn, envelope);
      return;
    }
  /* A reply that arrives after its request expired matches no pending
     request and is ignored. */
  pending = conn_find_pending_request (conn, envelope->request_id);
  conn->last_used_ns = clock_now (endpoint->clock);
  if (pending != NULL)
    pending_request_end (pending, STATUS_OK, envelope);
}

static void
conn_read_frames (struct peer_conn *conn)
{
  const uint8_t *body;
  size_t size;
  enum status status;

  while (conn->endpoint != NULL
         && (status = frame_reader_read_frame (&conn->reader, &body, &size))
                != STATUS_NOT_FOUND)
    {
      Peer__Envelope *envelope = NULL;

      if (status == STATUS_OK)
        envelope = peer__envelope__unpack (NULL, size, body);
      if (envelope == NULL || envelope->protocol != PEER_PROTOCOL_VERSION)
        {
          log_event (conn->endpoint->log, EVENT_PEER_GARBLED, "peer=%s",
                     conn->address);
          conn_close (conn, STATUS_UNKNOWN);
        }
      else
        conn_envelope_received (conn, envelope);
      if (envelope != NULL)
        peer__envelope__free_unpacked (envelope, NULL);
    }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct peer_conn *conn = handle->data;

  buffer->base
      = (char *)frame_reader_reserve (&conn->reader, READ_BUFFER_BYTES);
  buffer->len = READ_BUFFER_BYTES;
}

static void
on_read (uv_stream_t *stream, ssize_t byte_count, const uv_buf_t *buffer)
{
  struct peer_conn *conn = stream->data;

  if (byte_count == 0)
    return;
  peer_conn_ref (conn);
  if (byte_count < 0)
    conn_close (conn, STATUS_UNKNOWN);
  else if (conn->endpoint != NULL)
    {
      conn->endpoint->received_bytes += byte_count;
      conn->last_received_ns = clock_now (conn->endpoint->clock);
      frame_reader_commit (&conn->reader, byte_count);
      conn_read_frames (conn);
    }
  peer_conn_unref (conn);
}

static struct peer_conn *
conn_new (struct peer_endpoint *endpoint, const char *address)
{
  struct peer_conn *conn = g_malloc0 (sizeof *conn);

  conn->endpoint = endpoint;
  conn->ref_count = 1;
  g_strlcpy (conn->address, address, sizeof conn->address);
  frame_reader_init (&conn->reader);
  list_init (&conn->node);
  list_init (&conn->pending);
  list_init (&conn->unsent);
  list_append (&endpoint->conns, &conn->node);
  conn->last_received_ns = clock_now (endpoint->clock);
  conn->last_sent_ns = conn->last_received_ns;
  conn->last_used_ns = conn->last_received_ns;
  uv_tcp_init (endpoint->loop, &conn->tcp);
  conn->tcp.data = conn;
  return conn;
}

static void
conn_start_reading (struct peer_conn *conn)
{
  conn->connected = true;
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct peer_conn *conn = connect->data;

  if (conn->endpoint == NULL)
    return;
  if (status != 0)
    {
      conn_close (conn, STATUS_UNAVAILABLE);
      return;
    }
  conn->last_received_ns = clock_now (conn->endpoint->clock);
  conn_start_reading (conn);
  while (conn->endpoint != NULL && !list_empty (&conn->unsent))
    {
      struct outgoing_frame *frame
          = LIST_ENTRY (conn->unsent.next, struct outgoing_frame, node);

      list_remove (&frame->node);
      conn_write (conn, frame);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct peer_endpoint *endpoint = listener->data;
  struct peer_conn *conn;

  if (status != 0)
    return;
  conn = conn_new (endpoint, "");
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0)
    {
      conn_close (conn, STATUS_UNAVAILABLE);
      return;
    }
  conn_start_reading (conn);
}

static struct peer_conn *
endpoint_find_or_open_conn (struct peer_endpoint *endpoint,
                            const char *address)
{
  struct peer_conn *conn
      = g_hash_table_lookup (endpoint->outgoing_conns, address);
  struct sockaddr_in to;

  if (conn != NULL)
    return conn;
  if (address_parse (address, &to) != STATUS_OK)
    return NULL;
  conn = conn_new (endpoint, address);
  g_hash_table_insert (endpoint->outgoing_conns, conn->address, conn);
  conn->connect.data = conn;
  if (uv_tcp_connect (&conn->connect, &conn->tcp, (struct sockaddr *)&to,
                      on_connected)
      != 0)
    {
      conn_close (conn, STATUS_UNAVAILABLE);
      return NULL;
    }
  return conn;
}

static void
conn_expire_requests (struct peer_conn *conn, int64_t now)
{
  struct list *at = conn->pending.next;

  while (conn->endpoint != NULL && at != &conn->pending)
    {
      struct pending_request *pending
          = LIST_ENTRY (at, struct pending_request, node);

      at = at->next;
      if (pending->deadline_ns <= now)
        {
          pending_request_end (pending, STATUS_TIMEOUT, NULL);
          /* The callback may have changed the list. */
          at = conn->pending.next;
        }
    }
}

static void
conn_tick (struct peer_conn *conn, int64_t now)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Ping ping = PEER__PING__INIT;

  if (now - conn->last_received_ns > PEER_SILENCE_TIMEOUT_NS)
    {
      log_event (conn->endpoint->log, EVENT_PEER_SILENT, "peer=%s",
                 conn->address);
      conn_close (conn, conn_failure_status (conn));
      return;
    }
  conn_expire_requests (conn, now);
  if (conn->endpoint != NULL && conn->address[0] != '\0'
      && list_empty (&conn->pending)
      && now - conn->last_used_ns >= PEER_IDLE_TIMEOUT_NS)
    conn_close (conn, STATUS_UNAVAILABLE);
  if (conn->endpoint == NULL || conn->address[0] == '\0' || !conn->connected
      || now - conn->last_sent_ns < PEER_HEARTBEAT_INTERVAL_NS)
    return;
  envelope.body_case = PEER__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  conn_send (conn, &envelope);
}

static void
timer_fired (uv_timer_t *timer)
{
  struct peer_endpoint *endpoint = timer->data;
  int64_t now = clock_now (endpoint->clock);
  GPtrArray *conns = g_ptr_array_new ();

  for (struct list *at = endpoint->conns.next; at != &endpoint->conns;
       at = at->next)
    g_ptr_array_add (conns,
                     peer_conn_ref (LIST_ENTRY (at, struct peer_conn, node)));
  for (unsigned i = 0; i < conns->len; i++)
    {
      struct peer_conn *conn = conns->pdata[i];

      if (conn->endpoint != NULL)
        conn_tick (conn, now);
      peer_conn_unref (conn);
    }
  g_ptr_array_free (conns, TRUE);
}

enum status
peer_endpoint_init (struct peer_endpoint *endpoint, uv_loop_t *loop,
                    const struct clock *clock, struct log *log,
                    const char *address, uint64_t incarnation,
                    const uint64_t *config_revision,
                    peer_request_received handler, void *data,
                    struct error *error)
{
  struct sockaddr_in bind_address;
  int rc;

  memset (endpoint, 0, sizeof *endpoint);
  endpoint->loop = loop;
  endpoint->clock = clock;
  endpoint->log = log;
  endpoint->incarnation = incarnation;
  endpoint->config_revision = config_revision;
  endpoint->handler = handler;
  endpoint->handler_data = data;
  list_init (&endpoint->conns);
  if (address_parse (address, &bind_address) != STATUS_OK)
    return error_set (error, STATUS_INVALID,
                      "invalid address: %s (expected IP:PORT)", address);
  uv_tcp_init (loop, &endpoint->listener);
  endpoint->listener.data = endpoint;
  rc = uv_tcp_bind (&endpoint->listener, (struct sockaddr *)&bind_address, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&endpoint->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      uv_close ((uv_handle_t *)&endpoint->listener, NULL);
      return error_set (error, STATUS_UNAVAILABLE,
                        "cannot listen for peers at %s: %s", address,
                        uv_strerror (rc));
    }
  endpoint->outgoing_conns = g_hash_table_new (g_str_hash, g_str_equal);
  uv_timer_init (loop, &endpoint->timer);
  endpoint->timer.data = endpoint;
  uv_timer_start (&endpoint->timer, timer_fired, TIMER_INTERVAL_MS,
                  TIMER_INTERVAL_MS);
  return STATUS_OK;
}

void
peer_endpoint_finish (struct peer_endpoint *endpoint)
{
  endpoint->finished = true;
  uv_close ((uv_handle_t *)&endpoint->listener, NULL);
  uv_close ((uv_handle_t *)&endpoint->timer, NULL);
  while (!list_empty (&endpoint->conns))
    conn_close (LIST_ENTRY (endpoint->conns.next, struct peer_conn, node),
                STATUS_CANCELLED);
  g_hash_table_destroy (endpoint->outgoing_conns);
  endpoint->outgoing_conns = NULL;
}

unsigned
peer_endpoint_port (const struct peer_endpoint *endpoint)
{
  struct sockaddr_in name = { 0 };
  int size = sizeof name;

  uv_tcp_getsockname (&endpoint->listener, (struct sockaddr *)&name, &size);
  return ntohs (name.sin_port);
}

/* A request that ends with STATUS_UNAVAILABLE in the next loop iteration. */
struct failed_request
{
  uv_timer_t timer;
  peer_request_ended done;
  void *data;
};

static void
failed_request_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
failed_request_timer_fired (uv_timer_t *timer)
{
  struct failed_request *failed = (struct failed_request *)timer;

  uv_close ((uv_handle_t *)timer, failed_request_closed);
  failed->done (failed->data, STATUS_UNAVAILABLE, NULL);
}

static void
request_fail_later (struct peer_endpoint *endpoint, peer_request_ended done,
                    void *data)
{
  struct failed_request *failed = g_malloc0 (sizeof *failed);

  failed->done = done;
  failed->data = data;
  uv_timer_init (endpoint->loop, &failed->timer);
  uv_timer_start (&failed->timer, failed_request_timer_fired, 0, 0);
}

void
peer_endpoint_request (struct peer_endpoint *endpoint, const char *address,
                       Peer__Envelope *request, int64_t timeout_ns,
                       peer_request_ended done, void *data)
{
  struct peer_conn *conn
      = endpoint->finished ? NULL
                           : endpoint_find_or_open_conn (endpoint, address);
  struct pending_request *pending;

  if (conn == NULL)
    {
      request_fail_later (endpoint, done, data);
      return;
    }
  pending = g_malloc0 (sizeof *pending);
  pending->request_id = ++endpoint->last_request_id;
  pending->deadline_ns = clock_now (endpoint->clock) + timeout_ns;
  pending->done = done;
  pending->data = data;
  list_append (&conn->pending, &pending->node);
  conn->last_used_ns = clock_now (endpoint->clock);
  request->request_id = pending->request_id;
  conn_send (conn, request);
}

void
peer_conn_reply (struct peer_conn *conn, uint64_t request_id,
                 Peer__Envelope *reply)
{
  reply->request_id = request_id;
  conn_send (conn, reply);
}

struct peer_conn *
peer_conn_ref (struct peer_conn *conn)
{
  conn->ref_count++;
  return conn;
}

void
peer_conn_unref (struct peer_conn *conn)
{
  assert (conn->ref_count > 0);
  if (--conn->ref_count > 0)
    return;
  frame_reader_finish (&conn->reader);
  g_free (conn);
}
