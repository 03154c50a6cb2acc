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
  unsigned
      sampling_lines_per_s; /**< Routine lines are sampled above this rate. */
  unsigned sample_one_in;   /**< Sampling keeps one in so many requests. */
};

extern const struct logsink_settings logsink_settings_default;

struct logsink
{
  struct logsink_settings settings;
  const struct clock *clock;
  GString *buffer;
  int64_t counted_second; /**< The present second of the monotonic clock. */
  unsigned routine_lines_in_second; /**< Routine lines in that second. */
  bool sampling;
  /** Lines dropped because the buffer was full, by level. */
  uint64_t dropped_count[EVENT_LEVEL_ERROR + 1];
  uint64_t sampled_out_count; /**< Lines dropped by sampling. */
  /** Dropped lines that have been reported with EVENT_LOG_DROPPED. */
  uint64_t reported_lost_count;
};

void logsink_init (struct logsink *sink,
                   const struct logsink_settings *settings,
                   const struct clock *clock);

/** Write as much as the descriptor accepts without blocking; the rest is lost.
 */
void logsink_finish (struct logsink *sink);

/** Count a line of LEVEL and decide whether it is to be written or is dropped
 * by sampling.
 * @param id the request that the line is about; NULL if there is none */
bool logsink_accepts_line (struct logsink *sink, enum event_level level,
                           const char *id, size_t id_size);

/** Append LINE to the buffer, or count it as dropped if the buffer is too full
 * for its LEVEL. */
void logsink_append (struct logsink *sink, enum event_level level,
                     const char *line, size_t size);

/** Write as much as the descriptor accepts without blocking. */
void logsink_flush (struct logsink *sink);

/** Return the number of lines that were dropped, by a full buffer or by
 * sampling. */
uint64_t logsink_lost_count (const struct logsink *sink);

#endif
