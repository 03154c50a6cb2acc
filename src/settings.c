#include "settings.h"
#include "clock.h"
#include "json-linemap.h"
#include "settings-keys.h"

#include <arpa/inet.h>
#include <assert.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEY_PATH_SIZE = 256
};

struct settings_parser
{
  struct settings *settings;
  const char *file_name;
  struct json_linemap lines;
  bool *seen; /* For each entry of settings_keys, whether the file has its key.
               */
  struct error *error;
};

static enum status
error_bad_value (const struct settings_parser *parser,
                 const struct settings_key *key, const char *path,
                 struct json_object *value)
{
  bool secret = key->type == SETTINGS_TYPE_HASH_KEY;
  char expected[SETTINGS_DESCRIPTION_MAX];

  settings_key_describe (key, expected);
  return error_set (
      parser->error, STATUS_INVALID,
      "%s:%d: key \"%s\": %.80s is not allowed; expected %s",
      parser->file_name, json_linemap_find (&parser->lines, path), path,
      secret ? "the value" : json_object_to_json_string (value), expected);
}

static bool
address_parse (const char *text, struct settings_address *address)
{
  const char *colon = strrchr (text, ':');
  unsigned char bytes[sizeof (struct in6_addr)];
  bool bracketed = text[0] == '[';
  int family = bracketed ? AF_INET6 : AF_INET;
  size_t length;
  char *end;
  unsigned long port;

  if (colon == NULL || strlen (text) >= sizeof address->text)
    return false;
  if (bracketed && (colon <= text + 1 || colon[-1] != ']'))
    return false;
  length = (size_t)(colon - text) - (bracketed ? 2 : 0);
  if (length >= sizeof address->ip || !g_ascii_isdigit (colon[1]))
    return false;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port < 1 || port > UINT16_MAX)
    return false;
  memset (address, 0, sizeof *address);
  memcpy (address->ip, text + (bracketed ? 1 : 0), length);
  g_strlcpy (address->text, text, sizeof address->text);
  address->port = (uint16_t)port;
  return inet_pton (family, address->ip, bytes) == 1;
}

static bool
parse_text (const struct settings_key *key, struct json_object *value,
            char *field)
{
  size_t length = (size_t)json_object_get_string_len (value);
  const char *text = json_object_get_string (value);

  if (!json_object_is_type (value, json_type_string))
    return false;
  if (length < key->min || length > key->max || strlen (text) != length)
    return false;
  g_strlcpy (field, text, SETTINGS_TEXT_MAX);
  return true;
}

static bool
parse_choice (const struct settings_key *key, struct json_object *value,
              int *field)
{
  if (!json_object_is_type (value, json_type_string))
    return false;
  for (int i = 0; key->choices[i] != NULL; i++)
    if (strcmp (key->choices[i], json_object_get_string (value)) == 0)
      {
        *field = i;
        return true;
      }
  return false;
}

static bool
parse_integer (const struct settings_key *key, struct json_object *value,
               int64_t *field)
{
  int64_t number = json_object_get_int64 (value);

  if (!json_object_is_type (value, json_type_int))
    return false;
  if ((double)number < key->min || (double)number > key->max)
    return false;
  *field = number;
  return true;
}

static bool
parse_number (const struct settings_key *key, struct json_object *value,
              double *field)
{
  double number = json_object_get_double (value);

  if (!json_object_is_type (value, json_type_int)
      && !json_object_is_type (value, json_type_double))
    return false;
  if (!(number >= key->min && number <= key->max))
    return false;
  *field = number;
  return true;
}

/* Parse a duration in units of UNIT_NS. It is rounded down to whole
 * nanoseconds. */
static bool
parse_duration (const struct settings_key *key, struct json_object *value,
                int64_t unit_ns, int64_t *field)
{
  double number;

  if (!parse_number (key, value, &number))
    return false;
  *field = (int64_t)(number * (double)unit_ns);
  return true;
}

static bool
parse_address (struct json_object *value, struct settings_address *field)
{
  return json_object_is_type (value, json_type_string)
         && address_parse (json_object_get_string (value), field);
}

