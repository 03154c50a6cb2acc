#ifndef OPERATOR_H
#define OPERATOR_H

#include "gateway.h"

/** @file
 * What operators ask of a gateway.
 */

/** Answer an operator's request.
 * @return false if PATH is none of an operator's. */
bool operator_serve (struct gateway *gateway, struct httpserver_request *http,
                     const char *path);

#endif
