#include "peer.h"
#include "address.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

enum
{
  READ_SIZE = 64 * 1024, /* bytes */
  TIMER_MS = 100,
  LISTEN_BACKLOG = 1024
};

struct peerlink
{
  struct list node;
  struct peerhub *hub; /* NULL once closed */
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct frame_reader reader;
  char address[PEER_NAME_MAX]; /* "" for an incoming connection */
  struct list pending;         /* requests that wait for an answer */
  struct list unsent;          /* requests written before the connection */
  int64_t last_heard_ns;
  int64_t last_sent_ns;
  int64_t last_asked_ns; /* of the last request, or its answer */
  unsigned refs;
  bool connected;
};

struct pending
{
  struct list node;
  uint64_t request_id;
  int64_t deadline_ns;
  peer_done done;
  void *data;
};

struct outbound
{
  uv_write_t write;
  struct list node; /* on the link's unsent list until it is connected */
  struct peerlink *link;
  size_t size;
  uint8_t bytes[];
};

static void
pending_end (struct pending *pending, enum status status,
             const Peer__Envelope *reply)
{
  peer_done done = pending->done;
  void *data = pending->data;

  list_remove (&pending->node);
  g_free (pending);
  done (data, status, reply);
}

static void
link_closed (uv_handle_t *handle)
{
  peerlink_unref (handle->data);
}

static void
link_close (struct peerlink *link, enum status status)
{
  struct peerhub *hub = link->hub;
  struct list orphans;

  if (hub == NULL)
    return;
  link->hub = NULL;
  if (link->address[0] != '\0')
    g_hash_table_remove (hub->outgoing, link->address);
  list_remove (&link->node);
  while (!list_empty (&link->unsent))
    {
      struct outbound *out
          = LIST_ENTRY (link->unsent.next, struct outbound, node);

      list_remove (&out->node);
      g_free (out);
    }
  /* The callbacks may ask anew, on another link: take the list over. */
  list_init (&orphans);
  while (!list_empty (&link->pending))
    {
      struct list *node = link->pending.next;

      list_remove (node);
      list_append (&orphans, node);
    }
  uv_close ((uv_handle_t *)&link->tcp, link_closed);
  while (!list_empty (&orphans))
    pending_end (LIST_ENTRY (orphans.next, struct pending, node), status,
                 NULL);
}

static enum status
link_loss_status (const struct peerlink *link)
{
  return link->connected ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
}

static void
write_done (uv_write_t *write, int status)
{
  struct outbound *out = (struct outbound *)write;
  struct peerlink *link = out->link;

  g_free (out);
  if (status != 0)
    link_close (link, STATUS_UNKNOWN);
  peerlink_unref (link);
}

static void
link_write (struct peerlink *link, struct outbound *out)
{
  uv_buf_t buffer = uv_buf_init ((char *)out->bytes, (unsigned)out->size);

  out->link = peerlink_ref (link);
  link->hub->bytes_out += out->size;
  link->last_sent_ns = clock_now (link->hub->clock);
  if (uv_write (&out->write, (uv_stream_t *)&link->tcp, &buffer, 1, write_done)
      != 0)
    {
      g_free (out);
      link_close (link, STATUS_UNKNOWN);
      peerlink_unref (link);
    }
}

static void
link_send (struct peerlink *link, Peer__Envelope *envelope)
{
  struct peerhub *hub = link->hub;
  struct outbound *out;
  size_t size;

  if (hub == NULL)
    return;
  envelope->protocol = PEER_PROTOCOL;
  envelope->incarnation = hub->incarnation;
  if (hub->config_revision != NULL)
    envelope->config_revision = *hub->config_revision;
  size = peer__envelope__get_packed_size (envelope);
  out = g_malloc (sizeof *out + FRAME_HEAD_SIZE + size);
  out->size = FRAME_HEAD_SIZE + size;
  list_init (&out->node);
  frame_head (out->bytes, size);
  peer__envelope__pack (envelope, out->bytes + FRAME_HEAD_SIZE);
  if (link->connected)
    link_write (link, out);
  else
    list_append (&link->unsent, &out->node);
}

static void
link_answer_ping (struct peerlink *link, const Peer__Envelope *ping)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Pong pong = PEER__PONG__INIT;

  pong.number = ping->ping->number;
  reply.body_case = PEER__ENVELOPE__BODY_PONG;
  reply.pong = &pong;
  link_send (link, &reply);
}

static struct pending *
link_find_pending (struct peerlink *link, uint64_t request_id)
{
  for (struct list *at = link->pending.next; at != &link->pending;
       at = at->next)
    {
      struct pending *pending = LIST_ENTRY (at, struct pending, node);

      if (pending->request_id == request_id)
        return pending;
    }
  return NULL;
}

static void
link_dispatch (struct peerlink *link, const Peer__Envelope *envelope)
{
  struct peerhub *hub = link->hub;
  struct pending *pending;

  if (envelope->body_case == PEER__ENVELOPE__BODY_PING)
    {
      link_answer_ping (link, envelope);
      return;
    }
  if (envelope->body_case == PEER__ENVELOPE__BODY_PONG)
    return;
  if (link->address[0] == '\0')
    {
      hub->handler (hub->handler_data, link, envelope);
      return;
    }
  /* A late answer to a request that was given up finds nobody. */
  pending = link_find_pending (link, envelope->request_id);
  link->last_asked_ns = clock_now (hub->clock);
  if (pending != NULL)
    pending_end (pending, STATUS_OK, envelope);
}

