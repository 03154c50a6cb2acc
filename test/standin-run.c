#include "standin-run.h"
#include "clock.h"
#include "httpjson.h"

#include <string.h>
#include <xxhash.h>

enum
{
  FINISHED_MAX = 4096,     /* runs kept for a resume */
  BYTES_PER_TOKEN = 4,     /* of prompt text */
  MAX_TOKENS_DEFAULT = 16, /* tokens */
  PRIORITY_DEFAULT = 1000
};

static struct
{
  GHashTable *by_id;
  struct list queued;
  struct list starting; /* imports under way */
  struct list prefill;
  struct list decode;
  GQueue finished;
  int64_t prefill_at; /* ns, up to which prefill is done */
  int64_t step_at;    /* ns of the next decode step */
  int64_t wake_at;    /* ns; CLOCK_NEVER if no wake is due */
  int64_t anonymous;
} self;

static void runs_advance (int64_t now);

static int64_t
decode_ns (void)
{
  return (int64_t)(engine_settings.decode_ms * NS_PER_MS);
}

/* Parts of a run */

const struct run *
run_other (const struct run *run)
{
  GHashTableIter iter;
  void *other;

  g_hash_table_iter_init (&iter, self.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &other))
    if (other != run)
      return other;
  return NULL;
}

int64_t
run_computed_tokens (const struct run *run)
{
  return run->prompt_tokens
         - (int64_t)(run->cached + run->imported)
               * engine_settings.piece_tokens;
}

struct json_object *
run_part (const struct run *run, const char *key)
{
  return json_array (run->ask, key);
}

const char *
run_block (const struct run *run, size_t i)
{
  struct json_object *blocks = run_part (run, "blocks");
  size_t whole = (size_t)(run->prompt_tokens / engine_settings.piece_tokens);

  if (!blocks || i >= MIN (whole, json_object_array_length (blocks)))
    return NULL;
  return json_object_get_string (json_object_array_get_idx (blocks, i));
}

/* Life of a run */

static void
run_free (struct run *run)
{
  if (g_hash_table_lookup (self.by_id, run->id) == run)
    g_hash_table_remove (self.by_id, run->id);
  json_object_put (run->ask);
  if (run->imports_ok)
    g_array_free (run->imports_ok, TRUE);
  g_free (run->event_head);
  g_free (run->event_middle);
  g_free (run->id);
  g_free (run);
}

/* Forget the oldest finished runs, but not those still being written. */
static void
finished_trim (void)
{
  guint tries = self.finished.length;

  while (self.finished.length > FINISHED_MAX && tries-- > 0)
    {
      struct run *run = g_queue_pop_head (&self.finished);

      if (run->stream)
        g_queue_push_tail (&self.finished, run);
      else
        run_free (run);
    }
}

static void
run_finish (struct run *run)
{
  list_remove (&run->node);
  if (run->cancelled)
    engine_stats.cancelled++;
  else
    engine_stats.completed++;
  if (run->waiting && run->cancelled)
    {
      http_code (run->waiting, 503, "cancelled");
      run->waiting = NULL;
    }
  else if (run->waiting)
    answer_whole (run);
  answer_pump (run);
  g_queue_push_tail (&self.finished, run);
  finished_trim ();
}

static void
run_finish_running (struct run *run)
{
  engine_stats.running--;
  run_finish (run);
}

static void
list_by_priority (struct list *head, struct run *run)
{
  struct list *position = head;

  while (engine_settings.priority && position->prev != head
         && LIST_ENTRY (position->prev, struct run, node)->priority
                > run->priority)
    position = position->prev;
  list_insert_before (position, &run->node);
}

static void
run_decode_begin (struct run *run, int64_t now)
{
  const char *block;

  for (size_t i = 0; (block = run_block (run, i)) != NULL; i++)
    cache_store (block, run->version);
  list_remove (&run->node);
  if (list_empty (&self.decode))
    self.step_at = now + decode_ns ();
  list_append (&self.decode, &run->node);
  run->produced = decode_ns () ? MIN (1, run->total) : run->total;
  if (run->stream_wanted && run->waiting)
    {
      h2o_req_t *req = run->waiting;

      run->waiting = NULL;
      answer_headers (run, req);
      answer_stream (run, req, 0);
    }
  if (run->produced == run->total)
    run_finish_running (run);
}

