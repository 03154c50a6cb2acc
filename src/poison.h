#ifndef POISON_H
#define POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Poison requests, which crash the backend servers that run them: the messages
 * about them between gateways and the owners of partitions.
 *
 * Each request fingerprint has two slots, each kept by the owner of another
 * partition. Before a request runs, its gateway acquires one of the slots. A
 * run that ends well releases the slot; a run whose backend server crashed
 * uses it up for a time. So a request crashes at most two backend servers,
 * however often and wherever it is sent, and while one owner is down the other
 * slot is still available. Once one slot is used up the fingerprint is
 * tainted: its next run is a run alone, the only one on its backend server,
 * and the other slot is durably recorded as used up before that run and
 * released after it.
 */

enum
{
  POISON_SLOT_COUNT = 2,
  POISON_FINGERPRINT_BYTES = 16,
  POISON_HASH_KEY_BYTES = 32
};

struct poison_request_fingerprint
{
  uint8_t bytes[POISON_FINGERPRINT_BYTES];
};

/** Computes the keyed hash of a request's contents. Without KEY nobody can
 * make two requests that have the same fingerprint.
 * @param target the name of the model or service.
 * @param body the prompt or request body, without the parts that a retry may
 * change. */
void
poison_fingerprint_compute (struct poison_request_fingerprint *fingerprint,
                            const uint8_t key[POISON_HASH_KEY_BYTES],
                            const char *organisation, const char *target,
                            const void *body, size_t size);

enum poison_message_kind
{
  /* From gateways to owners. */
  POISON_MESSAGE_ACQUIRE, /**< Acquire the slot for a run. */
  POISON_MESSAGE_RELEASE, /**< Release the slot: the run was inconclusive. */
  POISON_MESSAGE_CLEAR,   /**< The run ended well: clear the fingerprint. */
  POISON_MESSAGE_CRASHED, /**< The backend server crashed: use the slot up. */
  POISON_MESSAGE_TAINT,   /**< A run with the other slot crashed its backend
                             server: taint the fingerprint. */
  POISON_MESSAGE_SYNC_BEGIN, /**< The list of this gateway's runs begins. */
  POISON_MESSAGE_HELD, /**< An entry of the list: a run that holds its slot. */
  POISON_MESSAGE_SYNC_END, /**< The list ends: release slots not listed. */

  /* From owners to gateways. */
  POISON_MESSAGE_ACQUIRE_REPLY, /**< Reply to POISON_MESSAGE_ACQUIRE. */
  POISON_MESSAGE_ACK,   /**< Reply to a report that is already durable. */
  POISON_MESSAGE_SYNCED /**< Reply to POISON_MESSAGE_SYNC_END, with its run
                           number. */
};

enum poison_verdict
{
  POISON_VERDICT_RUN,         /**< The slot is acquired. */
  POISON_VERDICT_RUN_ALONE,   /**< The slot is acquired for a run on a backend
                                 server that runs nothing else. */
  POISON_VERDICT_RUN_CLEARED, /**< An earlier run ended well, so this one needs
                                 no slot. */
  POISON_VERDICT_BUSY,        /**< The slot can't be acquired now: another run
                                 has it, it is being reserved for a run
                                 alone, or the owner is at capacity. */
  POISON_VERDICT_USED_UP,     /**< The slot is used up for hold_ns. */
  POISON_VERDICT_RECOVERING,  /**< The owner has not yet learned from all
                          gateways which runs hold slots. */
  POISON_VERDICT_COUNT
};

const char *poison_verdict_name (enum poison_verdict verdict);

struct poison_message
{
  enum poison_message_kind kind;
  uint64_t gateway; /**< Number of the gateway process; new at each start. */
  uint64_t run; /**< Number of a run; new for each POISON_MESSAGE_ACQUIRE. */
  struct poison_request_fingerprint fingerprint;
  unsigned slot; /**< Index of the fingerprint's slot. */
  bool tainted;  /**< In POISON_MESSAGE_ACQUIRE: whether the fingerprint is
                    tainted because the other slot is used up. In
                    POISON_MESSAGE_ACQUIRE_REPLY: whether a gateway saw the
                    crash that used the slot up; otherwise the slot is used up
                    because its gateway is down. */
  enum poison_verdict verdict; /**< The owner's verdict; set in
                                  POISON_MESSAGE_ACQUIRE_REPLY only. */
  int64_t hold_ns; /**< Time left until the slot is free again; set with
                      POISON_VERDICT_USED_UP. */
};

#endif
