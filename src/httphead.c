#include "httphead.h"

#include <string.h>

static const char *const hop_by_hop[]
    = { "connection",        "keep-alive", "proxy-connection",
        "transfer-encoding", "te",         "trailer",
        "upgrade",           "expect",     "content-length" };

void
httphead_init (struct httphead *head)
{
  head->text = g_string_new (NULL);
  head->fields = g_array_new (FALSE, FALSE, sizeof (struct httphead_field));
  head->last_was_value = false;
}

void
httphead_finish (struct httphead *head)
{
  g_string_free (head->text, TRUE);
  g_array_free (head->fields, TRUE);
}

void
httphead_clear (struct httphead *head)
{
  g_string_truncate (head->text, 0);
  g_array_set_size (head->fields, 0);
  head->last_was_value = false;
}

static struct httphead_field *
field_last (struct httphead *head)
{
  return &g_array_index (head->fields, struct httphead_field,
                         head->fields->len - 1);
}

void
httphead_name_append (struct httphead *head, const char *bytes, size_t size)
{
  if (head->fields->len == 0 || head->last_was_value)
    {
      struct httphead_field field;

      g_string_append_c (head->text, '\0');
      field.name = head->text->len;
      field.value = head->text->len;
      g_array_append_val (head->fields, field);
      head->last_was_value = false;
    }
  g_string_append_len (head->text, bytes, size);
}

void
httphead_value_append (struct httphead *head, const char *bytes, size_t size)
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
httphead_field_count (const struct httphead *head)
{
  return head->fields->len;
}

const char *
httphead_name (const struct httphead *head, size_t index)
{
  return head->text->str
         + g_array_index (head->fields, struct httphead_field, index).name;
}

const char *
httphead_value (const struct httphead *head, size_t index)
{
  return head->text->str
         + g_array_index (head->fields, struct httphead_field, index).value;
}

const char *
httphead_find (const struct httphead *head, const char *name)
{
  for (size_t i = 0; i < httphead_field_count (head); i++)
    if (g_ascii_strcasecmp (httphead_name (head, i), name) == 0)
      return httphead_value (head, i);
  return NULL;
}

size_t
httphead_count_of_name (const struct httphead *head, const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < httphead_field_count (head); i++)
    count += g_ascii_strcasecmp (httphead_name (head, i), name) == 0;
  return count;
}

bool
httphead_is_hop_by_hop (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return false;
}
