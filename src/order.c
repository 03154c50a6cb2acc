#include "order.h"

#include <string.h>

enum order_kind
{
  KIND_NONE,
  KIND_LOAD,
  KIND_UNLOAD,
  KIND_ROLE
};

static const char *const kind_names[] = { "", "load", "unload", "role" };

/* The one order of an engine that has not yet shown its effect. */
struct pending
{
  enum order_kind kind;
  struct orderplan_item item;
  char role[ORDER_NAME_MAX];
  char id[ORDER_ID_MAX];
  uint64_t number;  /* of the last send */
  int64_t since_ns; /* of the first send */
  int64_t sent_ns;
  int64_t due_ns; /* when to send it again */
  unsigned sends;
  bool open;     /* a reply is awaited */
  bool accepted; /* the engine has it */
  bool refused;  /* not sent again */
};

/* A version that may be unloaded once nothing needs it. */
struct leftover
{
  struct orderplan_item item; /* model "": none */
  int64_t since_ns;
  bool idle; /* The engine ran nothing, after it had lingered. */
};

struct engine
{
  char name[ORDER_NAME_MAX];
  char service[DECLARATION_NAME_MAX];
  char role[ORDER_NAME_MAX];
  bool checks_fencing;
  unsigned load_limit;
  unsigned partition;
  bool gone;

  GArray *loaded; /* as reported; NULL before the first report */
  char role_now[ORDER_NAME_MAX];
  uint64_t incarnation;
  uint64_t sequence;
  int64_t report_ns;
  bool leaving;

  uint64_t fencing;  /* under which we issue; 0: we do not */
  int64_t from_ns;   /* no order before */
  unsigned attempts; /* orders given up in a row */
  struct pending pending;
  struct leftover leftover;
  struct permit permit;
  const char *waiting; /* the reason last noted */
};

static void
engine_free (void *data)
{
  struct engine *engine = data;

  if (engine->loaded != NULL)
    g_array_unref (engine->loaded);
  g_free (engine);
}

static void
plan_free (void *data)
{
  orderplan_finish (data);
  g_free (data);
}

static void
note (struct order *order, struct engine *engine, enum order_note what,
      const char *text)
{
  order->notes[what]++;
  order->ops->note (order->data, what, engine->name, text);
}

/* Note each reason once. */
static void
wait_for (struct order *order, struct engine *engine, const char *reason)
{
  if (engine->waiting == reason)
    return;
  engine->waiting = reason;
  if (reason != NULL)
    note (order, engine, ORDER_NOTE_WAITING, reason);
}

static int64_t
jittered (struct order *order, int64_t span_ns)
{
  return span_ns / 2 + (int64_t)rng_below (order->rng, (uint64_t)span_ns);
}

/* Whether an order that is sent now arrives while we are the issuer. */
static bool
may_send (const struct order *order, const struct engine *engine,
          uint64_t *fencing)
{
  const struct owner *owner = order->owner;
  int64_t end = owner->lease_until - owner->settings.margin_ns;

  return owner_holds (owner, engine->partition, fencing)
         && *fencing == engine->fencing
         && clock_now (order->clock) + order->settings.flight_ns < end;
}

static void
pending_send (struct order *order, struct engine *engine)
{
  struct pending *pending = &engine->pending;
  struct engine_order what = {
    .id = pending->id,
    .kind = kind_names[pending->kind],
    .model = pending->item.model,
    .version = pending->item.version,
    .adapter = pending->item.adapter,
    .role = pending->role,
  };
  int64_t now = clock_now (order->clock);

  if (pending->kind == KIND_LOAD
      && !permit_held (&engine->permit,
                       order->settings.flight_ns + order->settings.load_ns))
    {
      wait_for (order, engine, "lease");
      return;
    }
  pending->due_ns = now + jittered (order, order->settings.retry_ns);
  if (!may_send (order, engine, &what.fencing))
    {
      wait_for (order, engine, "lease");
      return;
    }
  pending->number = ++order->last_number;
  pending->since_ns = pending->sends == 0 ? now : pending->since_ns;
  pending->sent_ns = now;
  pending->sends++;
  pending->open = true;
  wait_for (order, engine, NULL);
  order->ops->send (order->data, engine->name, pending->number, &what);
  note (order, engine, ORDER_NOTE_SENT, pending->id);
}

