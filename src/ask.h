#ifndef ASK_H
#define ASK_H

#include "clock.h"
#include "list.h"
#include "once.h"
#include "settle.h"

#include <stdbool.h>

/** @file
 * The gateway's side of the at-most-once records: asks the owner of a key
 * for the grant until it answers or the time is over, and tells it
 * afterwards how the request ended until it has recorded that.
 *
 * An ask outlives its request: a grant that comes late is given back.
 */

enum ask_state
{
  ASK_WAITING, /**< For the owner's answer. */
  ASK_HOLDING, /**< Has the grant; the request runs. */
  ASK_TELLING, /**< The end or release is not recorded yet. */
  ASK_CLOSED   /**< Only kept to give late grants back. */
};

struct ask_settings
{
  int64_t again_ns; /**< Between two sends of the same. */
  int64_t tell_ns;  /**< Longest time to tell an end; then it is dropped. */
  int64_t keep_ns;  /**< How long a closed ask is kept. */
};

struct ask
{
  struct list node;
  enum ask_state state;
  struct once_request request; /**< With own strings. */
  struct once_digest fingerprint;
  unsigned partition;
  bool ends;                   /**< TELLING: an end, else a release. */
  struct once_outcome outcome; /**< TELLING an end; the body is own. */
  int64_t deadline_ns;         /**< WAITING: of the caller. */
  void *data;                  /**< The request; NULL once it is ended. */
  int64_t next_ns;             /* when to send again, or to be freed */
  int64_t until_ns;            /* end of telling or keeping */
};

struct asks;

struct ask_ops
{
  /** Send what ASK's state calls for to the process that ought to own its
   * partition: once_begin, once_end or once_release. */
  void (*send) (struct asks *asks, const struct ask *ask);
  /** The owner's answer for a waiting request; at most one each, and never
   * from inside asks_begin. A refusal also stands for an owner that did not
   * answer in time. */
  void (*answer) (struct asks *asks, struct ask *ask,
                  const struct once_answer *answer);
};

struct asks
{
  uint64_t late_grants; /**< Given back. */
  uint64_t untold;      /**< Ends that were never recorded. */

  struct ask_settings settings;
  const struct ask_ops *ops;
  const struct clock *clock;
  unsigned partitions;
  struct list list;
  void *by_request; /* hash table */
  int64_t next_ns;  /* nothing is due before */
};

/** PARTITIONS as in owner_settings. */
void asks_init (struct asks *asks, const struct ask_settings *settings,
                const struct ask_ops *ops, const struct clock *clock,
                unsigned partitions);
void asks_finish (struct asks *asks);

/** Ask for the grant. The strings of REQUEST are copied.
 * @param data handed back in the answer, not NULL. */
struct ask *asks_begin (struct asks *asks, const struct once_request *request,
                        const struct once_digest *fingerprint,
                        int64_t deadline_ns, void *data);

/** The request ended; DATA is not used any more.
 * @param record what settle_finish returned.
 * @param outcome for SETTLE_RECORD_END; copied. */
void asks_end (struct asks *asks, struct ask *ask, enum settle_record record,
               const struct once_outcome *outcome);

/** From the owner. */
void asks_answer (struct asks *asks, const struct once_answer *answer);
void asks_recorded (struct asks *asks, uint64_t request, enum status status);

void asks_tick (struct asks *asks);
int64_t asks_next (const struct asks *asks);

/** Whether nothing is left to be told, for a planned stop. */
bool asks_idle (const struct asks *asks);

#endif
