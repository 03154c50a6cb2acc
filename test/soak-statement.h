#ifndef SOAK_STATEMENT_H
#define SOAK_STATEMENT_H

#include "soak.h"

/** @file
 * What a stand-in of an engine states of itself to each host: that it leaves,
 * or that it wants nothing for a while. Requests that come all the same are
 * violations.
 */

enum
{
  SOAK_STATEMENT_HOSTS_MAX = 8
};

struct soak_statement
{
  struct soak *soak;
  bool leaving;
  int64_t refuses_until_ns; /**< It turns requests away before this time. */
  unsigned pause_ms;        /**< The pause that it asks for then. */
  struct soak_told
  {
    int64_t leaving_ns; /**< Time at which it was told; 0: not yet. */
    int64_t pause_from_ns;
    int64_t pause_until_ns;
    unsigned in_pause; /**< Requests that came in the pause. */
  } told[SOAK_STATEMENT_HOSTS_MAX];
};

/** It has started anew and states nothing. */
void soak_statement_init (struct soak_statement *statement, struct soak *soak);

/** It turns requests away for a while from now on. */
void soak_statement_pause (struct soak_statement *statement);

/** REQUEST has come to the engine ID.
 * @return whether it is turned away */
bool soak_statement_arrived (struct soak_statement *statement, const char *id,
                             const struct soak_request *request);

/** Return the header lines of a response to REQUEST, which tells its host. */
char *soak_statement_lines (struct soak_statement *statement,
                            const struct soak_request *request, bool refused);

#endif
