#include "standin-run.h"

#include <string.h>

enum
{
  WRITE_MAX = 16 * 1024 /* bytes of events put into one write */
};

static void
append_number (GString *out, int64_t number)
{
  char digits[24];
  int i = sizeof digits;

  do
    {
      digits[--i] = (char)('0' + number % 10);
      number /= 10;
    }
  while (number > 0);
  g_string_append_len (out, digits + i, (gssize)sizeof digits - i);
}

static void
append_event (GString *out, const struct run *run, int64_t sequence)
{
  static const char tail[] = " \"}]}\n\n";

  g_string_append (out, run->event_head);
  append_number (out, sequence);
  g_string_append (out, run->event_middle);
  append_number (out, sequence);
  g_string_append_len (out, tail, sizeof tail - 1);
}

static void
append_faulty (GString *out, const struct run *run)
{
  const struct run *other = run_other (run);

  if (other && fault_take ("crossed"))
    append_event (out, other, run->sent);
  if (fault_take ("doubled"))
    append_event (out, run, run->sent);
}

static void
answer_end (struct run *run)
{
  GString *out = run->stream->pending;

  run->end_sent = true;
  if (!run->cancelled)
    {
      g_string_append (out, run->event_head);
      append_number (out, run->total);
      g_string_append (out, "\ndata: [DONE]\n\n");
    }
  stream_end (run->stream);
}

/* Close the connection once the pieces before have been written. */
static void
answer_cut (struct stream *stream)
{
  if (stream->pending->len > 0)
    stream_flush (stream);
  else
    stream_cut (stream);
}

/* Write what has been produced, as far as the connection takes it. */
void
answer_pump (struct run *run)
{
  struct stream *stream = run->stream;

  if (!stream || stream->busy || run->end_sent)
    return;
  while (run->sent < run->produced && stream->pending->len < WRITE_MAX)
    {
      if (run->cut_at && run->sent >= run->cut_at)
        {
          answer_cut (stream);
          return;
        }
      append_faulty (stream->pending, run);
      append_event (stream->pending, run, run->sent++);
    }
  if (run->cancelled || run->sent == run->total)
    answer_end (run);
  else if (stream->pending->len > 0)
    stream_flush (stream);
}

static void
on_stream_ready (struct stream *stream)
{
  answer_pump (stream->data);
}

static void
on_stream_gone (struct stream *stream)
{
  struct run *run = stream->data;

  if (run->stream == stream)
    run->stream = NULL;
}

void
answer_stream (struct run *run, h2o_req_t *req, int64_t from)
{
  if (run->stream)
    {
      run->stream->gone = NULL;
      stream_cut (run->stream);
    }
  run->sent = MIN (MAX (from, 0), run->produced);
  run->end_sent = false;
  run->stream = stream_start (req, "text/event-stream", on_stream_ready,
                              on_stream_gone, run);
  answer_pump (run);
}

static void
header_tokens (h2o_req_t *req, const char *name, int64_t tokens)
{
  char text[24];

  snprintf (text, sizeof text, "%lld", (long long)tokens);
  http_header (req, name, text);
}

void
answer_headers (const struct run *run, h2o_req_t *req)
{
  int64_t piece = engine_settings.piece_tokens;

  http_header (req, "x-weight-version", run->version);
  header_tokens (req, "x-cached-tokens", run->cached * piece);
  header_tokens (req, "x-imported-tokens", run->imported * piece);
  header_tokens (req, "x-computed-tokens", run_computed_tokens (run));
}

void
answer_whole (struct run *run)
{
  struct json_object *choices = json_object_new_array ();
  GString *text = g_string_new (NULL);

  for (int64_t i = 0; i < run->total; i++)
    {
      g_string_append (text, run->text_head);
      append_number (text, i);
      g_string_append_c (text, ' ');
    }
  json_object_array_add (choices, json_put (NULL, "index", 'i', (int64_t)0,
                                            "text", 's', text->str, NULL));
  answer_headers (run, run->waiting);
  http_json (
      run->waiting, 200,
      json_put (NULL, "id", 's', run->id, "choices", 'o', choices, NULL));
  run->waiting = NULL;
  g_string_free (text, TRUE);
}
