#include "streamorigin.h"
#include "address.h"
#include "rendezvous.h"
#include "streamorigin.pb-c.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Longer than callers wait for a stream. */
  RECORD_LIFE_S = 60,
  QUERY_REPEAT_MS = 40,
  QUERY_TIMEOUT_MS = 150
};

struct record
{
  struct list node;
  uint64_t stream;
  uint64_t software;
  int64_t began_ns;
};

void
streamorigin_init (struct streamorigin *origin, const struct clock *clock,
                   const struct presence *presence,
                   const struct streamorigin_ops *ops, void *data)
{
  memset (origin, 0, sizeof *origin);
  origin->clock = clock;
  origin->presence = presence;
  origin->ops = ops;
  origin->data = data;
  origin->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  list_init (&origin->by_age);
  list_init (&origin->queries);
}

void
streamorigin_finish (struct streamorigin *origin)
{
  while (!list_empty (&origin->queries))
    streamorigin_cancel (
        LIST_ENTRY (origin->queries.next, struct streamorigin_query, node));
  g_hash_table_destroy (origin->records);
}

uint64_t
streamorigin_stream_hash (const char *request_id)
{
  if (request_id == NULL)
    return 0;
  return MAX (XXH3_64bits (request_id, strlen (request_id)), 1U);
}

static void
record_drop (struct streamorigin *origin, struct record *record)
{
  list_remove (&record->node);
  g_hash_table_remove (origin->records, &record->stream);
}

static struct record *
oldest_record (const struct streamorigin *origin)
{
  return LIST_ENTRY (origin->by_age.next, struct record, node);
}

static void
record_add (struct streamorigin *origin, uint64_t stream, uint64_t software)
{
  struct record *record;

  if (stream == 0 || software == 0
      || g_hash_table_contains (origin->records, &stream))
    return;
  if (g_hash_table_size (origin->records) >= STREAMORIGIN_RECORDS_MAX)
    record_drop (origin, oldest_record (origin));
  record = g_new0 (struct record, 1);
  record->stream = stream;
  record->software = software;
  record->began_ns = clock_now (origin->clock);
  list_init (&record->node);
  list_append (&origin->by_age, &record->node);
  g_hash_table_insert (origin->records, &record->stream, record);
}

static void
message_send (const struct streamorigin *origin,
              const Trefoilspar__StreamOrigin *message,
              const struct sockaddr_in *to)
{
  uint8_t bytes[STREAMORIGIN_BYTES_MAX];

  if (trefoilspar__stream_origin__get_packed_size (message) <= sizeof bytes)
    origin->ops->send (origin->data, to, bytes,
                       trefoilspar__stream_origin__pack (message, bytes));
}

struct ranked_host
{
  const struct presence_host *host;
  uint64_t weight;
};

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  const struct ranked_host *left = a;
  const struct ranked_host *right = b;

  return left->weight > right->weight ? -1 : left->weight < right->weight;
}

/* Write the addresses of the other hosts with the highest ranks for STREAM, at
 * most MAX, to ADDRESSES.
 * @return their number */
static unsigned
hosts_for_stream (const struct streamorigin *origin, uint64_t stream,
                  struct sockaddr_in *addresses, unsigned max)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (struct ranked_host));
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, origin->presence->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ranked_host host = { .host = value };
      uint64_t node = XXH3_64bits (host.host->peer, strlen (host.host->peer));

      host.weight = rendezvous_weight (node, &stream, sizeof stream);
      g_array_append_val (ranked, host);
    }
  g_array_sort (ranked, compare_ranks);
  for (guint i = 0; i < ranked->len && count < max; i++)
    if (address_parse (
            g_array_index (ranked, struct ranked_host, i).host->peer,
            &addresses[count])
        == STATUS_OK)
      count++;
  g_array_free (ranked, TRUE);
  return count;
}

void
streamorigin_record (struct streamorigin *origin, uint64_t stream,
                     uint64_t software)
{
  Trefoilspar__StreamOrigin message = TREFOILSPAR__STREAM_ORIGIN__INIT;
  struct sockaddr_in addresses[STREAMORIGIN_COPIES];
  unsigned count
      = hosts_for_stream (origin, stream, addresses, STREAMORIGIN_COPIES);

  record_add (origin, stream, software);
  message.kind = TREFOILSPAR__STREAM_ORIGIN_KIND__RECORD;
  message.stream = stream;
  message.software = software;
  for (unsigned i = 0; i < count; i++)
    message_send (origin, &message, &addresses[i]);
}

uint64_t
streamorigin_find (const struct streamorigin *origin, uint64_t stream)
{
  const struct record *record = g_hash_table_lookup (origin->records, &stream);

  return record != NULL ? record->software : 0;
}

static void
query_send (struct streamorigin *origin, struct streamorigin_query *query)
{
  Trefoilspar__StreamOrigin message = TREFOILSPAR__STREAM_ORIGIN__INIT;

  query->next_send_ns
      = clock_now (origin->clock) + QUERY_REPEAT_MS * NS_PER_MS;
  message.kind = TREFOILSPAR__STREAM_ORIGIN_KIND__QUERY;
  message.stream = query->stream;
  message.service = query->service;
  message.software = query->own_only_software;
  message.number = query->number;
  for (unsigned i = 0; i < query->asked_count; i++)
    if (!query->replied[i])
      message_send (origin, &message, &query->asked[i]);
}

