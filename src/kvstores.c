#include "kvstores.h"
#include "rendezvous.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  RETRY_MS = 200,
  CALL_MARGIN_MS = 1500 /* over the wait, until a call is given up */
};

const struct kvstores_settings kvstores_settings_default = {
  .listeners = 5,
  .turn_ns = 250 * NS_PER_MS,
  .turn_wait_ns = 200 * NS_PER_MS,
  .wait_ns = 1000 * NS_PER_MS,
  .listen_ns = 50 * NS_PER_MS,
  .ask_ns = 1000 * NS_PER_MS,
  .settle_ns = 3500 * NS_PER_MS,
  .full_share = 0.97,
};

static void
part_key (char key[CACHE_SCOPE_MAX + 20], const char *scope, uint64_t part)
{
  snprintf (key, CACHE_SCOPE_MAX + 20, "%s %" G_GINT64_MODIFIER "x", scope,
            part);
}

static void
store_forget (struct kvstore *store)
{
  g_hash_table_remove_all (store->parts);
  store->held_tokens = 0;
}

static void
store_free (struct kvstore *store)
{
  g_hash_table_destroy (store->parts);
  g_free (store->name);
  g_free (store->address);
  g_free (store->data_centre);
  g_free (store);
}

/* From the array of stores. */
static void
store_drop (void *data)
{
  struct kvstore *store = data;

  store->removed = true;
  if (!store->in_call)
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
  kvstores->turns = 1;
  kvstores->stores = g_ptr_array_new_with_free_func (store_drop);
}

void
kvstores_share (struct kvstores *kvstores, const struct kvstores_ops *ops,
                void *data)
{
  kvstores->ops = ops;
  kvstores->data = data;
}

void
kvstores_finish (struct kvstores *kvstores)
{
  for (guint i = 0; i < kvstores->stores->len; i++)
    ((struct kvstore *)kvstores->stores->pdata[i])->in_call = false;
  g_ptr_array_free (kvstores->stores, TRUE);
}

static struct kvstore *
store_known (const struct kvstores *kvstores, const struct service *service)
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

static void
store_add (struct kvstores *kvstores, const struct service *service)
{
  struct kvstore *store = g_new0 (struct kvstore, 1);

  store->owner = kvstores;
  store->name = g_strdup (service->name);
  store->address = g_strdup (service->address);
  store->data_centre = g_strdup (service->data_centre);
  store->capacity_tokens = service->memory_tokens;
  store->parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (kvstores->stores, store);
}

void
kvstores_configure (struct kvstores *kvstores, const struct routes *routes)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = kvstores->stores->len; i > 0; i--)
    {
      const struct kvstore *store = kvstores->stores->pdata[i - 1];
      const struct service *service = routes_service (routes, store->name);

      if (service == NULL || !service->is_store
          || strcmp (service->address, store->address) != 0)
        g_ptr_array_remove_index (kvstores->stores, i - 1);
    }
  g_hash_table_iter_init (&iter, routes->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *service = value;

      if (service->is_store && store_known (kvstores, service) == NULL)
        store_add (kvstores, service);
    }
}

static void
store_lost (struct kvstore *store, const char *reason)
{
  if (store->in_step)
    log_event (store->owner->log, EVENT_CACHE_STORE_CHANGED,
               "store=%s what=lost reason=%s parts=%u tokens=%lu", store->name,
               reason, g_hash_table_size (store->parts),
               (unsigned long)store->held_tokens);
  store->in_step = false;
  store_forget (store);
  store->epoch = 0;
  store->next = 0;
  store->retry_ns = clock_now (store->owner->clock) + RETRY_MS * NS_PER_MS;
}

static void
part_add (struct kvstore *store, const struct cache_part *part)
{
  char key[CACHE_SCOPE_MAX + 20];
  gpointer known;

  if (strlen (part->scope) >= CACHE_SCOPE_MAX)
    return;
  part_key (key, part->scope, part->id);
  known = g_hash_table_lookup (store->parts, key);
  store->held_tokens += part->tokens - GPOINTER_TO_UINT (known);
  g_hash_table_replace (store->parts, g_strdup (key),
                        GUINT_TO_POINTER (part->tokens));
}

static void
part_remove (struct kvstore *store, const struct cache_part *part)
{
  char key[CACHE_SCOPE_MAX + 20];

  if (strlen (part->scope) >= CACHE_SCOPE_MAX)
    return;
  part_key (key, part->scope, part->id);
  store->held_tokens
      -= GPOINTER_TO_UINT (g_hash_table_lookup (store->parts, key));
  g_hash_table_remove (store->parts, key);
}

/* Time in which every host hears of a store itself. */
static int64_t
round_ns (const struct kvstores *kvstores)
{
  const struct kvstores_settings *settings = &kvstores->settings;

  return kvstores->turns == 1 ? settings->ask_ns
                              : kvstores->turns * settings->turn_ns;
}

/* A store that begins anew holds nothing; hosts that have not noticed yet
 * could still fetch what is being saved to it. */
