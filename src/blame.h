#ifndef BLAME_H
#define BLAME_H

#include "blameevidence.h"

/** @file
 * Finds the part that requests have in common if it crashes each server that
 * runs them, and blocks the requests that have it. Requests that share other
 * parts with them stay served.
 *
 * A part is blamed once more servers have crashed on it than runs with it were
 * completed lately, by BLAME_CRASHES. All runs that a server had are lost with
 * it, so a crash counts only against the part that explains the most crashes:
 * once that part is blocked, the crash no longer counts against the parts of
 * the other runs. Among parts that explain the same crashes the most specific
 * one is blamed.
 *
 * A block ends with the first run that is completed after it. When its time is
 * over, one request is let through to try; if its server crashes, the block
 * goes on for twice the time.
 */

enum
{
  /** Number of crashes, beyond the completed runs, at which a part is
   * blamed. */
  BLAME_CRASHES = 3,
  BLAME_BLOCKS_MAX = 256 /**< Maximum number of blocked parts. */
};

/** How this host knows that a part crashes servers. */
enum blame_source
{
  BLAME_FOUND, /**< By its own judgement. */
  BLAME_TOLD,  /**< From another host. */
  BLAME_STORED /**< From the KV service. */
};

struct blame_block
{
  struct blame_part part;
  enum blame_source source;
  unsigned crashes; /**< Crashes that the part explains. */
  int64_t since_ns;
  int64_t until_ns; /**< Time from which a request may be tried. */
  int64_t hold_ns;  /**< Length of the present block. */
  bool stored;      /**< Whether the KV service has a key of the block. */
};

struct blame_ops
{
  /** BLOCK is new, or its time was extended after a request was tried. */
  void (*blocked) (void *data, const struct blame_block *block);
  /** The block of PART has ended. */
  void (*released) (void *data, const struct blame_part *part,
                    const char *reason);
  /** The crash of SERVER is explained by a blocked part, so that it says
   * nothing about the other requests that the server ran. */
  void (*explained) (void *data, const char *server);
  /** Whether this host has been told which runs other hosts completed. */
  bool (*is_informed) (void *data);
  /** Whether this host may try a request with PART, LATE_NS after the end of
   * its block. */
  bool (*may_try) (void *data, const struct blame_part *part, int64_t late_ns);
};

struct blame
{
  const struct clock *clock;
  const struct blame_ops *ops;
  void *data;
  struct blameevidence evidence;
  GHashTable *blocks; /**< Maps parts to struct blame_block. */
  bool changed;       /**< Whether crashes were not judged yet. */
  bool unclear; /**< Whether several parts explained the crashes as well when
                   they were judged last. */
  int64_t judged_ns;
};

void blame_init (struct blame *blame, const struct clock *clock,
                 const struct blame_ops *ops, void *data);
void blame_finish (struct blame *blame);

const char *blame_source_name (enum blame_source source);

/** Add RUN, which was lost AGE_NS ago.
 * @return whether it was not known yet */
bool blame_add_lost (struct blame *blame, const struct blame_run *run,
                     int64_t age_ns);

/** Count a run with PARTS that was completed here. */
void blame_add_completed (struct blame *blame, const struct blame_part *parts,
                          unsigned count);

/** Record that HOST has completed COMPLETED runs with PART, the last one
 * AGE_NS ago. */
void blame_add_report (struct blame *blame, uint64_t host,
                       const struct blame_part *part, double completed,
                       int64_t age_ns);

/** Block a part that another host has blamed.
 * @param other only its part, source, crashes and length are used
 * @param left_ns time until a request may be tried; negative once it may
 * @param age_ns time since the block began
 * @return false if runs with it were completed since, or more were completed
 * than crashed, so that it is not blocked */
bool blame_add_block (struct blame *blame, const struct blame_block *other,
                      int64_t left_ns, int64_t age_ns);

/** Return the block of one of PARTS, or NULL if there is none or a request may
 * be tried; then TRIES is set, and no other request may be tried until the
 * outcome is known or could be. */
const struct blame_block *blame_check (struct blame *blame,
                                       const struct blame_part *parts,
                                       unsigned count, bool *tries);

/** Return the block of one of PARTS, also if a request may be tried, or
 * NULL. */
const struct blame_block *blame_find_block (const struct blame *blame,
                                            const struct blame_part *parts,
                                            unsigned count);

/** Judge new crashes and drop what is old. */
void blame_tick (struct blame *blame);

#endif
