#ifndef HTTPRESPONSE_H
#define HTTPRESPONSE_H

#include "httpcheck.h"
#include "httpfields.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/** @file
 * Reads one response from bytes as they arrive. What HTTP does not allow ends
 * the reading: lines that httpcheck rejects, invalid statuses, codings that
 * are not removed, and bodies that the status excludes.
 */

/** What marks the end of a response body. */
enum httpresponse_framing
{
  HTTPRESPONSE_NO_BODY,
  HTTPRESPONSE_LENGTH,
  HTTPRESPONSE_CHUNKED,
  HTTPRESPONSE_UNTIL_CLOSE /**< The end of the connection. */
};

struct httpresponse_ops
{
  /** The head of the response has arrived; not called for interim ones. */
  void (*head_received) (void *data);
  void (*body_received) (void *data, const char *bytes, size_t size);
};

struct httpresponse
{
  struct httpcheck check;
  http_parser parser;
  struct httpfields head;
  bool has_head; /**< Whether the head has arrived; fields that follow are
                    trailer fields, which are not kept. */
  size_t head_bytes_max;
  /** Whether the response has no body since its request was HEAD. */
  bool answers_head;
  bool complete;
  const char *fault; /**< What is wrong with the head; NULL: nothing. */
  const struct httpresponse_ops *ops;
  void *data;
};

const char *httpresponse_framing_name (enum httpresponse_framing framing);

/** @param head_bytes_max maximum size of the fields of a head, and of the
 * trailer fields */
void httpresponse_init (struct httpresponse *response, size_t head_bytes_max,
                        bool answers_head, const struct httpresponse_ops *ops,
                        void *data);
void httpresponse_finish (struct httpresponse *response);

/** Expect another response, whatever the one before says of the connection. */
void httpresponse_restart (struct httpresponse *response);

/** Read SIZE bytes up to the end of the response. A SIZE of 0 tells that the
 * server closed the connection in order, which completes a response that only
 * ends so.
 * @return number of bytes read */
size_t httpresponse_feed (struct httpresponse *response, const char *bytes,
                          size_t size);

/** Whether the bytes so far are, or begin, a response. */
bool httpresponse_is_valid (const struct httpresponse *response);

/** What makes the bytes so far no response: "line" (of a head, a chunk or a
 * trailer), "status", "coding", "body" (announced, but excluded by the status)
 * or the parser's name of its error; "-" if they are valid. */
const char *httpresponse_fault (const struct httpresponse *response);

/** How the end of the response is marked; valid once its head has arrived. */
enum httpresponse_framing
httpresponse_framing (const struct httpresponse *response);

/** Whether a response that ends now with its connection STREAM ended before
 * the server had received the request: a part of the request is not written
 * yet, or not acknowledged. An error may come so early. */
bool httpresponse_precedes_request (const struct httpresponse *response,
                                    const uv_stream_t *stream);

#endif
