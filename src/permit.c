#include "permit.h"

#include <glib.h>
#include <string.h>

#define BACKOFF_MIN_NS (200 * NS_PER_MS)
#define BACKOFF_MAX_NS (5 * NS_PER_S)
/* By then a claim without an answer has taken effect, or never does. */
#define DOUBT_NS (5 * NS_PER_S)

enum
{
  BACKOFF_SHIFT_MAX = 5
};

/* What a range says about the pool. */
struct pool_view
{
  bool taken[PERMIT_LIMIT_MAX];
  const struct kv_item *own; /* our key, or NULL */
};

static void
prefix_write (const struct permit *permit, char prefix[KV_KEY_MAX])
{
  g_snprintf (prefix, KV_KEY_MAX, "permit/%s/", permit->pool);
}

/* Half to all of a span that doubles with each failure in a row. */
static void
wait_again (struct permit *permit)
{
  unsigned shift = MIN (permit->failures, BACKOFF_SHIFT_MAX);
  int64_t span = MIN (BACKOFF_MIN_NS << shift, BACKOFF_MAX_NS);

  permit->failures++;
  permit->due_ns = clock_now (permit->clock) + span / 2
                   + (int64_t)rng_below (permit->rng, (uint64_t)span / 2);
}

static void
set_state (struct permit *permit, enum permit_state state)
{
  permit->state = state;
  permit->failures = 0;
  permit->due_ns = clock_now (permit->clock);
}

/* The lease is named, so that a key of an earlier one is never taken for
 * ours. */
static void
take_lease (struct permit *permit)
{
  permit->lease = permit->owner->lease;
  g_snprintf (permit->mark, sizeof permit->mark,
              "%016" G_GINT64_MODIFIER "x %" G_GUINT64_FORMAT " %s",
              permit->owner->node, permit->lease, permit->name);
}

static bool
lease_over (const struct permit *permit)
{
  const struct owner *owner = permit->owner;

  return permit->lease == 0 || permit->lease != owner->lease
         || clock_now (permit->clock)
                >= owner->lease_until - owner->settings.margin_ns;
}

static void
on_txn (void *data, const struct kv_reply *reply)
{
  struct permit *permit = data;
  bool ok = reply->status == STATUS_OK;

  permit->open = false;
  if (permit->state == PERMIT_CLAIMING && ok)
    {
      set_state (permit, PERMIT_HELD);
      return;
    }
  if (permit->state == PERMIT_CLAIMING)
    {
      permit->doubtful |= reply->status == STATUS_UNKNOWN
                          || reply->status == STATUS_CANCELLED;
      permit->state = PERMIT_WAITING;
      wait_again (permit);
      return;
    }
  if (ok && !permit->doubtful)
    set_state (permit, PERMIT_NONE);
  else
    wait_again (permit);
}

static void
txn_send (struct permit *permit, uint64_t revision, const char *value)
{
  struct kv_compare compare = { permit->key, revision };
  struct kv_write write
      = { permit->key, value, value == NULL ? 0 : permit->lease };
  struct kv_txn txn = { &compare, 1, &write, 1 };

  permit->open = true;
  permit->calls++;
  permit->kv->ops->txn (permit->kv, &txn, on_txn, permit);
}

static void
view_read (const struct permit *permit, const struct kv_reply *reply,
           struct pool_view *view)
{
  char prefix[KV_KEY_MAX];
  size_t length;

  memset (view, 0, sizeof *view);
  prefix_write (permit, prefix);
  length = strlen (prefix);
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct kv_item *item = &reply->items[i];
      guint64 slot = g_ascii_strtoull (item->key + length, NULL, 10);

      if (slot < PERMIT_LIMIT_MAX)
        view->taken[slot] = true;
      if (g_str_equal (item->value, permit->mark))
        view->own = item;
    }
}

/* A free key, or LIMIT; the first one looked at differs between processes. */
static unsigned
free_slot (const struct permit *permit, const struct pool_view *view)
{
  unsigned first = (unsigned)rng_below (permit->rng, permit->limit);

  for (unsigned i = 0; i < permit->limit; i++)
    if (!view->taken[(first + i) % permit->limit])
      return (first + i) % permit->limit;
  return permit->limit;
}

