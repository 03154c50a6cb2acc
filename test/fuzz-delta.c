#include "conftext.h"
#include "fake-config.h"
#include "fuzz.h"

#include <assert.h>

/* The text as a peer's delta on top of a small configuration. What is taken
 * can be handed on. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct config *previous = fake_config ();
  struct config *loaded = NULL, *again = NULL;
  char *text = g_strndup ((const char *)data, size);
  char *delta;
  struct error error;

  if (conftext_load_delta (&loaded, previous, text, &error) == STATUS_OK)
    {
      assert (loaded->revision > previous->revision);
      delta = conftext_delta (loaded, 0);
      assert (conftext_load_delta (&again, NULL, delta, &error) == STATUS_OK);
      assert (strcmp (again->digest, loaded->digest) == 0);
      config_unref (again);
      config_unref (loaded);
      g_free (delta);
    }
  config_unref (previous);
  g_free (text);
  return 0;
}
