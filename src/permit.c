#include "permit.h"

#include <glib.h>
#include <string.h>

#define BACKOFF_MIN_NS (200 * NS_PER_MS)
#define BACKOFF_MAX_NS (5 * NS_PER_S)
/* Time after which a claim without a reply either has taken effect or never
 * will. */
#define UNCERTAIN_CLAIM_NS (5 * NS_PER_S)

enum
{
  BACKOFF_SHIFT_MAX = 5
};

/* The state of the pool, as a reply to a range call shows it. */
struct pool_view
{
  bool taken[PERMIT_LIMIT_MAX];   /* Whether each slot is taken; indexed by the
                                     slot, which is the number in the key. */
  const struct kv_item *own_item; /* The key of this permit; NULL if the pool
                                     does not contain it. */
};

static void
pool_key_prefix (const struct permit *permit, char prefix[KV_KEY_MAX])
{
  g_snprintf (prefix, KV_KEY_MAX, "permit/%s/", permit->pool);
}

/* Schedule a retry after a random delay between half the backoff and all of
 * it; the backoff doubles with each consecutive failure up to a maximum. */
static void
retry_later (struct permit *permit)
{
  unsigned shift = MIN (permit->failures, BACKOFF_SHIFT_MAX);
  int64_t backoff_ns = MIN (BACKOFF_MIN_NS << shift, BACKOFF_MAX_NS);

  permit->failures++;
  permit->due_ns
      = clock_now (permit->clock) + backoff_ns / 2
        + (int64_t)rng_below (permit->rng, (uint64_t)backoff_ns / 2);
}

static void
permit_set_state (struct permit *permit, enum permit_state state)
{
  permit->state = state;
  permit->failures = 0;
  permit->due_ns = clock_now (permit->clock);
}

/* Tie the permit to the present lease. The key's value contains the lease, so
 * that a key from an earlier lease is never mistaken for this permit's. */
static void
bind_to_lease (struct permit *permit)
{
  permit->lease = permit->owner->lease;
  g_snprintf (permit->key_value, sizeof permit->key_value,
              "%016" G_GINT64_MODIFIER "x %" G_GUINT64_FORMAT " %s",
              permit->owner->node, permit->lease, permit->name);
}

static bool
lease_is_expired (const struct permit *permit)
{
  const struct owner *owner = permit->owner;

  return permit->lease == 0 || permit->lease != owner->lease
         || clock_now (permit->clock)
                >= owner->lease_expires_ns - owner->settings.lease_margin_ns;
}

static void
txn_replied (void *data, const struct kv_reply *reply)
{
  struct permit *permit = data;
  bool ok = reply->status == STATUS_OK;

  permit->call_open = false;
  if (permit->state == PERMIT_CLAIMING && ok)
    {
      permit_set_state (permit, PERMIT_HELD);
      return;
    }
  if (permit->state == PERMIT_CLAIMING)
    {
      permit->claim_uncertain |= reply->status == STATUS_UNKNOWN
                                 || reply->status == STATUS_CANCELLED;
      permit->state = PERMIT_WAITING;
      retry_later (permit);
      return;
    }
  if (ok && !permit->claim_uncertain)
    permit_set_state (permit, PERMIT_NONE);
  else
    retry_later (permit);
}

static void
txn_send (struct permit *permit, uint64_t revision, const char *value)
{
  struct kv_compare compare = { permit->key, revision };
  struct kv_write write
      = { permit->key, value, value == NULL ? 0 : permit->lease };
  struct kv_txn txn = { &compare, 1, &write, 1 };

  permit->call_open = true;
  permit->kv_call_count++;
  permit->kv->ops->txn (permit->kv, &txn, txn_replied, permit);
}

static void
pool_view_read (const struct permit *permit, const struct kv_reply *reply,
                struct pool_view *view)
{
  char prefix[KV_KEY_MAX];
  size_t length;

  memset (view, 0, sizeof *view);
  pool_key_prefix (permit, prefix);
  length = strlen (prefix);
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct kv_item *item = &reply->items[i];
      guint64 slot = g_ascii_strtoull (item->key + length, NULL, 10);

      if (slot < PERMIT_LIMIT_MAX)
        view->taken[slot] = true;
      if (g_str_equal (item->value, permit->key_value))
        view->own_item = item;
    }
}

/* Returns a free slot, or the limit of PERMIT if there is none. The search
 * starts at a random slot, so that processes rarely claim the same one. */
