#include "rollout.h"
#include "fencingtoken.h"
#include "rendezvous.h"
#include "rolloutengine.h"

#include <string.h>

enum
{
  /* This host sends no order and no claim to leadership unless its lease is
   * valid for this long. */
  LEASE_MARGIN_MS = 700,
  /* Each further host in the order of preference waits this much longer
   * before it claims a vacant leadership, so that usually only one host writes
   * a claim. */
  RANK_DELAY_MS = 250
};

void
rollout_init (struct rollout *rollout, const struct rollout_settings *settings,
              struct kv *kv, const struct clock *clock, struct log *log,
              const struct dialect *dialect, struct httpjson *httpjson,
              struct presence *presence, struct servers *servers,
              GHashTable *wanted, const char *leader_key,
              const char *instance_name)
{
  memset (rollout, 0, sizeof *rollout);
  rollout->settings = *settings;
  rollout->kv = kv;
  rollout->clock = clock;
  rollout->log = log;
  rollout->dialect = dialect;
  rollout->httpjson = httpjson;
  rollout->presence = presence;
  rollout->servers = servers;
  rollout->wanted = wanted;
  rollout->leader_key = leader_key;
  rollout->instance_name = g_strdup (instance_name);
  rollout->vacant_since_ns = clock_now (clock);
  rollout->loading_max = settings->at_once;
  rolloutengines_init (rollout);
}

void
rollout_finish (struct rollout *rollout)
{
  g_hash_table_destroy (rollout->engines);
  g_free (rollout->instance_name);
}

void
rollout_lose_leadership (struct rollout *rollout, const char *reason)
{
  if (rollout->fencing_token == 0)
    return;
  log_event (rollout->log, EVENT_DUTY_LOST, "duty=%s fence=%lu reason=%s",
             rollout->leader_key, (unsigned long)rollout->fencing_token,
             reason);
  rollout->fencing_token = 0;
  g_hash_table_remove_all (rollout->engines);
}

static void
leadership_acquired (struct rollout *rollout, uint64_t revision)
{
  rollout->has_leader = true;
  rollout->leader_revision = revision;
  rollout->fencing_token = fencingtoken_make (rollout->era, revision);
  rollout->leader_lease = rollout->claim_lease;
  rollout->leader_since_ns = clock_now (rollout->clock);
  log_event (rollout->log, EVENT_DUTY_TAKEN,
             "duty=%s fence=%lu era=%lu revision=%lu", rollout->leader_key,
             (unsigned long)rollout->fencing_token,
             (unsigned long)rollout->era, (unsigned long)revision);
}

void
rollout_leader_key_put (struct rollout *rollout, const char *value,
                        uint64_t revision)
{
  bool own = strcmp (value, rollout->instance_name) == 0;

  rollout->has_leader = true;
  if (!own && revision > rollout->leader_revision)
    rollout_lose_leadership (rollout, "taken_over");
  rollout->own_key_revision = own ? revision : 0;
}

void
rollout_leader_key_removed (struct rollout *rollout)
{
  rollout->has_leader = false;
  rollout->own_key_revision = 0;
  rollout->vacant_since_ns = clock_now (rollout->clock);
  rollout_lose_leadership (rollout, "key_gone");
}

static void
claim_replied (void *data, const struct kv_reply *reply)
{
  struct rollout *rollout = data;

  rollout->claim_pending = false;
  /* A key that has changed can't be replaced; the view will tell of it. */
  if (reply->status == STATUS_CONFLICT
      && rollout->own_key_revision == rollout->claim_revision)
    rollout->own_key_revision = 0;
  if (reply->status != STATUS_OK)
    {
      rollout->vacant_since_ns = clock_now (rollout->clock);
      return;
    }
  if (rollout->fencing_token == 0 && !rollout->stopping)
    leadership_acquired (rollout, reply->revision);
}

static void
release_replied (void *data, const struct kv_reply *reply)
{
  struct rollout *rollout = data;

  rollout->release_pending = false;
}

/* Returns the rank of this host among all hosts in the order of preference for
 * the leadership, which rendezvous hashing determines. */
static unsigned
leader_rank (const struct rollout *rollout)
{
  const struct presence *presence = rollout->presence;
  uint64_t own
      = rendezvous_weight (g_str_hash (presence->key), rollout->leader_key,
                           strlen (rollout->leader_key));
  unsigned rank = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, presence->hosts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    rank += rendezvous_weight (g_str_hash (key), rollout->leader_key,
                               strlen (rollout->leader_key))
            > own;
  return rank;
}

/* Claims a vacant leadership, or replaces this host's own key: its lease is of
 * an older era, or engines refuse its token. */
