#include "stage.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* An item, or a change of one. */
struct item
{
  char *key;
  char *value; /* In base64; NULL: removed. */
  uint64_t revision;
  uint64_t lease;
};

struct lease
{
  double ttl_s;
  double end_s;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *items;  /* Maps keys to struct item. */
static GHashTable *leases; /* Maps numbers to struct lease. */
static GPtrArray *history; /* Of struct item, oldest first. */
static uint64_t revision = 100;
static uint64_t last_lease = 7000;

static void
item_free (void *data)
{
  struct item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static struct item *
item_new (const char *key, const char *value, uint64_t lease)
{
  struct item *item = g_new0 (struct item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = revision;
  item->lease = lease;
  return item;
}

/* VALUE is in base64; NULL removes the key. */
static void
item_write (const char *key, const char *value, uint64_t lease)
{
  struct item *change;

  revision++;
  change = item_new (key, value, lease);
  g_ptr_array_add (history, change);
  if (value == NULL)
    g_hash_table_remove (items, key);
  else
    {
      struct item *item = item_new (key, value, lease);

      g_hash_table_replace (items, item->key, item);
    }
  pthread_cond_broadcast (&changed);
}

/* The door through which the call came that this thread answers. */
static __thread const struct stage_door *current_door;

/* Return the value of ITEM, in base64, as the current door gives it. */
static char *
value_for_door (const struct item *item)
{
  static const char address[] = "127.0.0.1:";
  GString *text;
  const char *found;
  char *value;
  gsize size;

  if (!current_door->relayed || !g_str_has_prefix (item->key, "servers/"))
    return g_strdup (item->value);
  value = (char *)g_base64_decode (item->value, &size);
  text = g_string_new_len (value, (gssize)size);
  g_free (value);
  found = strstr (text->str, address);
  if (found != NULL)
    {
      gssize start = found - text->str + (gssize)strlen (address);
      char *end;
      uint16_t port = (uint16_t)strtoul (text->str + start, &end, 10);
      char *relay = g_strdup_printf ("%u", stage_relay_port (port));

      g_string_erase (text, start, end - (text->str + start));
      g_string_insert (text, start, relay);
      g_free (relay);
    }
  value = g_base64_encode ((const guchar *)text->str, text->len);
  g_string_free (text, TRUE);
  return value;
}

static struct json_object *
item_object (const struct item *item)
{
  char *value;
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "key", json_object_new_string (item->key));
  json_object_object_add (object, "modRevision",
                          json_object_new_uint64 (item->revision));
  if (item->value == NULL)
    {
      json_object_object_add (object, "deleted",
                              json_object_new_boolean (TRUE));
      return object;
    }
  value = value_for_door (item);
  json_object_object_add (object, "value", json_object_new_string (value));
  g_free (value);
  json_object_object_add (object, "lease",
                          json_object_new_uint64 (item->lease));
  return object;
}

static void
body_answer (int fd, int status, struct json_object *body)
{
  stage_answer (fd, status, "Content-Type: application/json\r\n",
                json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN));
  json_object_put (body);
}

static char *
query_value (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  char **pairs = g_strsplit (query != NULL ? query + 1 : "", "&", -1);
  size_t size = strlen (name);
  char *value = NULL;

  for (int i = 0; pairs[i] != NULL && value == NULL; i++)
    if (strncmp (pairs[i], name, size) == 0 && pairs[i][size] == '=')
      value = g_uri_unescape_string (pairs[i] + size + 1, NULL);
  g_strfreev (pairs);
  return value != NULL ? value : g_strdup ("");
}

static struct json_object *
changes_after (const char *prefix, uint64_t after)
{
  struct json_object *events = json_object_new_array ();

  for (guint i = 0; i < history->len; i++)
    {
      const struct item *change = history->pdata[i];

      if (change->revision > after && g_str_has_prefix (change->key, prefix))
        json_object_array_add (events, item_object (change));
    }
  return events;
}

static struct json_object *
watch_wait (const char *prefix, uint64_t after, double wait_s)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *events = changes_after (prefix, after);
  double end_s = stage_seconds () + wait_s;
  struct timespec wake;

