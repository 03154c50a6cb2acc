#ifndef LOG_H
#define LOG_H

#include "event.h"

#include <stdint.h>

/** @file
 * The interface of the log. Modules receive a struct log, so that tests can
 * pass one that drops or records events and the daemon one that writes them
 * through log4c.
 */

struct log;

struct log_ops
{
  /** Write one event. TEXT holds "key=value" pairs separated by spaces. */
  void (*write) (struct log *log, const struct event_info *info,
                 const char *text);
};

/** Base of all implementations, which have it as their first member. */
struct log
{
  const struct log_ops *ops;
  /** Events below this level are dropped before they are formatted. */
  enum event_level threshold;
};

/** Initialise a log that drops all events. */
void log_null_init (struct log *log);

/** Initialise a log that writes lines of text through log4c to standard
 * error. A process can have only one, since log4c has its categories per
 * process. */
void log_text_init (struct log *log, enum event_level threshold);
void log_text_finish (struct log *log);

struct clock;

/** Initialise a log that writes one JSON object per line through log4c to
 * standard output; logsink.h limits the rate of lines and the memory.
 * A process can have only one, and not together with log_text_init.
 * @param process name of this process, written in each line */
void log_json_init (struct log *log, enum event_level threshold,
                    const char *process, const struct clock *clock);
void log_json_finish (struct log *log);

/** Write as many buffered lines as standard output accepts without blocking,
 * and log how many lines were lost since the previous call. */
void log_json_flush (struct log *log);

/** Return the number of lines that were dropped since log_json_init. */
uint64_t log_json_lost_count (void);

/** Return TEXT with underscores in place of spaces, since a value in the text
 * of log_event must not contain spaces; the caller frees it. */
char *log_escape_spaces (const char *text);

/** Write EVENT to LOG. FORMAT yields "key=value" pairs separated by spaces.
 * Does nothing if LOG is NULL. */
void log_event (struct log *log, enum event event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
