#include "orderissuer.h"

#include <string.h>

enum order_kind
{
  KIND_NONE,
  KIND_LOAD,
  KIND_UNLOAD,
  KIND_ROLE
};

static const char *const kind_names[] = { "", "load", "unload", "role" };

/* The order to an engine that has not taken effect yet. */
struct pending_order
{
  enum order_kind kind; /* Kind of order; KIND_NONE if none is pending. */
  struct orderplan_item item;
  char role[ORDERISSUER_NAME_MAX];
  char id[ORDERISSUER_ID_MAX];
  uint64_t attempt; /* Number of the latest attempt. */
  int64_t first_sent_ns;
  int64_t last_sent_ns;
  int64_t retry_due_ns;
  unsigned attempt_count;
  bool awaiting_reply;
  bool accepted; /* Whether the engine replied that it accepts the order. */
  bool refused; /* Whether the engine refused the order, which ends retries. */
};

/* A version that is no longer declared and is unloaded once it is unused. */
struct unload_candidate
{
  struct orderplan_item item; /* Version; its model is "" if there is none. */
  int64_t unwanted_since_ns;
  bool idle_seen; /* Whether the engine reported after the grace period that it
                     had no requests. */
};

struct engine
{
  char name[ORDERISSUER_NAME_MAX];
  char service[DECLARATION_NAME_MAX];
  char role[ORDERISSUER_NAME_MAX]; /* Declared role; "" for any role. */
  bool checks_fencing;
  unsigned load_limit;
  unsigned partition;
  bool delisted; /* Whether the engine is no longer on the host list. */

  GArray *reported_items; /* Versions and adapters in the last report; NULL
                             before the first report. */
  char reported_role[ORDERISSUER_NAME_MAX];
  uint64_t incarnation;
  uint64_t sequence;
  int64_t reported_ns;
  bool leaving;

  uint64_t fencing_token;  /* Fencing token for orders to the engine; 0 if this
                              process does not issue them. */
  int64_t next_order_ns;   /* Time before which no order is sent. */
  unsigned given_up_count; /* Orders given up since one took effect. */
  struct pending_order pending;
  struct unload_candidate unload_candidate;
  struct permit permit;
  const char *wait_reason; /* Last recorded reason of a wait, or NULL. */
};

static void
engine_free (void *data)
{
  struct engine *engine = data;

  if (engine->reported_items != NULL)
    g_array_unref (engine->reported_items);
  g_free (engine);
}

static void
plan_free (void *data)
{
  orderplan_finish (data);
  g_free (data);
}

static void
record_event (struct orderissuer *issuer, struct engine *engine,
              enum orderissuer_event what, const char *text)
{
  issuer->event_counts[what]++;
  issuer->ops->record (issuer->data, what, engine->name, text);
}

/* Set the reason why an order to ENGINE waits, or NULL, and record it if it
 * changed. */
static void
set_wait_reason (struct orderissuer *issuer, struct engine *engine,
                 const char *reason)
{
  if (engine->wait_reason == reason)
    return;
  engine->wait_reason = reason;
  if (reason != NULL)
    record_event (issuer, engine, ORDERISSUER_EVENT_WAITING, reason);
}

static int64_t
jittered_ns (struct orderissuer *issuer, int64_t span_ns)
{
  return span_ns / 2 + (int64_t)rng_below (issuer->rng, (uint64_t)span_ns);
}

/* Whether an order that is sent now arrives while this process still owns the
 * engine's partition under the same fencing token. */
static bool
delivery_within_lease (const struct orderissuer *issuer,
                       const struct engine *engine, uint64_t *fencing_token)
{
  const struct owner *owner = issuer->owner;
  int64_t end = owner->lease_expires_ns - owner->settings.lease_margin_ns;

  return owner_holds (owner, engine->partition, fencing_token)
         && *fencing_token == engine->fencing_token
         && clock_now (issuer->clock) + issuer->settings.delivery_timeout_ns
                < end;
}

static void
pending_send (struct orderissuer *issuer, struct engine *engine)
{
  struct pending_order *pending = &engine->pending;
  struct engine_order what = {
    .id = pending->id,
    .kind = kind_names[pending->kind],
    .model = pending->item.model,
    .version = pending->item.version,
    .adapter = pending->item.adapter,
    .role = pending->role,
  };
  int64_t now = clock_now (issuer->clock);

  if (pending->kind == KIND_LOAD
      && !permit_is_held (&engine->permit,
                          issuer->settings.delivery_timeout_ns
                              + issuer->settings.load_duration_max_ns))
    {
      set_wait_reason (issuer, engine, "lease");
      return;
    }
  pending->retry_due_ns
      = now + jittered_ns (issuer, issuer->settings.retry_mean_ns);
  if (!delivery_within_lease (issuer, engine, &what.fencing_token))
    {
      set_wait_reason (issuer, engine, "lease");
      return;
    }
  pending->attempt = ++issuer->last_attempt;
  pending->first_sent_ns
      = pending->attempt_count == 0 ? now : pending->first_sent_ns;
  pending->last_sent_ns = now;
  pending->attempt_count++;
  pending->awaiting_reply = true;
  set_wait_reason (issuer, engine, NULL);
  issuer->ops->send (issuer->data, engine->name, pending->attempt, &what);
  record_event (issuer, engine, ORDERISSUER_EVENT_SENT, pending->id);
}

