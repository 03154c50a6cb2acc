#ifndef OPERATOR_H
#define OPERATOR_H

#include "gateway.h"

/** @file
 * What operators ask of a gateway.
 */

void operator_init (struct gateway *gateway);
void operator_finish (struct gateway *gateway);

/** Answer an operator's request.
 * @return false if PATH is none of an operator's. */
bool operator_serve (struct gateway *gateway, struct httpserver_request *http,
                     const char *path);

/** Keep the configuration in force up to date. */
void operator_tick (struct gateway *gateway);

#endif
