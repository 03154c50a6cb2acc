#ifndef METRICS_H
#define METRICS_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Counters, gauges and histograms of one process, in the Prometheus text
 * exposition format. A series is created at its first use and kept until
 * metrics_finish.
 */

struct metrics
{
  void *series;      /**< GHashTable from "name{labels}" to struct series. */
  size_t series_max; /**< Maximum number of series. */
  /** Number of updates dropped because they needed a series over the maximum.
   */
  uint64_t dropped_count;
};

void metrics_init (struct metrics *metrics);
void metrics_finish (struct metrics *metrics);

/** Add AMOUNT to the counter NAME with LABELS (`kind="x",code="y"` or "").
 * The values in LABELS must not contain quotes or backslashes. */
void metrics_add (struct metrics *metrics, const char *name,
                  const char *labels, double amount);

/** Set the gauge NAME with LABELS to VALUE. */
void metrics_set (struct metrics *metrics, const char *name,
                  const char *labels, double value);

/** Record the observation SECONDS in the histogram NAME with LABELS. */
void metrics_observe (struct metrics *metrics, const char *name,
                      const char *labels, double seconds);

/** Return the value of a counter or gauge; 0 if there is no such series. */
double metrics_value (const struct metrics *metrics, const char *name,
                      const char *labels);

/** Return all series in the text exposition format; the caller frees it.
 * @param size receives the length without the final NUL; may be NULL */
char *metrics_text (const struct metrics *metrics, size_t *size);

#endif
