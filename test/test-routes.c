#include "routes.h"
#include "unit.h"

static struct routes *
sample_routes (void)
{
  static const char *const prefixes[] = { "/a/", "/a/b/", "/" };
  struct routes *routes = routes_new ();

  for (unsigned i = 0; i < G_N_ELEMENTS (prefixes); i++)
    {
      struct route *route = routes_add_route (routes);

      route->name = g_strdup (prefixes[i]);
      route->host = g_strdup ("one.example");
      route->prefix = g_strdup (prefixes[i]);
    }
  routes_build_index (routes);
  return routes;
}

static void
test_longest_prefix (void)
{
  struct routes *routes = sample_routes ();

  CU_ASSERT_STRING_EQUAL (
      routes_find_route (routes, "one.example", "/a/b/c")->name, "/a/b/");
  CU_ASSERT_STRING_EQUAL (
      routes_find_route (routes, "one.example", "/a/bc")->name, "/a/");
  CU_ASSERT_STRING_EQUAL (
      routes_find_route (routes, "one.example", "/a")->name, "/");
  CU_ASSERT_PTR_NULL (routes_find_route (routes, "two.example", "/a/"));
  routes_unref (routes);
}

static void
test_shares_by_weight (void)
{
  struct routes *routes = routes_new ();
  struct route *route = routes_add_route (routes);
  unsigned first = 0;

  route->host = g_strdup ("h");
  route->prefix = g_strdup ("/");
  CU_ASSERT_PTR_NULL (route_pick_service (route, 0.5));
  route_add_share (route, "x", 90);
  route_add_share (route, "none", 0);
  route_add_share (route, "y", 10);
  for (unsigned i = 0; i < 100; i++)
    first += route_pick_service (route, i / 100.0)[0] == 'x';
  CU_ASSERT_EQUAL (first, 90);
  CU_ASSERT_STRING_EQUAL (route_pick_service (route, 0.95), "y");
  routes_unref (routes);
}

static void
test_keys (void)
{
  struct routes *routes = routes_new ();
  struct organisation *one = routes_add_organisation (routes, "one");

  routes_add_key (routes, "k1", one);
  routes_add_key (routes, "k2", one);
  CU_ASSERT_PTR_EQUAL (routes_find_organisation (routes, "k1"), one);
  CU_ASSERT_PTR_EQUAL (routes_find_organisation (routes, "k2"), one);
  CU_ASSERT_PTR_NULL (routes_find_organisation (routes, "k"));
  routes_unref (routes);
}

/* A request keeps its snapshot of the routes after a newer one replaces it. */
static void
test_snapshot_outlives_its_successor (void)
{
  struct routes *routes = sample_routes ();
  struct routes *kept = routes_ref (routes);

  routes_unref (routes);
  CU_ASSERT_PTR_NOT_NULL (routes_find_route (kept, "one.example", "/a/"));
  routes_unref (kept);
}

static void
test_which_kinds_allow_retry (void)
{
  struct route route = { .kind = ROUTE_IDEMPOTENT };

  CU_ASSERT_TRUE (route_allows_retry (&route));
  route.kind = ROUTE_NON_IDEMPOTENT;
  route.resumable = true;
  CU_ASSERT_FALSE (route_allows_retry (&route));
  route.kind = ROUTE_STREAM;
  CU_ASSERT_TRUE (route_allows_retry (&route));
  route.resumable = false;
  CU_ASSERT_FALSE (route_allows_retry (&route));
}

static const struct unit_case cases[] = {
  { "longest-prefix", test_longest_prefix },
  { "shares-by-weight", test_shares_by_weight },
  { "keys", test_keys },
  { "snapshot-outlives-its-successor", test_snapshot_outlives_its_successor },
  { "what-may-be-repeated", test_which_kinds_allow_retry },
};

int
main (void)
{
  return unit_run ("routes", cases, G_N_ELEMENTS (cases));
}
