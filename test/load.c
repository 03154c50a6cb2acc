#include "clock.h"
#include "httpjson.h"
#include "load-call.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/** @file
 * load: callers in an open loop. It sends the mix of a JSON file (see
 * load-mix.h) to one or several gateways, or straight to an engine, and
 * prints one JSON object at the end. The same seed gives the same arrivals
 * and prompts.
 */

enum
{
  BYTES_PER_TOKEN = 4,
  IO_TIMEOUT_MS = 120 * 1000,
  WORD_BYTES = 8,
  ENTRIES_TIMEOUT_S = 2,
  LIFETIME_MIN_MS = 100
};

struct arrivals
{
  struct load_kind *kind;
  uv_timer_t timer;
  double at_ms; /* of the next arrival, since the start */
  struct rng rng;
};

/* A prompt that comes back. */
struct context
{
  struct load_kind *kind;
  const char *key;
  uv_timer_t timer;
  double at_ms; /* of the next request, since the start */
  struct rng rng;
  GString *prompt;
  int64_t returns;
};

static struct
{
  struct load_run run;
  struct load_mix mix;
  struct httpjson json;
  struct arrivals *arrivals;
  uv_timer_t entries_timer;
  uv_timer_t end_timer;
  uv_timer_t drain_timer;
  int64_t started; /* ns */
  int64_t planned; /* requests whose time is to come, at least */
  bool over;       /* the time of arrivals has passed */
} self;

static char **gateways;
static char *mix_path;
static int seed = 1;
static double seconds = 10;
static double drain_s = 30;
static double rate_scale = 1;
static int retries = 2;
static int grace_ms = 500;
static gboolean use_entries;

static const GOptionEntry options[] = {
  { "gateway", 0, 0, G_OPTION_ARG_STRING_ARRAY, &gateways,
    "Base URL of a gateway or an engine; again for more", "URL" },
  { "mix", 0, 0, G_OPTION_ARG_FILENAME, &mix_path, "The mix of requests",
    "FILE" },
  { "entries", 0, 0, G_OPTION_ARG_NONE, &use_entries,
    "Ask the gateways which addresses to use", NULL },
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "For arrivals and prompts", "N" },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "Time of arrivals", "S" },
  { "drain", 0, 0, G_OPTION_ARG_DOUBLE, &drain_s,
    "Longest wait for the last answers", "S" },
  { "rate-scale", 0, 0, G_OPTION_ARG_DOUBLE, &rate_scale,
    "Factor for all rates", "X" },
  { "retries", 0, 0, G_OPTION_ARG_INT, &retries, "For each request", "N" },
  { "grace-ms", 0, 0, G_OPTION_ARG_INT, &grace_ms,
    "Past the deadline, until a caller gives up", "MS" },
  { 0 },
};

/* Contexts */

static void
prompt_grow (struct context *context, int64_t tokens)
{
  size_t target = context->prompt->len + (size_t)(tokens * BYTES_PER_TOKEN);

  while (context->prompt->len < target)
    {
      uint64_t bits = rng_next (&context->rng);

      for (int i = 0; i < WORD_BYTES - 1; i++, bits /= 26)
        g_string_append_c (context->prompt, (char)('a' + bits % 26));
      g_string_append_c (context->prompt, ' ');
    }
  g_string_truncate (context->prompt, target);
}

static double
elapsed_ms (void)
{
  return (double)((int64_t)uv_hrtime () - self.started) / NS_PER_MS;
}

/* Have CALLBACK called at AT_MS, which is of the time of arrivals: what the
 * seed plans is sent, however late this process gets to it.
 * @return false if that time is after the last arrival. */
static bool
plan (uv_timer_t *timer, uv_timer_cb callback, double at_ms)
{
  double wait_ms = MAX (at_ms - elapsed_ms (), 0);

  if (at_ms >= seconds * 1000)
    return false;
  self.planned++;
  uv_timer_start (timer, callback, (uint64_t)wait_ms, 0);
  return true;
}

static void
on_context_closed (uv_handle_t *handle)
{
  struct context *context = handle->data;

  g_string_free (context->prompt, TRUE);
  g_free (context);
}

static void
context_send (struct context *context)
{
  load_call_start (&self.run, context->kind, context->key, context->prompt);
  prompt_grow (context, context->kind->grow_tokens);
}

static void on_return (uv_timer_t *timer);

static void
context_plan (struct context *context)
{
  context->at_ms += (double)context->kind->return_ms;
  if (context->returns-- <= 0
      || !plan (&context->timer, on_return, context->at_ms))
    uv_close ((uv_handle_t *)&context->timer, on_context_closed);
}

static void
on_return (uv_timer_t *timer)
{
  struct context *context = timer->data;

  self.planned--;
  context_send (context);
  context_plan (context);
}

static void
context_start (struct arrivals *arrivals)
{
  struct context *context = g_new0 (struct context, 1);

  context->kind = arrivals->kind;
  context->at_ms = arrivals->at_ms;
  context->returns = arrivals->kind->returns;
  context->prompt = g_string_new (NULL);
  rng_init (&context->rng, rng_next (&arrivals->rng));
  context->key
      = context->kind
            ->keys[rng_below (&context->rng, context->kind->key_count)];
  prompt_grow (context, context->kind->prompt_tokens);
  uv_timer_init (self.run.loop, &context->timer);
  context->timer.data = context;
  context_send (context);
  context_plan (context);
}

/* Arrivals */

static void on_arrival (uv_timer_t *timer);

