#include "soak-store.h"
#include "callerconn.h"
#include "httpjson.h"

#include <stdlib.h>
#include <string.h>

struct item
{
  char *value; /* as it is sent: base64 */
  uint64_t revision;
  uint64_t lease;
};

struct change
{
  char *key;
  char *value; /* NULL: removed */
  uint64_t revision;
};

struct lease
{
  int64_t ttl_ns;
  int64_t end_ns;
};

struct watch
{
  struct list node;
  struct callerconn *conn;
  char *prefix;
  uint64_t after;
  int64_t end_ns;
};

static void
item_free (void *data)
{
  struct item *item = data;

  g_free (item->value);
  g_free (item);
}

static void
change_free (void *data)
{
  struct change *change = data;

  g_free (change->key);
  g_free (change->value);
  g_free (change);
}

static void
watch_free (struct watch *watch)
{
  list_remove (&watch->node);
  g_free (watch->prefix);
  g_free (watch);
}

static void
answer (const struct soak_store *store, struct callerconn *conn, int status,
        struct json_object *body)
{
  const char *text
      = body != NULL ? json_object_to_json_string_ext (body, 0) : "{}";
  char lines[80];

  g_snprintf (lines, sizeof lines,
              "Content-Type: application/json\r\nStore-Era: %u\r\n",
              store->era);
  callerconn_respond (conn, status, lines, text, strlen (text));
  json_object_put (body);
}

static struct json_object *
item_object (const char *key, const struct item *item)
{
  struct json_object *object = json_object_new_object ();

  json_add_text (object, "key", key);
  json_add_text (object, "value", item->value);
  json_add_uint (object, "modRevision", item->revision);
  json_add_uint (object, "lease", item->lease);
  return object;
}

/* VALUE is as it is sent; NULL removes the key. */
static void
item_write (struct soak_store *store, const char *key, const char *value,
            uint64_t lease)
{
  struct change *change = g_new0 (struct change, 1);

  change->key = g_strdup (key);
  change->value = g_strdup (value);
  change->revision = ++store->revision;
  g_ptr_array_add (store->history, change);
  if (value == NULL)
    g_hash_table_remove (store->items, key);
  else
    {
      struct item *item = g_new0 (struct item, 1);

      item->value = g_strdup (value);
      item->revision = store->revision;
      item->lease = lease;
      g_hash_table_replace (store->items, g_strdup (key), item);
    }
}

static struct json_object *
changes_after (const struct soak_store *store, const char *prefix,
               uint64_t after)
{
  struct json_object *events = json_object_new_array ();

  for (guint i = 0; i < store->history->len; i++)
    {
      const struct change *change = store->history->pdata[i];
      struct json_object *object;

      if (change->revision <= after || !g_str_has_prefix (change->key, prefix))
        continue;
      object = json_object_new_object ();
      json_add_text (object, "key", change->key);
      json_add_uint (object, "modRevision", change->revision);
      if (change->value != NULL)
        json_add_text (object, "value", change->value);
      else
        json_object_object_add (object, "deleted",
                                json_object_new_boolean (true));
      json_object_array_add (events, object);
    }
  return events;
}

/* @return whether WATCH was answered */
static bool
watch_advance (struct soak_store *store, struct watch *watch)
{
  struct json_object *body;
  struct json_object *events;

  if (watch->after < store->forgotten || watch->after > store->revision)
    {
      answer (store, watch->conn, 410, NULL);
      watch_free (watch);
      return true;
    }
  events = changes_after (store, watch->prefix, watch->after);
  if (json_object_array_length (events) == 0
      && clock_now (&store->soak->clock) < watch->end_ns)
    {
      json_object_put (events);
      return false;
    }
  body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  json_add_uint (body, "at", store->revision);
  answer (store, watch->conn, 200, body);
  watch_free (watch);
  return true;
}

static void
watches_advance (struct soak_store *store)
{
  struct list *node = store->watches.next;

  while (node != &store->watches)
    {
      struct watch *watch = LIST_ENTRY (node, struct watch, node);

      node = node->next;
      watch_advance (store, watch);
    }
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

static void
range_answer (struct soak_store *store, struct callerconn *conn,
              const char *prefix)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *items = json_object_new_array ();
  GHashTableIter iter;
  gpointer key, item;

  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, &key, &item))
    if (g_str_has_prefix (key, prefix))
      json_object_array_add (items, item_object (key, item));
  json_object_object_add (body, "items", items);
  json_add_uint (body, "at", store->revision);
  answer (store, conn, 200, body);
}

static void
watch_begin (struct soak_store *store, struct callerconn *conn)
{
  struct watch *watch = g_new0 (struct watch, 1);
  char *after = query_value (conn->target->str, "after");
  char *wait = query_value (conn->target->str, "waitMs");

  watch->conn = conn;
  conn->owner_data = watch;
  watch->prefix = query_value (conn->target->str, "prefix");
  watch->after = strtoull (after, NULL, 10);
  watch->end_ns
      = clock_now (&store->soak->clock) + strtoll (wait, NULL, 10) * NS_PER_MS;
  list_append (&store->watches, &watch->node);
  watch_advance (store, watch);
  g_free (after);
  g_free (wait);
}

