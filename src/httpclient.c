#include "httpclient.h"
#include "tcpkeepalive.h"
#include "address.h"
#include "tcpreset.h"

#include <assert.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

enum
{
  POOL_CAPACITY = 256, /* Maximum number of idle connections per address. */
  POOL_IDLE_MS = 4000,
  /* Maximum size of a response's head; of a body, no more is kept here. */
  HEAD_BYTES_MAX = 64 * 1024,
  /* Calls whose heads are checked each time the loop has read, and the time in
   * which those of all calls are. */
  HEADS_PER_CHECK = 32,
  HEADS_CHECK_INTERVAL_MS = 10
};

struct httpclient_call
{
  struct list node;
  struct httpclient *client;
  h2o_http1client_t *connection;
  const struct httpclient_ops *ops;
  void *data;
  char *request_bytes; /* Head and body of the request. */
  size_t request_size;
  h2o_iovec_t request_vector;
  uv_timer_t *refusal_timer; /* Timer whose callback reports that the
                                address is invalid. */
  bool is_head_request;
  bool may_have_sent;
  bool chunked; /* Whether the response body is sent in chunks. */
};

static void
call_free (struct httpclient_call *call)
{
  list_remove (&call->node);
  call->client->call_count--;
  g_free (call->request_bytes);
  g_free (call);
}

static void
call_end (struct httpclient_call *call, enum status status,
          const char *message)
{
  struct httpclient_result result = { status, message };
  const struct httpclient_ops *ops = call->ops;
  void *data = call->data;

  call_free (call);
  ops->ended (data, &result);
}

/* Whether the body is incomplete although h2o reports its end. h2o takes the
 * end of the connection, whatever its cause, for the end of a body that has no
 * length or whose last chunk is missing. It has read no bytes then. */
static bool
body_was_cut (const struct httpclient_call *call, h2o_socket_t *socket)
{
  return socket->bytes_read == 0
         && (call->chunked || tcpreset_was_reset (h2o_socket_get_fd (socket)));
}

static int
on_body (h2o_http1client_t *connection, const char *errstr)
{
  struct httpclient_call *call = connection->data;
  h2o_buffer_t **input = &connection->sock->input;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      call_end (call, STATUS_UNKNOWN, errstr);
      return -1;
    }
  if ((*input)->size > 0)
    {
      /* The callback may cancel the call, but the connection must not be
       * closed before this function returns. While call->connection is NULL,
       * httpclient_cancel only clears call->ops. */
      call->connection = NULL;
      call->ops->body_received (call->data, (*input)->bytes, (*input)->size);
      h2o_buffer_consume (input, (*input)->size);
      if (call->ops == NULL)
        {
          call_free (call);
          return -1;
        }
      call->connection = connection;
    }
  if (errstr == h2o_http1client_error_is_eos)
    {
      if (body_was_cut (call, connection->sock))
        call_end (call, STATUS_UNKNOWN, "the response is incomplete");
      else
        call_end (call, STATUS_OK, NULL);
    }
  return 0;
}

static void
report_head (struct httpclient_call *call, int status, h2o_header_t *headers,
             size_t count)
{
  struct httpclient_header header_copies[HTTPCLIENT_HEADERS_MAX];
  struct httpclient_response_head head = { status, header_copies, 0 };

  for (size_t i = 0; i < count && i < HTTPCLIENT_HEADERS_MAX; i++)
    {
      header_copies[i].name = headers[i].name->base;
      header_copies[i].name_size = headers[i].name->len;
      header_copies[i].value = headers[i].value.base;
      header_copies[i].value_size = headers[i].value.len;
      head.header_count++;
    }
  call->ops->head_received (call->data, &head);
}

