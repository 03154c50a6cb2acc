#include "ordershard.h"

#include <string.h>

#define SYNC_INTERVAL_NS (NS_PER_S)
#define POLL_INTERVAL_NS (500 * NS_PER_MS)
/* Maximum delivery timeout of an order: the time that enginehttp.c waits
 * for the reply. A short lease lowers the timeout. */
#define DELIVERY_MAX_NS (2 * NS_PER_S)
#define LOAD_MAX_NS (2 * NS_PER_S)
#define RETRY_NS (NS_PER_S)
#define GIVE_UP_NS (30 * NS_PER_S)
#define UNLOAD_GRACE_NS (30 * NS_PER_S)
#define REPORT_MAX_AGE_NS (3 * NS_PER_S)

enum
{
  LEASE_DIVISOR = 5, /* Delivery and load of an order may each take at most
                        this fraction (1/5) of the lease time. */
  /* Limit on concurrent weight loads of a service if none is declared. */
  LOAD_LIMIT_DEFAULT = 1
};

/* An engine of a partition that this shard owns. */
struct owned_engine
{
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX];
  int64_t reported_ns;
  bool load_call_in_flight;
  bool listed; /* Whether sync_engines found the engine on the host list. */
};

/* A call to an engine that has no reply yet. */
struct control_call
{
  struct ordershard *orders;
  uint64_t attempt; /* Number of the attempt to send an order; 0 if the call is
                       not an order. */
  char name[HOSTLIST_TEXT_MAX];
};

static const struct
{
  enum event event;
  const char *labels;
} event_infos[ORDERISSUER_EVENT_COUNT] = {
  [ORDERISSUER_EVENT_SENT] = { EVENT_ORDER_SENT, "what=\"sent\"" },
  [ORDERISSUER_EVENT_DONE] = { EVENT_ORDER_DONE, "what=\"done\"" },
  [ORDERISSUER_EVENT_REFUSED] = { EVENT_ORDER_REFUSED, "what=\"refused\"" },
  [ORDERISSUER_EVENT_WAITING] = { EVENT_ORDER_WAITING, "what=\"waiting\"" },
  [ORDERISSUER_EVENT_GIVEN_UP] = { EVENT_ORDER_GIVEN_UP, "what=\"given_up\"" },
};

static struct control_call *
control_call_new (struct ordershard *orders, const char *name,
                  uint64_t attempt)
{
  struct control_call *call = g_new0 (struct control_call, 1);

  call->orders = orders;
  call->attempt = attempt;
  g_strlcpy (call->name, name, sizeof call->name);
  return call;
}

static void
order_reply_received (void *data, enum status status, uint64_t highest_fencing)
{
  struct control_call *call = data;

  orderissuer_reply_received (&call->orders->issuer, call->name, call->attempt,
                              status);
  g_free (call);
}

static void
send_order (void *data, const char *name, uint64_t attempt,
            const struct engine_order *what)
{
  struct ordershard *orders = data;
  struct engineclient *client = &orders->process->enginehttp.client;
  const struct owned_engine *engine
      = g_hash_table_lookup (orders->engines, name);

  if (engine == NULL)
    return;
  log_event (&orders->process->log, EVENT_ORDER_SENT,
             "engine=%s order=%s fencing=%" G_GUINT64_FORMAT, name, what->id,
             what->fencing_token);
  client->ops->send_order (client, engine->address, what, order_reply_received,
                           control_call_new (orders, name, attempt));
}

static void
record_event (void *data, enum orderissuer_event event, const char *name,
              const char *detail)
{
  struct ordershard *orders = data;

  metrics_add (&orders->process->metrics, "orders", event_infos[event].labels,
               1);
  if (event == ORDERISSUER_EVENT_WAITING)
    log_event (&orders->process->log, event_infos[event].event,
               "engine=%s reason=%s", name, detail);
  else if (event != ORDERISSUER_EVENT_SENT)
    log_event (&orders->process->log, event_infos[event].event,
               "engine=%s order=%s", name, detail);
}

static const struct orderissuer_ops issuer_ops = { send_order, record_event };

static void
load_reply_received (void *data, enum status status,
                     const struct engine_load *load)
{
  struct control_call *call = data;
  struct owned_engine *engine
      = g_hash_table_lookup (call->orders->engines, call->name);

  if (engine != NULL)
    engine->load_call_in_flight = false;
  if (status == STATUS_OK)
    ordershard_load_received (call->orders, call->name, load);
  g_free (call);
}

/* Poll the engines whose load was not received within POLL_INTERVAL_NS, by
 * the shard's watch or by a poll. */
static void
poll_reports (struct ordershard *orders, int64_t now)
{
  struct engineclient *client = &orders->process->enginehttp.client;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, orders->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_engine *engine = value;

      if (engine->load_call_in_flight
          || now - engine->reported_ns < POLL_INTERVAL_NS)
        continue;
      engine->load_call_in_flight = true;
      client->ops->get_load (client, engine->address, false,
                             load_reply_received,
                             control_call_new (orders, engine->name, 0));
    }
}

