#include "unit.h"

#include <CUnit/Automated.h>
#include <CUnit/TestRun.h>
#include <glib.h>
#include <stdio.h>

void
unit_expect (bool holds, const char *what, const char *input)
{
  char *text = g_strescape (input, NULL);

  if (!holds)
    printf ("# %s: %s\n", what, text);
  CU_ASSERT_TRUE (holds);
  g_free (text);
}

static void
case_completed (const CU_pTest test, const CU_pSuite suite,
                const CU_pFailureRecord failure)
{
  CU_pFailureRecord record = failure;

  printf ("%s %s/%s\n", failure == NULL ? "ok" : "not ok", suite->pName,
          test->pName);
  while (record != NULL)
    {
      printf ("  %s:%u: %s\n", record->strFileName, record->uiLineNumber,
              record->strCondition);
      record = record->pNext;
    }
  fflush (stdout);
}

int
unit_run (const char *name, const struct unit_case *cases, unsigned count)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite (name, NULL, NULL);
  if (suite == NULL)
    return 2;
  for (unsigned i = 0; i < count; i++)
    if (CU_add_test (suite, cases[i].name, cases[i].run) == NULL)
      return 2;
  CU_set_test_complete_handler (case_completed);
  CU_run_all_tests ();
  failures = CU_get_number_of_tests_failed ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
