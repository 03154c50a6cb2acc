#ifndef ADDRESS_H
#define ADDRESS_H

#include "status.h"

#include <netinet/in.h>
#include <stddef.h>

/** @file
 * Numeric IPv4 addresses "IP:PORT", the form used in the settings and in the
 * host list.
 */

enum
{
  ADDRESS_TEXT_MAX = 32 /**< Maximum size of "IP:PORT" with the final NUL. */
};

/** Parse the numeric "IP:PORT" in TEXT into ADDRESS.
 * @return STATUS_OK or STATUS_INVALID. */
enum status address_parse (const char *text, struct sockaddr_in *address);

#endif
