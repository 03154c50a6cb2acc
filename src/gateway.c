#include "gateway.h"
#include "admission.h"
#include "jsonresponse.h"
#include "filters.h"
#include "grant.h"
#include "poisonguard.h"
#include "operator.h"

#include <string.h>

enum
{
  /* Estimated number of bytes of prompt text per token. */
  PROMPT_BYTES_PER_TOKEN = 4
};

static const struct refusal not_found
    = { 404, "unknown_path", "there is nothing at this path", 0 };
static const struct refusal wrong_method
    = { 405, "wrong_method", "this path takes another method", 0 };
static const struct refusal header_too_long
    = { 431, "header_too_long", "the header is over the limit", 0 };

static bool
is_post (struct httpserver_request *http)
{
  return strcmp (httpserver_request_method (http), "POST") == 0;
}

static bool
may_be_named (const struct roster_entry *entry)
{
  return entry->role == ROLE_GATEWAY && entry->alive && !entry->leaving;
}

/* Whether a gateway has announced a revision, and so that it is ready. */
static bool
any_gateway_is_ready (const struct roster *roster)
{
  for (size_t i = 0; i < roster->count; i++)
    if (may_be_named (&roster->entries[i])
        && roster->entries[i].config_revision > 0)
      return true;
  return false;
}

/* List the gateways that are ready. If none is, list all, since an empty list
 * would keep callers away until it has expired. */
static void
add_entries (struct gateway *gateway, struct json_object *list,
             const char *data_centre, bool same_data_centre)
{
  const struct roster *roster = &gateway->process.roster;
  bool only_ready = any_gateway_is_ready (roster);

  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *entry = &roster->entries[i];
      struct json_object *object;

      if (!may_be_named (entry) || (only_ready && entry->config_revision == 0)
          || (strcmp (entry->data_centre, data_centre) == 0)
                 != same_data_centre)
        continue;
      object = json_object_new_object ();
      json_add_text (object, "address", entry->http_address);
      json_add_text (object, "data_centre", entry->data_centre);
      json_object_array_add (list, object);
    }
}

/* List the addresses of gateways that callers may use, those in the caller's
 * data centre first. */
static void
serve_entries (struct gateway *gateway, struct httpserver_request *http)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  const char *query = httpserver_request_query (http);
  const char *data_centre = gateway->settings->process.data_centre;

  if (strncmp (query, "data_centre=", 12) == 0)
    data_centre = query + 12;
  add_entries (gateway, list, data_centre, true);
  add_entries (gateway, list, data_centre, false);
  json_object_object_add (object, "entries", list);
  json_add_uint (
      object, "lifetime_ms",
      (uint64_t)(gateway->settings->entries.lifetime_ns / NS_PER_MS));
  jsonresponse_send (http, 200, object);
}

static void
serve_completion (struct gateway *gateway, struct httpserver_request *http,
                  const char *path)
{
  if (!is_post (http))
    jsonresponse_send_error (http, &wrong_method);
  else
    request_begin (gateway, http, REQUEST_COMPLETION, path);
}

static void
serve_request (void *data, struct httpserver_request *http)
{
  static const char services[] = "/v1/services/";
  struct gateway *gateway = data;
  const char *path = httpserver_request_path (http);
  size_t header_limit = (size_t)gateway->settings->limits.header_bytes;

  if (httpserver_request_header_size (http) > header_limit)
    jsonresponse_send_error (http, &header_too_long);
  else if (process_serve_common (&gateway->process, http))
    return;
  else if (strcmp (path, "/v1/entries") == 0)
    serve_entries (gateway, http);
  else if (strcmp (path, "/v1/completions") == 0
           || strcmp (path, "/v1/chat/completions") == 0)
    serve_completion (gateway, http, path);
  else if (strncmp (path, services, sizeof services - 1) == 0)
    request_begin (gateway, http, REQUEST_SERVICE, path + sizeof services - 1);
  else if (!operator_serve (gateway, http, path))
    jsonresponse_send_error (http, &not_found);
}

static void
serve_peer_request (void *data, struct peer_conn *conn,
                    const Peer__Envelope *request)
{
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Refused refused = PEER__REFUSED__INIT;

  refused.code = "not_a_shard";
  refused.message = "a gateway does not answer this";
  reply.body_case = PEER__ENVELOPE__BODY_REFUSED;
  reply.refused = &refused;
  peer_conn_reply (conn, request->request_id, &reply);
}

/* A request that ends may start or end others, which changes the list of
 * requests. The loop therefore goes over a copy of the serials. */
static void
tick_requests (struct gateway *gateway)
{
  int64_t now = clock_now (&gateway->process.clock);

  g_array_set_size (gateway->tick_serials, 0);
  for (struct list *at = gateway->requests.next; at != &gateway->requests;
       at = at->next)
    g_array_append_val (gateway->tick_serials,
                        LIST_ENTRY (at, struct request, node)->serial);
  for (guint i = 0; i < gateway->tick_serials->len; i++)
    {
      struct request *request = g_hash_table_lookup (
          gateway->requests_by_serial,
          &g_array_index (gateway->tick_serials, uint64_t, i));

      if (request != NULL)
        dispatch_tick (request, now);
    }
}

static void
tick (void *data)
{
  struct gateway *gateway = data;

  backends_tick (&gateway->backends);
  for (int type = 0; type < REQUEST_TYPE_COUNT; type++)
    admit_tick (&gateway->admit[type]);
  tick_requests (gateway);
  grant_tick (gateway);
  poisonguard_tick (gateway);
}

