#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "bytebudget.h"
#include "call.h"
#include "dialect.h"
#include "eventstream.h"
#include "serverconn.h"
#include "servers.h"

/** @file
 * One attempt to run a request at one backend server: opens the connection,
 * checks that the response belongs to the request, and passes the bytes of the
 * response to the owner, who relays them to the caller. The owner decides
 * whether the request is retried.
 */

/** The outcome of an attempt. After EXCHANGE_CUT, EXCHANGE_FOREIGN,
 * EXCHANGE_NOT_CONTINUED, EXCHANGE_SILENT and EXCHANGE_OUTDATED the request
 * may have run. */
enum exchange_outcome
{
  EXCHANGE_ANSWERED,      /**< The complete response was received. */
  EXCHANGE_NOT_CONNECTED, /**< The connection was not opened, so no byte of the
                             request was sent. */
  EXCHANGE_NOT_RUN,       /**< The server states that it did not run the
                               request. */
  /** The connection was lost before the response was complete. */
  EXCHANGE_CUT,
  EXCHANGE_FOREIGN, /**< The received bytes are not a valid response of the
                       server to this request. */
  EXCHANGE_NOT_CONTINUED, /**< The server did not continue the stream: its
                             response is not a successful event stream, or has
                             no event. */
  EXCHANGE_SILENT,  /**< The owner ended the attempt because the server sent
                      nothing for too long. */
  EXCHANGE_OUTDATED /**< The owner ended the attempt because the server, which
                       has old weights, had not begun in time. */
};

/** The request of one attempt. */
struct exchange_request
{
  const char *id;
  GString *bytes; /**< Head and body; exchange_send takes ownership. */
  bool is_head;   /**< Whether the method is HEAD. */
  bool is_stream; /**< Whether the request is for a stream. */
  bool continues; /**< Whether the stream is continued after events that the
                     caller already has. */
};

struct exchange;

struct exchange_ops
{
  /** Handles a response that does not belong to the request and is not used;
   * EXCHANGE has its status and what is known of its owner. */
  void (*passed_over) (void *data, struct exchange *exchange);
  /** Handles the head of the response, which is in EXCHANGE. */
  void (*head_received) (void *data, struct exchange *exchange);
  /** Relays SIZE bytes of a successful response. For a stream, these are whole
   * events only. The header lines of the response are in EXCHANGE. */
  void (*bytes_received) (void *data, struct exchange *exchange,
                          const char *bytes, size_t size);
  /** Handles the end of the attempt, after which no callback follows. The
   * connection is closed, but EXCHANGE stays valid until exchange_finish. */
  void (*ended) (void *data, struct exchange *exchange,
                 enum exchange_outcome outcome);
  /** Whether the request may be sent on the connection that was just opened.
   * If not, the attempt ends with EXCHANGE_NOT_CONNECTED and `withheld` is
   * set. NULL: always. */
  bool (*may_send) (void *data, struct exchange *exchange);
};

struct exchange
{
  /** What all exchanges keep of responses. */
  struct bytebudget *budget;
  size_t counted_bytes; /**< What this one keeps of it. */
  const struct dialect *dialect;
  const struct clock *clock;
  const struct exchange_ops *ops;
  void *data;
  struct server *server; /**< Server of the last attempt, or NULL. */
  /** Connection of the current attempt; NULL if none is open. */
  struct serverconn *conn;
  const char *request_id;
  struct response response;
  GString *header_lines; /**< Header lines of the response that are relayed to
                            the caller. */
  /** Body bytes that were not passed to `bytes_received` yet, unless the
   * response is a successful stream. */
  GByteArray *buffered_body;
  struct eventstream events;
  /** Whether the request is for a stream. A successful event stream is relayed
   * event by event. */
  bool is_stream;
  bool withheld;        /**< Whether may_send let the attempt end. */
  bool continues;       /**< Whether the attempt continues a stream. */
  bool has_head;        /**< Whether the head of the response was received. */
  unsigned passed_over; /**< Responses that belong to other requests or name
                           none, and came before. */
  /** How the end of the response is marked; valid if `has_head`. */
  enum httpresponse_framing framing;
  /** Why the bytes that were received can't be used: see httpresponse_fault,
   * or "event" if a continuation does not begin with the next one; "-" if none
   * of these. */
  const char *fault;
  int relayed_status; /**< Status of the response that began the stream. */
  bool relayed;       /**< Whether some bytes of the response were passed to
                         `bytes_received`. */
  int64_t sent_ns;    /**< Time at which the request was written to the opened
                         connection; 0 if it was not. */
  int64_t first_output_ns;  /**< Time at which the first bytes were passed to
                               `bytes_received` or the response was complete; 0
                               if neither has happened. */
  int64_t last_received_ns; /**< Time at which the last bytes of the response
                               were received. */
};

const char *exchange_outcome_name (enum exchange_outcome outcome);

/** @param budget of what all exchanges keep of responses */
void exchange_init (struct exchange *exchange, struct bytebudget *budget,
                    const struct dialect *dialect, const struct clock *clock,
                    const struct exchange_ops *ops, void *data);
/** Close the connection if one is open and free all that EXCHANGE owns. */
void exchange_finish (struct exchange *exchange);

/** Expect the events behind those that PRESENT has relayed. Call it before
 * EXCHANGE is sent. */
void exchange_continue_from (struct exchange *exchange,
                             const struct exchange *present);

/** Send REQUEST to SERVER. An earlier attempt of EXCHANGE must have ended. */
void exchange_send (struct exchange *exchange, uv_loop_t *loop,
                    struct server *server,
                    const struct exchange_request *request,
                    int64_t connect_timeout_ns);

/** Whether the response whose head was received is a successful event stream,
 * which is relayed event by event. */
bool exchange_relays_events (const struct exchange *exchange);

/** Whether the request was sent and the attempt has not ended. */
bool exchange_is_sent (const struct exchange *exchange);

/** Whether the response shows that the server has begun to run the request.
 * Its head does not: a server may send it before the first token. */
bool exchange_has_begun (const struct exchange *exchange);

/** Close the connection without calling `ended`. The reference to the server
 * is kept. */
void exchange_close (struct exchange *exchange);

/** Close the connection without calling `ended` and drop the reference to
 * the server. */
void exchange_cancel (struct exchange *exchange);

#endif
