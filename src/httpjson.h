#ifndef HTTPJSON_H
#define HTTPJSON_H

#include "httpclient.h"
#include "httpfields.h"

#include <json-c/json.h>

/** @file
 * HTTP calls with a JSON body, a JSON reply and a timeout, and accessors of
 * JSON fields that return a default if the field is missing.
 */

enum
{
  /** Size of a header value in a reply, with the final NUL. */
  HTTPJSON_HEADER_SIZE = 64,
  /** Maximum size of a reply body in bytes, unless the request names one. */
  HTTPJSON_REPLY_BYTES_MAX = 64 * 1024 * 1024
};

struct httpjson_reply
{
  /** STATUS_OK: a response arrived, whatever its HTTP status.
   * STATUS_UNAVAILABLE: the request was certainly not sent.
   * STATUS_UNKNOWN: the request may have been executed.
   * STATUS_CANCELLED: httpjson_finish ended the call. */
  enum status status;
  enum httpclient_stage stage; /**< How far the call had come. */
  int http_status;
  /** Header fields of the response; empty if none arrived. */
  const struct httpfields *head;
  struct json_object *body; /**< Parsed body; NULL if the reply has no
                               valid JSON body. */
  /** Value of the response header that the request names, cut to its size;
   * "" if there is none, or the response is not whole. */
  char header[HTTPJSON_HEADER_SIZE];
};

typedef void (*httpjson_call_ended) (void *data,
                                     const struct httpjson_reply *reply);

struct httpjson
{
  struct httpclient *client;
  struct list calls;
  size_t bytes; /**< Bytes of reply bodies that are being read. */
  /** Maximum of `bytes`; a call that would exceed it ends. 0: none. */
  size_t bytes_max;
};

struct httpjson_request
{
  const char *address; /**< Numeric IPv4 address "IP:PORT". */
  const char *method;
  const char *path;
  /** Additional header lines, each "name: value\r\n"; may be NULL. */
  const char *header_lines;
  /** Name of the response header to report, which must outlive the call; may
   * be NULL. */
  const char *reply_header;
  /** Body of the request, which httpjson_call releases; may be NULL. */
  struct json_object *body;
  int64_t timeout_ns; /**< Timeout of the reply. */
  /** Timeout of each further part of a reply that has begun; 0: all of it has
   * to come within timeout_ns. */
  int64_t progress_timeout_ns;
  /** Timeout of the connection; 0: timeout_ns. */
  int64_t connect_timeout_ns;
  /** Maximum size of the reply's body; 0: HTTPJSON_REPLY_BYTES_MAX. A longer
   * one ends the call with STATUS_UNKNOWN. */
  size_t reply_bytes_max;
  /** Whether to open a new connection instead of reusing an idle one. */
  bool new_connection;
};

void httpjson_init (struct httpjson *httpjson, struct httpclient *client);

/** End all calls in flight with STATUS_CANCELLED. */
void httpjson_finish (struct httpjson *httpjson);

/** Start a call. DONE is called once, never from inside this function. */
void httpjson_call (struct httpjson *httpjson,
                    const struct httpjson_request *request,
                    httpjson_call_ended done, void *data);

/** End the call with DATA, if there is one, with STATUS_CANCELLED, and close
 * its connection. */
void httpjson_cancel (struct httpjson *httpjson, const void *data);

/** The string at KEY of OBJECT, or "" if there is none. */
const char *json_field_text (struct json_object *object, const char *key);

/** The number at KEY of OBJECT, or 0 if there is none. */
uint64_t json_field_uint (struct json_object *object, const char *key);
double json_field_double (struct json_object *object, const char *key);

/** The boolean at KEY of OBJECT, or false if there is none. */
bool json_field_bool (struct json_object *object, const char *key);

/** The array at KEY of OBJECT, or NULL if there is none. COUNT is set to the
 * length of the array, or to 0. */
struct json_object *json_field_array (struct json_object *object,
                                      const char *key, size_t *count);

void json_add_text (struct json_object *object, const char *key,
                    const char *text);
void json_add_uint (struct json_object *object, const char *key,
                    uint64_t number);

#endif
