#include "log.h"
#include "clock.h"
#include "logjson.h"
#include "logsink.h"

#include <glib.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* Maximum size of an event's text in bytes; longer texts are cut. */
  LOG_TEXT_MAX = 2048
};

static log4c_category_t *category;

/* State of the log that log_json_init initialises. */
static struct
{
  struct logsink sink;
  const struct clock *clock;
  char process[64];
  GString *line;
  enum event_level level; /* Level of the event in LINE. */
} json_log;

static int
log4c_priority (enum event_level level)
{
  static const int priorities[] = {
    [EVENT_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
    [EVENT_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [EVENT_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [EVENT_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
  };

  return priorities[level];
}

static const char *
text_layout_format (const log4c_layout_t *layout,
                    const log4c_logging_event_t *event)
{
  static char line[LOG_TEXT_MAX + 64];
  const struct timeval *timestamp = &event->evt_timestamp;

  snprintf (line, sizeof line, "%lld.%06ld %s %s\n",
            (long long)timestamp->tv_sec, (long)timestamp->tv_usec,
            log4c_priority_to_string (event->evt_priority), event->evt_msg);
  return line;
}

static const log4c_layout_type_t text_layout_type
    = { "trefoilspar", text_layout_format };

/* Replaces log4c's own stream appenders, which write the appender's name
 * before each line. */
static int
text_appender_append (log4c_appender_t *appender,
                      const log4c_logging_event_t *event)
{
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t text_appender_type
    = { "trefoilspar", NULL, text_appender_append, NULL };

static void
text_write (struct log *log, const struct event_info *info, const char *text)
{
  log4c_category_log (category, log4c_priority (info->level), "E%d %s %s",
                      (int)info->number, info->name, text);
}

static void
null_write (struct log *log, const struct event_info *info, const char *text)
{
}

static const struct log_ops text_ops = { text_write };
static const struct log_ops null_ops = { null_write };

void
log_null_init (struct log *log)
{
  log->ops = &null_ops;
  log->threshold = EVENT_LEVEL_ERROR;
}

static void
log4c_open (const log4c_layout_type_t *layout_type,
            const log4c_appender_type_t *appender_type)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  log4c_init ();
  log4c_layout_type_set (layout_type);
  layout = log4c_layout_get ("trefoilspar");
  log4c_layout_set_type (layout, layout_type);
  log4c_appender_type_set (appender_type);
  appender = log4c_appender_get ("trefoilspar");
  log4c_appender_set_type (appender, appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("trefoilspar");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_DEBUG);
}

void
log_text_init (struct log *log, enum event_level threshold)
{
  log4c_open (&text_layout_type, &text_appender_type);
  log->ops = &text_ops;
  log->threshold = threshold;
}

static const char *
json_layout_format (const log4c_layout_t *layout,
                    const log4c_logging_event_t *event)
{
  return event->evt_msg;
}

static int
json_appender_append (log4c_appender_t *appender,
                      const log4c_logging_event_t *event)
{
  logsink_append (&json_log.sink, json_log.level, event->evt_rendered_msg,
                  strlen (event->evt_rendered_msg));
  return 0;
}

static const log4c_layout_type_t json_layout_type
    = { "trefoilspar", json_layout_format };
static const log4c_appender_type_t json_appender_type
    = { "trefoilspar", NULL, json_appender_append, NULL };

static void
json_write (struct log *log, const struct event_info *info, const char *text)
{
  struct timespec wall = clock_wall (json_log.clock);
  size_t id_size = 0;
  const char *id = logjson_find_value (text, "id", &id_size);

  if (!logsink_accepts_line (&json_log.sink, info->level, id, id_size))
    return;
  g_string_truncate (json_log.line, 0);
  logjson_format (json_log.line, info, json_log.process,
                  (double)wall.tv_sec + (double)wall.tv_nsec / NS_PER_S, text);
  json_log.level = info->level;
  log4c_category_log (category, log4c_priority (info->level), "%s",
                      json_log.line->str);
}

static const struct log_ops json_ops = { json_write };

void
log_json_init (struct log *log, enum event_level threshold,
               const char *process, const struct clock *clock)
{
  log4c_open (&json_layout_type, &json_appender_type);
  logsink_init (&json_log.sink, &logsink_settings_default, clock);
  json_log.clock = clock;
  json_log.line = g_string_new (NULL);
  g_strlcpy (json_log.process, process, sizeof json_log.process);
  log->ops = &json_ops;
  log->threshold = threshold;
}

void
log_json_flush (struct log *log)
{
  uint64_t lost = logsink_lost_count (&json_log.sink);

  logsink_flush (&json_log.sink);
  if (lost <= json_log.sink.reported_lost_count)
    return;
  log_event (log, EVENT_LOG_DROPPED,
             "lines=%lu sampled=%lu debug=%lu info=%lu warn=%lu error=%lu",
             (unsigned long)(lost - json_log.sink.reported_lost_count),
             (unsigned long)json_log.sink.sampled_out_count,
             (unsigned long)json_log.sink.dropped_count[EVENT_LEVEL_DEBUG],
             (unsigned long)json_log.sink.dropped_count[EVENT_LEVEL_INFO],
             (unsigned long)json_log.sink.dropped_count[EVENT_LEVEL_WARN],
             (unsigned long)json_log.sink.dropped_count[EVENT_LEVEL_ERROR]);
  json_log.sink.reported_lost_count = lost;
}

uint64_t
log_json_lost_count (void)
{
  return logsink_lost_count (&json_log.sink);
}

void
log_json_finish (struct log *log)
{
  log4c_fini ();
  log_null_init (log);
  logsink_finish (&json_log.sink);
  g_string_free (json_log.line, TRUE);
}

void
log_text_finish (struct log *log)
{
  log4c_fini ();
  log_null_init (log);
}

char *
log_escape_spaces (const char *text)
{
  return g_strdelimit (g_strdup (text), " ", '_');
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
