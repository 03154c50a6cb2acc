#include "decode.h"
#include "fuzz.h"

#include <assert.h>
#include <glib.h>

/* The configuration, the entry of a server and a wanted version, by the first
 * byte. What is accepted must be whole. */
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

  switch (size > 0 ? data[0] % 3 : 0)
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
    default:
      if (decode_wanted_version (text, model, &version, &error) == STATUS_OK)
        assert (model[0] != '\0');
      break;
    }
  g_free (text);
  return 0;
}