  while (json_object_array_length (events) == 0 && stage_seconds () < end_s)
    {
      clock_gettime (CLOCK_REALTIME, &wake);
      wake.tv_sec++;
      pthread_cond_timedwait (&changed, &lock, &wake);
      json_object_put (events);
      events = changes_after (prefix, after);
    }
  json_object_object_add (body, "events", events);
  json_object_object_add (body, "at", json_object_new_uint64 (revision));
  return body;
}

static struct json_object *
range_body (const char *prefix)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *array = json_object_new_array ();
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, items);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (g_str_has_prefix (((struct item *)item)->key, prefix))
      json_object_array_add (array, item_object (item));
  json_object_object_add (body, "items", array);
  json_object_object_add (body, "hasMore", json_object_new_boolean (FALSE));
  json_object_object_add (body, "at", json_object_new_uint64 (revision));
  return body;
}

static void
read_answer (int fd, const char *target)
{
  bool is_key = g_str_has_prefix (target, "/kv-key?");
  char *name = query_value (target, is_key ? "key" : "prefix");
  char *after = query_value (target, "after");
  char *wait = query_value (target, "waitMs");
  struct json_object *body;
  int status = 200;

  pthread_mutex_lock (&lock);
  if (is_key)
    {
      const struct item *item = g_hash_table_lookup (items, name);

      status = item != NULL ? 200 : 404;
      body = item != NULL ? item_object (item) : json_object_new_object ();
    }
  else if (g_str_has_prefix (target, "/kv-watch?"))
    body = watch_wait (name, strtoull (after, NULL, 10),
                       strtod (wait, NULL) / 1000);
  else
    body = range_body (name);
  pthread_mutex_unlock (&lock);
  body_answer (fd, status, body);
  g_free (name);
  g_free (after);
  g_free (wait);
}

static const char *
text_of (struct json_object *object, const char *name)
{
  return json_object_get_string (json_object_object_get (object, name));
}

static uint64_t
number_of (struct json_object *object, const char *name)
{
  return json_object_get_uint64 (json_object_object_get (object, name));
}

static int
transaction_check (struct json_object *expected, struct json_object *puts)
{
  for (size_t i = 0; i < json_object_array_length (expected); i++)
    {
      struct json_object *row = json_object_array_get_idx (expected, i);
      const struct item *item
          = g_hash_table_lookup (items, text_of (row, "key"));

      if ((item != NULL ? item->revision : 0)
          != number_of (row, "modRevision"))
        return 412;
    }
  for (size_t i = 0; i < json_object_array_length (puts); i++)
    {
      uint64_t lease
          = number_of (json_object_array_get_idx (puts, i), "lease");

      if (lease != 0
          && !g_hash_table_contains (leases, GSIZE_TO_POINTER (lease)))
        return 404;
    }
  return 200;
}

static int
transaction (struct json_object *request)
{
  struct json_object *puts = json_object_object_get (request, "puts");
  struct json_object *removals = json_object_object_get (request, "remove");
  int status
      = transaction_check (json_object_object_get (request, "expected"), puts);

  if (status != 200)
    return status;
  for (size_t i = 0; i < json_object_array_length (puts); i++)
    {
      struct json_object *row = json_object_array_get_idx (puts, i);

      item_write (text_of (row, "key"), text_of (row, "value"),
                  number_of (row, "lease"));
    }
  for (size_t i = 0; i < json_object_array_length (removals); i++)
    item_write (
        json_object_get_string (json_object_array_get_idx (removals, i)), NULL,
        0);
  return 200;
}

static void
lease_end (uint64_t number)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, items);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (((struct item *)item)->lease == number)
      g_ptr_array_add (keys, g_strdup (((struct item *)item)->key));
  for (guint i = 0; i < keys->len; i++)
    item_write (keys->pdata[i], NULL, 0);
  g_ptr_array_free (keys, TRUE);
  g_hash_table_remove (leases, GSIZE_TO_POINTER (number));
}