static bool
is_chunked (const h2o_header_t *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf)
      return true;
  return false;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *connection, const char *errstr, int minor_version,
         int status, h2o_iovec_t msg, h2o_header_t *headers,
         size_t header_count, int rlen)
{
  struct httpclient_call *call = connection->data;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      call_end (call, STATUS_UNKNOWN, errstr);
      return NULL;
    }
  /* A response has started, so the whole request was sent. */
  g_free (call->request_bytes);
  call->request_bytes = NULL;
  call->chunked = is_chunked (headers, header_count);
  call->connection = NULL;
  report_head (call, status, headers, header_count);
  if (call->ops == NULL)
    {
      call_free (call);
      return NULL;
    }
  call->connection = connection;
  if (errstr == h2o_http1client_error_is_eos)
    {
      call_end (call, STATUS_OK, NULL);
      return NULL;
    }
  return on_body;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *connection, const char *errstr,
            h2o_iovec_t **vectors, size_t *vector_count, int *method_is_head)
{
  struct httpclient_call *call = connection->data;
  int enabled = 1;

  if (errstr != NULL)
    {
      call_end (call, STATUS_UNAVAILABLE, errstr);
      return NULL;
    }
  setsockopt (h2o_socket_get_fd (connection->sock), IPPROTO_TCP, TCP_NODELAY,
              &enabled, sizeof enabled);
  tcpkeepalive_enable (h2o_socket_get_fd (connection->sock));
  call->may_have_sent = true;
  call->request_vector
      = h2o_iovec_init (call->request_bytes, call->request_size);
  *vectors = &call->request_vector;
  *vector_count = 1;
  *method_is_head = call->is_head_request;
  return on_head;
}

static void
pool_free (void *data)
{
  h2o_socketpool_t *pool = data;

  h2o_socketpool_dispose (pool);
  g_free (pool);
}

static h2o_socketpool_t *
pool_get (struct httpclient *client, const char *address_text,
          const struct sockaddr_in *address)
{
  h2o_socketpool_t *pool
      = g_hash_table_lookup (client->pools_by_address, address_text);
  struct sockaddr_in address_copy = *address;

  if (pool != NULL)
    return pool;
  pool = g_malloc0 (sizeof *pool);
  h2o_socketpool_init_by_address (pool, (struct sockaddr *)&address_copy,
                                  sizeof address_copy, 0, POOL_CAPACITY);
  h2o_socketpool_set_timeout (pool, client->loop, POOL_IDLE_MS);
  g_hash_table_insert (client->pools_by_address, g_strdup (address_text),
                       pool);
  return pool;
}

static void
call_format_request (struct httpclient_call *call,
                     const struct httpclient_request *request)
{
  const char *lines
      = request->header_lines != NULL ? request->header_lines : "";
  char *head = g_strdup_printf ("%s %s HTTP/1.1\r\nhost: %s\r\n"
                                "connection: keep-alive\r\n%s"
                                "content-length: %zu\r\n\r\n",
                                request->method, request->path,
                                request->address, lines, request->body_size);
  size_t head_size = strlen (head);

  call->request_size = head_size + request->body_size;
  call->request_bytes = g_realloc (head, call->request_size + 1);
  if (request->body_size > 0)
    memcpy (call->request_bytes + head_size, request->body,
            request->body_size);
}

static void
refusal_timer_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
refusal_timer_fired (uv_timer_t *timer)
{
  struct httpclient_call *call = timer->data;

  uv_close ((uv_handle_t *)timer, refusal_timer_closed);
  call_end (call, STATUS_UNAVAILABLE, "invalid address (expected IP:PORT)");
}

static void
refuse_later (struct httpclient_call *call)
{
  call->refusal_timer = g_malloc0 (sizeof *call->refusal_timer);
  uv_timer_init (call->client->loop, call->refusal_timer);
  call->refusal_timer->data = call;
  uv_timer_start (call->refusal_timer, refusal_timer_fired, 0, 0);
}

static void
ignore_messages (h2o_multithread_receiver_t *receiver,
                 h2o_linklist_t *messages)
{
}

static bool
head_is_too_long (const struct httpclient_call *call)
{
  return call->connection != NULL && call->connection->sock != NULL
         && call->connection->sock->input->size > HEAD_BYTES_MAX;
}

/* Move the first call in flight behind the others and end it if its head is
 * too long. The callback of its end may end other calls. */
static void
first_head_check (struct httpclient *client)
{
  struct list *node = client->calls.next;
  struct httpclient_call *call
      = LIST_ENTRY (node, struct httpclient_call, node);

  list_remove (node);
  list_append (&client->calls, node);
  if (!head_is_too_long (call))
    return;
  h2o_http1client_cancel (call->connection);
  call_end (call, STATUS_UNKNOWN, "the response head is too long");
}

