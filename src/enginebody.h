#ifndef ENGINEBODY_H
#define ENGINEBODY_H

#include "backends.h"
#include "place.h"
#include "request.h"

/** @file
 * The body of a completion as an engine gets it: the caller's own with one
 * object added.
 */

/** ID is the request's at the engine.
 * @return the body, NUL-terminated; the caller frees it with g_free. */
char *enginebody_write (struct request *request, const char *id,
                        struct backends *backends,
                        const struct place_result *result);

#endif
