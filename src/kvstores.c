#include "kvstores.h"
#include "kvstoreturn.h"

#include <stdio.h>
#include <string.h>

enum
{
  RETRY_DELAY_MS = 200,
  /* Time by which the timeout of a poll exceeds the time that the store may
   * delay its reply. */
  CALL_TIMEOUT_MARGIN_MS = 1500
};

const struct kvstores_settings kvstores_settings_default = {
  .concurrent_pollers_max = 5,
  .catch_up_max = 4,
  .rotation_slot_ns = 250 * NS_PER_MS,
  .check_wait_ns = 200 * NS_PER_MS,
  .poll_wait_ns = 1000 * NS_PER_MS,
  .poller_interval_ns = 50 * NS_PER_MS,
  .check_interval_ns = 1000 * NS_PER_MS,
  .restart_grace_ns = 3500 * NS_PER_MS,
  .poll_age_max_ns = 1500 * NS_PER_MS,
  .confirmed_ns = 2000 * NS_PER_MS,
  .sync_spread_ns = 50 * NS_PER_MS,
  .fill_share_max = 0.97,
};

static void
block_key (char key[CACHE_SCOPE_MAX + 20], const char *scope, uint64_t block)
{
  snprintf (key, CACHE_SCOPE_MAX + 20, "%s %" G_GINT64_MODIFIER "x", scope,
            block);
}

static void
store_clear_blocks (struct kvstore *store)
{
  g_hash_table_remove_all (store->blocks);
  store->stored_tokens = 0;
}

static void
store_free (struct kvstore *store)
{
  g_hash_table_destroy (store->blocks);
  g_free (store->name);
  g_free (store->address);
  g_free (store->data_centre);
  g_free (store);
}

/* Releases a store that was removed from the array of stores. */
static void
store_release (void *data)
{
  struct kvstore *store = data;

  store->removed = true;
  if (!store->call_is_pending)
    store_free (store);
}

void
kvstores_init (struct kvstores *kvstores,
               const struct kvstores_settings *settings,
               const struct clock *clock, struct log *log,
               const struct dialect *dialect, struct httpjson *httpjson)
{
  memset (kvstores, 0, sizeof *kvstores);
  kvstores->settings = *settings;
  kvstores->clock = clock;
  kvstores->log = log;
  kvstores->dialect = dialect;
  kvstores->httpjson = httpjson;
  kvstores->rotation_slots = 1;
  lateness_init (&kvstores->lateness);
  kvstores->stores = g_ptr_array_new_with_free_func (store_release);
}

void
kvstores_set_ops (struct kvstores *kvstores, const struct kvstores_ops *ops,
                  void *data)
{
  kvstores->ops = ops;
  kvstores->data = data;
}

void
kvstores_finish (struct kvstores *kvstores)
{
  for (guint i = 0; i < kvstores->stores->len; i++)
    ((struct kvstore *)kvstores->stores->pdata[i])->call_is_pending = false;
  g_ptr_array_free (kvstores->stores, TRUE);
  lateness_finish (&kvstores->lateness);
}

static struct kvstore *
store_find (const struct kvstores *kvstores, const struct service *service)
{
  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      struct kvstore *store = kvstores->stores->pdata[i];

      if (strcmp (store->name, service->name) == 0
          && strcmp (store->address, service->address) == 0)
        return store;
    }
  return NULL;
}

/* Query STORE out of turn, but not at the same time as the other hosts. */
static void
store_request_sync (struct kvstore *store)
{
  const struct kvstores *kvstores = store->kvstores;

  if (store->needs_sync)
    return;
  store->needs_sync = true;
  store->sync_ns
      = clock_now (kvstores->clock)
        + kvstores->own_rotation_slot * kvstores->settings.sync_spread_ns;
}

static void
store_add (struct kvstores *kvstores, const struct service *service)
{
  struct kvstore *store = g_new0 (struct kvstore, 1);

  store->kvstores = kvstores;
  store->name = g_strdup (service->name);
  store->address = g_strdup (service->address);
  store->data_centre = g_strdup (service->data_centre);
  store->capacity_tokens = service->kv_capacity_tokens;
  store->blocks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (kvstores->stores, store);
  store_request_sync (store);
}

