#include "../common/fleet.h"

#include <signal.h>

/** @file
 * A host is stopped with SIGTERM while requests wait there for the memory
 * of a busy engine. No request comes after it.
 */

enum
{
  SENT_MS = 8000,
  TROUBLE_MS = 8200,
  RUN_MS = 30000,
  CALLERS = 11,
  GRACE_MS = 8000,
  LOST_MS = 200,
  TIMEOUT_MS = 15000,
  ALLOWED = 0
};

static int64_t stopped_ns;

static const char config[]
    = "{\"version\":5,\"routes\":[{\"name\":\"r1\",\"hostname\":"
      "\"app.example\",\"prefix\":\"/gen/\",\"backend\":\"llm\","
      "\"routeType\":\"streaming\",\"attempts\":1,\"timeoutMs\":15000,"
      "\"targetLatencyMs\":3000,\"gapTargetMs\":400,\"priority\":1,"
      "\"sticky\":true,\"resumable\":false}],\"backends\":[{\"name\":"
      "\"llm\",\"healthPath\":\"/health\",\"maxConns\":360,\"engine\":{"
      "\"slots\":64,\"kvCapacity\":26000,\"models\":[{\"name\":\"m0\"}]}}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
      "\"name\":\"bozi300\",\"apiKeys\":[\"key-1\"]}]}";

static void
callers_start (struct fleet *fleet)
{
  struct fleet_call call
      = { .method = "POST",
          .path = "/gen/2f",
          .key = "key-1",
          .tenant = "bozi300",
          .lines = "X-Model: m0\r\nX-Token-Count: 12000,76\r\n"
                   "X-Prompt-Prefix: 5c1e07a2:8000,91bd3f06:4000\r\n",
          .deadline_ms = TIMEOUT_MS,
          .patience_ms = 12000, /* four times the objective */
          .gap_ms = 20,
          .requests_max = 1 };

  for (unsigned i = 0; i < CALLERS; i++)
    fleet_add_caller (fleet, 0, &call);
}

static void
trouble_begin (struct fleet *fleet)
{
  if (!fleet->trouble)
    return;
  stopped_ns = clock_now (&fleet->soak.clock);
  fleet_signal (&fleet->hosts[0], SIGTERM);
}

/* Requests that the host had read before the stop or soon after, that never
 * reached an engine, and whose connection it closed without an answer, before
 * their deadline. */
static unsigned
count_dropped (const struct fleet *fleet)
{
  unsigned count = 0;

  for (guint i = 0; stopped_ns != 0 && i < fleet->order->len; i++)
    {
      const struct fleet_request *request = fleet->order->pdata[i];
      int64_t until_ns = stopped_ns + (GRACE_MS + 1000) * NS_PER_MS;

      count
          += request->closed && request->status == 0 && request->passed_on == 0
             && !request->gave_up && request->ended_ns >= stopped_ns
             && request->ended_ns <= until_ns
             && request->ended_ns - request->sent_ns > LOST_MS * NS_PER_MS
             && request->ended_ns - request->sent_ns < TIMEOUT_MS * NS_PER_MS;
    }
  return count;
}

int
main (int argc, char **argv)
{
  static const struct fleet_settings settings
      = { .hosts = 2, .event_ms = 200, .events = 10 };
  static struct fleet fleet;

  fleet_init (&fleet, argc > 1 ? argv[1] : ".", &settings);
  fleet_add_engine (&fleet, "llm", true);
  fleet_write_config (&fleet, config);
  soak_store_put (&fleet.store, "op/version/m0",
                  "{\"model\":\"m0\",\"version\":1}");
  fleet_start_hosts (&fleet);
  fleet_after (&fleet, SENT_MS, callers_start);
  fleet_after (&fleet, TROUBLE_MS, trouble_begin);
  fleet_run (&fleet, RUN_MS);
  return fleet_finish (&fleet, "LOST", count_dropped (&fleet), ALLOWED);
}
