#ifndef METRICS_H
#define METRICS_H

#include <stddef.h>
#include <stdint.h>

/** @file
 * Counters, gauges and histograms of one process, written out in the text
 * exposition format. Series are made at first use and kept until
 * metrics_finish.
 */

struct metrics
{
  void *series; /**< hash table: "name{labels}" to series */
  size_t limit; /**< Series over this count are dropped and counted. */
  uint64_t dropped;
};

void metrics_init (struct metrics *metrics);
void metrics_finish (struct metrics *metrics);

/** Add to the counter NAME with LABELS (`kind="x",code="y"` or "").
 * Values inside LABELS must already be free of quotes and backslashes. */
void metrics_add (struct metrics *metrics, const char *name,
                  const char *labels, double amount);

/** Set the gauge NAME with LABELS. */
void metrics_set (struct metrics *metrics, const char *name,
                  const char *labels, double value);

/** Observe SECONDS in the histogram NAME with LABELS. */
void metrics_observe (struct metrics *metrics, const char *name,
                      const char *labels, double seconds);

/** The value of a counter or gauge; 0 if there is no such series. */
double metrics_value (const struct metrics *metrics, const char *name,
                      const char *labels);

/** The text exposition; the caller frees it.
 * @param size receives its length without the final NUL; may be NULL. */
char *metrics_text (const struct metrics *metrics, size_t *size);

#endif
