#ifndef RESERVEPORT_H
#define RESERVEPORT_H

#include <stdint.h>

/** @file
 * Reserves a port of the loopback address for a program that is started and
 * killed there again and again: while it is down, no other program gets the
 * port, and the program itself can listen there at any time.
 */

/** Reserve PORT of IP, or any if PORT is 0.
 * @return a file descriptor that holds the port until it is closed; -1 if
 * another program has or has reserved it */
int reserveport_hold (const char *ip, uint16_t port);

/** Returns the port that FILE holds. */
uint16_t reserveport_number (int file);

#endif
