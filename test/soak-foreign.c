#include "soak-foreign.h"

#include <string.h>

enum
{
  REFUSED_PERCENT = 8,  /* Requests that engines refuse truly. */
  FOREIGN_PERCENT = 60, /* Requests that meet an earlier refusal. */
  FAILED_ONE_IN = 20    /* One of so many that met one may fail, at most. */
};

static bool
is_active (const struct soak *soak)
{
  return soak->foreign.is_played && !soak->foreign.has_ended;
}

bool
soak_foreign_refuses (struct soak *soak)
{
  return is_active (soak) && soak_draw (soak, 0, 99) < REFUSED_PERCENT;
}

void
soak_foreign_refused (struct soak *soak, const char *server_id,
                      const struct soak_request *request)
{
  struct soak_foreign *foreign = &soak->foreign;

  g_snprintf (foreign->refused[foreign->refused_count++ % SOAK_REFUSED_MAX],
              sizeof foreign->refused[0],
              "X-Request-Id: %s\r\nX-Instance-Id: %s\r\n", request->id,
              server_id);
}

enum soak_foreign_place
soak_foreign_draw (struct soak *soak, struct soak_request *request)
{
  enum soak_foreign_place place;

  if (!is_active (soak) || soak->foreign.refused_count == 0
      || soak_draw (soak, 0, 99) >= FOREIGN_PERCENT)
    return SOAK_FOREIGN_NONE;
  place = (enum soak_foreign_place)soak_draw (soak, SOAK_FOREIGN_NONE + 1,
                                              SOAK_FOREIGN_PLACES - 1);
  request->met_foreign = true;
  request->lacks_answer
      = request->lacks_answer || place == SOAK_FOREIGN_INSTEAD;
  return place;
}

void
soak_foreign_write (struct soak *soak, struct callerconn *conn)
{
  const struct soak_foreign *foreign = &soak->foreign;
  unsigned count = MIN (foreign->refused_count, SOAK_REFUSED_MAX);
  char *text
      = g_strdup_printf ("HTTP/1.1 503 x\r\n%sX-Not-Executed: 1\r\n"
                         "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\nfull",
                         foreign->refused[soak_draw (soak, 0, count - 1)]);
  uv_buf_t buffer = uv_buf_init (text, (unsigned)strlen (text));

  uv_try_write ((uv_stream_t *)&conn->tcp, &buffer, 1);
  g_free (text);
}

void
soak_foreign_answered (struct soak *soak, const struct soak_request *request,
                       unsigned status)
{
  struct soak_foreign *foreign = &soak->foreign;

  if (!request->met_foreign)
    return;
  foreign->met++;
  foreign->lacking += request->lacks_answer;
  foreign->failed += !request->lacks_answer && status >= 500 && status != 503;
}

void
soak_foreign_check (struct soak *soak)
{
  const struct soak_foreign *foreign = &soak->foreign;
  unsigned with_answer = foreign->met - foreign->lacking;

  if (!foreign->is_played)
    return;
  soak_say (soak,
            "%u requests met an earlier refusal, %u of them have no answer of "
            "their own; of the others %u failed",
            foreign->met, foreign->lacking, foreign->failed);
  if (foreign->met == 0 || foreign->failed * FAILED_ONE_IN > with_answer)
    soak_violation (soak, "%u of %u requests failed for an earlier refusal",
                    foreign->failed, with_answer);
}
