#include "entrykv.h"
#include "entry.h"
#include "entryera.h"
#include "entryviews.h"

enum
{
  KV_QUEUE_MAX = 256,
  /* Maximum size of all replies to calls of control that are being read. */
  REPLIES_BYTES_MAX = 16 * 1024 * 1024,
  /* Maximum number of pending watches; the three views need one each. */
  KV_WATCH_MAX = 12,
  /* The entry of a backend server expires after three heartbeats. It has sent
   * the last one a heartbeat before an outage at the earliest. */
  OUTAGE_HEARTBEATS = 2,
  KV_BURST = 60,
  /* Maximum time of a whole read over the link of a small host. */
  KV_READ_TIMEOUT_MS = 10000,
  /* The backoff is short, since a change must be in force within seconds of
   * the end of an outage. */
  KV_BACKOFF_MIN_MS = 50,
  KV_BACKOFF_MAX_MS = 400,
  /* Longer than the timeout of any call, so that the timeout of the call
   * ends it first. */
  CLIENT_IO_TIMEOUT_MS = 60000
};

static void
call_failed (void *data, const struct kvbudget_failure *failure)
{
  static const char *const stages[] = {
    [KV_STAGE_UNKNOWN] = "unknown",       [KV_STAGE_QUEUED] = "queued",
    [KV_STAGE_CONNECTING] = "connecting", [KV_STAGE_SENT] = "sent",
    [KV_STAGE_REPLYING] = "replying",
  };
  struct entry *entry = data;
  const struct kvbudget *budget = &entry->kvbudget;
  char labels[64];

  log_event (&entry->log, EVENT_STORE_CALL_FAILED,
             "kind=%s key=%s status=%s stage=%s queued_ms=%.1f sent_ms=%.1f "
             "probe=%d queued=%zu watches=%zu",
             failure->kind, failure->key, status_name (failure->status),
             stages[failure->stage], (double)failure->queued_ns / NS_PER_MS,
             (double)failure->sent_ns / NS_PER_MS, failure->was_probe,
             budget->queued_count, budget->watch_count);
  g_snprintf (labels, sizeof labels, "kind=\"%s\",stage=\"%s\"", failure->kind,
              stages[failure->stage]);
  metrics_add (&entry->metrics, "trefoilspar_kv_calls_failed_total", labels,
               1);
}

static const struct kvbudget_ops budget_ops = { call_failed };

static void
calls_init (struct entry *entry)
{
  const struct settings *settings = entry->settings;
  struct kvbudget_settings budget = {
    .rate = settings->kv.calls_per_s,
    .burst = KV_BURST,
    .queue_max = KV_QUEUE_MAX,
    .watch_max = KV_WATCH_MAX,
    .urgent_prefix = entry->dialect->operator_prefix,
    .queue_timeout_ns = settings->kv.timeout_ns,
    .call_timeout_ns = settings->kv.timeout_ns,
    .read_timeout_ns = KV_READ_TIMEOUT_MS * NS_PER_MS,
    .backoff.min_ns = KV_BACKOFF_MIN_MS * NS_PER_MS,
    .backoff.max_ns = KV_BACKOFF_MAX_MS * NS_PER_MS,
    .backoff.outage_min_ns
    = OUTAGE_HEARTBEATS * settings->servers.heartbeat_ns,
  };

  httpclient_init (&entry->httpclient, &entry->loop, CLIENT_IO_TIMEOUT_MS);
  httpjson_init (&entry->httpjson, &entry->httpclient);
  entry->httpjson.bytes_max = REPLIES_BYTES_MAX;
  entry->kv_service = entry->dialect->kv_open (
      &entry->httpjson, settings->kv.address.items[0].text,
      settings->kv.timeout_ns);
  kvbudget_init (&entry->kvbudget, entry->kv_service, &entry->clock,
                 &entry->rng, &budget);
  kvbudget_set_ops (&entry->kvbudget, &budget_ops, entry);
  kvera_init (&entry->kvera, &entry->kvbudget.kv, &entryera_ops, entry);
}

static void
views_init (struct entry *entry)
{
  const struct kvview_settings settings = entryviews_settings (
      &entry->pausewatch, &entry->kvbudget.backoff.outage_end_ns);
  struct kvview_settings operator_settings = settings;
  struct kv *kv = &entry->kvera.kv;

  /* The configuration is always there once it was written. */
  operator_settings.distrusts_empty_reads = true;
  kvview_init (&entry->operator_view, kv, &entry->clock, &operator_settings,
               entry->dialect->operator_prefix, &entryviews_operator_ops,
               entry);
  kvview_init (&entry->servers_view, kv, &entry->clock, &settings,
               entry->dialect->servers_prefix, &entryviews_servers_ops, entry);
  kvview_init (&entry->hosts_view, kv, &entry->clock, &settings,
               ENTRY_KEY_PREFIX, &entryviews_hosts_ops, entry);
}

void
entrykv_init (struct entry *entry)
{
  calls_init (entry);
  views_init (entry);
}

/* Has all keys read when an outage of the KV service ends, since the service
 * may never reply to watches that were sent before. */
void
entrykv_check (struct entry *entry)
{
  bool down = kvbudget_service_is_down (&entry->kvbudget);

  if (entry->kv_down && !down)
    {
      kvview_restart (&entry->operator_view);
      kvview_restart (&entry->servers_view);
      kvview_restart (&entry->hosts_view);
    }
  entry->kv_down = down;
}