/* The order's id is the same whichever process issues the order, because an
 * engine ignores an order whose id it has already received. After orders
 * that were given up without effect, the id gets a suffix, so that the
 * engine executes the new order. */
static void
pending_write_id (struct engine *engine, uint64_t revision)
{
  struct pending_order *pending = &engine->pending;
  size_t length;

  g_snprintf (
      pending->id, sizeof pending->id, "%s/%s/%s/%s/%s%s/%" G_GUINT64_FORMAT,
      engine->name, kind_names[pending->kind], pending->item.model,
      pending->item.version, pending->item.adapter, pending->role, revision);
  length = strlen (pending->id);
  if (engine->given_up_count > 0)
    g_snprintf (pending->id + length, sizeof pending->id - length,
                "/%" G_GUINT64_FORMAT ".%u", engine->fencing_token,
                engine->given_up_count);
}

static void
pending_start (struct orderissuer *issuer, struct engine *engine,
               enum order_kind kind, const struct orderplan_item *item,
               uint64_t revision)
{
  struct pending_order *pending = &engine->pending;

  memset (pending, 0, sizeof *pending);
  pending->kind = kind;
  if (item != NULL)
    pending->item = *item;
  else
    g_strlcpy (pending->role, engine->role, sizeof pending->role);
  pending_write_id (engine, revision);
  pending_send (issuer, engine);
  if (pending->attempt_count == 0)
    pending->kind = KIND_NONE;
}

static void
pending_end (struct engine *engine)
{
  engine->pending.kind = KIND_NONE;
  engine->pending.awaiting_reply = false;
  permit_release (&engine->permit);
}

static void
pending_give_up (struct orderissuer *issuer, struct engine *engine)
{
  record_event (issuer, engine, ORDERISSUER_EVENT_GIVEN_UP,
                engine->pending.id);
  pending_end (engine);
  engine->given_up_count++;
  engine->next_order_ns = clock_now (issuer->clock)
                          + jittered_ns (issuer, issuer->settings.give_up_ns);
}

static bool
pending_took_effect (const struct engine *engine)
{
  const struct pending_order *pending = &engine->pending;

  switch (pending->kind)
    {
    case KIND_LOAD:
      return orderplan_contains (engine->reported_items, &pending->item);
    case KIND_UNLOAD:
      return !orderplan_contains (engine->reported_items, &pending->item);
    default:
      return strcmp (engine->reported_role, pending->role) == 0;
    }
}

static void
pending_tick (struct orderissuer *issuer, struct engine *engine)
{
  struct pending_order *pending = &engine->pending;
  int64_t now = clock_now (issuer->clock);

  if (now - pending->first_sent_ns >= issuer->settings.give_up_ns
      && now - pending->last_sent_ns >= issuer->settings.delivery_timeout_ns)
    pending_give_up (issuer, engine);
  else if (!pending->awaiting_reply && !pending->accepted && !pending->refused
           && now >= pending->retry_due_ns && engine->fencing_token != 0
           && !issuer->stopping && now >= engine->next_order_ns)
    pending_send (issuer, engine);
}

static bool
load_missing (struct orderissuer *issuer, struct engine *engine,
              const struct orderplan *plan)
{
  const struct orderplan_item *item
      = orderplan_first_missing (plan, engine->reported_items);

  if (item == NULL)
    {
      permit_release (&engine->permit);
      return false;
    }
  permit_acquire (&engine->permit, engine->service, engine->load_limit);
  if (engine->permit.state == PERMIT_HELD)
    pending_start (issuer, engine, KIND_LOAD, item, item->revision);
  else
    set_wait_reason (issuer, engine, "permit");
  return true;
}

static bool
unload_unwanted (struct orderissuer *issuer, struct engine *engine,
                 const struct orderplan *plan)
{
  struct unload_candidate *candidate = &engine->unload_candidate;
  const struct orderplan_item *item
      = orderplan_first_unwanted (plan, engine->reported_items);

  if (item == NULL)
    {
      candidate->item.model[0] = '\0';
      return false;
    }
  if (!orderplan_item_equal (&candidate->item, item))
    {
      candidate->item = *item;
      candidate->unwanted_since_ns = clock_now (issuer->clock);
      candidate->idle_seen = false;
    }
  if (candidate->idle_seen)
    pending_start (issuer, engine, KIND_UNLOAD, item, plan->revision);
  else
    set_wait_reason (issuer, engine, "use");
  return true;
}

