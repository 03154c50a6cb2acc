#include "block.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  DIGEST_SIZE = 32,
  ROUTE_SIZE = 2,
  CHECKSUM_SIZE = 8
};

struct digest
{
  uint8_t bytes[DIGEST_SIZE];
};

static enum status
scope_name_set (char to[BLOCK_NAME_SIZE], const char *from)
{
  size_t size = strlen (from);

  if (size >= BLOCK_NAME_SIZE)
    return STATUS_INVALID;
  memset (to, 0, BLOCK_NAME_SIZE);
  memcpy (to, from, size + 1);
  return STATUS_OK;
}

/* Starts the hash chain of DIGEST with SCOPE. The fields have a fixed size, so
 * that different scopes never give the same input. */
static void
digest_scope (struct digest *digest, const struct block_scope *scope,
              const struct block_key *key)
{
  crypto_generichash (digest->bytes, DIGEST_SIZE, (const uint8_t *)scope,
                      sizeof *scope, key->bytes, sizeof key->bytes);
}

static void
digest_extend (struct digest *digest, const struct block_key *key,
               const uint8_t *block, size_t size)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key->bytes, sizeof key->bytes, DIGEST_SIZE);
  crypto_generichash_update (&state, digest->bytes, DIGEST_SIZE);
  crypto_generichash_update (&state, block, size);
  crypto_generichash_final (&state, digest->bytes, DIGEST_SIZE);
}

enum status
block_scope_init (struct block_scope *scope, const char *organisation,
                  const char *model, const char *version, const char *adapter)
{
  if (*organisation == '\0' || *model == '\0' || *version == '\0')
    return STATUS_INVALID;
  if (scope_name_set (scope->organisation, organisation) != STATUS_OK
      || scope_name_set (scope->model, model) != STATUS_OK
      || scope_name_set (scope->version, version) != STATUS_OK)
    return STATUS_INVALID;
  return scope_name_set (scope->adapter, adapter != NULL ? adapter : "");
}

int
block_scope_equal (const void *a, const void *b)
{
  const struct block_scope *x = a;
  const struct block_scope *y = b;

  return strcmp (x->organisation, y->organisation) == 0
         && strcmp (x->model, y->model) == 0
         && strcmp (x->version, y->version) == 0
         && strcmp (x->adapter, y->adapter) == 0;
}

unsigned
block_scope_hash (const void *scope)
{
  return (unsigned)XXH3_64bits (scope, sizeof (struct block_scope));
}

size_t
block_chain_ids (const struct block_scope *scope, const struct block_key *key,
                 const void *prompt, size_t size, size_t block_bytes,
                 struct block_id *ids, size_t max)
{
  const uint8_t *bytes = prompt;
  size_t count = size / block_bytes < max ? size / block_bytes : max;
  struct digest digest;

  digest_scope (&digest, scope, key);
  for (size_t i = 0; i < count; i++)
    {
      digest_extend (&digest, key, bytes + i * block_bytes, block_bytes);
      memcpy (ids[i].bytes, digest.bytes, BLOCK_ID_SIZE);
      memcpy (ids[i].bytes, ids[0].bytes, ROUTE_SIZE);
    }
  return count;
}

int
block_id_equal (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct block_id)) == 0;
}

unsigned
block_id_hash (const void *id)
{
  unsigned hash;

  /* The last bytes of an id are uniformly distributed; the first bytes
   * determine the shard, so they hardly differ within one shard. */
  memcpy (&hash, (const uint8_t *)id + BLOCK_ID_SIZE - sizeof hash,
          sizeof hash);
  return hash;
}

void
block_id_to_hex (const struct block_id *id, char hex[BLOCK_HEX_SIZE])
{
  sodium_bin2hex (hex, BLOCK_HEX_SIZE, id->bytes, BLOCK_ID_SIZE);
}

enum status
block_id_from_hex (struct block_id *id, const char *hex)
{
  size_t size;

  if (strlen (hex) != BLOCK_HEX_SIZE - 1)
    return STATUS_INVALID;
  if (sodium_hex2bin (id->bytes, BLOCK_ID_SIZE, hex, BLOCK_HEX_SIZE - 1, NULL,
                      &size, NULL)
      != 0)
    return STATUS_INVALID;
  return size == BLOCK_ID_SIZE ? STATUS_OK : STATUS_INVALID;
}

void
block_checksum_to_hex (uint64_t checksum, char hex[BLOCK_CHECKSUM_HEX_SIZE])
{
  snprintf (hex, BLOCK_CHECKSUM_HEX_SIZE, "%016llx",
            (unsigned long long)checksum);
}

enum status
block_checksum_from_hex (uint64_t *checksum, const char *hex)
{
  uint8_t bytes[CHECKSUM_SIZE];
  size_t size;

  if (strlen (hex) != BLOCK_CHECKSUM_HEX_SIZE - 1)
    return STATUS_INVALID;
  if (sodium_hex2bin (bytes, sizeof bytes, hex, BLOCK_CHECKSUM_HEX_SIZE - 1,
                      NULL, &size, NULL)
          != 0
      || size != sizeof bytes)
    return STATUS_INVALID;
  *checksum = 0;
  for (size_t i = 0; i < sizeof bytes; i++)
    *checksum = *checksum << 8 | bytes[i];
  return STATUS_OK;
}
