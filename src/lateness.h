#ifndef LATENESS_H
#define LATENESS_H

#include <glib.h>
#include <stdint.h>

/** @file
 * Estimates how late messages of other processes arrive, whose clocks have
 * another origin. Each message states when it was sent by its sender's clock.
 * The least difference to the time of arrival, over all messages of a sender,
 * belongs to the quickest one; what exceeds it is lateness.
 */

struct lateness
{
  GHashTable *senders; /**< Maps ids of senders to their estimates. */
};

void lateness_init (struct lateness *lateness);
void lateness_finish (struct lateness *lateness);

/** Returns by how much longer than the quickest message of SENDER one took
 * that was sent at SENT_NS and arrived at RECEIVED_NS, each by a clock that
 * also counts suspended time; at least 0. Returns -1 if that can't be told:
 * the sender has no id (0), its time is out of range, or nothing was heard of
 * it before. */
int64_t lateness_record (struct lateness *lateness, uint64_t sender,
                         int64_t sent_ns, int64_t received_ns);

#endif