void
kvstores_configure (struct kvstores *kvstores, const struct routes *routes)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = kvstores->stores->len; i > 0; i--)
    {
      const struct kvstore *store = kvstores->stores->pdata[i - 1];
      const struct service *service
          = routes_find_service (routes, store->name);

      if (service == NULL || !service->is_store
          || strcmp (service->address, store->address) != 0)
        g_ptr_array_remove_index (kvstores->stores, i - 1);
    }
  g_hash_table_iter_init (&iter, routes->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *service = value;

      if (service->is_store && store_find (kvstores, service) == NULL)
        store_add (kvstores, service);
    }
}

static void
store_mark_lost (struct kvstore *store, const char *reason)
{
  if (store->in_sync)
    log_event (store->kvstores->log, EVENT_CACHE_STORE_CHANGED,
               "store=%s what=lost reason=%s parts=%u tokens=%lu", store->name,
               reason, g_hash_table_size (store->blocks),
               (unsigned long)store->stored_tokens);
  store->in_sync = false;
  store_clear_blocks (store);
  store->epoch = 0;
  store->last_event_number = 0;
  store->confirmed_until_ns = 0;
  store_request_sync (store);
  store->no_poll_before_ns
      = clock_now (store->kvstores->clock) + RETRY_DELAY_MS * NS_PER_MS;
}

static void
block_add (struct kvstore *store, const struct cache_block *block)
{
  char key[CACHE_SCOPE_MAX + 20];
  gpointer previous_tokens;

  if (strlen (block->scope) >= CACHE_SCOPE_MAX)
    return;
  block_key (key, block->scope, block->id);
  previous_tokens = g_hash_table_lookup (store->blocks, key);
  store->stored_tokens += block->tokens - GPOINTER_TO_UINT (previous_tokens);
  g_hash_table_replace (store->blocks, g_strdup (key),
                        GUINT_TO_POINTER (block->tokens));
}

static void
block_remove (struct kvstore *store, const struct cache_block *block)
{
  char key[CACHE_SCOPE_MAX + 20];

  if (strlen (block->scope) >= CACHE_SCOPE_MAX)
    return;
  block_key (key, block->scope, block->id);
  store->stored_tokens
      -= GPOINTER_TO_UINT (g_hash_table_lookup (store->blocks, key));
  g_hash_table_remove (store->blocks, key);
}

/* A restarted store holds no blocks. A host that has not noticed the restart
 * could still fetch a block that is only being saved, so nothing is saved to
 * the store until no earlier confirmation counts. */
static void
store_restarted (struct kvstore *store, uint64_t epoch)
{
  struct kvstores *kvstores = store->kvstores;

  store_clear_blocks (store);
  store->in_sync = false;
  store->epoch = epoch;
  store->save_allowed_ns = clock_now (kvstores->clock)
                           + MAX (kvstores->settings.restart_grace_ns,
                                  kvstores->restarts_noticed_late
                                      ? 2 * kvstoreturn_period_ns (kvstores)
                                      : 0);
  log_event (kvstores->log, EVENT_CACHE_STORE_CHANGED,
             "store=%s what=begun epoch=%lu", store->name,
             (unsigned long)epoch);
  store->reported_ignored = false;
}

/* Applies changes up to NEXT. Changes that were already applied, from an
 * update of another host, are skipped. */
static void
changes_apply (struct kvstore *store, const struct cache_block *blocks,
               unsigned count, uint64_t next)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (blocks[i].change_number != 0
          && blocks[i].change_number <= store->last_event_number)
        continue;
      if (blocks[i].removed)
        block_remove (store, &blocks[i]);
      else
        block_add (store, &blocks[i]);
    }
  store->last_event_number = MAX (store->last_event_number, next);
}

/* The store told its present epoch AGE_NS ago. */
static void
store_confirm (struct kvstore *store, int64_t age_ns)
{
  const struct kvstores *kvstores = store->kvstores;
  int64_t until_ns = clock_boottime (kvstores->clock) - age_ns
                     + kvstores->settings.confirmed_ns;

  store->confirmed_until_ns = MAX (store->confirmed_until_ns, until_ns);
}

/* Whether the reply to the last poll is so young that it tells the present
 * epoch: this process may have stood still since. */
static bool
report_is_young (const struct kvstore *store)
{
  const struct kvstores *kvstores = store->kvstores;

  return clock_boottime (kvstores->clock) - store->poll_sent_boottime_ns
         <= kvstores->settings.poll_age_max_ns;
}

