#ifndef CALLERREPORT_H
#define CALLERREPORT_H

#include "callerconn.h"

/** @file
 * Reports responses that a caller may not get whole, since this side closes
 * its connection.
 */

/** Report what is left of a complete response if CONN closes now, unless the
 * caller ends the connection. Its end_reason is set. */
void callerreport_unsent (struct callerconn *conn);

#endif
