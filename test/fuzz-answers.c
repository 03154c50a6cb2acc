#include "eventstream.h"
#include "fuzz.h"
#include "message.h"

#include <assert.h>
#include <http_parser.h>
#include <string.h>

struct reading
{
  struct httpfields head;
  struct eventstream events;
};

static int
on_name (http_parser *parser, const char *bytes, size_t size)
{
  httpfields_append_name (&((struct reading *)parser->data)->head, bytes,
                          size);
  return 0;
}

static int
on_value (http_parser *parser, const char *bytes, size_t size)
{
  httpfields_append_value (&((struct reading *)parser->data)->head, bytes,
                           size);
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t size)
{
  struct eventstream *events = &((struct reading *)parser->data)->events;
  size_t whole = eventstream_append (events, bytes, size);

  assert (whole <= events->pending->len);
  eventstream_consume (events, whole);
  return 0;
}

static const http_parser_settings settings = { .on_header_field = on_name,
                                               .on_header_value = on_value,
                                               .on_body = on_body };

static void
heads_read (const struct httpfields *head)
{
  GString *lines = g_string_new (NULL);
  struct response answer;
  struct call call;
  struct error error;

  message_response_decode (200, head, "r", "i", &answer);
  message_response_headers_encode (lines, head);
  if (message_request_decode (head, "/a?b", &call, &error) == STATUS_OK)
    assert (call.block_count <= CALL_BLOCKS_MAX);
  g_string_free (lines, TRUE);
}

/* An answer of a server as it comes from the socket, in two pieces cut by the
 * first byte; and its head read as a request's, too. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct reading reading;
  http_parser parser;
  size_t cut = size > 0 ? data[0] % size : 0;

  httpfields_init (&reading.head);
  eventstream_init (&reading.events);
  http_parser_init (&parser, HTTP_RESPONSE);
  parser.data = &reading;
  if (size > 1)
    {
      http_parser_execute (&parser, &settings, (const char *)data + 1,
                           MIN (cut, size - 1));
      if (HTTP_PARSER_ERRNO (&parser) == HPE_OK && cut + 1 < size)
        http_parser_execute (&parser, &settings, (const char *)data + 1 + cut,
                             size - 1 - cut);
    }
  heads_read (&reading.head);
  eventstream_finish (&reading.events);
  httpfields_finish (&reading.head);
  return 0;
}
