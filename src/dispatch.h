#ifndef DISPATCH_H
#define DISPATCH_H

#include "gateway.h"

/** @file
 * The choice of a backend server for a request and the call to it.
 */

/** Choose a backend server and open an attempt of REQUEST there.
 * @return STATUS_UNAVAILABLE if there is none that may be used now. */
enum status dispatch_send (struct request *request);

/** Send the placed request whose wait is over. */
void dispatch_send_held (struct request *request);

/** Open the stream of the running attempt again where it was cut. */
enum status dispatch_resume (struct request *request);

/** Close the connection of the running attempt, if any. */
void dispatch_close_attempt (struct request *request);

#endif