/* An id that is the same whoever issues the order; only after one without
 * effect does it differ, since engines do nothing on a repeat. */
static void
pending_name (struct engine *engine, uint64_t revision)
{
  struct pending *pending = &engine->pending;
  size_t length;

  g_snprintf (
      pending->id, sizeof pending->id, "%s/%s/%s/%s/%s%s/%" G_GUINT64_FORMAT,
      engine->name, kind_names[pending->kind], pending->item.model,
      pending->item.version, pending->item.adapter, pending->role, revision);
  length = strlen (pending->id);
  if (engine->attempts > 0)
    g_snprintf (pending->id + length, sizeof pending->id - length,
                "/%" G_GUINT64_FORMAT ".%u", engine->fencing,
                engine->attempts);
}

static void
pending_start (struct order *order, struct engine *engine,
               enum order_kind kind, const struct orderplan_item *item,
               uint64_t revision)
{
  struct pending *pending = &engine->pending;

  memset (pending, 0, sizeof *pending);
  pending->kind = kind;
  if (item != NULL)
    pending->item = *item;
  else
    g_strlcpy (pending->role, engine->role, sizeof pending->role);
  pending_name (engine, revision);
  pending_send (order, engine);
  if (pending->sends == 0)
    pending->kind = KIND_NONE;
}

static void
pending_end (struct engine *engine)
{
  engine->pending.kind = KIND_NONE;
  engine->pending.open = false;
  permit_release (&engine->permit);
}

static void
pending_give_up (struct order *order, struct engine *engine)
{
  note (order, engine, ORDER_NOTE_GIVEN_UP, engine->pending.id);
  pending_end (engine);
  engine->attempts++;
  engine->from_ns = clock_now (order->clock)
                    + jittered (order, order->settings.give_up_ns);
}

static bool
pending_settled (const struct engine *engine)
{
  const struct pending *pending = &engine->pending;

  switch (pending->kind)
    {
    case KIND_LOAD:
      return orderplan_has (engine->loaded, &pending->item);
    case KIND_UNLOAD:
      return !orderplan_has (engine->loaded, &pending->item);
    default:
      return strcmp (engine->role_now, pending->role) == 0;
    }
}

static void
pending_tick (struct order *order, struct engine *engine)
{
  struct pending *pending = &engine->pending;
  int64_t now = clock_now (order->clock);

  if (now - pending->since_ns >= order->settings.give_up_ns
      && now - pending->sent_ns >= order->settings.flight_ns)
    pending_give_up (order, engine);
  else if (!pending->open && !pending->accepted && !pending->refused
           && now >= pending->due_ns && engine->fencing != 0
           && !order->stopping && now >= engine->from_ns)
    pending_send (order, engine);
}

static bool
want_load (struct order *order, struct engine *engine,
           const struct orderplan *plan)
{
  const struct orderplan_item *item = orderplan_missing (plan, engine->loaded);

  if (item == NULL)
    {
      permit_release (&engine->permit);
      return false;
    }
  permit_ask (&engine->permit, engine->service, engine->load_limit);
  if (engine->permit.state == PERMIT_HELD)
    pending_start (order, engine, KIND_LOAD, item, item->revision);
  else
    wait_for (order, engine, "permit");
  return true;
}

static bool
want_unload (struct order *order, struct engine *engine,
             const struct orderplan *plan)
{
  struct leftover *leftover = &engine->leftover;
  const struct orderplan_item *item
      = orderplan_unwanted (plan, engine->loaded);

  if (item == NULL)
    {
      leftover->item.model[0] = '\0';
      return false;
    }
  if (!orderplan_equal (&leftover->item, item))
    {
      leftover->item = *item;
      leftover->since_ns = clock_now (order->clock);
      leftover->idle = false;
    }
  if (leftover->idle)
    pending_start (order, engine, KIND_UNLOAD, item, plan->revision);
  else
    wait_for (order, engine, "use");
  return true;
}