static bool
parse_hash_key (const struct settings_key *key, struct json_object *value,
                uint8_t *field)
{
  const char *text = json_object_get_string (value);

  if (!json_object_is_type (value, json_type_string)
      || (double)strlen (text) != key->max)
    return false;
  for (size_t i = 0; i < SETTINGS_HASH_KEY_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      field[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}

static enum status
parse_address_list (const struct settings_parser *parser,
                    const struct settings_key *key, struct json_object *value,
                    struct settings_addresses *addresses)
{
  size_t count;

  if (!json_object_is_type (value, json_type_array))
    return error_bad_value (parser, key, key->path, value);
  count = json_object_array_length (value);
  if ((double)count < key->min || (double)count > key->max)
    return error_bad_value (parser, key, key->path, value);
  for (unsigned i = 0; i < count; i++)
    {
      struct json_object *element = json_object_array_get_idx (value, i);
      char path[KEY_PATH_SIZE];

      g_snprintf (path, sizeof path, "%s[%u]", key->path, i);
      addresses->count = i + 1;
      if (!parse_address (element, &addresses->items[i]))
        return error_bad_value (parser, key, path, element);
    }
  return STATUS_OK;
}

static enum status
parse_places (const struct settings_parser *parser,
              const struct settings_key *key, struct json_object *value,
              struct places *places)
{
  places->count = 0;
  if (!json_object_is_type (value, json_type_object)
      || json_object_object_length (value) > key->max)
    return error_bad_value (parser, key, key->path, value);
  json_object_object_foreach (value, data_centre, region)
  {
    struct places_entry *place = &places->items[places->count++];
    char path[KEY_PATH_SIZE];

    g_snprintf (path, sizeof path, "%s.%.60s", key->path, data_centre);
    if (!json_object_is_type (region, json_type_string)
        || json_object_get_string_len (region) == 0
        || json_object_get_string_len (region) >= PLACES_NAME_MAX
        || data_centre[0] == '\0' || strlen (data_centre) >= PLACES_NAME_MAX)
      return error_bad_value (parser, key, path, region);
    g_strlcpy (place->data_centre, data_centre, PLACES_NAME_MAX);
    g_strlcpy (place->region, json_object_get_string (region),
               PLACES_NAME_MAX);
  }
  return STATUS_OK;
}

static enum status
parse_value (const struct settings_parser *parser,
             const struct settings_key *key, struct json_object *value)
{
  void *field = (char *)parser->settings + key->offset;
  bool valid = false;

  switch (key->type)
    {
    case SETTINGS_TYPE_TEXT:
      valid = parse_text (key, value, field);
      break;
    case SETTINGS_TYPE_CHOICE:
      valid = parse_choice (key, value, field);
      break;
    case SETTINGS_TYPE_BOOLEAN:
      valid = json_object_is_type (value, json_type_boolean);
      *(bool *)field = json_object_get_boolean (value);
      break;
    case SETTINGS_TYPE_INTEGER:
      valid = parse_integer (key, value, field);
      break;
    case SETTINGS_TYPE_MILLISECONDS:
      valid = parse_duration (key, value, NS_PER_MS, field);
      break;
    case SETTINGS_TYPE_SECONDS:
      valid = parse_duration (key, value, NS_PER_S, field);
      break;
    case SETTINGS_TYPE_NUMBER:
      valid = parse_number (key, value, field);
      break;
    case SETTINGS_TYPE_ADDRESS:
      valid = parse_address (value, field);
      break;
    case SETTINGS_TYPE_HASH_KEY:
      valid = parse_hash_key (key, value, field);
      break;
    case SETTINGS_TYPE_ADDRESSES:
      return parse_address_list (parser, key, value, field);
    case SETTINGS_TYPE_PLACES:
      return parse_places (parser, key, value, field);
    }
  return valid ? STATUS_OK : error_bad_value (parser, key, key->path, value);
}

static unsigned
parser_role_bit (const struct settings_parser *parser)
{
  return 1U << parser->settings->process.role;
}

static enum status
error_unknown_key (const struct settings_parser *parser, const char *path)
{
  const struct settings_key *nearest
      = settings_key_nearest (path, parser_role_bit (parser));
  char expected[SETTINGS_DESCRIPTION_MAX];

  settings_key_describe (nearest, expected);
  return error_set (
      parser->error, STATUS_INVALID,
      "%s:%d: unknown key \"%s\"; the nearest known key is \"%s\": %s",
      parser->file_name, json_linemap_find (&parser->lines, path), path,
      nearest->path, expected);
}

static enum status
error_wrong_role (const struct settings_parser *parser, const char *path)
{
  return error_set (
      parser->error, STATUS_INVALID,
      "%s:%d: key \"%s\" is used only by another role of process; remove it",
      parser->file_name, json_linemap_find (&parser->lines, path), path);
}

static enum status
parse_key (struct settings_parser *parser, const struct settings_key *key,
           struct json_object *value)
{
  if ((key->roles & parser_role_bit (parser)) == 0)
    return error_wrong_role (parser, key->path);
  parser->seen[key - settings_keys] = true;
  return parse_value (parser, key, value);
}

static enum status
parse_section (struct settings_parser *parser, const char *section,
               struct json_object *object)
{
  enum status status = STATUS_OK;

  if (!json_object_is_type (object, json_type_object))
    return error_set (parser->error, STATUS_INVALID,
                      "%s:%d: key \"%s\": expected a JSON object of keys",
                      parser->file_name,
                      json_linemap_find (&parser->lines, section), section);
  json_object_object_foreach (object, name, value)
  {
    char path[KEY_PATH_SIZE];
    const struct settings_key *key;

    g_snprintf (path, sizeof path, "%s%s%.100s", section,
                section[0] != '\0' ? "." : "", name);
    key = settings_key_find (path);
    if (key != NULL)
      status = parse_key (parser, key, value);
    else if (settings_key_is_section (path))
      status = parse_section (parser, path, value);
    else
      status = error_unknown_key (parser, path);
    if (status != STATUS_OK)
      return status;
  }
  return STATUS_OK;
}

/* The role decides which keys are allowed, so it is read before the others.
 */
static enum status
parse_role (struct settings_parser *parser, struct json_object *root)
{
  const struct settings_key *key = settings_key_find ("process.role");
  struct json_object *process = NULL;
  struct json_object *role = NULL;

  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, "process", &process)
      && json_object_is_type (process, json_type_object)
      && json_object_object_get_ex (process, "role", &role))
    return parse_value (parser, key, role);
  return STATUS_OK;
}

