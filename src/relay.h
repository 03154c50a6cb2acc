#ifndef RELAY_H
#define RELAY_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Parses a numbered event stream (server-sent events with `id: ID/SEQUENCE`)
 * and passes on each event of one request exactly once and in order.
 *
 * If the connection is lost or an event is missing, the stream is resumed on
 * another connection from the sequence number relay_next_sequence; events that
 * were already passed on are dropped. Only the end mark `data: [DONE]`
 * completes a stream.
 */

enum
{
  RELAY_ID_MAX = 64,           /**< Size of an id, including the final NUL. */
  RELAY_EVENT_MAX = 64 * 1024, /**< Maximum size in bytes of an event that
                                  arrives in several chunks. */
};

enum relay_state
{
  RELAY_OPEN,
  RELAY_GAP,     /**< An event is missing: disconnect and resume. */
  RELAY_INVALID, /**< An event exceeds RELAY_EVENT_MAX, or the data is no event
                     stream: disconnect and resume. */
  RELAY_COMPLETE /**< The end mark was received; the response is complete. */
};

struct relay_event
{
  uint64_t sequence;
  const char *text; /**< The whole event with its empty line. */
  size_t text_size;
  const char *data; /**< The value of the event's data line. */
  size_t data_size;
};

struct relay;

struct relay_ops
{
  /** Called when the next event, or the end mark if IS_END, was received. The
   * strings are valid only during the call. */
  void (*event_received) (struct relay *relay, const struct relay_event *event,
                          int is_end);
};

struct relay
{
  enum relay_state state;
  uint64_t passed_count;    /**< Number of events passed on. */
  uint64_t duplicate_count; /**< Number of events dropped because they were
                               passed on before. */
  uint64_t foreign_count; /**< Number of events dropped because they belong to
                             another request or have no sequence number. */
  uint64_t disconnect_count; /**< Number of connections that were lost before
                                the end mark. */

  const struct relay_ops *ops;
  char id[RELAY_ID_MAX];
  size_t id_size;
  uint64_t next_sequence;
  char *partial_event; /* The received part of an incomplete event. */
  size_t partial_size;
};

/** Initialise RELAY for the events with ID, the id of the request's attempt,
 * which is shorter than RELAY_ID_MAX. */
void relay_init (struct relay *relay, const struct relay_ops *ops,
                 const char *id);
void relay_finish (struct relay *relay);

/** Process the next SIZE bytes of the stream, which may begin and end anywhere
 * in an event. */
enum relay_state relay_feed (struct relay *relay, const char *bytes,
                             size_t size);

/** Return the sequence number from which to resume the stream. */
uint64_t relay_next_sequence (const struct relay *relay);

/** Handle that the connection was lost or closed. The next bytes that are fed
 * come from another connection and start with the event whose sequence number
 * is relay_next_sequence. A stream that has ended stays ended. */
void relay_disconnected (struct relay *relay);

#endif
