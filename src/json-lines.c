#include "json-lines.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct scan
{
  struct json_lines *lines;
  const char *at;
  int line;
  GString *path;
};

static void scan_value (struct scan *scan);

static void
scan_step (struct scan *scan)
{
  if (*scan->at == '\0')
    return;
  if (*scan->at == '\n')
    scan->line++;
  scan->at++;
}

static void
scan_comment (struct scan *scan)
{
  bool block = scan->at[1] == '*';

  scan_step (scan);
  scan_step (scan);
  while (*scan->at != '\0')
    {
      if (block && scan->at[0] == '*' && scan->at[1] == '/')
        {
          scan_step (scan);
          scan_step (scan);
          return;
        }
      if (!block && *scan->at == '\n')
        return;
      scan_step (scan);
    }
}

/* Pass over white space and comments. */
static void
scan_space (struct scan *scan)
{
  for (;;)
    {
      if (g_ascii_isspace (*scan->at))
        scan_step (scan);
      else if (*scan->at == '/')
        scan_comment (scan);
      else
        return;
    }
}

/* Pass over a quoted string; its raw text goes to TEXT unless that is NULL. */
static void
scan_string (struct scan *scan, GString *text)
{
  char quote = *scan->at;

  scan_step (scan);
  while (*scan->at != '\0' && *scan->at != quote)
    {
      if (*scan->at == '\\' && scan->at[1] != '\0')
        scan_step (scan);
      if (text != NULL)
        g_string_append_c (text, *scan->at);
      scan_step (scan);
    }
  scan_step (scan);
}

static void
scan_record (struct scan *scan, int line)
{
  struct json_lines *lines = scan->lines;

  if (g_hash_table_contains (lines->lines, scan->path->str))
    {
      if (lines->duplicate != NULL)
        return;
      lines->duplicate = g_strdup (scan->path->str);
      lines->duplicate_line = line;
      return;
    }
  g_hash_table_insert (lines->lines, g_strdup (scan->path->str),
                       GINT_TO_POINTER (line));
}

static void
scan_member (struct scan *scan)
{
  gsize length = scan->path->len;
  int line = scan->line;

  if (length > 0)
    g_string_append_c (scan->path, '.');
  scan_string (scan, scan->path);
  scan_record (scan, line);
  scan_space (scan);
  scan_step (scan); /* the colon */
  scan_value (scan);
  g_string_truncate (scan->path, length);
}

static void
scan_element (struct scan *scan, int index)
{
  gsize length = scan->path->len;

  g_string_append_printf (scan->path, "[%d]", index);
  scan_record (scan, scan->line);
  scan_value (scan);
  g_string_truncate (scan->path, length);
}

static void
scan_container (struct scan *scan, char end)
{
  int index = 0;

  scan_step (scan);
  for (;;)
    {
      scan_space (scan);
      if (*scan->at == '\0')
        return;
      if (*scan->at == end)
        break;
      if (*scan->at == ',')
        scan_step (scan);
      else if (end == ']')
        scan_element (scan, index++);
      else
        scan_member (scan);
    }
  scan_step (scan);
}

static void
scan_value (struct scan *scan)
{
  scan_space (scan);
  if (*scan->at == '{')
    scan_container (scan, '}');
  else if (*scan->at == '[')
    scan_container (scan, ']');
  else if (*scan->at == '"' || *scan->at == '\'')
    scan_string (scan, NULL);
  else
    while (*scan->at != '\0' && strchr (",]}/ \t\r\n", *scan->at) == NULL)
      scan_step (scan);
}

void
json_lines_init (struct json_lines *lines, const char *text)
{
  struct scan scan = { .lines = lines, .at = text, .line = 1 };

  memset (lines, 0, sizeof *lines);
  lines->lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan.path = g_string_new (NULL);
  scan_value (&scan);
  scan_space (&scan);
  if (*scan.at != '\0')
    lines->trailer = scan.at;
  lines->trailer_line = scan.line;
  g_string_free (scan.path, TRUE);
}

void
json_lines_finish (struct json_lines *lines)
{
  g_hash_table_destroy (lines->lines);
  g_free (lines->duplicate);
}

int
json_lines_find (const struct json_lines *lines, const char *path)
{
  char *part = g_strdup (path);
  int line = GPOINTER_TO_INT (g_hash_table_lookup (lines->lines, part));
  char *dot;

  while (line == 0 && (dot = strrchr (part, '.')) != NULL)
    {
      *dot = '\0';
      line = GPOINTER_TO_INT (g_hash_table_lookup (lines->lines, part));
    }
  g_free (part);
  return line > 0 ? line : 1;
}

int
json_lines_at (const char *text, size_t offset)
{
  int line = 1;

  for (size_t i = 0; i < offset && text[i] != '\0'; i++)
    line += text[i] == '\n';
  return line;
}
