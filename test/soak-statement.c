#include "soak-statement.h"

#include <string.h>

enum
{
  LEAVING_KEPT_MS = 1000, /* until a host must have heard that it leaves */
  PAUSE_KEPT_MS = 500,    /* the same for a pause */
  PAUSE_REQUESTS_MAX = 2, /* that may come in a pause */
  PAUSE_MIN_MS = 700,     /* of a pause, at least */
  PAUSE_MAX_MS = 3000,
  REFUSES_MIN_MS = 300, /* for which it turns requests away, at least */
  REFUSES_MAX_MS = 1000
};

void
soak_statement_init (struct soak_statement *statement, struct soak *soak)
{
  memset (statement, 0, sizeof *statement);
  statement->soak = soak;
}

void
soak_statement_pause (struct soak_statement *statement)
{
  struct soak *soak = statement->soak;

  statement->pause_ms = soak_draw (soak, PAUSE_MIN_MS, PAUSE_MAX_MS);
  statement->refuses_until_ns
      = clock_now (&soak->clock)
        + soak_draw (soak, REFUSES_MIN_MS, REFUSES_MAX_MS) * NS_PER_MS;
}

bool
soak_statement_arrived (struct soak_statement *statement, const char *id,
                        const struct soak_request *request)
{
  struct soak_told *told = &statement->told[request->host];
  int64_t now = clock_now (&statement->soak->clock);

  if (told->leaving_ns != 0
      && request->sent_ns - told->leaving_ns > LEAVING_KEPT_MS * NS_PER_MS)
    soak_violation (statement->soak,
                    "%s came to engine %s, which had said that it leaves",
                    request->id, id);
  if (now >= told->pause_from_ns && now < told->pause_until_ns
      && ++told->in_pause > PAUSE_REQUESTS_MAX)
    soak_violation (statement->soak, "%s came to engine %s in its pause",
                    request->id, id);
  return now < statement->refuses_until_ns;
}

char *
soak_statement_lines (struct soak_statement *statement,
                      const struct soak_request *request, bool refused)
{
  struct soak_told *told = &statement->told[request->host];
  int64_t now = clock_now (&statement->soak->clock);
  GString *lines = g_string_new (NULL);

  if (statement->leaving)
    {
      g_string_append (lines, "Server-Leaving: 1\r\n");
      if (told->leaving_ns == 0)
        told->leaving_ns = now;
    }
  if (refused)
    {
      g_string_append_printf (
          lines, "X-Not-Executed: 1\r\nRetry-After: %u.%03u\r\n",
          statement->pause_ms / 1000, statement->pause_ms % 1000);
      if (now >= told->pause_until_ns)
        {
          told->pause_from_ns = now + PAUSE_KEPT_MS * NS_PER_MS;
          told->in_pause = 0;
        }
      told->pause_until_ns = now + statement->pause_ms * NS_PER_MS;
    }
  return g_string_free (lines, FALSE);
}
