#ifndef LOG_H
#define LOG_H

#include "event.h"

#include <stdint.h>

/** @file
 * The log as an interface: decision modules are given one, tests give a
 * silent or recording one, the daemon gives log4c.
 */

struct log;

struct log_ops
{
  /** TEXT holds "key=value" pairs divided by spaces. */
  void (*write) (struct log *log, const struct event_info *info,
                 const char *text);
};

/** Embedded at the start of an implementation. */
struct log
{
  const struct log_ops *ops;
  enum event_level threshold; /**< Events below it are not formatted. */
};

/** A log that drops everything. */
void log_silent_init (struct log *log);

/** A log that writes through log4c to standard error.
 * Only one per process, since log4c holds its categories per process. */
void log_log4c_init (struct log *log, enum event_level threshold);
void log_log4c_finish (struct log *log);

struct clock;

/** A log that writes one JSON object a line through log4c to standard output,
 * within the bounds of logsink.h.
 * Only one per process, and not beside log_log4c_init.
 * @param process its name, for each line */
void log_json_init (struct log *log, enum event_level threshold,
                    const char *process, const struct clock *clock);
void log_json_finish (struct log *log);

/** Hand over what standard output takes now; log how many lines were lost
 * since the last time. */
void log_json_flush (struct log *log);

/** Lines left out so far. */
uint64_t log_json_lost (void);

/** TEXT as a value of log_event, which holds no spaces; the caller frees it.
 */
char *log_value (const char *text);

/** Write one EVENT with "key=value" pairs; LOG may be NULL. */
void log_event (struct log *log, enum event event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
