#ifndef TCPKEEPALIVE_H
#define TCPKEEPALIVE_H

/** @file
 * TCP settings that detect a dead connection, one whose peer or network path
 * failed without a FIN or RST, so that neither end is notified.
 */

/** Make the kernel close the connection FD within three seconds after its
 * peer stops acknowledging, whether the connection is idle or has
 * unacknowledged data. */
void tcpkeepalive_enable (int fd);

#endif
