#include "standin-run.h"

#include <string.h>
#include <xxhash.h>

struct import
{
  struct run *run;
  size_t index;
  struct json_object *info; /* of the run's request */
};

static bool
import_matches (const struct import *import, const struct fetch_reply *reply)
{
  struct json_object *info = import->info;
  char generation[32], checksum[17];

  snprintf (generation, sizeof generation, "/%lld",
            (long long)json_int (info, "generation", -1));
  snprintf (checksum, sizeof checksum, "%016llx",
            (unsigned long long)XXH3_64bits (reply->body, reply->size));
  return reply->status == 200
         && g_str_has_suffix (json_string (info, "url", ""), generation)
         && (int64_t)reply->size == json_int (info, "length", -1)
         && strcmp (checksum, json_string (info, "checksum", "")) == 0;
}

static void
import_check_bytes (const char *block, const struct fetch_reply *reply)
{
  size_t size;
  uint8_t *bytes = block_bytes (block, &size);

  if (size != reply->size || memcmp (bytes, reply->body, size) != 0)
    engine_stats.wrong_bytes++;
  g_free (bytes);
}

static void
on_import (void *data, const struct fetch_reply *reply)
{
  struct import *import = data;
  struct run *run = import->run;
  bool matches = import_matches (import, reply);

  if (matches)
    import_check_bytes (json_string (import->info, "block", ""), reply);
  g_array_index (run->imports_ok, bool, import->index) = matches;
  g_free (import);
  run_wait_over (run);
}

void
run_import (struct run *run)
{
  struct json_object *imports = run_part (run, "imports");
  size_t count = imports ? json_object_array_length (imports) : 0;
  const char *block;

  run->imports_ok = g_array_new (FALSE, TRUE, sizeof (bool));
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *info = json_object_array_get_idx (imports, i);
      size_t index = run->imports_ok->len;
      struct import *import;

      block = run_block (run, (size_t)run->cached + index);
      if (!block || strcmp (block, json_string (info, "block", "")) != 0)
        continue;
      g_array_set_size (run->imports_ok, (guint)index + 1);
      import = g_new0 (struct import, 1);
      import->run = run;
      import->index = index;
      import->info = info;
      run->waits++;
      fetch ("GET", json_string (info, "url", ""), NULL, 0, on_import, import);
    }
}
