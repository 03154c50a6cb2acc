#include "fuzz.h"
#include "settings.h"

#include <assert.h>
#include <glib.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct settings settings;
  char *text = g_strndup ((const char *)data, size);
  struct error error;
  enum status status = settings_parse (&settings, text, "fuzz", &error);

  assert (status == STATUS_OK || status == STATUS_INVALID);
  g_free (text);
  return 0;
}