void
streamorigin_query (struct streamorigin *origin,
                    struct streamorigin_query *query, uint64_t stream,
                    uint64_t service,
                    void (*done) (struct streamorigin_query *query,
                                  uint64_t software))
{
  memset (query, 0, sizeof *query);
  query->stream = stream;
  query->service = service;
  query->number = ++origin->query_count;
  query->start_ns = clock_now (origin->clock);
  query->done = done;
  query->own_only_software
      = origin->ops->only_software (origin->data, service);
  query->asked_count = hosts_for_stream (origin, stream, query->asked,
                                         STREAMORIGIN_ASKED_MAX);
  list_init (&query->node);
  list_append (&origin->queries, &query->node);
  query_send (origin, query);
}

void
streamorigin_cancel (struct streamorigin_query *query)
{
  list_remove (&query->node);
}

static void
query_end (struct streamorigin_query *query, uint64_t software)
{
  streamorigin_cancel (query);
  query->done (query, software);
}

/* End QUERY after its last reply or its timeout. That the service has had only
 * one software counts only if no other host has a record of the stream, as far
 * as hosts reply, if one of them does, since the view of a host that is cut
 * off or has stood still may be old, and if neither they nor this host see
 * other software. */
static void
query_end_unrecorded (struct streamorigin *origin,
                      struct streamorigin_query *query)
{
  uint64_t software = query->only_software;

  if (software == 0 && (query->replied_count > 0 || query->asked_count == 0))
    software = query->own_only_software;
  if (query->other_software && software == query->own_only_software)
    software = 0;
  if (!origin->ops->sees_only (origin->data, query->service, software))
    software = 0;
  query_end (query, software);
}

static void
query_answer (struct streamorigin *origin, const struct sockaddr_in *from,
              const Trefoilspar__StreamOrigin *query)
{
  Trefoilspar__StreamOrigin message = TREFOILSPAR__STREAM_ORIGIN__INIT;

  message.kind = TREFOILSPAR__STREAM_ORIGIN_KIND__REPLY;
  message.stream = query->stream;
  message.number = query->number;
  message.software = streamorigin_find (origin, query->stream);
  message.service = origin->ops->only_software (origin->data, query->service);
  message.other_software = query->software != 0
                           && origin->ops->sees_other (
                               origin->data, query->service, query->software);
  message_send (origin, &message, from);
}

static struct streamorigin_query *
open_query (const struct streamorigin *origin, uint32_t number,
            uint64_t stream)
{
  for (struct list *node = origin->queries.next; node != &origin->queries;
       node = node->next)
    {
      struct streamorigin_query *query
          = LIST_ENTRY (node, struct streamorigin_query, node);

      if (query->number == number && query->stream == stream)
        return query;
    }
  return NULL;
}

/* Return the index of the host at FROM among those that QUERY asks, or
 * asked_count. */
static unsigned
asked_index (const struct streamorigin_query *query,
             const struct sockaddr_in *from)
{
  unsigned i = 0;

  while (i < query->asked_count
         && (query->asked[i].sin_addr.s_addr != from->sin_addr.s_addr
             || query->asked[i].sin_port != from->sin_port))
    i++;
  return i;
}

static void
reply_received (struct streamorigin *origin, const struct sockaddr_in *from,
                const Trefoilspar__StreamOrigin *reply)
{
  struct streamorigin_query *query
      = open_query (origin, reply->number, reply->stream);
  unsigned i;

  if (query == NULL)
    return;
  i = asked_index (query, from);
  if (i == query->asked_count || query->replied[i])
    return;
  query->replied[i] = true;
  query->replied_count++;
  query->other_software = query->other_software || reply->other_software;
  if (query->only_software == 0)
    query->only_software = reply->service;
  if (reply->software != 0)
    {
      record_add (origin, reply->stream, reply->software);
      query->recorded = true;
      query_end (query, reply->software);
    }
  else if (query->replied_count == query->asked_count)
    query_end_unrecorded (origin, query);
}

bool
streamorigin_receive (struct streamorigin *origin,
                      const struct sockaddr_in *from, const uint8_t *bytes,
                      size_t size)
{
  Trefoilspar__StreamOrigin *message
      = trefoilspar__stream_origin__unpack (NULL, size, bytes);

  if (message == NULL)
    return false;
  if (message->kind == TREFOILSPAR__STREAM_ORIGIN_KIND__RECORD)
    record_add (origin, message->stream, message->software);
  else if (message->kind == TREFOILSPAR__STREAM_ORIGIN_KIND__QUERY)
    query_answer (origin, from, message);
  else if (message->kind == TREFOILSPAR__STREAM_ORIGIN_KIND__REPLY)
    reply_received (origin, from, message);
  trefoilspar__stream_origin__free_unpacked (message, NULL);
  return true;
}

static void
queries_tick (struct streamorigin *origin, int64_t now)
{
  struct list *node = origin->queries.next;

  while (node != &origin->queries)
    {
      struct streamorigin_query *query
          = LIST_ENTRY (node, struct streamorigin_query, node);

      node = node->next;
      if (query->asked_count == 0
          || now - query->start_ns >= QUERY_TIMEOUT_MS * NS_PER_MS)
        query_end_unrecorded (origin, query);
      else if (now >= query->next_send_ns)
        query_send (origin, query);
    }
}

void
streamorigin_tick (struct streamorigin *origin)
{
  int64_t now = clock_now (origin->clock);

  queries_tick (origin, now);
  while (!list_empty (&origin->by_age)
         && now - oldest_record (origin)->began_ns > RECORD_LIFE_S * NS_PER_S)
    record_drop (origin, oldest_record (origin));
}
