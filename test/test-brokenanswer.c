#include "fake-path.h"
#include "unit.h"

#include <string.h>

#define FIELDS "X-Request-Id: %s\r\nX-Response-Seal: s\r\n"
#define OK "HTTP/1.1 200 OK\r\n" FIELDS
#define SIZED "Content-Length: 6\r\n\r\nbroken"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

enum
{
  SERVED = 200,
  FAILED = 502
};

static const struct fake_upstream_step sound
    = { OK "Content-Length: 5\r\n\r\nhello", FAKE_UPSTREAM_KEEP };

static int
answer_status (void)
{
  int status = 0;

  if (fake_path_run_until ("\r\n\r\n"))
    sscanf (path.answer->str, "HTTP/1.1 %d", &status);
  return status;
}

static void
expect (bool holds, const char *what, const char *answer)
{
  char *text = g_strescape (answer, NULL);

  if (!holds)
    printf ("# %s: %s\n", what, text);
  CU_ASSERT_TRUE (holds);
  g_free (text);
}

/* No caller gets any of ANSWERS: where a request may run once, it has failed
 * and is not said not to have run; where it may run again, it does. */
static void
check_not_believed (const char *const *answers, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    for (unsigned end = FAKE_UPSTREAM_KEEP; end <= FAKE_UPSTREAM_CLOSE; end++)
      {
        struct fake_upstream_step step = { answers[i], end };

        fake_path_setup (&step, 1, &step, 1);
        fake_path_request_send ("/once/", "");
        expect (answer_status () == FAILED, "once", answers[i]);
        expect (strstr (path.answer->str, "broken") == NULL, "body",
                answers[i]);
        expect (path.upstreams[0].requests + path.upstreams[1].requests == 1,
                "requests", answers[i]);
        fake_path_finish ();
        fake_path_setup (&step, 1, &sound, 1);
        servers_find (&path.servers, "i-1")->failure_ratio = 0.9;
        fake_path_request_send ("/safe/", "");
        expect (answer_status () == SERVED
                    && fake_path_run_until ("\r\n\r\nhello"),
                "again", answers[i]);
        expect (path.upstreams[0].requests == 1, "first server", answers[i]);
        fake_path_finish ();
      }
}

/* Statuses that HTTP does not have, and a change of protocol that nobody asked
 * for, were relayed. */
static void
test_status_that_is_none (void)
{
  static const char *const answers[] = {
    "HTTP/1.1 000 x\r\n" FIELDS SIZED,
    "HTTP/1.1 0 x\r\n" FIELDS SIZED,
    "HTTP/1.1 20 OK\r\n" FIELDS SIZED,
    "HTTP/1.1 020 x\r\n" FIELDS SIZED,
    "HTTP/1.1 099 x\r\n" FIELDS SIZED,
    "HTTP/1.1 600 x\r\n" FIELDS SIZED,
    "HTTP/1.1 999 x\r\n" FIELDS SIZED,
    "HTTP/1.1 2000 OK\r\n" FIELDS SIZED,
    "HTTP/1.1 -200 OK\r\n" FIELDS SIZED,
    "HTTP/1.1 2x0 OK\r\n" FIELDS SIZED,
    "HTTP/1.1 \r\n" FIELDS SIZED,
    "HTTP/0.9 200 OK\r\n" FIELDS SIZED,
    "HTTP/1.7 200 OK\r\n" FIELDS SIZED,
    "HTTP/2.0 200 OK\r\n" FIELDS SIZED,
    "HTTP/9.9 200 OK\r\n" FIELDS SIZED,
    "HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n"
    "\r\n" OK SIZED,
    "HTTP/1.1 101 x\r\n\r\n" OK SIZED,
    "HTTP/1.1 000 x\r\n\r\n" OK SIZED,
  };

  check_not_believed (answers, G_N_ELEMENTS (answers));
}

static const struct unit_case cases[] = {
  { "status-that-is-none", test_status_that_is_none },
};

int
main (void)
{
  return unit_run ("brokenanswer", cases, G_N_ELEMENTS (cases));
}
