#ifndef SERVERS_H
#define SERVERS_H

#include "clock.h"
#include "list.h"
#include "serverconn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * The backend servers that this process knows, each with what it last said of
 * itself and what this process saw of it. Entries outlive their removal while
 * a request holds a reference.
 */

enum
{
  SERVER_NAME_MAX = 64,    /**< bytes, with the final NUL */
  SERVER_ADDRESS_MAX = 64, /**< bytes, with the final NUL */
  SERVER_MODELS_MAX = 8    /**< Models of one server; more are ignored. */
};

struct server_model
{
  char name[SERVER_NAME_MAX];
  uint64_t version; /**< of its weights */
};

/** What a server says of itself. */
struct server_entry
{
  char id[SERVER_NAME_MAX];
  char service[SERVER_NAME_MAX];
  char address[SERVER_ADDRESS_MAX];
  char data_centre[SERVER_NAME_MAX];
  unsigned slots;
  bool leaving;        /**< takes no new work */
  uint64_t started_ms; /**< Unix time of its start; 0: not said */
  uint64_t beat;       /**< rises with each entry of one start */
  struct server_model models[SERVER_MODELS_MAX];
  unsigned model_count;
};

/** A cached part that a server is believed to hold. */
struct server_part
{
  struct list node; /**< least recently used first */
  uint64_t id;
  unsigned tokens;
  int64_t used_ns;
};

struct server
{
  unsigned references;
  struct server_entry entry;
  uint32_t hash;       /**< of its id; the same on every host */
  uint64_t revision;   /**< of the entry in the KV service */
  bool removed;        /**< no longer known */
  bool in_data_centre; /**< stands in the data centre of this process */
  bool other_cell;     /**< dealt to another cell of hosts */
  unsigned hosts;      /**< that send work to it, this one included */

  unsigned in_flight;        /**< requests of this process */
  uint64_t in_flight_tokens; /**< memory that they will take */
  uint64_t prefill_tokens;   /**< sent, and their first event not seen */

  /** The same of all other hosts, as they last told. */
  uint64_t others_prefill;
  uint64_t others_memory;
  unsigned others_running;

  bool has_load;
  unsigned running; /**< as the server last reported, of all callers */
  unsigned waiting;
  int64_t load_ns; /**< when that was */

  unsigned misses;       /**< connections refused or lost in a row */
  int64_t down_since_ns; /**< 0: it is used */
  int64_t probe_ns;      /**< next probe of a server that is down */
  struct serverconn *probe;
  double fault_share;    /**< moving average of failed answers, [0, 1] */
  int64_t busy_until_ns; /**< It takes no requests until then. */

  GHashTable *parts; /**< id to struct server_part */
  struct list parts_by_use;
  uint64_t parts_tokens;
  uint64_t parts_tokens_max;
};

struct servers_ops
{
  /** A change of belief, for the log. */
  void (*changed) (void *data, const struct server *server, const char *what);
};

struct servers
{
  uv_loop_t *loop;
  const struct clock *clock;
  char data_centre[SERVER_NAME_MAX];
  int64_t connect_ns;
  GHashTable *by_id;      /**< id to struct server */
  GHashTable *by_service; /**< name to GPtrArray of struct server */
  const struct servers_ops *ops;
  void *data;
};

void servers_init (struct servers *servers, uv_loop_t *loop,
                   const struct clock *clock, const char *data_centre,
                   int64_t connect_ns, const struct servers_ops *ops,
                   void *data);
void servers_finish (struct servers *servers);

/** A server wrote ENTRY at REVISION; one older than what is known of the same
 * start is ignored. */
void servers_update (struct servers *servers, const struct server_entry *entry,
                     uint64_t revision);

/** The entry of the server ID is gone or can't be read: no new work. */
void servers_remove (struct servers *servers, const char *id,
                     const char *reason);

struct server *servers_find (const struct servers *servers, const char *id);

/** The servers of SERVICE; NULL if there are none. */
const GPtrArray *servers_of (const struct servers *servers,
                             const char *service);

struct server *server_ref (struct server *server);
void server_unref (struct server *server);

/** Whether it is there: known, not leaving, and reachable. */
bool server_is_there (const struct server *server);

/** Whether new work may go to it now. */
bool server_is_usable (const struct server *server, int64_t now_ns);

/** It takes no requests until UNTIL_NS at least. */
void server_set_busy (struct server *server, int64_t until_ns);

/** The version of MODEL's weights that the server says it has; 0: unknown. */
uint64_t server_version (const struct server *server, const char *model);
void server_set_version (struct server *server, const char *model,
                         uint64_t version);

/** A connection could not be opened, or ended without an answer. */
void server_missed (struct servers *servers, struct server *server);
/** An answer came; FAILED if it said that the server could not do it. */
void server_answered (struct servers *servers, struct server *server,
                      bool failed);

/** Probe servers that are down when it is time. */
void servers_tick (struct servers *servers);

/** Tokens of the first parts of PARTS that the server is believed to hold. */
struct call_part;
uint64_t server_cached_tokens (const struct server *server,
                               const struct call_part *parts, unsigned count);
/** The server has read PARTS.
 * @param hosts that send it work: what others send displaces as much as what
 * this one does, so that only a part of its memory is counted on */
void server_cache_note (struct server *server, const struct call_part *parts,
                        unsigned count, int64_t now_ns);
/** Its cache was emptied. */
void server_cache_clear (struct server *server);

#endif
