#include "stage.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  RELAYS_MAX = 16,
  CONNS_MAX = 4096,
  BACKLOG = 256
};

struct relay
{
  uint16_t from;
  uint16_t to;
  int listener;
};

/* One direction of a connection. */
struct way
{
  int from;
  int to;
};

static struct relay relays[RELAYS_MAX];
static unsigned relay_count;
static int conns[CONNS_MAX]; /* Descriptors of connections to relays. */
static unsigned conn_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool is_cut;

static struct sockaddr_in
address_of (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (port);
  return address;
}

static void *
way_run (void *data)
{
  struct way *way = data;
  char bytes[65536];
  ssize_t size;

  while ((size = recv (way->from, bytes, sizeof bytes, 0)) > 0)
    stage_write (way->to, bytes, (size_t)size);
  shutdown (way->to, SHUT_RDWR);
  shutdown (way->from, SHUT_RDWR);
  g_free (way);
  return NULL;
}

static void
way_start (int from, int to)
{
  struct way *way = g_new (struct way, 1);
  pthread_t thread;

  way->from = from;
  way->to = to;
  if (pthread_create (&thread, NULL, way_run, way) != 0)
    exit (2);
  pthread_detach (thread);
}

/* Close FD so that its peer gets a reset. */
static void
conn_reset (int fd)
{
  const struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Keep FD for a later cut.
 * @return false if the relays are cut */
static bool
conn_keep (int fd)
{
  bool kept;

  pthread_mutex_lock (&lock);
  kept = !is_cut && conn_count < CONNS_MAX;
  if (kept)
    conns[conn_count++] = fd;
  pthread_mutex_unlock (&lock);
  return kept;
}

static void *
relay_run (void *data)
{
  const struct relay *relay = data;
  struct sockaddr_in address = address_of (relay->to);

  while (true)
    {
      int fd = accept (relay->listener, NULL, NULL);
      int engine;

      if (fd < 0)
        return NULL;
      if (!conn_keep (fd))
        {
          conn_reset (fd);
          continue;
        }
      engine = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (engine, (struct sockaddr *)&address, sizeof address) != 0)
        {
          close (engine);
          shutdown (fd, SHUT_RDWR);
          continue;
        }
      way_start (fd, engine);
      way_start (engine, fd);
    }
}

void
stage_relay_start (uint16_t port)
{
  struct relay *relay = &relays[relay_count];
  struct sockaddr_in address;
  pthread_t thread;

  if (relay_count == RELAYS_MAX)
    exit (2);
  relay->from = stage_port_find ();
  relay->to = port;
  relay->listener = socket (AF_INET, SOCK_STREAM, 0);
  address = address_of (relay->from);
  if (bind (relay->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (relay->listener, BACKLOG) != 0
      || pthread_create (&thread, NULL, relay_run, relay) != 0)
    exit (2);
  pthread_detach (thread);
  relay_count++;
}

uint16_t
stage_relay_port (uint16_t port)
{
  for (unsigned i = 0; i < relay_count; i++)
    if (relays[i].to == port)
      return relays[i].from;
  return port;
}

void
stage_relays_cut (void)
{
  pthread_mutex_lock (&lock);
  is_cut = true;
  for (unsigned i = 0; i < conn_count; i++)
    shutdown (conns[i], SHUT_RDWR);
  pthread_mutex_unlock (&lock);
}
