#include "standin-http.h"

#include <string.h>

/** @file
 * Role "service": a plain service that counts its runs. Any path answers 200
 * {"run", "path"} after --delay-ms; a run counts when its request arrives.
 * GET /control/counts answers {"keys": {IDEMPOTENCY_KEY: RUNS}, "total"}.
 * A request with the header X-Crash or with CRASH_SERVICE in its body ends
 * the process once it is counted.
 *
 * Faults besides the common ones:
 *   drop_after_effect  the next N runs close the connection unanswered
 *   cut_body           the next N runs close it inside the body of the answer
 *   padding            N bytes more in each answer
 */

static int delay_ms;
static struct json_object *keys; /* key to count of runs */
static int64_t total;

static const GOptionEntry options[] = {
  { "delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms, "Time of a run", "MS" },
  { 0 },
};

static const char *const faults[]
    = { "drop_after_effect", "cut_body", "padding", NULL };

/* A run whose answer is due later. */
struct run
{
  h2o_req_t *req;
  char *path;
  int64_t number;
};

static void
start (void)
{
  keys = json_object_new_object ();
}

static bool
is_crash (const struct call *call)
{
  static const char mark[] = "CRASH_SERVICE";

  return call_header (call, "x-crash")
         || (call->req->entity.len > 0
             && memmem (call->req->entity.base, call->req->entity.len, mark,
                        sizeof mark - 1));
}

static void
run_answer_in_part (const struct run *run)
{
  struct stream *stream
      = stream_start (run->req, "application/json", stream_cut, NULL, NULL);

  g_string_printf (stream->pending, "{\"run\":%" G_GINT64_FORMAT ",",
                   run->number);
  stream_flush (stream);
}

static void
run_answer_whole (const struct run *run)
{
  struct json_object *answer
      = json_put (NULL, "run", 'i', run->number, "path", 's', run->path, NULL);
  char *padding = g_strnfill ((gsize)fault_value ("padding"), 'x');

  if (padding[0] != '\0')
    json_put (answer, "padding", 's', padding, NULL);
  http_json (run->req, 200, answer);
  g_free (padding);
}

static void
run_answer (void *data)
{
  struct run *run = data;
  if (fault_take ("drop_after_effect"))
    http_drop (run->req);
  else if (fault_take ("cut_body"))
    run_answer_in_part (run);
  else
    run_answer_whole (run);
  g_free (run->path);
  g_free (run);
}

static void
counts_reply (const struct call *call)
{
  json_object_get (keys);
  http_json (call->req, 200,
             json_put (NULL, "keys", 'o', keys, "total", 'i', total, NULL));
}

static void
run_handle (const struct call *call)
{
  const char *key = call_header (call, "idempotency-key");
  struct run *run;

  total++;
  if (key)
    json_put (keys, key, 'i', json_int (keys, key, 0) + 1, NULL);
  if (is_crash (call))
    abort ();
  run = g_new0 (struct run, 1);
  run->req = call->req;
  run->path = g_strdup (call->path);
  run->number = total;
  if (delay_ms > 0)
    server_after ((uint64_t)delay_ms, run_answer, run);
  else
    run_answer (run);
}

static const struct route routes[] = {
  { "GET", "/control/counts", counts_reply }, { NULL, "/", run_handle }, { 0 }
};

const struct role role_service = { .name = "service",
                                   .faults = faults,
                                   .options = options,
                                   .routes = routes,
                                   .start = start };