static bool
conditions_hold (const struct soak_store *store, struct json_object *request)
{
  size_t count;
  struct json_object *rows = json_field_array (request, "expected", &count);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      const struct item *item
          = g_hash_table_lookup (store->items, json_field_text (row, "key"));

      if ((item != NULL ? item->revision : 0)
          != json_field_uint (row, "modRevision"))
        return false;
    }
  return true;
}

static bool
leases_live (const struct soak_store *store, struct json_object *request)
{
  size_t count;
  struct json_object *rows = json_field_array (request, "puts", &count);

  for (size_t i = 0; i < count; i++)
    {
      uint64_t lease
          = json_field_uint (json_object_array_get_idx (rows, i), "lease");

      if (lease != 0
          && !g_hash_table_contains (store->leases, GSIZE_TO_POINTER (lease)))
        return false;
    }
  return true;
}

static int
transaction (struct soak_store *store, struct json_object *request)
{
  size_t count;
  struct json_object *rows;

  if (!conditions_hold (store, request))
    return 412;
  if (!leases_live (store, request))
    return 404;
  rows = json_field_array (request, "puts", &count);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);

      item_write (store, json_field_text (row, "key"),
                  json_field_text (row, "value"),
                  json_field_uint (row, "lease"));
    }
  rows = json_field_array (request, "remove", &count);
  for (size_t i = 0; i < count; i++)
    item_write (store,
                json_object_get_string (json_object_array_get_idx (rows, i)),
                NULL, 0);
  return 200;
}

static int
lease_grant (struct soak_store *store, struct json_object *request,
             struct json_object *body)
{
  struct lease *lease = g_new0 (struct lease, 1);

  lease->ttl_ns = (int64_t)json_field_uint (request, "ttlMs") * NS_PER_MS;
  lease->end_ns = clock_now (&store->soak->clock) + lease->ttl_ns;
  g_hash_table_insert (store->leases, GSIZE_TO_POINTER (++store->last_lease),
                       lease);
  json_add_uint (body, "lease", store->last_lease);
  json_add_uint (body, "ttlMs", (uint64_t)(lease->ttl_ns / NS_PER_MS));
  return 200;
}

static void
lease_end (struct soak_store *store, uint64_t number)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key, item;

  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, &key, &item))
    if (((struct item *)item)->lease == number)
      g_ptr_array_add (keys, g_strdup (key));
  for (guint i = 0; i < keys->len; i++)
    item_write (store, keys->pdata[i], NULL, 0);
  g_ptr_array_free (keys, TRUE);
  g_hash_table_remove (store->leases, GSIZE_TO_POINTER (number));
}

static int
lease_call (struct soak_store *store, const char *path)
{
  uint64_t number = strtoull (strrchr (path, '/') + 1, NULL, 10);
  struct lease *lease
      = g_hash_table_lookup (store->leases, GSIZE_TO_POINTER (number));

  if (lease == NULL)
    return 404;
  if (g_str_has_prefix (path, "/kv-keep/"))
    lease->end_ns = clock_now (&store->soak->clock) + lease->ttl_ns;
  else
    lease_end (store, number);
  return 200;
}

static void
write_call (struct soak_store *store, struct callerconn *conn)
{
  const char *path = conn->target->str;
  GString *text = g_string_new_len ((const char *)conn->body->data,
                                    (gssize)conn->body->len);
  struct json_object *request = json_tokener_parse (text->str);
  struct json_object *body = json_object_new_object ();
  int status;

  if (strcmp (path, "/kv-txn") == 0)
    status = transaction (store, request);
  else if (strcmp (path, "/kv-lease") == 0)
    status = lease_grant (store, request, body);
  else
    status = lease_call (store, path);
  json_add_uint (body, "modRevision", store->revision);
  if (rng_uniform (&store->soak->rng) < store->lost)
    {
      json_object_put (body);
      callerconn_abort (conn);
    }
  else
    answer (store, conn, status, body);
  json_object_put (request);
  g_string_free (text, TRUE);
  watches_advance (store);
}

static void
store_request (void *data, struct callerconn *conn)
{
  struct soak_store *store = data;
  const char *target = conn->target->str;
  char *name;

  if (store->down || store->is_away)
    {
      answer (store, conn, 503, NULL);
      return;
    }
  if (strcmp (callerconn_method (conn), "GET") != 0)
    {
      write_call (store, conn);
      return;
    }
  if (g_str_has_prefix (target, "/kv-watch?"))
    {
      watch_begin (store, conn);
      return;
    }
  name = query_value (
      target, g_str_has_prefix (target, "/kv-range?") ? "prefix" : "key");
  if (g_str_has_prefix (target, "/kv-range?"))
    range_answer (store, conn, name);
  else if (g_hash_table_contains (store->items, name))
    answer (store, conn, 200,
            item_object (name, g_hash_table_lookup (store->items, name)));
  else
    answer (store, conn, 404, NULL);
  g_free (name);
}

