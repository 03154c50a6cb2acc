#include "declaration.h"

#include <assert.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum column_value_type
{
  VALUE_NAME,
  VALUE_HASH,
  VALUE_NUMBER,
  VALUE_CHOICE
};

enum
{
  NUMBER_EMPTY = -1, /* Value of an empty number or choice column. */
  DAY_MS = 24 * 60 * 60 * 1000,
  HOUR_MS = 60 * 60 * 1000
};

struct column_info
{
  const char *name;
  enum column_value_type value_type;
  size_t offset;
  int32_t min, max;
  const char *choices[2]; /* Texts of the values 0 and 1 of a choice. */
};

#define OFFSET(member) offsetof (struct declaration, member)

static const struct column_info columns[COLUMN_COUNT] = {
  [COLUMN_ORGANISATION] = { "organisation",
                            VALUE_NAME,
                            OFFSET (organisation),
                            0,
                            0,
                            { NULL, NULL } },
  [COLUMN_NAME] = { "name", VALUE_NAME, OFFSET (name), 0, 0, { NULL, NULL } },
  [COLUMN_MODEL]
  = { "model", VALUE_NAME, OFFSET (model), 0, 0, { NULL, NULL } },
  [COLUMN_VERSION]
  = { "version", VALUE_NAME, OFFSET (version), 0, 0, { NULL, NULL } },
  [COLUMN_SERVICE]
  = { "service", VALUE_NAME, OFFSET (service), 0, 0, { NULL, NULL } },
  [COLUMN_WEIGHT]
  = { "weight", VALUE_NUMBER, OFFSET (weight), 1, 1000, { NULL, NULL } },
  [COLUMN_REQUESTS_PER_S] = { "requests_per_s",
                              VALUE_NUMBER,
                              OFFSET (requests_per_s),
                              1,
                              1000000,
                              { NULL, NULL } },
  [COLUMN_IN_FLIGHT] = { "in_flight",
                         VALUE_NUMBER,
                         OFFSET (in_flight),
                         1,
                         1000000,
                         { NULL, NULL } },
  [COLUMN_PRIORITY]
  = { "priority", VALUE_NUMBER, OFFSET (priority), 0, 9, { NULL, NULL } },
  [COLUMN_DEADLINE_MS] = { "deadline_ms",
                           VALUE_NUMBER,
                           OFFSET (deadline_ms),
                           1,
                           DAY_MS,
                           { NULL, NULL } },
  [COLUMN_TIMEOUT_MS] = { "timeout_ms",
                          VALUE_NUMBER,
                          OFFSET (timeout_ms),
                          1,
                          HOUR_MS,
                          { NULL, NULL } },
  [COLUMN_IDEMPOTENT]
  = { "idempotent", VALUE_CHOICE, OFFSET (idempotent), 0, 1, { "no", "yes" } },
  [COLUMN_RETAINED]
  = { "retained", VALUE_CHOICE, OFFSET (retained), 0, 1, { "no", "yes" } },
  [COLUMN_KEY_HASH]
  = { "key_hash", VALUE_HASH, OFFSET (key_hash), 0, 0, { NULL, NULL } },
  [COLUMN_FENCING] = { "fencing",
                       VALUE_CHOICE,
                       OFFSET (fencing),
                       0,
                       1,
                       { "ignored", "checked" } },
  [COLUMN_LOAD_LIMIT] = { "load_limit",
                          VALUE_NUMBER,
                          OFFSET (load_limit),
                          1,
                          1000,
                          { NULL, NULL } },
};

#undef OFFSET

struct type_info
{
  const char *name;
  enum column_use use[COLUMN_COUNT];
  /* Types that rows of this type refer to. A row holds the key columns of
     each object that it refers to. */
  bool refers_to[DECLARATION_TYPE_COUNT];
};

