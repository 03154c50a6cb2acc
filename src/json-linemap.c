#include "json-linemap.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct scan
{
  struct json_linemap *map;
  const char *cursor;
  int line;
  GString *path;
};

static void scan_value (struct scan *scan);

static void
scan_advance (struct scan *scan)
{
  if (*scan->cursor == '\0')
    return;
  if (*scan->cursor == '\n')
    scan->line++;
  scan->cursor++;
}

static void
scan_skip_comment (struct scan *scan)
{
  bool block = scan->cursor[1] == '*';

  scan_advance (scan);
  scan_advance (scan);
  while (*scan->cursor != '\0')
    {
      if (block && scan->cursor[0] == '*' && scan->cursor[1] == '/')
        {
          scan_advance (scan);
          scan_advance (scan);
          return;
        }
      if (!block && *scan->cursor == '\n')
        return;
      scan_advance (scan);
    }
}

/* Skip white space and comments. */
static void
scan_skip_space (struct scan *scan)
{
  for (;;)
    {
      if (g_ascii_isspace (*scan->cursor))
        scan_advance (scan);
      else if (*scan->cursor == '/')
        scan_skip_comment (scan);
      else
        return;
    }
}

/* Skip a quoted string. Append its characters, without the backslashes that
   escape them, to TEXT unless TEXT is NULL. */
static void
scan_string (struct scan *scan, GString *text)
{
  char quote = *scan->cursor;

  scan_advance (scan);
  while (*scan->cursor != '\0' && *scan->cursor != quote)
    {
      if (*scan->cursor == '\\' && scan->cursor[1] != '\0')
        scan_advance (scan);
      if (text != NULL)
        g_string_append_c (text, *scan->cursor);
      scan_advance (scan);
    }
  scan_advance (scan);
}

static void
scan_record_line (struct scan *scan, int line)
{
  struct json_linemap *map = scan->map;

  if (g_hash_table_contains (map->line_by_path, scan->path->str))
    {
      if (map->duplicate_path != NULL)
        return;
      map->duplicate_path = g_strdup (scan->path->str);
      map->duplicate_line = line;
      return;
    }
  g_hash_table_insert (map->line_by_path, g_strdup (scan->path->str),
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
  scan_record_line (scan, line);
  scan_skip_space (scan);
  scan_advance (scan); /* Skip the colon. */
  scan_value (scan);
  g_string_truncate (scan->path, length);
}

static void
scan_element (struct scan *scan, int index)
{
  gsize length = scan->path->len;

  g_string_append_printf (scan->path, "[%d]", index);
  scan_record_line (scan, scan->line);
  scan_value (scan);
  g_string_truncate (scan->path, length);
}

static void
scan_container (struct scan *scan, char end)
{
  int index = 0;

  scan_advance (scan);
  for (;;)
    {
      scan_skip_space (scan);
      if (*scan->cursor == '\0')
        return;
      if (*scan->cursor == end)
        break;
      if (*scan->cursor == ',')
        scan_advance (scan);
      else if (end == ']')
        scan_element (scan, index++);
      else
        scan_member (scan);
    }
  scan_advance (scan);
}

static void
scan_value (struct scan *scan)
{
  scan_skip_space (scan);
  if (*scan->cursor == '{')
    scan_container (scan, '}');
  else if (*scan->cursor == '[')
    scan_container (scan, ']');
  else if (*scan->cursor == '"' || *scan->cursor == '\'')
    scan_string (scan, NULL);
  else
    while (*scan->cursor != '\0'
           && strchr (",]}/ \t\r\n", *scan->cursor) == NULL)
      scan_advance (scan);
}

void
json_linemap_init (struct json_linemap *map, const char *text)
{
  struct scan scan = { .map = map, .cursor = text, .line = 1 };

  memset (map, 0, sizeof *map);
  map->line_by_path
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan.path = g_string_new (NULL);
  scan_value (&scan);
  scan_skip_space (&scan);
  if (*scan.cursor != '\0')
    map->trailing_text = scan.cursor;
  map->trailing_line = scan.line;
  g_string_free (scan.path, TRUE);
}

void
json_linemap_finish (struct json_linemap *map)
{
  g_hash_table_destroy (map->line_by_path);
  g_free (map->duplicate_path);
}

int
json_linemap_find (const struct json_linemap *map, const char *path)
{
  char *enclosing = g_strdup (path);
  int line
      = GPOINTER_TO_INT (g_hash_table_lookup (map->line_by_path, enclosing));
  char *dot;

  while (line == 0 && (dot = strrchr (enclosing, '.')) != NULL)
    {
      *dot = '\0';
      line = GPOINTER_TO_INT (
          g_hash_table_lookup (map->line_by_path, enclosing));
    }
  g_free (enclosing);
  return line > 0 ? line : 1;
}

int
json_linemap_line_at (const char *text, size_t offset)
{
  int line = 1;

  for (size_t i = 0; i < offset && text[i] != '\0'; i++)
    line += text[i] == '\n';
  return line;
}
