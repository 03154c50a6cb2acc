#include "soak-config.h"

static char *
route_text (const struct soak *soak, enum soak_kind kind)
{
  static const char *const types[SOAK_KINDS]
      = { "idempotent", "non_idempotent", "streaming" };

  return g_strdup_printf (
      "{\"name\":\"r%d\",\"hostname\":\"" SOAK_ROUTES_HOST
      "\",\"prefix\":\"%s\",\"routeType\":\"%s\",\"timeoutMs\":%u,"
      "\"targetLatencyMs\":500,\"priority\":1,\"backend\":\"app\","
      "\"attempts\":3,\"public\":false,\"resumable\":%s,\"gapTargetMs\":300}",
      kind, soak_kind_prefix (kind), types[kind], soak->route_timeout_ms,
      kind == SOAK_STREAM ? "true" : "false");
}

void
soak_config_write (struct soak_store *store, unsigned version)
{
  char *routes[SOAK_KINDS];
  char *text;

  for (int i = 0; i < SOAK_KINDS; i++)
    routes[i] = route_text (store->soak, (enum soak_kind)i);
  text = g_strdup_printf (
      "{\"version\":%u,\"routes\":[%s,%s,%s],\"backends\":[{\"name\":\"app\","
      "\"healthPath\":\"/health\",\"coldS\":%d,\"coldPerS\":%d,"
      "\"maxConns\":100}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":"
      "3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":"
      "\"" SOAK_ORGANISATION "\",\"apiKeys\":[\"" SOAK_KEY
      "\"],\"priority\":1}]}",
      version, routes[0], routes[1], routes[2], SOAK_COLD_MS / 1000,
      store->soak->cold_engines ? SOAK_COLD_PER_S : 0);
  soak_store_put (store, "op/config", text);
  for (int i = 0; i < SOAK_KINDS; i++)
    g_free (routes[i]);
  g_free (text);
}