static const struct type_info types[DECLARATION_TYPE_COUNT] = {
  [DECLARATION_ORGANISATION]
  = { .name = "organisation",
      .use = { [COLUMN_ORGANISATION] = COLUMN_USE_KEY,
               [COLUMN_WEIGHT] = COLUMN_USE_REQUIRED,
               [COLUMN_REQUESTS_PER_S] = COLUMN_USE_REQUIRED,
               [COLUMN_IN_FLIGHT] = COLUMN_USE_REQUIRED } },
  [DECLARATION_KEY] = { .name = "key",
                        .use = { [COLUMN_ORGANISATION] = COLUMN_USE_KEY,
                                 [COLUMN_NAME] = COLUMN_USE_KEY,
                                 [COLUMN_KEY_HASH] = COLUMN_USE_REQUIRED },
                        .refers_to = { [DECLARATION_ORGANISATION] = true } },
  [DECLARATION_SERVICE]
  = { .name = "service",
      .use = { [COLUMN_SERVICE] = COLUMN_USE_KEY,
               [COLUMN_TIMEOUT_MS] = COLUMN_USE_REQUIRED,
               [COLUMN_IDEMPOTENT] = COLUMN_USE_REQUIRED } },
  [DECLARATION_MODEL] = { .name = "model",
                          .use = { [COLUMN_MODEL] = COLUMN_USE_KEY,
                                   [COLUMN_VERSION] = COLUMN_USE_REQUIRED,
                                   [COLUMN_SERVICE] = COLUMN_USE_REQUIRED },
                          .refers_to = { [DECLARATION_VERSION] = true } },
  [DECLARATION_VERSION]
  = { .name = "version",
      .use
      = { [COLUMN_MODEL] = COLUMN_USE_KEY, [COLUMN_VERSION] = COLUMN_USE_KEY },
      .refers_to = { [DECLARATION_MODEL] = true } },
  [DECLARATION_ADAPTER]
  = { .name = "adapter",
      .use = { [COLUMN_MODEL] = COLUMN_USE_KEY,
               [COLUMN_NAME] = COLUMN_USE_KEY,
               [COLUMN_ORGANISATION] = COLUMN_USE_FIXED },
      .refers_to
      = { [DECLARATION_MODEL] = true, [DECLARATION_ORGANISATION] = true } },
  [DECLARATION_REQUEST_KIND]
  = { .name = "kind",
      .use = { [COLUMN_ORGANISATION] = COLUMN_USE_KEY,
               [COLUMN_NAME] = COLUMN_USE_KEY,
               [COLUMN_MODEL] = COLUMN_USE_ONE_OF,
               [COLUMN_SERVICE] = COLUMN_USE_ONE_OF,
               [COLUMN_PRIORITY] = COLUMN_USE_REQUIRED,
               [COLUMN_DEADLINE_MS] = COLUMN_USE_REQUIRED,
               [COLUMN_IDEMPOTENT] = COLUMN_USE_REQUIRED,
               [COLUMN_RETAINED] = COLUMN_USE_REQUIRED },
      .refers_to = { [DECLARATION_ORGANISATION] = true,
                     [DECLARATION_MODEL] = true,
                     [DECLARATION_SERVICE] = true } },
  [DECLARATION_BACKEND_SERVER]
  = { .name = "backend_server",
      .use = { [COLUMN_NAME] = COLUMN_USE_KEY,
               [COLUMN_FENCING] = COLUMN_USE_REQUIRED,
               [COLUMN_LOAD_LIMIT] = COLUMN_USE_REQUIRED } },
  [DECLARATION_DRAIN]
  = { .name = "drain", .use = { [COLUMN_NAME] = COLUMN_USE_KEY } },
};

static char *
column_text (struct declaration *row, enum column column)
{
  return (char *)row + columns[column].offset;
}

static const char *
column_text_const (const struct declaration *row, enum column column)
{
  return (const char *)row + columns[column].offset;
}

static int32_t *
column_number (struct declaration *row, enum column column)
{
  return (int32_t *)(void *)((char *)row + columns[column].offset);
}

static int32_t
column_number_const (const struct declaration *row, enum column column)
{
  return *(const int32_t *)(const void *)((const char *)row
                                          + columns[column].offset);
}

static bool
column_is_text (enum column column)
{
  return columns[column].value_type == VALUE_NAME
         || columns[column].value_type == VALUE_HASH;
}

static bool
column_is_empty (const struct declaration *row, enum column column)
{
  if (column_is_text (column))
    return column_text_const (row, column)[0] == '\0';
  return column_number_const (row, column) == NUMBER_EMPTY;
}

static bool
name_is_valid (const char *text)
{
  if (!isalnum ((unsigned char)text[0]))
    return false;
  for (const char *c = text; *c != '\0'; c++)
    if (!isalnum ((unsigned char)*c) && strchr ("._-", *c) == NULL)
      return false;
  return strlen (text) < DECLARATION_NAME_MAX;
}

static bool
hash_is_valid (const char *text)
{
  return strlen (text) == DECLARATION_KEY_HASH_MAX - 1
         && strspn (text, "0123456789abcdef") == strlen (text);
}

