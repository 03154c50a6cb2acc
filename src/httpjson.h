#ifndef HTTPJSON_H
#define HTTPJSON_H

#include "httpclient.h"

#include <json-c/json.h>

/** @file
 * One HTTP call with a JSON body and a JSON answer, with a timeout; and safe
 * reads of JSON fields.
 */

/** The answer of a call. */
struct httpjson_reply
{
  /** STATUS_OK: an answer came, whatever its HTTP status.
   * STATUS_UNAVAILABLE: the request surely was not handed over.
   * STATUS_UNKNOWN: it may have been carried out. */
  enum status status;
  int http_status;
  struct json_object *body; /**< NULL if empty or not JSON */
};

typedef void (*httpjson_done) (void *data, const struct httpjson_reply *reply);

struct httpjson
{
  struct httpclient *client;
  struct list calls;
};

struct httpjson_request
{
  const char *address; /**< "IP:PORT" */
  const char *method;
  const char *path;
  const char *header_lines; /**< whole lines; may be NULL */
  struct json_object *body; /**< taken over; may be NULL */
  int64_t timeout_ns;
  bool fresh; /**< see struct httpclient_request */
};

void httpjson_init (struct httpjson *httpjson, struct httpclient *client);

/** Open calls answer STATUS_CANCELLED. */
void httpjson_finish (struct httpjson *httpjson);

/** DONE is called once, never from inside this function. */
void httpjson_call (struct httpjson *httpjson,
                    const struct httpjson_request *request, httpjson_done done,
                    void *data);

/** The text at KEY, or "" if there is none. */
const char *json_field_text (struct json_object *object, const char *key);

/** The number at KEY, or 0. */
uint64_t json_field_uint (struct json_object *object, const char *key);
double json_field_double (struct json_object *object, const char *key);
bool json_field_bool (struct json_object *object, const char *key);

/** The array at KEY, or NULL; its length in COUNT (0 without one). */
struct json_object *json_field_array (struct json_object *object,
                                      const char *key, size_t *count);

/** Add a text or number to OBJECT at KEY. */
void json_add_text (struct json_object *object, const char *key,
                    const char *text);
void json_add_uint (struct json_object *object, const char *key,
                    uint64_t number);

#endif
