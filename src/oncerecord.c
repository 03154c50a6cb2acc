#include "oncerecord.h"

#include <string.h>

/* Format of a line, where the state is one letter and the stamp is the civil
 * time of the last change in seconds:
 *   STATE KEY FINGERPRINT REQUEST GATEWAY STAMP [STATUS DIGEST [BODY]]
 * Numbers and digests are hexadecimal, the body is base64. */

enum
{
  DIGEST_DIGITS = 32,
  NUMBER_DIGITS = 16,
  STAMP_DIGITS = 8,
  STATUS_DIGITS = 4,
  /* Size of the state letter and five fields, each after a space. */
  HEAD_SIZE
  = 1 + 2 * (1 + DIGEST_DIGITS) + 2 * (1 + NUMBER_DIGITS) + 1 + STAMP_DIGITS,
  OUTCOME_SIZE = 1 + STATUS_DIGITS + 1 + DIGEST_DIGITS
};

static char *
put_bytes (char *at, const uint8_t *bytes, size_t size)
{
  static const char digits[] = "0123456789abcdef";

  *at++ = ' ';
  for (size_t i = 0; i < size; i++)
    {
      *at++ = digits[bytes[i] >> 4];
      *at++ = digits[bytes[i] & 15];
    }
  return at;
}

static char *
put_number (char *at, uint64_t number, unsigned digits)
{
  uint8_t bytes[sizeof number];

  for (unsigned i = 0; i < digits / 2; i++)
    bytes[i] = (uint8_t)(number >> (8 * (digits / 2 - 1 - i)));
  return put_bytes (at, bytes, digits / 2);
}

/* Decode a space and the SIZE bytes in hexadecimal after it.
 * @return the position after the text that was read, or NULL if AT is NULL
 * or the text is invalid. */
static const char *
get_bytes (const char *at, uint8_t *bytes, size_t size)
{
  if (at == NULL || *at++ != ' ')
    return NULL;
  for (size_t i = 0; i < size; i++, at += 2)
    {
      int high = g_ascii_xdigit_value (at[0]);
      int low = g_ascii_xdigit_value (at[1]);

      if (high < 0 || low < 0)
        return NULL;
      bytes[i] = (uint8_t)(high << 4 | low);
    }
  return at;
}

static const char *
get_number (const char *at, uint64_t *number, unsigned digits)
{
  uint8_t bytes[sizeof *number] = { 0 };

  at = get_bytes (at, bytes, digits / 2);
  *number = 0;
  for (unsigned i = 0; i < digits / 2; i++)
    *number = *number << 8 | bytes[i];
  return at;
}

static bool
state_parse (char letter, uint8_t *state)
{
  switch (letter)
    {
    case 'G':
      *state = ONCERECORD_GRANTED;
      return true;
    case 'F':
      *state = ONCERECORD_FINISHED;
      return true;
    case 'R':
      *state = ONCERECORD_RELEASED;
      return true;
    default:
      return false;
    }
}

static bool
outcome_parse (struct oncerecord *record, const char *at, const char *end)
{
  struct once_outcome outcome = { 0 };
  uint64_t status;
  uint8_t *body = NULL;

  if (end - at < OUTCOME_SIZE)
    return false;
  at = get_number (at, &status, STATUS_DIGITS);
  at = get_bytes (at, outcome.digest.bytes, sizeof outcome.digest);
  if (at == NULL)
    return false;
  outcome.status = (unsigned)status;
  if (at < end)
    {
      char *text = g_strndup (at + 1, (gsize)(end - at - 1));

      body = g_base64_decode (text, &outcome.body_size);
      outcome.body = body;
      outcome.has_body = true;
      g_free (text);
    }
  if (outcome.body_size <= ONCE_OUTCOME_BODY_MAX)
    oncerecord_set_outcome (record, &outcome);
  g_free (body);
  return record->outcome != NULL;
}

