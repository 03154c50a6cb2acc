#include "entrycallers.h"
#include "entry.h"
#include "forwardstop.h"

static void
request_received (void *data, struct callerconn *conn)
{
  struct entry *entry = data;

  forwarder_request_received (&entry->forwarder, conn);
}

static void
host_request_received (void *data, struct callerconn *conn)
{
  struct entry *entry = data;

  forwarder_request_from_host (&entry->forwarder, conn);
}

static void
caller_disconnected (void *data, struct callerconn *conn)
{
  struct entry *entry = data;

  forwarder_caller_disconnected (&entry->forwarder, conn);
}

static void
caller_refused (void *data, struct callerconn *conn, int status,
                const char *reason)
{
  struct entry *entry = data;
  char labels[96];

  log_event (&entry->log, EVENT_CALLER_REFUSED,
             "peer=%s status=%d reason=%s bytes=%zu", conn->caller_ip, status,
             reason, conn->head.text->len + conn->body->len);
  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  metrics_add (&entry->metrics, "trefoilspar_callers_refused_total", labels,
               1);
}

static void
response_unsent (void *data, struct callerconn *conn, const char *reason,
                 size_t unsent, size_t unacknowledged)
{
  struct entry *entry = data;
  struct error error;
  struct call call;
  char labels[96];
  bool is_named = conn->has_head
                  && entry->dialect->call_decode (
                         &conn->head, conn->target->str, &call, &error)
                         == STATUS_OK
                  && call.request_id != NULL;

  log_event (&entry->log, EVENT_RESPONSE_UNSENT,
             "id=%s peer=%s reason=%s unsent=%zu unacknowledged=%zu "
             "stopping_ms=%.1f",
             is_named ? call.request_id : "-", conn->caller_ip, reason, unsent,
             unacknowledged, forwardstop_since_ms (&entry->forwarder));
  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  metrics_add (&entry->metrics, "trefoilspar_responses_unsent_total", labels,
               1);
}

const struct callerserver_ops entrycallers_caller_ops
    = { request_received, caller_disconnected, caller_refused,
        response_unsent };
const struct callerserver_ops entrycallers_host_ops
    = { host_request_received, caller_disconnected, caller_refused,
        response_unsent };
