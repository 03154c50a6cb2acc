#include "standin-http.h"
#include "clock.h"
#include "kv.h"
#include "list.h"

#include <string.h>

/** @file
 * Role "kv": the key-value service. Each transaction has one revision. A
 * write under a lease that is not there fails with 409, like a comparison.
 * A waiting watch takes one call a second off the rate.
 *
 * Faults besides the common ones, each for the next N transactions:
 *   drop_after_effect   it takes effect, then the connection is closed
 *   drop_before_effect  the connection is closed, without effect
 */

enum
{
  EXPIRY_MS = 5 /* how often leases are checked */
};

struct entry
{
  char *value;
  uint64_t revision;
  uint64_t lease;
};

struct lease
{
  int64_t ttl_ns;
  int64_t until; /* ns */
};

struct watch
{
  struct list node;
  h2o_req_t *req;
  char *prefix;
  uint64_t after;
  int64_t until; /* ns */
};

static struct
{
  GTree *entries;     /* key to struct entry */
  GHashTable *leases; /* id to struct lease */
  struct list watches;
  int64_t waiting;
  uint64_t revision;
  uint64_t checked; /* the revision up to which watches were answered */
  uint64_t last_lease;
  int64_t limited;
  double allowance; /* calls */
  int64_t refilled; /* ns */
} self;

static int rate;

static const GOptionEntry options[] = {
  { "rate", 0, 0, G_OPTION_ARG_INT, &rate,
    "Calls a second, with a burst of one second; 0: unlimited", "N" },
  { 0 },
};

static const char *const faults[]
    = { "drop_after_effect", "drop_before_effect", NULL };

static int
key_compare (const void *a, const void *b, void *data)
{
  return strcmp (a, b);
}

static void
entry_free (void *data)
{
  struct entry *entry = data;

  g_free (entry->value);
  g_free (entry);
}

static uint64_t
key_revision (const char *key)
{
  const struct entry *entry = g_tree_lookup (self.entries, key);

  return entry ? entry->revision : 0;
}

static struct json_object *
reply_new (void)
{
  return json_put (NULL, "revision", 'i', (int64_t)self.revision, NULL);
}

static void
items_add (struct json_object *items, const char *key,
           const struct entry *entry)
{
  json_object_array_add (items, json_put (NULL, "key", 's', key, "value", 's',
                                          entry->value, "revision", 'i',
                                          (int64_t)entry->revision, NULL));
}

/* The keys with PREFIX that were written after the revision AFTER. */
static struct json_object *
items_under (const char *prefix, uint64_t after)
{
  struct json_object *items = json_object_new_array ();
  GTreeNode *node = g_tree_lower_bound (self.entries, prefix);

  for (; node; node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      const struct entry *entry = g_tree_node_value (node);

      if (!g_str_has_prefix (key, prefix))
        break;
      if (entry->revision > after)
        items_add (items, key, entry);
    }
  return items;
}

static void
items_reply (h2o_req_t *req, struct json_object *items)
{
  http_json (req, 200, json_put (reply_new (), "items", 'o', items, NULL));
}

/* Watches */

static void
watch_answer (struct watch *watch, struct json_object *items)
{
  list_remove (&watch->node);
  self.waiting--;
  items_reply (watch->req, items);
  g_free (watch->prefix);
  g_free (watch);
}

/* Answer the watches that have something to say at the time NOW. */
static void
watches_check (int64_t now)
{
  struct list *node = self.watches.next;
  bool changed = self.revision != self.checked;

  self.checked = self.revision;
  while (node != &self.watches)
    {
      struct watch *watch = LIST_ENTRY (node, struct watch, node);
      struct json_object *items;

      node = node->next;
      if (!changed && watch->until > now)
        continue;
      items = items_under (watch->prefix, watch->after);
      if (json_object_array_length (items) > 0 || watch->until <= now)
        watch_answer (watch, items);
      else
        json_object_put (items);
    }
}

static void
watch_handle (const struct call *call)
{
  const char *prefix = json_string (call->body, "prefix", "");
  uint64_t after = (uint64_t)json_int (call->body, "after", 0);
  struct json_object *items = items_under (prefix, after);
  struct watch *watch;

  if (json_object_array_length (items) > 0)
    {
      items_reply (call->req, items);
      return;
    }
  json_object_put (items);
  watch = g_new0 (struct watch, 1);
  watch->req = call->req;
  watch->prefix = g_strdup (prefix);
  watch->after = after;
  watch->until
      = server_now () + json_int (call->body, "wait_ms", 0) * NS_PER_MS;
  list_append (&self.watches, &watch->node);
  self.waiting++;
}

/* Leases */

static void
lease_end (uint64_t id)
{
  GTreeNode *node = g_tree_node_first (self.entries);
  bool removed = false;

  g_hash_table_remove (self.leases, &id);
  while (node)
    {
      const struct entry *entry = g_tree_node_value (node);
      const char *key = g_tree_node_key (node);

      node = g_tree_node_next (node);
      if (entry->lease == id)
        removed |= g_tree_remove (self.entries, key);
    }
  self.revision += removed;
}

static void
leases_expire (int64_t now)
{
  GHashTableIter iter;
  void *key, *value;
  GArray *lapsed = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_hash_table_iter_init (&iter, self.leases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((struct lease *)value)->until <= now)
      g_array_append_vals (lapsed, key, 1);
  for (guint i = 0; i < lapsed->len; i++)
    lease_end (g_array_index (lapsed, uint64_t, i));
  g_array_free (lapsed, TRUE);
}

