#include "kvstoreturn.h"

enum
{
  POLLER_CHECK_MS = 500,
  /* Minimum interval between polls by a poller that serves several subsets. */
  FLEET_POLLER_INTERVAL_MS = 500
};

int64_t
kvstoreturn_period_ns (const struct kvstores *kvstores)
{
  const struct kvstores_settings *settings = &kvstores->settings;

  return kvstores->rotation_slots == 1
             ? settings->check_interval_ns
             : kvstores->rotation_slots * settings->rotation_slot_ns;
}

bool
kvstoreturn_is_polled_here (struct kvstore *store)
{
  const struct kvstores *kvstores = store->kvstores;
  int64_t now = clock_now (kvstores->clock);

  if (kvstores->ops == NULL)
    return true;
  if (now >= store->poller_check_ns)
    {
      store->is_poller = kvstores->ops->is_poller (kvstores->data, store);
      store->poller_check_ns = now + POLLER_CHECK_MS * NS_PER_MS;
    }
  return store->is_poller;
}

bool
kvstoreturn_catches_up (const struct kvstore *store)
{
  return !store->in_sync || store->needs_listing;
}

/* Acquires this host's rotation slot for a poll of STORE. Returns false if the
 * current slot is not this host's or was used already. Slots follow the wall
 * clock, which is about the same on all hosts; a host whose clock is wrong
 * sometimes finds the store at capacity. */
static bool
rotation_slot_acquire (const struct kvstores *kvstores, struct kvstore *store)
{
  struct timespec wall = clock_wall (kvstores->clock);
  int64_t slot = (wall.tv_sec * NS_PER_S + wall.tv_nsec)
                 / kvstores->settings.rotation_slot_ns;

  if (slot % kvstores->rotation_slots != kvstores->own_rotation_slot
      || slot == store->last_rotation_slot)
    return false;
  store->last_rotation_slot = slot;
  return true;
}

bool
kvstoreturn_is_due (struct kvstore *store, int64_t now)
{
  struct kvstores *kvstores = store->kvstores;

  if (store->needs_sync && now >= store->sync_ns)
    return true;
  if (kvstoreturn_is_polled_here (store))
    return now - store->poll_sent_ns
           >= (kvstores->serves_subsets
                   ? FLEET_POLLER_INTERVAL_MS * NS_PER_MS
                   : kvstores->settings.poller_interval_ns);
  if (kvstores->rotation_slots == 1)
    return now - store->poll_sent_ns >= kvstores->settings.check_interval_ns;
  return rotation_slot_acquire (kvstores, store);
}