static bool
head_parse (struct oncerecord *record, const char *line)
{
  uint64_t stamp;
  const char *at = line + 1;

  if (!state_parse (line[0], &record->state))
    return false;
  at = get_bytes (at, record->key.bytes, sizeof record->key);
  at = get_bytes (at, record->fingerprint.bytes, sizeof record->fingerprint);
  at = get_number (at, &record->request_id, NUMBER_DIGITS);
  at = get_number (at, &record->gateway_incarnation, NUMBER_DIGITS);
  at = get_number (at, &stamp, STAMP_DIGITS);
  record->changed_s = (uint32_t)stamp;
  return at != NULL;
}

struct oncerecord *
oncerecord_new (const struct once_digest *key)
{
  struct oncerecord *record = g_new0 (struct oncerecord, 1);

  record->key = *key;
  list_init (&record->node);
  list_init (&record->dirty_node);
  return record;
}

void
oncerecord_free (struct oncerecord *record)
{
  list_remove (&record->node);
  list_remove (&record->dirty_node);
  if (record->waiter != NULL)
    list_remove (&record->waiter->node);
  g_free (record->waiter);
  g_free (record->outcome);
  g_free (record);
}

void
oncerecord_set_outcome (struct oncerecord *record,
                        const struct once_outcome *outcome)
{
  bool whole
      = outcome->has_body && outcome->body_size <= ONCE_OUTCOME_BODY_MAX;
  size_t size = whole ? outcome->body_size : 0;
  struct oncerecord_outcome *kept = g_malloc0 (sizeof *kept + size);

  kept->status = (uint16_t)outcome->status;
  kept->digest = outcome->digest;
  kept->has_body = whole;
  kept->body_size = (uint32_t)size;
  if (size > 0)
    memcpy (kept->body, outcome->body, size);
  g_free (record->outcome);
  record->outcome = kept;
}

void
oncerecord_get_outcome (const struct oncerecord *record,
                        struct once_outcome *outcome)
{
  const struct oncerecord_outcome *kept = record->outcome;

  outcome->status = kept->status;
  outcome->digest = kept->digest;
  outcome->has_body = kept->has_body;
  outcome->body = kept->body;
  outcome->body_size = kept->body_size;
}

void
oncerecord_format (const struct oncerecord *record, GString *text)
{
  static const char letters[] = {
    [ONCERECORD_PENDING] = 'G',
    [ONCERECORD_GRANTED] = 'G',
    [ONCERECORD_FINISHED] = 'F',
    [ONCERECORD_RELEASED] = 'R',
  };
  const struct oncerecord_outcome *outcome = record->outcome;
  char line[HEAD_SIZE + OUTCOME_SIZE];
  char *at = line;

  *at++ = letters[record->state];
  at = put_bytes (at, record->key.bytes, sizeof record->key);
  at = put_bytes (at, record->fingerprint.bytes, sizeof record->fingerprint);
  at = put_number (at, record->request_id, NUMBER_DIGITS);
  at = put_number (at, record->gateway_incarnation, NUMBER_DIGITS);
  at = put_number (at, record->changed_s, STAMP_DIGITS);
  if (record->state == ONCERECORD_FINISHED)
    {
      at = put_number (at, outcome->status, STATUS_DIGITS);
      at = put_bytes (at, outcome->digest.bytes, sizeof outcome->digest);
    }
  g_string_append_len (text, line, at - line);
  if (record->state == ONCERECORD_FINISHED && outcome->has_body)
    {
      char *body = g_base64_encode (outcome->body, outcome->body_size);

      g_string_append_c (text, ' ');
      g_string_append (text, body);
      g_free (body);
    }
  g_string_append_c (text, '\n');
}

struct oncerecord *
oncerecord_parse (const char *line, size_t size)
{
  struct once_digest empty_key = { { 0 } };
  struct oncerecord *record;
  bool valid;

  if (size < HEAD_SIZE)
    return NULL;
  record = oncerecord_new (&empty_key);
  valid = head_parse (record, line);
  if (valid && record->state == ONCERECORD_FINISHED)
    valid = outcome_parse (record, line + HEAD_SIZE, line + size);
  if (valid)
    return record;
  oncerecord_free (record);
  return NULL;
}
