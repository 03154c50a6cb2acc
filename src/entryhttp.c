#include "entryhttp.h"
#include "entry.h"
#include "entryplaces.h"
#include "explainjson.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define JSON_TYPE "Content-Type: application/json\r\n"

static void
respond_json (struct callerconn *conn, const GString *body)
{
  callerconn_respond (conn, 200, JSON_TYPE, body->str, body->len);
}

static void
respond_status (struct callerconn *conn, int status)
{
  callerconn_respond (conn, status, "", "", 0);
}

static void
directory_requested (void *data, struct callerconn *conn)
{
  struct entry *entry = data;
  GPtrArray *addresses;
  GString *body;

  if (!entry->dialect->is_directory_request (callerconn_method (conn),
                                             conn->target->str))
    {
      respond_status (conn, 404);
      return;
    }
  /* Until this host has read the records of the hosts, other hosts can list
   * more addresses. If the KV service is unreachable, this host lists those
   * that it has. */
  if (!entry->hosts_view.initial_read_done
      && !entry->hosts_view.was_unreachable)
    {
      respond_status (conn, 503);
      return;
    }
  addresses = g_ptr_array_new ();
  body = g_string_new (NULL);
  entryplaces_list_addresses (entry, conn->target->str, addresses);
  entry->dialect->directory_body (body, addresses,
                                  entry->settings->entries.lifetime_ns);
  respond_json (conn, body);
  g_string_free (body, TRUE);
  g_ptr_array_free (addresses, TRUE);
}

static void
ready_requested (void *data, struct callerconn *conn)
{
  struct entry *entry = data;

  if (!entry->dialect->is_ready_request (callerconn_method (conn),
                                         conn->target->str))
    respond_status (conn, 404);
  else
    respond_status (conn, entry_is_ready (entry) ? 200 : 503);
}

static double
timeval_seconds (struct timeval time)
{
  return (double)time.tv_sec + (double)time.tv_usec / 1e6;
}

static double
age_s (const struct entry *entry, int64_t since_ns)
{
  return (double)(clock_now (&entry->clock) - since_ns) / NS_PER_S;
}

static void
metrics_update (struct entry *entry)
{
  struct metrics *metrics = &entry->metrics;
  const struct routes *routes = entry->forwarder.routes;
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  metrics_set (metrics, "trefoilspar_process_cpu_seconds", "",
               timeval_seconds (usage.ru_utime)
                   + timeval_seconds (usage.ru_stime));
  metrics_set (metrics, "trefoilspar_process_peak_bytes", "",
               (double)usage.ru_maxrss * 1024);
  metrics_set (metrics, "trefoilspar_requests_in_flight", "",
               (double)entry->forwarder.request_count);
  metrics_set (metrics, "trefoilspar_connections", "",
               (double)entry->caller_server.conn_count);
  metrics_set (metrics, "trefoilspar_buffered_bytes", "",
               (double)entry->caller_server.buffered_bytes);
  metrics_set (metrics, "trefoilspar_unsent_bytes", "",
               (double)entry->caller_server.unsent.bytes);
  metrics_set (metrics, "trefoilspar_response_bytes", "",
               (double)entry->forwarder.responses.bytes);
  metrics_set (metrics, "trefoilspar_configuration_version", "",
               routes != NULL ? (double)routes->version : 0);
  metrics_set (metrics, "trefoilspar_kv_calls", "",
               (double)entry->dialect->kv_call_count (entry->kv_service));
  metrics_set (metrics, "trefoilspar_kv_watches", "",
               (double)entry->kvbudget.watch_count);
  metrics_set (metrics, "trefoilspar_kv_era", "", (double)entry->kvera.era);
  metrics_set (metrics, "trefoilspar_kv_era_rises", "",
               (double)entry->kvera.rise_count);
  metrics_set (metrics, "trefoilspar_kv_old_era_replies", "",
               (double)entry->kvera.old_reply_count);
  metrics_set (metrics, "trefoilspar_view_age_seconds", "view=\"operator\"",
               age_s (entry, entry->operator_view.last_reply_ns));
  metrics_set (metrics, "trefoilspar_view_age_seconds", "view=\"servers\"",
               age_s (entry, entry->servers_view.last_reply_ns));
  metrics_set (metrics, "trefoilspar_view_age_seconds", "view=\"hosts\"",
               age_s (entry, entry->hosts_view.last_reply_ns));
  metrics_set (metrics, "trefoilspar_hosts", "", entry->forwarder.host_count);
  metrics_set (metrics, "trefoilspar_duty_held", "duty=\"weights\"",
               entry->rollout.fencing_token != 0);
  metrics_set (metrics, "trefoilspar_orders", "",
               (double)entry->rollout.order_count);
  metrics_set (metrics, "trefoilspar_log_lines_lost", "",
               (double)log_json_lost_count ());
}

static void
explain_requested (struct entry *entry, struct callerconn *conn)
{
  GString *reply;
  int status;

  if (strcmp (callerconn_method (conn), "POST") != 0)
    {
      respond_status (conn, 405);
      return;
    }
  reply = g_string_new (NULL);
  status
      = explainjson_handle (&entry->forwarder, (const char *)conn->body->data,
                            conn->body->len, reply);
  callerconn_respond (conn, status, JSON_TYPE, reply->str, reply->len);
  g_string_free (reply, TRUE);
}

static void
metrics_requested (void *data, struct callerconn *conn)
{
  struct entry *entry = data;
  size_t size;
  char *text;

  if (strcmp (conn->target->str, "/explain") == 0)
    {
      explain_requested (entry, conn);
      return;
    }
  if (strcmp (conn->target->str, "/metrics") != 0)
    {
      respond_status (conn, 404);
      return;
    }
  metrics_update (entry);
  text = metrics_text (&entry->metrics, &size);
  callerconn_respond (conn, 200, "Content-Type: text/plain\r\n", text, size);
  g_free (text);
}

static void
ignore_disconnect (void *data, struct callerconn *conn)
{
}

static void
ignore_refusal (void *data, struct callerconn *conn, int status,
                const char *reason)
{
}

const struct callerserver_ops entryhttp_directory_ops
    = { directory_requested, ignore_disconnect, ignore_refusal, NULL };
const struct callerserver_ops entryhttp_ready_ops
    = { ready_requested, ignore_disconnect, ignore_refusal, NULL };
const struct callerserver_ops entryhttp_metrics_ops
    = { metrics_requested, ignore_disconnect, ignore_refusal, NULL };
