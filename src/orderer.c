#include "orderer.h"

#include <string.h>

#define SYNC_EVERY_NS (NS_PER_S)
#define POLL_EVERY_NS (500 * NS_PER_MS)
/* As long as the HTTP mapping waits for an order's answer, if the lease
 * allows it. */
#define FLIGHT_MAX_NS (2 * NS_PER_S)
#define LOAD_MAX_NS (2 * NS_PER_S)
#define RETRY_NS (NS_PER_S)
#define GIVE_UP_NS (30 * NS_PER_S)
#define LINGER_NS (30 * NS_PER_S)
#define REPORT_NS (3 * NS_PER_S)

enum
{
  LEASE_PART = 5,        /* of the lease, at most, for flight and for load */
  LOAD_LIMIT_DEFAULT = 1 /* where nothing is declared */
};

/* An engine of a partition that we hold. */
struct ordered_engine
{
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX];
  int64_t reported_ns;
  bool asking;
  bool listed; /* seen by the sync that runs */
};

/* A question to an engine that waits for its answer. */
struct asked
{
  struct orderer *orderer;
  uint64_t number; /* of an order */
  char name[HOSTLIST_TEXT_MAX];
};

static const struct
{
  enum event event;
  const char *labels;
} notes[ORDER_NOTE_COUNT] = {
  [ORDER_NOTE_SENT] = { EVENT_ORDER_SENT, "what=\"sent\"" },
  [ORDER_NOTE_DONE] = { EVENT_ORDER_DONE, "what=\"done\"" },
  [ORDER_NOTE_REFUSED] = { EVENT_ORDER_REFUSED, "what=\"refused\"" },
  [ORDER_NOTE_WAITING] = { EVENT_ORDER_WAITING, "what=\"waiting\"" },
  [ORDER_NOTE_GIVEN_UP] = { EVENT_ORDER_GIVEN_UP, "what=\"given_up\"" },
};

static struct asked *
asked_new (struct orderer *orderer, const char *name, uint64_t number)
{
  struct asked *asked = g_new0 (struct asked, 1);

  asked->orderer = orderer;
  asked->number = number;
  g_strlcpy (asked->name, name, sizeof asked->name);
  return asked;
}

static void
on_order_answered (void *data, enum status status, uint64_t highest_fencing)
{
  struct asked *asked = data;

  order_replied (&asked->orderer->order, asked->name, asked->number, status);
  g_free (asked);
}

static void
on_send (void *data, const char *name, uint64_t number,
         const struct engine_order *what)
{
  struct orderer *orderer = data;
  struct engineclient *client = &orderer->process->enginehttp.client;
  const struct ordered_engine *engine
      = g_hash_table_lookup (orderer->engines, name);

  if (engine == NULL)
    return;
  log_event (&orderer->process->log, EVENT_ORDER_SENT,
             "engine=%s order=%s fencing=%" G_GUINT64_FORMAT, name, what->id,
             what->fencing);
  client->ops->order (client, engine->address, what, on_order_answered,
                      asked_new (orderer, name, number));
}

static void
on_note (void *data, enum order_note note, const char *name, const char *what)
{
  struct orderer *orderer = data;

  metrics_add (&orderer->process->metrics, "orders", notes[note].labels, 1);
  if (note == ORDER_NOTE_WAITING)
    log_event (&orderer->process->log, notes[note].event,
               "engine=%s reason=%s", name, what);
  else if (note != ORDER_NOTE_SENT)
    log_event (&orderer->process->log, notes[note].event, "engine=%s order=%s",
               name, what);
}

static const struct order_ops order_ops = { on_send, on_note };

static void
on_load_answered (void *data, enum status status,
                  const struct engine_load *load)
{
  struct asked *asked = data;
  struct ordered_engine *engine
      = g_hash_table_lookup (asked->orderer->engines, asked->name);

  if (engine != NULL)
    engine->asking = false;
  if (status == STATUS_OK)
    orderer_loaded (asked->orderer, asked->name, load);
  g_free (asked);
}

/* Only what the shard's own watch does not report already. */
static void
poll_reports (struct orderer *orderer, int64_t now)
{
  struct engineclient *client = &orderer->process->enginehttp.client;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, orderer->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ordered_engine *engine = value;

      if (engine->asking || now - engine->reported_ns < POLL_EVERY_NS)
        continue;
      engine->asking = true;
      client->ops->load (client, engine->address, false, on_load_answered,
                         asked_new (orderer, engine->name, 0));
    }
}

