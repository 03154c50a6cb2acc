#ifndef LOAD_CHECK_H
#define LOAD_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Checks that a completion is the whole answer to its own prompt, as the
 * stand-in engine makes it: the token I is "HHHHHHHH-I " with the low 32 bits
 * of the prompt's XXH3-64.
 */

enum
{
  LOAD_TOKEN_MAX = 40 /**< bytes */
};

struct load_check
{
  uint32_t hash;
  int64_t next; /**< the token that must come next */
  int64_t pieces;
  int64_t wrong;   /**< tokens of another prompt, or no tokens */
  int64_t missing; /**< tokens passed over */
  int64_t doubled; /**< tokens that were there before */
  char token[LOAD_TOKEN_MAX];
  size_t size;
};

void load_check_init (struct load_check *check, const char *prompt,
                      size_t size);

/** Take in a piece of the text, cut anywhere. */
void load_check_text (struct load_check *check, const char *text, size_t size);

/** Whether exactly TOKENS came, in order and with nothing else. */
bool load_check_whole (const struct load_check *check, int64_t tokens);

#endif
