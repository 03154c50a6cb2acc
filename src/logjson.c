#include "logjson.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

static void
json_string_append (GString *out, const char *text, size_t size)
{
  g_string_append_c (out, '"');
  for (size_t i = 0; i < size; i++)
    {
      unsigned char byte = (unsigned char)text[i];

      if (byte == '"' || byte == '\\')
        g_string_append_printf (out, "\\%c", byte);
      else if (byte < 0x20 || byte > 0x7e)
        g_string_append_printf (out, "\\u%04x", byte);
      else
        g_string_append_c (out, (char)byte);
    }
  g_string_append_c (out, '"');
}

/* Whether TEXT is a decimal number in JSON syntax, of at most 17 characters.
 * A number with leading zeros, as in ids, is not one. */
static bool
is_json_number (const char *text, size_t size)
{
  size_t first_digit = size > 0 && text[0] == '-' ? 1 : 0;
  size_t at = first_digit;
  unsigned dots = 0;

  if (size - first_digit == 0 || size > 17)
    return false;
  if (text[at] == '0' && size - first_digit > 1 && text[at + 1] != '.')
    return false;
  for (; at < size; at++)
    if (text[at] == '.')
      dots++;
    else if (text[at] < '0' || text[at] > '9')
      return false;
  return dots <= 1 && text[first_digit] != '.' && text[size - 1] != '.';
}

/* Append one pair as a member of a JSON object. A word without "=" gets the
 * key "text". The value of a two-letter key that begins with "i", such as
 * "id", is always a string. */
static void
json_pair_append (GString *out, const char *pair, size_t size)
{
  const char *equals = memchr (pair, '=', size);
  size_t key_size = equals != NULL ? (size_t)(equals - pair) : 0;
  const char *value = equals != NULL ? equals + 1 : pair;
  size_t value_size = size - (size_t)(value - pair);

  g_string_append_c (out, ',');
  json_string_append (out, equals != NULL ? pair : "text",
                      equals != NULL ? key_size : strlen ("text"));
  g_string_append_c (out, ':');
  if (is_json_number (value, value_size) && !(key_size == 2 && pair[0] == 'i'))
    g_string_append_len (out, value, (gssize)value_size);
  else
    json_string_append (out, value, value_size);
}

void
logjson_format (GString *out, const struct event_info *info,
                const char *process, double seconds, const char *text)
{
  g_string_append_printf (
      out, "{\"time\":%.6f,\"level\":\"%s\",\"event\":%d,\"name\":\"%s\",",
      seconds, event_level_name (info->level), (int)info->number, info->name);
  g_string_append (out, "\"process\":");
  json_string_append (out, process, strlen (process));
  while (*text != '\0')
    {
      size_t size = strcspn (text, " ");

      if (size > 0)
        json_pair_append (out, text, size);
      text += size;
      text += *text == ' ';
    }
  g_string_append (out, "}\n");
}

const char *
logjson_find_value (const char *text, const char *key, size_t *size)
{
  size_t key_size = strlen (key);

  while (*text != '\0')
    {
      if (strncmp (text, key, key_size) == 0 && text[key_size] == '=')
        {
          *size = strcspn (text + key_size + 1, " ");
          return text + key_size + 1;
        }
      text += strcspn (text, " ");
      text += *text == ' ';
    }
  return NULL;
}
