#include "routes.h"
#include "clock.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Callers give a stream up after a pause of so many times its longest pause
   * or its latency target, whichever is longer, but not before
   * PATIENCE_MIN_MS. */
  PATIENCE_GAPS = 8,
  PATIENCE_TARGETS = 4,
  PATIENCE_MIN_MS = 2000
};

static void
share_clear (void *data)
{
  struct route_share *share = data;

  g_free (share->service);
}

static void
route_free (void *data)
{
  struct route *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_strfreev (route->homes);
  g_array_free (route->shares, TRUE);
  g_free (route);
}

static void
service_free (void *data)
{
  struct service *service = data;

  g_free (service->name);
  g_free (service->address);
  g_free (service->data_centre);
  g_free (service->health_path);
  g_free (service);
}

static void
organisation_free (void *data)
{
  struct organisation *organisation = data;

  g_free (organisation->name);
  g_strfreev (organisation->homes);
  g_free (organisation);
}

static void
route_array_free (void *data)
{
  g_ptr_array_free (data, TRUE);
}

struct routes *
routes_new (void)
{
  struct routes *routes = g_new0 (struct routes, 1);

  routes->reference_count = 1;
  routes->all_routes = g_ptr_array_new_with_free_func (route_free);
  routes->routes_by_host = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  NULL, route_array_free);
  routes->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  routes->organisations = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                                 organisation_free);
  routes->organisations_by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return routes;
}

struct routes *
routes_ref (struct routes *routes)
{
  routes->reference_count++;
  return routes;
}

void
routes_unref (struct routes *routes)
{
  if (routes == NULL || --routes->reference_count > 0)
    return;
  g_hash_table_destroy (routes->routes_by_host);
  g_ptr_array_free (routes->all_routes, TRUE);
  g_hash_table_destroy (routes->organisations_by_key);
  g_hash_table_destroy (routes->organisations);
  g_hash_table_destroy (routes->services);
  g_free (routes);
}

struct route *
routes_add_route (struct routes *routes)
{
  struct route *route = g_new0 (struct route, 1);

  route->shares = g_array_new (FALSE, FALSE, sizeof (struct route_share));
  g_array_set_clear_func (route->shares, share_clear);
  g_ptr_array_add (routes->all_routes, route);
  return route;
}

void
route_add_share (struct route *route, const char *service, double weight)
{
  struct route_share share = { g_strdup (service), weight };

  g_array_append_val (route->shares, share);
  route->weight_total += weight;
}

struct service *
routes_add_service (struct routes *routes, const char *name)
{
  struct service *service = g_new0 (struct service, 1);

  service->name = g_strdup (name);
  g_hash_table_replace (routes->services, service->name, service);
  return service;
}

struct organisation *
routes_add_organisation (struct routes *routes, const char *name)
{
  struct organisation *organisation = g_new0 (struct organisation, 1);

  organisation->name = g_strdup (name);
  g_hash_table_replace (routes->organisations, organisation->name,
                        organisation);
  return organisation;
}

void
routes_add_key (struct routes *routes, const char *key,
                struct organisation *organisation)
{
  g_hash_table_replace (routes->organisations_by_key, g_strdup (key),
                        organisation);
}

static gint
compare_longest_prefix_first (gconstpointer a, gconstpointer b)
{
  const struct route *left = *(struct route *const *)a;
  const struct route *right = *(struct route *const *)b;
  size_t left_length = strlen (left->prefix);
  size_t right_length = strlen (right->prefix);

  return (left_length < right_length) - (left_length > right_length);
}

void
routes_update_isolation (struct routes *routes)
{
  GHashTableIter iter;
  gpointer value;

  routes->isolation = 0;
  g_hash_table_iter_init (&iter, routes->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct organisation *organisation = value;

      if (organisation->isolated)
        routes->isolation
            += XXH3_64bits (organisation->name, strlen (organisation->name))
               | 1;
    }
}

void
routes_build_index (struct routes *routes)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < routes->all_routes->len; i++)
    {
      struct route *route = routes->all_routes->pdata[i];
      GPtrArray *host_routes
          = g_hash_table_lookup (routes->routes_by_host, route->host);

      if (host_routes == NULL)
        {
          host_routes = g_ptr_array_new ();
          g_hash_table_insert (routes->routes_by_host, route->host,
                               host_routes);
        }
      g_ptr_array_add (host_routes, route);
    }
  g_hash_table_iter_init (&iter, routes->routes_by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_sort (value, compare_longest_prefix_first);
  routes_update_isolation (routes);
}

const struct route *
routes_find_route (const struct routes *routes, const char *host,
                   const char *path)
{
  const GPtrArray *host_routes
      = g_hash_table_lookup (routes->routes_by_host, host);

  if (host_routes == NULL)
    return NULL;
  for (guint i = 0; i < host_routes->len; i++)
    {
      const struct route *route = host_routes->pdata[i];

      if (strncmp (path, route->prefix, strlen (route->prefix)) == 0)
        return route;
    }
  return NULL;
}

const struct service *
routes_find_service (const struct routes *routes, const char *name)
{
  return g_hash_table_lookup (routes->services, name);
}

const struct organisation *
routes_find_organisation (const struct routes *routes, const char *key)
{
  return g_hash_table_lookup (routes->organisations_by_key, key);
}

const char *
route_pick_service (const struct route *route, double random_unit)
{
  double remaining = random_unit * route->weight_total;

  for (guint i = 0; i < route->shares->len; i++)
    {
      const struct route_share *share
          = &g_array_index (route->shares, struct route_share, i);

      if (remaining < share->weight)
        return share->service;
      remaining -= share->weight;
    }
  return NULL;
}

bool
route_allows_retry (const struct route *route)
{
  return route->kind == ROUTE_IDEMPOTENT
         || (route->kind == ROUTE_STREAM && route->resumable);
}

int64_t
route_caller_patience_ns (const struct route *route)
{
  return MAX (MAX (PATIENCE_GAPS * route->gap_target_ns,
                   PATIENCE_TARGETS * route->latency_target_ns),
              PATIENCE_MIN_MS * NS_PER_MS);
}
