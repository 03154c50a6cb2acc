#include "weightswap.h"
#include "rendezvous.h"
#include "weights.h"

#include <string.h>

enum
{
  RETRY_MS = 250,    /* until an engine is asked again */
  REFUSED_MS = 1000, /* after an order that can't be carried out */
  SWAP_MS = 1300, /* An engine ends its runs and loads in about this time. */
  BUSY_MS = 400,  /* for which an ordered engine gets no requests */
  LEASE_MARGIN_MS = 700, /* No order is sent so shortly before the end. */
  /* Each further host in the order of preference waits longer before it takes
   * a vacant duty, so that mostly one of them writes. */
  RANK_DELAY_MS = 250
};

/* The part of the time for new weights in which all engines are to have them;
 * over 1, since those that are late get no requests any more. */
static const double part_of_time = 1.2;

enum swap_step
{
  SWAP_STEP_ASK, /* next: ask the engine */
  SWAP_STEP_WAIT /* a call is open */
};

struct swap
{
  struct weightswap *weightswap;
  struct server *server;
  char model[SERVER_NAME_MAX];
  uint64_t version;
  uint64_t fence;
  enum swap_step step;
  bool counted;   /* in weightswap.open */
  bool abandoned; /* released when its open call is answered */
  int64_t next_ns;
};

static void
swap_count (struct swap *swap, bool open)
{
  if (swap->counted == open)
    return;
  swap->counted = open;
  swap->weightswap->open += open ? 1 : -1;
}

static void
swap_release (struct swap *swap)
{
  server_unref (swap->server);
  g_free (swap);
}

/* From the table of swaps. */
static void
swap_drop (void *data)
{
  struct swap *swap = data;

  swap_count (swap, false);
  if (swap->step == SWAP_STEP_WAIT)
    swap->abandoned = true;
  else
    swap_release (swap);
}

void
weightswap_init (struct weightswap *weightswap,
                 const struct weightswap_settings *settings, struct kv *kv,
                 const struct clock *clock, struct log *log,
                 const struct dialect *dialect, struct httpjson *httpjson,
                 struct presence *presence, struct servers *servers,
                 GHashTable *wanted, const char *key, const char *name)
{
  memset (weightswap, 0, sizeof *weightswap);
  weightswap->settings = *settings;
  weightswap->kv = kv;
  weightswap->clock = clock;
  weightswap->log = log;
  weightswap->dialect = dialect;
  weightswap->httpjson = httpjson;
  weightswap->presence = presence;
  weightswap->servers = servers;
  weightswap->wanted = wanted;
  weightswap->key = key;
  weightswap->name = g_strdup (name);
  weightswap->vacant_ns = clock_now (clock);
  weightswap->limit = settings->at_once;
  weightswap->swaps
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, swap_drop);
}

void
weightswap_finish (struct weightswap *weightswap)
{
  g_hash_table_destroy (weightswap->swaps);
  g_free (weightswap->name);
}

static void
duty_lost (struct weightswap *weightswap, const char *reason)
{
  if (weightswap->fence == 0)
    return;
  log_event (weightswap->log, EVENT_DUTY_LOST, "duty=%s fence=%lu reason=%s",
             weightswap->key, (unsigned long)weightswap->fence, reason);
  weightswap->fence = 0;
  g_hash_table_remove_all (weightswap->swaps);
}

static void
duty_taken (struct weightswap *weightswap, uint64_t fence)
{
  weightswap->taken = true;
  weightswap->fence = fence;
  weightswap->fence_lease = weightswap->take_lease;
  weightswap->held_ns = clock_now (weightswap->clock);
  log_event (weightswap->log, EVENT_DUTY_TAKEN, "duty=%s fence=%lu",
             weightswap->key, (unsigned long)fence);
}

void
weightswap_key_put (struct weightswap *weightswap, const char *value,
                    uint64_t revision)
{
  bool own = strcmp (value, weightswap->name) == 0;

  weightswap->taken = true;
  if (!own && revision > weightswap->fence)
    duty_lost (weightswap, "taken_over");
  weightswap->own_revision = own ? revision : 0;
}

void
weightswap_key_removed (struct weightswap *weightswap)
{
  weightswap->taken = false;
  weightswap->own_revision = 0;
  weightswap->vacant_ns = clock_now (weightswap->clock);
  duty_lost (weightswap, "key_gone");
}