static void
update_share (struct kvstore *store, const struct cache_report *report)
{
  struct kvstores *kvstores = store->kvstores;
  struct kvstore_update update = {
    .store = store->name,
    .epoch = store->epoch,
    .since_event_number = store->poll_since_event,
    .last_event_number = report->last_change_number,
    .blocks = report->blocks,
    .block_count = report->block_count,
  };

  if (kvstores->ops != NULL && kvstoreturn_is_polled_here (store))
    kvstores->ops->update_received (kvstores->data, &update);
}

/* Whether the store itself has reported nothing for two polling rounds. */
static bool
store_is_silent (const struct kvstore *store)
{
  const struct kvstores *kvstores = store->kvstores;

  return clock_now (kvstores->clock) - store->last_report_ns
         > 2 * kvstoreturn_period_ns (kvstores);
}

/* Rows that can't be decoded are reported once for each run of the store. */
static void
ignored_rows_report (struct kvstore *store, unsigned count)
{
  if (count == 0 || store->reported_ignored)
    return;
  store->reported_ignored = true;
  log_event (store->kvstores->log, EVENT_STATEMENT_IGNORED,
             "server=%s service=- address=%s field=rows reason=malformed "
             "rows=%u",
             store->name, store->address, count);
}

static void
report_received (void *data, const struct cache_report *report)
{
  struct kvstore *store = data;
  struct kvstores *kvstores = store->kvstores;

  store->call_is_pending = false;
  if (store->removed)
    {
      store_free (store);
      return;
    }
  if (report->busy && !store_is_silent (store))
    {
      store->needs_sync = true;
      store->no_poll_before_ns
          = clock_now (kvstores->clock) + RETRY_DELAY_MS * NS_PER_MS;
      return;
    }
  if (!report->replied)
    {
      store_mark_lost (store, "no_answer");
      return;
    }
  ignored_rows_report (store, report->ignored_count);
  if (report->has_clock)
    {
      kvstores->engine_clock_is_known = true;
      kvstores->engine_clock_offset_ns
          = report->engine_clock_ns - clock_now (kvstores->clock);
    }
  if (!report_is_young (store))
    {
      store_request_sync (store);
      return;
    }
  if (report->epoch != store->epoch)
    {
      store_restarted (store, report->epoch);
      /* Event numbers of an earlier epoch are invalid: discard this report
       * and poll from the first event. */
      if (store->last_event_number != 0)
        {
          store->last_event_number = 0;
          store_request_sync (store);
          return;
        }
    }
  if (report->has_gap)
    {
      store->needs_listing = true;
      return;
    }
  if (report->is_list)
    {
      store_clear_blocks (store);
      store->last_event_number = 0;
    }
  store->needs_listing = false;
  store->in_sync = true;
  store_confirm (store, 0);
  store->last_report_ns = clock_now (kvstores->clock);
  if (!report->is_list)
    update_share (store, report);
  changes_apply (store, report->blocks, report->block_count,
                 report->last_change_number);
}

void
kvstores_apply_update (struct kvstores *kvstores,
                       const struct kvstore_update *update)
{
  struct kvstore *store = kvstores_find_store (kvstores, update->store);
  int64_t late_ns
      = lateness_record (&kvstores->lateness, update->sender, update->sent_ns,
                         clock_boottime (kvstores->clock));

  if (store == NULL || !store->in_sync || store->needs_listing)
    return;
  /* Only the store itself can tell which of two epochs is the later one. */
  if (update->epoch != store->epoch)
    {
      store->confirmed_until_ns = 0;
      store_request_sync (store);
      return;
    }
  /* The network may have held the update back, or have doubled it. */
  if (late_ns >= 0)
    store_confirm (store, late_ns);
  if (update->since_event_number > store->last_event_number)
    store_request_sync (store);
  else if (update->last_event_number > store->last_event_number)
    changes_apply (store, update->blocks, update->block_count,
                   update->last_event_number);
}

