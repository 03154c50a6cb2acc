#ifndef LOAD_MIX_H
#define LOAD_MIX_H

#include "status.h"

#include <glib.h>
#include <json.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * The mix of requests, from a JSON file with comments, and what came of them:
 *
 *   {"kinds": [{"name", "key", "model", "rate", "prompt_tokens",
 *     "max_tokens", "stream", "return_ms", "returns", "grow_tokens",
 *     "idempotent", "deadline_ms", "path"}]}
 *
 * RATE is of new contexts per second. A context comes back RETURNS times,
 * RETURN_MS after the last time and GROW_TOKENS longer. PATH is of the
 * completions by default; a request to another one is a plain call. A kind
 * that is not idempotent sends an Idempotency-Key, the same for each retry.
 * KEYS, a list in place of KEY, gives each context one of them at random.
 */

struct load_result
{
  int64_t count;
  int64_t retries;
  int64_t wrong, missing, doubled, no_end;
  GHashTable *outcomes; /**< name to count */
  GHashTable *codes;    /**< of refusals and errors, to count */
  GArray *first_ms;     /**< double, of complete answers */
  GArray *total_ms;
};

struct load_kind
{
  const char *name;
  const char **keys;
  size_t key_count; /**< at least 1 */
  const char *model;
  const char *path;
  double rate; /**< new contexts per second */
  int64_t prompt_tokens;
  int64_t max_tokens;
  int64_t grow_tokens;
  int64_t return_ms;
  int64_t returns;
  int64_t deadline_ms;
  bool stream;
  bool idempotent;
  bool is_completion;
  struct load_result result;
};

struct load_mix
{
  struct json_object *file; /**< owns the strings */
  struct load_kind *kinds;
  size_t kind_count;
};

enum status load_mix_read (struct load_mix *mix, const char *path,
                           struct error *error);
void load_mix_finish (struct load_mix *mix);

/** Count one under NAME. */
void load_count (GHashTable *table, const char *name);

/** What to print of the kind: counts, and quantiles of all samples. */
struct json_object *load_kind_report (struct load_kind *kind);

#endif