static void
reconcile (struct orderissuer *issuer, struct engine *engine)
{
  const struct orderplan *plan
      = g_hash_table_lookup (issuer->plans, engine->service);

  if (plan == NULL || engine->leaving || issuer->stopping)
    return;
  if (load_missing (issuer, engine, plan)
      || unload_unwanted (issuer, engine, plan))
    return;
  if (engine->role[0] != '\0'
      && strcmp (engine->role, engine->reported_role) != 0)
    pending_start (issuer, engine, KIND_ROLE, NULL, plan->revision);
  else
    set_wait_reason (issuer, engine, NULL);
}

/* An engine that does not check fencing tokens executes any order. A new
 * issuer of its orders therefore waits until no order of the previous issuer
 * can arrive any more. */
static void
fencing_update (struct orderissuer *issuer, struct engine *engine)
{
  int64_t now = clock_now (issuer->clock);
  int64_t wait = issuer->owner->settings.lease_ttl_ns
                 + issuer->settings.delivery_timeout_ns;
  uint64_t fencing_token;

  if (!owner_holds (issuer->owner, engine->partition, &fencing_token))
    fencing_token = 0;
  if (fencing_token == engine->fencing_token)
    return;
  engine->fencing_token = fencing_token;
  engine->unload_candidate.item.model[0] = '\0';
  if (fencing_token != 0 && !engine->checks_fencing)
    engine->next_order_ns = MAX (engine->next_order_ns, now + wait);
}

static bool
engine_tick (struct orderissuer *issuer, struct engine *engine)
{
  int64_t now = clock_now (issuer->clock);

  issuer->permit_kv_calls -= engine->permit.kv_call_count;
  permit_tick (&engine->permit);
  issuer->permit_kv_calls += engine->permit.kv_call_count;
  fencing_update (issuer, engine);
  if (engine->pending.kind != KIND_NONE)
    pending_tick (issuer, engine);
  else if (engine->fencing_token == 0 || engine->delisted)
    permit_release (&engine->permit);
  else if (now < engine->next_order_ns)
    set_wait_reason (issuer, engine, "fencing");
  else if (engine->reported_items == NULL
           || now - engine->reported_ns > issuer->settings.report_max_age_ns)
    set_wait_reason (issuer, engine, "report");
  else
    reconcile (issuer, engine);
  return engine->delisted && engine->pending.kind == KIND_NONE
         && engine->permit.state == PERMIT_NONE
         && !permit_has_open_call (&engine->permit);
}

void
orderissuer_init (struct orderissuer *issuer,
                  const struct orderissuer_settings *settings,
                  struct owner *owner, struct kv *kv,
                  const struct clock *clock, struct rng *rng,
                  const struct orderissuer_ops *ops, void *data)
{
  memset (issuer, 0, sizeof *issuer);
  issuer->settings = *settings;
  issuer->owner = owner;
  issuer->kv = kv;
  issuer->clock = clock;
  issuer->rng = rng;
  issuer->ops = ops;
  issuer->data = data;
  issuer->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  issuer->plans
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, plan_free);
}

void
orderissuer_finish (struct orderissuer *issuer)
{
  g_hash_table_destroy (issuer->engines);
  g_hash_table_destroy (issuer->plans);
}

void
orderissuer_configure (struct orderissuer *issuer, const struct config *config)
{
  GHashTableIter iter;
  void *key;

  g_hash_table_remove_all (issuer->plans);
  g_hash_table_iter_init (&iter, config->rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct declaration *row = key;
      struct orderplan *plan;

      if (row->type != DECLARATION_MODEL
          || g_hash_table_contains (issuer->plans, row->service))
        continue;
      plan = g_new0 (struct orderplan, 1);
      orderplan_init (plan);
      orderplan_build (plan, config, row->service);
      g_hash_table_insert (issuer->plans, g_strdup (row->service), plan);
    }
}

void
orderissuer_engine_set (struct orderissuer *issuer,
                        const struct orderissuer_engine *declared)
{
  struct engine *engine
      = g_hash_table_lookup (issuer->engines, declared->name);

  if (engine == NULL)
    {
      engine = g_new0 (struct engine, 1);
      g_strlcpy (engine->name, declared->name, sizeof engine->name);
      engine->partition = owner_partition_of_key (
          "engine", engine->name, issuer->owner->settings.partition_count);
      permit_init (&engine->permit, engine->name, issuer->owner, issuer->kv,
                   issuer->clock, issuer->rng);
      g_hash_table_insert (issuer->engines, engine->name, engine);
    }
  /* The engine no longer refuses orders with an old fencing token. The reset
   * makes fencing_update wait until no such order can arrive any more. */
  if (engine->checks_fencing && !declared->checks_fencing)
    engine->fencing_token = 0;
  engine->delisted = false;
  engine->checks_fencing = declared->checks_fencing;
  engine->load_limit = declared->load_limit;
  g_strlcpy (engine->service, declared->service, sizeof engine->service);
  g_strlcpy (engine->role, declared->role, sizeof engine->role);
}