static void
on_taken (void *data, const struct kv_reply *reply)
{
  struct weightswap *weightswap = data;

  weightswap->in_call = false;
  if (reply->status != STATUS_OK)
    {
      weightswap->vacant_ns = clock_now (weightswap->clock);
      return;
    }
  if (weightswap->fence == 0 && !weightswap->stopping)
    duty_taken (weightswap, reply->revision);
}

static void
on_given_back (void *data, const struct kv_reply *reply)
{
}

/* The place of this host among all in the order of preference. */
static unsigned
duty_rank (const struct weightswap *weightswap)
{
  const struct presence *presence = weightswap->presence;
  uint64_t own = rendezvous_weight (g_str_hash (presence->key),
                                    weightswap->key, strlen (weightswap->key));
  unsigned rank = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    rank += rendezvous_weight (g_str_hash (key), weightswap->key,
                               strlen (weightswap->key))
            > own;
  return rank;
}

static void
duty_take (struct weightswap *weightswap)
{
  struct kv_compare compare = { weightswap->key, 0 };
  struct kv_write write
      = { weightswap->key, weightswap->name, weightswap->presence->lease };
  struct kv_txn txn = { &compare, 1, &write, 1 };
  int64_t wait
      = (int64_t)(1 + duty_rank (weightswap)) * RANK_DELAY_MS * NS_PER_MS;

  if (!presence_lease_holds (weightswap->presence, LEASE_MARGIN_MS * NS_PER_MS)
      || clock_now (weightswap->clock) - weightswap->vacant_ns < wait)
    return;
  weightswap->in_call = true;
  weightswap->take_lease = weightswap->presence->lease;
  weightswap->kv->ops->txn (weightswap->kv, &txn, on_taken, weightswap);
}

bool
weightswap_may_order (const struct weightswap *weightswap)
{
  int64_t held = clock_now (weightswap->clock) - weightswap->held_ns;

  return weightswap->fence != 0 && !weightswap->stopping
         && weightswap->fence != weightswap->refused_fence
         && weightswap->presence->lease == weightswap->fence_lease
         && (weightswap->settings.fenced
             || held > weightswap->settings.takeover_ns)
         && presence_lease_holds (weightswap->presence,
                                  LEASE_MARGIN_MS * NS_PER_MS);
}

static void
swap_again (struct swap *swap, int64_t wait_ms)
{
  swap->step = SWAP_STEP_ASK;
  swap->next_ns = clock_now (swap->weightswap->clock) + wait_ms * NS_PER_MS;
}

/* Whether the answer to an open call still matters; else SWAP is gone. */
static bool
swap_resume (struct swap *swap)
{
  swap->step = SWAP_STEP_ASK;
  if (!swap->abandoned)
    return true;
  swap_release (swap);
  return false;
}

static void
swap_done (struct swap *swap)
{
  struct weightswap *weightswap = swap->weightswap;

  server_set_version (swap->server, swap->model, swap->version);
  swap->server->busy_until_ns = 0;
  log_event (weightswap->log, EVENT_SWAP_DONE,
             "server=%s model=%s version=%lu fence=%lu",
             swap->server->entry.id, swap->model, (unsigned long)swap->version,
             (unsigned long)swap->fence);
  g_hash_table_remove (weightswap->swaps, swap->server->entry.id);
}

static void
on_order_answered (void *data, enum swap_answer answer)
{
  static const char *const names[]
      = { "accepted",     "done",    "busy",   "fenced",
          "other_server", "refused", "unknown" };
  struct swap *swap = data;
  struct weightswap *weightswap = swap->weightswap;

  if (!swap_resume (swap))
    return;
  log_event (weightswap->log, EVENT_SWAP_ANSWER,
             "server=%s model=%s version=%lu fence=%lu answer=%s",
             swap->server->entry.id, swap->model, (unsigned long)swap->version,
             (unsigned long)swap->fence, names[answer]);
  switch (answer)
    {
    case SWAP_DONE:
      swap_done (swap);
      break;
    case SWAP_FENCED:
      weightswap->refused_fence = swap->fence;
      duty_lost (weightswap, "fenced");
      break;
    case SWAP_REFUSED:
    case SWAP_OTHER:
      swap_count (swap, false);
      swap_again (swap, REFUSED_MS);
      break;
    default:
      swap_again (swap, RETRY_MS);
      break;
    }
}

