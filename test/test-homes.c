#include "choose.h"
#include "clock.h"
#include "dialect-platform.h"
#include "entry.h"
#include "entryplaces.h"
#include "forwardhomes.h"
#include "kvstoreuse.h"
#include "unit.h"

#include <string.h>

#define PATH                                                                  \
  "{\"name\":\"r\",\"hostname\":\"one\",\"prefix\":\"/\","                    \
  "\"routeType\":\"idempotent\",\"backend\":\"svc\","                         \
  "\"timeoutMs\":1000"
#define DOCUMENT(route, tenant)                                               \
  "{\"version\":1,\"routes\":[" PATH route "}],\"tenants\":[{\"name\":\"o\"," \
  "\"apiKeys\":[\"k\"]" tenant "}],"                                          \
  "\"limits\":{\"headerTimeoutMs\":1,\"idleTimeoutMs\":1}}"
#define HOMES(list) ",\"allowedRegions\":" list

/* The data centres a and b are in the region east, c is in west. */
static const struct places places
    = { { { "a", "east" }, { "b", "east" }, { "c", "west" } }, 3 };
static const struct places no_places;
static char *east[] = { "east", NULL };
static char *west[] = { "west", NULL };
static char *both[] = { "east", "west", NULL };
static char *none[] = { NULL };
static char *north[] = { "north", NULL };

/* A request was served or passed on outside its homes, or homes took effect
 * where they are not set. */
static void
test_table (void)
{
  static const struct
  {
    const char *name;
    struct homes homes;
    const char *data_centre;
    bool allowed;
    bool host_allowed; /* for a caller in the west */
  } rows[] = {
    { "no homes", { &places, NULL, NULL }, "a", true, true },
    { "empty homes", { &places, none, none }, "a", true, true },
    { "home", { &places, east, NULL }, "b", true, true },
    { "other region", { &places, east, NULL }, "c", false, true },
    { "other region than the caller's",
      { &places, west, NULL },
      "a",
      false,
      false },
    { "organisation", { &places, NULL, west }, "a", false, false },
    { "both, one allows", { &places, east, west }, "a", false, false },
    { "both allow", { &places, both, east }, "a", true, true },
    { "unknown data centre", { &places, both, NULL }, "x", false, false },
    { "unknown data centre, no homes",
      { &places, NULL, NULL },
      "x",
      true,
      true },
    { "no regions are known", { NULL, east, NULL }, "c", true, true },
    { "map of nothing", { &no_places, east, NULL }, "c", true, true },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct route route = { .homes = (char **)rows[i].homes.route };
      struct organisation organisation
          = { .homes = (char **)rows[i].homes.organisation };
      struct forwarder forwarder
          = { .places = rows[i].homes.places, .region = "west" };
      const struct forward forward = { .forwarder = &forwarder,
                                       .route = &route,
                                       .organisation = &organisation };

      unit_expect (
          homes_allow_data_centre (&rows[i].homes, rows[i].data_centre)
              == rows[i].allowed,
          "allowed", rows[i].name);
      unit_expect (forwardhomes_allow_host (&forward, rows[i].data_centre)
                       == rows[i].host_allowed,
                   "host allowed", rows[i].name);
    }
  CU_ASSERT_FALSE (
      homes_allow_host (&(struct homes){ &places, east, NULL }, "x", ""));
  CU_ASSERT_TRUE (homes_allow_data_centre (NULL, "c"));
}

/* A malformed restriction counted as none. */
static void
test_configuration (void)
{
  static const struct
  {
    const char *text;
    bool valid;
    const char *route; /* first home */
    const char *organisation;
  } rows[] = {
    { DOCUMENT ("", ""), true, NULL, NULL },
    { DOCUMENT (HOMES ("[]"), HOMES ("null")), true, NULL, NULL },
    { DOCUMENT (HOMES ("[\"east\"]"), ""), true, "east", NULL },
    { DOCUMENT ("", HOMES ("[\"west\",\"east\"]")), true, NULL, "west" },
    { DOCUMENT (HOMES ("\"east\""), ""), false, NULL, NULL },
    { DOCUMENT (HOMES ("[\"east\",7]"), ""), false, NULL, NULL },
    { DOCUMENT ("", HOMES ("[\"\"]")), false, NULL, NULL },
    { DOCUMENT ("", HOMES ("{}")), false, NULL, NULL },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct routes *routes;
      struct error error;
      bool valid
          = dialect_platform.routes_decode (rows[i].text, &routes, &error)
            == STATUS_OK;

      unit_expect (valid == rows[i].valid, "valid", rows[i].text);
      if (!valid)
        continue;
      const struct route *route = routes->all_routes->pdata[0];
      const struct organisation *organisation
          = routes_find_organisation (routes, "k");

      unit_expect (g_strcmp0 (route->homes != NULL ? route->homes[0] : NULL,
                              rows[i].route)
                       == 0,
                   "route", rows[i].text);
      unit_expect (g_strcmp0 (organisation->homes != NULL
                                  ? organisation->homes[0]
                                  : NULL,
                              rows[i].organisation)
                       == 0,
                   "organisation", rows[i].text);
      routes_unref (routes);
    }
}

static void
ignore_server (void *data, const struct server *server, const char *change)
{
}

static const struct servers_ops servers_ops = { ignore_server, NULL };

