#ifndef DISPATCH_H
#define DISPATCH_H

#include "gateway.h"

/** @file
 * Chooses a backend server for a request and sends the request to it.
 */

/** Choose a backend server for REQUEST and begin an attempt there.
 * @return STATUS_UNAVAILABLE if no backend server may be used now. */
enum status dispatch_start_attempt (struct request *request);

/** Send the body of REQUEST, which was held until the bandwidth budgets of the
 * stores allowed its imports. */
void dispatch_send_held_body (struct request *request);

/** Reconnect to the backend server of the current attempt and resume its
 * stream after the last event that was relayed.
 * @return STATUS_UNAVAILABLE if that backend server is no longer listed. */
enum status dispatch_resume (struct request *request);

/** Close the connection of the current attempt, if any, and release what the
 * attempt holds. */
void dispatch_close_attempt (struct request *request);

#endif
