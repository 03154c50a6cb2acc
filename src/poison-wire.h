#ifndef POISON_WIRE_H
#define POISON_WIRE_H

#include "peer.pb-c.h"
#include "status.h"
#include "poison.h"

/** @file
 * Converts the messages of poison.h to and from protobuf.
 */

/** Converts MESSAGE and PARTITION to BODY, which keeps pointers into
 * MESSAGE. */
void poison_wire_write (struct poison_message *message, unsigned partition,
                        Peer__Suspect *body);

/** Converts BODY to MESSAGE and PARTITION.
 * @return STATUS_CORRUPT if BODY is not a valid message, else STATUS_OK. */
enum status poison_wire_read (const Peer__Suspect *body,
                              struct poison_message *message,
                              unsigned *partition);

#endif
