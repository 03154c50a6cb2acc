#ifndef STORE_H
#define STORE_H

#include "status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Store hosts behind one table of function pointers. Every asked question is
 * answered once, never from inside the call. Strings in answers live until
 * the callback returns.
 */

/** What a slot is reserved for. */
struct store_reservation
{
  const char *block;
  const char *organisation;
  const char *model;
  const char *version;
  const char *adapter;
  uint32_t index;
  uint64_t length;
  bool disk; /**< else memory */
};

struct store_slot
{
  uint64_t slot;
  uint64_t generation;
};

/** One entry of a store's listing. */
struct store_block
{
  struct store_slot at;
  const char *block;
  const char *organisation;
  const char *model;
  const char *version;
  const char *adapter;
  uint32_t index;
  uint64_t length;
  const char *checksum;
  bool disk;
  bool sealed;
};

struct store_listing
{
  const struct store_block *blocks;
  size_t count;
  bool more;
};

struct store_status
{
  int64_t memory_free; /**< bytes */
  int64_t disk_free;   /**< bytes */
};

typedef void (*store_status_done) (void *data, enum status status,
                                   const struct store_status *store);
/** STATUS_LIMITED: the tier is full. */
typedef void (*store_reserved_done) (void *data, enum status status,
                                     const struct store_slot *slot);
typedef void (*store_listing_done) (void *data, enum status status,
                                    const struct store_listing *listing);
typedef void (*store_freed_done) (void *data, enum status status);

struct storeclient;

struct store_ops
{
  void (*reserve) (struct storeclient *client, const char *address,
                   const struct store_reservation *reservation,
                   store_reserved_done done, void *data);
  /** Blocks in slots after AFTER, in order; UINT64_MAX: from the first. */
  void (*listing) (struct storeclient *client, const char *address,
                   uint64_t after, store_listing_done done, void *data);
  void (*status) (struct storeclient *client, const char *address,
                  store_status_done done, void *data);
  void (*release) (struct storeclient *client, const char *address,
                   const struct store_slot *slot, store_freed_done done,
                   void *data);
};

/** Embedded at the start of an implementation. */
struct storeclient
{
  const struct store_ops *ops;
};

#endif
