#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "list.h"
#include "standin-http.h"

/** @file
 * The parts of the role "engine": settings, prefix cache, runs.
 *
 * The text of a completion is a function of its prompt: the token I (from 0)
 * is "HHHHHHHH-I " with the low 32 bits of the prompt's XXH3-64 as eight
 * hexadecimal digits, and there are exactly max_tokens (16 by default). The
 * prompt of a chat is its messages' contents joined with line feeds.
 * The bytes of a block are a function of its id.
 */

struct engine_settings
{
  int prefill_rate; /**< tokens/s; 0: no time */
  double decode_ms; /**< per token; 0: as fast as the stream is read */
  int slots;        /**< runs at a time */
  int queue;        /**< requests that wait; over it: 503, not run */
  int cache_blocks;
  int piece_tokens;
  int bytes_per_token;
  int event_ring; /**< events kept */
  int event_lag_ms;
  gboolean priority; /**< urgent requests first */
};

extern struct engine_settings engine_settings;

/** Counters since the start, and two gauges. */
struct engine_stats
{
  int64_t running, queued; /**< now */
  int64_t started, completed, cancelled, resumed;
  int64_t repeated; /**< completions under an id that was there already */
  int64_t cached_tokens, imported_tokens, computed_tokens;
  int64_t wrong_bytes;    /**< imports whose bytes are of another block */
  int64_t wrong_versions; /**< blocks asked for under another version */
  int64_t exports;
  int64_t loading; /**< now */
  int64_t fenced;  /**< orders refused for an old fencing number */
  int64_t ignored_fencing;
};

extern struct engine_stats engine_stats;

/* Prefix cache */

void cache_init (void);

/** Mark BLOCK as used.
 * @return false if it is not cached, or not for VERSION (interned). */
bool cache_touch (const char *block, const char *version);
void cache_store (const char *block, const char *version);
bool cache_has (const char *block);
int cache_count (void);
void cache_events_reply (const struct call *call);
void cache_blocks_reply (const struct call *call);

/** The bytes that BLOCK has everywhere; the caller frees them. */
uint8_t *block_bytes (const char *block, size_t *size);

/* Runs */

void runs_init (void);

/** Start or queue the completion that CALL asks for, with loaded weights of
 * VERSION (interned). */
void run_start (const struct call *call, const char *version);
void run_resume (const struct call *call);
void run_cancel (const struct call *call);
/** Prompt tokens whose prefill is not done. */
int64_t runs_queued_tokens (void);

#endif
