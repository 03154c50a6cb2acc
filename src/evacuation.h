#ifndef EVACUATION_H
#define EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @file
 * Which data centres an operator has evacuated: nothing more is sent to their
 * servers. Decides what ends an evacuation, and whether this host knows the
 * operator's keys well enough to send requests at all. Does no I/O; times are
 * those of clock_boottime.
 *
 * Only a removal that was read ends an evacuation. A key that is missing in an
 * empty read, in a later era of the KV service (a backup) or at an earlier
 * revision than it was written at is lost: the evacuation goes on until the
 * key is read again, or has been missing for EVACUATION_LOST_HOLD_MS of
 * successful reads.
 */

enum
{
  /** Maximum size of the name of a data centre, including the final NUL. */
  EVACUATION_NAME_MAX = 64,
  /** Time for which an evacuation goes on whose key was lost. An operator who
   * sees in the log that the key is lost has this long to write it again;
   * beyond it, a data centre must not stay out of use because its key was
   * removed unseen. */
  EVACUATION_LOST_HOLD_MS = 60000,
  /** A read of the operator's keys that was due is given up after this time,
   * so that a host which can't reach the KV service serves with what it
   * knows. It is longer than the timeout of a call. */
  EVACUATION_READ_WAIT_MS = 1500,
  /** Maximum time for which sends are held, also if the KV service hangs. */
  EVACUATION_HOLD_MAX_MS = 5000,
  /** Time that is kept of evacuate_ns for reading the keys and for requests
   * whose connections are being opened. */
  EVACUATION_MARGIN_MS = 1500
};

enum evacuation_change
{
  EVACUATION_BEGAN,
  EVACUATION_LOST,    /**< The key is missing, but was not removed as far as
                         this host can tell; the evacuation goes on. */
  EVACUATION_FOUND,   /**< The lost key was read again. */
  EVACUATION_ENDED,   /**< The key was removed. */
  EVACUATION_EXPIRED, /**< The key was lost for too long; the evacuation has
                         ended. */
};

/** How it was found that a key is missing. */
struct evacuation_absence
{
  bool is_reported;  /**< Whether the KV service reported its deletion, rather
                        than leaving it out of a read of all keys. */
  bool is_empty;     /**< Whether that read had no keys at all. */
  uint64_t era;      /**< Present era of the KV service. */
  uint64_t revision; /**< Revision that the read states. */
};

/** One evacuated data centre. */
struct evacuated
{
  char data_centre[EVACUATION_NAME_MAX];
  uint64_t revision;     /**< KV service revision of the key. */
  uint64_t era;          /**< Era in which the key was last read. */
  int64_t since_ns;      /**< Time at which this host learned of it. */
  int64_t lost_since_ns; /**< Time since which the key is lost; 0 if it is
                            not. */
  int64_t lost_ns;       /**< Time for which it was lost while the keys could
                            be read. */
};

struct evacuation_ops
{
  /** EVACUATED has changed; after the end of an evacuation it is no longer in
   * the table and is freed when the callback returns. */
  void (*changed) (void *data, const struct evacuated *evacuated,
                   enum evacuation_change change);
};

/** What this host knows of the operator's keys. */
struct evacuation_reading
{
  bool initial_read_done; /**< Whether all keys have been read once. */
  bool is_reading_anew;   /**< Whether changes may not have been reported, so
                             that a read is due. */
  bool reachable;         /**< Whether the last call succeeded. */
};

struct evacuation
{
  const struct evacuation_ops *ops;
  void *data;
  /** Time within which no host sends requests to an evacuated data centre any
   * more. */
  int64_t evacuate_ns;
  GHashTable *by_name;  /**< Maps names of data centres to struct evacuated. */
  bool is_initial;      /**< Whether the keys have not been read yet. */
  bool holds_sends;     /**< Whether the keys are too old to send by. */
  int64_t resumed_ns;   /**< End of the last long suspension; 0 once the keys
                           have been read since. */
  int64_t last_tick_ns; /**< Time of the last tick; 0 before the first. */
};

/** No request is sent until the keys have been read. */
void evacuation_init (struct evacuation *evacuation, int64_t evacuate_ns,
                      const struct evacuation_ops *ops, void *data);
void evacuation_finish (struct evacuation *evacuation);

/** The key of DATA_CENTRE was read, written at REVISION in ERA.
 * @return false if DATA_CENTRE can't be the name of one */
bool evacuation_put (struct evacuation *evacuation, const char *data_centre,
                     uint64_t revision, uint64_t era, int64_t now_ns);

/** The key of DATA_CENTRE is missing. */
void evacuation_removed (struct evacuation *evacuation,
                         const char *data_centre,
                         const struct evacuation_absence *absence,
                         int64_t now_ns);

/** Call regularly with what is known of the keys: ends evacuations whose keys
 * are lost for too long, and judges whether this host may send. */
void evacuation_tick (struct evacuation *evacuation,
                      const struct evacuation_reading *reading,
                      int64_t now_ns);

/** Whether nothing may be sent to the servers of DATA_CENTRE. EVACUATION may
 * be NULL: then none is evacuated. */
bool evacuation_is_evacuated (const struct evacuation *evacuation,
                              const char *data_centre);

/** Whether this host must not send requests to any server now, since it may
 * not know of an evacuation that other hosts have had the time to learn of:
 * its initial read is not complete, or it was suspended and has not read the
 * keys since. EVACUATION may be NULL. */
bool evacuation_holds_sends (const struct evacuation *evacuation,
                             int64_t now_ns);

/** Return the name of CHANGE in logs. */
const char *evacuation_change_name (enum evacuation_change change);

#endif