static void
compare (struct order *order, struct engine *engine)
{
  const struct orderplan *plan
      = g_hash_table_lookup (order->plans, engine->service);

  if (plan == NULL || engine->leaving || order->stopping)
    return;
  if (want_load (order, engine, plan) || want_unload (order, engine, plan))
    return;
  if (engine->role[0] != '\0' && strcmp (engine->role, engine->role_now) != 0)
    pending_start (order, engine, KIND_ROLE, NULL, plan->revision);
  else
    wait_for (order, engine, NULL);
}

/* A new issuer of an engine that takes any order waits until no order of the
 * one before can arrive. */
static void
term_update (struct order *order, struct engine *engine)
{
  int64_t now = clock_now (order->clock);
  int64_t wait = order->owner->settings.lease_ns + order->settings.flight_ns;
  uint64_t fencing;

  if (!owner_holds (order->owner, engine->partition, &fencing))
    fencing = 0;
  if (fencing == engine->fencing)
    return;
  engine->fencing = fencing;
  engine->leftover.item.model[0] = '\0';
  if (fencing != 0 && !engine->checks_fencing)
    engine->from_ns = MAX (engine->from_ns, now + wait);
}

static bool
engine_tick (struct order *order, struct engine *engine)
{
  int64_t now = clock_now (order->clock);

  order->kv_calls -= engine->permit.calls;
  permit_tick (&engine->permit);
  order->kv_calls += engine->permit.calls;
  term_update (order, engine);
  if (engine->pending.kind != KIND_NONE)
    pending_tick (order, engine);
  else if (engine->fencing == 0 || engine->gone)
    permit_release (&engine->permit);
  else if (now < engine->from_ns)
    wait_for (order, engine, "fencing");
  else if (engine->loaded == NULL
           || now - engine->report_ns > order->settings.report_ns)
    wait_for (order, engine, "report");
  else
    compare (order, engine);
  return engine->gone && engine->pending.kind == KIND_NONE
         && engine->permit.state == PERMIT_NONE
         && !permit_busy (&engine->permit);
}

void
order_init (struct order *order, const struct order_settings *settings,
            struct owner *owner, struct kv *kv, const struct clock *clock,
            struct rng *rng, const struct order_ops *ops, void *data)
{
  memset (order, 0, sizeof *order);
  order->settings = *settings;
  order->owner = owner;
  order->kv = kv;
  order->clock = clock;
  order->rng = rng;
  order->ops = ops;
  order->data = data;
  order->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  order->plans
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, plan_free);
}

void
order_finish (struct order *order)
{
  g_hash_table_destroy (order->engines);
  g_hash_table_destroy (order->plans);
}

void
order_configure (struct order *order, const struct config *config)
{
  GHashTableIter iter;
  void *key;

  g_hash_table_remove_all (order->plans);
  g_hash_table_iter_init (&iter, config->rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct declaration *row = key;
      struct orderplan *plan;

      if (row->type != DECLARATION_MODEL
          || g_hash_table_contains (order->plans, row->service))
        continue;
      plan = g_new0 (struct orderplan, 1);
      orderplan_init (plan);
      orderplan_read (plan, config, row->service);
      g_hash_table_insert (order->plans, g_strdup (row->service), plan);
    }
}

void
order_engine_set (struct order *order, const struct order_engine *info)
{
  struct engine *engine = g_hash_table_lookup (order->engines, info->name);

  if (engine == NULL)
    {
      engine = g_new0 (struct engine, 1);
      g_strlcpy (engine->name, info->name, sizeof engine->name);
      engine->partition = owner_partition ("engine", engine->name,
                                           order->owner->settings.partitions);
      permit_init (&engine->permit, engine->name, order->owner, order->kv,
                   order->clock, order->rng);
      g_hash_table_insert (order->engines, engine->name, engine);
    }
  /* What it did not check before may still fly. */
  if (engine->checks_fencing && !info->checks_fencing)
    engine->fencing = 0;
  engine->gone = false;
  engine->checks_fencing = info->checks_fencing;
  engine->load_limit = info->load_limit;
  g_strlcpy (engine->service, info->service, sizeof engine->service);
  g_strlcpy (engine->role, info->role, sizeof engine->role);
}

