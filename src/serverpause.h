#ifndef SERVERPAUSE_H
#define SERVERPAUSE_H

#include <stdbool.h>
#include <stdint.h>

/** @file
 * The pause that a backend server asks this host for when it turns a request
 * away: until its end this host sends it nothing, not even a probe.
 *
 * Times are those of the monotonic clock, which stands still while the machine
 * is suspended: a pause may then last longer, and never ends too soon.
 */

enum
{
  /** Maximum length of a pause. A server that asks for more is sent one
   * request after that time, and the next one only after the same time again
   * or after an answer to the first. */
  SERVERPAUSE_MAX_MS = 60000
};

struct serverpause
{
  int64_t until_ns; /**< End of the pause; 0 if there was none. */
  bool bounded;     /**< Whether the server asked for a longer one. */
  bool trying;      /**< Whether a request was sent after a bounded pause and
                       was not answered yet. */
};

/** Record that the server asked for a pause of SPAN_NS at NOW_NS.
 * @return whether the pause begins, and not only lasts longer */
bool serverpause_record (struct serverpause *pause, int64_t span_ns,
                         int64_t now_ns);

/** Whether a request may be sent to the server now. */
bool serverpause_allows (const struct serverpause *pause, int64_t now_ns);

/** Count that a request is sent to the server. */
void serverpause_take (struct serverpause *pause, int64_t now_ns);

/** Record that the server answered a request: what it asked for before a
 * request that was sent after a bounded pause is no longer in force. */
void serverpause_answered (struct serverpause *pause);

#endif