static void
store_begin (struct kvstore *store, uint64_t epoch)
{
  struct kvstores *owner = store->owner;

  store_forget (store);
  store->in_step = false;
  store->epoch = epoch;
  store->settled_ns = clock_now (owner->clock)
                      + MAX (owner->settings.settle_ns, 2 * round_ns (owner));
  log_event (owner->log, EVENT_CACHE_STORE_CHANGED,
             "store=%s what=begun epoch=%lu", store->name,
             (unsigned long)epoch);
}

/* Changes that are known from another host are passed over. */
static void
changes_take (struct kvstore *store, const struct cache_part *parts,
              unsigned count, uint64_t next)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (parts[i].number != 0 && parts[i].number <= store->next)
        continue;
      if (parts[i].gone)
        part_remove (store, &parts[i]);
      else
        part_add (store, &parts[i]);
    }
  store->next = MAX (store->next, next);
}

static bool
is_listening (const struct kvstore *store)
{
  const struct kvstores *owner = store->owner;

  return owner->ops == NULL || owner->ops->listens (owner->data, store);
}

static void
news_tell (struct kvstore *store, const struct cache_report *report)
{
  struct kvstores *owner = store->owner;
  struct kvstore_news news = {
    .store = store->name,
    .epoch = store->epoch,
    .since = store->asked_since,
    .next = report->next,
    .parts = report->parts,
    .part_count = report->part_count,
  };

  if (owner->ops != NULL && report->part_count > 0 && is_listening (store))
    owner->ops->heard (owner->data, &news);
}

/* Whether the store has told nothing itself for longer than it may. */
static bool
is_overdue (const struct kvstore *store)
{
  const struct kvstores *owner = store->owner;

  return clock_now (owner->clock) - store->told_ns > 2 * round_ns (owner);
}

static void
on_events (void *data, const struct cache_report *report)
{
  struct kvstore *store = data;
  struct kvstores *owner = store->owner;

  store->in_call = false;
  if (store->removed)
    {
      store_free (store);
      return;
    }
  if (report->busy && !is_overdue (store))
    {
      store->retry_ns = clock_now (owner->clock) + RETRY_MS * NS_PER_MS;
      return;
    }
  if (!report->answered)
    {
      store_lost (store, "no_answer");
      return;
    }
  if (report->has_clock)
    {
      owner->clock_known = true;
      owner->engine_clock_ns = report->clock_ns - clock_now (owner->clock);
    }
  if (report->epoch != store->epoch)
    {
      store_begin (store, report->epoch);
      /* Events counted by another run of the store say nothing. */
      if (store->next != 0)
        {
          store->next = 0;
          return;
        }
    }
  if (report->gap)
    {
      store->wants_list = true;
      return;
    }
  if (report->is_list)
    {
      store_forget (store);
      store->next = 0;
    }
  store->wants_list = false;
  store->in_step = true;
  store->told_ns = clock_now (owner->clock);
  if (!report->is_list)
    news_tell (store, report);
  changes_take (store, report->parts, report->part_count, report->next);
}

void
kvstores_take_news (struct kvstores *kvstores, const struct kvstore_news *news)
{
  struct kvstore *store = kvstores_named (kvstores, news->store);

  if (store == NULL || !store->in_step || store->wants_list)
    return;
  if (news->epoch != store->epoch)
    /* It is asked itself which of the two runs is the present one. */
    store->asked_ns = 0;
  else if (news->since <= store->next && news->next > store->next)
    changes_take (store, news->parts, news->part_count, news->next);
}

static void
store_ask (struct kvstore *store)
{
  struct kvstores *owner = store->owner;
  int64_t wait = is_listening (store) ? owner->settings.wait_ns
                                      : owner->settings.turn_wait_ns;
  int64_t timeout = wait + CALL_MARGIN_MS * NS_PER_MS;

  store->in_call = true;
  store->asked_ns = clock_now (owner->clock);
  store->asked_since = store->next;
  if (store->wants_list)
    owner->dialect->cache_list (owner->httpjson, store->address, timeout,
                                on_events, store);
  else
    owner->dialect->cache_events (owner->httpjson, store->address, store->next,
                                  wait, timeout, on_events, store);
}

void
kvstores_set_turn (struct kvstores *kvstores, unsigned hosts, unsigned index)
{
  unsigned listeners = kvstores->settings.listeners;

  kvstores->turns = (hosts + listeners - 1) / listeners;
  kvstores->turns = MAX (kvstores->turns, 1U);
  kvstores->turn = index % kvstores->turns;
}

/* Turns go by the time of day, which hosts have about the same; one whose
 * clock is off meets a full store now and then. */
static bool
turn_is_ours (const struct kvstores *kvstores, struct kvstore *store)
{
  struct timespec wall = clock_wall (kvstores->clock);
  int64_t number
      = (wall.tv_sec * NS_PER_S + wall.tv_nsec) / kvstores->settings.turn_ns;

  if (number % kvstores->turns != kvstores->turn
      || number == store->turn_number)
    return false;
  store->turn_number = number;
  return true;
}

