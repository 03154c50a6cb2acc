#include "fake-config.h"
#include "fuzz.h"
#include "merge.h"

#include <assert.h>
#include <json-c/json.h>

/* What is put in force can be exported, and that sheet changes nothing. */
static void
check_result (const struct config *result)
{
  char *text = sheet_export (result);
  struct sheet sheet;
  struct merge merge;

  sheet_init (&sheet, text, strlen (text));
  assert (sheet.usable && sheet.refusals->len == 0);
  merge_init (&merge, &sheet, result);
  assert (merge.result == NULL && merge.refusals->len == 0);
  merge_finish (&merge);
  sheet_finish (&sheet);
  g_free (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct config *config = fake_config ();
  struct sheet sheet;
  struct merge merge;

  sheet_init (&sheet, (const char *)data, size);
  merge_init (&merge, &sheet, config);
  json_object_put (merge_json (&merge));
  assert (sheet.usable || merge.result == NULL);
  if (merge.result != NULL)
    check_result (merge.result);
  merge_finish (&merge);
  sheet_finish (&sheet);
  config_unref (config);
  return 0;
}