static enum status
apply_defaults (const struct settings_parser *parser)
{
  enum status status = STATUS_OK;

  for (unsigned i = 0; i < settings_key_count && status == STATUS_OK; i++)
    {
      const struct settings_key *key = &settings_keys[i];
      struct json_object *value;
      char expected[SETTINGS_DESCRIPTION_MAX];

      if (parser->seen[i])
        continue;
      settings_key_describe (key, expected);
      if ((key->required_roles & parser_role_bit (parser)) != 0)
        return error_set (parser->error, STATUS_INVALID,
                          "%s:%d: key \"%s\" is missing; expected %s",
                          parser->file_name,
                          json_linemap_find (&parser->lines, key->path),
                          key->path, expected);
      if (key->default_json == NULL)
        continue;
      value = json_tokener_parse (key->default_json);
      status = parse_value (parser, key, value);
      json_object_put (value);
    }
  return status;
}

static int64_t
key_integer (const struct settings *settings, const char *path)
{
  const struct settings_key *key = settings_key_find (path);

  assert (key != NULL);
  return *(const int64_t *)((const char *)settings + key->offset);
}

static enum status
check_order_rules (const struct settings_parser *parser)
{
  for (unsigned i = 0; i < settings_order_rule_count; i++)
    {
      const struct settings_order_rule *rule = &settings_order_rules[i];

      if (key_integer (parser->settings, rule->smaller)
          < key_integer (parser->settings, rule->larger))
        continue;
      return error_set (
          parser->error, STATUS_INVALID,
          "%s:%d: the value of key \"%s\" must be less than that of "
          "\"%s\" (line %d)",
          parser->file_name, json_linemap_find (&parser->lines, rule->smaller),
          rule->smaller, rule->larger,
          json_linemap_find (&parser->lines, rule->larger));
    }
  return STATUS_OK;
}

