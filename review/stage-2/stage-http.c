#include "stage.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct connection
{
  struct stage_server *server;
  int fd;
  int slot;
};

static FILE *record;
static double record_began;

static double
clock_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

void
stage_record_open (const char *path)
{
  record = fopen (path, "w");
  if (record == NULL)
    exit (2);
  setvbuf (record, NULL, _IOLBF, 0);
  record_began = clock_seconds ();
}

double
stage_seconds (void)
{
  return clock_seconds () - record_began;
}

void
stage_note (const char *format, ...)
{
  va_list arguments;
  char text[1024];

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  fprintf (record, "%8.3f s  %s\n", stage_seconds (), text);
}

void
stage_sleep (double seconds)
{
  if (seconds > 0)
    g_usleep ((gulong)(seconds * 1e6));
}

bool
stage_is_calm (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble != NULL && strcmp (trouble, "0") == 0;
}

struct stage_message *
stage_message_new (void)
{
  struct stage_message *message = g_new0 (struct stage_message, 1);

  message->body = g_string_new (NULL);
  return message;
}

void
stage_message_free (struct stage_message *message)
{
  g_string_free (message->body, TRUE);
  g_free (message);
}

char *
stage_field (const struct stage_message *message, const char *name)
{
  char **lines = g_strsplit (message->head, "\r\n", -1);
  size_t length = strlen (name);
  char *value = NULL;

  for (int i = 1; lines[i] != NULL && value == NULL; i++)
    if (g_ascii_strncasecmp (lines[i], name, length) == 0
        && lines[i][length] == ':')
      value = g_strdup (g_strstrip (lines[i] + length + 1));
  g_strfreev (lines);
  return value != NULL ? value : g_strdup ("");
}

int
stage_status (const struct stage_message *message)
{
  int status = 0;

  sscanf (message->head, "HTTP/1.%*d %d", &status);
  return status;
}

/* Read one byte.
 * @return false at the end of the connection */
static bool
byte_read (int fd, char *byte)
{
  return recv (fd, byte, 1, 0) == 1;
}

