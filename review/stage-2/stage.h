#ifndef STAGE_H
#define STAGE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** @file
 * Stand-ins for one small deployment on loopback: the platform's store,
 * engines and clients, and the project's own entry processes. Each connection
 * has a thread of its own.
 */

enum
{
  STAGE_HEAD_MAX = 16384,
  STAGE_CONNS_MAX = 256,
  STAGE_NAME_MAX = 64
};

/** A request or a response. */
struct stage_message
{
  char head[STAGE_HEAD_MAX]; /**< First line and fields, with the last CRLF. */
  GString *body;
  bool complete; /**< It ended as its framing says. */
};

/** Return the value of the field NAME, or "" if there is none. The caller
 * frees it. */
char *stage_field (const struct stage_message *message, const char *name);

/** Return the status of a response; 0 if no whole head came. */
int stage_status (const struct stage_message *message);

struct stage_message *stage_message_new (void);
void stage_message_free (struct stage_message *message);

/** Read a message from FD until its end.
 * @return false if no whole head came */
bool stage_read (int fd, struct stage_message *message);
void stage_write (int fd, const char *text, size_t size);
void stage_answer (int fd, int status, const char *fields, const char *body);

/** A listener at a port of the loopback address. */
struct stage_server
{
  uint16_t port;
  int listener; /**< -1 while it does not listen. */
  pthread_t thread;
  pthread_mutex_t lock;
  int conns[STAGE_CONNS_MAX]; /**< Open connections; -1: free. */
  /** Answer REQUEST on FD.
   * @return whether the connection stays open */
  bool (*handle) (void *data, int fd, const struct stage_message *request);
  void *data;
};

uint16_t stage_port_find (void);
void stage_server_init (struct stage_server *server, uint16_t port,
                        bool (*handle) (void *data, int fd,
                                        const struct stage_message *request),
                        void *data);
void stage_server_start (struct stage_server *server);
/** Close the listener and all connections. */
void stage_server_stop (struct stage_server *server);

/** Send TEXT to PORT and read the response, for TIMEOUT_MS at most. */
struct stage_message *stage_call (uint16_t port, const char *text,
                                  int timeout_ms);

/** Begin the record at PATH. */
void stage_record_open (const char *path);
/** Write a line with the time to the record. */
void stage_note (const char *format, ...) G_GNUC_PRINTF (1, 2);
double stage_seconds (void);
void stage_sleep (double seconds);
/** Whether the disruption is to be left out (TROUBLE=0). */
bool stage_is_calm (void);

/* The platform's store. */

/** One way to the store, for one host. */
struct stage_door
{
  struct stage_server server;
  bool refuses; /**< It answers 503. */
  bool relayed; /**< It names the relays of engines instead of these. */
};

void stage_store_start (void);
void stage_store_put (const char *key, const char *value);
/** Put COUNT keys in one transaction. */
void stage_store_put_all (const char *const *keys, const char *const *values,
                          unsigned count);
void stage_store_remove (const char *key);
void stage_door_start (struct stage_door *door);

/* Engines. */

struct stage_engine
{
  struct stage_server server;
  char id[STAGE_NAME_MAX];
  char service[STAGE_NAME_MAX];
  char zone[STAGE_NAME_MAX];
  char models[256]; /**< JSON array of its models. */
  unsigned starts;
  unsigned writes;
  bool up;
  /** Run REQUEST, which is for this engine.
   * @return whether the connection stays open */
  bool (*run) (struct stage_engine *engine, int fd,
               const struct stage_message *request);
  /** Answer an order or a report; NULL: an engine without models. */
  bool (*control) (struct stage_engine *engine, int fd,
                   const struct stage_message *request);
};

void stage_engine_start (struct stage_engine *engine);
/** Write the registry entry of ENGINE. */
void stage_engine_beat (struct stage_engine *engine);
/** Close all connections; the entry stays until the next start, or is removed
 * as after three heartbeats of silence. */
void stage_engine_crash (struct stage_engine *engine);
/** Answer REQUEST with status 200 and the engine's mark. */
void stage_engine_succeed (const struct stage_engine *engine, int fd,
                           const struct stage_message *request,
                           const char *fields, const char *body);

/* Relays, through which one host reaches the engines. */

/** Start a relay to the engine at PORT. */
void stage_relay_start (uint16_t port);
/** Return the port of the relay to PORT; PORT if there is none. */
uint16_t stage_relay_port (uint16_t port);
/** End all connections through the relays, and reset new ones. */
void stage_relays_cut (void);

/* Entry processes. */

struct stage_host
{
  struct stage_door door;
  char name[STAGE_NAME_MAX];
  char zone[STAGE_NAME_MAX];
  uint16_t front;
  uint16_t ports[4]; /**< Directory, ready, peer, metrics. */
  pid_t pid;
};

void stage_host_start (struct stage_host *host, const char *name,
                       const char *zone);
/** The same, but the host reaches engines through their relays. */
void stage_host_start_relayed (struct stage_host *host, const char *name,
                               const char *zone);
/** Return the resident memory of HOST in bytes. */
size_t stage_host_memory (const struct stage_host *host);
/** Wait until HOST says that it is ready.
 * @return false after 15 s */
bool stage_host_wait (const struct stage_host *host);
bool stage_host_is_running (const struct stage_host *host);
void stage_host_kill (struct stage_host *host);

/** The beginning of a configuration: version and limits. */
#define STAGE_CONFIG_LIMITS                                                   \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"            \
  "\"headerTimeoutMs\":2000,\"idleTimeoutMs\":15000}"

#endif
