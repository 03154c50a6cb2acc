#ifndef REGISTRYSHARE_H
#define REGISTRYSHARE_H

#include "clock.h"
#include "lateness.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Shares the reading of the registry of servers among the hosts of a subset.
 * Servers renew their entries all the time, so that each host would read the
 * registry again after each pause although nothing of interest has changed.
 * Instead the hosts tell each other when they have read it, and by which
 * revision the last change was seen. A host that is as current as another one
 * that read it lately waits.
 *
 * A report only makes a host wait, or stop waiting. One that is lost, or of a
 * host that is cut off, frozen or of an earlier version, makes it read by
 * itself, after the same pause as without the others.
 */

enum
{
  REGISTRYSHARE_BYTES_MAX = 64
};

struct registryshare
{
  const struct clock *clock;
  uint64_t process_id;
  struct lateness lateness; /**< Of reports of the other hosts. */
  uint64_t changed_at;      /**< Revision of the last change of interest. */
  int64_t read_ns;          /**< Boot time at which the last read began. */
  unsigned rank;            /**< Position of this host in its subset. */
  unsigned host_count;      /**< Number of hosts in the subset; at least 1. */
  unsigned sends_left;      /**< Number of reports of it still to be sent. */
  int64_t next_send_ns;     /**< Time of the next report. */
  int64_t others_read_ns; /**< Boot time at which the last read of another host
                             began; 0 if none is known. */
  unsigned others_rank;   /**< Position of that host. */
  uint64_t told_change;   /**< Latest revision that others have reported. */
};

/** @param process_id a number that no other process has; not 0 */
void registryshare_init (struct registryshare *share,
                         const struct clock *clock, uint64_t process_id);
void registryshare_finish (struct registryshare *share);

/** Note a change at REVISION, 0 if unknown, that is more than a renewal. */
void registryshare_changed (struct registryshare *share, uint64_t revision);

/** Note that the reply to a call that was sent at SENT_NS, by clock_boottime,
 * has been applied. */
void registryshare_read (struct registryshare *share, int64_t sent_ns);

/** The KV service has come back from a backup: revisions start anew. */
void registryshare_era_changed (struct registryshare *share);

/** Write the report that is due.
 * @return its size; 0 if none is due */
size_t registryshare_encode (struct registryshare *share,
                             uint8_t bytes[REGISTRYSHARE_BYTES_MAX]);

/** Handle the report of another host.
 * @return false if it can't be parsed */
bool registryshare_receive (struct registryshare *share, const uint8_t *bytes,
                            size_t size);

/** Set the position of this host among the HOST_COUNT hosts of its subset. */
void registryshare_set_rank (struct registryshare *share, unsigned rank,
                             unsigned host_count);

/** Return the least time after a read at which registryshare_may_wait is to
 * be asked, if a host without others reads after PAUSE_NS. */
int64_t registryshare_least_pause_ns (int64_t pause_ns);

/** Whether this host, whose view has REVISION, need not read the registry yet:
 * it or another host did less than PAUSE_NS ago, and it is not its turn. */
bool registryshare_may_wait (const struct registryshare *share,
                             uint64_t revision, int64_t pause_ns);

#endif
