#ifndef STORE_H
#define STORE_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Interface to the KV cache stores: a table of function pointers that an
 * implementation fills in. Each call invokes its callback exactly once, and
 * never before the call has returned. Strings passed to a callback are valid
 * until it returns.
 */

/** The block that a slot is reserved for. */
struct store_reservation
{
  const char *block;
  const char *organisation;
  const char *model;
  const char *version;
  const char *adapter;
  uint32_t index;  /**< Position of the block in its prompt. */
  uint64_t length; /**< Length of the block in bytes. */
  bool disk;       /**< Whether the block is in the disk tier; otherwise in the
                      memory tier. */
};

struct store_slot
{
  uint64_t number;
  uint64_t generation; /**< Number that distinguishes successive uses of the
                          same slot. */
};

/** One entry of a store's listing. */
struct store_block
{
  struct store_slot slot;
  const char *block;
  const char *organisation;
  const char *model;
  const char *version;
  const char *adapter;
  uint32_t index;  /**< Position of the block in its prompt. */
  uint64_t length; /**< Length of the block in bytes. */
  const char *checksum;
  bool disk; /**< Whether the block is in the disk tier; otherwise in the
                memory tier. */
  bool sealed;
};

struct store_listing
{
  const struct store_block *blocks;
  size_t count;
  bool has_more; /**< Whether the listing continues after the last of these
                  * blocks.
                  */
};

struct store_status
{
  int64_t memory_free_bytes;
  int64_t disk_free_bytes;
};

typedef void (*store_status_done) (void *data, enum status status,
                                   const struct store_status *store);
/** STATUS is STATUS_LIMITED if the tier is full. */
typedef void (*store_reserved_done) (void *data, enum status status,
                                     const struct store_slot *slot);
typedef void (*store_listing_done) (void *data, enum status status,
                                    const struct store_listing *listing);
typedef void (*store_released_done) (void *data, enum status status);

struct storeclient;

struct store_ops
{
  void (*reserve) (struct storeclient *client, const char *address,
                   const struct store_reservation *reservation,
                   store_reserved_done done, void *data);
  /** List the blocks in slots after AFTER, in order of their slots;
   * UINT64_MAX lists from the first slot. */
  void (*get_listing) (struct storeclient *client, const char *address,
                       uint64_t after, store_listing_done done, void *data);
  void (*get_status) (struct storeclient *client, const char *address,
                      store_status_done done, void *data);
  void (*release) (struct storeclient *client, const char *address,
                   const struct store_slot *slot, store_released_done done,
                   void *data);
};

/** A client of the stores. Each implementation's struct has it as first
 * member. */
struct storeclient
{
  const struct store_ops *ops;
};

#endif
