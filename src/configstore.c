#include "configstore.h"

#include <inttypes.h>
#include <string.h>

static void watch_or_resync_start (struct configstore *store);

static void
wait_start (struct configstore *store, int64_t delay_ns)
{
  store->state = CONFIGSTORE_WAITING;
  store->next_read_ns = clock_now (store->clock) + delay_ns;
}

static void
call_failed (struct configstore *store, enum status status)
{
  if (store->failures++ == 0)
    log_event (store->log, EVENT_CONFIG_KV_DOWN, "status=%s revision=%" PRIu64,
               status_name (status), configstore_revision (store));
  wait_start (store, configstore_backoff_ns (store, store->failures));
}

/* Resets the failures after a call that succeeded, and starts the next call if
   this process watches the KV service. */
static void
call_succeeded (struct configstore *store)
{
  store->failures = 0;
  if (store->is_watcher)
    watch_or_resync_start (store);
  else
    store->state = CONFIGSTORE_IDLE;
}

/* Builds a configuration from ITEMS, taking the documents that are not among
   them from the configuration in force, and puts it in force. */
static enum status
items_load (struct configstore *store, const GArray *items)
{
  struct config *config;
  struct error error;
  enum status status;

  status = conftext_load (&config, store->config,
                          (const struct conftext_item *)(void *)items->data,
                          items->len, &error);
  if (status == STATUS_OK)
    {
      configstore_set_if_newer (store, config);
      config_unref (config);
    }
  else if (status != STATUS_NOT_FOUND)
    log_event (store->log, EVENT_CONFIG_CORRUPT, "status=%s message=\"%s\"",
               status_name (status), error.message);
  return status;
}

static bool
items_have_root (const GArray *items)
{
  for (guint i = 0; i < items->len; i++)
    if (strcmp (g_array_index (items, struct conftext_item, i).key,
                CONFTEXT_ROOT_KEY)
        == 0)
      return true;
  return false;
}

static void
on_range_reply (void *data, const struct kv_reply *reply)
{
  struct configstore *store = data;
  enum status status = STATUS_OK;
  GArray *items;

  if (reply->status != STATUS_OK)
    {
      call_failed (store, reply->status);
      return;
    }
  items = configstore_reply_items (reply);
  if (items_have_root (items))
    status = items_load (store, items);
  g_array_unref (items);
  if (status != STATUS_OK)
    {
      call_failed (store, status);
      return;
    }
  store->kv_revision = reply->revision;
  store->in_sync = true;
  if (store->config == NULL && !store->is_watcher)
    call_failed (store, STATUS_NOT_FOUND);
  else
    call_succeeded (store);
}

static void
range_start (struct configstore *store)
{
  store->state = CONFIGSTORE_READING;
  store->kv->ops->range (store->kv, CONFTEXT_PREFIX, on_range_reply, store);
}

static void
on_watch_reply (void *data, const struct kv_reply *reply)
{
  struct configstore *store = data;
  GArray *items;

  if (reply->status != STATUS_OK)
    {
      call_failed (store, reply->status);
      return;
    }
  items = configstore_reply_items (reply);
  if (items->len > 0 && items_load (store, items) != STATUS_OK)
    {
      /* A change was missed: read everything again. */
      store->in_sync = false;
      store->resync_count++;
    }
  else if (reply->revision > store->kv_revision)
    store->kv_revision = reply->revision;
  g_array_unref (items);
  call_succeeded (store);
}

/* Starts a watch call or, if changes were missed, a range call. */
static void
watch_or_resync_start (struct configstore *store)
{
  if (!store->in_sync)
    {
      range_start (store);
      return;
    }
  store->state = CONFIGSTORE_WATCHING;
  store->kv->ops->watch (store->kv, CONFTEXT_PREFIX, store->kv_revision,
                         store->settings->watch_timeout_ns, on_watch_reply,
                         store);
}

void
configstore_init (struct configstore *store,
                  const struct configstore_settings *settings, struct kv *kv,
                  const struct clock *clock, struct rng *rng, struct log *log,
                  const struct configstore_ops *ops, void *owner)
{
  memset (store, 0, sizeof *store);
  store->settings = settings;
  store->kv = kv;
  store->clock = clock;
  store->rng = rng;
  store->log = log;
  store->ops = ops;
  store->owner = owner;
  wait_start (store, settings->start_delay_ns);
}

void
configstore_finish (struct configstore *store)
{
  config_unref (store->config);
}

void
configstore_set_watching (struct configstore *store, bool is_watcher)
{
  if (is_watcher == store->is_watcher)
    return;
  store->is_watcher = is_watcher;
  if (!is_watcher)
    return;
  /* Changes made while this process did not watch have not been read. */
  if (store->state == CONFIGSTORE_IDLE)
    store->in_sync = false;
  if (store->state == CONFIGSTORE_IDLE || store->state == CONFIGSTORE_WAITING)
    wait_start (store, 0);
}

enum status
configstore_apply_delta (struct configstore *store, const char *text,
                         struct error *error)
{
  struct config *config;
  enum status status
      = conftext_load_delta (&config, store->config, text, error);

  if (status != STATUS_OK)
    return status;
  configstore_set_if_newer (store, config);
  config_unref (config);
  return STATUS_OK;
}

bool
configstore_set_if_newer (struct configstore *store, struct config *config)
{
  struct config *previous = store->config;

  if (config->revision <= configstore_revision (store))
    return false;
  store->config = config_ref (config);
  log_event (store->log, EVENT_CONFIG_APPLIED,
             "revision=%" PRIu64 " before=%" PRIu64, config->revision,
             previous == NULL ? 0 : previous->revision);
  store->ops->config_changed (store->owner, config);
  config_unref (previous);
  return true;
}

uint64_t
configstore_revision (const struct configstore *store)
{
  return store->config == NULL ? 0 : store->config->revision;
}

void
configstore_tick (struct configstore *store)
{
  if (store->state != CONFIGSTORE_WAITING
      || clock_now (store->clock) < store->next_read_ns)
    return;
  if (store->is_watcher)
    watch_or_resync_start (store);
  else if (store->config == NULL)
    range_start (store);
  else
    store->state = CONFIGSTORE_IDLE;
}

int64_t
configstore_next_tick_ns (const struct configstore *store)
{
  return store->state == CONFIGSTORE_WAITING ? store->next_read_ns
                                             : CLOCK_NEVER;
}

GArray *
configstore_reply_items (const struct kv_reply *reply)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct conftext_item));

  for (size_t i = 0; i < reply->item_count; i++)
    {
      struct conftext_item item
          = { reply->items[i].key, reply->items[i].value };

      if (item.value != NULL)
        g_array_append_val (items, item);
    }
  return items;
}

int64_t
configstore_backoff_ns (const struct configstore *store, unsigned failures)
{
  int64_t delay_ns = store->settings->backoff_min_ns;

  while (failures-- > 1 && delay_ns < store->settings->backoff_max_ns)
    delay_ns *= 2;
  if (delay_ns > store->settings->backoff_max_ns)
    delay_ns = store->settings->backoff_max_ns;
  return delay_ns / 2
         + (int64_t)rng_below (store->rng, (uint64_t)delay_ns / 2 + 1);
}
