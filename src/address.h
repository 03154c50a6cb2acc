#ifndef ADDRESS_H
#define ADDRESS_H

#include "status.h"

#include <netinet/in.h>
#include <stddef.h>

/** @file
 * Numeric addresses "IP:PORT" (IPv4), as settings and the host list give
 * them.
 */

enum
{
  ADDRESS_TEXT_MAX = 32 /**< bytes of "IP:PORT" with the final NUL */
};

/** @return STATUS_OK or STATUS_INVALID. */
enum status address_parse (const char *text, struct sockaddr_in *address);

#endif
