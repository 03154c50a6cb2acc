#include "kvview.h"

#include <string.h>

struct kvview_key
{
  uint64_t revision;
  int64_t missing_since_ns; /* Time at which a held key vanished; 0 if the key
                               is not held. */
  bool deleted;             /* Whether the deletion of a held key was reported
                               by a watch. */
  char *value;
};

struct kvview_call
{
  struct kvview *view;
  bool is_full_read;
  int64_t sent_ns; /* By clock_boottime. */
};

enum
{
  /* Time until a read that had no keys is repeated. */
  EMPTY_READ_INTERVAL_MS = 1000,
  /* A watch on a silent connection ends only after this time. */
  SILENT_WATCH_MS = 4000,
  /* Time in which an outage of the service is found out. */
  OUTAGE_FOUND_MS = 1000,
  /* A reply that comes sooner may report a change that was made before the
   * call. */
  ROUND_TRIP_MS = 250,
  /* Time within which a watch reports a change that other hosts know, if it
   * works and no reply makes the view pause. */
  WATCH_REPORTS_MS = 500,
  /* Minimum time between two reads of changes that other hosts know. */
  REPORTED_INTERVAL_MS = 1000,
  /* Time until a read that failed beside a watch is repeated. */
  CHECK_INTERVAL_MS = 100,
  /* Minimum time between two reads after pauses. */
  READ_ANEW_INTERVAL_MS = 5000
};

static void
key_free (void *data)
{
  struct kvview_key *key = data;

  g_free (key->value);
  g_free (key);
}

void
kvview_init (struct kvview *view, struct kv *kv, const struct clock *clock,
             const struct kvview_settings *settings, const char *prefix,
             const struct kvview_ops *ops, void *data)
{
  memset (view, 0, sizeof *view);
  view->kv = kv;
  view->clock = clock;
  view->settings = *settings;
  view->prefix = prefix;
  view->ops = ops;
  view->data = data;
  view->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
  view->needs_full_read = true;
  view->outage_end_ns = INT64_MIN / 2;
}

void
kvview_finish (struct kvview *view)
{
  g_hash_table_destroy (view->keys);
}

/* Notes that the service has reported a change with REVISION. */
static void
change_seen (struct kvview *view, uint64_t revision)
{
  view->change_revision = MAX (view->change_revision, revision);
}

void
kvview_update (struct kvview *view, const char *name, const char *value,
               uint64_t revision)
{
  struct kvview_key *key = g_hash_table_lookup (view->keys, name);

  if (key == NULL)
    {
      key = g_new0 (struct kvview_key, 1);
      g_hash_table_insert (view->keys, g_strdup (name), key);
    }
  else if (key->revision >= revision)
    {
      key->missing_since_ns = 0;
      key->deleted = false;
      return;
    }
  key->revision = revision;
  key->missing_since_ns = 0;
  key->deleted = false;
  g_free (key->value);
  key->value = g_strdup (value);
  view->ops->key_put (view->data, name, value, revision);
}

static void
key_remove (struct kvview *view, const char *name)
{
  const struct kvview_key *key = g_hash_table_lookup (view->keys, name);
  char *copy = g_strdup (name);

  view->removal_reported = key->deleted;
  g_hash_table_remove (view->keys, name);
  view->ops->key_removed (view->data, copy);
  g_free (copy);
}

/* Remove KEY, or hold it if it vanished soon after an outage: its lease may
 * have expired only because its owner could not renew it. */
static void
key_vanished (struct kvview *view, const char *name, struct kvview_key *key)
{
  int64_t now = clock_now (view->clock);

  if (now - view->outage_end_ns > view->settings.hold_ns)
    key_remove (view, name);
  else if (key->missing_since_ns == 0)
    {
      key->missing_since_ns = now;
      view->holds_keys = true;
    }
}

static void
held_keys_expire (struct kvview *view)
{
  int64_t now = clock_now (view->clock);
  GPtrArray *expired;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (!view->holds_keys || !view->reachable
      || now - view->outage_end_ns <= view->settings.hold_ns)
    return;
  view->holds_keys = false;
  expired = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, view->keys);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct kvview_key *key = value;

      if (key->missing_since_ns != 0)
        g_ptr_array_add (expired, g_strdup (name));
    }
  for (guint i = 0; i < expired->len; i++)
    key_remove (view, expired->pdata[i]);
  g_ptr_array_free (expired, TRUE);
}

