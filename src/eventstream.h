#ifndef EVENTSTREAM_H
#define EVENTSTREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Splits a text/event-stream into events and parses their ids, so that only
 * complete events are forwarded and an interrupted stream can be resumed after
 * the last one.
 */

struct eventstream
{
  GString *pending; /**< appended bytes that are not consumed yet */
  uint64_t last_id; /**< id of the last complete event that has one */
  /** Id of the first complete event since the start or the last restart, if
   * that event has one. */
  uint64_t first_id;
  uint64_t event_count; /**< complete events that are not only comments */
};

void eventstream_init (struct eventstream *stream);
void eventstream_finish (struct eventstream *stream);

/** Drop the pending bytes and reset the event count; the ids stay. */
void eventstream_restart (struct eventstream *stream);

/** Append bytes. @return how many leading bytes of `pending` are complete
 * events. Pass them to eventstream_consume before the next call, which counts
 * them again otherwise. */
size_t eventstream_append (struct eventstream *stream, const char *bytes,
                           size_t size);

/** Remove the first SIZE bytes of `pending`, which were forwarded. */
void eventstream_consume (struct eventstream *stream, size_t size);

#endif