static bool
store_is_due (struct kvstore *store, int64_t now)
{
  struct kvstores *owner = store->owner;

  if (is_listening (store))
    return now - store->asked_ns >= owner->settings.listen_ns;
  if (owner->turns == 1)
    return now - store->asked_ns >= owner->settings.ask_ns;
  return turn_is_ours (owner, store);
}

void
kvstores_tick (struct kvstores *kvstores)
{
  int64_t now = clock_now (kvstores->clock);

  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      struct kvstore *store = kvstores->stores->pdata[i];

      if (!store->in_call && now >= store->retry_ns
          && store_is_due (store, now))
        store_ask (store);
    }
}

/* A store that has begun anew may be filled only once every host has noticed:
 * until then one could fetch a part that is being saved. What the store tells
 * of its present run can be fetched at once. */
static bool
store_may_be_filled (const struct kvstore *store)
{
  return store->in_step
         && clock_now (store->owner->clock) >= store->settled_ns;
}

struct kvstore *
kvstores_named (const struct kvstores *kvstores, const char *name)
{
  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      struct kvstore *store = kvstores->stores->pdata[i];

      if (strcmp (store->name, name) == 0)
        return store;
    }
  return NULL;
}

/* Half of a delay is forgotten in this time without a new measurement. */
static const double delay_half_life_ns = 1.0 * NS_PER_S;
/* Weight of the newest measurement. */
static const double delay_gain = 0.25;

double
kvstore_delay_ms (const struct kvstore *store)
{
  double age = (double)(clock_now (store->owner->clock) - store->delay_ns);

  return store->delay_ms * exp2 (-age / delay_half_life_ns);
}

void
kvstore_note_delay (struct kvstore *store, double late_ms)
{
  double known = kvstore_delay_ms (store);

  store->delay_ms = known + delay_gain * (MAX (late_ms, 0) - known);
  store->delay_ns = clock_now (store->owner->clock);
}

struct kvstore *
kvstores_find (const struct kvstores *kvstores, const char *scope,
               const struct call_part *part, const char *data_centre)
{
  struct kvstore *found = NULL;
  char key[CACHE_SCOPE_MAX + 20];

  part_key (key, scope, part->id);
  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      struct kvstore *store = kvstores->stores->pdata[i];

      if (!store->in_step
          || GPOINTER_TO_UINT (g_hash_table_lookup (store->parts, key))
                 < MAX (part->tokens, 1U))
        continue;
      if (strcmp (store->data_centre, data_centre) == 0)
        return store;
      found = store;
    }
  return found;
}

/* Weighted rendezvous: a store is preferred as often as its capacity is a
 * part of the whole. */
static double
store_weight (const struct kvstore *store, uint64_t part)
{
  uint64_t hash
      = rendezvous_weight (g_str_hash (store->name), &part, sizeof part);
  double unit = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);

  return -(double)store->capacity_tokens / log (unit);
}

const struct kvstore *
kvstores_place (const struct kvstores *kvstores, uint64_t part,
                unsigned tokens, const char *data_centre)
{
  const struct kvstore *best = NULL;
  bool best_near = false;
  double best_weight = 0;

  for (guint i = 0; i < kvstores->stores->len; i++)
    {
      const struct kvstore *store = kvstores->stores->pdata[i];
      bool near = strcmp (store->data_centre, data_centre) == 0;
      double weight = store_weight (store, part);

      if (!store_may_be_filled (store)
          || (double)(store->held_tokens + tokens)
                 > kvstores->settings.full_share
                       * (double)store->capacity_tokens)
        continue;
      if (best != NULL
          && (near < best_near
              || (near == best_near && weight <= best_weight)))
        continue;
      best = store;
      best_near = near;
      best_weight = weight;
    }
  return best;
}

uint64_t
kvstores_fetch_until_ms (const struct kvstores *kvstores, int64_t span_ns)
{
  int64_t span = MIN (span_ns, KVSTORES_FETCH_MAX_MS * NS_PER_MS);
  int64_t until
      = clock_now (kvstores->clock) + kvstores->engine_clock_ns + span;

  return kvstores->clock_known && until > 0 ? (uint64_t)(until / NS_PER_MS)
                                            : 0;
}

unsigned
kvstore_take_parts (struct kvstore *store, const char *prefix,
                    struct cache_part *parts, unsigned max)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer tokens;

  g_hash_table_iter_init (&iter, store->parts);
  while (count < max && g_hash_table_iter_next (&iter, &key, &tokens))
    {
      const char *text = key;
      const char *space = strrchr (text, ' ');
      size_t size = (size_t)(space - text);

      if (!g_str_has_prefix (text, prefix) || size >= CACHE_SCOPE_MAX)
        continue;
      memcpy (parts[count].scope, text, size);
      parts[count].scope[size] = '\0';
      parts[count].id = g_ascii_strtoull (space + 1, NULL, 16);
      parts[count].tokens = GPOINTER_TO_UINT (tokens);
      store->held_tokens -= parts[count].tokens;
      count++;
      g_hash_table_iter_remove (&iter);
    }
  return count;
}