static void
full_read_apply (struct kvview *view, const struct kv_reply *reply)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer name;

  view->read_was_empty = reply->item_count == 0;
  view->read_revision = reply->revision;
  for (size_t i = 0; i < reply->item_count; i++)
    {
      g_hash_table_add (present, (gpointer)reply->items[i].key);
      change_seen (view, reply->items[i].revision);
      kvview_update (view, reply->items[i].key, reply->items[i].value,
                     reply->items[i].revision);
    }
  g_hash_table_iter_init (&iter, view->keys);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (present, name))
      g_ptr_array_add (missing, g_strdup (name));
  for (guint i = 0; i < missing->len; i++)
    key_vanished (view, missing->pdata[i],
                  g_hash_table_lookup (view->keys, missing->pdata[i]));
  g_ptr_array_free (missing, TRUE);
  g_hash_table_destroy (present);
}

static void
changes_apply (struct kvview *view, const struct kv_reply *reply)
{
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct kv_item *item = &reply->items[i];
      struct kvview_key *key = g_hash_table_lookup (view->keys, item->key);

      change_seen (view, item->revision);
      if (!item->deleted)
        kvview_update (view, item->key, item->value, item->revision);
      else if (key != NULL && key->revision < item->revision)
        {
          key->deleted = true;
          key_vanished (view, item->key, key);
        }
    }
}

/* Notes that changes of the last AGO_NS may not have been reported. Those that
 * were made earlier, during an outage, count as made then: before that, no
 * host could act on them. */
static void
view_missed_changes (struct kvview *view, int64_t ago_ns)
{
  if (!view->keeps_unseen)
    view->unseen_since_ns
        = MAX (view->unseen_since_ns, clock_boottime (view->clock) - ago_ns);
}

/* Notes that CALL ended with STATUS, not with STATUS_OK. */
static void
call_missed_changes (struct kvview *view, const struct kvview_call *call,
                     enum status status)
{
  int64_t sent_ago_ns = clock_boottime (view->clock) - call->sent_ns;

  /* A call over a limit says nothing about what other hosts can read. */
  if (status == STATUS_LIMITED)
    return;
  if (call->is_full_read)
    view_missed_changes (view, sent_ago_ns);
  /* The connection of a watch that waited for its whole time was alive, so
   * that its reply may have been lost at any time. */
  else if (sent_ago_ns < view->settings.watch_duration_ns)
    view_missed_changes (view, SILENT_WATCH_MS * NS_PER_MS);
}

/* Returns the earliest time at which a change in the reply to CALL can have
 * been made. */
static int64_t
reply_written_since_ns (const struct kvview *view,
                        const struct kvview_call *call)
{
  const struct pausewatch *pausewatch = view->settings.pausewatch;
  int64_t news_ns = pausewatch != NULL ? pausewatch_news_since_ns (pausewatch)
                                       : clock_boottime (view->clock);

  if (call->is_full_read || view->keeps_unseen
      || news_ns - call->sent_ns < ROUND_TRIP_MS * NS_PER_MS)
    return view->unseen_since_ns;
  return MAX (news_ns, view->unseen_since_ns);
}

/* Whether leases may have expired around the failure that has just ended. */
static bool
outage_was_long (const struct kvview *view)
{
  const int64_t *end_ns = view->settings.service_outage_end_ns;

  return end_ns == NULL
         || (*end_ns != 0
             && clock_now (view->clock) - *end_ns <= view->settings.hold_ns);
}

static void
view_set_reachable (struct kvview *view, bool reachable)
{
  if (!reachable)
    view->was_unreachable = true;
  if (view->reachable == reachable)
    return;
  view->reachable = reachable;
  if (reachable && view->was_unreachable && outage_was_long (view))
    view->outage_end_ns = clock_now (view->clock);
  view->ops->reachability_changed (view->data, reachable);
}

/* Notes that all changes up to now were reported by the reply to CALL. A watch
 * may have replied before the time from which on changes are unseen. */
static void
view_saw_changes (struct kvview *view, const struct kvview_call *call)
{
  if (view->anew_due || (view->keeps_unseen && !call->is_full_read))
    return;
  view->unseen_since_ns = clock_boottime (view->clock);
  view->keeps_unseen = false;
}

