#include "suspect.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

static const char *const verdict_names[SUSPECT_VERDICT_COUNT] = {
  [SUSPECT_RUN] = "run",           [SUSPECT_RUN_ALONE] = "run_alone",
  [SUSPECT_RUN_FREE] = "run_free", [SUSPECT_BUSY] = "busy",
  [SUSPECT_USED_UP] = "used_up",   [SUSPECT_RECOVERING] = "recovering",
};

/* The final NUL divides the texts. */
static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *)text,
                             strlen (text) + 1);
}

void
suspect_fingerprint_make (struct suspect_fingerprint *fingerprint,
                          const uint8_t key[SUSPECT_KEY_BYTES],
                          const char *organisation, const char *target,
                          const void *body, size_t size)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key, SUSPECT_KEY_BYTES,
                           SUSPECT_FINGERPRINT_BYTES);
  hash_text (&state, "suspect");
  hash_text (&state, organisation);
  hash_text (&state, target);
  crypto_generichash_update (&state, body, size);
  crypto_generichash_final (&state, fingerprint->bytes,
                            SUSPECT_FINGERPRINT_BYTES);
}

const char *
suspect_verdict_name (enum suspect_verdict verdict)
{
  assert ((unsigned)verdict < SUSPECT_VERDICT_COUNT);
  return verdict_names[verdict];
}
