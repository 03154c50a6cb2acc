#ifndef FAKE_UPSTREAM_H
#define FAKE_UPSTREAM_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

/** @file
 * A backend server on loopback that answers each request with the next line
 * of a script and notes what it was sent.
 */

enum fake_upstream_end
{
  FAKE_UPSTREAM_KEEP,  /**< The connection stays open. */
  FAKE_UPSTREAM_CLOSE, /**< It is closed after the answer. */
  FAKE_UPSTREAM_RESET, /**< It is reset after the answer. */
  FAKE_UPSTREAM_GONE   /**< The same, and the server has ended. */
};

struct fake_upstream_step
{
  const char *answer; /**< "%s" stands for the request's id; "" for none */
  enum fake_upstream_end end;
};

struct fake_upstream
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  char address[32];
  const struct fake_upstream_step *steps; /**< the last one is repeated */
  unsigned step_count;
  /** Answer to a request that goes on with a stream; NULL: as any other. */
  const struct fake_upstream_step *resumed;
  /** Rest of each answer, which follows LATER_MS after its beginning; NULL:
   * the answers are whole. "" is an end that comes later. */
  const char *later;
  unsigned later_ms;
  /** Answer to a query for the server's state; NULL: without statements. */
  const char *state;
  /** A request that holds this text is sent the head of a stream and then a
   * reset; NULL: none is. */
  const char *crash_text;
  unsigned crashes;  /**< requests that held it */
  unsigned requests; /**< whole ones that came, without queries */
  unsigned queries;  /**< queries for the server's state */
  /** Called with each request as it came, unless NULL. */
  void (*received) (void *data, const char *request);
  void *received_data;
  unsigned closed; /**< connections that the other side closed first */
  GString *last;   /**< the last request as it came */
};

void fake_upstream_init (struct fake_upstream *upstream, uv_loop_t *loop,
                         const struct fake_upstream_step *steps,
                         unsigned step_count);
void fake_upstream_finish (struct fake_upstream *upstream);

#endif
