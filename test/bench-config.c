#include "conftext.h"
#include "merge.h"
#include "rng.h"
#include "textzip.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* What a configuration costs a process, by the number of organisations. */

enum
{
  KINDS = 4,
  MODELS = 14,
  CHANGES = 50,
  CHANGES_A_DAY = 41000,
  DAY_S = 86400
};

static double
cpu_s (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static GString *
sheet_of (unsigned organisations)
{
  struct config *empty = config_new_empty ();
  char *header = sheet_export (empty);
  GString *text = g_string_new (header);
  unsigned rows = 2 * MODELS;
  struct rng rng;

  rng_init (&rng, 1);
  g_string_truncate (text, text->len - strlen ("end,0\n"));
  for (unsigned i = 0; i < MODELS; i++)
    g_string_append_printf (
        text, "model,,,,m%u,v1,engines\nversion,,,,m%u,v1\n", i, i);
  for (unsigned i = 0; i < organisations; i++)
    {
      g_string_append_printf (text, "organisation,,o%u,,,,,1,10,10\n", i);
      g_string_append_printf (text, "key,,o%u,k,,,,,,,,,,,,", i);
      for (unsigned j = 0; j < 4; j++)
        g_string_append_printf (text, "%016lx",
                                (unsigned long)rng_next (&rng));
      g_string_append_c (text, '\n');
      for (unsigned j = 0; j < KINDS; j++)
        g_string_append_printf (
            text, "kind,,o%u,k%u,m%u,,,,,,1,5000,,yes,yes\n", i, j, j);
      rows += 2 + KINDS;
    }
  g_string_append_printf (text, "end,%u\n", rows);
  g_free (header);
  config_unref (empty);
  return text;
}

static struct config *
config_of (unsigned organisations)
{
  struct config *empty = config_new_empty (), *config;
  GString *text = sheet_of (organisations);
  struct sheet sheet;
  struct merge merge;

  sheet_init (&sheet, text->str, text->len);
  merge_init (&merge, &sheet, empty);
  config = config_ref (merge.result);
  merge_finish (&merge);
  sheet_finish (&sheet);
  g_string_free (text, TRUE);
  config_unref (empty);
  return config;
}

/* A process hears of a change by a peer's delta. */
static void
bench (unsigned organisations)
{
  struct config *config = config_of (organisations);
  char *whole = conftext_delta (config, 0), *root = conftext_root (config);
  struct config *reader = NULL;
  double apply_s = 0, adopt_s = 0, load_s;
  size_t bytes = 0, memory = mallinfo2 ().uordblks;

  load_s = cpu_s ();
  if (conftext_load_delta (&reader, NULL, whole, NULL) != STATUS_OK)
    return;
  load_s = cpu_s () - load_s;
  memory = mallinfo2 ().uordblks - memory;
  for (int i = 0; i < CHANGES; i++)
    {
      char name[32];
      char *text, *delta;
      size_t packed;
      struct sheet sheet;
      struct merge merge;
      struct config *next;
      double begin_s = cpu_s ();

      g_snprintf (name, sizeof name, "n%d", i);
      text = sheet_create_drain (config, name, true);
      sheet_init (&sheet, text, strlen (text));
      merge_init (&merge, &sheet, config);
      apply_s += cpu_s () - begin_s;
      delta = conftext_delta (merge.result, config->revision);
      g_free (textzip_compress (delta, &packed));
      bytes += packed;
      begin_s = cpu_s ();
      if (conftext_load_delta (&next, reader, delta, NULL) != STATUS_OK)
        return;
      config_unref (reader);
      adopt_s += cpu_s () - begin_s;
      reader = next;
      config_unref (config);
      config = config_ref (merge.result);
      merge_finish (&merge);
      sheet_finish (&sheet);
      g_free (text);
      g_free (delta);
    }
  printf ("%u organisations: whole %zu bytes, root %zu bytes, in memory "
          "%.1f MB, load %.1f ms; a change: merge %.2f ms, adopt %.2f ms, "
          "%zu bytes; at %d changes a day %.3f%% of a core, %.2f KB/s\n",
          organisations, strlen (whole), strlen (root), (double)memory / 1e6,
          load_s * 1e3, apply_s * 1e3 / CHANGES, adopt_s * 1e3 / CHANGES,
          bytes / CHANGES, CHANGES_A_DAY,
          adopt_s / CHANGES * CHANGES_A_DAY / DAY_S * 100,
          (double)bytes / CHANGES * CHANGES_A_DAY / DAY_S / 1e3);
  g_free (whole);
  g_free (root);
  config_unref (reader);
  config_unref (config);
}

int
main (void)
{
  bench (10);
  bench (100);
  bench (1000);
  bench (2400);
  return 0;
}