/* The engines of a service share its permits, so a limit declared for the
 * service has priority over one declared for the engine. */
static unsigned
service_load_limit (const struct config *config,
                    const struct hostlist_entry *host)
{
  const struct declaration *row
      = config_backend_server (config, host->service, host->service);

  if (row == NULL)
    row = config_backend_server (config, host->name, host->service);
  return row == NULL || row->load_limit < 1 ? LOAD_LIMIT_DEFAULT
                                            : (unsigned)row->load_limit;
}

static void
engine_sync (struct ordershard *orders, const struct hostlist_entry *host)
{
  const struct config *config = orders->process->configstore.config;
  const struct declaration *row
      = config_backend_server (config, host->name, host->service);
  struct owned_engine *engine
      = g_hash_table_lookup (orders->engines, host->name);
  struct orderissuer_engine declared = {
    .name = host->name,
    .service = host->service,
    .role = "",
    .checks_fencing = row != NULL && row->fencing == 1,
    .load_limit = service_load_limit (config, host),
  };

  if (engine == NULL)
    {
      engine = g_new0 (struct owned_engine, 1);
      g_strlcpy (engine->name, host->name, sizeof engine->name);
      g_hash_table_insert (orders->engines, engine->name, engine);
    }
  g_strlcpy (engine->address, host->address, sizeof engine->address);
  engine->listed = true;
  orderissuer_engine_set (&orders->issuer, &declared);
}

static bool
issues_orders_to (const struct ordershard *orders,
                  const struct hostlist_entry *host)
{
  unsigned partition = owner_partition_of_key (
      "engine", host->name, orders->owner->settings.partition_count);

  return host->kind == HOSTLIST_ENGINE && !host->leaving
         && owner_holds (orders->owner, partition, NULL);
}

static int
remove_if_unlisted (void *key, void *value, void *data)
{
  struct ordershard *orders = data;
  struct owned_engine *engine = value;
  bool listed = engine->listed;

  engine->listed = false;
  if (!listed)
    orderissuer_engine_remove (&orders->issuer, engine->name);
  return !listed;
}

static void
sync_engines (struct ordershard *orders)
{
  const struct hostlist *hosts = &orders->process->hostlist.hostlist;

  for (size_t i = 0; i < hosts->count; i++)
    if (issues_orders_to (orders, &hosts->entries[i]))
      engine_sync (orders, &hosts->entries[i]);
  g_hash_table_foreach_remove (orders->engines, remove_if_unlisted, orders);
  metrics_set (&orders->process->metrics, "order_engines", "",
               (double)g_hash_table_size (orders->engines));
  metrics_set (&orders->process->metrics, "order_kv_calls", "",
               (double)orders->issuer.permit_kv_calls);
}

void
ordershard_init (struct ordershard *orders, struct process *process,
                 struct owner *owner)
{
  int64_t lease_share_ns = owner->settings.lease_ttl_ns / LEASE_DIVISOR;
  struct orderissuer_settings settings = {
    .delivery_timeout_ns = MIN (lease_share_ns, DELIVERY_MAX_NS),
    .load_duration_max_ns = MIN (lease_share_ns, LOAD_MAX_NS),
    .retry_mean_ns = RETRY_NS,
    .give_up_ns = GIVE_UP_NS,
    .unload_grace_ns = UNLOAD_GRACE_NS,
    .report_max_age_ns = REPORT_MAX_AGE_NS,
  };

  memset (orders, 0, sizeof *orders);
  orders->process = process;
  orders->owner = owner;
  orders->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  orderissuer_init (&orders->issuer, &settings, owner, &process->kvbudget.kv,
                    &process->clock, &process->rng, &issuer_ops, orders);
}

void
ordershard_finish (struct ordershard *orders)
{
  orderissuer_finish (&orders->issuer);
  g_hash_table_destroy (orders->engines);
}

void
ordershard_configure (struct ordershard *orders)
{
  orderissuer_configure (&orders->issuer, orders->process->configstore.config);
  orders->configured = true;
  orders->next_sync_ns = 0;
}

void
ordershard_load_received (struct ordershard *orders, const char *name,
                          const struct engine_load *load)
{
  struct owned_engine *engine = g_hash_table_lookup (orders->engines, name);

  if (engine == NULL)
    return;
  engine->reported_ns = clock_now (&orders->process->clock);
  orderissuer_report_received (&orders->issuer, name, load);
}

bool
ordershard_loads_ended (const struct ordershard *orders)
{
  return orderissuer_loads_ended (&orders->issuer);
}

void
ordershard_tick (struct ordershard *orders)
{
  int64_t now = clock_now (&orders->process->clock);

  if (!orders->configured)
    return;
  if (orders->process->stage != PROCESS_SERVING)
    orderissuer_stop (&orders->issuer);
  if (now >= orders->next_sync_ns)
    {
      orders->next_sync_ns = now + SYNC_INTERVAL_NS;
      sync_engines (orders);
    }
  poll_reports (orders, now);
  orderissuer_tick (&orders->issuer);
}
