#include "grantrequest.h"

#include <assert.h>
#include <glib.h>

static void
grantrequest_free (void *data)
{
  struct grantrequest *grant = data;

  list_remove (&grant->node);
  g_free ((char *)grant->request.organisation);
  g_free ((char *)grant->request.key);
  g_free ((uint8_t *)grant->outcome.body);
  g_free (grant);
}

static struct grantrequest *
grantrequest_find (const struct grantrequests *grants, uint64_t request)
{
  return g_hash_table_lookup (grants->requests_by_id, &request);
}

static void
grantrequest_schedule (struct grantrequests *grants,
                       struct grantrequest *grant, int64_t at_ns)
{
  grant->next_step_ns = at_ns;
  grants->next_due_ns = MIN (grants->next_due_ns, at_ns);
}

static void
grantrequest_send (struct grantrequests *grants, struct grantrequest *grant)
{
  int64_t retry_at_ns
      = clock_now (grants->clock) + grants->settings.retry_interval_ns;

  if (grant->state == GRANTREQUEST_WAITING)
    retry_at_ns = MIN (retry_at_ns, grant->deadline_ns);
  grantrequest_schedule (grants, grant, retry_at_ns);
  grants->ops->send (grants, grant);
}

static void
grantrequest_close (struct grantrequests *grants, struct grantrequest *grant)
{
  grant->state = GRANTREQUEST_CLOSED;
  grant->expiry_ns
      = clock_now (grants->clock) + grants->settings.late_grant_wait_ns;
  grantrequest_schedule (grants, grant, grant->expiry_ns);
}

static void
grantrequest_report (struct grantrequests *grants, struct grantrequest *grant,
                     bool ends)
{
  grant->state = GRANTREQUEST_REPORTING;
  grant->reports_end = ends;
  grant->expiry_ns
      = clock_now (grants->clock) + grants->settings.report_timeout_ns;
  grantrequest_send (grants, grant);
}

static void
grantrequest_copy_outcome (struct grantrequest *grant,
                           const struct once_outcome *outcome)
{
  grant->outcome = *outcome;
  grant->outcome.has_body
      = outcome->has_body && outcome->body_size <= ONCE_OUTCOME_BODY_MAX;
  if (!grant->outcome.has_body)
    grant->outcome.body_size = 0;
  grant->outcome.body = g_memdup2 (outcome->body, grant->outcome.body_size);
}

/* A refusal by an owner that does not know whether the key was used is not
 * final: until the deadline the grant is requested again, perhaps from another
 * owner. */
static bool
reply_is_final (const struct once_reply *reply)
{
  return reply->result != ONCE_REFUSED || !reply->key_unknown;
}

static void
grantrequest_time_out (struct grantrequests *grants,
                       struct grantrequest *grant)
{
  struct once_reply reply = {
    .request_id = grant->request.request,
    .gateway_incarnation = grant->request.gateway_incarnation,
    .result = ONCE_REFUSED,
    .key_unknown = true,
    .retry_after_ns = grants->settings.retry_interval_ns,
  };

  /* grantrequests_end reopens the grant request if a release has to be
   * reported. */
  grantrequest_close (grants, grant);
  grants->ops->reply_received (grants, grant, &reply);
}

/* Sends the next message of GRANT, or handles its timeout.
 * @return whether the caller has to free GRANT. */
static bool
grantrequest_step (struct grantrequests *grants, struct grantrequest *grant)
{
  int64_t now = clock_now (grants->clock);

  switch (grant->state)
    {
    case GRANTREQUEST_WAITING:
      if (now >= grant->deadline_ns)
        grantrequest_time_out (grants, grant);
      else
        grantrequest_send (grants, grant);
      return false;
    case GRANTREQUEST_REPORTING:
      if (now < grant->expiry_ns)
        {
          grantrequest_send (grants, grant);
          return false;
        }
      grants->unrecorded_count++;
      return true;
    case GRANTREQUEST_CLOSED:
      return now >= grant->expiry_ns;
    default:
      return false;
    }
}

static bool
grantrequest_is_scheduled (const struct grantrequest *grant)
{
  return grant->state != GRANTREQUEST_GRANTED
         && !(grant->state == GRANTREQUEST_CLOSED && grant->data != NULL);
}