/* h2o has no bound on the head of a response, so heads are checked when the
 * loop has read: nothing else wakes it up once the bytes stop. */
static void
heads_check (uv_check_t *check)
{
  struct httpclient *client = check->data;
  uint64_t now_ms = uv_now (client->loop);
  unsigned count = MIN (client->call_count, HEADS_PER_CHECK);

  if (now_ms >= client->next_check_ms)
    {
      client->next_check_ms = now_ms + HEADS_CHECK_INTERVAL_MS;
      count = client->call_count;
    }
  for (unsigned i = 0; i < count && !list_empty (&client->calls); i++)
    first_head_check (client);
}

void
httpclient_init (struct httpclient *client, uv_loop_t *loop,
                 uint64_t io_timeout_ms)
{
  memset (client, 0, sizeof *client);
  client->loop = loop;
  client->queue = h2o_multithread_create_queue (loop);
  h2o_multithread_register_receiver (client->queue, &client->receiver,
                                     ignore_messages);
  h2o_timeout_init (loop, &client->io_timeout, io_timeout_ms);
  client->context.loop = loop;
  client->context.getaddr_receiver = &client->receiver;
  client->context.io_timeout = &client->io_timeout;
  client->pools_by_address
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_free);
  list_init (&client->calls);
  uv_check_init (loop, &client->check);
  client->check.data = client;
  uv_check_start (&client->check, heads_check);
  uv_unref ((uv_handle_t *)&client->check);
}

void
httpclient_finish (struct httpclient *client)
{
  while (!list_empty (&client->calls))
    httpclient_cancel (
        LIST_ENTRY (client->calls.next, struct httpclient_call, node));
  uv_close ((uv_handle_t *)&client->check, NULL);
  g_hash_table_destroy (client->pools_by_address);
  h2o_timeout_dispose (client->loop, &client->io_timeout);
  h2o_multithread_unregister_receiver (client->queue, &client->receiver);
  h2o_multithread_destroy_queue (client->queue);
}

struct httpclient_call *
httpclient_call (struct httpclient *client,
                 const struct httpclient_request *request,
                 const struct httpclient_ops *ops, void *data)
{
  struct httpclient_call *call = g_malloc0 (sizeof *call);
  struct sockaddr_in address;
  const char *colon = strrchr (request->address, ':');

  call->client = client;
  call->ops = ops;
  call->data = data;
  call->is_head_request = strcmp (request->method, "HEAD") == 0;
  list_init (&call->node);
  list_append (&client->calls, &call->node);
  client->call_count++;
  call_format_request (call, request);
  if (address_parse (request->address, &address) != STATUS_OK)
    refuse_later (call);
  else if (request->new_connection)
    h2o_http1client_connect (
        &call->connection, call, &client->context,
        h2o_iovec_init (request->address, colon - request->address),
        ntohs (address.sin_port), 0, on_connect);
  else
    h2o_http1client_connect_with_pool (
        &call->connection, call, &client->context,
        pool_get (client, request->address, &address), on_connect);
  return call;
}

void
httpclient_cancel (struct httpclient_call *call)
{
  if (call->refusal_timer != NULL)
    {
      uv_close ((uv_handle_t *)call->refusal_timer, refusal_timer_closed);
      call_free (call);
      return;
    }
  if (call->connection == NULL)
    {
      /* A callback is running; on_head or on_body frees CALL after it. */
      call->ops = NULL;
      return;
    }
  h2o_http1client_cancel (call->connection);
  call_free (call);
}

bool
httpclient_may_have_sent (const struct httpclient_call *call)
{
  return call->may_have_sent;
}

const char *
httpclient_header_value (const struct httpclient_response_head *head,
                         const char *name, char *buffer, size_t size)
{
  size_t length = strlen (name);

  for (size_t i = 0; i < head->header_count; i++)
    {
      const struct httpclient_header *header = &head->headers[i];

      if (header->name_size != length
          || g_ascii_strncasecmp (header->name, name, length) != 0)
        continue;
      snprintf (buffer, size, "%.*s", (int)header->value_size, header->value);
      return buffer;
    }
  return NULL;
}
