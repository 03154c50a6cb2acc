#ifndef ENGINEBODY_H
#define ENGINEBODY_H

#include "backends.h"
#include "place.h"
#include "request.h"

/** @file
 * Body of a completion request to an engine: the caller's body with the object
 * "trefoilspar" added.
 */

/** Add the object to the JSON body of REQUEST and write the body out. ID is
 * the id of REQUEST at the engine.
 * @return the body, NUL-terminated; the caller frees it with g_free. */
char *enginebody_write (struct request *request, const char *id,
                        struct backends *backends,
                        const struct place_result *result);

#endif