static void
link_read_frames (struct peerlink *link)
{
  const uint8_t *body;
  size_t size;
  enum status status;

  while (link->hub != NULL
         && (status = frame_reader_next (&link->reader, &body, &size))
                != STATUS_NOT_FOUND)
    {
      Peer__Envelope *envelope = NULL;

      if (status == STATUS_OK)
        envelope = peer__envelope__unpack (NULL, size, body);
      if (envelope == NULL || envelope->protocol != PEER_PROTOCOL)
        {
          log_event (link->hub->log, EVENT_PEER_GARBLED, "peer=%s",
                     link->address);
          link_close (link, STATUS_UNKNOWN);
        }
      else
        link_dispatch (link, envelope);
      if (envelope != NULL)
        peer__envelope__free_unpacked (envelope, NULL);
    }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct peerlink *link = handle->data;

  buffer->base = (char *)frame_reader_reserve (&link->reader, READ_SIZE);
  buffer->len = READ_SIZE;
}

static void
on_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buffer)
{
  struct peerlink *link = stream->data;

  if (got == 0)
    return;
  peerlink_ref (link);
  if (got < 0)
    link_close (link, STATUS_UNKNOWN);
  else if (link->hub != NULL)
    {
      link->hub->bytes_in += got;
      link->last_heard_ns = clock_now (link->hub->clock);
      frame_reader_commit (&link->reader, got);
      link_read_frames (link);
    }
  peerlink_unref (link);
}

static struct peerlink *
link_new (struct peerhub *hub, const char *address)
{
  struct peerlink *link = g_malloc0 (sizeof *link);

  link->hub = hub;
  link->refs = 1;
  g_strlcpy (link->address, address, sizeof link->address);
  frame_reader_init (&link->reader);
  list_init (&link->node);
  list_init (&link->pending);
  list_init (&link->unsent);
  list_append (&hub->links, &link->node);
  link->last_heard_ns = clock_now (hub->clock);
  link->last_sent_ns = link->last_heard_ns;
  link->last_asked_ns = link->last_heard_ns;
  uv_tcp_init (hub->loop, &link->tcp);
  link->tcp.data = link;
  return link;
}