static enum status
name_set (struct declaration *row, enum column column, const char *text,
          struct error *error)
{
  if (!name_is_valid (text))
    return error_set (error, STATUS_INVALID,
                      "not a name; use 1 to %d letters, digits, '.', '_' or "
                      "'-', a letter or digit first",
                      DECLARATION_NAME_MAX - 1);
  strcpy (column_text (row, column), text);
  return STATUS_OK;
}

static enum status
hash_set (struct declaration *row, enum column column, const char *text,
          struct error *error)
{
  if (!hash_is_valid (text))
    return error_set (error, STATUS_INVALID,
                      "not a key hash; copy the %d hexadecimal digits that "
                      "'trefoilspar key new' printed",
                      DECLARATION_KEY_HASH_MAX - 1);
  strcpy (column_text (row, column), text);
  return STATUS_OK;
}

static enum status
number_set (struct declaration *row, enum column column, const char *text,
            struct error *error)
{
  const struct column_info *info = &columns[column];
  char *end = NULL;
  long value;

  errno = 0;
  value = strtol (text, &end, 10);
  if (!isdigit ((unsigned char)text[0]) || *end != '\0' || errno != 0
      || value < info->min || value > info->max)
    return error_set (error, STATUS_INVALID,
                      "not a whole number from %d to %d; correct it",
                      info->min, info->max);
  *column_number (row, column) = (int32_t)value;
  return STATUS_OK;
}

static enum status
choice_set (struct declaration *row, enum column column, const char *text,
            struct error *error)
{
  const struct column_info *info = &columns[column];

  for (int i = 0; i < 2; i++)
    if (strcmp (info->choices[i], text) == 0)
      {
        *column_number (row, column) = i;
        return STATUS_OK;
      }
  return error_set (error, STATUS_INVALID,
                    "not a word for this column; write '%s' or '%s'",
                    info->choices[0], info->choices[1]);
}

static void
id_format (const struct declaration *row, enum declaration_type type,
           char out[DECLARATION_ID_MAX])
{
  size_t length
      = (size_t)snprintf (out, DECLARATION_ID_MAX, "%s", types[type].name);
  char separator = ':';

  for (int column = 0; column < COLUMN_COUNT; column++)
    if (types[type].use[column] == COLUMN_USE_KEY)
      {
        length += (size_t)snprintf (out + length, DECLARATION_ID_MAX - length,
                                    "%c%s", separator,
                                    column_text_const (row, column));
        separator = '/';
      }
  assert (length < DECLARATION_ID_MAX);
}

static enum status
model_or_service_check (const struct declaration *row, enum column *column,
                        struct error *error)
{
  bool model = row->model[0] != '\0';
  bool service = row->service[0] != '\0';

  if (model != service)
    return STATUS_OK;
  *column = model ? COLUMN_SERVICE : COLUMN_MODEL;
  return error_set (error, STATUS_INVALID, "%s",
                    model ? "both a model and a service; leave one empty"
                          : "neither a model nor a service; fill in one");
}

const char *
declaration_type_name (enum declaration_type type)
{
  return types[type].name;
}

bool
declaration_type_find (const char *text, enum declaration_type *type)
{
  for (int i = 0; i < DECLARATION_TYPE_COUNT; i++)
    if (strcmp (types[i].name, text) == 0)
      {
        *type = (enum declaration_type)i;
        return true;
      }
  return false;
}

const char *
column_name (enum column column)
{
  return columns[column].name;
}

bool
column_find (const char *text, enum column *column)
{
  for (int i = 0; i < COLUMN_COUNT; i++)
    if (strcmp (columns[i].name, text) == 0)
      {
        *column = (enum column)i;
        return true;
      }
  return false;
}

enum column_use
declaration_column_use (enum declaration_type type, enum column column)
{
  return types[type].use[column];
}

void
declaration_init (struct declaration *row, enum declaration_type type)
{
  memset (row, 0, sizeof *row);
  row->type = type;
  for (int column = 0; column < COLUMN_COUNT; column++)
    if (types[type].use[column] != COLUMN_USE_NONE
        && !column_is_text ((enum column)column))
      *column_number (row, (enum column)column) = NUMBER_EMPTY;
}

