#ifndef EXPLAINJSON_H
#define EXPLAINJSON_H

#include "explain.h"

#include <json-c/json.h>

/** @file
 * The JSON request and reply of POST /explain.
 */

enum
{
  /** Maximum size of a request. */
  EXPLAINJSON_REQUEST_BYTES_MAX = 64 * 1024,
  /** Maximum number of servers in a reply. */
  EXPLAINJSON_CANDIDATES_MAX = 64
};

/** Parse SIZE bytes of TEXT, and check the type and the range of each field.
 * Fields that are unknown or missing are errors, too; the message of ERROR
 * names the field.
 * @param document Receives what the strings of REQUEST point into; the caller
 * releases it with json_object_put, also after an error. */
enum status explainjson_parse (const char *text, size_t size,
                               struct json_object **document,
                               struct explain_request *request,
                               struct error *error);

/** Return the reply, which the caller releases with json_object_put. */
struct json_object *explainjson_reply (const struct explain *explain,
                                       const char *model, int64_t now_ns);

/** Handle SIZE bytes of BODY.
 * @param reply Receives the reply or an error as text
 * @return the HTTP status */
int explainjson_handle (struct forwarder *forwarder, const char *body,
                        size_t size, GString *reply);

#endif