static void
swap_order (struct swap *swap, uint64_t orders)
{
  struct weightswap *weightswap = swap->weightswap;
  struct swap_order order = {
    .server_id = swap->server->entry.id,
    .model = swap->model,
    .version = swap->version,
    .holder = weightswap->name,
    .fence = weightswap->fence,
    .orders = orders,
  };

  if (!weightswap_may_order (weightswap))
    {
      swap_again (swap, RETRY_MS);
      return;
    }
  if (!swap->counted && weightswap->open >= weightswap->limit)
    {
      swap_again (swap, RETRY_MS);
      return;
    }
  swap_count (swap, true);
  swap->fence = weightswap->fence;
  swap->step = SWAP_STEP_WAIT;
  weightswap->orders++;
  weightswap->order_ns = clock_now (weightswap->clock);
  server_set_busy (swap->server, weightswap->order_ns + BUSY_MS * NS_PER_MS);
  log_event (weightswap->log, EVENT_SWAP_ORDER,
             "server=%s model=%s version=%lu fence=%lu orders=%lu open=%u",
             order.server_id, order.model, (unsigned long)order.version,
             (unsigned long)order.fence, (unsigned long)orders,
             weightswap->open);
  weightswap->dialect->swap_send (
      weightswap->httpjson, swap->server->entry.address, &order,
      weightswap->settings.call_ns, on_order_answered, swap);
}

static uint64_t
report_version (const struct swap_report *report, const char *model)
{
  for (unsigned i = 0; i < report->model_count; i++)
    if (strcmp (report->models[i].name, model) == 0)
      return report->models[i].version;
  return 0;
}

static void
on_asked (void *data, const struct swap_report *report)
{
  struct swap *swap = data;

  if (!swap_resume (swap))
    return;
  if (!report->answered)
    swap_again (swap, RETRY_MS);
  else if (report_version (report, swap->model) >= swap->version)
    swap_done (swap);
  else if (report->busy)
    {
      swap_count (swap, true);
      server_set_busy (swap->server, clock_now (swap->weightswap->clock)
                                         + BUSY_MS * NS_PER_MS);
      swap_again (swap, RETRY_MS);
    }
  else
    swap_order (swap, report->orders);
}

static void
swap_ask (struct swap *swap)
{
  struct weightswap *weightswap = swap->weightswap;

  swap->step = SWAP_STEP_WAIT;
  weightswap->dialect->swap_ask (
      weightswap->httpjson, swap->server->entry.address,
      swap->server->entry.id, weightswap->settings.call_ns, on_asked, swap);
}

static void
swap_begin (struct weightswap *weightswap, struct server *server,
            const struct wanted_weights *wanted)
{
  struct swap *swap
      = g_hash_table_lookup (weightswap->swaps, server->entry.id);

  if (swap != NULL)
    {
      swap->version = wanted->version;
      return;
    }
  if (weightswap->open >= weightswap->limit
      || g_hash_table_size (weightswap->swaps) >= weightswap->limit)
    return;
  swap = g_new0 (struct swap, 1);
  swap->weightswap = weightswap;
  swap->server = server_ref (server);
  g_strlcpy (swap->model, wanted->model, sizeof swap->model);
  swap->version = wanted->version;
  g_hash_table_insert (weightswap->swaps, server->entry.id, swap);
}

/* Begin with those that have the least to do. */
static gint
less_busy_first (gconstpointer a, gconstpointer b)
{
  const struct server *left = *(struct server *const *)a;
  const struct server *right = *(struct server *const *)b;
  unsigned left_load = left->in_flight + left->others_running;
  unsigned right_load = right->in_flight + right->others_running;

  return (left_load > right_load) - (left_load < right_load);
}

/* How many of the engines BEHIND change together, in their order: a share of
 * ALL there are, and as many as it takes to have each done in its time, but at
 * most half of those behind, so that the rest serves. */
