#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include "httpclient.h"
#include "load-mix.h"
#include "rng.h"

/** @file
 * One request of a caller: sent, checked, and sent again where that can help.
 *
 * Outcomes: "complete"; the gateway's word in X-Outcome; "error" (another
 * HTTP status); "broken" (cut, or no end mark); "wrong" (the text is not the
 * whole answer to the prompt); "unreachable"; "late" (given up).
 */

/** What all calls share. */
struct load_run
{
  uv_loop_t *loop;
  struct httpclient client;
  struct rng rng;
  GPtrArray *addresses; /**< "IP:PORT" of the entries in use */
  int64_t retries;      /**< for each request */
  int64_t grace_ms;     /**< past the deadline, until a caller gives up */
  int64_t open;         /**< requests under way */
  int64_t pieces;
  int64_t sequence;
  int64_t seed;
};

/** Send PROMPT with KEY as a request of KIND; its result goes into KIND. */
void load_call_start (struct load_run *run, struct load_kind *kind,
                      const char *key, const GString *prompt);

#endif