static void
arrival_plan (struct arrivals *arrivals)
{
  double per_ms = arrivals->kind->rate * rate_scale / 1000;

  if (per_ms <= 0)
    return;
  arrivals->at_ms -= log (1 - rng_uniform (&arrivals->rng)) / per_ms;
  plan (&arrivals->timer, on_arrival, arrivals->at_ms);
}

static void
on_arrival (uv_timer_t *timer)
{
  struct arrivals *arrivals = timer->data;

  self.planned--;
  context_start (arrivals);
  arrival_plan (arrivals);
}

static void
arrivals_start (void)
{
  self.arrivals = g_new0 (struct arrivals, self.mix.kind_count);
  for (size_t i = 0; i < self.mix.kind_count; i++)
    {
      struct arrivals *arrivals = &self.arrivals[i];

      arrivals->kind = &self.mix.kinds[i];
      rng_init (&arrivals->rng, (uint64_t)seed * 1000 + i);
      uv_timer_init (self.run.loop, &arrivals->timer);
      arrivals->timer.data = arrivals;
      arrival_plan (arrivals);
    }
}

/* Entries */

static const char *
address_of (const char *url)
{
  return g_str_has_prefix (url, "http://") ? url + 7 : url;
}

static void
address_add (const char *text)
{
  g_ptr_array_add (self.run.addresses, g_strndup (text, strcspn (text, "/")));
}

static void entries_ask (uv_timer_t *timer);

static void
on_entries (void *data, const struct httpjson_reply *reply)
{
  size_t count = 0;
  struct json_object *entries
      = json_field_array (reply->body, "entries", &count);
  uint64_t lifetime_ms = json_field_uint (reply->body, "lifetime_ms");

  if (self.over)
    return;
  if (count > 0)
    g_ptr_array_set_size (self.run.addresses, 0);
  for (size_t i = 0; i < count; i++)
    address_add (
        json_field_text (json_object_array_get_idx (entries, i), "address"));
  uv_timer_start (&self.entries_timer, entries_ask,
                  MAX (lifetime_ms, LIFETIME_MIN_MS), 0);
}

static void
entries_ask (uv_timer_t *timer)
{
  guint pick = (guint)rng_below (&self.run.rng, g_strv_length (gateways));
  struct httpjson_request request
      = { .address = address_of (gateways[pick]),
          .method = "GET",
          .path = "/v1/entries",
          .timeout_ns = ENTRIES_TIMEOUT_S * NS_PER_S };

  httpjson_call (&self.json, &request, on_entries, NULL);
}

/* The end */

static void
on_drain (uv_timer_t *timer)
{
  int64_t waited
      = (int64_t)uv_hrtime () - self.started - (int64_t)(seconds * NS_PER_S);

  if (self.run.open + self.planned > 0
      && waited < (int64_t)(drain_s * NS_PER_S))
    return;
  uv_stop (self.run.loop);
}

static void
on_time_over (uv_timer_t *timer)
{
  self.over = true;
  uv_timer_start (&self.drain_timer, on_drain, 0, 10);
}

static void
report_print (void)
{
  struct json_object *report = json_object_new_object ();
  struct json_object *kinds = json_object_new_object ();
  double took = (double)((int64_t)uv_hrtime () - self.started) / NS_PER_S;

  for (size_t i = 0; i < self.mix.kind_count; i++)
    json_object_object_add (kinds, self.mix.kinds[i].name,
                            load_kind_report (&self.mix.kinds[i]));
  json_add_uint (report, "seed", (uint64_t)seed);
  json_object_object_add (report, "seconds", json_object_new_double (took));
  json_add_uint (report, "pieces", (uint64_t)self.run.pieces);
  json_object_object_add (
      report, "pieces_per_s",
      json_object_new_int64 ((int64_t)((double)self.run.pieces / took)));
  json_add_uint (report, "unfinished", (uint64_t)self.run.open);
  json_object_object_add (report, "kinds", kinds);
  printf ("%s\n",
          json_object_to_json_string_ext (report, JSON_C_TO_STRING_PRETTY));
  json_object_put (report);
}

static void
run_init (void)
{
  uv_loop_t *loop = uv_default_loop ();

  self.run.loop = loop;
  self.run.addresses = g_ptr_array_new_with_free_func (g_free);
  self.run.retries = retries;
  self.run.grace_ms = grace_ms;
  self.run.seed = seed;
  rng_init (&self.run.rng, (uint64_t)seed);
  httpclient_init (&self.run.client, loop, IO_TIMEOUT_MS);
  httpjson_init (&self.json, &self.run.client);
  uv_timer_init (loop, &self.entries_timer);
  uv_timer_init (loop, &self.end_timer);
  uv_timer_init (loop, &self.drain_timer);
  for (char **gateway = gateways; *gateway; gateway++)
    address_add (address_of (*gateway));
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new ("- callers for tests");
  GError *error = NULL;
  struct error mix_error;

  signal (SIGPIPE, SIG_IGN);
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !gateways
      || !mix_path)
    {
      fprintf (stderr, "load: %s\n",
               error ? error->message : "--gateway and --mix are needed");
      return 2;
    }
  if (load_mix_read (&self.mix, mix_path, &mix_error) != STATUS_OK)
    {
      fprintf (stderr, "load: %s\n", mix_error.message);
      return 2;
    }
  g_option_context_free (context);
  run_init ();
  if (use_entries)
    entries_ask (NULL);
  self.started = (int64_t)uv_hrtime ();
  uv_timer_start (&self.end_timer, on_time_over, (uint64_t)(seconds * 1000),
                  0);
  arrivals_start ();
  uv_run (self.run.loop, UV_RUN_DEFAULT);
  report_print ();
  return 0;
}
