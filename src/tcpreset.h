#ifndef TCPRESET_H
#define TCPRESET_H

#include <stdbool.h>
#include <stddef.h>

/** @file
 * Tells a connection that its peer reset from one that the peer closed in
 * order. A response that ends with its connection is complete only after an
 * orderly end, to a request that the peer has received.
 */

/** Set whether closing the connection FD resets it, also when the process is
 * killed. Bytes that are not sent yet are lost then. */
void tcpreset_on_close (int fd, bool reset);

/** Whether the connection FD, whose end was read, was reset. If the peer
 * closes its side and then resets the connection before this process reads,
 * reading reports only an end of file. */
bool tcpreset_was_reset (int fd);

/** Return the number of bytes that were sent on the connection FD and that its
 * peer has not acknowledged. */
size_t tcpreset_unacknowledged_bytes (int fd);

/** Whether the peer of the connection FD has not acknowledged all bytes that
 * were sent. */
bool tcpreset_is_sending (int fd);

#endif
