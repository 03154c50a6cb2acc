#ifndef KVVIEW_H
#define KVVIEW_H

#include "clock.h"
#include "kv.h"
#include "list.h"
#include "pausewatch.h"

#include <glib.h>
#include <stdbool.h>

/** @file
 * A local copy of all keys of the KV service with one prefix: read once, then
 * kept up to date by watches. A failed read never removes a key. Keys that
 * vanish around an outage of the service, in which leases can expire, are held
 * for some time, because their owners may write them again.
 */

struct kvview_ops
{
  /** KEY has a new value. */
  void (*key_put) (void *data, const char *key, const char *value,
                   uint64_t revision);
  /** KEY no longer exists, and its hold time has passed if it was held. */
  void (*key_removed) (void *data, const char *key);
  /** REACHABLE is false once a call has failed, and true once a call has
   * succeeded again; the reply to that call is applied after this callback. */
  void (*reachability_changed) (void *data, bool reachable);
  /** Another host has known a change with REVISION for longer than a watch
   * takes to report it: all keys are read. May be NULL. */
  void (*fell_behind) (void *data, uint64_t revision);
};

struct kvview_settings
{
  int64_t watch_duration_ns; /**< Maximum time that one watch waits for a
                                change. */
  int64_t hold_ns; /**< Time after an outage during which vanished keys are
                      held. */
  /** Time at which the last outage ended in which leases can have expired, as
   * all calls of this process tell; 0 if there was none. NULL: each failure of
   * a call counts as such an outage. */
  const int64_t *service_outage_end_ns;
  /** Whether a read without any key is not believed while keys are known, but
   * repeated: the view always has some. */
  bool distrusts_empty_reads;
  const struct pausewatch *pausewatch; /**< Pauses of this process; may be
                                          NULL. */
};

struct kvview
{
  struct kv *kv;
  const struct clock *clock;
  struct kvview_settings settings;
  const char *prefix;
  const struct kvview_ops *ops;
  void *data;
  GHashTable *keys;         /**< Maps a key to its struct kvview_key. */
  bool holds_keys;          /**< Whether a key may be held. */
  uint64_t revision;        /**< Service revision that the view reflects. */
  uint64_t change_revision; /**< Revision of the last change of a key. */
  /** Revision of a change that another host knows and this view does not; 0 if
   * there is none. */
  uint64_t reported_revision;
  int64_t reported_since_ns; /**< Time since which that is so. */
  int64_t next_report_ns;    /**< Earliest time at which it causes a read. */
  uint64_t told_revision;    /**< Newest revision of a change that another host
                                has told of, which the view may have. */
  /** Time, by clock_boottime, at which another host last told of a change no
   * older than those that the view has; 0 before. */
  int64_t told_ns;
  bool started;
  bool initial_read_done; /**< Whether all keys have been read once. */
  bool is_reading; /**< Whether the key being put comes from a read of all
                      keys; it may have been written long before. */
  bool removal_reported;  /**< Whether the service reported the deletion of the
                             key being removed, which a read of all keys may
                             only have lacked otherwise. */
  bool read_was_empty;    /**< Whether the last read of all keys had none. */
  uint64_t read_revision; /**< Service revision that it stated. */
  /** Earliest time, by clock_boottime, at which the key being put can have
   * been written, as far as this host can tell. */
  int64_t written_since_ns;
  /** Time, by clock_boottime, from which on changes may not have been reported
   * yet. */
  int64_t unseen_since_ns;
  bool reachable;       /**< Whether the last call succeeded. */
  bool was_unreachable; /**< Whether a call has failed since kvview_init. */
  struct kvview_call *call; /**< Call in flight; NULL if there is none. */
  /** Read of all keys beside the watch in flight, which may be dead; NULL if
   * there is none. */
  struct kvview_call *check;
  bool check_due;        /**< Whether `check` is still to be sent. */
  int64_t next_check_ns; /**< Earliest time at which it is. */
  bool needs_full_read;  /**< Whether the next call is a range, not a watch. */
  int64_t pause_ns;     /**< Delay of the next call after a reply that contains
                           keys. */
  int64_t next_call_ns; /**< Earliest time of the next call. */
  bool anew_due; /**< Whether kvview_read_anew is still to take effect. */
  int64_t next_anew_ns;  /**< Earliest time at which it does. */
  bool keeps_unseen;     /**< Whether unseen_since_ns stays as it is until a
                            call succeeds. */
  int64_t outage_end_ns; /**< Time at which the last outage ended. */
  int64_t last_reply_ns; /**< Time of the last successful reply, or 0. */
};

void kvview_init (struct kvview *view, struct kv *kv,
                  const struct clock *clock,
                  const struct kvview_settings *settings, const char *prefix,
                  const struct kvview_ops *ops, void *data);
void kvview_finish (struct kvview *view);

/** Send the next call if none is in flight, and remove keys whose hold time
 * has passed. */
void kvview_tick (struct kvview *view);

/** Wait PAUSE_NS after each reply that contains keys before the next call.
 * Changes accumulate meanwhile, so that a large number of hosts does not send
 * a call for each change. */
void kvview_set_pause (struct kvview *view, int64_t pause_ns);

/** Read all keys, since the service may never reply to a watch from before an
 * outage that another call has detected. The watch in flight goes on until the
 * read has succeeded: if it works, it is the first to report changes. A read
 * in flight goes on. */
void kvview_restart (struct kvview *view);

/** Read all keys, beside the watch in flight, since changes that were made
 * from SINCE_NS on (by clock_boottime) may not have been reported although the
 * service replies. Takes effect with the next tick, or a few seconds after the
 * last time, so that frequent pauses cause few reads. */
void kvview_read_anew (struct kvview *view, int64_t since_ns);

/** Let the read that is due by kvview_read_anew be the next call. */
void kvview_hurry (struct kvview *view);

/** The KV service has come back from a backup. Read all keys anew: revisions
 * that the view has count for nothing, and keys that have vanished are held as
 * after an outage. */
void kvview_era_changed (struct kvview *view);

/** Store VALUE, which was written to KEY at REVISION, unless the view has the
 * same or a newer revision of KEY. Another process may have sent VALUE. */
void kvview_update (struct kvview *view, const char *key, const char *value,
                    uint64_t revision);

/** Note that another host knows a change with REVISION in the same era of the
 * KV service. If the view does not learn of it soon, all keys are read: the
 * watch may be dead, or its reply lost. A wrong REVISION causes a read a
 * second, and kvview_is_confirmed denies until the service has reached it. */
void kvview_note_change (struct kvview *view, uint64_t revision);

/** Whether another host that knows the changes which the view has was heard of
 * within SPAN_NS, and none has told of a change that the view lacks. */
bool kvview_is_confirmed (const struct kvview *view, int64_t span_ns);

/** Call VISIT for each key that was written after REVISION. */
void kvview_visit_newer (const struct kvview *view, uint64_t revision,
                         void (*visit) (void *data, const char *key,
                                        const char *value, uint64_t revision),
                         void *data);

#endif
