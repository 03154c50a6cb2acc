#ifndef CALLERPARSE_H
#define CALLERPARSE_H

#include "callerconn.h"

/** @file
 * Callbacks of the parser that keep the parts of a caller's request, within
 * the limits of its server. Each returns 0, or 1 to end the parser.
 */

/** Whether what has arrived of the head and the trailer is within the limit.
 */
bool callerparse_head_fits (const struct callerconn *conn);

int callerparse_target (http_parser *parser, const char *bytes, size_t size);
int callerparse_name (http_parser *parser, const char *bytes, size_t size);
int callerparse_value (http_parser *parser, const char *bytes, size_t size);
int callerparse_body (http_parser *parser, const char *bytes, size_t size);

#endif
