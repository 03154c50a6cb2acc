#include "logsink.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

enum
{
  /* Once a pipe is writable, it accepts this many bytes without blocking
   * (PIPE_BUF). */
  WRITE_BYTES_MAX = 4096,
  BUFFER_BYTES = 256 * 1024,
  /* Maximum time that the end of a process waits for the reader of its log. */
  FINISH_WAIT_MS = 100
};

const struct logsink_settings logsink_settings_default = {
  .fd = STDOUT_FILENO,
  .buffer_bytes = BUFFER_BYTES,
  .sampling_lines_per_s = 400,
  .sample_one_in = 8,
};

void
logsink_init (struct logsink *sink, const struct logsink_settings *settings,
              const struct clock *clock)
{
  memset (sink, 0, sizeof *sink);
  sink->settings = *settings;
  sink->clock = clock;
  sink->buffer = g_string_new (NULL);
}

/* Wait until the descriptor accepts bytes, for the rest of WAIT_MS since
 * START_NS. @return whether it does */
static bool
wait_writable (const struct logsink *sink, int64_t start_ns)
{
  struct pollfd target = { .fd = sink->settings.fd, .events = POLLOUT };
  int64_t waited_ms = (clock_now (sink->clock) - start_ns) / NS_PER_MS;

  return waited_ms < FINISH_WAIT_MS
         && poll (&target, 1, (int)(FINISH_WAIT_MS - waited_ms)) == 1
         && (target.revents & POLLOUT) != 0;
}

void
logsink_finish (struct logsink *sink)
{
  int64_t start_ns = clock_now (sink->clock);

  logsink_flush (sink);
  while (sink->buffer->len > 0 && wait_writable (sink, start_ns))
    logsink_flush (sink);
  g_string_free (sink->buffer, TRUE);
}

static unsigned
id_hash (const char *id, size_t size)
{
  unsigned hash = 5381;

  for (size_t i = 0; i < size; i++)
    hash = hash * 33 + (unsigned char)id[i];
  return hash;
}

bool
logsink_accepts_line (struct logsink *sink, enum event_level level,
                      const char *id, size_t id_size)
{
  int64_t second = clock_now (sink->clock) / NS_PER_S;

  if (level >= EVENT_LEVEL_WARN)
    return true;
  if (second != sink->counted_second)
    {
      /* Sample in this second if the last second with lines exceeded the
       * rate. */
      sink->sampling = sink->routine_lines_in_second
                       > sink->settings.sampling_lines_per_s;
      sink->counted_second = second;
      sink->routine_lines_in_second = 0;
    }
  sink->routine_lines_in_second++;
  if (!sink->sampling || id == NULL
      || id_hash (id, id_size) % sink->settings.sample_one_in == 0)
    return true;
  sink->sampled_out_count++;
  return false;
}

/* Return the number of buffered bytes up to which lines of LEVEL are accepted.
 */
static size_t
buffer_limit (const struct logsink *sink, enum event_level level)
{
  static const unsigned eighths[] = {
    [EVENT_LEVEL_DEBUG] = 3,
    [EVENT_LEVEL_INFO] = 5,
    [EVENT_LEVEL_WARN] = 7,
    [EVENT_LEVEL_ERROR] = 8,
  };

  return sink->settings.buffer_bytes / 8 * eighths[level];
}

void
logsink_append (struct logsink *sink, enum event_level level, const char *line,
                size_t size)
{
  if (sink->buffer->len + size > buffer_limit (sink, level))
    logsink_flush (sink);
  if (sink->buffer->len + size > buffer_limit (sink, level))
    {
      sink->dropped_count[level]++;
      return;
    }
  g_string_append_len (sink->buffer, line, (gssize)size);
}

void
logsink_flush (struct logsink *sink)
{
  struct pollfd target = { .fd = sink->settings.fd, .events = POLLOUT };
  size_t written = 0;

  while (written < sink->buffer->len)
    {
      size_t size = MIN (sink->buffer->len - written, (size_t)WRITE_BYTES_MAX);
      ssize_t count;

      if (poll (&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
        break;
      count = write (sink->settings.fd, sink->buffer->str + written, size);
      if (count <= 0)
        break;
      written += (size_t)count;
    }
  if (written > 0)
    g_string_erase (sink->buffer, 0, (gssize)written);
}

uint64_t
logsink_lost_count (const struct logsink *sink)
{
  uint64_t lost = sink->sampled_out_count;

  for (unsigned i = 0; i < G_N_ELEMENTS (sink->dropped_count); i++)
    lost += sink->dropped_count[i];
  return lost;
}