static void
run_prefill_begin (struct run *run)
{
  int64_t now = server_now ();
  int64_t piece = engine_settings.piece_tokens;

  engine_stats.cached_tokens += run->cached * piece;
  engine_stats.imported_tokens += run->imported * piece;
  engine_stats.computed_tokens += run_computed_tokens (run);
  run->prefill_left = (double)run_computed_tokens (run);
  list_remove (&run->node);
  if (list_empty (&self.prefill))
    self.prefill_at = now;
  list_by_priority (&self.prefill, run);
}

void
run_wait_over (void *data)
{
  struct run *run = data;

  if (--run->waits > 0)
    return;
  while (run->imports_ok && run->imported < (int)run->imports_ok->len
         && g_array_index (run->imports_ok, bool, run->imported))
    run->imported++;
  if (run->cancelled)
    run_finish_running (run);
  else
    run_prefill_begin (run);
  runs_advance (server_now ());
}

static void
run_begin (struct run *run)
{
  int64_t late_ms = fault_value ("late");
  const char *block;

  list_remove (&run->node);
  list_append (&self.starting, &run->node);
  engine_stats.running++;
  engine_stats.started++;
  while ((block = run_block (run, (size_t)run->cached)) != NULL
         && cache_touch (block, run->version))
    run->cached++;
  run->waits = 1;
  run_import (run);
  if (late_ms > 0)
    server_after ((uint64_t)late_ms, run_wait_over, run);
  else
    run_wait_over (run);
}

/* Time */

static void
on_wake (void *data)
{
  if ((int64_t)(intptr_t)data != self.wake_at)
    return; /* An earlier wake has taken its place. */
  self.wake_at = CLOCK_NEVER;
  runs_advance (server_now ());
}

static void
wake_schedule (int64_t now)
{
  int64_t due = CLOCK_NEVER;

  if (!list_empty (&self.prefill))
    {
      struct run *run = LIST_ENTRY (self.prefill.next, struct run, node);

      due = now
            + (int64_t)(run->prefill_left * NS_PER_S
                        / engine_settings.prefill_rate);
    }
  if (!list_empty (&self.decode))
    due = MIN (due, self.step_at);
  if (due >= self.wake_at)
    return;
  self.wake_at = due;
  server_after ((uint64_t)(MAX (due - now, 0) / NS_PER_MS) + 1, on_wake,
                (void *)(intptr_t)due);
}

static void
prefill_advance (int64_t now)
{
  bool timed = engine_settings.prefill_rate > 0;
  double done = (double)(now - self.prefill_at) * engine_settings.prefill_rate
                / NS_PER_S;

  self.prefill_at = now;
  while (!list_empty (&self.prefill))
    {
      struct run *run = LIST_ENTRY (self.prefill.next, struct run, node);

      if (timed && run->prefill_left > done)
        {
          run->prefill_left -= done;
          return;
        }
      done -= run->prefill_left;
      run_decode_begin (run, now);
    }
}

/* Give each decoding run COUNT tokens more. */
static void
decode_steps (int64_t count)
{
  struct list *node = self.decode.next;

  while (node != &self.decode)
    {
      struct run *run = LIST_ENTRY (node, struct run, node);

      node = node->next;
      run->produced = MIN (run->produced + count, run->total);
      if (run->produced == run->total)
        run_finish_running (run);
      else
        answer_pump (run);
    }
}

static void
decode_advance (int64_t now)
{
  int64_t step = decode_ns ();
  int64_t count;

  if (list_empty (&self.decode) || now < self.step_at)
    return;
  count = 1 + (now - self.step_at) / MAX (step, 1);
  self.step_at += count * step;
  decode_steps (count);
}

static void
queue_advance (void)
{
  while (!list_empty (&self.queued)
         && engine_stats.running < engine_settings.slots)
    {
      engine_stats.queued--;
      run_begin (LIST_ENTRY (self.queued.next, struct run, node));
    }
}

/* Bring all runs up to the time NOW. Starting a run may call this again. */
static void
runs_advance (int64_t now)
{
  decode_advance (now);
  prefill_advance (now);
  queue_advance ();
  wake_schedule (now);
}

/* Requests */

static char *
prompt_text (struct json_object *body)
{
  const char *prompt = json_string (body, "prompt", NULL);
  struct json_object *messages = json_array (body, "messages");
  GString *text;

  if (prompt)
    return g_strdup (prompt);
  if (!messages)
    return NULL;
  text = g_string_new (NULL);
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      if (i > 0)
        g_string_append_c (text, '\n');
      g_string_append (text,
                       json_string (json_object_array_get_idx (messages, i),
                                    "content", ""));
    }
  return g_string_free (text, FALSE);
}

/* Whether ID can stand in an event as it is. */
static bool
id_is_plain (const char *id)
{
  return *id && !strpbrk (id, "\"\\\r\n");
}

