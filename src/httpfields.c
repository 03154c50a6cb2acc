#include "httpfields.h"

#include <string.h>

static const char *const hop_by_hop[]
    = { "connection",        "keep-alive", "proxy-connection",
        "transfer-encoding", "te",         "trailer",
        "upgrade",           "expect",     "content-length" };

void
httpfields_init (struct httpfields *head)
{
  head->text = g_string_new (NULL);
  head->fields = g_array_new (FALSE, FALSE, sizeof (struct httpfield));
  head->last_was_value = false;
}

void
httpfields_finish (struct httpfields *head)
{
  g_string_free (head->text, TRUE);
  g_array_free (head->fields, TRUE);
}

void
httpfields_clear (struct httpfields *head)
{
  g_string_truncate (head->text, 0);
  g_array_set_size (head->fields, 0);
  head->last_was_value = false;
}

static struct httpfield *
field_last (struct httpfields *head)
{
  return &g_array_index (head->fields, struct httpfield,
                         head->fields->len - 1);
}

void
httpfields_append_name (struct httpfields *head, const char *bytes,
                        size_t size)
{
  if (head->fields->len == 0 || head->last_was_value)
    {
      struct httpfield field;

      g_string_append_c (head->text, '\0');
      field.name = head->text->len;
      field.value = head->text->len;
      g_array_append_val (head->fields, field);
      head->last_was_value = false;
    }
  g_string_append_len (head->text, bytes, size);
}

void
httpfields_append_value (struct httpfields *head, const char *bytes,
                         size_t size)
{
  if (head->fields->len == 0)
    return;
  if (!head->last_was_value)
    {
      g_string_append_c (head->text, '\0');
      field_last (head)->value = head->text->len;
      head->last_was_value = true;
    }
  g_string_append_len (head->text, bytes, size);
}

size_t
httpfields_count (const struct httpfields *head)
{
  return head->fields->len;
}

const char *
httpfields_name (const struct httpfields *head, size_t index)
{
  return head->text->str
         + g_array_index (head->fields, struct httpfield, index).name;
}

const char *
httpfields_value (const struct httpfields *head, size_t index)
{
  return head->text->str
         + g_array_index (head->fields, struct httpfield, index).value;
}

const char *
httpfields_find (const struct httpfields *head, const char *name)
{
  for (size_t i = 0; i < httpfields_count (head); i++)
    if (g_ascii_strcasecmp (httpfields_name (head, i), name) == 0)
      return httpfields_value (head, i);
  return NULL;
}

size_t
httpfields_count_of_name (const struct httpfields *head, const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < httpfields_count (head); i++)
    count += g_ascii_strcasecmp (httpfields_name (head, i), name) == 0;
  return count;
}

bool
httpfields_coding_is_known (const struct httpfields *head)
{
  static const char name[] = "Transfer-Encoding";
  const char *value = httpfields_find (head, name);
  char *coding;
  bool is_chunked;

  if (value == NULL)
    return true;
  coding = g_strstrip (g_strdup (value));
  is_chunked = g_ascii_strcasecmp (coding, "chunked") == 0;
  g_free (coding);
  return is_chunked && httpfields_count_of_name (head, name) == 1;
}

bool
httpfields_is_hop_by_hop (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return false;
}