static struct lease *
lease_find (uint64_t id)
{
  return g_hash_table_lookup (self.leases, &id);
}

static void
lease_grant (const struct call *call)
{
  struct lease *lease = g_new0 (struct lease, 1);
  uint64_t id = ++self.last_lease;

  lease->ttl_ns = json_int (call->body, "ttl_ms", 0) * NS_PER_MS;
  lease->until = server_now () + lease->ttl_ns;
  g_hash_table_insert (self.leases, g_memdup2 (&id, sizeof id), lease);
  http_json (call->req, 200,
             json_put (reply_new (), "lease", 'i', (int64_t)id, NULL));
}

static void
lease_keepalive (const struct call *call)
{
  struct lease *lease
      = lease_find ((uint64_t)json_int (call->body, "lease", 0));

  if (!lease)
    {
      http_code (call->req, 404, "no_lease");
      return;
    }
  lease->until = server_now () + lease->ttl_ns;
  http_json (call->req, 200, reply_new ());
}

static void
lease_revoke (const struct call *call)
{
  lease_end ((uint64_t)json_int (call->body, "lease", 0));
  http_json (call->req, 200, reply_new ());
}

/* Transactions */

static bool
txn_compares_hold (struct json_object *compares)
{
  size_t count = compares ? json_object_array_length (compares) : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *compare = json_object_array_get_idx (compares, i);

      if (key_revision (json_string (compare, "key", ""))
          != (uint64_t)json_int (compare, "revision", 0))
        return false;
    }
  return true;
}

/* @return 0, or the status to refuse the writes with. */
static int
txn_writes_check (struct json_object *writes)
{
  size_t count = writes ? json_object_array_length (writes) : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *write = json_object_array_get_idx (writes, i);
      uint64_t lease = (uint64_t)json_int (write, "lease", 0);

      if (strlen (json_string (write, "value", "")) > KV_VALUE_MAX)
        return 413;
      if (lease && !lease_find (lease))
        return 409;
    }
  return 0;
}

static void
txn_write (struct json_object *write)
{
  const char *key = json_string (write, "key", "");
  const char *value = json_string (write, "value", NULL);
  struct entry *entry;

  if (!value)
    {
      g_tree_remove (self.entries, key);
      return;
    }
  entry = g_new0 (struct entry, 1);
  entry->value = g_strdup (value);
  entry->revision = self.revision;
  entry->lease = (uint64_t)json_int (write, "lease", 0);
  g_tree_insert (self.entries, g_strdup (key), entry);
}

/* @return the status of the answer. */
static int
txn_apply (struct json_object *body)
{
  struct json_object *writes = json_array (body, "writes");
  size_t count = writes ? json_object_array_length (writes) : 0;
  int status = txn_writes_check (writes);

  if (status != 0)
    return status;
  if (!txn_compares_hold (json_array (body, "compares")))
    return 409;
  if (count > 0)
    self.revision++;
  for (size_t i = 0; i < count; i++)
    txn_write (json_object_array_get_idx (writes, i));
  return 200;
}

static void
txn_handle (const struct call *call)
{
  int status;

  if (fault_take ("drop_before_effect"))
    {
      http_drop (call->req);
      return;
    }
  status = txn_apply (call->body);
  if (fault_take ("drop_after_effect"))
    http_drop (call->req);
  else
    http_json (call->req, status, reply_new ());
  watches_check (server_now ());
}

static void
get_handle (const struct call *call)
{
  const char *key = json_string (call->body, "key", "");
  const struct entry *entry = g_tree_lookup (self.entries, key);
  struct json_object *items = json_object_new_array ();

  if (entry)
    items_add (items, key, entry);
  items_reply (call->req, items);
}

static void
range_handle (const struct call *call)
{
  items_reply (call->req,
               items_under (json_string (call->body, "prefix", ""), 0));
}

static bool
admit (const struct call *call)
{
  int64_t now = server_now ();
  double seconds = (double)(now - self.refilled) / NS_PER_S;
  double refill = (double)MAX (rate - self.waiting, 0) * seconds;

  self.refilled = now;
  self.allowance = MIN (rate, self.allowance + refill);
  if (rate && self.allowance < 1)
    {
      self.limited++;
      http_code (call->req, 429, "rate");
      return false;
    }
  self.allowance--;
  return true;
}

static void
on_expiry (void *data)
{
  int64_t now = server_now ();

  leases_expire (now);
  watches_check (now);
}

static void
start (void)
{
  self.entries = g_tree_new_full (key_compare, NULL, g_free, entry_free);
  self.leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  list_init (&self.watches);
  self.allowance = rate;
  self.refilled = server_now ();
  server_every (EXPIRY_MS, on_expiry, NULL);
}

static const struct route routes[]
    = { { "POST", "/v1/kv/get", get_handle },
        { "POST", "/v1/kv/range", range_handle },
        { "POST", "/v1/kv/txn", txn_handle },
        { "POST", "/v1/kv/lease/grant", lease_grant },
        { "POST", "/v1/kv/lease/keepalive", lease_keepalive },
        { "POST", "/v1/kv/lease/revoke", lease_revoke },
        { "POST", "/v1/kv/watch", watch_handle },
        { 0 } };

static const struct counter counters[]
    = { { "limited", &self.limited }, { "waiting", &self.waiting }, { 0 } };

const struct role role_kv = { .name = "kv",
                              .faults = faults,
                              .options = options,
                              .routes = routes,
                              .counters = counters,
                              .start = start,
                              .admit = admit };