/* Cancels the call at AT, whose reply is dropped. */
static void
view_cancel (struct kvview *view, struct kvview_call **at)
{
  struct kvview_call *call = *at;

  *at = NULL;
  if (call != NULL && view->kv->ops->cancel != NULL)
    view->kv->ops->cancel (view->kv, call);
}

/* Whether REPLY to a read of all keys lacks all of them though there must be
 * some. */
static bool
is_distrusted (const struct kvview *view, const struct kvview_call *call,
               const struct kv_reply *reply)
{
  return call->is_full_read && reply->item_count == 0
         && view->settings.distrusts_empty_reads
         && g_hash_table_size (view->keys) > 0;
}

/* The read beside the watch has ended without a result. */
static void
check_failed (struct kvview *view, int64_t retry_ms)
{
  view->check_due = true;
  view->next_check_ns = clock_now (view->clock) + retry_ms * NS_PER_MS;
}

/* The watch has ended without a result. The read beside it, if there is one,
 * is the next call. */
static void
call_failed (struct kvview *view)
{
  view->needs_full_read = true;
  view->check_due = false;
  view->call = g_steal_pointer (&view->check);
}

/* The reply to the watch shows that it works, so that the read beside it isn't
 * needed, unless changes from before the watch's reply may be missing. */
static void
watch_replied (struct kvview *view)
{
  view->needs_full_read = view->keeps_unseen;
  view->check_due = false;
  view_cancel (view, &view->check);
}

static void
view_apply (struct kvview *view, const struct kvview_call *call,
            const struct kv_reply *reply)
{
  if (call->is_full_read)
    {
      view->needs_full_read = false;
      view->is_reading = true;
      full_read_apply (view, reply);
      view->is_reading = false;
      view->initial_read_done = true;
    }
  else
    changes_apply (view, reply);
  view_saw_changes (view, call);
  if (reply->item_count > 0)
    view->next_call_ns = clock_now (view->clock) + view->pause_ns;
  if (reply->revision > view->revision)
    view->revision = reply->revision;
}

/* Handles REPLY to CALL, which is no longer in flight. */
static void
reply_handle (struct kvview *view, const struct kvview_call *call,
              bool is_check, const struct kv_reply *reply)
{
  int64_t written_since_ns = reply_written_since_ns (view, call);

  if (reply->status != STATUS_OK)
    {
      call_missed_changes (view, call, reply->status);
      if (is_check)
        check_failed (view, CHECK_INTERVAL_MS);
      else
        /* The service replies to a read at once, even if nothing has changed.
         * A watch would wait for a change, and its reply, which shows that the
         * service is reachable again, would come late. */
        call_failed (view);
      if (reply->status != STATUS_STALE)
        view_set_reachable (view, false);
      return;
    }
  view->last_reply_ns = clock_now (view->clock);
  view->written_since_ns = written_since_ns;
  view_set_reachable (view, true);
  if (is_distrusted (view, call, reply))
    {
      if (is_check)
        check_failed (view, EMPTY_READ_INTERVAL_MS);
      else
        view->needs_full_read = true;
      view->next_call_ns
          = clock_now (view->clock) + EMPTY_READ_INTERVAL_MS * NS_PER_MS;
      return;
    }
  if (is_check)
    view_cancel (view, &view->call);
  else if (!call->is_full_read)
    watch_replied (view);
  view_apply (view, call, reply);
}

static void
view_replied (void *data, const struct kv_reply *reply)
{
  struct kvview_call *call = data;
  struct kvview *view = call->view;
  bool is_check = call == view->check;
  bool is_current = is_check || call == view->call;

  if (is_check)
    view->check = NULL;
  else if (is_current)
    view->call = NULL;
  if (is_current && reply->status != STATUS_CANCELLED)
    reply_handle (view, call, is_check, reply);
  g_free (call);
}

static struct kvview_call *
view_send_call (struct kvview *view, bool is_full_read)
{
  struct kvview_call *call = g_new0 (struct kvview_call, 1);

  call->view = view;
  call->is_full_read = is_full_read;
  call->sent_ns = clock_boottime (view->clock);
  if (is_full_read)
    view->kv->ops->range (view->kv, view->prefix, view_replied, call);
  else
    view->kv->ops->watch (view->kv, view->prefix, view->revision,
                          view->settings.watch_duration_ns, view_replied,
                          call);
  return call;
}

