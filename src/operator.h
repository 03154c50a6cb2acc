#ifndef OPERATOR_H
#define OPERATOR_H

#include "gateway.h"

/** @file
 * The gateway's HTTP API for operators.
 */

/** Respond to a request of the operators' API.
 * @return false if no method and path of the API match. */
bool operator_serve (struct gateway *gateway, struct httpserver_request *http,
                     const char *path);

#endif
