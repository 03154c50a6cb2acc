#include "../common/fleet.h"

#include <string.h>

/** @file
 * A configuration isolates a tenant whose requests have filled the engines'
 * caches; another tenant goes on with prompts that share parts with it.
 */

enum
{
  READY_MS = 4000,
  OTHER_MS = 8000, /* The first tenant has stopped; the second begins. */
  TROUBLE_MS = 7000,
  CONFIG_MS = 2000, /* within which a configuration has to be in force */
  RUN_MS = 22000,
  ALLOWED = 0
};

static int64_t isolated_ns;
static unsigned shared;

static const char config[]
    = "{\"version\":%u,\"routes\":[{\"name\":\"r1\",\"hostname\":"
      "\"app.example\",\"prefix\":\"/gen/\",\"backend\":\"llm\","
      "\"routeType\":\"streaming\",\"attempts\":1,\"timeoutMs\":15000,"
      "\"targetLatencyMs\":800,\"gapTargetMs\":400,\"priority\":1,"
      "\"sticky\":true,\"resumable\":false}],\"backends\":[{\"name\":"
      "\"llm\",\"healthPath\":\"/health\",\"maxConns\":360,\"engine\":{"
      "\"slots\":64,\"kvCapacity\":78177,\"models\":[{\"name\":\"m0\"}]}}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
      "\"name\":\"bozi300\",\"apiKeys\":[\"key-1\"],\"isolated\":%s},{"
      "\"name\":\"dehu400\",\"apiKeys\":[\"key-2\"],\"isolated\":false}]}";

static void
config_write (struct fleet *fleet, unsigned version, bool isolated)
{
  char *text = g_strdup_printf (config, version, isolated ? "true" : "false");

  fleet_write_config (fleet, text);
  g_free (text);
}

/* The engine uses the parts that it has under the salt, from the first on, and
 * keeps the others. */
static void
run_begun (struct fleet_engine *engine, struct callerconn *conn,
           struct fleet_request *request)
{
  struct fleet *fleet = engine->fleet;
  const char *salt = fleet_field (conn, "X-Cache-Salt");
  char **parts = g_strsplit (fleet_field (conn, "X-Prompt-Prefix"), ",", 0);
  int64_t now = clock_now (&fleet->soak.clock);
  bool all_cached = true;

  for (size_t i = 0; parts[i] != NULL; i++)
    {
      char *key = g_strdup_printf ("%s %s", salt, parts[i]);
      const char *maker = g_hash_table_lookup (engine->cache, key);

      all_cached = all_cached && maker != NULL;
      if (maker == NULL)
        g_hash_table_insert (engine->cache, g_strdup (key),
                             (char *)request->tenant);
      else if (all_cached && strcmp (maker, request->tenant) != 0)
        {
          bool is_late
              = isolated_ns != 0
                && request->sent_ns - isolated_ns > CONFIG_MS * NS_PER_MS;

          shared += is_late;
          fleet_say (fleet,
                     "%s: a request of %s uses part %s that %s made, salt "
                     "'%s', %.1f s after the isolation%s",
                     engine->id, request->tenant, parts[i], maker, salt,
                     isolated_ns != 0 ? (double)(now - isolated_ns) / NS_PER_S
                                      : 0.0,
                     is_late ? ": broken" : "");
        }
      g_free (key);
    }
  g_strfreev (parts);
}

static void
caller_add (struct fleet *fleet, const char *tenant, const char *key,
            const char *lines, unsigned requests)
{
  struct fleet_call call = { .method = "POST",
                             .path = "/gen/2f",
                             .key = key,
                             .tenant = tenant,
                             .lines = lines,
                             .deadline_ms = 15000,
                             .patience_ms = 3200,
                             .gap_ms = 300,
                             .requests_max = requests };

  fleet_add_caller (fleet, 0, &call);
}

static void
first_tenant (struct fleet *fleet)
{
  caller_add (fleet, "bozi300", "key-1",
              "X-Model: m0\r\nX-Token-Count: 1460,8\r\nX-Prompt-Prefix: "
              "5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
              2);
}

static void
trouble_begin (struct fleet *fleet)
{
  isolated_ns = fleet->trouble ? clock_now (&fleet->soak.clock) : 0;
  config_write (fleet, 7, fleet->trouble);
}

static void
second_tenant (struct fleet *fleet)
{
  caller_add (fleet, "dehu400", "key-2",
              "X-Model: m0\r\nX-Token-Count: 1460,8\r\nX-Prompt-Prefix: "
              "5c1e07a2:800,91bd3f06:410,77aa01c3:250\r\n",
              0);
}

int
main (int argc, char **argv)
{
  static const struct fleet_settings settings
      = { .hosts = 1, .event_ms = 20, .events = 8 };
  static struct fleet fleet;

  fleet_init (&fleet, argc > 1 ? argv[1] : ".", &settings);
  fleet.run_begun = run_begun;
  fleet_add_engine (&fleet, "llm", true);
  config_write (&fleet, 5, false);
  soak_store_put (&fleet.store, "op/version/m0",
                  "{\"model\":\"m0\",\"version\":1}");
  fleet_start_hosts (&fleet);
  fleet_after (&fleet, READY_MS, first_tenant);
  fleet_after (&fleet, TROUBLE_MS, trouble_begin);
  fleet_after (&fleet, OTHER_MS, second_tenant);
  fleet_run (&fleet, RUN_MS);
  return fleet_finish (&fleet, "WALL", shared, ALLOWED);
}
