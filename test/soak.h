#ifndef SOAK_H
#define SOAK_H

#include "clock.h"
#include "rng.h"

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

/** @file
 * What the parts of the soak share: the loop, the luck of its seed, what was
 * sent, and what has been broken.
 */

#define SOAK_IP "127.0.0.1"
#define SOAK_ROUTES_HOST "soak.example"
#define SOAK_KEY "soak-key"
#define SOAK_ORGANISATION "crew"

enum
{
  SOAK_SOFTWARE_VERSIONS = 3, /**< that engines may have */
  SOAK_REFUSED_MAX = 32 /**< Earlier refusals that engines may write again. */
};

enum soak_kind
{
  SOAK_SAFE,   /**< may run more than once */
  SOAK_ONCE,   /**< may run once */
  SOAK_STREAM, /**< events; may go on at another engine */
  SOAK_KINDS
};

/** One request of a caller and what became of it. */
struct soak_request
{
  char id[24];
  enum soak_kind kind;
  unsigned host; /**< Index of the host that it was sent to. */
  int64_t sent_ns;
  bool sent_to_stopping; /**< Its host had been told to stop. */
  unsigned runs;         /**< begun by engines */
  bool not_run; /**< An answer said that it has not run and never will. */
  bool served;
  /** Of a stream: id of the request that brought its first event. */
  char began_id[24];
  /** Of a stream: number of events that earlier requests brought. */
  unsigned earlier_events;
  unsigned events;   /**< Of a broken stream: number of its events so far. */
  unsigned software; /**< Version that the events name; 0 before the first. */
  bool is_mixed;     /**< It holds events of two software versions. */
  bool is_poison;   /**< Whether its prompt has the block that crashes engines.
                     */
  unsigned working; /**< runs that engines are at work on */
  int64_t overlap_ns; /**< Time from which two engines were. */
  bool met_foreign;   /**< An engine wrote an earlier refusal to it. */
  bool lacks_answer;  /**< Some engine did so instead of answering. */
};

/** Engines that write earlier refusals, see soak-foreign.h. */
struct soak_foreign
{
  bool is_played;
  bool has_ended; /**< Engines do so no more. */
  /** Header lines of the last refusals, in a ring. */
  char refused[SOAK_REFUSED_MAX][96];
  unsigned refused_count;
  unsigned met;     /**< Requests that met one and got a response. */
  unsigned lacking; /**< Those of them whose own answer was left out. */
  unsigned failed;  /**< Those of the others that got 502 or 504. */
};

/** Requests with a block that crashes engines. */
struct soak_poison
{
  bool is_sent;      /**< Whether callers send such requests. */
  unsigned crashes;  /**< engines that crashed */
  int64_t blamed_ns; /**< Time from which few more may reach an engine; 0: not
                        enough crashes yet. */
  unsigned late;     /**< requests that reached an engine after that */
};

/** How streams are served and broken off, and what callers received. */
struct soak_streams
{
  unsigned events;      /**< of each stream */
  unsigned event_ms;    /**< between two events */
  unsigned each;        /**< Streams of each caller, which sends nothing else;
                           0: requests of all kinds, without end. */
  unsigned plain_each;  /**< Other requests that each sends before. */
  unsigned cut_after;   /**< Events after which an engine cuts the first run of
                           a request; 0: none. */
  unsigned leave_after; /**< Events after which a caller breaks its connection
                           and comes back at the next host; 0: none. */
  unsigned cut;         /**< runs that engines cut for this */
  unsigned mixed;       /**< responses with events of two software versions */
  unsigned wrong; /**< responses with events that are not the next ones */
};

/** Long runs beside planned stops: what became of the requests that a host got
 * after it was told to stop. */
struct soak_stops
{
  bool is_played;
  unsigned served;
  unsigned refused; /**< "Not run", and it had not. */
  unsigned failed;  /**< 502 or 504 */
};

/** Engines that send bytes without end, see soak-endless.h. */
struct soak_endless
{
  bool is_played;
  bool has_ended;
  bool is_broken;
  unsigned begun;
  double sent_bytes;
  unsigned most_mb; /**< that a host held */
};

/** Engines with broken answers, see soak-broken.h. */
struct soak_broken
{
  bool is_played;
  bool has_ended;
  unsigned written;
  unsigned continuations; /**< to requests to continue a stream */
  unsigned relayed;       /**< that reached callers */
};

/** Engines that pause in a run, see soak-pauses.h. */
struct soak_pauses
{
  bool is_played;
  bool has_ended; /**< Engines do so no more. */
  unsigned paused;
  unsigned refused;  /**< by engines without room */
  unsigned overlaps; /**< requests that two engines worked on */
};

struct soak
{
  /** Another build of the daemon, which every other start of a host runs;
   * NULL if there is none. */
  const char *other_program;
  uv_loop_t loop;
  struct clock clock;
  struct rng rng;
  char *name; /**< in the result */
  int64_t start_ns;
  struct soak_streams streams;
  GPtrArray *hosts;     /**< of struct soak_host; all of them */
  GHashTable *requests; /**< id to struct soak_request */
  unsigned violations;
  struct soak_poison poison;
  struct soak_foreign foreign;
  struct soak_stops stops;
  struct soak_endless endless;
  struct soak_broken broken;
  struct soak_pauses pauses;
  unsigned deadline_ms;      /**< of requests */
  unsigned route_timeout_ms; /**< of routes */
  bool cold_engines; /**< Engines are cold after a start but the first. */
  bool planned_only; /**< Faults are planned stops and reloads alone. */
};

/** SOAK lives as long as the process. */
void soak_init (struct soak *soak, int seed, const char *mode);

/** Run the loop until all handles are closed. Signals end the hosts too.
 * @return exit status */
int soak_run (struct soak *soak);

/** A promise was broken; the text says how. */
void soak_violation (struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** A line on what the soak does, with the time since its start. */
void soak_say (struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

struct soak_request *soak_request_find (struct soak *soak, const char *id);

/** A request with the block that crashes engines has reached one. */
void soak_poison_arrived (struct soak *soak);

/** Such a request has crashed an engine. */
void soak_poison_crashed (struct soak *soak);

/** A whole number in [LOW, HIGH]. */
unsigned soak_draw (struct soak *soak, unsigned low, unsigned high);

/** Prefix of the paths of KIND. */
const char *soak_kind_prefix (enum soak_kind kind);

#endif
