#ifndef LIVENESS_H
#define LIVENESS_H

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Whether one open connection still works. A connection from which something
 * is due and nothing comes is doubted: a fresh connection is tried beside it.
 * Bytes on the old one end the doubt; an answer on the fresh one, or none,
 * condemns the old one, which is never used again.
 */

enum liveness_verdict
{
  LIVENESS_SILENT,      /**< the other end answers on a fresh connection */
  LIVENESS_REFUSED,     /**< it refuses a fresh connection */
  LIVENESS_UNREACHABLE, /**< a fresh connection gets no answer either */
  LIVENESS_VERDICT_COUNT
};

const char *liveness_verdict_name (enum liveness_verdict verdict);

struct liveness_ops
{
  /** Send something that the other end answers; only with heartbeat_ns. */
  void (*heartbeat) (void *data);
  /** Open a fresh connection, ask something harmless, and say what came of it
   * by liveness_probed; not from inside. */
  void (*probe) (void *data);
  /** Give up the probe under way. */
  void (*probe_cancel) (void *data);
  /** Close the connection; the last call. */
  void (*condemn) (void *data, enum liveness_verdict verdict);
};

struct liveness_settings
{
  int64_t heartbeat_ns; /**< between two heartbeats; 0: there are none */
  int64_t patience_ns;  /**< without a byte that is due until it is doubted */
  int64_t probe_ns;     /**< most time that a probe may take */
  int64_t proved_ns;    /**< how long a byte proves that it works */
};

enum liveness_state
{
  LIVENESS_QUIET, /**< nothing is due */
  LIVENESS_DUE,
  LIVENESS_DOUBTED,
  LIVENESS_CONDEMNED
};

struct liveness
{
  const struct clock *clock;
  const struct liveness_ops *ops;
  void *data;
  struct liveness_settings settings;
  enum liveness_state state;
  int64_t patience_ns; /**< in force */
  int64_t heard_ns;    /**< last byte, or what it is counted from */
  int64_t proof_ns;    /**< last byte, or when it was established */
  int64_t beat_ns;     /**< next heartbeat */
  int64_t probe_end_ns;
};

/** The connection was established just now. With heartbeats something is due
 * at all times. */
void liveness_init (struct liveness *liveness,
                    const struct liveness_settings *settings,
                    const struct clock *clock, const struct liveness_ops *ops,
                    void *data);

/** An answer, or its next part, is due from now on.
 * @param patience_ns 0 for that of the settings */
void liveness_expect (struct liveness *liveness, int64_t patience_ns);

/** Nothing is due any more. */
void liveness_rest (struct liveness *liveness);

/** Bytes came in. */
void liveness_received (struct liveness *liveness);

/** The probe ended: the other end answered, or refused the connection. */
void liveness_probed (struct liveness *liveness, bool answered);

/** It works as of just now: what may not be repeated may be sent on it. */
bool liveness_proved (const struct liveness *liveness);

void liveness_tick (struct liveness *liveness);
int64_t liveness_next (const struct liveness *liveness);

#endif