void
order_engine_gone (struct order *order, const char *name)
{
  struct engine *engine = g_hash_table_lookup (order->engines, name);

  if (engine != NULL)
    engine->gone = true;
}

bool
order_engine_ours (const struct order *order, const char *name)
{
  const struct engine *engine = g_hash_table_lookup (order->engines, name);

  return engine != NULL && !engine->gone
         && owner_holds (order->owner, engine->partition, NULL);
}

static void
report_take (struct order *order, struct engine *engine,
             const struct engine_load *load)
{
  if (engine->loaded != NULL)
    g_array_unref (engine->loaded);
  engine->loaded = orderplan_reported (load);
  engine->incarnation = load->incarnation;
  engine->sequence = load->sequence;
  engine->leaving = load->leaving;
  engine->report_ns = clock_now (order->clock);
  g_strlcpy (engine->role_now, load->role == NULL ? "" : load->role,
             sizeof engine->role_now);
}

void
order_report (struct order *order, const char *name,
              const struct engine_load *load)
{
  struct engine *engine = g_hash_table_lookup (order->engines, name);
  struct leftover *leftover;

  if (engine == NULL)
    return;
  if (engine->loaded != NULL && load->incarnation == engine->incarnation
      && load->sequence < engine->sequence)
    return;
  /* One that started anew knows nothing of earlier orders. */
  if (load->incarnation != engine->incarnation)
    engine->pending.accepted = false;
  report_take (order, engine, load);
  leftover = &engine->leftover;
  if (load->running == 0 && load->queued == 0
      && engine->report_ns - leftover->since_ns >= order->settings.linger_ns)
    leftover->idle = true;
  if (engine->pending.kind == KIND_NONE || !pending_settled (engine))
    return;
  note (order, engine, ORDER_NOTE_DONE, engine->pending.id);
  engine->attempts = 0;
  pending_end (engine);
}

void
order_replied (struct order *order, const char *name, uint64_t number,
               enum status status)
{
  struct engine *engine = g_hash_table_lookup (order->engines, name);
  struct pending *pending;

  if (engine == NULL || !engine->pending.open
      || engine->pending.number != number)
    return;
  pending = &engine->pending;
  pending->open = false;
  pending->accepted = status == STATUS_OK;
  if (status != STATUS_STALE)
    return;
  note (order, engine, ORDER_NOTE_REFUSED, pending->id);
  owner_refresh (order->owner);
  pending->refused = true;
  /* An earlier send of it may have been taken. */
  if (pending->sends == 1)
    pending_give_up (order, engine);
}

void
order_stop (struct order *order)
{
  order->stopping = true;
}

bool
order_idle (const struct order *order)
{
  int64_t span = order->settings.flight_ns + order->settings.load_ns;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, order->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pending *pending = &((struct engine *)value)->pending;

      if (pending->kind == KIND_LOAD
          && clock_now (order->clock) - pending->sent_ns < span)
        return false;
    }
  return true;
}

void
order_tick (struct order *order)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, order->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (engine_tick (order, value))
      g_hash_table_iter_remove (&iter);
}

int64_t
order_next (const struct order *order)
{
  int64_t now = clock_now (order->clock);
  int64_t next = CLOCK_NEVER;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, order->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct engine *engine = value;
      const struct pending *pending = &engine->pending;

      next = MIN (next, permit_next (&engine->permit));
      if (engine->from_ns > now)
        next = MIN (next, engine->from_ns);
      if (pending->kind != KIND_NONE && !pending->open)
        next = MIN (next, MAX (pending->due_ns, now));
      if (pending->kind != KIND_NONE)
        next = MIN (next, pending->since_ns + order->settings.give_up_ns);
    }
  return next;
}
