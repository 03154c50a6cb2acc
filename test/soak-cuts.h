#ifndef SOAK_CUTS_H
#define SOAK_CUTS_H

#include <stdbool.h>

/** @file
 * A scenario without luck: two hosts, eight engines of three software versions
 * and six callers, whose streams are cut.
 */

/** @param callers_leave Callers break the connections of their streams too,
 * and come back at the other host.
 * @return exit status */
int soak_cuts_run (const char *program, const char *folder, int seed,
                   bool callers_leave);

#endif