void
orderissuer_engine_remove (struct orderissuer *issuer, const char *name)
{
  struct engine *engine = g_hash_table_lookup (issuer->engines, name);

  if (engine != NULL)
    engine->delisted = true;
}

bool
orderissuer_issues_to (const struct orderissuer *issuer, const char *name)
{
  const struct engine *engine = g_hash_table_lookup (issuer->engines, name);

  return engine != NULL && !engine->delisted
         && owner_holds (issuer->owner, engine->partition, NULL);
}

static void
report_save (struct orderissuer *issuer, struct engine *engine,
             const struct engine_load *load)
{
  if (engine->reported_items != NULL)
    g_array_unref (engine->reported_items);
  engine->reported_items = orderplan_from_report (load);
  engine->incarnation = load->incarnation;
  engine->sequence = load->sequence;
  engine->leaving = load->leaving;
  engine->reported_ns = clock_now (issuer->clock);
  g_strlcpy (engine->reported_role, load->role == NULL ? "" : load->role,
             sizeof engine->reported_role);
}

void
orderissuer_report_received (struct orderissuer *issuer, const char *name,
                             const struct engine_load *load)
{
  struct engine *engine = g_hash_table_lookup (issuer->engines, name);
  struct unload_candidate *candidate;

  if (engine == NULL)
    return;
  if (engine->reported_items != NULL
      && load->incarnation == engine->incarnation
      && load->sequence < engine->sequence)
    return;
  /* A restarted engine has lost the orders that it accepted before. */
  if (load->incarnation != engine->incarnation)
    engine->pending.accepted = false;
  report_save (issuer, engine, load);
  candidate = &engine->unload_candidate;
  if (load->running == 0 && load->queued == 0
      && engine->reported_ns - candidate->unwanted_since_ns
             >= issuer->settings.unload_grace_ns)
    candidate->idle_seen = true;
  if (engine->pending.kind == KIND_NONE || !pending_took_effect (engine))
    return;
  record_event (issuer, engine, ORDERISSUER_EVENT_DONE, engine->pending.id);
  engine->given_up_count = 0;
  pending_end (engine);
}

void
orderissuer_reply_received (struct orderissuer *issuer, const char *name,
                            uint64_t attempt, enum status status)
{
  struct engine *engine = g_hash_table_lookup (issuer->engines, name);
  struct pending_order *pending;

  if (engine == NULL || !engine->pending.awaiting_reply
      || engine->pending.attempt != attempt)
    return;
  pending = &engine->pending;
  pending->awaiting_reply = false;
  pending->accepted = status == STATUS_OK;
  if (status != STATUS_STALE)
    return;
  record_event (issuer, engine, ORDERISSUER_EVENT_REFUSED, pending->id);
  owner_refresh (issuer->owner);
  pending->refused = true;
  /* Give up only if this was the first attempt. The engine may have
   * accepted an earlier one, whose effect is awaited. */
  if (pending->attempt_count == 1)
    pending_give_up (issuer, engine);
}

void
orderissuer_stop (struct orderissuer *issuer)
{
  issuer->stopping = true;
}

bool
orderissuer_loads_ended (const struct orderissuer *issuer)
{
  int64_t span = issuer->settings.delivery_timeout_ns
                 + issuer->settings.load_duration_max_ns;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, issuer->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pending_order *pending = &((struct engine *)value)->pending;

      if (pending->kind == KIND_LOAD
          && clock_now (issuer->clock) - pending->last_sent_ns < span)
        return false;
    }
  return true;
}

void
orderissuer_tick (struct orderissuer *issuer)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, issuer->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (engine_tick (issuer, value))
      g_hash_table_iter_remove (&iter);
}

int64_t
orderissuer_next_due_ns (const struct orderissuer *issuer)
{
  int64_t now = clock_now (issuer->clock);
  int64_t next = CLOCK_NEVER;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, issuer->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct engine *engine = value;
      const struct pending_order *pending = &engine->pending;

      next = MIN (next, permit_next_tick_ns (&engine->permit));
      if (engine->next_order_ns > now)
        next = MIN (next, engine->next_order_ns);
      if (pending->kind != KIND_NONE && !pending->awaiting_reply)
        next = MIN (next, MAX (pending->retry_due_ns, now));
      if (pending->kind != KIND_NONE)
        next
            = MIN (next, pending->first_sent_ns + issuer->settings.give_up_ns);
    }
  return next;
}
