#include "../common/fleet.h"

#include <string.h>

/** @file
 * New weights are set, and four of twelve engines answer the leader's
 * questions with a head that has no end, within the bandwidth of a host's
 * link. The platform kills a process that exceeds its memory.
 */

enum
{
  READY_MS = 4000,
  TROUBLE_MS = 8000,
  RUN_MS = 30000,
  CALLERS_EACH = 12,
  ENGINES = 12,
  FAULTY = 4,
  PUMP_MS = 5,
  CHUNK_BYTES = 64 * 1024,
  ANSWERS_MAX = 64,
  ALLOWED = 3
};

/* Bytes per second that all engines together send; a host's link carries
 * 1000 Mbit/s. */
static const double rate = 115e6;

static const char config[]
    = "{\"version\":5,\"routes\":[{\"name\":\"r1\",\"hostname\":"
      "\"app.example\",\"prefix\":\"/safe/\",\"backend\":\"app\","
      "\"routeType\":\"idempotent\",\"attempts\":2,\"timeoutMs\":1500,"
      "\"targetLatencyMs\":150,\"priority\":2}],\"backends\":[{\"name\":"
      "\"app\",\"healthPath\":\"/health\",\"maxConns\":100},{\"name\":"
      "\"llm\",\"healthPath\":\"/health\",\"maxConns\":360,\"engine\":{"
      "\"slots\":64,\"kvCapacity\":78177,\"models\":[{\"name\":\"m0\"}]}}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
      "\"name\":\"bozi300\",\"apiKeys\":[\"key-1\"]}]}";

/* An answer without end. */
struct endless
{
  struct callerconn *conn;
};

static struct endless *answers[ANSWERS_MAX];
static unsigned answer_count;
static double sent_bytes;
static int64_t pump_ns;
static uv_timer_t pump_timer;

static void
endless_begin (struct fleet_engine *engine, struct callerconn *conn)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Type: "
                             "application/json\r\nX-Fill: ";
  uv_buf_t buffer = uv_buf_init ((char *)head, sizeof head - 1);

  conn->owner_data = NULL;
  fleet_say (engine->fleet, "engine %s begins a head without end", engine->id);
  uv_try_write ((uv_stream_t *)&conn->tcp, &buffer, 1);
  if (answer_count < ANSWERS_MAX)
    {
      answers[answer_count] = g_new0 (struct endless, 1);
      answers[answer_count++]->conn = conn;
      conn->open_handles++; /* Keeps the connection until the last write. */
    }
}

/* Whether the caller is still there. */
static bool
endless_write (const struct endless *endless, double *left)
{
  static char bytes[CHUNK_BYTES];
  uv_buf_t buffer = uv_buf_init (
      bytes, (unsigned)MIN (sizeof bytes, (size_t)MAX (*left, 0)));
  int sent;

  if (endless->conn->closing)
    return false;
  if (buffer.len == 0)
    return true;
  memset (bytes, 'x', sizeof bytes);
  sent = uv_try_write ((uv_stream_t *)&endless->conn->tcp, &buffer, 1);
  if (sent > 0)
    *left -= sent;
  return sent > 0 || sent == UV_EAGAIN;
}

static void
pump (uv_timer_t *timer)
{
  struct fleet *fleet = timer->data;
  int64_t now = clock_now (&fleet->soak.clock);
  double budget = MIN ((double)(now - pump_ns) / NS_PER_S, 0.05) * rate;
  double left = budget;
  double before;

  pump_ns = now;
  do
    {
      before = left;
      for (unsigned i = 0; i < answer_count;)
        if (endless_write (answers[i], &left))
          i++;
        else
          answers[i] = answers[--answer_count];
    }
  while (left > 0 && left < before);
  sent_bytes += budget - left;
}

static void
callers_start (struct fleet *fleet)
{
  struct fleet_call call = { .method = "GET",
                             .path = "/safe/2f",
                             .key = "key-1",
                             .tenant = "bozi300",
                             .deadline_ms = 1500,
                             .patience_ms = 1500,
                             .gap_ms = 20 };

  for (unsigned i = 0; i < fleet->settings.hosts; i++)
    for (unsigned j = 0; j < CALLERS_EACH; j++)
      fleet_add_caller (fleet, i, &call);
}

static void
trouble_begin (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->engine_count; i++)
    if (fleet->engines[i].has_model && i < FAULTY)
      fleet->engines[i].is_faulty = fleet->trouble;
  fleet_say (fleet, "the operator names weights 2");
  soak_store_put (&fleet->store, "op/version/m0",
                  "{\"model\":\"m0\",\"version\":2}");
}

int
main (int argc, char **argv)
{
  static const struct fleet_settings settings
      = { .hosts = 2, .memory_mb = 110, .work_ms = 400 };
  static struct fleet fleet;
  unsigned lost = 0;

  fleet_init (&fleet, argc > 1 ? argv[1] : ".", &settings);
  fleet.report = endless_begin;
  for (unsigned i = 0; i < ENGINES; i++)
    fleet_add_engine (&fleet, "llm", true);
  for (unsigned i = 0; i < 4; i++)
    fleet_add_engine (&fleet, "app", false);
  fleet_write_config (&fleet, config);
  soak_store_put (&fleet.store, "op/version/m0",
                  "{\"model\":\"m0\",\"version\":1}");
  fleet_start_hosts (&fleet);
  fleet_after (&fleet, READY_MS, callers_start);
  fleet_after (&fleet, TROUBLE_MS, trouble_begin);
  uv_timer_init (&fleet.soak.loop, &pump_timer);
  pump_timer.data = &fleet;
  uv_timer_start (&pump_timer, pump, PUMP_MS, PUMP_MS);
  fleet_run (&fleet, RUN_MS);
  fleet_say (&fleet, "bytes without end: %.1f MB", sent_bytes / 1e6);
  for (unsigned i = 0; i < settings.hosts; i++)
    lost = MAX (lost, fleet_count_lost (&fleet, i));
  return fleet_finish (&fleet, "LOST", lost, ALLOWED);
}