static void
apply_advertise_defaults (struct settings *settings)
{
  if (settings->advertise.http.text[0] == '\0')
    settings->advertise.http = settings->listen.http;
  if (settings->advertise.peer.text[0] == '\0')
    settings->advertise.peer = settings->listen.peer;
}

static enum status
check_json_text (const struct settings_parser *parser)
{
  const struct json_linemap *lines = &parser->lines;

  if (lines->duplicate_path != NULL)
    return error_set (parser->error, STATUS_INVALID,
                      "%s:%d: key \"%s\" is given twice; it is first given on "
                      "line %d",
                      parser->file_name, lines->duplicate_line,
                      lines->duplicate_path,
                      json_linemap_find (lines, lines->duplicate_path));
  if (lines->trailing_text != NULL)
    return error_set (
        parser->error, STATUS_INVALID,
        "%s:%d: unexpected text after the end of the settings: %.20s",
        parser->file_name, lines->trailing_line, lines->trailing_text);
  return STATUS_OK;
}

static enum status
parse_root (struct settings_parser *parser, struct json_object *root)
{
  enum status status = check_json_text (parser);

  if (status == STATUS_OK)
    status = parse_role (parser, root);
  if (status == STATUS_OK)
    status = parse_section (parser, "", root);
  if (status == STATUS_OK)
    status = apply_defaults (parser);
  if (status == STATUS_OK)
    status = check_order_rules (parser);
  if (status == STATUS_OK)
    apply_advertise_defaults (parser->settings);
  return status;
}

enum status
settings_parse (struct settings *settings, const char *text,
                const char *file_name, struct error *error)
{
  struct settings_parser parser
      = { .settings = settings, .file_name = file_name, .error = error };
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root
      = json_tokener_parse_ex (tokener, text, (int)strlen (text) + 1);
  enum json_tokener_error parsed = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);
  enum status status;

  json_tokener_free (tokener);
  memset (settings, 0, sizeof *settings);
  if (parsed != json_tokener_success)
    return error_set (error, STATUS_INVALID, "%s:%d: not JSON: %s", file_name,
                      json_linemap_line_at (text, end),
                      json_tokener_error_desc (parsed));
  json_linemap_init (&parser.lines, text);
  parser.seen = g_new0 (bool, settings_key_count);
  status = parse_root (&parser, root);
  g_free (parser.seen);
  json_linemap_finish (&parser.lines);
  json_object_put (root);
  return status;
}

enum status
settings_read_file (const char *path, struct settings *settings,
                    struct error *error)
{
  GError *reason = NULL;
  char *text = NULL;
  gsize size = 0;
  enum status status;

  if (!g_file_get_contents (path, &text, &size, &reason))
    {
      status = error_set (error, STATUS_NOT_FOUND, "%s", reason->message);
      g_error_free (reason);
      return status;
    }
  if (size > SETTINGS_FILE_BYTES_MAX || strlen (text) != size)
    status = error_set (
        error, STATUS_INVALID,
        "%s:1: the settings file is not a text file of at most %d "
        "bytes",
        path, SETTINGS_FILE_BYTES_MAX);
  else
    status = settings_parse (settings, text, path, error);
  g_free (text);
  return status;
}

void
settings_print_help (FILE *out)
{
  static const char *const role_set_names[]
      = { "",      "gateway",        "shard",        "gateway, shard",
          "entry", "gateway, entry", "shard, entry", "all" };

  fputs ("| key | roles | expected | default | meaning |\n"
         "| --- | --- | --- | --- | --- |\n",
         out);
  for (unsigned i = 0; i < settings_key_count; i++)
    {
      const struct settings_key *key = &settings_keys[i];
      const char *default_text
          = key->default_json != NULL ? key->default_json : "none";
      char expected[SETTINGS_DESCRIPTION_MAX];

      settings_key_describe (key, expected);
      fprintf (out, "| `%s` | %s | %s | %s | %s |\n", key->path,
               role_set_names[key->roles], expected,
               key->required_roles != 0 ? "required" : default_text,
               key->help);
    }
}