static unsigned
swap_limit (const struct weightswap *weightswap,
            const struct wanted_weights *wanted, const GPtrArray *behind,
            unsigned all)
{
  const struct weightswap_settings *settings = &weightswap->settings;
  int64_t now = clock_now (weightswap->clock);
  double span = part_of_time * (double)settings->within_ns;
  unsigned usual = MAX ((unsigned)(settings->share * all), settings->at_once);
  unsigned half = MAX (behind->len / 2, 1U);
  double needed = 0;

  for (guint i = 0; i < behind->len; i++)
    {
      uint64_t version = server_version (behind->pdata[i], wanted->model);
      double left = span - (double)(now - weights_behind_ns (wanted, version));

      needed = MAX (needed,
                    (i + 1) * (double)SWAP_MS * NS_PER_MS / MAX (left, 1.0));
    }
  return MAX ((unsigned)MIN (needed, (double)half), usual);
}

static void
swaps_begin (struct weightswap *weightswap,
             const struct wanted_weights *wanted)
{
  GPtrArray *behind = g_ptr_array_new ();
  unsigned all = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, weightswap->servers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = value;
      uint64_t version = server_version (server, wanted->model);

      all += version != 0;
      if (version != 0 && version < wanted->version && !server->entry.leaving
          && server->down_since_ns == 0)
        g_ptr_array_add (behind, server);
    }
  g_ptr_array_sort (behind, less_busy_first);
  weightswap->limit = swap_limit (weightswap, wanted, behind, all);
  for (guint i = 0; i < behind->len; i++)
    swap_begin (weightswap, behind->pdata[i], wanted);
  g_ptr_array_free (behind, TRUE);
}

static gboolean
swap_is_over (gpointer key, gpointer value, gpointer data)
{
  const struct swap *swap = value;
  const struct server *server = swap->server;

  return server->removed || server->entry.leaving || server->down_since_ns != 0
         || server_version (server, swap->model) >= swap->version;
}

void
weightswap_stop (struct weightswap *weightswap)
{
  struct kv_compare compare = { weightswap->key, weightswap->fence };
  struct kv_write write = { weightswap->key, NULL, 0 };
  struct kv_txn txn = { &compare, 1, &write, 1 };

  weightswap->stopping = true;
  if (weightswap->fence == 0)
    return;
  weightswap->kv->ops->txn (weightswap->kv, &txn, on_given_back, weightswap);
  duty_lost (weightswap, "stopping");
}

bool
weightswap_is_open (const struct weightswap *weightswap,
                    const struct server *server)
{
  const struct swap *swap
      = g_hash_table_lookup (weightswap->swaps, server->entry.id);

  return swap != NULL && swap->counted;
}

bool
weightswap_was_active (const struct weightswap *weightswap, int64_t span_ns)
{
  return weightswap->fence != 0 && weightswap->order_ns != 0
         && clock_now (weightswap->clock) - weightswap->order_ns < span_ns;
}

/* The reply to the write was lost, the write was not. */
static bool
claim_is_unnoticed (const struct weightswap *weightswap)
{
  return weightswap->fence == 0 && weightswap->own_revision != 0
         && !weightswap->in_call
         && weightswap->own_revision != weightswap->refused_fence
         && weightswap->presence->lease == weightswap->take_lease;
}

void
weightswap_tick (struct weightswap *weightswap)
{
  int64_t now = clock_now (weightswap->clock);
  GHashTableIter iter;
  gpointer value;

  if (weightswap->stopping)
    return;
  if (weightswap->fence != 0
      && weightswap->presence->lease != weightswap->fence_lease)
    duty_lost (weightswap, "lease_ended");
  if (claim_is_unnoticed (weightswap))
    duty_taken (weightswap, weightswap->own_revision);
  if (weightswap->fence == 0)
    {
      if (!weightswap->taken && !weightswap->in_call)
        duty_take (weightswap);
      return;
    }
  g_hash_table_foreach_remove (weightswap->swaps, swap_is_over, NULL);
  g_hash_table_iter_init (&iter, weightswap->wanted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    swaps_begin (weightswap, value);
  if (!weightswap_may_order (weightswap))
    return;
  g_hash_table_iter_init (&iter, weightswap->swaps);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct swap *swap = value;

      if (swap->step == SWAP_STEP_ASK && now >= swap->next_ns)
        swap_ask (swap);
    }
}
