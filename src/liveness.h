#ifndef LIVENESS_H
#define LIVENESS_H

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

/** @file
 * Detects whether an open connection still works. If expected bytes do not
 * arrive in time, a probe is sent on a new connection to the same process.
 * Bytes that arrive on the old connection end the probe. If the probe
 * completes or times out first, the old connection is dead and never used
 * again.
 */

/** Why a connection is dead. */
enum liveness_verdict
{
  LIVENESS_SILENT,  /**< The probe on a new connection got a reply, but the old
                       connection got no bytes. */
  LIVENESS_REFUSED, /**< The new connection was refused. */
  LIVENESS_UNREACHABLE, /**< The probe on a new connection timed out. */
  LIVENESS_VERDICT_COUNT
};

const char *liveness_verdict_name (enum liveness_verdict verdict);

struct liveness_ops
{
  /** Send a message that the peer replies to. Called only if
   * heartbeat_interval_ns is not 0. */
  void (*send_heartbeat) (void *data);
  /** Open a new connection, send a request without side effects, and report
   * the result with liveness_probe_completed, but not before this function
   * returns. */
  void (*start_probe) (void *data);
  /** Cancel the probe in flight. */
  void (*cancel_probe) (void *data);
  /** The connection is dead: close it. No callback follows. */
  void (*connection_dead) (void *data, enum liveness_verdict verdict);
};

struct liveness_settings
{
  int64_t heartbeat_interval_ns; /**< Interval between two heartbeats; 0 to
                                    send none. */
  int64_t timeout_ns; /**< Timeout for expected bytes, after which a probe
                         starts. */
  int64_t probe_timeout_ns; /**< Timeout of one probe. */
  int64_t confirmed_for_ns; /**< Time after the last received byte during which
                               the connection is taken to work. */
};

enum liveness_state
{
  LIVENESS_IDLE,    /**< No bytes are expected. */
  LIVENESS_WAITING, /**< Bytes are expected. */
  LIVENESS_PROBING, /**< Expected bytes timed out; a probe is in flight. */
  LIVENESS_DEAD
};

struct liveness
{
  const struct clock *clock;
  const struct liveness_ops *ops;
  void *data;
  struct liveness_settings settings;
  enum liveness_state state;
  int64_t timeout_ns; /**< Current timeout for expected bytes. */
  /** Start of the current timeout: when the last byte was received or when
   * bytes became expected. */
  int64_t waiting_since_ns;
  /** Time at which the last byte was received or, before the first byte,
   * the connection was established. */
  int64_t confirmed_ns;
  int64_t next_heartbeat_ns;
  int64_t probe_deadline_ns;
};

/** Start to monitor a connection that was just established. With heartbeats,
 * bytes are always expected. */
void liveness_init (struct liveness *liveness,
                    const struct liveness_settings *settings,
                    const struct clock *clock, const struct liveness_ops *ops,
                    void *data);

/** Expect a response, or its next bytes, from now on.
 * @param timeout_ns timeout for these bytes; 0 for the timeout in the
 * settings */
void liveness_expect_bytes (struct liveness *liveness, int64_t timeout_ns);

/** Record that no response is pending. No bytes are expected from now on,
 * except replies to heartbeats. */
void liveness_expect_nothing (struct liveness *liveness);

/** Handle the receipt of bytes on the connection. */
void liveness_bytes_received (struct liveness *liveness);

/** Handle the completion of the probe.
 * @param replied whether the peer replied; if not, it refused the
 * connection */
void liveness_probe_completed (struct liveness *liveness, bool replied);

/** Whether the connection worked within the last confirmed_for_ns, so that a
 * request that must not be repeated may be sent on it. */
bool liveness_is_confirmed (const struct liveness *liveness);

/** Run the timers that have expired. */
void liveness_tick (struct liveness *liveness);

/** Time at which liveness_tick must be called next, or CLOCK_NEVER. */
int64_t liveness_next_tick_ns (const struct liveness *liveness);

#endif