static void
claim (struct permit *permit, const struct pool_view *view)
{
  unsigned slot = free_slot (permit, view);

  if (slot == permit->limit || lease_over (permit))
    {
      wait_again (permit);
      return;
    }
  g_snprintf (permit->key, sizeof permit->key, "permit/%s/%u", permit->pool,
              slot);
  permit->state = PERMIT_CLAIMING;
  txn_send (permit, 0, permit->mark);
}

static void
on_range (void *data, const struct kv_reply *reply)
{
  struct permit *permit = data;
  struct pool_view view;

  permit->open = false;
  if (reply->status != STATUS_OK)
    {
      wait_again (permit);
      return;
    }
  view_read (permit, reply, &view);
  if (view.own != NULL)
    {
      g_strlcpy (permit->key, view.own->key, sizeof permit->key);
      permit->key_revision = view.own->revision;
    }
  if (permit->state == PERMIT_RELEASING && view.own != NULL)
    txn_send (permit, permit->key_revision, NULL);
  else if (permit->state == PERMIT_RELEASING)
    {
      permit->doubtful = false;
      set_state (permit, PERMIT_NONE);
    }
  else if (view.own != NULL)
    set_state (permit, PERMIT_HELD);
  else
    claim (permit, &view);
}

static void
range_send (struct permit *permit)
{
  char prefix[KV_KEY_MAX];

  prefix_write (permit, prefix);
  permit->open = true;
  permit->calls++;
  permit->kv->ops->range (permit->kv, prefix, on_range, permit);
}

void
permit_init (struct permit *permit, const char *name, struct owner *owner,
             struct kv *kv, const struct clock *clock, struct rng *rng)
{
  memset (permit, 0, sizeof *permit);
  permit->owner = owner;
  permit->kv = kv;
  permit->clock = clock;
  permit->rng = rng;
  permit->due_ns = CLOCK_NEVER;
  g_strlcpy (permit->name, name, sizeof permit->name);
}

void
permit_ask (struct permit *permit, const char *pool, unsigned limit)
{
  if (permit->state != PERMIT_NONE)
    return;
  g_strlcpy (permit->pool, pool, sizeof permit->pool);
  permit->limit = CLAMP (limit, 1, PERMIT_LIMIT_MAX);
  take_lease (permit);
  set_state (permit, PERMIT_WAITING);
}

void
permit_release (struct permit *permit)
{
  bool waiting = permit->state == PERMIT_WAITING;

  if (permit->state == PERMIT_NONE || permit->state == PERMIT_RELEASING)
    return;
  /* An open claim may still take effect. */
  permit->doubtful |= permit->state == PERMIT_CLAIMING;
  if (waiting && !permit->open && !permit->doubtful)
    set_state (permit, PERMIT_NONE);
  else
    set_state (permit, PERMIT_RELEASING);
  if (permit->doubtful)
    permit->due_ns += DOUBT_NS;
}

bool
permit_held (const struct permit *permit, int64_t span_ns)
{
  const struct owner *owner = permit->owner;

  return permit->state == PERMIT_HELD && permit->lease == owner->lease
         && clock_now (permit->clock) + span_ns
                < owner->lease_until - owner->settings.margin_ns;
}

bool
permit_busy (const struct permit *permit)
{
  return permit->open;
}

void
permit_tick (struct permit *permit)
{
  bool lapsed = permit->lease != permit->owner->lease;

  if (permit->open || permit->state == PERMIT_NONE)
    return;
  if (lapsed && permit->state == PERMIT_HELD)
    set_state (permit, PERMIT_NONE);
  else if (lapsed && permit->state == PERMIT_WAITING)
    take_lease (permit);
  if (permit->state != PERMIT_WAITING && permit->state != PERMIT_RELEASING)
    return;
  if (clock_now (permit->clock) >= permit->due_ns)
    range_send (permit);
}

int64_t
permit_next (const struct permit *permit)
{
  if (permit->open)
    return CLOCK_NEVER;
  if (permit->state == PERMIT_WAITING || permit->state == PERMIT_RELEASING)
    return permit->due_ns;
  return CLOCK_NEVER;
}
