#ifndef UNIT_H
#define UNIT_H

#include <CUnit/CUnit.h>
#include <stdbool.h>

/** @file
 * Runs one CUnit suite and prints a line "ok SUITE/CASE" or
 * "not ok SUITE/CASE" for each case.
 */

/** Assert that HOLDS; if not, print WHAT and the escaped INPUT. For checks
 * that a table of inputs is run through. */
void unit_expect (bool holds, const char *what, const char *input);

struct unit_case
{
  const char *name;
  void (*run) (void);
};

/** @return the program's exit status: 0 if every case passed, 1 if a case
 * failed, 2 if CUnit could not be set up. */
int unit_run (const char *suite, const struct unit_case *cases,
              unsigned count);

#endif
