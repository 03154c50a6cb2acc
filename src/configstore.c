#include "configstore.h"

#include <inttypes.h>
#include <string.h>

static void configstore_watch_begin (struct configstore *store);

static void
wait_begin (struct configstore *store, int64_t span_ns)
{
  store->state = CONFIGSTORE_WAITING;
  store->due_ns = clock_now (store->clock) + span_ns;
}

static void
failure_note (struct configstore *store, enum status status)
{
  if (store->failures++ == 0)
    log_event (store->log, EVENT_CONFIG_KV_DOWN, "status=%s revision=%" PRIu64,
               status_name (status), configstore_revision (store));
  wait_begin (store, configstore_backoff (store, store->failures));
}

/* The next call, or rest if this process need not read. */
static void
continue_reading (struct configstore *store)
{
  store->failures = 0;
  if (store->watch)
    configstore_watch_begin (store);
  else
    store->state = CONFIGSTORE_IDLE;
}

/* Put in force what TEXTS hold on top of what is in force. */
static enum status
texts_load (struct configstore *store, const GArray *texts)
{
  struct config *config;
  struct error error;
  enum status status;

  status = conftext_load (&config, store->config,
                          (const struct conftext *)(void *)texts->data,
                          texts->len, &error);
  if (status == STATUS_OK)
    {
      configstore_adopt (store, config);
      config_unref (config);
    }
  else if (status != STATUS_NOT_FOUND)
    log_event (store->log, EVENT_CONFIG_CORRUPT, "status=%s message=\"%s\"",
               status_name (status), error.message);
  return status;
}

static bool
texts_have_root (const GArray *texts)
{
  for (guint i = 0; i < texts->len; i++)
    if (strcmp (g_array_index (texts, struct conftext, i).key,
                CONFTEXT_ROOT_KEY)
        == 0)
      return true;
  return false;
}

static void
on_range (void *data, const struct kv_reply *reply)
{
  struct configstore *store = data;
  enum status status = STATUS_OK;
  GArray *texts;

  if (reply->status != STATUS_OK)
    {
      failure_note (store, reply->status);
      return;
    }
  texts = configstore_texts (reply);
  if (texts_have_root (texts))
    status = texts_load (store, texts);
  g_array_unref (texts);
  if (status != STATUS_OK)
    {
      failure_note (store, status);
      return;
    }
  store->after = reply->revision;
  store->synced = true;
  if (store->config == NULL && !store->watch)
    failure_note (store, STATUS_NOT_FOUND);
  else
    continue_reading (store);
}

static void
range_begin (struct configstore *store)
{
  store->state = CONFIGSTORE_READING;
  store->kv->ops->range (store->kv, CONFTEXT_PREFIX, on_range, store);
}

static void
on_watch (void *data, const struct kv_reply *reply)
{
  struct configstore *store = data;
  GArray *texts;

  if (reply->status != STATUS_OK)
    {
      failure_note (store, reply->status);
      return;
    }
  texts = configstore_texts (reply);
  if (texts->len > 0 && texts_load (store, texts) != STATUS_OK)
    {
      /* Some change was missed: read everything. */
      store->synced = false;
      store->resyncs++;
    }
  else if (reply->revision > store->after)
    store->after = reply->revision;
  g_array_unref (texts);
  continue_reading (store);
}

static void
configstore_watch_begin (struct configstore *store)
{
  if (!store->synced)
    {
      range_begin (store);
      return;
    }
  store->state = CONFIGSTORE_WATCHING;
  store->kv->ops->watch (store->kv, CONFTEXT_PREFIX, store->after,
                         store->settings->watch_wait_ns, on_watch, store);
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
  wait_begin (store, settings->start_delay_ns);
}

void
configstore_finish (struct configstore *store)
{
  config_unref (store->config);
}

void
configstore_watch (struct configstore *store, bool watch)
{
  if (watch == store->watch)
    return;
  store->watch = watch;
  if (!watch)
    return;
  /* While it did not watch, anything may have changed. */
  if (store->state == CONFIGSTORE_IDLE)
    store->synced = false;
  if (store->state == CONFIGSTORE_IDLE || store->state == CONFIGSTORE_WAITING)
    wait_begin (store, 0);
}

enum status
configstore_offer (struct configstore *store, const char *text,
                   struct error *error)
{
  struct config *config;
  enum status status
      = conftext_load_delta (&config, store->config, text, error);

  if (status != STATUS_OK)
    return status;
  configstore_adopt (store, config);
  config_unref (config);
  return STATUS_OK;
}

bool
configstore_adopt (struct configstore *store, struct config *config)
{
  struct config *old = store->config;

  if (config->revision <= configstore_revision (store))
    return false;
  store->config = config_ref (config);
  log_event (store->log, EVENT_CONFIG_APPLIED,
             "revision=%" PRIu64 " before=%" PRIu64, config->revision,
             old == NULL ? 0 : old->revision);
  store->ops->in_force (store->owner, config);
  config_unref (old);
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
      || clock_now (store->clock) < store->due_ns)
    return;
  if (store->watch)
    configstore_watch_begin (store);
  else if (store->config == NULL)
    range_begin (store);
  else
    store->state = CONFIGSTORE_IDLE;
}

int64_t
configstore_next (const struct configstore *store)
{
  return store->state == CONFIGSTORE_WAITING ? store->due_ns : CLOCK_NEVER;
}

GArray *
configstore_texts (const struct kv_reply *reply)
{
  GArray *texts = g_array_new (FALSE, TRUE, sizeof (struct conftext));

  for (size_t i = 0; i < reply->item_count; i++)
    {
      struct conftext text = { reply->items[i].key, reply->items[i].value };

      if (text.value != NULL)
        g_array_append_val (texts, text);
    }
  return texts;
}

int64_t
configstore_backoff (const struct configstore *store, unsigned failures)
{
  int64_t span_ns = store->settings->backoff_min_ns;

  while (failures-- > 1 && span_ns < store->settings->backoff_max_ns)
    span_ns *= 2;
  if (span_ns > store->settings->backoff_max_ns)
    span_ns = store->settings->backoff_max_ns;
  return span_ns / 2
         + (int64_t)rng_below (store->rng, (uint64_t)span_ns / 2 + 1);
}
