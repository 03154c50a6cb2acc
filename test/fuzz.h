#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * The entry of a fuzz target. A fault shows as a failed assertion or as a
 * report of a sanitizer.
 */

/** Run the target on SIZE bytes of DATA. @return 0. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#endif
