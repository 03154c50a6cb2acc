#include "kvcommit.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define BACKOFF_MIN_NS (20 * NS_PER_MS)

enum
{
  BACKOFF_SHIFT_MAX = 6 /* Limits the doubling to 64 * BACKOFF_MIN_NS. */
};

/* Schedule reading the marker back after an exponential backoff with jitter.
 */
static void
commit_schedule_read (struct kvcommit *commit)
{
  int64_t mean = BACKOFF_MIN_NS << MIN (commit->failures, BACKOFF_SHIFT_MAX);

  commit->failures++;
  commit->next_read_ns = clock_now (commit->clock) + mean / 2
                         + (int64_t)((double)mean * rng_uniform (commit->rng));
}

static void
commit_complete (struct kvcommit *commit, enum status status,
                 uint64_t revision)
{
  commit->running = false;
  commit->next_read_ns = CLOCK_NEVER;
  kvcommit_txn_free (&commit->txn);
  g_clear_pointer (&commit->marker_key, g_free);
  g_clear_pointer (&commit->marker, g_free);
  commit->done (commit->data, status, revision);
}

/* Whether the value in REPLY begins with the line MARKER. */
static bool
reply_has_marker (const char *marker, const struct kv_reply *reply)
{
  size_t length = strlen (marker);

  return reply->status == STATUS_OK && reply->item_count == 1
         && strncmp (reply->items[0].value, marker, length) == 0
         && reply->items[0].value[length] == '\n';
}

static void commit_send_txn (struct kvcommit *commit);

static void
marker_read_replied (void *data, const struct kv_reply *reply)
{
  struct kvcommit *commit = data;

  if (reply_has_marker (commit->marker, reply))
    {
      commit->recovered_count++;
      commit_complete (commit, STATUS_OK, reply->items[0].revision);
    }
  else if (reply->status != STATUS_OK && reply->status != STATUS_NOT_FOUND)
    commit_schedule_read (commit);
  else if (commit->conflict)
    commit_complete (commit, STATUS_CONFLICT, 0);
  else
    commit_send_txn (commit);
}

static void
commit_read_marker (struct kvcommit *commit)
{
  commit->next_read_ns = CLOCK_NEVER;
  commit->kv->ops->get (commit->kv, commit->marker_key, marker_read_replied,
                        commit);
}

static void
txn_replied (void *data, const struct kv_reply *reply)
{
  struct kvcommit *commit = data;

  switch (reply->status)
    {
    case STATUS_OK:
      commit_complete (commit, STATUS_OK, reply->revision);
      break;
    case STATUS_CONFLICT:
      commit->conflict = true;
      if (commit->uncertain)
        commit_read_marker (commit);
      else
        commit_complete (commit, STATUS_CONFLICT, 0);
      break;
    case STATUS_TOO_LARGE:
      commit_complete (commit, STATUS_TOO_LARGE, 0);
      break;
    case STATUS_LIMITED:
    case STATUS_UNAVAILABLE:
      if (commit->uncertain)
        commit_schedule_read (commit);
      else
        commit_complete (commit, STATUS_UNAVAILABLE, 0);
      break;
    default:
      commit->lost_reply_count++;
      commit->uncertain = true;
      commit_schedule_read (commit);
    }
}

static void
commit_send_txn (struct kvcommit *commit)
{
  commit->next_read_ns = CLOCK_NEVER;
  commit->kv->ops->txn (commit->kv, &commit->txn, txn_replied, commit);
}

void
kvcommit_init (struct kvcommit *commit, struct kv *kv,
               const struct clock *clock, struct rng *rng, kvcommit_done done,
               void *data)
{
  *commit = (struct kvcommit){
    .kv = kv,
    .clock = clock,
    .rng = rng,
    .done = done,
    .data = data,
    .next_read_ns = CLOCK_NEVER,
  };
}

void
kvcommit_finish (struct kvcommit *commit)
{
  kvcommit_txn_free (&commit->txn);
  g_free (commit->marker_key);
  g_free (commit->marker);
}

void
kvcommit_start (struct kvcommit *commit, const struct kv_txn *txn,
                const char *marker_key, const char *marker)
{
  assert (!commit->running);
  commit->txn = *txn;
  commit->marker_key = g_strdup (marker_key);
  commit->marker = g_strdup (marker);
  commit->running = true;
  commit->uncertain = false;
  commit->conflict = false;
  commit->failures = 0;
  commit_send_txn (commit);
}

bool
kvcommit_is_running (const struct kvcommit *commit)
{
  return commit->running;
}

void
kvcommit_tick (struct kvcommit *commit)
{
  if (commit->next_read_ns <= clock_now (commit->clock))
    commit_read_marker (commit);
}

int64_t
kvcommit_next_tick_ns (const struct kvcommit *commit)
{
  return commit->next_read_ns;
}

void
kvcommit_txn_free (struct kv_txn *txn)
{
  for (size_t i = 0; i < txn->compare_count; i++)
    g_free ((char *)txn->compares[i].key);
  for (size_t i = 0; i < txn->write_count; i++)
    {
      g_free ((char *)txn->writes[i].key);
      g_free ((char *)txn->writes[i].value);
    }
  g_free ((void *)txn->compares);
  g_free ((void *)txn->writes);
  *txn = (struct kv_txn){ 0 };
}