static void
notice_received (void *data, const char *server, const char *seen_by)
{
  struct gateway *gateway = data;
  const struct backend *backend
      = backends_find (&gateway->backends, roster_id_from_name (server));

  if (backend != NULL)
    backends_report_evidence (&gateway->backends, backend, HEALTH_PEER_NOTICE);
}

static int64_t
count_live_gateways (const struct roster *roster)
{
  int64_t count = 0;

  for (size_t i = 0; i < roster->count; i++)
    count
        += roster->entries[i].role == ROLE_GATEWAY && roster->entries[i].alive;
  return count > 0 ? count : 1;
}

/* Exports get a fixed share of the bandwidth of a store's network link; the
 * live gateways share the rest equally. The bucket of a link holds one block,
 * because an urgent import can't overtake transfers that have begun. */
static void
update_store_links (struct gateway *gateway)
{
  const struct settings *settings = gateway->settings;
  const struct hostlist *hostlist = &gateway->process.hostlist.hostlist;
  int64_t block = settings->placement.piece_tokens
                  * settings->placement.piece_bytes_per_token;
  int64_t rate
      = (int64_t)((double)settings->stores.link_bytes_per_s
                  * (1 - settings->export.link_share)
                  / (double)count_live_gateways (&gateway->process.roster))
        + 1;

  for (size_t i = 0; i < hostlist->count; i++)
    {
      const struct hostlist_entry *entry = &hostlist->entries[i];
      uint64_t id = roster_id_from_name (entry->name);
      struct linkbudget *link = place_find_link_budget (&gateway->place, id);

      if (entry->kind != HOSTLIST_STORE)
        continue;
      if (entry->leaving)
        place_remove_link_budget (&gateway->place, id);
      else if (link == NULL)
        place_set_link_budget (&gateway->place, id, rate, block);
      else if (link->configured_rate != rate)
        linkbudget_set_rate (link, rate);
    }
}

static void
hosts_changed (void *data)
{
  struct gateway *gateway = data;

  backends_update_hosts (&gateway->backends);
  update_store_links (gateway);
}

static void
configured (void *data)
{
  struct gateway *gateway = data;

  config_unref (gateway->config);
  gateway->config = config_ref (gateway->process.configstore.config);
  admission_configure (gateway);
  backends_set_config (&gateway->backends, gateway->config);
}

static size_t
count_unfinished (void *data)
{
  struct gateway *gateway = data;

  return gateway->request_count + grant_has_pending (gateway);
}

static bool
is_ready (void *data)
{
  struct gateway *gateway = data;

  return gateway->config != NULL && gateway->backends.engines_known;
}

static const struct process_role gateway_role
    = { serve_request, serve_peer_request, tick, hosts_changed, configured,
        is_ready,      count_unfinished };

static void
init_place (struct gateway *gateway)
{
  static const char *const policies[] = {
    [POLICY_COST] = "cost",
    [POLICY_ROUND_ROBIN] = "round_robin",
    [POLICY_LEAST_LOADED] = "least_loaded",
    [POLICY_PREFIX_AFFINITY] = "prefix_affinity",
  };
  const struct settings *settings = gateway->settings;
  struct place_settings place = place_settings_default;

  place.plan.token_price_s = settings->placement.price_per_recomputed_token_s;
  place.plan.byte_price_s = settings->placement.price_per_link_byte_s;
  place_init (&gateway->place, &gateway->backends.load,
              &gateway->process.clock, &gateway->process.rng, &place,
              place_policy_find (policies[settings->placement.policy]));
}

static void
init_retry (struct gateway *gateway)
{
  const struct settings *settings = gateway->settings;
  struct retry_settings retry = {
    .budget_share = settings->retry.budget_share,
    .servers_max = (unsigned)settings->retry.backends_max,
    .backoff_base_ns = settings->retry.backoff_base_ns,
    .backoff_max_ns = settings->retry.backoff_max_ns,
  };

  retry_init (&gateway->retry, &retry, &gateway->process.clock,
              &gateway->process.rng);
}

enum status
gateway_init (struct gateway *gateway, const struct settings *settings,
              struct error *error)
{
  enum status status;

  memset (gateway, 0, sizeof *gateway);
  gateway->settings = settings;
  list_init (&gateway->requests);
  gateway->tick_serials = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  gateway->requests_by_serial = g_hash_table_new (g_int64_hash, g_int64_equal);
  memcpy (gateway->block_key.bytes, settings->blocks.hash_key,
          sizeof gateway->block_key.bytes);
  gateway->block_bytes
      = (size_t)settings->placement.piece_tokens * PROMPT_BYTES_PER_TOKEN;
  status = process_init (&gateway->process, settings, &gateway_role, gateway,
                         error);
  if (status != STATUS_OK)
    return status;
  gateway->process.notice_received = notice_received;
  backends_init (&gateway->backends, &gateway->process);
  init_place (gateway);
  init_retry (gateway);
  admission_init (gateway);
  grant_init (gateway);
  poisonguard_init (gateway);
  return STATUS_OK;
}

void
gateway_run (struct gateway *gateway)
{
  process_run (&gateway->process);
}

void
gateway_finish (struct gateway *gateway)
{
  while (!list_empty (&gateway->requests))
    request_cancel (LIST_ENTRY (gateway->requests.next, struct request, node));
  grant_finish (gateway);
  poisonguard_finish (gateway);
  process_finish (&gateway->process);
  admission_finish (gateway);
  retry_finish (&gateway->retry);
  g_array_unref (gateway->tick_serials);
  place_finish (&gateway->place);
  backends_finish (&gateway->backends);
  config_unref (gateway->config);
  g_hash_table_destroy (gateway->requests_by_serial);
}
