#include "hostlist.h"
#include "address.h"

#include <glib.h>
#include <string.h>

#define HOSTLIST_TIMEOUT_NS (2 * NS_PER_S)

static enum hostlist_kind
read_kind (const char *text)
{
  if (strcmp (text, "engine") == 0)
    return HOSTLIST_ENGINE;
  if (strcmp (text, "service") == 0)
    return HOSTLIST_SERVICE;
  if (strcmp (text, "store") == 0)
    return HOSTLIST_STORE;
  return HOSTLIST_OTHER;
}

static bool
read_text (struct json_object *object, const char *key, char *field)
{
  const char *text = json_field_text (object, key);

  return g_strlcpy (field, text, HOSTLIST_TEXT_MAX) < HOSTLIST_TEXT_MAX;
}

static bool
read_entry (struct json_object *object, struct hostlist_entry *entry)
{
  struct sockaddr_in address;

  if (!read_text (object, "name", entry->name)
      || !read_text (object, "address", entry->address)
      || !read_text (object, "data_centre", entry->data_centre)
      || !read_text (object, "service", entry->service))
    return false;
  entry->kind = read_kind (json_field_text (object, "kind"));
  entry->leaving = strcmp (json_field_text (object, "state"), "leaving") == 0;
  return entry->name[0] != '\0'
         && address_parse (entry->address, &address) == STATUS_OK;
}

static void
response_received (void *data, const struct httpjson_reply *reply)
{
  struct hostlist_http *http = data;
  struct hostlist *hostlist = &http->hostlist;

  http->poll_in_flight = false;
  if (reply->status != STATUS_OK || reply->body == NULL
      || hostlist_parse (hostlist, reply->body) != STATUS_OK)
    return;
  if (hostlist->list_received != NULL)
    hostlist->list_received (hostlist->data);
}

static void
poll_http (struct hostlist *hostlist)
{
  struct hostlist_http *http = (struct hostlist_http *)hostlist;
  struct httpjson_request request = {
    .address = http->address,
    .method = "GET",
    .path = "/v1/hosts",
    .timeout_ns = HOSTLIST_TIMEOUT_NS,
  };

  if (http->poll_in_flight)
    return;
  http->poll_in_flight = true;
  httpjson_call (http->httpjson, &request, response_received, http);
}

static const struct hostlist_ops http_ops = { poll_http };

void
hostlist_http_init (struct hostlist_http *http, struct httpjson *httpjson,
                    const char *address)
{
  memset (http, 0, sizeof *http);
  http->hostlist.ops = &http_ops;
  http->httpjson = httpjson;
  http->address = address;
}

void
hostlist_finish (struct hostlist *hostlist)
{
  g_free (hostlist->entries);
  hostlist->entries = NULL;
  hostlist->count = 0;
  if (hostlist->by_name != NULL)
    g_hash_table_destroy (hostlist->by_name);
  hostlist->by_name = NULL;
}

const struct hostlist_entry *
hostlist_find (const struct hostlist *hostlist, const char *name)
{
  if (hostlist->by_name == NULL)
    return NULL;
  return g_hash_table_lookup (hostlist->by_name, name);
}

enum status
hostlist_parse (struct hostlist *hostlist, struct json_object *object)
{
  size_t count;
  struct json_object *hosts = json_field_array (object, "hosts", &count);
  struct hostlist_entry *entries;
  size_t valid_count = 0;

  if (hosts == NULL)
    return STATUS_CORRUPT;
  entries = g_new0 (struct hostlist_entry, count + 1);
  for (size_t i = 0; i < count; i++)
    if (read_entry (json_object_array_get_idx (hosts, i),
                    &entries[valid_count]))
      valid_count++;
  hostlist_finish (hostlist);
  hostlist->entries = entries;
  hostlist->count = valid_count;
  hostlist->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  /* If two entries have the same name, the first one is used. */
  for (size_t i = valid_count; i-- > 0;)
    g_hash_table_replace (hostlist->by_name, entries[i].name, &entries[i]);
  return STATUS_OK;
}