static void
store_poll (struct kvstore *store)
{
  struct kvstores *kvstores = store->kvstores;
  int64_t wait_ns
      = kvstoreturn_is_polled_here (store) && !kvstoreturn_catches_up (store)
            ? kvstores->settings.poll_wait_ns
            : kvstores->settings.check_wait_ns;
  int64_t timeout_ns = wait_ns + CALL_TIMEOUT_MARGIN_MS * NS_PER_MS;

  store->call_is_pending = true;
  store->needs_sync = false;
  store->poll_sent_ns = clock_now (kvstores->clock);
  store->poll_sent_boottime_ns = clock_boottime (kvstores->clock);
  store->poll_since_event = store->last_event_number;
  if (store->needs_listing)
    kvstores->dialect->cache_list (kvstores->httpjson, store->address,
                                   timeout_ns, report_received, store);
  else
    kvstores->dialect->cache_events (kvstores->httpjson, store->address,
                                     store->last_event_number, wait_ns,
                                     timeout_ns, report_received, store);
}

void
kvstores_set_rotation (struct kvstores *kvstores, unsigned hosts,
                       unsigned index)
{
  unsigned pollers_max = kvstores->settings.concurrent_pollers_max;

  kvstores->rotation_slots = (hosts + pollers_max - 1) / pollers_max;
  kvstores->rotation_slots = MAX (kvstores->rotation_slots, 1U);
  kvstores->own_rotation_slot = index % kvstores->rotation_slots;
}

void
kvstores_tick (struct kvstores *kvstores)
{
  int64_t now = clock_now (kvstores->clock);
  guint first = kvstores->first_turn;
  unsigned catching_up = 0;

  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      const struct kvstore *store = kvstores->stores->pdata[i];

      if (store->call_is_pending && kvstoreturn_catches_up (store))
        catching_up++;
    }
  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      guint at = (first + i) % kvstores->stores->len;
      struct kvstore *store = kvstores->stores->pdata[at];
      bool catches_up = kvstoreturn_catches_up (store);

      if (store->call_is_pending || now < store->no_poll_before_ns
          || (catches_up && catching_up >= kvstores->settings.catch_up_max)
          || !kvstoreturn_is_due (store, now))
        continue;
      if (catches_up)
        {
          catching_up++;
          kvstores->first_turn = at + 1;
        }
      store_poll (store);
    }
}

/* Blocks are saved to a restarted store only after every host has noticed the
 * restart: until then a host could fetch a block that is only being saved.
 * Blocks that the store has reported since the restart can be fetched at
 * once. */
bool
kvstore_accepts_blocks (const struct kvstore *store)
{
  return store->in_sync
         && clock_now (store->kvstores->clock) >= store->save_allowed_ns;
}

/* Whether what is known of STORE is of its present epoch. */
static bool
store_is_confirmed (const struct kvstore *store)
{
  return store->in_sync
         && clock_boottime (store->kvstores->clock)
                < store->confirmed_until_ns;
}

unsigned
kvstore_block_tokens (const struct kvstore *store, const char *scope,
                      uint64_t block)
{
  char key[CACHE_SCOPE_MAX + 20];

  if (!store_is_confirmed (store))
    return 0;
  block_key (key, scope, block);
  return GPOINTER_TO_UINT (g_hash_table_lookup (store->blocks, key));
}

struct kvstore *
kvstores_find_store (const struct kvstores *kvstores, const char *name)
{
  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      struct kvstore *store = kvstores->stores->pdata[i];

      if (strcmp (store->name, name) == 0)
        return store;
    }
  return NULL;
}

unsigned
kvstore_take_blocks (struct kvstore *store, const char *prefix,
                     struct cache_block *blocks, unsigned max)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer tokens;

  g_hash_table_iter_init (&iter, store->blocks);
  while (count < max && g_hash_table_iter_next (&iter, &key, &tokens))
    {
      const char *block_name = key;
      const char *space = strrchr (block_name, ' ');
      size_t scope_length = (size_t)(space - block_name);

      if (!g_str_has_prefix (block_name, prefix)
          || scope_length >= CACHE_SCOPE_MAX)
        continue;
      memcpy (blocks[count].scope, block_name, scope_length);
      blocks[count].scope[scope_length] = '\0';
      blocks[count].id = g_ascii_strtoull (space + 1, NULL, 16);
      blocks[count].tokens = GPOINTER_TO_UINT (tokens);
      store->stored_tokens -= blocks[count].tokens;
      count++;
      g_hash_table_iter_remove (&iter);
    }
  return count;
}