enum status
declaration_set_cell (struct declaration *row, enum column column,
                      const char *text, struct error *error)
{
  if (text[0] == '\0')
    {
      if (column_is_text (column))
        column_text (row, column)[0] = '\0';
      else if (types[row->type].use[column] != COLUMN_USE_NONE)
        *column_number (row, column) = NUMBER_EMPTY;
      return STATUS_OK;
    }
  if (types[row->type].use[column] == COLUMN_USE_NONE)
    return error_set (error, STATUS_INVALID,
                      "an object of type %s has no %s; empty the cell",
                      types[row->type].name, columns[column].name);
  switch (columns[column].value_type)
    {
    case VALUE_NAME:
      return name_set (row, column, text, error);
    case VALUE_HASH:
      return hash_set (row, column, text, error);
    case VALUE_NUMBER:
      return number_set (row, column, text, error);
    case VALUE_CHOICE:
      return choice_set (row, column, text, error);
    }
  assert (!"unknown value type of a column");
  return STATUS_INVALID;
}

const char *
declaration_get_text (const struct declaration *row, enum column column)
{
  return column_text_const (row, column);
}

void
declaration_format_cell (const struct declaration *row, enum column column,
                         char out[DECLARATION_CELL_MAX])
{
  int32_t number;

  out[0] = '\0';
  if (types[row->type].use[column] == COLUMN_USE_NONE
      || column_is_empty (row, column))
    return;
  if (column_is_text (column))
    {
      strcpy (out, column_text_const (row, column));
      return;
    }
  number = column_number_const (row, column);
  if (columns[column].value_type == VALUE_CHOICE)
    strcpy (out, columns[column].choices[number]);
  else
    snprintf (out, DECLARATION_CELL_MAX, "%d", number);
}

enum status
declaration_check_complete (const struct declaration *row, enum column *column,
                            struct error *error)
{
  for (int i = 0; i < COLUMN_COUNT; i++)
    {
      enum column_use use = types[row->type].use[i];

      if (use == COLUMN_USE_NONE || use == COLUMN_USE_ONE_OF
          || !column_is_empty (row, (enum column)i))
        continue;
      *column = (enum column)i;
      return error_set (error, STATUS_INVALID,
                        "empty; an object of type %s needs its %s",
                        types[row->type].name, columns[i].name);
    }
  if (row->type == DECLARATION_REQUEST_KIND)
    return model_or_service_check (row, column, error);
  return STATUS_OK;
}

void
declaration_format_id (const struct declaration *row,
                       char out[DECLARATION_ID_MAX])
{
  id_format (row, row->type, out);
}

int
declaration_compare_ids (const struct declaration *a,
                         const struct declaration *b)
{
  if (a->type != b->type)
    return a->type < b->type ? -1 : 1;
  for (int i = 0; i < COLUMN_COUNT; i++)
    if (types[a->type].use[i] == COLUMN_USE_KEY)
      {
        int order = strcmp (column_text_const (a, (enum column)i),
                            column_text_const (b, (enum column)i));

        if (order != 0)
          return order;
      }
  return 0;
}

bool
declaration_find_reference (const struct declaration *row,
                            enum declaration_type target, char *out)
{
  if (!types[row->type].refers_to[target]
      || column_is_empty (row, declaration_reference_column (target)))
    return false;
  if (out != NULL)
    id_format (row, target, out);
  return true;
}

enum column
declaration_reference_column (enum declaration_type target)
{
  switch (target)
    {
    case DECLARATION_MODEL:
      return COLUMN_MODEL;
    case DECLARATION_VERSION:
      return COLUMN_VERSION;
    case DECLARATION_SERVICE:
      return COLUMN_SERVICE;
    default:
      return COLUMN_ORGANISATION;
    }
}

bool
declaration_equals (const struct declaration *a, const struct declaration *b)
{
  char left[DECLARATION_CELL_MAX], right[DECLARATION_CELL_MAX];

  if (a->type != b->type)
    return false;
  for (int column = 0; column < COLUMN_COUNT; column++)
    {
      declaration_format_cell (a, (enum column)column, left);
      declaration_format_cell (b, (enum column)column, right);
      if (strcmp (left, right) != 0)
        return false;
    }
  return true;
}

uint64_t
declaration_digest (const struct declaration *row)
{
  char text[COLUMN_COUNT * DECLARATION_CELL_MAX];
  size_t length
      = (size_t)snprintf (text, sizeof text, "%s", types[row->type].name);
  uint64_t digest;

  for (int column = 0; column < COLUMN_COUNT; column++)
    {
      text[length++] = ',';
      declaration_format_cell (row, (enum column)column, text + length);
      length += strlen (text + length);
    }
  digest = XXH3_64bits (text, length);
  return digest == 0 ? 1 : digest;
}
