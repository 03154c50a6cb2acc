#include "load-mix.h"

#include <string.h>

enum
{
  DEADLINE_MS = 30000,
  MAX_TOKENS = 16,
  PROMPT_TOKENS = 100
};

static const char *
text_of (struct json_object *object, const char *key, const char *otherwise)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return otherwise;
  return json_object_get_string (value);
}

static int64_t
number_of (struct json_object *object, const char *key, int64_t otherwise)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return otherwise;
  return json_object_get_int64 (value);
}

static void
result_init (struct load_result *result)
{
  result->outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  result->codes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  result->first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  result->total_ms = g_array_new (FALSE, FALSE, sizeof (double));
}

static void
keys_read (struct load_kind *kind, struct json_object *object)
{
  struct json_object *keys;

  if (!json_object_object_get_ex (object, "keys", &keys)
      || json_object_array_length (keys) == 0)
    {
      kind->key_count = 1;
      kind->keys = g_new (const char *, 1);
      kind->keys[0] = text_of (object, "key", "");
      return;
    }
  kind->key_count = json_object_array_length (keys);
  kind->keys = g_new (const char *, kind->key_count);
  for (size_t i = 0; i < kind->key_count; i++)
    kind->keys[i]
        = json_object_get_string (json_object_array_get_idx (keys, i));
}

static void
kind_read (struct load_kind *kind, struct json_object *object)
{
  struct json_object *rate = NULL;

  json_object_object_get_ex (object, "rate", &rate);
  kind->name = text_of (object, "name", "default");
  keys_read (kind, object);
  kind->model = text_of (object, "model", "model");
  kind->path = text_of (object, "path", "/v1/completions");
  kind->rate = rate ? json_object_get_double (rate) : 1;
  kind->prompt_tokens = number_of (object, "prompt_tokens", PROMPT_TOKENS);
  kind->max_tokens = number_of (object, "max_tokens", MAX_TOKENS);
  kind->grow_tokens = number_of (object, "grow_tokens", 0);
  kind->return_ms = number_of (object, "return_ms", 0);
  kind->returns = number_of (object, "returns", kind->return_ms > 0 ? 1 : 0);
  kind->deadline_ms = number_of (object, "deadline_ms", DEADLINE_MS);
  kind->stream = number_of (object, "stream", 1) != 0;
  kind->idempotent = number_of (object, "idempotent", 1) != 0;
  kind->is_completion = g_str_has_suffix (kind->path, "/completions");
  result_init (&kind->result);
}

enum status
load_mix_read (struct load_mix *mix, const char *path, struct error *error)
{
  struct json_object *kinds;

  memset (mix, 0, sizeof *mix);
  mix->file = json_object_from_file (path);
  if (!mix->file)
    return error_set (error, STATUS_INVALID, "%s: not JSON", path);
  if (!json_object_object_get_ex (mix->file, "kinds", &kinds)
      || !json_object_is_type (kinds, json_type_array))
    return error_set (error, STATUS_INVALID, "%s: no list \"kinds\"", path);
  mix->kind_count = json_object_array_length (kinds);
  mix->kinds = g_new0 (struct load_kind, mix->kind_count);
  for (size_t i = 0; i < mix->kind_count; i++)
    kind_read (&mix->kinds[i], json_object_array_get_idx (kinds, i));
  return STATUS_OK;
}

void
load_mix_finish (struct load_mix *mix)
{
  for (size_t i = 0; i < mix->kind_count; i++)
    {
      struct load_result *result = &mix->kinds[i].result;

      g_free (mix->kinds[i].keys);
      g_hash_table_destroy (result->outcomes);
      g_hash_table_destroy (result->codes);
      g_array_free (result->first_ms, TRUE);
      g_array_free (result->total_ms, TRUE);
    }
  g_free (mix->kinds);
  json_object_put (mix->file);
}

void
load_count (GHashTable *table, const char *name)
{
  size_t count = (size_t)g_hash_table_lookup (table, name);

  g_hash_table_insert (table, g_strdup (name), (void *)(count + 1));
}

static struct json_object *
counts_report (GHashTable *table)
{
  struct json_object *object = json_object_new_object ();
  GHashTableIter iter;
  void *name, *count;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &name, &count))
    json_object_object_add (object, name,
                            json_object_new_int64 ((int64_t)(size_t)count));
  return object;
}

static int
double_compare (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

/* The smallest sample that at least the SHARE of all does not exceed. */
static double
quantile (const GArray *sorted, double share)
{
  guint rank = (guint)(share * sorted->len);

  if (rank < share * sorted->len)
    rank++;
  return g_array_index (sorted, double, MAX (rank, 1) - 1);
}

static struct json_object *
quantiles_report (GArray *samples)
{
  static const struct
  {
    const char *name;
    double share;
  } shares[] = { { "p50", 0.5 }, { "p95", 0.95 }, { "p99", 0.99 } };
  struct json_object *object = json_object_new_object ();

  g_array_sort (samples, double_compare);
  for (size_t i = 0; samples->len > 0 && i < G_N_ELEMENTS (shares); i++)
    {
      char text[32];
      double value = quantile (samples, shares[i].share);

      g_snprintf (text, sizeof text, "%.3f", value);
      json_object_object_add (object, shares[i].name,
                              json_object_new_double_s (value, text));
    }
  json_object_object_add (object, "samples",
                          json_object_new_int64 (samples->len));
  return object;
}

static void
report_number (struct json_object *object, const char *key, int64_t number)
{
  json_object_object_add (object, key, json_object_new_int64 (number));
}

struct json_object *
load_kind_report (struct load_kind *kind)
{
  struct load_result *result = &kind->result;
  struct json_object *object = json_object_new_object ();
  struct json_object *failures = json_object_new_object ();

  report_number (failures, "wrong_text", result->wrong);
  report_number (failures, "missing", result->missing);
  report_number (failures, "doubled", result->doubled);
  report_number (failures, "no_end", result->no_end);
  report_number (object, "count", result->count);
  report_number (object, "retries", result->retries);
  json_object_object_add (object, "outcomes",
                          counts_report (result->outcomes));
  json_object_object_add (object, "codes", counts_report (result->codes));
  json_object_object_add (object, "first_token_ms",
                          quantiles_report (result->first_ms));
  json_object_object_add (object, "total_ms",
                          quantiles_report (result->total_ms));
  json_object_object_add (object, "failures", failures);
  return object;
}
