#include "httpresponse.h"
#include "tcpreset.h"

#include <string.h>

enum
{
  /* Return values of parsed_head: the parsing ends with an error, or expects
   * no body. */
  PARSER_FAILS = -1,
  PARSER_SKIPS_BODY = 1,
  HTTP_SWITCHING_PROTOCOLS = 101
};

static const char *const framing_names[] = {
  [HTTPRESPONSE_NO_BODY] = "none",
  [HTTPRESPONSE_LENGTH] = "length",
  [HTTPRESPONSE_CHUNKED] = "chunked",
  [HTTPRESPONSE_UNTIL_CLOSE] = "close",
};

const char *
httpresponse_framing_name (enum httpresponse_framing framing)
{
  return framing_names[framing];
}

static int
parsed_name (http_parser *parser, const char *bytes, size_t size)
{
  struct httpresponse *response = parser->data;

  if (response->has_head)
    return response->check.trailer_bytes > response->head_bytes_max;
  httpfields_append_name (&response->head, bytes, size);
  return response->head.text->len > response->head_bytes_max;
}

static int
parsed_value (http_parser *parser, const char *bytes, size_t size)
{
  struct httpresponse *response = parser->data;

  if (response->has_head)
    return response->check.trailer_bytes > response->head_bytes_max;
  httpfields_append_value (&response->head, bytes, size);
  return response->head.text->len > response->head_bytes_max;
}

static bool
is_interim_response (const http_parser *parser)
{
  return parser->status_code >= 100 && parser->status_code < 200;
}

static int
parsed_begin (http_parser *parser)
{
  struct httpresponse *response = parser->data;

  httpfields_clear (&response->head);
  response->has_head = false;
  return 0;
}

/* Whether HTTP has the status of the response, and it can answer a request. No
 * request asks for another protocol. */
static bool
status_is_valid (const http_parser *parser)
{
  return parser->status_code >= 100 && parser->status_code < 600
         && parser->status_code != HTTP_SWITCHING_PROTOCOLS;
}

/* Whether the body can be read as its coding says. HTTP/1.0 has no codings. */
static bool
coding_is_valid (const struct httpresponse *response)
{
  return httpfields_coding_is_known (&response->head)
         && ((response->parser.flags & F_CHUNKED) == 0
             || response->parser.http_minor > 0);
}

/* Whether the response has no body, whatever its fields say. */
static bool
has_no_body (const struct httpresponse *response)
{
  return response->answers_head || is_interim_response (&response->parser)
         || response->parser.status_code == HTTP_STATUS_NO_CONTENT
         || response->parser.status_code == HTTP_STATUS_NOT_MODIFIED;
}

/* Whether the fields announce a body although the status allows none, so that
 * the end of the response is unclear. Those of responses to HEAD and with
 * status 304 describe the body of another response. */
static bool
announces_wrong_body (const struct httpresponse *response)
{
  const http_parser *parser = &response->parser;

  return (is_interim_response (parser)
          || parser->status_code == HTTP_STATUS_NO_CONTENT)
         && ((parser->flags & F_CHUNKED) != 0
             || ((parser->flags & F_CONTENTLENGTH) != 0
                 && parser->content_length > 0));
}

static int
parsed_head (http_parser *parser)
{
  struct httpresponse *response = parser->data;

  response->fault = !status_is_valid (parser)         ? "status"
                    : !coding_is_valid (response)     ? "coding"
                    : announces_wrong_body (response) ? "body"
                                                      : NULL;
  if (response->fault != NULL)
    return PARSER_FAILS;
  if ((parser->flags & F_CHUNKED) != 0 && !has_no_body (response))
    httpcheck_begin_chunks (&response->check);
  response->has_head = true;
  if (!is_interim_response (parser))
    response->ops->head_received (response->data);
  return has_no_body (response) ? PARSER_SKIPS_BODY : 0;
}

static int
parsed_body (http_parser *parser, const char *bytes, size_t size)
{
  struct httpresponse *response = parser->data;

  response->ops->body_received (response->data, bytes, size);
  return 0;
}

static int
parsed_end (http_parser *parser)
{
  struct httpresponse *response = parser->data;

  if (is_interim_response (parser))
    {
      httpcheck_begin_response (&response->check);
      return 0;
    }
  response->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = parsed_begin,
  .on_header_field = parsed_name,
  .on_header_value = parsed_value,
  .on_headers_complete = parsed_head,
  .on_body = parsed_body,
  .on_message_complete = parsed_end,
};

void
httpresponse_init (struct httpresponse *response, size_t head_bytes_max,
                   bool answers_head, const struct httpresponse_ops *ops,
                   void *data)
{
  memset (response, 0, sizeof *response);
  response->head_bytes_max = head_bytes_max;
  response->answers_head = answers_head;
  response->ops = ops;
  response->data = data;
  httpfields_init (&response->head);
  httpresponse_restart (response);
}

void
httpresponse_finish (struct httpresponse *response)
{
  httpfields_finish (&response->head);
}

void
httpresponse_restart (struct httpresponse *response)
{
  http_parser_init (&response->parser, HTTP_RESPONSE);
  response->parser.data = response;
  httpcheck_begin_response (&response->check);
  httpfields_clear (&response->head);
  response->has_head = false;
  response->complete = false;
  response->fault = NULL;
}

size_t
httpresponse_feed (struct httpresponse *response, const char *bytes,
                   size_t size)
{
  return httpcheck_parse (&response->check, &response->parser,
                          &parser_settings, bytes, size);
}

bool
httpresponse_is_valid (const struct httpresponse *response)
{
  enum http_errno error = HTTP_PARSER_ERRNO (&response->parser);

  /* The parser is paused where the response is complete. */
  return response->check.section != HTTPCHECK_MALFORMED
         && (error == HPE_OK || error == HPE_PAUSED);
}

const char *
httpresponse_fault (const struct httpresponse *response)
{
  if (httpresponse_is_valid (response))
    return "-";
  if (response->check.section == HTTPCHECK_MALFORMED)
    return "line";
  return response->fault != NULL
             ? response->fault
             : http_errno_name (HTTP_PARSER_ERRNO (&response->parser));
}

bool
httpresponse_precedes_request (const struct httpresponse *response,
                               const uv_stream_t *stream)
{
  uv_os_fd_t fd;

  return httpresponse_framing (response) == HTTPRESPONSE_UNTIL_CLOSE
         && response->parser.status_code < HTTP_STATUS_BAD_REQUEST
         && (uv_stream_get_write_queue_size (stream) > 0
             || (uv_fileno ((const uv_handle_t *)stream, &fd) == 0
                 && tcpreset_is_sending (fd)));
}

enum httpresponse_framing
httpresponse_framing (const struct httpresponse *response)
{
  const http_parser *parser = &response->parser;

  if (has_no_body (response))
    return HTTPRESPONSE_NO_BODY;
  if ((parser->flags & F_CHUNKED) != 0)
    return HTTPRESPONSE_CHUNKED;
  if ((parser->flags & F_CONTENTLENGTH) != 0)
    return HTTPRESPONSE_LENGTH;
  return HTTPRESPONSE_UNTIL_CLOSE;
}
