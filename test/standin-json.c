#include "standin-http.h"

#include <stdarg.h>

const char *
json_string (struct json_object *object, const char *key,
             const char *otherwise)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return otherwise;
  return json_object_get_string (value);
}

int64_t
json_int (struct json_object *object, const char *key, int64_t otherwise)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value) || !value)
    return otherwise;
  return json_object_get_int64 (value);
}

struct json_object *
json_array (struct json_object *object, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_array))
    return NULL;
  return value;
}

/* The next argument as a JSON value of TYPE. */
static struct json_object *
json_argument (char type, va_list *arguments)
{
  switch (type)
    {
    case 's':
      return json_object_new_string (va_arg (*arguments, const char *));
    case 'i':
      return json_object_new_int64 (va_arg (*arguments, int64_t));
    case 'b':
      return json_object_new_boolean (va_arg (*arguments, int));
    default:
      return va_arg (*arguments, struct json_object *);
    }
}

struct json_object *
json_put (struct json_object *object, ...)
{
  va_list arguments;
  const char *key;

  object = object ? object : json_object_new_object ();
  va_start (arguments, object);
  while ((key = va_arg (arguments, const char *)) != NULL)
    {
      char type = (char)va_arg (arguments, int);

      json_object_object_add (object, key, json_argument (type, &arguments));
    }
  va_end (arguments);
  return object;
}
