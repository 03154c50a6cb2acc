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
  GString *pending; /**< Appended bytes that are not consumed yet. */
  uint64_t last_id; /**< Id of the last complete event that has an id. */
  /** Id of the first complete event since the start or the last restart; not
   * updated if that event has no id. */
  uint64_t first_id;
  /** Number of complete events since the start or the last restart, without
   * those of only comments and retry times. */
  uint64_t event_count;
  /** Whether any event was complete, or the caller had one before. */
  bool has_begun;
  bool last_has_id;    /**< Whether the last complete event has an id. */
  bool is_consecutive; /**< Whether each id was one more than the
                          one before, and the first one 1. */
  bool continues;      /**< Whether the events since the restart continue those
                          before. */
  /** Whether the first event since the restart can't follow those before. It
   * and what comes after it must not be used. */
  bool is_misplaced;
};

void eventstream_init (struct eventstream *stream);
void eventstream_finish (struct eventstream *stream);

/** Expect the events behind the one with the id LAST_ID, which the caller had
 * before. Call it before any byte is appended. */
void eventstream_begin_after (struct eventstream *stream, uint64_t last_id);

/** Expect the events behind the last complete one of PRESENT. Call it before
 * any byte is appended. */
void eventstream_continue_from (struct eventstream *stream,
                                const struct eventstream *present);

/** Drop the pending bytes and reset the event count; the ids stay.
 * @param continues whether the events to come continue those before; if so,
 * comments and retry times before the first of them are dropped */
void eventstream_restart (struct eventstream *stream, bool continues);

/** Whether another server can continue the stream after its last event: the id
 * of that event is known, or there is none yet. */
bool eventstream_is_resumable (const struct eventstream *stream);

/** Append bytes. @return Number of leading bytes of `pending` that are
 * complete events. Remove them with eventstream_consume before the next call;
 * otherwise their events are counted again. */
size_t eventstream_append (struct eventstream *stream, const char *bytes,
                           size_t size);

/** Whether the bytes so far end inside an event, once the complete events were
 * consumed. */
bool eventstream_is_inside_event (const struct eventstream *stream);

/** Remove the first SIZE bytes of `pending`, which were forwarded. */
void eventstream_consume (struct eventstream *stream, size_t size);

#endif
