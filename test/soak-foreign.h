#ifndef SOAK_FOREIGN_H
#define SOAK_FOREIGN_H

#include "callerconn.h"
#include "soak.h"

/** @file
 * Engines that write an earlier refusal once more, before, after or instead of
 * an answer, and what becomes of the requests that meet one.
 */

/** Where an earlier refusal is written. */
enum soak_foreign_place
{
  SOAK_FOREIGN_NONE,
  SOAK_FOREIGN_AT_ONCE, /**< When the request has arrived. */
  SOAK_FOREIGN_BEFORE,  /**< Just before the answer. */
  SOAK_FOREIGN_AFTER,   /**< Behind the answer. */
  SOAK_FOREIGN_INSTEAD, /**< In place of the answer; the engine then closes
                           the connection. */
  SOAK_FOREIGN_PLACES
};

/** Draw where an earlier refusal is written for REQUEST; nowhere unless the
 * soak plays this and an engine has refused something. */
enum soak_foreign_place soak_foreign_draw (struct soak *soak,
                                           struct soak_request *request);

/** Whether an engine refuses a request truly, so that there are refusals to
 * write again. */
bool soak_foreign_refuses (struct soak *soak);

/** The engine SERVER_ID has refused REQUEST. */
void soak_foreign_refused (struct soak *soak, const char *server_id,
                           const struct soak_request *request);

/** Write an earlier refusal, of any connection, to CONN. */
void soak_foreign_write (struct soak *soak, struct callerconn *conn);

/** REQUEST has got a response with STATUS. */
void soak_foreign_answered (struct soak *soak,
                            const struct soak_request *request,
                            unsigned status);

/** Check what became of the requests whose own answer came behind an earlier
 * refusal. */
void soak_foreign_check (struct soak *soak);

#endif