static unsigned
find_free_slot (const struct permit *permit, const struct pool_view *view)
{
  unsigned first = (unsigned)rng_below (permit->rng, permit->limit);

  for (unsigned i = 0; i < permit->limit; i++)
    if (!view->taken[(first + i) % permit->limit])
      return (first + i) % permit->limit;
  return permit->limit;
}

static void
claim_slot (struct permit *permit, const struct pool_view *view)
{
  unsigned slot = find_free_slot (permit, view);

  if (slot == permit->limit || lease_is_expired (permit))
    {
      retry_later (permit);
      return;
    }
  g_snprintf (permit->key, sizeof permit->key, "permit/%s/%u", permit->pool,
              slot);
  permit->state = PERMIT_CLAIMING;
  txn_send (permit, 0, permit->key_value);
}

static void
range_replied (void *data, const struct kv_reply *reply)
{
  struct permit *permit = data;
  struct pool_view view;

  permit->call_open = false;
  if (reply->status != STATUS_OK)
    {
      retry_later (permit);
      return;
    }
  pool_view_read (permit, reply, &view);
  if (view.own_item != NULL)
    {
      g_strlcpy (permit->key, view.own_item->key, sizeof permit->key);
      permit->key_revision = view.own_item->revision;
    }
  if (permit->state == PERMIT_RELEASING && view.own_item != NULL)
    txn_send (permit, permit->key_revision, NULL);
  else if (permit->state == PERMIT_RELEASING)
    {
      permit->claim_uncertain = false;
      permit_set_state (permit, PERMIT_NONE);
    }
  else if (view.own_item != NULL)
    permit_set_state (permit, PERMIT_HELD);
  else
    claim_slot (permit, &view);
}

static void
range_send (struct permit *permit)
{
  char prefix[KV_KEY_MAX];

  pool_key_prefix (permit, prefix);
  permit->call_open = true;
  permit->kv_call_count++;
  permit->kv->ops->range (permit->kv, prefix, range_replied, permit);
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
permit_acquire (struct permit *permit, const char *pool, unsigned limit)
{
  if (permit->state != PERMIT_NONE)
    return;
  g_strlcpy (permit->pool, pool, sizeof permit->pool);
  permit->limit = CLAMP (limit, 1, PERMIT_LIMIT_MAX);
  bind_to_lease (permit);
  permit_set_state (permit, PERMIT_WAITING);
}

void
permit_release (struct permit *permit)
{
  bool waiting = permit->state == PERMIT_WAITING;

  if (permit->state == PERMIT_NONE || permit->state == PERMIT_RELEASING)
    return;
  /* A claim in flight may still take effect. */
  permit->claim_uncertain |= permit->state == PERMIT_CLAIMING;
  if (waiting && !permit->call_open && !permit->claim_uncertain)
    permit_set_state (permit, PERMIT_NONE);
  else
    permit_set_state (permit, PERMIT_RELEASING);
  if (permit->claim_uncertain)
    permit->due_ns += UNCERTAIN_CLAIM_NS;
}

bool
permit_is_held (const struct permit *permit, int64_t duration_ns)
{
  const struct owner *owner = permit->owner;

  return permit->state == PERMIT_HELD && permit->lease == owner->lease
         && clock_now (permit->clock) + duration_ns
                < owner->lease_expires_ns - owner->settings.lease_margin_ns;
}

bool
permit_has_open_call (const struct permit *permit)
{
  return permit->call_open;
}

void
permit_tick (struct permit *permit)
{
  bool lease_changed = permit->lease != permit->owner->lease;

  if (permit->call_open || permit->state == PERMIT_NONE)
    return;
  if (lease_changed && permit->state == PERMIT_HELD)
    permit_set_state (permit, PERMIT_NONE);
  else if (lease_changed && permit->state == PERMIT_WAITING)
    bind_to_lease (permit);
  if (permit->state != PERMIT_WAITING && permit->state != PERMIT_RELEASING)
    return;
  if (clock_now (permit->clock) >= permit->due_ns)
    range_send (permit);
}

int64_t
permit_next_tick_ns (const struct permit *permit)
{
  if (permit->call_open)
    return CLOCK_NEVER;
  if (permit->state == PERMIT_WAITING || permit->state == PERMIT_RELEASING)
    return permit->due_ns;
  return CLOCK_NEVER;
}