static bool
head_read (int fd, struct stage_message *message)
{
  size_t size = 0;

  while (size + 1 < sizeof message->head
         && byte_read (fd, &message->head[size]))
    {
      message->head[++size] = '\0';
      if (size >= 4 && memcmp (message->head + size - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

static bool
bytes_read (int fd, GString *body, size_t size)
{
  char bytes[4096];

  while (size > 0)
    {
      ssize_t got = recv (fd, bytes, MIN (size, sizeof bytes), 0);

      if (got <= 0)
        return false;
      g_string_append_len (body, bytes, got);
      size -= (size_t)got;
    }
  return true;
}

static bool
chunks_read (int fd, GString *body)
{
  char line[64];
  char end[2];

  while (true)
    {
      size_t length = 0;
      size_t size;

      while (length + 1 < sizeof line && byte_read (fd, &line[length])
             && line[length] != '\n')
        length++;
      line[length] = '\0';
      if (length == 0)
        return false;
      size = strtoul (line, NULL, 16);
      if (!bytes_read (fd, body, size) || !byte_read (fd, &end[0])
          || !byte_read (fd, &end[1]))
        return false;
      if (size == 0)
        return true;
    }
}

bool
stage_read (int fd, struct stage_message *message)
{
  char *length;
  char *coding;

  message->head[0] = '\0';
  message->complete = false;
  g_string_truncate (message->body, 0);
  if (!head_read (fd, message))
    return false;
  length = stage_field (message, "Content-Length");
  coding = stage_field (message, "Transfer-Encoding");
  if (coding[0] != '\0')
    message->complete = chunks_read (fd, message->body);
  else
    message->complete
        = bytes_read (fd, message->body, strtoul (length, NULL, 10));
  g_free (length);
  g_free (coding);
  return true;
}

void
stage_write (int fd, const char *text, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, text, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      size -= (size_t)sent;
    }
}

void
stage_answer (int fd, int status, const char *fields, const char *body)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n%s", status,
      status < 300 ? "OK" : "No", fields, strlen (body), body);

  stage_write (fd, text, strlen (text));
  g_free (text);
}

static void
address_set (struct sockaddr_in *address, uint16_t port)
{
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address->sin_port = htons (port);
}

uint16_t
stage_port_find (void)
{
  enum
  {
    FIRST = 20000, /* Below the ports that the system gives to connections. */
    COUNT = 12000
  };
  static unsigned next; /* No port is given twice. */
  struct sockaddr_in address;

  if (next == 0)
    next = g_random_int_range (0, COUNT);
  for (int tries = 0; tries < COUNT; tries++)
    {
      uint16_t port = (uint16_t)(FIRST + next++ % COUNT);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      bool is_free;

      address_set (&address, port);
      is_free = fd >= 0
                && bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  exit (2);
}

static int
slot_take (struct stage_server *server, int fd)
{
  int slot = -1;

  pthread_mutex_lock (&server->lock);
  for (int i = 0; i < STAGE_CONNS_MAX && slot < 0; i++)
    if (server->conns[i] < 0)
      slot = i;
  if (slot >= 0)
    server->conns[slot] = fd;
  pthread_mutex_unlock (&server->lock);
  return slot;
}

static void *
connection_serve (void *data)
{
  struct connection *connection = data;
  struct stage_server *server = connection->server;
  struct stage_message *request = stage_message_new ();

  while (stage_read (connection->fd, request) && request->complete
         && server->handle (server->data, connection->fd, request))
    ;
  pthread_mutex_lock (&server->lock);
  server->conns[connection->slot] = -1;
  pthread_mutex_unlock (&server->lock);
  close (connection->fd);
  stage_message_free (request);
  g_free (connection);
  return NULL;
}

static void *
listener_serve (void *data)
{
  struct stage_server *server = data;
  int listener = server->listener;
  const int on = 1;

  while (true)
    {
      int fd = accept (listener, NULL, NULL);
      int slot = fd >= 0 ? slot_take (server, fd) : -1;
      struct connection *connection;
      pthread_t thread;

      if (fd < 0)
        return NULL;
      if (slot < 0)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = g_new0 (struct connection, 1);
      connection->server = server;
      connection->fd = fd;
      connection->slot = slot;
      if (pthread_create (&thread, NULL, connection_serve, connection) != 0)
        exit (2);
      pthread_detach (thread);
    }
}

void
stage_server_init (struct stage_server *server, uint16_t port,
                   bool (*handle) (void *data, int fd,
                                   const struct stage_message *request),
                   void *data)
{
  memset (server, 0, sizeof *server);
  server->port = port;
  server->handle = handle;
  server->data = data;
  server->listener = -1;
  pthread_mutex_init (&server->lock, NULL);
  for (int i = 0; i < STAGE_CONNS_MAX; i++)
    server->conns[i] = -1;
}

void
stage_server_start (struct stage_server *server)
{
  struct sockaddr_in address;
  const int on = 1;

  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address_set (&address, server->port);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, 128) != 0
      || pthread_create (&server->thread, NULL, listener_serve, server) != 0)
    {
      stage_note ("port %u cannot be listened at: %s", server->port,
                  strerror (errno));
      exit (2);
    }
}

void
stage_server_stop (struct stage_server *server)
{
  if (server->listener < 0)
    return;
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
  server->listener = -1;
  pthread_mutex_lock (&server->lock);
  for (int i = 0; i < STAGE_CONNS_MAX; i++)
    if (server->conns[i] >= 0)
      shutdown (server->conns[i], SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
}

struct stage_message *
stage_call (uint16_t port, const char *text, int timeout_ms)
{
  struct stage_message *response = stage_message_new ();
  struct timeval timeout
      = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address_set (&address, port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    {
      stage_write (fd, text, strlen (text));
      stage_read (fd, response);
    }
  close (fd);
  return response;
}
