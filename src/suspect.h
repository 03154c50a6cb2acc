#ifndef SUSPECT_H
#define SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Requests that crash the backend servers that run them: what gateways and
 * owners say to each other about them.
 *
 * Each fingerprint has two slots, each kept by the owner of one partition.
 * Before a request runs, its gateway takes one of the slots; a run that ends
 * well gives it back, a run whose backend server died uses it up for a while.
 * So no more than two backend servers are lost to a request, however often
 * and wherever it is sent, and while one owner is gone the other slot serves.
 * Once one slot is used up the fingerprint is tainted: it runs alone, and the
 * other slot is durably used up before that run and given back after it.
 */

enum
{
  SUSPECT_SLOTS = 2,
  SUSPECT_FINGERPRINT_BYTES = 16,
  SUSPECT_KEY_BYTES = 32
};

struct suspect_fingerprint
{
  uint8_t bytes[SUSPECT_FINGERPRINT_BYTES];
};

/** The keyed hash of what a request asks for; without knowing KEY nobody can
 * make two requests that share one.
 * @param target model or service
 * @param body the prompt or body, without what may change in a repeat */
void suspect_fingerprint_make (struct suspect_fingerprint *fingerprint,
                               const uint8_t key[SUSPECT_KEY_BYTES],
                               const char *organisation, const char *target,
                               const void *body, size_t size);

enum suspect_kind
{
  /* From gateways to owners. */
  SUSPECT_ASK,        /**< take the slot for a run */
  SUSPECT_DONE,       /**< give it back; the run says nothing */
  SUSPECT_PROVED,     /**< the run ended well: clear the fingerprint */
  SUSPECT_CRASHED,    /**< its backend server died: use the slot up */
  SUSPECT_TAINT,      /**< the same happened on the other slot */
  SUSPECT_SYNC_BEGIN, /**< what this gateway holds follows, */
  SUSPECT_HELD,       /**< one run that holds its slot, */
  SUSPECT_SYNC_END,   /**< and that was all: give back the rest */

  /* From owners to gateways. */
  SUSPECT_ANSWER, /**< to SUSPECT_ASK */
  SUSPECT_ACK,    /**< to a repeat of the reports, once they are durable */
  SUSPECT_SYNCED  /**< to SUSPECT_SYNC_END, with its run number */
};

enum suspect_verdict
{
  SUSPECT_RUN,        /**< the slot is taken */
  SUSPECT_RUN_ALONE,  /**< the same; on a backend server of its own */
  SUSPECT_RUN_FREE,   /**< it ended well before; no slot is taken */
  SUSPECT_BUSY,       /**< another run has the slot */
  SUSPECT_USED_UP,    /**< a backend server died; see until_ns */
  SUSPECT_RECOVERING, /**< this owner does not know yet what runs */
  SUSPECT_VERDICT_COUNT
};

const char *suspect_verdict_name (enum suspect_verdict verdict);

struct suspect_message
{
  enum suspect_kind kind;
  uint64_t gateway; /**< a new one after each start of a gateway */
  uint64_t run;     /**< a new number for each time a gateway asks */
  struct suspect_fingerprint fingerprint;
  unsigned slot; /**< of the fingerprint */
  bool tainted;  /**< asking: the other slot is used up; answering: by a death
                  * that was seen, not by a gateway that is gone */
  enum suspect_verdict verdict; /**< of SUSPECT_ANSWER */
  int64_t hold_ns;              /**< of SUSPECT_USED_UP: time left */
};

#endif
