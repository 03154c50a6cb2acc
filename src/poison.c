#include "poison.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

static const char *const verdict_names[POISON_VERDICT_COUNT] = {
  [POISON_VERDICT_RUN] = "run",
  [POISON_VERDICT_RUN_ALONE] = "run_alone",
  [POISON_VERDICT_RUN_CLEARED] = "run_free",
  [POISON_VERDICT_BUSY] = "busy",
  [POISON_VERDICT_USED_UP] = "used_up",
  [POISON_VERDICT_RECOVERING] = "recovering",
};

/* Adds TEXT with its final NUL to the hash. The NUL separates the texts: "ab",
 * "c" and "a", "bc" give different hashes. */
static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *)text,
                             strlen (text) + 1);
}

void
poison_fingerprint_compute (struct poison_request_fingerprint *fingerprint,
                            const uint8_t key[POISON_HASH_KEY_BYTES],
                            const char *organisation, const char *target,
                            const void *body, size_t size)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key, POISON_HASH_KEY_BYTES,
                           POISON_FINGERPRINT_BYTES);
  hash_text (&state, "suspect");
  hash_text (&state, organisation);
  hash_text (&state, target);
  crypto_generichash_update (&state, body, size);
  crypto_generichash_final (&state, fingerprint->bytes,
                            POISON_FINGERPRINT_BYTES);
}

const char *
poison_verdict_name (enum poison_verdict verdict)
{
  assert ((unsigned)verdict < POISON_VERDICT_COUNT);
  return verdict_names[verdict];
}
