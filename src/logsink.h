#ifndef LOGSINK_H
#define LOGSINK_H

#include "clock.h"
#include "event.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Writes log lines to a file descriptor through a buffer of limited size and
 * never blocks. When lines arrive faster than the descriptor accepts them, the
 * lines of the lowest level are dropped first and errors last. Above a rate,
 * routine lines (those below the level warn) are sampled by request id, so
 * that a request that is kept has all its lines.
 */

struct logsink_settings
{
  int fd;
  size_t buffer_bytes;
  /** Routine lines are sampled above this rate. */
  unsigned sampling_lines_per_s;
  unsigned sample_one_in; /**< Sampling keeps the lines of one in this many
                             requests. */
};

extern const struct logsink_settings logsink_settings_default;

struct logsink
{
  struct logsink_settings settings;
  const struct clock *clock;
  GString *buffer;
  int64_t counted_second; /**< Second of the monotonic clock whose lines are
                             counted. */
  unsigned routine_lines_in_second; /**< Number of routine lines in
                                       COUNTED_SECOND. */
  bool sampling;
  /** Number of lines dropped because the buffer was full, by level. */
  uint64_t dropped_count[EVENT_LEVEL_ERROR + 1];
  uint64_t sampled_out_count; /**< Number of lines dropped by sampling. */
  /** Number of dropped lines already reported with EVENT_LOG_DROPPED. */
  uint64_t reported_lost_count;
};

void logsink_init (struct logsink *sink,
                   const struct logsink_settings *settings,
                   const struct clock *clock);

/** Write the buffer, and wait up to 100 ms for a descriptor that accepts no
 * more; the rest is lost. */
void logsink_finish (struct logsink *sink);

/** Count a line of LEVEL.
 * @param id id of the request that the line is about, or NULL
 * @return whether the line is to be written; false if sampling drops it */
bool logsink_accepts_line (struct logsink *sink, enum event_level level,
                           const char *id, size_t id_size);

/** Append LINE to the buffer, or count it as dropped if the buffer is too full
 * for its LEVEL. */
void logsink_append (struct logsink *sink, enum event_level level,
                     const char *line, size_t size);

/** Write as much of the buffer as the descriptor accepts without blocking. */
void logsink_flush (struct logsink *sink);

/** Return the number of lines that were dropped, by a full buffer or by
 * sampling. */
uint64_t logsink_lost_count (const struct logsink *sink);

#endif
