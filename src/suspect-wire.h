#ifndef SUSPECT_WIRE_H
#define SUSPECT_WIRE_H

#include "peer.pb-c.h"
#include "status.h"
#include "suspect.h"

/** @file
 * The messages of suspect.h in a peer envelope.
 */

/** Fill BODY, which refers to MESSAGE's memory. */
void suspect_wire_write (struct suspect_message *message, unsigned partition,
                         Peer__Suspect *body);

/** @return STATUS_OK or STATUS_CORRUPT */
enum status suspect_wire_read (const Peer__Suspect *body,
                               struct suspect_message *message,
                               unsigned *partition);

#endif
