#ifndef FAKE_CALLERS_H
#define FAKE_CALLERS_H

#include "fake-hosts.h"

/** @file
 * Callers that send requests to the hosts of fake-hosts at a steady rate,
 * each on a connection of its own and without waiting for the others.
 */

enum
{
  FAKE_CALLERS_MAX = 2000
};

struct fake_caller
{
  int fd; /**< -1 if the request has ended. */
  unsigned host;
  int64_t began_ns;
  int64_t ended_ns; /**< 0 if the request has not ended. */
  int status;       /**< 0 if there was no whole response. */
  GString *answer;
};

struct fake_callers
{
  struct fake_caller list[FAKE_CALLERS_MAX];
  unsigned count;
  int64_t next_ns;
  bool once_only; /**< Whether all requests may run once only. */
};

/** What became of the requests of one host that began in some time. */
struct fake_callers_counts
{
  unsigned sent;
  unsigned served;
  unsigned refused;       /**< Answered with 503. */
  int64_t refused_max_ns; /**< Longest time until such an answer. */
};

extern struct fake_callers callers;

/** Send PER_S requests a second for MS, to all hosts that are up in turn. */
void fake_callers_run (int64_t ms, unsigned per_s);
/** Wait for the end of all requests, then free them. */
void fake_callers_finish (void);
/** Wait for the end of all requests. */
void fake_callers_wait (void);

/** Count the requests to HOST that began from FROM_NS on and before TO_NS. */
struct fake_callers_counts fake_callers_count (unsigned host, int64_t from_ns,
                                               int64_t to_ns);

#endif
