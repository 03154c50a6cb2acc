#include "standin-http.h"

/** @file
 * Role "hosts": the lagging host list. POST /control/hosts {"hosts": [...]}
 * replaces it; GET /v1/hosts shows that after --lag-ms.
 */

static int lag_ms;
static struct json_object *visible; /* the hosts that callers see */

static const GOptionEntry options[] = {
  { "lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms, "Age of what is seen", "MS" },
  { 0 },
};

static void
start (void)
{
  visible = json_object_new_array ();
}

static void
hosts_show (void *data)
{
  json_object_put (visible);
  visible = data;
}

static void
hosts_set (const struct call *call)
{
  struct json_object *hosts = json_array (call->body, "hosts");

  if (!hosts)
    {
      http_code (call->req, 400, "malformed");
      return;
    }
  json_object_get (hosts);
  if (lag_ms > 0)
    server_after ((uint64_t)lag_ms, hosts_show, hosts);
  else
    hosts_show (hosts);
  http_ok (call->req);
}

static void
hosts_list (const struct call *call)
{
  json_object_get (visible);
  http_json (call->req, 200, json_put (NULL, "hosts", 'o', visible, NULL));
}

static const struct route routes[] = { { "POST", "/control/hosts", hosts_set },
                                       { "GET", "/v1/hosts", hosts_list },
                                       { 0 } };

const struct role role_hosts = {
  .name = "hosts", .options = options, .routes = routes, .start = start
};
