#include "decode.h"
#include "fuzz.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* A reply about cached blocks, as events and as a list. */
static void
rows_decode (const char *text)
{
  struct json_object *reply = json_tokener_parse (text);
  int64_t clock_ns;

  for (int is_list = 0; is_list <= 1; is_list++)
    {
      unsigned count, ignored;
      struct cache_block *blocks
          = decode_cache_rows (reply, is_list, &count, &ignored);

      for (unsigned i = 0; i < count; i++)
        assert (memchr (blocks[i].scope, '\0', sizeof blocks[i].scope)
                != NULL);
      g_free (blocks);
    }
  if (decode_engine_clock (reply, &clock_ns))
    assert (clock_ns >= 0);
  json_object_put (reply);
}

/* The configuration, the entry of a server, a wanted version and a reply about
 * cached blocks, by the first byte. What is accepted must be whole. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = g_strndup (size > 0 ? (const char *)data + 1 : "",
                          size > 0 ? size - 1 : 0);
  struct server_entry entry;
  struct routes *routes = NULL;
  struct error error;
  char model[SERVER_NAME_MAX];
  uint64_t version;

  switch (size > 0 ? data[0] % 4 : 0)
    {
    case 0:
      assert ((decode_routes (text, &routes, &error) == STATUS_OK)
              == (routes != NULL));
      routes_unref (routes);
      break;
    case 1:
      if (decode_server_entry ("i", text, &entry, &error) == STATUS_OK)
        assert (entry.service[0] != '\0' && entry.address[0] != '\0');
      break;
    case 3:
      rows_decode (text);
      break;
    default:
      if (decode_wanted_version (text, model, &version, &error) == STATUS_OK)
        assert (model[0] != '\0');
      break;
    }
  g_free (text);
  return 0;
}
