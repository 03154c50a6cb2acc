#include "standin-http.h"

#include <string.h>

/** @file
 * standin ROLE [options]: one small program in place of each outside system,
 * for tests. It answers the mapping in docs/INTERFACES.md and prints
 * "listening PORT" when it is ready.
 */

static const struct role *const roles[]
    = { &role_kv,      &role_engine, &role_store,
        &role_weights, &role_hosts,  &role_service };

static const struct role *
role_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (roles); i++)
    if (strcmp (roles[i]->name, name) == 0)
      return roles[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct role *role = argc > 1 ? role_find (argv[1]) : NULL;
  char *address = NULL;
  int port = 0;
  GOptionEntry common[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &address, "IP to listen on",
      "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port; 0: a free one", "N" },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (
      "kv|engine|store|weights|hosts|service - stand-in for tests");
  GError *error = NULL;

  g_option_context_add_main_entries (context, common, NULL);
  if (role && role->options)
    g_option_context_add_main_entries (context, role->options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin: %s\n", error->message);
      return 2;
    }
  if (!role || argc != 2)
    {
      fprintf (stderr, "usage: standin ROLE [--help]\n");
      return 2;
    }
  g_option_context_free (context);
  return server_run (role, address ? address : "127.0.0.1", port);
}