static int64_t
grantrequests_first_due_ns (const struct grantrequests *grants)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *at = grants->requests.next; at != &grants->requests;
       at = at->next)
    {
      const struct grantrequest *grant
          = LIST_ENTRY (at, struct grantrequest, node);

      if (grantrequest_is_scheduled (grant))
        next = MIN (next, grant->next_step_ns);
    }
  return next;
}

void
grantrequests_init (struct grantrequests *grants,
                    const struct grantrequest_settings *settings,
                    const struct grantrequest_ops *ops,
                    const struct clock *clock, unsigned partition_count)
{
  *grants = (struct grantrequests){
    .settings = *settings,
    .ops = ops,
    .clock = clock,
    .partition_count = partition_count,
    .next_due_ns = CLOCK_NEVER,
  };
  list_init (&grants->requests);
  grants->requests_by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                  NULL, grantrequest_free);
}

void
grantrequests_finish (struct grantrequests *grants)
{
  g_hash_table_destroy (grants->requests_by_id);
}

struct grantrequest *
grantrequests_begin (struct grantrequests *grants,
                     const struct once_request *request,
                     const struct once_digest *fingerprint,
                     int64_t deadline_ns, void *data)
{
  struct grantrequest *grant = g_new0 (struct grantrequest, 1);

  assert (data != NULL
          && grantrequest_find (grants, request->request) == NULL);
  grant->request = *request;
  grant->request.organisation = g_strdup (request->organisation);
  grant->request.key = g_strdup (request->key);
  grant->fingerprint = *fingerprint;
  grant->partition = owner_partition_of_key (
      request->organisation, request->key, grants->partition_count);
  grant->deadline_ns = deadline_ns;
  grant->data = data;
  list_append (&grants->requests, &grant->node);
  g_hash_table_insert (grants->requests_by_id, &grant->request.request, grant);
  grantrequest_send (grants, grant);
  return grant;
}

void
grantrequests_end (struct grantrequests *grants, struct grantrequest *grant,
                   enum requeststate_record record,
                   const struct once_outcome *outcome)
{
  grant->data = NULL;
  if (record == REQUESTSTATE_RECORD_END)
    grantrequest_copy_outcome (grant, outcome);
  if (record == REQUESTSTATE_RECORD_NONE)
    grantrequest_close (grants, grant);
  else
    grantrequest_report (grants, grant, record == REQUESTSTATE_RECORD_END);
}

void
grantrequests_reply_received (struct grantrequests *grants,
                              const struct once_reply *reply)
{
  struct grantrequest *grant = grantrequest_find (grants, reply->request_id);
  bool granted = reply->result == ONCE_GRANTED;

  if (grant == NULL)
    return;
  if (grant->state == GRANTREQUEST_WAITING && reply_is_final (reply))
    {
      if (granted)
        grant->state = GRANTREQUEST_GRANTED;
      else
        grantrequest_close (grants, grant);
      grants->ops->reply_received (grants, grant, reply);
    }
  else if (grant->state == GRANTREQUEST_CLOSED && grant->data == NULL
           && granted && !grant->reports_end)
    {
      grants->late_grant_count++;
      grantrequest_report (grants, grant, false);
    }
}

void
grantrequests_recorded (struct grantrequests *grants, uint64_t request,
                        enum status status)
{
  struct grantrequest *grant = grantrequest_find (grants, request);

  if (grant != NULL && grant->state == GRANTREQUEST_REPORTING
      && status != STATUS_UNAVAILABLE)
    grantrequest_close (grants, grant);
}

void
grantrequests_tick (struct grantrequests *grants)
{
  int64_t now = clock_now (grants->clock);

  if (now < grants->next_due_ns)
    return;
  for (struct list *at = grants->requests.next, *next; at != &grants->requests;
       at = next)
    {
      struct grantrequest *grant = LIST_ENTRY (at, struct grantrequest, node);

      next = at->next;
      if (grantrequest_is_scheduled (grant) && now >= grant->next_step_ns
          && grantrequest_step (grants, grant))
        g_hash_table_remove (grants->requests_by_id, &grant->request.request);
    }
  grants->next_due_ns = grantrequests_first_due_ns (grants);
}

int64_t
grantrequests_next_tick_ns (const struct grantrequests *grants)
{
  return grants->next_due_ns;
}

bool
grantrequests_are_closed (const struct grantrequests *grants)
{
  for (const struct list *at = grants->requests.next; at != &grants->requests;
       at = at->next)
    if (LIST_ENTRY (at, struct grantrequest, node)->state
        != GRANTREQUEST_CLOSED)
      return false;
  return true;
}
