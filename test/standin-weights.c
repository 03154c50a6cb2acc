#include "standin-http.h"

/** @file
 * Role "weights": the rate-limited weight store. A load takes --load-ms, and
 * that much longer for each further --limit loads that are under way.
 */

static int load_ms = 500;
static int limit = 3;

static struct
{
  int active;
  int max_active;
  int64_t total;
} self;

static const GOptionEntry options[] = {
  { "load-ms", 0, 0, G_OPTION_ARG_INT, &load_ms, "Time of one load", "MS" },
  { "limit", 0, 0, G_OPTION_ARG_INT, &limit, "Loads at full speed", "N" },
  { 0 },
};

static void
on_loaded (void *data)
{
  self.active--;
  http_json (data, 200, json_object_new_object ());
}

static bool
handle (const struct call *call)
{
  if (!g_str_has_prefix (call->path, "/v1/weights/"))
    return false;
  self.active++;
  self.total++;
  self.max_active = MAX (self.max_active, self.active);
  server_after ((uint64_t)load_ms
                    * (uint64_t)((self.active + limit - 1) / MAX (limit, 1)),
                on_loaded, call->req);
  return true;
}

static void
stats (struct json_object *object)
{
  json_put_int (object, "active", self.active);
  json_put_int (object, "max_active", self.max_active);
  json_put_int (object, "total", self.total);
}

const struct role role_weights = {
  .name = "weights", .options = options, .handle = handle, .stats = stats
};
