#include "load-check.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void
token_check (struct load_check *check)
{
  char *end;
  unsigned long hash;
  long long index;

  check->token[check->size] = '\0';
  check->size = 0;
  hash = strtoul (check->token, &end, 16);
  if (end - check->token != 8 || *end != '-' || hash != check->hash)
    {
      check->wrong++;
      return;
    }
  index = strtoll (end + 1, NULL, 10);
  if (index < check->next)
    {
      check->doubled++;
      return;
    }
  check->missing += index - check->next;
  check->next = index + 1;
}

void
load_check_init (struct load_check *check, const char *prompt, size_t size)
{
  memset (check, 0, sizeof *check);
  check->hash = (uint32_t)XXH3_64bits (prompt, size);
}

void
load_check_text (struct load_check *check, const char *text, size_t size)
{
  check->pieces++;
  for (size_t i = 0; i < size; i++)
    if (text[i] == ' ')
      token_check (check);
    else if (check->size < LOAD_TOKEN_MAX - 1)
      check->token[check->size++] = text[i];
}

bool
load_check_whole (const struct load_check *check, int64_t tokens)
{
  return check->next == tokens && check->size == 0 && check->wrong == 0
         && check->missing == 0 && check->doubled == 0;
}
