#include "cli.h"

#include "event.h"
#include "httpjson.h"

#include <stdlib.h>
#include <string.h>

/* A line of a log and the time at which it was written. */
struct log_line
{
  double time;
  char *text;
};

static void
log_line_clear (void *data)
{
  struct log_line *line = data;

  g_free (line->text);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const struct log_line *left = a;
  const struct log_line *right = b;

  return (left->time > right->time) - (left->time < right->time);
}

/* Calls LINE_READ for each line of FILE that is not empty. OBJECT is the
   JSON object in the line, or NULL if there is none. */
static enum cli_exit_status
log_file_read (struct cli *cli, const char *file,
               void (*line_read) (void *data, const char *text,
                                  struct json_object *object),
               void *data)
{
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      fprintf (cli->err, "trefoilspar: cannot read %s\n", file);
      return CLI_USAGE;
    }
  lines = g_strsplit (text, "\n", 0);
  for (unsigned i = 0; lines[i] != NULL; i++)
    {
      /* Log collectors may put text of their own before the JSON object. */
      const char *begin = strchr (lines[i], '{');
      struct json_object *object
          = begin != NULL ? json_tokener_parse (begin) : NULL;

      if (lines[i][0] != '\0')
        line_read (data, begin != NULL ? begin : lines[i], object);
      json_object_put (object);
    }
  g_strfreev (lines);
  g_free (text);
  return CLI_OK;
}

struct trace
{
  const char *id; /* Id of the traced request. */
  GArray *lines;  /* Elements are struct log_line. */
};

static void
trace_add_line (void *data, const char *text, struct json_object *object)
{
  struct trace *trace = data;
  struct log_line line;

  if (strcmp (json_field_text (object, "id"), trace->id) != 0)
    return;
  line.time = json_field_double (object, "time");
  line.text = g_strdup (text);
  g_array_append_val (trace->lines, line);
}

enum cli_exit_status
cli_trace (struct cli *cli)
{
  struct trace trace = { .id = cli->arguments[0] };
  enum cli_exit_status status = CLI_OK;

  trace.lines = g_array_new (FALSE, FALSE, sizeof (struct log_line));
  g_array_set_clear_func (trace.lines, log_line_clear);
  for (unsigned i = 1; cli->arguments[i] != NULL && status == CLI_OK; i++)
    status = log_file_read (cli, cli->arguments[i], trace_add_line, &trace);
  g_array_sort (trace.lines, compare_times);
  for (guint i = 0; i < trace.lines->len; i++)
    fprintf (cli->out, "%s\n",
             g_array_index (trace.lines, struct log_line, i).text);
  if (status == CLI_OK && trace.lines->len == 0)
    {
      fprintf (cli->err, "trefoilspar: no log line of request %s found\n",
               trace.id);
      status = CLI_REFUSED;
    }
  g_array_free (trace.lines, TRUE);
  return status;
}

struct log_check
{
  FILE *err;
  unsigned valid_count;
  unsigned invalid_count;
};

/* Whether OBJECT is a valid log line: its number, name and level are those of
   an event in the catalogue, and it has a time and a process. */
static bool
is_in_catalogue (struct json_object *object)
{
  uint64_t number = json_field_uint (object, "event");

  for (unsigned i = 0; event_info_at (i) != NULL; i++)
    {
      const struct event_info *info = event_info_at (i);

      if ((uint64_t)info->number == number)
        return strcmp (json_field_text (object, "name"), info->name) == 0
               && strcmp (json_field_text (object, "level"),
                          event_level_name (info->level))
                      == 0
               && json_field_double (object, "time") > 0
               && json_field_text (object, "process")[0] != '\0';
    }
  return false;
}

static void
check_line (void *data, const char *text, struct json_object *object)
{
  struct log_check *check = data;

  if (object != NULL && is_in_catalogue (object))
    {
      check->valid_count++;
      return;
    }
  check->invalid_count++;
  fprintf (check->err,
           "log line does not match the catalogue of events: %.200s\n", text);
}

enum cli_exit_status
cli_check_log (struct cli *cli)
{
  struct log_check check = { .err = cli->err };
  enum cli_exit_status status = CLI_OK;

  for (unsigned i = 0; cli->arguments[i] != NULL && status == CLI_OK; i++)
    status = log_file_read (cli, cli->arguments[i], check_line, &check);
  fprintf (cli->out, "%u lines match the catalogue of events, %u do not\n",
           check.valid_count, check.invalid_count);
  if (status == CLI_OK && check.invalid_count > 0)
    status = CLI_REFUSED;
  return status;
}
