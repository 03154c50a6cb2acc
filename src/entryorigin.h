#ifndef ENTRYORIGIN_H
#define ENTRYORIGIN_H

#include "streamorigin.h"

/** @file
 * What an entry process does for streamorigin.h: sends datagrams, and tells
 * which software a service has had.
 */

/** Their data is the struct entry. */
extern const struct streamorigin_ops entryorigin_ops;

#endif