/* A server or a store outside the homes was chosen. */
static void
test_servers_and_stores (void)
{
  const struct call call = { 0 };
  const struct call_block block = { .id = 1, .tokens = 10 };
  struct choose_query query = { .service = "svc", .call = &call };
  struct routes *routes = routes_new ();
  struct service *service = routes_add_service (routes, "store");
  struct kvstores kvstores;
  struct kvstore *store;
  struct clock_fake clock;
  struct servers servers;
  struct choose_result result;
  struct rng rng;

  rng_init (&rng, 1);
  clock_fake_init (&clock, 100 * NS_PER_S);
  servers_init (&servers, NULL, &clock.clock, "a", NS_PER_S, &servers_ops,
                NULL);
  for (const char *name = "abc"; *name != '\0'; name++)
    {
      struct server_entry entry = { .slots = 4 };

      entry.id[0] = entry.data_centre[0] = *name;
      g_strlcpy (entry.service, "svc", sizeof entry.service);
      servers_update (&servers, &entry, 1);
    }
  query.homes = (struct homes){ &places, west, NULL };
  choose_server (&servers, &choose_settings_default, &query, &rng, &result);
  CU_ASSERT_STRING_EQUAL (result.server->entry.id, "c");
  CU_ASSERT_EQUAL (result.candidates, 1);
  CU_ASSERT_EQUAL (result.other_region, 2);
  query.homes.organisation = east;
  choose_server (&servers, &choose_settings_default, &query, &rng, &result);
  CU_ASSERT_PTR_NULL (result.server);
  CU_ASSERT_EQUAL (result.other_region, 3);
  servers_finish (&servers);

  kvstores_init (&kvstores, &kvstores_settings_default, &clock.clock, NULL,
                 NULL, NULL);
  service->is_store = true;
  service->address = g_strdup ("127.0.0.1:1");
  service->data_centre = g_strdup ("c");
  service->kv_capacity_tokens = 1000;
  kvstores_configure (&kvstores, routes);
  store = kvstores_find_store (&kvstores, "store");
  store->in_sync = true;
  store->confirmed_until_ns = INT64_MAX;
  g_hash_table_insert (store->blocks, g_strdup ("s 1"), GUINT_TO_POINTER (10));
  for (unsigned i = 0; i < 2; i++)
    {
      const struct homes homes = { &places, i == 0 ? east : west, NULL };
      const struct kvstore *expected = i == 0 ? NULL : store;

      CU_ASSERT_PTR_EQUAL (
          kvstores_find_block (&kvstores, "s", &block, "a", &homes), expected);
      CU_ASSERT_PTR_EQUAL (
          kvstores_choose_save_target (&kvstores, 2, 10, "a", &homes),
          expected);
    }
  kvstores_finish (&kvstores);
  routes_unref (routes);
}

static void
host_enter (struct presence *presence, const char *data_centre)
{
  char *key = g_strconcat ("host/", data_centre, NULL);
  char *value = g_strdup_printf (
      "{\"address\":\"%s\",\"peer\":\"p\",\"data_centre\":\"%s\"}",
      data_centre, data_centre);
  struct error error;

  CU_ASSERT_EQUAL (presence_key_put (presence, key, value, &error), STATUS_OK);
  g_free (value);
  g_free (key);
}

/* The directory named hosts from which the requests of a caller may not be
 * served, or none. */
static void
test_directory (void)
{
  static const struct
  {
    const char *target;
    char **homes;
    const char *listed; /* sorted */
  } rows[] = {
    { "/resolve", east, "abc" },
    { "/resolve?name=one", NULL, "abc" },
    { "/resolve?name=two", east, "abc" },
    { "/resolve?name=one", east, "ab" },
    { "/resolve?name=one&region=west", east, "abc" },
    { "/resolve?zone=c&name=one", east, "abc" },
    { "/resolve?name=one&region=east", west, "abc" },
    { "/resolve?name=%6fne&region=east", east, "ab" },
    { "/resolve?name=one&name=one", east, "abc" },
    { "/resolve?name=one&region=west&region=west", east, "ab" },
    { "/resolve?name=one", north, "abc" },
  };
  static struct settings settings = { .places.regions = { { { "" } }, 0 } };
  static struct entry entry;
  struct clock_fake clock;

  clock_fake_init (&clock, NS_PER_S);
  entry.settings = &settings;
  entry.dialect = &dialect_platform;
  settings.places.regions = places;
  g_strlcpy (settings.process.data_centre, "a", SETTINGS_TEXT_MAX);
  entryplaces_apply (&entry);
  CU_ASSERT_STRING_EQUAL (entry.forwarder.region, "east");
  presence_init (&entry.presence, NULL, &clock.clock, "host/a",
                 &(struct presence_host){ .address = "a", .data_centre = "a" },
                 NS_PER_S);
  host_enter (&entry.presence, "b");
  host_enter (&entry.presence, "c");
  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct routes *routes = routes_new ();
      struct route *route = routes_add_route (routes);
      GPtrArray *addresses = g_ptr_array_new ();
      char listed[4] = "";

      route->host = g_strdup ("one");
      route->prefix = g_strdup ("/");
      route->homes = g_strdupv (rows[i].homes);
      routes_build_index (routes);
      entry.forwarder.routes = routes;
      entryplaces_list_addresses (&entry, rows[i].target, addresses);
      for (const char *name = "abc"; *name != '\0'; name++)
        for (guint j = 0; j < addresses->len; j++)
          if (*(const char *)addresses->pdata[j] == *name)
            listed[strlen (listed)] = *name;
      unit_expect (strcmp (listed, rows[i].listed) == 0, listed,
                   rows[i].target);
      g_ptr_array_free (addresses, TRUE);
      routes_unref (routes);
    }
  presence_finish (&entry.presence);
}

static const struct unit_case cases[] = {
  { "table", test_table },
  { "configuration", test_configuration },
  { "servers-and-stores", test_servers_and_stores },
  { "directory", test_directory },
};

int
main (void)
{
  return unit_run ("homes", cases, G_N_ELEMENTS (cases));
}
