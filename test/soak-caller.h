#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "httpfields.h"
#include "soak-host.h"

#include <http_parser.h>

/** @file
 * A caller that keeps its connection open for as long as the host does, and
 * checks every answer.
 */

struct soak_caller
{
  struct soak *soak;
  struct soak_host *hosts;
  unsigned host_count;
  unsigned number;
  unsigned asked;        /**< requests so far */
  unsigned plain_left;   /**< Requests that it sends before its streams. */
  unsigned streams_left; /**< If it sends only some streams. */
  bool finished;

  uv_tcp_t *tcp; /**< NULL: not connected */
  uv_timer_t timer;
  unsigned host;
  http_parser parser;
  struct httpfields head;
  GString *body;
  struct soak_request *request; /**< under way; NULL: none */

  unsigned ended;  /**< requests with a final answer or none */
  unsigned served; /**< of them with success */
  /** The stream that broke off, which the next request takes up; NULL: none */
  const struct soak_request *broken;
  unsigned returned;      /**< requests that took a stream up */
  unsigned went_on;       /**< of them with an event more */
  unsigned streams;       /**< requests for a new stream */
  unsigned streams_begun; /**< of them with an event */
  unsigned streams_whole; /**< streams that came to their end */
};

void soak_caller_init (struct soak_caller *caller, struct soak *soak,
                       unsigned number, struct soak_host *hosts,
                       unsigned host_count);
void soak_caller_finish (struct soak_caller *caller);

/** Whether it has sent all streams that it was to send, and nothing is under
 * way. */
bool soak_caller_is_done (const struct soak_caller *caller);

#endif