static void
store_gone (void *data, struct callerconn *conn)
{
  watch_free (conn->owner_data);
}

static void
store_refused (void *data, struct callerconn *conn, int status,
               const char *reason)
{
  struct soak_store *store = data;

  soak_violation (store->soak, "the store was sent bad HTTP: %s", reason);
}

static const struct callerserver_ops store_ops
    = { store_request, store_gone, store_refused, NULL };

void
soak_store_init (struct soak_store *store, struct soak *soak, uint16_t port)
{
  struct error error;

  memset (store, 0, sizeof *store);
  store->soak = soak;
  store->era = 1;
  store->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, item_free);
  store->leases
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  store->history = g_ptr_array_new_with_free_func (change_free);
  list_init (&store->watches);
  if (callerserver_init (&store->server, &soak->loop, &soak->clock, SOAK_IP,
                         port, &store_ops, store, &error)
      != STATUS_OK)
    g_error ("%s", error.message);
  store->server.limits
      = (struct callerconn_limits){ 1 << 16, 1 << 20, 10 * NS_PER_S,
                                    120 * NS_PER_S };
}

static void
backup_free (struct soak_store *store)
{
  if (store->backup_items == NULL)
    return;
  g_hash_table_destroy (store->backup_items);
  g_hash_table_destroy (store->backup_leases);
  store->backup_items = store->backup_leases = NULL;
}

void
soak_store_finish (struct soak_store *store)
{
  backup_free (store);
  callerserver_finish (&store->server);
  while (!list_empty (&store->watches))
    watch_free (LIST_ENTRY (store->watches.next, struct watch, node));
  g_hash_table_destroy (store->items);
  g_hash_table_destroy (store->leases);
  g_ptr_array_free (store->history, TRUE);
}

void
soak_store_tick (struct soak_store *store)
{
  int64_t now = clock_now (&store->soak->clock);
  GHashTableIter iter;
  gpointer number, lease;
  bool ended;

  do
    {
      ended = false;
      g_hash_table_iter_init (&iter, store->leases);
      while (!ended && g_hash_table_iter_next (&iter, &number, &lease))
        if (((struct lease *)lease)->end_ns <= now && !store->down
            && !store->is_away)
          {
            lease_end (store, GPOINTER_TO_SIZE (number));
            ended = true;
          }
    }
  while (ended);
  watches_advance (store);
}

void
soak_store_put (struct soak_store *store, const char *key, const char *value)
{
  char *encoded = value != NULL
                      ? g_base64_encode ((const guchar *)value, strlen (value))
                      : NULL;

  item_write (store, key, encoded, 0);
  g_free (encoded);
  watches_advance (store);
}

void
soak_store_compact (struct soak_store *store)
{
  store->forgotten = store->revision;
  g_ptr_array_set_size (store->history, 0);
  watches_advance (store);
}

void
soak_store_back_up (struct soak_store *store)
{
  GHashTableIter iter;
  gpointer key, value;

  backup_free (store);
  store->backup_revision = store->revision;
  store->backup_last_lease = store->last_lease;
  store->backup_items
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, item_free);
  store->backup_leases
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct item *item = g_memdup2 (value, sizeof *item);

      item->value = g_strdup (item->value);
      g_hash_table_insert (store->backup_items, g_strdup (key), item);
    }
  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (store->backup_leases, key,
                         g_memdup2 (value, sizeof (struct lease)));
}

/* The leases of the backup run anew. */
static void
leases_renew (struct soak_store *store)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct lease *)value)->end_ns
        = clock_now (&store->soak->clock) + ((struct lease *)value)->ttl_ns;
}

void
soak_store_restore (struct soak_store *store)
{
  while (!list_empty (&store->watches))
    {
      struct watch *watch
          = LIST_ENTRY (store->watches.next, struct watch, node);

      callerconn_abort (watch->conn);
      watch_free (watch);
    }
  g_hash_table_destroy (store->items);
  g_hash_table_destroy (store->leases);
  store->items = store->backup_items;
  store->leases = store->backup_leases;
  store->backup_items = store->backup_leases = NULL;
  leases_renew (store);
  store->revision = store->backup_revision;
  store->last_lease = store->backup_last_lease;
  store->forgotten = MIN (store->forgotten, store->revision);
  while (store->history->len > 0
         && ((struct change *)store->history->pdata[store->history->len - 1])
                    ->revision
                > store->revision)
    g_ptr_array_set_size (store->history, (gint)store->history->len - 1);
  store->era++;
}
