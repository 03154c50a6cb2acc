#include "fuzz.h"

#include <glib.h>
#include <stdio.h>

/* Runs a fuzz target on every file of a directory: fuzz-NAME DIRECTORY. */
int
main (int argc, char **argv)
{
  GDir *directory = argc == 2 ? g_dir_open (argv[1], 0, NULL) : NULL;
  const char *name;
  unsigned count = 0;

  if (directory == NULL)
    {
      fprintf (stderr, "usage: %s DIRECTORY\n", argv[0]);
      return 2;
    }
  while ((name = g_dir_read_name (directory)) != NULL)
    {
      char *path = g_build_filename (argv[1], name, NULL);
      char *text;
      gsize size;

      if (g_file_get_contents (path, &text, &size, NULL))
        {
          printf ("# %s\n", name);
          fflush (stdout);
          LLVMFuzzerTestOneInput ((const uint8_t *)text, size);
          g_free (text);
          count++;
        }
      g_free (path);
    }
  g_dir_close (directory);
  printf ("# %u files\n", count);
  return count > 0 ? 0 : 1;
}
