#include "../common/fleet.h"

#include <string.h>

/** @file
 * A KV cache store gives one wrong answer, a row of its events that is no
 * array, while the hosts serve callers.
 */

enum
{
  READY_MS = 4000,
  TROUBLE_MS = 8000,
  RUN_MS = 20000,
  CALLERS_EACH = 12,
  ALLOWED = 3
};

static bool wrong_due;
static unsigned call_count;

static const char config[]
    = "{\"version\":5,\"routes\":[{\"name\":\"r1\",\"hostname\":"
      "\"app.example\",\"prefix\":\"/safe/\",\"backend\":\"app\","
      "\"routeType\":\"idempotent\",\"attempts\":2,\"timeoutMs\":1500,"
      "\"targetLatencyMs\":150,\"priority\":2}],\"backends\":[{\"name\":"
      "\"app\",\"healthPath\":\"/health\",\"maxConns\":100},{\"name\":"
      "\"keep\",\"kvStoreAddr\":\"" SOAK_IP ":%u\",\"zone\":\"z\","
      "\"kvCapacity\":112575,\"maxConcurrency\":12,\"managed\":true}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
      "\"name\":\"bozi300\",\"apiKeys\":[\"key-1\"]}]}";

static bool
kvstore_call (struct fleet *fleet, struct callerconn *conn)
{
  static const char body[] = "{\"bootEpoch\":7,\"next\":2,\"hasGap\":false,"
                             "\"events\":[119],\"clock_ms\":1000.0}";

  call_count++;
  if (!wrong_due || !g_str_has_prefix (conn->target->str, "/kv-events"))
    return false;
  wrong_due = false;
  fleet_say (fleet, "the store answers %s with %s", conn->target->str, body);
  callerconn_respond (conn, 200, "Content-Type: application/json\r\n", body,
                      strlen (body));
  return true;
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
  wrong_due = fleet->trouble;
}

int
main (int argc, char **argv)
{
  static const struct fleet_settings settings = { .hosts = 3, .work_ms = 400 };
  static struct fleet fleet;
  unsigned lost = 0;
  char *text;

  fleet_init (&fleet, argc > 1 ? argv[1] : ".", &settings);
  fleet.kvstore_call = kvstore_call;
  for (unsigned i = 0; i < 4; i++)
    fleet_add_engine (&fleet, "app", false);
  text = g_strdup_printf (config, fleet.kvstore_port);
  fleet_write_config (&fleet, text);
  g_free (text);
  fleet_start_hosts (&fleet);
  fleet_after (&fleet, READY_MS, callers_start);
  fleet_after (&fleet, TROUBLE_MS, trouble_begin);
  fleet_run (&fleet, RUN_MS);
  fleet_say (&fleet, "calls that the store got: %u", call_count);
  for (unsigned i = 0; i < settings.hosts; i++)
    lost = MAX (lost, fleet_count_lost (&fleet, i));
  return fleet_finish (&fleet, "LOST", lost, ALLOWED);
}
