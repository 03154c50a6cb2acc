#ifndef BLAMEEVIDENCE_H
#define BLAMEEVIDENCE_H

#include "call.h"
#include "clock.h"
#include "list.h"
#include "servers.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * What is known about the parts of requests and the servers that crashed: for
 * each crash the runs that were lost with the server, and for each part how
 * many runs with it were completed lately.
 */

enum
{
  /** The shared blocks of a prompt and the whole request. */
  BLAME_PARTS_MAX = CALL_BLOCKS_MAX,
  BLAMEEVIDENCE_RUNS_MAX = 512,  /**< Maximum number of lost runs. */
  BLAMEEVIDENCE_PARTS_MAX = 8192 /**< Maximum number of parts with completed
                                    runs; the least recently used are dropped.
                                  */
};

/** How likely it is that a lost run made its server crash. Servers crash when
 * they begin to respond. */
enum blame_suspicion
{
  BLAME_NONE,     /**< It had been responding for a while. */
  BLAME_POSSIBLE, /**< It had no response yet, or the first output. */
  BLAME_LIKELY    /**< It had a response without any output. */
};

/** A part that requests have in common. */
struct blame_part
{
  uint64_t scope; /**< Hash of the model; 0 for a whole request. */
  uint64_t id;    /**< Id of the prompt block, or the fingerprint. */
};

/** A run whose connection was lost before its response was complete. */
struct blame_run
{
  char server[SERVER_NAME_MAX];
  uint64_t server_started_ms; /**< Tells apart the starts of a server. */
  /** The parts of the request, the most general first. */
  struct blame_part parts[BLAME_PARTS_MAX];
  unsigned part_count;
  enum blame_suspicion suspicion;
};

struct blameevidence_run
{
  struct list node;
  int64_t lost_ns;
  enum blame_suspicion suspicion;
  unsigned part_count;
  struct blame_part parts[];
};

/** The loss of a server with the runs that it had. */
struct blameevidence_crash
{
  struct list node;
  char *key; /**< Name and start of the server. */
  char server[SERVER_NAME_MAX];
  int64_t lost_ns; /**< Time of the first lost run. */
  unsigned run_count;
  struct list runs;
  bool explained; /**< Whether a blocked part was found in a run. */
};

/** The completed runs with one part. */
struct blameevidence_part
{
  struct list node;
  struct blame_part part;
  /** Number of runs that this host completed, which halves every
   * BLAMEEVIDENCE_HALF_LIFE_S. */
  double completed;
  int64_t completed_ns; /**< Time of `completed`. */
  int64_t last_ns;      /**< Last completed run here or at another host; 0 if
                           there was none. */
  GHashTable *reports;  /**< Maps hosts to their last reports; NULL if there is
                           none. */
  double told;          /**< Value of `completed` last told to other hosts. */
  int64_t told_ns;      /**< 0 if it has not been told. */
};

struct blameevidence
{
  const struct clock *clock;
  GHashTable *crashes; /**< Maps keys to struct blameevidence_crash. */
  struct list crashes_by_age;
  unsigned run_count;
  GHashTable *parts; /**< Maps parts to struct blameevidence_part. */
  struct list parts_by_use;
};

guint blame_part_hash (gconstpointer part);
gboolean blame_part_equal (gconstpointer a, gconstpointer b);

/** Return the index of PART among PARTS, or COUNT. */
unsigned blame_part_index (const struct blame_part *parts, unsigned count,
                           const struct blame_part *part);

void blameevidence_init (struct blameevidence *evidence,
                         const struct clock *clock);
void blameevidence_finish (struct blameevidence *evidence);

/** Add RUN, which was lost AGE_NS ago. A run that is known already is ignored.
 * @return the crash that it belongs to if RUN is new, or NULL */
struct blameevidence_crash *
blameevidence_add_lost (struct blameevidence *evidence,
                        const struct blame_run *run, int64_t age_ns);

/** Count a run with PART that was completed here. */
void blameevidence_add_completed (struct blameevidence *evidence,
                                  const struct blame_part *part);

/** Record that HOST has completed COMPLETED runs with PART, the last one
 * AGE_NS ago. */
void blameevidence_add_report (struct blameevidence *evidence, uint64_t host,
                               const struct blame_part *part, double completed,
                               int64_t age_ns);

/** Return the record of PART, or NULL. */
struct blameevidence_part *
blameevidence_find (const struct blameevidence *evidence,
                    const struct blame_part *part);

/** Return the number of runs with PART that this host, or all hosts, completed
 * lately. */
double blameevidence_own_completed (const struct blameevidence *evidence,
                                    const struct blame_part *part);
double blameevidence_completed (const struct blameevidence *evidence,
                                const struct blame_part *part);

/** Return the time of the last completed run with PART; 0 if none is known. */
int64_t blameevidence_last_completed (const struct blameevidence *evidence,
                                      const struct blame_part *part);

/** Drop old crashes. */
void blameevidence_tick (struct blameevidence *evidence);

#endif
