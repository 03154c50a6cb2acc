#include "eventstream.h"
#include "fuzz.h"
#include "httpresponse.h"
#include "message.h"

#include <assert.h>
#include <string.h>

enum
{
  HEAD_BYTES_MAX = 16 * 1024
};

struct reading
{
  struct httpresponse response;
  struct eventstream events;
  unsigned heads;
};

/* Whether NAME and VALUE can be relayed as one line. */
static void
field_check (const char *name, const char *value)
{
  assert (name[0] != '\0' && strpbrk (name, " \t\r\n:") == NULL);
  assert (strpbrk (value, "\r\n") == NULL);
}

static void
on_head (void *data)
{
  struct reading *reading = data;
  const struct httpfields *head = &reading->response.head;
  unsigned status = reading->response.parser.status_code;

  reading->heads++;
  assert (reading->heads == 1);
  assert (status >= 200 && status < 600);
  for (size_t i = 0; i < httpfields_count (head); i++)
    field_check (httpfields_name (head, i), httpfields_value (head, i));
}

static void
on_body (void *data, const char *bytes, size_t size)
{
  struct reading *reading = data;
  struct eventstream *events = &reading->events;
  size_t whole = eventstream_append (events, bytes, size);

  assert (reading->heads == 1);
  assert (httpresponse_framing (&reading->response) != HTTPRESPONSE_NO_BODY);
  assert (whole <= events->pending->len);
  eventstream_consume (events, whole);
}

static const struct httpresponse_ops ops = { on_head, on_body };

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
  struct reading reading = { .heads = 0 };
  struct httpresponse *response = &reading.response;
  const char *bytes = (const char *)data + 1;
  size_t cut = size > 0 ? data[0] % size : 0;

  httpresponse_init (response, HEAD_BYTES_MAX, false, &ops, &reading);
  eventstream_init (&reading.events);
  eventstream_restart (&reading.events, size % 2 == 0);
  if (size > 1)
    {
      cut = MIN (cut, size - 1);
      if (cut > 0)
        httpresponse_feed (response, bytes, cut);
      if (httpresponse_is_valid (response) && !response->complete
          && cut + 1 < size)
        httpresponse_feed (response, bytes + cut, size - 1 - cut);
    }
  assert (!response->complete || httpresponse_is_valid (response));
  /* Once the check has seen the end of a head, so has the parser. */
  assert (response->check.section != HTTPCHECK_OTHER || response->has_head
          || !httpresponse_is_valid (response));
  heads_read (&response->head);
  eventstream_finish (&reading.events);
  httpresponse_finish (response);
  return 0;
}