static void
link_start (struct peerlink *link)
{
  link->connected = true;
  uv_tcp_nodelay (&link->tcp, 1);
  uv_read_start ((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct peerlink *link = connect->data;

  if (link->hub == NULL)
    return;
  if (status != 0)
    {
      link_close (link, STATUS_UNAVAILABLE);
      return;
    }
  link->last_heard_ns = clock_now (link->hub->clock);
  link_start (link);
  while (link->hub != NULL && !list_empty (&link->unsent))
    {
      struct outbound *out
          = LIST_ENTRY (link->unsent.next, struct outbound, node);

      list_remove (&out->node);
      link_write (link, out);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct peerhub *hub = listener->data;
  struct peerlink *link;

  if (status != 0)
    return;
  link = link_new (hub, "");
  if (uv_accept (listener, (uv_stream_t *)&link->tcp) != 0)
    {
      link_close (link, STATUS_UNAVAILABLE);
      return;
    }
  link_start (link);
}

static struct peerlink *
hub_link (struct peerhub *hub, const char *address)
{
  struct peerlink *link = g_hash_table_lookup (hub->outgoing, address);
  struct sockaddr_in to;

  if (link != NULL)
    return link;
  if (address_parse (address, &to) != STATUS_OK)
    return NULL;
  link = link_new (hub, address);
  g_hash_table_insert (hub->outgoing, link->address, link);
  link->connect.data = link;
  if (uv_tcp_connect (&link->connect, &link->tcp, (struct sockaddr *)&to,
                      on_connected)
      != 0)
    {
      link_close (link, STATUS_UNAVAILABLE);
      return NULL;
    }
  return link;
}

static void
link_expire (struct peerlink *link, int64_t now)
{
  struct list *at = link->pending.next;

  while (link->hub != NULL && at != &link->pending)
    {
      struct pending *pending = LIST_ENTRY (at, struct pending, node);

      at = at->next;
      if (pending->deadline_ns <= now)
        {
          pending_end (pending, STATUS_TIMEOUT, NULL);
          at = link->pending.next; /* the callback may have changed it */
        }
    }
}

static void
link_tick (struct peerlink *link, int64_t now)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Ping ping = PEER__PING__INIT;

  if (now - link->last_heard_ns > PEER_SILENT_NS)
    {
      log_event (link->hub->log, EVENT_PEER_SILENT, "peer=%s", link->address);
      link_close (link, link_loss_status (link));
      return;
    }
  link_expire (link, now);
  if (link->hub != NULL && link->address[0] != '\0'
      && list_empty (&link->pending)
      && now - link->last_asked_ns >= PEER_IDLE_NS)
    link_close (link, STATUS_UNAVAILABLE);
  if (link->hub == NULL || link->address[0] == '\0' || !link->connected
      || now - link->last_sent_ns < PEER_HEARTBEAT_NS)
    return;
  envelope.body_case = PEER__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  link_send (link, &envelope);
}

static void
timer_fired (uv_timer_t *timer)
{
  struct peerhub *hub = timer->data;
  int64_t now = clock_now (hub->clock);
  GPtrArray *links = g_ptr_array_new ();

  for (struct list *at = hub->links.next; at != &hub->links; at = at->next)
    g_ptr_array_add (links,
                     peerlink_ref (LIST_ENTRY (at, struct peerlink, node)));
  for (unsigned i = 0; i < links->len; i++)
    {
      struct peerlink *link = links->pdata[i];

      if (link->hub != NULL)
        link_tick (link, now);
      peerlink_unref (link);
    }
  g_ptr_array_free (links, TRUE);
}

enum status
peerhub_init (struct peerhub *hub, uv_loop_t *loop, const struct clock *clock,
              struct log *log, const char *address, uint64_t incarnation,
              const uint64_t *config_revision, peer_handler handler,
              void *data, struct error *error)
{
  struct sockaddr_in bind_address;
  int rc;

  memset (hub, 0, sizeof *hub);
  hub->loop = loop;
  hub->clock = clock;
  hub->log = log;
  hub->incarnation = incarnation;
  hub->config_revision = config_revision;
  hub->handler = handler;
  hub->handler_data = data;
  list_init (&hub->links);
  if (address_parse (address, &bind_address) != STATUS_OK)
    return error_set (error, STATUS_INVALID, "not an address: %s", address);
  uv_tcp_init (loop, &hub->listener);
  hub->listener.data = hub;
  rc = uv_tcp_bind (&hub->listener, (struct sockaddr *)&bind_address, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&hub->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      uv_close ((uv_handle_t *)&hub->listener, NULL);
      return error_set (error, STATUS_UNAVAILABLE, "cannot listen at %s: %s",
                        address, uv_strerror (rc));
    }
  hub->outgoing = g_hash_table_new (g_str_hash, g_str_equal);
  uv_timer_init (loop, &hub->timer);
  hub->timer.data = hub;
  uv_timer_start (&hub->timer, timer_fired, TIMER_MS, TIMER_MS);
  return STATUS_OK;
}

void
peerhub_finish (struct peerhub *hub)
{
  hub->finished = true;
  uv_close ((uv_handle_t *)&hub->listener, NULL);
  uv_close ((uv_handle_t *)&hub->timer, NULL);
  while (!list_empty (&hub->links))
    link_close (LIST_ENTRY (hub->links.next, struct peerlink, node),
                STATUS_CANCELLED);
  g_hash_table_destroy (hub->outgoing);
  hub->outgoing = NULL;
}

unsigned
peerhub_port (const struct peerhub *hub)
{
  struct sockaddr_in name = { 0 };
  int size = sizeof name;

  uv_tcp_getsockname (&hub->listener, (struct sockaddr *)&name, &size);
  return ntohs (name.sin_port);
}

struct refusal
{
  uv_timer_t timer;
  peer_done done;
  void *data;
};

static void
refusal_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
refusal_fired (uv_timer_t *timer)
{
  struct refusal *refusal = (struct refusal *)timer;

  uv_close ((uv_handle_t *)timer, refusal_closed);
  refusal->done (refusal->data, STATUS_UNAVAILABLE, NULL);
}

static void
refuse_later (struct peerhub *hub, peer_done done, void *data)
{
  struct refusal *refusal = g_malloc0 (sizeof *refusal);

  refusal->done = done;
  refusal->data = data;
  uv_timer_init (hub->loop, &refusal->timer);
  uv_timer_start (&refusal->timer, refusal_fired, 0, 0);
}

void
peerhub_request (struct peerhub *hub, const char *address,
                 Peer__Envelope *request, int64_t timeout_ns, peer_done done,
                 void *data)
{
  struct peerlink *link = hub->finished ? NULL : hub_link (hub, address);
  struct pending *pending;

  if (link == NULL)
    {
      refuse_later (hub, done, data);
      return;
    }
  pending = g_malloc0 (sizeof *pending);
  pending->request_id = ++hub->next_request;
  pending->deadline_ns = clock_now (hub->clock) + timeout_ns;
  pending->done = done;
  pending->data = data;
  list_append (&link->pending, &pending->node);
  link->last_asked_ns = clock_now (hub->clock);
  request->request_id = pending->request_id;
  link_send (link, request);
}

void
peerlink_reply (struct peerlink *link, uint64_t request_id,
                Peer__Envelope *reply)
{
  reply->request_id = request_id;
  link_send (link, reply);
}

struct peerlink *
peerlink_ref (struct peerlink *link)
{
  link->refs++;
  return link;
}

void
peerlink_unref (struct peerlink *link)
{
  assert (link->refs > 0);
  if (--link->refs > 0)
    return;
  frame_reader_finish (&link->reader);
  g_free (link);
}