static bool
view_is_reading (const struct kvview *view)
{
  return view->check != NULL
         || (view->call != NULL && view->call->is_full_read);
}

/* Read all keys with a new call. A watch in flight goes on meanwhile. */
static void
view_recheck (struct kvview *view)
{
  view_cancel (view, &view->check);
  if (view->call != NULL && !view->call->is_full_read)
    {
      view->check_due = true;
      view->next_check_ns = 0;
      return;
    }
  view_cancel (view, &view->call);
  view->needs_full_read = true;
}

/* Reads all keys if the view still lacks a change that other hosts know,
 * unless a read in flight may report it. */
static void
reported_change_check (struct kvview *view, int64_t now)
{
  uint64_t revision = view->reported_revision;

  if (revision <= view->revision)
    view->reported_revision = 0;
  if (view->reported_revision == 0 || now < view->next_report_ns
      || now - view->reported_since_ns
             < WATCH_REPORTS_MS * NS_PER_MS + view->pause_ns
      || view_is_reading (view))
    return;
  view->reported_revision = 0;
  view->next_report_ns = now + REPORTED_INTERVAL_MS * NS_PER_MS;
  view_recheck (view);
  if (view->ops->fell_behind != NULL)
    view->ops->fell_behind (view->data, revision);
}

void
kvview_tick (struct kvview *view)
{
  int64_t now = clock_now (view->clock);

  held_keys_expire (view);
  reported_change_check (view, now);
  if (view->anew_due && now >= view->next_anew_ns)
    {
      view->anew_due = false;
      view->next_anew_ns = now + READ_ANEW_INTERVAL_MS * NS_PER_MS;
      view_recheck (view);
    }
  if (view->call == NULL && now >= view->next_call_ns)
    view->call = view_send_call (view, view->needs_full_read);
  if (view->check_due && now >= view->next_check_ns)
    {
      view->check_due = false;
      view->check = view_send_call (view, true);
    }
}

void
kvview_set_pause (struct kvview *view, int64_t pause_ns)
{
  view->pause_ns = pause_ns;
}

void
kvview_restart (struct kvview *view)
{
  /* A read in flight ends by itself if it makes no progress. */
  if (!view_is_reading (view))
    view_recheck (view);
  view_missed_changes (view, OUTAGE_FOUND_MS * NS_PER_MS);
}

void
kvview_read_anew (struct kvview *view, int64_t since_ns)
{
  if (!view->keeps_unseen)
    view->unseen_since_ns = MAX (view->unseen_since_ns, since_ns);
  view->keeps_unseen = true;
  view->anew_due = true;
}

void
kvview_hurry (struct kvview *view)
{
  view->next_anew_ns = 0;
}

void
kvview_era_changed (struct kvview *view)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct kvview_key *)value)->revision = 0;
  view->revision = 0;
  view->change_revision = 0;
  view->reported_revision = 0;
  view->told_revision = 0;
  view->told_ns = 0;
  /* The service may have been away too briefly for a call to fail. */
  view->was_unreachable = true;
  view->outage_end_ns = clock_now (view->clock);
  view_cancel (view, &view->call);
  kvview_restart (view);
}

void
kvview_note_change (struct kvview *view, uint64_t revision)
{
  view->told_revision = MAX (view->told_revision, revision);
  if (revision != 0 && revision >= view->change_revision)
    view->told_ns = clock_boottime (view->clock);
  if (revision <= view->revision)
    return;
  if (view->reported_revision == 0)
    view->reported_since_ns = clock_now (view->clock);
  view->reported_revision = MAX (view->reported_revision, revision);
}

bool
kvview_is_confirmed (const struct kvview *view, int64_t span_ns)
{
  return view->told_ns != 0 && view->told_revision <= view->revision
         && clock_boottime (view->clock) - view->told_ns <= span_ns;
}

void
kvview_visit_newer (const struct kvview *view, uint64_t revision,
                    void (*visit) (void *data, const char *key,
                                   const char *value, uint64_t revision),
                    void *data)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, view->keys);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct kvview_key *key = value;

      if (key->revision > revision)
        visit (data, name, key->value, key->revision);
    }
}
