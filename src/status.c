#include "status.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

static const char *const status_names[STATUS_COUNT] = {
  [STATUS_OK] = "ok",
  [STATUS_INVALID] = "invalid",
  [STATUS_NOT_FOUND] = "not_found",
  [STATUS_CONFLICT] = "conflict",
  [STATUS_DENIED] = "denied",
  [STATUS_TOO_LARGE] = "too_large",
  [STATUS_LIMITED] = "limited",
  [STATUS_UNAVAILABLE] = "unavailable",
  [STATUS_UNKNOWN] = "unknown",
  [STATUS_TIMEOUT] = "timeout",
  [STATUS_CANCELLED] = "cancelled",
  [STATUS_STALE] = "stale",
  [STATUS_CORRUPT] = "corrupt",
  [STATUS_NO_MEMORY] = "no_memory",
};

const char *
status_name (enum status status)
{
  assert ((unsigned)status < STATUS_COUNT);
  return status_names[status];
}

void
error_clear (struct error *error)
{
  error->status = STATUS_OK;
  error->message[0] = '\0';
}

enum status
error_set (struct error *error, enum status status, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return status;
  error->status = status;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return status;
}