static int
lease_call (const char *method, const char *target)
{
  uint64_t number = strtoull (strrchr (target, '/') + 1, NULL, 10);
  struct lease *lease
      = g_hash_table_lookup (leases, GSIZE_TO_POINTER (number));

  if (lease == NULL)
    return 404;
  if (strcmp (method, "DELETE") == 0)
    lease_end (number);
  else
    lease->end_s = stage_seconds () + lease->ttl_s;
  return 200;
}

static void
write_answer (int fd, const char *method, const char *target,
              const struct stage_message *message)
{
  struct json_object *request = json_tokener_parse (message->body->str);
  struct json_object *body = json_object_new_object ();
  int status = 200;

  pthread_mutex_lock (&lock);
  if (strcmp (target, "/kv-txn") == 0)
    status = transaction (request);
  else if (strcmp (target, "/kv-lease") == 0)
    {
      struct lease *lease = g_new0 (struct lease, 1);

      lease->ttl_s = (double)number_of (request, "ttlMs") / 1000;
      lease->end_s = stage_seconds () + lease->ttl_s;
      g_hash_table_insert (leases, GSIZE_TO_POINTER (++last_lease), lease);
      json_object_object_add (body, "lease",
                              json_object_new_uint64 (last_lease));
      json_object_object_add (
          body, "ttlMs",
          json_object_new_uint64 (number_of (request, "ttlMs")));
    }
  else
    status = lease_call (method, target);
  json_object_object_add (body, "modRevision",
                          json_object_new_uint64 (revision));
  pthread_mutex_unlock (&lock);
  body_answer (fd, status, body);
  json_object_put (request);
}

static bool
store_handle (void *data, int fd, const struct stage_message *request)
{
  struct stage_door *door = data;
  char method[16] = "";
  char target[2048] = "";

  sscanf (request->head, "%15s %2047s", method, target);
  current_door = door;
  if (door->refuses)
    body_answer (fd, 503, json_object_new_object ());
  else if (strcmp (method, "GET") == 0)
    read_answer (fd, target);
  else
    write_answer (fd, method, target, request);
  return true;
}

static void *
leases_expire (void *data)
{
  while (true)
    {
      GHashTableIter iter;
      gpointer number, lease;
      uint64_t ended = 0;

      pthread_mutex_lock (&lock);
      g_hash_table_iter_init (&iter, leases);
      while (ended == 0 && g_hash_table_iter_next (&iter, &number, &lease))
        if (((struct lease *)lease)->end_s <= stage_seconds ())
          ended = GPOINTER_TO_SIZE (number);
      if (ended != 0)
        lease_end (ended);
      pthread_mutex_unlock (&lock);
      if (ended == 0)
        stage_sleep (0.02);
    }
  return data;
}

void
stage_store_start (void)
{
  pthread_t thread;

  items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  leases = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  history = g_ptr_array_new_with_free_func (item_free);
  pthread_create (&thread, NULL, leases_expire, NULL);
}

void
stage_store_put_all (const char *const *keys, const char *const *values,
                     unsigned count)
{
  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < count; i++)
    {
      char *encoded
          = g_base64_encode ((const guchar *)values[i], strlen (values[i]));

      item_write (keys[i], encoded, 0);
      g_free (encoded);
    }
  pthread_mutex_unlock (&lock);
}

void
stage_store_put (const char *key, const char *value)
{
  stage_store_put_all (&key, &value, 1);
}

void
stage_store_remove (const char *key)
{
  pthread_mutex_lock (&lock);
  item_write (key, NULL, 0);
  pthread_mutex_unlock (&lock);
}

void
stage_door_start (struct stage_door *door)
{
  stage_server_init (&door->server, stage_port_find (), store_handle, door);
  stage_server_start (&door->server);
}
