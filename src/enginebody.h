#ifndef ENGINEBODY_H
#define ENGINEBODY_H

#include "backends.h"
#include "place.h"
#include "request.h"

/** @file
 * Body of a completion request to an engine: the caller's body with the object
 * "trefoilspar" added.
 */

/** Add the object "trefoilspar" to the JSON body of REQUEST and serialise the
 * body. ID is the id by which the engine identifies the request.
 * @return the NUL-terminated body, which the caller frees with g_free. */
char *enginebody_write (struct request *request, const char *id,
                        struct backends *backends,
                        const struct place_result *result);

#endif