static void
leadership_claim (struct rollout *rollout)
{
  struct kv_compare compare
      = { rollout->leader_key, rollout->own_key_revision };
  struct kv_write write = { rollout->leader_key, rollout->instance_name,
                            rollout->presence->lease };
  struct kv_txn txn = { &compare, 1, &write, 1 };
  unsigned rank = rollout->own_key_revision != 0 ? 0 : leader_rank (rollout);
  int64_t wait = (int64_t)(1 + rank) * RANK_DELAY_MS * NS_PER_MS;

  if (!presence_lease_is_valid_for (rollout->presence,
                                    LEASE_MARGIN_MS * NS_PER_MS)
      || clock_now (rollout->clock) - rollout->vacant_since_ns < wait)
    return;
  rollout->claim_pending = true;
  rollout->claim_lease = rollout->presence->lease;
  rollout->claim_revision = compare.revision;
  rollout->kv->ops->txn (rollout->kv, &txn, claim_replied, rollout);
}

bool
rollout_may_order (const struct rollout *rollout)
{
  int64_t led_ns = clock_now (rollout->clock) - rollout->leader_since_ns;

  return rollout->fencing_token != 0 && !rollout->stopping
         && rollout->fencing_token != rollout->refused_token
         && rollout->presence->lease == rollout->leader_lease
         && (rollout->settings.fenced
             || led_ns > rollout->settings.takeover_wait_ns)
         && presence_lease_is_valid_for (rollout->presence,
                                         LEASE_MARGIN_MS * NS_PER_MS);
}

/* Removes the leader's key, which has this host's value at REVISION. */
static void
leader_key_remove (struct rollout *rollout, uint64_t revision)
{
  struct kv_compare compare = { rollout->leader_key, revision };
  struct kv_write write = { rollout->leader_key, NULL, 0 };
  struct kv_txn txn = { &compare, 1, &write, 1 };

  rollout->release_pending = true;
  rollout->kv->ops->txn (rollout->kv, &txn, release_replied, rollout);
}

void
rollout_stop (struct rollout *rollout)
{
  rollout->stopping = true;
  if (rollout->fencing_token == 0)
    return;
  leader_key_remove (rollout, rollout->leader_revision);
  rollout_lose_leadership (rollout, "stopping");
}

void
rollout_set_unfit (struct rollout *rollout, bool unfit)
{
  uint64_t revision = rollout->fencing_token != 0 ? rollout->leader_revision
                                                  : rollout->own_key_revision;

  rollout->unfit = unfit;
  if (!unfit || revision == 0 || rollout->release_pending)
    return;
  leader_key_remove (rollout, revision);
  rollout_lose_leadership (rollout, "engines_out_of_reach");
}

void
rollout_era_changed (struct rollout *rollout, uint64_t era, bool is_rise)
{
  rollout->era = era;
  if (!is_rise)
    return;
  rollout_lose_leadership (rollout, "era_rose");
  /* A claim requires that the service has no leader's key, so that nothing is
   * lost if there is one. */
  rollout->has_leader = false;
  rollout->own_key_revision = 0;
  rollout->claim_lease = 0;
  rollout->vacant_since_ns = clock_now (rollout->clock);
}

bool
rollout_was_active (const struct rollout *rollout, int64_t span_ns)
{
  return rollout->fencing_token != 0 && rollout->last_order_ns != 0
         && clock_now (rollout->clock) - rollout->last_order_ns < span_ns;
}

/* Whether a claim to leadership was written but its reply was lost: the
 * leader's key names this process, which doesn't act as the leader. */
static bool
claim_reply_was_lost (const struct rollout *rollout)
{
  return !rollout->unfit && rollout->fencing_token == 0
         && rollout->own_key_revision != 0 && !rollout->claim_pending
         && rollout->claim_lease != 0
         && fencingtoken_make (rollout->era, rollout->own_key_revision)
                != rollout->refused_token
         && rollout->presence->lease == rollout->claim_lease;
}

void
rollout_tick (struct rollout *rollout)
{
  if (rollout->stopping)
    return;
  if (rollout->fencing_token != 0
      && rollout->presence->lease != rollout->leader_lease)
    rollout_lose_leadership (rollout, "lease_ended");
  if (claim_reply_was_lost (rollout))
    leadership_acquired (rollout, rollout->own_key_revision);
  if (rollout->fencing_token == 0)
    {
      if ((!rollout->has_leader || rollout->own_key_revision != 0)
          && !rollout->claim_pending && !rollout->unfit)
        leadership_claim (rollout);
      return;
    }
  rolloutengines_update (rollout);
  if (rollout_may_order (rollout))
    rolloutengines_query_due (rollout);
}
