#ifndef RELAY_H
#define RELAY_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Checks a numbered event stream (server-sent events with `id: ID/SEQUENCE`)
 * piece by piece and passes on each piece of one request once, in order.
 *
 * After a cut or a gap the stream goes on from relay_position on another
 * connection; what comes again is dropped. Only the end mark completes a
 * stream.
 */

enum
{
  RELAY_ID_MAX = 64,           /**< bytes, with the final NUL */
  RELAY_EVENT_MAX = 64 * 1024, /**< bytes */
};

enum relay_state
{
  RELAY_OPEN,
  RELAY_GAP,    /**< Pieces are missing: cut and resume. */
  RELAY_BROKEN, /**< No event stream, or an event over the limit: the same. */
  RELAY_ENDED   /**< The end mark came; the answer is whole. */
};

struct relay_piece
{
  uint64_t sequence;
  const char *event; /**< The whole event with its empty line. */
  size_t event_size;
  const char *data; /**< The value of its data line. */
  size_t data_size;
};

struct relay;

struct relay_ops
{
  /** One piece, or the end mark (END). Strings live during the call only. */
  void (*piece) (struct relay *relay, const struct relay_piece *piece,
                 int end);
};

struct relay
{
  enum relay_state state;
  uint64_t passed;   /**< Pieces passed on. */
  uint64_t repeated; /**< Dropped: seen before. */
  uint64_t foreign;  /**< Dropped: of another request, or without number. */
  uint64_t cuts;     /**< Times that the stream was resumed. */

  const struct relay_ops *ops;
  char id[RELAY_ID_MAX];
  size_t id_size;
  uint64_t next; /* sequence */
  char *partial; /* an event that has not come whole */
  size_t partial_size;
};

/** ID is the request's, shorter than RELAY_ID_MAX. */
void relay_init (struct relay *relay, const struct relay_ops *ops,
                 const char *id);
void relay_finish (struct relay *relay);

/** Take SIZE bytes of the stream; any number of events, cut anywhere. */
enum relay_state relay_feed (struct relay *relay, const char *bytes,
                             size_t size);

/** The sequence to resume from. */
uint64_t relay_position (const struct relay *relay);

/** The connection is gone, or given up. The stream goes on with the first
 * byte of another one, from relay_position; an ended one stays ended. */
void relay_cut (struct relay *relay);

#endif
