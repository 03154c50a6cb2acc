#ifndef RUNTIMES_H
#define RUNTIMES_H

#include <glib.h>
#include <stdint.h>

/** @file
 * How long the requests of each route run, by their size, from those that were
 * completed, so that a host that stops knows which ones it can still complete.
 */

enum
{
  /** Maximum number of routes that are known; more start the table anew. */
  RUNTIMES_ROUTES_MAX = 1024
};

struct runtimes
{
  GHashTable *by_route; /**< Maps names of routes to struct runtime. */
};

void runtimes_init (struct runtimes *runtimes);
void runtimes_finish (struct runtimes *runtimes);

/** Record a request of ROUTE that was completed SPAN_NS after it was sent.
 * @param tokens maximum number of tokens that it could generate; 0 for a plain
 * service */
void runtimes_record (struct runtimes *runtimes, const char *route,
                      unsigned tokens, int64_t span_ns);

/** Return the time within which most requests of ROUTE of this size are
 * completed, in ns. Where none of this size was completed, that of larger ones
 * counts, else that of smaller ones, in proportion.
 * @param unknown_ns the result if none was completed yet */
int64_t runtimes_expect (const struct runtimes *runtimes, const char *route,
                         unsigned tokens, int64_t unknown_ns);

#endif
