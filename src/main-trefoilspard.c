#include "dialect-platform.h"
#include "entry.h"
#include "event.h"
#include "gateway.h"
#include "settings.h"
#include "shard.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  EXIT_USAGE = 2
};

static char *config_path;
static gboolean check_config;
static gboolean help_settings;
static gboolean help_events;

static const GOptionEntry options[] = {
  { "config", 'c', 0, G_OPTION_ARG_FILENAME, &config_path,
    "Read the settings from FILE", "FILE" },
  { "check-config", 0, 0, G_OPTION_ARG_NONE, &check_config,
    "Check the settings and exit", NULL },
  { "help-settings", 0, 0, G_OPTION_ARG_NONE, &help_settings,
    "Print the table of settings and exit", NULL },
  { "help-events", 0, 0, G_OPTION_ARG_NONE, &help_events,
    "Print the table of log events and exit", NULL },
  { 0 },
};

static int
parse_options (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (
      "- run a trefoilspar process in the role that its settings specify");
  GError *error = NULL;
  gboolean parsed;

  g_option_context_add_main_entries (context, options, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!parsed)
    {
      fprintf (stderr, "trefoilspard: %s\n", error->message);
      g_error_free (error);
      return EXIT_USAGE;
    }
  /* The platform may pass the path of the settings file in the environment. */
  if (config_path == NULL)
    config_path = g_strdup (g_getenv (DIALECT_SETTINGS_VARIABLE));
  if (config_path == NULL && !help_settings && !help_events)
    {
      fputs ("trefoilspard: --config FILE is needed\n", stderr);
      return EXIT_USAGE;
    }
  return EXIT_SUCCESS;
}

static int
print_error (const struct error *error)
{
  fprintf (stderr, "trefoilspard: %s\n", error->message);
  return EXIT_FAILURE;
}

static int
run_gateway (const struct settings *settings)
{
  static struct gateway gateway;
  struct error error;

  if (gateway_init (&gateway, settings, &error) != STATUS_OK)
    return print_error (&error);
  gateway_run (&gateway);
  gateway_finish (&gateway);
  return EXIT_SUCCESS;
}

static int
run_shard (const struct settings *settings)
{
  static struct shard shard;
  struct error error;

  if (shard_init (&shard, settings, &error) != STATUS_OK)
    return print_error (&error);
  shard_run (&shard);
  shard_finish (&shard);
  return EXIT_SUCCESS;
}

static int
run_entry (struct settings *settings)
{
  static struct entry entry;
  struct error error;

  if (entry_init (&entry, settings, config_path, &dialect_platform, &error)
      != STATUS_OK)
    return print_error (&error);
  entry_run (&entry);
  entry_finish (&entry);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static struct settings settings;
  struct error error;
  int status;

  /* The settings may change while they are first read. The roles that read
   * them again handle the signal later, and look at the file themselves. */
  signal (SIGHUP, SIG_IGN);
  status = parse_options (argc, argv);
  if (status != EXIT_SUCCESS)
    return status;
  if (help_settings)
    {
      settings_print_help (stdout);
      return EXIT_SUCCESS;
    }
  if (help_events)
    {
      event_print_help (stdout);
      return EXIT_SUCCESS;
    }
  if (settings_read_file (config_path, &settings, &error) != STATUS_OK)
    return print_error (&error);
  if (check_config)
    return EXIT_SUCCESS;
  switch (settings.process.role)
    {
    case ROLE_GATEWAY:
      return run_gateway (&settings);
    case ROLE_SHARD:
      return run_shard (&settings);
    default:
      return run_entry (&settings);
    }
}