static struct run *
run_new (const struct call *call, const char *prompt, const char *version)
{
  struct run *run = g_new0 (struct run, 1);
  struct json_object *ask = NULL;
  const char *id;

  json_object_object_get_ex (call->body, "trefoilspar", &ask);
  id = json_string (ask, "request", NULL);
  run->ask = json_object_get (ask);
  run->id = id ? g_strdup (id)
               : g_strdup_printf ("direct-%lld", (long long)++self.anonymous);
  run->priority = (int)json_int (ask, "priority", PRIORITY_DEFAULT);
  run->version = version;
  run->prompt_tokens
      = (int64_t)((strlen (prompt) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
  run->total
      = MAX (json_int (call->body, "max_tokens", MAX_TOKENS_DEFAULT), 0);
  run->waiting = call->req;
  run->stream_wanted = json_int (call->body, "stream", 0) != 0;
  run->cut_at = fault_value ("cut_after");
  snprintf (run->text_head, sizeof run->text_head, "%08x-",
            (unsigned)XXH3_64bits (prompt, strlen (prompt)));
  run->event_head = g_strdup_printf ("id: %s/", run->id);
  run->event_middle = g_strdup_printf (
      "\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"%s",
      run->id, run->text_head);
  list_init (&run->node);
  return run;
}

static void
refuse_not_run (const struct call *call)
{
  http_header (call->req, "x-not-run", "1");
  http_code (call->req, 503, "full");
}

void
runs_init (void)
{
  self.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  list_init (&self.queued);
  list_init (&self.starting);
  list_init (&self.prefill);
  list_init (&self.decode);
  g_queue_init (&self.finished);
  self.wake_at = CLOCK_NEVER;
}

void
run_start (const struct call *call, const char *version)
{
  char *prompt = prompt_text (call->body);
  struct run *run;

  if (!prompt)
    {
      http_code (call->req, 400, "malformed");
      return;
    }
  if (fault_value ("leaving") || fault_value ("full")
      || engine_stats.queued >= engine_settings.queue)
    {
      refuse_not_run (call);
      g_free (prompt);
      return;
    }
  if (strstr (prompt, "CRASH_ENGINE"))
    abort ();
  run = run_new (call, prompt, version);
  g_free (prompt);
  if (!id_is_plain (run->id))
    {
      http_code (call->req, 400, "malformed");
      run_free (run);
      return;
    }
  if (g_hash_table_contains (self.by_id, run->id))
    engine_stats.repeated++;
  g_hash_table_replace (self.by_id, run->id, run);
  list_by_priority (&self.queued, run);
  engine_stats.queued++;
  runs_advance (server_now ());
}

static struct run *
run_named (const struct call *call)
{
  return g_hash_table_lookup (self.by_id,
                              json_string (call->body, "request", ""));
}

void
run_resume (const struct call *call)
{
  struct run *run = run_named (call);

  if (!run || run->cancelled || !run->stream_wanted)
    {
      http_code (call->req, 404, "unknown_request");
      return;
    }
  engine_stats.resumed++;
  run->cut_at = 0;
  if (fault_take ("no_resume"))
    {
      struct json_object *body = json_object_new_object ();

      json_add_text (body, "id", json_string (call->body, "request", ""));
      http_json (call->req, 200, body);
      return;
    }
  answer_headers (run, call->req);
  answer_stream (run, call->req, json_int (call->body, "from", 0));
}

static bool
run_is_finished (const struct run *run)
{
  return run->cancelled || (run->produced == run->total && run->produced > 0);
}

void
run_cancel (const struct call *call)
{
  struct run *run = run_named (call);

  if (run && !run_is_finished (run))
    {
      run->cancelled = true;
      if (run->waits > 0)
        ; /* It finishes when its imports are there. */
      else if (run->produced > 0 || run->prefill_left > 0)
        run_finish_running (run);
      else
        {
          engine_stats.queued--;
          if (run->waiting)
            http_header (run->waiting, "x-not-run", "1");
          run_finish (run);
        }
      runs_advance (server_now ());
    }
  http_ok (call->req);
}

int64_t
runs_queued_tokens (void)
{
  const struct list *heads[] = { &self.queued, &self.starting, &self.prefill };
  int64_t tokens = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    for (struct list *node = heads[i]->next; node != heads[i];
         node = node->next)
      {
        const struct run *run = LIST_ENTRY (node, struct run, node);

        tokens += heads[i] == &self.prefill ? (int64_t)run->prefill_left
                                            : run->prompt_tokens;
      }
  return tokens;
}
