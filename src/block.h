#ifndef BLOCK_H
#define BLOCK_H

#include "status.h"

#include <stddef.h>
#include <stdint.h>

/** @file
 * Identity of KV cache blocks: a keyed BLAKE2b chain over the fixed-size
 * pieces of a prompt, rooted in the scope. The first two bytes of an id come
 * from the chain's first piece, so that all blocks of a prompt have one owner.
 */

enum
{
  BLOCK_ID_SIZE = 16,      /**< bytes */
  BLOCK_HEX_SIZE = 33,     /**< bytes, with the final NUL */
  BLOCK_KEY_SIZE = 32,     /**< bytes */
  BLOCK_NAME_MAX = 64,     /**< bytes, with the final NUL */
  BLOCK_CHECKSUM_HEX = 17, /**< bytes, with the final NUL */
};

struct block_id
{
  uint8_t bytes[BLOCK_ID_SIZE];
};

/** Whose block it is. Compared as plain fields at each use. */
struct block_scope
{
  char organisation[BLOCK_NAME_MAX];
  char model[BLOCK_NAME_MAX];
  char version[BLOCK_NAME_MAX];
  char adapter[BLOCK_NAME_MAX]; /**< empty: none */
};

/** The secret that all gateways share; without it no id can be guessed. */
struct block_key
{
  uint8_t bytes[BLOCK_KEY_SIZE];
};

/** Fill SCOPE. ADAPTER may be NULL. The rest of each field is zero.
 * @return STATUS_INVALID if a name is empty or too long. */
enum status block_scope_init (struct block_scope *scope,
                              const char *organisation, const char *model,
                              const char *version, const char *adapter);

/** Whether two scopes agree in every field, and the hash of one; as GLib's
 * hash tables take them. */
int block_scope_equal (const void *a, const void *b);
unsigned block_scope_hash (const void *scope);

/** Write the ids of the whole pieces of PROMPT to IDS, at most MAX.
 * PIECE_BYTES is at least 1. A trailing part is no piece.
 * @return the number of ids. */
size_t block_chain (const struct block_scope *scope,
                    const struct block_key *key, const void *prompt,
                    size_t size, size_t piece_bytes, struct block_id *ids,
                    size_t max);

/** Whether two ids agree, and the hash of one; as GLib's hash tables take
 * them. */
int block_id_equal (const void *a, const void *b);
unsigned block_id_hash (const void *id);

/** The part of ID that names its owner shard; equal along a chain. */
static inline uint16_t
block_route (const struct block_id *id)
{
  return (uint16_t)(id->bytes[0] << 8 | id->bytes[1]);
}

/** Write ID as 32 lower-case hexadecimal digits. */
void block_to_hex (const struct block_id *id, char hex[BLOCK_HEX_SIZE]);

/** @return STATUS_INVALID unless HEX is 32 hexadecimal digits. */
enum status block_from_hex (struct block_id *id, const char *hex);

/** Write a block's CHECKSUM as 16 lower-case hexadecimal digits. */
void block_checksum_to_hex (uint64_t checksum, char hex[BLOCK_CHECKSUM_HEX]);

/** @return STATUS_INVALID unless HEX is 16 hexadecimal digits. */
enum status block_checksum_from_hex (uint64_t *checksum, const char *hex);

#endif