/* The limit belongs to the service, since its engines share the permits. */
static unsigned
load_limit (const struct config *config, const struct hostlist_entry *host)
{
  const struct declaration *row
      = config_backend_server (config, host->service, host->service);

  if (row == NULL)
    row = config_backend_server (config, host->name, host->service);
  return row == NULL || row->load_limit < 1 ? LOAD_LIMIT_DEFAULT
                                            : (unsigned)row->load_limit;
}

static void
engine_take_up (struct orderer *orderer, const struct hostlist_entry *host)
{
  const struct config *config = orderer->process->configstore.config;
  const struct declaration *row
      = config_backend_server (config, host->name, host->service);
  struct ordered_engine *engine
      = g_hash_table_lookup (orderer->engines, host->name);
  struct order_engine info = {
    .name = host->name,
    .service = host->service,
    .role = "",
    .checks_fencing = row != NULL && row->fencing == 1,
    .load_limit = load_limit (config, host),
  };

  if (engine == NULL)
    {
      engine = g_new0 (struct ordered_engine, 1);
      g_strlcpy (engine->name, host->name, sizeof engine->name);
      g_hash_table_insert (orderer->engines, engine->name, engine);
    }
  g_strlcpy (engine->address, host->address, sizeof engine->address);
  engine->listed = true;
  order_engine_set (&orderer->order, &info);
}

static bool
is_ours (const struct orderer *orderer, const struct hostlist_entry *host)
{
  unsigned partition = owner_partition ("engine", host->name,
                                        orderer->owner->settings.partitions);

  return host->kind == HOSTLIST_ENGINE && !host->leaving
         && owner_holds (orderer->owner, partition, NULL);
}

static int
let_go_unless_listed (void *key, void *value, void *data)
{
  struct orderer *orderer = data;
  struct ordered_engine *engine = value;
  bool listed = engine->listed;

  engine->listed = false;
  if (!listed)
    order_engine_gone (&orderer->order, engine->name);
  return !listed;
}

static void
sync_engines (struct orderer *orderer)
{
  const struct hostlist *hosts = &orderer->process->hostlist.hostlist;

  for (size_t i = 0; i < hosts->count; i++)
    if (is_ours (orderer, &hosts->entries[i]))
      engine_take_up (orderer, &hosts->entries[i]);
  g_hash_table_foreach_remove (orderer->engines, let_go_unless_listed,
                               orderer);
  metrics_set (&orderer->process->metrics, "order_engines", "",
               (double)g_hash_table_size (orderer->engines));
  metrics_set (&orderer->process->metrics, "order_kv_calls", "",
               (double)orderer->order.kv_calls);
}

void
orderer_init (struct orderer *orderer, struct process *process,
              struct owner *owner)
{
  int64_t part = owner->settings.lease_ns / LEASE_PART;
  struct order_settings settings = {
    .flight_ns = MIN (part, FLIGHT_MAX_NS),
    .load_ns = MIN (part, LOAD_MAX_NS),
    .retry_ns = RETRY_NS,
    .give_up_ns = GIVE_UP_NS,
    .linger_ns = LINGER_NS,
    .report_ns = REPORT_NS,
  };

  memset (orderer, 0, sizeof *orderer);
  orderer->process = process;
  orderer->owner = owner;
  orderer->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  order_init (&orderer->order, &settings, owner, &process->kvbudget.kv,
              &process->clock, &process->rng, &order_ops, orderer);
}

void
orderer_finish (struct orderer *orderer)
{
  order_finish (&orderer->order);
  g_hash_table_destroy (orderer->engines);
}

void
orderer_configure (struct orderer *orderer)
{
  order_configure (&orderer->order, orderer->process->configstore.config);
  orderer->configured = true;
  orderer->next_sync_ns = 0;
}

void
orderer_loaded (struct orderer *orderer, const char *name,
                const struct engine_load *load)
{
  struct ordered_engine *engine = g_hash_table_lookup (orderer->engines, name);

  if (engine == NULL)
    return;
  engine->reported_ns = clock_now (&orderer->process->clock);
  order_report (&orderer->order, name, load);
}

bool
orderer_idle (const struct orderer *orderer)
{
  return order_idle (&orderer->order);
}

void
orderer_tick (struct orderer *orderer)
{
  int64_t now = clock_now (&orderer->process->clock);

  if (!orderer->configured)
    return;
  if (orderer->process->stage != PROCESS_SERVING)
    order_stop (&orderer->order);
  if (now >= orderer->next_sync_ns)
    {
      orderer->next_sync_ns = now + SYNC_EVERY_NS;
      sync_engines (orderer);
    }
  poll_reports (orderer, now);
  order_tick (&orderer->order);
}
