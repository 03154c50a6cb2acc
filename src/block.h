#ifndef BLOCK_H
#define BLOCK_H

#include "status.h"

#include <stddef.h>
#include <stdint.h>

/** @file
 * Ids of KV cache blocks. A prompt is split into blocks of a fixed size; the
 * ids are a keyed BLAKE2b hash chain over these blocks that starts from the
 * cache scope. The first two bytes of each id are those of the prompt's first
 * block, so that one owner shard has all blocks of a prompt.
 */

enum
{
  /* All sizes are in bytes; the sizes of strings include the final NUL. */
  BLOCK_ID_SIZE = 16,
  BLOCK_HEX_SIZE = 33,
  BLOCK_KEY_SIZE = 32,
  BLOCK_NAME_SIZE = 64,
  BLOCK_CHECKSUM_HEX_SIZE = 17,
};

struct block_id
{
  uint8_t bytes[BLOCK_ID_SIZE];
};

/** The cache scope of a block: blocks are shared only within it. Scopes are
 * compared field by field, never by a hash alone. */
struct block_scope
{
  char organisation[BLOCK_NAME_SIZE];
  char model[BLOCK_NAME_SIZE];
  char version[BLOCK_NAME_SIZE];
  char adapter[BLOCK_NAME_SIZE]; /**< Name of the adapter; empty if there is
                                    none. */
};

/** The secret that all gateways share, without which ids can't be guessed. */
struct block_key
{
  uint8_t bytes[BLOCK_KEY_SIZE];
};

/** Set the fields of SCOPE and pad them with zeros. ADAPTER may be NULL.
 * @return STATUS_INVALID if a name is empty or too long. */
enum status block_scope_init (struct block_scope *scope,
                              const char *organisation, const char *model,
                              const char *version, const char *adapter);

/** Equality and hash function for struct block_scope in a GHashTable. */
int block_scope_equal (const void *a, const void *b);
unsigned block_scope_hash (const void *scope);

/** Write the ids of the first blocks of PROMPT to IDS, at most MAX of them.
 * BLOCK_BYTES is the size of a block, at least 1. An incomplete last block has
 * no id.
 * @return the number of ids. */
size_t block_chain_ids (const struct block_scope *scope,
                        const struct block_key *key, const void *prompt,
                        size_t size, size_t block_bytes, struct block_id *ids,
                        size_t max);

/** Equality and hash function for struct block_id in a GHashTable. */
int block_id_equal (const void *a, const void *b);
unsigned block_id_hash (const void *id);

/** The first two bytes of ID, which determine its owner shard. They are equal
 * for all blocks of a prompt. */
static inline uint16_t
block_shard_prefix (const struct block_id *id)
{
  return (uint16_t)(id->bytes[0] << 8 | id->bytes[1]);
}

/** Write ID as 32 lower-case hexadecimal digits. */
void block_id_to_hex (const struct block_id *id, char hex[BLOCK_HEX_SIZE]);

/** Parse HEX into ID.
 * @return STATUS_INVALID unless HEX is 32 hexadecimal digits. */
enum status block_id_from_hex (struct block_id *id, const char *hex);

/** Write a block's CHECKSUM as 16 lower-case hexadecimal digits. */
void block_checksum_to_hex (uint64_t checksum,
                            char hex[BLOCK_CHECKSUM_HEX_SIZE]);

/** Parse HEX into CHECKSUM.
 * @return STATUS_INVALID unless HEX is 16 hexadecimal digits. */
enum status block_checksum_from_hex (uint64_t *checksum, const char *hex);

#endif
