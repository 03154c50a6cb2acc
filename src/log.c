#include "log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

enum
{
  LOG_TEXT_MAX = 2048 /* bytes; longer lines are cut */
};

static log4c_category_t *category;

static int
priority_of (enum event_level level)
{
  static const int priorities[] = {
    [EVENT_DEBUG] = LOG4C_PRIORITY_DEBUG,
    [EVENT_INFO] = LOG4C_PRIORITY_INFO,
    [EVENT_WARN] = LOG4C_PRIORITY_WARN,
    [EVENT_ERROR] = LOG4C_PRIORITY_ERROR,
  };

  return priorities[level];
}

static const char *
layout_format (const log4c_layout_t *layout,
               const log4c_logging_event_t *event)
{
  static char line[LOG_TEXT_MAX + 64];
  const struct timeval *at = &event->evt_timestamp;

  snprintf (line, sizeof line, "%lld.%06ld %s %s\n", (long long)at->tv_sec,
            (long)at->tv_usec, log4c_priority_to_string (event->evt_priority),
            event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type
    = { "trefoilspar", layout_format };

/* log4c's own stream appenders put the appender's name before each line. */
static int
appender_append (log4c_appender_t *appender,
                 const log4c_logging_event_t *event)
{
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type
    = { "trefoilspar", NULL, appender_append, NULL };

static void
log4c_write (struct log *log, const struct event_info *info, const char *text)
{
  log4c_category_log (category, priority_of (info->level), "E%d %s %s",
                      (int)info->number, info->name, text);
}

static void
silent_write (struct log *log, const struct event_info *info, const char *text)
{
}

static const struct log_ops log4c_ops = { log4c_write };
static const struct log_ops silent_ops = { silent_write };

void
log_silent_init (struct log *log)
{
  log->ops = &silent_ops;
  log->threshold = EVENT_ERROR;
}

void
log_log4c_init (struct log *log, enum event_level threshold)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  log4c_init ();
  log4c_layout_type_set (&layout_type);
  layout = log4c_layout_get ("trefoilspar");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_type_set (&appender_type);
  appender = log4c_appender_get ("trefoilspar");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("trefoilspar");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_DEBUG);
  log->ops = &log4c_ops;
  log->threshold = threshold;
}

void
log_log4c_finish (struct log *log)
{
  log4c_fini ();
  log_silent_init (log);
}

void
log_event (struct log *log, enum event event, const char *format, ...)
{
  const struct event_info *info;
  char text[LOG_TEXT_MAX];
  va_list args;

  if (log == NULL)
    return;
  info = event_info (event);
  if (info->level < log->threshold)
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  log->ops->write (log, info, text);
}
