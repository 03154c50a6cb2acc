#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "call.h"
#include "dialect.h"
#include "eventstream.h"
#include "serverconn.h"
#include "servers.h"

/** @file
 * One send of a request to one backend server: opens the connection, checks
 * that the answer belongs to the request, and hands over what may be passed
 * to the caller. Whether the request is sent again is decided above.
 */

enum exchange_end
{
  EXCHANGE_ANSWERED,      /**< The whole answer came. */
  EXCHANGE_NOT_CONNECTED, /**< No byte was sent. */
  EXCHANGE_NOT_RUN,       /**< The server says that it did not run it. */
  EXCHANGE_CUT,           /**< The connection was lost: it may have run. */
  EXCHANGE_FOREIGN, /**< The bytes are no answer to it: it may have run. */
  EXCHANGE_SILENT   /**< Given up by its owner: it may have run. */
};

struct exchange;

struct exchange_ops
{
  /** The next bytes of a successful answer: whole events of a stream. The
   * head lines are in the exchange. */
  void (*relay) (void *data, struct exchange *exchange, const char *bytes,
                 size_t size);
  /** The last call. The connection is closed; the exchange stays until
   * exchange_finish. */
  void (*end) (void *data, struct exchange *exchange, enum exchange_end end);
};

struct exchange
{
  const struct dialect *dialect;
  const struct clock *clock;
  const struct exchange_ops *ops;
  void *data;
  struct server *server; /**< NULL: nothing is open */
  struct serverconn *link;
  const char *request_id;
  struct answer answer;
  GString *lines;   /**< head lines of the answer for the caller */
  GByteArray *held; /**< an answer that is passed on whole */
  struct eventstream events;
  bool is_stream;      /**< A success is passed on event by event. */
  bool answering;      /**< The head of the answer has come. */
  bool relayed;        /**< Bytes of it were handed over. */
  int64_t sent_ns;     /**< 0: not connected */
  int64_t first_ns;    /**< first bytes handed over or whole answer; 0: none */
  int64_t progress_ns; /**< last byte of the answer */
};

const char *exchange_end_name (enum exchange_end end);

void exchange_init (struct exchange *exchange, const struct dialect *dialect,
                    const struct clock *clock, const struct exchange_ops *ops,
                    void *data);
/** Closes the connection if one is open. */
void exchange_finish (struct exchange *exchange);

/** Send REQUEST, which is taken over, to SERVER. An earlier send of the same
 * exchange must have ended. */
void exchange_send (struct exchange *exchange, uv_loop_t *loop,
                    struct server *server, const char *request_id,
                    GString *request, bool bodiless, bool is_stream,
                    int64_t connect_ns);

/** Whether the request is at a server now: it was handed over and the exchange
 * has not ended. */
bool exchange_is_sent (const struct exchange *exchange);

/** Close the connection and keep the server; `end` is not called. */
void exchange_close (struct exchange *exchange);

/** The same, and let go of the server. */
void exchange_cancel (struct exchange *exchange);

#endif
