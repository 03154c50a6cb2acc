#ifndef RESPONSEOWNER_H
#define RESPONSEOWNER_H

#include <stdbool.h>

/** @file
 * Decides which request a response belongs to. Nothing that a response says
 * counts before that.
 */

enum response_owner
{
  RESPONSE_UNIDENTIFIED, /**< Unknown: the response does not name it. */
  RESPONSE_OWN,          /**< The request that was sent. */
  RESPONSE_OF_ANOTHER    /**< Another request. */
};

/** What the head of a response names. */
struct responseowner_names
{
  const char *request_id; /**< NULL or "" if it names no request. */
  bool repeated;          /**< Whether it names more than one request. */
  const char *server_id;  /**< The server that made it; NULL if not named. */
  /** Whether it states that its server has not run the request. */
  bool refuses;
  /** Whether it states that the server was not the one that was asked. */
  bool misdirected;
};

/** Return whose response it is that names NAMES.
 * @param request_id id of the request that was sent; NULL if it had none, in
 * which case a response that names one belongs to another
 * @param server_id server that the request was sent to; NULL if it has no id
 */
enum response_owner
responseowner_decide (const struct responseowner_names *names,
                      const char *request_id, const char *server_id);

#endif
