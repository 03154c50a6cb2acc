#include "metrics.h"

#include <glib.h>
#include <string.h>

enum
{
  SERIES_LIMIT = 20000
};

/* Upper bounds of the histogram buckets in seconds; a further bucket up to
 * infinity is written out but not stored. */
static const double bucket_bounds[]
    = { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
        0.1,    0.2,   0.5,   1.0,   2.0,  5.0,  10.0 };

enum
{
  BUCKET_COUNT = sizeof bucket_bounds / sizeof *bucket_bounds
};

enum series_kind
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HISTOGRAM
};

struct series
{
  enum series_kind kind;
  char *name;
  char *labels;
  double value;   /* Value or, for a histogram, the sum of its observations. */
  uint64_t count; /* For a histogram: the number of observations. */
  uint64_t buckets[]; /* For a histogram: the number of observations in each of
                         BUCKET_COUNT buckets; otherwise empty. */
};

static void
series_free (void *data)
{
  struct series *series = data;

  g_free (series->name);
  g_free (series->labels);
  g_free (series);
}

static struct series *
series_get (struct metrics *metrics, enum series_kind kind, const char *name,
            const char *labels)
{
  char key[512];
  struct series *series;
  size_t size = sizeof *series;

  g_snprintf (key, sizeof key, "%s{%s}", name, labels);
  series = g_hash_table_lookup (metrics->series, key);
  if (series != NULL)
    return series;
  if (g_hash_table_size (metrics->series) >= metrics->series_max)
    {
      metrics->dropped_count++;
      return NULL;
    }
  if (kind == SERIES_HISTOGRAM)
    size += BUCKET_COUNT * sizeof *series->buckets;
  series = g_malloc0 (size);
  series->kind = kind;
  series->name = g_strdup (name);
  series->labels = g_strdup (labels);
  g_hash_table_insert (metrics->series, g_strdup (key), series);
  return series;
}

static void
append_histogram (GString *text, const struct series *series)
{
  const char *comma = series->labels[0] != '\0' ? "," : "";
  uint64_t cumulative = 0;

  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      cumulative += series->buckets[i];
      g_string_append_printf (
          text, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
          series->name, series->labels, comma, bucket_bounds[i], cumulative);
    }
  g_string_append_printf (text,
                          "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          series->name, series->labels, comma, series->count);
  g_string_append_printf (text, "%s_sum{%s} %.9g\n", series->name,
                          series->labels, series->value);
  g_string_append_printf (text, "%s_count{%s} %" G_GUINT64_FORMAT "\n",
                          series->name, series->labels, series->count);
}

static void
append_series (GString *text, const struct series *series)
{
  if (series->kind == SERIES_HISTOGRAM)
    append_histogram (text, series);
  else if (series->labels[0] == '\0')
    g_string_append_printf (text, "%s %.17g\n", series->name, series->value);
  else
    g_string_append_printf (text, "%s{%s} %.17g\n", series->name,
                            series->labels, series->value);
}

void
metrics_init (struct metrics *metrics)
{
  metrics->series
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, series_free);
  metrics->series_max = SERIES_LIMIT;
  metrics->dropped_count = 0;
}

void
metrics_finish (struct metrics *metrics)
{
  g_hash_table_destroy (metrics->series);
  metrics->series = NULL;
}

void
metrics_add (struct metrics *metrics, const char *name, const char *labels,
             double amount)
{
  struct series *series = series_get (metrics, SERIES_COUNTER, name, labels);

  if (series != NULL)
    series->value += amount;
}

void
metrics_set (struct metrics *metrics, const char *name, const char *labels,
             double value)
{
  struct series *series = series_get (metrics, SERIES_GAUGE, name, labels);

  if (series != NULL)
    series->value = value;
}

void
metrics_observe (struct metrics *metrics, const char *name, const char *labels,
                 double seconds)
{
  struct series *series = series_get (metrics, SERIES_HISTOGRAM, name, labels);

  if (series == NULL)
    return;
  series->value += seconds;
  series->count++;
  for (int i = 0; i < BUCKET_COUNT; i++)
    if (seconds <= bucket_bounds[i])
      {
        series->buckets[i]++;
        break;
      }
}

double
metrics_value (const struct metrics *metrics, const char *name,
               const char *labels)
{
  char key[512];
  const struct series *series;

  g_snprintf (key, sizeof key, "%s{%s}", name, labels);
  series = g_hash_table_lookup (metrics->series, key);
  return series != NULL ? series->value : 0;
}

char *
metrics_text (const struct metrics *metrics, size_t *size)
{
  static const char *const types[] = { "counter", "gauge", "histogram" };
  GString *text = g_string_new (NULL);
  GList *keys = g_hash_table_get_keys (metrics->series);
  const char *last_name = "";

  keys = g_list_sort (keys, (GCompareFunc)strcmp);
  for (GList *key = keys; key != NULL; key = key->next)
    {
      const struct series *series
          = g_hash_table_lookup (metrics->series, key->data);

      if (strcmp (last_name, series->name) != 0)
        g_string_append_printf (text, "# TYPE %s %s\n", series->name,
                                types[series->kind]);
      last_name = series->name;
      append_series (text, series);
    }
  g_list_free (keys);
  g_string_append_printf (
      text, "# TYPE metrics_dropped counter\nmetrics_dropped %lu\n",
      (unsigned long)metrics->dropped_count);
  if (size != NULL)
    *size = text->len;
  return g_string_free (text, FALSE);
}
