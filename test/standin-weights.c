#include "standin-http.h"

/** @file
 * Role "weights": the rate-limited weight store. A load takes --load-ms, and
 * that much longer for each further --limit loads that are under way.
 */

static int load_ms = 500;
static int limit = 3;

static struct
{
  int64_t active;
  int64_t max_active;
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
  http_ok (data);
}

static void
weights_load (const struct call *call)
{
  int64_t shares = (self.active + limit) / MAX (limit, 1);

  self.active++;
  self.total++;
  self.max_active = MAX (self.max_active, self.active);
  server_after ((uint64_t)(load_ms * shares), on_loaded, call->req);
}

static const struct route routes[]
    = { { "GET", "/v1/weights/", weights_load }, { 0 } };

static const struct counter counters[] = { { "active", &self.active },
                                           { "max_active", &self.max_active },
                                           { "total", &self.total },
                                           { 0 } };

const struct role role_weights = {
  .name = "weights", .options = options, .routes = routes, .counters = counters
};
