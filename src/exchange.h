#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "call.h"
#include "dialect.h"
#include "eventstream.h"
#include "serverconn.h"
#include "servers.h"

/** @file
 * One attempt to run a request at one backend server: opens the connection,
 * checks that the response belongs to the request, and hands its bytes over
 * for the caller. The owner decides whether the request is retried.
 */

/** The outcome of an attempt. After CUT, FOREIGN and SILENT the request may
 * have run. */
enum exchange_outcome
{
  EXCHANGE_ANSWERED,      /**< The complete response was received. */
  EXCHANGE_NOT_CONNECTED, /**< No byte of the request was sent. */
  EXCHANGE_NOT_RUN,       /**< The server states that it did not run the
                               request. */
  EXCHANGE_CUT,           /**< The connection was lost. */
  EXCHANGE_FOREIGN,       /**< The bytes are no response to this request. */
  EXCHANGE_SILENT         /**< The owner gave up on a silent server. */
};

struct exchange;

struct exchange_ops
{
  /** Bytes of a successful response can be relayed; of a stream only whole
   * events. The header lines are in the exchange. */
  void (*bytes_received) (void *data, struct exchange *exchange,
                          const char *bytes, size_t size);
  /** The attempt ended; no further callback follows. The connection is
   * closed, but the exchange stays valid until exchange_finish. */
  void (*ended) (void *data, struct exchange *exchange,
                 enum exchange_outcome outcome);
};

struct exchange
{
  const struct dialect *dialect;
  const struct clock *clock;
  const struct exchange_ops *ops;
  void *data;
  struct server *server;   /**< Server of the last attempt, or NULL. */
  struct serverconn *conn; /**< NULL if no connection is open. */
  const char *request_id;
  struct response response;
  GString *header_lines; /**< Header lines of the response for the caller. */
  GByteArray *buffered_body; /**< Body bytes that are not handed over yet, of a
                                  response that is no successful stream. */
  struct eventstream events;
  bool is_stream;  /**< A successful response is relayed event by event. */
  bool has_head;   /**< The head of the response was received. */
  bool relayed;    /**< Some bytes of the response were handed over. */
  int64_t sent_ns; /**< Time of connecting; 0: not connected. */
  int64_t first_output_ns;  /**< Time when the first bytes were handed over or
                                 the response was complete; 0: neither. */
  int64_t last_received_ns; /**< Time of the last bytes of the response. */
};

const char *exchange_outcome_name (enum exchange_outcome outcome);

void exchange_init (struct exchange *exchange, const struct dialect *dialect,
                    const struct clock *clock, const struct exchange_ops *ops,
                    void *data);
/** Close the connection if one is open and free all that EXCHANGE owns. */
void exchange_finish (struct exchange *exchange);

/** Send REQUEST to SERVER and take ownership of REQUEST. An earlier attempt
 * of the same exchange must have ended. */
void exchange_send (struct exchange *exchange, uv_loop_t *loop,
                    struct server *server, const char *request_id,
                    GString *request, bool bodiless, bool is_stream,
                    int64_t connect_timeout_ns);

/** Whether the request was sent and the attempt has not ended. */
bool exchange_is_sent (const struct exchange *exchange);

/** Close the connection without calling `ended`. The reference to the server
 * is kept. */
void exchange_close (struct exchange *exchange);

/** Close the connection without calling `ended` and drop the reference to
 * the server. */
void exchange_cancel (struct exchange *exchange);

#endif
